package controlplane

import (
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// confirmTimeout bounds the time for which a rejection or a read waits for its confirmation.
const confirmTimeout = 700 * time.Millisecond

// submitResult is the outcome of an order.
type submitResult struct {
	revision int64
	err      error
}

// Submit submits an order to this member, which must be the head of the chain, and returns the revision once the
// order is committed. An error of kind OutcomeUnknown means that the order may have been committed or may still
// be.
func (r *Replicator) Submit(order operator.Order, timeout time.Duration) (int64, error) {
	result := make(chan submitResult, 1)
	var id uint64 // accessed only by the goroutine of Run
	queued := r.enqueue(func() {
		r.lastID++
		id = r.lastID
		r.submissions[id] = result
		r.step(func(now time.Duration) replica.Ready { return r.machine.Submit(now, id, order) })
	})
	if !queued {
		return 0, errkind.New(errkind.OutcomeUnknown, "too many orders are waiting")
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result := <-result:
		return result.revision, result.err
	case <-timer.C:
		r.enqueue(func() {
			delete(r.submissions, id)
			r.machine.Cancel(id)
		})
		return 0, errkind.New(errkind.OutcomeUnknown, "not committed in time")
	}
}

// Read returns the newest committed state from this member, which must be the tail of the chain. The state is
// confirmed after the call began. Errors are of kind OutcomeUnknown.
func (r *Replicator) Read() (*operator.State, error) {
	result := make(chan *operator.State, 1)
	queued := r.enqueue(func() {
		r.confirmations.reads = append(r.confirmations.reads, pendingRead{r.clock(), result})
		r.step(r.machine.BroadcastHeartbeat)
	})
	if !queued {
		return nil, errkind.New(errkind.OutcomeUnknown, "this member is behind")
	}
	timer := time.NewTimer(confirmTimeout + tickInterval*2)
	defer timer.Stop()
	select {
	case state := <-result:
		if state == nil {
			return nil, errkind.New(errkind.OutcomeUnknown, "the state could not be confirmed")
		}
		return state, nil
	case <-timer.C:
		return nil, errkind.New(errkind.OutcomeUnknown, "this member is behind")
	}
}

// confirmations holds the rejections and reads that wait until a majority of the voters has confirmed, after the
// call arrived, that this member's view is the newest one. A member that has been replaced without knowing it must
// neither reject an order nor answer a read from its stale state. It is owned by the goroutine of Run.
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
	result chan<- *operator.State // receives nil if the state could not be confirmed in time
}

// resolve sends an order's result to Submit. A rejection that is not confirmed yet is kept until it is, and a
// heartbeat is sent to obtain the confirmation soon.
func (r *Replicator) resolve(reply replica.Reply) {
	if reply.Unconfirmed {
		r.confirmations.rejections = append(r.confirmations.rejections, pendingRejection{reply, r.clock()})
		r.step(r.machine.BroadcastHeartbeat)
		return
	}
	if result := r.submissions[reply.ID]; result != nil {
		result <- submitResult{reply.Revision, reply.Err}
		delete(r.submissions, reply.ID)
	}
}

// resolveConfirmed resolves the rejections and reads that have been confirmed or have timed out.
func (r *Replicator) resolveConfirmed() {
	r.resolveRejections()
	r.resolveReads()
}

func (r *Replicator) resolveRejections() {
	now, confirmed := r.clock(), r.machine.ViewConfirmed()
	rejections := r.confirmations.rejections
	r.confirmations.rejections = nil
	for _, rejection := range rejections {
		reply := rejection.reply
		switch {
		case r.machine.View().Epoch != reply.Epoch: // the order may have been rejected on the basis of a stale state
			r.resolve(replica.Reply{ID: reply.ID, Err: errkind.New(errkind.OutcomeUnknown, "the view changed meanwhile")})
		case confirmed > rejection.since:
			reply.Unconfirmed = false
			r.resolve(reply)
		case now-rejection.since > confirmTimeout:
			r.resolve(replica.Reply{ID: reply.ID, Err: errkind.New(errkind.OutcomeUnknown, "the view could not be confirmed")})
		default:
			r.confirmations.rejections = append(r.confirmations.rejections, rejection)
		}
	}
}

func (r *Replicator) resolveReads() {
	now, confirmed := r.clock(), r.machine.StateConfirmed()
	reads := r.confirmations.reads
	r.confirmations.reads = nil
	for _, read := range reads {
		switch {
		case confirmed > read.since:
			_, state := r.machine.Committed()
			read.result <- state
		case now-read.since > confirmTimeout:
			read.result <- nil
		default:
			r.confirmations.reads = append(r.confirmations.reads, read)
		}
	}
}
