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

// Snapshot returns what is known as plain data. It changes nothing.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	m := Snapshot{
		Version: SnapshotVersion, At: now, Zone: b.settings.Zones[b.settings.Zone], Clock: b.virtualTime, Part: b.subsetFraction,
		Asked: b.arrivedWork, Sent: b.sentWork, Borne: b.warmServedWork, Lately: b.newOverdue, Heard: b.newResponses,
		AskRate: b.arrivalRate, Rate: b.sendRate, BearRate: b.warmServiceRate,
		Lates: b.timeouts, Answers: b.responses, Bads: b.failures,
		Tokens: b.retryTokens, Quota: slices.Clone(b.tenantTokens), Shedding: b.shedding,
	}
	if b.started { // else it has never solved
		m.SolvedAgo = max(0, now-b.lastSolve)
	}
	for _, t := range b.settings.Tenants {
		m.Tenants = append(m.Tenants, t.Name)
	}
	for i, k := range b.kindModels {
		m.Kinds = append(m.Kinds, KindSnapshot{
			Kind: b.settings.Kinds[i/2], Across: i%2 == 1, Fit: k.sums.toSnapshot(), Recent: k.recentSums.toSnapshot(),
			Idle: k.idleLatency, Crowd: k.inFlightCoeff, Bend: k.loadCoeff, Seen: k.measured,
			Batch: k.idleBatchSum, BatchN: k.idleBatchCount,
		})
	}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassSnapshot{Class: c.Name, N: c.sampleCount, Y: c.latencySum, Work: c.work, Cost: c.meanCost})
	}
	for i, z := range b.zones {
		m.Zones = append(m.Zones, ZoneSnapshot{Zone: b.settings.Zones[i], Heard: z.lastResponse, Fails: z.failures,
			Until: z.ejectedUntil, Times: z.ejections})
	}
	for _, s := range b.backends {
		m.Backends = append(m.Backends, b.snapshotBackend(s, now))
	}
	for _, s := range b.trialQueue {
		m.Trials = append(m.Trials, s.ID)
	}
	return m
}

// snapshotBackend returns what is known of one backend.
func (b *Balancer) snapshotBackend(s *backendState, now time.Duration) BackendSnapshot {
	k := BackendSnapshot{
		ID: s.ID, Kind: b.settings.Kinds[s.Kind], Started: s.Started,
		Nominal: s.maxWeight, Read: s.reportedLatency, ReadAt: s.reportedAt,
		Y: s.latencySum, Expect: s.expectedSum, N: s.sampleCount, Slow: s.slowdown,
		Share: s.share, Each: s.attemptScale, Others: s.othersInFlight, Risk: s.riskPenalty,
		ColdTop: s.slowStartLimit, ColdNext: max(0, min(s.slowStartNext, now+maxFuture)),
		Next: s.nextPick, Turn: s.queueIndex,
		Fails: s.ejections, Silent: s.consecutiveTimeouts, Run: s.consecutiveFailures,
		Good: s.responses, Bad: s.failures, Lost: s.timeouts,
		Away: s.ejected, Until: s.ejectedUntil,
	}
	if math.IsInf(k.ColdTop, 1) {
		k.ColdTop = -1
	}
	for i, h := range s.classHealth {
		if h.consecutiveFailures > 0 || h.ejections > 0 || h.ejectedUntil > now {
			k.Ills = append(k.Ills, HealthSnapshot{Class: b.classes[i].Name, Run: h.consecutiveFailures, Until: h.ejectedUntil, Times: h.ejections})
		}
	}
	return k
}

// Restore loads the snapshot of another Balancer into one that has its endpoint list and no open request. What the snapshot
// knows of backends, kinds, classes, zones and tenants that are not here, and of earlier processes of backends, is left
// out. A snapshot that cannot be right changes nothing and gives an error that says what is wrong. Restored at once, with
// the same settings and list, a Balancer makes the same decisions as the first one but for random choices; an older
// snapshot weighs as if no response had come since.
func (b *Balancer) Restore(now time.Duration, m Snapshot) error {
	if err := b.checkRestore(now, &m); err != nil {
		return fmt.Errorf("memory: %w", err)
	}
	b.now = now
	age := max(0, now-m.At)
	b.restoreFleet(&m, age)
	b.restoreBackends(&m, age)
	b.trialQueue = b.trialQueue[:0]
	for _, id := range m.Trials {
		if s := b.byID[id]; s != nil && len(b.trialQueue) < 2*len(b.backends) {
			b.trialQueue = append(b.trialQueue, s)
		}
	}
	capacity := math.Inf(1)
	if m.Shedding {
		capacity = 0
	}
	b.shedding = b.arrivalRate > capacity // as it was: not a change to be logged
	b.setAdmissionLimits(capacity)
	if age > b.scaled(1, solveInterval) {
		for _, s := range b.backends {
			s.updateSlowdown(now)
		}
		b.solve()
	}
	return nil
}

// checkRestore returns an error where a snapshot cannot be restored here and now.
func (b *Balancer) checkRestore(now time.Duration, m *Snapshot) error {
	if err := m.check(now); err != nil {
		return err
	}
	switch {
	case m.Zone != b.settings.Zones[b.settings.Zone]:
		return fmt.Errorf("it is of zone %q", m.Zone)
	case !b.started:
		return errors.New("there is no list yet")
	case len(b.requests) > 0:
		return fmt.Errorf("%d requests are open", len(b.requests))
	}
	return nil
}

