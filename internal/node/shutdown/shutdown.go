// Package shutdown decides how a node stops: how long it takes connections, until when it takes calls and of which class,
// which answers end their connection, when all that is still open gets its final answer, and when the node ends.
//
// It is pure: no clock, no lock, no goroutine, no I/O. Times are milliseconds of one clock and are passed in. Its state is
// four times, four counts and four numbers a class, so it never grows. The same calls give the same decisions. Whoever
// drives it (package gate) calls Step when Next is due and after each event, and carries out what Step asks for.
//
// What holds in every order of events, as long as Step comes no later than Times.End after Next:
//
//   - a call that Take lets in is answered before the kill: by itself, or by the final answers;
//   - a call that Take does not let in has to be refused at once;
//   - the node ends before the kill, and as soon as nothing is left to do for anyone.
package shutdown

import "math"

// Times are the platform's promises and what the node makes of them, in milliseconds. Those that cannot work are cut to
// what does.
type Times struct {
	ConnectableFor   float64 // clients that need a new connection are sure to get one for so long after the signal
	AcceptFor        float64 // new connections are taken for so long
	KillAfter        float64 // the node is killed no sooner than this after the signal
	FinishBeforeKill float64 // so long before the kill all that is open gets its final answer,
	End              float64 // and so long before the kill the node ends, whatever is left
}

// Phase is how far a stop has come. Phases only go forward.
type Phase uint8

// The phases.
const (
	Serving       Phase = iota // nobody has told the node to stop
	Accepting                  // new connections still come and are taken
	AcceptClosed               // calls are taken on the connections that there are
	RefusingCalls              // no call can be answered in time any more: each answer ends its connection
	Closing                    // all has its final answer, which may still be on its way
	Ended
)

// Orders are what has to be done now, once each.
type Actions struct {
	Announce      bool // tell that this node is no longer to be given clients
	StopAccepting bool // take no new connection, once those that have come are in, and tell Refused then
	CloseIdle     bool // end the connections that carry no call
	Finish        bool // give each open call its final answer
	End           bool // end the node
}

// Policy is how the connections of clients are to be treated.
type Policy struct {
	CloseAfterResponse bool // an answer ends its connection
	CloseIdle          bool // one that carries no call ends now
	CanReconnect       bool // a client that loses one finds another
}

// Machine is one node's stop.
type Machine struct {
	phase            Phase
	handedOver       bool    // another process accepts in its place
	connectableUntil float64 // until then clients can connect,
	acceptUntil      float64 // until then new connections are taken,
	finishAt         float64 // then the final answers are given,
	endAt            float64 // and then the node ends
	announced        bool    // Announce was ordered
	acceptStopped    bool    // no connection comes any more
	conns            int
	calls            int
	serialConns      int // connections that carry no more than a call at a time,
	freeSerial       int // and those of them that carry none
	latencies        []latency
}

// need is how long a class's answers take: a mean and a mean deviation, both fading, and what they came to when the
// stop began.
type latency struct {
	mean, dev float64
	seen      bool
	limit     float64 // it never needs more
	atStop    float64
}

const (
	smoothing  = 0.05 // of the newest answer in the mean and the deviation: the last twenty or so count
	minLatency = 1    // milliseconds that any answer needs

	// The reserve of free connections, for chance, which goes with the root of their number.
	reserveBase     = 2
	reserveRoot     = 1.5
	reserveMaxShare = 1.0 / 4 // of all connections
)

// New makes the machine of a node that serves. usual is, by class, how many milliseconds an answer may take and still be
// worth something: what a class needs until its answers have been seen, and never more than that.
func New(usual []float64) *Machine {
	m := &Machine{latencies: make([]latency, len(usual))}
	for i := range m.latencies {
		m.latencies[i].limit = usual[i]
	}
	return m
}

// Phase is how far the stop has come.
func (m *Machine) Phase() Phase { return m.phase }

// Calls is the number of calls that were taken and are not answered.
func (m *Machine) Calls() int { return m.calls }

