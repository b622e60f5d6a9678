package decide

import "math"

const (
	slowStartGap            = 0.8 // fraction of the mean gap that must lie between two attempts in slow start
	slowStartBudgetFraction = 0.8 // fraction of the budget of Rules to use, since a backend's size is a guess
)

// capacityFraction is the fraction of its capacity that a backend is sure to have: below 1 it is in slow start.
func (b *Balancer) capacityFraction(s *backendState) float64 {
	rules := &b.settings.Rules
	if s.Started <= 0 || rules.SlowStartTime <= 0 || b.now >= s.Started+rules.SlowStartTime {
		return 1
	}
	progress := max(0, (b.now-s.Started).Seconds()/rules.SlowStartTime.Seconds())
	return rules.SlowStartFloor + (1-rules.SlowStartFloor)*progress
}

// warmLoad is the load of warm backends, units a second by size: the work that they answer, since what is sent to them may
// queue up there. Without warm backends it is the load that each would have in the largest fleet seen.
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

// slowStartLimit is the rate that this node may send to a backend, units a second; infinite for a warm one. For one in slow
// start it is such that all nodes together stay within the budget of Rules, chance included, if each keeps to its limit.
// The budget follows from what warm backends answer now, which is no more than they can do.
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
	root := (math.Sqrt(9+4*(budget-1)) - 3) / 2 // mean + 3 deviations + 1 stays within the budget
	return min(root*root/window, fraction*warmRate) / nodes
}
