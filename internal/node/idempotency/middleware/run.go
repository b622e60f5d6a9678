package middleware

import (
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// run is one execution of a call, for all clients that wait for it.
type run struct {
	call      *core.Call    // the copy; nil = it runs in the predecessor, which is one of the waiters
	waiters   int           // clients; under the lock of the middleware
	successor Claimer       // grants its claim and receives its outcome; nil = the table was this process's when it began
	finished  chan struct{} // closed when answer is set
	answer    core.Answer
}

// result is the outcome of a run as it will be reported, as far as it is known.
type result struct {
	outcome idempotency.Outcome
	payload any // of a served one
	size    int // bytes of payload
	claims  Claimer
	claim   *ClaimResult // the one that was granted by claims; nil = none was
}

// execute runs a call for all who wait for it. Its outcome is reported before any client gets the answer.
func (s *Middleware) execute(r *run, ref idempotency.Ref, next core.Handler, class *classState, c idempotency.Call) {
	res := &result{outcome: idempotency.OutcomeInDoubt, claims: r.successor}
	if s.config.Claimer != nil && class.Replicated {
		res.claims = s.config.Claimer
	}
	r.answer = core.Fail(core.Unavailable, core.ReasonPanic) // what the clients get if the handler panics
	defer s.finish(r, ref, c, res)
	if err := s.recordBegin(class, c); err != nil {
		s.log.Error("the start of a request could not be written to the journal", "error", err)
		if class.Recorded {
			res.outcome, r.answer = idempotency.OutcomeNotExecuted, core.Refuse(core.Busy, ReasonUnrecorded, 0)
			return
		}
	}
	if !s.mayRun(r, class, c, res) {
		return
	}
	a := next(r.call)
	switch {
	case a.Kind == core.Served:
		res.outcome, res.payload = idempotency.OutcomeServed, a.Payload
		res.size = s.config.Content(a.Payload).Size()
	case !a.Ran:
		res.outcome = idempotency.OutcomeNotExecuted
	}
	r.answer = a
}

// mayRun claims the key of a run from whoever else may hold it. Where the call must not run here, it sets the answer.
func (s *Middleware) mayRun(r *run, class *classState, c idempotency.Call, res *result) bool {
	var t ClaimResult
	if res.claims != nil {
		t = res.claims.Claim(c, r.call.Deadline, r.call.Done())
		if t.Verdict == idempotency.Run {
			res.claim, r.call.MayRun = &t, t.Valid
		}
	} else {
		t = s.lookup(class, c, r.call.Deadline, r.call.Done())
	}
	if t.Verdict == idempotency.Run || res.claims != nil && t.Verdict == idempotency.RunUnrecorded {
		return true
	}
	res.outcome, res.payload, r.answer = s.remoteAnswer(t)
	if res.payload != nil {
		res.size = s.config.Content(res.payload).Size()
	}
	return false
}

// finish reports the end of a run: first to whoever granted its claim and to the journal, then to the table, and
// only then to the clients. It runs after a panic of the handler, too.
func (s *Middleware) finish(r *run, ref idempotency.Ref, c idempotency.Call, res *result) {
	if res.claim != nil {
		res.claims.Complete(c, *res.claim, res.outcome, s.encode(res.payload))
	}
	if j := s.config.Journal; j != nil {
		if _, err := j.Ended(s.config.WallClock(), c, res.outcome, s.encode(res.payload)); err != nil {
			s.log.Error("the outcome of a request could not be written to the journal", "error", err)
		}
	}
	s.mu.Lock()
	if successor := s.successor; successor != nil && r.successor == nil { // it was running when the table was transferred
		s.mu.Unlock()
		successor.Complete(c, ClaimResult{}, res.outcome, s.encode(res.payload))
		s.mu.Lock()
	}
	s.table.Complete(s.clock.Now(), ref, res.outcome, res.payload, res.size)
	delete(s.runs, ref)
	close(r.finished)
	s.mu.Unlock()
}

// encode returns a payload as bytes; nil if there is none or it is not kept.
func (s *Middleware) encode(payload any) []byte {
	if payload == nil {
		return nil
	}
	return s.config.Encode(payload)
}

// recordBegin records that a call is about to run, and waits for the disk where its class requires it.
func (s *Middleware) recordBegin(class *classState, c idempotency.Call) error {
	if s.config.Journal == nil {
		return nil
	}
	ticket, err := s.config.Journal.Began(s.config.WallClock(), c)
	if err == nil && class.Recorded {
		err = ticket.Wait()
	}
	return err
}

// await waits for the answer of a run. retry reports that the run was cancelled without having executed, so that
// this call may be the next to run.
func (s *Middleware) await(call *core.Call, r *run) (a core.Answer, retry bool) {
	expired, stop := s.expired(call.Deadline)
	defer stop()
	select {
	case <-r.finished:
		return r.answer, r.answer.Kind == core.ClientLeft && !call.Cancelled()
	case <-call.Done():
		s.removeWaiter(r)
		return core.Answer{Kind: core.ClientLeft}, false
	case <-expired:
		s.removeWaiter(r)
		return core.Fail(core.Unavailable, ReasonTimeout), false
	}
}

// removeWaiter removes a client that no longer waits. A run that nobody waits for is cancelled.
func (s *Middleware) removeWaiter(r *run) {
	s.mu.Lock()
	r.waiters--
	abandoned := r.waiters == 0
	s.mu.Unlock()
	if abandoned {
		r.call.Cancel()
	}
}