// restoreBackends loads what is known of the backends and rebuilds the pick queue in the order that it had. Backends that
// the snapshot does not know come last.
func (b *Balancer) restoreBackends(m *Snapshot, age time.Duration) {
	shift := m.Clock - b.virtualTime
	b.virtualTime = m.Clock
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
		turns[s] = k.Turn
	}
	b.pickQueue = b.pickQueue[:0]
	for _, s := range b.backends {
		if k := known[s.ID]; k == nil || k.Each == 0 {
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

// decayWeight is the weight that evidence of an age keeps, with lifetime as its time constant.
func (b *Balancer) decayWeight(age, lifetime time.Duration) float64 {
	return math.Exp(-age.Seconds() / b.timeScale / lifetime.Seconds())
}

// restoreFleet loads what is known of the traffic, the subset and the zones.
func (b *Balancer) restoreFleet(m *Snapshot, age time.Duration) {
	own := b.decayWeight(age, backendDecay)
	b.restoreKinds(m, age)
	for _, k := range m.Classes {
		for i := range b.classes {
			if c := &b.classes[i]; c.Name == k.Class {
				c.sampleCount, c.latencySum, c.work, c.meanCost = k.N*own, k.Y*own, k.Work, k.Cost
			}
		}
	}
	fresh := age <= b.scaled(1, maxEjection)
	for _, k := range m.Zones {
		if i := slices.Index(b.settings.Zones, k.Zone); i >= 0 && fresh {
			b.zones[i] = zoneHealth{lastResponse: k.Heard, failures: k.Fails, ejectedUntil: k.Until, ejections: k.Times}
		}
	}
	for i, t := range b.settings.Tenants {
		if j := slices.Index(m.Tenants, t.Name); j >= 0 {
			b.tenantTokens[i] = m.Quota[j]
		}
	}
	b.subsetFraction, b.retryTokens = m.Part, min(m.Tokens, maxRetryTokens)
	b.nodesPerBackend = max(1, float64(b.settings.Nodes)*b.subsetFraction)
	b.arrivedWork, b.sentWork, b.warmServedWork, b.newOverdue, b.newResponses = m.Asked, m.Sent, m.Borne, m.Lately, m.Heard
	b.arrivalRate, b.sendRate, b.warmServiceRate = m.AskRate, m.Rate, m.BearRate
	if age > b.scaled(1, rateLifetime) {
		b.arrivedWork, b.sentWork, b.warmServedWork, b.newOverdue, b.newResponses = 0, 0, 0, 0, 0
		b.arrivalRate, b.sendRate, b.warmServiceRate = 0, 0, 0
	}
	b.timeouts, b.responses, b.failures = m.Lates*own, m.Answers*own, m.Bads*own
	b.lastSolve = b.now - min(m.SolvedAgo, 2*solveInterval) // a solve interval at most, whatever the snapshot says
}

// restoreKinds loads the models of the kinds.
func (b *Balancer) restoreKinds(m *Snapshot, age time.Duration) {
	keep := b.decayWeight(age, kindDecay)
	for _, k := range m.Kinds {
		i := slices.Index(b.settings.Kinds, k.Kind)
		if i < 0 {
			continue
		}
		model := &b.kindModels[2*i]
		if k.Across {
			model = &b.kindModels[2*i+1]
		}
		*model = kindModel{
			sums: k.Fit.toSums(), recentSums: k.Recent.toSums(),
			idleLatency: k.Idle, inFlightCoeff: k.Crowd, loadCoeff: k.Bend,
			measured:     k.Seen && age < b.scaled(1, idleLifetime),
			idleBatchSum: k.Batch, idleBatchCount: min(k.BatchN, idleBatchSize-1),
		}
		model.sums.decay(keep)
		model.recentSums.decay(keep)
		if age > b.scaled(1, solveInterval) {
			model.idleBatchSum, model.idleBatchCount = 0, 0
		}
	}
}

// restoreBackend loads what is known of one backend. Failures older than the longest ejection are ignored: the backend may
// have recovered, and a node that ejected its whole fleet must not continue so.
func (b *Balancer) restoreBackend(s *backendState, k *BackendSnapshot, age time.Duration) {
	own := b.decayWeight(age, backendDecay)
	s.maxWeight, s.reportedLatency, s.reportedAt = max(s.maxWeight, k.Nominal), k.Read, k.ReadAt
	s.latencySum, s.expectedSum, s.sampleCount, s.slowdown = k.Y*own, k.Expect*own, k.N*own, k.Slow
	s.responses, s.failures, s.timeouts, s.riskPenalty = k.Good*own, k.Bad*own, k.Lost*own, k.Risk
	s.share, s.nextPick, s.slowStartNext, s.slowStartLimit = k.Share, k.Next, k.ColdNext, k.ColdTop
	s.attemptScale, s.othersInFlight = k.Each, k.Others
	if k.ColdTop < 0 {
		s.slowStartLimit = math.Inf(1)
	}
	if age > b.scaled(1, maxEjection) {
		return
	}
	s.ejections, s.consecutiveTimeouts, s.consecutiveFailures, s.ejected, s.ejectedUntil = k.Fails, k.Silent, k.Run, k.Away, k.Until
	for _, e := range k.Ills {
		for i := range b.classes {
			if b.classes[i].Name == e.Class {
				s.classHealth[i] = classHealth{consecutiveFailures: e.Run, ejectedUntil: e.Until, ejections: e.Times}
			}
		}
	}
}
