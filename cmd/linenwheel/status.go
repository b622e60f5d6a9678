package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/internal/node/control"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/node"
)

// answer is what one control socket said.
type answer struct {
	Socket string       `json:"socket"`
	Error  string       `json:"error,omitempty"`
	Status *node.Status `json:"status,omitempty"`
}

func (s *shell) statusCommand() *ffcli.Command {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	flags.SetOutput(s.errs)
	var all, asJSON bool
	flags.StringVar(&s.options, "options", "", "the options `file` that names the control socket, in place of "+
		optionsVariable)
	flags.BoolVar(&all, "all", false, "ask every node whose control socket is in the folder of the one named")
	flags.BoolVar(&asJSON, "json", false, "print JSON, for programs")
	return &ffcli.Command{Name: "status", ShortUsage: "linenwheel status [flags] [socket]", FlagSet: flags,
		ShortHelp: "ask a running node how it does",
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 1 {
				return flag.ErrHelp
			}
			return s.status(args, all, asJSON)
		}}
}

// status asks nodes how they do, and fails if one did not answer.
func (s *shell) status(args []string, all, asJSON bool) error {
	path := ""
	if len(args) > 0 {
		path = args[0]
	} else {
		file, faults := options.Load(s.env(optionsVariable))
		if len(faults) > 0 {
			return badConfiguration(faults)
		}
		if path = file.Options.Takeover.Socket; path == "" {
			return errors.New("status: name a control socket, or options in which takeover.socket names one")
		}
	}
	paths := []string{path}
	if all {
		var err error
		if paths, err = filepath.Glob(filepath.Join(filepath.Dir(path), "*"+filepath.Ext(path))); err != nil {
			return err
		}
	}
	var answers []answer
	var silent []string
	for _, path := range paths {
		a := answer{Socket: path}
		text, err := control.Ask(path, version)
		if err == nil {
			err = json.Unmarshal(text, &a.Status)
		}
		if err != nil {
			a.Error, a.Status = err.Error(), nil
			silent = append(silent, path)
		}
		answers = append(answers, a)
	}
	err := s.print(answers, all, asJSON)
	if err == nil && len(silent) > 0 {
		err = fmt.Errorf("status: no answer from %s", strings.Join(silent, ", "))
	}
	return err
}

// print writes the answers: JSON, a line a node, or all that there is about one.
func (s *shell) print(answers []answer, all, asJSON bool) error {
	if asJSON {
		enc := json.NewEncoder(s.out)
		enc.SetIndent("", "  ")
		if all {
			return enc.Encode(answers)
		}
		return enc.Encode(answers[0])
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	if all {
		fmt.Fprintln(w, "NODE\tPHASE\tRELEASE\tPID\tFOR\tLIST\tHOSTS\tCALLS\tCLIENTS\tUNITS/S\tREFUSED\tFAILED")
	}
	for _, a := range answers {
		switch {
		case a.Status == nil:
			fmt.Fprintf(w, "%s\tno answer: %s\n", a.Socket, a.Error)
		case all:
			line(w, a.Status)
		default:
			page(w, a.Status)
		}
	}
	return w.Flush()
}

// span writes milliseconds for people.
func span(ms float64) string {
	if ms < 10000 {
		return fmt.Sprintf("%.1fs", ms/1000)
	}
	return (time.Duration(ms/1000) * time.Second).String()
}

// listAge tells which list a node has and how old it is.
func listAge(s *node.Status) string {
	if s.List.Age < 0 {
		return "not from discovery"
	}
	for _, src := range s.List.Sources {
		if src.Followed && src.Name != "discovery" {
			return fmt.Sprintf("%s of %s, %s ago", src.Revision, src.Name, span(s.List.Age))
		}
	}
	return fmt.Sprintf("%d, %s ago", s.List.Index, span(s.List.Age))
}

// calls counts the answers of a kind.
func calls(s *node.Status, kind string) (n uint64) {
	for _, e := range s.Endings {
		if e.Kind == kind {
			n += e.Calls
		}
	}
	return n
}

// well counts the hosts that take work.
func well(s *node.Status) (n int) {
	for _, h := range s.Hosts {
		if h.Status == "ready" && h.Health != "away" && h.Health != "trial due" {
			n++
		}
	}
	return n
}

// phase names a node's phase, and what is wrong with it.
func phase(s *node.Status) string {
	if s.Stuck != "" {
		return s.Phase + " (stuck: " + s.Stuck + ")"
	}
	return s.Phase
}

func line(w io.Writer, s *node.Status) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d of %d\t%d\t%d\t%.1f\t%d\t%d\n", s.Name, phase(s), s.Release, s.PID,
		span(s.Now-s.Since), listAge(s), well(s), len(s.Hosts), s.Open, s.Clients, s.Rate, calls(s, "refused"),
		calls(s, "failed"))
}

