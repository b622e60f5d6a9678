package netpoll

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

// Handler receives the events of a connection. Data is called by the poller, in order, and must not block; the
// bytes are valid until it returns. Closed is called once, by the poller, after the last Data.
type Handler interface {
	Data(data []byte)
	Closed(err error)
}

// Conn is one connection. Its methods may be called from any goroutine.
type Conn struct {
	nb         *nbio.Conn
	handler    Handler
	written    atomic.Int64 // bytes that the socket has accepted
	ending     atomic.Int64 // the value of written at which End shuts the connection down for writing, 0 = none
	discarding atomic.Bool  // received bytes are no longer passed to the handler
	accepted   bool         // by the listener, rather than dialled

	mu     sync.Mutex // orders writes with asked
	asked  int64      // bytes passed to Write
	linger float64    // milliseconds that End waits for the other side to end the connection

	reading   sync.Mutex    // held by the reader: the poller, or the goroutine of readPending
	dropped   int           // bytes discarded; guarded by reading
	readEnded bool          // a read has returned the end or an error; guarded by reading
	paused    atomic.Bool   // reading waits for Resume
	readToEnd atomic.Bool   // ReadToEnd was called
	cleanEnd  atomic.Bool   // the other side ended the connection without a reset
	progress  chan struct{} // has a value once the socket has accepted bytes or the connection has ended

	descriptorMu  sync.Mutex  // held while the descriptor is used; guards what follows
	closed        bool        // the engine closes the descriptor, whose number may become another connection's
	writeShutdown bool        // End has shut the connection down for writing
	broken        bool        // a write has failed; an end of stream that is read afterwards is not the other side's
	closeTimer    *time.Timer // of limitStall, then of the linger time

	count func(n int) // took, unless a test delays it
}

func newConn(nb *nbio.Conn) *Conn {
	c := &Conn{nb: nb, progress: make(chan struct{}, 1)}
	c.count = c.took
	return c
}

// withDescriptor calls f with the descriptor, unless it is closed. The descriptor stays open until f returns.
func (c *Conn) withDescriptor(f func(fd int)) {
	c.descriptorMu.Lock()
	defer c.descriptorMu.Unlock()
	if c.closed {
		return
	}
	// The engine reports the end of a connection some time after it has closed the descriptor, whose number may be
	// another connection's by then.
	if closed, _ := c.nb.IsClosed(); !closed {
		f(c.nb.Hash()) // Hash returns the descriptor
	}
}

// markClosed records that the engine is about to close the descriptor, which must not be used any more.
func (c *Conn) markClosed() {
	c.descriptorMu.Lock()
	defer c.descriptorMu.Unlock()
	c.closed = true
	if c.closeTimer != nil {
		c.closeTimer.Stop()
	}
}

// Peer returns the address of the other side, "host:port".
func (c *Conn) Peer() string { return c.nb.RemoteAddr().String() }
