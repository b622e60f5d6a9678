package proxy

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// Reasons for which a response does not continue a stream.
var (
	errNoNewEvents = errors.New("response continues a stream without a new event")
	errNotJoined   = errors.New("response starts a stream over and does not have the last event of the client")
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
}

// accept reports whether an event is to be written to the client. The error is errNotJoined if no event of the attempt
// can be.
func (r *resumption) accept(fields eventFields) (bool, error) {
	switch {
	case !fields.numbered:
		// What precedes the first event that follows a part of this response is not known to belong there.
		return r.joint != repeating && !r.awaitsNewEvent, nil
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
		r.joint, r.awaitsNewEvent = joined, false
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
	case r.awaitsNewEvent:
		// The stream may have been complete before, but nothing distinguishes that from a backend that does not
		// resume it. The client may ask itself, with Last-Event-Id.
		return errNoNewEvents
	}
	return nil
}

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
	chunk := make([]byte, chunkSize)
	for {
		n, err := response.Read(chunk)
		buffered = append(buffered, chunk[:n]...)
		if complete := completeEvents(buffered); complete > 0 {
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
	isText := !e.stream.headerWritten && !e.isEventStream(response)
	if len(bytes.TrimSpace(rest)) == 0 || isText {
		return e.finishBody(response, rest)
	}
	return errTruncatedEvent
}

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
