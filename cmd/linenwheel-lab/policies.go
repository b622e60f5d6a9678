package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/policies"
)

// policiesCommand plays changes of a fleet's policy on real nodes and keepers.
func policiesCommand(to streams) *ffcli.Command {
	set := policies.Settings{}
	flags := flagSet("linenwheel-lab policies", to)
	flags.IntVar(&set.Nodes, "nodes", 3, "`number` of nodes")
	flags.IntVar(&set.Keepers, "keepers", 3, "`number` of keepers")
	flags.IntVar(&set.Clients, "clients", 2, "`number` of clients of each node, which ask one call after the other")
	flags.IntVar(&set.Changes, "changes", 20, "`number` of changes that must come to an end")
	flags.DurationVar(&set.Pause, "pause", 100*time.Millisecond, "`time` between two changes")
	flags.DurationVar(&set.Lease, "lease", 2*time.Second, "of the nodes")
	flags.BoolVar(&set.Faults, "faults", false, "make a fault with each change")
	flags.BoolVar(&set.GoesOn, "go-on", false, "nodes go on without a lease")
	flags.BoolVar(&set.Alone, "alone", false, "nodes read a file each, as without a fleet")
	flags.Uint64Var(&set.Seed, "seed", 1, "of the faults")
	asJSON := flags.Bool("json", false, "print the result as JSON")
	return &ffcli.Command{Name: "policies", ShortUsage: "linenwheel-lab policies [flags]", FlagSet: flags,
		ShortHelp: "changes of a fleet's policy under load and faults; status 1 if a call was judged by a number that was over",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			set.Node, set.Keeper = filepath.Join(filepath.Dir(self), "linenwheel"), filepath.Join(filepath.Dir(self), "linenwheel-keep")
			if set.Dir, err = os.MkdirTemp("", "policies"); err != nil {
				return err
			}
			defer os.RemoveAll(set.Dir)
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
				_, err = fmt.Fprintf(to.out, "%d calls, answers %v; 50%% in %.1f ms, 99%% in %.1f ms, longest %.0f ms\n%d changes agreed, %d refused, in "+
					"%.0f ms (median), %.0f ms at the most\nfaults %v\nbroken %v\n", r.Calls, r.Answers, r.P50, r.P99, r.Longest, r.Agreed, r.Refused, half,
					most, r.Faults, r.Broken)
			}
			if err == nil && len(r.Broken) > 0 {
				err = errVerdict
			}
			return err
		}}
}
