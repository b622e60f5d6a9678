// Package matrix plays days of one or several experiments with several policies, on several seeds, side by side on all
// cores, and sums up what came of it. The seeds are paired: each policy plays the same days, with the same arrivals,
// troubles and luck, so two of them are compared by the differences a seed.
//
// It does no I/O. What it gives hangs on the cells and seeds alone, not on the number of workers; but for the figures of
// processor time, which are those of the machine.
package matrix

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"sync"

	"gonum.org/v1/gonum/stat"

	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/form"
	"linenwheel.dev/linenwheel/lab/referee"
	"linenwheel.dev/linenwheel/lab/report"
	"linenwheel.dev/linenwheel/lab/rivals"
	"linenwheel.dev/linenwheel/lab/sim"
	"linenwheel.dev/linenwheel/lab/world"
)

// Cell is what is played on each seed: an experiment, with changes to it, and a policy.
type Cell struct {
	Experiment string  `json:"experiment"`
	Policy     string  `json:"policy"`
	Nodes      int     `json:"nodes,omitempty"` // 0: as the experiment has it; likewise below
	Raters     int     `json:"raters,omitempty"`
	Load       float64 `json:"load,omitempty"`    // work asked for, as a share of what the fleet can do
	Rate       float64 `json:"rate,omitempty"`    // or requests a second
	Delay      float64 `json:"delay,omitempty"`   // times as late as the site's discovery
	Part       float64 `json:"part,omitempty"`    // of the raters in each trouble
	Seconds    float64 `json:"seconds,omitempty"` // of the day
}

// String names a cell by what it changes.
func (c Cell) String() string {
	s := c.Experiment
	for _, f := range []struct {
		name string
		v    float64
	}{{"nodes", float64(c.Nodes)}, {"raters", float64(c.Raters)}, {"load", c.Load}, {"rate", c.Rate}, {"delay",
		c.Delay}, {"part", c.Part},
		{"seconds", c.Seconds}} {
		if f.v != 0 {
			s += fmt.Sprintf(" %s=%g", f.name, f.v)
		}
	}
	return s + " " + c.Policy
}

// Source opens experiments by name. Text that it gives is kept in the outcome.
type Source func(name string) (*experiments.Experiment, error)

// Day draws the day of a cell.
func (c Cell) Day(open Source, seed uint64) (*world.Day, error) {
	e, err := open(c.Experiment)
	if err != nil {
		return nil, err
	}
	s := *e.Site // the experiment is others' too
	set := func(r *form.Range, v float64) {
		if v != 0 {
			*r = form.Exactly(v)
		}
	}
	set(&s.Size.Nodes, float64(c.Nodes))
	set(&s.Size.Raters, float64(c.Raters))
	set(&s.Size.Day.Range, c.Seconds*1000)
	set(&s.Load.Level, c.Load)
	set(&s.Load.Rate, c.Rate)
	if c.Load != 0 {
		s.Load.Rate = form.Range{}
	}
	if c.Delay != 0 {
		for _, r := range []*form.Span{&s.Discovery.Notice, &s.Discovery.NoticeSilent, &s.Discovery.Add,
			&s.Discovery.Spread} {
			r.Lo, r.Hi = r.Lo*c.Delay, r.Hi*c.Delay
		}
	}
	troubles := slices.Clone(e.Troubles)
	for i := range troubles {
		if c.Part != 0 && troubles[i].Raters == nil {
			set(&troubles[i].Part, c.Part)
		}
	}
	return world.Draw(&s, seed, troubles)
}

