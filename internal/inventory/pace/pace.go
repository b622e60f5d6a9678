// Package pace decides when a node calls for the list where a call costs the one service that has it for all nodes. It is
// pure: no clock, no I/O, no goroutine. Nodes share nothing, so what keeps all of them together within what the service can
// answer is each one's own chance, spread over a time that follows from the settings, and pauses that grow.
//
// Bounds, for N nodes that share a Spread: the calls that open a watch come evenly over Spread, whenever their nodes started
// together; a node's k-th failure in a row keeps it away for 2^(k-2) to 3 * 2^(k-2) quarters of Spread, MostSpreads
// and a half of it at the most, so calls grow fewer, never more, while the trouble lasts.
package pace

// MostSpreads is where the doubling of pauses ends, in spreads.
const MostSpreads = 2.0

// pauseSpread is by how much a pause is longer or shorter, half of it each way.
const pauseSpread = 1.0

// Settings are times in milliseconds.
type Settings struct {
	Spread float64 // over which the calls of all nodes are spread, 0 = a call costs nothing
	First  float64 // least pause after a failure
	Last   float64 // where its doubling ends, if that is more than MostSpreads spreads
}

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
	return set.Spread * p.Chance()
}

// Failed is how long it waits after a call that failed.
func (p *Pace) Failed(set Settings) float64 {
	p.pause = min(max(2*p.pause, set.First, set.Spread/2), max(set.Last, MostSpreads*set.Spread))
	if p.Chance == nil {
		return p.pause
	}
	return p.pause * (1 - pauseSpread/2 + pauseSpread*p.Chance())
}

// Answered notes a call that was answered.
func (p *Pace) Answered() { p.pause = 0 }
