package lease

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// member is one process of a node. The JSON names and the order of the fields are part of the stored image and
// must not change.
type member struct {
	Node     string       `json:"node"`
	Life     uint64       `json:"life"`
	Until    float64      `json:"until"` // ms; when its lease expires
	Reported float64      `json:"told"`  // ms; time of its last report
	Demand   []NodeDemand `json:"asked"`
	// Active is the lease that the member uses, Granted the one that it was granted last. Until the member reports
	// that it holds Granted, it may be using either.
	Active  []NodeLoad `json:"using"`
	Granted []NodeLoad `json:"next"`
	Number  uint64     `json:"number"` // of Granted
}

// account is the state of one node of the tree.
type account struct {
	Credit    float64 `json:"credit"` // loads that its siblings owe it
	Debt      float64 `json:"debt"`   // loads that it owes them
	RepayRate float64 `json:"pays"`   // loads per second at which it repays while its debt is collected
	GivenUp   float64 `json:"gives"`  // loads per second of its guarantee that it currently gives up
	Repaid    float64 `json:"gets"`   // loads per second that it currently receives on top of its guarantee
	Long      float64 `json:"long"`   // loads left in the long window
	Due       float64 `json:"due"`    // loads per second that all members together may lease
	Want      float64 `json:"want"`   // loads per second requested when Due was computed
}

// Machine is the replicated state of the leases. It is not safe for concurrent use.
type Machine struct {
	tree       *Tree
	hash       string
	shape      *shape
	members    map[string]member
	accounts   []account
	dividedAt  float64 // ms
	lastNumber uint64
	leased     []Load  // what members may be using, by node, without its descendants
	nextExpiry float64 // ms; no lease expires earlier
}

// New returns a machine that has no tree yet.
func New() *Machine { return &Machine{members: map[string]member{}, nextExpiry: math.Inf(1)} }

// memberID returns the key of a member: its node and its incarnation.
func memberID(r *Report) string { return fmt.Sprintf("%s/%x", r.Node, r.Life) }

// SetTree puts a tree into force if it is the first one, has a higher number, or has the same number while there
// are no members. The error wraps ErrOtherTree if another tree stays in force.
func (m *Machine) SetTree(now float64, t Tree) error {
	m.Tick(now)
	if m.tree != nil && t.Hash() == m.hash {
		same := *m.tree // a copy, because a frozen image may refer to the previous one
		same.Number = max(same.Number, t.Number)
		m.tree = &same
		return nil
	}
	if err := t.Check(); err != nil {
		return err
	}
	if m.tree != nil && (t.Number < m.tree.Number || t.Number == m.tree.Number && len(m.members) > 0) {
		return fmt.Errorf("%w: %s of policy %d", ErrOtherTree, m.hash, m.tree.Number)
	}
	return m.replaceTree(now, t)
}

// replaceTree replaces the current tree. Nodes of the same name keep their accounts and leases; the leases of a
// node that is removed count at the root.
func (m *Machine) replaceTree(now float64, t Tree) error {
	s, err := newShape(&t)
	if err != nil {
		return err
	}
	oldShape, oldAccounts := m.shape, m.accounts
	m.tree, m.hash, m.shape, m.accounts = &t, t.Hash(), s, make([]account, len(s.names))
	m.dividedAt = now - divideInterval
	index := map[string]int{}
	for i, name := range s.names[:s.memberNodes()] {
		index[name] = i
		m.accounts[i].Long = s.longLimit[i] * t.Settings.LongWindow
	}
	for i := range s.longLimit {
		if math.IsInf(s.longLimit[i], 1) {
			m.accounts[i].Long = 0
		}
	}
	defer m.recount()
	if oldShape == nil {
		return nil
	}
	for i, name := range oldShape.names[:oldShape.memberNodes()] {
		if to, ok := index[name]; ok {
			m.accounts[to].Credit, m.accounts[to].Debt = oldAccounts[i].Credit, min(oldAccounts[i].Debt, m.maxDebt(to))
			m.accounts[to].Long = min(m.accounts[to].Long, oldAccounts[i].Long)
		}
	}
	for id, e := range m.members {
		e.Demand, e.Active, e.Granted = nil, moveLease(e.Active, oldShape.names, index), moveLease(e.Granted, oldShape.names, index)
		m.members[id] = e
	}
	return nil
}

