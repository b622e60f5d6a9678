package quota

import (
	"cmp"
	"math"
)

const (
	contendFor = 1.0  // seconds for which a child counts as wanting room after it asked
	claimFor   = 1.0  // and a lender as calling in what it is owed
	slack      = 0.02 // load by weight that a child may be ahead of its fair share with a bucket half full
	mostBehind = 1.0  // and behind it: what it did not want then it does not get later
	looks      = 4    // children that are looked at for room to lend, a call
	spread     = 0.25 // of a wait, by chance either way, so that the refused do not come back together
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
		b.touch(i)
	}
	d := b.decide(int32(c.Leaf), c.Priority, cost)
	leaf := &b.nodes[c.Leaf]
	leaf.counts[d.Verdict]++
	if d.Verdict == Refused {
		leaf.reason = d.Reason
		d.Wait = b.wait(leaf)
		return d
	}
	d.grant = grant{by: b, leaf: int32(c.Leaf), lender: int32(d.From), cost: cost}
	b.charge(d.grant, 1)
	b.settle(d, b.load(cost))
	return d
}

// decide finds who covers a call, without taking anything.
func (b *Book) decide(leaf int32, priority int, cost Amount) Decision {
	n := &b.nodes[leaf]
	if b.covers(n, priority, cost, false) {
		return Decision{Verdict: Go, From: int(leaf)}
	}
	top := priority == b.set.Priorities-1
	if d, ok := b.ceilings(leaf, cost); !ok && !top {
		return d
	}
	if n.alone || leaf == Root {
		return Decision{Verdict: Refused, Reason: NoRoom}
	}
	if creditor := b.creditor(leaf, priority, cost); creditor >= 0 {
		return Decision{Verdict: Paid, From: int(b.nodes[creditor].parent)}
	}
	lender := b.lender(leaf, priority, cost)
	if lender < 0 {
		return Decision{Verdict: Refused, Reason: NoRoom}
	}
	if !top && b.bases == nil { // a lease says already whose room it is; what is left of it goes to whoever asks
		l := &b.nodes[lender]
		may := ahead(l.own[Requests].tokens / l.own[Requests].cap)
		for x := leaf; x != lender; x = b.nodes[x].parent {
			if y := &b.nodes[x]; y.taken-b.nodes[y.parent].fair > may {
				return Decision{Verdict: Refused, Reason: NotFair, From: int(lender)}
			}
		}
	}
	return Decision{Verdict: Borrowed, From: int(lender)}
}

// creditor finds the nearest node to which a sibling has paid what it owes, -1 for none, and calls in what is owed on the way.
func (b *Book) creditor(leaf int32, priority int, cost Amount) int32 {
	load := b.load(cost)
	for x := leaf; b.nodes[x].parent >= 0 && !b.nodes[x].alone; x = b.nodes[x].parent {
		n := &b.nodes[x]
		if n.credit < load {
			continue
		}
		p := &b.nodes[n.parent]
		p.callEnds = b.seconds + claimFor
		if p.paid >= load && b.covers(p, priority, cost, false) {
			return x
		}
	}
	return -1
}

// ahead is how far a child may be ahead of its fair share of a bucket that is so full.
func ahead(fill float64) float64 {
	if fill >= 1 {
		return math.Inf(1)
	}
	return slack * max(0, fill) / (1 - fill)
}

