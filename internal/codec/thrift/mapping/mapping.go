// Package mapping defines how the platform's calls and results are represented in Thrift: where the id, the owner,
// the deadline, the idempotency key and the retry mark are carried, and how rejections and failures are encoded.
// It follows api/rating.thrift and is used by both the server and the backend client. It does no I/O.
package mapping

import (
	"errors"
	"fmt"
	"math"
	"strconv"

	"linenwheel.dev/linenwheel/internal/codec/thrift"
)

// The fields of CallInfo, which is the first argument of each method.
const (
	InfoID       = 1
	InfoDeadline = 2
	InfoOwner    = 3
	InfoKey      = 4
	InfoRetry    = 5
)

// The fields of arguments and results.
const (
	ArgInfo  = 1 // CallInfo
	ArgBody  = 2 // the body of a call that was received in another protocol
	Success  = 0
	Declined = 1 // the exception Declined
	Failed   = 2 // the exception Failed
)

// The fields of the two exceptions.
const (
	DeclinedWait   = 1
	DeclinedReason = 2
	FailedReason   = 1
)

// The kinds of application exceptions, as the Thrift libraries number them.
const (
	UnknownMethod      = 1
	InvalidMessageType = 2
	WrongMethodName    = 3
	BadSequence        = 4
	MissingResult      = 5
	InternalError      = 6
	ProtocolError      = 7
)

// The names of the fields of CallInfo in a header transport's header.
const (
	HeaderID       = "req-id"
	HeaderDeadline = "req-deadline-ms"
	HeaderOwner    = "req-owner"
	HeaderKey      = "idempotency-key"
	HeaderRetry    = "req-retry"
)

// Info holds the attributes of a call that the platform uses.
type Info struct {
	ID       []byte
	Deadline int64 // ms, 0 = missing
	Owner    []byte
	Key      []byte
	Retry    bool
}

// ErrNoInfo is the error for a call without CallInfo.
var ErrNoInfo = errors.New("neither a header nor the first argument says what the call is")

// Read returns a call's info from the header transport's header if that has an id, otherwise from the first
// argument. It returns ErrNoInfo if neither has it, and another error if the deadline in the header is not a
// number of 32 bits.
func Read(m *thrift.Message) (i Info, err error) {
	if id, ok := m.Header(HeaderID); ok {
		i.ID = id
		i.Owner, _ = m.Header(HeaderOwner)
		i.Key, _ = m.Header(HeaderKey)
		retry, _ := m.Header(HeaderRetry)
		i.Retry = string(retry) == "1"
		if left, ok := m.Header(HeaderDeadline); ok {
			if i.Deadline, err = strconv.ParseInt(string(left), 10, 32); err != nil {
				return i, fmt.Errorf("the header %s: %w", HeaderDeadline, err)
			}
		}
		return i, nil
	}
	if _, ok := thrift.Field(m.Top, ArgInfo, thrift.Struct); !ok {
		return i, ErrNoInfo
	}
	text := func(id int16) []byte {
		v, ok := thrift.Field(m.Info, id, thrift.String)
		if !ok {
			return nil
		}
		return m.Text(v)
	}
	i.ID, i.Owner, i.Key = text(InfoID), text(InfoOwner), text(InfoKey)
	if v, ok := thrift.Field(m.Info, InfoDeadline, thrift.I32); ok {
		i.Deadline = m.Number(v)
	}
	if v, ok := thrift.Field(m.Info, InfoRetry, thrift.Bool); ok {
		i.Retry = m.Number(v) == 1
	}
	return i, nil
}

