package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/matrix"
	"linenwheel.dev/linenwheel/lab/report"
	"linenwheel.dev/linenwheel/lab/report/chart"
)

const scaleHelp = `Plays the module in virtual time against what a user would otherwise pick: on every shipped experiment, then over
load, nodes, raters, the delay of discovery and the part of raters in trouble, and one large day. Writes the page with the
tables and its plots. Exit status 1: the module broke a rule.

  linenwheel-lab scale -to docs/measurements`

// sweep is one scale over which policies are played.
type sweep struct {
	name, title, about string
	cell               matrix.Cell // what all have in common
	policies           []string
	seeds              int // of the command's; 0 = all
	at                 []float64
	set                func(*matrix.Cell, float64)
	log                bool
}

const module = "linenwheel"

var (
	usualRivals = []string{module, "random", "weighted", "least", "two", "ewma", "prequal", "bound"}
	// Those that look at each rater for each request take too long with a thousand of them.
	cheapRivals = []string{module, "random", "two"}
)

var sweeps = []sweep{
	{name: "load", title: "Over load", about: "`calm`: 1 or 2 nodes, 8 to 10 raters; load as a share of what the fleet can do.",
		cell: matrix.Cell{Experiment: "calm"}, policies: usualRivals, at: []float64{0.3, 0.5, 0.7, 0.8, 0.9, 1, 1.2, 1.4},
		set: func(c *matrix.Cell, v float64) { c.Load = v }},
	{name: "nodes", title: "Over nodes at one total load", about: "`rating-x10`: 80 to 100 raters, 2,000 requests a second in all, half a minute.",
		cell: matrix.Cell{Experiment: "rating-x10", Rate: 2000, Seconds: 30}, policies: usualRivals, seeds: 10,
		at:  []float64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000},
		set: func(c *matrix.Cell, v float64) { c.Nodes = int(v) }, log: true},
	{name: "raters", title: "Over raters", about: "`rating` with 20 nodes at a load of 0.6, ten seconds: from some 150 to some 15,000 requests a second.",
		cell: matrix.Cell{Experiment: "rating", Nodes: 20, Load: 0.6, Seconds: 10}, policies: cheapRivals, seeds: 3,
		at:  []float64{10, 30, 100, 300, 1000},
		set: func(c *matrix.Cell, v float64) { c.Raters = int(v) }, log: true},
	{name: "delay", title: "Over discovery's delay", about: "`churn`, discovery so many times as late as the site has it.",
		cell: matrix.Cell{Experiment: "churn"}, policies: usualRivals, at: []float64{0.25, 0.5, 1, 2, 4, 8},
		set: func(c *matrix.Cell, v float64) { c.Delay = v }, log: true},
	{name: "part", title: "Over the part of raters in trouble", about: "`slow`: that part of the raters runs five times slower for 15 s.",
		cell: matrix.Cell{Experiment: "slow"}, policies: usualRivals, at: []float64{0.1, 0.2, 0.3, 0.4, 0.5, 0.6},
		set: func(c *matrix.Cell, v float64) { c.Part = v }},
}

func scaleCommand(to streams) *ffcli.Command {
	f := flagSet("linenwheel-lab scale", to)
	dir := f.String("to", "found/scale", "directory of the page scale.md and of its plots")
	seeds := f.Int("seeds", 20, "days of each kind, from seed 1; a sweep may play fewer")
	large := f.Int("large", 60, "seconds of the large day, 0 = none")
	on := f.String("on", "", "sections, separated by commas: experiments, load, nodes, raters, delay, part (default: all)")
	return &ffcli.Command{
		Name:       "scale",
		ShortUsage: "linenwheel-lab scale [flags]",
		ShortHelp:  "the module in virtual time against its rivals, over every scale: the tables and plots of a page",
		LongHelp:   scaleHelp,
		FlagSet:    f,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if *seeds < 2 {
				return usage(fmt.Errorf("-seeds is %d: an interval needs 2", *seeds))
			}
			s := scale{ctx: ctx, book: newBook(), dir: *dir, errs: to.errs}
			for i := range *seeds {
				s.seeds = append(s.seeds, uint64(i+1))
			}
			if err := os.MkdirAll(*dir, 0o755); err != nil {
				return err
			}
			wanted := func(name string) bool { return *on == "" || slices.Contains(strings.Split(*on, ","), name) }
			if err := s.page(wanted, float64(*large)); err != nil {
				return err
			}
			if err := writeFile(filepath.Join(*dir, "scale.md"), func(w io.Writer) error { _, err := w.Write(s.text.Bytes()); return err }); err != nil {
				return err
			}
			if s.broken > 0 {
				return errVerdict
			}
			return nil
		},
	}
}

