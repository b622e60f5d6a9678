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
	rejections []pendingRejection
	reads      []pendingRead
}

type pendingRejection struct {
	reply replica.Reply
	since time.Duration
}

type pendingRead struct {
	since  time.Duration
	result chan<- *operator.State // nil state: it could not be confirmed
}

// resolve gives an order its result. One that is refused waits until it is sure that this member's view is the newest one.
func (r *Replicator) resolve(reply replica.Reply) {
	if reply.Unconfirmed {
		r.confirmations.rejections = append(r.confirmations.rejections, pendingRejection{reply, r.clock()})
		r.step(r.machine.Heartbeat)
		return
	}
	if done := r.submissions[reply.ID]; done != nil {
		done <- submitResult{reply.Revision, reply.Err}
		delete(r.submissions, reply.ID)
	}
}

// resolveConfirmed answers refusals and reads that have been confirmed, or that could not be in time.
func (r *Replicator) resolveConfirmed() {
	r.resolveRejections()
	r.resolveReads()
}

func (r *Replicator) resolveRejections() {
	now, confirmed := r.clock(), r.machine.ViewConfirmed()
	waiting := r.confirmations.rejections
	r.confirmations.rejections = nil
	for _, one := range waiting {
		switch {
		case r.machine.View().Epoch != one.reply.Epoch: // it was made on a state that may have been an older one
			r.resolve(replica.Reply{ID: one.reply.ID, Err: errkind.New(errkind.OutcomeUnknown, "the view changed meanwhile")})
		case confirmed > one.since:
			one.reply.Unconfirmed = false
			r.resolve(one.reply)
		case now-one.since > confirmTimeout:
			r.resolve(replica.Reply{ID: one.reply.ID, Err: errkind.New(errkind.OutcomeUnknown, "the view could not be confirmed")})
		default:
			r.confirmations.rejections = append(r.confirmations.rejections, one)
		}
	}
}

func (r *Replicator) resolveReads() {
	now, confirmed := r.clock(), r.machine.StateConfirmed()
	waiting := r.confirmations.reads
	r.confirmations.reads = nil
	for _, one := range waiting {
		switch {
		case confirmed > one.since:
			_, state := r.machine.Committed()
			one.result <- state
		case now-one.since > confirmTimeout:
			one.result <- nil
		default:
			r.confirmations.reads = append(r.confirmations.reads, one)
		}
	}
}

// Read gives the newest committed state, confirmed after this call began.
func (r *Replicator) Read() (*operator.State, error) {
	done := make(chan *operator.State, 1)
	queued := r.enqueue(func() {
		r.confirmations.reads = append(r.confirmations.reads, pendingRead{r.clock(), done})
		r.step(r.machine.Heartbeat)
	})
	if !queued {
		return nil, errkind.New(errkind.OutcomeUnknown, "this member is behind")
	}
	timer := time.NewTimer(confirmTimeout + tickInterval*2)
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
