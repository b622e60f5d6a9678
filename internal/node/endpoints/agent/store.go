// Package agent hands the list that a source keeps on to the nodes of its machine, in the form of the platform's
// discovery: a list at an index, and a call that waits for what is newer.
//
// Beyond that form, each entry names the revision at which it changed, so that a node sees which belong together, and the
// answer says where the list comes from, since when nothing has been heard there, and what was confirmed.
//
// A Store holds the list and the last maxChanges changes, half as many more at times; who is further behind gets the whole list. It is safe for use by
// several goroutines and does no I/O.
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

// maxChanges bounds what is kept of the past.
const maxChanges = 1 << 14

// Entry is a host with the revision at which it changed.
type Entry struct {
	entryformat.Entry
	Revision uint64 `json:"revision,omitempty"`
}

// Origin tells of the source behind an answer.
type Origin struct {
	Source         string  `json:"source"`
	Epoch          string  `json:"epoch"`             // whose numbering the index is of
	UnreachableFor float64 `json:"away_ms,omitempty"` // for how long the source has not been heard; 0 = it is there
	Reason         string  `json:"reason,omitempty"`  // why
	Confirm        uint64  `json:"confirm,omitempty"` // the index up to which what was held is meant
	Reread         bool    `json:"looked,omitempty"`  // the list was read anew for this answer
}

// Response is what a call gets.
type Response struct {
	Index     uint64  `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
	Origin    *Origin `json:"origin,omitempty"`
}

// Change is what has changed at one revision, or the whole list at it.
type Change struct {
	Whole    bool
	Epoch    string
	Revision uint64
	Hosts    []dispatch.Host
	Confirm  uint64 // 0 = nothing new was confirmed
}

// Store is the list.
type Store struct {
	source string

	mu           sync.Mutex
	updated      chan struct{} // closed when there is something to tell
	known        bool
	epoch        string
	index        uint64
	hosts        map[string]entry
	changes      []Entry // in order of revision
	changesSince uint64  // the revision that the first of them follows
	lastContact  float64
	unavailable  bool
	reason       string
	confirm      uint64
	rereads      uint64 // how often the list was read anew because that was asked for
}

type entry struct {
	dispatch.Host
	revision uint64
}

// NewStore makes a book that has no list yet.
func NewStore(source string) *Store {
	return &Store{source: source, updated: make(chan struct{}), hosts: map[string]entry{}, unavailable: true, reason: "it was not heard yet"}
}

// Apply takes a change. There may be more to come: MarkAvailable tells when that is all.
func (b *Store) Apply(c Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.known || c.Epoch != b.epoch {
		b.known, b.epoch, b.confirm = true, c.Epoch, 0
		b.changes, b.changesSince = nil, c.Revision
		clear(b.hosts)
		for _, h := range c.Hosts {
			b.hosts[h.Name] = entry{h, c.Revision}
		}
	} else if b.record(c) && c.Revision == b.index {
		// Something had been missed at a revision that callers have come to: they get the whole list until the next one.
		b.changes, b.changesSince = nil, b.index+1
	}
	b.index = c.Revision
	if c.Confirm > 0 {
		b.confirm = c.Confirm
	}
	b.notify()
}

// record takes a change into the list and keeps what it changes. It tells whether that is anything.
func (b *Store) record(c Change) (changed bool) {
	hosts := c.Hosts
	if c.Whole {
		left := maps.Clone(b.hosts)
		for _, h := range hosts {
			delete(left, h.Name)
		}
		for _, name := range slices.Sorted(maps.Keys(left)) {
			gone := left[name].Host
			gone.Status = dispatch.Removed
			hosts = append(hosts[:len(hosts):len(hosts)], gone)
		}
	}
	for _, h := range hosts {
		old, there := b.hosts[h.Name]
		switch {
		case h.Status == dispatch.Removed:
			delete(b.hosts, h.Name)
		case there && old.Host == h:
			continue
		default:
			b.hosts[h.Name] = entry{h, c.Revision}
		}
		b.changes = append(b.changes, Entry{entryformat.FromHost(h), c.Revision})
		changed = true
	}
	if over := len(b.changes) - maxChanges; over > maxChanges/2 { // not for each one
		// Whole revisions go: what is left follows the last of them.
		for over < len(b.changes) && b.changes[over].Revision == b.changes[over-1].Revision {
			over++
		}
		b.changesSince = b.changes[over-1].Revision
		b.changes = slices.Clone(b.changes[over:])
	}
	return changed
}

// MarkAvailable tells that the source was heard at a time.
func (b *Store) MarkAvailable(now float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.unavailable
	if b.lastContact, b.unavailable, b.reason = now, false, ""; was {
		b.notify()
	}
}

// MarkUnavailable tells that the source cannot be asked.
func (b *Store) MarkUnavailable(reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.unavailable
	if b.unavailable, b.reason = true, reason; !was {
		b.notify()
	}
}

// MarkReread tells that the source has read its list anew and that it is as the book has it.
func (b *Store) MarkReread() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rereads++
	b.notify()
}

// Rereads is how often that was, and what is closed when something comes next.
func (b *Store) Rereads() (uint64, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rereads, b.updated
}

func (b *Store) notify() {
	close(b.updated)
	b.updated = make(chan struct{})
}

// State is what a book has come to.
type State struct {
	Known  bool
	Index  uint64
	Origin Origin
	Hosts  int
	Reason string
}

// State tells what the book has come to.
func (b *Store) State(now float64) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{b.known, b.index, b.origin(now), len(b.hosts), b.reason}
}

func (b *Store) origin(now float64) Origin {
	o := Origin{Source: b.source, Epoch: b.epoch, Reason: b.reason, Confirm: b.confirm}
	if b.unavailable {
		o.UnreachableFor = max(now-b.lastContact, 1)
	}
	return o
}

// Updated is closed when there is something to tell that a caller who was told of an index has not heard: ready tells that
// there is already.
func (b *Store) Updated(epoch string, index uint64) (news <-chan struct{}, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.updated, b.known && (epoch != b.epoch || index != b.index)
}

// Response gives what is newer than an index, or the whole list; false if there is none.
func (b *Store) Response(now float64, epoch string, index uint64, whole bool) (text []byte, ok bool) {
	b.mu.Lock()
	if !b.known {
		b.mu.Unlock()
		return nil, false
	}
	o := b.origin(now)
	a := Response{Index: b.index, Endpoints: []Entry{}, Origin: &o}
	if a.Snapshot = whole || epoch != b.epoch || index < b.changesSince || index > b.index; a.Snapshot {
		for _, e := range b.hosts {
			a.Endpoints = append(a.Endpoints, Entry{entryformat.FromHost(e.Host), e.revision})
		}
	} else {
		first, _ := slices.BinarySearchFunc(b.changes, index+1, func(e Entry, rev uint64) int { return cmp.Compare(e.Revision, rev) })
		a.Endpoints = append(a.Endpoints, b.changes[first:]...)
	}
	b.mu.Unlock()
	if a.Snapshot {
		slices.SortFunc(a.Endpoints, func(x, y Entry) int { return cmp.Compare(x.Name, y.Name) })
	}
	a.Origin.Reread = whole
	text, err := json.Marshal(a)
	if err != nil {
		panic(err) // plain structs, and numbers that came from JSON: it cannot fail
	}
	return text, true
}
