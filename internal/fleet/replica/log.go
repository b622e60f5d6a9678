package replica

import (
	"errors"

	"github.com/benbjohnson/immutable"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// The bounds of the entries that are kept in memory for members and nodes that are behind.
const (
	maxEntries    = 1024
	maxEntryBytes = 2 << 20
)

// errDiverged says that an entry does not follow the state that is there.
var errDiverged = errors.New("replica: the entry does not follow this copy")

// Log is a member's copy of the replicated state: the newest state that it stored, which is at most one order ahead
// of the newest one that it knows to be committed, and the entries that led there, as far as they are kept. It is never
// changed in place.
type Log struct {
	seq            uint64
	state          *operator.State
	committed      uint64
	committedState *operator.State // at committed
	basePosition   Position        // of the state before the first entry that is kept
	entries        *immutable.List[Entry]
	entryBytes     int
}

// newLog makes a copy from a snapshot; nil stands for the state before the first order.
func newLog(snapshot *Snapshot) (Log, error) {
	if snapshot == nil {
		return newLogAt(0, operator.NewState()), nil
	}
	state, err := operator.FromSnapshot(snapshot.State)
	if err != nil {
		return Log{}, err
	}
	return newLogAt(snapshot.Seq, state), nil
}

// newLogAt makes a copy that is at a committed state.
func newLogAt(seq uint64, state *operator.State) Log {
	return Log{seq: seq, state: state, committed: seq, committedState: state, basePosition: positionOf(seq, state),
		entries: immutable.NewList[Entry]()}
}

// lastPosition is the position of the newest state that is stored.
func (c Log) lastPosition() Position { return positionOf(c.seq, c.state) }

// committedPosition is the position of the newest state that is known to be committed.
func (c Log) committedPosition() Position { return positionOf(c.committed, c.committedState) }

// hasPending tells whether there is an entry that is not known to be committed.
func (c Log) hasPending() bool { return c.seq > c.committed }

// hasPosition tells whether the copy is at a position, or was before the entry that is not known to be committed.
func (c Log) hasPosition(at Position) bool {
	return c.lastPosition() == at || c.committedPosition() == at
}

// passedThrough tells whether the committed part of the copy has gone through a committed position.
func (c Log) passedThrough(at Position) bool {
	return c.committed > at.Seq || c.committedPosition() == at
}

// withEntry gives the copy with one more entry. The one before is committed then: an order is handed on only after that.
func (c Log) withEntry(entry Entry) (Log, error) {
	if entry.Seq != c.seq+1 {
		return c, errDiverged
	}
	state, err := c.state.Apply(entry.Order)
	if err != nil {
		return c, err
	}
	if state.History() != entry.History {
		return c, errDiverged
	}
	c = c.withCommitted(c.seq)
	c.seq, c.state = entry.Seq, state
	c.entries = c.entries.Append(entry)
	c.entryBytes += len(entry.Order.Body)
	return c.trim(), nil
}

// trim forgets the oldest entries beyond the bounds, never the newest one.
func (c Log) trim() Log {
	for c.entries.Len() > 1 && (c.entries.Len() > maxEntries || c.entryBytes > maxEntryBytes) {
		first := c.entries.Get(0)
		c.basePosition = first.position()
		c.entryBytes -= len(first.Order.Body)
		c.entries = c.entries.Slice(1, c.entries.Len())
	}
	return c
}

// withCommitted gives the copy with everything up to a place committed. Only the newest entry can be uncommitted.
func (c Log) withCommitted(seq uint64) Log {
	if seq >= c.seq {
		c.committed, c.committedState = c.seq, c.state
	}
	return c
}

// withoutPending gives the copy without the entry that is not known to be committed.
func (c Log) withoutPending() Log {
	if !c.hasPending() {
		return c
	}
	last := c.entries.Get(c.entries.Len() - 1)
	c.entryBytes -= len(last.Order.Body)
	c.entries = c.entries.Slice(0, c.entries.Len()-1)
	c.seq, c.state = c.committed, c.committedState
	return c
}

// lastEntry is the newest entry, if it is kept.
func (c Log) lastEntry() (Entry, bool) {
	if c.entries.Len() == 0 {
		return Entry{}, false
	}
	return c.entries.Get(c.entries.Len() - 1), true
}

// indexAfter gives the place among the kept entries of the first one after a position of this copy's past.
func (c Log) indexAfter(from Position) (int, bool) {
	if from == c.basePosition {
		return 0, true
	}
	if from.Seq <= c.basePosition.Seq || from.Seq > c.seq {
		return 0, false
	}
	place := int(from.Seq - c.basePosition.Seq)
	previous := c.entries.Get(place - 1)
	return place, previous.History == from.History
}

// Entries gives the committed entries after one place up to another, nil where they are not all kept.
func (c Log) Entries(from, to uint64) []Entry {
	if from < c.basePosition.Seq || to > c.committed || from >= to {
		return nil
	}
	entries := make([]Entry, 0, to-from)
	for place := from - c.basePosition.Seq; place < to-c.basePosition.Seq; place++ {
		entries = append(entries, c.entries.Get(int(place)))
	}
	return entries
}
