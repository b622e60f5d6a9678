package lease

import (
	"math"
	"slices"
)

// maxDebt returns the largest debt of a node, in loads: what it can repay within Settings.RepayTime.
func (m *Machine) maxDebt(i int) float64 {
	return m.tree.Settings.RepayTime * m.tree.Settings.RepayFraction * m.shape.weight[i]
}

// updateDebts updates credits and debts with what was used during the given seconds. The order of the floating-point
// operations must not change: every replica must compute the same values.
func (m *Machine) updateDebts(seconds float64, used []float64) {
	decay := 1 / (1 + seconds/m.tree.Settings.DebtDecay)
	for p, children := range m.shape.children {
		over, under, collecting := 0.0, 0.0, false
		for _, c := range children {
			collecting = collecting || m.accounts[c].Repaid > 0
			if d := used[c] - m.guarantee(c); d > 0 {
				over += d
			} else if m.shape.lends[c] {
				under -= d
			}
		}
		owed := 0.0
		for _, c := range children {
			a := &m.accounts[c]
			a.Debt -= min(a.Debt, a.GivenUp*seconds)
			a.Credit -= min(a.Credit, a.Repaid*seconds)
			if !collecting {
				a.Debt, a.Credit = a.Debt*decay, a.Credit*decay
			}
			if d := used[c] - m.guarantee(c); d > 0 && under > 0 {
				lent := max(0, min(min(over, under)*seconds*(d/over), m.maxDebt(c)-a.Debt))
				a.Debt += lent
				owed += lent
			}
		}
		for _, c := range children {
			if d := m.guarantee(c) - used[c]; d > 0 && m.shape.lends[c] && owed > 0 {
				m.accounts[c].Credit += owed * (d / under)
			}
		}
		if !math.IsInf(m.shape.longLimit[p], 1) {
			m.updateLongWindow(p, seconds, used[p])
		}
	}
}

// updateLongWindow updates a node's account of the long window with what was used during the given seconds.
func (m *Machine) updateLongWindow(i int, seconds, used float64) {
	bound := m.shape.longLimit[i] * m.tree.Settings.LongWindow
	m.accounts[i].Long = max(-bound, min(bound, m.accounts[i].Long+(m.shape.longLimit[i]-used)*seconds))
}

// collectDebts lets lenders that request more than their guarantee collect from the siblings that owe them.
func (m *Machine) collectDebts(requested []float64) {
	want := slices.Clone(requested)
	m.shape.fluid.AddToAncestors(want)
	for _, children := range m.shape.children {
		collects := func(c int) bool { return m.accounts[c].Credit > 0 && want[c] > m.shape.weight[c] }
		credit, repaid := 0.0, 0.0
		for _, c := range children {
			if m.accounts[c].Repaid = 0; collects(c) {
				credit += m.accounts[c].Credit
			}
		}
		for _, c := range children {
			a := &m.accounts[c]
			if a.GivenUp = 0; credit == 0 || a.Debt <= 0 || collects(c) {
				a.RepayRate = 0
				continue
			}
			a.RepayRate = max(a.RepayRate, a.Debt/m.tree.Settings.RepayTime)
			a.GivenUp = min(a.RepayRate, m.tree.Settings.RepayFraction*m.shape.weight[c])
			repaid += a.GivenUp
		}
		for _, c := range children {
			if collects(c) {
				m.accounts[c].Repaid = repaid * (m.accounts[c].Credit / credit)
			}
		}
	}
}
