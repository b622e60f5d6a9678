package statemachine

import (
	"encoding/json"
	"fmt"
	"maps"
)

// ComponentMembers is the name of the component that holds the membership.
const ComponentMembers = "members"

// MaxMembers is the maximum number of known members, including removed ones.
const MaxMembers = 256

// Role is the role of a member.
type Role string

// The roles. A member is a learner before it becomes a voter. A removed member remains known by its ID, so that it
// is rejected if it comes back.
const (
	Voter   Role = "voter"
	Learner Role = "learner"
	Removed Role = "gone"
)

// Member is a process that holds a replica of the log.
type Member struct {
	ID           uint64 `json:"id"`                 // random, drawn when its directory was created; never reused
	Name         string `json:"name"`               // of the machine; a replacement has the same name
	Address      string `json:"address"`            // at which the other members connect to it
	Role         Role   `json:"role"`               //
	Replaces     uint64 `json:"replaces,omitempty"` // of a learner: ID of the voter that it replaces; 0 = it is an additional member
	Starts       uint64 `json:"starts"`             // number of starts, as committed
	ReadsVersion int    `json:"speaks,omitempty"`   // newest Version that its release reads; 0 = the first, or unknown
}

// Members is the component that holds the membership. The set of members and their roles are changed by the
// consensus library's own entries (Machine.AddLearner, PromoteLearner, RemoveMember), the other properties of a
// member by commands.
type Members struct {
	byID          map[uint64]Member
	raisedVersion int // operators have confirmed that no member will be downgraded to a release that does not read this version
}

// Bootstrap returns the initial machine of a cluster. now is the cluster time, in ms.
func Bootstrap(voters []Member, now float64) *Machine {
	machine := New()
	machine.now, machine.members.raisedVersion = now, Version
	for _, m := range voters {
		m.Role = Voter
		machine.members.byID[m.ID] = m
	}
	return machine
}

// MakeSoleMember makes a member the only one, after a majority of the others has been permanently lost.
func (m *Machine) MakeSoleMember(member Member) {
	for id, other := range m.members.byID {
		other.Role, other.Replaces = Removed, 0
		m.members.byID[id] = other
	}
	member.Role = Voter
	m.members.byID[member.ID] = member
}

// AddLearner applies the entry that adds a member as a learner.
func (m *Machine) AddLearner(index uint64, member Member) {
	m.index = index
	member.Role = Learner
	if _, known := m.members.byID[member.ID]; !known && len(m.members.byID) >= MaxMembers {
		m.members.evictRemovedMember()
	}
	m.members.byID[member.ID] = member
}

// evictRemovedMember drops the removed member with the lowest ID. If it comes back, it is rejected as unknown.
func (m *Members) evictRemovedMember() {
	for _, member := range m.All() {
		if member.Role == Removed {
			delete(m.byID, member.ID)
			return
		}
	}
}

// PromoteLearner applies the entry that makes a learner a voter.
func (m *Machine) PromoteLearner(index, id uint64) { m.setRole(index, id, Voter) }

// RemoveMember applies the entry that removes a member.
func (m *Machine) RemoveMember(index, id uint64) { m.setRole(index, id, Removed) }

func (m *Machine) setRole(index, id uint64, role Role) {
	m.index = index
	if member, ok := m.members.byID[id]; ok {
		member.Role, member.Replaces = role, 0
		m.members.byID[id] = member
	}
}

// WritableVersion returns the newest Version that may be written: all members read it, and operators have
// confirmed that none will be downgraded below it.
func (m *Members) WritableVersion() int { return min(max(1, m.raisedVersion), m.CommonVersion()) }

// CommonVersion returns the newest Version that all members can read.
func (m *Members) CommonVersion() int {
	version := Version
	for _, member := range m.byID {
		if member.Role != Removed {
			version = min(version, member.newestVersion())
		}
	}
	return version
}

func (m Member) newestVersion() int { return max(1, m.ReadsVersion) }

// Get returns a member by its ID.
func (m *Members) Get(id uint64) (Member, bool) {
	member, ok := m.byID[id]
	return member, ok
}

// ByName returns the current member with a name: the voter, if a learner with the same name is about to replace it.
func (m *Members) ByName(name string) (found Member, ok bool) {
	for _, member := range m.All() {
		if member.Name == name && member.Role != Removed && (!ok || member.Role == Voter) {
			found, ok = member, true
		}
	}
	return found, ok
}

// All returns all members, including removed ones, in the order of their IDs.
func (m *Members) All() []Member { return sortedValues(m.byID) }

// Started is the body of a command by which the leader records how often a member has started and which version
// its release reads.
type Started struct {
	ID           uint64 `json:"id"`
	Starts       uint64 `json:"starts"`
	ReadsVersion int    `json:"speaks,omitempty"`
}

// Raise is the body of a command that allows a Version to be written from now on. All members must be able to read
// it.
type Raise struct {
	Raise int `json:"raise"`
}

// Apply applies a Started or a Raise.
func (m *Members) Apply(_ uint64, _ float64, _ uint64, body json.RawMessage) Reply {
	var c struct {
		Started
		Raise
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return Reply{Code: Invalid, Text: err.Error()}
	}
	if c.Raise.Raise > 0 {
		return m.raise(c.Raise.Raise)
	}
	member, ok := m.byID[c.ID]
	if !ok {
		return Reply{Code: Invalid, Text: fmt.Sprintf("%x is no member", c.ID)}
	}
	member.Starts, member.ReadsVersion = max(member.Starts, c.Starts), c.ReadsVersion
	m.byID[c.ID] = member
	return Reply{Code: OK}
}

func (m *Members) raise(version int) Reply {
	for _, member := range m.All() {
		if member.Role != Removed && member.newestVersion() < version {
			return Reply{Code: Conflict, Text: fmt.Sprintf("%s runs a release that knows version %d, not %d", member.Name, member.newestVersion(), version)}
		}
	}
	m.raisedVersion = max(m.raisedVersion, version)
	return Reply{Code: OK}
}

// Query returns all members.
func (m *Members) Query(json.RawMessage) Reply { return Reply{Code: OK, Body: encode(m.All())} }

// Freeze captures the members for an image.
func (m *Members) Freeze() func() (json.RawMessage, error) {
	snapshot := maps.Clone(m.byID)
	return func() (json.RawMessage, error) { return json.Marshal(sortedValues(snapshot)) }
}

// Load restores an image.
func (m *Members) Load(image json.RawMessage) error {
	var loaded []Member
	err := json.Unmarshal(image, &loaded)
	for _, member := range loaded {
		m.byID[member.ID] = member
	}
	return err
}
