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
	memoryAhead  = 5 * time.Second  // clocks of two machines may differ by so much
	idleLife     = 20 * poolMemory  // an idle latency older than this is no more than a guess
	rateLife     = 4 * time.Second  // and so are the rates of traffic
	mostFigure   = 1e15             // no figure is beyond this, either way
	mostSlow     = 1000             // times slower than its kind that a backend can be
	mostTimes    = 1 << 20          // times in a row that something happened
	mostFuture   = 32 * time.Second // a time in a memory lies no further ahead of it
	mostBackends = 1 << 20
)

// FitMemory is the evidence for a curve.
type FitMemory struct {
	N  float64 `json:"n"`
	Y  float64 `json:"y"`
	V2 float64 `json:"v2"`
}

func (f fit) memory() FitMemory { return FitMemory{f.n, f.y, f.v2} }
func (f FitMemory) fit() fit    { return fit{f.N, f.Y, f.V2} }

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
	m := Memory{Version: MemoryVersion, At: now, Zone: b.set.Zones[b.set.Zone], Clock: b.clock, Part: b.part,
		Asked: b.asked, Sent: b.sent, Borne: b.borne, Lately: b.newLate, Heard: b.heardNow,
		AskRate: b.askRate, Rate: b.rate, BearRate: b.bearRate, Lates: b.lates, Answers: b.answers, Bads: b.bads, Tokens: b.tokens,
		Quota: slices.Clone(b.quota), Shedding: b.shedding}
	if b.started { // else it has never solved
		m.SolvedAgo = max(0, now-b.lastSolve)
	}
	for _, t := range b.set.Tenants {
		m.Tenants = append(m.Tenants, t.Name)
	}
	for i, p := range b.pools {
		m.Kinds = append(m.Kinds, KindMemory{b.set.Kinds[i/2], i%2 == 1, p.fit.memory(), p.recent.memory(),
			p.idle, p.crowd, p.bend, p.seen, p.batch, p.batchN})
	}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassMemory{c.Name, c.n, c.y, c.work, c.cost})
	}
	for i, z := range b.zones {
		m.Zones = append(m.Zones, ZoneMemory{b.set.Zones[i], z.heard, z.fails, z.until, z.times})
	}
	for _, s := range b.servers {
		k := BackendMemory{s.ID, b.set.Kinds[s.Kind], s.Started, s.nominal, s.read, s.readAt, s.y, s.expect, s.n, s.slow,
			s.share, s.each, s.others, s.risk, s.coldTop, max(0, min(s.coldNext, now+mostFuture)), s.next, s.turn, s.fails, s.silent, s.good, s.bad, s.lost, s.run,
			s.away, s.until, nil}
		if math.IsInf(k.ColdTop, 1) {
			k.ColdTop = -1
		}
		for i, e := range s.ills {
			if e.run > 0 || e.times > 0 || e.until > now {
				k.Ills = append(k.Ills, IllMemory{b.classes[i].Name, e.run, e.until, e.times})
			}
		}
		m.Backends = append(m.Backends, k)
	}
	for _, s := range b.trials {
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
	case m.Zone != b.set.Zones[b.set.Zone]:
		return fmt.Errorf("memory: it is of zone %q", m.Zone)
	case !b.started:
		return errors.New("memory: there is no list yet")
	case len(b.requests) > 0:
		return fmt.Errorf("memory: %d requests are open", len(b.requests))
	}
	b.now = now
	age := max(0, now-m.At)
	b.restoreFleet(&m, age)
	moved := m.Clock - b.clock
	b.clock = m.Clock
	known := map[BackendID]*BackendMemory{}
	for i := range m.Backends {
		known[m.Backends[i].ID] = &m.Backends[i]
	}
	turns := map[*server]int{}
	for i, s := range b.servers {
		k := known[s.ID]
		if k == nil || k.Started != s.Started || k.Kind != b.set.Kinds[s.Kind] {
			s.next += moved
			turns[s] = len(m.Backends) + i
			continue
		}
		b.restore(s, k, age)
		turns[s] = k.Turn
	}
	b.turns = b.turns[:0]
	for _, s := range b.servers {
		if k := known[s.ID]; k == nil || k.Each == 0 {
			s.mirror(b.load(s), b.users)
		}
		s.turn = -1
		if turns[s] >= 0 && s.share > 0 && s.State == Serving && !s.away {
			b.turns = append(b.turns, s)
		}
	}
	slices.SortStableFunc(b.turns, func(s, t *server) int { return cmp.Compare(turns[s], turns[t]) })
	for i, s := range b.turns {
		s.turn = i
	}
	heap.Init(&b.turns)
	b.trials = b.trials[:0]
	for _, id := range m.Trials {
		if s := b.byID[id]; s != nil && len(b.trials) < 2*len(b.servers) {
			b.trials = append(b.trials, s)
		}
	}
	room := math.Inf(1)
	if m.Shedding {
		room = 0
	}
	b.shedding = b.askRate > room // as it was, not a change to be logged
	b.admit(room)
	if age > b.paced(1, solveEvery) {
		for _, s := range b.servers {
			s.shift(now)
		}
		b.solve()
	}
	return nil
}

