package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"linenwheel.dev/linenwheel/lab/outcome"
	"linenwheel.dev/linenwheel/lab/referee"
)

const compareHelp = `A and B are kinds of node as -node-cmd of run names them: linenwheel (the one beside this program), plain, careful, a shell
command, or an options file (*.toml) for the linenwheel beside this program. Both play the same days, one right
after the other and in turns first, and the differences of the pairs are summed up with the interval in which
their mean lies with 95% (Student's t). Status 1 if the lab itself fell behind.

  linenwheel-lab compare linenwheel plain -on calm,slow -seed 1-5
  linenwheel-lab compare linenwheel mine.toml -on drain -seed 1-8 -seconds 30`

func compareCommand(to streams) *ffcli.Command {
	var p play
	f := flagSet("linenwheel-lab compare", to)
	p.flags(f)
	on := f.String("on", "calm", "experiments, separated by commas")
	return &ffcli.Command{
		Name:       "compare",
		ShortUsage: "linenwheel-lab compare A B [flags]",
		ShortHelp:  "play two kinds of node on the same days and tell the difference",
		LongHelp:   compareHelp,
		FlagSet:    f,
		Exec: func(ctx context.Context, args []string) error {
			names, err := parseInterspersed(f, args)
			if err != nil {
				return err
			}
			if len(names) != 2 {
				return usage(errors.New("want two kinds of node"))
			}
			var kinds [2]variant
			for i, n := range names {
				if kinds[i], err = newVariant(n); err != nil {
					return usage(err)
				}
			}
			pairs, err := p.pairs(ctx, to, strings.Split(*on, ","), kinds)
			if err != nil {
				return err
			}
			if !printPairs(to.out, names, pairs) {
				return errVerdict
			}
			return nil
		},
	}
}

// pair is one day played by both.
type pair struct {
	experiment string
	runs       [2]outcome.Run
}

func (p *play) pairs(ctx context.Context, to streams, names []string, kinds [2]variant) (pairs []pair, err error) {
	for _, name := range names {
		e, err := p.load(name)
		if err != nil {
			return nil, err
		}
		for _, seed := range e.Seeds {
			one := pair{experiment: e.Name}
			for k := range kinds {
				k ^= len(pairs) & 1 // each goes first as often
				if one.runs[k], err = p.seed(ctx, to, e, seed, kinds[k], ""); err != nil {
					return nil, err
				}
			}
			pairs = append(pairs, one)
		}
	}
	return pairs, nil
}

// figures are what is compared.
var figures = []struct {
	name   string
	format string
	of     func(*outcome.Run) float64
}{
	{"G", "%.3f", func(r *outcome.Run) float64 { return r.Judgement.G }},
	{"worst window", "%.3f", func(r *outcome.Run) float64 { return r.Judgement.Parts.WorstWindow }},
	{"p99 of all classes, ms", "%.0f", func(r *outcome.Run) float64 {
		most := 0.0
		for _, l := range r.Latency {
			most = math.Max(most, l.P99)
		}
		return most
	}},
	{"work wasted, cost", "%.4f", func(r *outcome.Run) float64 { return r.Judgement.Costs.Waste }},
	{"CPU a request, ms", "%.3f", (*outcome.Run).CPU},
	{"memory, MB", "%.1f", func(r *outcome.Run) float64 {
		return r.Worst(func(n referee.NodeFigures) float64 { return n.MemoryMB })
	}},
	{"rules broken", "%.1f", func(r *outcome.Run) float64 { return float64(r.Judgement.BrokenRules()) }},
}

// printPairs prints each pair and the figures with their differences; false if the lab fell behind on any day.
func printPairs(w io.Writer, names []string, pairs []pair) bool {
	fine := true
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "day\tseed\tG of A\tG of B\tB - A\tbroken by A\tby B\t\n")
	for _, p := range pairs {
		a, b := p.runs[0].Judgement, p.runs[1].Judgement
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%+.3f\t%d\t%d\t\n", p.experiment, p.runs[0].Seed, a.G, b.G, b.G-a.G, a.BrokenRules(), b.BrokenRules())
	}
	_ = t.Flush()
	fmt.Fprintf(w, "\nA: %s\nB: %s\n\n", names[0], names[1])
	t = tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "mean over %d pairs\tA\tB\tB - A\t95%% from\tto\t\t\n", len(pairs))
	for _, f := range figures {
		var diffs []float64
		var sum [2]float64
		for i := range pairs {
			a, b := f.of(&pairs[i].runs[0]), f.of(&pairs[i].runs[1])
			diffs = append(diffs, b-a)
			sum[0] += a / float64(len(pairs))
			sum[1] += b / float64(len(pairs))
		}
		mean, lo, hi := interval(diffs)
		word := "no difference seen"
		if lo > 0 || hi < 0 {
			word = "differs"
		}
		form := "%s\t" + f.format + "\t" + f.format + "\t" + strings.Replace(f.format, "%", "%+", 1)
		fmt.Fprintf(t, form, f.name, sum[0], sum[1], mean)
		if math.IsNaN(lo) {
			fmt.Fprintf(t, "\t-\t-\tone pair tells no interval\t\n")
			continue
		}
		signed := strings.Replace(f.format, "%", "%+", 1)
		fmt.Fprintf(t, "\t"+signed+"\t"+signed+"\t%s\t\n", lo, hi, word)
	}
	_ = t.Flush()
	for _, p := range pairs {
		for _, r := range p.runs {
			for _, why := range r.Lab.Void {
				fmt.Fprintf(w, "void: %s, seed %d: %s\n", p.experiment, r.Seed, why)
				fine = false
			}
		}
	}
	return fine
}

// interval gives the mean of differences and the bounds within which it lies with 95%; NaN bounds for fewer than two.
func interval(diffs []float64) (mean, lo, hi float64) {
	mean, deviation := stat.MeanStdDev(diffs, nil)
	n := float64(len(diffs))
	if n < 2 {
		return mean, math.NaN(), math.NaN()
	}
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * deviation / math.Sqrt(n)
	return mean, mean - half, mean + half
}
