package decide

import (
	"slices"
	"time"
)

// watchBackoff is the pause before a failed call for the endpoint list is repeated; it doubles with each failure.
const watchBackoff = time.Second

// UpdateEndpoints applies an update of the endpoint list and solves for new shares. kind tells whether entries are the whole list or
// the changed ones; with EndpointsUnavailable they are ignored and the earlier list stays. Entries of an unknown zone or kind are
// ignored.
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
		} else { // a draining backend is picked no more
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

// updateBackend adds or updates the backend of one entry. A later start time resets what was learned of the process before.
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
	case b.settings.Weights == WeightLive && entry.Weight > 0: // the size is the highest weight seen; less means work in flight
		s.maxWeight = max(s.maxWeight, entry.Weight)
		b.recordReport(s, s.maxWeight/entry.Weight-1)
	}
}

// resetProcess drops what was learned of a backend's earlier process.
func (s *backendState) resetProcess() {
	s.latencySum, s.expectedSum, s.sampleCount, s.slowdown = 0, 0, 0, 1
	s.responses, s.failures, s.timeouts, s.consecutiveFailures = 0, 0, 0, 0
	s.slowStartNext = 0
	s.ejected, s.inTrial, s.ejections = false, false, 0
	clear(s.classHealth)
}

// retryWatch asks for the list again after a backoff with jitter, so that an overloaded list service is not buried in calls,
// but soon enough for Rules.FetchWithin.
func (b *Balancer) retryWatch() {
	wait := min(watchBackoff<<min(b.watchFailures, 10), max(b.settings.Rules.FetchWithin/2, watchBackoff))
	b.watchFailures++
	b.actions.SetTimer(time.Duration((0.5+b.random.Float64())*float64(wait)), timerWatch)
}
