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
	errSlow = errors.New("the request was not whole in time")
	errLeft = errors.New("the client has gone")
)

// conn is a client's connection.
type conn struct {
	server   *Server
	net      *netpoll.Conn
	once     bool    // it ends with its first answer
	accepted float64 // when it came

	// Under the server's lock.
	state   state
	since   float64 // it is in its state since then,
	rested  float64 // and was in the one before since then
	asked   bool    // a whole request has come,
	left    bool    // and it has had its last answer
	allowed float64 // milliseconds that the body which is coming may take beyond the limits

	retired bool // it was told to make room

	mu         sync.Mutex
	parser     *http1.Parser
	came       float64        // when bytes came last
	busy       bool           // a request is being handled
	overflowed bool           // more was received behind that request than is kept: its response is the last
	ended      bool           // nothing more is read
	call       *core.Call     // that request
	upload     *bodypipe.Pipe // the rest of its body, which is still coming
	held       int            // bytes of the budget reserved for its body
	closes     bool           // the answer that was begun last ends the connection
	keepAlive  bool           // the head of the streamed response under way left the connection open
	readPaused bool           // reading waits until that response is written
	gone       chan struct{}  // closed when the connection has ended; made when an answer flows
}

// enter notes what the connection is about from now on, or that it still is.
func (c *conn) enter(state state) {
	c.server.mu.Lock()
	if c.state != state {
		c.rested = c.since
		c.state, c.since = state, c.server.clock.Now()
		if state == reading {
			c.since = c.came
		}
	}
	if state == busy {
		c.allowed = 0
		if !c.asked {
			c.asked = true
			c.server.askers++
		}
	}
	if state == leaving {
		c.leave()
	}
	c.server.mu.Unlock()
}

// unread takes back that a request has begun: empty lines are none (RFC 9112, 2.2), and the connection rests for as long as it did.
func (c *conn) unread() {
	c.server.mu.Lock()
	had := c.state == reading
	if had {
		if c.state, c.since = silent, c.rested; c.asked {
			c.state = idle
		}
	}
	c.server.mu.Unlock()
	if had {
		c.retireAfterLastCalls()
	}
}

// leave counts a connection out, under the server's lock, that has had its last answer or has ended.
func (c *conn) leave() {
	if c.asked && !c.left {
		c.left = true
		c.server.askers--
	}
}

// end ends the connection behind its last answer.
func (c *conn) end() {
	limits := c.server.limits.Load()
	c.net.End(limits.Linger, limits.Stall)
}

// Data takes bytes from the client.
func (c *conn) Data(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	if c.overflowed {
		return
	}
	c.came = c.server.clock.Now()
	c.parser.Feed(data)
	if c.upload != nil && !c.rest() {
		return
	}
	if c.busy && c.parser.Buffered() > c.server.limits.Load().Pipeline {
		c.overflow()
		return
	}
	c.next()
}

// overflow bounds what is kept behind the request that is being handled: its response becomes the last one. Where the head of a streamed
// response has left the connection open, reading is paused instead: the client may have read that response to its end, and sent its next
// request, before flow has returned. A client that has ended its side is read all the same (netpoll.Conn.Pause). The caller holds the
// lock.
func (c *conn) overflow() {
	if c.keepAlive && !c.readPaused {
		c.readPaused = true
		c.net.Pause()
		return
	}
	c.overflowed = true
	c.parser = c.server.parser()
}

// readOn resumes reading after a streamed response. The caller holds the lock.
func (c *conn) readOn() {
	c.keepAlive = false
	if c.readPaused {
		c.readPaused = false
		c.net.Resume()
	}
}

// next reads on, under the lock, until a request is taken or bytes are missing.
func (c *conn) next() {
	for !c.busy && !c.ended {
		m, err := c.parser.Next()
		if err != nil {
			c.unreadable(err)
			return
		}
		if m == nil {
			if !c.parser.Idle() && c.reserve() {
				c.enter(reading)
				c.expected()
			} else if !c.ended && c.parser.Idle() {
				c.unread()
			}
			return
		}
		c.enter(busy)
		c.request(m)
	}
}

// reserve has, under the lock, a body that is held accounted for, and refuses its request where there is no room.
func (c *conn) reserve() bool {
	held := c.parser.Held()
	if held > 0 {
		allowed := float64(c.parser.Came()) / c.server.limits.Load().Rate
		c.server.mu.Lock()
		c.allowed = allowed
		c.server.mu.Unlock()
	}
	if held <= http1.MaxBody || c.held > 0 {
		return true
	}
	held = c.server.set.Bodies.MaxBuffered // it may still grow
	if !c.server.set.Bodies.Budget.Reserve(held) {
		c.server.log.Warn("there is no memory for a long body: its request gets a back-off answer", "bytes", held)
		c.last(c.parser.Head(), text(503, "", core.ReasonBusy))
		return false
	}
	c.held = held
	return true
}

// free gives back, under the lock, what was reserved for a body.
func (c *conn) free() {
	if c.held > 0 {
		c.server.set.Bodies.Budget.Release(c.held)
		c.held = 0
	}
}

// rest moves what has come of a body that flows, under the lock, and tells whether reading goes on behind it.
func (c *conn) rest() bool {
	piece, done, err := c.parser.Piece()
	if len(piece) > 0 {
		c.upload.Put(piece)
	}
	switch {
	case err != nil:
		c.upload.End(err)
		c.upload = nil
		if call := c.call; call != nil {
			go call.Leave() // nobody can serve it
		}
		c.unreadable(err)
		return false
	case done:
		c.upload.End(io.EOF)
		c.upload = nil
		return true
	}
	return false
}

// hold slows the client, or lets it go on.
func (c *conn) hold(on bool) {
	if on {
		c.net.Pause()
	} else {
		c.net.Resume()
	}
}

// expected answers at once, under the lock, a client that waits for leave to send its body: with that, or with what its
// request gets for its head.
func (c *conn) expected() {
	m := c.parser.Awaits()
	if m == nil {
		return
	}
	if path, _, _ := bytes.Cut(m.Target, []byte("?")); string(path) != "/up" {
		if _, r := c.server.read(m, path, c.came, c.net); r.Status != 0 {
			c.last(m, r)
			return
		}
	}
	_ = c.net.Write([]byte(http1.Continue))
}

// unreadable answers what cannot be read.
func (c *conn) unreadable(err error) {
	status := http1.Status(err)
	c.server.log.Warn("a client sent what cannot be read", "client", c.net.Peer(), "status", status, "error", err)
	c.last(c.parser.Head(), text(status, "", err.Error()))
}

// last answers a client that may go on sending, under the lock, and ends the connection.
func (c *conn) last(m *http1.Message, r http1.Reply) {
	c.ended = true
	c.enter(leaving)
	now := c.server.clock.Now()
	r.Date, r.Close, r.Head = c.server.dates.at(now), true, m != nil && string(m.Method) == "HEAD"
	_ = c.net.Write(http1.AppendResponse(nil, r))
	c.end()
}

// Closed takes the end of the connection: the client has gone.
func (c *conn) Closed(error) {
	c.mu.Lock()
	c.ended = true
	call := c.call
	if c.gone != nil {
		close(c.gone)
		c.gone = nil
	}
	if c.upload != nil {
		c.upload.End(errLeft)
		c.upload = nil
	}
	if !c.busy {
		c.free()
	}
	c.mu.Unlock()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.leave()
	if c.retired {
		c.server.retired--
	}
	c.server.mu.Unlock()
	c.server.gate.Disconnected(true)
	if call != nil {
		call.Leave()
	}
}
