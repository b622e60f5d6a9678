package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/policies"
	"linenwheel.dev/linenwheel/lab/policies/virtual"
)

// policiesCommand plays changes of a fleet's policy on real nodes and keepers.
func policiesCommand(to streams) *ffcli.Command {
	set := policies.Settings{}
	flags := flagSet("linenwheel-lab policies", to)
	flags.IntVar(&set.Nodes, "nodes", 3, "`number` of nodes")
	flags.IntVar(&set.Keepers, "keepers", 3, "`number` of keepers")
	flags.IntVar(&set.Clients, "clients", 2, "`number` of clients of each node, which ask one call after the other")
	flags.Float64Var(&set.Rate, "rate", 0, "`calls` a second of all clients together, timed from when they are due; 0 = one after the other")
	flags.DurationVar(&set.Calm, "calm", 0, "`time` of calls before the first change, timed by themselves")
	flags.DurationVar(&set.Every, "every", 0, "`time` from the beginning of a change to that of the next; 0 = pause after its end")
	flags.IntVar(&set.Changes, "changes", 20, "`number` of changes that must come to an end")
	flags.DurationVar(&set.Pause, "pause", 100*time.Millisecond, "`time` between two changes")
	flags.DurationVar(&set.Lease, "lease", 2*time.Second, "of the nodes")
	flags.BoolVar(&set.Faults, "faults", false, "make a fault with each change")
	kinds := flags.String("kinds", "", "of faults, with commas between; empty = all: "+strings.Join(policies.Kinds, ", "))
	flags.BoolVar(&set.GoesOn, "go-on", false, "nodes go on without a lease")
	flags.BoolVar(&set.Alone, "alone", false, "nodes read a file each, as without a fleet")
	flags.Uint64Var(&set.Seed, "seed", 1, "of the faults")
	histories := flags.Int("virtual", 0, "play so many `histories` in virtual time instead, of nodes and five keepers, each with the next seed")
	part := flags.Float64("part", 0.1, "of the nodes that is down, and as much that is slow, in virtual time")
	lost := flags.Float64("lost", 0, "part of the hints that never come, in virtual time")
	stale := flags.Float64("stale", 0, "part of the hints that come late, or tell what was agreed long before, in virtual time")
	asJSON := flags.Bool("json", false, "print the result as JSON")
	return &ffcli.Command{Name: "policies", ShortUsage: "linenwheel-lab policies [flags]", FlagSet: flags,
		ShortHelp: "changes of a fleet's policy under load and faults; status 1 if a call was judged by a number that was over",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if *kinds != "" {
				set.Kinds = strings.Split(*kinds, ",")
			}
			if *histories > 0 {
				return virtually(to, virtual.Settings{Seed: set.Seed, Nodes: set.Nodes, Lease: float64(set.Lease) / 1e6, Length: 6000, Between: 100,
					Part: *part, Faults: map[bool]int{true: 8}[set.Faults], Lost: *lost, Stale: *stale}, *histories)
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			set.Node, set.Keeper = filepath.Join(filepath.Dir(self), "linenwheel"), filepath.Join(filepath.Dir(self), "linenwheel-keep")
			if set.Dir, err = os.MkdirTemp("", "policies"); err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(set.Dir) }()
			r, err := policies.Play(ctx, set)
			if err != nil {
				return err
			}
			if *asJSON {
				err = json.NewEncoder(to.out).Encode(r)
			} else if n := len(r.ChangeMs); n > 0 || set.Alone {
				half, most := 0.0, 0.0
				if n > 0 {
					half, most = r.ChangeMs[n/2], r.ChangeMs[n-1]
				}
				_, err = fmt.Fprintf(to.out, "%d calls, answers %v; 50%%, 99%%, longest %.1f, %.1f, %.0f ms, in the calm %.1f, %.1f, %.0f\n%d changes agreed, %d refused, in "+
					"%.0f ms (median), %.0f ms at the most\nfaults %v, in steps %v\nbroken %v\n", r.Calls, r.Answers, r.Times.P50, r.Times.P99, r.Times.Longest, r.Calm.P50, r.Calm.P99,
					r.Calm.Longest, r.Agreed, r.Refused, half, most, r.Faults, r.Struck, r.Broken)
			}
			if err == nil && len(r.Broken) > 0 {
				err = errVerdict
			}
			return err
		}}
}

// virtually plays histories in virtual time.
func virtually(to streams, set virtual.Settings, histories int) error {
	r := virtual.Many(set, histories, false)
	of := func(sorted []float64) (median, most float64) {
		if n := len(sorted); n > 0 {
			return sorted[n/2], sorted[n-1]
		}
		return 0, 0
	}
	change, longestChange := of(r.Changes)
	held, longestHeld := of(r.Held)
	if _, err := fmt.Fprintf(to.out, "%d histories of %d nodes: %d changes agreed in %.0f ms (median), %.0f ms at the most; %d refused\ncalls held "+
		"for %.0f ms (median), %.0f ms at the most, at nodes that nothing was wrong with, %d times\n%d stretches in which calls could begin\n",
		histories, set.Nodes, r.Agreed, change, longestChange, r.Refused, held, longestHeld, len(r.Held), r.Windows); err != nil {
		return err
	}
	for _, kind := range virtual.Kinds {
		if n := r.Counts[kind]; n > 0 {
			if _, err := fmt.Fprintf(to.out, "%9d  %s\n", n, kind); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(to.out, "broken %d %v\n", len(r.Faults), r.Faults[:min(8, len(r.Faults))])
	if err == nil && len(r.Faults) > 0 {
		err = errVerdict
	}
	return err
}
