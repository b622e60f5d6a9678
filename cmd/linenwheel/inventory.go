package main

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/entryformat"
	"linenwheel.dev/linenwheel/internal/node/endpoints/files"
	"linenwheel.dev/linenwheel/internal/node/endpoints/removalguard"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/node"
)

// showFor is how long the sources have to answer.
const showFor = 10 * time.Second

// inventoryCommand looks at the list of hosts and its sources, without serving.
func (s *shell) inventoryCommand() *ffcli.Command {
	asJSON, before := false, ""
	sub := func(use, help string, args int, exec func(args []string) error) *ffcli.Command {
		name, _, _ := strings.Cut(use, " ")
		flags := flag.NewFlagSet(name, flag.ContinueOnError)
		flags.SetOutput(s.errs)
		flags.StringVar(&s.config, "config", "", "the platform's configuration `file`, in place of "+configVariable)
		flags.StringVar(&s.options, "options", "", "the options `file`, in place of "+optionsVariable)
		switch name {
		case "show":
			flags.BoolVar(&asJSON, "json", false, "print JSON, for programs")
		case "check":
			flags.StringVar(&before, "before", "", "the list, a `file` or folder, that it would follow; else the one of the options")
		}
		return &ffcli.Command{Name: name, ShortUsage: "linenwheel inventory " + use, ShortHelp: help, FlagSet: flags,
			Exec: func(_ context.Context, got []string) error {
				if len(got) != args {
					return flag.ErrHelp
				}
				return exec(got)
			}}
	}
	c := s.command("inventory", "look at the list of hosts and its sources, without serving", false,
		func(context.Context) error { return flag.ErrHelp })
	c.ShortUsage = "linenwheel inventory show|check|diff|watch [flags]"
	c.Subcommands = []*ffcli.Command{
		sub("show [flags]", "ask each source once, and print the list that comes of it", 0,
			func([]string) error { return s.showInventory(asJSON) }),
		sub("check [flags] FILE", "read a list from a file or folder, and tell what would become of it", 1,
			func(args []string) error { return s.checkInventory(args[0], before) }),
		sub("diff [flags] A B", "compare two lists, and tell what the guard would say to the second after the first", 2,
			func(args []string) error { return s.diffInventory(args[0], args[1]) }),
		sub("watch [flags]", "follow the sources, and print each step of the list", 0, func([]string) error { return s.watchInventory() }),
	}
	return c
}

// sources begins to follow the sources of the options. stop ends that.
func (s *shell) sources(give func(dispatch.ListKind, []dispatch.Host)) (src *node.Sources, stop func(), err error) {
	conf, file, faults := s.load()
	if len(faults) > 0 {
		return nil, nil, faults
	}
	src, err = node.NewSources(conf, &file.Options, node.NewLog(s.errs, &file.Options, new(slog.LevelVar)), give)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { src.Run(ctx); close(ended) }()
	return src, func() { cancel(); <-ended }, nil
}

// shown is what show prints for programs. Times are milliseconds.
type shown struct {
	Sources []shownSource       `json:"sources"`
	Serving int                 `json:"serving"`
	Held    int                 `json:"held"`
	Hosts   []entryformat.Entry `json:"endpoints"`
}

type shownSource struct {
	Name     string  `json:"name"`
	Known    bool    `json:"known"`
	Followed bool    `json:"followed"`
	Revision string  `json:"revision"`
	Hosts    int     `json:"hosts"`
	Away     float64 `json:"away_ms"`
}

