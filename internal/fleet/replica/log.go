package replica

import (
	"errors"

	"github.com/benbjohnson/immutable"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// The bounds of the entries that are kept in memory for members and nodes that are behind.
const (
	mostKept      = 1024
	mostKeptBytes = 2 << 20
)

// errReplaced says that an entry does not follow the state that is there.
var errReplaced = errors.New("replica: the entry does not follow this copy")

// Log is a member's copy of the replicated state: the newest state that it stored, which is at most one order ahead
// of the newest one that it knows to be committed, and the entries that led there, as far as they are kept. It is never
// changed in place.
type Log struct {
	seq       uint64
	state     *operator.State
	committed uint64
	agreed    *operator.State // at committed
	keptAfter Position        // of the state before the first entry that is kept
	kept      *immutable.List[Entry]
	keptBytes int
}

// newLog makes a copy from a snapshot; nil stands for the state before the first order.
func newLog(snapshot *Snapshot) (Log, error) {
	if snapshot == nil {
		return logAt(0, operator.NewState()), nil
	}
	state, err := operator.FromSnapshot(snapshot.State)
	if err != nil {
		return Log{}, err
	}
	return logAt(snapshot.Seq, state), nil
}

// logAt makes a copy that is at a committed state.
func logAt(seq uint64, state *operator.State) Log {
	return Log{seq: seq, state: state, committed: seq, agreed: state, keptAfter: positionOf(seq, state),
		kept: immutable.NewList[Entry]()}
}

// newest is the position of the newest state that is stored.
func (c Log) newest() Position { return positionOf(c.seq, c.state) }

// settled is the position of the newest state that is known to be committed.
func (c Log) settled() Position { return positionOf(c.committed, c.agreed) }

// pending tells whether there is an entry that is not known to be committed.
func (c Log) pending() bool { return c.seq > c.committed }

// holds tells whether the copy is at a position, or was before the entry that is not known to be committed.
func (c Log) holds(at Position) bool { return c.newest() == at || c.settled() == at }

// passes tells whether the committed part of the copy has gone through a committed position.
func (c Log) passes(at Position) bool {
	return c.committed > at.Seq || c.settled() == at
}

// add gives the copy with one more entry. The one before is committed then: an order is handed on only after that.
func (c Log) add(entry Entry) (Log, error) {
	if entry.Seq != c.seq+1 {
		return c, errReplaced
	}
	state, err := c.state.Apply(entry.Order)
	if err != nil {
		return c, err
	}
	if state.History() != entry.History {
		return c, errReplaced
	}
	c = c.commit(c.seq)
	c.seq, c.state = entry.Seq, state
	c.kept = c.kept.Append(entry)
	c.keptBytes += len(entry.Order.Body)
	return c.trim(), nil
}

// trim forgets the oldest entries beyond the bounds, never the newest one.
func (c Log) trim() Log {
	for c.kept.Len() > 1 && (c.kept.Len() > mostKept || c.keptBytes > mostKeptBytes) {
		first := c.kept.Get(0)
		c.keptAfter = first.position()
		c.keptBytes -= len(first.Order.Body)
		c.kept = c.kept.Slice(1, c.kept.Len())
	}
	return c
}

// commit gives the copy with everything up to a place committed. Only the newest entry can be uncommitted.
func (c Log) commit(seq uint64) Log {
	if seq >= c.seq {
		c.committed, c.agreed = c.seq, c.state
	}
	return c
}

// drop gives the copy without the entry that is not known to be committed.
func (c Log) drop() Log {
	if !c.pending() {
		return c
	}
	last := c.kept.Get(c.kept.Len() - 1)
	c.keptBytes -= len(last.Order.Body)
	c.kept = c.kept.Slice(0, c.kept.Len()-1)
	c.seq, c.state = c.committed, c.agreed
	return c
}

// last is the newest entry, if it is kept.
func (c Log) last() (Entry, bool) {
	if c.kept.Len() == 0 {
		return Entry{}, false
	}
	return c.kept.Get(c.kept.Len() - 1), true
}

// index gives the place among the kept entries of the first one after a position of this copy's past.
func (c Log) index(from Position) (int, bool) {
	if from == c.keptAfter {
		return 0, true
	}
	if from.Seq <= c.keptAfter.Seq || from.Seq > c.seq {
		return 0, false
	}
	place := int(from.Seq - c.keptAfter.Seq)
	previous := c.kept.Get(place - 1)
	return place, previous.History == from.History
}

// Entries gives the committed entries after one place up to another, nil where they are not all kept.
func (c Log) Entries(from, to uint64) []Entry {
	if from < c.keptAfter.Seq || to > c.committed || from >= to {
		return nil
	}
	entries := make([]Entry, 0, to-from)
	for place := from - c.keptAfter.Seq; place < to-c.keptAfter.Seq; place++ {
		entries = append(entries, c.kept.Get(int(place)))
	}
	return entries
}
