package proxy

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// hopByHopHeaders are the hop-by-hop headers. They concern a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// internalRequestHeaders are set by the data plane only: the values that a client sends are not forwarded to
// backends.
var internalRequestHeaders = []string{backend.HeaderKey, backend.HeaderTenant, backend.HeaderExpect, backend.HeaderPriority, backend.HeaderDeadline}

// internalResponseHeaders are headers of a backend's response for the data plane only. They are not forwarded to
// the client.
var internalResponseHeaders = []string{"Instance-Id", backend.HeaderLoad, backend.HeaderNotExecuted}

// lowestPriority is the lowest priority that backends support; 0 is the highest.
const lowestPriority = 9

// upstreamRequest returns the request for an attempt's backend, with the time remaining until the deadline.
func (e *exchange) upstreamRequest(attempt *routing.Attempt) *backend.Request {
	header := e.request.Header.Clone()
	deleteHopByHopHeaders(header)
	for _, name := range internalRequestHeaders {
		header.Del(name)
	}
	left := max(1, time.Until(e.deadline).Milliseconds())
	header.Set(backend.HeaderDeadline, strconv.FormatInt(left, 10))
	header.Set(backend.HeaderExpect, attempt.Backend.ID)
	header.Set(backend.HeaderPriority, strconv.Itoa(e.priority()))
	if e.tenant != nil {
		header.Set(backend.HeaderTenant, e.tenant.Name)
	}
	if e.stream.lastEventID != "" {
		header.Set(backend.HeaderLastID, e.stream.lastEventID)
	}
	return &backend.Request{Method: e.request.Method, Target: e.request.RequestURI, Host: e.request.Host, Header: header, Body: e.body}
}

// priority returns the request's priority: the tenant's if it has one, otherwise the route's.
func (e *exchange) priority() int {
	priority := e.route.Priority
	if e.tenant != nil && e.tenant.HasPriority {
		priority = e.tenant.Priority
	}
	return min(max(priority, 0), lowestPriority)
}

// deleteHopByHopHeaders deletes the hop-by-hop headers, including those that the Connection header names.
func deleteHopByHopHeaders(header http.Header) {
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// writeHeader writes the header of a backend's response to the client. It omits the length of a stream's body, as a
// body of that length would look complete even if it is found to end within an event.
func (e *exchange) writeHeader(response *backend.Response) {
	header := e.writer.Header()
	closing := header.Get("Connection")
	for name, values := range response.Header {
		if !slices.Contains(hopByHopHeaders, name) && !slices.Contains(internalResponseHeaders, name) {
			header[name] = values
		}
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	if response.Length >= 0 && !e.resumable() && !e.isEventStream(response) {
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // prevents http.Server from detecting a type from the body
	}
	e.writer.WriteHeader(response.Status)
	e.stream.headerWritten = true
}
