package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/quotas"
	"linenwheel.dev/linenwheel/lab/report/chart"
)

func quotaCommand(to streams) *ffcli.Command {
	flags := flagSet("linenwheel-lab quota", to)
	seed := flags.Uint64("seed", 1, "of the arrivals")
	asJSON := flags.Bool("json", false, "print the outcomes as JSON")
	plots := flags.String("plots", "", "a `folder` for one chart a case and way, as SVG")
	return &ffcli.Command{
		Name:       "quota",
		ShortUsage: "linenwheel-lab quota [flags]",
		ShortHelp:  "the node's quotas beside other ways to divide a fleet, on the same arrivals",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			w := tabwriter.NewWriter(to.out, 0, 0, 2, ' ', 0)
			out := json.NewEncoder(to.out)
			for i, c := range quotas.Cases {
				outcomes := quotas.Play(c, *seed)
				if *plots != "" {
					if err := plotQuotas(*plots, i, c, outcomes); err != nil {
						return err
					}
				}
				if *asJSON {
					if err := out.Encode(map[string]any{"case": c.Name, "outcomes": outcomes}); err != nil {
						return err
					}
					continue
				}
				fmt.Fprintf(w, "%s\tfarthest off its due\tover capacity\troom lost\tblocks refused\tfirst second\n", c.Name)
				for _, o := range outcomes {
					first := "-"
					if c.Wakes != "" {
						first = fmt.Sprintf("%.0f%%", 100*o.FirstTime)
					}
					fmt.Fprintf(w, "  %s\t%.1f%%\t%.1f%%\t%.1f%%\t%d of %d\t%s\n", o.Way, 100*o.Worst, 100*o.Over, 100*o.Lost, o.Refused,
						o.Blocks, first)
				}
			}
			if !*asJSON {
				fmt.Fprintln(w, "a fleet whose nodes talk\teach node its part: farthest off its due\tleases\tbeyond rate and burst\treports a second")
			}
			for _, c := range quotas.FleetCases {
				alone := quotas.PlayFleet(c, *seed, false, quotas.LeaseTimes{})
				leased := quotas.PlayFleet(c, *seed, true, quotas.LeaseTimes{Length: 2000, Every: 500, Way: 3})
				if *asJSON {
					if err := out.Encode(map[string]any{"case": c.Name, "outcomes": []quotas.FleetOutcome{alone, leased}}); err != nil {
						return err
					}
					continue
				}
				fmt.Fprintf(w, "  %s\t%.1f%%\t%.1f%%\t%.0f calls\t%.0f\n", c.Name, 100*alone.Worst, 100*leased.Worst, leased.Over, float64(leased.Reports)/70)
			}
			return w.Flush()
		},
	}
}

// plotQuotas draws what each leaf got, second by second, with its due.
func plotQuotas(folder string, number int, c quotas.Case, outcomes []quotas.Outcome) error {
	for _, o := range outcomes {
		plot := chart.Chart{Title: o.Way + ": " + c.Name, X: chart.Axis{Label: "seconds"}, Y: chart.Axis{Label: "calls a second"}}
		color := 0
		for _, n := range quotas.Tree {
			if o.Asked[n.Name] == 0 {
				continue
			}
			line := chart.Line{Name: n.Name, Color: color}
			for second, got := range o.Seconds {
				line.Points = append(line.Points, chart.Point{X: float64(second), Y: float64(got[n.Name])})
			}
			plot.Lines = append(plot.Lines, line)
			plot.Levels = append(plot.Levels, chart.Level{Y: o.Due[n.Name], Name: "due " + n.Name, Color: color})
			color++
		}
		name := fmt.Sprintf("quota-%d-%s.svg", number+1, strings.ReplaceAll(strings.ToLower(o.Way), " ", "-"))
		if err := os.WriteFile(filepath.Join(folder, name), []byte(plot.SVG()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