// Run is what came of a cell on a seed.
type Run struct {
	Seed     uint64               `json:"seed"`
	Digest   string               `json:"digest"` // of all that parties saw, xxhash, 16 hex digits
	G        float64              `json:"g"`
	Parts    referee.Parts        `json:"parts"`
	Costs    referee.Costs        `json:"costs"`
	Broken   map[referee.Rule]int `json:"broken,omitempty"`
	Verdicts []referee.Verdict    `json:"verdicts,omitempty"` // the first few
	Arrivals int                  `json:"arrivals"`
	Tries    int                  `json:"tries"`
	Attempts int                  `json:"attempts"`
	Probes   int                  `json:"probes"`
	Guard    sim.Guard            `json:"guard"`
	Uneven   float64              `json:"uneven"` // deviation of the raters' load, work offered by capacity, as a share of its mean
	P50      []float64            `json:"p50_ms"` // of served first tries, by class
	P99      []float64            `json:"p99_ms"`
	Micros   float64              `json:"policy_us"`  // processor time of the policy a request that reached a node
	Bytes    float64              `json:"node_bytes"` // that it holds at a node
	Events   uint64               `json:"events"`
	Fleet    *Fleet               `json:"fleet,omitempty"` // with Options.Count
}

// Fleet is what all nodes of a day together took.
type Fleet struct {
	ColdUse    float64 `json:"cold_use"`    // most of its budget in a second that a cold rater got
	Alike      float64 `json:"alike"`       // largest part of the nodes that joined or left a rater within a second
	HeldMost   int     `json:"held_most"`   // connections at one rater
	Opened     float64 `json:"opened"`      // connections a request
	Further    float64 `json:"further"`     // further attempts a request
	ListCalls  int     `json:"list_calls"`  // to the service of the list
	ListFailed int     `json:"list_failed"` // of which failed
}

func newFleet(list []sim.Second) *Fleet {
	if len(list) == 0 {
		return nil
	}
	f, first, all, opened := &Fleet{}, 0, 0, 0
	for _, s := range list {
		f.ColdUse, f.Alike, f.HeldMost = max(f.ColdUse, s.ColdUse), max(f.Alike, s.Alike), max(f.HeldMost, s.HeldMost)
		f.ListCalls, f.ListFailed = f.ListCalls+s.ListCalls, f.ListFailed+s.ListFailed
		first, all, opened = first+s.FirstSends, all+s.Sends, opened+s.Opened
	}
	if first > 0 {
		f.Opened, f.Further = float64(opened)/float64(first), float64(all-first)/float64(first)
	}
	return f
}

// Result is what came of a cell.
type Result struct {
	Cell Cell  `json:"cell"`
	Runs []Run `json:"runs"` // by seed, in the order asked for
}

// Options say how cells are played.
type Options struct {
	Seeds   []uint64
	Workers int // 0: one a core
	Measure bool
	Count   bool               // over the fleet
	Done    func(done, of int) // called after each day, if set
}

// Play plays all cells on all seeds. The first error ends it.
func Play(ctx context.Context, open Source, cells []Cell, o Options) ([]Result, error) {
	out := make([]Result, len(cells))
	for i := range cells {
		out[i] = Result{cells[i], make([]Run, len(o.Seeds))}
	}
	workers := cmp.Or(o.Workers, runtime.GOMAXPROCS(0))
	jobs := make(chan int)
	var mu sync.Mutex
	var wrong error
	done := 0
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for job := range jobs {
				cell, seed := job/len(o.Seeds), job%len(o.Seeds)
				r, err := cells[cell].Play(open, o.Seeds[seed], o)
				out[cell].Runs[seed] = r
				mu.Lock()
				if wrong == nil && err != nil {
					wrong = fmt.Errorf("%v: %w", cells[cell], err)
				}
				done++
				if o.Done != nil {
					o.Done(done, len(cells)*len(o.Seeds))
				}
				mu.Unlock()
			}
		})
	}
	for job := range len(cells) * len(o.Seeds) {
		mu.Lock()
		stop := wrong != nil
		mu.Unlock()
		if stop || ctx.Err() != nil {
			break
		}
		jobs <- job
	}
	close(jobs)
	wait.Wait()
	return out, cmp.Or(wrong, ctx.Err())
}

