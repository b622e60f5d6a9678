// Package middleware is the stage that holds calls to their tenants' quotas: the half of package quota that has a lock, a clock and
// calls that wait.
//
// A call that is turned away may wait a little for room, in the order of its priority and its worth. What was granted to a call
// that certainly did not run is given back. The node's own further attempts cost nothing: a call is asked for once.
package middleware

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/quota"
)

// Class is what the stage has to know of a class.
type Class struct {
	Priority int
	Worth    float64
}

// Settings describe the stage.
type Settings struct {
	Classes []Class  // by number
	Tenants []string // names, by number
	Unknown string   // the node of calls of tenants that have none of their own; must be in the tree
	Gateway string   // header that names a call's gateway, a child of its tenant's node; empty = none
	Content func(payload any) core.Content
	Wait    float64                           // ms for which a call may wait for room, 0 = none does
	Waiting int                               // how many may
	Room    func() (part float64, known bool) // what the fleet can do now, as a part of the tree's root; nil = all
	Every   float64                           // ms between two looks at that
}

// ReasonQuota is the reason that this stage gives.
const ReasonQuota = "the tenant has no room"

// retryInterval is how long those that wait are left before room is looked for again, ms.
const retryInterval = 10

// Stage holds the tree. All of its methods may be called from any goroutine.
type Stage struct {
	config Settings
	clock  clock.Clock
	log    *slog.Logger

	mu             sync.Mutex
	tree           *quota.Book
	tenants        []int // places of the tenants' nodes, the last for those that have none
	queue          []*waiter
	retryScheduled bool        // a look at those that wait is coming
	leases         *leaseState // nil = the node goes by its part alone
}

// waiter is a call that waits for room.
type waiter struct {
	request  quota.Call
	deadline float64
	decided  chan quota.Decision
}

// New makes the stage round a tree.
func New(set Settings, book *quota.Book, c clock.Clock, log *slog.Logger) *Stage {
	s := &Stage{config: set, clock: c, log: log}
	s.setTree(book)
	return s
}

// setTree takes a tree, under the lock or before there is anyone else.
func (s *Stage) setTree(book *quota.Book) {
	s.tree, s.tenants = book, s.tenants[:0]
	unknown, _ := book.Find(s.config.Unknown)
	for _, name := range s.config.Tenants {
		at, ok := book.Find(name)
		if !ok {
			at = unknown
		}
		s.tenants = append(s.tenants, at)
	}
	s.tenants = append(s.tenants, unknown)
}

// Replace puts a new tree in the place of the present one; what stays keeps its balance.
func (s *Stage) Replace(book *quota.Book) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	book.Inherit(now, s.tree)
	was := s.tree
	s.setTree(book)
	for _, g := range s.queue { // they belong to nodes of the same names, or to no one
		name := was.Name(g.request.Leaf)
		at, ok := book.Find(name)
		if !ok {
			at = s.tenants[len(s.tenants)-1]
		}
		g.request.Leaf = at
	}
}

// Settle has those that wait for room told now whether they have it: the tree that comes is not the one that they began under.
func (s *Stage) Settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, g := range s.queue {
		d := s.tree.Ask(now, g.request)
		s.recordDecision(g.request, d)
		g.decided <- d
	}
	s.queue = nil
}

// Remember gives how full the buckets are.
func (s *Stage) Remember() []quota.Balance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree.Remember(s.clock.Now())
}

// Recall takes what another process of the node remembered age milliseconds ago.
func (s *Stage) Recall(age float64, list []quota.Balance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree.Recall(s.clock.Now(), age, list)
}

