package backend

import (
	"bytes"
	"net/http"
	"strconv"
)

// Headers of the protocol between the fleet and the backends.
const (
	HeaderAttempt     = "Attempt-Id"      // the client's id of its request, the same in all attempts; responses repeat it
	HeaderExpect      = "Expect-Instance" // id of the backend that the request is meant for
	HeaderTenant      = "Tenant"
	HeaderDeadline    = "Deadline-Ms"  // time left, in milliseconds
	HeaderPriority    = "Priority"     // 0 (highest) to 9 (lowest)
	HeaderNotExecuted = "Not-Executed" // in a response: the request has not run and will not run
	HeaderLoad        = "Instance-Load"
	HeaderSeal        = "Response-Seal" // in each successful response of a backend; a success without it counts as malformed
	HeaderLastID      = "Last-Event-Id"
	HeaderKey         = "Api-Key" // the client's API key, which is not forwarded to backends
)

// headerSizeHint is the buffer space reserved for a request's header, in bytes.
const headerSizeHint = 512

// Request is a request to a backend. Its Header must contain neither Host nor Content-Length.
type Request struct {
	Method string
	Target string // request target as the client sent it
	Host   string
	Header http.Header
	Body   []byte
}

// encodeHeader returns the request line and the header in wire format; the body follows. Content-Length is omitted from a GET
// or HEAD request without a body.
func (r *Request) encodeHeader() []byte {
	var buffer bytes.Buffer
	buffer.Grow(headerSizeHint)
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
	return buffer.Bytes()
}
