package routing

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"time"
)

// EventKind says what became of an attempt at a rater.
type EventKind uint8

// The kinds of events.
const (
	EventSent        EventKind = iota + 1 // the request was sent
	EventFirstToken                       // its first token came
	EventEnded                            // it has ended: the rater's slot is free
	EventFailed                           // it has ended without the answer that was asked for
	EventPaused                           // it has ended, and was held up for longer than its route allows
	EventUnreachable                      // no connection to the rater could be made
)

// Event is one step of an attempt, as nodes tell each other. A node learns from the events of all others what it cannot see
// itself: what a rater has to read, how many requests it runs, how fast it answers, and whether it fails.
type Event struct {
	Kind             EventKind
	Backend          uint32        // TagOf the rater's id
	Attempt          uint32        // names the attempt at that rater
	Age              time.Duration // how long ago it was
	Tokens           float64       // Sent: tokens of the prompt that the rater has to read
	Prefix           uint32        // Sent: TagOf the shared part of the prompt, 0 = none
	Long             bool          // Sent, Answered: its end will be told, as it is long after its first token
	TimeToFirstToken time.Duration // Answered: the time to the first token
}

// TagOf shortens an id for events. Two raters with the same tag would be taken for one; of 10,000 that is a chance of one
// in a hundred, and costs some badly placed requests.
func TagOf(id string) uint32 {
	if id == "" {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return max(1, hash.Sum32())
}

// The packed form of an event: kind and flag, rater, attempt, age in milliseconds; then for Sent the tokens and the
// prefix, for Answered the time in microseconds.
const (
	longFlag     = 0x80
	commonSize   = 1 + 4 + 4 + 2
	sentSize     = commonSize + 4 + 4
	answeredSize = commonSize + 4
	maxEventAge  = 1<<16 - 1
)

var errPackedEvent = errors.New("routing: events are not as this version packs them")

// AppendEvent appends the packed form of an event.
func AppendEvent(packed []byte, e Event) []byte {
	head := byte(e.Kind)
	if e.Long {
		head |= longFlag
	}
	packed = append(packed, head)
	packed = binary.LittleEndian.AppendUint32(packed, e.Backend)
	packed = binary.LittleEndian.AppendUint32(packed, e.Attempt)
	packed = binary.LittleEndian.AppendUint16(packed, uint16(min(max(e.Age.Milliseconds(), 0), maxEventAge)))
	switch e.Kind {
	case EventSent:
		packed = binary.LittleEndian.AppendUint32(packed, uint32(e.Tokens))
		packed = binary.LittleEndian.AppendUint32(packed, e.Prefix)
	case EventFirstToken:
		packed = binary.LittleEndian.AppendUint32(packed, uint32(e.TimeToFirstToken.Microseconds()))
	}
	return packed
}

// UnpackEvents reads packed events.
func UnpackEvents(packed []byte) ([]Event, error) {
	events := make([]Event, 0, len(packed)/answeredSize)
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

func packedSize(kind EventKind) int {
	switch kind {
	case EventSent:
		return sentSize
	case EventFirstToken:
		return answeredSize
	case EventEnded, EventFailed, EventPaused, EventUnreachable:
		return commonSize
	}
	return 0
}
