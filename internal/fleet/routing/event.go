package routing

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"time"
)

// errPackedEvent is returned for bytes that are not events in the format of this version.
var errPackedEvent = errors.New("routing: malformed or unsupported packed events")

// EventKind says what happened to an attempt. Its numbers are sent over the wire.
type EventKind uint8

// The kinds of events.
const (
	EventSent        EventKind = iota + 1 // the request was sent to the backend
	EventFirstToken                       // the first token of its response has arrived
	EventEnded                            // it has ended and no longer holds a slot of the backend
	EventFailed                           // it has ended in a way that counts against the backend
	EventPaused                           // it has ended, and paused for longer than its route allows
	EventUnreachable                      // no connection to the backend could be established
)

// Event is one step of an attempt, as nodes report it to each other. From the events of all others a node learns
// what it cannot see itself: what a backend has to prefill, how many requests it runs, how fast it responds, and
// whether it fails.
type Event struct {
	Kind             EventKind
	Backend          uint32        // TagOf the backend's id
	Attempt          uint32        // identifies the attempt at that backend
	Age              time.Duration // time since it happened
	Tokens           float64       // EventSent: tokens of the prompt that the backend has to prefill
	Prefix           uint32        // EventSent: TagOf the prompt's prefix, 0 = none
	Long             bool          // EventSent, EventFirstToken: the end comes long after the first token, and will be reported
	TimeToFirstToken time.Duration // EventFirstToken: since the request was sent
}

// TagOf returns a short hash of an id for events; it is 0 only for "". Two backends with the same tag would be
// treated as one: among 10,000 backends the probability of a collision is about one in a hundred, and the cost is
// a few poor picks.
func TagOf(id string) uint32 {
	if id == "" {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return max(1, hash.Sum32())
}

// The packed form of an event, in bytes, little-endian: kind and flag, backend, attempt, age in milliseconds; then
// the tokens and the prefix for EventSent, the time in microseconds for EventFirstToken.
const (
	longFlag       = 0x80
	commonSize     = 1 + 4 + 4 + 2
	sentSize       = commonSize + 4 + 4
	firstTokenSize = commonSize + 4
	maxEventAge    = 1<<16 - 1 // milliseconds
)

// AppendEvent appends the packed form of an event. Numbers that do not fit are truncated; ages saturate at
// maxEventAge.
func AppendEvent(packed []byte, event Event) []byte {
	head := byte(event.Kind)
	if event.Long {
		head |= longFlag
	}
	packed = append(packed, head)
	packed = binary.LittleEndian.AppendUint32(packed, event.Backend)
	packed = binary.LittleEndian.AppendUint32(packed, event.Attempt)
	packed = binary.LittleEndian.AppendUint16(packed, uint16(min(max(event.Age.Milliseconds(), 0), maxEventAge)))
	switch event.Kind {
	case EventSent:
		packed = binary.LittleEndian.AppendUint32(packed, uint32(event.Tokens))
		packed = binary.LittleEndian.AppendUint32(packed, event.Prefix)
	case EventFirstToken:
		packed = binary.LittleEndian.AppendUint32(packed, uint32(event.TimeToFirstToken.Microseconds()))
	}
	return packed
}

// UnpackEvents decodes packed events. It returns an error if any of them is malformed.
func UnpackEvents(packed []byte) ([]Event, error) {
	events := make([]Event, 0, len(packed)/firstTokenSize)
	for len(packed) > 0 {
		kind := EventKind(packed[0] &^ longFlag)
		size := packedSize(kind)
		if size == 0 || len(packed) < size {
			return nil, errPackedEvent
		}
		event := Event{Kind: kind, Long: packed[0]&longFlag != 0, Backend: binary.LittleEndian.Uint32(packed[1:]),
			Attempt: binary.LittleEndian.Uint32(packed[5:]), Age: time.Duration(binary.LittleEndian.Uint16(packed[9:])) * time.Millisecond}
		switch kind {
		case EventSent:
			event.Tokens = float64(binary.LittleEndian.Uint32(packed[commonSize:]))
			event.Prefix = binary.LittleEndian.Uint32(packed[commonSize+4:])
		case EventFirstToken:
			event.TimeToFirstToken = time.Duration(binary.LittleEndian.Uint32(packed[commonSize:])) * time.Microsecond
		}
		events = append(events, event)
		packed = packed[size:]
	}
	return events, nil
}

// packedSize returns the size in bytes of an event of a kind, 0 for a kind that this version does not know.
func packedSize(kind EventKind) int {
	switch kind {
	case EventSent:
		return sentSize
	case EventFirstToken:
		return firstTokenSize
	case EventEnded, EventFailed, EventPaused, EventUnreachable:
		return commonSize
	}
	return 0
}
