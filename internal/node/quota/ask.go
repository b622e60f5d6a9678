package quota

import (
	"cmp"
	"math"
)

const (
	contendSeconds = 1.0  // seconds for which a child counts as wanting room after it asked
	repaySeconds   = 1.0  // and a lender as calling in what it is owed
	fairSlack      = 0.02 // load by weight that a child may be ahead of its fair share with a bucket half full
	maxBehind      = 1.0  // and behind it: what it did not want then it does not get later
	maxLenderLooks = 4    // children that are looked at for room to lend, a call
	retryJitter    = 0.25 // of a wait, by chance either way, so that the refused do not come back together
)

// Call is what wants to go on.
type Call struct {
	Leaf     int // place of the node that it belongs to
	Priority int // from 0; calls of the highest are refused only when there is no room at all
	Worth    float64
}

// Ask decides about one call.
func (b *Book) Ask(now float64, c Call) Decision {
	b.advance(now)
	cost := Amount{1, c.Worth}
	for i := int32(c.Leaf); i >= 0; i = b.nodes[i].parent {
		b.refresh(i)
	}
	d := b.decide(int32(c.Leaf), c.Priority, cost)
	leaf := &b.nodes[c.Leaf]
	leaf.counts[d.Verdict]++
	if d.Verdict == Refused {
		leaf.reason = d.Reason
		d.Wait = b.retryAfter(leaf)
		return d
	}
	d.grant = grant{tree: b, leaf: int32(c.Leaf), lender: int32(d.From), cost: cost}
	b.charge(d.grant, 1)
	b.recordDebt(d, b.load(cost))
	return d
}

// decide finds who covers a call, without taking anything.
func (b *Book) decide(leaf int32, priority int, cost Amount) Decision {
	n := &b.nodes[leaf]
	if b.hasTokens(n, priority, cost, false) {
		return Decision{Verdict: Go, From: int(leaf)}
	}
	top := priority == b.config.Priorities-1
	if d, ok := b.checkLimits(leaf, cost); !ok && !top {
		return d
	}
	if n.noBorrowing || leaf == Root {
		return Decision{Verdict: Refused, Reason: NoRoom}
	}
	if creditor := b.creditor(leaf, priority, cost); creditor >= 0 {
		return Decision{Verdict: Paid, From: int(b.nodes[creditor].parent)}
	}
	lender := b.lender(leaf, priority, cost)
	if lender < 0 {
		return Decision{Verdict: Refused, Reason: NoRoom}
	}
	if !top && b.unleased == nil { // a lease says already whose room it is; what is left of it goes to whoever asks
		l := &b.nodes[lender]
		may := maxAhead(l.own[Requests].tokens / l.own[Requests].cap)
		for x := leaf; x != lender; x = b.nodes[x].parent {
			if y := &b.nodes[x]; y.borrowed-b.nodes[y.parent].fairShare > may {
				return Decision{Verdict: Refused, Reason: NotFair, From: int(lender)}
			}
		}
	}
	return Decision{Verdict: Borrowed, From: int(lender)}
}

// creditor finds the nearest node to which a sibling has paid what it owes, -1 for none, and calls in what is owed on the way.
func (b *Book) creditor(leaf int32, priority int, cost Amount) int32 {
	load := b.load(cost)
	for x := leaf; b.nodes[x].parent >= 0 && !b.nodes[x].noBorrowing; x = b.nodes[x].parent {
		n := &b.nodes[x]
		if n.credit < load {
			continue
		}
		p := &b.nodes[n.parent]
		p.repayUntil = b.seconds + repaySeconds
		if p.repaid >= load && b.hasTokens(p, priority, cost, false) {
			return x
		}
	}
	return -1
}

// maxAhead is how far a child may be ahead of its fair share of a bucket that is so full.
func maxAhead(fill float64) float64 {
	if fill >= 1 {
		return math.Inf(1)
	}
	return fairSlack * max(0, fill) / (1 - fill)
}

// hasTokens tells whether a node's own bucket has enough, beyond what is kept for higher priorities and, if that is to be spared,
// what debtors have paid for their lenders.
func (b *Book) hasTokens(n *node, priority int, cost Amount, spare bool) bool {
	kept, paid := b.config.Kept*float64(b.config.Priorities-1-priority), 0.0
	if spare {
		paid = n.repaid
	}
	for m := range measures {
		if n.own[m].cap > 0 && n.own[m].tokens-kept*n.own[m].cap-paid*b.nodes[Root].own[m].rate < cost[m] {
			return false
		}
		if n.own[m].cap == 0 && b.nodes[Root].own[m].cap > 0 && cost[m] > 0 {
			return false // it has no guarantee in a measure that counts
		}
	}
	return true
}

