// Package outcome is what came of an experiment: the judgement of each seed, whether the lab itself kept up, and whether the
// floors of the experiment's file held. It does no I/O; its JSON form is documented in docs/operate/lab.md.
package outcome

import (
	"fmt"
	"math"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/referee"
	"linenwheel.dev/linenwheel/lab/world"
)

// Version is that of the JSON form. A field never changes its meaning within a version; fields may be added.
const Version = 1

// Outcome is what came of an experiment with one kind of node.
type Outcome struct {
	Version    int      `json:"linenwheel_outcome"`
	Experiment string   `json:"experiment"`
	About      string   `json:"about,omitempty"`
	Text       string   `json:"text"` // of the experiment's file, whole
	Node       string   `json:"node_command"`
	Runs       []Run    `json:"runs"`
	Missed     []string `json:"missed"` // floors that did not hold, and rules that broke, a sentence each
	Passed     bool     `json:"passed"`
}

// Run is what came of one seed.
type Run struct {
	Seed      uint64             `json:"seed"`
	Began     time.Time          `json:"began"`
	Nodes     int                `json:"nodes"`
	Raters    int                `json:"raters"`     // of the start
	Length    float64            `json:"length_ms"`  // in which clients begin requests
	Rate      float64            `json:"rate"`       // first tries a second, mean without steps and surges
	Capacity  float64            `json:"capacity"`   // of the raters of the start, yardstick cores
	Level     float64            `json:"load_level"` // work asked for, as a share of that
	Troubles  []world.Trouble    `json:"troubles"`
	Judgement *referee.Judgement `json:"judgement"`
	Latency   []Latency          `json:"latency"` // by class
	Lab       Lab                `json:"lab"`
}

// Latency is how long first tries of a class took that were served, ms, from when they were due.
type Latency struct {
	Class string  `json:"class"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Most  float64 `json:"max_ms"`
}

// Lab says how well the lab itself did.
type Lab struct {
	Sends  int64    `json:"sends"`
	Over1  int64    `json:"over_1_ms"`  // that went out more than 1 ms late
	Over10 int64    `json:"over_10_ms"` // and 10 ms
	Most   float64  `json:"latest_ms"`
	Void   []string `json:"void,omitempty"` // why nothing can be said
}

// NewRun sums up a day and its judgement.
func NewRun(day *world.Day, j *referee.Judgement, began time.Time, lab Lab) Run {
	r := Run{Seed: day.Seed, Began: began, Nodes: day.Nodes, Raters: day.AtStart, Length: day.Length, Rate: day.Rate,
		Capacity: day.Capacity, Judgement: j, Lab: lab}
	for _, c := range day.Classes {
		r.Level += c.Share * c.Work * day.Rate / 1000 / day.Capacity
	}
	for _, t := range day.Troubles {
		if math.IsInf(t.To, 0) {
			t.To = 0 // for good: JSON has no infinity
		}
		r.Troubles = append(r.Troubles, t)
	}
	for i := range j.Classes {
		c := &j.Classes[i]
		at := func(q float64) float64 { return float64(c.Latency.ValueAtQuantile(q)) / 1000 }
		r.Latency = append(r.Latency, Latency{Class: c.Name, Count: c.Latency.TotalCount(), P50: at(50), P90: at(90),
			P99: at(99), P999: at(99.9), Most: float64(c.Latency.Max()) / 1000})
	}
	return r
}

// New judges the runs of an experiment by its floors.
func New(e *experiments.Experiment, node string, runs []Run) *Outcome {
	o := &Outcome{Version: Version, Experiment: e.Name, About: e.About, Text: e.Text, Node: node, Runs: runs, Missed: []string{}}
	miss := func(format string, args ...any) { o.Missed = append(o.Missed, fmt.Sprintf(format, args...)) }
	f := &e.Floors
	for i := range runs {
		r := &runs[i]
		for _, why := range r.Lab.Void {
			miss("seed %d is void: %s", r.Seed, why)
		}
		for _, rule := range referee.Rules {
			if n := r.Judgement.Broken[rule]; n > 0 {
				miss("seed %d: %q broken %d times", r.Seed, rule, n)
			}
		}
		if r.Judgement.G < f.WorstSeed {
			miss("seed %d: service figure %.3f, the floor of each seed is %g", r.Seed, r.Judgement.G, f.WorstSeed)
		}
		limits := &e.Site.Node
		for n, use := range r.Judgement.Nodes {
			if most := or(f.MemoryMB, limits.MemoryMB); most > 0 && use.MemoryMB > most {
				miss("seed %d: node %d held %.0f MB, %g at most", r.Seed, n, use.MemoryMB, most)
			}
			if most := or(float64(f.Sockets), float64(limits.Sockets)); most > 0 && float64(use.Sockets) > most {
				miss("seed %d: node %d held %d descriptors, %g at most", r.Seed, n, use.Sockets, most)
			}
		}
		if f.CPUMillis > 0 && r.CPU() > f.CPUMillis {
			miss("seed %d: %.3f ms of processor time a request, %g at most", r.Seed, r.CPU(), f.CPUMillis)
		}
		for _, l := range r.Latency {
			if most := f.LatencyP99.Hi; most > 0 && l.P99 > most {
				miss("seed %d: 99%% of %s within %.0f ms, the floor is %.0f ms", r.Seed, l.Class, l.P99, most)
			}
		}
	}
	if g := o.G(); g < f.G {
		miss("mean service figure %.3f, the floor is %g", g, f.G)
	}
	o.Passed = len(o.Missed) == 0
	return o
}

func or(a, b float64) float64 {
	if a > 0 {
		return a
	}
	return b
}

// CPU is the processor time of all nodes a first try, ms.
func (r *Run) CPU() float64 {
	sum := 0.0
	for _, n := range r.Judgement.Nodes {
		sum += n.CPUMillis
	}
	return sum / math.Max(1, float64(r.Judgement.Arrivals))
}

// Worst gives the largest of a figure over a run's nodes.
func (r *Run) Worst(of func(referee.NodeFigures) float64) float64 {
	most := 0.0
	for _, n := range r.Judgement.Nodes {
		most = math.Max(most, of(n))
	}
	return most
}

// G is the mean service figure over the seeds.
func (o *Outcome) G() float64 { return o.Mean(func(r *Run) float64 { return r.Judgement.G }) }

// Mean is the mean of a figure over the seeds.
func (o *Outcome) Mean(of func(*Run) float64) float64 {
	sum := 0.0
	for i := range o.Runs {
		sum += of(&o.Runs[i])
	}
	return sum / math.Max(1, float64(len(o.Runs)))
}

// Broken counts the verdicts of all seeds by rule.
func (o *Outcome) Broken() map[referee.Rule]int {
	all := map[referee.Rule]int{}
	for i := range o.Runs {
		for rule, n := range o.Runs[i].Judgement.Broken {
			all[rule] += n
		}
	}
	return all
}

// Void tells whether the lab itself failed on any seed.
func (o *Outcome) Void() bool {
	return slices.ContainsFunc(o.Runs, func(r Run) bool { return len(r.Lab.Void) > 0 })
}
