// Package backoff decides when a node calls for the list and how long a call may take. It is pure: no clock, no I/O, no goroutine.
//
// Two things pull at it. Where a call costs the one service that has the list for all nodes, nodes share nothing, so that what keeps
// all of them together within what the service can answer is each one's own chance, spread over a time that follows from the
// settings, and pauses that grow (exponential backoff with jitter). And a change of the list counts as told to a node a fixed time after
// discovery had it and could be reached, whatever failed before. Discovery may have been there from just after a call that failed
// began, so that the next one has to be answered within that time of it.
//
// Bounds, for N nodes that share a Spread: the calls that open a watch come evenly over Spread, whenever their nodes started
// together; a node's k-th failure in a row keeps it away for 2^(k-2) to 3 * 2^(k-2) quarters of Spread, MaxSpreads
// and a half of it at the most, so calls grow fewer, never more, while the trouble lasts; but never for longer than leaves the
// next call its CallTimeout before DeliveryLimit has passed since the one that failed began.
package backoff

// MaxSpreads is where the doubling of pauses ends, in spreads.
const MaxSpreads = 2.0

// By how much a pause is longer or shorter, half of it each way: one that only grows, and one that DeliveryLimit has cut, which is to be long.
const (
	pauseSpread = 1.0
	cutSpread   = 0.5
)

// callPart is the part of DeliveryLimit that a call may take: one that is stuck, the pause after it and the one that follows fit into it.
const callPart = 1.0 / 4

// Settings are times in milliseconds.
type Settings struct {
	Spread        float64 // over which the calls of all nodes are spread, 0 = a call costs nothing
	MinPause      float64 // least pause after a failure
	MaxPause      float64 // where its doubling ends, if that is more than MaxSpreads spreads; no pause is longer where a call costs nothing
	DeliveryLimit float64 // after which a change counts as told, from when discovery had it and could be reached; 0 = never
}

// most is a time cut to a part of DeliveryLimit.
func (set Settings) most(ms, part float64) float64 {
	if set.DeliveryLimit <= 0 {
		return ms
	}
	return min(ms, part*set.DeliveryLimit)
}

// CallTimeout is how long a call may take that is to be answered at once, or so long after the time that it may be held: usual, or longer
// where calls wait in turn.
func (set Settings) CallTimeout(usual float64) float64 {
	return set.most(max(usual, set.Spread), callPart)
}

// Backoff is what a node keeps of its calls. Random gives numbers from 0 to 1, nil where there is only this node.
type Backoff struct {
	Random func() float64
	pause  float64
}

// InitialDelay is how long a node that has a list waits before it opens its watch.
func (p *Backoff) InitialDelay(set Settings) float64 {
	if p.Random == nil {
		return 0
	}
	return set.most(set.Spread, 1-callPart) * p.Random()
}

// AfterFailure is how long it waits after a call that failed and had begun so long ago. usual is what the next one may usually take.
func (p *Backoff) AfterFailure(set Settings, ago, usual float64) float64 {
	p.pause = min(max(2*p.pause, set.MinPause, set.Spread/2), max(set.MaxPause, MaxSpreads*set.Spread))
	pause, spread := p.pause, pauseSpread
	if left := max(0, set.DeliveryLimit-ago-set.CallTimeout(usual)); set.DeliveryLimit > 0 && pause*(1+spread/2) > left {
		spread = cutSpread
		pause = min(pause, left/(1+spread/2))
	}
	if p.Random == nil || set.Spread == 0 { // nobody else is at the agent of this machine
		return pause
	}
	return pause * (1 - spread/2 + spread*p.Random())
}

// Reset notes a call that was answered.
func (p *Backoff) Reset() { p.pause = 0 }
