// Package registry keeps the raters that registered themselves. It is pure and soft: it is rebuilt from heartbeats, and
// copies in several control processes are merged record by record, the higher sequence number first.
package registry

import (
	"cmp"
	"slices"
	"time"
)

// State is what is known of a rater's life.
type State uint8

// The states, each later one wins over an earlier one of the same sequence number.
const (
	Ready    State = iota
	Draining       // it leaves: nothing new is sent to it
	Removed        // it has left, or its address was taken by another
)

// Record is one rater, that is one start of its process.
type Record struct {
	ID         string
	Backend    string
	Address    string
	Zone       string
	Revision   string
	Slots      int
	State      State
	Late       bool // no heartbeat for longer than usual
	Silent     bool // none for so long that it is taken for lost, until one comes
	WarmupLeft time.Duration
	Sequence   int64
	HeardAgo   time.Duration // when copied: since its last heartbeat
}

// The parts of a heartbeat interval after which a silent rater is late, after which it is taken for lost, and after which it
// is forgotten.
const (
	overdueIntervals = 1.8
	lostIntervals    = 12
	forgetIntervals  = 100
	minChanges       = 64               // that are kept before those that count no more are dropped
	removedTTL       = 30 * time.Second // so long a rater that left is remembered, against late heartbeats
)

type entry struct {
	record        Record
	lastHeartbeat time.Duration
	version       uint64
}

// change is that an entry changed.
type change struct {
	version uint64
	id      string
}

// Registry is one copy.
type Registry struct {
	interval time.Duration
	version  uint64
	entries  map[string]*entry
	changes  []change        // in the order of their versions; only an entry's newest one counts
	updated  map[string]bool // heard since the last call of Fresh
}

// New makes an empty registry for raters that send heartbeats at an interval.
func New(interval time.Duration) *Registry {
	return &Registry{interval: interval, entries: map[string]*entry{}, updated: map[string]bool{}}
}

// Version counts the changes that others want to hear of.
func (r *Registry) Version() uint64 { return r.version }

// Heartbeat takes a heartbeat, and tells whether it changed what others want to hear of.
func (r *Registry) Heartbeat(now time.Duration, record Record) bool {
	record.HeardAgo, record.Late, record.Silent = 0, false, false
	r.updated[record.ID] = true
	return r.upsert(now, record)
}

// Deregister takes the news that a rater ends. It tells whether that is news.
func (r *Registry) Deregister(now time.Duration, id string) bool {
	r.updated[id] = true
	e := r.entries[id]
	if e == nil {
		r.entries[id] = &entry{record: Record{ID: id, State: Removed}, lastHeartbeat: now, version: r.nextVersion(id)}
		return true
	}
	if e.record.State == Removed {
		return false
	}
	e.record.State, e.lastHeartbeat, e.version = Removed, now, r.nextVersion(id)
	return true
}

// Merge takes records of another copy and tells whether anything changed that others want to hear of.
func (r *Registry) Merge(now time.Duration, records []Record) bool {
	changed := false
	for _, record := range records {
		heard := now - record.HeardAgo
		record.HeardAgo = 0
		changed = r.upsert(heard, record) || changed
	}
	return changed
}

// nextVersion gives the version of a change of an entry.
func (r *Registry) nextVersion(id string) uint64 {
	r.version++
	r.changes = append(r.changes, change{r.version, id})
	if len(r.changes) > 2*len(r.entries)+minChanges {
		r.changes = slices.DeleteFunc(r.changes, func(c change) bool {
			e := r.entries[c.id]
			return c.version != r.version && (e == nil || e.version != c.version)
		})
	}
	return r.version
}

