package quota

const (
	repaySeconds    = 1.0 // time for which debts are collected after a creditor last needed more than its own bucket
	maxLenderChecks = 4   // children that are checked for capacity to lend, per call
)

// recordDebt records the debt of a call that was admitted with borrowed capacity, or uses up repaid capacity if
// the call was admitted with that.
func (t *Tree) recordDebt(d Decision, load float64) {
	if d.Verdict == WithinGuarantee {
		return
	}
	child := d.grant.leaf // after the loop: the child of the lender on the path to the leaf
	for t.nodes[child].parent != d.grant.lender {
		child = t.nodes[child].parent
	}
	if d.Verdict == Borrowed {
		t.assignDebt(d.grant.lender, child, load)
		return
	}
	t.nodes[child].credit -= load
	t.nodes[d.grant.lender].repaid -= load
}

// assignDebt finds the sibling whose unused capacity a borrower has used, and records credit and debt. Capacity
// that belongs to no sibling causes no debt.
func (t *Tree) assignDebt(parent, borrower int32, load float64) {
	p := &t.nodes[parent]
	for range maxLenderChecks {
		if p.nextLender < 0 {
			if p.nextLender = p.firstChild; p.nextLender < 0 {
				return
			}
		}
		i := p.nextLender
		n := &t.nodes[i]
		t.refresh(i)
		if i != borrower && n.lendable >= load {
			debtor := &t.nodes[borrower]
			owed := max(0, min(load, t.maxDebt(debtor)-debtor.debt))
			n.lendable -= load
			n.credit += owed
			n.lastBorrower = borrower
			debtor.debt += owed
			return
		}
		p.nextLender = n.sibling
	}
}

// guaranteedFraction returns the guarantee of a node as a fraction of the root's rate.
func (t *Tree) guaranteedFraction(n *node) float64 {
	return n.own[Requests].rate / t.nodes[Root].own[Requests].rate
}

// maxDebt returns the largest debt of a node, in loads: what it can repay within Settings.RepayTime. What it borrows
// beyond that need not be repaid.
func (t *Tree) maxDebt(n *node) float64 {
	return t.config.RepayTime * t.config.RepayFraction * t.guaranteedFraction(n)
}

// repay takes from a debtor part of the tokens that it was just filled with, while a creditor collects its debts.
func (t *Tree) repay(n *node, span float64) {
	p := &t.nodes[n.parent]
	if n.debt <= 0 || p.repayUntil <= t.seconds-span {
		n.repayRate = 0
		return
	}
	n.repayRate = max(n.repayRate, n.debt/t.config.RepayTime)
	load := min(n.debt, span*min(n.repayRate, t.config.RepayFraction*t.guaranteedFraction(n)))
	n.debt -= load
	p.repaid += load
	for m := range measures {
		n.own[m].spend(load * t.nodes[Root].own[m].rate)
	}
}
