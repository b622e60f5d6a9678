package decide

import (
	"container/heap"
	"math"
)

const (
	targetFraction         = 0.8  // fraction of the latency target that the mean latency may reach, which leaves room for its variance
	levelCount             = 10   // share levels per backend in one pass of the solver (from the paper)
	minBackendsForFinePass = 100  // number of backends from which a second, finer pass is worthwhile (from the paper)
	damping                = 0.5  // fraction of the distance to the solved share by which one solve moves a share
	searchStep             = 0.25 // fraction of the paper's step by which shares grow, since solves are frequent here
	penaltyTargets         = 3.0  // latency penalty for a price of 1, in latency targets
	rateDecaySeconds       = 1.5  // time constant of the smoothed rates
	ownEvidenceInFlight    = 2.0  // mean attempts in flight at which half of the estimate rests on their present number
)

// solve updates the models from the time since the last solve and recomputes all shares.
func (b *Balancer) solve() {
	b.closeInterval()
	for b.chooseSubset(); ; b.subsetFraction, b.nodesPerBackend = 1, float64(b.settings.Nodes) {
		eligible, capacity := b.setMaxRates()
		b.setAdmissionLimits(capacity)
		need := min(max(b.arrivalRate, 1), capacity)
		b.solveLevels(need, 1.0/levelCount, false)
		if eligible >= minBackendsForFinePass {
			b.solveLevels(need, 2.0/(levelCount*levelCount), true)
		}
		b.assignShares(need)
		if len(b.pickQueue) > 0 || b.subsetFraction == 1 { // a subset without a backend to pick from is replaced by the whole fleet
			return
		}
	}
}

// setMaxRates sets the maximum rate of every eligible backend, and its penalties. It returns the number of eligible
// backends and their total capacity in units per second.
func (b *Balancer) setMaxRates() (eligible int, capacity float64) {
	fair := b.fairLoad()
	for _, s := range b.backends {
		s.maxRate, s.solvedRate = 0, 0
		if !b.eligible(s) {
			continue
		}
		eligible++
		idle := s.slowdown * s.model.idleLatency
		s.slowStartLimit = b.slowStartLimit(s)
		if s.slowStartNext == 0 && s.slowStartLimit > 0 { // nodes that learn of a start together must not all send at once
			s.slowStartNext = b.now + seconds(b.random.Float64()/s.slowStartLimit)
		}
		s.riskPenalty = penaltyTargets * b.latencyTarget * b.failureRisk(s)
		s.maxRate = min(s.size*s.loadAtLatency(max(min(2*idle, targetFraction*b.latencyTarget), 1.2*idle)), s.slowStartLimit)
		capacity += s.maxRate
		load := max(b.ownLoad(s), fair) // bounds the step of the search, in proportion to idle latency over latency
		s.maxRate = min(s.maxRate, s.size*load*(1+searchStep*idle/s.latencyAtLoad(load)))
	}
	return eligible, capacity
}

// solveLevels raises rates in steps at whichever backend's curve adds the least latency for a step, until need
// (units per second) is met. Since the curves are convex, the price of the last step determines the level of every
// backend; it is found by bisection. The fine pass stays within one coarse level of the coarse result.
func (b *Balancer) solveLevels(need, step float64, fine bool) {
	low, high := 0.0, 0.0
	for _, s := range b.backends { // upper bound: no level costs more than the last unit at maxRate
		high = max(high, s.crossZonePenalty+s.riskPenalty+3*s.latencyAtLoad(s.maxRate/s.size))
	}
	for range 24 {
		price := (low + high) / 2
		sum := 0.0
		for _, s := range b.backends {
			sum += s.levelAtPrice(price, step, fine)
		}
		if sum > need {
			high = price
		} else {
			low = price
		}
	}
	for _, s := range b.backends {
		s.solvedRate = s.levelAtPrice(low, step, fine)
	}
}

