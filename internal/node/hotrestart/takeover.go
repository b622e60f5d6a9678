// Package hotrestart is the protocol by which a new process takes over from a running one, for both sides. It does
// no input or output and reads no clock: events are passed in with the time in milliseconds, and actions are
// returned. The state of a side has a fixed size, whatever its peers send.
//
// The new process, the successor, connects to the running one, the predecessor:
//
//	successor                      predecessor
//	hello            ->
//	                 <-            state, with the listening sockets      (or refused)
//	(prepares)
//	ready            ->
//	                 <-            yours
//	(accepts)
//	mine             ->
//	                               (stops accepting, answers its calls in flight)
//	                 <-            ended
//
// A predecessor that is being stopped sends stopping before it releases its exclusive resources, which may take
// long: the successor then waits for yours without a time limit, because nobody would accept if it aborted.
//
// The predecessor accepts until it has read mine, and the successor accepts before it sends mine, so that at every
// moment at least one of them accepts, unless all processes that did were killed. Until mine arrives, the
// predecessor resumes as if nothing had happened when the successor dies, disconnects or exceeds its time limit;
// withdrawn notifies a successor that is still connected. When the predecessor dies, the successor serves at once:
// it already holds the listening sockets. A predecessor that is stopped during a takeover grants it at once.
package hotrestart

import "math"

// Message is a message from one side to the other.
type Message uint8

// The messages. A name that is not known is ignored, so that a later release may send more.
const (
	Hello     Message = iota // successor: requests the takeover
	Refused                  // predecessor: rejects the takeover
	State                    // predecessor: its state, with the listening sockets
	Ready                    // successor: prepared to serve
	Granted                  // predecessor: the successor may accept; with the current state
	Accepting                // successor: accepts connections
	Withdrawn                // predecessor: keeps serving, the successor must end
	Ended                    // predecessor: all of its calls in flight are answered
	Stopping                 // predecessor: is being stopped and will not resume, whatever becomes of the takeover
	messages                 // the number of messages
)

var names = [messages]string{"hello", "refused", "state", "ready", "yours", "mine", "withdrawn", "ended", "stopping"}

// String returns the name of the message on the wire.
func (m Message) String() string { return names[min(int(m), len(names)-1)] }

// Parse returns the message with a name on the wire; false if the name is not known.
func Parse(name string) (Message, bool) {
	for i, n := range names {
		if n == name {
			return Message(i), true
		}
	}
	return 0, false
}

// The reasons in Refused and Withdrawn.
const (
	ReasonBusy       = "another process is taking over"
	ReasonHandedOver = "another process has taken over"
	ReasonLate       = "the new process took too long"
)

// Do is the kind of an Action.
type Do uint8

// The actions of a predecessor; Send and CloseConnection are also those of a successor.
const (
	Send             Do = iota // send Action.Message to Action.Peer, with Action.Reason
	CloseConnection            // close the connection to Action.Peer once everything has been sent
	Release                    // release the exclusive resources: the state directory and the path of the control socket
	Reacquire                  // acquire the exclusive resources again
	StopAccept                 // stop accepting, answer the calls in flight, end
	ShareResources             // leave a share of the platform's resources to the successor
	ReclaimResources           // use all of the platform's resources again: the successor has gone

	// The actions of a successor.

	Prepare    // prepare with what arrived in State, without accepting
	StartFresh // start without a takeover: there is no predecessor, or the sockets are shared and the takeover failed
	Accept     // accept connections
	Abort      // end without having accepted anything; Action.Reason says why
	Leave      // stop and answer what was accepted: the predecessor keeps serving
)

// Action is one action for the caller to carry out.
type Action struct {
	Do      Do
	Message Message
	Peer    int
	Reason  string
}

// Limits are the time limits of a side, in milliseconds.
type Limits struct {
	Answer  float64 // for a side to respond where no preparation is needed
	Prepare float64 // for a successor to become ready
	// Shared says that the successor has the listening sockets in any case: it serves whatever becomes of the
	// takeover.
	Shared bool
}

