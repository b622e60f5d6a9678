package rollout

import "math"

const (
	validationInterval = 20.0 // ms between reports while a change is validated and waiting for a hint is impossible
	pauseInterval      = 4.0  // ms between reports during the pause and shortly before it
	leaseFraction      = 0.95 // part of a lease that is used, because clocks do not run at exactly the same speed
)

// LeaseHolder is the state of a member: what it reports and whether a call may begin. It follows orders
// (ApplyOrder) and hints (ApplyHint). Times are in ms on the member's own clock, which must be monotonic and
// continue to run while the process is suspended. The methods must not be called concurrently.
type LeaseHolder struct {
	name         string
	incarnation  uint64
	lease        float64 // requested duration, ms
	withoutLease bool    // admit calls without a lease too

	number    uint64 // number of the policy in force
	hash      string
	failed    uint64   // number that could not be activated; 0 = none
	until     float64  // time until which calls may begin
	validated string   // ID of the proposal that was validated
	rejection string   // reason why that proposal is rejected
	paused    string   // ID of the proposal for which calls are paused
	known     Progress // progress as of the last order
	ready     bool     // there has been a lease
	lapsed    bool     // the expiry of the lease has been reported
}

// Step is what a member does next, in this order: Activate or Look if set, then Wait or Pause.
type Step struct {
	Pause    float64 // ms until the next report; 0 = at once
	Wait     float64 // ms for which to wait for a hint before the next report, instead of Pause; 0 = do not wait for a hint
	Activate bool    // activate Number, and call RecordActivation or RecordActivationFailure
	Number   uint64
	Hash     string // hash of its document, which need not be fetched again if it was validated
	Look     string // fetch and validate the document of this proposal, and call RecordValidation
	Known    bool   // the first policy is in force: the node is ready
	Renewed  bool   // there is a lease again after it had expired
	Paused   bool   // no calls are admitted from now on
}

// NewLeaseHolder returns a lease holder that does not admit calls yet. lease is in ms. If withoutLease is set,
// calls are admitted without a lease too, once there has been one.
func NewLeaseHolder(name string, incarnation uint64, lease float64, withoutLease bool) *LeaseHolder {
	return &LeaseHolder{name: name, incarnation: incarnation, lease: lease, withoutLease: withoutLease}
}

// Admits reports whether a call may begin.
func (h *LeaseHolder) Admits(now float64) bool { return now < h.until }

// InForce returns the number of the policy in force, the hash of its document, and the time until which calls may
// begin; +Inf = without a lease.
func (h *LeaseHolder) InForce() (number uint64, hash string, until float64) {
	return h.number, h.hash, h.until
}

// Report returns the next report.
func (h *LeaseHolder) Report() Report {
	return Report{Node: h.name, Incarnation: h.incarnation, InForce: h.number, Lease: h.lease, WithoutLease: h.withoutLease, Validated: h.validated, Rejection: h.rejection, Paused: h.paused}
}

// Leave stops admitting calls and returns the last report.
func (h *LeaseHolder) Leave() Report {
	h.until = 0
	return Report{Node: h.name, Incarnation: h.incarnation, InForce: h.number, Leaving: true}
}

// RetryAfter returns the time, in ms, after which to retry a failed operation and to repeat a request for a hint.
func (h *LeaseHolder) RetryAfter() float64 { return h.lease / 10 }

// Lapsed reports whether the lease has expired. It returns true only once for each expiry.
func (h *LeaseHolder) Lapsed(now float64) bool {
	if h.lapsed || h.until <= 0 || h.Admits(now) {
		return false
	}
	h.lapsed = true
	return true
}

// ApplyOrder follows the order that answers a report. The lease counts from sent, a time before the report was
// sent, so that it expires here before it expires in the machine.
func (h *LeaseHolder) ApplyOrder(sent float64, o Order) Step {
	if o.Number != h.number {
		h.until = 0
		if o.Stage == Validating && h.validated != o.Change && o.Number > 0 && h.failed == o.Number {
			// Otherwise no change could complete while this member is live, not even one that fixes the problem.
			return Step{Look: o.Change}
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
	case o.Stage == Validating && o.PauseNear: // the pause lasts from the first member that learns of it to the last
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

// pause stops admitting calls for a change.
func (h *LeaseHolder) pause(id string) Step {
	h.until, h.validated, h.rejection, h.paused = 0, id, "", id
	return Step{Paused: true}
}

// Known returns the progress as of the last order. A hint arrives once the progress differs from it.
func (h *LeaseHolder) Known() Progress { return h.known }

// ApplyHint follows a hint, which was true at some time and may be outdated. It saves a report whose answer would
// contain the same information: it pauses calls for a change that has reached the pause, and activates a number
// once calls are paused. It never admits calls: only an order does.
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

// RecordValidation records the validation of a proposal's document. unseen means that the document could not be
// fetched; fault is the reason why it is rejected, nil = it is accepted. It returns the time until the next
// report, in ms.
func (h *LeaseHolder) RecordValidation(id string, unseen bool, fault error) (pause float64) {
	if unseen {
		return validationInterval
	}
	if h.validated, h.rejection = id, ""; fault != nil {
		h.rejection = fault.Error()
	}
	return 0
}

// RecordActivation records that the policy with a number is in force.
func (h *LeaseHolder) RecordActivation(number uint64, hash string) {
	h.number, h.hash, h.failed, h.validated, h.rejection, h.paused, h.lapsed = number, hash, 0, "", "", "", false
}

// RecordActivationFailure records that a number could not be activated. Activation is retried, and proposals are
// validated meanwhile. It returns the time until the next report, in ms.
func (h *LeaseHolder) RecordActivationFailure(number uint64) (pause float64) {
	h.failed = number
	return h.RetryAfter()
}
