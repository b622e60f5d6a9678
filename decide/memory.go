package decide

// This file takes what a Balancer knows out as plain data, and puts such data into another Balancer: that of a
// process which takes over from the first one, or which starts where the first one ended. It decides nothing; how
// old knowledge weighs follows from the memories that decide.go has for each kind of it.

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// MemoryVersion is the form of Memory. It grows when an older reader would take a field for something else; fields
// that it may leave out do not change it.
const MemoryVersion = 1

const (
	maxClockSkew = 5 * time.Second  // clocks of two machines may differ by so much
	idleLifetime = 20 * kindDecay   // an idle latency older than this is no more than a guess
	rateLifetime = 4 * time.Second  // and so are the rates of traffic
	maxNumber    = 1e15             // no figure is beyond this, either way
	maxSlowdown  = 1000             // times slower than its kind that a backend can be
	maxCount     = 1 << 20          // times in a row that something happened
	maxFuture    = 32 * time.Second // a time in a memory lies no further ahead of it
	maxBackends  = 1 << 20
)

// FitMemory is the evidence for a curve.
type FitMemory struct {
	N  float64 `json:"n"`
	Y  float64 `json:"y"`
	V2 float64 `json:"v2"`
}

func (f sampleSums) toMemory() FitMemory { return FitMemory{f.count, f.latency, f.loadSquared} }
func (f FitMemory) toSums() sampleSums   { return sampleSums{f.N, f.Y, f.V2} }

// KindMemory is what is known of the backends of one kind, in one's own zone or across.
type KindMemory struct {
	Kind   string    `json:"kind"`
	Across bool      `json:"across,omitempty"`
	Fit    FitMemory `json:"fit"`
	Recent FitMemory `json:"recent"`
	Idle   float64   `json:"idle"` // seconds
	Crowd  float64   `json:"crowd"`
	Bend   float64   `json:"bend"`
	Seen   bool      `json:"seen"`
	Batch  float64   `json:"batch"`
	BatchN int       `json:"batch_n"`
}

// ClassMemory is what is known of a class of requests.
type ClassMemory struct {
	Class string  `json:"class"`
	N     float64 `json:"n"`
	Y     float64 `json:"y"`
	Work  float64 `json:"work"` // units a request
	Cost  float64 `json:"cost"`
}

// ZoneMemory is what is known of the way to a zone.
type ZoneMemory struct {
	Zone  string        `json:"zone"`
	Heard time.Duration `json:"heard"`
	Fails int           `json:"fails"`
	Until time.Duration `json:"until"`
	Times int           `json:"times"`
}

// IllMemory is what is known of a backend and a class that it may leave unanswered.
type IllMemory struct {
	Class string        `json:"class"`
	Run   float64       `json:"run"`
	Until time.Duration `json:"until"`
	Times int           `json:"times"`
}

// BackendMemory is what is known of one backend.
type BackendMemory struct {
	ID       BackendID     `json:"id"`
	Kind     string        `json:"kind"`
	Started  time.Duration `json:"started"` // knowledge of another process of the backend is void
	Nominal  float64       `json:"nominal"`
	Read     float64       `json:"read"`
	ReadAt   time.Duration `json:"read_at"`
	Y        float64       `json:"y"`
	Expect   float64       `json:"expect"`
	N        float64       `json:"n"`
	Slow     float64       `json:"slow"`
	Share    float64       `json:"share"`
	Each     float64       `json:"each,omitempty"` // 0 = worked out anew, with Others
	Others   float64       `json:"others,omitempty"`
	Risk     float64       `json:"risk"`
	ColdTop  float64       `json:"cold_top"` // units a second, -1 = no limit
	ColdNext time.Duration `json:"cold_next"`
	Next     float64       `json:"next"`
	Turn     int           `json:"turn"` // -1 = none
	Fails    int           `json:"fails"`
	Silent   int           `json:"silent"`
	Good     float64       `json:"good"`
	Bad      float64       `json:"bad"`
	Lost     float64       `json:"lost"`
	Run      float64       `json:"run"`
	Away     bool          `json:"away"`
	Until    time.Duration `json:"until"`
	Ills     []IllMemory   `json:"ills,omitempty"`
}

