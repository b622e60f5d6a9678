// Package rollout activates a policy change either on all members or on none. It performs no I/O and uses no
// goroutine, lock or clock. Its Machine is a component of the replicated state machine (package statemachine), its
// LeaseHolder is the member's side.
//
// A policy is a document with a number. A member is one process of a node. It handles calls under the number that
// it has in force, as long as its lease on that number is valid. A change passes through these stages:
//
//	proposed ──▶ Validating: each live member validates it ──▶ Pausing: no leases are renewed, no calls admitted ──▶ Activated
//	    └── a member rejects it, or it is based on a number that is no longer the latest ──▶ Rejected: nothing changes
//
// Invariant: no call begins anywhere under a number once a call has begun under the next number. This holds
// because the next number comes into force only once each member has either reported that it has paused, or its
// lease has expired. A member that hangs before the pause does not delay a change: it no longer counts once its
// lease has expired. A member that hangs during the pause makes the others wait for the rest of its lease. A
// process that starts during the pause has no lease and is not waited for.
//
// The machine's time is cluster time in milliseconds, which the caller passes in.
//
// Bounds: MaxMembers members, MaxDocumentBytes per document, MaxDocuments documents, MaxOutcomes outcomes.
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
	MaxDocuments     = 16     // documents that are kept, including the one in force
	MaxOutcomes      = 64     // outcomes of proposals that are kept
	MinLease         = 100.0  // ms
	MaxLease         = 8000.0 // ms

	maxNameBytes            = 128
	validationTimeoutMillis = 15000.0 // for all live members to validate a document
	pauseTimeoutMillis      = 10000.0 // for all members to pause; after a timeout the change is rejected and the old number stays
	pauseNearThreshold      = 3       // members still to validate at which all members start to report frequently
)

// Document is a policy with its number.
type Document struct {
	Number uint64  `json:"number"`
	ID     string  `json:"id"` // ID of the proposal
	By     string  `json:"by"`
	At     float64 `json:"at"` // cluster time at which it came into force, ms
	Hash   string  `json:"hash"`
	Text   string  `json:"text"`
}

// Hash returns the hash that identifies the text of a document.
func Hash(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// Stage is the stage of a change.
type Stage string

// The stages.
const (
	Validating Stage = "looking" // each live member validates the document
	Pausing    Stage = "pausing" // each live member stops admitting calls
	Activated  Stage = "agreed"  // the change is in force, under Outcome.Number
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
	Reason string `json:"reason,omitempty"` // why it was rejected, and by which member
}

// Member is the machine's state of one process of a node.
type Member struct {
	Node        string  `json:"node"`
	Incarnation uint64  `json:"life"`             // random number of the process
	InForce     uint64  `json:"holds"`            // number of the policy that it has in force
	Until       float64 `json:"until"`            // expiry of its lease, cluster time in ms; NoExpiry = it needs no lease
	Live        float64 `json:"live"`             // time until which it counts as live even without a lease, cluster time in ms
	Validated   string  `json:"looked,omitempty"` // ID of the proposal that it has validated last
	Paused      string  `json:"paused,omitempty"` // ID of the proposal that it has paused for
}

// NoExpiry is the expiry of a member that admits calls under its number without a lease.
const NoExpiry = math.MaxFloat64

// Report is a member's report. It is sent often enough to renew the lease.
type Report struct {
	Node         string  `json:"node"`
	Incarnation  uint64  `json:"life"`             // random number of the process
	InForce      uint64  `json:"holds"`            // number of the policy that it has in force
	Lease        float64 `json:"lease"`            // requested lease, ms; 0 = none, the member does not handle calls yet
	WithoutLease bool    `json:"goes_on"`          // it needs no lease: no change is activated while it is unreachable
	Validated    string  `json:"looked,omitempty"` // ID of the proposal that it has validated
	Rejection    string  `json:"fault,omitempty"`  // reason why it rejects that proposal; "" = it accepts it
	Paused       string  `json:"paused,omitempty"` // ID of the proposal that it has paused for
	Leaving      bool    `json:"leaves"`           // it stops, and no longer admits calls
}

// Order is the answer to a report.
type Order struct {
	Number    uint64  `json:"number"` // of the policy in force; 0 = none, only the node's own configuration file applies
	Hash      string  `json:"hash,omitempty"`
	Lease     float64 `json:"lease"` // granted lease, ms from when the report was sent; 0 = no lease
	Change    string  `json:"change,omitempty"`
	Stage     Stage   `json:"stage,omitempty"`
	PauseNear bool    `json:"soon,omitempty"` // at most pauseNearThreshold members have not validated yet
}

// Progress is the progress of the rollout. A member that has nothing to report waits for it to change. It is only
// a hint, which may be outdated or never arrive, and never causes calls to be admitted.
type Progress struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash,omitempty"`
	Change string `json:"change,omitempty"`
	Stage  Stage  `json:"stage,omitempty"`
}

// Proposal proposes a change. It is idempotent by its ID: proposing it again returns its outcome.
type Proposal struct {
	ID   string `json:"id"`
	Text string `json:"text"`
	Base uint64 `json:"base"` // number of the policy that it is based on
	By   string `json:"by"`
}

// View is the state of the rollout for operators.
type View struct {
	Number  uint64     `json:"number"`
	Hash    string     `json:"hash,omitempty"`
	Change  *Change    `json:"change,omitempty"`
	Members []Member   `json:"members"`
	History []Document `json:"history"` // without texts
	Ended   []Outcome  `json:"ended"`
}
