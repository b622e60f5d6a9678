// Package driver is the node's side of package stop: it owns the machine's lock, its clock and its timers, and has its
// orders carried out. Fronts tell it of connections, the core asks it about calls. It holds one timer and, while a stop
// is on, two goroutines at the most.
package driver

import (
	"math"
	"sync"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/drain"
	"linenwheel.dev/linenwheel/internal/node/shutdown"
)

// Hooks carry out orders. They are called one after the other, from a goroutine of their own: what they do may well
// end connections and calls, which tell the gate in turn. Refuse has another one.
type Hooks struct {
	Announce  func() // the node is not to be given clients any more
	Refuse    func() // take no new connections; it returns when those that have come are in
	CloseIdle func() // end connections that carry no call
	Finish    func() // give every open call its final answer
}

// Gate lets connections and calls in for as long as they can be served. All of its methods may be called from any
// goroutine.
type Gate struct {
	clock clock.Clock
	hooks Hooks
	ended chan struct{} // closed when the node is to end

	mu      sync.Mutex
	machine *shutdown.Machine
	duty    drain.Duty
	drain   drain.Times
	timer   func() // stops the timer
	due     float64
	orders  []shutdown.Orders // not carried out yet,
	working bool              // but somebody is at it
}

// New makes the gate of a node that serves; see stop.New for usual.
func New(usual []float64, drainTimes drain.Times, c clock.Clock) *Gate {
	return &Gate{clock: c, drain: drainTimes, machine: shutdown.New(usual), ended: make(chan struct{}), timer: func() {}}
}

// Hook sets who carries out orders, before the first signal.
func (g *Gate) Hook(h Hooks) { g.hooks = h }

// Stop takes the signal to stop. A further one changes nothing.
func (g *Gate) Stop(t shutdown.Times) { g.event(func(now float64) { g.machine.Stop(now, t) }) }

// Yield takes the news that another process accepts.
func (g *Gate) Yield(t shutdown.Times) { g.event(func(now float64) { g.machine.Yield(now, t) }) }

// Ended is closed when the node is to end.
func (g *Gate) Ended() <-chan struct{} { return g.ended }

// Connected counts a client's connection in; alone is one that carries no more than a call at a time.
func (g *Gate) Connected(alone bool) { g.event(func(float64) { g.machine.Connected(alone) }) }

// Disconnected counts one out.
func (g *Gate) Disconnected(alone bool) { g.event(func(float64) { g.machine.Disconnected(alone) }) }

// Admit tells whether a call is taken, and when that was, and counts it in.
func (g *Gate) Admit(class int, deadline float64, alone bool) (now float64, ok bool) {
	g.event(func(at float64) {
		now, ok = at, !g.duty.Policy(at, g.drain).Refuse && g.machine.Take(at, class, deadline, alone)
	})
	return now, ok
}

// Completed counts out a call that was taken at a time.
func (g *Gate) Completed(class int, since float64, served, alone bool) {
	g.event(func(now float64) { g.machine.Answered(class, now-since, served, alone) })
}

// Policy is how the connections of clients are to be treated now, for the stop and for the node's duty.
type Policy struct {
	shutdown.Policy
	Up bool // the front may be told to send clients
}

// Policy is the present one.
func (g *Gate) Policy() Policy {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, d := Policy{Policy: g.machine.Policy()}, g.duty.Policy(g.clock.Now(), g.drain)
	p.Up = p.Replaceable && d.Up
	p.EndAnswered, p.EndIdle = p.EndAnswered || d.EndAnswered, p.EndIdle || d.EndIdle
	return p
}

// Drain sends clients away until Activate; the stop goes its own way.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.duty.Drain(g.clock.Now())
}

// Activate takes clients again.
func (g *Gate) Activate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.duty.Activate()
}

// Drained tells since when clients are sent away.
func (g *Gate) Drained() (since float64, drained bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.duty.Since()
}

// DrainedSince takes over a drain that began at a time at another process of the node.
func (g *Gate) DrainedSince(at float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.duty.Drain(at)
}

// event tells the machine what has happened and carries out what follows from it.
func (g *Gate) event(what func(now float64)) {
	g.mu.Lock()
	now := g.clock.Now()
	what(now)
	if g.machine.Phase() == shutdown.Serving {
		g.mu.Unlock()
		return
	}
	if orders := g.machine.Step(now); orders != (shutdown.Orders{}) {
		g.orders = append(g.orders, orders)
		if !g.working {
			g.working = true
			go g.work()
		}
	}
	if next := g.machine.Next(); next != g.due {
		g.timer()
		if g.due = next; !math.IsInf(next, 1) {
			// Times are rounded, so one may ring a little early: it is set again then.
			g.timer = g.clock.At(next, func() { g.event(func(float64) { g.due = 0 }) })
		}
	}
	g.mu.Unlock()
}

// work carries out orders until there are none.
func (g *Gate) work() {
	for {
		g.mu.Lock()
		if g.working = len(g.orders) > 0; !g.working {
			g.mu.Unlock()
			return
		}
		o := g.orders[0]
		g.orders = g.orders[1:]
		g.mu.Unlock()
		g.carryOut(o)
	}
}

// refuse has new connections refused and tells the machine when none comes any more.
func (g *Gate) refuse() {
	g.hooks.Refuse()
	g.event(func(float64) { g.machine.Refused() })
}

// carryOut does what the machine orders.
func (g *Gate) carryOut(o shutdown.Orders) {
	for _, order := range []struct {
		given bool
		hook  func()
	}{{o.Announce, g.hooks.Announce}, {o.Refuse, func() { go g.refuse() }}, {o.CloseIdle, g.hooks.CloseIdle},
		{o.Finish, g.hooks.Finish}, {o.End, func() { close(g.ended) }}} {
		if order.given {
			order.hook()
		}
	}
}
