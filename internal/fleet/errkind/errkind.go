// Package errkind defines the closed list of the fleet's error kinds and the HTTP response for each of them. Every
// error that a client, a backend or the operator may receive has one of these kinds.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
)

// Kind is the kind of an error. Its number is sent between control processes: new kinds are appended at the end.
type Kind uint8

// Error kinds.
const (
	Internal                 Kind = iota // a fault of this process
	InvalidConfig                        // the configuration was rejected as invalid
	VersionConflict                      // the request names a version other than the current one
	OutcomeUnknown                       // it is not known whether the request was applied
	BadRequest                           // the request cannot be read or parsed
	TooLarge                             // the body is over the limit
	NoRoute                              // no route matches host and path
	UnknownKey                           // the key belongs to no tenant
	OverQuota                            // the tenant has no quota left
	NotConfigured                        // this node has no configuration yet
	StaleConfig                          // the configuration could not be confirmed in time
	NoBackend                            // no backend of the service is known and usable
	Saturated                            // the backends cannot serve the request in time
	Rejected                             // every backend that was tried rejected the request without running it
	BackendLost                          // the backend may have run the request and sent no response
	MalformedResponse                    // the backend sent bytes that are not a response
	DeadlineExceeded                     // the deadline passed before the request was forwarded
	DeadlineExceededInFlight             // the deadline passed while an attempt was in flight
	ShuttingDown                         // the process is about to exit
	OutOfMemory                          // the bodies in progress leave no memory for this one
	kindCount
)

// Response is the HTTP response for a kind of error.
type Response struct {
	Status      int
	NotExecuted bool // the request was not executed and never will be; the response says when to retry
	Text        string
}

var responses = [kindCount]Response{
	Internal:                 {http.StatusInternalServerError, false, "internal error"},
	InvalidConfig:            {http.StatusBadRequest, false, "invalid configuration"},
	VersionConflict:          {http.StatusPreconditionFailed, false, "another version is current"},
	OutcomeUnknown:           {http.StatusServiceUnavailable, false, "the order could not be completed; send it again"},
	BadRequest:               {http.StatusBadRequest, false, "bad request"},
	TooLarge:                 {http.StatusRequestEntityTooLarge, false, "body too large"},
	NoRoute:                  {http.StatusNotFound, false, "no such route"},
	UnknownKey:               {http.StatusUnauthorized, false, "unknown key"},
	OverQuota:                {http.StatusTooManyRequests, true, "over quota"},
	NotConfigured:            {http.StatusServiceUnavailable, true, "no configuration yet"},
	StaleConfig:              {http.StatusServiceUnavailable, true, "configuration not confirmed"},
	NoBackend:                {http.StatusServiceUnavailable, true, "no rater available"},
	Saturated:                {http.StatusServiceUnavailable, true, "raters are full"},
	Rejected:                 {http.StatusServiceUnavailable, true, "turned away by the raters"},
	BackendLost:              {http.StatusBadGateway, false, "the rater was lost; the request may have run"},
	MalformedResponse:        {http.StatusBadGateway, false, "the rater's answer was broken; the request may have run"},
	DeadlineExceeded:         {http.StatusServiceUnavailable, true, "out of time"},
	DeadlineExceededInFlight: {http.StatusGatewayTimeout, false, "out of time; the request may have run"},
	ShuttingDown:             {http.StatusServiceUnavailable, true, "shutting down"},
	OutOfMemory:              {http.StatusServiceUnavailable, true, "too many bytes in progress"},
}

// Response returns the HTTP response for the kind; an unknown kind has the response of Internal.
func (k Kind) Response() Response {
	if k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

func (k Kind) String() string { return k.Response().Text }

// Error is an error with a kind. Its text is part of responses: Detail must not contain secrets.
type Error struct {
	Kind   Kind
	Detail string
	Err    error
}

func (e *Error) Error() string {
	text := e.Kind.String()
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

func (e *Error) Unwrap() error { return e.Err }

// New returns an error of the given kind with a formatted detail, which may be empty.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// KindOf returns the kind of an error, or Internal if it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
