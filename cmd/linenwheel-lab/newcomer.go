package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/newcomer"
)

// newcomerCommand compares new nodes that learn with new ones that do not.
func newcomerCommand(to streams) *ffcli.Command {
	flags := flagSet("linenwheel-lab newcomer", to)
	seeds := flags.Int("seeds", 20, "how many, from 1, of each day")
	asJSON := flags.Bool("json", false, "print the rows as JSON")
	return &ffcli.Command{Name: "newcomer", ShortUsage: "linenwheel-lab newcomer [flags]", FlagSet: flags,
		ShortHelp: "a node that starts anew: what it earns at first, with what running nodes know and without; virtual time",
		LongHelp: "Status 1: one that learns earns less than 95% of what the same node would have earned had it not ended, or a rule broke;\n" +
			"or one that is told what is wrong passes, which the comparison must find.",
		Exec: func(_ context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if *seeds < 2 {
				return usage(errors.New("-seeds: want 2 or more"))
			}
			w := tabwriter.NewWriter(to.out, 0, 4, 2, ' ', tabwriter.AlignRight)
			if !*asJSON {
				fmt.Fprint(w, "day\tway\tfirst 30 s\tof one that stayed\tdifference\tworst seed\tfirst 3 s\tof one that stayed\tfurther\ttries\trules broken\t\n")
			}
			var faults []string
			found := 0
			for _, d := range newcomer.Days {
				ways := []newcomer.Way{newcomer.Empty, newcomer.Learns, newcomer.Swapped}
				if d.Forgets {
					ways = append(ways, newcomer.Old)
				}
				rows, err := newcomer.Compare(d, *seeds, ways...)
				if err != nil {
					return err
				}
				for i := range rows {
					r := &rows[i]
					switch why := r.Fails(&d); r.Way {
					case newcomer.Learns, newcomer.Old:
						faults = append(faults, why...)
					case newcomer.Swapped:
						found += len(why)
					}
					if *asJSON {
						if err := json.NewEncoder(to.out).Encode(r); err != nil {
							return err
						}
						continue
					}
					fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%+.3f ± %.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t\n", r.Day, r.Way, r.First, r.FirstPart,
						r.First-rows[0].First, r.FirstOff, r.FirstWorst, r.Soon, r.SoonPart, r.Further, r.Tries, r.BrokenRules)
				}
			}
			if err := w.Flush(); err != nil {
				return err
			}
			if found == 0 {
				faults = append(faults, "what is wrong on purpose was not found")
			}
			for _, f := range faults {
				fmt.Fprintln(to.errs, f)
			}
			if len(faults) > 0 {
				return errVerdict
			}
			return nil
		}}
}
