package decide

import "time"

// BackendView is the current state of one backend, for status pages and metrics.
type BackendView struct {
	ID               BackendID
	Share            float64       // of the node's load
	Rate             float64       // units per second
	MaxRate          float64       // units per second
	IdleLatency      time.Duration // learned latency without load
	Latency          time.Duration // learned latency at the current load
	Slowdown         float64       // latency relative to its kind
	InSubset         bool          // it is in the subset of this node
	Ejected          bool          // it gets only trial requests
	EjectedUntil     time.Duration
	CapacityFraction float64       // fraction of its capacity that it is guaranteed to have, 1 = warm
	SlowStartLimit   float64       // units per second; infinite if warm
	RiskPenalty      time.Duration // penalty for its failures
	InFlight         int           // attempts in flight
	Overdue          int           // attempts in flight that should have been answered by now
	EjectedClasses   []int         // indices in Settings.Classes
}

// View is the current state of a Balancer.
type View struct {
	ArrivalRate    float64 // arriving work, units per second
	Rate           float64 // sent work, units per second
	SubsetFraction float64 // fraction of the fleet that the node sends to
	Shedding       bool    // more work arrives than the capacity allows
	RetryTokens    float64 // number of retries that are possible now
	Backends       []BackendView
}

// View returns the current state. It changes nothing.
func (b *Balancer) View(now time.Duration) View {
	v := View{b.arrivalRate, b.sendRate, b.subsetFraction, b.shedding, b.retryTokens, nil}
	previous := b.now
	b.now = now
	defer func() { b.now = previous }()
	for _, s := range b.backends {
		e := BackendView{ID: s.ID, Share: s.share, Rate: s.share * b.sendRate, MaxRate: s.maxRate,
			IdleLatency: seconds(s.slowdown * s.model.idleLatency),
			Latency:     seconds(s.latencyAtLoad(b.ownLoad(s))), Slowdown: s.slowdown, InSubset: b.inSubset(s),
			Ejected: s.ejected, EjectedUntil: s.ejectedUntil,
			CapacityFraction: b.capacityFraction(s), SlowStartLimit: s.slowStartLimit,
			RiskPenalty: seconds(s.riskPenalty), InFlight: s.inFlight, Overdue: s.overdue}
		if s.queueIndex < 0 {
			e.Share, e.Rate = 0, 0
		}
		for i := range s.classHealth {
			if now < s.classHealth[i].ejectedUntil {
				e.EjectedClasses = append(e.EjectedClasses, i)
			}
		}
		v.Backends = append(v.Backends, e)
	}
	return v
}

// SubsetFraction returns the fraction of the fleet that this node sends to, above 0 and at most 1.
func (b *Balancer) SubsetFraction() float64 { return b.subsetFraction }

// Capacity returns the capacity, as of the last solve, of the backends in use by this node, in units per second.
// learned reports whether it is based on any response.
func (b *Balancer) Capacity() (capacity float64, learned bool) {
	for _, s := range b.backends {
		capacity += s.maxRate
		learned = learned || s.model.measured
	}
	return capacity, learned
}