// Begin looks at what the fleet can do, again and again until ended is closed.
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
		if part, known := s.config.Room(); known {
			s.mu.Lock()
			s.tree.SetCapacity(s.clock.Now(), part)
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

// returnGrant returns what a call was granted, under the lock.
func (s *Stage) returnGrant(d quota.Decision) {
	if s.leases != nil {
		leaf, cost := s.tree.Taken(d)
		s.leases.demand.Let(leaf, -s.load(cost))
	}
	s.tree.Return(s.clock.Now(), d)
}

// admit decides about a call, after it has waited where it may. It fails if the client has left meanwhile.
func (s *Stage) admit(call *core.Call) (d quota.Decision, ok bool) {
	class := &s.config.Classes[call.Class]
	now := s.clock.Now()
	s.mu.Lock()
	ask := quota.Call{Leaf: s.leafOf(call), Priority: class.Priority, Worth: class.Worth}
	s.recordRequest(now, ask)
	if len(s.queue) == 0 || !s.mustQueue(ask) { // one that would have to wait does not go before those that do
		d = s.tree.Ask(now, ask)
	} else {
		d = quota.Decision{Verdict: quota.Refused, Reason: quota.NoRoom, Wait: s.config.Wait}
	}
	s.recordDecision(ask, d)
	if d.Verdict != quota.Refused || s.config.Wait <= 0 || len(s.queue) >= s.config.Waiting {
		s.mu.Unlock()
		return d, true
	}
	g := &waiter{request: ask, deadline: min(now+s.config.Wait, call.Deadline), decided: make(chan quota.Decision, 1)}
	s.queue = append(s.queue, g)
	slices.SortStableFunc(s.queue, compareWaiters)
	s.scheduleRetry(now)
	s.mu.Unlock()
	select {
	case d = <-g.decided:
		return d, true
	case <-call.Left():
		s.mu.Lock()
		s.queue = slices.DeleteFunc(s.queue, func(o *waiter) bool { return o == g })
		select {
		case d = <-g.decided: // it got its room in that moment
			s.returnGrant(d)
		default:
		}
		s.mu.Unlock()
		return d, false
	}
}

// compareWaiters orders those that wait: by priority, then by worth, then as they came.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(b.request.Priority, a.request.Priority), cmp.Compare(b.request.Worth, a.request.Worth))
}

// mustQueue tells whether someone of the same node waits that goes first.
func (s *Stage) mustQueue(ask quota.Call) bool {
	for _, g := range s.queue {
		if g.request.Leaf == ask.Leaf && compareWaiters(g, &waiter{request: ask}) <= 0 {
			return true
		}
	}
	return false
}

// leafOf finds the node that a call belongs to.
func (s *Stage) leafOf(call *core.Call) int {
	tenant := call.Tenant
	if tenant < 0 || tenant >= len(s.config.Tenants) {
		tenant = len(s.config.Tenants)
	}
	at := s.tenants[tenant]
	if s.config.Gateway == "" {
		return at
	}
	if name := s.config.Content(call.Payload).Header(s.config.Gateway); name != nil {
		if child, ok := s.tree.Find(string(name)); ok && s.tree.Parent(child) == at {
			return child
		}
	}
	return at
}

// scheduleRetry has those that wait asked for again soon, under the lock.
func (s *Stage) scheduleRetry(now float64) {
	if s.retryScheduled || len(s.queue) == 0 {
		return
	}
	s.retryScheduled = true
	s.clock.At(now+retryInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.retryScheduled = false
		now := s.clock.Now()
		s.expireLease(now)
		s.queue = slices.DeleteFunc(s.queue, func(g *waiter) bool {
			d := s.tree.Ask(now, g.request)
			if d.Verdict == quota.Refused && now < g.deadline {
				return false
			}
			s.recordDecision(g.request, d)
			g.decided <- d
			return true
		})
		s.scheduleRetry(now)
	})
}

// maxStatusNodes is how many nodes Status describes: those that were asked for, the root and the top first.
const maxStatusNodes = 500

// Status describes the nodes that have been asked for, and those above them.
func (s *Stage) Status() []quota.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []quota.Status{}
	now := s.clock.Now()
	for i := range s.tree.Nodes() {
		n := s.tree.Status(now, i)
		if !n.Leaf || n.Going+n.Borrowed+n.Paid+n.Refused > 0 {
			if list = append(list, n); len(list) == maxStatusNodes {
				break
			}
		}
	}
	return list
}
