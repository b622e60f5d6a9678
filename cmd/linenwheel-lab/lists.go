package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/lists"
)

func listsCommand(to streams) *ffcli.Command {
	set := lists.Settings{}
	flags := flagSet("linenwheel-lab lists", to)
	flags.StringVar(&set.Bin, "bin", "bin", "the `folder` of the project's programs")
	flags.IntVar(&set.Drains, "drains", 200, "drains through each kind of source; 0 = none")
	flags.IntVar(&set.Relayed, "relayed", 20, "drains of a node's hosts while requests run")
	flags.Float64Var(&set.Rate, "rate", 1000, "requests a second meanwhile")
	sizes := flags.String("sizes", "1000,10000", "hosts of the large lists; empty = none")
	flags.DurationVar(&set.Stream, "stream", 10*time.Second, "how long one host a millisecond changes")
	flags.StringVar(&set.Dir, "dir", "", "for the programs' files; empty = a temporary one")
	asJSON := flags.Bool("json", false, "print the result as JSON")
	return &ffcli.Command{
		Name:       "lists",
		ShortUsage: "linenwheel-lab lists [flags]",
		ShortHelp:  "how soon a drain comes through discovery, etcd and files, and what large lists cost; status 1 if a relay came 500 ms after one",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) (err error) {
			if err := noArgs(args); err != nil {
				return err
			}
			if set.Drains < 0 || set.Relayed < 0 || set.Rate <= 0 || set.Stream < time.Millisecond {
				return usage(fmt.Errorf("-drains %d, -relayed %d, -rate %g, -stream %s", set.Drains, set.Relayed, set.Rate, set.Stream))
			}
			for one := range strings.SplitSeq(*sizes, ",") {
				if one == "" {
					continue
				}
				n, err := strconv.Atoi(one)
				if err != nil || n < 10 || n > 20000 {
					return usage(fmt.Errorf("-sizes %s", *sizes))
				}
				set.Sizes = append(set.Sizes, n)
			}
			if set.Dir == "" {
				if set.Dir, err = os.MkdirTemp("", "lists-"); err != nil {
					return err
				}
				defer func() { _ = os.RemoveAll(set.Dir) }() // what is left there is of no use
			}
			r, err := lists.Run(ctx, set, func(format string, args ...any) { fmt.Fprintf(to.errs, format+"\n", args...) })
			if err != nil {
				return err
			}
			if *asJSON {
				out := json.NewEncoder(to.out)
				out.SetIndent("", "  ")
				err = out.Encode(r)
			} else {
				err = printLists(to, r)
			}
			for _, d := range r.Delays {
				if err == nil && d.Late > 0 {
					err = errVerdict
				}
			}
			return err
		},
	}
}

func printLists(to streams, r *lists.Result) error {
	w := tabwriter.NewWriter(to.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SOURCE\tDRAINS\tP50 MS\tP99\tMAX\tWITH REQUESTS\tRELAYS AFTER\tLAST MS\tAFTER 500 MS\tRELAYS\tNOT SERVED")
	for _, d := range r.Delays {
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%d\t%d\t%.1f\t%d\t%d\t%d\n", d.Kind, d.Soon.Count, d.Soon.P50, d.Soon.P99, d.Soon.Max,
			d.Drains, d.After, d.Last, d.Late, d.Relays, d.Refused)
	}
	fmt.Fprintln(w, "\nSOURCE\tHOSTS\tREADY MS\tNODE MB\tAGENT MB\tCHANGE P50 MS\tP99\tGAP MS\tCHANGES\tBEHIND MS\tIN STATUS MS\tNODE CPU S\tAGENT CPU S")
	for _, s := range r.Sizes {
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%.1f\t%.1f\t%.2f\t%.2f\t%.0f\t%d\t%.1f\t%.0f\t%.2f\t%.2f\n", s.Kind, s.Hosts, s.List, s.Node, s.Agent,
			s.Change.P50, s.Change.P99, s.Gap, s.Changes, s.Behind, s.Pilot, s.NodeCPU, s.CPU)
	}
	return w.Flush()
}
