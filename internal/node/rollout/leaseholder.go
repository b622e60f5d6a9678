package rollout

import "math"

const (
	lookingPause = 20.0 // ms between two reports while a change is looked at and no hint can be waited for,
	pausingPause = 4.0  // and while calls are held, or soon will be
	part         = 0.95 // of a lease that is used: clocks run unlike
)

// LeaseHolder is a member's side: it says what to report, obeys what it is told, and knows whether a call may begin. Time is the
// member's own, milliseconds of a clock that never goes back and goes on while the process stands still.
type LeaseHolder struct {
	name   string
	life   uint64
	lease  float64
	goesOn bool

	holds  uint64
	cannot uint64 // the number that could not be taken; 0 = none
	hash   string
	until  float64 // calls begin until then
	looked string
	fault  string
	paused string
	news   Progress // as the last order had it
	known  bool
	lapsed bool
}

// Step is what a member does next.
type Step struct {
	Pause    float64 // ms until the next report; 0 = at once
	Wait     float64 // ms for which a hint is waited for before the next report, in place of Pause; 0 = it is not
	Activate bool    // have what holds in force first: Number, and tell Took
	Number   uint64
	Hash     string // of its document: whoever has looked at it need not ask for it
	Look     string // look at this proposal's document first, and tell Saw
	Known    bool   // the first policy is in force: the node is ready
	Renewed  bool   // after the lease had run out
	Paused   bool   // calls are held from now on
}

// NewLeaseHolder makes one that lets no call begin. A lease is given in ms; goesOn: calls begin without one, too.
func NewLeaseHolder(name string, life uint64, lease float64, goesOn bool) *LeaseHolder {
	return &LeaseHolder{name: name, life: life, lease: lease, goesOn: goesOn}
}

// Open tells whether a call may begin.
func (h *LeaseHolder) Open(now float64) bool { return now < h.until }

// InForce tells which number calls begin under, its document's hash, and until when; +Inf = whatever comes.
func (h *LeaseHolder) InForce() (number uint64, hash string, until float64) {
	return h.holds, h.hash, h.until
}

// Report is what it says of itself next.
func (h *LeaseHolder) Report() Report {
	return Report{Node: h.name, Life: h.life, Holds: h.holds, Lease: h.lease, GoesOn: h.goesOn, Looked: h.looked, Fault: h.fault, Paused: h.paused}
}

// Leave lets no call begin any more, and gives the last report.
func (h *LeaseHolder) Leave() Report {
	h.until = 0
	return Report{Node: h.name, Life: h.life, Holds: h.holds, Leaves: true}
}

// RetryAfter is the time until it tries again what failed, or has not come: a hint, too, ms.
func (h *LeaseHolder) RetryAfter() float64 { return h.lease / 10 }

// Lapsed tells, once, that the lease has run out.
func (h *LeaseHolder) Lapsed(now float64) bool {
	if h.lapsed || h.until <= 0 || h.Open(now) {
		return false
	}
	h.lapsed = true
	return true
}

// Obey takes the order that a report got which was asked for at a time.
func (h *LeaseHolder) Obey(asked float64, o Order) Step {
	if o.Number != h.holds {
		h.until = 0
		if o.Stage == Looking && h.looked != o.Change && o.Number > 0 && h.cannot == o.Number {
			return Step{Look: o.Change} // else no change could end while it is there, not even the one that it waits for
		}
		return Step{Activate: true, Number: o.Number, Hash: o.Hash}
	}
	h.news = Progress{o.Number, o.Hash, o.Change, o.Stage}
	s := Step{Pause: h.lease / 3}
	if o.Lease > 0 && o.Stage != Pausing {
		h.paused, h.until = "", asked+part*o.Lease
		if h.goesOn {
			h.until = math.Inf(1)
		}
		s.Renewed, s.Known = h.lapsed, !h.known
		h.lapsed, h.known = false, true
	}
	switch {
	case o.Stage == Looking && h.looked != o.Change:
		s.Look, s.Pause = o.Change, 0
	case o.Stage == Looking && o.Soon: // calls are held from the first member that hears of it to the last
		s.Wait, s.Pause = s.Pause, pausingPause
	case o.Stage == Looking:
		s.Wait, s.Pause = s.Pause, lookingPause
	case o.Stage == Pausing && h.paused != o.Change:
		return h.stop(o.Change)
	case o.Stage == Pausing:
		s.Wait, s.Pause = h.RetryAfter(), pausingPause
	}
	return s
}

// stop holds calls for a change.
func (h *LeaseHolder) stop(id string) Step {
	h.until, h.looked, h.fault, h.paused = 0, id, "", id
	return Step{Paused: true}
}

// Known is how far the fleet was when it was heard last: a hint that is waited for tells that it is elsewhere now.
func (h *LeaseHolder) Known() Progress { return h.news }

// Observe takes a hint, which was agreed some time and may be long over. It saves the report that would only hear the same: calls are held
// for a change that has come so far, and a number that holds is taken once they are. Whether calls begin is told by reports alone.
func (h *LeaseHolder) Observe(n Progress) Step {
	switch {
	case n == h.news: // it has nothing to tell
		if h.paused != "" {
			return Step{Pause: pausingPause}
		}
		return Step{Pause: lookingPause}
	case n.Number == h.holds && n.Stage == Pausing && n.Change == h.looked && n.Change != h.paused:
		return h.stop(n.Change)
	case n.Number > h.holds && h.paused != "":
		return Step{Activate: true, Number: n.Number, Hash: n.Hash}
	}
	return Step{}
}

// Saw tells what came of looking at a proposal's document: unseen = it could not be had; else why the node cannot take it, if so.
// It gives the time until the next report, ms.
func (h *LeaseHolder) Saw(id string, unseen bool, cannot error) (pause float64) {
	if unseen {
		return lookingPause
	}
	if h.looked, h.fault = id, ""; cannot != nil {
		h.fault = cannot.Error()
	}
	return 0
}

// Activated tells that a number is in force.
func (h *LeaseHolder) Activated(number uint64, hash string) {
	h.holds, h.hash, h.cannot, h.looked, h.fault, h.paused, h.lapsed = number, hash, 0, "", "", "", false
}

// Failed tells that a number could not be taken: it is tried again, and what is proposed meanwhile is looked at. It gives the time
// until the next report, ms.
func (h *LeaseHolder) Failed(number uint64) (pause float64) {
	h.cannot = number
	return h.RetryAfter()
}
