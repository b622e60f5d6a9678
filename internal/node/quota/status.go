package quota

import "math"

// Status is the state of a node, for operators.
type Status struct {
	Name       string  `json:"name"`
	Parent     string  `json:"parent"`
	Leaf       bool    `json:"leaf"`
	Rate       Amount  `json:"rate"`              // current guarantee per second: requests, value
	Tokens     Amount  `json:"tokens"`            // in its bucket; negative if the bucket is overdrawn
	Cap        Amount  `json:"cap"`               // of its bucket
	Credit     float64 `json:"credit"`            // requests that its siblings owe it
	Debt       float64 `json:"debt"`              // requests that it owes them
	LentTo     string  `json:"lent_to,omitempty"` // the last sibling that borrowed from it
	Guaranteed uint64  `json:"going"`             // number of calls admitted within its guarantee
	Borrowed   uint64  `json:"borrowed"`          // admitted with borrowed capacity
	Repaid     uint64  `json:"paid"`              // admitted with capacity that was repaid to it
	Rejected   uint64  `json:"refused"`           // rejected
	Reason     string  `json:"reason,omitempty"`  // of the last rejection
}

// Status returns the state of one node.
func (t *Tree) Status(now float64, i int) Status {
	t.advance(now)
	t.refresh(int32(i))
	n := &t.nodes[i]
	s := Status{Name: t.names[i], Leaf: n.firstChild < 0, Credit: n.credit * t.nodes[Root].own[Requests].rate,
		Debt: n.debt * t.nodes[Root].own[Requests].rate, Guaranteed: n.counts[WithinGuarantee], Borrowed: n.counts[Borrowed], Repaid: n.counts[Repaid],
		Rejected: n.counts[Rejected], Reason: n.reason.String()}
	if n.parent >= 0 {
		s.Parent = t.names[n.parent]
	}
	if n.lastBorrower >= 0 {
		s.LentTo = t.names[n.lastBorrower]
	}
	for m := range measures {
		s.Rate[m], s.Tokens[m], s.Cap[m] = n.own[m].rate*t.capacity, n.own[m].tokens, n.own[m].cap
	}
	return s
}

// Nodes returns the number of nodes, with the root.
func (t *Tree) Nodes() int { return len(t.nodes) }

// Parent returns the index of the parent of a node, -1 for the root.
func (t *Tree) Parent(node int) int { return int(t.nodes[node].parent) }

// Loads are the rates of a node as fractions of the root's rates, each the minimum over the measures: what the
// root can do in a second is a load of 1. +Inf = no such limit.
type Loads struct{ Guarantee, RateLimit, LongLimit float64 }

// Loads returns the loads of a node at full capacity.
func (t *Tree) Loads(i int) Loads {
	n, l := &t.nodes[i], Loads{math.Inf(1), math.Inf(1), math.Inf(1)}
	for m := range measures {
		root := t.nodes[Root].own[m].rate
		if root <= 0 {
			continue
		}
		l.Guarantee = min(l.Guarantee, n.own[m].rate/root)
		if n.limit[m].cap > 0 {
			l.RateLimit = min(l.RateLimit, n.limit[m].rate/root)
		}
		if n.longLimit[m].cap > 0 {
			l.LongLimit = min(l.LongLimit, n.longLimit[m].rate/root)
		}
	}
	return l
}

// Sharing reports whether a node lends, and whether it borrows.
func (t *Tree) Sharing(i int) (lends, borrows bool) {
	return !t.nodes[i].noLending, !t.nodes[i].noBorrowing
}

// FairRates divides a capacity, in requests per second, among leaves with the given requested rates, see
// Fluid.Allocate. The decisions of a tree are compared with it.
func (t *Tree) FairRates(capacity float64, requested map[int]float64) map[int]float64 {
	f, want := Fluid{}, make([]float64, len(t.nodes))
	for i := range t.nodes {
		f.Add(int(t.nodes[i].parent), t.nodes[i].weight, t.rateLimit(i))
	}
	for i, rate := range requested {
		want[i] += rate
	}
	due, out := f.Allocate(capacity, want), map[int]float64{}
	for i := range requested {
		out[i] = due[i]
	}
	return out
}

// rateLimit returns the lowest limit of a node, in requests per second; +Inf if it has none.
func (t *Tree) rateLimit(i int) float64 {
	limit := math.Inf(1)
	for _, c := range []bucket{t.nodes[i].limit[Requests], t.nodes[i].longLimit[Requests]} {
		if c.cap > 0 {
			limit = min(limit, c.rate)
		}
	}
	if n := &t.nodes[i]; n.noBorrowing {
		limit = min(limit, n.own[Requests].rate)
	}
	return limit
}