// Onward returns what must change in a call that is forwarded to a backend: the remaining time of left milliseconds
// replaces the deadline, in CallInfo and in the headers, wherever the call has one.
func Onward(m *thrift.Message, left int) (change *thrift.Change, headers []thrift.Info) {
	if v, ok := thrift.Field(m.Info, InfoDeadline, thrift.I32); ok {
		change = &thrift.Change{Value: v, To: int64(min(left, math.MaxInt32))}
	}
	for _, h := range m.Headers {
		if string(h.Name) == HeaderDeadline {
			h.Value = strconv.AppendInt(nil, int64(left), 10)
		}
		headers = append(headers, h)
	}
	return change, headers
}

// Compose returns a call of a method from a request received in another protocol, with its body as the second
// argument.
func Compose(method string, i Info, body []byte) *thrift.Message {
	var w thrift.Builder
	w.Begin(ArgInfo)
	w.Text(InfoID, i.ID)
	w.Number(InfoDeadline, i.Deadline)
	if len(i.Owner) > 0 {
		w.Text(InfoOwner, i.Owner)
	}
	if len(i.Key) > 0 {
		w.Text(InfoKey, i.Key)
	}
	if i.Retry {
		w.Bool(InfoRetry, true)
	}
	w.End()
	w.Text(ArgBody, body)
	return w.Message(thrift.Call, []byte(method))
}

// Refusal returns the result that rejects a call. The caller may safely retry, after wait milliseconds if wait is
// above 0.
func Refusal(method []byte, wait float64, reason string) *thrift.Message {
	var w thrift.Builder
	w.Begin(Declined)
	if wait > 0 {
		w.Number(DeclinedWait, int64(math.Ceil(wait)))
	}
	if reason != "" {
		w.Text(DeclinedReason, []byte(reason))
	}
	w.End()
	return w.Message(thrift.Reply, method)
}

// Failure returns the result for a failed call. It does not say whether the call was executed.
func Failure(method []byte, reason string) *thrift.Message {
	var w thrift.Builder
	w.Begin(Failed)
	if reason != "" {
		w.Text(FailedReason, []byte(reason))
	}
	w.End()
	return w.Message(thrift.Reply, method)
}

// Result returns a successful result whose value is a body received in another protocol.
func Result(method, body []byte) *thrift.Message {
	var w thrift.Builder
	w.Text(Success, body)
	return w.Message(thrift.Reply, method)
}

// Fault returns an application exception.
func Fault(method []byte, kind int64, text string) *thrift.Message {
	var w thrift.Builder
	w.Text(1, []byte(text))
	w.Number(2, kind)
	return w.Message(thrift.Exception, method)
}

// Meaning classifies a backend's response.
type Meaning uint8

// The meanings.
const (
	Served     Meaning = iota // a result, or an exception that the method declares
	TurnedAway                // rejected without being executed
	Error                     // failed; it may have been executed
	Rejected                  // the backend reports the call itself as invalid; it may have been executed
)

// Tell returns the meaning of a backend's response.
func Tell(m *thrift.Message) Meaning {
	if m.Type == thrift.Exception {
		kind, ok := thrift.Field(m.Top, 2, thrift.I32)
		if !ok {
			return Error
		}
		switch m.Number(kind) {
		case UnknownMethod, InvalidMessageType, WrongMethodName, BadSequence, ProtocolError:
			return Rejected
		}
		return Error
	}
	if _, ok := thrift.Field(m.Top, Declined, thrift.Struct); ok {
		return TurnedAway
	}
	if _, ok := thrift.Field(m.Top, Failed, thrift.Struct); ok {
		return Error
	}
	return Served
}

// Body returns the value of a successful result if it is a string, otherwise nil.
func Body(m *thrift.Message) []byte {
	v, ok := thrift.Field(m.Top, Success, thrift.String)
	if !ok {
		return nil
	}
	return m.Text(v)
}

// Argument returns the second argument of a call if it is a string, otherwise nil. It is the body that backends of
// another protocol receive.
func Argument(m *thrift.Message) []byte {
	v, ok := thrift.Field(m.Top, ArgBody, thrift.String)
	if !ok {
		return nil
	}
	return m.Text(v)
}
