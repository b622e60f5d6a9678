// Package rollout activates a change of policy everywhere or nowhere. It is pure: no I/O, no goroutine, no lock, no clock. Its
// Machine is a component of the replicated state machine (package statemachine), its LeaseHolder the side of a member.
//
// A policy is one document with a number. A member, one process of a node, judges calls by the number that it has in force, for
// as long as its lease on that number lasts. A change goes through these stages:
//
//	proposed ──▶ Looking: each live member validates it ──▶ Pausing: no lease is renewed, members begin no calls ──▶ Agreed
//	    └── a member rejects it, or it is based on a number that is no longer the last ──▶ Refused: nothing changes
//
// Invariant: no call begins anywhere under a number once one has begun under the next. For the next number comes into force
// only once each member has reported that it has paused, or its lease has expired. A member that hangs before the pause costs
// nothing: it no longer counts once its lease has expired. One that hangs in the pause makes the others wait for the rest of
// its lease. A process that starts during the pause has no lease, and is not waited for.
//
// The machine's time is cluster time, in milliseconds, which the caller passes in.
//
// Bounds: MaxMembers members, MaxDocumentBytes a document, Kept documents, Remembered outcomes.
package rollout

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Bounds.
const (
	MaxMembers       = 4096
	MaxDocumentBytes = 128 << 10
	MaxDocuments     = 16     // documents, the one in force included
	MaxOutcomes      = 64     // outcomes of proposals
	MinLease         = 100.0  // ms
	MaxLease         = 8000.0 // ms

	maxNameBytes            = 128
	validationTimeoutMillis = 15000.0 // for all live members to validate a document,
	pauseTimeoutMillis      = 10000.0 // and for all to pause: then the change is refused, and the old number stays in force
	pauseNearThreshold      = 3       // members that have not validated yet when all begin to report quickly
)

// Document is a policy with its number.
type Document struct {
	Number uint64  `json:"number"`
	ID     string  `json:"id"` // of the proposal
	By     string  `json:"by"`
	At     float64 `json:"at"` // cluster time at which it came into force, ms
	Hash   string  `json:"hash"`
	Text   string  `json:"text"`
}

// Hash returns the hash that identifies a document's text.
func Hash(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// Stage is the stage of a change.
type Stage string

// The stages.
const (
	Validating Stage = "looking" // each live member validates the document
	Pausing    Stage = "pausing" // each live member stops beginning calls
	Activated  Stage = "agreed"  // it is in force, under Outcome.Number
	Rejected   Stage = "refused" // nothing changed
)

// Change is a change in progress.
type Change struct {
	Document
	Stage Stage   `json:"stage"`
	Since float64 `json:"since"` // cluster time at which the stage began, ms
}

// Outcome is the state of a proposal.
type Outcome struct {
	ID     string `json:"id"`
	Stage  Stage  `json:"stage"`
	Number uint64 `json:"number,omitempty"`
	Reason string `json:"reason,omitempty"` // why it was refused, and by whom
}

// Member is one process of a node, as the machine knows it.
type Member struct {
	Node        string  `json:"node"`
	Incarnation uint64  `json:"life"`             // incarnation
	InForce     uint64  `json:"holds"`            // the number that it has in force
	Until       float64 `json:"until"`            // when its lease expires, cluster time in ms; Forever = it goes on without one
	Live        float64 `json:"live"`             // until when it counts as live without a lease too, cluster time in ms
	Validated   string  `json:"looked,omitempty"` // ID of the proposal that it has validated
	Paused      string  `json:"paused,omitempty"` // ID of the proposal that it has paused for
}

// NoExpiry is the expiry of a member that goes on with its number without a lease.
const NoExpiry = math.MaxFloat64

// Report is what a member reports, often enough to renew its lease.
type Report struct {
	Node         string  `json:"node"`
	Incarnation  uint64  `json:"life"`             // incarnation
	InForce      uint64  `json:"holds"`            // the number that it has in force
	Lease        float64 `json:"lease"`            // the lease that it requests, ms; 0 = none, it judges no calls yet
	WithoutLease bool    `json:"goes_on"`          // it goes on without a lease: no change is agreed while it is unreachable
	Validated    string  `json:"looked,omitempty"` // ID of the proposal that it has validated,
	Rejection    string  `json:"fault,omitempty"`  // and why it rejects it, "" = it accepts it
	Paused       string  `json:"paused,omitempty"` // ID of the proposal that it has paused for
	Leaving      bool    `json:"leaves"`           // it ends, and begins no calls any more
}

// Order answers a report.
type Order struct {
	Number    uint64  `json:"number"` // of the policy in force; 0 = none, each node's own file alone applies
	Hash      string  `json:"hash,omitempty"`
	Lease     float64 `json:"lease"` // ms from the moment at which the report was sent; 0 = no lease
	Change    string  `json:"change,omitempty"`
	Stage     Stage   `json:"stage,omitempty"`
	PauseNear bool    `json:"soon,omitempty"` // at most soonThreshold members have not validated yet: the pause is near
}

// Progress is how far the rollout is. A member that has nothing to report waits until it changes. It is a hint, which may be
// outdated or never come: it lets no call begin.
type Progress struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash,omitempty"`
	Change string `json:"change,omitempty"`
	Stage  Stage  `json:"stage,omitempty"`
}

// Proposal proposes a change. It is idempotent by its ID: proposed again it gets its outcome.
type Proposal struct {
	ID   string `json:"id"`
	Text string `json:"text"`
	Base uint64 `json:"base"` // the number that it is based on
	By   string `json:"by"`
}

// View is what operators see.
type View struct {
	Number  uint64     `json:"number"`
	Hash    string     `json:"hash,omitempty"`
	Change  *Change    `json:"change,omitempty"`
	Members []Member   `json:"members"`
	History []Document `json:"history"` // without their texts
	Ended   []Outcome  `json:"ended"`
}