// Memory is what a Balancer knows, but for the requests that are open and what matters to them alone. All names are those of its Settings; times are
// those of the clock that all nodes share.
type Memory struct {
	Version   int             `json:"version"`
	At        time.Duration   `json:"at"`   // when it was taken
	Zone      string          `json:"zone"` // of the node: what is near and far depends on it
	Kinds     []KindMemory    `json:"kinds"`
	Classes   []ClassMemory   `json:"classes"`
	Zones     []ZoneMemory    `json:"zones"`
	Backends  []BackendMemory `json:"backends"`
	Trials    []BackendID     `json:"trials,omitempty"` // those whose time away is over
	Clock     float64         `json:"clock"`            // of the turns
	Part      float64         `json:"part"`
	Asked     float64         `json:"asked"` // since the last solve
	Sent      float64         `json:"sent"`
	Borne     float64         `json:"borne"`
	Lately    float64         `json:"lately"`
	Heard     float64         `json:"heard"`
	SolvedAgo time.Duration   `json:"solved_ago"`
	AskRate   float64         `json:"ask_rate"` // units a second
	Rate      float64         `json:"rate"`
	BearRate  float64         `json:"bear_rate"`
	Lates     float64         `json:"lates"`
	Answers   float64         `json:"answers"`
	Bads      float64         `json:"bads"`
	Tokens    float64         `json:"tokens"`
	Quota     []float64       `json:"quota,omitempty"` // by tenant
	Tenants   []string        `json:"tenants,omitempty"`
	Shedding  bool            `json:"shedding"`
}

// Snapshot gives what is known. It changes nothing.
func (b *Balancer) Snapshot(now time.Duration) Memory {
	m := Memory{Version: MemoryVersion, At: now, Zone: b.settings.Zones[b.settings.Zone], Clock: b.virtualTime, Part: b.subsetFraction,
		Asked: b.arrivedWork, Sent: b.sentWork, Borne: b.warmServedWork, Lately: b.newOverdue, Heard: b.newResponses,
		AskRate: b.arrivalRate, Rate: b.sendRate, BearRate: b.warmServiceRate, Lates: b.timeouts, Answers: b.responses, Bads: b.failures, Tokens: b.retryTokens,
		Quota: slices.Clone(b.tenantTokens), Shedding: b.shedding}
	if b.started { // else it has never solved
		m.SolvedAgo = max(0, now-b.lastSolve)
	}
	for _, t := range b.settings.Tenants {
		m.Tenants = append(m.Tenants, t.Name)
	}
	for i, p := range b.kindModels {
		m.Kinds = append(m.Kinds, KindMemory{b.settings.Kinds[i/2], i%2 == 1, p.sums.toMemory(), p.recentSums.toMemory(),
			p.idleLatency, p.inFlightCoeff, p.loadCoeff, p.measured, p.idleBatchSum, p.idleBatchCount})
	}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassMemory{c.Name, c.sampleCount, c.latencySum, c.work, c.meanCost})
	}
	for i, z := range b.zones {
		m.Zones = append(m.Zones, ZoneMemory{b.settings.Zones[i], z.lastResponse, z.failures, z.ejectedUntil, z.ejections})
	}
	for _, s := range b.backends {
		k := BackendMemory{s.ID, b.settings.Kinds[s.Kind], s.Started, s.maxWeight, s.reportedLatency, s.reportedAt, s.latencySum, s.expectedSum, s.sampleCount, s.slowdown,
			s.share, s.attemptScale, s.othersInFlight, s.riskPenalty, s.slowStartLimit, max(0, min(s.slowStartNext, now+maxFuture)), s.nextPick, s.queueIndex, s.ejections, s.consecutiveTimeouts, s.responses, s.failures, s.timeouts, s.consecutiveFailures,
			s.ejected, s.ejectedUntil, nil}
		if math.IsInf(k.ColdTop, 1) {
			k.ColdTop = -1
		}
		for i, e := range s.classHealth {
			if e.consecutiveFailures > 0 || e.ejections > 0 || e.ejectedUntil > now {
				k.Ills = append(k.Ills, IllMemory{b.classes[i].Name, e.consecutiveFailures, e.ejectedUntil, e.ejections})
			}
		}
		m.Backends = append(m.Backends, k)
	}
	for _, s := range b.trialQueue {
		m.Trials = append(m.Trials, s.ID)
	}
	return m
}

