// Package backoff decides when a node calls for the list and how long a call may take. It is pure: no clock, no I/O, no goroutine.
//
// Two things pull at it. Where a call costs the one service that has the list for all nodes, nodes share nothing, so that what keeps
// all of them together within what the service can answer is each one's own chance, spread over a time that follows from the
// settings, and pauses that grow (exponential backoff with jitter). And a change of the list counts as told to a node a fixed time after
// discovery had it and could be reached, whatever failed before. Discovery may have been there from just after a call that failed
// began, so that the next one has to be answered within that time of it.
//
// Bounds, for N nodes that share a Spread: the calls that open a watch come evenly over Spread, whenever their nodes started
// together; a node's k-th failure in a row keeps it away for 2^(k-2) to 3 * 2^(k-2) quarters of Spread, MostSpreads
// and a half of it at the most, so calls grow fewer, never more, while the trouble lasts; but never for longer than leaves the
// next call its Limit before Told has passed since the one that failed began.
package backoff

// MostSpreads is where the doubling of pauses ends, in spreads.
const MostSpreads = 2.0

// By how much a pause is longer or shorter, half of it each way: one that only grows, and one that Told has cut, which is to be long.
const (
	pauseSpread = 1.0
	cutSpread   = 0.5
)

// callPart is the part of Told that a call may take: one that is stuck, the pause after it and the one that follows fit into it.
const callPart = 1.0 / 4

// Settings are times in milliseconds.
type Settings struct {
	Spread float64 // over which the calls of all nodes are spread, 0 = a call costs nothing
	First  float64 // least pause after a failure
	Last   float64 // where its doubling ends, if that is more than MostSpreads spreads; no pause is longer where a call costs nothing
	Told   float64 // after which a change counts as told, from when discovery had it and could be reached; 0 = never
}

// most is a time cut to a part of Told.
func (set Settings) most(ms, part float64) float64 {
	if set.Told <= 0 {
		return ms
	}
	return min(ms, part*set.Told)
}

// Limit is how long a call may take that is to be answered at once, or so long after the time that it may be held: usual, or longer
// where calls wait in turn.
func (set Settings) Limit(usual float64) float64 { return set.most(max(usual, set.Spread), callPart) }

// Pace is what a node keeps of its calls. Chance gives numbers from 0 to 1, nil where there is only this node.
type Pace struct {
	Chance func() float64
	pause  float64
}

// Begin is how long a node that has a list waits before it opens its watch.
func (p *Pace) Begin(set Settings) float64 {
	if p.Chance == nil {
		return 0
	}
	return set.most(set.Spread, 1-callPart) * p.Chance()
}

// Failed is how long it waits after a call that failed and had begun so long ago. usual is what the next one may usually take.
func (p *Pace) Failed(set Settings, ago, usual float64) float64 {
	p.pause = min(max(2*p.pause, set.First, set.Spread/2), max(set.Last, MostSpreads*set.Spread))
	pause, spread := p.pause, pauseSpread
	if left := max(0, set.Told-ago-set.Limit(usual)); set.Told > 0 && pause*(1+spread/2) > left {
		spread = cutSpread
		pause = min(pause, left/(1+spread/2))
	}
	if p.Chance == nil || set.Spread == 0 { // nobody else is at the agent of this machine
		return pause
	}
	return pause * (1 - spread/2 + spread*p.Chance())
}

// Answered notes a call that was answered.
func (p *Pace) Answered() { p.pause = 0 }
