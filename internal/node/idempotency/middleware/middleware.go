// Package middleware recognises repeats of calls. It adds a lock, a clock, a journal and waiting calls to the pure
// decision logic of package idempotency.
//
// The first call of a key runs as a copy of its own, which is cancelled only when no client waits for it any more.
// Each repeat that arrives meanwhile waits for that run until its own deadline or until its own client leaves. All of
// them get the same answer.
//
// What must be known before a call runs is on the disk (Class.Recorded), agreed by the replicas (Class.Replicated) or
// claimed from the successor of a hot restart before the handler is called. The outcome is reported to all of them
// before any client gets its answer.
package middleware

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/journal"
)

// Class says how the calls of one class are treated.
type Class struct {
	Enabled    bool
	Naming     Naming
	Required   bool // a call without a key is rejected as invalid; else it runs unrecognised
	Recorded   bool // a call runs only once the disk has its beginning, and is rejected where the disk fails
	Replicated bool // a call runs only once the replicas have agreed on its claim
	// Windows are those under which its calls claim their keys, nil = those of Settings.Table.
	Windows *idempotency.Windows
}

// Settings describe the middleware.
type Settings struct {
	Classes   []Class // by number
	Table     idempotency.Settings
	Secret    []byte // of the hash of keys; the same before and after a restart where there is a journal
	Content   func(payload any) core.Content
	Journal   *journal.Journal    // nil = none
	Claimer   Claimer             // nil = keys are this node's alone
	MaxRun    float64             // ms that a run may take, here or on another node
	Entries   []idempotency.Entry // the entries at the start; their bodies are encoded as Decode reads them
	WallClock func() float64      // wall clock for the journal, ms since the Unix epoch
	// Encode and Decode turn the payload of a served answer into bytes and back; nil is not kept.
	Encode func(payload any) []byte
	Decode func(text []byte) any
}

// The reasons of rejections and failures; they are counted by these texts.
const (
	ReasonNoKey         = "the request lacks what names it"
	ReasonMismatch      = "the name of another request was used"
	ReasonInDoubt       = "an earlier request of this name may have run"
	ReasonExecuted      = "an earlier request of this name has run and its answer is no longer kept"
	ReasonNoCapacity    = "no room to recognise repeats"
	ReasonUnrecorded    = "the request could not be recorded"
	ReasonNoMajority    = "no majority of the fleet can be asked whether it has run"
	ReasonNoTransfer    = "what runs in the process before is not known"
	ReasonSuccessorLost = "the process that has taken over cannot be asked whether it has run"
	ReasonTimeout       = "an earlier request of this name was not answered in time"
)

// Middleware is the middleware. All of its methods may be called from any goroutine, unless they say otherwise.
type Middleware struct {
	config  Settings
	clock   clock.Clock
	log     *slog.Logger
	hasher  *keyHasher
	classes atomic.Pointer[classTable] // a call reads it once

	mu        sync.Mutex
	table     *idempotency.Table
	runs      map[idempotency.Ref]*run
	successor Claimer // the process that has the table after a transfer; nil = the table is here

	predecessor *predecessor // nil = there is none that transfers its table; set before the first call
}

// New returns the middleware. The error is an *idempotency.FieldError.
func New(set Settings, c clock.Clock, log *slog.Logger) (*Middleware, error) {
	table, err := idempotency.New(set.Table)
	if err != nil {
		return nil, err
	}
	s := &Middleware{config: set, clock: c, log: log, hasher: newKeyHasher(set.Secret), table: table, runs: map[idempotency.Ref]*run{}}
	s.classes.Store(newClassTable(&set))
	lost := 0
	for _, k := range set.Entries {
		if !s.restore(k) {
			lost++
		}
	}
	if len(set.Entries) > 0 {
		log.Info("idempotency keys from before the start were restored", "names", len(set.Entries)-lost)
	}
	if lost > 0 {
		log.Error("no capacity for idempotency keys from before the start", "names", lost)
	}
	return s, nil
}

// restore adds an entry whose body is still encoded to the table, and reports whether there was capacity.
func (s *Middleware) restore(k idempotency.Entry) bool {
	if text, ok := k.Body.([]byte); ok {
		k.Body, k.Size = nil, 0
		if payload := s.config.Decode(text); payload != nil {
			k.Body, k.Size = payload, s.config.Content(payload).Size()
		}
	}
	return s.table.Restore(s.clock.Now(), k)
}

