package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/matrix"
	"linenwheel.dev/linenwheel/lab/report"
	"linenwheel.dev/linenwheel/lab/rivals"
	"linenwheel.dev/linenwheel/lab/sites"
)

const simHelp = `Plays experiments in virtual time, with many instances of a policy before one world: every combination of the lists
given, each on the same seeds. NAME is an experiment, an experiment's file, a site, or "all" for all shipped experiments.
The first policy is the one that the others are compared with, seed by seed. Exit status 1: that policy broke a rule.

  linenwheel-lab sim calm hang -policies linenwheel,two,bound -seeds 20
  linenwheel-lab sim rating-x10 -nodes 1,10,100 -load 0.6 -json scale.json
  linenwheel-lab replay scale.json -cell 2 -seed 7 -rater 3`

// simFlags are the flags of sim.
type simFlags struct {
	policies, nodes, raters, load, rate, delay, part string
	seeds, json, report, against                     string
	seconds                                          float64
	workers                                          int
	measure, quiet, count                            bool
}

func simCommand(to streams) *ffcli.Command {
	var p simFlags
	f := flagSet("linenwheel-lab sim", to)
	f.StringVar(&p.policies, "policies", "linenwheel,two,bound",
		"policies, or \"all\": "+strings.Join(rivals.Names(), ", "))
	f.StringVar(&p.nodes, "nodes", "", "numbers of nodes (default: the experiment's)")
	f.StringVar(&p.raters, "raters", "", "numbers of raters")
	f.StringVar(&p.load, "load", "", "work asked for, as shares of what the fleet can do")
	f.StringVar(&p.rate, "rate", "", "or requests a second")
	f.StringVar(&p.delay, "delay", "", "times as late as the site's discovery")
	f.StringVar(&p.part, "part", "", "parts of the raters in each trouble")
	f.Float64Var(&p.seconds, "seconds", 0, "length of the day")
	f.StringVar(&p.seeds, "seeds", "", "how many seeds, from 1, or which: 1-20,31 (default: the experiment's)")
	f.IntVar(&p.workers, "workers", 0, "days played at once (default: one a core)")
	f.StringVar(&p.json, "json", "", "write the outcome to this file as JSON; replay reads it")
	f.StringVar(&p.against, "against", "", "compare with the same cells of this file, which -json wrote, instead of with the first policy")
	f.StringVar(&p.report, "report", "", "write a page and its JSON into this directory for each experiment of which one scale was swept")
	f.BoolVar(&p.measure, "measure", true, "measure processor time and memory of the policies")
	f.BoolVar(&p.count, "count", false, "count what all nodes together took, and print it")
	f.BoolVar(&p.quiet, "quiet", false, "no line that counts the days")
	return &ffcli.Command{
		Name:       "sim",
		ShortUsage: "linenwheel-lab sim NAME... [flags]",
		ShortHelp:  "play experiments in virtual time with several policies",
		LongHelp:   simHelp,
		FlagSet:    f,
		Exec: func(ctx context.Context, args []string) error {
			names, err := parseInterspersed(f, args)
			if err != nil {
				return err
			}
			return p.run(ctx, to, names)
		},
	}
}

func (p *simFlags) run(ctx context.Context, to streams, names []string) error {
	if len(names) == 0 {
		return usage(errors.New("want an experiment or a site: see list"))
	}
	if len(names) == 1 && names[0] == "all" {
		names = experiments.Names()
	}
	book := newBook()
	for _, n := range names {
		if _, err := book.open(n); err != nil {
			return usage(err)
		}
	}
	cells, err := p.cells(names)
	if err != nil {
		return usage(err)
	}
	o := matrix.Options{Workers: p.workers, Measure: p.measure, Count: p.count}
	first, _ := book.open(names[0])
	o.Seeds = first.Seeds
	if p.seeds != "" {
		if o.Seeds, err = readSeeds(p.seeds); err != nil {
			return usage(fmt.Errorf("-seeds: %w", err))
		}
	}
	for i := range cells { // what was laid over an experiment may not fit
		if _, err := cells[i].Day(book.open, o.Seeds[0]); err != nil {
			return usage(fmt.Errorf("%v: %w", cells[i], err))
		}
	}
	if !p.quiet && terminal(to.errs) {
		o.Done = func(done, of int) { fmt.Fprintf(to.errs, "\r%d of %d days\x1b[K", done, of) }
		defer fmt.Fprint(to.errs, "\r\x1b[K")
	}
	var before *matrix.File
	if p.against != "" {
		if before, err = readMatrix(p.against); err != nil {
			return usage(err)
		}
	}
	results, err := matrix.Play(ctx, book.open, cells, o)
	if err != nil {
		return err
	}
	printMatrix(to.out, results, before)
	if p.count {
		printFleet(to.out, results)
	}
	if p.json != "" {
		if err := writeJSON(p.json, matrix.NewFile(book.texts, results), to.out); err != nil {
			return err
		}
	}
	if p.report != "" {
		if err := saveSweeps(p.report, book.texts, results, names); err != nil {
			return err
		}
	}
	for i := range results {
		if results[i].Cell.Policy == cells[0].Policy && len(results[i].Broken()) > 0 {
			return errVerdict
		}
	}
	return nil
}

