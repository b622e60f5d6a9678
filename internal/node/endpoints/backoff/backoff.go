// Package backoff decides when a node calls for the host list and how long a call may take. It is pure: no clock,
// no I/O, no goroutine.
//
// Two requirements compete. Where one service has the list for all nodes, each call costs that service something,
// and nodes share no state. So the only thing that keeps their total load within what the service can answer is
// each node's own randomness: a random delay within a time that follows from the settings, and pauses that grow
// (exponential backoff with jitter). On the other hand, a change of the list must reach a node within a fixed time
// after discovery had it and was reachable, whatever failed before. Discovery may have become reachable just after
// a failed call began, so the next call has to be answered within that time, counted from the beginning of the
// failed call.
//
// Bounds, for N nodes that share a Spread: the calls that open a watch come evenly over Spread, even if all nodes
// started together. A node's k-th failure in a row keeps it away for 2^(k-1) to 3 * 2^(k-1) quarters of Spread, at
// most 1.5 times MaxSpreads spreads, so that calls become fewer, never more, while the failure lasts. But a pause
// is never longer than what leaves the next call its CallTimeout before DeliveryLimit has passed since the
// beginning of the failed call.
package backoff

// MaxSpreads is where the doubling of pauses ends, in multiples of Settings.Spread.
const MaxSpreads = 2.0

// Width of the jitter relative to the pause, half of it in each direction.
const (
	pauseJitter = 1.0 // for a pause that only grows
	cutJitter   = 0.5 // for a pause that DeliveryLimit has shortened, which should stay long
)

// callPart is the part of DeliveryLimit that a call may take: a call that hangs, the pause after it and the next
// call fit into the limit.
const callPart = 1.0 / 4

// Settings are times in milliseconds.
type Settings struct {
	Spread        float64 // time over which the calls of all nodes are spread; 0 = a call costs nothing
	MinPause      float64 // shortest pause after a failure
	MaxPause      float64 // limit of the doubling unless MaxSpreads spreads are longer; a strict bound if Spread is 0
	DeliveryLimit float64 // time within which a change must reach the node once discovery has it and is reachable; 0 = none
}

// capped returns a time, but at most the given part of DeliveryLimit.
func (set Settings) capped(ms, part float64) float64 {
	if set.DeliveryLimit <= 0 {
		return ms
	}
	return min(ms, part*set.DeliveryLimit)
}

// CallTimeout returns how long a call may take that is answered at once, or, for a call that may be held, how long
// it may take beyond the time for which it may be held. This is usual, or longer where calls queue.
func (set Settings) CallTimeout(usual float64) float64 {
	return set.capped(max(usual, set.Spread), callPart)
}

// Backoff is the state of a node's calls. Random returns numbers from 0 to 1; it is nil where there is only this
// node.
type Backoff struct {
	Random func() float64
	pause  float64
}

// InitialDelay returns how long a node that has a list waits before it opens its watch.
func (p *Backoff) InitialDelay(set Settings) float64 {
	if p.Random == nil {
		return 0
	}
	return set.capped(set.Spread, 1-callPart) * p.Random()
}

// AfterFailure returns the pause after a failed call that began elapsed milliseconds ago. usual is how long the
// next call may usually take.
func (p *Backoff) AfterFailure(set Settings, elapsed, usual float64) float64 {
	p.pause = min(max(2*p.pause, set.MinPause, set.Spread/2), max(set.MaxPause, MaxSpreads*set.Spread))
	pause, jitter := p.pause, pauseJitter
	if left := max(0, set.DeliveryLimit-elapsed-set.CallTimeout(usual)); set.DeliveryLimit > 0 && pause*(1+jitter/2) > left {
		jitter = cutJitter
		pause = min(pause, left/(1+jitter/2))
	}
	if p.Random == nil || set.Spread == 0 { // no other node calls the agent on this machine
		return pause
	}
	return pause * (1 - jitter/2 + jitter*p.Random())
}

// Reset records a successful call.
func (p *Backoff) Reset() { p.pause = 0 }
