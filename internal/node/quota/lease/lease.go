// Package lease divides a fleet's room among its nodes ahead of time, so that no call waits until the fleet has agreed on it. It is
// pure: no I/O, goroutine, lock or clock; time is the group's own, milliseconds, passed in. Its machine is a part of the agreed
// log's ledger.
//
// A member (one process of a node) says how much load it is asked for and has let through, by node of the quota tree. The machine
// divides the leased part of the room among all that is asked for as a fluid would be (quota.Fluid), and gives the member its
// part of it: a lease, which ends at a time unless it is renewed. What members may still be using is never given to another:
//
//   - of a member whose answer may not have come, both its last lease and the one before count;
//   - one that is gone without a word has its lease until that has run out.
//
// So the leases that run add up to no more than the leased part of the root, nor of any ceiling, at every moment. A machine that
// is lost takes its unspent lease with it, for the rest of its time.
//
// # Debts
//
// What a node of the tree lets through beyond its guarantee it borrows from its siblings that use less than theirs: their credit and
// its debt grow, are remembered for Settings.Memory, and are held here, not at the members. A lender that asks for more than its
// guarantee calls in what it is owed: siblings in debt give up PayPart of their guarantees at the most, until it is paid.
//
// Over the long window an account is kept here, too: where it is empty, the node's limit is its long rate. A lease that ran out
// without a word counts as spent.
//
// # Bounds
//
// MostNodes nodes of a tree, MostMembers members, MostAsked nodes that one of them asks for at once. A report costs a look at
// its own places and, once in divideInterval, one at all members and the tree, however many members there are.
package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/quota"
)

// Bounds.
const (
	MostNodes   = 1000
	MostMembers = 1024
	MostAsked   = 256
	MostLeased  = 0.95
	Least       = 200.0 // ms of a lease
	Most        = 600000.0

	maxNameBytes    = 128
	maxLoad         = 1e6  // times what the root can do
	divideInterval  = 50.0 // ms
	reserveFraction = 0.05 // of the room that is kept for those who ask for more than before
	maxHeadroom     = 3.0  // times what it asks for that a node gets while there is room
	minWeight       = 1e-6
	loadUnits       = 1e9 // loads of leases are counted in parts of this, so that their sums are exact
)

// Load is a part of all that the root can do in a second, in billionths.
type Load int64

// Of gives it as a part of 1.
func (l Load) Of() float64 { return float64(l) / loadUnits }

// Asked is what a member says of one place of the tree, in loads a second, 1 = all that the root can do.
type Asked struct {
	At   int     `json:"a"`
	Want float64 `json:"w"` // what it is asked for
	Used float64 `json:"u"` // what it has let through
}

// Report is what a member says, often enough to have its lease renewed.
type Report struct {
	Node   string  `json:"node"`
	Life   uint64  `json:"life"` // of the process
	Tree   string  `json:"tree"` // hash of the one that it has
	Length float64 `json:"length"`
	Holds  uint64  `json:"holds"` // the number of the lease that it goes by; 0 = none
	Asked  []Asked `json:"asked"`
	Leaves bool    `json:"leaves"` // it goes by no lease any more
}

// Part is what a lease has of a place.
type Part struct {
	At   int  `json:"a"`
	Load Load `json:"l"`
}

// Grant answers a report.
type Grant struct {
	Number uint64  `json:"number"` // of the lease; 0 = there is none for this tree
	Length float64 `json:"length"` // ms from the moment it was asked for
	Parts  []Part  `json:"parts,omitempty"`
	Tree   string  `json:"tree"` // hash of the tree that the fleet goes by; empty = it has none yet
}

// ErrOlder says that a tree was not taken.
var ErrOlder = errors.New("the fleet goes by another tree of quotas")

// member is one process of a node.
type member struct {
	Node     string  `json:"node"`
	Life     uint64  `json:"life"`
	Until    float64 `json:"until"` // ms of the group's time
	Reported float64 `json:"told"`
	Demand   []Asked `json:"asked"`
	// Using is what it goes by, Next what it was given last. Until it says that it holds that, it may go by either.
	Active  []Part `json:"using"`
	Granted []Part `json:"next"`
	Number  uint64 `json:"number"` // of Next
}

