package httpserver

import (
	"io"

	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/bodypipe"
	"linenwheel.dev/linenwheel/internal/node/core"
)

// flow passes on an answer whose body is still coming, under the lock, which it gives up meanwhile.
func (c *conn) flow(m *http1.Message, call *core.Call, answer *http1.Message) {
	if c.ended { // its client has gone, or has its last answer, which is not to be broken off
		answer.Rest.Drop()
		c.server.core.Flowed(call, core.Left)
		c.call, c.busy = nil, false
		return
	}
	kind := c.passOn(m, answer)
	c.server.core.Flowed(call, kind)
	c.call, c.busy = nil, false
	switch {
	case kind != core.Served:
		c.ended = true
		c.enter(leaving)
		c.net.Abort() // its client sees that something is missing
	case !c.ended:
		c.answered()
		c.readOn()
		c.next()
	}
}

// passOn writes an answer as its body comes, no faster than the client takes it. An answer that has begun is never held back or
// cut off for its client's time: it ends when the host, or the client, does or stands still for too long.
func (c *conn) passOn(m, answer *http1.Message) core.Kind {
	r := http1.Reply{Status: answer.Status, Of: answer, Flows: true, Length: answer.Length, Keep: m.Old,
		Date: c.server.dates.at(c.server.clock.Now())}
	c.decideEnd(m)
	if m.Old && r.Length < 0 { // its client knows no chunks
		r.Length, c.closes = -2, true
	}
	r.Close, c.keepAlive = c.closes, !c.closes
	gone := make(chan struct{})
	c.gone, c.call = gone, nil
	_ = c.net.Write(http1.AppendResponse(make([]byte, 0, headRoom), r))
	c.mu.Unlock()
	defer c.mu.Lock()
	w := bodyWriter{c: c, chunks: r.Length == -1, gone: gone}
	good := w.write(answer.Body)
	for good {
		chunk, err := answer.Rest.Next()
		switch {
		case len(chunk.Bytes) > 0:
			good = w.write(chunk.Bytes)
			chunk.Free()
			good = good && w.room()
		case err == io.EOF: //nolint:errorlint // this very value says whole, a wrapped one would be of a body that broke off
			if w.chunks {
				_ = c.net.Write([]byte(http1.LastChunk))
			}
			return core.Served
		case err != nil:
			return core.Failed
		default:
			good = w.await(answer.Rest)
		}
	}
	answer.Rest.Drop()
	return core.Left
}

// bodyWriter writes a body piece by piece.
type bodyWriter struct {
	c      *conn
	chunks bool
	gone   <-chan struct{} // closed when the client has gone
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

// room waits until the client has taken most of what was written; it fails when it has gone, or takes nothing for too long.
func (w bodyWriter) room() bool {
	window := w.c.server.set.Bodies.Budget.Window()
	for w.c.net.Backlog() > int64(window) {
		before := w.c.net.Written()
		late := make(chan struct{})
		stop := w.c.server.clock.At(w.c.server.clock.Now()+w.c.server.limits.Load().Stall, func() { close(late) })
		good := w.c.net.WaitForBacklog(window, late)
		stop()
		select {
		case <-w.gone:
			return false
		default:
		}
		if !good && w.c.net.Written() == before {
			return false
		}
	}
	return true
}

// await waits for the host; it fails when the client has gone, or nothing comes for too long.
func (w bodyWriter) await(rest *bodypipe.Pipe) bool {
	late := make(chan struct{})
	stop := w.c.server.clock.At(w.c.server.clock.Now()+w.c.server.limits.Load().Stall, func() { close(late) })
	defer stop()
	select {
	case <-rest.Ready():
		return true
	case <-late:
	case <-w.gone:
	}
	return false
}
