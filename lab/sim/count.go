package sim

import (
	"math/bits"

	"linenwheel.dev/linenwheel/decide"
)

// Second is what all nodes together did in a second of the day, and to the rater that met the most of it.
type Second struct {
	At         float64 `json:"at_s"`
	Sends      int     `json:"sends"`
	SendsMost  int     `json:"sends_most"`  // to one rater
	Further    float64 `json:"further"`     // attempts beyond the first a request
	Opened     int     `json:"opened"`      // connections
	OpenedMost int     `json:"opened_most"` // to one rater
	Held       int     `json:"held"`        // at the second's end
	HeldMost   int     `json:"held_most"`   // by one rater
	Refused    int     `json:"refused"`     // attempts turned away
	NoConnect  int     `json:"no_connect"`  // that found no connection
	ColdUse    float64 `json:"cold_use"`    // most of its budget that one cold rater got: 1 = all that pushes it over
	Alike      float64 `json:"alike"`       // largest part of the nodes that joined or left one rater
	ListCalls  int     `json:"list_calls"`  // to the service of the list,
	ListFailed int     `json:"list_failed"` // of which failed
	Blind      int     `json:"blind"`       // nodes that run without a watch, at the second's end
	NodesUp    int     `json:"nodes_up"`    // at the second's end
	FirstSends int     `json:"first_sends"` // requests that reached a rater for the first time
	Reset      int     `json:"reset"`       // attempts whose connection broke
	Raters     []Met   `json:"-"`           // each of them
}

// Met is what one rater met of all nodes in a second.
type Met struct {
	Sends, Opened, Held, Refused, NoConnect int
	ColdUse                                 float64 // of its budget, 0 while it is warm
}

// tally counts over the fleet while a second lasts.
type tally struct {
	now    Second
	met    []Met
	work   []float64  // sent to each rater
	least  []float64  // capacity that each had at the second's beginning, share of the whole
	used   [][]uint64 // nodes that sent to each rater in this second
	before [][]uint64 // and in the one before
	calls  int
	failed int
}

func newTally(nodes, raters int) *tally {
	sets := func() [][]uint64 {
		all := make([][]uint64, raters)
		for i := range all {
			all[i] = make([]uint64, (nodes+63)/64)
		}
		return all
	}
	return &tally{met: make([]Met, raters), work: make([]float64, raters),
		least: make([]float64, raters), used: sets(), before: sets()}
}

func (t *tally) send(node int, a *attempt) {
	if t == nil || a.probe {
		return
	}
	t.now.Sends++
	if a.place == 0 {
		t.now.FirstSends++
	}
	t.met[a.rater].Sends++
	t.work[a.rater] += a.work
	t.used[a.rater][node/64] |= 1 << (node % 64)
}

func (t *tally) open(rater int32) {
	if t != nil {
		t.now.Opened++
		t.met[rater].Opened++
	}
}

func (t *tally) end(rater int32, r decide.Result) {
	if t == nil {
		return
	}
	switch r {
	case decide.Overloaded:
		t.now.Refused++
		t.met[rater].Refused++
	case decide.ConnectFailed:
		t.now.NoConnect++
		t.met[rater].NoConnect++
	case decide.Reset:
		t.now.Reset++
	}
}

// second closes a second.
func (g *engine) second() {
	t := g.tally
	s := &t.now
	s.At = g.now/1000 - 1
	if s.FirstSends > 0 {
		s.Further = float64(s.Sends-s.FirstSends) / float64(s.FirstSends)
	}
	rules := &g.day.Site.Rules
	for i := range g.raters {
		r := g.fleet.Rater(i)
		m := &t.met[i]
		m.Held = r.Conns()
		s.Held += m.Held
		s.SendsMost, s.OpenedMost, s.HeldMost = max(s.SendsMost, m.Sends), max(s.OpenedMost, m.Opened), max(s.HeldMost, m.Held)
		if budget := rules.FallMultiple * t.least[i] * r.Spec().Capacity() * 1000; t.least[i] > 0 && t.least[i] < 1 && budget > 0 {
			m.ColdUse = t.work[i] / budget
			s.ColdUse = max(s.ColdUse, m.ColdUse)
		}
		joined, left := 0, 0
		for k := range t.used[i] {
			joined += bits.OnesCount64(t.used[i][k] &^ t.before[i][k])
			left += bits.OnesCount64(t.before[i][k] &^ t.used[i][k])
			t.before[i][k], t.used[i][k] = t.used[i][k], 0
		}
		s.Alike = max(s.Alike, float64(max(joined, left))/float64(len(g.nodes)))
		t.work[i], t.least[i] = 0, r.Share()
	}
	s.Raters, t.met = t.met, make([]Met, len(g.raters))
	for i := range g.nodes {
		if n := &g.nodes[i]; n.policy != nil {
			s.NodesUp++
			if g.service != nil && !n.watching {
				s.Blind++
			}
		}
	}
	if g.service != nil {
		s.ListCalls, s.ListFailed = g.service.Calls-t.calls, g.service.Failed-t.failed
		t.calls, t.failed = g.service.Calls, g.service.Failed
	}
	g.out.Seconds = append(g.out.Seconds, *s)
	*s = Second{}
	if g.more || g.open > 0 {
		g.at(g.now+1000, second, 0, 0)
	}
}
