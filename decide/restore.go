package decide

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Snapshot returns the state as plain data. It changes nothing.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	m := Snapshot{
		Version: SnapshotVersion, TakenAt: now, Zone: b.settings.Zones[b.settings.Zone], VirtualTime: b.virtualTime, SubsetFraction: b.subsetFraction,
		ArrivedWork: b.arrivedWork, SentWork: b.sentWork, WarmServedWork: b.warmServedWork, NewOverdue: b.newOverdue, NewResponses: b.newResponses,
		ArrivalRate: b.arrivalRate, SendRate: b.sendRate, WarmServiceRate: b.warmServiceRate,
		Timeouts: b.timeouts, Responses: b.responses, Failures: b.failures,
		RetryTokens: b.retryTokens, TenantTokens: slices.Clone(b.tenantTokens), Shedding: b.shedding,
	}
	if b.started { // otherwise there was no solve yet
		m.SinceSolve = max(0, now-b.lastSolve)
	}
	for _, t := range b.settings.Tenants {
		m.Tenants = append(m.Tenants, t.Name)
	}
	for i, k := range b.kindModels {
		m.Kinds = append(m.Kinds, KindSnapshot{
			Kind: b.settings.Kinds[i/2], OtherZones: i%2 == 1, Sums: k.sums.toSnapshot(), RecentSums: k.recentSums.toSnapshot(),
			IdleLatency: k.idleLatency, InFlightCoeff: k.inFlightCoeff, LoadCoeff: k.loadCoeff, Measured: k.measured,
			IdleBatchSum: k.idleBatchSum, IdleBatchCount: k.idleBatchCount,
		})
	}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassSnapshot{Class: c.Name, SampleCount: c.sampleCount, LatencySum: c.latencySum, Work: c.work, MeanCost: c.meanCost})
	}
	for i, z := range b.zones {
		m.Zones = append(m.Zones, ZoneSnapshot{Zone: b.settings.Zones[i], LastResponse: z.lastResponse, ConsecutiveFailures: z.failures,
			EjectedUntil: z.ejectedUntil, Ejections: z.ejections})
	}
	for _, s := range b.backends {
		m.Backends = append(m.Backends, b.snapshotBackend(s, now))
	}
	for _, s := range b.trialQueue {
		m.TrialQueue = append(m.TrialQueue, s.ID)
	}
	return m
}

func (b *Balancer) snapshotBackend(s *backendState, now time.Duration) BackendSnapshot {
	k := BackendSnapshot{
		ID: s.ID, Kind: b.settings.Kinds[s.Kind], Started: s.Started,
		MaxWeight: s.maxWeight, ReportedLatency: s.reportedLatency, ReportedAt: s.reportedAt,
		LatencySum: s.latencySum, ExpectedSum: s.expectedSum, SampleCount: s.sampleCount, Slowdown: s.slowdown,
		Share: s.share, AttemptScale: s.attemptScale, OthersInFlight: s.othersInFlight, RiskPenalty: s.riskPenalty,
		SlowStartLimit: s.slowStartLimit, SlowStartNext: max(0, min(s.slowStartNext, now+maxFuture)),
		NextPick: s.nextPick, QueueIndex: s.queueIndex,
		ConsecutiveEjections: s.ejections, ConsecutiveTimeouts: s.consecutiveTimeouts, ConsecutiveFailures: s.consecutiveFailures,
		Responses: s.responses, Failures: s.failures, Timeouts: s.timeouts,
		Ejected: s.ejected, EjectedUntil: s.ejectedUntil,
	}
	if math.IsInf(k.SlowStartLimit, 1) {
		k.SlowStartLimit = -1
	}
	for i, h := range s.classHealth {
		if h.consecutiveFailures > 0 || h.ejections > 0 || h.ejectedUntil > now {
			k.ClassHealth = append(k.ClassHealth, HealthSnapshot{Class: b.classes[i].Name, ConsecutiveFailures: h.consecutiveFailures, EjectedUntil: h.ejectedUntil, Ejections: h.ejections})
		}
	}
	return k
}

