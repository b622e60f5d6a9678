package middleware

import (
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// ClaimResult is the result of a claim.
type ClaimResult struct {
	// Verdict is Run, RunUnrecorded, Replay with the Body, Executed, InDoubt, Mismatch, Full with a Reason of its
	// own if there is one, or Join: it runs elsewhere, and had not ended at the deadline.
	Verdict    idempotency.Verdict
	Reason     string
	RetryAfter float64 // with Full, ms
	Body       []byte  // as Settings.Encode wrote it
	Token      uint64  // with Run; names this run when its end is reported
	// Valid reports, with Run, whether the claim is still valid. It is called immediately before the first byte of
	// an attempt goes out.
	Valid func() bool
}

// Claimer holds keys for other nodes or another process. Its methods block.
type Claimer interface {
	// Claim claims a key before its call runs. It returns by the deadline, in ms of the node's clock, or when left
	// is closed.
	Claim(c idempotency.Call, deadline float64, left <-chan struct{}) ClaimResult
	// Complete reports the outcome of a run whose claim was granted. It returns before any client gets the answer.
	Complete(c idempotency.Call, t ClaimResult, how idempotency.Outcome, body []byte)
}

// KeyLookup is a Claimer that can look up a key without claiming it. Lookup has the same results as Claim, with
// Run for a key that nobody holds.
type KeyLookup interface {
	Lookup(c idempotency.Call, deadline float64, left <-chan struct{}) ClaimResult
}

// remoteAnswer returns the answer to a call that does not run on this node, and the outcome for the table. Nothing
// ran here: unless there is a response, the outcome is that the call did not run, so that the next call of the key
// claims it again.
func (s *Middleware) remoteAnswer(t ClaimResult) (outcome idempotency.Outcome, body any, a core.Answer) {
	switch t.Verdict {
	case idempotency.Replay:
		if payload := s.config.Decode(t.Body); payload != nil {
			return idempotency.OutcomeServed, payload, core.Answer{Kind: core.Served, Payload: payload}
		}
		a = rejection(idempotency.Executed, 0)
	case idempotency.Join:
		a = core.Fail(core.Unavailable, ReasonTimeout)
	case idempotency.Executed, idempotency.InDoubt, idempotency.Mismatch:
		a = rejection(t.Verdict, 0)
	default:
		a = rejection(idempotency.Full, t.RetryAfter)
		if t.Reason != "" {
			a.Reason = t.Reason
		}
	}
	return idempotency.OutcomeNotExecuted, nil, a
}
