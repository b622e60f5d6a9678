// Package mapping says what a call of the platform is in Thrift, and what a Thrift result means: which method is which class,
// where id, owner, deadline, key and retry mark travel, how refusals and failures are told. It is what api/rating.thrift
// describes, used by the front and by the hosts' side. No I/O.
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
	ArgBody  = 2 // where a call that came in another protocol has its body
	Success  = 0
	Declined = 1 // the exception of that name,
	Failed   = 2 // and of this
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

// The names that a header transport's header has for the fields of CallInfo.
const (
	HeaderID       = "req-id"
	HeaderDeadline = "req-deadline-ms"
	HeaderOwner    = "req-owner"
	HeaderKey      = "idempotency-key"
	HeaderRetry    = "req-retry"
)

// Info is what the platform wants to know of a call.
type Info struct {
	ID       []byte
	Deadline int64 // ms, 0 = missing
	Owner    []byte
	Key      []byte
	Retry    bool
}

// ErrNoInfo tells that a call has no CallInfo.
var ErrNoInfo = errors.New("neither a header nor the first argument says what the call is")

// Read finds a call's info: in the header transport's header if that names an id, else in the first argument.
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

// Onward is what has to change in a call that goes on to a host: the time that remains, where the call says it.
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

// Compose makes a call of a method from what another protocol said, with its body as the second argument.
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

// Refusal is the result that declines a call: trying again is harmless, after so many milliseconds if above 0.
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

// Failure is the result that promises nothing.
func Failure(method []byte, reason string) *thrift.Message {
	var w thrift.Builder
	w.Begin(Failed)
	if reason != "" {
		w.Text(FailedReason, []byte(reason))
	}
	w.End()
	return w.Message(thrift.Reply, method)
}

// Result is a served result whose value is a body that another protocol brought.
func Result(method, body []byte) *thrift.Message {
	var w thrift.Builder
	w.Text(Success, body)
	return w.Message(thrift.Reply, method)
}

// Fault is an application exception.
func Fault(method []byte, kind int64, text string) *thrift.Message {
	var w thrift.Builder
	w.Text(1, []byte(text))
	w.Number(2, kind)
	return w.Message(thrift.Exception, method)
}

// Meaning is what a host's answer says.
type Meaning uint8

// The meanings.
const (
	Served     Meaning = iota // a result, or an exception of the method's own
	TurnedAway                // declined unseen
	Error                     // it may have run
	Rejected                  // the host finds fault with the call itself; it may have run
)

// Tell reads a host's answer.
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

// Body is the value of a served result that is a string, nil where it is none.
func Body(m *thrift.Message) []byte {
	v, ok := thrift.Field(m.Top, Success, thrift.String)
	if !ok {
		return nil
	}
	return m.Text(v)
}

// Argument is the second argument of a call where that is a string, for hosts of another protocol.
func Argument(m *thrift.Message) []byte {
	v, ok := thrift.Field(m.Top, ArgBody, thrift.String)
	if !ok {
		return nil
	}
	return m.Text(v)
}
