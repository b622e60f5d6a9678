// Package protocol defines the messages between clients and replicas of the replicated log: requests, which are
// numbered per connection, and one answer to each, in any order. Messages are encoded as JSON.
package protocol

import (
	"encoding/json"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Values of Request.Kind.
const (
	Do            = "do"      // propose a command; answered once it is applied
	Read          = "read"    // linearizable query
	LongPoll      = "wait"    // query, answered once the answer differs from Known; only a hint; the previous release rejects it
	Status        = "status"  // state of this replica
	LocalRegister = "picture" // the register as this replica has it, possibly stale; used to compare replicas
	Bootstrap     = "found"   // make this empty replica one of the first members
	AddLearner    = "learn"   // add a member as a learner, which is promoted once it has caught up
	Remove        = "remove"  // remove a member
	Backup        = "copy"    // return an image of the leader's state for a backup, as base64 in the reply's body
)

// Request is a request of a client. Kind determines which of the other fields are used.
type Request struct {
	ID        uint64                `json:"id"` // unique on the connection
	Kind      string                `json:"want"`
	Session   uint64                `json:"s,omitempty"`
	Number    uint64                `json:"n,omitempty"`
	Confirmed uint64                `json:"d,omitempty"`
	Component string                `json:"p,omitempty"`
	Body      json.RawMessage       `json:"b,omitempty"`
	Known     json.RawMessage       `json:"k,omitempty"`       // of LongPoll: the answer that the client already has
	Members   []statemachine.Member `json:"members,omitempty"` // of Bootstrap: the first members; of AddLearner and Remove: one member
	Now       float64               `json:"now,omitempty"`     // of Bootstrap: initial cluster time, ms
}

// Values of Answer.Fault.
const (
	NotLeader  = "elsewhere" // another replica is the leader; Answer.Leader names it
	NoLeader   = "nobody"    // this replica does not know of a leader
	RetryLater = "later"     // unknown whether the command was proposed; a retry with the same number is applied once
	Rejected   = "refused"   // rejected permanently; Answer.Text is the reason
)

// Answer is the answer to the request with the same ID. Exactly one of Reply, State and Fault is set.
type Answer struct {
	ID     uint64              `json:"id"`
	Fault  string              `json:"fault,omitempty"`
	Text   string              `json:"text,omitempty"`
	Leader string              `json:"leader,omitempty"` // name of the leader, if known
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
	Images    uint64   `json:"images"` // created since the start
	Writes    uint64   `json:"writes"` // disk writes since the start
	Clients   int      `json:"clients"`
	Members   []Member `json:"members"`
}

// Member is the state of a member as this replica knows it.
type Member struct {
	statemachine.Member
	Up    bool   `json:"up"`              // whether this replica is connected to it
	Match uint64 `json:"match,omitempty"` // index up to which it is known to have the log; set by the leader only
	Heard bool   `json:"heard"`           // whether the leader has heard from it recently; set by the leader only
	Bytes uint64 `json:"bytes"`           // sent to it since the start
}
