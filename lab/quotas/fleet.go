package quotas

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/quota"
	"linenwheel.dev/linenwheel/internal/node/quota/lease"
)

// FleetCase is a pattern of arrivals at several nodes, with what fails.
type FleetCase struct {
	Name   string
	Flows  []Flow
	Parts  map[string][]float64 // of a leaf's calls, by node; a leaf that is not named is spread evenly
	Lost   float64              // s when the last node is lost, 0 = never; its clients go to the others
	Silent [2]float64           // s from and until when nothing can be agreed
	Loss   float64              // part of the answers to reports that are lost
	Limits map[string]float64   // ceilings of leaves, calls a second
	Nodes  int                  // of the fleet
}

// FleetCases are the hard ones.
var FleetCases = []FleetCase{
	{Nodes: 5, Name: "spread evenly, everyone storms", Flows: storm},
	{Nodes: 5, Name: "two nodes have nearly all of one partner", Flows: storm, Parts: uneven},
	{Nodes: 5, Name: "each partner at a node of its own", Flows: storm, Parts: apart},
	{Nodes: 5, Name: "the largest is quiet, the others at nodes of their own", Flows: all(map[string]float64{"vltava": 150, "sumava": 1500}),
		Parts: apart},
	{Nodes: 5, Name: "uneven, and a node lost in the middle", Flows: storm, Parts: uneven, Lost: 40},
	{Nodes: 5, Name: "uneven, a fifth of the answers lost", Flows: storm, Parts: uneven, Loss: 0.2},
	{Nodes: 5, Name: "uneven, within guarantees", Flows: all(map[string]float64{"morava-north": 45, "morava-south": 30, "vltava": 60, "sumava": 30}),
		Parts: uneven},
	{Nodes: 5, Name: "uneven, with a ceiling", Flows: storm, Parts: uneven, Limits: map[string]float64{"sumava": 40}},
	{Nodes: 5, Name: "uneven, nothing agreed for 20 s", Flows: storm, Parts: uneven, Silent: [2]float64{30, 50}},
	{Nodes: 30, Name: "30 nodes, everyone storms", Flows: storm},
	{Nodes: 30, Name: "30 nodes, within guarantees", Flows: all(map[string]float64{"morava-north": 45, "morava-south": 30, "vltava": 60,
		"sumava": 30})},
	{Nodes: 300, Name: "300 nodes, less than a call a second at each", Flows: storm},
	{Nodes: 300, Name: "300 nodes, within guarantees", Flows: all(map[string]float64{"morava-north": 45, "morava-south": 30, "vltava": 60,
		"sumava": 30})},
}

var (
	storm  = all(map[string]float64{"morava-north": 275, "morava-south": 185, "vltava": 360, "sumava": 180})
	uneven = map[string][]float64{"morava-north": {0.7, 0.2, 0.05, 0.03, 0.02}, "vltava": {0.02, 0.03, 0.05, 0.3, 0.6},
		"sumava": {0.05, 0.05, 0.8, 0.05, 0.05}}
	apart = map[string][]float64{"morava-north": {1, 0, 0, 0, 0}, "morava-south": {0, 1, 0, 0, 0}, "vltava": {0, 0, 1, 0, 0},
		"sumava": {0, 0, 0, 1, 0}}
)

// FleetOutcome is how a fleet did in a case.
type FleetOutcome struct {
	Way   string             `json:"way"`
	Got   map[string]float64 `json:"got"` // calls a second from 10 s on
	Due   map[string]float64 `json:"due"`
	Worst float64            `json:"worst_error"` // the largest part by which a leaf missed its due
	// Over is how many calls the fleet, or a leaf with a ceiling, let through at the most beyond its rate and what may be saved up.
	Over    float64 `json:"over"`
	Reports int     `json:"reports"`
}

// LeaseTimes are those of a fleet with leases, ms.
type LeaseTimes struct{ Length, Every, Way float64 }

const leasedPart = 0.95

// oneCall is what a call takes.
var oneCall = quota.Amount{1}

// seat is a node of the fleet.
type seat struct {
	book   *quota.Tree
	demand *lease.Demand
	holds  uint64
	until  float64 // ms; its lease
	gone   bool
}

// PlayFleet plays a case: every node for itself with its part of everything, or with leases.
func PlayFleet(c FleetCase, seed uint64, leases bool, t LeaseTimes) FleetOutcome {
	set := Settings(slices.Clone(Tree), Rate)
	for i := range set.Nodes {
		if limit := c.Limits[set.Nodes[i].Name]; limit > 0 {
			set.Nodes[i].RateLimit = quota.Amount{limit}
		}
	}
	p := &fleetPlay{c: c, set: set, times: t, rand: rand.New(rand.NewPCG(seed, 5)), machine: lease.New(), leases: leases,
		tree: lease.Tree{Leased: leasedPart, Settings: set}, over: map[string]*meter{"": {Rate, Rate * burstOf(set), 0, 0}},
		out: FleetOutcome{Way: "each node its part", Got: map[string]float64{}, Due: map[string]float64{}}}
	for leaf, limit := range c.Limits {
		p.over[leaf] = &meter{limit, limit * set.Burst, 0, 0}
	}
	part := 1 / float64(c.Nodes)
	if leases {
		p.out.Way = "leases"
		part *= 1 - leasedPart
		if err := p.machine.SetTree(0, p.tree); err != nil {
			panic(err) // the tree is this package's own
		}
	}
	for range c.Nodes {
		b, err := quota.New(set.Fraction(part, leases), seed)
		if err != nil {
			panic(err)
		}
		p.seats = append(p.seats, &seat{book: b, demand: lease.NewDemand(0, 1/Rate)})
	}
	p.run(seed)
	return p.out
}

