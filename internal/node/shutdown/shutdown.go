// Package shutdown decides how a node stops: how long it accepts connections, until when it admits calls of each
// class, which responses close their connection, when all open calls get their final response, and when the node
// ends.
//
// The package is pure: no clock, no lock, no goroutine, no I/O. Times are milliseconds of one clock and are passed
// in. Its state is four times, four counts and four numbers per class, so it never grows. The same calls give the
// same decisions. The caller (package driver) calls Step when Next is due and after each event, and carries out
// the actions that Step returns.
//
// Guarantees for every order of events, provided that Step is called no later than Times.End after Next:
//
//   - a call that Admit accepts is answered before the kill: by its own response, or by the final responses;
//   - a call that Admit rejects has to be refused at once;
//   - the node ends before the kill, and as soon as nothing is left to do for any client.
package shutdown

import "math"

// Times are the guarantees of the platform and the margins that the node derives from them, in milliseconds.
// Values that cannot work are clamped to ones that do.
type Times struct {
	ConnectableFor   float64 // clients that need a new connection certainly get one for this long after the signal
	AcceptFor        float64 // new connections are accepted for this long after the signal
	KillAfter        float64 // the node is killed no sooner than this after the signal
	FinishBeforeKill float64 // all open calls get their final response this long before the kill
	End              float64 // the node ends this long before the kill, whatever is left
}

// Phase is the progress of a stop. Phases only advance.
type Phase uint8

// The phases.
const (
	Serving       Phase = iota // no stop has been requested
	Accepting                  // new connections are still accepted
	AcceptClosed               // calls are admitted on the existing connections only
	RefusingCalls              // no further call can be answered in time: each response closes its connection
	Closing                    // every call has its final response, which may not be delivered yet
	Ended
)

// Actions are what the caller has to do now. Each is requested only once.
type Actions struct {
	Announce      bool // report that this node should get no new clients
	StopAccepting bool // accept no new connection after those already pending, then call AcceptingStopped
	CloseIdle     bool // close the connections without an open call
	Finish        bool // give each open call its final response
	End           bool // end the node
}

// Policy tells how to treat the connections of clients.
type Policy struct {
	CloseAfterResponse bool // each response closes its connection
	CloseIdle          bool // connections without an open call are closed now
	CanReconnect       bool // a client whose connection is closed can open another one
}

// Machine is the state machine of one node's stop.
type Machine struct {
	phase            Phase
	handedOver       bool    // another process accepts in place of this one
	connectableUntil float64 // until then clients can connect
	acceptUntil      float64 // until then new connections are accepted
	finishAt         float64 // then the open calls get their final responses
	endAt            float64 // then the node ends
	announced        bool    // Announce was requested
	acceptStopped    bool    // no further connection can arrive
	conns            int
	calls            int
	serialConns      int // connections that carry at most one call at a time
	freeSerial       int // and those of them that are free
	latencies        []latency
}

// latency estimates how long a class's responses take: an exponentially weighted mean and mean deviation, and the
// estimate at the time when the stop began.
type latency struct {
	mean, dev float64
	seen      bool
	limit     float64 // upper bound of the estimate
	atStop    float64
}

const (
	smoothing  = 0.05 // weight of the newest sample in the mean and the deviation: about the last twenty count
	minLatency = 1    // milliseconds that any response needs

	// The reserve of free connections covers random variation, so it grows with the square root of their number.
	reserveBase     = 2
	reserveRoot     = 1.5
	reserveMaxShare = 1.0 / 4 // of all connections
)

// New returns the machine of a node in service. usual is, by class, how many milliseconds a response may take and
// still be useful: it is the estimate until responses have been seen, and the upper bound after that.
func New(usual []float64) *Machine {
	m := &Machine{latencies: make([]latency, len(usual))}
	for i := range m.latencies {
		m.latencies[i].limit = usual[i]
	}
	return m
}

// Phase returns the progress of the stop.
func (m *Machine) Phase() Phase { return m.phase }

// Calls returns the number of calls that were admitted and are not answered yet.
func (m *Machine) Calls() int { return m.calls }

// Stop starts the stop. Only the first call counts, because a supervisor may send the signal twice. A call after
// HandOver can only make the node end sooner.
func (m *Machine) Stop(now float64, t Times) {
	end := max(now, now+t.KillAfter-max(t.End, 0))
	finish := max(now, min(now+t.KillAfter-t.FinishBeforeKill, end))
	accept := min(now+max(t.AcceptFor, 0), finish)
	switch {
	case m.phase == Serving:
		m.phase, m.endAt, m.finishAt, m.acceptUntil, m.connectableUntil = Accepting, end, finish, accept, now+t.ConnectableFor
		for i := range m.latencies {
			m.latencies[i].atStop = m.latencies[i].estimate()
		}
	case m.handedOver:
		m.endAt, m.finishAt = min(m.endAt, end), min(m.finishAt, finish)
	}
}