// account is what is held of a place.
type account struct {
	Credit    float64 `json:"credit"` // loads that its siblings owe it,
	Debt      float64 `json:"debt"`   // and that it owes them
	RepayRate float64 `json:"pays"`   // a second, while it is called for
	GivenUp   float64 `json:"gives"`  // a second, of its guarantee now
	Repaid    float64 `json:"gets"`   // on top of it
	Long      float64 `json:"long"`   // loads left of the long window
	Due       float64 `json:"due"`    // loads a second, of all members together
	Want      float64 `json:"want"`   // that were asked for then
}

// Machine is all that is agreed on the fleet's room.
type Machine struct {
	tree       *Tree
	hash       string
	shape      *shape
	members    map[string]member
	accounts   []account
	dividedAt  float64 // when it was divided
	lastNumber uint64
	leased     []Load  // what members may be using, by place; a Load is exact, so that taking out what was put in leaves nothing
	nextExpiry float64 // ms; no member's lease runs out before
}

// New makes one that has no tree yet.
func New() *Machine { return &Machine{members: map[string]member{}, nextExpiry: math.Inf(1)} }

func (r *Report) check(places int) error {
	if r.Node == "" || len(r.Node) > maxNameBytes || !(r.Length >= Least && r.Length <= Most) && !r.Leaves {
		return fmt.Errorf("a member has a name of 1 to %d bytes and a lease of %g to %g ms", maxNameBytes, Least, Most)
	}
	if len(r.Asked) > MostAsked {
		return fmt.Errorf("it asks for %d places, %d at the most", len(r.Asked), MostAsked)
	}
	last := -1
	for _, a := range r.Asked {
		if a.At <= last || a.At >= places || !(a.Want >= 0 && a.Want <= maxLoad && a.Used >= 0 && a.Used <= maxLoad) {
			return fmt.Errorf("place %d: places in their order, with loads of 0 to %g", a.At, maxLoad)
		}
		last = a.At
	}
	return nil
}

// Bring takes a tree: the first, one of a higher number, or one that no living member differs from.
func (m *Machine) Bring(now float64, t Tree) error {
	m.Tick(now)
	if m.tree != nil && t.Hash() == m.hash {
		same := *m.tree // an image that is being made may hold the one before
		same.Number = max(same.Number, t.Number)
		m.tree = &same
		return nil
	}
	if err := t.Check(); err != nil {
		return err
	}
	if m.tree != nil && (t.Number < m.tree.Number || t.Number == m.tree.Number && len(m.members) > 0) {
		return fmt.Errorf("%w: %s of policy %d", ErrOlder, m.hash, m.tree.Number)
	}
	return m.replaceTree(now, t)
}

// replaceTree has a tree in the present one's place. What places of the same name have stays; what has no place any more counts at the root.
func (m *Machine) replaceTree(now float64, t Tree) error {
	s, err := newShape(&t)
	if err != nil {
		return err
	}
	was, old := m.shape, m.accounts
	m.tree, m.hash, m.shape, m.accounts = &t, t.Hash(), s, make([]account, len(s.names))
	m.dividedAt = now - divideInterval
	at := map[string]int{}
	for i, name := range s.names[:s.places()] {
		at[name] = i
		m.accounts[i].Long = s.longLimit[i] * t.Set.LongWindow
	}
	for i := range s.longLimit {
		if math.IsInf(s.longLimit[i], 1) {
			m.accounts[i].Long = 0
		}
	}
	defer m.recount()
	if was == nil {
		return nil
	}
	for i, name := range was.names[:was.places()] {
		if to, ok := at[name]; ok {
			m.accounts[to].Credit, m.accounts[to].Debt = old[i].Credit, min(old[i].Debt, m.maxDebt(to))
			m.accounts[to].Long = min(m.accounts[to].Long, old[i].Long)
		}
	}
	for id, e := range m.members {
		e.Demand, e.Active, e.Granted = nil, moveParts(e.Active, was.names, at), moveParts(e.Granted, was.names, at)
		m.members[id] = e
	}
	return nil
}

func moveParts(parts []Part, names []string, at map[string]int) []Part {
	sums := map[int]Load{}
	for _, p := range parts {
		sums[at[names[p.At]]] += p.Load // the root where there is none of the name
	}
	var out []Part
	for _, i := range slices.Sorted(maps.Keys(sums)) {
		out = append(out, Part{i, sums[i]})
	}
	return out
}

