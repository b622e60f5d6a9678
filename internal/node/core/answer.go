package core

import "linenwheel.dev/linenwheel/internal/node/metrics"

// Kind is the kind of a call's final answer.
type Kind uint8

// The kinds of final answer; ClientLeft means that there is none.
const (
	Served     Kind = iota // the response of a host
	Refused                // rejected: a retry is safe
	Failed                 // failed: the call may have run
	ClientLeft             // the client has disconnected: no answer is sent
)

var kindNames = [...]string{Served: "served", Refused: "refused", Failed: "failed", ClientLeft: "left"}

func (k Kind) String() string { return kindNames[k] }

// metricsKind returns the corresponding kind in the metrics.
func (k Kind) metricsKind() metrics.Kind {
	return [...]metrics.Kind{Served: metrics.Served, Refused: metrics.Refused, Failed: metrics.Failed, ClientLeft: metrics.ClientLeft}[k]
}

// Fault tells a server how to express a rejection or a failure in its protocol.
type Fault uint8

// The faults. All but Busy, OverQuota and Unavailable are caused by the client.
const (
	NoFault         Fault = iota
	Busy                  // the node is at its limit
	OverQuota             // the tenant is at its quota
	Unavailable           // no host could serve it
	Invalid               // the call is malformed or inconsistent
	Unauthenticated       // the caller is not authenticated
	Forbidden             // the caller is not authorized
	KeyMismatch           // the idempotency key belongs to a different call
	LoopDetected          // the call has passed through this node before
	Duplicate             // an earlier call with the same idempotency key has run, or may have
)

// Answer is a call's final answer.
type Answer struct {
	Kind    Kind
	Fault   Fault
	Reason  string  // why the call was not served; one of a few constant texts, for the log and the counters
	Wait    float64 // with Refused: milliseconds after which a retry is useful; 0 = not specified
	Ran     bool    // if not served: the call may have run
	Payload any     // with Served: the payload returned by the transport
}

// Refuse returns a rejection: a retry is safe, after wait milliseconds if that is above 0.
func Refuse(f Fault, reason string, wait float64) Answer {
	return Answer{Kind: Refused, Fault: f, Reason: reason, Wait: wait}
}

// Fail returns a failure.
func Fail(f Fault, reason string) Answer { return Answer{Kind: Failed, Fault: f, Reason: reason} }

// IsID reports whether id is a valid call id: printable ASCII without spaces, 1 to 128 bytes.
func IsID(id []byte) bool {
	for _, c := range id {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(id) > 0 && len(id) <= 128
}