// checkLimits tells whether no ceiling stands in the way of more than a guarantee.
func (b *Book) checkLimits(leaf int32, cost Amount) (d Decision, ok bool) {
	for i := leaf; i >= 0; i = b.nodes[i].parent {
		n := &b.nodes[i]
		for m := range measures {
			if n.limit[m].cap > 0 && n.limit[m].tokens < cost[m] {
				return Decision{Verdict: Refused, Reason: AtCeiling, From: int(i)}, false
			}
			if n.longLimit[m].cap > 0 && n.longLimit[m].tokens < cost[m] {
				return Decision{Verdict: Refused, Reason: AtLong, From: int(i)}, false
			}
		}
	}
	return d, true
}

// lender finds the nearest node above that has room, -1 for none, and notes on the way who wants it.
func (b *Book) lender(leaf int32, priority int, cost Amount) int32 {
	for x := leaf; ; {
		n := &b.nodes[x]
		if n.noBorrowing || n.parent < 0 {
			return -1
		}
		b.contend(x)
		x = n.parent
		if b.hasTokens(&b.nodes[x], priority, cost, priority < b.config.Priorities-1) {
			return x
		}
	}
}

// load is a call's cost in seconds of all that the root can do.
func (b *Book) load(cost Amount) (load float64) {
	for m := range measures {
		if rate := b.nodes[Root].own[m].rate; rate > 0 {
			load = max(load, cost[m]/rate)
		}
	}
	return load
}

// charge takes what a call was granted, or gives it back with sign -1.
func (b *Book) charge(g grant, sign float64) {
	for i := g.leaf; i >= 0; i = b.nodes[i].parent {
		n := &b.nodes[i]
		for m := range measures {
			n.limit[m].spend(sign * g.cost[m])
			n.longLimit[m].spend(sign * g.cost[m])
		}
	}
	for i := g.lender; i >= 0; i = b.nodes[i].parent {
		for m := range measures {
			b.nodes[i].own[m].spend(sign * g.cost[m])
		}
	}
	if g.lender == g.leaf {
		return
	}
	load := b.load(g.cost)
	for x := g.leaf; x != g.lender; x = b.nodes[x].parent {
		n := &b.nodes[x]
		p := &b.nodes[n.parent]
		n.borrowed += sign * load / n.weight
		if p.contendingWeight > 0 {
			p.fairShare += sign * load / p.contendingWeight
		}
	}
}

// recordDebt notes the debt of a call that was lent, or what was paid back to one.
func (b *Book) recordDebt(d Decision, load float64) {
	if d.Verdict == Go {
		return
	}
	x := d.grant.leaf // the child of the lender on the way
	for b.nodes[x].parent != d.grant.lender {
		x = b.nodes[x].parent
	}
	if d.Verdict == Borrowed {
		b.assignDebt(d.grant.lender, x, load)
		return
	}
	b.nodes[x].credit -= load
	b.nodes[d.grant.lender].repaid -= load
}

// assignDebt finds whose unused room a borrower has taken. What no child could call its own makes no debt.
func (b *Book) assignDebt(parent, borrower int32, load float64) {
	p := &b.nodes[parent]
	for range maxLenderLooks {
		if p.nextLender < 0 {
			if p.nextLender = p.firstChild; p.nextLender < 0 {
				return
			}
		}
		i := p.nextLender
		n := &b.nodes[i]
		b.refresh(i)
		if i != borrower && n.lendable >= load {
			debtor := &b.nodes[borrower]
			owed := max(0, min(load, b.maxDebt(debtor)-debtor.debt))
			n.lendable -= load
			n.credit += owed
			n.lastBorrower = borrower
			debtor.debt += owed
			return
		}
		p.nextLender = n.sibling
	}
}

// guaranteedFraction is a node's part of all that the root can do.
func (b *Book) guaranteedFraction(n *node) float64 {
	return n.own[Requests].rate / b.nodes[Root].own[Requests].rate
}

// maxDebt is what a node can pay in the time that is stated for it. What it borrows beyond is a gift.
func (b *Book) maxDebt(n *node) float64 {
	return b.config.PayBack * b.config.PayPart * b.guaranteedFraction(n)
}

// advance moves the time on, never back.
func (b *Book) advance(now float64) {
	if math.IsInf(b.now, -1) {
		b.now = now
	}
	if now > b.now {
		span := (now - b.now) / 1000
		b.seconds += span
		b.capacitySeconds += span * b.capacity
		b.now = now
	}
}

