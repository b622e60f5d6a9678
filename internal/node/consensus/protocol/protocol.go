// Package protocol is what clients of the agreed log and keepers say to each other: requests with a number of their own on the
// connection, and an answer to each, in any order.
package protocol

import (
	"encoding/json"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// What a request wants.
const (
	Do      = "do"      // a command agreed
	Read    = "read"    // a question answered by what holds
	Wait    = "wait"    // a question answered once the answer is not what is known, unchecked: a hint; the release before refuses it
	Status  = "status"  // how this keeper does
	Picture = "picture" // what this keeper holds of the register as it is here, however old, to compare keepers by
	Found   = "found"   // this empty keeper to be one of the first members
	Learn   = "learn"   // a member taken in, to vote once it has learnt
	Remove  = "remove"  // a member taken out
	Copy    = "copy"    // all that the keeper that leads holds, for keeping elsewhere: base64 in the reply's body
)

// Request is one.
type Request struct {
	ID      uint64                `json:"id"`
	Want    string                `json:"want"`
	Session uint64                `json:"s,omitempty"`
	Number  uint64                `json:"n,omitempty"`
	Done    uint64                `json:"d,omitempty"`
	Part    string                `json:"p,omitempty"`
	Body    json.RawMessage       `json:"b,omitempty"`
	Known   json.RawMessage       `json:"k,omitempty"`       // the answer to a question that whoever waits has
	Members []statemachine.Member `json:"members,omitempty"` // to found with, or the one that comes or goes
	Now     float64               `json:"now,omitempty"`     // of the group at its founding, ms
}

// What went wrong with a request.
const (
	Elsewhere = "elsewhere" // another keeper leads; Leader says which
	Nobody    = "nobody"    // nobody leads that this keeper knows of
	Later     = "later"     // it was not taken, or it is not known whether it was; asked again under its number, it runs once
	Refused   = "refused"   // Text says why
)

// Answer is what a request gets.
type Answer struct {
	ID     uint64              `json:"id"`
	Fault  string              `json:"fault,omitempty"`
	Text   string              `json:"text,omitempty"`
	Leader string              `json:"leader,omitempty"` // its name
	Reply  *statemachine.Reply `json:"reply,omitempty"`
	State  *State              `json:"state,omitempty"`
}

// State is how a keeper does.
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
	Time      float64  `json:"time"` // of the group, ms
	Changing  bool     `json:"changing"`
	Synced    bool     `json:"synced"`
	Sessions  int      `json:"sessions"`
	Images    uint64   `json:"images"` // made since the start
	Writes    uint64   `json:"writes"` // to the disk since the start
	Clients   int      `json:"clients"`
	Members   []Member `json:"members"`
}

// Member is what a keeper knows of a member.
type Member struct {
	statemachine.Member
	Up    bool   `json:"up"`              // there is a connection to it
	Match uint64 `json:"match,omitempty"` // up to which entry it holds the log; of the leader only
	Heard bool   `json:"heard"`           // lately; of the leader only
	Bytes uint64 `json:"bytes"`           // sent to it
}
