package sim

import (
	"slices"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/rivals"
	"linenwheel.dev/linenwheel/lab/world"
)

// rater is what the simulation keeps of a rater besides its machine.
type rater struct {
	id      decide.BackendID
	life    uint32  // of its process, counted
	closed  uint32  // connections of lives before this one ended for all to see
	open    []int32 // attempts that it has
	coming  float64 // work on its way to it
	comingN int
	report  report
}

func (r *rater) hold(at int32, a *attempt) {
	a.slot = int32(len(r.open))
	r.open = append(r.open, at)
}

func (r *rater) drop(g *engine, a *attempt) {
	last := len(r.open) - 1
	moved := r.open[last]
	r.open[a.slot] = moved
	g.tries.at(moved).slot = a.slot
	r.open = r.open[:last]
}

// Rater is an event of a rater.
func (g *engine) Rater(n int, e world.Event) {
	r := &g.raters[n]
	switch e.What {
	case world.Warm:
		g.see(record.Event{Kind: record.RaterWarm, Node: record.None, Rater: int16(n)})
		return
	case world.Fell:
		g.see(record.Event{Kind: record.RaterDown, Node: record.None, Rater: int16(n), How: 1})
		g.raterLost(n, true)
		return
	}
	at := int32(uint32(e.Tag))
	a := g.tries.at(at)
	if a.gen != uint32(e.Tag>>32) {
		return
	}
	if e.What == world.Began {
		if !a.probe {
			g.see(g.sees(a, record.Ran, 0))
		}
		return
	}
	r.drop(g, a)
	a.phase = through
	if !a.probe && e.What != world.Turned {
		how := uint8(0)
		if e.What == world.Stopped {
			how = 1
		}
		g.see(g.sees(a, record.Ended, how))
	}
	if e.What == world.Answered && !a.probe && g.o.Reports {
		r.report.note(len(r.open)+1, g.now-a.arrivedAt)
	}
	if a.deaf || e.What == world.Stopped || e.Why == world.IsCancelled || a.probe && a.ended {
		g.tried(at, a)
		return
	}
	switch e.What {
	case world.Turned:
		g.says(at, a, decide.Overloaded, record.AnswerTurned)
	case world.Failed:
		g.says(at, a, decide.Failed, record.AnswerError)
	default:
		if a.probe && g.o.Reports {
			a.load = r.report.load(len(r.open))
		}
		if g.spoils && !a.probe {
			if g.spoil(a, world.Resets) <= 1 {
				g.see(g.sees(a, record.Cut, record.CutByRater))
				g.toNode(reset, at, a)
				return
			}
			if g.spoil(a, world.Spoilt) <= 1 {
				g.says(at, a, decide.Failed, record.AnswerSpoilt)
				return
			}
		}
		g.says(at, a, decide.Succeeded, record.AnswerServed)
	}
}

// raterLost is that a rater's process has ended and all that it held with it. seen: its connections end for all to see.
func (g *engine) raterLost(n int, seen bool) {
	r := &g.raters[n]
	r.life++
	if seen {
		r.closed = r.life
	}
	for _, at := range r.open {
		a := g.tries.at(at)
		a.phase = through
		if seen && !a.deaf && !a.probe {
			g.see(g.sees(a, record.Cut, record.CutByRater))
		}
		if seen && !a.ended {
			g.toNode(reset, at, a)
		}
		g.tried(at, a)
	}
	r.open = r.open[:0]
	r.report = report{}
}

// Step is a step of the plan, carried out if it is about a rater or discovery.
func (g *engine) Step(s world.Step) {
	e := record.Event{Node: record.None, Rater: int16(s.Rater)}
	switch s.Do {
	case world.StartRater:
		if len(g.raters[s.Rater].open) > 0 {
			g.raterLost(s.Rater, true)
		}
		e.Kind, e.Work, e.Extra = record.RaterUp, float32(g.day.Raters[s.Rater].Capacity()), millionths(s.Size)
		g.see(e)
		if s.Size < 1 {
			g.at(g.now+shareEvery, share, int32(s.Rater), uint64(g.raters[s.Rater].life))
		}
	case world.DrainRater:
		e.Kind = record.RaterDraining
		g.see(e)
	case world.EndRater:
		e.Kind = record.RaterDown
		g.see(e)
		g.raterLost(s.Rater, true)
	case world.HideRater:
		e.Kind = record.RaterHidden
		g.see(e)
		g.raterLost(s.Rater, false)
	case world.StopNode, world.KillNode, world.StartNode:
		for i := range g.nodes {
			if s.Node < 0 || s.Node == i {
				g.nodeStep(&g.nodes[i], s.Do)
			}
		}
	}
}

func (g *engine) nodeStep(n *node, do world.Do) {
	switch do {
	case world.StopNode:
		n.signal(false)
	case world.KillNode:
		n.signal(true)
	case world.StartNode:
		n.killed()
		g.at(g.now+startMs, ready, int32(n.number), 0)
	}
}

func millionths(share float64) uint64 { return uint64(share*1e6 + 0.5) }

