package sim

import (
	"fmt"
	"io"
	"math"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// Trace writes down what is known of one request, one rater or one node of a day. It is a [Follower], and Watch is for
// [Options]. A day must not be judged beside it.
type Trace struct {
	Out     io.Writer
	Day     *world.Day
	Request uint64  // a try's id or, if it is below 2^32, an arrival's number; with One
	One     bool    // one request
	Rater   int     // one rater, -1 = none: its true state and how the nodes see it, each tenth of a second,
	Node    int     // and, or by itself, one node, -1 = none: all that it does
	Events  bool    // with a rater: also each event there
	From    float64 // ms of the day
	Upto    float64

	last struct {
		attempts, turned int
		work             float64
	}
}

func (t *Trace) within(at float64) bool { return at >= t.From && (t.Upto == 0 || at <= t.Upto) }

// arrival tells which arrival a try is of.
func (t *Trace) mine(request uint64, number uint32) bool {
	if !t.One {
		return false
	}
	if request != 0 {
		arrival, _, ok := t.Day.TryOf(request)
		return ok && (request == t.Request || arrival == t.Request || arrival == t.ofRequest())
	}
	return uint64(number) == t.ofRequest()
}

func (t *Trace) ofRequest() uint64 {
	if arrival, _, ok := t.Day.TryOf(t.Request); ok {
		return arrival
	}
	return t.Request
}

// Watch takes what parties see.
func (t *Trace) Watch(e record.Event) {
	switch e.Kind {
	case record.Whole:
		if int(e.Rater) == t.Rater {
			t.last.attempts++
			t.last.work += float64(e.Work)
		}
	case record.Answered:
		if int(e.Rater) == t.Rater && e.How == record.AnswerTurned {
			t.last.turned++
		}
	}
	if !t.within(e.At) {
		return
	}
	client := e.Kind == record.Due || e.Kind == record.Settled || e.Kind == record.Sent || e.Kind == record.Got ||
		e.Kind == record.Left
	if t.mine(e.Request, e.Number) && (e.Request != 0 || client) || t.Events && int(e.Rater) == t.Rater &&
		t.Rater >= 0 ||
		t.Node >= 0 && int(e.Node) == t.Node && t.Rater < 0 && !t.One {
		fmt.Fprintf(t.Out, "%10.3f  %v%s\n", e.At, e, t.more(e))
	}
}

// more says what an event holds besides.
func (t *Trace) more(e record.Event) string {
	switch e.Kind {
	case record.Due:
		c := &t.Day.Classes[e.Class]
		return fmt.Sprintf(" %s, %.1f ms of work, beyond its share: %t", c.Name, e.Work, e.How == 1)
	case record.Sent:
		return fmt.Sprintf(" try %d, limit %d ms", e.How, e.Extra)
	case record.Whole:
		return fmt.Sprintf(" %.1f ms of work", e.Work)
	case record.Got:
		return fmt.Sprintf(" status %d", e.Extra)
	}
	return ""
}

// Did takes what a policy does.
func (t *Trace) Did(now float64, node, rater int, request uint64, attempt int, what string) {
	if !t.within(now) || !(t.One && t.mine(request, 0) && request != 0 || t.Events && rater == t.Rater &&
		rater >= 0 ||
		node == t.Node && t.Rater < 0 && !t.One) {
		return
	}
	s := fmt.Sprintf("%10.3f  node %d %s", now, node, what)
	if request != 0 {
		s += fmt.Sprintf(" request %016x attempt %d", request, attempt)
	}
	if rater >= 0 {
		s += fmt.Sprintf(" rater %d", rater)
	}
	fmt.Fprintln(t.Out, s)
}

// viewer is a policy that shows what it has learned.
type viewer interface {
	View(now time.Duration) decide.View
}

// Tick writes the state of the rater, as it is and as the nodes see it.
func (t *Trace) Tick(now float64, look Look) {
	if t.Rater < 0 || !t.within(now) {
		return
	}
	r, id := look.Machine(t.Rater), look.ID(t.Rater)
	sight := look.Look(id)
	s := fmt.Sprintf("%10.0f  mode %d able %.2f of %.2f running %d waiting %d backlog %.0f conns %d | attempts %d work %.0f turned %d", now, r.Mode(),
		sight.Able, r.Spec().Capacity(), r.Held(), r.Waiting(), sight.Backlog, r.Conns(), t.last.attempts, t.last.work, t.last.turned)
	t.last.attempts, t.last.turned, t.last.work = 0, 0, 0
	var share, rate, idle, latency, slow, top, out, risk float64
	seen, away, cold, overdue := 0, 0, 0, 0
	least, most := math.Inf(1), 0.0
	for n := range t.Day.Nodes {
		v, ok := look.Policy(n).(viewer)
		if !ok || t.Node >= 0 && n != t.Node {
			continue
		}
		for _, b := range v.View(clock(now)).Backends {
			if b.ID != id {
				continue
			}
			seen++
			share, rate, top = share+b.Share, rate+b.Rate, top+b.MaxRate
			idle, latency, risk = idle+b.IdleLatency.Seconds()*1000, latency+b.Latency.Seconds()*1000, risk+b.RiskPenalty.Seconds()*1000
			slow, out, overdue = slow+b.Slowdown, out+float64(b.InFlight), overdue+b.Overdue
			least, most = min(least, b.Share), max(most, b.Share)
			if b.Ejected {
				away++
			}
			if b.CapacityFraction < 1 {
				cold++
			}
		}
	}
	if seen > 0 {
		k := float64(seen)
		s += fmt.Sprintf(" | %d nodes: share %.4f (%.4f..%.4f) rate %.1f of %.1f idle %.0f latency %.0f slow %.2f risk %.0f out %.0f overdue %d away %d cold %d",
			seen, share/k, least, most, rate, top, idle/k, latency/k, slow/k, risk/k, out, overdue, away, cold)
	}
	fmt.Fprintln(t.Out, s)
}
