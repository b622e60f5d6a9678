package backend

import (
	"errors"
	"fmt"
	"net/http"
)

// Outcome is what is known about a request that received no response.
type Outcome uint8

// Outcomes.
const (
	NotSent    Outcome = iota // no connection was made, or nothing was written: the request has not run
	MayHaveRun                // at least part of the request was written
	Malformed                 // the bytes received are not a response to the request: it may have run
)

// Error reports an exchange that ended without a response.
type Error struct {
	Outcome Outcome
	Err     error
}

func (e *Error) Error() string { return fmt.Sprintf("exchange with backend: %v", e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errNotAttributable reports a response that may belong to this request or to an earlier one.
var errNotAttributable = errors.New("response cannot be attributed to the request")

// maxStaleResponses bounds the responses to earlier requests during one exchange: the last of them fails the
// exchange, the others are skipped.
const maxStaleResponses = 4

// attribution is the decision to which request a response belongs.
type attribution uint8

const (
	ownResponse            attribution = iota
	staleResponse                      // to an earlier request on the connection, which is skipped
	unattributableResponse             // not known to which request: this one may have run
)

// exchangeState decides what each event of one exchange on a connection proves. It performs no I/O.
//
//	event                                                conclusion
//	no connection, or nothing was written                not sent: it has not run
//	an incomplete write, a reset, a close, a timeout     may have run, even if part of the response was received
//	a response with the request's id                     its response; with Not-Executed or status 421, it has not run
//	a response with another id                           stale: it is skipped, and the next response is read
//	a stale response that ends with the connection,
//	or too many stale responses                          may have run
//	a rejection without an id that is the first
//	response ever received on the connection             its response: no other request was sent on the connection
//	any other response without an id                     may have run: a late rejection of an earlier request looks the same
type exchangeState struct {
	fresh          bool   // no request was sent on the connection before this one
	id             string // of the request
	size           int    // of the request, in bytes
	written        int    // bytes of the request
	staleResponses int    // received so far
}

// recordWrite records the number of bytes of the request that were written.
func (s *exchangeState) recordWrite(bytes int) { s.written = bytes }

// errorFor returns the error of an exchange in which a write or a read failed.
func (s *exchangeState) errorFor(err error) *Error {
	if s.written == 0 {
		return &Error{NotSent, err}
	}
	return &Error{MayHaveRun, err}
}

// attribute decides to which request a response belongs, by its status, its id ("" = none) and whether its body is
// delimited by other means than the end of the connection.
func (s *exchangeState) attribute(status int, id string, selfDelimited bool) attribution {
	switch {
	case s.written < s.size:
		return unattributableResponse
	case id != "" && id == s.id:
		return ownResponse
	case id != "":
		s.staleResponses++
		if !selfDelimited || s.staleResponses >= maxStaleResponses {
			return unattributableResponse
		}
		return staleResponse
	case s.fresh && s.staleResponses == 0 && status >= http.StatusBadRequest:
		return ownResponse
	}
	return unattributableResponse
}
