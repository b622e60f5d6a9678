package lease

import (
	"maps"
	"math"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/quota"
)

// Parameters of the division of capacity.
const (
	divideInterval  = 50.0 // ms between two divisions
	reserveFraction = 0.05 // fraction of the leased capacity kept for members that will request more
	maxHeadroom     = 3.0  // maximum multiple of what it requests that a node gets while there is capacity
	minWeight       = 1e-6 // of a node without a guarantee, which can use only what others leave
)

// sumDemand sums a value over the reports of all members, by node, without its descendants.
func (m *Machine) sumDemand(of func(NodeDemand) float64) []float64 {
	out := make([]float64, len(m.shape.names))
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		for _, a := range m.members[id].Demand {
			out[m.shape.leafOf[a.Node]] += of(a)
		}
	}
	return out
}

// divide updates the debts with what was used since the last division, and computes what every node is due from
// now on. It does so once per divideInterval, or immediately if there is demand for a node that had none before.
func (m *Machine) divide(now float64, newDemand bool) {
	span := now - m.dividedAt
	if span < divideInterval && !newDemand {
		return
	}
	m.dividedAt = now
	used := m.sumDemand(func(a NodeDemand) float64 { return a.Admitted })
	m.shape.fluid.AddToAncestors(used)
	m.updateDebts(min(span, m.tree.Settings.DebtDecay*1000)/1000, used)
	want := m.sumDemand(func(a NodeDemand) float64 { return a.Requested })
	m.collectDebts(want)
	for i := range m.accounts {
		m.shape.fluid.Set(i, max(minWeight, m.guarantee(i)), m.maxLeased(i))
	}
	due := m.shape.fluid.Allocate(m.tree.Leased, want)
	total := 0.0
	for i := range due {
		if len(m.shape.children[i]) == 0 {
			total += due[i]
		}
	}
	headroom := 1.0
	if capacity := m.tree.Leased * (1 - reserveFraction); total > 0 && capacity > total {
		headroom = min(maxHeadroom, capacity/total)
	}
	for i := range m.accounts {
		m.accounts[i].Due, m.accounts[i].Want = due[i]*headroom, want[i]
	}
}

// guarantee returns the current guarantee of a node, in loads per second, adjusted by the repayment of debts.
func (m *Machine) guarantee(i int) float64 {
	return m.shape.weight[i] - m.accounts[i].GivenUp + m.accounts[i].Repaid
}

// grant returns a member's part of what every node is due, as far as other members do not hold it.
func (m *Machine) grant(e *member) []NodeLoad {
	s := m.shape
	others, due := slices.Clone(m.leased), make([]float64, len(s.names))
	for _, p := range e.reserved() {
		others[s.leafOf[p.Node]] -= p.Load
	}
	for i := len(others) - 1; i > 0; i-- {
		others[s.parent[i]] += others[i]
	}
	for _, a := range e.Demand {
		leaf := s.leafOf[a.Node]
		if account := &m.accounts[leaf]; account.Want > 0 {
			due[leaf] = account.Due * min(1, a.Requested/account.Want) * loadUnits
		}
	}
	s.fluid.AddToAncestors(due)
	fraction := make([]float64, len(due))
	for i := range due {
		parentFraction := 1.0
		if i > 0 {
			parentFraction = fraction[s.parent[i]]
		}
		fraction[i] = parentFraction
		if limit := m.maxLeased(i); !math.IsInf(limit, 1) {
			free := max(0, math.Floor(limit*loadUnits)-float64(others[i]))
			if due[i]*parentFraction > free {
				fraction[i] = free / due[i]
			}
		}
	}
	var out []NodeLoad
	for _, a := range e.Demand {
		leaf := s.leafOf[a.Node]
		if l := Load(due[leaf] * fraction[leaf] * (1 - 1e-9)); l > 0 {
			out = append(out, NodeLoad{a.Node, l})
		}
	}
	return out
}

// maxLeased returns the maximum sum of all leases of a node; +Inf = the node is limited only by its ancestors.
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
