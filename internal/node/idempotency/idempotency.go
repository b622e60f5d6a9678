// Package idempotency decides whether a call is new or a repeat of a known one: whether the first one still runs,
// which response it got, and whether the call may run again.
//
// The package is pure: no input or output, no goroutine, no lock, no clock. Time is passed in, in milliseconds; a
// time that stands still or goes back counts as standing still.
//
// A call has an idempotency key, which says what makes it the same as another call (128 bits of a keyed hash over the
// tenant and what the settings of its class choose), and a fingerprint of all of its content. The table holds one
// entry per key:
//
//	          Claim          Complete(Served)          body evicted
//	(unknown) ────▶ Running ────────────────▶ Answered ─────────────▶ Executed
//	                  │  ▲                        │                       │
//	      Complete    │  │ Claim, where a repeat  └── window expired ─────┤
//	   (NotExecuted)  │  │ does no harm                                   ▼
//	        └─▶ (unknown)└──────────── In doubt ◀─ Complete(InDoubt)  (unknown)
//
// # Bounds
//
// A table holds at most Settings.MaxEntries keys and Settings.MaxBodyBytes of response bodies. Its own memory is
// at most EntryBytes per entry, bodies not counted. Running entries are pinned, and so, within their windows, are
// the executed and in-doubt entries of a class whose calls must never run twice: a pinned entry is never evicted.
// When only pinned entries are left, a new call of such a class is rejected before it runs, and one of another
// class goes on unrecorded. The tenant that fills the table is rejected first: a tenant may pin at most
// Settings.PinnedRatio times the capacity that is not pinned.
//
// # Windows that change
//
// A call may bring its own Windows. A key keeps those under which its run began, whatever later calls of its class
// bring: a window that was once promised is never shortened and never extended. Keys of one class with equal windows
// share a lane; there are at most maxLanes at once, and a lane is reused when its last key has been removed. A call
// for whose windows no lane is left is rejected, or goes on unrecorded, as when the table is full.
package idempotency

// Key is an idempotency key: two calls are the same call if their keys are equal.
type Key [16]byte

// Fingerprint is the fingerprint of a call: a digest of all of its content. Equal keys with different fingerprints
// are a client error.
type Fingerprint [16]byte

// Class says how the calls of a class are treated.
type Class struct {
	AtMostOnce     bool    // it must never run twice
	AnsweredWindow float64 // ms for which a served call is known after its end
	InDoubtWindow  float64 // ms for which a call that may have run is known after its end
}

// Windows are the times, in milliseconds, for which a call is known, as in Class.
type Windows struct {
	Answered float64 `json:"Answered"`
	Doubt    float64 `json:"Doubt"`
}

// Longest returns the longer of the two windows, in milliseconds.
func (w Windows) Longest() float64 { return max(w.Answered, w.Doubt) }

// Call identifies a call for the table.
type Call struct {
	Key         Key
	Fingerprint Fingerprint
	Class       int
	Tenant      int // -1 = none
	// Windows are those under which its run begins, nil = its class's. They are read only when it claims its key.
	Windows *Windows
}

// Verdict says what to do with a call.
type Verdict uint8

// The verdicts.
const (
	Run           Verdict = iota // it is the first, or may run again: run it, then call Complete with its Ref
	RunUnrecorded                // run it unrecorded: the table has no capacity, and a repeat does no harm
	Join                         // it is running: wait for that run's outcome
	Replay                       // answer with Decision.Body
	Executed                     // it has executed, but its response is no longer kept
	InDoubt                      // it may have executed: neither run it nor ask the client to retry
	Mismatch                     // other content, or another class, under a known key
	Full                         // rejected: no capacity, retry after Decision.RetryAfter
)

var verdictNames = [...]string{"run", "pass", "join", "replay", "spent", "doubt", "mismatch", "full"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Ref identifies one run. A Ref is never used again for another run.
type Ref struct {
	slot       int32
	generation uint32
}

// Decision is the result of Claim and Peek.
type Decision struct {
	Verdict    Verdict
	Ref        Ref     // with Run and Join
	Body       any     // with Replay
	RetryAfter float64 // with Full, ms; 0 = not known
}

// Outcome is the outcome of a run.
type Outcome uint8

// The outcomes of a run.
const (
	OutcomeServed      Outcome = iota // with a response
	OutcomeNotExecuted                // rejected or failed, and certainly not executed
	OutcomeInDoubt                    // rejected, failed or abandoned, and it may have executed
)

// Entry is an entry as it was in another process: before a restart or a hot restart.
type Entry struct {
	Call
	Running bool    // when it was recorded: it may have executed
	Served  bool    // if neither Running nor Served, it may have executed
	Age     float64 // ms since it ended; a negative one, as after a clock was set back, counts as 0
	Body    any     // the response of a served one, of Size bytes; nil = not kept
	Size    int
}