// Stop takes the signal. Only the first one counts: a supervisor may well send it twice. One that comes after Yield can
// only have the node end sooner.
func (m *Machine) Stop(now float64, t Times) {
	end := max(now, now+t.KillAfter-max(t.End, 0))
	answers := max(now, min(now+t.KillAfter-t.FinishBeforeKill, end))
	accept := min(now+max(t.AcceptFor, 0), answers)
	switch {
	case m.phase == Serving:
		m.phase, m.endAt, m.finishAt, m.acceptUntil, m.connectableUntil = Accepting, end, answers, accept, now+t.ConnectableFor
		for i := range m.latencies {
			m.latencies[i].atStop = m.latencies[i].estimate()
		}
	case m.handedOver:
		m.endAt, m.finishAt = min(m.endAt, end), min(m.finishAt, answers)
	}
}

// Yield takes the news that another process accepts in this one's place: what comes on the connections that there are is
// answered, and each answer ends its connection.
func (m *Machine) HandOver(now float64, t Times) {
	if m.phase == Serving {
		m.Stop(now, t)
		m.announced = true // nobody has to be told
	}
	if m.phase < Ended { // a stop that is on goes on in its times, but clients find the other process
		m.handedOver = true
		if m.phase == Accepting {
			m.acceptUntil = min(m.acceptUntil, max(now, now+t.AcceptFor))
		}
	}
}

// Refused takes the news that no connection comes any more, as Refuse has ordered.
func (m *Machine) AcceptingStopped() { m.acceptStopped = true }

// Connected takes a client's connection; alone is one that carries no more than a call at a time.
func (m *Machine) Connected(alone bool) {
	m.conns++
	if alone {
		m.serialConns++
		m.freeSerial++
	}
}

// Disconnected takes the end of one.
func (m *Machine) Disconnected(alone bool) {
	m.conns--
	if alone {
		m.serialConns--
		m.freeSerial--
	}
}

// Take tells whether a call that has come is taken, and counts it in. One that is not has to be refused at once: its answer
// would come too late, or it would take one of the last free connections. A client that finds none has to connect, is
// refused, and then takes the node for dead with all the connections that are still open.
func (m *Machine) Admit(now float64, class int, deadline float64, alone bool) bool {
	n := &m.latencies[class]
	switch {
	case m.phase >= RefusingCalls:
		return false
	case m.phase > Serving && now+min(n.atStop, deadline-now) > m.finishAt:
		return false
	case m.phase > Serving && alone && !m.handedOver && now >= m.connectableUntil && m.scarce():
		return false
	}
	m.calls++
	if alone {
		m.freeSerial--
	}
	return true
}

// scarce tells whether another call would take one of the last free connections. Of a few connections all may be used.
func (m *Machine) scarce() bool {
	n := float64(m.serialConns)
	reserve := math.Floor(min(reserveBase+reserveRoot*math.Sqrt(n), reserveMaxShare*n))
	return reserve > 0 && float64(m.freeSerial-1) < reserve
}

// Answered takes the end of a call that was taken: the time it took, and whether a host served it.
func (m *Machine) Answered(class int, took float64, served, alone bool) {
	m.calls--
	if alone {
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

// now is how long a class's answer takes: most come sooner than a deviation after the mean.
func (n *latency) estimate() float64 {
	if !n.seen {
		return n.limit
	}
	return max(minLatency, min(n.mean+n.dev, n.limit))
}

// Policy is how the connections of clients are to be treated now.
func (m *Machine) Policy() Policy {
	last := m.phase >= RefusingCalls
	return Policy{CloseAfterResponse: m.handedOver || last, CloseIdle: last, CanReconnect: m.handedOver || m.phase == Serving}
}

// lastCall is from when on no class can be answered any more.
func (m *Machine) refuseCallsAt() float64 {
	shortest := math.Inf(1)
	for i := range m.latencies {
		shortest = min(shortest, m.latencies[i].atStop)
	}
	return max(m.acceptUntil, min(m.finishAt, m.finishAt-shortest))
}

// Step carries the stop on as far as the time and what is open have it.
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
	// Once no connection comes, nobody can ask who has none.
	nothing := m.acceptStopped && m.conns <= 0 && m.calls <= 0
	if m.phase >= AcceptClosed && m.phase < Ended && (nothing || now >= m.endAt) {
		m.phase, o.End = Ended, true
	}
	return o
}

// Next is when Step is due if nothing happens before, +Inf for never.
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
