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

// pause is how long those that wait are left before room is looked for again, ms.
const pause = 10

// Stage holds the tree. All of its methods may be called from any goroutine.
type Stage struct {
	set   Settings
	clock clock.Clock
	log   *slog.Logger

	mu      sync.Mutex
	book    *quota.Book
	tenants []int // places of the tenants' nodes, the last for those that have none
	waiting []*guest
	due     bool    // a look at those that wait is coming
	leases  *leases // nil = the node goes by its part alone
}

// guest is a call that waits for room.
type guest struct {
	ask   quota.Call
	until float64
	said  chan quota.Decision
}

// New makes the stage round a tree.
func New(set Settings, book *quota.Book, c clock.Clock, log *slog.Logger) *Stage {
	s := &Stage{set: set, clock: c, log: log}
	s.use(book)
	return s
}

// use takes a tree, under the lock or before there is anyone else.
func (s *Stage) use(book *quota.Book) {
	s.book, s.tenants = book, s.tenants[:0]
	unknown, _ := book.Find(s.set.Unknown)
	for _, name := range s.set.Tenants {
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
	book.Inherit(now, s.book)
	was := s.book
	s.use(book)
	for _, g := range s.waiting { // they belong to nodes of the same names, or to no one
		name := was.Name(g.ask.Leaf)
		at, ok := book.Find(name)
		if !ok {
			at = s.tenants[len(s.tenants)-1]
		}
		g.ask.Leaf = at
	}
}

// Settle has those that wait for room told now whether they have it: the tree that comes is not the one that they began under.
func (s *Stage) Settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, g := range s.waiting {
		d := s.book.Ask(now, g.ask)
		s.noted(g.ask, d)
		g.said <- d
	}
	s.waiting = nil
}

// Remember gives how full the buckets are.
func (s *Stage) Remember() []quota.Balance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Remember(s.clock.Now())
}

// Recall takes what another process of the node remembered age milliseconds ago.
func (s *Stage) Recall(age float64, list []quota.Balance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Recall(s.clock.Now(), age, list)
}

// Begin looks at what the fleet can do, again and again until ended is closed.
func (s *Stage) Begin(ended <-chan struct{}) {
	if s.set.Room == nil {
		return
	}
	s.clock.At(s.clock.Now()+s.set.Every, func() {
		select {
		case <-ended:
			return
		default:
		}
		if part, known := s.set.Room(); known {
			s.mu.Lock()
			s.book.SetCapacity(s.clock.Now(), part)
			s.mu.Unlock()
		}
		s.Begin(ended)
	})
}

// Wrap is the core.Stage.
func (s *Stage) Wrap(next core.Handler) core.Handler {
	return func(call *core.Call) core.Answer {
		d, ok := s.ask(call)
		if !ok {
			return core.Answer{Kind: core.Left}
		}
		if d.Verdict == quota.Refused {
			return core.Refuse(core.OverQuota, ReasonQuota, d.Wait)
		}
		a := next(call)
		if a.Kind != core.Served && !a.Ran {
			s.mu.Lock()
			s.giveBack(d)
			s.mu.Unlock()
		}
		return a
	}
}

// giveBack returns what a call was granted, under the lock.
func (s *Stage) giveBack(d quota.Decision) {
	if s.leases != nil {
		leaf, cost := s.book.Taken(d)
		s.leases.demand.Let(leaf, -s.load(cost))
	}
	s.book.Return(s.clock.Now(), d)
}

// ask decides about a call, after it has waited where it may. It fails if the client has left meanwhile.
func (s *Stage) ask(call *core.Call) (d quota.Decision, ok bool) {
	class := &s.set.Classes[call.Class]
	now := s.clock.Now()
	s.mu.Lock()
	ask := quota.Call{Leaf: s.leaf(call), Priority: class.Priority, Worth: class.Worth}
	s.note(now, ask)
	if len(s.waiting) == 0 || !s.later(ask) { // one that would have to wait does not go before those that do
		d = s.book.Ask(now, ask)
	} else {
		d = quota.Decision{Verdict: quota.Refused, Reason: quota.NoRoom, Wait: s.set.Wait}
	}
	s.noted(ask, d)
	if d.Verdict != quota.Refused || s.set.Wait <= 0 || len(s.waiting) >= s.set.Waiting {
		s.mu.Unlock()
		return d, true
	}
	g := &guest{ask: ask, until: min(now+s.set.Wait, call.Deadline), said: make(chan quota.Decision, 1)}
	s.waiting = append(s.waiting, g)
	slices.SortStableFunc(s.waiting, before)
	s.look(now)
	s.mu.Unlock()
	select {
	case d = <-g.said:
		return d, true
	case <-call.Left():
		s.mu.Lock()
		s.waiting = slices.DeleteFunc(s.waiting, func(o *guest) bool { return o == g })
		select {
		case d = <-g.said: // it got its room in that moment
			s.giveBack(d)
		default:
		}
		s.mu.Unlock()
		return d, false
	}
}

// before orders those that wait: by priority, then by worth, then as they came.
func before(a, b *guest) int {
	return cmp.Or(cmp.Compare(b.ask.Priority, a.ask.Priority), cmp.Compare(b.ask.Worth, a.ask.Worth))
}

// later tells whether someone of the same node waits that goes first.
func (s *Stage) later(ask quota.Call) bool {
	for _, g := range s.waiting {
		if g.ask.Leaf == ask.Leaf && before(g, &guest{ask: ask}) <= 0 {
			return true
		}
	}
	return false
}

// leaf finds the node that a call belongs to.
func (s *Stage) leaf(call *core.Call) int {
	tenant := call.Tenant
	if tenant < 0 || tenant >= len(s.set.Tenants) {
		tenant = len(s.set.Tenants)
	}
	at := s.tenants[tenant]
	if s.set.Gateway == "" {
		return at
	}
	if name := s.set.Content(call.Payload).Header(s.set.Gateway); name != nil {
		if child, ok := s.book.Find(string(name)); ok && s.book.Parent(child) == at {
			return child
		}
	}
	return at
}

// look has those that wait asked for again soon, under the lock.
func (s *Stage) look(now float64) {
	if s.due || len(s.waiting) == 0 {
		return
	}
	s.due = true
	s.clock.At(now+pause, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.due = false
		now := s.clock.Now()
		s.lapse(now)
		s.waiting = slices.DeleteFunc(s.waiting, func(g *guest) bool {
			d := s.book.Ask(now, g.ask)
			if d.Verdict == quota.Refused && now < g.until {
				return false
			}
			s.noted(g.ask, d)
			g.said <- d
			return true
		})
		s.look(now)
	})
}

// mostTold is how many nodes Status describes: those that were asked for, the root and the top first.
const mostTold = 500

// Status describes the nodes that have been asked for, and those above them.
func (s *Stage) Status() []quota.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []quota.Status{}
	now := s.clock.Now()
	for i := range s.book.Nodes() {
		n := s.book.Status(now, i)
		if !n.Leaf || n.Going+n.Borrowed+n.Paid+n.Refused > 0 {
			if list = append(list, n); len(list) == mostTold {
				break
			}
		}
	}
	return list
}
