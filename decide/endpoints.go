package decide

import (
	"slices"
	"time"
)

// watchBackoff is the first wait before a failed call for the endpoint list is retried; it doubles with each
// failure.
const watchBackoff = time.Second

// UpdateEndpoints applies an update of the endpoint list and solves for new shares. kind says whether entries are
// the whole list or the changes; with EndpointsUnavailable the previous list stays. Entries with an unknown zone or
// kind are ignored.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind EndpointsKind, entries []Backend) {
	b.now = now
	if kind == EndpointsUnavailable {
		b.watching = false
		b.retryWatch()
		return
	}
	if kind != EndpointsStored {
		b.watching, b.watchFailures = true, 0
	}
	if kind != EndpointsDelta {
		for _, s := range b.backends {
			s.State = Deleted
		}
	}
	for i := range entries {
		b.updateBackend(&entries[i])
	}
	b.servingSize = 0
	for _, s := range b.backends {
		if s.State == Serving {
			b.servingSize += s.size
		} else { // draining backends are no longer picked
			b.setShare(s, 0)
		}
		if s.State == Deleted {
			delete(b.byID, s.ID)
		}
	}
	b.maxServingSize = max(b.maxServingSize, b.servingSize)
	b.backends = slices.DeleteFunc(b.backends, func(s *backendState) bool { return s.State == Deleted })
	b.assignRingPositions()
	if !b.started {
		b.startTimers()
	}
	b.solve()
}

// updateBackend adds or updates one backend. A later start time discards the state of the previous process.
func (b *Balancer) updateBackend(entry *Backend) {
	if entry.Zone < 0 || entry.Zone >= len(b.zones) || entry.Kind < 0 || entry.Kind >= len(b.settings.Kinds) {
		return
	}
	s := b.byID[entry.ID]
	if s == nil {
		if entry.State == Deleted {
			return
		}
		s = &backendState{queueIndex: -1, slowdown: 1, attemptScale: 1, classHealth: make([]classHealth, len(b.classes))}
		b.byID[entry.ID] = s
		b.backends = append(b.backends, s)
	} else if entry.Started > s.Started {
		s.resetProcess()
	}
	s.Backend = *entry
	s.model, s.crossZonePenalty = &b.kindModels[2*entry.Kind], 0
	if entry.Zone != b.settings.Zone {
		s.model = &b.kindModels[2*entry.Kind+1]
		s.crossZonePenalty = b.settings.Prices.CrossZone * b.latencyTarget * penaltyTargets
	}
	switch s.size = max(s.size, 1); {
	case b.settings.Weights == WeightSize && entry.Weight > 0:
		s.size = entry.Weight
	case b.settings.Weights == WeightLive && entry.Weight > 0: // the highest weight is the size; a lower one means requests in flight
		s.maxWeight = max(s.maxWeight, entry.Weight)
		b.recordReport(s, s.maxWeight/entry.Weight-1)
	}
}

// resetProcess discards what was learned about the previous process of a backend.
func (s *backendState) resetProcess() {
	s.latencySum, s.expectedSum, s.sampleCount, s.slowdown = 0, 0, 0, 1
	s.responses, s.failures, s.timeouts, s.consecutiveFailures = 0, 0, 0, 0
	s.slowStartNext = 0
	s.ejected, s.inTrial, s.ejections = false, false, 0
	clear(s.classHealth)
}

// retryWatch schedules another call for the endpoint list. The backoff has jitter, to avoid flooding an overloaded
// list service with calls, and is short enough for Rules.FetchWithin.
func (b *Balancer) retryWatch() {
	wait := min(watchBackoff<<min(b.watchFailures, 10), max(b.settings.Rules.FetchWithin/2, watchBackoff))
	b.watchFailures++
	b.actions.SetTimer(time.Duration((0.5+b.random.Float64())*float64(wait)), timerWatch)
}
