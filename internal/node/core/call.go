package core

import (
	"sync"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

// Call is one request of a client. The exported fields are set by the server and must not change while the call is served; a
// stage that wants to change one passes on a changed copy (Fork).
type Call struct {
	ID               string  // unique among the open calls
	Class            int     // index in the settings' classes
	Tenant           int     // index in the settings' tenants, -1 = none
	Key              []byte  // idempotency key; nil = none
	Deadline         float64 // when the client gives up, milliseconds on the node's clock
	Cost             float64 // expected work in seconds; 0 = not known
	ClientRetry      bool    // it is a retry of the client
	Caller           string  // authenticated caller; "" = none
	Hops             int     // gateways it has passed
	SoleOnConnection bool    // no other call is open on its client's connection
	Payload          any     // the message, which only the server and the carrier can read
	Client           any     // the client's connection, which only they can read; nil = none, as of a copy for several clients

	// MayRun is asked before the first byte of an attempt: whether this node may still run the call. nil = it may.
	MayRun func() bool

	mu         sync.Mutex
	clientLeft bool
	cancelled  chan struct{} // closed when the client has left or the call is aborted; made by Left
	aborted    bool          // the node stops, and the call was not dispatched: no stage may wait any longer
	admittedAt float64       // milliseconds
	onCancel   func()        // nil = nothing
	dispatched bool          // the dispatcher has it, as ticket
	ticket     dispatch.Ticket

	cancelBuffer [2]chan struct{} // of cancels: a third attempt is rare
	cancels      []chan struct{}  // by attempt; closed to cancel it
}

// Cancel records that the client has left, and cancels what is done for it. It may be called at any time, more than once and
// from any goroutine.
func (c *Call) Cancel() {
	c.mu.Lock()
	wasLeft, opened, hook := c.clientLeft, c.dispatched, c.onCancel
	c.clientLeft = true
	if !wasLeft && !c.aborted && c.cancelled != nil {
		close(c.cancelled)
	}
	c.mu.Unlock()
	if !wasLeft && opened {
		c.ticket.ClientLeft()
	}
	if !wasLeft && hook != nil {
		hook()
	}
}

// OnCancel calls f when the client leaves, at once if it has left. It is for a stage that forks the call; a second function
// replaces the first.
func (c *Call) OnCancel(f func()) {
	c.mu.Lock()
	c.onCancel = f
	left := c.clientLeft
	c.mu.Unlock()
	if left {
		f()
	}
}

// Done returns a channel that is closed once the client has left or the node has aborted the call. A stage that waits must
// also wait for it.
func (c *Call) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled == nil {
		c.cancelled = make(chan struct{})
		if c.clientLeft || c.aborted {
			close(c.cancelled)
		}
	}
	return c.cancelled
}

// abort ends the wait of a stage that has the call. A dispatched call gets its answer from the dispatcher.
func (c *Call) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dispatched || c.aborted {
		return
	}
	if c.aborted = true; !c.clientLeft && c.cancelled != nil {
		close(c.cancelled)
	}
}

// isAborted tells whether the node stopped before a stage was done with the call.
func (c *Call) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// MaySend tells, before the first byte of an attempt, whether the final answer is still owed (another attempt may have been served,
// or the client may have left), and whether the rules permit an attempt at a host, which may have begun to drain or moved to
// another address since the attempt was decided. Carriers call it.
func (c *Call) MaySend(host Host) (owed, permitted bool) {
	return c.ticket.MaySend(host.Name, host.Address)
}

// RunAllowed asks Stands. Carriers call it before the first byte of an attempt.
func (c *Call) RunAllowed() bool { return c.MayRun == nil || c.MayRun() }

// Cancelled tells whether the client has left.
func (c *Call) Cancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clientLeft
}

// Fork returns a copy that a stage may change and pass on. The copy does not leave with the first client: whoever forks a call
// decides what that means for the copy.
func (c *Call) Fork() *Call {
	return &Call{ID: c.ID, Class: c.Class, Tenant: c.Tenant, Key: c.Key, Deadline: c.Deadline, Cost: c.Cost,
		ClientRetry: c.ClientRetry, Caller: c.Caller, Hops: c.Hops, Payload: c.Payload, MayRun: c.MayRun}
}

// markDispatched records that the dispatcher has the call, and tells it if the client has left meanwhile.
func (c *Call) markDispatched() {
	c.mu.Lock()
	c.dispatched = true
	left := c.clientLeft
	c.mu.Unlock()
	if left {
		c.ticket.ClientLeft()
	}
}
