package httpserver

import (
	"io"

	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/bodypipe"
	"linenwheel.dev/linenwheel/internal/node/core"
)

// stream writes an answer whose body is still being received. The caller holds the lock, which is released
// meanwhile.
func (c *conn) stream(m *http1.Message, call *core.Call, answer *http1.Message) {
	if c.ended { // the client has gone, or has its last response, which must not be aborted
		answer.Rest.Drop()
		c.server.core.StreamEnded(call, core.ClientLeft)
		c.call, c.busy = nil, false
		return
	}
	kind := c.streamBody(m, answer)
	c.server.core.StreamEnded(call, kind)
	c.call, c.busy = nil, false
	switch {
	case kind != core.Served:
		c.ended = true
		c.setState(stateClosing)
		c.net.Abort() // so that the client notices that the response is truncated
	case !c.ended:
		c.afterResponse()
		c.resumeReading()
		c.processRequests()
	}
}

// streamBody writes an answer while its body is being received, no faster than the client reads it. A response
// that has begun is not cut off at the client's deadline: it ends when the backend or the client ends it or makes
// no progress for too long.
func (c *conn) streamBody(m, answer *http1.Message) core.Kind {
	r := http1.Reply{Status: answer.Status, Of: answer, Flows: true, Length: answer.Length, Keep: m.Old,
		Date: c.server.dates.at(c.server.clock.Now())}
	c.decideClose(m)
	if m.Old && r.Length < 0 { // an HTTP/1.0 client does not support chunked coding
		r.Length, c.closeAfter = -2, true
	}
	r.Close, c.keepAlive = c.closeAfter, !c.closeAfter
	done := make(chan struct{})
	c.done, c.call = done, nil
	_ = c.net.Write(http1.AppendResponse(make([]byte, 0, headCapacity), r))
	c.mu.Unlock()
	defer c.mu.Lock()
	w := bodyWriter{c: c, chunks: r.Length == -1, done: done}
	ok := w.write(answer.Body)
	for ok {
		chunk, err := answer.Rest.Next()
		switch {
		case len(chunk.Bytes) > 0:
			ok = w.write(chunk.Bytes)
			chunk.Free()
			ok = ok && w.waitForBacklog()
		case err == io.EOF: //nolint:errorlint // only io.EOF itself means complete; an error that wraps it means cut off
			if w.chunks {
				_ = c.net.Write([]byte(http1.LastChunk))
			}
			return core.Served
		case err != nil:
			return core.Failed
		default:
			ok = w.waitForChunk(answer.Rest)
		}
	}
	answer.Rest.Drop()
	return core.ClientLeft
}

// bodyWriter writes a body in parts, with chunked coding if chunks is set.
type bodyWriter struct {
	c      *conn
	chunks bool
	done   <-chan struct{} // closed when the connection has ended
}

func (w bodyWriter) write(b []byte) bool {
	if len(b) == 0 {
		return true
	}
	if !w.chunks {
		return w.c.net.Write(b) == nil
	}
	_ = w.c.net.Write(http1.AppendChunkHead(nil, len(b)))
	_ = w.c.net.Write(b)
	return w.c.net.Write([]byte("\r\n")) == nil
}

// waitForBacklog waits until at most a window of what was written is queued. It returns false if the connection
// has ended, or if the client has read nothing for Limits.Stall.
func (w bodyWriter) waitForBacklog() bool {
	window := w.c.server.set.Bodies.Budget.Window()
	for w.c.net.Backlog() > int64(window) {
		before := w.c.net.Written()
		timeout := make(chan struct{})
		stop := w.c.server.clock.At(w.c.server.clock.Now()+w.c.server.limits.Load().Stall, func() { close(timeout) })
		ok := w.c.net.WaitForBacklog(window, timeout)
		stop()
		select {
		case <-w.done:
			return false
		default:
		}
		if !ok && w.c.net.Written() == before {
			return false
		}
	}
	return true
}

// waitForChunk waits until the pipe may have a chunk. It returns false if the connection has ended, or if nothing
// is received from the backend for Limits.Stall.
func (w bodyWriter) waitForChunk(rest *bodypipe.Pipe) bool {
	timeout := make(chan struct{})
	stop := w.c.server.clock.At(w.c.server.clock.Now()+w.c.server.limits.Load().Stall, func() { close(timeout) })
	defer stop()
	select {
	case <-rest.Ready():
		return true
	case <-timeout:
	case <-w.done:
	}
	return false
}