// refresh brings a node up to the present.
func (b *Book) refresh(i int32) {
	n := &b.nodes[i]
	span, work := b.seconds-n.refreshedAt, b.capacitySeconds-n.filledUntil
	if span <= 0 {
		return
	}
	n.refreshedAt, n.filledUntil = b.seconds, b.capacitySeconds
	fade := math.Exp(-span / b.config.Memory)
	n.lendable *= fade
	if n.repayUntil <= b.seconds-span {
		n.repaid *= fade
	}
	if n.parent >= 0 && b.nodes[n.parent].repayUntil <= b.seconds-span {
		n.credit *= fade
		n.debt *= fade
	}
	over := math.Inf(1)
	for m := range measures {
		if n.own[m].cap > 0 {
			over = min(over, n.own[m].fill(work)/b.nodes[Root].own[m].rate)
		}
		n.limit[m].fill(span)
		n.longLimit[m].fill(span)
	}
	if n.parent < 0 {
		return
	}
	if !n.noLending && !math.IsInf(over, 1) {
		n.lendable = min(n.lendable+over, b.config.Memory*b.guaranteedFraction(n))
	}
	b.repay(n, span)
	for n.firstContender >= 0 && b.nodes[n.firstContender].lastRequest+contendSeconds < b.seconds {
		b.withdraw(n.firstContender)
	}
}

// repay has a debtor give up part of what it was just filled with, as long as a lender calls for it.
func (b *Book) repay(n *node, span float64) {
	p := &b.nodes[n.parent]
	if n.debt <= 0 || p.repayUntil <= b.seconds-span {
		n.repayRate = 0
		return
	}
	n.repayRate = max(n.repayRate, n.debt/b.config.PayBack)
	load := min(n.debt, span*min(n.repayRate, b.config.PayPart*b.guaranteedFraction(n)))
	n.debt -= load
	p.repaid += load
	for m := range measures {
		n.own[m].spend(load * b.nodes[Root].own[m].rate)
	}
}

// contend notes that a child wants some of its parent's spare room.
func (b *Book) contend(x int32) {
	n := &b.nodes[x]
	p := &b.nodes[n.parent]
	if n.contends {
		b.withdraw(x)
	} else {
		n.borrowed = max(n.borrowed, p.fairShare) // what it left before it asked is no claim
	}
	n.borrowed = max(n.borrowed, p.fairShare-maxBehind)
	n.contends, n.lastRequest = true, b.seconds
	p.contendingWeight += n.weight
	n.prevContender, n.nextContender = p.lastContender, -1
	if p.lastContender >= 0 {
		b.nodes[p.lastContender].nextContender = x
	} else {
		p.firstContender = x
	}
	p.lastContender = x
}

// withdraw takes a child off the list of those that want room.
func (b *Book) withdraw(x int32) {
	n := &b.nodes[x]
	p := &b.nodes[n.parent]
	if n.prevContender >= 0 {
		b.nodes[n.prevContender].nextContender = n.nextContender
	} else {
		p.firstContender = n.nextContender
	}
	if n.nextContender >= 0 {
		b.nodes[n.nextContender].prevContender = n.prevContender
	} else {
		p.lastContender = n.prevContender
	}
	n.contends, n.nextContender, n.prevContender = false, -1, -1
	if p.contendingWeight -= n.weight; p.firstContender < 0 {
		p.contendingWeight = 0 // of what rounding has left
	}
}

// retryAfter is when a refused caller should come back: the refused of a leaf get places one behind the other, at the rate that it
// may always have.
func (b *Book) retryAfter(n *node) float64 {
	rate := max(n.own[Requests].rate*b.capacity, 1/cmp.Or(b.config.MostWait, 1))
	n.nextRetry = max(n.nextRetry, b.now) + 1000/rate
	most := b.config.MostWait * 1000
	if n.nextRetry > b.now+most {
		n.nextRetry = b.now + most
	}
	return min(most, (n.nextRetry-b.now)*(1-retryJitter+2*retryJitter*b.rand.Float64()))
}

// Return gives back what a call was granted that certainly did not run. What another tree granted, which this one has replaced, it
// does not know.
func (b *Book) Return(now float64, d Decision) {
	if d.Verdict == Refused || d.grant.tree != b {
		return
	}
	b.advance(now)
	for i := d.grant.leaf; i >= 0; i = b.nodes[i].parent {
		b.refresh(i)
	}
	b.charge(d.grant, -1)
}

// Taken is what a call was granted, and the place that it was granted at; none of it where the call was refused, or granted by
// another tree.
func (b *Book) Taken(d Decision) (leaf int, cost Amount) {
	if d.Verdict == Refused || d.grant.tree != b {
		return Root, cost
	}
	return int(d.grant.leaf), d.grant.cost
}

// SetCapacity tells what the fleet can do from now on, as a part of Settings.Root: all guarantees shrink and grow alike.
func (b *Book) SetCapacity(now, part float64) {
	b.advance(now)
	if part == part { // not NaN
		b.capacity = max(b.config.Floor, min(part, 1/b.config.Floor))
	}
}

// Capacity is what SetCapacity has set.
func (b *Book) Capacity() float64 { return b.capacity }
