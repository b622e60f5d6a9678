// Package report turns runs of the lab into one page and one JSON file: what a day was, what the referee made of it,
// what came over time, and the experiment with its seeds so that it can be played again.
//
// A [Collector] hears the same events as the referee and keeps what a page draws. A [Report] is the outcome of one
// experiment with a trace of each run, a [Comparison] two of them, a [Matrix] a sweep of policies over numbers of nodes and seeds. Each is plain
// data with a JSON form (docs/operate/report.md) and makes its page from that data alone, so a page can be made again from
// its file.
//
// It does no I/O but through the writers that it is handed. Bounds: a Collector keeps at most MaxRows rows over time, a row
// of load for each of MaxRaters raters (above that, for each kind), MaxSamples samples for each of MaxNodes nodes, and
// what tries are open.
package report

import (
	"encoding/json"
	"fmt"
	"io"

	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/outcome"
	"linenwheel.dev/linenwheel/lab/quantiles"
	"linenwheel.dev/linenwheel/lab/world"
)

// The JSON forms. A version grows when a field changes its meaning or goes; new fields come without.
const (
	Form           = "linenwheel-report"
	ComparisonForm = "linenwheel-comparison"
	MatrixForm     = "linenwheel-matrix"
	Version        = 1
)

// Bounds of what is kept.
const (
	MaxRows    = 300
	MaxRaters  = 48
	MaxSamples = 300
	MaxNodes   = 64
)

// Report is what came of one experiment with one kind of node, and how.
type Report struct {
	Form    string           `json:"form"`
	Version int              `json:"version"`
	Site    string           `json:"site"`                 // as the experiment names it
	File    string           `json:"file"`                 // of the experiment, as it was named
	Play    []string         `json:"play_again,omitempty"` // the command that plays it again
	Outcome *outcome.Outcome `json:"outcome"`
	Traces  []*Trace         `json:"traces"` // one a run of the outcome, in the same order
}

// Trace is what a run's page draws besides its outcome.
type Trace struct {
	Seed    uint64         `json:"seed"`
	Day     Day            `json:"day"`
	Latency []ClassLatency `json:"latency"`
	Rows    []Row          `json:"rows"`
	Load    Load           `json:"load"`
	Reasons []Reason       `json:"reasons"`
	Nodes   []NodeTimeline `json:"nodes"`
}

// Day is what the seed drew, besides what the outcome says. Times are milliseconds, work milliseconds of a core of speed 1.
type Day struct {
	Length   float64   `json:"length_ms"`
	Shape    string    `json:"shape"` // of arrivals
	Classes  []Class   `json:"classes"`
	Partners []Partner `json:"partners"`
	Troubles []Trouble `json:"troubles"`
}

// Class is a class as drawn.
type Class struct {
	Name     string  `json:"name"`
	Share    float64 `json:"share"`
	Effect   string  `json:"effect"`
	Work     float64 `json:"work_ms"`
	Wait     float64 `json:"wait_ms"`
	Aim      float64 `json:"aim_ms"`
	Deadline float64 `json:"deadline_ms"`
	Worth    float64 `json:"worth"`
}

// Partner is a partner as drawn, in first tries a second.
type Partner struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota"`
	Rate  float64 `json:"rate"`
}

// Trouble is a trouble as drawn.
type Trouble struct {
	Label string  `json:"label"` // a letter, by which charts name it
	Kind  string  `json:"kind"`
	About string  `json:"about"`
	From  float64 `json:"from_ms"`
	To    float64 `json:"to_ms"` // the day's end for one that stays
	Whom  string  `json:"whom,omitempty"`
}

// ClassLatency is from when a first try was due to its served answer.
type ClassLatency struct {
	Class   string              `json:"class"`
	Latency quantiles.Quantiles `json:"latency"`
}

// Row is what became of the first tries that were due in one stretch of time, and of the tries that ended in it.
type Row struct {
	At      float64 `json:"at_ms"`
	Length  float64 `json:"length_ms"`
	Asked   float64 `json:"worth_asked"`
	Earned  float64 `json:"worth_earned"`
	Due     int     `json:"due"`
	Served  int     `json:"served"`  // tries
	Refused int     `json:"refused"` // tries
	Failed  int     `json:"failed"`  // tries
	P50     float64 `json:"p50_ms"`  // of what was due here and served
	P99     float64 `json:"p99_ms"`
}

// Load is the work that raters were sent over time, against what they could do: warm or cold, slow or stopped.
type Load struct {
	Edges []float64 `json:"edges_ms"` // of the stretches, one more than there are
	// Names are raters, or with more than MaxRaters of them kinds.
	Names   []string    `json:"names"`
	Offered [][]float64 `json:"offered"` // by name, then stretch: ms of work
	Able    [][]float64 `json:"able"`    // likewise; 0 where no such rater took work
}