// HandOver records that another process accepts in place of this one: calls that arrive on the existing
// connections are answered, and each response closes its connection.
func (m *Machine) HandOver(now float64, t Times) {
	if m.phase == Serving {
		m.Stop(now, t)
		m.announced = true // there is nothing to announce
	}
	if m.phase < Ended { // a stop in progress keeps its times, but clients can connect to the other process
		m.handedOver = true
		if m.phase == Accepting {
			m.acceptUntil = min(m.acceptUntil, max(now, now+t.AcceptFor))
		}
	}
}

// AcceptingStopped records that no further connection can arrive, as StopAccepting requested.
func (m *Machine) AcceptingStopped() { m.acceptStopped = true }

// Connected records a new client connection; serial means that it carries at most one call at a time.
func (m *Machine) Connected(serial bool) {
	m.conns++
	if serial {
		m.serialConns++
		m.freeSerial++
	}
}

// Disconnected records the end of a connection.
func (m *Machine) Disconnected(serial bool) {
	m.conns--
	if serial {
		m.serialConns--
		m.freeSerial--
	}
}

// Admit reports whether a call is admitted, and counts it if it is. A call that is not admitted has to be refused
// at once: its response would come too late, or it would take one of the last free connections. A client without a
// free connection has to connect, is refused, and then considers the node dead together with all connections that
// are still open.
func (m *Machine) Admit(now float64, class int, deadline float64, serial bool) bool {
	n := &m.latencies[class]
	switch {
	case m.phase >= RefusingCalls:
		return false
	case m.phase > Serving && now+min(n.atStop, deadline-now) > m.finishAt:
		return false
	case m.phase > Serving && serial && !m.handedOver && now >= m.connectableUntil && m.scarce():
		return false
	}
	m.calls++
	if serial {
		m.freeSerial--
	}
	return true
}

// scarce reports whether another call would take one of the last free connections. With only a few connections
// there is no reserve, and all may be used.
func (m *Machine) scarce() bool {
	n := float64(m.serialConns)
	reserve := math.Floor(min(reserveBase+reserveRoot*math.Sqrt(n), reserveMaxShare*n))
	return reserve > 0 && float64(m.freeSerial-1) < reserve
}

// Answered records the end of an admitted call: how long it took, and whether a backend served it.
func (m *Machine) Answered(class int, took float64, served, serial bool) {
	m.calls--
	if serial {
		m.freeSerial++
	}
	if !served {
		return
	}
	n := &m.latencies[class]
	if !n.seen {
		n.seen, n.mean, n.dev = true, took, took/2
		return
	}
	n.dev += smoothing * (math.Abs(took-n.mean) - n.dev)
	n.mean += smoothing * (took - n.mean)
}

// estimate returns how long a class's response takes: most arrive no later than one mean deviation after the mean.
func (n *latency) estimate() float64 {
	if !n.seen {
		return n.limit
	}
	return max(minLatency, min(n.mean+n.dev, n.limit))
}

// Policy returns how to treat the connections of clients now.
func (m *Machine) Policy() Policy {
	last := m.phase >= RefusingCalls
	return Policy{CloseAfterResponse: m.handedOver || last, CloseIdle: last, CanReconnect: m.handedOver || m.phase == Serving}
}

// refuseCallsAt returns the time from which no class can be answered in time any more.
func (m *Machine) refuseCallsAt() float64 {
	shortest := math.Inf(1)
	for i := range m.latencies {
		shortest = min(shortest, m.latencies[i].atStop)
	}
	return max(m.acceptUntil, min(m.finishAt, m.finishAt-shortest))
}

// Step advances the stop as far as the time and the open calls allow, and returns what to do.
func (m *Machine) Step(now float64) (o Actions) {
	if m.phase > Serving && !m.announced {
		m.announced, o.Announce = true, true
	}
	if m.phase == Accepting && now >= m.acceptUntil {
		m.phase, o.StopAccepting = AcceptClosed, true
	}
	if m.phase == AcceptClosed && now >= m.refuseCallsAt() {
		m.phase, o.CloseIdle = RefusingCalls, true
	}
	if m.phase == RefusingCalls && now >= m.finishAt {
		m.phase, o.Finish = Closing, true
	}
	// With no connection left and none to come, no client can send another call.
	nothing := m.acceptStopped && m.conns <= 0 && m.calls <= 0
	if m.phase >= AcceptClosed && m.phase < Ended && (nothing || now >= m.endAt) {
		m.phase, o.End = Ended, true
	}
	return o
}

// Next returns when Step is due if nothing happens before, +Inf for never.
func (m *Machine) Next() float64 {
	switch m.phase {
	case Accepting:
		return m.acceptUntil
	case AcceptClosed:
		return m.refuseCallsAt()
	case RefusingCalls:
		return m.finishAt
	case Closing:
		return m.endAt
	}
	return math.Inf(1)
}