// Restore loads the snapshot of another Balancer into one that has its endpoint list and no open requests. It
// ignores backends, kinds, classes, zones and tenants that do not exist here, and the state of earlier backend
// processes. An invalid snapshot changes nothing and returns an error that names the fault. Restored at once, with
// the same settings and list, a Balancer makes the same decisions as the original one except for random choices; the
// state of an older snapshot is decayed as if no responses had arrived since.
func (b *Balancer) Restore(now time.Duration, m Snapshot) error {
	if err := b.checkRestore(now, &m); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	b.now = now
	age := max(0, now-m.TakenAt)
	b.restoreFleet(&m, age)
	b.restoreBackends(&m, age)
	b.trialQueue = b.trialQueue[:0]
	for _, id := range m.TrialQueue {
		if s := b.byID[id]; s != nil && len(b.trialQueue) < 2*len(b.backends) {
			b.trialQueue = append(b.trialQueue, s)
		}
	}
	capacity := math.Inf(1)
	if m.Shedding {
		capacity = 0
	}
	b.shedding = b.arrivalRate > capacity // unchanged, so that it is not logged as a change
	b.setAdmissionLimits(capacity)
	if age > b.scaled(1, solveInterval) {
		for _, s := range b.backends {
			s.updateSlowdown(now)
		}
		b.solve()
	}
	return nil
}

// checkRestore returns an error if a snapshot cannot be restored here and now.
func (b *Balancer) checkRestore(now time.Duration, m *Snapshot) error {
	if err := m.check(now); err != nil {
		return err
	}
	switch {
	case m.Zone != b.settings.Zones[b.settings.Zone]:
		return fmt.Errorf("taken in zone %q", m.Zone)
	case !b.started:
		return errors.New("no endpoint list yet")
	case len(b.requests) > 0:
		return fmt.Errorf("%d open requests", len(b.requests))
	}
	return nil
}

// restoreBackends loads the state of the backends and rebuilds the pick queue in its order, with unknown backends
// last.
func (b *Balancer) restoreBackends(m *Snapshot, age time.Duration) {
	shift := m.VirtualTime - b.virtualTime
	b.virtualTime = m.VirtualTime
	known := map[BackendID]*BackendSnapshot{}
	for i := range m.Backends {
		known[m.Backends[i].ID] = &m.Backends[i]
	}
	turns := map[*backendState]int{}
	for i, s := range b.backends {
		k := known[s.ID]
		if k == nil || k.Started != s.Started || k.Kind != b.settings.Kinds[s.Kind] {
			s.nextPick += shift
			turns[s] = len(m.Backends) + i
			continue
		}
		b.restoreBackend(s, k, age)
		turns[s] = k.QueueIndex
	}
	b.pickQueue = b.pickQueue[:0]
	for _, s := range b.backends {
		if k := known[s.ID]; k == nil || k.AttemptScale == 0 {
			s.estimateOthers(b.ownLoad(s), b.nodesPerBackend)
		}
		s.queueIndex = -1
		if turns[s] >= 0 && s.share > 0 && s.State == Serving && !s.ejected {
			b.pickQueue = append(b.pickQueue, s)
		}
	}
	slices.SortStableFunc(b.pickQueue, func(s, t *backendState) int { return cmp.Compare(turns[s], turns[t]) })
	for i, s := range b.pickQueue {
		s.queueIndex = i
	}
	heap.Init(&b.pickQueue)
}

// decayWeight returns the weight that evidence of the given age keeps, with lifetime as the time constant.
func (b *Balancer) decayWeight(age, lifetime time.Duration) float64 {
	return math.Exp(-age.Seconds() / b.timeScale / lifetime.Seconds())
}

