package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/thriftpeers"
	"linenwheel.dev/linenwheel/lab/thriftplay"
)

func thriftCommand(to streams) *ffcli.Command {
	flags := flagSet("linenwheel-lab thrift", to)
	calls := flags.Int("calls", 100000, "in each form")
	connections := flags.Int("connections", 16, "of clients, each with one call at a time")
	node := flags.String("node", "", "which sides are played by the library for Node.js: clients, raters or both (program node, npm package thrift)")
	modules := flags.String("modules", "", "the folder node_modules in which that package stands")
	return &ffcli.Command{
		Name:       "thrift",
		ShortUsage: "linenwheel-lab thrift [flags]",
		ShortHelp:  "many calls in every form of Thrift, by the official library on both sides of a node, each result compared",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			forms, others := thriftpeers.Forms, (*thriftplay.Others)(nil)
			switch *node {
			case "":
			case "clients", "raters", "both":
				others = &thriftplay.Others{Modules: *modules, Clients: *node != "raters", Raters: *node != "clients"}
				forms = others.Forms()
				remove, err := others.Open()
				if err != nil {
					return err
				}
				defer remove()
			default:
				return usage(fmt.Errorf("-node is %q: clients, raters or both wanted", *node))
			}
			w := tabwriter.NewWriter(to.out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "form\tcalls\twrong\trefused\trun twice\tseconds\tmean us")
			bad := false
			for _, f := range forms {
				t, err := thriftplay.Play(ctx, f, *calls, *connections, others)
				if err != nil {
					return err
				}
				bad = bad || t.Wrong+t.Twice > 0
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.0f\n", t.Form, t.Calls, t.Wrong, t.Declined, t.Twice, t.Seconds, t.Mean)
			}
			if err := w.Flush(); err != nil {
				return err
			}
			if bad {
				return errVerdict
			}
			return nil
		},
	}
}
