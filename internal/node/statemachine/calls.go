package statemachine

import (
	"bytes"
	"encoding/json"
)

// ComponentCalls is the name of the component that holds the idempotency keys: which call runs where, and how it ended, so
// that none runs twice.
const ComponentCalls = "calls"

// Bounds of the calls.
const (
	MaxCalls        = 200_000  // names
	MaxBodyBytes    = 32 << 20 // bytes of kept responses; the oldest are dropped first
	MaxOneBodyBytes = 96 << 10 // bytes of one, in the nodes' encoding; of a longer one it is only known that the call was executed

	tenantBuckets      = 64             // that tenants are counted in, by their hash
	tenantAlpha        = 4              // one bucket may use this many times the capacity that nobody uses
	maxRetentionMillis = 7 * 24 * 3.6e6 // of each window of a claim
)

// ClaimResult is the result of a claim, or the state of a name that was looked up.
type ClaimResult string

// The results.
const (
	ClaimGranted  ClaimResult = "run"      // the claimant owns the name, and may run the call
	ClaimRunning  ClaimResult = "else"     // another claimant runs it: ask again later
	ClaimReplayed ClaimResult = "replay"   // it was executed; this is the response
	ClaimExecuted ClaimResult = "spent"    // it was executed, and its response is not kept
	ClaimInDoubt  ClaimResult = "doubt"    // it may have been executed
	ClaimMismatch ClaimResult = "mismatch" // the name belongs to a call with another content
	ClaimFull     ClaimResult = "full"     // no capacity: claim again after Wait
	ClaimUnknown  ClaimResult = "unknown"  // nobody has claimed it; only a Lookup gets this
)

// Claim claims a name for one run. The windows are in ms, from the end of the run on.
type Claim struct {
	Name           []byte  `json:"name"`  // 16 bytes, a hash of the idempotency key
	Fingerprint    []byte  `json:"print"` // 16 bytes, a fingerprint of the content
	Tenant         string  `json:"tenant,omitempty"`
	AnsweredWindow float64 `json:"answered"` // how long the response is known, ms
	InDoubtWindow  float64 `json:"doubt"`    // how long it is known that the call may have been executed, ms
	RunTimeout     float64 `json:"run"`      // ms after which a run that nobody completes is in doubt
	Node           string  `json:"node"`
	Incarnation    uint64  `json:"life"`  // incarnation of the node's process, drawn at its start
	Token          uint64  `json:"token"` // of this run, drawn by the node
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

// ProcessStart reports that a process of a node has started: what its predecessors claimed and did not complete is in doubt.
type ProcessStart struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"life"`
	Secret      []byte `json:"secret"` // digest of the secret that names are hashed with; the first one reported binds the fleet
	// Predecessor is the incarnation of a process that still completes its own runs while this one takes over (hot restart); 0 = none.
	Predecessor uint64 `json:"before,omitempty"`
}

// callsCommand is the body of a command: one of its fields is set.
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

// Lookup queries the state of a name. Without a name it queries the Usage.
type Lookup struct {
	Name        []byte `json:"name"`
	Fingerprint []byte `json:"print"`
}

// ClaimReply is the body of the reply to a Claim or a Lookup.
type ClaimReply struct {
	Result ClaimResult `json:"taken"`
	Body   []byte      `json:"body,omitempty"`
	Wait   float64     `json:"wait,omitempty"` // ms
	Node   string      `json:"node,omitempty"` // that runs it, with ClaimRunning
}

// Usage is the body of the reply to a Lookup without a name.
type Usage struct {
	Names   int `json:"names"`
	Running int `json:"running"` // of the names
	Bytes   int `json:"bytes"`   // of kept responses
}

// callCommandVersion returns 2 for a process start that names its predecessor, which the first release does not know.
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