// restoreFleet loads the state of the traffic, the subset and the zones.
func (b *Balancer) restoreFleet(m *Snapshot, age time.Duration) {
	own := b.decayWeight(age, backendDecay)
	b.restoreKinds(m, age)
	for _, k := range m.Classes {
		for i := range b.classes {
			if c := &b.classes[i]; c.Name == k.Class {
				c.sampleCount, c.latencySum, c.work, c.meanCost = k.SampleCount*own, k.LatencySum*own, k.Work, k.MeanCost
			}
		}
	}
	fresh := age <= b.scaled(1, maxEjection)
	for _, k := range m.Zones {
		if i := slices.Index(b.settings.Zones, k.Zone); i >= 0 && fresh {
			b.zones[i] = zoneHealth{lastResponse: k.LastResponse, failures: k.ConsecutiveFailures, ejectedUntil: k.EjectedUntil, ejections: k.Ejections}
		}
	}
	for i, t := range b.settings.Tenants {
		if j := slices.Index(m.Tenants, t.Name); j >= 0 {
			b.tenantTokens[i] = m.TenantTokens[j]
		}
	}
	b.subsetFraction, b.retryTokens = m.SubsetFraction, min(m.RetryTokens, maxRetryTokens)
	b.nodesPerBackend = max(1, float64(b.settings.Nodes)*b.subsetFraction)
	b.arrivedWork, b.sentWork, b.warmServedWork, b.newOverdue, b.newResponses = m.ArrivedWork, m.SentWork, m.WarmServedWork, m.NewOverdue, m.NewResponses
	b.arrivalRate, b.sendRate, b.warmServiceRate = m.ArrivalRate, m.SendRate, m.WarmServiceRate
	if age > b.scaled(1, rateLifetime) {
		b.arrivedWork, b.sentWork, b.warmServedWork, b.newOverdue, b.newResponses = 0, 0, 0, 0, 0
		b.arrivalRate, b.sendRate, b.warmServiceRate = 0, 0, 0
	}
	b.timeouts, b.responses, b.failures = m.Timeouts*own, m.Responses*own, m.Failures*own
	b.lastSolve = b.now - min(m.SinceSolve, 2*solveInterval) // two solve intervals at most, whatever the snapshot says
}

func (b *Balancer) restoreKinds(m *Snapshot, age time.Duration) {
	keep := b.decayWeight(age, kindDecay)
	for _, k := range m.Kinds {
		i := slices.Index(b.settings.Kinds, k.Kind)
		if i < 0 {
			continue
		}
		model := &b.kindModels[2*i]
		if k.OtherZones {
			model = &b.kindModels[2*i+1]
		}
		*model = kindModel{
			sums: k.Sums.toSums(), recentSums: k.RecentSums.toSums(),
			idleLatency: k.IdleLatency, inFlightCoeff: k.InFlightCoeff, loadCoeff: k.LoadCoeff,
			measured:     k.Measured && age < b.scaled(1, idleLifetime),
			idleBatchSum: k.IdleBatchSum, idleBatchCount: min(k.IdleBatchCount, idleBatchSize-1),
		}
		model.sums.decay(keep)
		model.recentSums.decay(keep)
		if age > b.scaled(1, solveInterval) {
			model.idleBatchSum, model.idleBatchCount = 0, 0
		}
	}
}

// restoreBackend loads the state of one backend. Failures older than the longest ejection are ignored: the backend
// may have recovered, and a node that had ejected its whole fleet must not continue to do so.
func (b *Balancer) restoreBackend(s *backendState, k *BackendSnapshot, age time.Duration) {
	own := b.decayWeight(age, backendDecay)
	s.maxWeight, s.reportedLatency, s.reportedAt = max(s.maxWeight, k.MaxWeight), k.ReportedLatency, k.ReportedAt
	s.latencySum, s.expectedSum, s.sampleCount, s.slowdown = k.LatencySum*own, k.ExpectedSum*own, k.SampleCount*own, k.Slowdown
	s.responses, s.failures, s.timeouts, s.riskPenalty = k.Responses*own, k.Failures*own, k.Timeouts*own, k.RiskPenalty
	s.share, s.nextPick, s.slowStartNext, s.slowStartLimit = k.Share, k.NextPick, k.SlowStartNext, k.SlowStartLimit
	s.attemptScale, s.othersInFlight = k.AttemptScale, k.OthersInFlight
	if k.SlowStartLimit < 0 {
		s.slowStartLimit = math.Inf(1)
	}
	if age > b.scaled(1, maxEjection) {
		return
	}
	s.ejections, s.consecutiveTimeouts, s.consecutiveFailures, s.ejected, s.ejectedUntil = k.ConsecutiveEjections, k.ConsecutiveTimeouts, k.ConsecutiveFailures, k.Ejected, k.EjectedUntil
	for _, e := range k.ClassHealth {
		for i := range b.classes {
			if b.classes[i].Name == e.Class {
				s.classHealth[i] = classHealth{consecutiveFailures: e.ConsecutiveFailures, ejectedUntil: e.EjectedUntil, ejections: e.Ejections}
			}
		}
	}
}
