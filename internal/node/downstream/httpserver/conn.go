package httpserver

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/bodypipe"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
)

var (
	errRequestTimeout = errors.New("the request was not whole in time")
	errClientClosed   = errors.New("the client has gone")
)

// conn is a client's connection.
type conn struct {
	server   *Server
	net      *netpoll.Conn
	once     bool    // the first response closes it
	accepted float64 // when it was accepted, in milliseconds

	// Guarded by the server's lock.
	state      state
	since      float64 // when it entered its state
	prevSince  float64 // when it entered the state before
	requested  bool    // it has sent a complete request
	countedOut bool    // it is not counted as requesting any more
	allowance  float64 // milliseconds that the body being received may take beyond the limits

	retired bool // it is being evicted

	mu         sync.Mutex
	parser     *http1.Parser
	lastRead   float64        // when bytes were received last
	busy       bool           // a request is being handled
	overflowed bool           // more was received behind that request than is buffered: its response is the last
	ended      bool           // nothing more is read
	call       *core.Call     // the request that is being handled
	upload     *bodypipe.Pipe // the rest of its body, which is still being received
	reserved   int            // bytes of the budget reserved for its body
	closeAfter bool           // the response begun last closes the connection
	keepAlive  bool           // the head of the response being streamed left the connection open
	readPaused bool           // reading waits until that response is written
	done       chan struct{}  // closed when the connection has ended; set while a response is streamed
}

// setState records the connection's state from now on.
func (c *conn) setState(state state) {
	c.server.mu.Lock()
	if c.state != state {
		c.prevSince = c.since
		c.state, c.since = state, c.server.clock.Now()
		if state == stateReading {
			c.since = c.lastRead
		}
	}
	if state == stateBusy {
		c.allowance = 0
		if !c.requested {
			c.requested = true
			c.server.requesting++
		}
	}
	if state == stateClosing {
		c.countOut()
	}
	c.server.mu.Unlock()
}

// restoreIdle undoes stateReading after empty lines, which begin no request (RFC 9112, 2.2): the connection counts
// as idle since it last became so.
func (c *conn) restoreIdle() {
	c.server.mu.Lock()
	wasReading := c.state == stateReading
	if wasReading {
		if c.state, c.since = stateNew, c.prevSince; c.requested {
			c.state = stateIdle
		}
	}
	c.server.mu.Unlock()
	if wasReading {
		c.closeIfStopping()
	}
}

// countOut stops counting a connection as requesting: it has its last response or has ended. The caller holds the
// server's lock.
func (c *conn) countOut() {
	if c.requested && !c.countedOut {
		c.countedOut = true
		c.server.requesting--
	}
}

// end closes the connection after its last response.
func (c *conn) end() {
	limits := c.server.limits.Load()
	c.net.End(limits.Linger, limits.Stall)
}

// Data implements netpoll.Handler.
func (c *conn) Data(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	if c.overflowed {
		return
	}
	c.lastRead = c.server.clock.Now()
	c.parser.Feed(data)
	if c.upload != nil && !c.forwardUpload() {
		return
	}
	if c.busy && c.parser.Buffered() > c.server.limits.Load().Pipeline {
		c.overflow()
		return
	}
	c.processRequests()
}

// overflow bounds what is buffered behind the request that is being handled: its response becomes the last one. If
// the head of a streamed response has left the connection open, reading is paused instead: the client may have
// read that response to its end, and sent its next request, before stream has returned. Bytes of a client that has
// ended its side are read all the same (netpoll.Conn.Pause). The caller holds the lock.
func (c *conn) overflow() {
	if c.keepAlive && !c.readPaused {
		c.readPaused = true
		c.net.Pause()
		return
	}
	c.overflowed = true
	c.parser = c.server.parser()
}

// resumeReading resumes reading after a streamed response. The caller holds the lock.
func (c *conn) resumeReading() {
	c.keepAlive = false
	if c.readPaused {
		c.readPaused = false
		c.net.Resume()
	}
}

// processRequests parses received bytes until a request is being handled or bytes are missing. The caller holds
// the lock.
func (c *conn) processRequests() {
	for !c.busy && !c.ended {
		m, err := c.parser.Next()
		if err != nil {
			c.rejectUnreadable(err)
			return
		}
		if m == nil {
			if !c.parser.Idle() && c.reserveBody() {
				c.setState(stateReading)
				c.handleExpect()
			} else if !c.ended && c.parser.Idle() {
				c.restoreIdle()
			}
			return
		}
		c.setState(stateBusy)
		c.request(m)
	}
}