// Play plays a cell on a seed.
func (c Cell) Play(open Source, seed uint64, o Options) (Run, error) {
	day, err := c.Day(open, seed)
	if err != nil {
		return Run{}, err
	}
	policy, err := rivals.ByName(c.Policy)
	if err != nil {
		return Run{}, err
	}
	out, err := sim.Play(day, sim.Options{Policy: policy, Reports: Reports(c.Policy), Measure: o.Measure, Count: o.Count})
	if err != nil {
		return Run{}, err
	}
	return NewRun(seed, out), nil
}

// Reports tells whether a policy needs raters that report in answers to probes.
func Reports(policy string) bool { return policy == "prequal" }

const keptVerdicts = 3

// NewRun sums a day up.
func NewRun(seed uint64, o *sim.Outcome) Run {
	j := o.Judgement
	r := Run{Seed: seed, Digest: fmt.Sprintf("%016x", o.Digest), G: j.G, Parts: j.Parts, Costs: j.Costs,
		Broken: j.Broken, Arrivals: j.Arrivals,
		Tries: j.Tries, Attempts: j.Attempts, Probes: j.Probes, Guard: o.Guard, Bytes: o.Bytes, Events: o.Events, Fleet: newFleet(o.Seconds),
		Micros:   float64(o.Policy) / 1e3 / float64(max(o.Requests, 1)),
		Verdicts: j.Verdicts[:min(keptVerdicts, len(j.Verdicts))]}
	var loads []float64
	for i := range j.Raters {
		if f := &j.Raters[i]; f.Capacity > 0 {
			loads = append(loads, f.Offered/f.Capacity)
		}
	}
	if mean, dev := stat.MeanStdDev(loads, nil); mean > 0 && len(loads) > 1 {
		r.Uneven = dev / mean
	}
	for i := range j.Classes {
		r.P50 = append(r.P50, float64(j.Classes[i].Latency.ValueAtQuantile(50))/1000)
		r.P99 = append(r.P99, float64(j.Classes[i].Latency.ValueAtQuantile(99))/1000)
	}
	return r
}

// BrokenRules counts all verdicts of a run.
func (r *Run) BrokenRules() (n int) {
	for _, k := range r.Broken {
		n += k
	}
	return n
}

// Values gives a figure of each run.
func (r *Result) Values(of func(*Run) float64) []float64 {
	list := make([]float64, len(r.Runs))
	for i := range r.Runs {
		list[i] = of(&r.Runs[i])
	}
	return list
}

// G gives the service figures.
func (r *Result) G() []float64 { return r.Values(func(r *Run) float64 { return r.G }) }

// Worst is the lowest service figure and its seed.
func (r *Result) Worst() (g float64, seed uint64) {
	g = math.Inf(1)
	for i := range r.Runs {
		if r.Runs[i].G < g {
			g, seed = r.Runs[i].G, r.Runs[i].Seed
		}
	}
	return g, seed
}

// Broken counts the verdicts of all runs by rule.
func (r *Result) Broken() map[referee.Rule]int {
	all := map[referee.Rule]int{}
	for i := range r.Runs {
		for rule, n := range r.Runs[i].Broken {
			all[rule] += n
		}
	}
	return all
}

// Against gives the interval of the differences a seed between a figure of one result and of another on the same seeds.
func (r *Result) Against(other *Result, of func(*Run) float64) report.Interval {
	a, b := r.Values(of), other.Values(of)
	for i := range a {
		a[i] -= b[i]
	}
	return report.IntervalOf(a)
}

// Bound is the best of the bounds' figures on each seed, of results of one experiment; nil if there are none.
func Bound(results []Result) []float64 {
	var best []float64
	for i := range results {
		if !IsBound(results[i].Cell.Policy) {
			continue
		}
		g := results[i].G()
		if best == nil {
			best = g
		}
		for k := range g {
			best[k] = max(best[k], g[k])
		}
	}
	return best
}

// IsBound tells whether a policy sees what no node can.
func IsBound(policy string) bool { return strings.HasPrefix(policy, "bound") }
