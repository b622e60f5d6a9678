package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/life"
	"linenwheel.dev/linenwheel/lab/points"
	"linenwheel.dev/linenwheel/lab/rooms"
)

// programs gives the node's program and the keeper's, beside this one, and a folder that is deleted by done.
func programs() (node, keeper, dir string, done func(), err error) {
	self, err := os.Executable()
	if err != nil {
		return "", "", "", nil, err
	}
	if dir, err = os.MkdirTemp("", "site"); err != nil {
		return "", "", "", nil, err
	}
	at := filepath.Dir(self)
	return filepath.Join(at, "linenwheel"), filepath.Join(at, "linenwheel-keep"), dir, func() { _ = os.RemoveAll(dir) }, nil
}

// pointsCommand plays the points of a charge's way where a promise could be lost.
func pointsCommand(to streams) *ffcli.Command {
	flags := flagSet("linenwheel-lab points", to)
	asJSON := flags.Bool("json", false, "print the outcomes as JSON")
	alone := flags.Bool("alone", false, "nodes hold names each for itself")
	without := flags.Duration("without-majority", 0, "in place of the points, take two of three keepers away for so `long`, by setting")
	return &ffcli.Command{Name: "points", ShortUsage: "linenwheel-lab points [flags]", FlagSet: flags,
		ShortHelp: "a node lost, stopped or cut off at each point of a charge's way; status 1 if a promise was broken",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			node, keeper, dir, done, err := programs()
			if err != nil {
				return err
			}
			defer done()
			if *without > 0 {
				list, err := points.Majority(ctx, points.Options{Node: node, Keeper: keeper, Dir: dir}, *without)
				for _, w := range list {
					fmt.Fprintf(to.out, "%s: reads %v, charges %v, slowest %.0f ms, charges again after %.0f ms, untrue refusals %d\n", w.Setting, w.Reads,
						w.Charges, w.Slowest, w.Back, w.Untrue)
				}
				return err
			}
			list := []points.Outcome{}
			for i, window := range []string{"", "1s"} {
				some, err := points.Play(ctx, points.Options{Node: node, Keeper: keeper, Dir: filepath.Join(dir, strconv.Itoa(i)), Alone: *alone, Window: window})
				if list = append(list, some...); err != nil {
					return err
				}
			}
			if *asJSON {
				err = json.NewEncoder(to.out).Encode(list)
			} else {
				for _, o := range list {
					fmt.Fprintf(to.out, "%6.0f ms  %s %v\n", o.Took, o.Point, o.Broken)
				}
			}
			if err == nil && slices.ContainsFunc(list, func(o points.Outcome) bool { return len(o.Broken) > 0 }) {
				err = errVerdict
			}
			return err
		}}
}

// roomsCommand plays tenants that come unevenly to a fleet.
func roomsCommand(to streams) *ffcli.Command {
	set := rooms.Settings{}
	flags := flagSet("linenwheel-lab rooms", to)
	flags.Float64Var(&set.Rate, "rate", 200, "`calls` a second that the fleet may let through")
	flags.DurationVar(&set.Length, "for", 30*time.Second, "`time` that is judged")
	flags.Float64Var(&set.Leased, "leased", 0.95, "`part` of the room that is leased")
	flags.BoolVar(&set.Lose, "lose", false, "burn the last node in the middle")
	flags.BoolVar(&set.Cut, "cut", false, "cut the first node off from the keepers for a third of the time")
	asJSON := flags.Bool("json", false, "print the result as JSON")
	return &ffcli.Command{Name: "rooms", ShortUsage: "linenwheel-lab rooms [flags]", FlagSet: flags,
		ShortHelp: "tenants' shares over five real nodes to which they come unevenly; status 1 if the fleet let through too much",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			var done func()
			var err error
			if set.Node, set.Keeper, set.Dir, done, err = programs(); err != nil {
				return err
			}
			defer done()
			r, err := rooms.Play(ctx, set)
			if err != nil {
				return err
			}
			if *asJSON {
				err = json.NewEncoder(to.out).Encode(r)
			} else {
				w := tabwriter.NewWriter(to.out, 0, 0, 2, ' ', 0)
				fmt.Fprintln(w, "tenant\tasked/s\tgot/s\tdue/s")
				for name, due := range r.Due {
					fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\n", name, r.Asked[name], r.Got[name], due)
				}
				fmt.Fprintf(w, "farthest off its due %.1f%%, %.0f calls beyond what may be let through (below 0 = none), %d other answers\n", 100*r.Worst, r.Over, r.Others)
				err = w.Flush()
			}
			if err == nil && len(r.Broken) > 0 {
				err = errVerdict
			}
			return err
		}}
}

// lifeCommand plays a whole fleet for a long time, and shrinks what fails.
func lifeCommand(to streams) *ffcli.Command {
	set := life.Settings{}
	flags := flagSet("linenwheel-lab life", to)
	flags.IntVar(&set.Nodes, "nodes", 5, "`number` of nodes")
	flags.IntVar(&set.Keepers, "keepers", 3, "`number` of keepers")
	flags.Float64Var(&set.Rate, "rate", 100, "`posts` a second; in a course, charges")
	flags.DurationVar(&set.Length, "for", time.Minute, "`time` in which faults come")
	flags.DurationVar(&set.Every, "every", 2*time.Second, "`time` between two faults, or steps")
	flags.StringVar(&set.Course, "course", "", "in place of drawn faults the steps of a `course`: "+strings.Join(life.Courses, ", "))
	flags.StringVar(&set.Before, "before", "", "the `folder` with the node's and the keeper's program of the release before, for the course roll")
	flags.Uint64Var(&set.Seed, "seed", 1, "of all that is drawn")
	shrink := flags.Int("shrink", 0, "after a failure, `plays` at the most to find the fewest faults that still fail")
	steps := flags.String("steps", "", "a `file` of faults in place of drawn ones, as a failed play prints them")
	return &ffcli.Command{Name: "life", ShortUsage: "linenwheel-lab [circle] life [flags]", FlagSet: flags,
		ShortHelp: "charges, leases, orders, policies and faults of all kinds at once on real processes; status 1 if a promise was broken",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if set.Course != "" && !slices.Contains(life.Courses, set.Course) {
				return usage(fmt.Errorf("there is no course %q", set.Course))
			}
			if *steps != "" {
				text, err := os.ReadFile(*steps)
				if err == nil {
					err = json.Unmarshal(text, &set.Steps)
				}
				if err != nil {
					return usage(err)
				}
			}
			play := func(of life.Settings) (life.Result, error) {
				var done func()
				var err error
				if of.Node, of.Keeper, of.Dir, done, err = programs(); err != nil {
					return life.Result{}, err
				}
				r, err := life.Play(ctx, of)
				if err == nil && len(r.Broken) > 0 {
					fmt.Fprintln(to.errs, "what the processes of the broken play wrote is kept in", of.Dir)
					return r, nil
				}
				done()
				return r, err
			}
			r, err := play(set)
			if err != nil {
				return err
			}
			failed := len(r.Broken) > 0
			if list := r.Steps; failed && *shrink > 0 {
				r.Steps = life.Shrink(list, *shrink, func(s []life.Step) bool {
					again := set
					again.Steps, again.Length = s, time.Duration(len(s)+1)*set.Every
					next, err := play(again)
					return err == nil && len(next.Broken) > 0
				})
			}
			if !failed {
				r.Steps = nil
			}
			out := json.NewEncoder(to.out)
			out.SetIndent("", "  ")
			if err = out.Encode(r); err == nil && failed {
				err = errVerdict
			}
			return err
		}}
}
