package quota

import "math"

// Status is what a node is about, for people.
type Status struct {
	Name     string  `json:"name"`
	Parent   string  `json:"parent"`
	Leaf     bool    `json:"leaf"`
	Rate     Amount  `json:"rate"`              // guaranteed now, a second: requests, worth
	Tokens   Amount  `json:"tokens"`            // in its bucket; below 0 where it was overdrawn
	Cap      Amount  `json:"cap"`               // of which
	Credit   float64 `json:"credit"`            // requests that its siblings owe it,
	Debt     float64 `json:"debt"`              // and that it owes them
	LentTo   string  `json:"lent_to,omitempty"` // the last that borrowed what it had left
	Going    uint64  `json:"going"`             // calls within its guarantee so far,
	Borrowed uint64  `json:"borrowed"`          // on what others left,
	Paid     uint64  `json:"paid"`              // on what they owed it,
	Refused  uint64  `json:"refused"`
	Reason   string  `json:"reason,omitempty"` // of the last refusal
}

// Status describes one node at a time.
func (b *Book) Status(now float64, i int) Status {
	b.advance(now)
	b.refresh(int32(i))
	n := &b.nodes[i]
	s := Status{Name: b.names[i], Leaf: n.firstChild < 0, Credit: n.credit * b.nodes[Root].own[Requests].rate,
		Debt: n.debt * b.nodes[Root].own[Requests].rate, Going: n.counts[Go], Borrowed: n.counts[Borrowed], Paid: n.counts[Paid],
		Refused: n.counts[Refused], Reason: n.reason.String()}
	if n.parent >= 0 {
		s.Parent = b.names[n.parent]
	}
	if n.lastBorrower >= 0 {
		s.LentTo = b.names[n.lastBorrower]
	}
	for m := range measures {
		s.Rate[m], s.Tokens[m], s.Cap[m] = n.own[m].rate*b.capacity, n.own[m].tokens, n.own[m].cap
	}
	return s
}

// Nodes is how many there are, the root among them.
func (b *Book) Nodes() int { return len(b.nodes) }

// Inherit takes over what a tree that this one replaces knew of the nodes that stay: how full their buckets were, as parts of
// what they can hold, their debts, their counts, and the capacity. Others begin with full buckets. The old tree must not be
// used again.
func (b *Book) Inherit(now float64, old *Book) {
	old.advance(now)
	b.advance(now)
	b.capacity = max(b.config.Floor, min(old.capacity, 1/b.config.Floor))
	for i, name := range b.names {
		j, ok := old.index[name]
		if !ok {
			continue
		}
		old.refresh(int32(j))
		n, o := &b.nodes[i], &old.nodes[j]
		n.credit, n.debt, n.nextRetry = o.credit, min(o.debt, b.maxDebt(n)), o.nextRetry
		n.reason, n.counts = o.reason, o.counts
		for m := range measures {
			inheritLevel(&n.own[m], &o.own[m])
			inheritLevel(&n.limit[m], &o.limit[m])
			inheritLevel(&n.longLimit[m], &o.longLimit[m])
		}
	}
}

func inheritLevel(to, from *bucket) {
	if from.cap > 0 {
		to.tokens = to.cap * math.Max(-1, from.tokens/from.cap)
	}
}

// Balance is how full a node's buckets are, as parts of what they can hold; below 0 where one is overdrawn.
type Balance struct {
	Name    string `json:"name"`
	Own     Amount `json:"own"`
	Ceiling Amount `json:"ceiling"`
	Long    Amount `json:"long"`
}

// Remember gives the balances of the nodes that have not all of their buckets full.
func (b *Book) Remember(now float64) (list []Balance) {
	b.advance(now)
	for i, name := range b.names {
		b.refresh(int32(i))
		n, k, full := &b.nodes[i], Balance{Name: name}, true
		for m := range measures {
			k.Own[m], k.Ceiling[m], k.Long[m] = n.own[m].level(), n.limit[m].level(), n.longLimit[m].level()
			full = full && min(k.Own[m], k.Ceiling[m], k.Long[m]) == 1
		}
		if !full {
			list = append(list, k)
		}
	}
	return list
}

// Recall takes balances that another book of these nodes had age milliseconds ago, an age below 0 counts as 0: no bucket holds more
// than was left in that one and has run in since. Nodes that are not there are left out.
func (b *Book) Recall(now, age float64, list []Balance) {
	b.advance(now)
	seconds := max(0, age) / 1000
	for i := range list {
		at, ok := b.index[list[i].Name]
		if !ok {
			continue
		}
		b.refresh(int32(at))
		n, k := &b.nodes[at], &list[i]
		for m := range measures {
			n.own[m].restore(k.Own[m], seconds)
			n.limit[m].restore(k.Ceiling[m], seconds)
			n.longLimit[m].restore(k.Long[m], seconds)
		}
	}
}

func (b *bucket) level() float64 {
	if b.cap <= 0 {
		return 1
	}
	return b.tokens / b.cap
}

func (b *bucket) restore(part, seconds float64) {
	b.tokens = min(b.tokens, b.cap*max(-1, part)+b.rate*seconds)
}

// Due divides a capacity a second among leaves that ask for so much, see Fluid.Due. It is what the decisions of a Book are
// measured against.
func (b *Book) Due(capacity float64, asked map[int]float64) map[int]float64 {
	f, want := Fluid{}, make([]float64, len(b.nodes))
	for i := range b.nodes {
		f.Add(int(b.nodes[i].parent), b.nodes[i].weight, b.rateLimit(i))
	}
	for i, rate := range asked {
		want[i] += rate
	}
	due, out := f.Due(capacity, want), map[int]float64{}
	for i := range asked {
		out[i] = due[i]
	}
	return out
}

func (b *Book) rateLimit(i int) float64 {
	limit := math.Inf(1)
	for _, c := range []bucket{b.nodes[i].limit[Requests], b.nodes[i].longLimit[Requests]} {
		if c.cap > 0 {
			limit = min(limit, c.rate)
		}
	}
	if n := &b.nodes[i]; n.noBorrowing {
		limit = min(limit, n.own[Requests].rate)
	}
	return limit
}

// Parent is the place of the node that holds another, -1 for the root.
func (b *Book) Parent(node int) int { return int(b.nodes[node].parent) }

// Loads are a node's rates as parts of the root's, each the least of all measures: what all that the root can do in a second is
// to a call's load. +Inf = no such limit.
type Loads struct{ Guarantee, Ceiling, Long float64 }

// Loads describes a node at full capacity.
func (b *Book) Loads(i int) Loads {
	n, l := &b.nodes[i], Loads{math.Inf(1), math.Inf(1), math.Inf(1)}
	for m := range measures {
		root := b.nodes[Root].own[m].rate
		if root <= 0 {
			continue
		}
		l.Guarantee = min(l.Guarantee, n.own[m].rate/root)
		if n.limit[m].cap > 0 {
			l.Ceiling = min(l.Ceiling, n.limit[m].rate/root)
		}
		if n.longLimit[m].cap > 0 {
			l.Long = min(l.Long, n.longLimit[m].rate/root)
		}
	}
	return l
}

// Ways tells whether a node lends, and whether it borrows.
func (b *Book) Ways(i int) (lends, borrows bool) {
	return !b.nodes[i].noLending, !b.nodes[i].noBorrowing
}
