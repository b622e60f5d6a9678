// Package hotrestart decides how a new process takes a running one's place, for both sides. It does no input or output
// and reads no clock: events go in with the time in milliseconds, actions come out. A side holds a few words of state
// whatever its peers do.
//
// The new process, the taker, asks the running one, the giver:
//
//	taker                          giver
//	hello            ->
//	                 <-            state, with the listening sockets      (or refused)
//	(becomes ready)
//	ready            ->
//	                 <-            yours
//	(accepts)
//	mine             ->
//	                               (stops accepting, answers all it owes)
//	                 <-            ended
//
// A giver that was told to stop says so (stopping) before it lets go of what only one process may hold, which may take long:
// the taker then waits for yours without a limit, since giving up would leave nobody who accepts.
//
// The giver accepts until it has read mine, and the taker has accepted before it sent that, so at every moment one of
// them accepts, unless all that did were killed. Until then the giver goes on as if nothing had been if the taker dies,
// breaks off or takes too long; withdrawn tells a taker that is still there. A giver that dies makes the taker its heir:
// the sockets that it holds are open already. A giver that is told to stop meanwhile gives everything away at once.
package hotrestart

import "math"

// Message is what one side tells the other.
type Message uint8

// The messages. Others are not known here and ignored, so that a later release may send more.
const (
	Hello     Message = iota // taker: may I?
	Refused                  // giver: no
	State                    // giver: what I know, and the listening sockets
	Ready                    // taker: I could serve
	Granted                  // giver: all is yours, and what I know by now
	Accepting                // taker: I accept
	Withdrawn                // giver: I go on, leave
	Ended                    // giver: all that I owed is answered
	Stopping                 // giver: I was told to stop and do not go on, whatever becomes of the takeover
	messages                 // their number
)

var names = [messages]string{"hello", "refused", "state", "ready", "yours", "mine", "withdrawn", "ended", "stopping"}

// String is the message's name on the wire.
func (m Message) String() string { return names[min(int(m), len(names)-1)] }

// Parse finds a message by its name on the wire.
func Parse(name string) (Message, bool) {
	for i, n := range names {
		if n == name {
			return Message(i), true
		}
	}
	return 0, false
}

// The reasons for a refusal or a withdrawal.
const (
	ReasonBusy       = "another process is taking over"
	ReasonHandedOver = "another process has taken over"
	ReasonLate       = "the new process took too long"
)

// Do is what a side is to do.
type Do uint8

// What a giver is to do.
const (
	Send             Do = iota // send Action.Message to Action.Peer, with Action.Reason
	CloseConnection            // end the connection to Action.Peer, after what was to be sent
	Release                    // let go of what only one process may hold: the directory of state, the control socket's path
	Reacquire                  // take that back
	StopAccept                 // stop accepting, answer all that is owed, end
	ShareResources             // leave another process that has come its part of what the platform gives
	ReclaimResources           // it has gone: all is this one's again

	// And a taker.

	Prepare    // become ready with what came in State, without accepting
	StartFresh // there is nobody to take over from: start as if it had not been asked for
	Accept     // accept connections
	Abort      // end, nothing was accepted: Action.Reason tells why
	Leave      // stop: the giver goes on; what was accepted is to be answered
)

// Action is one thing to do.
type Action struct {
	Do      Do
	Message Message
	Peer    int
	Reason  string
}

// Limits are times in milliseconds.
type Limits struct {
	Answer  float64 // for a side to answer what needs no work
	Prepare float64 // for a taker to become ready
	// Shared tells a taker that it has the listening sockets anyway: it serves whatever becomes of the takeover.
	Shared bool
}

type giverState uint8

const (
	alone    giverState = iota // no takeover is going on
	offering                   // a taker has the state and prepares
	yielding                   // it was told that all is its own
	given                      // it accepts
)

// Predecessor is the side of the running process.
type Predecessor struct {
	set      Limits
	state    giverState
	peer     int
	until    float64 // the taker's time, +Inf = none
	stopping bool    // this process was told to stop by itself
}

// NewPredecessor makes the side of a process that serves.
func NewPredecessor(set Limits) *Predecessor { return &Predecessor{set: set, until: math.Inf(1)} }

// Stopping tells whether the process was told to stop.
func (g *Predecessor) Stopping() bool { return g.stopping }

// HandedOver tells whether another process has taken over.
func (g *Predecessor) HandedOver() bool { return g.state == given }

// Next is when Tick is wanted, +Inf = not.
func (g *Predecessor) Next() float64 { return g.until }

// Receive takes a message of a peer, each peer with a number of its own.
func (g *Predecessor) Receive(now float64, peer int, m Message) []Action {
	if m == Hello {
		return g.asked(now, peer)
	}
	if peer != g.peer || g.state == alone {
		return nil
	}
	switch {
	case m == Ready && g.state == offering:
		return g.yield(now)
	case m == Accepting && g.state == yielding:
		g.state, g.until = given, math.Inf(1)
		return []Action{{Do: StopAccept}}
	}
	return nil
}

func (g *Predecessor) asked(now float64, peer int) []Action {
	switch {
	case g.state == given:
		return refuse(peer, ReasonHandedOver)
	case g.state != alone:
		return refuse(peer, ReasonBusy)
	}
	g.state, g.peer, g.until = offering, peer, now+g.set.Prepare
	list := []Action{{Do: ShareResources}, {Do: Send, Message: State, Peer: peer}}
	if g.stopping {
		list = append(list, g.yield(now)...)
	}
	return list
}

func refuse(peer int, reason string) []Action {
	return []Action{{Do: Send, Message: Refused, Peer: peer, Reason: reason}, {Do: CloseConnection, Peer: peer}}
}

