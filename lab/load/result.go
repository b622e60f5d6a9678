package load

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"linenwheel.dev/linenwheel/lab/quantiles"
)

// Form and Version name the JSON form of Result, which docs/operate/load.md describes. The version grows when a field
// changes its meaning or goes; new fields may come without.
const (
	Form    = "linenwheel-load"
	Version = 1
)

// Limits say when the tool fell behind: more than Share of the requests were taken up more than Late milliseconds late.
type Limits struct {
	Late  float64 `json:"late_ms"`
	Share float64 `json:"share"`
}

// Result is one run and its JSON form. Times are milliseconds.
type Result struct {
	Form    string    `json:"form"`
	Version int       `json:"version"`
	Target  string    `json:"target"`
	Started time.Time `json:"started"`
	Plan    *Plan     `json:"plan"`
	Tool    Tool      `json:"tool"`
	// Void holds the reasons why the figures say nothing; empty if they do.
	Void []string `json:"void"`
	// Interrupted says that the run was ended before the plan was.
	Interrupted bool       `json:"interrupted"`
	Counted     float64    `json:"counted_ms"` // the time in which what counts became due
	Counts      Counts     `json:"counts"`
	Lateness    Lateness   `json:"lateness"`
	Classes     []ClassRow `json:"classes"`
	Stages      []StageRow `json:"stages"`
	Series      []TimeRow  `json:"series"`
}

// Tool is what the tool itself used.
type Tool struct {
	Workers int     `json:"workers"`
	CPUs    int     `json:"cpus"`   // that it could run on
	CPU     float64 `json:"cpu_ms"` // processor time, user and system
	Wall    float64 `json:"wall_ms"`
	// Stolen is the processor time that the machine's host gave to others meanwhile, over all processors; -1 if the
	// kernel does not tell.
	Stolen float64 `json:"stolen_ms"`
}

// Lateness is how far behind the schedule the tool was.
type Lateness struct {
	Own  quantiles.Quantiles `json:"own"`  // from when a request was due to when the tool took it up
	Sent quantiles.Quantiles `json:"sent"` // to when its last byte was written: with the wait for a connection
	Over uint64              `json:"over"` // taken up later than the limit
}

// ClassRow is what came of one class.
type ClassRow struct {
	Name     string            `json:"name"`
	Statuses []StatusRow       `json:"statuses"`
	Errors   map[string]uint64 `json:"errors,omitempty"` // by kind
	// Calls is the time from the first request to the last answer, over a client's retries. Only where clients retry.
	Calls *quantiles.Quantiles `json:"calls,omitempty"`
}

// StatusRow is the answers of one status: latency from when the request was due.
type StatusRow struct {
	Status  string              `json:"status"`
	Latency quantiles.Quantiles `json:"latency"`
}

// StageRow is what came of the requests that were due in one stage.
type StageRow struct {
	Stage   Stage               `json:"stage"`
	Due     uint64              `json:"due"`
	Sent    uint64              `json:"sent"`
	Served  uint64              `json:"served"`
	Refused uint64              `json:"refused"`
	Failed  uint64              `json:"failed"`
	Latency quantiles.Quantiles `json:"latency"` // of all answers
}