type predecessorState uint8

const (
	idle       predecessorState = iota // no takeover is in progress
	offering                           // a successor has the state and prepares
	granting                           // the successor has been sent Granted
	handedOver                         // the successor accepts
)

// Predecessor is the side of the process that is running.
type Predecessor struct {
	set      Limits
	state    predecessorState
	peer     int
	until    float64 // deadline of the successor, +Inf = none
	stopping bool    // this process is being stopped, independently of a takeover
}

// NewPredecessor returns the side of a process that serves.
func NewPredecessor(set Limits) *Predecessor { return &Predecessor{set: set, until: math.Inf(1)} }

// Stopping reports whether Stop has been called.
func (g *Predecessor) Stopping() bool { return g.stopping }

// HandedOver reports whether another process has taken over.
func (g *Predecessor) HandedOver() bool { return g.state == handedOver }

// Next returns the time at which Tick must be called, +Inf = never.
func (g *Predecessor) Next() float64 { return g.until }

// Receive handles a message from a peer. Each connection has a peer number of its own.
func (g *Predecessor) Receive(now float64, peer int, m Message) []Action {
	if m == Hello {
		return g.receiveHello(now, peer)
	}
	if peer != g.peer || g.state == idle {
		return nil
	}
	switch {
	case m == Ready && g.state == offering:
		return g.grant(now)
	case m == Accepting && g.state == granting:
		g.state, g.until = handedOver, math.Inf(1)
		return []Action{{Do: StopAccept}}
	}
	return nil
}

func (g *Predecessor) receiveHello(now float64, peer int) []Action {
	switch {
	case g.state == handedOver:
		return refuse(peer, ReasonHandedOver)
	case g.state != idle:
		return refuse(peer, ReasonBusy)
	}
	g.state, g.peer, g.until = offering, peer, now+g.set.Prepare
	list := []Action{{Do: ShareResources}, {Do: Send, Message: State, Peer: peer}}
	if g.stopping {
		list = append(list, g.grant(now)...)
	}
	return list
}

func refuse(peer int, reason string) []Action {
	return []Action{{Do: Send, Message: Refused, Peer: peer, Reason: reason}, {Do: CloseConnection, Peer: peer}}
}

func (g *Predecessor) grant(now float64) []Action {
	g.state, g.until = granting, now+g.set.Answer
	list := []Action{{Do: Release}, {Do: Send, Message: Granted, Peer: g.peer}}
	if g.stopping { // the successor may still be preparing, and this process will not resume
		g.until = math.Inf(1)
		list = append([]Action{{Do: Send, Message: Stopping, Peer: g.peer}}, list...)
	}
	return list
}

// Stop reports that the process is being stopped. Its shutdown continues whatever becomes of a takeover.
func (g *Predecessor) Stop(now float64) []Action {
	if g.stopping {
		return nil
	}
	g.stopping = true
	switch g.state {
	case offering:
		return g.grant(now)
	case granting:
		g.until = math.Inf(1)
		return []Action{{Do: Send, Message: Stopping, Peer: g.peer}}
	}
	return nil
}

// ConnectionLost reports that the connection to a peer has ended.
func (g *Predecessor) ConnectionLost(peer int) []Action {
	if peer != g.peer || g.state == idle || g.state == handedOver {
		return nil
	}
	return g.resume()
}

// resume returns to the state before the takeover.
func (g *Predecessor) resume() []Action {
	was := g.state
	g.state, g.until = idle, math.Inf(1)
	if was == granting {
		return []Action{{Do: Reacquire}, {Do: ReclaimResources}}
	}
	return []Action{{Do: ReclaimResources}}
}

// Tick withdraws from a takeover whose successor has exceeded its time limit.
func (g *Predecessor) Tick(now float64) []Action {
	if now < g.until {
		return nil
	}
	peer := g.peer
	return append([]Action{{Do: Send, Message: Withdrawn, Peer: peer, Reason: ReasonLate}, {Do: CloseConnection, Peer: peer}},
		g.resume()...)
}

