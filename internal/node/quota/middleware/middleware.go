// Package middleware holds calls to the quotas of their tenants: it is the half of package quota that has a lock, a
// clock and calls that wait.
//
// A call that is rejected may wait a little for capacity, in the order of priority and value. What was charged for a
// call that certainly did not run is returned. The node's own retries cost nothing: a call is charged once.
package middleware

import (
	"log/slog"
	"sync"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/quota"
)

// Class is what the middleware has to know of a class.
type Class struct {
	Priority int
	Value    float64
}

// Settings describe the middleware.
type Settings struct {
	Classes          []Class  // by number
	Tenants          []string // names, by number
	DefaultNode      string   // the node of tenants without one of their own; must be in the tree
	Gateway          string   // header with the name of a call's gateway, a child of its tenant's node; empty = none
	Content          func(payload any) core.Content
	MaxWait          float64                           // ms for which a call may wait for capacity; 0 = calls do not wait
	MaxWaiting       int                               // maximum number of waiting calls
	Capacity         func() (part float64, known bool) // what all nodes can do now, as a fraction of the root; nil = 1
	CapacityInterval float64                           // ms between two calls of Room
}

// ReasonQuota is the reason of every rejection here; rejections are counted by this text.
const ReasonQuota = "the tenant has no room"

// Middleware is the middleware. All of its methods may be called from any goroutine, Run by one only.
type Middleware struct {
	config Settings
	clock  clock.Clock
	log    *slog.Logger

	mu             sync.Mutex
	tree           *quota.Tree
	tenants        []int // indexes of the tenants' nodes; the last is that of Unknown
	queue          []*waiter
	retryScheduled bool        // the queue will be decided on again
	leases         *leaseState // nil = the node does not use leases
}

// New returns the middleware for a tree.
func New(config Settings, tree *quota.Tree, c clock.Clock, log *slog.Logger) *Middleware {
	s := &Middleware{config: config, clock: c, log: log}
	s.setTree(tree)
	return s
}

// setTree puts a tree into force. It is called under the lock, or before the middleware is shared.
func (s *Middleware) setTree(tree *quota.Tree) {
	s.tree, s.tenants = tree, s.tenants[:0]
	unknown, _ := tree.Find(s.config.DefaultNode)
	for _, name := range s.config.Tenants {
		index, ok := tree.Find(name)
		if !ok {
			index = unknown
		}
		s.tenants = append(s.tenants, index)
	}
	s.tenants = append(s.tenants, unknown)
}

// Replace puts a new tree into the place of the present one; nodes that stay keep their balances.
func (s *Middleware) Replace(tree *quota.Tree) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	tree.Inherit(now, s.tree)
	old := s.tree
	s.setTree(tree)
	for _, w := range s.queue { // they belong to the nodes of the same names, or to Unknown
		name := old.Name(w.request.Leaf)
		index, ok := tree.Find(name)
		if !ok {
			index = s.tenants[len(s.tenants)-1]
		}
		w.request.Leaf = index
	}
}

// Balances returns the levels of the buckets that are not full.
func (s *Middleware) Balances() []quota.Balance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree.Balances(s.clock.Now())
}

// RestoreBalances takes the levels that another process of the node had age milliseconds ago.
func (s *Middleware) RestoreBalances(age float64, balances []quota.Balance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree.RestoreBalances(s.clock.Now(), age, balances)
}

// WatchCapacity updates the capacity of the tree every Settings.CapacityInterval until ended is closed. It returns at once.
func (s *Middleware) WatchCapacity(ended <-chan struct{}) {
	if s.config.Capacity == nil {
		return
	}
	s.clock.At(s.clock.Now()+s.config.CapacityInterval, func() {
		select {
		case <-ended:
			return
		default:
		}
		if fraction, known := s.config.Capacity(); known {
			s.mu.Lock()
			s.tree.SetCapacity(s.clock.Now(), fraction)
			s.mu.Unlock()
		}
		s.WatchCapacity(ended)
	})
}

// Wrap is the core.Stage.
func (s *Middleware) Wrap(next core.Handler) core.Handler {
	return func(call *core.Call) core.Answer {
		d, ok := s.admit(call)
		if !ok {
			return core.Answer{Kind: core.ClientLeft}
		}
		if d.Verdict == quota.Rejected {
			return core.Refuse(core.OverQuota, ReasonQuota, d.RetryAfter)
		}
		a := next(call)
		if a.Kind != core.Served && !a.Ran {
			s.mu.Lock()
			s.returnGrant(d)
			s.mu.Unlock()
		}
		return a
	}
}

// returnGrant returns what a call was charged. It is called under the lock.
func (s *Middleware) returnGrant(d quota.Decision) {
	if s.leases != nil {
		leaf, cost := s.tree.Charged(d)
		s.leases.demand.Admit(leaf, -s.load(cost))
	}
	s.tree.Refund(s.clock.Now(), d)
}

// leafOf returns the index of the node that a call belongs to. It is called under the lock.
func (s *Middleware) leafOf(call *core.Call) int {
	tenant := call.Tenant
	if tenant < 0 || tenant >= len(s.config.Tenants) {
		tenant = len(s.config.Tenants)
	}
	index := s.tenants[tenant]
	if s.config.Gateway == "" {
		return index
	}
	if name := s.config.Content(call.Payload).Header(s.config.Gateway); name != nil {
		if child, ok := s.tree.Find(string(name)); ok && s.tree.Parent(child) == index {
			return child
		}
	}
	return index
}

// maxStatusNodes bounds the nodes that Status describes; the root and the top come first.
const maxStatusNodes = 500

// Status returns the state of the nodes that have been called, and of those above them.
func (s *Middleware) Status() []quota.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := []quota.Status{}
	now := s.clock.Now()
	for i := range s.tree.Nodes() {
		n := s.tree.Status(now, i)
		if !n.Leaf || n.Guaranteed+n.Borrowed+n.Repaid+n.Rejected > 0 {
			if nodes = append(nodes, n); len(nodes) == maxStatusNodes {
				break
			}
		}
	}
	return nodes
}
