package quota

import (
	"math"
)

// advance moves the time forward, never back.
func (t *Tree) advance(now float64) {
	if math.IsInf(t.now, -1) {
		t.now = now
	}
	if now > t.now {
		span := (now - t.now) / 1000
		t.seconds += span
		t.capacitySeconds += span * t.capacity
		t.now = now
	}
}

// refresh brings a node up to date: it fills its buckets, and decays and repays its debts.
func (t *Tree) refresh(i int32) {
	n := &t.nodes[i]
	span, capacitySpan := t.seconds-n.refreshedAt, t.capacitySeconds-n.filledUntil
	if span <= 0 {
		return
	}
	n.refreshedAt, n.filledUntil = t.seconds, t.capacitySeconds
	decay := math.Exp(-span / t.config.DebtDecay)
	n.lendable *= decay
	if n.repayUntil <= t.seconds-span {
		n.repaid *= decay
	}
	if n.parent >= 0 && t.nodes[n.parent].repayUntil <= t.seconds-span {
		n.credit *= decay
		n.debt *= decay
	}
	overflow := math.Inf(1)
	for m := range measures {
		if n.own[m].cap > 0 {
			overflow = min(overflow, n.own[m].fill(capacitySpan)/t.nodes[Root].own[m].rate)
		}
		n.limit[m].fill(span)
		n.longLimit[m].fill(span)
	}
	if n.parent < 0 {
		return
	}
	if !n.noLending && !math.IsInf(overflow, 1) {
		n.lendable = min(n.lendable+overflow, t.config.DebtDecay*t.guaranteedFraction(n))
	}
	t.repay(n, span)
	for n.firstContender >= 0 && t.nodes[n.firstContender].lastRequest+contendSeconds < t.seconds {
		t.withdraw(n.firstContender)
	}
}

// SetCapacity sets the capacity of all nodes from now on, as a fraction of Settings.Root: all guarantees are
// scaled by it. NaN is ignored.
func (t *Tree) SetCapacity(now, fraction float64) {
	t.advance(now)
	if fraction == fraction { // not NaN
		t.capacity = max(t.config.Floor, min(fraction, 1/t.config.Floor))
	}
}

// Capacity returns the fraction set by SetCapacity, limited to its bounds.
func (t *Tree) Capacity() float64 { return t.capacity }
