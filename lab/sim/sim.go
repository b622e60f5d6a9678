// Package sim plays a day of lab/world in virtual time: many instances of a policy, each through its public events and
// actions, with its own seed and phase, before one world. Clients, the front layer, the network, connections, raters and
// discovery are those that lab/live plays on sockets; the referee is the lab's own.
//
// A day is played by one thread, event after event, so the same day and policy give the same trace, byte for byte; its
// digest says so. Only the judging of what parties saw, which nothing in the day hangs on, may run beside it. Days of
// several seeds are played side by side by lab/matrix.
//
// What is left out, because a decision cannot see it: bytes, descriptors and processor time of a node, rude clients, a
// discovery that moves, new configuration files.
//
// Bounds: memory goes by what is open (tries, attempts, connections), with one machine word for each pair of node and
// rater, and what each policy keeps.
package sim

import (
	"fmt"
	"math"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/referee"
	"linenwheel.dev/linenwheel/lab/rivals"
	"linenwheel.dev/linenwheel/lab/world"
)

// Options say how a day is played.
type Options struct {
	Policy rivals.Maker
	// Reports: raters tell in answers to probes how much they hold and how long such requests take there. The protocol's
	// plain sites have none.
	Reports bool
	Watch   func(record.Event) // called for all that parties see, in order of time, if set
	Follow  Follower           // told what policies do, if set
	Count   bool               // count over the fleet, by the second
	Measure bool               // take the time that policies need, and what they hold at the end
	Beside  bool               // judge beside the day, on another thread
	Begun   func(Begun) error  // called when a node's process that is not its first has its list, before its first request, if set
}

// Begun is a process that takes the place of one that has ended.
type Begun struct {
	Node     int
	Now      time.Duration // by the nodes' clock
	Seed     uint64        // of the process
	Settings decide.Settings
	Own      rivals.Policy
	Others   []rivals.Policy // those of the nodes that run
}

// Follower is told what the policies do, for a trace.
type Follower interface {
	// Did: a node's policy asked for something about an attempt of a try, or a guard held it back. rater is -1 where none
	// is meant.
	Did(now float64, node, rater int, request uint64, attempt int, what string)
	// Tick comes every so often with a look at everything.
	Tick(now float64, look Look)
}

// Look is the state of a day for a Follower.
type Look interface {
	rivals.Truth
	Machine(rater int) *world.Rater
	ID(rater int) decide.BackendID
	Policy(node int) rivals.Policy // nil while the node is down
}

// Guard counts what the nodes' guard held back: the actions of a policy that would have broken a rule on their own. The
// policy hears that they were not sent.
type Guard struct {
	Departed int `json:"departed"`   // sends later than the grace to a rater that had been told to drain or be gone,
	Unknown  int `json:"unknown"`    // or that no list had named,
	Over     int `json:"over"`       // or for a request that was answered or whose client had left
	TimeIsUp int `json:"time_is_up"` // sends whose own time was up
}

// Held is the sum of what broke a rule.
func (g Guard) Held() int { return g.Departed + g.Unknown + g.Over }

// Outcome is what came of a day.
type Outcome struct {
	Judgement *referee.Judgement
	Digest    uint64 // of all that parties saw
	Events    uint64 // of the simulation
	Seen      uint64 // events that parties saw
	Requests  uint64 // that reached a node
	Guard     Guard
	Seconds   []Second      // with Count
	Policy    time.Duration // processor time of all policies, with Measure
	Bytes     float64       // that a policy holds at the day's end, mean over nodes, with Measure
}

// Play plays a day.
func Play(day *world.Day, o Options) (*Outcome, error) {
	g := newEngine(day, o)
	if err := g.begin(); err != nil {
		return nil, err
	}
	g.run()
	return g.finish()
}

// rest is how long the day goes on after its last client has given up, ms: what raters have left is seen to its end.
const rest = 500

// probe and connection figures that the live lab has too.
const (
	settleMs   = 5   // a node lets a connection rest so long after an answer
	startMs    = 150 // from a node's start until the front takes it in
	stopAfter  = 300 // after a node was asked to stop new connections come for so long
	killAfter  = 700 // it is killed so long after the longest deadline,
	mostKill   = 3000
	shareEvery = 200 // a cold rater's share is written down so often
	againMs    = 500 // until a node asks discovery again after an answer that broke off
	tickEvery  = 100 // of a Follower
)

