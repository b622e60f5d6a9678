package quota

import "slices"

// Part gives the settings of a tree that holds a part of every rate. One that goes by leases keeps no debts: the fleet does.
func (s Settings) Part(part float64, leases bool) Settings {
	scale := func(a Amount) Amount { return Amount{a[Requests] * part, a[Worth] * part} }
	s.Root, s.Nodes = scale(s.Root), slices.Clone(s.Nodes)
	for i := range s.Nodes {
		n := &s.Nodes[i]
		n.Guarantee, n.Ceiling, n.Long = scale(n.Guarantee), scale(n.Ceiling), scale(n.Long)
		n.Keep = n.Keep || leases
	}
	return s
}

// Leased is what a lease has of a node, as a part of what the root of the whole fleet can do in a second.
type Leased struct {
	At   int
	Load float64
}

// buckets is what a node has without a lease.
type buckets struct{ own, limit, longLimit [measures]bucket }

// Lease has the tree hold a lease on top of what its settings say, in place of the one before; none with no parts. whole is what
// the fleet's root can do in a second, call the most that one call takes: a bucket holds so much at the least, else what many nodes
// have a little of could never be used. Room that comes begins empty, and what is saved in room that goes is gone, so that
// whoever has that room next has no more than the lease says.
func (b *Book) Lease(now float64, whole, call Amount, parts []Leased) {
	b.advance(now)
	if b.unleased == nil {
		for i := range b.nodes {
			b.unleased = append(b.unleased, buckets{b.nodes[i].own, b.nodes[i].limit, b.nodes[i].longLimit})
		}
	}
	add := make([]float64, len(b.nodes))
	for _, p := range parts {
		add[p.At] += p.Load
	}
	for i := len(add) - 1; i > 0; i-- { // children stand behind their parents
		add[b.nodes[i].parent] += add[i]
	}
	for i := range b.nodes {
		b.refresh(int32(i))
		n, was := &b.nodes[i], &b.unleased[i]
		save := b.burstSeconds[i]
		room := 1 / (1 - b.config.Kept*float64(b.config.Priorities-1))
		for m := range measures {
			more := add[i] * whole[m]
			n.own[m].resize(was.own[m].rate+more, was.own[m].cap+more*save, call[m]*room)
			if c := was.limit[m]; c.cap > 0 {
				n.limit[m].resize(c.rate+more, c.cap+more*c.cap/c.rate, call[m])
			}
			if c := was.longLimit[m]; c.cap > 0 {
				n.longLimit[m].resize(c.rate+more, c.cap+more*c.cap/c.rate, call[m])
			}
		}
		if n.parent >= 0 {
			b.setWeight(n)
		}
	}
}

// resize changes a bucket, whose rate up to now has been filled in.
func (k *bucket) resize(rate, full, least float64) {
	if rate > 0 {
		full = max(full, least)
	}
	k.rate, k.cap = rate, full
	k.tokens = min(max(k.tokens, -full), full)
}

// setWeight gives a node its part of its parent's guarantee, which stands already.
func (b *Book) setWeight(n *node) {
	p := &b.nodes[n.parent]
	weight := minWeight
	if p.own[Requests].rate > 0 {
		weight = max(minWeight, n.own[Requests].rate/p.own[Requests].rate)
	}
	if n.contends {
		p.contendingWeight += weight - n.weight
	}
	n.weight = weight
}