// TimeRow is what happened in one stretch of time.
type TimeRow struct {
	At      float64 `json:"at_ms"`
	Length  float64 `json:"length_ms"`
	Warmup  bool    `json:"warmup,omitempty"` // began in the warm-up
	Due     uint64  `json:"due"`
	Sent    uint64  `json:"sent"`
	Served  uint64  `json:"served"`
	Refused uint64  `json:"refused"`
	Failed  uint64  `json:"failed"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Max     float64 `json:"max_ms"`
}

// Ran is how a run went, beside what the tally holds.
type Ran struct {
	Target      string
	Started     time.Time
	Tool        Tool
	Until       float64 // when it stopped sending
	Interrupted bool
}

// Result sums up and judges.
func (t *Tally) Result(series *Series, ran Ran) *Result {
	r := &Result{Form: Form, Version: Version, Target: ran.Target, Started: ran.Started, Plan: t.plan, Tool: ran.Tool,
		Interrupted: ran.Interrupted, Counts: t.counts, Counted: max(0, min(ran.Until, t.plan.Length())-t.plan.Warmup),
		Lateness: Lateness{Own: quantiles.Of(t.own), Sent: quantiles.Of(t.sent), Over: t.over}, Void: t.void()}
	for i, c := range t.classes {
		row := ClassRow{Name: t.plan.Mix.Classes[i].Name}
		for _, s := range c.statuses {
			row.Statuses = append(row.Statuses, StatusRow{Status: statusName(s.status), Latency: quantiles.Of(s.latency)})
		}
		for k, n := range c.errors {
			if n > 0 {
				if row.Errors == nil {
					row.Errors = map[string]uint64{}
				}
				row.Errors[Kind(k).String()] = n
			}
		}
		if c.calls != nil {
			q := quantiles.Of(c.calls)
			row.Calls = &q
		}
		r.Classes = append(r.Classes, row)
	}
	for i, s := range t.stages {
		r.Stages = append(r.Stages, StageRow{Stage: t.plan.Stages[i], Due: s.counts.Due, Sent: s.counts.Sent,
			Served: s.counts.Served, Refused: s.counts.Refused, Failed: s.counts.Failed, Latency: quantiles.Of(s.latency)})
	}
	for _, row := range series.rows {
		r.Series = append(r.Series, t.plan.timeRow(row))
	}
	return r
}

// timeRow sums up one row over time.
func (p *Plan) timeRow(i Interval) TimeRow {
	q := quantiles.Of(i.Latency)
	at := float64(i.Index) * p.Row()
	return TimeRow{At: at, Length: p.Row(), Warmup: at < p.Warmup, Due: i.Counts.Due, Sent: i.Counts.Sent,
		Served: i.Counts.Served, Refused: i.Counts.Refused, Failed: i.Counts.Failed, P50: q.P50, P99: q.P99, Max: q.Max}
}

// void holds the reasons why the run says nothing about the server.
func (t *Tally) void() []string {
	reasons := []string{}
	taken := t.own.TotalCount()
	if taken == 0 {
		return append(reasons, "nothing that counts became due")
	}
	if share := float64(t.over) / float64(taken); share > t.plan.Limits.Share {
		reasons = append(reasons, fmt.Sprintf("the tool fell behind: %.2f%% of %d requests were taken up more than %g ms "+
			"late, at most %g%% may be", 100*share, taken, t.plan.Limits.Late, 100*t.plan.Limits.Share))
	}
	return reasons
}

// Live is the line of one row over time for a terminal.
func (p *Plan) Live(i Interval) string {
	r := p.timeRow(i)
	line := fmt.Sprintf("%6.0f s  %7.0f due/s  %7.0f sent/s  %7d served  %6d refused  %6d failed  p50 %8.3f  p99 %8.3f ms",
		r.At/1000, float64(r.Due)*1000/r.Length, float64(r.Sent)*1000/r.Length, r.Served, r.Refused, r.Failed, r.P50, r.P99)
	if r.Warmup {
		line += "  warm-up"
	}
	return line
}

// Print writes the result as tables of text.
func (r *Result) Print(to io.Writer) error {
	var b strings.Builder
	loop := "open loop"
	if r.Plan.Closed {
		loop = "closed loop"
	}
	fmt.Fprintf(&b, "%s on %s, %s, seed %d, run %d: %.1f s counted after %.1f s of warm-up\n", loop, r.Target,
		r.Plan.Spacing, r.Plan.Seed, r.Plan.Run, r.Counted/1000, r.Plan.Warmup/1000)
	if r.Interrupted {
		b.WriteString("interrupted: what follows is what it had\n")
	}
	c := r.Counts
	fmt.Fprintf(&b, "%d due, %d sent (%.1f/s): %d served, %d refused, %d failed\n", c.Due, c.Sent,
		float64(c.Sent)*1000/max(r.Counted, 1), c.Served, c.Refused, c.Failed)
	fmt.Fprintf(&b, "%d retries, %d sent again on a new connection, %d waited for a connection (%d at most)\n",
		c.Retries, c.Resent, c.Waited, r.Plan.Connections)
	fmt.Fprintf(&b, "%d connections opened, %d bytes out, %d bytes in\n\n", c.Opened, c.BytesOut, c.BytesIn)

	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, q quantiles.Quantiles) {
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", name, q.Count, q.Mean, q.P50, q.P90, q.P99,
			q.P999, q.P9999, q.Max)
	}
	fmt.Fprintln(table, "ms\tcount\tmean\tp50\tp90\tp99\tp99.9\tp99.99\tmax\t")
	for _, class := range r.Classes {
		for _, s := range class.Statuses {
			row(class.Name+" "+s.Status, s.Latency)
		}
		if class.Calls != nil {
			row(class.Name+" with retries", *class.Calls)
		}
	}
	if len(r.Stages) > 1 {
		for _, s := range r.Stages {
			row("stage "+s.Stage.String(), s.Latency)
		}
	}
	row("taken up late", r.Lateness.Own)
	row("sent late", r.Lateness.Sent)
	_ = table.Flush() // into a buffer

	for _, class := range r.Classes {
		for k := range kinds {
			if n := class.Errors[k.String()]; n > 0 {
				fmt.Fprintf(&b, "%s: %d %s\n", class.Name, n, k)
			}
		}
	}
	fmt.Fprintf(&b, "%.2f%% were taken up more than %g ms late; the tool used %.2f of %d processors with %d workers\n",
		100*float64(r.Lateness.Over)/max(float64(r.Lateness.Own.Count), 1), r.Plan.Limits.Late,
		r.Tool.CPU/max(r.Tool.Wall, 1), r.Tool.CPUs, r.Tool.Workers)
	if r.Tool.Stolen > 0 {
		fmt.Fprintf(&b, "the machine's host took %.0f ms of processor time away in %.0f ms\n", r.Tool.Stolen, r.Tool.Wall)
	}
	for _, reason := range r.Void {
		fmt.Fprintf(&b, "VOID: %s\n", reason)
	}
	_, err := io.WriteString(to, b.String())
	return err
}