// levelAtPrice returns the highest level, as a rate, whose last step costs no more than price.
func (s *backendState) levelAtPrice(price, step float64, fine bool) float64 {
	if s.maxRate <= 0 {
		return 0
	}
	// One more unit at the load u adds a latency of idle + 3 * loadCoeff * u^2.
	level := s.size * s.loadAtLatency((price-s.crossZonePenalty-s.riskPenalty+2*s.slowdown*s.model.idleLatency)/3) / s.maxRate
	level = math.Floor(min(level, 1)/step) * step
	if fine {
		coarse := s.solvedRate / s.maxRate
		level = max(0, min(max(level, coarse-1.0/levelCount), coarse+1.0/levelCount, 1))
	}
	return level * s.maxRate
}

// assignShares distributes the demand left over by the levels by headroom, and moves shares towards the result.
func (b *Balancer) assignShares(need float64) {
	sum, headroom := 0.0, 1e-9
	for _, s := range b.backends {
		sum, headroom = sum+s.solvedRate, headroom+s.maxRate-s.solvedRate
	}
	fill := min(1, max(0, need-sum)/headroom)
	warmRate, slowStartRate := 1e-12, 0.0
	for _, s := range b.backends {
		s.solvedRate += fill * (s.maxRate - s.solvedRate)
		if math.IsInf(s.slowStartLimit, 1) {
			warmRate += s.solvedRate
		} else {
			slowStartRate += s.solvedRate
		}
	}
	warmFactor := max(1, (need-slowStartRate)/warmRate) // the rest goes to warm backends, never above a slow-start limit
	total := slowStartRate + warmFactor*warmRate
	for _, s := range b.backends {
		share := s.solvedRate / total
		if math.IsInf(s.slowStartLimit, 1) {
			share *= warmFactor
			if s.queueIndex >= 0 && share > 0 {
				share = s.share + damping*(share-s.share)
			}
		}
		b.setShare(s, share)
		s.estimateOthers(b.ownLoad(s), b.nodesPerBackend)
	}
	heap.Init(&b.pickQueue)
}

// estimateOthers sets the estimate of what other nodes have in flight at a backend. It assumes that they act like
// this node: if each of many nodes took its own small load for the total, all would send to the backends that are
// fastest when idle. Many attempts of this node in flight are also evidence of the others' number; with few, the
// mean is better.
func (s *backendState) estimateOthers(load, nodes float64) {
	meanInFlight := load * s.latencyAtLoad(load) * s.size
	ownWeight := meanInFlight / (meanInFlight + ownEvidenceInFlight)
	s.attemptScale, s.othersInFlight = 1+(nodes-1)*ownWeight, (nodes-1)*(1-ownWeight)*meanInFlight/s.size
}

// closeInterval turns the counts since the last solve into smoothed rates, work per class and curves.
func (b *Balancer) closeInterval() {
	elapsed := (b.now - b.lastSolve).Seconds()
	if elapsed < 0.05*b.timeScale {
		return
	}
	b.lastSolve = b.now
	smoothing := 1 - math.Exp(-elapsed/b.timeScale/rateDecaySeconds)
	b.warmServiceRate += smoothing * (b.warmServedWork/elapsed - b.warmServiceRate)
	if b.sendRate == 0 {
		smoothing = 1
	}
	b.arrivalRate += smoothing * (b.arrivedWork/elapsed - b.arrivalRate)
	b.sendRate += smoothing * (b.sentWork/elapsed - b.sendRate)
	b.arrivedWork, b.sentWork, b.warmServedWork, b.newOverdue, b.newResponses = 0, 0, 0, 0, 0
	keep := math.Exp(-elapsed / b.timeScale / backendDecay.Seconds())
	b.timeouts, b.failures, b.responses = b.timeouts*keep, b.failures*keep, b.responses*keep
	b.refillTenantTokens(elapsed)
	b.updateClassWork(keep)
	b.refitCurves(elapsed, keep)
}

// ownLoad returns the load that this node puts on a backend, in units per second per size.
func (b *Balancer) ownLoad(s *backendState) float64 { return s.share * b.sendRate / s.size }

// fairLoad returns the load of every backend of the subset if all arriving work were spread by size.
func (b *Balancer) fairLoad() float64 {
	return max(b.arrivalRate, 1) / max(b.servingSize*b.subsetFraction, 1)
}
