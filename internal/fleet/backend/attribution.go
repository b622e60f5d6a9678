package backend

import (
	"errors"
	"fmt"
	"net/http"
)

// Outcome is what is known of a request that brought no response.
type Outcome uint8

// The outcomes.
const (
	NotSent    Outcome = iota // no connection was made, or nothing was written: it has not run
	MayHaveRun                // some of it was written
	Malformed                 // what came is not a response to it: it may have run
)

// Error is an exchange without a response.
type Error struct {
	Outcome Outcome
	Err     error
}

func (e *Error) Error() string { return fmt.Sprintf("exchange with backend: %v", e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errNotAttributable says that a response came that may be to this request or to an earlier one.
var errNotAttributable = errors.New("response cannot be attributed to the request")

// maxStaleResponses bounds the responses of earlier requests that are skipped on a connection.
const maxStaleResponses = 4

// attribution says to which request a response belongs.
type attribution uint8

const (
	ownResponse            attribution = iota
	staleResponse                      // to an earlier request on the connection: it is skipped
	unattributableResponse             // not certain: the request may have run
)

// exchangeState decides what each event of one exchange on a connection proves. It is pure.
//
//	event                                                conclusion
//	no connection, or the first write took nothing       not sent: it has not run
//	a write broke off, a reset, a close, a timeout       may have run, also where a part of the response came
//	a response with the request's id                     its response; Not-Executed or 421 in it: has not run
//	a response with another id                           stale: skipped, and the next one is looked at
//	one that ends with the connection, or too many       may have run
//	a response without an id, the first bytes that ever
//	came on the connection, a rejection                  its response: no other request was sent there
//	any other response without an id                     may have run: a late rejection of an earlier request looks the same
type exchangeState struct {
	fresh          bool   // no request was sent on the connection before
	id             string // of the request
	size           int    // of the request, in bytes
	written        int    // bytes of it
	staleResponses int    // that were skipped
}

// recordWrite records how many bytes of the request were written.
func (s *exchangeState) recordWrite(bytes int) { s.written = bytes }

// errorFor returns the error of an exchange in which a write or a read failed.
func (s *exchangeState) errorFor(err error) *Error {
	if s.written == 0 {
		return &Error{NotSent, err}
	}
	return &Error{MayHaveRun, err}
}

// attribute decides to which request a response belongs, by its status, its id ("" = none), and whether its end shows without the
// end of the connection.
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