type successorState uint8

const (
	asking    successorState = iota // Hello has been sent
	preparing                       // preparing with what arrived in State
	waiting                         // Ready has been sent
	accepting                       // this process accepts connections
	over                            // it ends, or starts without a takeover
)

// Successor is the side of the new process. Its only peer has the number 0.
type Successor struct {
	set                 Limits
	state               successorState
	mayAccept           bool // it accepts as soon as it is prepared
	predecessorStopping bool // Stopping was received
	until               float64
}

// NewSuccessor returns the side of a process that sends Hello now.
func NewSuccessor(now float64, set Limits) *Successor {
	return &Successor{set: set, until: now + set.Answer}
}

// Next returns the time at which Tick must be called, +Inf = never.
func (t *Successor) Next() float64 { return t.until }

// IsAccepting reports whether the process accepts connections.
func (t *Successor) IsAccepting() bool { return t.state == accepting }

// PredecessorStopping reports whether the predecessor has announced that it will not resume.
func (t *Successor) PredecessorStopping() bool { return t.predecessorStopping }

// Receive handles a message from the predecessor.
func (t *Successor) Receive(m Message, reason string) []Action {
	switch {
	case m == Refused && t.state == asking:
		return t.end(Abort, reason)
	case m == State && t.state == asking:
		t.state, t.until = preparing, math.Inf(1)
		return []Action{{Do: Prepare}}
	case m == Stopping && (t.state == preparing || t.state == waiting):
		t.predecessorStopping, t.until = true, math.Inf(1)
	case m == Granted && t.state == preparing:
		t.mayAccept = true
	case m == Granted && t.state == waiting:
		return t.accept(true)
	case m == Withdrawn && t.state == accepting:
		return t.end(Leave, reason)
	case m == Withdrawn && t.state != over:
		return t.end(Abort, reason)
	}
	return nil
}

// Prepared reports that the process is prepared to serve.
func (t *Successor) Prepared(now float64) []Action {
	if t.state != preparing {
		return nil
	}
	if t.mayAccept {
		return t.accept(true)
	}
	t.state = waiting
	if !t.predecessorStopping {
		t.until = now + t.set.Answer
	}
	return []Action{{Do: Send, Message: Ready}}
}

func (t *Successor) accept(notify bool) []Action {
	t.state, t.until = accepting, math.Inf(1)
	list := []Action{{Do: Accept}}
	if notify {
		list = append(list, Action{Do: Send, Message: Accepting})
	}
	return list
}

// end ends the takeover. A successor that has the listening sockets in any case serves on its own instead.
func (t *Successor) end(do Do, reason string) []Action {
	if t.set.Shared {
		was, closeConnection := t.state, Action{Do: CloseConnection}
		t.until = math.Inf(1)
		switch was {
		case asking:
			t.state = over
			return []Action{{Do: StartFresh, Reason: reason}, closeConnection}
		case preparing:
			t.mayAccept = true
			return []Action{closeConnection}
		case waiting:
			return append(t.accept(false), closeConnection)
		}
		return nil
	}
	t.state, t.until = over, math.Inf(1)
	return []Action{{Do: do, Reason: reason}, {Do: CloseConnection}}
}

// ConnectionLost reports that the connection has ended, and whether the predecessor is known to be alive.
func (t *Successor) ConnectionLost(alive bool) []Action {
	const broken = "the connection to the running process broke"
	switch t.state {
	case asking:
		if alive {
			return t.end(Abort, broken)
		}
		return t.end(StartFresh, "")
	case preparing, waiting:
		if alive && !t.mayAccept && !t.predecessorStopping {
			return t.end(Abort, broken)
		}
		if t.mayAccept = true; t.state == waiting {
			return t.accept(false)
		}
	}
	return nil
}

// Tick ends a takeover whose predecessor has not responded within the time limit.
func (t *Successor) Tick(now float64) []Action {
	if now < t.until {
		return nil
	}
	return t.end(Abort, "the running process does not answer")
}
