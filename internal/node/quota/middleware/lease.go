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
	// OfferTree offers a tree; the error wraps lease.ErrOtherTree if another tree stays in force.
	OfferTree(ctx context.Context, t lease.Tree) error
}

// LeaseConfig configures the leases of a node. Times are in milliseconds.
type LeaseConfig struct {
	Service LeaseService
	Node    string
	Length  float64      // of a lease
	Tree    lease.Tree   // of all nodes together
	MaxCost quota.Amount // maximum cost of one call
}

const (
	reportsPerLease   = 4     // minimum number of reports during the length of a lease
	maxReportInterval = 500.0 // maximum ms between two reports
	minReportInterval = 100.0 // minimum ms between two reports, even if calls are rejected for want of a lease of their node
	usedFraction      = 0.95  // fraction of the length of a lease for which it is used, because clocks drift
	returnTimeout     = 200 * time.Millisecond
)

// leaseState is the state of the leases. It is guarded by the lock of the middleware, except as noted.
type leaseState struct {
	config      LeaseConfig
	treeHash    string
	life        uint64
	demand      *lease.Demand
	until       float64 // ms; when the lease expires; 0 = there is no lease
	leasedNodes map[int]bool
	load        float64 // of the lease, as a fraction of the capacity of all nodes together
	wake        chan struct{}

	// Used only by RunLeases.
	number      uint64
	foreignTree string // hash of the other tree in force that was logged last
	renewed     bool
}

// UseLeases makes the node use leases. It is called before RunLeases, and again when the tree has changed.
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

// LeaseStatus returns the hash of the tree, the time at which the lease expires, in ms of the node's clock, and
// its load as a fraction of the capacity of all nodes together. ok is false if the node does not use leases.
func (s *Middleware) LeaseStatus() (tree string, until, load float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		return "", 0, 0, false
	}
	return s.leases.treeHash, s.leases.until, s.leases.load, true
}

// load returns the cost of a call as a fraction of what all nodes together can do in a second. s.mu must be held.
func (s *Middleware) load(cost quota.Amount) (load float64) {
	for m, root := range s.leases.config.Tree.Settings.Root {
		if root > 0 {
			load = max(load, cost[m]/root)
		}
	}
	return load
}

// endLease ends the lease: the node continues with its own part of the capacity. s.mu must be held.
func (s *Middleware) endLease(now float64) {
	l := s.leases
	l.until, l.leasedNodes, l.load = 0, nil, 0
	s.tree.Lease(now, l.config.Tree.Settings.Root, l.config.MaxCost, nil)
}

// recordRequest counts a call for the next report, and ends a lease that has expired. It is called before the
// decision on the call. s.mu must be held.
func (s *Middleware) recordRequest(now float64, request quota.Call) {
	l := s.leases
	if l == nil {
		return
	}
	l.demand.Request(request.Leaf, s.load(quota.Amount{1, request.Value}))
	s.expireLease(now)
}

// expireLease ends a lease that has expired. s.mu must be held.
func (s *Middleware) expireLease(now float64) {
	if l := s.leases; l != nil && l.until > 0 && now >= l.until {
		s.endLease(now)
	}
}

// recordDecision counts the decision on a call for the next report; a call that was rejected without a lease of
// its node triggers an early report. s.mu must be held.
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

// RunLeases keeps the lease renewed until ctx ends, and then returns it.
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
	_, _ = s.leases.config.Service.Report(last, r) // if this fails, the lease expires
}

// sleep waits for ms milliseconds, or until ctx ends or wake is ready.
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

// renew sends one report and puts the granted lease into force. It returns the ms until the next report.
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
			s.log.Warn("quota lease not renewed; continuing with this node's own part of the capacity", "error", err)
		}
		return pause
	}
	if g.Number == 0 {
		if err = config.Service.OfferTree(ctx, config.Tree); errors.Is(err, lease.ErrOtherTree) && l.foreignTree != g.Tree {
			l.foreignTree = g.Tree
			s.log.Warn("the fleet uses another quota tree; this node has no quota lease", "own", treeHash, "fleet", g.Tree)
		}
		if err == nil {
			return 0
		}
		return pause
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.treeHash != treeHash { // the tree has changed in the meantime
		return 0
	}
	if until := reportedAt + usedFraction*min(g.Length, config.Length); s.clock.Now() < until {
		s.useGrant(g, until)
	}
	if !l.renewed {
		l.renewed, l.foreignTree = true, ""
		s.log.Info("quota lease granted", "tree", treeHash)
	}
	return pause
}

// useGrant puts a lease into force until a time, in ms of the node's clock. s.mu must be held.
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