func page(w io.Writer, s *node.Status) {
	room := "there is room"
	if s.Shedding {
		room = "more is asked for than there is room for"
	}
	for _, row := range [][2]string{
		{"node", fmt.Sprintf("%s at %s, one of %d", s.Name, s.Address, s.Instances)},
		{"phase", phase(s)},
		{"release", fmt.Sprintf("%s, process %d for %s", s.Release, s.PID, span(s.Now-s.Since))},
		{"taken over from", s.From},
		{"last end", s.Last},
		{"list", fmt.Sprintf("%s, %d hosts, %d of them take work", listAge(s), len(s.Hosts), well(s))},
		{"calls", fmt.Sprintf("%d open, on %d connections of clients", s.Open, s.Clients)},
		{"load", fmt.Sprintf("%.1f units/s asked, %.1f sent; %s", s.AskRate, s.Rate, room)},
		{"part", fmt.Sprintf("%.0f %% of the hosts", 100*s.Part)},
		{"policy", policyOf(s)},
		{"fleet's room", roomOf(s)},
	} {
		if row[1] != "" {
			fmt.Fprintf(w, "%s\t%s\n", row[0], row[1])
		}
	}
	if len(s.List.Sources) > 0 {
		fmt.Fprintf(w, "held\t%d hosts are left as they were\n", s.List.Held)
		fmt.Fprintln(w, "\nSOURCE\tFOLLOWED\tREVISION\tHOSTS\tDIFFERS\tAWAY")
		for _, src := range s.List.Sources {
			away, followed := "-", "-"
			if src.Away > 0 {
				away = span(src.Away)
			}
			if src.Followed {
				followed = "yes"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", src.Name, followed, cmp.Or(src.Revision, "-"), src.Hosts, src.Differs, away)
		}
	}
	fmt.Fprintln(w, "\nHOST\tSTATUS\tHEALTH\tSHARE\tUNITS/S\tIDLE\tNOW\tSLOW\tRELAYS\tOVERDUE\tCONNS\tUNUSED\tADDRESS")
	for _, h := range s.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f %%\t%.1f\t%.1fms\t%.1fms\t%.2f\t%d\t%d\t%d\t%d\t%s\n", h.Name, h.Status, health(h),
			100*h.Share, h.Rate, h.Idle, h.Latency, h.Slow, h.Open, h.Overdue, h.Conns, h.Unused, h.Address)
	}
	fmt.Fprintln(w, "\nANSWERS\tCALLS\tREASON")
	for _, e := range s.Endings {
		fmt.Fprintf(w, "%s\t%d\t%s\n", e.Kind, e.Calls, cmp.Or(e.Reason, "-"))
	}
}

// health words how a host is.
func health(h node.HostStatus) string {
	text := h.Health
	switch h.Health {
	case "away":
		text += " for " + span(h.Until)
	case "cold":
		text += fmt.Sprintf(" at %.0f %%, %.1f units/s at most", 100*h.Warm, h.Most)
	}
	if len(h.Silent) > 0 {
		slices.Sort(h.Silent)
		text += ", silent for " + strings.Join(h.Silent, " ")
	}
	return text
}

// policyOf tells which policy of the fleet's the node goes by; empty = of none.
func policyOf(s *node.Status) string {
	if s.Policy == nil {
		return ""
	}
	return fmt.Sprintf("number %d, document %s, lease %s", s.Policy.Number, cmp.Or(s.Policy.Hash, "none"), lasts(s.Policy.Lease))
}

// roomOf tells of the node's lease of the fleet's room; empty = it has no use for one.
func roomOf(s *node.Status) string {
	if s.Room == nil {
		return ""
	}
	return fmt.Sprintf("%.1f %% by tree %s, lease %s", 100*s.Room.Load, s.Room.Tree, lasts(s.Room.Lease))
}

// lasts words what is left of a lease.
func lasts(ms float64) string {
	switch {
	case ms < 0:
		return "not needed"
	case ms == 0:
		return "none"
	}
	return "for " + span(ms)
}
