package decide

import "math"

const (
	slowStartGap            = 0.8 // minimum gap between two attempts in slow start, as a fraction of the mean gap
	slowStartBudgetFraction = 0.8 // fraction of the budget from Rules that is used, since a backend's size is an estimate
)

// capacityFraction returns the fraction of its capacity that a backend surely has: below 1 it is in slow start.
func (b *Balancer) capacityFraction(s *backendState) float64 {
	rules := &b.settings.Rules
	if s.Started <= 0 || rules.SlowStartTime <= 0 || b.now >= s.Started+rules.SlowStartTime {
		return 1
	}
	progress := max(0, (b.now-s.Started).Seconds()/rules.SlowStartTime.Seconds())
	return rules.SlowStartFloor + (1-rules.SlowStartFloor)*progress
}

// warmLoad returns the load of warm backends in units per second per size. It counts the work that they complete,
// since work sent to them may queue up there. Without warm backends it is each one's load in the largest fleet seen.
func (b *Balancer) warmLoad() float64 {
	size := 0.0
	for _, s := range b.backends {
		if s.queueIndex >= 0 && b.capacityFraction(s) >= 1 {
			size += s.size
		}
	}
	if size == 0 {
		return b.fairLoad() * b.servingSize / max(b.maxServingSize, 1)
	}
	return b.warmServiceRate / size
}

// slowStartLimit returns the rate in units per second that this node may send to a backend, infinite if it is warm.
// For a backend in slow start, all nodes together stay within the budget of Rules if each keeps to its limit, with a
// margin for random variation. The budget follows the throughput of warm backends, which is at most their capacity.
func (b *Balancer) slowStartLimit(s *backendState) float64 {
	fraction := b.capacityFraction(s)
	if fraction >= 1 {
		return math.Inf(1)
	}
	rules := &b.settings.Rules
	window, nodes := rules.OverloadTime.Seconds(), float64(b.settings.Nodes)*b.subsetFraction
	warmRate := b.warmLoad() * s.size * nodes
	budget := slowStartBudgetFraction * rules.OverloadMultiple * fraction * warmRate * window
	if budget <= 1 {
		return 0
	}
	root := (math.Sqrt(9+4*(budget-1)) - 3) / 2 // mean + 3 standard deviations + 1 stays within the budget
	return min(root*root/window, fraction*warmRate) / nodes
}
