package quota

import (
	"cmp"
)

// retryJitter is the fraction of a wait that is added or subtracted at random, so that rejected callers do
// not all retry at the same time.
const retryJitter = 0.25

// Call describes a call.
type Call struct {
	Leaf     int // index of the node that the call belongs to
	Priority int // from 0; calls of the highest priority are rejected only when there is no capacity at all
	Value    float64
}

// Admit decides on a call, and charges it if it is admitted.
func (t *Tree) Admit(now float64, c Call) Decision {
	t.advance(now)
	cost := Amount{1, c.Value}
	for i := int32(c.Leaf); i >= 0; i = t.nodes[i].parent {
		t.refresh(i)
	}
	d := t.decide(int32(c.Leaf), c.Priority, cost)
	leaf := &t.nodes[c.Leaf]
	leaf.counts[d.Verdict]++
	if d.Verdict == Rejected {
		leaf.reason = d.Reason
		d.RetryAfter = t.retryAfter(leaf)
		return d
	}
	d.grant = grant{tree: t, leaf: int32(c.Leaf), lender: int32(d.From), cost: cost}
	t.charge(d.grant, 1)
	t.recordDebt(d, t.load(cost))
	return d
}

// decide determines which node's capacity a call uses, without charging it.
func (t *Tree) decide(leaf int32, priority int, cost Amount) Decision {
	n := &t.nodes[leaf]
	if t.hasTokens(n, priority, cost, false) {
		return Decision{Verdict: WithinGuarantee, From: int(leaf)}
	}
	topPriority := priority == t.config.Priorities-1
	if d, ok := t.checkLimits(leaf, cost); !ok && !topPriority {
		return d
	}
	if n.noBorrowing || leaf == Root {
		return Decision{Verdict: Rejected, Reason: NoCapacity}
	}
	if creditor := t.creditor(leaf, priority, cost); creditor >= 0 {
		return Decision{Verdict: Repaid, From: int(t.nodes[creditor].parent)}
	}
	lender := t.lender(leaf, priority, cost)
	if lender < 0 {
		return Decision{Verdict: Rejected, Reason: NoCapacity}
	}
	if !topPriority && t.unleased == nil { // leases are already divided fairly: what is left goes to the first that asks
		l := &t.nodes[lender]
		limit := maxAhead(l.own[Requests].tokens / l.own[Requests].cap)
		for i := leaf; i != lender; i = t.nodes[i].parent {
			if child := &t.nodes[i]; child.borrowed-t.nodes[child.parent].fairShare > limit {
				return Decision{Verdict: Rejected, Reason: OverFairShare, From: int(lender)}
			}
		}
	}
	return Decision{Verdict: Borrowed, From: int(lender)}
}

// hasTokens reports whether a node's own bucket covers a call, without what is reserved for higher priorities and,
// if spare is set, without what debtors have repaid to their lenders.
func (t *Tree) hasTokens(n *node, priority int, cost Amount, spare bool) bool {
	reserved, repaid := t.config.Reserved*float64(t.config.Priorities-1-priority), 0.0
	if spare {
		repaid = n.repaid
	}
	for m := range measures {
		if n.own[m].cap > 0 && n.own[m].tokens-reserved*n.own[m].cap-repaid*t.nodes[Root].own[m].rate < cost[m] {
			return false
		}
		if n.own[m].cap == 0 && t.nodes[Root].own[m].cap > 0 && cost[m] > 0 {
			return false // it has no guarantee for a measure that is counted
		}
	}
	return true
}

// checkLimits reports whether the rate limits of a leaf and its ancestors allow more than the guarantee; d is the
// rejection if not.
func (t *Tree) checkLimits(leaf int32, cost Amount) (d Decision, ok bool) {
	for i := leaf; i >= 0; i = t.nodes[i].parent {
		n := &t.nodes[i]
		for m := range measures {
			if n.limit[m].cap > 0 && n.limit[m].tokens < cost[m] {
				return Decision{Verdict: Rejected, Reason: AtRateLimit, From: int(i)}, false
			}
			if n.longLimit[m].cap > 0 && n.longLimit[m].tokens < cost[m] {
				return Decision{Verdict: Rejected, Reason: AtLongLimit, From: int(i)}, false
			}
		}
	}
	return d, true
}

