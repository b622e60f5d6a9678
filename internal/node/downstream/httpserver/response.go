package httpserver

import (
	"cmp"
	"fmt"
	"math"

	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/core"
)

// headRoom is what the head of most answers takes at most, in bytes.
const headRoom = 256

// serve has a call served and answers it.
func (c *conn) serve(m *http1.Message, call *core.Call) {
	a := c.server.core.Serve(call)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free()
	if a.Kind == core.ClientLeft {
		return
	}
	if answer, ok := a.Payload.(*http1.Message); ok && answer.Rest != nil {
		c.flow(m, call, answer)
		return
	}
	c.call, c.busy = nil, false
	if !c.ended {
		c.final(m, a)
		c.next()
	}
}

// final writes the final answer under the lock.
func (c *conn) final(m *http1.Message, a core.Answer) {
	if a.Kind == core.Served {
		answer := a.Payload.(*http1.Message)
		c.write(m, http1.Reply{Status: 200, Of: answer, Body: answer.Body})
		return
	}
	fields := ""
	if a.Kind == core.Refused && a.Wait > 0 {
		fields = fmt.Sprintf("Retry-After: %.3f\r\n", a.Wait/1000)
		if c.server.limits.Load().Whole {
			fields = fmt.Sprintf("Retry-After: %.0f\r\n", math.Ceil(a.Wait/1000))
		}
	}
	if a.Reason == core.ReasonModule {
		c.write(m, http1.Reply{Status: status(a), Fields: fields})
		return
	}
	c.write(m, text(status(a), fields, a.Reason))
}

const textType = "Content-Type: text/plain; charset=utf-8\r\n"

// text is an answer of the node's own that says something.
func text(status int, fields, reason string) http1.Reply {
	return http1.Reply{Status: status, Fields: fields + textType, Body: []byte(reason + "\n")}
}

// failures are the statuses of failures by whose fault they are; none of them is one of a refusal.
var failures = map[core.Fault]int{core.Invalid: 400, core.Unauthenticated: 401, core.Forbidden: 403, core.KeyMismatch: 422,
	core.LoopDetected: 508, core.Duplicate: 409}

// status words an answer that was not served.
func status(a core.Answer) int {
	switch {
	case a.Kind == core.Refused && a.Fault == core.OverQuota:
		return 429
	case a.Kind == core.Refused:
		return 503
	}
	return cmp.Or(failures[a.Fault], 502)
}

// write answers m, under the lock, and ends the connection where it is to end.
func (c *conn) write(m *http1.Message, r http1.Reply) {
	c.decideEnd(m)
	r.Date, r.Close, r.Keep = c.server.dates.at(c.server.clock.Now()), c.closes, m.Old
	r.Head = string(m.Method) == "HEAD"
	body := r.Body
	big := len(body) >= apart && !r.Head
	if big {
		r.Body, r.Flows, r.Length = nil, true, len(body)
	}
	_ = c.net.Write(http1.AppendResponse(make([]byte, 0, headRoom+len(r.Body)), r))
	if big {
		_ = c.net.Write(body)
	}
	c.answered()
}

// decideEnd decides, under the lock, whether the answer to m that begins now ends the connection.
func (c *conn) decideEnd(m *http1.Message) {
	policy := c.server.gate.Policy()
	c.server.mu.Lock()
	// Clients may hold only so many, and some hold on to what they do not use again.
	crowded := c.server.askers >= c.server.set.Crowded && policy.CanReconnect
	c.server.mu.Unlock()
	if c.upload != nil { // the rest of the request is not wanted any more
		c.upload.Drop()
		c.upload, c.overflowed = nil, true
	}
	c.closes = m.Close || c.once || c.overflowed || crowded || policy.CloseAfterResponse
}

// answered does, under the lock, what follows when all of an answer was written.
func (c *conn) answered() {
	end := c.closes || c.overflowed
	c.ended = end
	if end {
		c.enter(leaving)
	} else {
		c.enter(idle)
		c.retireAfterLastCalls()
	}
	switch {
	case end:
		c.end()
	case c.net.Backlog() > int64(c.server.limits.Load().Backlog):
		c.ended = true
		go c.net.Close()
	}
}
