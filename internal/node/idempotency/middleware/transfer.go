package middleware

import (
	"sync/atomic"

	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// predecessor is the process whose place this one takes: it hands its names over, still runs some, and asks here for each new one.
type predecessor struct {
	ready    chan struct{} // closed when the names are here, or will never be
	withheld atomic.Bool   // they will never be, and that process lives

	// Under the stage's lock.
	lost bool // it cannot be spoken with any more: what it runs may have run
	runs map[idempotency.Name]remoteRun
}

// remoteRun is a run in the process before.
type remoteRun struct {
	ref idempotency.Ref
	run *run
}

// wait holds a call until the names are here; false = it may not be told whether the call has run.
func (b *predecessor) wait(s *Stage, call *core.Call) bool {
	select {
	case <-b.ready:
		return !b.withheld.Load()
	default:
	}
	late := make(chan struct{})
	stop := s.clock.At(call.Deadline, func() { close(late) })
	defer stop()
	select {
	case <-b.ready:
		return !b.withheld.Load()
	case <-call.Left():
	case <-late:
	}
	return false
}

// Secret keys the hash of names.
func (s *Stage) Secret() []byte { return s.config.Secret }

// Once tells whether calls of a class must never run twice.
func (s *Stage) Once(class int) bool { return s.config.Book.Classes[class].Once }

// Give gives the book away, once and for good: heir is asked for each new name from here on, and told the end of what runs. The
// entries are as Settings.Known has them.
func (s *Stage) Give(successor Fleet) []idempotency.Known {
	s.mu.Lock()
	s.successor = successor
	s.table.Tick(s.clock.Now())
	list := s.table.Image()
	s.mu.Unlock()
	for i := range list {
		if k := &list[i]; k.Body != nil {
			text := s.config.Encode(k.Body)
			if k.Body, k.Size = nil, 0; text != nil {
				k.Body, k.Size = text, len(text)
			}
		}
	}
	return list
}

// Await has calls wait until Inherit, before the first one comes.
func (s *Stage) Await() {
	s.predecessor = &predecessor{ready: make(chan struct{}), runs: map[idempotency.Name]remoteRun{}}
}

// Inherit takes the book that another process has given away, after Await and before Take. The secret is the one under which its
// names are hashed.
func (s *Stage) Inherit(secret []byte, list []idempotency.Known) {
	s.config.Secret, s.hasher = secret, newKeyHasher(secret) // nobody uses them before heard is closed
	s.mu.Lock()
	running, lost := 0, 0
	for _, k := range list {
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
		s.addRemoteRun(k.Name, ref)
		running++
	}
	s.mu.Unlock()
	s.log.Info("the names of the process before are known", "names", len(list)-lost, "running", running)
	if lost > 0 {
		s.log.Error("there is no room for repeats from before the start", "names", lost)
	}
	close(s.predecessor.ready)
}

// addRemoteRun notes a run in the process before, under the lock.
func (s *Stage) addRemoteRun(name idempotency.Name, ref idempotency.Ref) {
	r := &run{waiters: 1, finished: make(chan struct{})}
	s.runs[ref], s.predecessor.runs[name] = r, remoteRun{ref, r}
}

// Take is Fleet's, for the process before.
func (s *Stage) Take(c idempotency.Call, deadline float64, left <-chan struct{}) Taken {
	late := make(chan struct{})
	stop := s.clock.At(deadline, func() { close(late) })
	defer stop()
	for {
		s.mu.Lock()
		if s.predecessor.lost {
			s.mu.Unlock()
			return Taken{Verdict: idempotency.Full, Reason: ReasonHeirGone}
		}
		d := s.table.Ask(s.clock.Now(), c)
		var r *run
		switch d.Verdict {
		case idempotency.Run:
			s.addRemoteRun(c.Name, d.Ref)
		case idempotency.Join:
			r = s.runs[d.Ref]
			r.waiters++ // it is not called off while they wait
		}
		s.mu.Unlock()
		if d.Verdict != idempotency.Join {
			t := Taken{Verdict: d.Verdict, Wait: d.Wait}
			if d.Body != nil {
				if t.Body = s.config.Encode(d.Body); t.Body == nil {
					t.Verdict = idempotency.Spent
				}
			}
			return t
		}
		select {
		case <-r.finished: // what came of it is in the book
			s.mu.Lock()
			r.waiters--
			s.mu.Unlock()
			continue
		case <-late:
		case <-left:
		}
		s.removeWaiter(r)
		return Taken{Verdict: idempotency.Join}
	}
}

// Ended is Fleet's, for the process before.
func (s *Stage) Ended(c idempotency.Call, _ Taken, outcome idempotency.End, body []byte) {
	payload, size := any(nil), 0
	a := core.Answer{Kind: core.Left} // it did not run: one of those that wait may be the next
	switch outcome {
	case idempotency.EndServed:
		a = core.Fail(core.Known, ReasonSpent)
		if len(body) > 0 {
			payload = s.config.Decode(body)
		}
		if payload != nil {
			a, size = core.Answer{Kind: core.Served, Payload: payload}, s.config.Content(payload).Size()
		} else {
			size = s.config.Book.Bytes + 1 // known without
		}
	case idempotency.EndInDoubt:
		a = core.Fail(core.Known, ReasonDoubt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.predecessor.runs[c.Name]; ok {
		s.endRemoteRun(c.Name, t, outcome, a, payload, size)
	}
}

// endRemoteRun ends a run in the process before, under the lock.
func (s *Stage) endRemoteRun(name idempotency.Name, t remoteRun, outcome idempotency.End, a core.Answer, body any, size int) {
	delete(s.predecessor.runs, name)
	s.table.End(s.clock.Now(), t.ref, outcome, body, size)
	delete(s.runs, t.ref)
	t.run.answer = a
	close(t.run.finished)
}

// Lost tells that the process before cannot be spoken with any more: what it had not ended may have run. alive tells whether it goes
// on: if it has not handed over its names either, they are its own, and none is taken here.
func (s *Stage) Lost(alive bool) {
	s.mu.Lock()
	s.predecessor.lost = true
	left := len(s.predecessor.runs)
	for name, t := range s.predecessor.runs {
		s.endRemoteRun(name, t, idempotency.EndInDoubt, core.Fail(core.Known, ReasonDoubt), nil, 0)
	}
	s.mu.Unlock()
	if left > 0 {
		s.log.Warn("the process before ended some requests unheard: they may have run", "names", left)
	}
	select {
	case <-s.predecessor.ready:
		return
	default:
	}
	if alive {
		s.log.Error("the process before goes on and has kept its names: what must not run twice is refused here")
	} else {
		s.log.Warn("the process before has ended without handing over its names: repeats of its requests are not known")
	}
	s.predecessor.withheld.Store(alive)
	close(s.predecessor.ready)
}
