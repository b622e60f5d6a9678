package middleware

import (
	"sync/atomic"

	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// predecessor is the process that this one replaces in a hot restart: it transfers its table, still runs some calls,
// and claims each new key here.
type predecessor struct {
	ready    chan struct{} // closed when the table is here, or will never be
	withheld atomic.Bool   // the table will never arrive, and the predecessor keeps serving; set before ready is closed

	// Under the lock of the middleware.
	lost bool // the channel to it is broken: what it runs may have executed
	runs map[idempotency.Key]remoteRun
}

// remoteRun is a run in the predecessor.
type remoteRun struct {
	ref idempotency.Ref
	run *run
}

// wait blocks a call until the table has been transferred, its deadline passes or its client leaves. It returns false
// if it is not known, and will not be, whether the call has run.
func (p *predecessor) wait(s *Middleware, call *core.Call) bool {
	select {
	case <-p.ready:
		return !p.withheld.Load()
	default:
	}
	expired, stop := s.expired(call.Deadline)
	defer stop()
	select {
	case <-p.ready:
		return !p.withheld.Load()
	case <-call.Done():
	case <-expired:
	}
	return false
}

// Secret returns the secret of the hash of keys.
func (s *Middleware) Secret() []byte { return s.config.Secret }

// Once reports whether calls of a class must never run twice.
func (s *Middleware) Once(class int) bool { return s.config.Table.Classes[class].AtMostOnce }

// BeginTransfer transfers the table, once and for good: from here on each new key is claimed from the successor,
// and the outcome of each run is reported to it. The entries are encoded as Settings.Entries has them.
func (s *Middleware) BeginTransfer(successor Claimer) []idempotency.Entry {
	s.mu.Lock()
	s.successor = successor
	s.table.Tick(s.clock.Now())
	entries := s.table.Snapshot()
	s.mu.Unlock()
	for i := range entries {
		if k := &entries[i]; k.Body != nil {
			text := s.config.Encode(k.Body)
			if k.Body, k.Size = nil, 0; text != nil {
				k.Body, k.Size = text, len(text)
			}
		}
	}
	return entries
}

// AwaitTransfer makes calls wait until AcceptTransfer or PredecessorLost. It is called before the first call arrives.
func (s *Middleware) AwaitTransfer() {
	s.predecessor = &predecessor{ready: make(chan struct{}), runs: map[idempotency.Key]remoteRun{}}
}

// AcceptTransfer takes the table that the predecessor has transferred, after AwaitTransfer and before Claim. The
// secret is the one under which its keys are hashed.
func (s *Middleware) AcceptTransfer(secret []byte, entries []idempotency.Entry) {
	s.config.Secret, s.hasher = secret, newKeyHasher(secret) // nobody reads them before ready is closed
	s.mu.Lock()
	running, lost := 0, 0
	for _, k := range entries {
		if !k.Running {
			if !s.restore(k) {
				lost++
			}
			continue
		}
		ref, ok := s.table.Resume(s.clock.Now(), k.Call)
		if !ok {
			lost++
			continue
		}
		s.addRemoteRun(k.Key, ref)
		running++
	}
	s.mu.Unlock()
	s.log.Info("the idempotency keys of the previous process were received", "names", len(entries)-lost, "running", running)
	if lost > 0 {
		s.log.Error("no capacity for idempotency keys from before the start", "names", lost)
	}
	close(s.predecessor.ready)
}

// addRemoteRun adds a run of the predecessor. It is called under the lock.
func (s *Middleware) addRemoteRun(key idempotency.Key, ref idempotency.Ref) {
	r := &run{waiters: 1, finished: make(chan struct{})}
	s.runs[ref], s.predecessor.runs[key] = r, remoteRun{ref, r}
}

// Claim implements Claimer for the predecessor.
func (s *Middleware) Claim(c idempotency.Call, deadline float64, left <-chan struct{}) ClaimResult {
	expired, stop := s.expired(deadline)
	defer stop()
	for {
		s.mu.Lock()
		if s.predecessor.lost {
			s.mu.Unlock()
			return ClaimResult{Verdict: idempotency.Full, Reason: ReasonSuccessorLost}
		}
		d := s.table.Claim(s.clock.Now(), c)
		var r *run
		switch d.Verdict {
		case idempotency.Run:
			s.addRemoteRun(c.Key, d.Ref)
		case idempotency.Join:
			r = s.runs[d.Ref]
			r.waiters++ // it is not cancelled while they wait
		}
		s.mu.Unlock()
		if d.Verdict != idempotency.Join {
			return s.claimResult(d)
		}
		select {
		case <-r.finished: // its outcome is in the table: ask again
			s.mu.Lock()
			r.waiters--
			s.mu.Unlock()
			continue
		case <-expired:
		case <-left:
		}
		s.removeWaiter(r)
		return ClaimResult{Verdict: idempotency.Join}
	}
}

// claimResult returns a decision of the table in the form in which the predecessor receives it. A response that
// cannot be encoded is not available there.
func (s *Middleware) claimResult(d idempotency.Decision) ClaimResult {
	t := ClaimResult{Verdict: d.Verdict, RetryAfter: d.RetryAfter}
	if d.Body != nil {
		if t.Body = s.config.Encode(d.Body); t.Body == nil {
			t.Verdict = idempotency.Executed
		}
	}
	return t
}

// Complete implements Claimer for the predecessor.
func (s *Middleware) Complete(c idempotency.Call, _ ClaimResult, outcome idempotency.Outcome, body []byte) {
	payload, size := any(nil), 0
	a := core.Answer{Kind: core.ClientLeft} // it did not run: one of the waiters may be the next
	switch outcome {
	case idempotency.OutcomeServed:
		a = core.Fail(core.Duplicate, ReasonExecuted)
		if len(body) > 0 {
			payload = s.config.Decode(body)
		}
		if payload != nil {
			a, size = core.Answer{Kind: core.Served, Payload: payload}, s.config.Content(payload).Size()
		} else {
			size = s.config.Table.MaxBodyBytes + 1 // too large to be kept: only known to have executed
		}
	case idempotency.OutcomeInDoubt:
		a = core.Fail(core.Duplicate, ReasonInDoubt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.predecessor.runs[c.Key]; ok {
		s.endRemoteRun(c.Key, t, outcome, a, payload, size)
	}
}

// endRemoteRun ends a run of the predecessor. It is called under the lock.
func (s *Middleware) endRemoteRun(key idempotency.Key, t remoteRun, outcome idempotency.Outcome, a core.Answer, body any, size int) {
	delete(s.predecessor.runs, key)
	s.table.Complete(s.clock.Now(), t.ref, outcome, body, size)
	delete(s.runs, t.ref)
	t.run.answer = a
	close(t.run.finished)
}

// PredecessorLost reports that the channel to the predecessor is broken: what it was still running may have
// executed. alive says whether it keeps serving. If it does and has not transferred its table, the keys remain its
// own: calls that must not run twice are rejected here.
func (s *Middleware) PredecessorLost(alive bool) {
	s.mu.Lock()
	s.predecessor.lost = true
	left := len(s.predecessor.runs)
	for key, t := range s.predecessor.runs {
		s.endRemoteRun(key, t, idempotency.OutcomeInDoubt, core.Fail(core.Duplicate, ReasonInDoubt), nil, 0)
	}
	s.mu.Unlock()
	if left > 0 {
		s.log.Warn("the outcomes of some requests of the previous process are unknown: they may have run", "names", left)
	}
	select {
	case <-s.predecessor.ready:
		return
	default:
	}
	if alive {
		s.log.Error("the previous process resumed without transferring its idempotency keys: at-most-once requests are rejected here")
	} else {
		s.log.Warn("the previous process ended without transferring its idempotency keys: repeats of its requests are not recognised")
	}
	s.predecessor.withheld.Store(alive)
	close(s.predecessor.ready)
}