// covers tells whether a node's own bucket has enough, beyond what is kept for higher priorities and, if that is to be spared,
// what debtors have paid for their lenders.
func (b *Book) covers(n *node, priority int, cost Amount, spare bool) bool {
	kept, paid := b.set.Kept*float64(b.set.Priorities-1-priority), 0.0
	if spare {
		paid = n.paid
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

// ceilings tells whether no ceiling stands in the way of more than a guarantee.
func (b *Book) ceilings(leaf int32, cost Amount) (d Decision, ok bool) {
	for i := leaf; i >= 0; i = b.nodes[i].parent {
		n := &b.nodes[i]
		for m := range measures {
			if n.ceiling[m].cap > 0 && n.ceiling[m].tokens < cost[m] {
				return Decision{Verdict: Refused, Reason: AtCeiling, From: int(i)}, false
			}
			if n.long[m].cap > 0 && n.long[m].tokens < cost[m] {
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
		if n.alone || n.parent < 0 {
			return -1
		}
		b.contend(x)
		x = n.parent
		if b.covers(&b.nodes[x], priority, cost, priority < b.set.Priorities-1) {
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
			n.ceiling[m].take(sign * g.cost[m])
			n.long[m].take(sign * g.cost[m])
		}
	}
	for i := g.lender; i >= 0; i = b.nodes[i].parent {
		for m := range measures {
			b.nodes[i].own[m].take(sign * g.cost[m])
		}
	}
	if g.lender == g.leaf {
		return
	}
	load := b.load(g.cost)
	for x := g.leaf; x != g.lender; x = b.nodes[x].parent {
		n := &b.nodes[x]
		p := &b.nodes[n.parent]
		n.taken += sign * load / n.weight
		if p.contending > 0 {
			p.fair += sign * load / p.contending
		}
	}
}

// settle notes the debt of a call that was lent, or what was paid back to one.
func (b *Book) settle(d Decision, load float64) {
	if d.Verdict == Go {
		return
	}
	x := d.grant.leaf // the child of the lender on the way
	for b.nodes[x].parent != d.grant.lender {
		x = b.nodes[x].parent
	}
	if d.Verdict == Borrowed {
		b.lend(d.grant.lender, x, load)
		return
	}
	b.nodes[x].credit -= load
	b.nodes[d.grant.lender].paid -= load
}

// lend finds whose unused room a borrower has taken. What no child could call its own makes no debt.
func (b *Book) lend(parent, borrower int32, load float64) {
	p := &b.nodes[parent]
	for range looks {
		if p.cursor < 0 {
			if p.cursor = p.child; p.cursor < 0 {
				return
			}
		}
		i := p.cursor
		n := &b.nodes[i]
		b.touch(i)
		if i != borrower && n.lendable >= load {
			debtor := &b.nodes[borrower]
			owed := max(0, min(load, b.mostDebt(debtor)-debtor.debt))
			n.lendable -= load
			n.credit += owed
			n.lentTo = borrower
			debtor.debt += owed
			return
		}
		p.cursor = n.sibling
	}
}

// share is a node's part of all that the root can do.
func (b *Book) share(n *node) float64 { return n.own[Requests].rate / b.nodes[Root].own[Requests].rate }

// mostDebt is what a node can pay in the time that is stated for it. What it borrows beyond is a gift.
func (b *Book) mostDebt(n *node) float64 { return b.set.PayBack * b.set.PayPart * b.share(n) }

// advance moves the time on, never back.
func (b *Book) advance(now float64) {
	if math.IsInf(b.now, -1) {
		b.now = now
	}
	if now > b.now {
		span := (now - b.now) / 1000
		b.seconds += span
		b.done += span * b.capacity
		b.now = now
	}
}

// touch brings a node up to the present.
func (b *Book) touch(i int32) {
	n := &b.nodes[i]
	span, work := b.seconds-n.clock, b.done-n.filled
	if span <= 0 {
		return
	}
	n.clock, n.filled = b.seconds, b.done
	fade := math.Exp(-span / b.set.Memory)
	n.lendable *= fade
	if n.callEnds <= b.seconds-span {
		n.paid *= fade
	}
	if n.parent >= 0 && b.nodes[n.parent].callEnds <= b.seconds-span {
		n.credit *= fade
		n.debt *= fade
	}
	over := math.Inf(1)
	for m := range measures {
		if n.own[m].cap > 0 {
			over = min(over, n.own[m].fill(work)/b.nodes[Root].own[m].rate)
		}
		n.ceiling[m].fill(span)
		n.long[m].fill(span)
	}
	if n.parent < 0 {
		return
	}
	if !n.keep && !math.IsInf(over, 1) {
		n.lendable = min(n.lendable+over, b.set.Memory*b.share(n))
	}
	b.pay(n, span)
	for n.first >= 0 && b.nodes[n.first].asked+contendFor < b.seconds {
		b.withdraw(n.first)
	}
}

// pay has a debtor give up part of what it was just filled with, as long as a lender calls for it.
func (b *Book) pay(n *node, span float64) {
	p := &b.nodes[n.parent]
	if n.debt <= 0 || p.callEnds <= b.seconds-span {
		n.payRate = 0
		return
	}
	n.payRate = max(n.payRate, n.debt/b.set.PayBack)
	load := min(n.debt, span*min(n.payRate, b.set.PayPart*b.share(n)))
	n.debt -= load
	p.paid += load
	for m := range measures {
		n.own[m].take(load * b.nodes[Root].own[m].rate)
	}
}

// contend notes that a child wants some of its parent's spare room.
func (b *Book) contend(x int32) {
	n := &b.nodes[x]
	p := &b.nodes[n.parent]
	if n.active {
		b.withdraw(x)
	} else {
		n.taken = max(n.taken, p.fair) // what it left before it asked is no claim
	}
	n.taken = max(n.taken, p.fair-mostBehind)
	n.active, n.asked = true, b.seconds
	p.contending += n.weight
	n.prev, n.next = p.last, -1
	if p.last >= 0 {
		b.nodes[p.last].next = x
	} else {
		p.first = x
	}
	p.last = x
}

// withdraw takes a child off the list of those that want room.
func (b *Book) withdraw(x int32) {
	n := &b.nodes[x]
	p := &b.nodes[n.parent]
	if n.prev >= 0 {
		b.nodes[n.prev].next = n.next
	} else {
		p.first = n.next
	}
	if n.next >= 0 {
		b.nodes[n.next].prev = n.prev
	} else {
		p.last = n.prev
	}
	n.active, n.next, n.prev = false, -1, -1
	if p.contending -= n.weight; p.first < 0 {
		p.contending = 0 // of what rounding has left
	}
}

// wait is when a refused caller should come back: the refused of a leaf get places one behind the other, at the rate that it
// may always have.
func (b *Book) wait(n *node) float64 {
	rate := max(n.own[Requests].rate*b.capacity, 1/cmp.Or(b.set.MostWait, 1))
	n.slot = max(n.slot, b.now) + 1000/rate
	most := b.set.MostWait * 1000
	if n.slot > b.now+most {
		n.slot = b.now + most
	}
	return min(most, (n.slot-b.now)*(1-spread+2*spread*b.rand.Float64()))
}

// Return gives back what a call was granted that certainly did not run. What another tree granted, which this one has replaced, it
// does not know.
func (b *Book) Return(now float64, d Decision) {
	if d.Verdict == Refused || d.grant.by != b {
		return
	}
	b.advance(now)
	for i := d.grant.leaf; i >= 0; i = b.nodes[i].parent {
		b.touch(i)
	}
	b.charge(d.grant, -1)
}

// Taken is what a call was granted, and the place that it was granted at; none of it where the call was refused, or granted by
// another tree.
func (b *Book) Taken(d Decision) (leaf int, cost Amount) {
	if d.Verdict == Refused || d.grant.by != b {
		return Root, cost
	}
	return int(d.grant.leaf), d.grant.cost
}

// SetCapacity tells what the fleet can do from now on, as a part of Settings.Root: all guarantees shrink and grow alike.
func (b *Book) SetCapacity(now, part float64) {
	b.advance(now)
	if part == part { // not NaN
		b.capacity = max(b.set.Floor, min(part, 1/b.set.Floor))
	}
}

// Capacity is what SetCapacity has set.
func (b *Book) Capacity() float64 { return b.capacity }
