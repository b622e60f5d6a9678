package quota

import "slices"

// Fraction returns the settings of a tree that has a fraction of every rate. With leases the tree keeps no debts,
// which are kept by the state machine of package lease instead.
func (s Settings) Fraction(fraction float64, leases bool) Settings {
	scale := func(a Amount) Amount { return Amount{a[Requests] * fraction, a[Value] * fraction} }
	s.Root, s.Nodes = scale(s.Root), slices.Clone(s.Nodes)
	for i := range s.Nodes {
		n := &s.Nodes[i]
		n.Guarantee, n.RateLimit, n.LongLimit = scale(n.Guarantee), scale(n.RateLimit), scale(n.LongLimit)
		n.NoLending = n.NoLending || leases
	}
	return s
}

// NodeLease is the load that is leased for a node, as a fraction of what the root of the whole tree can do in a
// second.
type NodeLease struct {
	NodeIndex int
	Load      float64
}

// buckets are the buckets that a node has without a lease.
type buckets struct{ own, limit, longLimit [measures]bucket }

// Lease adds a lease to the rates of the settings, in place of the previous lease; no parts = no lease. rootRates
// is what the root of all nodes can do in a second. maxCost is the maximum cost of one call: a bucket with a rate
// holds at least that much, or else a little capacity on each of many nodes could never be used. Leased capacity
// starts without tokens, and the tokens of capacity that is withdrawn are lost, so that its next holder has no
// more than its lease allows.
func (t *Tree) Lease(now float64, rootRates, maxCost Amount, parts []NodeLease) {
	t.advance(now)
	if t.unleased == nil {
		for i := range t.nodes {
			t.unleased = append(t.unleased, buckets{t.nodes[i].own, t.nodes[i].limit, t.nodes[i].longLimit})
		}
	}
	loads := make([]float64, len(t.nodes))
	for _, p := range parts {
		loads[p.NodeIndex] += p.Load
	}
	for i := len(loads) - 1; i > 0; i-- { // children come after their parents
		loads[t.nodes[i].parent] += loads[i]
	}
	for i := range t.nodes {
		t.refresh(int32(i))
		n, base := &t.nodes[i], &t.unleased[i]
		burst := t.burstSeconds[i]
		reserve := 1 / t.unreserved()
		for m := range measures {
			leased := loads[i] * rootRates[m]
			n.own[m].resize(base.own[m].rate+leased, base.own[m].cap+leased*burst, maxCost[m]*reserve)
			if c := base.limit[m]; c.cap > 0 {
				n.limit[m].resize(c.rate+leased, c.cap+leased*c.cap/c.rate, maxCost[m])
			}
			if c := base.longLimit[m]; c.cap > 0 {
				n.longLimit[m].resize(c.rate+leased, c.cap+leased*c.cap/c.rate, maxCost[m])
			}
		}
		if n.parent >= 0 {
			t.setWeight(n)
		}
	}
}

// resize changes the rate and the cap of a bucket, which must be up to date.
func (b *bucket) resize(rate, size, minSize float64) {
	if rate > 0 {
		size = max(size, minSize)
	}
	b.rate, b.cap = rate, size
	b.tokens = min(max(b.tokens, -size), size)
}

// setWeight sets a node's weight: its fraction of the guarantee of its parent, which must be set already.
func (t *Tree) setWeight(n *node) {
	p := &t.nodes[n.parent]
	weight := minWeight
	if p.own[Requests].rate > 0 {
		weight = max(minWeight, n.own[Requests].rate/p.own[Requests].rate)
	}
	if n.contends {
		p.contendingWeight += weight - n.weight
	}
	n.weight = weight
}
