// Package protocol has the messages between clients of the agreed log and replicas: requests, numbered on their connection, and
// an answer to each, in any order. They are encoded as JSON.
package protocol

import (
	"encoding/json"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Requests, by Request.Want.
const (
	Do            = "do"      // propose a command, and answer once it is applied
	Read          = "read"    // query, linearizable
	LongPoll      = "wait"    // query, answered once the answer differs from Known: a long poll, whose answer is a hint; the release before refuses it
	Status        = "status"  // the state of this replica
	LocalRegister = "picture" // the register as this replica has it, however old, to compare replicas by
	Bootstrap     = "found"   // bootstrap: make this empty replica one of the first members
	AddLearner    = "learn"   // add a member, as a learner that is promoted once it has caught up
	Remove        = "remove"  // remove a member
	Backup        = "copy"    // an image of the leader's state, for a backup: base64 in the reply's body
)

// Request is a request of a client. Want says which of the fields are used.
type Request struct {
	ID        uint64                `json:"id"` // number on the connection
	Kind      string                `json:"want"`
	Session   uint64                `json:"s,omitempty"`
	Number    uint64                `json:"n,omitempty"`
	Confirmed uint64                `json:"d,omitempty"`
	Component string                `json:"p,omitempty"`
	Body      json.RawMessage       `json:"b,omitempty"`
	Known     json.RawMessage       `json:"k,omitempty"`       // of Wait: the answer that the client has
	Members   []statemachine.Member `json:"members,omitempty"` // of Found: the first members; of Learn and Remove: the one that is added or removed
	Now       float64               `json:"now,omitempty"`     // of Found: cluster time to begin with, ms
}

// Faults, by Answer.Fault.
const (
	NotLeader  = "elsewhere" // another replica leads; Leader says which
	NoLeader   = "nobody"    // this replica knows of no leader
	RetryLater = "later"     // it is not known whether the command was proposed; sent again under its number, it is applied once
	Rejected   = "refused"   // rejected for good; Text says why
)

// Answer answers the request with the same ID. Reply, State or Fault is set.
type Answer struct {
	ID     uint64              `json:"id"`
	Fault  string              `json:"fault,omitempty"`
	Text   string              `json:"text,omitempty"`
	Leader string              `json:"leader,omitempty"` // name of the leader, if it is known
	Reply  *statemachine.Reply `json:"reply,omitempty"`
	State  *State              `json:"state,omitempty"`
}

// State is the state of a replica.
type State struct {
	Fleet     string   `json:"fleet"`
	Name      string   `json:"name"`
	ID        uint64   `json:"id"`
	Release   string   `json:"release"`
	Starts    uint64   `json:"starts"`
	Role      string   `json:"role"` // leader, voter, learner, blank
	Leader    string   `json:"leader"`
	Term      uint64   `json:"term"`
	Committed uint64   `json:"committed"`
	Applied   uint64   `json:"applied"`
	Time      float64  `json:"time"` // cluster time, ms
	Changing  bool     `json:"changing"`
	Synced    bool     `json:"synced"`
	Sessions  int      `json:"sessions"`
	Images    uint64   `json:"images"` // made since the start
	Writes    uint64   `json:"writes"` // to the disk since the start
	Clients   int      `json:"clients"`
	Members   []Member `json:"members"`
}

// Member is what a replica knows of a member.
type Member struct {
	statemachine.Member
	Up    bool   `json:"up"`              // this replica is connected to it
	Match uint64 `json:"match,omitempty"` // index up to which it is known to have the log; of the leader only
	Heard bool   `json:"heard"`           // whether the leader has heard from it lately; of the leader only
	Bytes uint64 `json:"bytes"`           // sent to it since the start
}