func (r *Registry) upsert(lastHeartbeat time.Duration, record Record) bool {
	e := r.entries[record.ID]
	if e == nil {
		record.Late, record.Silent = false, false
		r.entries[record.ID] = &entry{record: record, lastHeartbeat: lastHeartbeat, version: r.nextVersion(record.ID)}
		r.removeDisplaced(&record)
		return true
	}
	if e.record.State == Removed || record.Sequence < e.record.Sequence && record.State <= e.record.State {
		return false
	}
	e.lastHeartbeat = max(e.lastHeartbeat, lastHeartbeat)
	previous := e.record
	state := max(record.State, previous.State) // one that leaves does not come back under the same id
	if record.State == Removed && record.Backend == "" {
		record = previous
	}
	stale := lastHeartbeat < e.lastHeartbeat
	record.State, record.Late, record.Silent = state, previous.Late && stale, previous.Silent && stale
	record.Sequence = max(record.Sequence, previous.Sequence)
	e.record = record
	unchanged := previous.State == record.State && previous.Address == record.Address && previous.Backend == record.Backend &&
		previous.Late == record.Late && previous.Silent == record.Silent && previous.Slots == record.Slots && (previous.WarmupLeft > 0) == (record.WarmupLeft > 0)
	if unchanged {
		return false
	}
	e.version = r.nextVersion(record.ID)
	return true
}

// removeDisplaced notes that the raters that had an address before have gone.
func (r *Registry) removeDisplaced(newcomer *Record) {
	if newcomer.State != Ready {
		return
	}
	for _, e := range r.entries {
		if e.record.Address == newcomer.Address && e.record.ID != newcomer.ID && e.record.State != Removed && newcomer.Address != "" {
			e.record.State, e.version = Removed, r.nextVersion(e.record.ID)
		}
	}
}

// Expire notes raters that have been silent for too long and forgets those that left long ago. It tells whether anything
// changed that others want to hear of.
func (r *Registry) Expire(now time.Duration) bool {
	before := r.version
	for id, e := range r.entries {
		silent := now - e.lastHeartbeat
		switch {
		case e.record.State == Removed:
			if silent > removedTTL+lostIntervals*r.interval {
				delete(r.entries, id)
			}
		case silent > forgetIntervals*r.interval: // other copies may have heard it: that it left is not to be told
			delete(r.entries, id)
		case silent > lostIntervals*r.interval:
			r.setOverdue(e, true, true)
		case silent > time.Duration(overdueIntervals*float64(r.interval)):
			r.setOverdue(e, true, false)
		default:
			r.setOverdue(e, false, false)
		}
	}
	return r.version != before
}

// setOverdue notes how long a rater has been silent. A silent one that is heard again is as before.
func (r *Registry) setOverdue(e *entry, late, silent bool) {
	if e.record.Late == late && e.record.Silent == silent {
		return
	}
	e.record.Late, e.record.Silent, e.version = late, silent, r.nextVersion(e.record.ID)
}

// Unresponsive gives the ids of the raters that are late or silent.
func (r *Registry) Unresponsive() (late, silent []string) {
	for id, e := range r.entries {
		switch {
		case e.record.State == Removed:
		case e.record.Silent:
			silent = append(silent, id)
		case e.record.Late:
			late = append(late, id)
		}
	}
	slices.Sort(late)
	slices.Sort(silent)
	return late, silent
}

// ChangedSince gives the records that changed after a version, in the order of their ids.
func (r *Registry) ChangedSince(now time.Duration, version uint64) []Record {
	first, _ := slices.BinarySearchFunc(r.changes, version, func(c change, version uint64) int {
		return cmp.Compare(c.version, version+1)
	})
	var records []Record
	for _, c := range r.changes[first:] {
		if e := r.entries[c.id]; e != nil && e.version == c.version {
			records = append(records, e.snapshot(now))
		}
	}
	slices.SortFunc(records, compareRecords)
	return records
}

// DrainUpdates gives the records that were heard from here since the last call.
func (r *Registry) DrainUpdates(now time.Duration) []Record {
	records := make([]Record, 0, len(r.updated))
	for id := range r.updated {
		if e := r.entries[id]; e != nil {
			records = append(records, e.snapshot(now))
		}
	}
	clear(r.updated)
	slices.SortFunc(records, compareRecords)
	return records
}

// Size is the number of raters that are known.
func (r *Registry) Size() int { return len(r.entries) }

// Get gives one record.
func (r *Registry) Get(now time.Duration, id string) (Record, bool) {
	e := r.entries[id]
	if e == nil {
		return Record{}, false
	}
	return e.snapshot(now), true
}

func (e *entry) snapshot(now time.Duration) Record {
	record := e.record
	record.HeardAgo = max(0, now-e.lastHeartbeat)
	return record
}

func compareRecords(a, b Record) int { return cmp.Compare(a.ID, b.ID) }
