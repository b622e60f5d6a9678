package backend

import (
	"errors"
	"fmt"
	"net/http"
)

// Outcome is what is known of a request that brought no answer.
type Outcome uint8

// The fates.
const (
	NotSent    Outcome = iota // no connection was made, or nothing was written
	MayHaveRun                // some of it was written
	Malformed                 // bytes came that are not an answer to it
)

// Error is an exchange without an answer.
type Error struct {
	Outcome Outcome
	Err     error
}

func (e *Error) Error() string { return fmt.Sprintf("rater: %v", e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// errNotAttributable says that an answer came that may be to this request or to an earlier one.
var errNotAttributable = errors.New("an answer that may be to another request")

// maxStaleResponses bounds the answers of earlier requests that are passed over on a connection.
const maxStaleResponses = 4

// attribution is to which request an answer belongs.
type attribution uint8

const (
	ownResponse            attribution = iota
	staleResponse                      // to an earlier request on the connection: it is passed over
	unattributableResponse             // nobody can tell: the request may have run
)

// exchangeState decides what each event in the life of one request on a connection proves. It is pure.
//
//	event                                               conclusion
//	no connection, or the first write took nothing      not sent: it has not run
//	a write broke off, a reset, a close, silence        may have run, also where a part of the answer came
//	an answer with the request's id                     its answer; Not-Executed or 421 in it: has not run
//	an answer with another id                           stray: passed over, and the next one is looked at
//	one whose end is the connection's, or too many      may have run
//	an answer without an id, the first thing that ever
//	came on the connection, a refusal                   its answer: no other request was sent there
//	any other answer without an id                      may have run: a late refusal of an earlier request looks the same
type exchangeState struct {
	fresh          bool   // no request was sent on the connection before
	id             string // of the request
	size           int    // of the request, in bytes
	written        int
	staleResponses int
}

func (j *exchangeState) recordWrite(bytes int) { j.written = bytes }

// failed gives what is known where a write or a read failed.
func (j *exchangeState) failed(err error) *Error {
	if j.written == 0 {
		return &Error{NotSent, err}
	}
	return &Error{MayHaveRun, err}
}

// attribute tells to which request an answer belongs.
func (j *exchangeState) attribute(status int, id string, bounded bool) attribution {
	switch {
	case j.written < j.size:
		return unattributableResponse
	case id != "" && id == j.id:
		return ownResponse
	case id != "":
		j.staleResponses++
		if !bounded || j.staleResponses >= maxStaleResponses {
			return unattributableResponse
		}
		return staleResponse
	case j.fresh && j.staleResponses == 0 && status >= http.StatusBadRequest:
		return ownResponse
	}
	return unattributableResponse
}
