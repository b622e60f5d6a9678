package rollout

import "math"

const (
	validationInterval = 20.0 // ms between two reports while a change is validated and no hint can be waited for,
	pauseInterval      = 4.0  // and in the pause, or shortly before
	leaseFraction      = 0.95 // of a lease that is used, for clocks do not run at the same speed
)

// LeaseHolder is the state of a member: what it reports, and whether a call may begin. It follows orders (Obey) and hints
// (Observe). Times are in ms on the member's own clock, which must never go back, and go on while the process stands still.
// Its methods must not be called concurrently.
type LeaseHolder struct {
	name         string
	incarnation  uint64
	lease        float64 // requested, ms
	withoutLease bool    // calls begin without a lease too

	number    uint64 // in force
	hash      string
	failed    uint64   // the number that could not be activated, 0 = none
	until     float64  // until when calls may begin
	validated string   // ID of the proposal that was validated,
	rejection string   // and why it is rejected
	paused    string   // ID of the proposal that calls are paused for
	known     Progress // as of the last order
	ready     bool     // there was a lease
	lapsed    bool     // it was reported that the lease has expired
}

// Step is what a member does next. What is set is done in this order: Activate or Look, then Wait or Pause.
type Step struct {
	Pause    float64 // ms until the next report; 0 = at once
	Wait     float64 // ms for which to wait for a hint before the next report, instead of Pause; 0 = do not wait for one
	Activate bool    // activate Number, and call Activated or Failed
	Number   uint64
	Hash     string // of its document, which need not be fetched if it was validated
	Look     string // fetch and validate the document of this proposal, and call Saw
	Known    bool   // the first policy is in force: the node is ready
	Renewed  bool   // there is a lease again after it had expired
	Paused   bool   // no calls begin from now on
}

// NewLeaseHolder returns a lease holder that lets no call begin yet. lease is in ms. With goesOn, calls begin without a lease too,
// once there was one.
func NewLeaseHolder(name string, life uint64, lease float64, goesOn bool) *LeaseHolder {
	return &LeaseHolder{name: name, incarnation: life, lease: lease, withoutLease: goesOn}
}

// Admits reports whether a call may begin.
func (h *LeaseHolder) Admits(now float64) bool { return now < h.until }

// InForce returns the number that calls begin under, its document's hash, and until when; +Inf = without a lease.
func (h *LeaseHolder) InForce() (number uint64, hash string, until float64) {
	return h.number, h.hash, h.until
}

// Report returns the next report.
func (h *LeaseHolder) Report() Report {
	return Report{Node: h.name, Incarnation: h.incarnation, InForce: h.number, Lease: h.lease, WithoutLease: h.withoutLease, Validated: h.validated, Rejection: h.rejection, Paused: h.paused}
}

// Leave lets no call begin any more, and returns the last report.
func (h *LeaseHolder) Leave() Report {
	h.until = 0
	return Report{Node: h.name, Incarnation: h.incarnation, InForce: h.number, Leaving: true}
}

// RetryAfter returns the ms after which to retry what has failed, and to ask again for a hint that has not come.
func (h *LeaseHolder) RetryAfter() float64 { return h.lease / 10 }

// Lapsed reports, once, that the lease has expired.
func (h *LeaseHolder) Lapsed(now float64) bool {
	if h.lapsed || h.until <= 0 || h.Admits(now) {
		return false
	}
	h.lapsed = true
	return true
}

// ApplyOrder follows the order that answers a report. The lease counts from sent, the time before the report was sent: so it expires
// here before it does at the machine.
func (h *LeaseHolder) ApplyOrder(sent float64, o Order) Step {
	if o.Number != h.number {
		h.until = 0
		if o.Stage == Validating && h.validated != o.Change && o.Number > 0 && h.failed == o.Number {
			return Step{Look: o.Change} // else no change could end while this member is there, not even one that mends it
		}
		return Step{Activate: true, Number: o.Number, Hash: o.Hash}
	}
	h.known = Progress{o.Number, o.Hash, o.Change, o.Stage}
	s := Step{Pause: h.lease / 3}
	if o.Lease > 0 && o.Stage != Pausing {
		h.paused, h.until = "", sent+leaseFraction*o.Lease
		if h.withoutLease {
			h.until = math.Inf(1)
		}
		s.Renewed, s.Known = h.lapsed, !h.ready
		h.lapsed, h.ready = false, true
	}
	switch {
	case o.Stage == Validating && h.validated != o.Change:
		s.Look, s.Pause = o.Change, 0
	case o.Stage == Validating && o.PauseNear: // the pause lasts from the first member that knows of it to the last
		s.Wait, s.Pause = s.Pause, pauseInterval
	case o.Stage == Validating:
		s.Wait, s.Pause = s.Pause, validationInterval
	case o.Stage == Pausing && h.paused != o.Change:
		return h.pause(o.Change)
	case o.Stage == Pausing:
		s.Wait, s.Pause = h.RetryAfter(), pauseInterval
	}
	return s
}

// pause lets no call begin, for a change.
func (h *LeaseHolder) pause(id string) Step {
	h.until, h.validated, h.rejection, h.paused = 0, id, "", id
	return Step{Paused: true}
}

// Known returns the progress as of the last order. A hint is waited for until it differs.
func (h *LeaseHolder) Known() Progress { return h.known }

// ApplyHint follows a hint, which was true some time and may be outdated. It saves the report that would only learn the same: it
// pauses calls for a change that has come so far, and activates a number once they are paused. It never lets calls begin: only
// an order does.
func (h *LeaseHolder) ApplyHint(p Progress) Step {
	switch {
	case p == h.known: // nothing has changed
		if h.paused != "" {
			return Step{Pause: pauseInterval}
		}
		return Step{Pause: validationInterval}
	case p.Number == h.number && p.Stage == Pausing && p.Change == h.validated && p.Change != h.paused:
		return h.pause(p.Change)
	case p.Number > h.number && h.paused != "":
		return Step{Activate: true, Number: p.Number, Hash: p.Hash}
	}
	return Step{}
}

// RecordValidation records the validation of a proposal's document: unseen = it could not be fetched, fault = why it is rejected, nil = it is
// accepted. It returns the ms until the next report.
func (h *LeaseHolder) RecordValidation(id string, unseen bool, fault error) (pause float64) {
	if unseen {
		return validationInterval
	}
	if h.validated, h.rejection = id, ""; fault != nil {
		h.rejection = fault.Error()
	}
	return 0
}

// RecordActivation records that a number is in force.
func (h *LeaseHolder) RecordActivation(number uint64, hash string) {
	h.number, h.hash, h.failed, h.validated, h.rejection, h.paused, h.lapsed = number, hash, 0, "", "", "", false
}

// RecordActivationFailure records that a number could not be activated: it is tried again, and what is proposed meanwhile is validated. It returns
// the ms until the next report.
func (h *LeaseHolder) RecordActivationFailure(number uint64) (pause float64) {
	h.failed = number
	return h.RetryAfter()
}
