package middleware

import (
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// run is a call that runs for all clients that wait for it.
type run struct {
	call      *core.Call    // the copy; nil = it runs in the predecessor, which is one of the waiters
	waiters   int           // clients; under the lock of the middleware
	successor Fleet         // claims it and is told its outcome; nil = the table was this process's when it began
	finished  chan struct{} // closed when answer is set
	answer    core.Answer
}

// result is what is known of a run so far, as its end will be reported.
type result struct {
	outcome idempotency.End
	payload any // of a served one
	size    int // bytes of payload
	claims  Fleet
	claim   *Taken // the one that was granted by claims; nil = none was
}

// execute runs a call for all who wait for it. Its outcome is reported before any client gets the answer.
func (s *Stage) execute(r *run, ref idempotency.Ref, next core.Handler, class *classState, c idempotency.Call) {
	res := &result{outcome: idempotency.EndInDoubt, claims: r.successor}
	if s.config.Fleet != nil && class.Agreed {
		res.claims = s.config.Fleet
	}
	r.answer = core.Fail(core.Unavailable, core.ReasonPanic) // what the clients get if the handler panics
	defer s.finish(r, ref, c, res)
	if err := s.recordBegin(class, c); err != nil {
		s.log.Error("the beginning of a request was not recorded", "error", err)
		if class.Recorded {
			res.outcome, r.answer = idempotency.EndNotRun, core.Refuse(core.Busy, ReasonUnrecorded, 0)
			return
		}
	}
	if !s.mayRun(r, class, c, res) {
		return
	}
	a := next(r.call)
	switch {
	case a.Kind == core.Served:
		res.outcome, res.payload = idempotency.EndServed, a.Payload
		res.size = s.config.Content(a.Payload).Size()
	case !a.Ran:
		res.outcome = idempotency.EndNotRun
	}
	r.answer = a
}

// mayRun claims the key of a run from whoever else may hold it. Where the call must not run here, it sets the answer.
func (s *Stage) mayRun(r *run, class *classState, c idempotency.Call, res *result) bool {
	var t Taken
	if res.claims != nil {
		t = res.claims.Take(c, r.call.Deadline, r.call.Left())
		if t.Verdict == idempotency.Run {
			res.claim, r.call.Stands = &t, t.Stands
		}
	} else {
		t = s.lookup(class, c, r.call.Deadline, r.call.Left())
	}
	if t.Verdict == idempotency.Run || res.claims != nil && t.Verdict == idempotency.Pass {
		return true
	}
	res.outcome, res.payload, r.answer = s.remoteAnswer(t)
	if res.payload != nil {
		res.size = s.config.Content(res.payload).Size()
	}
	return false
}

// finish reports the end of a run: first to whoever granted its claim and to the journal, then to the table, and only then to the
// clients. It runs after a panic of the handler, too.
func (s *Stage) finish(r *run, ref idempotency.Ref, c idempotency.Call, res *result) {
	if res.claim != nil {
		res.claims.Ended(c, *res.claim, res.outcome, s.encode(res.payload))
	}
	if j := s.config.Journal; j != nil {
		if _, err := j.Ended(s.config.Wall(), c, res.outcome, s.encode(res.payload)); err != nil {
			s.log.Error("the end of a request was not recorded", "error", err)
		}
	}
	s.mu.Lock()
	if successor := s.successor; successor != nil && r.successor == nil { // it was running when the table was transferred
		s.mu.Unlock()
		successor.Ended(c, Taken{}, res.outcome, s.encode(res.payload))
		s.mu.Lock()
	}
	s.table.End(s.clock.Now(), ref, res.outcome, res.payload, res.size)
	delete(s.runs, ref)
	close(r.finished)
	s.mu.Unlock()
}

// encode returns a payload as bytes; nil if there is none or it is not kept.
func (s *Stage) encode(payload any) []byte {
	if payload == nil {
		return nil
	}
	return s.config.Encode(payload)
}

// recordBegin records that a call is about to run, and waits for the disk where its class asks for it.
func (s *Stage) recordBegin(class *classState, c idempotency.Call) error {
	if s.config.Journal == nil {
		return nil
	}
	ticket, err := s.config.Journal.Began(s.config.Wall(), c)
	if err == nil && class.Recorded {
		err = ticket.Wait()
	}
	return err
}

// await waits for the answer of a run. retry reports that the run was cancelled without having executed, so that this call may be
// the next to run.
func (s *Stage) await(call *core.Call, r *run) (a core.Answer, retry bool) {
	expired, stop := s.expired(call.Deadline)
	defer stop()
	select {
	case <-r.finished:
		return r.answer, r.answer.Kind == core.Left && !call.HasLeft()
	case <-call.Left():
		s.removeWaiter(r)
		return core.Answer{Kind: core.Left}, false
	case <-expired:
		s.removeWaiter(r)
		return core.Fail(core.Unavailable, ReasonWaited), false
	}
}

// removeWaiter removes a client that waits no longer. A run that nobody waits for is cancelled.
func (s *Stage) removeWaiter(r *run) {
	s.mu.Lock()
	r.waiters--
	abandoned := r.waiters == 0
	s.mu.Unlock()
	if abandoned {
		r.call.Leave()
	}
}
