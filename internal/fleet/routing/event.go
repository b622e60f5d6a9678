package routing

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"time"
)

// errPackedEvent says that bytes are no events, or events of another version.
var errPackedEvent = errors.New("routing: events are not as this version packs them")

// EventKind says what happened to an attempt. Its numbers are on the wire.
type EventKind uint8

// The kinds of events.
const (
	EventSent        EventKind = iota + 1 // the request was sent to the backend
	EventFirstToken                       // the first token of its response has come
	EventEnded                            // it has ended and holds no slot of the backend any more
	EventFailed                           // it has ended in a way that counts against the backend
	EventPaused                           // it has ended, and paused for longer than its route allows
	EventUnreachable                      // no connection to the backend could be made
)

// Event is one step of an attempt, as nodes report it to each other. A node learns from the events of all others what it cannot
// see itself: what a backend has to prefill, how many requests it runs, how fast it responds, and whether it fails.
type Event struct {
	Kind             EventKind
	Backend          uint32        // TagOf the backend's id
	Attempt          uint32        // names the attempt at that backend
	Age              time.Duration // how long ago it happened
	Tokens           float64       // EventSent: tokens of the prompt that the backend has to prefill
	Prefix           uint32        // EventSent: TagOf the prompt's prefix, 0 = none
	Long             bool          // EventSent, EventFirstToken: an event of its end will follow, as that is long after its first token
	TimeToFirstToken time.Duration // EventFirstToken: since the request was sent
}

// TagOf shortens an id for events; it returns 0 for "" only. Two backends with the same tag would be taken for one: among 10,000
// that has a chance of one in a hundred, and costs some badly picked backends.
func TagOf(id string) uint32 {
	if id == "" {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return max(1, hash.Sum32())
}

// The packed form of an event, in bytes, little-endian: kind and flag, backend, attempt, age in milliseconds; then for EventSent
// the tokens and the prefix, for EventFirstToken the time in microseconds.
const (
	longFlag       = 0x80
	commonSize     = 1 + 4 + 4 + 2
	sentSize       = commonSize + 4 + 4
	firstTokenSize = commonSize + 4
	maxEventAge    = 1<<16 - 1 // milliseconds
)

// AppendEvent appends the packed form of an event. Numbers that do not fit are cut: ages saturate at maxEventAge.
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

// UnpackEvents reads packed events. It returns an error where any of them is not well formed.
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

// packedSize returns the bytes of an event of a kind, 0 for a kind that this version does not know.
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