func (s *shell) showInventory(asJSON bool) error {
	src, stop, err := s.sources(func(dispatch.ListKind, []dispatch.Host) {})
	if err != nil {
		return err
	}
	defer stop()
	select {
	case <-src.Asked():
	case <-time.After(showFor):
	}
	v := src.View()
	out := shown{Serving: v.Serving, Held: v.Held, Hosts: []entryformat.Entry{}}
	for _, one := range v.Sources {
		row := shownSource{Name: one.Name, Known: one.Known, Followed: one.Followed, Revision: one.Revision.String(), Hosts: one.Hosts}
		if !math.IsInf(one.Away, 1) {
			row.Away = max(1, float64(time.Now().UnixMilli())-one.Away)
		}
		out.Sources = append(out.Sources, row)
	}
	for _, h := range src.Hosts() {
		out.Hosts = append(out.Hosts, entryformat.FromHost(h))
	}
	if asJSON {
		enc := json.NewEncoder(s.out)
		enc.SetIndent("", "  ")
		return enc.Encode(out)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SOURCE\tFOLLOWED\tREVISION\tHOSTS\tAWAY")
	for _, one := range out.Sources {
		followed, away, revision, hosts := "-", "-", "-", "-"
		if one.Followed {
			followed = "yes"
		}
		if one.Away > 0 {
			away = span(one.Away)
		}
		if one.Known {
			revision, hosts = one.Revision, fmt.Sprint(one.Hosts)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", one.Name, followed, revision, hosts, away)
	}
	fmt.Fprintf(w, "\n%d hosts, %d serve, %d are held as they were\n\nHOST\tSTATUS\tZONE\tTYPE\tGROUP\tWEIGHT\tADDRESS\n", len(out.Hosts),
		out.Serving, out.Held)
	for _, e := range out.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%g\t%s\n", e.Name, e.Status, e.Zone, e.Type, e.Group, e.Weight, e.Address)
	}
	return w.Flush()
}

// list reads a file or folder. With a configuration it is held against its zones and kinds.
func (s *shell) list(path string) (hosts []dispatch.Host, all []*files.List, o *options.Options, err error) {
	known := files.Constraints{}
	var file *options.File
	if s.env(configVariable) != "" {
		conf, f, faults := s.load()
		if len(faults) > 0 {
			return nil, nil, nil, faults
		}
		file, known = f, node.Known(conf, &f.Options)
	} else {
		f, faults := options.Load(s.env(optionsVariable))
		if len(faults) > 0 {
			return nil, nil, nil, badConfiguration(faults)
		}
		file = f
	}
	o = &file.Options
	known.MaxHosts = o.Inventory.MostHosts
	parts, err := files.Read(path, o.Inventory.Files.Most.Bytes)
	if err != nil {
		return nil, nil, nil, err
	}
	shelf := files.NewValidator(known, 0, len(parts) == 1)
	r := shelf.Check(1, parts, nil, false)
	if r.Err != nil {
		return nil, nil, nil, r.Err
	}
	for _, p := range parts {
		l, err := files.Parse(p.Path, p.Text, known)
		if err != nil {
			return nil, nil, nil, err
		}
		all = append(all, l)
	}
	return r.Version.Hosts, all, o, nil
}

func (s *shell) checkInventory(path, before string) error {
	hosts, all, o, err := s.list(path)
	if err != nil {
		return err
	}
	ready, sealed, meant := 0, true, true
	for _, h := range hosts {
		if h.Status == dispatch.Ready {
			ready++
		}
	}
	for _, l := range all {
		sealed, meant = sealed && l.Verified, meant && l.Confirmed
	}
	word := "it proves itself whole and is taken at once"
	if !sealed {
		word = "without a count or a checksum in each file it is taken once it has not changed for " + o.Inventory.Files.Settle.String()
	}
	fmt.Fprintf(s.out, "%s is good: %d hosts, %d of them ready; %s\n", path, len(hosts), ready, word)
	if before = cmp.Or(before, o.Inventory.Files.Path); before == "" || before == path {
		return nil
	}
	from, _, _, err := s.list(before)
	if err != nil {
		return fmt.Errorf("the list before: %w", err)
	}
	return s.judge(o, from, hosts, meant)
}

func (s *shell) diffInventory(a, b string) error {
	from, _, _, err := s.list(a)
	if err != nil {
		return err
	}
	to, all, o, err := s.list(b)
	if err != nil {
		return err
	}
	meant := true
	for _, l := range all {
		meant = meant && l.Confirmed
	}
	s.steps(from, to)
	return s.judge(o, from, to, meant)
}

// steps prints what differs, by name.
func (s *shell) steps(from, to []dispatch.Host) {
	old := map[string]dispatch.Host{}
	for _, h := range from {
		old[h.Name] = h
	}
	var lines []string
	for _, h := range to {
		was, there := old[h.Name]
		delete(old, h.Name)
		if !there {
			lines = append(lines, fmt.Sprintf("%s  comes: %s", h.Name, describe(h)))
		} else if was != h {
			lines = append(lines, fmt.Sprintf("%s  %s -> %s", h.Name, describe(was), describe(h)))
		}
	}
	for name, h := range old {
		lines = append(lines, fmt.Sprintf("%s  leaves: %s", name, describe(h)))
	}
	slices.Sort(lines)
	for _, line := range lines {
		fmt.Fprintln(s.out, line)
	}
}

func describe(h dispatch.Host) string {
	e := entryformat.FromHost(h)
	return fmt.Sprintf("%s at %s, zone %s, type %s, group %d, weight %g, since %.0f", e.Status, e.Address, e.Zone, e.Type, e.Group,
		e.Weight, e.Since)
}

// judge prints what the guard would say.
func (s *shell) judge(o *options.Options, from, to []dispatch.Host, meant bool) error {
	verdict, c, err := node.Judge(o, from, to)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "of %d that serve %d would drain and %d leave or move, %d come or are back\n", c.Serving, c.Drains, c.Leaves, c.Arrives)
	switch {
	case verdict == removalguard.Accept:
		fmt.Fprintln(s.out, "the guard would take it at once")
	case meant:
		fmt.Fprintln(s.out, "the guard would take it at once, because it is confirmed")
	case verdict == removalguard.Reread:
		fmt.Fprintf(s.out, "the guard would hold the departures for a second look after %s: more than %g of the hosts depart\n",
			o.Inventory.Guard.Wait, o.Inventory.Guard.Share)
	default:
		fmt.Fprintf(s.out, "the guard would hold the departures until they are confirmed: fewer than %d hosts would serve\n",
			o.Inventory.Guard.Floor)
	}
	return nil
}

func (s *shell) watchInventory() error {
	steps := make(chan string, 1024)
	_, stop, err := s.sources(func(kind dispatch.ListKind, list []dispatch.Host) {
		word := map[dispatch.ListKind]string{dispatch.Delta: "changes", dispatch.Full: "whole list", dispatch.Stored: "list from before"}[kind]
		text := fmt.Sprintf("%s  %s, %d hosts", time.Now().UTC().Format("15:04:05.000"), word, len(list))
		for _, h := range list {
			if kind == dispatch.Delta {
				text += fmt.Sprintf("\n    %s  %s", h.Name, describe(h))
			}
		}
		select {
		case steps <- text:
		default: // whoever reads is slower than the list changes
		}
	})
	if err != nil {
		return err
	}
	defer stop()
	ctx, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer done()
	for {
		select {
		case text := <-steps:
			if _, err := fmt.Fprintln(s.out, text); err != nil {
				return err
			}
		case <-ctx.Done():
			return nil
		}
	}
}