// Counts returns what the table holds and has decided.
func (s *Middleware) Counts() idempotency.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Counts()
}

// Wrap implements core.Stage.
func (s *Middleware) Wrap(next core.Handler) core.Handler {
	return func(call *core.Call) core.Answer {
		t := s.classes.Load()
		if !t.inUse { // the first call, and FixNaming has not been called yet
			t = s.markInUse()
		}
		class := &t.classes[call.Class]
		if !class.Enabled && s.clock.Now() >= class.knownUntil {
			return next(call)
		}
		if s.predecessor != nil && !s.predecessor.wait(s, call) {
			if !s.config.Table.Classes[call.Class].AtMostOnce {
				return next(call)
			}
			return core.Refuse(core.Busy, ReasonNoTransfer, 0)
		}
		key, fingerprint, ok := s.hasher.sum(&class.Naming, call, s.config.Content(call.Payload))
		switch {
		case !ok && class.Required && class.Enabled:
			return core.Fail(core.Invalid, ReasonNoKey)
		case !ok:
			return next(call)
		}
		return s.serve(call, next, class, idempotency.Call{Key: key, Fingerprint: fingerprint, Class: call.Class, Tenant: call.Tenant,
			Windows: class.Windows})
	}
}

// serve carries out the decision of the table on a call.
func (s *Middleware) serve(call *core.Call, next core.Handler, class *classState, c idempotency.Call) core.Answer {
	for {
		s.mu.Lock()
		if !class.Enabled && s.successor == nil && !s.holds(c.Key) { // known keys stay until they expire, and no new ones are claimed
			s.mu.Unlock()
			if t := s.lookup(class, c, call.Deadline, call.Done()); t.Verdict != idempotency.Run {
				_, _, a := s.remoteAnswer(t)
				return a
			}
			return next(call)
		}
		d, r := s.decide(call, c)
		s.mu.Unlock()
		switch d.Verdict {
		case idempotency.Run:
			call.OnCancel(func() { s.removeWaiter(r) })
			s.execute(r, d.Ref, next, class, c)
			if call.Cancelled() {
				return core.Answer{Kind: core.ClientLeft}
			}
			return r.answer
		case idempotency.Join:
			if a, retry := s.await(call, r); !retry {
				return a
			}
		case idempotency.Replay:
			return core.Answer{Kind: core.Served, Payload: d.Body}
		case idempotency.RunUnrecorded:
			return next(call)
		default:
			return rejection(d.Verdict, d.RetryAfter)
		}
	}
}

// holds reports whether the table has a key. It is called under the lock.
func (s *Middleware) holds(key idempotency.Key) bool {
	s.table.Tick(s.clock.Now())
	_, known := s.table.ClassOf(key)
	return known
}

// decide returns the table's decision on a call, and the run that the call begins or joins, nil for none. It is
// called under the lock.
func (s *Middleware) decide(call *core.Call, c idempotency.Call) (d idempotency.Decision, r *run) {
	d = s.table.Claim(s.clock.Now(), c)
	switch d.Verdict {
	case idempotency.Run:
		r = &run{call: call.Fork(), waiters: 1, successor: s.successor, finished: make(chan struct{})}
		s.runs[d.Ref] = r
	case idempotency.Join:
		r = s.runs[d.Ref]
		r.waiters++
	}
	return d, r
}

// rejection returns the answer to a call that neither runs nor is answered by another run. wait is in milliseconds.
func rejection(v idempotency.Verdict, wait float64) core.Answer {
	switch v {
	case idempotency.Executed:
		return core.Fail(core.Duplicate, ReasonExecuted)
	case idempotency.InDoubt:
		return core.Fail(core.Duplicate, ReasonInDoubt)
	case idempotency.Mismatch:
		return core.Fail(core.KeyMismatch, ReasonMismatch)
	}
	return core.Refuse(core.Busy, ReasonNoCapacity, wait)
}

// expired returns a channel that is closed at a deadline, in milliseconds of the clock, unless stop is called before.
func (s *Middleware) expired(deadline float64) (passed <-chan struct{}, stop func()) {
	c := make(chan struct{})
	return c, s.clock.At(deadline, func() { close(c) })
}
