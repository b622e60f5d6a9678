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
	renewals  = 4     // reports a lease, at the least
	mostPause = 500.0 // ms between two reports at the most,
	hasten    = 100.0 // and at the least, where a call was turned away that no lease was for
	used      = 0.95  // of a lease: clocks run unlike
)

// leases is what the stage has of them, under its lock but for what only Run uses.
type leases struct {
	set    Leases
	hash   string
	life   uint64
	demand *lease.Demand
	until  float64 // of the lease; 0 = there is none
	parts  map[int]bool
	load   float64 // of the lease
	hurry  chan struct{}

	// Of Run.
	holds   uint64
	told    string // the tree that the fleet was seen to go by in place of this node's
	renewed bool
}

// Lease has the stage go by leases; before Run, or beside it where the tree has changed.
func (s *Stage) Lease(set Leases) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		s.leases = &leases{life: rand.Uint64()>>1 | 1, hurry: make(chan struct{}, 1)}
	}
	l := s.leases
	l.set, l.hash = set, set.Tree.Hash()
	l.demand = lease.NewDemand(s.clock.Now(), s.load(quota.Amount{quota.Requests: 1}))
	s.drop(s.clock.Now())
}

// Leased tells of the lease: the tree's hash, until when it lasts on the node's clock, and its load as a part of all that the fleet
// can do; ok = the stage goes by leases.
func (s *Stage) Leased() (tree string, until, load float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		return "", 0, 0, false
	}
	return s.leases.hash, s.leases.until, s.leases.load, true
}

// load is what a call takes, as a part of what the fleet can do in a second.
func (s *Stage) load(cost quota.Amount) (load float64) {
	for m, root := range s.leases.set.Tree.Set.Root {
		if root > 0 {
			load = max(load, cost[m]/root)
		}
	}
	return load
}

// drop ends the lease: what the node has of its own is left. Under the lock.
func (s *Stage) drop(now float64) {
	l := s.leases
	l.until, l.parts, l.load = 0, nil, 0
	s.book.Lease(now, l.set.Tree.Set.Root, l.set.Call, nil)
}

// note counts a call for the next report, and ends a lease whose time is up. Under the lock, before the call is decided.
func (s *Stage) note(now float64, ask quota.Call) {
	l := s.leases
	if l == nil {
		return
	}
	l.demand.Ask(ask.Leaf, s.load(quota.Amount{1, ask.Worth}))
	s.lapse(now)
}

func (s *Stage) lapse(now float64) {
	if l := s.leases; l != nil && l.until > 0 && now >= l.until {
		s.drop(now)
	}
}

// noted counts what became of it.
func (s *Stage) noted(ask quota.Call, d quota.Decision) {
	l := s.leases
	switch {
	case l == nil:
	case d.Verdict != quota.Refused:
		l.demand.Let(ask.Leaf, s.load(quota.Amount{1, ask.Worth}))
	case !l.parts[ask.Leaf]:
		select {
		case l.hurry <- struct{}{}:
		default:
		}
	}
}

// Run has the lease renewed until ctx ends, and then gives it back.
func (s *Stage) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := s.renew(ctx)
		s.pause(ctx, hasten, nil)
		s.pause(ctx, max(0, pause-hasten)*(0.75+rand.Float64()/2), s.leases.hurry)
	}
	s.mu.Lock()
	s.drop(s.clock.Now())
	r := lease.Report{Node: s.leases.set.Node, Life: s.leases.life, Leaves: true}
	s.mu.Unlock()
	last, stop := context.WithTimeout(context.WithoutCancel(ctx), 200*time.Millisecond)
	defer stop()
	_, _ = s.leases.set.Fleet.Report(last, r) // else it runs out
}

// pause waits so many ms, or until ctx ends, or something hurries.
func (s *Stage) pause(ctx context.Context, ms float64, hurry <-chan struct{}) {
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
	s.lapse(asked)
	set, hash := l.set, l.hash
	r := lease.Report{Node: set.Node, Life: l.life, Tree: hash, Length: set.Length, Holds: l.holds, Asked: l.demand.Take(asked)}
	s.mu.Unlock()
	pause = min(mostPause, set.Length/renewals)
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
		if err = set.Fleet.Bring(one, set.Tree); errors.Is(err, lease.ErrOlder) && l.told != g.Tree {
			l.told = g.Tree
			s.log.Warn("the fleet goes by another tree of quotas: this node has no lease", "own", hash, "fleet", g.Tree)
		}
		if err == nil {
			return 0
		}
		return pause
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.hash != hash { // the tree has changed meanwhile
		return 0
	}
	if until := asked + used*min(g.Length, set.Length); s.clock.Now() < until {
		parts := make([]quota.Leased, 0, len(g.Parts))
		l.holds, l.until, l.parts, l.load = g.Number, until, map[int]bool{}, 0
		for _, p := range g.Parts {
			if p.At >= 0 && p.At < s.book.Nodes() && p.Load > 0 && !math.IsInf(p.Load.Of(), 1) {
				parts = append(parts, quota.Leased{At: p.At, Load: p.Load.Of()})
				l.parts[p.At] = true
				l.load += p.Load.Of()
			}
		}
		s.book.Lease(s.clock.Now(), set.Tree.Set.Root, set.Call, parts)
	}
	if !l.renewed {
		l.renewed, l.told = true, ""
		s.log.Info("this node has a lease of the fleet's room", "tree", hash)
	}
	return pause
}
