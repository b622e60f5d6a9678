package decide

// This file keeps the list of backends: who is there, of which kind and size, and where on the circle of which each
// node keeps to a part. It chooses nothing.

import (
	"cmp"
	"slices"
	"time"
)

// retryWatch asks for the list again after a pause that doubles, with jitter, so that a list that cannot keep
// up is not buried in calls, but soon enough for AskWithin.
func (b *Balancer) retryWatch() {
	wait := min(watchBackoff<<min(b.watchFailures, 10), max(b.settings.Rules.AskWithin/2, watchBackoff))
	b.watchFailures++
	b.actions.Wake(time.Duration((0.5+b.random.Float64())*float64(wait)), timerWatch)
}

func (b *Balancer) updateBackend(e *Backend) {
	if e.Zone < 0 || e.Zone >= len(b.zones) || e.Kind < 0 || e.Kind >= len(b.settings.Kinds) {
		return
	}
	s := b.byID[e.ID]
	if s == nil {
		if e.State == Deleted {
			return
		}
		s = &backendState{queueIndex: -1, slowdown: 1, attemptScale: 1, classHealth: make([]classHealth, len(b.classes))}
		b.byID[e.ID] = s
		b.backends = append(b.backends, s)
	} else if e.Started > s.Started { // a new process: what is known of the old one is void
		s.latencySum, s.expectedSum, s.sampleCount, s.slowdown, s.responses, s.failures, s.timeouts, s.consecutiveFailures = 0, 0, 0, 1, 0, 0, 0, 0
		s.slowStartNext = 0
		s.ejected, s.inTrial, s.ejections = false, false, 0
		clear(s.classHealth)
	}
	s.Backend = *e
	s.model, s.crossZonePenalty = &b.kindModels[2*e.Kind], 0
	if e.Zone != b.settings.Zone {
		s.model = &b.kindModels[2*e.Kind+1]
		s.crossZonePenalty = b.settings.Prices.CrossZone * b.latencyTarget * penaltyTargets
	}
	switch s.size = max(s.size, 1); {
	case b.settings.Weights == WeightSize && e.Weight > 0:
		s.size = e.Weight
	case b.settings.Weights == WeightLive && e.Weight > 0: // the size is the most seen; less means held work
		s.maxWeight = max(s.maxWeight, e.Weight)
		b.recordReport(s, s.maxWeight/e.Weight-1)
	}
}

// assignRingPositions gives backends their places on a circle, in an order that hangs on their ids alone, each with an arc as long
// as its size: a stretch of the circle then holds so much of the fleet's size, wherever it lies.
func (b *Balancer) assignRingPositions() {
	order := slices.Clone(b.backends)
	slices.SortFunc(order, func(s, t *backendState) int { return cmp.Compare(uint32(s.ID)*2654435769, uint32(t.ID)*2654435769) })
	at, sum := 0.0, 1e-9
	for _, s := range order {
		sum += s.size
	}
	for _, s := range order {
		s.ringPosition = (at + s.size/2) / sum
		at += s.size
	}
}
