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
	Sure    float64 // clients that need a new connection are sure to get one for so long after the signal
	Accept  float64 // new connections are taken for so long
	Kill    float64 // the node is killed no sooner than this after the signal
	Answers float64 // so long before the kill all that is open gets its final answer,
	End     float64 // and so long before the kill the node ends, whatever is left
}

// Phase is how far a stop has come. Phases only go forward.
type Phase uint8

// The phases.
const (
	Serving   Phase = iota // nobody has told the node to stop
	Accepting              // new connections still come and are taken
	Holding                // calls are taken on the connections that there are
	LastCalls              // no call can be answered in time any more: each answer ends its connection
	Closing                // all has its final answer, which may still be on its way
	Ended
)

// Orders are what has to be done now, once each.
type Orders struct {
	Announce  bool // tell that this node is no longer to be given clients
	Refuse    bool // take no new connection, once those that have come are in, and tell Refused then
	CloseIdle bool // end the connections that carry no call
	Finish    bool // give each open call its final answer
	End       bool // end the node
}

// Policy is how the connections of clients are to be treated.
type Policy struct {
	EndAnswered bool // an answer ends its connection
	EndIdle     bool // one that carries no call ends now
	Replaceable bool // a client that loses one finds another
}

// Machine is one node's stop.
type Machine struct {
	phase   Phase
	yields  bool    // another process accepts in its place
	sure    float64 // until then clients can connect,
	accept  float64 // until then new connections are taken,
	answers float64 // then the final answers are given,
	end     float64 // and then the node ends
	told    bool    // Announce was ordered
	refused bool    // no connection comes any more
	conns   int
	calls   int
	lanes   int // connections that carry no more than a call at a time,
	free    int // and those of them that carry none
	needs   []need
}

// need is how long a class's answers take: a mean and a mean deviation, both fading, and what they came to when the
// stop began.
type need struct {
	mean, dev float64
	seen      bool
	most      float64 // it never needs more
	frozen    float64
}

const (
	share = 0.05 // of the newest answer in the mean and the deviation: the last twenty or so count
	least = 1    // milliseconds that any answer needs

	// The reserve of free connections, for chance, which goes with the root of their number.
	reserveLeast = 2
	reserveRoot  = 1.5
	reserveMost  = 1.0 / 4 // of all connections
)

// New makes the machine of a node that serves. usual is, by class, how many milliseconds an answer may take and still be
// worth something: what a class needs until its answers have been seen, and never more than that.
func New(usual []float64) *Machine {
	m := &Machine{needs: make([]need, len(usual))}
	for i := range m.needs {
		m.needs[i].most = usual[i]
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
	end := max(now, now+t.Kill-max(t.End, 0))
	answers := max(now, min(now+t.Kill-t.Answers, end))
	accept := min(now+max(t.Accept, 0), answers)
	switch {
	case m.phase == Serving:
		m.phase, m.end, m.answers, m.accept, m.sure = Accepting, end, answers, accept, now+t.Sure
		for i := range m.needs {
			m.needs[i].frozen = m.needs[i].now()
		}
	case m.yields:
		m.end, m.answers = min(m.end, end), min(m.answers, answers)
	}
}

// Yield takes the news that another process accepts in this one's place: what comes on the connections that there are is
// answered, and each answer ends its connection.
func (m *Machine) Yield(now float64, t Times) {
	if m.phase == Serving {
		m.Stop(now, t)
		m.told = true // nobody has to be told
	}
	if m.phase < Ended { // a stop that is on goes on in its times, but clients find the other process
		m.yields = true
		if m.phase == Accepting {
			m.accept = min(m.accept, max(now, now+t.Accept))
		}
	}
}

// Refused takes the news that no connection comes any more, as Refuse has ordered.
func (m *Machine) Refused() { m.refused = true }

// Connected takes a client's connection; alone is one that carries no more than a call at a time.
func (m *Machine) Connected(alone bool) {
	m.conns++
	if alone {
		m.lanes++
		m.free++
	}
}

// Disconnected takes the end of one.
func (m *Machine) Disconnected(alone bool) {
	m.conns--
	if alone {
		m.lanes--
		m.free--
	}
}

// Take tells whether a call that has come is taken, and counts it in. One that is not has to be refused at once: its answer
// would come too late, or it would take one of the last free connections. A client that finds none has to connect, is
// refused, and then takes the node for dead with all the connections that are still open.
func (m *Machine) Take(now float64, class int, deadline float64, alone bool) bool {
	n := &m.needs[class]
	switch {
	case m.phase >= LastCalls:
		return false
	case m.phase > Serving && now+min(n.frozen, deadline-now) > m.answers:
		return false
	case m.phase > Serving && alone && !m.yields && now >= m.sure && m.scarce():
		return false
	}
	m.calls++
	if alone {
		m.free--
	}
	return true
}

// scarce tells whether another call would take one of the last free connections. Of a few connections all may be used.
func (m *Machine) scarce() bool {
	n := float64(m.lanes)
	reserve := math.Floor(min(reserveLeast+reserveRoot*math.Sqrt(n), reserveMost*n))
	return reserve > 0 && float64(m.free-1) < reserve
}

// Answered takes the end of a call that was taken: the time it took, and whether a host served it.
func (m *Machine) Answered(class int, took float64, served, alone bool) {
	m.calls--
	if alone {
		m.free++
	}
	if !served {
		return
	}
	n := &m.needs[class]
	if !n.seen {
		n.seen, n.mean, n.dev = true, took, took/2
		return
	}
	n.dev += share * (math.Abs(took-n.mean) - n.dev)
	n.mean += share * (took - n.mean)
}

// now is how long a class's answer takes: most come sooner than a deviation after the mean.
func (n *need) now() float64 {
	if !n.seen {
		return n.most
	}
	return max(least, min(n.mean+n.dev, n.most))
}

// Policy is how the connections of clients are to be treated now.
func (m *Machine) Policy() Policy {
	last := m.phase >= LastCalls
	return Policy{EndAnswered: m.yields || last, EndIdle: last, Replaceable: m.yields || m.phase == Serving}
}

// lastCall is from when on no class can be answered any more.
func (m *Machine) lastCall() float64 {
	shortest := math.Inf(1)
	for i := range m.needs {
		shortest = min(shortest, m.needs[i].frozen)
	}
	return max(m.accept, min(m.answers, m.answers-shortest))
}

// Step carries the stop on as far as the time and what is open have it.
func (m *Machine) Step(now float64) (o Orders) {
	if m.phase > Serving && !m.told {
		m.told, o.Announce = true, true
	}
	if m.phase == Accepting && now >= m.accept {
		m.phase, o.Refuse = Holding, true
	}
	if m.phase == Holding && now >= m.lastCall() {
		m.phase, o.CloseIdle = LastCalls, true
	}
	if m.phase == LastCalls && now >= m.answers {
		m.phase, o.Finish = Closing, true
	}
	// Once no connection comes, nobody can ask who has none.
	nothing := m.refused && m.conns <= 0 && m.calls <= 0
	if m.phase >= Holding && m.phase < Ended && (nothing || now >= m.end) {
		m.phase, o.End = Ended, true
	}
	return o
}

// Next is when Step is due if nothing happens before, +Inf for never.
func (m *Machine) Next() float64 {
	switch m.phase {
	case Accepting:
		return m.accept
	case Holding:
		return m.lastCall()
	case LastCalls:
		return m.answers
	case Closing:
		return m.end
	}
	return math.Inf(1)
}
