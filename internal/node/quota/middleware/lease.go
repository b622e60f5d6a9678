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

// LeaseService grants leases. Its methods block until ctx ends at the latest.
type LeaseService interface {
	Report(ctx context.Context, r lease.Report) (lease.Grant, error)
	// Bring offers a tree; the error wraps lease.ErrOtherTree where another one stays in force.
	OfferTree(ctx context.Context, t lease.Tree) error
}

// LeaseConfig describe the leases of a node. Times are milliseconds.
type LeaseConfig struct {
	Service LeaseService
	Node    string
	Length  float64      // of a lease
	Tree    lease.Tree   // of all nodes together
	MaxCost quota.Amount // the maximum that one call costs
}

const (
	reportsPerLease   = 4     // minimum number of reports in the time of a lease
	maxReportInterval = 500.0 // ms between two reports
	minReportInterval = 100.0 // ms between two reports, even when calls are rejected without a lease of their node
	usedFraction      = 0.95  // fraction of the time of a lease for which it is used: clocks drift
	returnTimeout     = 200 * time.Millisecond
)

// leaseState is the state of leases. It is guarded by the lock of the middleware, unless noted.
type leaseState struct {
	config      LeaseConfig
	treeHash    string
	life        uint64
	demand      *lease.Demand
	until       float64 // ms; when the lease expires; 0 = there is none
	leasedNodes map[int]bool
	load        float64 // of the lease, as a fraction of all that the nodes together can do
	wake        chan struct{}

	// Used by Run alone.
	number      uint64
	foreignTree string // hash of the last other tree in force that was logged
	renewed     bool
}

// UseLeases makes the node use leases. It is called before Run, and again when the tree has changed.
func (s *Middleware) UseLeases(config LeaseConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		s.leases = &leaseState{life: rand.Uint64()>>1 | 1, wake: make(chan struct{}, 1)}
	}
	l := s.leases
	l.config, l.treeHash = config, config.Tree.Hash()
	l.demand = lease.NewDemand(s.clock.Now(), s.load(quota.Amount{quota.Requests: 1}))
	s.endLease(s.clock.Now())
}

// LeaseStatus returns the hash of the tree, until when the lease is valid, in ms of the node's clock, and its load as a
// fraction of all that the nodes together can do. ok = the node uses leases.
func (s *Middleware) LeaseStatus() (tree string, until, load float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		return "", 0, 0, false
	}
	return s.leases.treeHash, s.leases.until, s.leases.load, true
}

// load returns the cost of a call as a fraction of what all nodes together can do in a second.
func (s *Middleware) load(cost quota.Amount) (load float64) {
	for m, root := range s.leases.config.Tree.Settings.Root {
		if root > 0 {
			load = max(load, cost[m]/root)
		}
	}
	return load
}

// endLease ends the lease: the node goes on with its own part. It is called under the lock.
func (s *Middleware) endLease(now float64) {
	l := s.leases
	l.until, l.leasedNodes, l.load = 0, nil, 0
	s.tree.Lease(now, l.config.Tree.Settings.Root, l.config.MaxCost, nil)
}

// recordRequest counts a call for the next report, and ends a lease that has expired. It is called under the lock,
// before the call is decided.
func (s *Middleware) recordRequest(now float64, request quota.Call) {
	l := s.leases
	if l == nil {
		return
	}
	l.demand.Request(request.Leaf, s.load(quota.Amount{1, request.Value}))
	s.expireLease(now)
}

// expireLease ends a lease that has expired. It is called under the lock.
func (s *Middleware) expireLease(now float64) {
	if l := s.leases; l != nil && l.until > 0 && now >= l.until {
		s.endLease(now)
	}
}