// lender returns the nearest ancestor with enough tokens, -1 if there is none. On the way it records the nodes that
// contend for spare capacity.
func (t *Tree) lender(leaf int32, priority int, cost Amount) int32 {
	for i := leaf; ; {
		n := &t.nodes[i]
		if n.noBorrowing || n.parent < 0 {
			return -1
		}
		t.contend(i)
		i = n.parent
		if t.hasTokens(&t.nodes[i], priority, cost, priority < t.config.Priorities-1) {
			return i
		}
	}
}

// creditor returns the nearest node, from the leaf upwards, whose siblings have repaid enough of their debts to
// cover the call, -1 if there is none. On the way it starts the collection of debts owed to the leaf and its
// ancestors.
func (t *Tree) creditor(leaf int32, priority int, cost Amount) int32 {
	load := t.load(cost)
	for i := leaf; t.nodes[i].parent >= 0 && !t.nodes[i].noBorrowing; i = t.nodes[i].parent {
		n := &t.nodes[i]
		if n.credit < load {
			continue
		}
		parent := &t.nodes[n.parent]
		parent.repayUntil = t.seconds + repaySeconds
		if parent.repaid >= load && t.hasTokens(parent, priority, cost, false) {
			return i
		}
	}
	return -1
}

// load returns the cost of a call in seconds of the root's full rate: the maximum over the measures.
func (t *Tree) load(cost Amount) (load float64) {
	for m := range measures {
		if rate := t.nodes[Root].own[m].rate; rate > 0 {
			load = max(load, cost[m]/rate)
		}
	}
	return load
}

// retryAfter returns the milliseconds after which a rejected caller should retry. The retries of a leaf's rejected
// callers are spaced at its guaranteed rate, with jitter.
func (t *Tree) retryAfter(n *node) float64 {
	rate := max(n.own[Requests].rate*t.capacity, 1/cmp.Or(t.config.MaxRetryAfter, 1))
	n.nextRetry = max(n.nextRetry, t.now) + 1000/rate
	maxWait := t.config.MaxRetryAfter * 1000
	if n.nextRetry > t.now+maxWait {
		n.nextRetry = t.now + maxWait
	}
	return min(maxWait, (n.nextRetry-t.now)*(1-retryJitter+2*retryJitter*t.rand.Float64()))
}

// charge takes the cost of a call from the buckets, or puts it back if sign is -1.
func (t *Tree) charge(g grant, sign float64) {
	for i := g.leaf; i >= 0; i = t.nodes[i].parent {
		n := &t.nodes[i]
		for m := range measures {
			n.limit[m].spend(sign * g.cost[m])
			n.longLimit[m].spend(sign * g.cost[m])
		}
	}
	for i := g.lender; i >= 0; i = t.nodes[i].parent {
		for m := range measures {
			t.nodes[i].own[m].spend(sign * g.cost[m])
		}
	}
	if g.lender == g.leaf {
		return
	}
	load := t.load(g.cost)
	for i := g.leaf; i != g.lender; i = t.nodes[i].parent {
		n := &t.nodes[i]
		p := &t.nodes[n.parent]
		n.borrowed += sign * load / n.weight
		if p.contendingWeight > 0 {
			p.fairShare += sign * load / p.contendingWeight
		}
	}
}

// Refund puts back what was charged for a call that certainly did not run. A charge made by another tree, which
// this one has replaced, is ignored.
func (t *Tree) Refund(now float64, d Decision) {
	if d.Verdict == Rejected || d.grant.tree != t {
		return
	}
	t.advance(now)
	for i := d.grant.leaf; i >= 0; i = t.nodes[i].parent {
		t.refresh(i)
	}
	t.charge(d.grant, -1)
}

// Charged returns the leaf and the cost that a call was charged; the cost is zero if the call was rejected or was
// charged by another tree.
func (t *Tree) Charged(d Decision) (leaf int, cost Amount) {
	if d.Verdict == Rejected || d.grant.tree != t {
		return Root, cost
	}
	return int(d.grant.leaf), d.grant.cost
}