// Reason is how one kind of try ended without being served, as seen from outside.
type Reason struct {
	Class  string  `json:"class"`
	How    string  `json:"how"`              // "refused", "failed", "time up", "left"
	Why    string  `json:"why"`              // a few words
	Status int     `json:"status,omitempty"` // of an answer
	Tries  int     `json:"tries"`
	Over   int     `json:"beyond_share"` // of those, beyond the partner's share
	Late   int     `json:"late"`         // of those, after more than half of their time
	Wait   float64 `json:"mean_wait_ms"`
}

// NodeTimeline is what a node used over time.
type NodeTimeline struct {
	Name        string    `json:"name"`
	At          []float64 `json:"at_ms"`
	MemoryMB    []float64 `json:"memory_mb"`
	Descriptors []float64 `json:"descriptors"`
	Cores       []float64 `json:"cores"` // over the last 4 s of its process; -1 where that is not known
}

// New puts an outcome together with the traces of its runs.
func New(e *experiments.Experiment, o *outcome.Outcome, play []string, traces ...*Trace) (*Report, error) {
	r := &Report{Form: Form, Version: Version, Site: e.SiteName, File: e.File, Play: play, Outcome: o, Traces: traces}
	return r, r.check()
}

// check finds what a page could not be made of.
func (r *Report) check() error {
	if r.Outcome == nil || len(r.Outcome.Runs) != len(r.Traces) {
		return fmt.Errorf("%d traces: want one for each run of the outcome", len(r.Traces))
	}
	for i, t := range r.Traces {
		if t == nil || r.Outcome.Runs[i].Judgement == nil || t.Seed != r.Outcome.Runs[i].Seed {
			return fmt.Errorf("run %d: want its judgement and a trace of its seed", i)
		}
		l := t.Load
		ok := len(l.Offered) == len(l.Names) && len(l.Able) == len(l.Names)
		for k := range l.Names {
			ok = ok && len(l.Offered[k]) == len(l.Edges)-1 && len(l.Able[k]) == len(l.Edges)-1
		}
		for _, n := range t.Nodes {
			ok = ok && len(n.MemoryMB) == len(n.At) && len(n.Descriptors) == len(n.At) && len(n.Cores) == len(n.At)
		}
		if !ok {
			return fmt.Errorf("seed %d: the trace's tables are not of one shape", t.Seed)
		}
	}
	return nil
}

// WriteJSON writes the report, a Comparison or a Matrix as JSON.
func WriteJSON(w io.Writer, report any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(report)
}

// ReadJSON reads a report.
func ReadJSON(from io.Reader) (*Report, error) {
	r := &Report{}
	if err := json.NewDecoder(from).Decode(r); err != nil {
		return nil, err
	}
	if r.Form != Form || r.Version != Version {
		return nil, fmt.Errorf("form %q, version %d: want %q, version %d", r.Form, r.Version, Form, Version)
	}
	return r, r.check()
}

// describe gives what a day is.
func describe(d *world.Day) Day {
	day := Day{Length: d.Length, Shape: d.Shape}
	for _, c := range d.Classes {
		day.Classes = append(day.Classes, Class{Name: c.Name, Share: c.Share, Effect: c.Effect, Work: c.Work, Wait: c.Wait,
			Aim: c.Aim, Deadline: c.Deadline, Worth: c.Worth})
	}
	for _, p := range d.Partners {
		day.Partners = append(day.Partners, Partner{Name: p.Name, Quota: p.Quota, Rate: p.Rate})
	}
	about := world.TroubleKinds()
	for i, t := range d.Troubles {
		day.Troubles = append(day.Troubles, Trouble{Label: letter(i), Kind: t.Kind, About: about[t.Kind], From: t.From,
			To: min(t.To, max(d.Length, t.From)), Whom: whom(d, &t)})
	}
	return day
}

// letter names the nth trouble: A to Z, then A1 and on.
func letter(n int) string {
	s := string(rune('A' + n%26))
	if n >= 26 {
		s += fmt.Sprint(n / 26)
	}
	return s
}

// whom names those whom a trouble strikes, the first few of them.
func whom(d *world.Day, t *world.Trouble) string {
	var names []string
	for _, n := range t.Raters {
		if n >= 0 && n < len(d.Raters) {
			names = append(names, d.Raters[n].Name)
		}
	}
	for _, n := range t.Nodes {
		names = append(names, nodeName(n))
	}
	const most = 6
	s := ""
	for i, n := range names {
		if i == most {
			return s + fmt.Sprintf(" and %d more", len(names)-most)
		}
		if i > 0 {
			s += ", "
		}
		s += n
	}
	return s
}

func nodeName(n int) string { return fmt.Sprintf("node %d", n) }
