package report

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"linenwheel.dev/linenwheel/lab/outcome"
	"linenwheel.dev/linenwheel/lab/referee"
)

// Comparison holds two reports of one experiment side by side, in pairs of the same seed.
type Comparison struct {
	Form    string    `json:"form"`
	Version int       `json:"version"`
	Names   [2]string `json:"names"`
	Seeds   []uint64  `json:"seeds"` // that both have
	Metrics []Metric  `json:"metrics"`
	A       *Report   `json:"a"`
	B       *Report   `json:"b"`
}

// Metric is one figure of both, seed by seed, and the interval of the mean difference B - A.
type Metric struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit,omitempty"` // "%" for a share
	Higher bool      `json:"higher_is_better"`
	A      []float64 `json:"a"`
	B      []float64 `json:"b"`
	Diff   Interval  `json:"difference"`
}

// Interval is a mean and the ends of its interval of 95%, from Student's distribution. Known is false with fewer than two
// values: then there is none, and both ends are the mean.
type Interval struct {
	Mean  float64 `json:"mean"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
	Known bool    `json:"known"`
}

// IntervalOf gives the mean of values that were drawn independently, one a seed.
func IntervalOf(values []float64) Interval {
	if len(values) == 0 {
		return Interval{}
	}
	mean := stat.Mean(values, nil)
	if len(values) == 1 {
		return Interval{Mean: mean, Low: mean, High: mean}
	}
	n := float64(len(values))
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(values, nil) / math.Sqrt(n)
	return Interval{Mean: mean, Low: mean - half, High: mean + half, Known: true}
}

// Compare pairs the runs of two reports by seed. The experiment must be the same, but for what names the nodes.
func Compare(nameA string, a *Report, nameB string, b *Report) (*Comparison, error) {
	if a.Outcome.Text != b.Outcome.Text || a.Site != b.Site {
		return nil, fmt.Errorf("%s and %s did not play the same experiment", nameA, nameB)
	}
	c := &Comparison{Form: ComparisonForm, Version: Version, Names: [2]string{nameA, nameB}, A: a, B: b}
	var runs [][2]*run
	for _, x := range a.runs() {
		if y := b.run(x.Seed); y != nil {
			c.Seeds, runs = append(c.Seeds, x.Seed), append(runs, [2]*run{x, y})
		}
	}
	if len(runs) == 0 {
		return nil, fmt.Errorf("%s and %s have no seed in common", nameA, nameB)
	}
	for _, m := range measures(runs[0][0]) {
		metric := Metric{Name: m.name, Unit: m.unit, Higher: m.higher}
		var diffs []float64
		for _, pair := range runs {
			x, y := m.of(pair[0]), m.of(pair[1])
			metric.A, metric.B = append(metric.A, x), append(metric.B, y)
			diffs = append(diffs, y-x)
		}
		metric.Diff = IntervalOf(diffs)
		c.Metrics = append(c.Metrics, metric)
	}
	return c, nil
}

// run is one run of a report.
type run struct {
	*Trace
	Of *outcome.Run
	*referee.Judgement
}

func (r *Report) runs() []*run {
	var runs []*run
	for i, t := range r.Traces {
		of := &r.Outcome.Runs[i]
		runs = append(runs, &run{t, of, of.Judgement})
	}
	return runs
}

// run gives that of a seed; nil if there is none.
func (r *Report) run(seed uint64) *run {
	runs := r.runs()
	if i := slices.IndexFunc(runs, func(x *run) bool { return x.Seed == seed }); i >= 0 {
		return runs[i]
	}
	return nil
}

// measure is a figure of a run.
type measure struct {
	name, unit string
	higher     bool
	of         func(*run) float64
}

// measures lists the figures that are compared; classes are those of a run.
func measures(first *run) []measure {
	per := func(n func(*run) int, of func(*run) int) func(*run) float64 {
		return func(r *run) float64 { return float64(n(r)) / float64(max(of(r), 1)) }
	}
	sum := func(r *run, f func(i int) int) int {
		total := 0
		for i := range r.Classes {
			total += f(i)
		}
		return total
	}
	tries := func(r *run) int { return r.Tries }
	list := []measure{
		{"G", "", true, func(r *run) float64 { return r.G }},
		{"worth earned", "%", true, func(r *run) float64 { return r.Parts.Whole }},
		{"worth earned, worst window", "%", true, func(r *run) float64 { return r.Parts.WorstWindow }},
		{"rules broken", "", false, func(r *run) float64 { return float64(r.BrokenRules()) }},
		{"tries refused", "%", false, per(func(r *run) int {
			return sum(r, func(i int) int { return r.Classes[i].Refused })
		}, tries)},
		{"first tries never served", "%", false, per(func(r *run) int {
			return sum(r, func(i int) int { return r.Classes[i].Unserved })
		}, func(r *run) int { return r.Arrivals })},
		{"attempts a try", "", false, per(func(r *run) int { return r.Attempts }, tries)},
		{"connections opened", "", false, func(r *run) float64 { return float64(r.Connections) }},
		{"processor time a first try", "ms", false, func(r *run) float64 { return r.Of.CPU() }},
		{"memory of the largest node", "MB", false, func(r *run) float64 {
			return r.Of.Worst(func(n referee.NodeFigures) float64 { return n.MemoryMB })
		}},
		{"descriptors of the largest node", "", false, func(r *run) float64 {
			return r.Of.Worst(func(n referee.NodeFigures) float64 { return float64(n.Sockets) })
		}},
	}
	for i, class := range first.Latency {
		at := func(r *run, f func(*ClassLatency) float64) float64 {
			if i >= len(r.Latency) {
				return 0
			}
			return f(&r.Latency[i])
		}
		list = append(list,
			measure{class.Class + ", p50", "ms", false, func(r *run) float64 {
				return at(r, func(c *ClassLatency) float64 { return c.Latency.P50 })
			}},
			measure{class.Class + ", p99", "ms", false, func(r *run) float64 {
				return at(r, func(c *ClassLatency) float64 { return c.Latency.P99 })
			}})
	}
	return list
}

// MeanA and MeanB are the means over the seeds.
func (m Metric) MeanA() float64 { return stat.Mean(m.A, nil) }

// MeanB see MeanA.
func (m Metric) MeanB() float64 { return stat.Mean(m.B, nil) }

// Verdict says in a word which of the two a metric favours, if its interval leaves no doubt.
func (m Metric) Verdict() string {
	switch {
	case !m.Diff.Known:
		return "one seed tells nothing"
	case m.Diff.Low <= 0 && m.Diff.High >= 0:
		return "no difference shown"
	case m.Diff.Mean > 0 == m.Higher:
		return "B is better"
	}
	return "A is better"
}

// Matrix is a sweep: policies (Rows) over a scale (At, such as the number of nodes), several seeds each.
type Matrix struct {
	Form    string        `json:"form"`
	Version int           `json:"version"`
	Name    string        `json:"name"`
	About   string        `json:"about"`
	Text    string        `json:"text"` // of the file that plays it again
	Play    []string      `json:"play_again,omitempty"`
	Rows    []string      `json:"rows"`
	Scale   string        `json:"scale"` // what At counts
	At      []float64     `json:"at"`    // rising
	Log     bool          `json:"log"`   // At is drawn with equal steps for equal factors; all above 0
	Seeds   []uint64      `json:"seeds"`
	Metrics []MatrixTable `json:"metrics"`
}

// MatrixTable is one figure of all cells.
type MatrixTable struct {
	Name   string        `json:"name"`
	Unit   string        `json:"unit,omitempty"` // "%" for a share
	Higher bool          `json:"higher_is_better"`
	Cells  [][][]float64 `json:"cells"` // by row, place in At, then seed; empty where nothing was played
}

// NewMatrix checks that the tables have the sweep's shape.
func NewMatrix(m Matrix) (*Matrix, error) {
	m.Form, m.Version = MatrixForm, Version
	if len(m.Rows) == 0 || len(m.At) == 0 || !slices.IsSorted(m.At) || m.Log && m.At[0] <= 0 {
		return nil, fmt.Errorf("a matrix of %d rows over %v: want rows, and a rising scale", len(m.Rows), m.At)
	}
	for _, t := range m.Metrics {
		ok := len(t.Cells) == len(m.Rows)
		for _, row := range t.Cells {
			ok = ok && len(row) == len(m.At)
		}
		if !ok {
			return nil, fmt.Errorf("the cells of %q are no %d by %d", t.Name, len(m.Rows), len(m.At))
		}
	}
	return &m, nil
}
