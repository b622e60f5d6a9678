// Package agent serves a host list to the nodes on its machine, in the format of the platform's discovery service:
// a list at an index, and a call that waits for a newer one (a long poll).
//
// The format has two extensions. Each entry names the revision at which it changed, so that a node sees which
// changes belong together. And the response names the origin of the list: its source, since when that has been
// unreachable, and what was confirmed.
//
// A Store holds the list and the last maxChanges changes, at times up to half as many more. A caller that is
// further behind receives the whole list. A Store is safe for use by several goroutines and does no I/O.
package agent

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/entryformat"
)

// maxChanges bounds the history of changes.
const maxChanges = 1 << 14

// Entry is a host and the revision at which it last changed.
type Entry struct {
	entryformat.Entry
	Revision uint64 `json:"revision,omitempty"`
}

// Origin describes the source behind a response.
type Origin struct {
	Source         string  `json:"source"`
	Epoch          string  `json:"epoch"`             // names the numbering that the index belongs to
	UnreachableFor float64 `json:"away_ms,omitempty"` // milliseconds since the last contact; 0 = reachable
	Reason         string  `json:"reason,omitempty"`  // why the source is unreachable
	Confirm        uint64  `json:"confirm,omitempty"` // index up to which held changes are confirmed
	Reread         bool    `json:"looked,omitempty"`  // the list was read again for this response
}

