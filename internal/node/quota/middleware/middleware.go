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
	Worth    float64
}

// Settings describe the middleware.
type Settings struct {
	Classes []Class  // by number
	Tenants []string // names, by number
	Unknown string   // the node of tenants without one of their own; must be in the tree
	Gateway string   // header with the name of a call's gateway, a child of its tenant's node; empty = none
	Content func(payload any) core.Content
	Wait    float64                           // ms for which a call may wait for capacity; 0 = calls do not wait
	Waiting int                               // maximum number of waiting calls
	Room    func() (part float64, known bool) // what all nodes can do now, as a fraction of the root; nil = 1
	Every   float64                           // ms between two calls of Room
}

// ReasonQuota is the reason of every rejection here; rejections are counted by this text.
const ReasonQuota = "the tenant has no room"

// Stage is the middleware. All of its methods may be called from any goroutine, Run by one only.
type Stage struct {
	config Settings
	clock  clock.Clock
	log    *slog.Logger

	mu             sync.Mutex
	tree           *quota.Book
	tenants        []int // indexes of the tenants' nodes; the last is that of Unknown
	queue          []*waiter
	retryScheduled bool        // the queue will be decided on again
	leases         *leaseState // nil = the node does not use leases
}

// New returns the middleware for a tree.
func New(config Settings, tree *quota.Book, c clock.Clock, log *slog.Logger) *Stage {
	s := &Stage{config: config, clock: c, log: log}
	s.setTree(tree)
	return s
}

// setTree puts a tree into force. It is called under the lock, or before the middleware is shared.
func (s *Stage) setTree(tree *quota.Book) {
	s.tree, s.tenants = tree, s.tenants[:0]
	unknown, _ := tree.Find(s.config.Unknown)
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
func (s *Stage) Replace(tree *quota.Book) {
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

// Remember returns the levels of the buckets that are not full.
func (s *Stage) Remember() []quota.Balance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree.Remember(s.clock.Now())
}

// Recall takes the levels that another process of the node had age milliseconds ago.
func (s *Stage) Recall(age float64, balances []quota.Balance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree.Recall(s.clock.Now(), age, balances)
}

// Begin updates the capacity of the tree every Settings.Every until ended is closed. It returns at once.
func (s *Stage) Begin(ended <-chan struct{}) {
	if s.config.Room == nil {
		return
	}
	s.clock.At(s.clock.Now()+s.config.Every, func() {
		select {
		case <-ended:
			return
		default:
		}
		if fraction, known := s.config.Room(); known {
			s.mu.Lock()
			s.tree.SetCapacity(s.clock.Now(), fraction)
			s.mu.Unlock()
		}
		s.Begin(ended)
	})
}

// Wrap is the core.Stage.
func (s *Stage) Wrap(next core.Handler) core.Handler {
	return func(call *core.Call) core.Answer {
		d, ok := s.admit(call)
		if !ok {
			return core.Answer{Kind: core.Left}
		}
		if d.Verdict == quota.Refused {
			return core.Refuse(core.OverQuota, ReasonQuota, d.Wait)
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
func (s *Stage) returnGrant(d quota.Decision) {
	if s.leases != nil {
		leaf, cost := s.tree.Taken(d)
		s.leases.demand.Let(leaf, -s.load(cost))
	}
	s.tree.Return(s.clock.Now(), d)
}

// leafOf returns the index of the node that a call belongs to. It is called under the lock.
func (s *Stage) leafOf(call *core.Call) int {
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
func (s *Stage) Status() []quota.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := []quota.Status{}
	now := s.clock.Now()
	for i := range s.tree.Nodes() {
		n := s.tree.Status(now, i)
		if !n.Leaf || n.Going+n.Borrowed+n.Paid+n.Refused > 0 {
			if nodes = append(nodes, n); len(nodes) == maxStatusNodes {
				break
			}
		}
	}
	return nodes
}