// scale is a page in the making.
type scale struct {
	ctx    context.Context
	book   *book
	seeds  []uint64
	dir    string
	errs   io.Writer
	text   bytes.Buffer
	broken int // rules, by the module
}

func (s *scale) page(wanted func(string) bool, large float64) error {
	begun := time.Now()
	fmt.Fprintf(&s.text, `# At scale, measured

    make scale          # writes this page and its plots

The module in virtual time, %d processors. G is the service figure; in brackets or behind ± is the 95%% interval of the difference to the
module on the same seeds, %d of them if nothing else is said. Every rival runs with its companions (ejection, a retry budget, a cap on what is
held, slow start) and keeps the rules; bound sees the true state of every rater, which no node can, and splits each moment well,
not the day. What follows from it stands in [the design](../design/scale.md).
`, runtime.NumCPU(), len(s.seeds))
	if wanted("experiments") {
		if err := s.shipped(); err != nil {
			return err
		}
	}
	for i := range sweeps {
		if wanted(sweeps[i].name) {
			if err := s.sweep(&sweeps[i]); err != nil {
				return err
			}
		}
	}
	if large > 0 {
		if err := s.large(large); err != nil {
			return err
		}
	}
	fmt.Fprintf(&s.text, "\nAll of this took %.0f s.\n", time.Since(begun).Seconds())
	return nil
}

// play plays cells; the policies of a cell stand behind each other.
func (s *scale) play(cells []matrix.Cell, seeds []uint64, measure bool) ([]matrix.Result, error) {
	for _, c := range cells {
		if _, err := s.book.open(c.Experiment); err != nil {
			return nil, err
		}
	}
	o := matrix.Options{Seeds: seeds, Measure: measure}
	if terminal(s.errs) {
		o.Done = func(done, of int) { fmt.Fprintf(s.errs, "\r%d of %d days\x1b[K", done, of) }
	}
	results, err := matrix.Play(s.ctx, s.book.open, cells, o)
	for i := range results {
		if results[i].Cell.Policy == module {
			s.broken += total(&results[i])
		}
	}
	return results, err
}

func total(r *matrix.Result) (n int) {
	for _, of := range r.Broken() {
		n += of
	}
	return n
}

func mean(r *matrix.Result) float64 { return report.IntervalOf(r.G()).Mean }

func less(r, than *matrix.Result) string {
	v := r.Against(than, func(r *matrix.Run) float64 { return r.G })
	return fmt.Sprintf("%+.3f ± %.3f", v.Mean, v.High-v.Mean)
}

// shipped plays every experiment that is shipped with all policies that can be picked.
func (s *scale) shipped() error {
	policies := []string{module, "random", "robin", "weighted", "least", "two", "ewma", "prequal", "bound", "bound-told"}
	var cells []matrix.Cell
	for _, name := range experiments.Names() {
		for _, p := range policies {
			cells = append(cells, matrix.Cell{Experiment: name, Policy: p})
		}
	}
	seeds := s.seeds[:min(10, len(s.seeds))]
	results, err := s.play(cells, seeds, false)
	if err != nil {
		return err
	}
	fmt.Fprintf(&s.text, "\n## Every shipped experiment\n\n%d seeds. The best rival is the one with the highest mean of those that broke no rule; bound is the better of two.\n\n"+
		"| experiment | linenwheel | worst seed | rules broken | best rival | its G | it less linenwheel | bound | bound less linenwheel |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", len(seeds))
	for i := 0; i < len(results); i += len(policies) {
		row := results[i : i+len(policies)]
		own, n := &row[0], len(policies)
		rival, bound := best(row[1:n-2]), best(row[n-2:])
		worst, seed := own.Worst()
		fmt.Fprintf(&s.text, "| `%s` | %.3f | %.3f (%d) | %d | %s | %.3f | %s | %.3f | %s |\n", own.Cell.Experiment, mean(own), worst, seed, total(own),
			rival.Cell.Policy, mean(rival), less(rival, own), mean(bound), less(bound, own))
	}
	return nil
}

