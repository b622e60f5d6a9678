package proxy

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// Reasons for which a response does not continue a stream.
var (
	errNoNewEvents = errors.New("response continues a stream without a new event")
	errNotJoined   = errors.New("response starts a stream over and does not have the last event of the client")
	// errUnconfirmedEnd is that of a stream which may be whole: nothing but the end of its connection ended it.
	errUnconfirmedEnd = errors.New("stream ends with its connection")
)

// joint is how the events of the current attempt relate to the last event that the client has.
type joint uint8

const (
	undecided joint = iota // no event with a number has been received
	repeating              // the backend repeats events that the client has: it has started over
	joined                 // the next events follow those that the client has
)

// resumption decides which events of an attempt follow those that the client has, of an earlier response or of earlier
// attempts. A backend that is told the last event goes on after it, or starts over. One that starts over may divide the
// stream into other events, so that a number greater than the last one does not show that the event follows: only the
// last event itself, with the same number, shows where the client's part ends.
type resumption struct {
	lastEventID     string // of the last event with a number that the client has; "" = none
	lastEventNumber int64  // lastEventID as a number
	endsUnnumbered  bool   // an event with data and without a number has been written after that one
	joint           joint
	awaitsNewEvent  bool // the current attempt continues a response and has not sent an event that follows lastEventID
	mayBeWhole      bool // no attempt has sent an event since one that ended with errUnconfirmedEnd

	// What the current attempt has sent.
	hasNumber      bool // an event with a number
	hasUnknownData bool // data that is not known to belong to the stream
}

// setClientsLast records the last event that the client states to have received. Other text than a number is ignored.
func (r *resumption) setClientsLast(id string) {
	if number, err := strconv.ParseInt(id, 10, 64); err == nil {
		r.lastEventID, r.lastEventNumber = id, number
	}
}

// begin begins the next attempt. continues is whether the client has a part of this response.
func (r *resumption) begin(continues bool) {
	r.joint, r.awaitsNewEvent = undecided, continues
	r.hasNumber, r.hasUnknownData = false, false
}

// accept reports whether an event is to be written to the client. The error is errNotJoined if no event of the attempt
// can be.
func (r *resumption) accept(fields eventFields) (bool, error) {
	r.hasNumber = r.hasNumber || fields.numbered
	switch {
	case !fields.numbered && (r.joint == repeating || r.awaitsNewEvent):
		// What precedes the first event that follows a part of this response is not known to belong there.
		r.hasUnknownData = r.hasUnknownData || fields.hasData
		return false, nil
	case !fields.numbered:
		return true, nil
	case r.lastEventID == "":
		return true, nil
	case fields.number == r.lastEventNumber:
		r.joint = joined
		return false, nil
	case fields.number < r.lastEventNumber:
		if r.joint == undecided {
			r.joint = repeating
		}
		return false, nil
	case r.joint == repeating:
		return false, errNotJoined
	}
	return true, nil
}

// record records an event that is written to the client. After one with data and without a number as its id, a stream
// cannot be resumed: another backend would repeat that event.
func (r *resumption) record(fields eventFields) {
	switch {
	case fields.numbered:
		r.lastEventID, r.lastEventNumber, r.endsUnnumbered = fields.id, fields.number, false
		r.joint, r.awaitsNewEvent, r.mayBeWhole = joined, false, false
	case fields.hasData:
		r.endsUnnumbered = true
	}
}

// known reports whether another backend can be told what the client has.
func (r *resumption) known() bool { return r.lastEventID != "" && !r.endsUnnumbered }

// endError returns why a body that was received up to its end does not complete the client's response, nil if it does.
func (r *resumption) endError() error {
	switch {
	case r.joint == repeating:
		return errNotJoined
	case r.awaitsNewEvent && r.mayBeWhole && !r.hasUnknownData:
		return nil
	case r.awaitsNewEvent:
		// The stream may have been complete before, but nothing distinguishes that from a backend that does not
		// resume it. The client may ask itself, with Last-Event-Id.
		return errNoNewEvents
	}
	return nil
}