type kind uint8

const (
	_           kind = iota
	arrive           // a try reaches its node: id = call, arg = its generation
	answer           // a final answer reaches the client: likewise
	leave            // a client's patience ends: likewise
	gone             // a node hears that a client has left: likewise
	unreached        // a client hears that it reached no node: likewise
	retry            // a client's next try is due: id = call
	dial             // a connection reaches its rater: id = attempt, arg = its generation
	whole            // a request reaches its rater, whole: likewise
	offer            // its connection's handshake is through: likewise
	back             // a rater's answer reaches the node: likewise
	reset            // the end of a connection reaches the node: likewise
	refused          // the node hears that no connection comes up: likewise
	abandon          // an attempt's time is up: likewise
	connectLate      // its connection took too long: likewise
	cut              // the end of an attempt's connection reaches the rater: likewise
	idle             // a connection may have been idle for long: id = conn, arg = its generation
	timer            // id = node, arg = token
	told             // id = node
	askList          // likewise: a call for the list is due
	listed           // it is answered
	notListed        // or has failed
	second           // a second is over
	ready            // a node's process is up: id = node
	stopped          // it must have ended: id = node
	doorsAt          // the front may send to fewer nodes: id = node
	share            // a cold rater's share: id = rater, arg = its life
	probeAt          // a probe reaches its rater: id = attempt
	tick
)

// engine is a day that is being played.
type engine struct {
	day   *world.Day
	o     Options
	now   float64
	q     *queue
	fleet *world.Fleet
	seen  *seen

	arrivals *world.Arrivals
	next     world.Arrival
	more     bool

	nodes   []node
	doors   []int32 // nodes that the front sends to
	raters  []rater
	byID    map[decide.BackendID]int32
	calls   pool[call]
	tries   pool[attempt]
	conns   pool[conn]
	idle    []int32        // first idle connection of each pair of node and rater, 0 = none
	number  uint32         // of attempts, probes and connections
	open    int            // clients that are not settled
	tally   *tally         // nil without Count
	service *world.Service // of the list, nil where it is sent to all
	half    bool           // the day has an hour in which discovery's answers break off
	spoils  bool           // or raters' answers
	out     Outcome
	err     error
}

// pool hands out records that keep their place, and tells a new use of one from the one before.
type pool[T any] struct {
	slabs [][]T
	free  []int32
	n     int32
}

const slab = 1 << 10

func (p *pool[T]) at(i int32) *T { return &p.slabs[i/slab][i%slab] }

// take gives the number of a free record; 0 is never used.
func (p *pool[T]) take() int32 {
	if n := len(p.free); n > 0 {
		i := p.free[n-1]
		p.free = p.free[:n-1]
		return i
	}
	p.n++
	if int(p.n/slab) >= len(p.slabs) {
		p.slabs = append(p.slabs, make([]T, slab))
	}
	return p.n
}

func (p *pool[T]) give(i int32) { p.free = append(p.free, i) }

func newEngine(day *world.Day, o Options) *engine {
	rate := max(day.Rate, 1)
	g := &engine{day: day, o: o, q: newQueue(min(1, max(1.0/64, 4/rate*1000/40))), arrivals: day.Arrivals(),
		nodes: make([]node, day.Nodes), raters: make([]rater, len(day.Raters)), byID: map[decide.BackendID]int32{},
		idle: make([]int32, day.Nodes*len(day.Raters))}
	g.seen = newSeen(day, o)
	if o.Count {
		g.tally = newTally(day.Nodes, len(day.Raters))
		g.at(1000, second, 0, 0)
	}
	if day.List.Lines > 0 {
		list := day.List
		g.service = &list
	}
	for i := range day.Raters {
		id := idOf(day.Raters[i].Name)
		for _, taken := g.byID[id]; taken; _, taken = g.byID[id] {
			id++
		}
		g.byID[id] = int32(i)
		g.raters[i].id = id
	}
	for i := range day.Troubles {
		switch day.Troubles[i].Kind {
		case world.DiscoveryHalf, world.NetCut, world.NetHalf:
			g.half = true
		case world.Spoilt, world.Surplus, world.Resets:
			g.spoils = true
		}
	}
	g.fleet = world.NewFleet(day, g)
	return g
}