// Report takes a member's word and gives it a lease.
func (m *Machine) Report(now float64, r Report) (Grant, error) {
	m.Tick(now)
	id := fmt.Sprintf("%s/%x", r.Node, r.Life)
	if r.Leaves {
		m.removeMember(id)
		return Grant{}, nil
	}
	if m.tree == nil || r.Tree != m.hash { // what it has runs out
		return Grant{Tree: m.hash}, nil
	}
	if err := r.check(m.shape.places()); err != nil {
		return Grant{}, err
	}
	have, known := m.members[id]
	if !known && len(m.members) >= MostMembers {
		return Grant{}, fmt.Errorf("there are %d members", len(m.members))
	}
	have.Node, have.Life, have.Demand, have.Reported = r.Node, r.Life, r.Asked, now
	if r.Holds == have.Number { // else the lease did not come, and the member takes none that comes late
		have.Active = have.Granted
	}
	have.Granted = nil
	m.setMember(id, have)
	m.divide(now, slices.ContainsFunc(r.Asked, func(a Asked) bool { return m.accounts[m.shape.leafOf[a.At]].Want == 0 && a.Want > 0 }))
	m.lastNumber++
	have.Granted, have.Number = m.grant(&have), m.lastNumber
	have.Until = max(have.Until, now+r.Length)
	m.setMember(id, have)
	return Grant{Number: have.Number, Length: r.Length, Parts: have.Granted, Tree: m.hash}, nil
}

// setMember has a member be as it says now; drop has it be no more. They keep taken and due, so that a report does not cost a look at
// every other member.
func (m *Machine) setMember(id string, e member) {
	m.removeMember(id)
	m.members[id] = e
	m.nextExpiry = min(m.nextExpiry, e.Until)
	for _, p := range maxParts(e.Active, e.Granted) {
		m.leased[m.shape.leafOf[p.At]] += p.Load
	}
}

func (m *Machine) removeMember(id string) {
	e := m.members[id]
	for _, p := range maxParts(e.Active, e.Granted) {
		m.leased[m.shape.leafOf[p.At]] -= p.Load
	}
	delete(m.members, id)
}

// recount makes taken and due from the members, after they or their places have changed.
func (m *Machine) recount() {
	m.leased, m.nextExpiry = nil, math.Inf(1)
	if m.shape != nil {
		m.leased = make([]Load, len(m.shape.names))
	}
	for _, e := range m.members {
		m.nextExpiry = min(m.nextExpiry, e.Until)
		for _, p := range maxParts(e.Active, e.Granted) {
			m.leased[m.shape.leafOf[p.At]] += p.Load
		}
	}
}

// Tick lets leases run out.
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
		for _, p := range maxParts(e.Active, e.Granted) { // nobody knows how much of it was used
			for i := p.At; i >= 0; i = m.shape.parent[i] {
				m.accounts[i].Long -= p.Load.Of() * (e.Until - e.Reported) / 1000
			}
		}
	}
}

// maxParts gives what of two leases may be in use, by place.
func maxParts(a, b []Part) []Part {
	out := make([]Part, 0, len(a)+len(b))
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].At < b[0].At:
			out, a = append(out, a[0]), a[1:]
		case len(a) == 0 || b[0].At < a[0].At:
			out, b = append(out, b[0]), b[1:]
		default:
			out = append(out, Part{a[0].At, max(a[0].Load, b[0].Load)})
			a, b = a[1:], b[1:]
		}
	}
	return out
}

// sumDemand adds up what members say, by place and by all that are above it.
func (m *Machine) sumDemand(of func(Asked) float64) []float64 {
	out := make([]float64, len(m.shape.names))
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		for _, a := range m.members[id].Demand {
			out[m.shape.leafOf[a.At]] += of(a)
		}
	}
	return out
}