// endsUnconfirmed reports whether nothing shows that a body which was received up to its end, and is delimited by the end
// of its connection, is the rest of the stream. A backend that was told the last event and sends none shows that there are
// no more.
func (r *resumption) endsUnconfirmed() bool { return r.hasNumber || r.lastEventID == "" }

// resumable reports whether a truncated response may be continued by another backend.
func (e *exchange) resumable() bool {
	return e.route.Type == operator.Streaming && e.route.Resume
}

// mayContinue reports whether another attempt may follow one whose response was truncated: nothing has been
// written to the client, or the stream can be resumed after the last event that was written.
func (e *exchange) mayContinue() bool {
	return e.resumable() && (!e.stream.headerWritten || e.stream.known())
}

// clientResumes reports whether the client states the last event that it has received of an earlier response.
func (e *exchange) clientResumes() bool { return e.request.Header.Get(backend.HeaderLastID) != "" }

// forwardEvents forwards complete server-sent events, each exactly once. A response that is truncated within an
// event is continued by another backend after the last complete event.
func (e *exchange) forwardEvents(attempt *routing.Attempt, response *backend.Response) error {
	e.stream.begin(e.stream.headerWritten)
	var buffered []byte
	reserved := chunkSize
	chunk := make([]byte, chunkSize)
	for {
		n, err := response.Read(chunk)
		if required := len(buffered) + n; required > reserved {
			if err := response.Reserve(required - reserved); err != nil {
				return err
			}
			reserved = required
		}
		searched := len(buffered)
		buffered = append(buffered, chunk[:n]...)
		if complete := completeEventsAfter(buffered, searched); complete > 0 {
			e.recordFirstToken(attempt)
			e.recordChunk(attempt)
			if err := e.writeNewEvents(response, buffered[:complete]); err != nil {
				return err
			}
			buffered = append(buffered[:0], buffered[complete:]...)
		}
		if errors.Is(err, io.EOF) {
			return e.finishEvents(response, buffered)
		}
		if err != nil {
			return err
		}
	}
}

// finishEvents ends the client's response after a body that was received up to its end. rest are the bytes after the
// last event.
func (e *exchange) finishEvents(response *backend.Response, rest []byte) error {
	if err := e.stream.endError(); err != nil {
		return err
	}
	switch {
	case !e.isEventStream(response) && e.stream.awaitsNewEvent:
		return errNoNewEvents
	case !e.isEventStream(response) && !e.stream.headerWritten:
		return e.finishBody(response, rest)
	case len(bytes.TrimSpace(rest)) > 0:
		return errTruncatedEvent
	case response.Framing == backend.ByConnection && e.mayAskForRest() && e.stream.endsUnconfirmed():
		e.stream.mayBeWhole = true
		return errUnconfirmedEnd
	}
	return e.finishBody(response, rest)
}

// mayAskForRest reports whether the route allows another attempt to be asked for what follows the events that have been
// written, and whether it could be told which these are.
func (e *exchange) mayAskForRest() bool { return e.route.MaxAttempts > 1 && e.mayContinue() }

// writeNewEvents writes the events that follow those that the client has.
func (e *exchange) writeNewEvents(response *backend.Response, events []byte) error {
	var fresh, event []byte
	for len(events) > 0 {
		event, events = cutEvent(events)
		fields := parseEvent(event)
		follows, err := e.stream.accept(fields)
		if err != nil {
			return err
		}
		if !follows {
			continue
		}
		fresh = append(fresh, event...)
		e.stream.record(fields)
	}
	if len(fresh) == 0 {
		return nil
	}
	return e.writeBody(response, fresh)
}

// askForRest ends an attempt whose stream ended with errUnconfirmedEnd. Another backend is asked what follows: only then
// is the client's response complete.
func (e *exchange) askForRest(attempt *routing.Attempt, response *backend.Response) (attemptResult, *errkind.Error) {
	e.handler.Log.Debug("end of response unconfirmed", "route", e.route.Name, "backend", attempt.Backend.ID, "attempts", e.attempts,
		"client_resumes", e.clientResumes(), "last_event", e.stream.lastEventID)
	e.reportDone(attempt, responseResult(response.Status), response.Load)
	e.unconfirmed = attempt.Backend.ID
	return attemptRetryable, errkind.New(errkind.BackendLost, "")
}
