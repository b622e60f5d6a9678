package decide

// This file takes requests in: those that the Balancer places, and those that its host has placed itself because it knows
// something that the curves do not tell, such as which backend has a request's data at hand.

import (
	"cmp"
	"container/heap"
	"time"
)

// openRequest notes a request that has arrived; nil where it cannot be taken.
func (b *Balancer) openRequest(now time.Duration, r *Request) *request {
	b.now = now
	if r.Class < 0 || r.Class >= len(b.classes) || b.requests[r.ID] != nil {
		return nil
	}
	q := b.newRequest()
	*q = request{id: r.ID, class: r.Class, work: b.classes[r.Class].work, arrived: now, deadline: r.Deadline,
		attempts: q.attempts[:0]}
	if mean := &b.classes[r.Class].meanCost; r.Cost > 0 { // a hint tells a heavy request from a light one
		*mean = cmp.Or(*mean, r.Cost)*(1-costSmoothing) + r.Cost*costSmoothing
		q.work *= max(0.1, min(r.Cost / *mean, 10))
	}
	b.requests[r.ID] = q
	b.arrivedWork += q.work
	return q
}

// Placed takes a request that the host places at a backend. It is sent, learned from and counted as any other, and takes
// the backend's next turn. Where the backend may get nothing now it tells false, and nothing has happened.
func (b *Balancer) Placed(now time.Duration, r Request, to BackendID) bool {
	s := b.byID[to]
	if s == nil || !b.Usable(now, to) {
		return false
	}
	q := b.openRequest(now, &r)
	if q == nil {
		return false
	}
	if s.queueIndex >= 0 {
		s.nextPick += 1 / s.share
		heap.Fix(&b.pickQueue, s.queueIndex)
	}
	b.retryTokens = min(b.retryTokens+retryTokensPerRequest, maxRetryTokens)
	b.send(q, s)
	return true
}

// Usable tells whether a backend may get a request now: it serves, is not away, and owes no overdue answer.
func (b *Balancer) Usable(now time.Duration, id BackendID) bool {
	s := b.byID[id]
	if s == nil {
		return false
	}
	b.now = now
	return b.healthy(s) && now >= s.slowStartNext
}

// Share is a backend's share of the node's load, 0 where it has no turns.
func (b *Balancer) Share(id BackendID) float64 {
	s := b.byID[id]
	if s == nil || s.queueIndex < 0 {
		return 0
	}
	return s.share
}

// Expected is the learned latency of a backend with one more request of ours.
func (b *Balancer) Expected(id BackendID) time.Duration {
	s := b.byID[id]
	if s == nil {
		return 0
	}
	return seconds(s.latencyWith(float64(s.inFlight) + 1))
}
