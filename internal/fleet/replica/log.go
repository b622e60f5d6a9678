package replica

import (
	"errors"

	"github.com/benbjohnson/immutable"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// errDiverged means that an entry does not follow the state to which it would be applied.
var errDiverged = errors.New("replica: the entry does not follow this log")

// Limits on the entries that are kept in memory for members and data nodes that are behind.
const (
	maxEntries    = 1024
	maxEntryBytes = 2 << 20
)

// Log is a member's replica of the replicated state: the last state that the member stored, which is at most one
// order ahead of the last state that it knows to be committed, and the most recent entries that led there. Log is
// immutable: methods that change it return a new value.
type Log struct {
	seq            uint64
	state          *operator.State
	committed      uint64
	committedState *operator.State
	basePosition   Position // of the state before the first of entries
	entries        *immutable.List[Entry]
	entryBytes     int // total size of the order bodies in entries
}

// newLog returns a log that begins with a snapshot; nil stands for the state before the first order.
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

// newLogAt returns a log without entries at a committed state.
func newLogAt(seq uint64, state *operator.State) Log {
	return Log{seq: seq, state: state, committed: seq, committedState: state, basePosition: positionOf(seq, state),
		entries: immutable.NewList[Entry]()}
}

// lastPosition returns the position of the last stored state.
func (l Log) lastPosition() Position { return positionOf(l.seq, l.state) }

// committedPosition returns the position of the last state known to be committed.
func (l Log) committedPosition() Position { return positionOf(l.committed, l.committedState) }

// hasPending reports whether the last entry is not known to be committed.
func (l Log) hasPending() bool { return l.seq > l.committed }

// hasPosition reports whether the log ends at a position, with or without the entry that is not known to be
// committed.
func (l Log) hasPosition(position Position) bool {
	return l.lastPosition() == position || l.committedPosition() == position
}

// passedThrough reports whether the committed part of the log contains a committed position.
func (l Log) passedThrough(position Position) bool {
	return l.committed > position.Seq || l.committedPosition() == position
}

// withEntry returns the log with one more entry and everything before it committed: an order is forwarded only
// after its predecessor is committed. It returns errDiverged if the entry does not follow the log, or the reason
// why the order cannot be applied.
func (l Log) withEntry(entry Entry) (Log, error) {
	if entry.Seq != l.seq+1 {
		return l, errDiverged
	}
	state, err := l.state.Apply(entry.Order)
	if err != nil {
		return l, err
	}
	if state.History() != entry.History {
		return l, errDiverged
	}
	l = l.withCommitted(l.seq)
	l.seq, l.state = entry.Seq, state
	l.entries = l.entries.Append(entry)
	l.entryBytes += len(entry.Order.Body)
	return l.trimmed(), nil
}

// trimmed returns the log without the oldest entries that exceed the limits. The last entry is always kept.
func (l Log) trimmed() Log {
	for l.entries.Len() > 1 && (l.entries.Len() > maxEntries || l.entryBytes > maxEntryBytes) {
		first := l.entries.Get(0)
		l.basePosition = first.position()
		l.entryBytes -= len(first.Order.Body)
		l.entries = l.entries.Slice(1, l.entries.Len())
	}
	return l
}

// withCommitted returns the log with every entry up to index seq committed. Only the last entry can be
// uncommitted.
func (l Log) withCommitted(seq uint64) Log {
	if seq >= l.seq {
		l.committed, l.committedState = l.seq, l.state
	}
	return l
}

// withoutPending returns the log without the entry that is not known to be committed, if there is one.
func (l Log) withoutPending() Log {
	if !l.hasPending() {
		return l
	}
	last := l.entries.Get(l.entries.Len() - 1)
	l.entryBytes -= len(last.Order.Body)
	l.entries = l.entries.Slice(0, l.entries.Len()-1)
	l.seq, l.state = l.committed, l.committedState
	return l
}

// lastEntry returns the last entry if it is in memory.
func (l Log) lastEntry() (Entry, bool) {
	if l.entries.Len() == 0 {
		return Entry{}, false
	}
	return l.entries.Get(l.entries.Len() - 1), true
}

// indexAfter returns the index in entries of the first entry after a position. It reports whether the log contains
// that position and all entries after it are in memory.
func (l Log) indexAfter(position Position) (int, bool) {
	if position == l.basePosition {
		return 0, true
	}
	if position.Seq <= l.basePosition.Seq || position.Seq > l.seq {
		return 0, false
	}
	index := int(position.Seq - l.basePosition.Seq)
	previous := l.entries.Get(index - 1)
	return index, previous.History == position.History
}

// batch returns consecutive entries, beginning at index first of entries and ending at most with the entry
// lastSeq. It returns as many as fit into maxBytes of order bodies, but at least one.
func (l Log) batch(first int, lastSeq uint64, maxBytes int) []Entry {
	var batch []Entry
	size := 0
	for i := first; i < l.entries.Len(); i++ {
		entry := l.entries.Get(i)
		size += len(entry.Order.Body)
		if entry.Seq > lastSeq || len(batch) > 0 && size > maxBytes {
			break
		}
		batch = append(batch, entry)
	}
	return batch
}

// Entries returns the committed entries with indexes in (from, to], nil if not all of them are in memory.
func (l Log) Entries(from, to uint64) []Entry {
	if from < l.basePosition.Seq || to > l.committed || from >= to {
		return nil
	}
	entries := make([]Entry, 0, to-from)
	for i := from - l.basePosition.Seq; i < to-l.basePosition.Seq; i++ {
		entries = append(entries, l.entries.Get(int(i)))
	}
	return entries
}