// keep is the weight that is left of what fades with a memory.
func (b *Balancer) keep(age, memory time.Duration) float64 {
	return math.Exp(-age.Seconds() / b.pace / memory.Seconds())
}

// restoreFleet takes what is known of kinds, classes, zones and the traffic.
func (b *Balancer) restoreFleet(m *Memory, age time.Duration) {
	own, kind := b.keep(age, ownMemory), b.keep(age, poolMemory)
	for _, k := range m.Kinds {
		i := slices.Index(b.set.Kinds, k.Kind)
		if i < 0 {
			continue
		}
		p := &b.pools[2*i]
		if k.Across {
			p = &b.pools[2*i+1]
		}
		*p = pool{fit: k.Fit.fit(), recent: k.Recent.fit(), idle: k.Idle, crowd: k.Crowd, bend: k.Bend,
			seen: k.Seen && age < b.paced(1, idleLife), batch: k.Batch, batchN: min(k.BatchN, idleBatch-1)}
		p.fit.fade(kind)
		p.recent.fade(kind)
		if age > b.paced(1, solveEvery) {
			p.batch, p.batchN = 0, 0
		}
	}
	for _, k := range m.Classes {
		for i := range b.classes {
			if c := &b.classes[i]; c.Name == k.Class {
				c.n, c.y, c.work, c.cost = k.N*own, k.Y*own, k.Work, k.Cost
			}
		}
	}
	fresh := age <= b.paced(1, awayMost)
	for _, k := range m.Zones {
		if i := slices.Index(b.set.Zones, k.Zone); i >= 0 && fresh {
			b.zones[i] = zone{heard: k.Heard, fails: k.Fails, until: k.Until, times: k.Times}
		}
	}
	for i, t := range b.set.Tenants {
		if j := slices.Index(m.Tenants, t.Name); j >= 0 {
			b.quota[i] = m.Quota[j]
		}
	}
	b.part, b.tokens = m.Part, min(m.Tokens, retryMost)
	b.users = max(1, float64(b.set.Nodes)*b.part)
	b.asked, b.sent, b.borne, b.newLate, b.heardNow = m.Asked, m.Sent, m.Borne, m.Lately, m.Heard
	b.askRate, b.rate, b.bearRate = m.AskRate, m.Rate, m.BearRate
	if age > b.paced(1, rateLife) {
		b.asked, b.sent, b.borne, b.newLate, b.heardNow = 0, 0, 0, 0, 0
		b.askRate, b.rate, b.bearRate = 0, 0, 0
	}
	b.lates, b.answers, b.bads = m.Lates*own, m.Answers*own, m.Bads*own
	b.lastSolve = b.now - min(m.SolvedAgo, 2*solveEvery) // it is an interval of the solver's, whatever stands there
}

