package core

import (
	"sync"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

// Call is one request of a client. The exported fields are set by the server and must not change while the call is
// served; a stage that has to change one passes on a modified copy (see Fork).
type Call struct {
	ID               string  // unique among the open calls
	Class            int     // index in the settings' classes
	Tenant           int     // index in the settings' tenants, -1 = none
	Key              []byte  // idempotency key; nil = none
	Deadline         float64 // when the client gives up, milliseconds on the node's clock
	Cost             float64 // expected work in seconds; 0 = not known
	ClientRetry      bool    // the client has sent the request again
	Caller           string  // authenticated caller; "" = none
	Hops             int     // number of gateways that the call has passed through
	SoleOnConnection bool    // no other call is open on the client's connection
	Payload          any     // the message, which only the server and the transport can read
	Client           any     // the client's connection, which only they can read; nil = none, for example for a copy that serves several clients

	// MayRun reports whether this node may still run the call; it is called before the first byte of an attempt is
	// sent. nil = the node may.
	MayRun func() bool

	mu         sync.Mutex
	clientLeft bool
	cancelled  chan struct{} // closed when the client has disconnected or the call is aborted; created by Done
	aborted    bool          // the node stopped before the call was dispatched: no stage may wait any longer
	admittedAt float64       // milliseconds
	onCancel   func()        // may be nil
	dispatched bool          // the dispatcher has the call, as ticket
	ticket     dispatch.Ticket

	cancelBuffer [2]chan struct{} // initial storage of cancels: a third attempt is rare
	cancels      []chan struct{}  // by attempt; closed to cancel it
}

// Cancel records that the client has disconnected, and cancels the work on the call. It may be called at any time,
// more than once and from any goroutine.
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

// OnCancel has f called when the client disconnects, or at once if it already has. It is meant for a stage that
// forks the call; a second function replaces the first.
func (c *Call) OnCancel(f func()) {
	c.mu.Lock()
	c.onCancel = f
	left := c.clientLeft
	c.mu.Unlock()
	if left {
		f()
	}
}

// Done returns a channel that is closed once the client has disconnected or the node has aborted the call. A stage
// that blocks must also wait for this channel.
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

// abort unblocks the stage that holds the call. A call that was dispatched gets its answer from the dispatcher
// instead.
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

// isAborted reports whether the node stopped before the stages had finished with the call.
func (c *Call) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// MaySend is called by a Transport before it sends the first byte of an attempt. owed reports whether the call
// still needs its final answer: another attempt may have succeeded, or the client may have disconnected. permitted
// reports whether the rules allow an attempt at the host, which may have begun to drain or changed its address
// since the attempt was decided on.
func (c *Call) MaySend(host Host) (owed, permitted bool) {
	return c.ticket.MaySend(host.Name, host.Address)
}

// RunAllowed reports the result of MayRun. A Transport calls it before it sends the first byte of an attempt.
func (c *Call) RunAllowed() bool { return c.MayRun == nil || c.MayRun() }

// Cancelled reports whether the client has disconnected.
func (c *Call) Cancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clientLeft
}

// Fork returns a copy that a stage may change and pass on. The copy is not cancelled when the client of the original
// disconnects: the stage that forks a call decides what a disconnect means for the copy.
func (c *Call) Fork() *Call {
	return &Call{ID: c.ID, Class: c.Class, Tenant: c.Tenant, Key: c.Key, Deadline: c.Deadline, Cost: c.Cost,
		ClientRetry: c.ClientRetry, Caller: c.Caller, Hops: c.Hops, Payload: c.Payload, MayRun: c.MayRun}
}

// markDispatched records that the dispatcher has the call, and notifies the dispatcher if the client has
// disconnected in the meantime.
func (c *Call) markDispatched() {
	c.mu.Lock()
	c.dispatched = true
	left := c.clientLeft
	c.mu.Unlock()
	if left {
		c.ticket.ClientLeft()
	}
}