// printFleet prints what all nodes together took: the cold budget's use as a distribution over the seeds, the rest as means.
func printFleet(w io.Writer, results []matrix.Result) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "\ncell\tcold use: median\tmost\tseed\talike\theld by one\topened\tfurther\tlist calls\tfailed\t\n")
	for i := range results {
		r := &results[i]
		most, seed := -1.0, uint64(0)
		for k := range r.Runs {
			if use := r.Runs[k].Fleet.ColdUse; use > most {
				most, seed = use, r.Runs[k].Seed
			}
		}
		use := r.Values(func(r *matrix.Run) float64 { return r.Fleet.ColdUse })
		slices.Sort(use)
		mean := func(of func(*matrix.Fleet) float64) float64 {
			return report.IntervalOf(r.Values(func(r *matrix.Run) float64 { return of(r.Fleet) })).Mean
		}
		fmt.Fprintf(t, "%v\t%.3f\t%.3f\t%d\t%.2f\t%.0f\t%.3f\t%.3f\t%.0f\t%.0f\t\n", r.Cell, use[len(use)/2], most, seed,
			mean(func(f *matrix.Fleet) float64 { return f.Alike }), mean(func(f *matrix.Fleet) float64 { return float64(f.HeldMost) }),
			mean(func(f *matrix.Fleet) float64 { return f.Opened }), mean(func(f *matrix.Fleet) float64 { return f.Further }),
			mean(func(f *matrix.Fleet) float64 { return float64(f.ListCalls) }),
			mean(func(f *matrix.Fleet) float64 { return float64(f.ListFailed) }))
	}
	_ = t.Flush()
}

// saveSweeps writes the pages of what was swept.
func saveSweeps(dir string, texts map[string]string, results []matrix.Result, names []string) error {
	sweeps, err := matrix.Sweeps(texts, results, append([]string{"linenwheel-lab", "sim"}, names...))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, m := range sweeps {
		path := filepath.Join(dir, filepath.Base(m.Name)+"-"+m.Scale)
		if err := writeFile(path+".json", func(w io.Writer) error { return report.WriteJSON(w, m) }); err != nil {
			return err
		}
		if err := writeFile(path+".html", m.WriteHTML); err != nil {
			return err
		}
	}
	return nil
}

// cells are all combinations of the lists.
func (p *simFlags) cells(names []string) (cells []matrix.Cell, err error) {
	policies := strings.Split(p.policies, ",")
	if p.policies == "all" {
		policies = rivals.Names()
	}
	for _, name := range policies {
		if _, err := rivals.ByName(name); err != nil {
			return nil, err
		}
	}
	for _, n := range names {
		cells = append(cells, matrix.Cell{Experiment: n, Seconds: p.seconds})
	}
	for _, f := range []struct {
		flag, text string
		set        func(*matrix.Cell, float64)
	}{
		{"nodes", p.nodes, func(c *matrix.Cell, v float64) { c.Nodes = int(v) }},
		{"raters", p.raters, func(c *matrix.Cell, v float64) { c.Raters = int(v) }},
		{"load", p.load, func(c *matrix.Cell, v float64) { c.Load = v }},
		{"rate", p.rate, func(c *matrix.Cell, v float64) { c.Rate = v }},
		{"delay", p.delay, func(c *matrix.Cell, v float64) { c.Delay = v }},
		{"part", p.part, func(c *matrix.Cell, v float64) { c.Part = v }},
	} {
		if f.text == "" {
			continue
		}
		var more []matrix.Cell
		for _, c := range cells {
			for _, text := range strings.Split(f.text, ",") {
				v, err := strconv.ParseFloat(text, 64)
				if err != nil || v <= 0 || (f.flag == "nodes" || f.flag == "raters") && v != float64(int(v)) {
					return nil, fmt.Errorf("-%s: %q is no such number", f.flag, text)
				}
				f.set(&c, v)
				more = append(more, c)
			}
		}
		cells = more
	}
	var all []matrix.Cell
	for _, c := range cells {
		for _, name := range policies {
			c.Policy = name
			all = append(all, c)
		}
	}
	return all, nil
}

