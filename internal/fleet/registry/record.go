package registry

import (
	"cmp"
	"time"
)

// State is a backend's lifecycle state.
type State uint8

// The states, in the order of the lifecycle. Of two records with the same sequence number, the later state wins.
const (
	Ready    State = iota
	Draining       // the backend is about to end: no new request may be sent to it
	Removed        // it has ended, or another backend has its address
)

// Record describes one instance of a backend, from one start of its process to its end. The names of the fields are on the wire.
type Record struct {
	ID         string // unique for each start
	Backend    string // name of its service, which the configuration and the wire call a backend
	Address    string // empty where only the deregistration is known
	Zone       string
	Revision   string
	Slots      int // requests that it serves at a time
	State      State
	Late       bool          // overdue: no heartbeat for longer than usual
	Silent     bool          // lost: no heartbeat for so long that the backend counts as gone until the next one
	WarmupLeft time.Duration // of the slow start, at the last heartbeat
	Sequence   int64         // of the last heartbeat
	HeardAgo   time.Duration // age of the last heartbeat when the record was copied
}

func compareRecords(a, b Record) int { return cmp.Compare(a.ID, b.ID) }
