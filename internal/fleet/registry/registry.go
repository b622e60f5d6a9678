// Package registry keeps the backends that have registered with the control plane. It is pure: time is an
// argument, and nothing is stored or sent. Its state is soft state, rebuilt from heartbeats.
//
// Each control process has a replica. Records of other replicas are merged one by one, by Join: the higher sequence
// number wins, and the lifecycle only moves forward, so that a draining or removed backend never becomes ready again
// under the same ID. Therefore the result does not depend on the order of the merges.
package registry

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the expiry of records, in heartbeat intervals without a heartbeat unless noted otherwise.
const (
	overdueIntervals = 1.8 // after which a backend is overdue
	lostIntervals    = 12  // after which it counts as lost
	forgetIntervals  = 100 // after which its record is dropped
	removedTTL       = 30 * time.Second
	minChanges       = 64 // changes that are always retained before superseded ones are dropped
)

// Registry is one replica of the registry. It is not safe for concurrent use.
type Registry struct {
	interval time.Duration // between a backend's heartbeats
	version  uint64
	entries  map[string]*entry // by ID
	changes  []change          // ordered by version; only the newest change of each entry is relevant
	updated  map[string]bool   // IDs with a heartbeat or deregistration since the last DrainUpdates
}

// entry is a record with this replica's metadata about it.
type entry struct {
	record        Record
	lastHeartbeat time.Duration // by this replica's clock
	version       uint64        // of the entry's newest change
}

// change records that an entry changed.
type change struct {
	version uint64
	id      string
}

// New returns an empty registry for backends that send heartbeats at the given interval.
func New(interval time.Duration) *Registry {
	return &Registry{interval: interval, entries: map[string]*entry{}, updated: map[string]bool{}}
}

// Version returns the number of changes so far. A heartbeat that changes only its age and sequence number does not
// count as a change.
func (r *Registry) Version() uint64 { return r.version }

// Size returns the number of records, including those of removed backends.
func (r *Registry) Size() int { return len(r.entries) }

// Get returns the record with an ID, and whether there is one.
func (r *Registry) Get(now time.Duration, id string) (Record, bool) {
	e := r.entries[id]
	if e == nil {
		return Record{}, false
	}
	return e.snapshot(now), true
}

// Heartbeat applies a heartbeat that a backend sent to this replica. It reports whether that counts as a change (see
// Version).
func (r *Registry) Heartbeat(now time.Duration, record Record) bool {
	record.HeardAgo, record.Late, record.Silent = 0, false, false
	r.updated[record.ID] = true
	return r.upsert(now, record)
}

// Deregister marks a backend as removed, even if no heartbeat from it was ever received. It reports whether that
// changed the registry.
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

// Merge applies records of another replica. It reports whether any of them counts as a change.
func (r *Registry) Merge(now time.Duration, records []Record) bool {
	changed := false
	for _, record := range records {
		lastHeartbeat := now - max(0, record.HeardAgo)
		record.HeardAgo = 0
		changed = r.upsert(lastHeartbeat, record) || changed
	}
	return changed
}

// nextVersion appends a change of an entry and returns its version. Superseded changes are dropped once they are
// the majority.
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

// upsert applies a record unless it is older than the known one. It reports whether that counts as a change (see
// Version).
func (r *Registry) upsert(lastHeartbeat time.Duration, record Record) bool {
	e := r.entries[record.ID]
	if e == nil {
		record.Late, record.Silent = false, false
		added := &entry{record: record, lastHeartbeat: lastHeartbeat, version: r.nextVersion(record.ID)}
		r.entries[record.ID] = added
		r.removePredecessors(added)
		return true
	}
	if e.record.State == Removed || record.Sequence < e.record.Sequence && record.State <= e.record.State {
		return false
	}
	e.lastHeartbeat = max(e.lastHeartbeat, lastHeartbeat)
	previous := e.record
	record = Join(previous, record)
	// Each replica decides for itself whether a backend is overdue. Only a newer heartbeat clears that state; the
	// state in another replica's record is ignored.
	stale := lastHeartbeat < e.lastHeartbeat
	record.Late, record.Silent = previous.Late && stale, previous.Silent && stale
	e.record = record
	unchanged := previous.State == record.State && previous.Address == record.Address && previous.Backend == record.Backend &&
		previous.Late == record.Late && previous.Silent == record.Silent && previous.Slots == record.Slots &&
		(previous.WarmupLeft > 0) == (record.WarmupLeft > 0)
	if unchanged {
		return false
	}
	e.version = r.nextVersion(record.ID)
	return true
}

// removePredecessors marks as removed all backends but one with the address of a backend that has just become known, because an
// address belongs to only one process at a time. The one that was heard from last keeps it: another replica may tell of a
// predecessor after its successor.
func (r *Registry) removePredecessors(added *entry) {
	if added.record.State != Ready || added.record.Address == "" {
		return
	}
	for _, e := range r.entries {
		switch {
		case e == added || e.record.Address != added.record.Address || e.record.State == Removed:
		case e.lastHeartbeat > added.lastHeartbeat:
			added.record.State = Removed
		default:
			e.record.State, e.version = Removed, r.nextVersion(e.record.ID)
		}
	}
}

// Expire marks backends as overdue or lost and drops expired records. It reports whether the registry's version
// changed.
func (r *Registry) Expire(now time.Duration) bool {
	before := r.version
	for id, e := range r.entries {
		age := now - e.lastHeartbeat
		switch {
		case e.record.State == Removed:
			// The record is kept for a further removedTTL, so that a delayed heartbeat does not revive the backend.
			if age > removedTTL+lostIntervals*r.interval {
				delete(r.entries, id)
			}
		case age > forgetIntervals*r.interval:
			// This is not counted as a change: another replica may still receive the backend's heartbeats and must
			// not see a removal from this one.
			delete(r.entries, id)
		case age > lostIntervals*r.interval:
			r.setOverdue(e, true, true)
		case age > time.Duration(overdueIntervals*float64(r.interval)):
			r.setOverdue(e, true, false)
		default:
			r.setOverdue(e, false, false)
		}
	}
	return r.version != before
}

func (r *Registry) setOverdue(e *entry, overdue, lost bool) {
	if e.record.Late == overdue && e.record.Silent == lost {
		return
	}
	e.record.Late, e.record.Silent, e.version = overdue, lost, r.nextVersion(e.record.ID)
}

// Unresponsive returns the IDs of the backends that are overdue and of those that are lost, each sorted.
func (r *Registry) Unresponsive() (overdue, lost []string) {
	for id, e := range r.entries {
		switch {
		case e.record.State == Removed:
		case e.record.Silent:
			lost = append(lost, id)
		case e.record.Late:
			overdue = append(overdue, id)
		}
	}
	slices.Sort(overdue)
	slices.Sort(lost)
	return overdue, lost
}

// ChangedSince returns the records that changed after a version, sorted by ID.
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

// DrainUpdates returns the records whose backends have called this replica since the last DrainUpdates, sorted by
// ID. It includes heartbeats that changed nothing, because the other replicas need their age.
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

// snapshot returns a copy of the record with the age of its last heartbeat.
func (e *entry) snapshot(now time.Duration) Record {
	record := e.record
	record.HeardAgo = max(0, now-e.lastHeartbeat)
	return record
}