// best is the result with the highest mean among those that broke no rule; the first of all if each did.
func best(row []matrix.Result) *matrix.Result {
	top, g := &row[0], math.Inf(-1)
	for i := range row {
		if total(&row[i]) == 0 && mean(&row[i]) > g {
			top, g = &row[i], mean(&row[i])
		}
	}
	return top
}

// sweep plays one scale and draws it.
func (s *scale) sweep(w *sweep) error {
	seeds := s.seeds
	if w.seeds > 0 {
		seeds = seeds[:min(w.seeds, len(seeds))]
	}
	var cells []matrix.Cell
	for _, v := range w.at {
		for _, p := range w.policies {
			c := w.cell
			w.set(&c, v)
			c.Policy = p
			cells = append(cells, c)
		}
	}
	results, err := s.play(cells, seeds, false)
	if err != nil {
		return err
	}
	fmt.Fprintf(&s.text, "\n## %s\n\n%s %d seeds.\n\n![G](scale-%s.svg)\n\n| %s | %s | best rival less linenwheel | rules broken by linenwheel |\n|%s\n", w.title, w.about,
		len(seeds), w.name, w.name, strings.Join(w.policies, " | "), strings.Repeat(" --- |", len(w.policies)+3))
	lines := make([]chart.Line, len(w.policies))
	for k, p := range w.policies {
		lines[k] = chart.Line{Name: p, Color: k, Dots: true, Bars: true, Dashed: strings.HasPrefix(p, "bound")}
	}
	for i, v := range w.at {
		row := results[i*len(w.policies) : (i+1)*len(w.policies)]
		fmt.Fprintf(&s.text, "| %g |", v)
		for k := range row {
			g := report.IntervalOf(row[k].G())
			fmt.Fprintf(&s.text, " %.3f |", g.Mean)
			l := &lines[k]
			l.Points, l.Low, l.High = append(l.Points, chart.Point{X: v, Y: g.Mean}), append(l.Low, max(g.Low, 0)), append(l.High, min(g.High, 1))
		}
		rivals := row[1:]
		if w.policies[len(w.policies)-1] == "bound" {
			rivals = rivals[:len(rivals)-1]
		}
		rival := best(rivals)
		fmt.Fprintf(&s.text, " %s: %s | %d |\n", rival.Cell.Policy, less(rival, &row[0]), total(&row[0]))
	}
	c := chart.Chart{Title: "G over " + w.name, X: chart.Axis{Label: w.name}, Y: chart.Axis{Label: "G"}, Lines: lines, Height: 300}
	if w.log {
		c.X.Scale = chart.Log
	}
	return os.WriteFile(filepath.Join(s.dir, "scale-"+w.name+".svg"), []byte(c.SVG()), 0o644)
}

// large plays one day of 1,000 nodes and 1,000 raters, at as many requests a rater as the sweep over nodes has.
func (s *scale) large(seconds float64) error {
	cell := matrix.Cell{Experiment: "rating-x10", Nodes: 1000, Raters: 1000, Rate: 20_000, Seconds: seconds}
	var cells []matrix.Cell
	for _, p := range []string{module, "two"} {
		c := cell
		c.Policy = p
		cells = append(cells, c)
	}
	begun := time.Now()
	results, err := s.play(cells, s.seeds[:1], true)
	if err != nil {
		return err
	}
	fmt.Fprintf(&s.text, "\n## A large day\n\n1,000 nodes, 1,000 raters, 20,000 requests a second (some 20 a rater, as above) for %g s, seed 1: %.0f s for both policies side by side, a core each.\n\n"+
		"| policy | requests | G | rules broken | attempts a request | us of the policy a request | KB a node |\n| --- | --- | --- | --- | --- | --- | --- |\n", seconds, time.Since(begun).Seconds())
	for i := range results {
		r := &results[i].Runs[0]
		fmt.Fprintf(&s.text, "| %s | %d | %.3f | %d | %.3f | %.1f | %.0f |\n", results[i].Cell.Policy, r.Arrivals, r.G, total(&results[i]),
			float64(r.Attempts)/float64(max(r.Arrivals, 1)), r.Micros, r.Bytes/1024)
	}
	return nil
}