// recordDecision counts the decision on a call for the next report; one that was rejected without a lease of its node
// asks for a report soon. It is called under the lock.
func (s *Middleware) recordDecision(request quota.Call, d quota.Decision) {
	l := s.leases
	switch {
	case l == nil:
	case d.Verdict != quota.Rejected:
		l.demand.Admit(request.Leaf, s.load(quota.Amount{1, request.Value}))
	case !l.leasedNodes[request.Leaf]:
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// RunLeases keeps the lease renewed until ctx ends, and then gives it back.
func (s *Middleware) RunLeases(ctx context.Context) {
	for ctx.Err() == nil {
		pause := s.renew(ctx)
		s.sleep(ctx, minReportInterval, nil)
		s.sleep(ctx, max(0, pause-minReportInterval)*(0.75+rand.Float64()/2), s.leases.wake)
	}
	s.mu.Lock()
	s.endLease(s.clock.Now())
	r := lease.Report{Node: s.leases.config.Node, Life: s.leases.life, Leaving: true}
	s.mu.Unlock()
	last, stop := context.WithTimeout(context.WithoutCancel(ctx), returnTimeout)
	defer stop()
	_, _ = s.leases.config.Service.Report(last, r) // if it fails, the lease expires
}

// sleep waits so many ms, or until ctx ends, or until wake is ready.
func (s *Middleware) sleep(ctx context.Context, ms float64, wake <-chan struct{}) {
	elapsed := make(chan struct{})
	stop := s.clock.At(s.clock.Now()+ms, func() { close(elapsed) })
	defer stop()
	select {
	case <-elapsed:
	case <-wake:
	case <-ctx.Done():
	}
}

// renew reports once and uses what is granted; it returns the ms until the next report.
func (s *Middleware) renew(ctx context.Context) (pause float64) {
	s.mu.Lock()
	l, reportedAt := s.leases, s.clock.Now()
	s.expireLease(reportedAt)
	config, treeHash := l.config, l.treeHash
	r := lease.Report{Node: config.Node, Life: l.life, Tree: treeHash, Length: config.Length, HeldLease: l.number, Demand: l.demand.Report(reportedAt)}
	s.mu.Unlock()
	pause = min(maxReportInterval, config.Length/reportsPerLease)
	ctx, stop := context.WithTimeout(ctx, time.Duration(config.Length*1e6))
	defer stop()
	g, err := config.Service.Report(ctx, r)
	if err != nil {
		if l.renewed {
			l.renewed = false
			s.log.Warn("the lease of the fleet's room is not renewed: this node goes on with its own part", "error", err)
		}
		return pause
	}
	if g.Number == 0 {
		if err = config.Service.OfferTree(ctx, config.Tree); errors.Is(err, lease.ErrOtherTree) && l.foreignTree != g.Tree {
			l.foreignTree = g.Tree
			s.log.Warn("the fleet goes by another tree of quotas: this node has no lease", "own", treeHash, "fleet", g.Tree)
		}
		if err == nil {
			return 0
		}
		return pause
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.treeHash != treeHash { // the tree has changed meanwhile
		return 0
	}
	if until := reportedAt + usedFraction*min(g.Length, config.Length); s.clock.Now() < until {
		s.useGrant(g, until)
	}
	if !l.renewed {
		l.renewed, l.foreignTree = true, ""
		s.log.Info("this node has a lease of the fleet's room", "tree", treeHash)
	}
	return pause
}

// useGrant puts a lease into force until a time, in ms of the node's clock. It is called under the lock.
func (s *Middleware) useGrant(g lease.Grant, until float64) {
	l := s.leases
	parts := make([]quota.NodeLease, 0, len(g.Parts))
	l.number, l.until, l.leasedNodes, l.load = g.Number, until, map[int]bool{}, 0
	for _, p := range g.Parts {
		if p.Node >= 0 && p.Node < s.tree.Nodes() && p.Load > 0 && !math.IsInf(p.Load.Fraction(), 1) {
			parts = append(parts, quota.NodeLease{NodeIndex: p.Node, Load: p.Load.Fraction()})
			l.leasedNodes[p.Node] = true
			l.load += p.Load.Fraction()
		}
	}
	s.tree.Lease(s.clock.Now(), l.config.Tree.Settings.Root, l.config.MaxCost, parts)
}
