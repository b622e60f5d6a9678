// Package driver runs the state machine of package shutdown in a node: it owns the machine's lock, clock and
// timers, and carries out its actions. The fronts report connections to it, and the core asks it to admit calls.
// It holds one timer and, during a stop, at most two goroutines.
package driver

import (
	"math"
	"sync"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/drain"
	"linenwheel.dev/linenwheel/internal/node/shutdown"
)

// Hooks carry out actions. They are called one after the other from a goroutine of their own, because they may
// close connections and end calls, which calls back into the gate. StopAccepting has a goroutine to itself.
type Hooks struct {
	Announce      func() // report that the node should get no new clients
	StopAccepting func() // stop accepting; it returns once all pending connections have been accepted
	CloseIdle     func() // close the connections without an open call
	Finish        func() // give every open call its final response
}

// Gate admits connections and calls for as long as they can be served. All of its methods may be called from any
// goroutine.
type Gate struct {
	clock clock.Clock
	hooks Hooks
	ended chan struct{} // closed when the node has to end

	mu         sync.Mutex
	machine    *shutdown.Machine
	drainState drain.State
	drain      drain.Times
	timer      func() // stops the timer
	due        float64
	actions    []shutdown.Actions // not carried out yet
	working    bool               // a goroutine is carrying them out
}

// New returns the gate of a node in service; see shutdown.New for usual.
func New(usual []float64, drainTimes drain.Times, c clock.Clock) *Gate {
	return &Gate{clock: c, drain: drainTimes, machine: shutdown.New(usual), ended: make(chan struct{}), timer: func() {}}
}

// SetHooks sets the functions that carry out actions. It is called before the first signal.
func (g *Gate) SetHooks(h Hooks) { g.hooks = h }

// Stop starts the stop. Further calls change nothing.
func (g *Gate) Stop(t shutdown.Times) { g.event(func(now float64) { g.machine.Stop(now, t) }) }

// HandOver records that another process accepts in place of this one.
func (g *Gate) HandOver(t shutdown.Times) { g.event(func(now float64) { g.machine.HandOver(now, t) }) }

// Ended returns a channel that is closed when the node has to end.
func (g *Gate) Ended() <-chan struct{} { return g.ended }

// Connected records a new client connection; serial means that it carries at most one call at a time.
func (g *Gate) Connected(serial bool) { g.event(func(float64) { g.machine.Connected(serial) }) }

// Disconnected records the end of a connection.
func (g *Gate) Disconnected(serial bool) { g.event(func(float64) { g.machine.Disconnected(serial) }) }

// Admit reports whether a call is admitted, and returns the time of the decision. It counts the call if it is
// admitted.
func (g *Gate) Admit(class int, deadline float64, serial bool) (now float64, ok bool) {
	g.event(func(at float64) {
		now, ok = at, !g.drainState.Policy(at, g.drain).RefuseCalls && g.machine.Admit(at, class, deadline, serial)
	})
	return now, ok
}

// Completed records the end of a call that was admitted at the time since.
func (g *Gate) Completed(class int, since float64, served, serial bool) {
	g.event(func(now float64) { g.machine.Answered(class, now-since, served, serial) })
}

// Policy tells how to treat the connections of clients, considering both the stop and a drain.
type Policy struct {
	shutdown.Policy
	Ready bool // the readiness endpoint may tell the front to send clients
}

// Policy returns the current policy.
func (g *Gate) Policy() Policy {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, d := Policy{Policy: g.machine.Policy()}, g.drainState.Policy(g.clock.Now(), g.drain)
	p.Ready = p.CanReconnect && d.Ready
	p.CloseAfterResponse, p.CloseIdle = p.CloseAfterResponse || d.CloseAfterResponse, p.CloseIdle || d.CloseIdle
	return p
}

// Drain drains clients until Activate is called. It does not affect a stop.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drainState.Drain(g.clock.Now())
}

// Activate ends the drain.
func (g *Gate) Activate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drainState.Activate()
}

// Drained returns whether the node is drained, and since when.
func (g *Gate) Drained() (since float64, drained bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drainState.Since()
}

// RestoreDrain continues a drain that another process of the node began at a given time.
func (g *Gate) RestoreDrain(at float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drainState.Drain(at)
}

// event reports an event to the machine and carries out the actions that follow from it.
func (g *Gate) event(what func(now float64)) {
	g.mu.Lock()
	now := g.clock.Now()
	what(now)
	if g.machine.Phase() == shutdown.Serving {
		g.mu.Unlock()
		return
	}
	if actions := g.machine.Step(now); actions != (shutdown.Actions{}) {
		g.actions = append(g.actions, actions)
		if !g.working {
			g.working = true
			go g.work()
		}
	}
	if next := g.machine.Next(); next != g.due {
		g.timer()
		if g.due = next; !math.IsInf(next, 1) {
			// Times are rounded, so a timer may fire slightly early; it is then set again.
			g.timer = g.clock.At(next, func() { g.event(func(float64) { g.due = 0 }) })
		}
	}
	g.mu.Unlock()
}

// work carries out actions until none are left.
func (g *Gate) work() {
	for {
		g.mu.Lock()
		if g.working = len(g.actions) > 0; !g.working {
			g.mu.Unlock()
			return
		}
		o := g.actions[0]
		g.actions = g.actions[1:]
		g.mu.Unlock()
		g.execute(o)
	}
}

// stopAccepting stops accepting and reports to the machine when no further connection can arrive.
func (g *Gate) stopAccepting() {
	g.hooks.StopAccepting()
	g.event(func(float64) { g.machine.AcceptingStopped() })
}

// execute carries out the machine's actions in order.
func (g *Gate) execute(o shutdown.Actions) {
	for _, action := range []struct {
		requested bool
		hook      func()
	}{{o.Announce, g.hooks.Announce}, {o.StopAccepting, func() { go g.stopAccepting() }}, {o.CloseIdle, g.hooks.CloseIdle},
		{o.Finish, g.hooks.Finish}, {o.End, func() { close(g.ended) }}} {
		if action.requested {
			action.hook()
		}
	}
}
