package lease

import (
	"encoding/json"
	"maps"
	"slices"
)

// NodeState is the state of a node, for operators.
type NodeState struct {
	Name   string  `json:"name"`
	Due    float64 `json:"due"` // loads per second that all members together may lease
	Leased float64 `json:"leased"`
	Credit float64 `json:"credit"` // loads that its siblings owe it
	Debt   float64 `json:"debt"`   // loads that it owes them
}

// View is the state of the machine, for operators.
type View struct {
	Tree    string      `json:"tree"`
	Number  uint64      `json:"number"`
	Leased  float64     `json:"leased"`
	Members int         `json:"members"`
	Nodes   []NodeState `json:"held"`
}

// View returns the current state, with those nodes that have demand, leases, credit or debt.
func (m *Machine) View() View {
	v := View{Tree: m.hash, Members: len(m.members), Nodes: []NodeState{}}
	if m.tree == nil {
		return v
	}
	v.Number, v.Leased = m.tree.Number, m.tree.Leased
	sums := make([]Load, len(m.shape.names))
	for _, e := range m.members {
		for _, p := range e.reserved() {
			sums[p.Node] += p.Load
		}
	}
	for i, name := range m.shape.names[:m.shape.memberNodes()] {
		a := m.accounts[i]
		if a.Due = m.accounts[m.shape.leafOf[i]].Due; a.Due > 0 || sums[i] > 0 || a.Credit > 0 || a.Debt > 0 {
			v.Nodes = append(v.Nodes, NodeState{name, a.Due, sums[i].Fraction(), a.Credit, a.Debt})
		}
	}
	return v
}

// image is the stored form of the machine, and the one sent between replicas.
type image struct {
	Tree     *Tree             `json:"tree,omitempty"`
	Members  map[string]member `json:"members"`
	Accounts []account         `json:"accounts"`
	At       float64           `json:"at"`
	Number   uint64            `json:"number"`
}

// Empty reports whether the machine never had a tree.
func (m *Machine) Empty() bool { return m.tree == nil }

// Freeze returns a function that encodes the present state; it may be called later and from another goroutine.
func (m *Machine) Freeze() func() (json.RawMessage, error) {
	i := image{m.tree, maps.Clone(m.members), slices.Clone(m.accounts), m.dividedAt, m.lastNumber}
	return func() (json.RawMessage, error) { return json.Marshal(i) }
}

// Load replaces the state with a stored one. If it fails, the state is unchanged.
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
			return errOtherTree
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
