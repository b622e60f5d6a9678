// Package core owns the life of a call from the moment a front has read it to its one final answer. It knows no
// protocol and no socket: a front turns bytes into a Call and an Answer back into bytes, a Carrier takes one relay to
// one host. Between them stand the stages, which may answer a call, let it wait or change it, and the pilot, whose
// verdicts this package carries out.
//
// Bounds: at most Settings.Calls calls are open at once, each with its id, its payload and the relays that are out for
// it; of reasons at most maxReasons are counted apart.
package core

import (
	"sync"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/metrics"
)

// Call is one request of a client. What a front has set does not change while the call is served, but for stages that
// pass on a changed copy (Fork).
type Call struct {
	ID       string  // names the call; no other with this id is open
	Class    int     // place in the settings' classes
	Tenant   int     // place in the settings' tenants, -1 = none
	Key      []byte  // what makes a keyed call the same as another; nil = none
	Deadline float64 // when the client gives it up, milliseconds on the node's clock
	Cost     float64 // expected work in seconds; 0 = not known
	Repeat   bool    // the client says that it has tried before
	Caller   string  // who was proven to call; "" = nobody was
	Hops     int     // gateways that it has come through
	Alone    bool    // no other call goes on its client's connection meanwhile
	Payload  any     // the message as it came, which only the front and the carrier can read
	Client   any     // the connection that it came on, which only they can look at; nil = none, as of a copy for several clients

	// Stands is the last look before a relay's first byte: whether the call is still this node's to run. nil = it is.
	Stands func() bool

	mu      sync.Mutex
	left    bool
	gone    chan struct{} // closed when the client has left or the call is cut; made when a stage asks for it
	cut     bool          // the node ends, and the call is not with the pilot: no stage waits any longer
	taken   float64       // when it was let in
	onLeave func()        // what leaving means besides; nil = nothing
	opened  bool          // the pilot has it, under ticket
	ticket  dispatch.Ticket

	room [2]chan struct{} // of offs: a third relay is rare
	offs []chan struct{}  // by relay; closed when it is called off
}

// Leave tells that the client has gone: nothing that is done for it is of use any more. It may be called at any time,
// from any goroutine.
func (c *Call) Leave() {
	c.mu.Lock()
	was, opened, hook := c.left, c.opened, c.onLeave
	c.left = true
	if !was && !c.cut && c.gone != nil {
		close(c.gone)
	}
	c.mu.Unlock()
	if !was && opened {
		c.ticket.Gone()
	}
	if !was && hook != nil {
		hook()
	}
}

// OnLeave has a function called when the client leaves, at once if it has left. It is for a stage that forks the call;
// there is one such function at most.
func (c *Call) OnLeave(f func()) {
	c.mu.Lock()
	c.onLeave = f
	left := c.left
	c.mu.Unlock()
	if left {
		f()
	}
}

// Left is closed once the client has gone, or nothing can be done for it any more. A stage that waits looks at it.
func (c *Call) Left() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone == nil {
		c.gone = make(chan struct{})
		if c.left || c.cut {
			close(c.gone)
		}
	}
	return c.gone
}

// cutOff ends the waiting of a stage that has the call. What the pilot has gets its answer from there.
func (c *Call) cutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opened || c.cut {
		return
	}
	if c.cut = true; !c.left && c.gone != nil {
		close(c.gone)
	}
}

// isCut tells whether the node ends before a stage is done with the call.
func (c *Call) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// May tells, before the first byte of an attempt, whether the call may still get its final answer from it (owed: another may have
// been served meanwhile, or the client may have left), and whether the rules let something new go to a host, which may depart, or
// be at another address, since the attempt was decided.
func (c *Call) May(host Host) (owed, permitted bool) { return c.ticket.May(host.Name, host.Address) }

// Standing takes that look.
func (c *Call) Standing() bool { return c.Stands == nil || c.Stands() }

// HasLeft tells whether the client has gone.
func (c *Call) HasLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}

// Fork is a copy that a stage may change and pass on. It has a leaving of its own: whoever forks a call decides what
// the first client's leaving means for the copy.
func (c *Call) Fork() *Call {
	return &Call{ID: c.ID, Class: c.Class, Tenant: c.Tenant, Key: c.Key, Deadline: c.Deadline, Cost: c.Cost,
		Repeat: c.Repeat, Caller: c.Caller, Hops: c.Hops, Payload: c.Payload, Stands: c.Stands}
}

// begin notes that the pilot has the call, and tells it at once if the client has left meanwhile.
func (c *Call) begin() {
	c.mu.Lock()
	c.opened = true
	left := c.left
	c.mu.Unlock()
	if left {
		c.ticket.Gone()
	}
}

// Kind is which final answer a call gets.
type Kind uint8

// The final answers, and none.
const (
	Served  Kind = iota // what a host made for it
	Refused             // a back-off answer: trying again is harmless
	Failed              // no promise: it may have run
	Left                // the client has gone, nobody is told anything
)

var kindNames = [...]string{Served: "served", Refused: "refused", Failed: "failed", Left: "left"}

func (k Kind) String() string { return kindNames[k] }

// figure is how a kind is counted.
func (k Kind) figure() metrics.Kind {
	return [...]metrics.Kind{Served: metrics.Served, Refused: metrics.Refused, Failed: metrics.Failed, Left: metrics.Left}[k]
}

// Fault tells a front how to word a refusal or a failure in its protocol.
type Fault uint8

// The faults. All but Busy, OverQuota and Unavailable are the client's.
const (
	NoFault     Fault = iota
	Busy              // the node has no room
	OverQuota         // the tenant has no room
	Unavailable       // no host could serve it
	Invalid           // the call cannot be read or contradicts itself
	Unproven          // the caller did not prove who it is
	Forbidden         // the caller may not ask for this
	Mismatch          // the call uses the name of another one that was different
	Looping           // the call has come through here before
	Known             // an earlier call of its name has run, or may have
)

// Answer is a call's final answer.
type Answer struct {
	Kind    Kind
	Fault   Fault
	Reason  string  // why it was not served, one of few constant texts: for log and counters
	Wait    float64 // with Refused: asking again makes sense after so many milliseconds; 0 = no advice
	Ran     bool    // where it was not served: it may have run all the same
	Payload any     // with Served: what the carrier brought
}

// Refuse makes a back-off answer.
func Refuse(f Fault, reason string, wait float64) Answer {
	return Answer{Kind: Refused, Fault: f, Reason: reason, Wait: wait}
}

// Fail makes a failure.
func Fail(f Fault, reason string) Answer { return Answer{Kind: Failed, Fault: f, Reason: reason} }

// IsID tells whether the id of a call can go on as it is: printable, without spaces, 1 to 128 bytes.
func IsID(id []byte) bool {
	for _, c := range id {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(id) > 0 && len(id) <= 128
}
