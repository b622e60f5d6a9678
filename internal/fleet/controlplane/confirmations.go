package controlplane

import (
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// confirmations are the answers that wait until a majority of the voters has confirmed, after the call came, that this
// member's view is the newest one. They belong to the replicator's goroutine.
type confirmations struct {
	refusals []refusal
	reads    []readWait
}

type refusal struct {
	reply replica.Reply
	since time.Duration
}

type readWait struct {
	since time.Duration
	done  chan<- *operator.State // nil state: it could not be confirmed
}

// end gives an order its result. One that is refused waits until it is sure that this member's view is the newest one.
func (r *Replicator) end(reply replica.Reply) {
	if reply.Unconfirmed {
		r.pending.refusals = append(r.pending.refusals, refusal{reply, r.clock()})
		r.step(r.machine.Heartbeat)
		return
	}
	if done := r.waiting[reply.ID]; done != nil {
		done <- orderResult{reply.Revision, reply.Err}
		delete(r.waiting, reply.ID)
	}
}

// settle answers refusals and reads that have been confirmed, or that could not be in time.
func (r *Replicator) settle() {
	r.settleRefusals()
	r.settleReads()
}

func (r *Replicator) settleRefusals() {
	now, confirmed := r.clock(), r.machine.ViewConfirmed()
	waiting := r.pending.refusals
	r.pending.refusals = nil
	for _, one := range waiting {
		switch {
		case r.machine.View().Epoch != one.reply.Epoch: // it was made on a state that may have been an older one
			r.end(replica.Reply{ID: one.reply.ID, Err: errkind.New(errkind.OutcomeUnknown, "the view changed meanwhile")})
		case confirmed > one.since:
			one.reply.Unconfirmed = false
			r.end(one.reply)
		case now-one.since > confirmWait:
			r.end(replica.Reply{ID: one.reply.ID, Err: errkind.New(errkind.OutcomeUnknown, "the view could not be confirmed")})
		default:
			r.pending.refusals = append(r.pending.refusals, one)
		}
	}
}

func (r *Replicator) settleReads() {
	now, confirmed := r.clock(), r.machine.StateConfirmed()
	waiting := r.pending.reads
	r.pending.reads = nil
	for _, one := range waiting {
		switch {
		case confirmed > one.since:
			_, state := r.machine.Committed()
			one.done <- state
		case now-one.since > confirmWait:
			one.done <- nil
		default:
			r.pending.reads = append(r.pending.reads, one)
		}
	}
}

// Read gives the newest committed state, confirmed after this call began.
func (r *Replicator) Read() (*operator.State, error) {
	done := make(chan *operator.State, 1)
	queued := r.enqueue(func() {
		r.pending.reads = append(r.pending.reads, readWait{r.clock(), done})
		r.step(r.machine.Heartbeat)
	})
	if !queued {
		return nil, errkind.New(errkind.OutcomeUnknown, "this member is behind")
	}
	timer := time.NewTimer(confirmWait + tickEvery*2)
	defer timer.Stop()
	select {
	case state := <-done:
		if state == nil {
			return nil, errkind.New(errkind.OutcomeUnknown, "the state could not be confirmed")
		}
		return state, nil
	case <-timer.C:
		return nil, errkind.New(errkind.OutcomeUnknown, "this member is behind")
	}
}