// divide settles what was used since the last time, and says what everyone is due from now on: once in a while, or at once where
// something is asked for that nobody asked for before.
func (m *Machine) divide(now float64, fresh bool) {
	span := now - m.dividedAt
	if span < divideInterval && !fresh {
		return
	}
	m.dividedAt = now
	used := m.sumDemand(func(a Asked) float64 { return a.Used })
	m.shape.fluid.Sum(used)
	m.updateDebts(min(span, m.tree.Set.Memory*1000)/1000, used)
	want := m.sumDemand(func(a Asked) float64 { return a.Want })
	m.collectDebts(want)
	for i := range m.accounts {
		m.shape.fluid.Set(i, max(minWeight, m.guarantee(i)), m.maxLeased(i))
	}
	due := m.shape.fluid.Due(m.tree.Leased, want)
	given := 0.0
	for i := range due {
		if len(m.shape.children[i]) == 0 {
			given += due[i]
		}
	}
	more := 1.0
	if room := m.tree.Leased * (1 - reserveFraction); given > 0 && room > given {
		more = min(maxHeadroom, room/given)
	}
	for i := range m.accounts {
		m.accounts[i].Due, m.accounts[i].Want = due[i]*more, want[i]
	}
}

// guarantee is what a place may always have now, debts being paid.
func (m *Machine) guarantee(i int) float64 {
	return m.shape.weight[i] - m.accounts[i].GivenUp + m.accounts[i].Repaid
}

func (m *Machine) maxDebt(i int) float64 {
	return m.tree.Set.PayBack * m.tree.Set.PayPart * m.shape.weight[i]
}

// updateDebts moves credit and debt by what was used for some seconds.
func (m *Machine) updateDebts(seconds float64, used []float64) {
	keep := 1 / (1 + seconds/m.tree.Set.Memory)
	for p, kids := range m.shape.children {
		over, under, called := 0.0, 0.0, false
		for _, c := range kids {
			called = called || m.accounts[c].Repaid > 0
			if d := used[c] - m.guarantee(c); d > 0 {
				over += d
			} else if m.shape.lends[c] {
				under -= d
			}
		}
		owed := 0.0
		for _, c := range kids {
			a := &m.accounts[c]
			a.Debt -= min(a.Debt, a.GivenUp*seconds)
			a.Credit -= min(a.Credit, a.Repaid*seconds)
			if !called {
				a.Debt, a.Credit = a.Debt*keep, a.Credit*keep
			}
			if d := used[c] - m.guarantee(c); d > 0 && under > 0 {
				lent := max(0, min(min(over, under)*seconds*(d/over), m.maxDebt(c)-a.Debt))
				a.Debt += lent
				owed += lent
			}
		}
		for _, c := range kids {
			if d := m.guarantee(c) - used[c]; d > 0 && m.shape.lends[c] && owed > 0 {
				m.accounts[c].Credit += owed * (d / under)
			}
		}
		if !math.IsInf(m.shape.longLimit[p], 1) {
			m.updateLongWindow(p, seconds, used[p])
		}
	}
}

// updateLongWindow keeps the account of the long window.
func (m *Machine) updateLongWindow(i int, seconds, used float64) {
	most := m.shape.longLimit[i] * m.tree.Set.LongWindow
	m.accounts[i].Long = max(-most, min(most, m.accounts[i].Long+(m.shape.longLimit[i]-used)*seconds))
}

// collectDebts has lenders that want more than their guarantee paid by those that owe them.
func (m *Machine) collectDebts(asked []float64) {
	want := slices.Clone(asked)
	m.shape.fluid.Sum(want)
	for _, kids := range m.shape.children {
		calls := func(c int) bool { return m.accounts[c].Credit > 0 && want[c] > m.shape.weight[c] }
		credit, pays := 0.0, 0.0
		for _, c := range kids {
			if m.accounts[c].Repaid = 0; calls(c) {
				credit += m.accounts[c].Credit
			}
		}
		for _, c := range kids {
			a := &m.accounts[c]
			if a.GivenUp = 0; credit == 0 || a.Debt <= 0 || calls(c) {
				a.RepayRate = 0
				continue
			}
			a.RepayRate = max(a.RepayRate, a.Debt/m.tree.Set.PayBack)
			a.GivenUp = min(a.RepayRate, m.tree.Set.PayPart*m.shape.weight[c])
			pays += a.GivenUp
		}
		for _, c := range kids {
			if calls(c) {
				m.accounts[c].Repaid = pays * (m.accounts[c].Credit / credit)
			}
		}
	}
}

