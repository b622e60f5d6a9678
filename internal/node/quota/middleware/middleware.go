// Package middleware enforces the quotas of tenants on their calls. It adds to package quota what that leaves out: a
// lock, a clock and calls that wait.
//
// A call for which there is no capacity may wait briefly for it, in the order of priority and value. The charge
// for a call that certainly did not run is refunded. The node's own retries cost nothing: a call is charged once.
package middleware

import (
	"log/slog"
	"sync"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/quota"
)

// Class describes a class of calls to the middleware.
type Class struct {
	Priority int
	Value    float64
}

// Settings configure the middleware.
type Settings struct {
	Classes          []Class  // by index in the settings' classes
	Tenants          []string // names, by index in the settings' tenants
	DefaultNode      string   // node of the tenants without one of their own; must be in the tree
	Gateway          string   // header with the name of a call's gateway, whose node is a child of its tenant's; empty = none
	Content          func(payload any) core.Content
	MaxWait          float64                           // maximum ms for which a call waits for capacity; 0 = calls do not wait
	MaxWaiting       int                               // maximum number of waiting calls
	Capacity         func() (part float64, known bool) // current capacity of all nodes, as a fraction of the root; nil = 1
	CapacityInterval float64                           // ms between two calls of Capacity
}

// ReasonQuota is the reason of every rejection here; rejections are counted by this text.
const ReasonQuota = "the tenant has no room"

// Middleware enforces quotas. Its methods are safe for concurrent use, except that only one goroutine may call
// RunLeases.
type Middleware struct {
	config Settings
	clock  clock.Clock
	log    *slog.Logger

	mu             sync.Mutex
	tree           *quota.Tree
	tenants        []int // indexes of the tenants' nodes; the last one is that of DefaultNode
	queue          []*waiter
	retryScheduled bool        // a timer is set that decides on the queue again
	leases         *leaseState // nil = the node does not use leases
}

// New returns the middleware for a tree.
func New(config Settings, tree *quota.Tree, c clock.Clock, log *slog.Logger) *Middleware {
	s := &Middleware{config: config, clock: c, log: log}
	s.setTree(tree)
	return s
}

// setTree sets the tree and looks up the tenants in it. s.mu must be held, unless the middleware is not shared yet.
func (s *Middleware) setTree(tree *quota.Tree) {
	s.tree, s.tenants = tree, s.tenants[:0]
	defaultNode, _ := tree.Find(s.config.DefaultNode)
	for _, name := range s.config.Tenants {
		index, ok := tree.Find(name)
		if !ok {
			index = defaultNode
		}
		s.tenants = append(s.tenants, index)
	}
	s.tenants = append(s.tenants, defaultNode)
}

// Replace replaces the tree; nodes that both trees have keep their balances.
func (s *Middleware) Replace(tree *quota.Tree) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	tree.Inherit(now, s.tree)
	old := s.tree
	s.setTree(tree)
	for _, w := range s.queue { // waiting calls move to the nodes of the same names, or to DefaultNode
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

// RestoreBalances restores the levels that another process of the node had age milliseconds ago.
func (s *Middleware) RestoreBalances(age float64, balances []quota.Balance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree.RestoreBalances(s.clock.Now(), age, balances)
}

// WatchCapacity updates the capacity of the tree every Settings.CapacityInterval until ended is closed. It returns
// at once.
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

// Wrap is the core.Stage of the middleware.
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
			s.refund(d)
			s.mu.Unlock()
		}
		return a
	}
}

// refund refunds what a call was charged. s.mu must be held.
func (s *Middleware) refund(d quota.Decision) {
	if s.leases != nil {
		leaf, cost := s.tree.Charged(d)
		s.leases.demand.Admit(leaf, -s.load(cost))
	}
	s.tree.Refund(s.clock.Now(), d)
}

// leafOf returns the index of the node that a call belongs to. s.mu must be held.
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

// maxStatusNodes is the maximum number of nodes that Status returns; the root and the top levels come first.
const maxStatusNodes = 500

// Status returns the state of the leaves that have received calls, and of all inner nodes.
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
