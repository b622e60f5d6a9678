package quota

import "math"

// Inherit copies the state of the tree that this one replaces, for the nodes that both trees have: the levels of
// their buckets, their debts and counts, and the capacity. Other nodes start with full buckets. The old tree must
// not be used again.
func (t *Tree) Inherit(now float64, old *Tree) {
	old.advance(now)
	t.advance(now)
	t.capacity = max(t.config.Floor, min(old.capacity, 1/t.config.Floor))
	for index, name := range t.names {
		oldIndex, ok := old.index[name]
		if !ok {
			continue
		}
		old.refresh(int32(oldIndex))
		to, from := &t.nodes[index], &old.nodes[oldIndex]
		to.credit, to.debt, to.nextRetry = from.credit, min(from.debt, t.maxDebt(to)), from.nextRetry
		to.reason, to.counts = from.reason, from.counts
		for m := range measures {
			inheritLevel(&to.own[m], &from.own[m])
			inheritLevel(&to.limit[m], &from.limit[m])
			inheritLevel(&to.longLimit[m], &from.longLimit[m])
		}
	}
}

// inheritLevel sets a bucket to the level of another bucket, but to at least -1.
func inheritLevel(to, from *bucket) {
	if from.cap > 0 {
		to.tokens = to.cap * math.Max(-1, from.tokens/from.cap)
	}
}

// Balance holds the levels of a node's buckets, as fractions of their caps; negative where one is overdrawn.
type Balance struct {
	Name      string `json:"name"`
	Own       Amount `json:"own"`
	RateLimit Amount `json:"ceiling"`
	LongLimit Amount `json:"long"`
}

// Balances returns the balances of the nodes whose buckets are not all full.
func (t *Tree) Balances(now float64) (balances []Balance) {
	t.advance(now)
	for i, name := range t.names {
		t.refresh(int32(i))
		n, balance, full := &t.nodes[i], Balance{Name: name}, true
		for m := range measures {
			balance.Own[m], balance.RateLimit[m], balance.LongLimit[m] = n.own[m].level(), n.limit[m].level(), n.longLimit[m].level()
			full = full && min(balance.Own[m], balance.RateLimit[m], balance.LongLimit[m]) == 1
		}
		if !full {
			balances = append(balances, balance)
		}
	}
	return balances
}

// RestoreBalances restores the balances that another tree with these nodes had age milliseconds ago; a negative
// age counts as 0. No bucket holds more than was left then plus what has been filled in since. Balances of unknown
// nodes are ignored.
func (t *Tree) RestoreBalances(now, age float64, balances []Balance) {
	t.advance(now)
	seconds := max(0, age) / 1000
	for i := range balances {
		index, ok := t.index[balances[i].Name]
		if !ok {
			continue
		}
		t.refresh(int32(index))
		n, balance := &t.nodes[index], &balances[i]
		for m := range measures {
			n.own[m].restore(balance.Own[m], seconds)
			n.limit[m].restore(balance.RateLimit[m], seconds)
			n.longLimit[m].restore(balance.LongLimit[m], seconds)
		}
	}
}

// level returns how full the bucket is, as a fraction of its cap; 1 for one without a cap.
func (b *bucket) level() float64 {
	if b.cap <= 0 {
		return 1
	}
	return b.tokens / b.cap
}

// restore limits the bucket to a level plus what has been filled in during the seconds since.
func (b *bucket) restore(level, seconds float64) {
	b.tokens = min(b.tokens, b.cap*max(-1, level)+b.rate*seconds)
}