// grant gives a member its part of what everyone is due, as far as others do not have it.
func (m *Machine) grant(e *member) []Part {
	s := m.shape
	taken, mine := slices.Clone(m.leased), make([]float64, len(s.names))
	for _, p := range maxParts(e.Active, e.Granted) {
		taken[s.leafOf[p.At]] -= p.Load
	}
	for i := len(taken) - 1; i > 0; i-- {
		taken[s.parent[i]] += taken[i]
	}
	for _, a := range e.Demand {
		at := s.leafOf[a.At]
		if acc := &m.accounts[at]; acc.Want > 0 {
			mine[at] = acc.Due * min(1, a.Want/acc.Want) * loadUnits
		}
	}
	s.fluid.Sum(mine)
	part := make([]float64, len(mine))
	for i := range mine {
		above := 1.0
		if i > 0 {
			above = part[s.parent[i]]
		}
		part[i] = above
		if most := m.maxLeased(i); !math.IsInf(most, 1) {
			free := max(0, math.Floor(most*loadUnits)-float64(taken[i]))
			if mine[i]*above > free {
				part[i] = free / mine[i]
			}
		}
	}
	var out []Part
	for _, a := range e.Demand {
		at := s.leafOf[a.At]
		if l := Load(mine[at] * part[at] * (1 - 1e-9)); l > 0 {
			out = append(out, Part{a.At, l})
		}
	}
	return out
}

// maxLeased is what all leases of a place add up to at the most, +Inf = whatever is above it.
func (m *Machine) maxLeased(i int) float64 {
	if i == quota.Root {
		return m.tree.Leased
	}
	limit := m.shape.limit[i]
	if !math.IsInf(m.shape.longLimit[i], 1) && m.accounts[i].Long <= 0 {
		limit = min(limit, m.shape.longLimit[i])
	}
	return m.tree.Leased * limit
}

// Held is how a place stands, for people.
type Held struct {
	Name   string  `json:"name"`
	Due    float64 `json:"due"` // loads a second, of all members
	Leased float64 `json:"leased"`
	Credit float64 `json:"credit"` // loads
	Debt   float64 `json:"debt"`
}

// View is all of it, for people.
type View struct {
	Tree    string  `json:"tree"`
	Number  uint64  `json:"number"`
	Leased  float64 `json:"leased"`
	Members int     `json:"members"`
	Held    []Held  `json:"held"`
}

// View describes the places that somebody asks for, owes or is owed.
func (m *Machine) View() View {
	v := View{Tree: m.hash, Members: len(m.members), Held: []Held{}}
	if m.tree == nil {
		return v
	}
	v.Number, v.Leased = m.tree.Number, m.tree.Leased
	sums := make([]Load, len(m.shape.names))
	for _, e := range m.members {
		for _, p := range maxParts(e.Active, e.Granted) {
			sums[p.At] += p.Load
		}
	}
	for i, name := range m.shape.names[:m.shape.places()] {
		a := m.accounts[i]
		if a.Due = m.accounts[m.shape.leafOf[i]].Due; a.Due > 0 || sums[i] > 0 || a.Credit > 0 || a.Debt > 0 {
			v.Held = append(v.Held, Held{name, a.Due, sums[i].Of(), a.Credit, a.Debt})
		}
	}
	return v
}

// image is the machine's form on a disk and between members.
type image struct {
	Tree     *Tree             `json:"tree,omitempty"`
	Members  map[string]member `json:"members"`
	Accounts []account         `json:"accounts"`
	At       float64           `json:"at"`
	Number   uint64            `json:"number"`
}

// Empty tells that the machine was never asked for anything.
func (m *Machine) Empty() bool { return m.tree == nil }

// Freeze gives what makes the image later.
func (m *Machine) Freeze() func() (json.RawMessage, error) {
	i := image{m.tree, maps.Clone(m.members), slices.Clone(m.accounts), m.dividedAt, m.lastNumber}
	return func() (json.RawMessage, error) { return json.Marshal(i) }
}

// Load takes an image.
func (m *Machine) Load(text json.RawMessage) error {
	var i image
	if err := json.Unmarshal(text, &i); err != nil {
		return err
	}
	fresh := New()
	if i.Tree != nil {
		if err := fresh.replaceTree(i.At, *i.Tree); err != nil {
			return err
		}
		if len(i.Accounts) != len(fresh.accounts) {
			return errors.New("its accounts are of another tree")
		}
		fresh.accounts = i.Accounts
	}
	if i.Members != nil {
		fresh.members = i.Members
	}
	fresh.dividedAt, fresh.lastNumber = i.At, i.Number
	fresh.recount()
	*m = *fresh
	return nil
}