// burstOf is what the root may save up, in seconds of its rate.
func burstOf(s quota.Settings) float64 { return s.Burst / (1 - s.Reserved*float64(s.Priorities-1)) }

// meter is a bucket that counts how far it was overdrawn.
type meter struct{ rate, cap, level, at float64 }

func (m *meter) take(at float64) (over float64) {
	m.level = max(0, m.level-m.rate*(at-m.at)) + 1
	m.at = at
	return m.level - m.cap
}

type fleetPlay struct {
	c       FleetCase
	set     quota.Settings
	times   LeaseTimes
	rand    *rand.Rand
	machine *lease.Machine
	leases  bool
	tree    lease.Tree
	seats   []*seat
	over    map[string]*meter
	out     FleetOutcome
}

// moment is something that happens: a call, a report, or its answer.
type moment struct {
	at   float64 // ms
	do   func(at float64)
	kind int
}

func (p *fleetPlay) run(seed uint64) {
	var moments []moment
	asked := map[string]float64{}
	for i := range p.c.Flows {
		f := &p.c.Flows[i]
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := rng.ExpFloat64() / f.Rate; at < end; at += rng.ExpFloat64() / f.Rate {
			node := p.node(f.Leaf, rng.Float64())
			if at >= 10 {
				asked[f.Leaf] += 1 / (end - 10)
			}
			moments = append(moments, moment{at * 1000, func(at float64) { p.call(at, f, node) }, 1})
		}
	}
	if p.leases {
		for i, s := range p.seats {
			for at := p.rand.Float64() * p.times.Every; at < end*1000; at += p.times.Every * (0.75 + p.rand.Float64()/2) {
				moments = append(moments, moment{at, func(at float64) { p.report(at, i, s) }, 0})
			}
		}
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return cmp.Compare(a.at, b.at) })
	for _, m := range moments {
		m.do(m.at)
	}
	b, err := quota.New(p.set, 1)
	if err != nil {
		panic(err)
	}
	want := map[int]float64{}
	for leaf, rate := range asked {
		at, _ := b.Find(leaf)
		want[at] = rate
	}
	for at, rate := range b.FairRates(Rate, want) {
		leaf := b.Name(at)
		p.out.Due[leaf] = rate
		p.out.Worst = max(p.out.Worst, math.Abs(p.out.Got[leaf]-rate)/rate)
	}
}

// node draws where a call of a leaf arrives.
func (p *fleetPlay) node(leaf string, luck float64) int {
	parts := p.c.Parts[leaf]
	if parts == nil {
		return int(luck * float64(p.c.Nodes))
	}
	for i, part := range parts {
		if luck -= part; luck < 0 {
			return i
		}
	}
	return 0
}

func (p *fleetPlay) call(at float64, f *Flow, node int) {
	if p.c.Lost > 0 && at >= p.c.Lost*1000 && node == p.c.Nodes-1 {
		p.seats[node].gone = true
		node = int(at) % (p.c.Nodes - 1)
	}
	s := p.seats[node]
	p.expire(at, s)
	leaf, ok := s.book.Find(f.Leaf)
	if !ok {
		panic(fmt.Sprint("no leaf ", f.Leaf))
	}
	s.demand.Request(leaf, 1/Rate)
	if d := s.book.Admit(at, quota.Call{Leaf: leaf, Priority: f.Priority}); d.Verdict == quota.Rejected {
		return
	}
	s.demand.Admit(leaf, 1/Rate)
	for _, name := range []string{"", f.Leaf} {
		if m := p.over[name]; m != nil {
			p.out.Over = max(p.out.Over, m.take(at/1000))
		}
	}
	if at >= 10000 {
		p.out.Got[f.Leaf] += 1 / (end - 10)
	}
}

func (p *fleetPlay) expire(at float64, s *seat) {
	if s.until > 0 && at >= s.until {
		s.until = 0
		s.book.Lease(at, p.set.Root, oneCall, nil)
	}
}

// report has a node's lease renewed: what it says arrives after a while, and so does the answer.
func (p *fleetPlay) report(at float64, i int, s *seat) {
	if s.gone || p.c.Lost > 0 && at >= p.c.Lost*1000 && i == p.c.Nodes-1 || at >= p.c.Silent[0]*1000 && at < p.c.Silent[1]*1000 {
		return
	}
	p.expire(at, s)
	p.out.Reports++
	g, err := p.machine.Report(at+p.times.Way, lease.Report{Node: fmt.Sprint("n", i), Life: 1, Tree: p.tree.Hash(),
		Length: p.times.Length, HeldLease: s.holds, Demand: s.demand.Report(at)})
	if err != nil {
		panic(err)
	}
	if p.rand.Float64() < p.c.Loss {
		return
	}
	parts := make([]quota.NodeLease, 0, len(g.Parts))
	for _, part := range g.Parts {
		parts = append(parts, quota.NodeLease{NodeIndex: part.Node, Load: part.Load.Fraction()})
	}
	s.book.Lease(at+2*p.times.Way, p.set.Root, oneCall, parts)
	s.holds, s.until = g.Number, at+g.Length
}
