// Package statemachine is the replicated state machine of the node's replicated log: committed entries are applied
// to it, in the same order on every member. It has one component for each kind of state: the membership, the
// register, the calls with an idempotency key, the operators' orders to nodes, the rollout of policies, and the
// quota leases.
//
// It performs no I/O and uses no goroutine, lock or clock. The same entries give the same state, replies and
// images on every member; a member that computed anything else would diverge permanently. The caller serializes
// all calls.
//
// Cluster time, in milliseconds, is carried by the entries. It never goes back, and it stands still while no
// member runs.
//
// A command belongs to a session and has a sequence number in it, so that a client can retry it after its reply
// was lost: the command is applied once, and a retry gets the reply of the first attempt. After a session was
// evicted, all its further commands are rejected with SessionLost, because it is no longer known whether they were
// applied.
//
// Bounds: MaxSessions sessions with Window unconfirmed replies each, MaxCommandBytes per command, and those of
// each component.
package statemachine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"linenwheel.dev/linenwheel/internal/node/quota/lease"
	"linenwheel.dev/linenwheel/internal/node/rollout"
)

// ErrVersion and ErrImage stop a member: if it continued, its state would differ from that of the others.
var (
	// ErrVersion says that an entry or an image was written by a later release.
	ErrVersion = errors.New("replicated log or image was written by a later release, which this release cannot read")
	// ErrImage says that an image is damaged.
	ErrImage = errors.New("cannot read the image of the replicated state")
)

// Version is the newest version of commands and images that this release writes. It reads all versions up to this
// one. A command of a later version must not be skipped, because the states of the members would diverge.
const Version = 2

// VersionOf returns the version that is needed to read a command of the component or, if body is nil, an image
// that contains the component. Each command is written with the lowest version that can express it, so that an
// older release in the fleet can read every command that it supports.
func VersionOf(component string, body json.RawMessage) int {
	switch component {
	case ComponentQuotaLeases:
		return 2
	case ComponentMembers:
		if bytes.Contains(body, []byte(`"raise"`)) {
			return 2
		}
	case ComponentCalls:
		return callCommandVersion(body)
	}
	return 1
}

// Bounds of the machine.
const (
	MaxSessions     = 1024
	Window          = 128       // maximum number of commands of one session in flight
	MaxCommandBytes = 256 << 10 // maximum size of an encoded command

	maxNameBytes = 128 // maximum length of the name of a session, a register value, a node or a backend
)

// Code is the result of a command or a query.
type Code string

// The codes.
const (
	OK          Code = "ok"
	Conflict    Code = "conflict" // the command is based on a state that is not current; the body holds the current one
	Invalid     Code = "faulty"   // the command is invalid in any state
	Full        Code = "full"     // a bound has been reached
	SessionLost Code = "lost"     // the session was evicted: it is unknown whether the command was applied
)

// Reply is the result of a command or a query.
type Reply struct {
	Code  Code            `json:"code"`
	Text  string          `json:"text,omitempty"` // human-readable reason if the code is not OK
	Body  json.RawMessage `json:"body,omitempty"`
	Index uint64          `json:"index,omitempty"` // of the entry that was applied, or of the last entry that the query has seen
}

// Command is the content of an entry.
type Command struct {
	Version   int             `json:"v"`
	At        float64         `json:"at"`          // cluster time in ms, set by the leader
	Session   uint64          `json:"s,omitempty"` // 0 = a command that opens a session, or one of the cluster itself
	Number    uint64          `json:"n"`           // sequence number in the session, from 1; random for a command that opens a session
	Confirmed uint64          `json:"d,omitempty"` // the client has received the replies to all numbers up to this one
	Component string          `json:"p,omitempty"` // name of the component
	Body      json.RawMessage `json:"b,omitempty"`
}

// Request is a query or a command for a component.
type Request struct {
	Component string          `json:"part"`
	Body      json.RawMessage `json:"body"`
}

// Component holds one kind of state. A component must be deterministic: its replies and images depend only on the
// commands, never on the iteration order of a map, a clock or a random source.
type Component interface {
	// Apply applies the command of an entry. now is cluster time in ms.
	Apply(index uint64, now float64, session uint64, body json.RawMessage) Reply
	// Query answers from the current state without changing it.
	Query(body json.RawMessage) Reply
	// Freeze captures the state and returns a function that encodes it. That function may run on any goroutine while
	// further commands are applied, and must not see their effects.
	Freeze() func() (json.RawMessage, error)
	// Load restores an image into an empty component.
	Load(image json.RawMessage) error
}

// Machine is the complete state. New and Bootstrap create one.
type Machine struct {
	now        float64 // cluster time, ms
	index      uint64  // index of the last applied entry
	sessions   map[uint64]*session
	components map[string]Component
	members    *Members
}

// New returns an empty machine.
func New() *Machine {
	members := &Members{byID: map[uint64]Member{}}
	return &Machine{
		sessions: map[uint64]*session{},
		members:  members,
		components: map[string]Component{
			ComponentMembers:     members,
			ComponentRegister:    newRegister(),
			ComponentCalls:       newCalls(),
			ComponentOrders:      newOrders(),
			ComponentPolicy:      rolloutComponent{rollout.New()},
			ComponentQuotaLeases: quotaLeaseComponent{lease.New()},
		},
	}
}

// Now returns cluster time, in milliseconds.
func (m *Machine) Now() float64 { return m.now }

// Index returns the index of the last applied entry.
func (m *Machine) Index() uint64 { return m.index }

// Members returns the component that holds the membership.
func (m *Machine) Members() *Members { return m.members }

// Apply applies a committed entry and returns its command and reply. An error means that the entry cannot be
// interpreted: the member must stop, because its state would diverge from that of the others.
func (m *Machine) Apply(index uint64, data []byte) (c Command, r Reply, err error) {
	if err := json.Unmarshal(data, &c); err != nil {
		return c, r, fmt.Errorf("entry %d: %w", index, err)
	}
	if c.Version > Version {
		return c, r, ErrVersion
	}
	m.index, m.now = index, max(m.now, c.At)
	switch {
	case c.Session == 0 && c.Component == ComponentMembers: // a command of the cluster itself; it is idempotent and needs no session
		return c, m.members.Apply(index, m.now, 0, c.Body), nil
	case c.Session == 0:
		return c, m.openSession(index, &c), nil
	}
	s := m.sessions[c.Session]
	if s == nil {
		return c, Reply{Code: SessionLost, Text: "the session is not known any more"}, nil
	}
	s.Used = index
	s.confirm(c.Confirmed)
	if r, answered := s.earlierReply(c.Number); answered {
		return c, r, nil
	}
	if component := m.components[c.Component]; component != nil {
		r = component.Apply(index, m.now, c.Session, c.Body)
	} else {
		r = unknownComponent(c.Component)
	}
	r.Index = index
	s.Replies[c.Number] = r
	return c, r, nil
}

// Query answers from the state of this member, which may be older than the last committed entry.
func (m *Machine) Query(request Request) Reply {
	component := m.components[request.Component]
	if component == nil {
		return unknownComponent(request.Component)
	}
	r := component.Query(request.Body)
	r.Index = m.index
	return r
}

func unknownComponent(name string) Reply {
	return Reply{Code: Invalid, Text: fmt.Sprintf("there is no part %q", name)}
}
