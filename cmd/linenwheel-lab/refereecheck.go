package main

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/wrong"
	"linenwheel.dev/linenwheel/lab/wrong/check"
)

const refereeCheckHelp = `It plays nodes that each break one rule on purpose on days of some seconds, and a careful one that breaks none.
The referee must catch each by its rule and by no other, and find nothing at the careful one. Status 1 if not.`

func refereeCheckCommand(to streams) *ffcli.Command {
	f := flagSet("linenwheel-lab referee-check", to)
	atOnce := f.Int("at-once", 6, "days played side by side")
	return &ffcli.Command{
		Name:       "referee-check",
		ShortUsage: "linenwheel-lab referee-check [flags]",
		ShortHelp:  "show that the referee catches nodes that are wrong on purpose",
		LongHelp:   refereeCheckHelp,
		FlagSet:    f,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			dir, err := os.MkdirTemp("", "linenwheel-lab-")
			if err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(dir) }()
			bad := 0
			report := func(r check.Result) {
				word := "ok   "
				if r.Wrong != "" {
					word = "WRONG"
					bad++
				}
				fmt.Fprintf(to.out, "%s  %-20s %s%s\n", word, r.Name(), r.Wrong, r.Reason())
			}
			command := func(fault wrong.Fault) (string, error) {
				if fault == wrong.None {
					return nodeShell("careful")
				}
				return nodeShell("wrong-" + string(fault))
			}
			if err := check.All(ctx, command, dir, *atOnce, report); err != nil {
				return err
			}
			if bad > 0 {
				fmt.Fprintf(to.out, "%d of %d wrong\n", bad, len(check.Cases))
				return errVerdict
			}
			fmt.Fprintf(to.out, "all %d as they must be\n", len(check.Cases))
			return nil
		},
	}
}