// reserveBody reserves memory for a body that is being buffered. If there is none, it refuses the request and
// returns false. The caller holds the lock.
func (c *conn) reserveBody() bool {
	held := c.parser.Held()
	if held > 0 {
		allowance := float64(c.parser.Came()) / c.server.limits.Load().Rate
		c.server.mu.Lock()
		c.allowance = allowance
		c.server.mu.Unlock()
	}
	if held <= http1.MaxBody || c.reserved > 0 {
		return true
	}
	held = c.server.set.Bodies.MaxBuffered // it may still grow
	if !c.server.set.Bodies.Budget.Reserve(held) {
		c.server.log.Warn("body memory budget exhausted; rejecting request with 503", "bytes", held)
		c.writeLast(c.parser.Head(), textReply(503, "", core.ReasonBusy))
		return false
	}
	c.reserved = held
	return true
}

// releaseBody releases the memory reserved for a body. The caller holds the lock.
func (c *conn) releaseBody() {
	if c.reserved > 0 {
		c.server.set.Bodies.Budget.Release(c.reserved)
		c.reserved = 0
	}
}

// forwardUpload moves received bytes of a streamed body to its pipe and reports whether the body is complete, so
// that parsing can continue behind it. The caller holds the lock.
func (c *conn) forwardUpload() bool {
	piece, done, err := c.parser.Piece()
	if len(piece) > 0 {
		c.upload.Put(piece)
	}
	switch {
	case err != nil:
		c.upload.End(err)
		c.upload = nil
		if call := c.call; call != nil {
			go call.Cancel() // without its body the request cannot be served
		}
		c.rejectUnreadable(err)
		return false
	case done:
		c.upload.End(io.EOF)
		c.upload = nil
		return true
	}
	return false
}

// throttle pauses or resumes reading from the client.
func (c *conn) throttle(on bool) {
	if on {
		c.net.Pause()
	} else {
		c.net.Resume()
	}
}

// handleExpect answers a client that waits for "100 Continue" before it sends its body: with that, or with the
// final response if the request must be rejected because of its head. The caller holds the lock.
func (c *conn) handleExpect() {
	m := c.parser.Awaits()
	if m == nil {
		return
	}
	if path, _, _ := bytes.Cut(m.Target, []byte("?")); string(path) != "/up" {
		if _, r := c.server.read(m, path, c.lastRead, c.net); r.Status != 0 {
			c.writeLast(m, r)
			return
		}
	}
	_ = c.net.Write([]byte(http1.Continue))
}

// rejectUnreadable responds to input that cannot be parsed, or that was not complete in time, and ends the
// connection. The caller holds the lock.
func (c *conn) rejectUnreadable(err error) {
	status := http1.Status(err)
	c.server.log.Warn("client sent an invalid or incomplete request", "client", c.net.Peer(), "status", status, "error", err)
	c.writeLast(c.parser.Head(), textReply(status, "", err.Error()))
}

// writeLast writes the last response to a client that may still be sending, and ends the connection. The caller
// holds the lock.
func (c *conn) writeLast(m *http1.Message, r http1.Reply) {
	c.ended = true
	c.setState(stateClosing)
	now := c.server.clock.Now()
	r.Date, r.Close, r.Head = c.server.dates.at(now), true, m != nil && string(m.Method) == "HEAD"
	_ = c.net.Write(http1.AppendResponse(nil, r))
	c.end()
}

// Closed implements netpoll.Handler: the connection has ended.
func (c *conn) Closed(error) {
	c.mu.Lock()
	c.ended = true
	call := c.call
	if c.done != nil {
		close(c.done)
		c.done = nil
	}
	if c.upload != nil {
		c.upload.End(errClientClosed)
		c.upload = nil
	}
	if !c.busy {
		c.releaseBody()
	}
	c.mu.Unlock()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.countOut()
	if c.retired {
		c.server.retired--
	}
	c.server.mu.Unlock()
	c.server.gate.Disconnected(true)
	if call != nil {
		call.Cancel()
	}
}
