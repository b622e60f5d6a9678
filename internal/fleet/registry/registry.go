// Package registry keeps the raters that registered themselves. It is pure and soft: it is rebuilt from heartbeats, and
// copies in several control processes are merged record by record, the higher sequence number first.
package registry

import (
	"slices"
	"time"
)

// State is what is known of a rater's life.
type State uint8

// The states, each later one wins over an earlier one of the same sequence number.
const (
	Ready    State = iota
	Draining       // it leaves: nothing new is sent to it
	Gone           // it has left, or its address was taken by another
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
	WarmupLeft time.Duration
	Sequence   int64
	HeardAgo   time.Duration // when copied: since its last heartbeat
}

// The parts of a heartbeat interval after which a silent rater is late, and after which it is dropped.
const (
	lateIntervals = 1.8
	goneIntervals = 12
	goneKept      = 30 * time.Second // so long a rater that left is remembered, against late heartbeats
)

type entry struct {
	record  Record
	heard   time.Duration
	version uint64
}

// Registry is one copy.
type Registry struct {
	interval time.Duration
	version  uint64
	entries  map[string]*entry
	fresh    map[string]bool // heard since the last call of Fresh
}

// New makes an empty registry for raters that send heartbeats at an interval.
func New(interval time.Duration) *Registry {
	return &Registry{interval: interval, entries: map[string]*entry{}, fresh: map[string]bool{}}
}

// Version counts the changes that others want to hear of.
func (r *Registry) Version() uint64 { return r.version }

// Heartbeat takes a heartbeat, and tells whether it changed what others want to hear of.
func (r *Registry) Heartbeat(now time.Duration, record Record) bool {
	record.HeardAgo, record.Late = 0, false
	r.fresh[record.ID] = true
	return r.put(now, record)
}

// Leave takes the news that a rater ends. It tells whether that is news.
func (r *Registry) Leave(now time.Duration, id string) bool {
	r.fresh[id] = true
	e := r.entries[id]
	if e == nil {
		r.entries[id] = &entry{record: Record{ID: id, State: Gone}, heard: now, version: r.next()}
		return true
	}
	if e.record.State == Gone {
		return false
	}
	e.record.State, e.heard, e.version = Gone, now, r.next()
	return true
}

// Merge takes records of another copy and tells whether anything changed that others want to hear of.
func (r *Registry) Merge(now time.Duration, records []Record) bool {
	changed := false
	for _, record := range records {
		heard := now - record.HeardAgo
		record.HeardAgo = 0
		changed = r.put(heard, record) || changed
	}
	return changed
}

func (r *Registry) next() uint64 {
	r.version++
	return r.version
}

func (r *Registry) put(heard time.Duration, record Record) bool {
	e := r.entries[record.ID]
	if e == nil {
		record.Late = false
		r.entries[record.ID] = &entry{record: record, heard: heard, version: r.next()}
		r.displace(&record)
		return true
	}
	if e.record.State == Gone || record.Sequence < e.record.Sequence && record.State <= e.record.State {
		return false
	}
	e.heard = max(e.heard, heard)
	was := e.record
	state := max(record.State, was.State) // one that leaves does not come back under the same id
	if record.State == Gone && record.Backend == "" {
		record = was
	}
	record.State, record.Late = state, was.Late && heard < e.heard
	record.Sequence = max(record.Sequence, was.Sequence)
	e.record = record
	same := was.State == record.State && was.Address == record.Address && was.Backend == record.Backend &&
		was.Late == record.Late && was.Slots == record.Slots && (was.WarmupLeft > 0) == (record.WarmupLeft > 0)
	if same {
		return false
	}
	e.version = r.next()
	return true
}

// displace notes that the raters that had an address before have gone.
func (r *Registry) displace(newcomer *Record) {
	if newcomer.State != Ready {
		return
	}
	for _, e := range r.entries {
		if e.record.Address == newcomer.Address && e.record.ID != newcomer.ID && e.record.State != Gone && newcomer.Address != "" {
			e.record.State, e.version = Gone, r.next()
		}
	}
}

// Expire notes raters that have been silent for too long and forgets those that left long ago. It tells whether anything
// changed that others want to hear of.
func (r *Registry) Expire(now time.Duration) bool {
	before := r.version
	for id, e := range r.entries {
		silent := now - e.heard
		switch {
		case e.record.State == Gone:
			if silent > goneKept+goneIntervals*r.interval {
				delete(r.entries, id)
			}
		case silent > goneIntervals*r.interval:
			e.record.State, e.version = Gone, r.next()
		case silent > time.Duration(lateIntervals*float64(r.interval)) && !e.record.Late:
			e.record.Late, e.version = true, r.next()
		case e.record.Late && silent <= r.interval:
			e.record.Late, e.version = false, r.next()
		}
	}
	return r.version != before
}

// Since gives the records that changed after a version, in the order of their ids.
func (r *Registry) Since(now time.Duration, version uint64) []Record {
	var records []Record
	for _, e := range r.entries {
		if e.version > version {
			records = append(records, e.copy(now))
		}
	}
	slices.SortFunc(records, compareRecords)
	return records
}

// Fresh gives the records that were heard from here since the last call.
func (r *Registry) Fresh(now time.Duration) []Record {
	records := make([]Record, 0, len(r.fresh))
	for id := range r.fresh {
		if e := r.entries[id]; e != nil {
			records = append(records, e.copy(now))
		}
	}
	clear(r.fresh)
	slices.SortFunc(records, compareRecords)
	return records
}

// One gives one record.
func (r *Registry) One(now time.Duration, id string) (Record, bool) {
	e := r.entries[id]
	if e == nil {
		return Record{}, false
	}
	return e.copy(now), true
}

func (e *entry) copy(now time.Duration) Record {
	record := e.record
	record.HeardAgo = max(0, now-e.heard)
	return record
}

func compareRecords(a, b Record) int {
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	}
	return 0
}
