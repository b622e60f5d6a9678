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

// hopHeaders concern a single connection and are not forwarded.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// internalRequestHeaders are set by the data plane alone: what a client sends in them does not reach a backend.
var internalRequestHeaders = []string{backend.HeaderKey, backend.HeaderTenant, backend.HeaderExpect, backend.HeaderPriority, backend.HeaderDeadline}

// internalResponseHeaders are those of a backend's response that are for the data plane alone.
var internalResponseHeaders = []string{"Instance-Id", backend.HeaderLoad, backend.HeaderNotExecuted}

// lowestPriority is the last rank that a backend knows; 0 is the highest priority.
const lowestPriority = 9

// upstreamRequest returns the request as an attempt's backend gets it, with the time that is left.
func (e *exchange) upstreamRequest(attempt *routing.Attempt) *backend.Request {
	header := e.request.Header.Clone()
	deleteHopHeaders(header)
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

// priority returns the request's rank: the tenant's if it has one, else the route's.
func (e *exchange) priority() int {
	rank := e.route.Priority
	if e.tenant != nil && e.tenant.HasPriority {
		rank = e.tenant.Priority
	}
	return min(max(rank, 0), lowestPriority)
}

// deleteHopHeaders deletes the headers of a single connection, also those that the Connection header names.
func deleteHopHeaders(header http.Header) {
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// writeHeader writes the header of a backend's response to the client.
func (e *exchange) writeHeader(response *backend.Response) {
	header := e.writer.Header()
	closing := header.Get("Connection")
	for name, values := range response.Header {
		if !slices.Contains(hopHeaders, name) && !slices.Contains(internalResponseHeaders, name) {
			header[name] = values
		}
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	if response.Length >= 0 && !e.resumable() {
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps http.Server from guessing one from the body
	}
	e.writer.WriteHeader(response.Status)
	e.stream.headerWritten = true
}