func (g *Predecessor) yield(now float64) []Action {
	g.state, g.until = yielding, now+g.set.Answer
	list := []Action{{Do: Release}, {Do: Send, Message: Granted, Peer: g.peer}}
	if g.stopping { // the taker may still be preparing, and nothing here goes on without it
		g.until = math.Inf(1)
		list = append([]Action{{Do: Send, Message: Stopping, Peer: g.peer}}, list...)
	}
	return list
}

// Stop tells that the process was told to stop. Its own way of stopping goes on whatever happens here.
func (g *Predecessor) Stop(now float64) []Action {
	if g.stopping {
		return nil
	}
	g.stopping = true
	switch g.state {
	case offering:
		return g.yield(now)
	case yielding:
		g.until = math.Inf(1)
		return []Action{{Do: Send, Message: Stopping, Peer: g.peer}}
	}
	return nil
}

// ConnectionLost tells that the connection to a peer has ended.
func (g *Predecessor) ConnectionLost(peer int) []Action {
	if peer != g.peer || g.state == alone || g.state == given {
		return nil
	}
	return g.back()
}

// back goes on as before the takeover.
func (g *Predecessor) back() []Action {
	was := g.state
	g.state, g.until = alone, math.Inf(1)
	if was == yielding {
		return []Action{{Do: Reacquire}, {Do: ReclaimResources}}
	}
	return []Action{{Do: ReclaimResources}}
}

// Tick breaks off with a taker whose time is up.
func (g *Predecessor) Tick(now float64) []Action {
	if now < g.until {
		return nil
	}
	peer := g.peer
	return append([]Action{{Do: Send, Message: Withdrawn, Peer: peer, Reason: ReasonLate}, {Do: CloseConnection, Peer: peer}},
		g.back()...)
}

type takerState uint8

const (
	asking    takerState = iota // hello is out
	preparing                   // with what came in state
	waiting                     // ready is out
	owner                       // it accepts
	over                        // it will not, or starts alone
)

// Successor is the side of the new process. Its one peer has the number 0.
type Successor struct {
	set     Limits
	state   takerState
	heir    bool // nothing more is to be waited for before it accepts
	leaving bool // the giver has said that it does not go on
	until   float64
}

// NewSuccessor makes the side of a process whose hello goes out now.
func NewSuccessor(now float64, set Limits) *Successor {
	return &Successor{set: set, until: now + set.Answer}
}

// Next is when Tick is wanted, +Inf = not.
func (t *Successor) Next() float64 { return t.until }

// IsAccepting tells whether the process accepts.
func (t *Successor) IsAccepting() bool { return t.state == owner }

// PredecessorStopping tells whether the giver has said that it does not go on.
func (t *Successor) PredecessorStopping() bool { return t.leaving }

// Receive takes a message of the giver.
func (t *Successor) Receive(m Message, reason string) []Action {
	switch {
	case m == Refused && t.state == asking:
		return t.end(Abort, reason)
	case m == State && t.state == asking:
		t.state, t.until = preparing, math.Inf(1)
		return []Action{{Do: Prepare}}
	case m == Stopping && (t.state == preparing || t.state == waiting):
		t.leaving, t.until = true, math.Inf(1)
	case m == Granted && t.state == preparing:
		t.heir = true
	case m == Granted && t.state == waiting:
		return t.accept(true)
	case m == Withdrawn && t.state == owner:
		return t.end(Leave, reason)
	case m == Withdrawn && t.state != over:
		return t.end(Abort, reason)
	}
	return nil
}

// Prepared tells that the process could serve.
func (t *Successor) Prepared(now float64) []Action {
	if t.state != preparing {
		return nil
	}
	if t.heir {
		return t.accept(true)
	}
	t.state = waiting
	if !t.leaving {
		t.until = now + t.set.Answer
	}
	return []Action{{Do: Send, Message: Ready}}
}

func (t *Successor) accept(tell bool) []Action {
	t.state, t.until = owner, math.Inf(1)
	list := []Action{{Do: Accept}}
	if tell {
		list = append(list, Action{Do: Send, Message: Accepting})
	}
	return list
}

// end breaks off. A taker that has the sockets anyway goes on alone from wherever it is.
func (t *Successor) end(do Do, reason string) []Action {
	if t.set.Shared {
		was, hangUp := t.state, Action{Do: CloseConnection}
		t.until = math.Inf(1)
		switch was {
		case asking:
			t.state = over
			return []Action{{Do: StartFresh, Reason: reason}, hangUp}
		case preparing:
			t.heir = true
			return []Action{hangUp}
		case waiting:
			return append(t.accept(false), hangUp)
		}
		return nil
	}
	t.state, t.until = over, math.Inf(1)
	return []Action{{Do: do, Reason: reason}, {Do: CloseConnection}}
}

// ConnectionLost tells that the connection has ended, and whether the giver is known to go on without it.
func (t *Successor) ConnectionLost(alive bool) []Action {
	const broken = "the connection to the running process broke"
	switch t.state {
	case asking:
		if alive {
			return t.end(Abort, broken)
		}
		return t.end(StartFresh, "")
	case preparing, waiting:
		if alive && !t.heir && !t.leaving {
			return t.end(Abort, broken)
		}
		if t.heir = true; t.state == waiting {
			return t.accept(false)
		}
	}
	return nil
}

// Tick gives up a giver that does not answer.
func (t *Successor) Tick(now float64) []Action {
	if now < t.until {
		return nil
	}
	return t.end(Abort, "the running process does not answer")
}