// shareOf writes a cold rater's share down.
func (g *engine) shareOf(n int, life uint32) {
	r := g.fleet.Rater(n)
	if g.raters[n].life != life || r.Share() >= 1 || r.Mode() >= world.Down {
		return
	}
	g.see(record.Event{Kind: record.RaterShare, Node: record.None, Rater: int16(n), Extra: millionths(r.Share())})
	g.at(g.now+shareEvery, share, int32(n), uint64(life))
}

// Told is that news of the list has come to a node's agent.
func (g *engine) Told(c world.Change) {
	if !c.Counts {
		if !g.nodes[c.Node].asking {
			g.at(g.now, told, int32(c.Node), 0)
		}
		return
	}
	for _, e := range g.fleet.Discovery.Since(c.From, c.Upto) {
		g.see(record.Event{Kind: record.Told, Node: int16(c.Node), Rater: int16(e.Rater), How: uint8(e.State),
			Extra: 1})
	}
}

// probe sends a probe.
func (g *engine) probe(n *node, rater int32) {
	at := g.tries.take()
	a := g.tries.at(at)
	g.number++
	*a = attempt{gen: a.gen, number: g.number, node: int32(n.number), rater: rater, life: n.life, probe: true,
		sent:  g.now,
		until: g.now + g.day.ProbeTimeout, phase: onWay, writeAt: g.now, request: uint64(g.number)<<20 | uint64(n.number), work: g.day.Raters[rater].ProbeWork, arrivedAt: never}
	if p := g.pass(a, ahead); !p.Lost {
		a.arrivedAt = g.now + p.Delay
		g.at(a.arrivedAt, probeAt, at, uint64(a.gen))
	} else {
		a.phase = through
	}
	g.at(a.until, abandon, at, uint64(a.gen))
}

// probed is that a probe reaches its rater.
func (g *engine) probed(at int32, a *attempt) {
	switch g.fleet.Rater(int(a.rater)).Mode() {
	case world.Down:
		a.phase = through
		g.toNode(refused, at, a)
		return
	case world.Hidden:
		a.phase = through
		g.tried(at, a)
		return
	}
	g.see(record.Event{Kind: record.Probed, Number: a.number, Node: int16(a.node), Rater: int16(a.rater),
		Work: float32(a.work)})
	a.phase = offered
	g.raters[a.rater].hold(at, a)
	a.ticket = g.fleet.Offer(g.now, int(a.rater), world.Attempt{Tag: uint64(a.gen)<<32 | uint64(at),
		Work: a.work, Probe: true,
		Luck: uint64(a.number)})
}

// report is what a rater that reports keeps, as Prequal's servers do: how long lately answered requests took, by how many it
// held.
type report struct{ took [12][8]float64 }

func reportBand(held int) int { return min(11, held/4) }

func (r *report) note(held int, took float64) {
	b := &r.took[reportBand(held)]
	copy(b[1:], b[:7])
	b[0] = took
}

// load is a report: requests held, and the median time that requests took when it held about as many, seconds.
func (r *report) load(held int) (l decide.Load) {
	l.Has = 1<<decide.ReportInFlight | 1<<decide.ReportLatency
	l.Values[decide.ReportInFlight] = float64(held)
	for d := range 12 { // the nearest band that knows anything
		for _, b := range []int{reportBand(held) - d, reportBand(held) + d} {
			if b < 0 || b > 11 || r.took[b][0] == 0 {
				continue
			}
			list := r.took[b]
			n := 0
			for n < len(list) && list[n] > 0 {
				n++
			}
			slices.Sort(list[:n])
			l.Values[decide.ReportLatency] = list[n/2] / 1000
			return l
		}
	}
	return l
}

// Look gives the true state of a rater, for policies that see it.
func (g *engine) Look(id decide.BackendID) rivals.Sight {
	n := g.byID[id]
	r := g.fleet.Rater(int(n))
	able, core := r.Ability(), 0.0
	if r.Mode() == world.DrainingMode {
		able = 0
	}
	if able > 0 {
		core = min(able, r.Spec().Speed*able/r.Spec().Capacity())
	}
	return rivals.Sight{Able: able, Core: core, Backlog: r.Backlog(), Coming: g.raters[n].coming,
		Cold: r.Share() < 1}
}

// Cost gives what a request costs.
func (g *engine) Cost(id decide.RequestID) (work, wait float64) {
	c := g.calls.at(int32(uint32(id)))
	return c.arrival.Work, c.arrival.Wait
}

// Beyond tells whether it is beyond its partner's share.
func (g *engine) Beyond(id decide.RequestID) bool { return g.calls.at(int32(uint32(id))).arrival.Over }

// Machine gives a rater to look at.
func (g *engine) Machine(n int) *world.Rater { return g.fleet.Rater(n) }

// ID is the id of a rater.
func (g *engine) ID(n int) decide.BackendID { return g.raters[n].id }

// Policy gives a node's policy.
func (g *engine) Policy(n int) rivals.Policy { return g.nodes[n].policy }
