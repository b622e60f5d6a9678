package backend

import (
	"bytes"
	"net/http"
	"strconv"
)

// Headers of the protocol between the fleet and the backends.
const (
	HeaderAttempt     = "Attempt-Id"      // the client\'s id of its request, the same in all attempts; responses return it
	HeaderExpect      = "Expect-Instance" // id of the backend that the request is for
	HeaderTenant      = "Tenant"
	HeaderDeadline    = "Deadline-Ms"  // time left, in milliseconds
	HeaderPriority    = "Priority"     // 0 to 9, 0 first
	HeaderNotExecuted = "Not-Executed" // in a response: the request has not run and will not
	HeaderLoad        = "Instance-Load"
	HeaderSeal        = "Response-Seal" // set by the backend in each successful response; one without it counts as malformed
	HeaderLastID      = "Last-Event-Id"
	HeaderKey         = "Api-Key" // a client's; it does not reach backends
)

// headerSizeHint is the space that is reserved for a request's header, in bytes.
const headerSizeHint = 512

// Request is what is sent to a backend. Its Header has no Host and no Content-Length.
type Request struct {
	Method string
	Target string // as the client wrote it
	Host   string
	Header http.Header
	Body   []byte
}

// encode returns the request as bytes, with the length of its body.
func (r *Request) encode() []byte {
	var buffer bytes.Buffer
	buffer.Grow(headerSizeHint + len(r.Body))
	buffer.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			buffer.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(r.Body)
	return buffer.Bytes()
}
