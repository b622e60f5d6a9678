package httpserver

import (
	"cmp"
	"fmt"
	"math"

	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/core"
)

// headCapacity is the buffer size in bytes that is enough for the head of most responses.
const headCapacity = 256

// serve has the core serve a call and writes its response.
func (c *conn) serve(m *http1.Message, call *core.Call) {
	a := c.server.core.Serve(call)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseBody()
	if a.Kind == core.ClientLeft {
		return
	}
	if answer, ok := a.Payload.(*http1.Message); ok && answer.Rest != nil {
		c.stream(m, call, answer)
		return
	}
	c.call, c.busy = nil, false
	if !c.ended {
		c.writeAnswer(m, a)
		c.processRequests()
	}
}

// writeAnswer writes the core's answer as the response to m. The caller holds the lock.
func (c *conn) writeAnswer(m *http1.Message, a core.Answer) {
	if a.Kind == core.Served {
		answer := a.Payload.(*http1.Message)
		c.write(m, http1.Reply{Status: 200, Of: answer, Body: answer.Body})
		return
	}
	fields := ""
	if a.Kind == core.Refused && a.Wait > 0 {
		fields = fmt.Sprintf("Retry-After: %.3f\r\n", a.Wait/1000)
		if c.server.limits.Load().WholeSeconds {
			fields = fmt.Sprintf("Retry-After: %.0f\r\n", math.Ceil(a.Wait/1000))
		}
	}
	if a.Reason == core.ReasonModule {
		c.write(m, http1.Reply{Status: statusCode(a), Fields: fields})
		return
	}
	c.write(m, textReply(statusCode(a), fields, a.Reason))
}

const textType = "Content-Type: text/plain; charset=utf-8\r\n"

// textReply returns a response of the node itself, with reason as its body.
func textReply(status int, fields, reason string) http1.Reply {
	return http1.Reply{Status: status, Fields: fields + textType, Body: []byte(reason + "\n")}
}

// failureStatus maps the fault of a failed call to a status code. None of them is a status code of a refusal.
var failureStatus = map[core.Fault]int{core.Invalid: 400, core.Unauthenticated: 401, core.Forbidden: 403, core.KeyMismatch: 422,
	core.LoopDetected: 508, core.Duplicate: 409}

// statusCode returns the status code for an answer that is not core.Served.
func statusCode(a core.Answer) int {
	switch {
	case a.Kind == core.Refused && a.Fault == core.OverQuota:
		return 429
	case a.Kind == core.Refused:
		return 503
	}
	return cmp.Or(failureStatus[a.Fault], 502)
}

// write writes the response to m, and ends the connection if the response is its last. The caller holds the lock.
func (c *conn) write(m *http1.Message, r http1.Reply) {
	c.decideClose(m)
	r.Date, r.Close, r.Keep = c.server.dates.at(c.server.clock.Now()), c.closeAfter, m.Old
	r.Head = string(m.Method) == "HEAD"
	body := r.Body
	big := len(body) >= separateBodySize && !r.Head
	if big {
		r.Body, r.Flows, r.Length = nil, true, len(body)
	}
	_ = c.net.Write(http1.AppendResponse(make([]byte, 0, headCapacity+len(r.Body)), r))
	if big {
		_ = c.net.Write(body)
	}
	c.afterResponse()
}

// decideClose decides whether the response to m that begins now closes the connection. The caller holds the lock.
func (c *conn) decideClose(m *http1.Message) {
	policy := c.server.gate.Policy()
	c.server.mu.Lock()
	// The number of connections is limited, and some clients keep connections that they do not use again.
	crowded := c.server.requesting >= c.server.set.Crowded && policy.CanReconnect
	c.server.mu.Unlock()
	if c.upload != nil { // the rest of the request is not needed any more
		c.upload.Drop()
		c.upload, c.overflowed = nil, true
	}
	c.closeAfter = m.Close || c.once || c.overflowed || crowded || policy.CloseAfterResponse
}

// afterResponse sets the connection's state after a complete response was written. The caller holds the lock.
func (c *conn) afterResponse() {
	end := c.closeAfter || c.overflowed
	c.ended = end
	if end {
		c.setState(stateClosing)
	} else {
		c.setState(stateIdle)
		c.closeIfStopping()
	}
	switch {
	case end:
		c.end()
	case c.net.Backlog() > int64(c.server.limits.Load().Backlog):
		c.ended = true
		go c.net.Close()
	}
}
