package sim

import (
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// call is one try of a client, at its node.
type call struct {
	arrival  world.Arrival
	client   world.Client
	try      world.Try
	gen      uint32
	node     int32
	life     uint16 // of the node's process that it was sent to
	lost     bool   // with that process
	done     bool   // the client has its end
	here     bool   // the node knows it
	over     bool   // and has given its final answer, or heard that the client left
	how      world.How
	status   uint16
	body     uint64
	wait     float64 // that the answer advises
	deadline float64 // as the node has it
	relays   []relay
	out      int
}

// relay is an attempt as its try knows it.
type relay struct {
	rater int32
	at    int32 // 0 once it has ended
}

var clients = world.Party{Kind: world.ClientParty, Number: -1}

// Legs of an attempt's way, each with luck of its own.
const (
	knock uint64 = iota
	greeting
	ahead
	home
	farewell
	clientLeg
)

// pass is a passage of an attempt, from its node to its rater or back. Its luck is its own, whatever came before.
func (g *engine) pass(a *attempt, leg uint64) world.Passage {
	from, to := g.nodes[a.node].party(), raterParty(a.rater)
	if leg == greeting || leg == home {
		from, to = to, from
	}
	return g.day.Pass(g.now, from, to, a.request^uint64(a.place+1)<<56^leg<<48)
}

// clientPass is a passage of a try between client and node.
func (g *engine) clientPass(c *call, toNode bool, leg uint64) world.Passage {
	from, to := clients, g.nodes[c.node].party()
	if !toNode {
		from, to = to, from
	}
	return g.day.Pass(g.now, from, to, c.try.ID^(clientLeg+leg)<<48)
}

// luck is a number in [0, 1) that hangs on the day's seed and a number of its own.
func (g *engine) luck(own uint64) float64 {
	x := (own + g.day.Seed) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// due is that a first try is due.
func (g *engine) due() {
	at := g.calls.take()
	c := g.calls.at(at)
	c.arrival = g.next
	a := &c.arrival
	e := record.Event{Kind: record.Due, Number: uint32(a.Number), Class: uint8(a.Class),
		Partner: uint8(a.Partner), Work: float32(a.Work),
		Node: record.None, Rater: record.None}
	if a.Over {
		e.How = 1
	}
	g.see(e)
	g.open++
	c.client = g.day.NewClient(a)
	c.try = c.client.First(g.day)
	g.send(at, c)
	g.more = g.arrivals.Next(&g.next)
}

// knockers finds the nodes that the front sends to.
func (g *engine) knockers() {
	g.doors = g.doors[:0]
	for i := range g.nodes {
		n := &g.nodes[i]
		if n.taken && n.until > 0 && g.now >= n.until {
			n.taken = false
		}
		if n.taken {
			g.doors = append(g.doors, int32(i))
		}
	}
}

// send sends a try out.
func (g *engine) send(at int32, c *call) {
	c.done, c.lost, c.here, c.over, c.out, c.relays = false, false, false, false, 0, c.relays[:0]
	e := record.Event{Kind: record.Sent, Request: c.try.ID, Number: uint32(c.arrival.Number),
		Rater: record.None, Class: uint8(c.arrival.Class),
		Partner: uint8(c.arrival.Partner), How: uint8(c.try.Number), Value: c.try.ID + 1, Extra: uint64(c.try.Limit)}
	if len(g.doors) == 0 {
		c.node = record.None
		g.unreached(at, c)
		return
	}
	c.node = g.doors[int(g.luck(c.try.ID)*float64(len(g.doors)))]
	n := &g.nodes[c.node]
	p := g.clientPass(c, true, 0)
	if n.policy == nil { // the front has not noticed
		g.at(g.now+2*p.Delay, unreached, at, uint64(c.gen))
		return
	}
	c.life = n.life
	e.Node = int16(c.node)
	g.see(e)
	if !p.Lost {
		g.at(g.now+p.Delay+float64(c.arrival.Body)*1000/p.Rate, arrive, at, uint64(c.gen))
	}
	g.at(c.try.LeaveAt, leave, at, uint64(c.gen))
}

// answer sends a final answer to the client.
func (g *engine) answer(at int32, c *call, how world.How, status int, body uint64, wait float64) {
	c.how, c.status, c.body, c.wait = how, uint16(status), body, wait
	p := g.clientPass(c, false, 1)
	if !p.Lost {
		g.at(g.now+p.Delay+float64(c.arrival.Answer)*1000/p.Rate, answer, at, uint64(c.gen))
	}
}

func (g *engine) clientSees(c *call, k record.Kind, how uint8, value, extra uint64) {
	g.see(record.Event{Kind: k, Request: c.try.ID, Number: uint32(c.arrival.Number), Node: int16(c.node),
		Rater: record.None, How: how,
		Value: value, Extra: extra})
}

func (g *engine) answered(at int32, c *call) {
	if c.done {
		return
	}
	g.clientSees(c, record.Got, uint8(c.how), c.body, uint64(c.status))
	wait := c.wait
	if !g.day.Site.Node.RetryAfter {
		wait = 0
	}
	g.settle(at, c, c.how, wait)
}

func (g *engine) left(at int32, c *call) {
	if c.done {
		return
	}
	g.clientSees(c, record.Left, record.HadNothing, 0, 0)
	if c.here && !c.over {
		if p := g.clientPass(c, true, 2); !p.Lost {
			g.at(g.now+p.Delay, gone, at, uint64(c.gen))
		}
	}
	g.settle(at, c, world.GivenUp, 0)
}

// unreached is that a client hears that its try reached no node, or that its node's process has ended.
func (g *engine) unreached(at int32, c *call) {
	switch {
	case c.done:
	case c.lost:
		g.clientSees(c, record.Unanswered, record.HadNothing, 0, 0)
		g.settle(at, c, world.Broke, 0)
	default:
		g.clientSees(c, record.Unreached, uint8(c.try.Number), 0, 0)
		g.settle(at, c, world.Unreached, 0)
	}
}

// settle ends a try for its client, who may try again.
func (g *engine) settle(at int32, c *call, how world.How, wait float64) {
	c.done = true
	next, again := c.client.Ended(g.day, g.now, c.try, how, wait)
	if again {
		to := g.calls.take()
		d := g.calls.at(to)
		d.arrival, d.client, d.try = c.arrival, c.client, next
		g.at(next.At, retry, to, uint64(d.gen))
	} else {
		g.see(record.Event{Kind: record.Settled, Number: uint32(c.arrival.Number), How: uint8(how),
			Node: record.None, Rater: record.None})
		g.open--
	}
	g.called(at, c)
}

// called gives a try's record back once client and node are through with it.
func (g *engine) called(at int32, c *call) {
	if c.done && !c.here {
		c.gen++
		g.calls.give(at)
	}
}
