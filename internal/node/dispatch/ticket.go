package dispatch

import (
	"slices"

	"linenwheel.dev/linenwheel/decide"
)

// Ticket tracks one request from its arrival to the end of its last attempt.
type Ticket struct {
	dispatcher   *Dispatcher
	id           decide.RequestID
	attempts     []attempt
	class        int
	openAttempts int
	done         bool // the final response has been queued, or the client has disconnected
	mayHaveRun   bool // an attempt that has ended may have run
	queue        []Action
	ready        chan struct{} // signals that queue or done changed
}

// attempt is one request sent to one host.
type attempt struct {
	hostID     decide.BackendID
	sentAt     float64 // when the attempt was decided on; it is sent no earlier
	ended      bool
	mayHaveRun bool // valid once ended is true
	cancelled  bool
}

// Open registers a request that has arrived and returns its ticket.
func (d *Dispatcher) Open(r Request) *Ticket {
	t := &Ticket{}
	d.Begin(t, r)
	return t
}

// Begin is like Open, but uses a Ticket allocated by the caller, which must be the zero value.
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

// Next blocks until there is something to do for the request and returns it. After Done it always returns Done.
func (t *Ticket) Next() Action {
	for {
		t.dispatcher.mu.Lock()
		if len(t.queue) > 0 {
			action := t.queue[0]
			t.queue = t.queue[1:]
			t.dispatcher.mu.Unlock()
			return action
		}
		done, ran := t.done && t.openAttempts == 0, t.mayHaveRun
		t.dispatcher.mu.Unlock()
		if done {
			return Action{Kind: Done, Ran: ran}
		}
		<-t.ready
	}
}

// Complete reports whether no further action will follow: the final response has been taken and no attempt is open.
func (t *Ticket) Complete() bool {
	t.dispatcher.mu.Lock()
	defer t.dispatcher.mu.Unlock()
	return t.done && t.openAttempts == 0 && len(t.queue) == 0
}

// MaySend is called just before the first byte of an attempt is sent, since its connection may have taken long to
// establish after the attempt was decided on. owed reports whether the request still lacks its final response.
// permitted reports whether the rules allow an attempt at this host and address now: not at a draining host after
// its grace period, not at an earlier address of the host, and not after an attempt that may have run once
// duplicates are no longer dropped.
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

// retryPermitted reports whether an attempt at a host may be sent, given the attempts before it.
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

func (t *Ticket) enqueue(action Action) {
	t.queue = append(t.queue, action)
	t.signal()
}

func (t *Ticket) signal() {
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// withdrawQueued removes the attempts that were decided on but not yet returned by Next, so that nothing is sent for
// a request that is about to be done.
func (t *Ticket) withdrawQueued() {
	t.queue = slices.DeleteFunc(t.queue, func(action Action) bool {
		if action.Kind == Send {
			a := &t.attempts[action.AttemptIndex]
			a.ended = true
			t.openAttempts--
			t.reportNotSent(action.AttemptIndex, true)
		}
		return action.Kind == Send || action.Kind == Cancel && t.attempts[action.AttemptIndex].ended
	})
}

// reportNotSent schedules a report to the decision module, after its current event, that attempt n was not sent.
// over: the request is done.
func (t *Ticket) reportNotSent(n int, over bool) {
	t.dispatcher.notSent = append(t.dispatcher.notSent, decide.Outcome{Request: t.id, Backend: t.attempts[n].hostID,
		Attempt: n, Over: over, Result: decide.NotSent})
}

// finish marks the request as done: it has its final response, or its client has disconnected.
func (t *Ticket) finish() {
	t.done = true
	t.signal()
	t.removeIfDone()
}

// removeIfDone removes a done ticket once it has no open attempt.
func (t *Ticket) removeIfDone() {
	if t.done && t.openAttempts == 0 {
		delete(t.dispatcher.tickets, t.id)
		t.signal()
	}
}

// Report records how attempt n ended. The payload of the first attempt that served the request becomes its response;
// used reports whether it was this attempt. A second report for the same attempt is ignored.
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
			t.withdrawQueued()
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

// ClientLeft records that the client has disconnected.
func (t *Ticket) ClientLeft() {
	t.dispatcher.update(func(now float64) {
		if t.done {
			return
		}
		t.done = true // set first, so that nothing more is sent for the request
		t.withdrawQueued()
		t.dispatcher.balancer.ClientGone(toDuration(now), t.id)
		t.finish()
	})
}