// Response is the body of a response: a snapshot of the list, or the changes since an index.
type Response struct {
	Index     uint64  `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
	Origin    *Origin `json:"origin,omitempty"`
}

// Change holds the hosts that changed at one revision, or the whole list at that revision.
type Change struct {
	Whole    bool
	Epoch    string
	Revision uint64
	Hosts    []dispatch.Host
	Confirm  uint64 // as in Origin; 0 = nothing new was confirmed
}

// Store holds the list.
type Store struct {
	source string

	mu           sync.Mutex
	updated      chan struct{} // closed and replaced on each update
	known        bool
	epoch        string
	index        uint64
	hosts        map[string]entry
	changes      []Entry // sorted by revision
	changesSince uint64  // revision before the first of these changes
	lastContact  float64
	unavailable  bool
	reason       string
	confirm      uint64
	rereads      uint64 // number of requested re-reads that are complete
}

type entry struct {
	dispatch.Host
	revision uint64
}

// NewStore returns a store that has no list yet.
func NewStore(source string) *Store {
	return &Store{source: source, updated: make(chan struct{}), hosts: map[string]entry{}, unavailable: true, reason: "it was not heard yet"}
}

// Apply applies a change. More changes may follow: MarkAvailable reports that the list is up to date.
func (s *Store) Apply(c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known || c.Epoch != s.epoch {
		s.known, s.epoch, s.confirm = true, c.Epoch, 0
		s.changes, s.changesSince = nil, c.Revision
		clear(s.hosts)
		for _, h := range c.Hosts {
			s.hosts[h.Name] = entry{h, c.Revision}
		}
	} else if s.record(c) && c.Revision == s.index {
		// Changes had been missed at a revision that callers already have: they receive the whole list until the
		// next revision.
		s.changes, s.changesSince = nil, s.index+1
	}
	s.index = c.Revision
	if c.Confirm > 0 {
		s.confirm = c.Confirm
	}
	s.notify()
}

// record applies a change to the list and adds the hosts that differ to the history. It reports whether there are
// any.
func (s *Store) record(c Change) (changed bool) {
	hosts := c.Hosts
	if c.Whole {
		removed := maps.Clone(s.hosts)
		for _, h := range hosts {
			delete(removed, h.Name)
		}
		for _, name := range slices.Sorted(maps.Keys(removed)) {
			gone := removed[name].Host
			gone.Status = dispatch.Removed
			hosts = append(hosts[:len(hosts):len(hosts)], gone)
		}
	}
	for _, h := range hosts {
		old, exists := s.hosts[h.Name]
		switch {
		case h.Status == dispatch.Removed:
			delete(s.hosts, h.Name)
		case exists && old.Host == h:
			continue
		default:
			s.hosts[h.Name] = entry{h, c.Revision}
		}
		s.changes = append(s.changes, Entry{entryformat.FromHost(h), c.Revision})
		changed = true
	}
	if excess := len(s.changes) - maxChanges; excess > maxChanges/2 { // trimmed in batches, not for each change
		// Only whole revisions are dropped, so that changesSince is the last one dropped.
		for excess < len(s.changes) && s.changes[excess].Revision == s.changes[excess-1].Revision {
			excess++
		}
		s.changesSince = s.changes[excess-1].Revision
		s.changes = slices.Clone(s.changes[excess:])
	}
	return changed
}

// MarkAvailable records a contact with the source and that the list is up to date.
func (s *Store) MarkAvailable(now float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasUnavailable := s.unavailable
	if s.lastContact, s.unavailable, s.reason = now, false, ""; wasUnavailable {
		s.notify()
	}
}

// MarkUnavailable records that the source is unreachable, and why.
func (s *Store) MarkUnavailable(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasUnavailable := s.unavailable
	if s.unavailable, s.reason = true, reason; !wasUnavailable {
		s.notify()
	}
}

// MarkReread records that the source has read its list again and that the store holds the result.
func (s *Store) MarkReread() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rereads++
	s.notify()
}

// Rereads returns the number of MarkReread calls, and a channel that is closed on the next update.
func (s *Store) Rereads() (uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rereads, s.updated
}

// notify wakes all waiting callers. The lock must be held.
func (s *Store) notify() {
	close(s.updated)
	s.updated = make(chan struct{})
}

// State is the state of a Store.
type State struct {
	Known  bool
	Index  uint64
	Origin Origin
	Hosts  int
	Reason string
}

// State returns the current state.
func (s *Store) State(now float64) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{s.known, s.index, s.origin(now), len(s.hosts), s.reason}
}

func (s *Store) origin(now float64) Origin {
	o := Origin{Source: s.source, Epoch: s.epoch, Reason: s.reason, Confirm: s.confirm}
	if s.unavailable {
		o.UnreachableFor = max(now-s.lastContact, 1)
	}
	return o
}

// Updated returns a channel that is closed on the next update, for a caller that has the list at an index. ready
// reports that the store already holds something that the caller does not have.
func (s *Store) Updated(epoch string, index uint64) (updated <-chan struct{}, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updated, s.known && (epoch != s.epoch || index != s.index)
}

// Response returns the encoded changes since an index, or the whole list. ok is false if there is no list yet.
func (s *Store) Response(now float64, epoch string, index uint64, whole bool) (text []byte, ok bool) {
	s.mu.Lock()
	if !s.known {
		s.mu.Unlock()
		return nil, false
	}
	o := s.origin(now)
	a := Response{Index: s.index, Endpoints: []Entry{}, Origin: &o}
	if a.Snapshot = whole || epoch != s.epoch || index < s.changesSince || index > s.index; a.Snapshot {
		for _, e := range s.hosts {
			a.Endpoints = append(a.Endpoints, Entry{entryformat.FromHost(e.Host), e.revision})
		}
	} else {
		first, _ := slices.BinarySearchFunc(s.changes, index+1, func(e Entry, rev uint64) int { return cmp.Compare(e.Revision, rev) })
		a.Endpoints = append(a.Endpoints, s.changes[first:]...)
	}
	s.mu.Unlock()
	if a.Snapshot {
		slices.SortFunc(a.Endpoints, func(x, y Entry) int { return cmp.Compare(x.Name, y.Name) })
	}
	a.Origin.Reread = whole
	text, err := json.Marshal(a)
	if err != nil {
		panic(err) // cannot happen: plain structs, and numbers that were decoded from JSON
	}
	return text, true
}
