package controlplane

import (
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// Published is a read-only copy of the replica's state for the rest of the process. Times are those of the
// replicator's clock, 0 for never.
type Published struct {
	Self            replica.Member
	View            replica.View
	Healthy         bool   // the disk can be written to
	Seq             uint64 // of State
	State           *operator.State
	ViewConfirmed   time.Duration // latest time at which the view is known to have been the newest one
	StateConfirmed  time.Duration // latest time at which State is known to have been the newest committed one
	AllVotersInView bool          // every other voter is known to be in this view
	Released        bool          // this member has been replaced and may exit
	Standby         []replica.Member
	CaughtUp        bool // this member has the view's initial state and all later orders that it knows of
	log             replica.Log
}

// source returns the configuration in the form from which polls are answered.
func (p *Published) source() *distribution.Source {
	return &distribution.Source{Seq: p.Seq, State: p.State, ConfirmedAt: p.StateConfirmed, Orders: p.OrdersSince}
}

// OrdersSince returns the committed orders with sequence numbers greater than from, up to and including to, or nil
// if the log no longer contains them all.
func (p *Published) OrdersSince(from, to uint64) []operator.Order {
	entries := p.log.Entries(from, to)
	if entries == nil {
		return nil
	}
	orders := make([]operator.Order, len(entries))
	for i, entry := range entries {
		orders[i] = entry.Order
	}
	return orders
}

// Published returns the latest published state, and a channel that is closed when another configuration or view is
// published or when the state is confirmed for the first time.
func (r *Replicator) Published() (Published, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published, r.changed
}

// publish publishes the machine's state. It is called only by the goroutine of Run and before that goroutine
// starts.
func (r *Replicator) publish() {
	seq, state := r.machine.Committed()
	next := Published{
		Self:            r.machine.Self(),
		View:            r.machine.View(),
		Healthy:         r.machine.Healthy(),
		Seq:             seq,
		State:           state,
		ViewConfirmed:   r.machine.ViewConfirmed(),
		StateConfirmed:  r.machine.StateConfirmed(),
		AllVotersInView: r.machine.AllVotersInView(),
		Released:        r.machine.Released(),
		Standby:         r.machine.Standby(),
		CaughtUp:        r.machine.Status().Holds,
		log:             r.machine.Log(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := next.Seq != r.published.Seq || next.View.Epoch != r.published.View.Epoch ||
		(next.StateConfirmed > 0) != (r.published.StateConfirmed > 0)
	r.published = next
	if changed {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}
