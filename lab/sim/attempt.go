package sim

import (
	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// phase is how far an attempt is on the side of its rater.
type phase uint8

const (
	dialing phase = iota // it waits for a connection
	onWay                // it is written, or about to be: see writeAt
	atRater              // it has come, and waits for its connection's handshake
	offered              // the rater has it
	through              // the rater has nothing to do with it any more
)

// attempt is a relay of a try, or a probe, on its way through a connection to a rater and back.
type attempt struct {
	gen       uint32
	number    uint32
	call      int32 // 0 with a probe
	node      int32
	rater     int32
	place     int32 // among the try's attempts
	conn      int32
	slot      int32 // place among the rater's
	life      uint16
	phase     phase
	class     uint8
	probe     bool
	ended     bool // the node has its end
	off       bool // it was called off
	full      bool // its connection came above the rater's cap
	deaf      bool // the rater knows that nobody waits for its answer, or gives none
	cutting   bool // the end of its connection is on its way to the rater
	result    decide.Result
	load      decide.Load
	request   uint64
	key       uint64
	work      float64
	wait      float64
	luck      uint64
	sent      float64 // when the policy sent it
	until     float64
	writeAt   float64 // when the node has written it whole
	endedAt   float64
	ticket    world.Ticket
	arrivedAt float64
}

// conn is a connection of a node to a rater. It carries one attempt at a time.
type conn struct {
	gen   uint32
	node  int32
	rater int32
	next  int32 // idle one of the same two parties
	life  uint32
	busy  bool
	full  bool
	fresh bool // its handshake is still to be paid
	since float64
}

func raterParty(n int32) world.Party { return world.Party{Kind: world.RaterParty, Number: int(n)} }

// try starts an attempt of a try and gives its number.
func (g *engine) try(callAt int32, c *call, n *node, rater int32, place int, until float64) int32 {
	at := g.tries.take()
	a := g.tries.at(at)
	g.number++
	*a = attempt{gen: a.gen, number: g.number, call: callAt, node: int32(n.number), rater: rater,
		place: int32(place), life: n.life,
		class: uint8(c.arrival.Class), request: c.try.ID, key: c.arrival.Key, sent: g.now, until: until}
	// Its luck is that of the arrival, the try and the attempt, whatever the policy.
	a.work, a.wait, a.luck = g.day.Cost(&c.arrival, uint64(c.try.Number)<<8|uint64(place))
	g.tally.send(n.number, a)
	r := &g.raters[rater]
	r.coming += a.work
	r.comingN++
	if a.conn = g.takeConn(n, rater); a.conn != 0 {
		g.write(at, a)
	} else {
		if p := g.pass(a, knock); !p.Lost {
			g.at(g.now+p.Delay, dial, at, uint64(a.gen))
		}
		if late := g.now + g.day.Site.Conns.ConnectTimeout.Lo; late < until {
			g.at(late, connectLate, at, uint64(a.gen))
		}
	}
	g.at(until, abandon, at, uint64(a.gen))
	return at
}

// write sends an attempt over its connection.
func (g *engine) write(at int32, a *attempt) {
	a.phase, a.writeAt = onWay, g.now
	if p := g.pass(a, ahead); !p.Lost {
		a.arrivedAt = g.now + p.Delay
		g.at(a.arrivedAt, whole, at, uint64(a.gen))
	} else {
		a.arrivedAt = never
	}
}

const never = 1e15

// attemptEvent carries out an event of an attempt.
func (g *engine) attemptEvent(k kind, at int32, a *attempt) {
	switch k {
	case dial:
		g.dialled(at, a)
	case whole:
		g.arrived(at, a)
	case offer:
		g.offer(at, a)
	case probeAt:
		g.probed(at, a)
	case cut:
		g.cut(at, a)
	case back:
		g.came(at, a, a.result)
	case refused:
		g.came(at, a, decide.ConnectFailed)
	case reset:
		if !a.ended && a.conn != 0 {
			g.dropConn(a)
		}
		g.came(at, a, decide.Reset)
	case connectLate:
		if !a.ended && (a.phase == dialing || g.now < a.writeAt) {
			g.end(at, a, decide.ConnectFailed)
		}
	case abandon:
		g.abandoned(at, a)
	}
}

// dialled is that a connection reaches its rater.
func (g *engine) dialled(at int32, a *attempt) {
	if a.ended {
		return
	}
	r := g.fleet.Rater(int(a.rater))
	mode := r.Mode()
	d := g.fleet.Connect(g.now, int(a.rater))
	g.number++
	e := record.Event{Kind: record.Connected, Number: g.number, Node: int16(a.node), Rater: int16(a.rater),
		Work: float32(r.Spec().HandshakeWork)}
	if d != world.Connected {
		e.How, e.Work = 1, 0
	}
	g.tally.open(a.rater)
	if d != world.Silent {
		g.see(e)
	}
	p := g.pass(a, greeting)
	if d == world.Silent || p.Lost {
		return
	}
	if mode == world.Down || r.Mode() >= world.Down { // it is down, or this very handshake pushed it over
		g.at(g.now+p.Delay, refused, at, uint64(a.gen))
		return
	}
	a.conn = g.conns.take()
	c := g.conns.at(a.conn)
	*c = conn{gen: c.gen + 1, node: a.node, rater: a.rater, life: g.raters[a.rater].life, busy: true, fresh: true,
		full: d == world.Rejected}
	a.full = c.full
	a.phase, a.writeAt = onWay, g.now+p.Delay
	if there := g.pass(a, ahead); !there.Lost {
		a.arrivedAt = a.writeAt + there.Delay
		g.at(a.arrivedAt, whole, at, uint64(a.gen))
	} else {
		a.arrivedAt = never
	}
	if !c.full {
		g.at(g.now+g.idleLimit(), idle, a.conn, uint64(c.gen))
	}
}

// arrived is that a request reaches its rater, whole.
func (g *engine) arrived(at int32, a *attempt) {
	g.landed(a)
	if a.ended && a.endedAt < a.writeAt { // it was given up before it was written
		g.dropConn(a)
		a.phase = through
		g.tried(at, a)
		return
	}
	r, c := &g.raters[a.rater], g.conns.at(a.conn)
	mode := g.fleet.Rater(int(a.rater)).Mode()
	switch {
	case mode == world.Hidden:
		a.phase = through
		g.tried(at, a)
		return
	case mode == world.Down || !c.full && c.life != r.life:
		a.phase = through
		g.toNode(reset, at, a)
		return
	}
	g.see(record.Event{Kind: record.Whole, Request: a.request, Number: a.number, Node: int16(a.node),
		Rater: int16(a.rater),
		Value: a.request + 1, Extra: a.key, Work: float32(a.work)})
	if c.full {
		a.phase = through
		g.says(at, a, decide.Overloaded, record.AnswerTurned)
		return
	}
	a.phase = atRater
	r.hold(at, a)
	if g.spoils && g.spoil(a, world.Resets) < 0.5 { // before the answer, at once
		g.see(g.sees(a, record.Cut, record.CutByRater))
		a.deaf = true
		g.toNode(reset, at, a)
	}
	if c.fresh {
		c.fresh = false
		trips := 2 * g.day.Raters[a.rater].HandshakeTrips * g.day.Pass(-1, g.nodes[a.node].party(),
			raterParty(a.rater), 0).Delay
		if trips > 0 {
			g.at(g.now+trips, offer, at, uint64(a.gen))
			return
		}
	}
	g.offer(at, a)
}

// offer hands an attempt to its rater.
func (g *engine) offer(at int32, a *attempt) {
	if a.phase != atRater {
		return
	}
	if a.deaf && a.ended { // cut off meanwhile
		g.raters[a.rater].drop(g, a)
		a.phase = through
		g.tried(at, a)
		return
	}
	a.phase = offered
	a.ticket = g.fleet.Offer(g.now, int(a.rater), world.Attempt{Tag: uint64(a.gen)<<32 | uint64(at),
		Request: a.request, Key: a.key,
		Deadline: g.now + a.until - a.writeAt, Work: a.work, Wait: a.wait, Again: g.day.Classes[a.class].RepeatWork, Luck: a.luck})
}

// spoil draws what is wrong with an attempt's answer: a number in [0, 1) if a trouble of this kind strikes it, else 2.
func (g *engine) spoil(a *attempt, kind string) float64 {
	for i := range g.day.Troubles {
		t := &g.day.Troubles[i]
		if t.Kind != kind || g.now < t.From || g.now >= t.To {
			continue
		}
		if x := g.luck(a.request ^ uint64(a.place)<<56 ^ uint64(i)<<48); x < t.Share {
			return x / t.Share
		}
	}
	return 2
}

// sees is an event of the rater about an attempt.
func (g *engine) sees(a *attempt, k record.Kind, how uint8) record.Event {
	return record.Event{Kind: k, Request: a.request, Number: a.number, Node: record.None, Rater: int16(a.rater),
		How: how}
}

// toNode sends word from the rater to the node.
func (g *engine) toNode(k kind, at int32, a *attempt) {
	if p := g.pass(a, home); !p.Lost {
		g.at(g.now+p.Delay, k, at, uint64(a.gen))
	}
}

// says is that the rater answers.
func (g *engine) says(at int32, a *attempt, r decide.Result, how uint8) {
	a.result = r
	if a.probe {
		g.toNode(back, at, a)
		return
	}
	e := g.sees(a, record.Answered, how)
	if r == decide.Succeeded {
		e.Value = g.body(a)
	}
	g.see(e)
	g.toNode(back, at, a)
}

// body is the digest of the answer that a rater makes for an attempt: unlike that of any other.
func (g *engine) body(a *attempt) uint64 { return a.request*0x9e3779b97f4a7c15 ^ uint64(a.number) }

// came is that the end of an attempt reaches the node.
func (g *engine) came(at int32, a *attempt, r decide.Result) {
	if a.ended {
		return
	}
	if a.conn != 0 && r != decide.Reset {
		if g.conns.at(a.conn).full {
			g.conns.give(a.conn)
		} else {
			g.putConn(a.conn)
		}
		a.conn = 0
	}
	g.end(at, a, r)
}

// abandoned is that an attempt's time is up, or that it was called off.
func (g *engine) abandoned(at int32, a *attempt) {
	if a.ended || !a.off && g.now < a.until {
		return
	}
	switch {
	case a.off:
		g.end(at, a, decide.Cancelled)
	case a.probe:
		g.end(at, a, decide.TimedOut)
	case a.phase == dialing || g.now < a.writeAt: // the rater is to blame only if it had its full time
		r := decide.NotSent
		if a.until-a.sent >= g.day.Site.Conns.ConnectTimeout.Lo {
			r = decide.ConnectFailed
		}
		g.end(at, a, r)
	default:
		g.end(at, a, decide.TimedOut)
	}
}

// end is the end of an attempt at its node. A connection that still carries it is closed.
func (g *engine) end(at int32, a *attempt, r decide.Result) {
	a.endedAt = g.now
	if a.phase == dialing {
		g.landed(a)
	}
	if a.conn != 0 && (g.now >= a.writeAt || a.arrivedAt == never) {
		p := g.pass(a, farewell)
		if p.Lost { // it is told again once that is over
			p.Delay += 5000
		}
		t := g.now + p.Delay
		if a.arrivedAt < never {
			t = max(t, a.arrivedAt)
		}
		a.cutting = true
		g.at(t, cut, at, uint64(a.gen))
	}
	if a.probe {
		a.ended = true
		if n := &g.nodes[a.node]; n.policy != nil && n.life == a.life {
			begun := n.begin()
			n.policy.Probed(clock(g.now), decide.Outcome{Backend: g.raters[a.rater].id, Result: r,
				Latency: span(g.now - a.sent), Load: a.load})
			n.end(begun)
		}
		g.tried(at, a)
		return
	}
	g.nodes[a.node].ended(at, a, r)
}

// cut is that the rater hears that an attempt's connection has ended.
func (g *engine) cut(at int32, a *attempt) {
	a.cutting = false
	switch a.phase {
	case atRater, offered:
		if !a.deaf {
			g.see(g.sees(a, record.Cut, record.CutByNode))
		}
		a.deaf = true
		if a.phase == atRater {
			g.raters[a.rater].drop(g, a)
			a.phase = through
		} else {
			a.cutting = true // its record is still needed
			g.fleet.Cancel(g.now, int(a.rater), a.ticket)
			a.cutting = false
		}
	case onWay: // it never came
		a.phase = through
		g.landed(a)
	}
	g.dropConn(a)
	g.tried(at, a)
}

// landed takes an attempt off the work that is on its way to its rater.
func (g *engine) landed(a *attempt) {
	if a.probe || a.work < 0 {
		return
	}
	r := &g.raters[a.rater]
	r.coming -= a.work
	if r.comingN--; r.comingN == 0 {
		r.coming = 0
	}
}

// tried gives an attempt's record back once node and rater are through with it.
func (g *engine) tried(at int32, a *attempt) {
	if a.ended && !a.cutting && (a.phase == dialing || a.phase == through) {
		a.gen++
		g.tries.give(at)
	}
}

// idleLimit is how long a node keeps an idle connection: half of the time after which raters close them.
func (g *engine) idleLimit() float64 { return g.day.Site.Conns.Idle.Lo / 2 }

func (g *engine) pair(node, rater int32) *int32 { return &g.idle[int(node)*len(g.raters)+int(rater)] }

// takeConn gives an idle connection, the one used last first; 0 if there is none.
func (g *engine) takeConn(n *node, rater int32) int32 {
	r := &g.raters[rater]
	for from := g.pair(int32(n.number), rater); *from != 0; {
		at := *from
		c := g.conns.at(at)
		switch {
		case c.life < r.closed: // its rater's process has ended, which the node has seen
			*from = c.next
			g.conns.give(at)
			c.gen++
		case g.now-c.since < settleMs:
			from = &c.next
		default:
			*from = c.next
			c.busy, c.next = true, 0
			return at
		}
	}
	return 0
}

// putConn gives a connection back after an answer.
func (g *engine) putConn(at int32) {
	c := g.conns.at(at)
	head := g.pair(c.node, c.rater)
	c.busy, c.since, c.next = false, g.now, *head
	*head = at
}

// dropConn ends the connection of an attempt on the rater's side.
func (g *engine) dropConn(a *attempt) {
	if a.conn == 0 {
		return
	}
	g.closeConn(a.conn)
	a.conn = 0
}

func (g *engine) closeConn(at int32) {
	c := g.conns.at(at)
	if r := g.fleet.Rater(int(c.rater)); !c.full && c.life == g.raters[c.rater].life && r.Mode() < world.Down {
		g.fleet.Disconnect(g.now, int(c.rater))
	}
	c.gen++
	g.conns.give(at)
}

// idled closes a connection that has stood idle for long.
func (g *engine) idled(at int32, gen uint32) {
	c := g.conns.at(at)
	if c.gen != gen {
		return
	}
	if left := c.since + g.idleLimit() - g.now; c.busy || left > 1e-6 {
		if c.busy {
			left = g.idleLimit()
		}
		g.at(g.now+left, idle, at, uint64(gen))
		return
	}
	for from := g.pair(c.node, c.rater); *from != 0; from = &g.conns.at(*from).next {
		if *from == at {
			*from = c.next
			break
		}
	}
	g.closeConn(at)
}

// nodeLost is that a node's process has ended: its connections end with it, and clients hear of it.
func (g *engine) nodeLost(n *node) {
	for at := int32(1); at <= g.calls.n; at++ {
		c := g.calls.at(at)
		if !c.here || int(c.node) != n.number {
			continue
		}
		c.here = false
		for i := range c.relays {
			if t := c.relays[i].at; t != 0 {
				a := g.tries.at(t)
				c.relays[i].at = 0
				a.ended, a.endedAt = true, g.now
				if a.phase == dialing {
					g.landed(a)
				}
				if a.conn != 0 && g.now >= a.writeAt {
					a.cutting = true
					g.at(max(g.now+g.day.WithinDelay, min(a.arrivedAt, g.now+1000)), cut, t, uint64(a.gen))
				}
				g.tried(t, a)
			}
		}
		c.out = 0
		if !c.over {
			c.over, c.lost = true, true
			g.at(g.now+g.day.ClientDelay, unreached, at, uint64(c.gen))
		}
		g.called(at, c)
	}
	for r := range g.raters {
		for head := g.pair(int32(n.number), int32(r)); *head != 0; {
			at := *head
			*head = g.conns.at(at).next
			g.closeConn(at)
		}
	}
}
