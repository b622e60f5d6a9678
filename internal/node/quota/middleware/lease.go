package middleware

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"linenwheel.dev/linenwheel/internal/node/quota"
	"linenwheel.dev/linenwheel/internal/node/quota/lease"
)

// Fleet is whom the stage asks for leases. Its methods block until ctx ends at the most.
type Fleet interface {
	Report(ctx context.Context, r lease.Report) (lease.Grant, error)
	// Bring offers a tree; the error wraps lease.ErrOlder where the fleet goes by another.
	Bring(ctx context.Context, t lease.Tree) error
}

// Leases describe how the stage goes by leases of the fleet's room. Times are milliseconds.
type Leases struct {
	Fleet  Fleet
	Node   string
	Length float64      // of a lease
	Tree   lease.Tree   // of the whole fleet
	Call   quota.Amount // the most that one call takes
}

const (
	reportsPerLease   = 4     // reports a lease, at the least
	maxReportInterval = 500.0 // ms between two reports at the most,
	minReportInterval = 100.0 // and at the least, where a call was turned away that no lease was for
	usedFraction      = 0.95  // of a lease: clocks run unlike
)

// leaseState is what the stage has of them, under its lock but for what only Run uses.
type leaseState struct {
	config      Leases
	treeHash    string
	life        uint64
	demand      *lease.Demand
	until       float64 // of the lease; 0 = there is none
	leasedNodes map[int]bool
	load        float64 // of the lease
	wake        chan struct{}

	// Of Run.
	held        uint64
	foreignTree string // the tree that the fleet was seen to go by in place of this node's
	renewed     bool
}

// Lease has the stage go by leases; before Run, or beside it where the tree has changed.
func (s *Stage) Lease(set Leases) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		s.leases = &leaseState{life: rand.Uint64()>>1 | 1, wake: make(chan struct{}, 1)}
	}
	l := s.leases
	l.config, l.treeHash = set, set.Tree.Hash()
	l.demand = lease.NewDemand(s.clock.Now(), s.load(quota.Amount{quota.Requests: 1}))
	s.endLease(s.clock.Now())
}

// Leased tells of the lease: the tree's hash, until when it lasts on the node's clock, and its load as a part of all that the fleet
// can do; ok = the stage goes by leases.
func (s *Stage) Leased() (tree string, until, load float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		return "", 0, 0, false
	}
	return s.leases.treeHash, s.leases.until, s.leases.load, true
}

// load is what a call takes, as a part of what the fleet can do in a second.
func (s *Stage) load(cost quota.Amount) (load float64) {
	for m, root := range s.leases.config.Tree.Set.Root {
		if root > 0 {
			load = max(load, cost[m]/root)
		}
	}
	return load
}

// endLease ends the lease: what the node has of its own is left. Under the lock.
func (s *Stage) endLease(now float64) {
	l := s.leases
	l.until, l.leasedNodes, l.load = 0, nil, 0
	s.tree.Lease(now, l.config.Tree.Set.Root, l.config.Call, nil)
}

// recordRequest counts a call for the next report, and ends a lease whose time is up. Under the lock, before the call is decided.
func (s *Stage) recordRequest(now float64, ask quota.Call) {
	l := s.leases
	if l == nil {
		return
	}
	l.demand.Ask(ask.Leaf, s.load(quota.Amount{1, ask.Worth}))
	s.expireLease(now)
}

func (s *Stage) expireLease(now float64) {
	if l := s.leases; l != nil && l.until > 0 && now >= l.until {
		s.endLease(now)
	}
}

// recordDecision counts what became of it.
func (s *Stage) recordDecision(ask quota.Call, d quota.Decision) {
	l := s.leases
	switch {
	case l == nil:
	case d.Verdict != quota.Refused:
		l.demand.Let(ask.Leaf, s.load(quota.Amount{1, ask.Worth}))
	case !l.leasedNodes[ask.Leaf]:
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// Run has the lease renewed until ctx ends, and then gives it back.
func (s *Stage) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := s.renew(ctx)
		s.sleep(ctx, minReportInterval, nil)
		s.sleep(ctx, max(0, pause-minReportInterval)*(0.75+rand.Float64()/2), s.leases.wake)
	}
	s.mu.Lock()
	s.endLease(s.clock.Now())
	r := lease.Report{Node: s.leases.config.Node, Life: s.leases.life, Leaves: true}
	s.mu.Unlock()
	last, stop := context.WithTimeout(context.WithoutCancel(ctx), 200*time.Millisecond)
	defer stop()
	_, _ = s.leases.config.Fleet.Report(last, r) // else it runs out
}

// sleep waits so many ms, or until ctx ends, or something hurries.
func (s *Stage) sleep(ctx context.Context, ms float64, hurry <-chan struct{}) {
	over := make(chan struct{})
	stop := s.clock.At(s.clock.Now()+ms, func() { close(over) })
	defer stop()
	select {
	case <-over:
	case <-hurry:
	case <-ctx.Done():
	}
}

// renew reports once and goes by what it is given; it gives the time until the next report.
func (s *Stage) renew(ctx context.Context) (pause float64) {
	s.mu.Lock()
	l, asked := s.leases, s.clock.Now()
	s.expireLease(asked)
	set, hash := l.config, l.treeHash
	r := lease.Report{Node: set.Node, Life: l.life, Tree: hash, Length: set.Length, Holds: l.held, Asked: l.demand.Take(asked)}
	s.mu.Unlock()
	pause = min(maxReportInterval, set.Length/reportsPerLease)
	one, stop := context.WithTimeout(ctx, time.Duration(set.Length*1e6))
	defer stop()
	g, err := set.Fleet.Report(one, r)
	if err != nil {
		if l.renewed {
			l.renewed = false
			s.log.Warn("the lease of the fleet's room is not renewed: this node goes on with its own part", "error", err)
		}
		return pause
	}
	if g.Number == 0 {
		if err = set.Fleet.Bring(one, set.Tree); errors.Is(err, lease.ErrOlder) && l.foreignTree != g.Tree {
			l.foreignTree = g.Tree
			s.log.Warn("the fleet goes by another tree of quotas: this node has no lease", "own", hash, "fleet", g.Tree)
		}
		if err == nil {
			return 0
		}
		return pause
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.treeHash != hash { // the tree has changed meanwhile
		return 0
	}
	if until := asked + usedFraction*min(g.Length, set.Length); s.clock.Now() < until {
		parts := make([]quota.Leased, 0, len(g.Parts))
		l.held, l.until, l.leasedNodes, l.load = g.Number, until, map[int]bool{}, 0
		for _, p := range g.Parts {
			if p.At >= 0 && p.At < s.tree.Nodes() && p.Load > 0 && !math.IsInf(p.Load.Of(), 1) {
				parts = append(parts, quota.Leased{At: p.At, Load: p.Load.Of()})
				l.leasedNodes[p.At] = true
				l.load += p.Load.Of()
			}
		}
		s.tree.Lease(s.clock.Now(), set.Tree.Set.Root, set.Call, parts)
	}
	if !l.renewed {
		l.renewed, l.foreignTree = true, ""
		s.log.Info("this node has a lease of the fleet's room", "tree", hash)
	}
	return pause
}
