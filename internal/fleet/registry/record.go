package registry

import (
	"cmp"
	"fmt"
	"time"
)

// State is a backend's lifecycle state.
type State uint8

// Lifecycle states, in order. Of two records with the same sequence number, the later state wins.
const (
	Ready    State = iota
	Draining       // the backend is about to exit: no new request may be sent to it
	Removed        // the backend has exited, or another backend has its address
)

// String returns the state's name in the log.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Removed:
		return "removed"
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Record describes one backend instance: one run of its process. The field names are part of the wire format.
type Record struct {
	ID         string // unique for each start of the process
	Backend    string // name of the instance's service; the configuration and the wire format call a service a backend
	Address    string // empty if only the deregistration is known
	Zone       string
	Revision   string
	Slots      int // number of requests that the instance serves concurrently
	State      State
	Late       bool          // overdue: no heartbeat for overdueIntervals
	Silent     bool          // lost: no heartbeat for lostIntervals; the backend counts as gone until its next heartbeat
	WarmupLeft time.Duration // remaining slow start at the last heartbeat
	Sequence   int64         // of the last heartbeat
	HeardAgo   time.Duration // age of the last heartbeat when the record was copied
}

func compareRecords(a, b Record) int { return cmp.Compare(a.ID, b.ID) }