// Restore takes what another Balancer knew into one that has its list and no request open; what is known of backends,
// kinds, classes, zones and tenants that are not there, and of earlier processes of backends, is left out. A memory
// that cannot be right as a whole changes nothing. Restored at once, by a Balancer with the same settings and list,
// it gives the same decisions but for what chance decides; older, it weighs as if no answer had come in between.
func (b *Balancer) Restore(now time.Duration, m Memory) error {
	if err := m.check(now); err != nil {
		return fmt.Errorf("memory: %w", err)
	}
	switch {
	case m.Zone != b.settings.Zones[b.settings.Zone]:
		return fmt.Errorf("memory: it is of zone %q", m.Zone)
	case !b.started:
		return errors.New("memory: there is no list yet")
	case len(b.requests) > 0:
		return fmt.Errorf("memory: %d requests are open", len(b.requests))
	}
	b.now = now
	age := max(0, now-m.At)
	b.restoreFleet(&m, age)
	moved := m.Clock - b.virtualTime
	b.virtualTime = m.Clock
	known := map[BackendID]*BackendMemory{}
	for i := range m.Backends {
		known[m.Backends[i].ID] = &m.Backends[i]
	}
	turns := map[*backendState]int{}
	for i, s := range b.backends {
		k := known[s.ID]
		if k == nil || k.Started != s.Started || k.Kind != b.settings.Kinds[s.Kind] {
			s.nextPick += moved
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
	b.trialQueue = b.trialQueue[:0]
	for _, id := range m.Trials {
		if s := b.byID[id]; s != nil && len(b.trialQueue) < 2*len(b.backends) {
			b.trialQueue = append(b.trialQueue, s)
		}
	}
	room := math.Inf(1)
	if m.Shedding {
		room = 0
	}
	b.shedding = b.arrivalRate > room // as it was, not a change to be logged
	b.setAdmissionLimits(room)
	if age > b.scaled(1, solveInterval) {
		for _, s := range b.backends {
			s.updateSlowdown(now)
		}
		b.solve()
	}
	return nil
}

// decayWeight is the weight that is left of what fades with a memory.
func (b *Balancer) decayWeight(age, memory time.Duration) float64 {
	return math.Exp(-age.Seconds() / b.timeScale / memory.Seconds())
}

// restoreFleet takes what is known of kinds, classes, zones and the traffic.
func (b *Balancer) restoreFleet(m *Memory, age time.Duration) {
	own, kind := b.decayWeight(age, backendDecay), b.decayWeight(age, kindDecay)
	for _, k := range m.Kinds {
		i := slices.Index(b.settings.Kinds, k.Kind)
		if i < 0 {
			continue
		}
		p := &b.kindModels[2*i]
		if k.Across {
			p = &b.kindModels[2*i+1]
		}
		*p = kindModel{sums: k.Fit.toSums(), recentSums: k.Recent.toSums(), idleLatency: k.Idle, inFlightCoeff: k.Crowd, loadCoeff: k.Bend,
			measured: k.Seen && age < b.scaled(1, idleLifetime), idleBatchSum: k.Batch, idleBatchCount: min(k.BatchN, idleBatchSize-1)}
		p.sums.decay(kind)
		p.recentSums.decay(kind)
		if age > b.scaled(1, solveInterval) {
			p.idleBatchSum, p.idleBatchCount = 0, 0
		}
	}
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
	b.lastSolve = b.now - min(m.SolvedAgo, 2*solveInterval) // it is an interval of the solver's, whatever stands there
}

// restoreBackend takes what is known of one backend. Troubles older than the longest time away are void: it may be well by
// now, and a node that put all of its fleet away must not go on with that.
func (b *Balancer) restoreBackend(s *backendState, k *BackendMemory, age time.Duration) {
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

// checker collects what is wrong with a memory.
type checker struct {
	at  time.Duration
	err error
}

func (c *checker) fail(what string, x any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s is %v", what, x)
	}
}

// numbers checks numbers that are 0 or more.
func (c *checker) numbers(what string, list ...float64) {
	for _, x := range list {
		if !(x >= 0 && x <= maxNumber) {
			c.fail(what, x)
		}
	}
}

// times checks points in time, which lie before the memory or shortly after.
func (c *checker) times(what string, list ...time.Duration) {
	for _, t := range list {
		if t < 0 || t > c.at+maxFuture {
			c.fail(what, t)
		}
	}
}

// counts checks how often something happened.
func (c *checker) counts(what string, list ...int) {
	for _, n := range list {
		if n < 0 || n > maxCount {
			c.fail(what, n)
		}
	}
}

// check tells what cannot be right.
func (m *Memory) check(now time.Duration) error {
	if m.Version != MemoryVersion {
		return fmt.Errorf("its version is %d, %d is read", m.Version, MemoryVersion)
	}
	if m.At < 0 || m.At > now+maxClockSkew {
		return fmt.Errorf("it is of %v, now it is %v", m.At, now)
	}
	if len(m.Backends) > maxBackends || len(m.Quota) != len(m.Tenants) {
		return fmt.Errorf("it has %d backends, %d quotas and %d tenants", len(m.Backends), len(m.Quota), len(m.Tenants))
	}
	c := &checker{at: m.At}
	c.numbers("a figure of the traffic", m.Clock, m.Asked, m.Sent, m.Borne, m.Lately, m.Heard, m.AskRate, m.Rate, m.BearRate, m.Lates,
		m.Answers, m.Bads, m.Tokens)
	c.numbers("a quota", m.Quota...)
	if !(m.Part > 0 && m.Part <= 1) {
		c.fail("part", m.Part)
	}
	c.times("solved_ago", m.SolvedAgo)
	for _, k := range m.Kinds {
		c.numbers("a figure of a kind", k.Fit.N, k.Fit.Y, k.Fit.V2, k.Recent.N, k.Recent.Y, k.Recent.V2, k.Crowd, k.Bend,
			k.Batch, k.Idle)
		c.counts("batch_n", k.BatchN)
		if !(k.Idle > 0) {
			c.fail("idle", k.Idle)
		}
	}
	for _, k := range m.Classes {
		c.numbers("a figure of a class", k.N, k.Y, k.Cost, k.Work)
		if !(k.Work > 1e-6) {
			c.fail("work", k.Work)
		}
	}
	for _, k := range m.Zones {
		c.times("a time of a zone", k.Heard, k.Until)
		c.counts("a count of a zone", k.Fails, k.Times)
	}
	for i := range m.Backends {
		m.Backends[i].check(c)
	}
	return c.err
}

func (k *BackendMemory) check(c *checker) {
	c.numbers("a figure of a backend", k.Each, k.Others, k.Nominal, k.Read, k.Y, k.Expect, k.N, k.Slow, k.Share, k.Risk, k.Next, k.Good,
		k.Bad, k.Lost, k.Run)
	c.times("a time of a backend", k.ReadAt, k.ColdNext, k.Until)
	c.counts("a count of a backend", k.Fails, k.Silent, k.Turn+1)
	if !(k.Slow >= 1.0/maxSlowdown && k.Slow <= maxSlowdown) || !(k.Share <= 1+1e-6) {
		c.fail("slow or share", [2]float64{k.Slow, k.Share})
	}
	if !(k.ColdTop == -1 || k.ColdTop >= 0 && k.ColdTop <= maxNumber) {
		c.fail("cold_top", k.ColdTop)
	}
	for _, e := range k.Ills {
		c.numbers("a figure of an ill", e.Run)
		c.times("a time of an ill", e.Until)
		c.counts("a count of an ill", e.Times)
	}
}

// BackendView tells how one backend does, for people and programs that look on.
type BackendView struct {
	ID      BackendID
	Share   float64       // of the node's load
	Rate    float64       // units a second that this is
	Top     float64       // no more is given, units a second
	Idle    time.Duration // learned latency without load,
	Latency time.Duration // and at its present load
	Slow    float64       // how many times slower than its kind
	InPart  bool          // it is in the part of the fleet that this node keeps to
	Away    bool          // nothing but a trial is sent there,
	Until   time.Duration // before then not even that
	Cold    float64       // part of its capacity that it is sure to have, 1 = warm
	ColdTop float64       // the most that a cold one gets, units a second; infinite when warm
	Risk    time.Duration // price of its failures, as latency
	Out     int           // attempts out,
	Overdue int           // and those that should have been answered by now
	Ills    []int         // classes that it left unanswered and does not get for now
}

// View tells how a Balancer sees its fleet.
type View struct {
	AskRate  float64 // units a second asked of the node
	Rate     float64 // and sent by it
	Part     float64 // of the fleet that it keeps to
	Shedding bool    // more is asked for than there is room for
	Tokens   float64 // further attempts that may be made now
	Backends []BackendView
}

// View gives the present view. It changes nothing.
func (b *Balancer) View(now time.Duration) View {
	v := View{b.arrivalRate, b.sendRate, b.subsetFraction, b.shedding, b.retryTokens, nil}
	was := b.now
	b.now = now
	defer func() { b.now = was }()
	for _, s := range b.backends {
		e := BackendView{ID: s.ID, Share: s.share, Rate: s.share * b.sendRate, Top: s.maxRate, Idle: seconds(s.slowdown * s.model.idleLatency),
			Latency: seconds(s.latencyAtLoad(b.ownLoad(s))), Slow: s.slowdown, InPart: b.inSubset(s), Away: s.ejected, Until: s.ejectedUntil,
			Cold: b.capacityFraction(s), ColdTop: s.slowStartLimit, Risk: seconds(s.riskPenalty), Out: s.inFlight, Overdue: s.overdue}
		if s.queueIndex < 0 {
			e.Share, e.Rate = 0, 0
		}
		for i := range s.classHealth {
			if now < s.classHealth[i].ejectedUntil {
				e.Ills = append(e.Ills, i)
			}
		}
		v.Backends = append(v.Backends, e)
	}
	return v
}

// Part is the part of the fleet that the node keeps to.
func (b *Balancer) Part() float64 { return b.subsetFraction }

// Room is what the backends in use can take from this node together, units a second, as of the last solve; learned tells
// whether it rests on any answer.
func (b *Balancer) Room() (room float64, learned bool) {
	for _, s := range b.backends {
		room += s.maxRate
		learned = learned || s.model.measured
	}
	return room, learned
}
