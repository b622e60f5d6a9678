package dispatch

import (
	"slices"

	"linenwheel.dev/linenwheel/decide"
)

// Ticket is one request from its arrival to the end of its last attempt.
type Ticket struct {
	dispatcher   *Dispatcher
	id           decide.RequestID
	attempts     []attempt
	class        int
	openAttempts int
	done         bool // it has its final response, or its client has left
	mayHaveRun   bool // an attempt that has ended may have run
	queue        []Action
	ready        chan struct{} // signals that queue or done changed
}

// attempt is one request sent to one host.
type attempt struct {
	hostID     decide.BackendID
	sentAt     float64 // when it was decided: it goes out no sooner
	ended      bool
	mayHaveRun bool // known once it has ended
	cancelled  bool
}

// Open starts a request that has arrived.
func (d *Dispatcher) Open(r Request) *Ticket {
	t := &Ticket{}
	d.Begin(t, r)
	return t
}

// Begin is Open for a Ticket that the caller allocates, which must be a zero one.
func (d *Dispatcher) Begin(t *Ticket, r Request) {
	t.dispatcher, t.ready = d, make(chan struct{}, 1)
	d.update(func(now float64) {
		d.lastID++
		t.id, t.class = d.lastID, r.Class
		if d.finished {
			t.enqueue(Action{Kind: Reject})
			t.done = true
			return
		}
		d.tickets[t.id] = t
		d.balancer.Request(toDuration(now), decide.Request{ID: t.id, Class: r.Class, Tenant: r.Tenant,
			Deadline: toDuration(r.Deadline), Cost: r.Cost, Repeat: r.ClientRetry})
	})
}

// Next blocks until there is something to do for the request. After Done it always returns Done.
func (t *Ticket) Next() Action {
	for {
		t.dispatcher.mu.Lock()
		if len(t.queue) > 0 {
			v := t.queue[0]
			t.queue = t.queue[1:]
			t.dispatcher.mu.Unlock()
			return v
		}
		done, ran := t.done && t.openAttempts == 0, t.mayHaveRun
		t.dispatcher.mu.Unlock()
		if done {
			return Action{Kind: Done, Ran: ran}
		}
		<-t.ready
	}
}

// Complete tells whether nothing more will come: the final response is given and no attempt is open.
func (t *Ticket) Complete() bool {
	t.dispatcher.mu.Lock()
	defer t.dispatcher.mu.Unlock()
	return t.done && t.openAttempts == 0 && len(t.queue) == 0
}

// MaySend tells, just before the first byte of an attempt goes out, whether the final response is still owed, and whether the
// rules permit an attempt at a host at an address now: not at a draining host after its grace, not at an earlier address,
// and not after one that may have run once duplicates are no longer dropped. Since the attempt was decided its connection
// may have taken long to come up.
func (t *Ticket) MaySend(name, address string) (owed, permitted bool) {
	d := t.dispatcher
	if d == nil {
		return true, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, id := d.clock.Now(), d.hostIDs[name]
	h := d.hosts[id]
	return !t.done, h != nil && h.Address == address && now <= h.drainingSince+d.drainGrace && t.retryPermitted(id, now)
}

// retryPermitted tells whether an attempt at a host may go out in view of those before it.
func (t *Ticket) retryPermitted(hostID decide.BackendID, now float64) bool {
	for i := range t.attempts {
		a := &t.attempts[i]
		if a.hostID == hostID && !a.ended {
			return true
		}
		if !a.ended || a.mayHaveRun {
			return now < a.sentAt+t.dispatcher.retryWindow[t.class]
		}
	}
	return true
}

func (t *Ticket) enqueue(v Action) {
	t.queue = append(t.queue, v)
	t.signal()
}

func (t *Ticket) signal() {
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// withdrawUnpicked takes back the attempts that were decided and that nobody has picked: nothing goes out any more for a
// request that is about to be done.
func (t *Ticket) withdrawUnpicked() {
	t.queue = slices.DeleteFunc(t.queue, func(v Action) bool {
		if v.Kind == Send {
			a := &t.attempts[v.AttemptIndex]
			a.ended = true
			t.openAttempts--
			t.reportUnsent(v.AttemptIndex, true)
		}
		return v.Kind == Send || v.Kind == Cancel && t.attempts[v.AttemptIndex].ended
	})
}

// reportUnsent has the module told, after its present event, that attempt n was not sent. over: the request is done.
func (t *Ticket) reportUnsent(n int, over bool) {
	t.dispatcher.unsentOutcomes = append(t.dispatcher.unsentOutcomes, decide.Outcome{Request: t.id, Backend: t.attempts[n].hostID,
		Attempt: n, Over: over, Result: decide.NotSent})
}

// finish marks that the request has its final response, or that nobody waits for it.
func (t *Ticket) finish() {
	t.done = true
	t.signal()
	t.removeIfDone()
}

// removeIfDone drops a done ticket once it has no open attempt.
func (t *Ticket) removeIfDone() {
	if t.done && t.openAttempts == 0 {
		delete(t.dispatcher.tickets, t.id)
		t.signal()
	}
}

// Report tells how attempt n ended. The payload of the first one that served the request becomes its response; used tells
// whether this is the one. A second report of one attempt is ignored.
func (t *Ticket) Report(n int, o Outcome, payload any) (used bool) {
	t.dispatcher.update(func(now float64) {
		if n < 0 || n >= len(t.attempts) || t.attempts[n].ended {
			return
		}
		a := &t.attempts[n]
		a.ended, a.mayHaveRun = true, balancerResults[o].MayHaveRun()
		t.mayHaveRun = t.mayHaveRun || a.mayHaveRun
		t.openAttempts--
		if o == Served && !t.done {
			t.withdrawUnpicked()
			t.enqueue(Action{Kind: Respond, AttemptIndex: n, Payload: payload})
			used = true
			t.finish()
		}
		t.dispatcher.balancer.Outcome(toDuration(now), decide.Outcome{Request: t.id, Backend: a.hostID, Attempt: n, Over: t.done,
			Latency: toDuration(now - a.sentAt), Result: balancerResults[o]})
		t.removeIfDone()
	})
	return used
}

// ClientLeft tells that the client has left.
func (t *Ticket) ClientLeft() {
	t.dispatcher.update(func(now float64) {
		if t.done {
			return
		}
		t.done = true // first, so that nothing is sent for it any more
		t.withdrawUnpicked()
		t.dispatcher.balancer.Gone(toDuration(now), t.id)
		t.finish()
	})
}