// moveLease returns the parts of a lease at the indexes that their nodes have in another tree, sorted.
func moveLease(parts []NodeLoad, names []string, index map[string]int) []NodeLoad {
	sums := map[int]Load{}
	for _, p := range parts {
		sums[index[names[p.Node]]] += p.Load // index 0, the root, if no node has the name
	}
	var out []NodeLoad
	for _, i := range slices.Sorted(maps.Keys(sums)) {
		out = append(out, NodeLoad{i, sums[i]})
	}
	return out
}

// Report records what a member reports and grants it a lease. The Number of the grant is 0 if the member has another
// tree, in which case its lease is not renewed.
func (m *Machine) Report(now float64, r Report) (Grant, error) {
	m.Tick(now)
	id := memberID(&r)
	if r.Leaving {
		m.removeMember(id)
		return Grant{}, nil
	}
	if m.tree == nil || r.Tree != m.hash { // the lease is not renewed
		return Grant{Tree: m.hash}, nil
	}
	if err := r.check(m.shape.memberNodes()); err != nil {
		return Grant{}, err
	}
	e, known := m.members[id]
	if !known && len(m.members) >= MaxMembers {
		return Grant{}, fmt.Errorf("there are %d members", len(m.members))
	}
	e.Node, e.Life, e.Demand, e.Reported = r.Node, r.Life, r.Demand, now
	if r.HeldLease == e.Number { // otherwise the member did not receive the last reply; it ignores a reply that arrives late
		e.Active = e.Granted
	}
	e.Granted = nil
	m.setMember(id, e)
	m.divide(now, slices.ContainsFunc(r.Demand, func(a NodeDemand) bool { return m.accounts[m.shape.leafOf[a.Node]].Want == 0 && a.Requested > 0 }))
	m.lastNumber++
	e.Granted, e.Number = m.grant(&e), m.lastNumber
	e.Until = max(e.Until, now+r.Length)
	m.setMember(id, e)
	return Grant{Number: e.Number, Length: r.Length, Parts: e.Granted, Tree: m.hash}, nil
}

// reserved returns what the member may be using.
func (e *member) reserved() []NodeLoad { return maxLease(e.Active, e.Granted) }

// setMember adds or replaces a member. It and removeMember keep leased and nextExpiry up to date, so that a report
// does not have to visit every other member.
func (m *Machine) setMember(id string, e member) {
	m.removeMember(id)
	m.members[id] = e
	m.count(&e, 1)
}

// removeMember removes a member and its lease.
func (m *Machine) removeMember(id string) {
	e := m.members[id]
	m.count(&e, -1)
	delete(m.members, id)
}

// count adds a member to leased and nextExpiry, or removes it from leased if sign is -1. Loads are integers, so
// removing what was added leaves exactly 0.
func (m *Machine) count(e *member, sign Load) {
	for _, p := range e.reserved() {
		m.leased[m.shape.leafOf[p.Node]] += sign * p.Load
	}
	if sign > 0 {
		m.nextExpiry = min(m.nextExpiry, e.Until)
	}
}

// recount computes leased and nextExpiry from the members, after they or the tree have changed.
func (m *Machine) recount() {
	m.leased, m.nextExpiry = nil, math.Inf(1)
	if m.shape != nil {
		m.leased = make([]Load, len(m.shape.names))
	}
	for _, e := range m.members {
		m.count(&e, 1)
	}
}

// Tick removes the members whose leases have expired.
func (m *Machine) Tick(now float64) {
	if now < m.nextExpiry {
		return
	}
	defer m.recount()
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		e := m.members[id]
		if e.Until > now {
			continue
		}
		delete(m.members, id)
		for _, p := range e.reserved() { // how much of the lease was used is unknown, so all of it counts as spent
			for i := p.Node; i >= 0; i = m.shape.parent[i] {
				m.accounts[i].Long -= p.Load.Fraction() * (e.Until - e.Reported) / 1000
			}
		}
	}
}

// maxLease returns what may be in use if either of two leases may be: for each node the larger load. Both leases
// must be sorted by node, and so is the result.
func maxLease(a, b []NodeLoad) []NodeLoad {
	out := make([]NodeLoad, 0, len(a)+len(b))
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].Node < b[0].Node:
			out, a = append(out, a[0]), a[1:]
		case len(a) == 0 || b[0].Node < a[0].Node:
			out, b = append(out, b[0]), b[1:]
		default:
			out = append(out, NodeLoad{a[0].Node, max(a[0].Load, b[0].Load)})
			a, b = a[1:], b[1:]
		}
	}
	return out
}
