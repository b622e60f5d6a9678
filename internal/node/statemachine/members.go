package statemachine

import (
	"encoding/json"
	"fmt"
	"maps"
)

// ComponentMembers is the name of the part that holds the members.
const ComponentMembers = "members"

// MaxMembers bounds the members that are known, those that have left included.
const MaxMembers = 256

// Role is what a member does.
type Role string

// The roles. A member learns before it votes; one that has left is known by its number, so that it is turned away should it
// come back.
const (
	Voter   Role = "voter"
	Learner Role = "learner"
	Removed Role = "gone"
)

// Member is a process that keeps copies.
type Member struct {
	ID       uint64 `json:"id"`                 // drawn when its directory was made; never used again
	Name     string `json:"name"`               // of the machine, for people; used anew by a replacement
	Address  string `json:"address"`            // where the others reach it
	Role     Role   `json:"role"`               //
	Replaces uint64 `json:"replaces,omitempty"` // of a learner: whose vote it gets; 0 = one more
	Starts   uint64 `json:"starts"`             // how often it had started, as far as is agreed
	Speaks   int    `json:"speaks,omitempty"`   // the version of the ledger that it knows; 0 = the first, or it is not known yet
}

// Members are the processes that keep copies. Who they are is changed by the entries that the consensus library has for it,
// which carry a Member; how often they started, by commands.
type Members struct {
	list   map[uint64]Member
	raised int // the version up to which operators have said that no member goes back to an older release
}

// Bootstrap makes the ledger that a group begins with.
func Bootstrap(voters []Member, now float64) *Machine {
	l := New()
	l.now, l.members.raised = now, Version
	for _, m := range voters {
		m.Role = Voter
		l.members.list[m.ID] = m
	}
	return l
}

// Alone has a member be the only one, after all others are lost for good.
func (l *Machine) Alone(m Member) {
	for id, other := range l.members.list {
		other.Role, other.Replaces = Removed, 0
		l.members.list[id] = other
	}
	m.Role = Voter
	l.members.list[m.ID] = m
}

// Learns takes a member in that learns.
func (l *Machine) Learns(index uint64, m Member) {
	l.index = index
	m.Role = Learner
	if _, known := l.members.list[m.ID]; !known && len(l.members.list) >= MaxMembers {
		l.members.forget()
	}
	l.members.list[m.ID] = m
}

// forget drops the one of those that have left whose number is the least: it is turned away as a stranger from now on.
func (m *Members) forget() {
	for _, old := range list(m.list) {
		if old.Role == Removed {
			delete(m.list, old.ID)
			return
		}
	}
}

// Votes has a member vote.
func (l *Machine) Votes(index, id uint64) {
	l.index = index
	if m, ok := l.members.list[id]; ok {
		m.Role, m.Replaces = Voter, 0
		l.members.list[id] = m
	}
}

// Leaves takes a member out.
func (l *Machine) Leaves(index, id uint64) {
	l.index = index
	if m, ok := l.members.list[id]; ok {
		m.Role, m.Replaces = Removed, 0
		l.members.list[id] = m
	}
}

// Speaks is the version of the ledger that may be written: all members know it, and operators have said that none goes back.
func (m *Members) Speaks() int { return min(max(1, m.raised), m.Known()) }

// Known is the version of the ledger that all members know.
func (m *Members) Known() int {
	least := Version
	for _, other := range m.list {
		if other.Role != Removed {
			least = min(least, max(1, other.Speaks))
		}
	}
	return least
}

// Get gives a member by number.
func (m *Members) Get(id uint64) (Member, bool) {
	found, ok := m.list[id]
	return found, ok
}

// Named gives the member that bears a name now: a voter before a learner.
func (m *Members) Named(name string) (found Member, ok bool) {
	for _, other := range list(m.list) {
		if other.Name == name && other.Role != Removed && (!ok || other.Role == Voter) {
			found, ok = other, true
		}
	}
	return found, ok
}

// All gives all members, by number.
func (m *Members) All() []Member { return list(m.list) }

// Started is a command of a member's leader: it was seen to have started so often.
type Started struct {
	ID     uint64 `json:"id"`
	Starts uint64 `json:"starts"`
	Speaks int    `json:"speaks,omitempty"`
}

// Raise has a version of the ledger be written from now on, which all members must know.
type Raise struct {
	Raise int `json:"raise"`
}

// raise carries it out.
func (m *Members) raise(r Raise) Reply {
	for _, other := range m.All() {
		if other.Role != Removed && max(1, other.Speaks) < r.Raise {
			return Reply{Code: Conflict, Text: fmt.Sprintf("%s runs a release that knows version %d, not %d", other.Name, max(1, other.Speaks), r.Raise)}
		}
	}
	m.raised = max(m.raised, r.Raise)
	return Reply{Code: OK}
}

// Apply notes how often a member has started.
func (m *Members) Apply(_ uint64, _ float64, _ uint64, body json.RawMessage) Reply {
	var s struct {
		Started
		Raise
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return Reply{Code: Faulty, Text: err.Error()}
	}
	if s.Raise.Raise > 0 {
		return m.raise(s.Raise)
	}
	have, ok := m.list[s.ID]
	if !ok {
		return Reply{Code: Faulty, Text: fmt.Sprintf("%x is no member", s.ID)}
	}
	have.Starts, have.Speaks = max(have.Starts, s.Starts), s.Speaks
	m.list[s.ID] = have
	return Reply{Code: OK}
}

// Query gives all members.
func (m *Members) Query(json.RawMessage) Reply { return Reply{Code: OK, Body: encode(m.All())} }

// Freeze gives what makes the image.
func (m *Members) Freeze() func() (json.RawMessage, error) {
	held := maps.Clone(m.list)
	return func() (json.RawMessage, error) { return json.Marshal(list(held)) }
}

// Load takes an image.
func (m *Members) Load(image json.RawMessage) error {
	var held []Member
	err := json.Unmarshal(image, &held)
	for _, h := range held {
		m.list[h.ID] = h
	}
	return err
}
