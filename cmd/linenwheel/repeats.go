package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/internal/node/idempotency/journal"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

var errDamaged = errors.New("the journal is damaged")

// repeatsCommand looks after a journal of repeats.
func (s *shell) repeatsCommand() *ffcli.Command {
	folder, asJSON, keep := "", false, time.Duration(0)
	sub := func(name, help string, exec func(wal.Disk) error) *ffcli.Command {
		c := s.command(name, help, false, func(context.Context) error {
			if folder == "" {
				fmt.Fprintln(s.errs, "linenwheel: repeats: -journal is missing")
				return flag.ErrHelp
			}
			return exec(wal.Disk{Path: folder})
		})
		c.ShortUsage = "linenwheel repeats " + name + " -journal FOLDER [flags]"
		c.FlagSet.StringVar(&folder, "journal", "", "the `folder` that the option repeats.journal names")
		return c
	}
	show := sub("show", "print what a journal holds", func(d wal.Disk) error { return s.showJournal(d, asJSON) })
	show.FlagSet.BoolVar(&asJSON, "json", false, "as JSON")
	verify := sub("verify", "read all of a journal and print what is damaged; status 1 if anything is", s.verifyJournal)
	compact := sub("compact", "write what is of use into one file and remove the others; no node may use it",
		func(d wal.Disk) error { return s.compactJournal(d, keep) })
	compact.FlagSet.DurationVar(&keep, "keep", time.Hour, "how long a record is of use: the longest window and deadline")
	c := s.command("repeats", "look after a journal of repeats", false, func(context.Context) error { return flag.ErrHelp })
	c.ShortUsage = "linenwheel repeats show|verify|compact -journal FOLDER [flags]"
	c.Subcommands = []*ffcli.Command{show, verify, compact}
	return c
}

func (s *shell) showJournal(d wal.Disk, asJSON bool) error {
	r, err := journal.Inspect(d)
	if err != nil {
		return err
	}
	if asJSON {
		out := json.NewEncoder(s.out)
		out.SetIndent("", "  ")
		return out.Encode(r)
	}
	at := func(ms float64) string {
		if ms == 0 {
			return "-"
		}
		return time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "file\tbytes\trecords\tfirst\tlast\tdamaged")
	for _, g := range r.Segments {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\n", g.Name, g.Bytes, g.Records, at(g.First), at(g.Last), g.Damaged)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "names: %d running, %d answered, %d in doubt, %d that did not run\n", r.Names["running"],
		r.Names["answered"], r.Names["in doubt"], r.Names["not run"])
	_, err = fmt.Fprintf(s.out, "classes: %s; tenants: %s\n", strings.Join(r.Classes, ", "), strings.Join(r.Tenants, ", "))
	return err
}

func (s *shell) verifyJournal(d wal.Disk) error {
	r, err := journal.Inspect(d)
	if err != nil {
		return err
	}
	for _, g := range r.Segments {
		if g.Damaged != "" {
			err = errDamaged
			fmt.Fprintf(s.out, "%s, %s\n", g.Name, g.Damaged)
		}
	}
	if err == nil {
		fmt.Fprintf(s.out, "linenwheel: %d files are good\n", len(r.Segments))
	}
	return err
}

func (s *shell) compactJournal(d wal.Disk, keep time.Duration) error {
	lock, err := d.Lock()
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }() // it is empty
	n, err := journal.Compact(d, float64(keep.Milliseconds()), float64(time.Now().UnixMilli()))
	if err == nil {
		fmt.Fprintf(s.out, "linenwheel: %d names are kept\n", n)
	}
	return err
}
