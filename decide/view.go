package decide

import "time"

// BackendView is the present state of one backend, for status pages and metrics.
type BackendView struct {
	ID               BackendID
	Share            float64       // of the node's load
	Rate             float64       // units a second
	MaxRate          float64       // highest rate, units a second
	IdleLatency      time.Duration // learned latency without load
	Latency          time.Duration // learned latency at the present load
	Slowdown         float64       // latency relative to its kind
	InSubset         bool          // it is in the subset of this node
	Ejected          bool          // ejected: it gets nothing but a trial request
	EjectedUntil     time.Duration // end of its ejection
	CapacityFraction float64       // fraction of its capacity that it is sure to have, 1 = warm
	SlowStartLimit   float64       // limit of its slow start, units a second; infinite when warm
	RiskPenalty      time.Duration // penalty for its failures
	InFlight         int           // attempts in flight
	Overdue          int           // attempts in flight that should have been answered by now
	EjectedClasses   []int         // indices of the classes that it is ejected for
}

// View is the present state of a Balancer.
type View struct {
	ArrivalRate    float64 // arriving work, units a second
	Rate           float64 // sent work, units a second
	SubsetFraction float64 // fraction of the fleet that the node sends to
	Shedding       bool    // more work arrives than there is capacity for
	RetryTokens    float64 // retries that may be made now
	Backends       []BackendView
}

// View returns the present view. It changes nothing.
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

// SubsetFraction is the fraction of the fleet that this node sends to, above 0 and at most 1.
func (b *Balancer) SubsetFraction() float64 { return b.subsetFraction }

// Capacity is the capacity of the backends in use for this node, units a second, as of the last solve. learned tells whether it
// rests on any response.
func (b *Balancer) Capacity() (capacity float64, learned bool) {
	for _, s := range b.backends {
		capacity += s.maxRate
		learned = learned || s.model.measured
	}
	return capacity, learned
}
