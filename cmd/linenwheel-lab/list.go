package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/sites"
	"linenwheel.dev/linenwheel/lab/world"
)

func listCommand(to streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "linenwheel-lab list",
		ShortHelp:  "list the shipped experiments and sites, and the kinds of trouble",
		FlagSet:    flagSet("linenwheel-lab list", to),
		Exec: func(_ context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			w := tabwriter.NewWriter(to.out, 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "experiments:")
			for _, name := range experiments.Names() {
				e, err := experiments.Load(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(w, "  %s\t%s\n", name, e.About)
			}
			fmt.Fprintln(w, "\nsites:")
			for _, name := range sites.Names() {
				s, err := sites.Load(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(w, "  %s\t%s\n", name, s.About)
			}
			fmt.Fprintln(w, "\ntroubles:")
			about := world.TroubleKinds()
			for _, kind := range world.KindsInOrder() {
				fmt.Fprintf(w, "  %s\t%s\n", kind, about[kind])
			}
			return w.Flush()
		},
	}
}
