package statemachine

import (
	"bytes"
	"encoding/json"
)

// ComponentCalls is the name of the component that holds the idempotency keys: which call runs on which node and
// how it ended, so that no call runs twice.
const ComponentCalls = "calls"

// Bounds of the calls.
const (
	MaxCalls        = 200_000  // names
	MaxBodyBytes    = 32 << 20 // total size of stored responses; the oldest are dropped first
	MaxOneBodyBytes = 96 << 10 // size of one stored response, in the nodes' encoding; of a larger one, only its execution is stored

	tenantBuckets      = 64             // number of buckets that tenants are counted in, by their hash
	tenantAlpha        = 4              // one bucket may use this many times the unused capacity
	maxRetentionMillis = 7 * 24 * 3.6e6 // maximum of each window of a claim
)

// ClaimResult is the result of a claim, or the state of a name that was looked up.
type ClaimResult string

// The results.
const (
	ClaimGranted  ClaimResult = "run"      // the claimant owns the name and may run the call
	ClaimRunning  ClaimResult = "else"     // another claimant is running the call: retry later
	ClaimReplayed ClaimResult = "replay"   // the call was executed; the reply holds the response
	ClaimExecuted ClaimResult = "spent"    // the call was executed, but its response is not stored
	ClaimInDoubt  ClaimResult = "doubt"    // the call may have been executed
	ClaimMismatch ClaimResult = "mismatch" // the name belongs to a call with different content
	ClaimFull     ClaimResult = "full"     // no capacity: retry after ClaimReply.Wait
	ClaimUnknown  ClaimResult = "unknown"  // the name was not claimed; returned to a Lookup only
)

// Claim claims a name for one run. The windows are in ms and start at the end of the run.
type Claim struct {
	Name           []byte  `json:"name"`  // 16 bytes, a hash of the idempotency key
	Fingerprint    []byte  `json:"print"` // 16 bytes, a fingerprint of the content
	Tenant         string  `json:"tenant,omitempty"`
	AnsweredWindow float64 `json:"answered"` // how long the response is stored, ms
	InDoubtWindow  float64 `json:"doubt"`    // how long the call is remembered as possibly executed, ms
	RunTimeout     float64 `json:"run"`      // time after which a run that was not completed is in doubt, ms
	Node           string  `json:"node"`
	Incarnation    uint64  `json:"life"`  // random number of the node's process, drawn at its start
	Token          uint64  `json:"token"` // random number of this run, drawn by the node
}

// Completion ends a run.
type Completion struct {
	Name    []byte `json:"name"`
	Token   uint64 `json:"token"` // of the claim
	Outcome string `json:"how"`   // OutcomeServed, OutcomeNotExecuted or OutcomeInDoubt
	Body    []byte `json:"body,omitempty"`
}

// Outcomes of a run.
const (
	OutcomeServed      = "served"
	OutcomeNotExecuted = "not run"
	OutcomeInDoubt     = "in doubt"
)

// ProcessStart reports that a process of a node has started: the runs that its predecessors claimed and did not
// complete are in doubt.
type ProcessStart struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"life"`
	Secret      []byte `json:"secret"` // digest of the secret that names are hashed with; the first reported one is binding for the fleet
	// Predecessor is the incarnation of a process that still completes its own runs while this one takes over (hot
	// restart); 0 = none.
	Predecessor uint64 `json:"before,omitempty"`
}

// callsCommand is the body of a command. Exactly one of its fields is set.
type callsCommand struct {
	Claim      *Claim        `json:"take,omitempty"`
	Completion *Completion   `json:"ended,omitempty"`
	Start      *ProcessStart `json:"fresh,omitempty"`
}

// ClaimCommand returns the body of a command that claims a name.
func ClaimCommand(c Claim) any { return callsCommand{Claim: &c} }

// CompletionCommand returns the body of a command that ends a run.
func CompletionCommand(c Completion) any { return callsCommand{Completion: &c} }

// ProcessStartCommand returns the body of a command that reports the start of a process.
func ProcessStartCommand(p ProcessStart) any { return callsCommand{Start: &p} }

// Lookup queries the state of a name or, if Name is nil, the Usage.
type Lookup struct {
	Name        []byte `json:"name"`
	Fingerprint []byte `json:"print"`
}

// ClaimReply is the body of the reply to a Claim or a Lookup.
type ClaimReply struct {
	Result ClaimResult `json:"taken"`
	Body   []byte      `json:"body,omitempty"`
	Wait   float64     `json:"wait,omitempty"` // ms
	Node   string      `json:"node,omitempty"` // the node that runs the call, with ClaimRunning
}

// Usage is the body of the reply to a Lookup without a name.
type Usage struct {
	Names   int `json:"names"`
	Running int `json:"running"` // of the names
	Bytes   int `json:"bytes"`   // size of the stored responses
}

// callCommandVersion returns 2 for a process start that names its predecessor, which the first release does not
// support.
func callCommandVersion(body json.RawMessage) int {
	var c struct {
		Fresh *struct {
			Before uint64 `json:"before"`
		} `json:"fresh"`
	}
	if bytes.Contains(body, []byte(`"before"`)) && json.Unmarshal(body, &c) == nil && c.Fresh != nil && c.Fresh.Before != 0 {
		return 2
	}
	return 1
}