func (g *engine) begin() error {
	g.more = g.arrivals.Next(&g.next)
	g.fleet.Advance(0)
	for i := range g.nodes {
		n := &g.nodes[i]
		n.engine, n.number = g, i
		if err := n.start(); err != nil {
			return err
		}
		n.taken = true
	}
	g.knockers()
	if g.o.Follow != nil {
		g.at(0, tick, 0, 0)
	}
	return nil
}

// at has something happen at a time.
func (g *engine) at(at float64, k kind, id int32, arg uint64) {
	if !(at < math.MaxInt32) {
		return // never
	}
	g.q.push(event{at: max(at, g.now), kind: k, id: id, arg: arg})
}

func (g *engine) run() {
	over := math.Inf(1)
	for g.err == nil {
		t, ok := g.q.peek()
		if !ok {
			t = math.Inf(1)
		}
		if g.more && g.next.At < t {
			t = g.next.At
		}
		if f := g.fleet.Next(); f <= t {
			t = f
			if t > over || math.IsInf(t, 1) {
				return
			}
			g.now = t
			g.fleet.Advance(t)
			g.out.Events++
			continue
		}
		if t > over || math.IsInf(t, 1) {
			return
		}
		g.now = t
		g.out.Events++
		if g.more && g.next.At <= t {
			g.due()
		} else {
			g.happen(g.q.pop())
		}
		if !g.more && g.open == 0 && math.IsInf(over, 1) {
			over = g.now + rest
		}
	}
}

// happen carries out an event.
func (g *engine) happen(e event) {
	switch e.kind {
	case arrive, answer, leave, gone, unreached, retry:
		c := g.calls.at(e.id)
		if c.gen != uint32(e.arg) {
			return
		}
		switch e.kind {
		case arrive:
			g.nodes[c.node].take(e.id, c)
		case answer:
			g.answered(e.id, c)
		case leave:
			g.left(e.id, c)
		case gone:
			g.nodes[c.node].gone(e.id, c)
		case unreached:
			g.unreached(e.id, c)
		case retry:
			g.send(e.id, c)
		}
	case dial, whole, offer, back, reset, refused, abandon, connectLate, cut, probeAt:
		a := g.tries.at(e.id)
		if a.gen != uint32(e.arg) {
			return
		}
		g.attemptEvent(e.kind, e.id, a)
	case idle:
		g.idled(e.id, uint32(e.arg))
	case timer:
		if n := &g.nodes[e.id]; n.life == e.life && n.policy != nil {
			n.timer(e.arg)
		}
	case told:
		g.nodes[e.id].told()
	case askList, listed, notListed:
		if n := &g.nodes[e.id]; n.life == e.life && n.policy != nil {
			n.listCall(e.kind)
		}
	case second:
		g.second()
	case ready:
		if n := &g.nodes[e.id]; n.policy == nil {
			g.err = n.start()
			n.taken = true
			g.see(record.Event{Kind: record.NodeReady, Node: int16(e.id), Rater: record.None})
			g.knockers()
		}
	case doorsAt:
		g.knockers()
		g.nodes[e.id].stop()
	case stopped:
		if n := &g.nodes[e.id]; n.life == e.life {
			n.killed()
		}
	case share:
		g.shareOf(int(e.id), uint32(e.arg))
	case tick:
		g.o.Follow.Tick(g.now, g)
		if g.more || g.open > 0 {
			g.at(g.now+tickEvery, tick, 0, 0)
		}
	}
}

func (g *engine) finish() (*Outcome, error) {
	if g.o.Measure {
		held, n := 0.0, 0
		for i := range g.nodes {
			if g.nodes[i].policy != nil && n < 16 { // they are much alike
				held += float64(sizeOf(g.nodes[i].policy))
				n++
			}
			g.out.Policy += g.nodes[i].spent
		}
		g.out.Bytes = held / float64(max(n, 1))
	}
	j, err := g.seen.finish()
	if g.err != nil {
		err = g.err
	}
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", g.day.Seed, err)
	}
	g.out.Judgement, g.out.Digest, g.out.Seen = j, g.seen.digest.Sum64(), g.seen.n
	return &g.out, nil
}

// see writes down what a party sees now.
func (g *engine) see(e record.Event) {
	e.At = g.now
	g.seen.take(e)
}