// readSeeds reads a number of seeds, from 1, or a list such as 1,2,5 or 1-5.
func readSeeds(text string) ([]uint64, error) {
	if n, err := strconv.Atoi(text); err == nil && n >= 1 {
		text = "1-" + text
	}
	return seeds(text)
}

// book opens experiments and sites by name, each once, and keeps the texts of their files.
type book struct {
	known map[string]*experiments.Experiment
	texts map[string]string
}

func newBook() *book { return &book{map[string]*experiments.Experiment{}, map[string]string{}} }

// open is for many threads once each name has been opened.
func (b *book) open(name string) (*experiments.Experiment, error) {
	if e := b.known[name]; e != nil {
		return e, nil
	}
	e, err := experiments.Load(name)
	if err != nil {
		if _, none := sites.Text(name); none != nil {
			return nil, err
		}
		e, err = experiments.Parse(name+".toml", fmt.Sprintf("about = \"the site %s\"\nsite = %q\n", name,
			name), nil)
		if err != nil {
			return nil, err
		}
	}
	b.known[name], b.texts[name] = e, e.Text
	return e, nil
}

// readMatrix reads what -json wrote.
func readMatrix(name string) (*matrix.File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var f matrix.File
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err := f.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &f, nil
}

// printMatrix prints a line a cell, with the difference on the same seeds to the first policy or, if there is one, to the
// file from before.
func printMatrix(w io.Writer, results []matrix.Result, before *matrix.File) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	than := "less first"
	if before != nil {
		than = "less before"
	}
	fmt.Fprint(t, "cell\tpolicy\tG\tworst\tseed\t"+than+"\tbroken\tattempts\tuneven\tus\tKB\tguard\t\n")
	var base *matrix.Result
	last := ""
	for i := range results {
		r := &results[i]
		name := strings.TrimSuffix(r.Cell.String(), " "+r.Cell.Policy)
		if name != last {
			base = r
		} else {
			name = ""
		}
		if name != "" {
			last = name
		}
		worst, seed := r.Worst()
		less, other := "", base
		if before != nil {
			other = before.Find(r)
		}
		if other != nil && other != r {
			v := r.Against(other, func(r *matrix.Run) float64 { return r.G })
			less = fmt.Sprintf("%+.4f ± %.4f", v.Mean, v.High-v.Mean)
		}
		broken := 0
		for _, n := range r.Broken() {
			broken += n
		}
		guard := 0
		for k := range r.Runs {
			guard += r.Runs[k].Guard.Held()
		}
		mean := func(of func(*matrix.Run) float64) float64 { return report.IntervalOf(r.Values(of)).Mean }
		g := report.IntervalOf(r.G())
		fmt.Fprintf(t, "%s\t%s\t%.4f ± %.4f\t%.3f\t%d\t%s\t%d\t%.3f\t%.3f\t%.2f\t%.1f\t%d\t\n", name, r.Cell.Policy, g.Mean,
			g.High-g.Mean, worst, seed, less, broken,
			mean(func(r *matrix.Run) float64 { return float64(r.Attempts) / float64(max(r.Arrivals, 1)) }),
			mean(func(r *matrix.Run) float64 { return r.Uneven }), mean(func(r *matrix.Run) float64 { return r.Micros }),
			mean(func(r *matrix.Run) float64 { return r.Bytes / 1e3 }), guard)
	}
	_ = t.Flush()
	for i := range results {
		shown := 0
		for k := range results[i].Runs {
			for _, v := range results[i].Runs[k].Verdicts {
				if shown++; shown <= 3 {
					fmt.Fprintf(w, "%v, seed %d, %v\n", results[i].Cell, results[i].Runs[k].Seed, v)
				}
			}
		}
	}
}