// restore takes what is known of one backend. Troubles older than the longest time away are void: it may be well by
// now, and a node that put all of its fleet away must not go on with that.
func (b *Balancer) restore(s *server, k *BackendMemory, age time.Duration) {
	own := b.keep(age, ownMemory)
	s.nominal, s.read, s.readAt = max(s.nominal, k.Nominal), k.Read, k.ReadAt
	s.y, s.expect, s.n, s.slow = k.Y*own, k.Expect*own, k.N*own, k.Slow
	s.good, s.bad, s.lost, s.risk = k.Good*own, k.Bad*own, k.Lost*own, k.Risk
	s.share, s.next, s.coldNext, s.coldTop = k.Share, k.Next, k.ColdNext, k.ColdTop
	s.each, s.others = k.Each, k.Others
	if k.ColdTop < 0 {
		s.coldTop = math.Inf(1)
	}
	if age > b.paced(1, awayMost) {
		return
	}
	s.fails, s.silent, s.run, s.away, s.until = k.Fails, k.Silent, k.Run, k.Away, k.Until
	for _, e := range k.Ills {
		for i := range b.classes {
			if b.classes[i].Name == e.Class {
				s.ills[i] = ill{run: e.Run, until: e.Until, times: e.Times}
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

// figures checks numbers that are 0 or more.
func (c *checker) figures(what string, list ...float64) {
	for _, x := range list {
		if !(x >= 0 && x <= mostFigure) {
			c.fail(what, x)
		}
	}
}

// times checks points in time, which lie before the memory or shortly after.
func (c *checker) times(what string, list ...time.Duration) {
	for _, t := range list {
		if t < 0 || t > c.at+mostFuture {
			c.fail(what, t)
		}
	}
}

// counts checks how often something happened.
func (c *checker) counts(what string, list ...int) {
	for _, n := range list {
		if n < 0 || n > mostTimes {
			c.fail(what, n)
		}
	}
}

// check tells what cannot be right.
func (m *Memory) check(now time.Duration) error {
	if m.Version != MemoryVersion {
		return fmt.Errorf("its version is %d, %d is read", m.Version, MemoryVersion)
	}
	if m.At < 0 || m.At > now+memoryAhead {
		return fmt.Errorf("it is of %v, now it is %v", m.At, now)
	}
	if len(m.Backends) > mostBackends || len(m.Quota) != len(m.Tenants) {
		return fmt.Errorf("it has %d backends, %d quotas and %d tenants", len(m.Backends), len(m.Quota), len(m.Tenants))
	}
	c := &checker{at: m.At}
	c.figures("a figure of the traffic", m.Clock, m.Asked, m.Sent, m.Borne, m.Lately, m.Heard, m.AskRate, m.Rate, m.BearRate, m.Lates,
		m.Answers, m.Bads, m.Tokens)
	c.figures("a quota", m.Quota...)
	if !(m.Part > 0 && m.Part <= 1) {
		c.fail("part", m.Part)
	}
	c.times("solved_ago", m.SolvedAgo)
	for _, k := range m.Kinds {
		c.figures("a figure of a kind", k.Fit.N, k.Fit.Y, k.Fit.V2, k.Recent.N, k.Recent.Y, k.Recent.V2, k.Crowd, k.Bend,
			k.Batch, k.Idle)
		c.counts("batch_n", k.BatchN)
		if !(k.Idle > 0) {
			c.fail("idle", k.Idle)
		}
	}
	for _, k := range m.Classes {
		c.figures("a figure of a class", k.N, k.Y, k.Cost, k.Work)
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
	c.figures("a figure of a backend", k.Each, k.Others, k.Nominal, k.Read, k.Y, k.Expect, k.N, k.Slow, k.Share, k.Risk, k.Next, k.Good,
		k.Bad, k.Lost, k.Run)
	c.times("a time of a backend", k.ReadAt, k.ColdNext, k.Until)
	c.counts("a count of a backend", k.Fails, k.Silent, k.Turn+1)
	if !(k.Slow >= 1.0/mostSlow && k.Slow <= mostSlow) || !(k.Share <= 1+1e-6) {
		c.fail("slow or share", [2]float64{k.Slow, k.Share})
	}
	if !(k.ColdTop == -1 || k.ColdTop >= 0 && k.ColdTop <= mostFigure) {
		c.fail("cold_top", k.ColdTop)
	}
	for _, e := range k.Ills {
		c.figures("a figure of an ill", e.Run)
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
	v := View{b.askRate, b.rate, b.part, b.shedding, b.tokens, nil}
	was := b.now
	b.now = now
	defer func() { b.now = was }()
	for _, s := range b.servers {
		e := BackendView{ID: s.ID, Share: s.share, Rate: s.share * b.rate, Top: s.top, Idle: seconds(s.slow * s.pool.idle),
			Latency: seconds(s.latency(b.load(s))), Slow: s.slow, InPart: b.inPart(s), Away: s.away, Until: s.until,
			Cold: b.cold(s), ColdTop: s.coldTop, Risk: seconds(s.risk), Out: s.out, Overdue: s.overdue}
		if s.turn < 0 {
			e.Share, e.Rate = 0, 0
		}
		for i := range s.ills {
			if now < s.ills[i].until {
				e.Ills = append(e.Ills, i)
			}
		}
		v.Backends = append(v.Backends, e)
	}
	return v
}

// Part is the part of the fleet that the node keeps to.
func (b *Balancer) Part() float64 { return b.part }

// Room is what the backends in use can take from this node together, units a second, as of the last solve; learned tells
// whether it rests on any answer.
func (b *Balancer) Room() (room float64, learned bool) {
	for _, s := range b.servers {
		room += s.top
		learned = learned || s.pool.seen
	}
	return room, learned
}
