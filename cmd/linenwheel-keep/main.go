// Command linenwheel-keep is a keeper: a process that keeps copies of what the nodes of a fleet hold for each other, and serves
// no clients. It is a program of its own, so that the consensus library weighs nothing in a node, and so that a node's restart
// costs no vote.
package main

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/log"
	"linenwheel.dev/linenwheel/internal/node/consensus/replica"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// version is that of the node's program, too.
const version = "0.1.0"

// collectAt is how much garbage there may be in percent of what is held: a keeper's memory counts for more than its time.
const collectAt = 50

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectAt)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Getenv, os.Stderr)
	stop()
	os.Exit(status)
}

// run keeps copies until ctx ends, and gives the exit status: 1 for a failure, 2 for a bad command line or file.
func run(ctx context.Context, args []string, getenv func(string) string, errs io.Writer) int {
	flags := flag.NewFlagSet("linenwheel keep", flag.ContinueOnError)
	flags.SetOutput(errs)
	path := flags.String("options", getenv("LINENWHEEL_OPTIONS"), "the options `file` with a table peers")
	before := flags.String("recover", "", "go on, as the fleet that peers.fleet names, with what this keeper has left of this `fleet`, whose majority is lost for good")
	from := flags.String("raise", "", "go on, as the fleet that peers.fleet names, with the copy in this `file`, which linenwheel peers copy made")
	yes := flags.Bool("yes", false, "with -recover and -raise: do it, in place of telling what it would mean")
	name := flags.String("name", "", "the `name` of this keeper, in place of peers.name and ROUTER_NAME")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	set, o, err := settings(*path, *name, getenv, flags.Args())
	if err != nil {
		fmt.Fprintln(errs, "linenwheel: configuration:", err)
		return 2
	}
	level := new(slog.LevelVar)
	_ = level.UnmarshalText([]byte(o.Log.Level)) // one of those that slog knows, or the options would be faulty
	format := log.Text
	if o.Log.Format == log.JSON.String() {
		format = log.JSON
	}
	logger := log.On(log.New(errs, format, level), clock.NewSystem()).With("node", set.Name, "part", "keeper")
	if *before != "" || *from != "" {
		look := func() (replica.Leftover, error) { return replica.InspectDisk(set, *before) }
		if *from != "" {
			look = func() (replica.Leftover, error) { return replica.InspectBackup(*from) }
		}
		if err := recoverFleet(set, look, *yes, logger, errs); err != nil {
			fmt.Fprintln(errs, "linenwheel: keep: recover:", err)
			return 1
		}
		return 0
	}
	k, err := replica.New(set, logger)
	if err == nil {
		err = k.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(errs, "linenwheel: keep:", err)
		return 1
	}
	return 0
}

// settings reads the options file.
func settings(path, name string, getenv func(string) string, rest []string) (set replica.Settings, o options.Options, err error) {
	if len(rest) > 0 {
		return set, o, fmt.Errorf("keep does not take %q", rest[0])
	}
	file, faults := options.Load(path)
	if len(faults) > 0 {
		return set, o, faults[0]
	}
	o = file.Options
	p := &o.Peers
	set = replica.Settings{Fleet: p.Fleet, Name: cmp.Or(name, p.Name, getenv("ROUTER_NAME")), Directory: p.Directory, Synced: p.Synced,
		Addresses: map[string]string{}, Heartbeat: p.Heartbeat.Ms, Election: p.Election.Ms, ImageEvery: p.ImageEvery.Bytes, Trail: p.Trail,
		Release: version}
	for _, m := range p.Members {
		set.Addresses[m.Name] = m.Address
	}
	set.Directory = filepath.Join(p.Directory, set.Name)
	set.Listen = cmp.Or(p.Listen, p.Address(set.Name))
	switch {
	case set.Fleet == "":
		err = errors.New("peers.fleet is empty: name an options file with a table peers")
	case set.Name == "":
		err = errors.New("peers.name is empty, and neither -name nor ROUTER_NAME says who this keeper is")
	case set.Listen == "":
		err = fmt.Errorf("peers.member has no %q, and peers.listen is empty: where should it listen?", set.Name)
	}
	return set, o, err
}

// recoverFleet tells what one keeper has left of a fleet, and goes on with it where that is wanted.
func recoverFleet(set replica.Settings, look func() (replica.Leftover, error), yes bool, logger *slog.Logger, out io.Writer) error {
	r, err := look()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s of %q holds entries up to %d, of which a majority is known to have agreed up to %d.\n", r.Name, r.Fleet, r.Last, r.Agreed)
	fmt.Fprintf(out, "The %d after that may have been agreed or not: they are taken for agreed. What was agreed later and is not here is lost:\n"+
		"charges of which it told may run again, orders and policies may be older than what was said yes to.\n", r.Last-r.Agreed)
	fmt.Fprintf(out, "It was so at %s. Held: %d names of charges, %d of them running (they count as such that may have run); policy %d.\n",
		time.UnixMilli(int64(r.At)).UTC().Format(time.RFC3339), r.Calls.Names, r.Calls.Running, r.Policy)
	for _, m := range r.Members {
		if m.Role != statemachine.Removed && m.Name != set.Name {
			fmt.Fprintf(out, "%s, number %x, is out for good: it is turned away if it comes back. Make sure that it is not running.\n", m.Name, m.ID)
		}
	}
	if !yes {
		fmt.Fprintf(out, "Nothing was done. With -yes the fleet %q goes on with this; then give its name to all nodes, and add keepers.\n", set.Fleet)
		return nil
	}
	kept, err := replica.Recover(set, r, logger)
	if err == nil {
		fmt.Fprintf(out, "The fleet %q goes on with this keeper alone.\n", set.Fleet)
	}
	if err == nil && kept != "" {
		fmt.Fprintf(out, "The folder as it was is %s.\n", kept)
	}
	return err
}
