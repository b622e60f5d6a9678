package decide

import (
	"container/heap"
	"time"
)

const (
	maxSkips          = 16  // turns passed over beyond one round in search of a free backend
	turnLatencyFactor = 1.5 // expected latency over idle latency up to which a backend takes its turn
)

// pick returns the backend of the next turn. A backend that owes an overdue response, or that one more attempt would slow
// down, passes its turn. Where all do, pick falls back to the backend with the lowest expected latency, penalties
// included, if that is below limit (seconds), else it returns nil and the request is rejected.
func (b *Balancer) pick(q *request, limit float64) *backendState {
	for i := 0; len(b.pickQueue) > 0 && i < len(b.pickQueue)+maxSkips; i++ {
		s := b.pickQueue[0]
		b.virtualTime = s.nextPick
		b.advanceTurn(s)
		free := s.overdue == 0 && s.latencyWith(float64(s.inFlight)+1) <= turnLatencyFactor*s.slowdown*s.model.idleLatency
		if free && b.acceptsNow(s, q) {
			return s
		}
	}
	var best *backendState
	minLatency := limit
	for _, s := range b.pickQueue {
		if latency := s.latencyWith(float64(s.inFlight)+1) + s.riskPenalty; latency < minLatency && b.acceptsNow(s, q) {
			best, minLatency = s, latency
		}
	}
	return best
}

// acceptsNow tells whether a backend may get an attempt of a request now: its slow start permits one, whichever attempt it
// is, and it is not ejected for the request's class.
func (b *Balancer) acceptsNow(s *backendState, q *request) bool {
	return b.now >= max(s.slowStartNext, s.classHealth[q.class].ejectedUntil)
}

// advanceTurn moves a backend behind its next turn, if it has any.
func (b *Balancer) advanceTurn(s *backendState) {
	if s.queueIndex >= 0 {
		s.nextPick += 1 / s.share
		heap.Fix(&b.pickQueue, s.queueIndex)
	}
}

// setShare sets a backend's share. It keeps its place in the round; a share of 0 takes it out.
func (b *Balancer) setShare(s *backendState, share float64) {
	if share <= 1e-9 {
		s.share = 0
		if s.queueIndex >= 0 {
			heap.Remove(&b.pickQueue, s.queueIndex)
		}
		return
	}
	if s.queueIndex >= 0 {
		s.nextPick = b.virtualTime + max(0, s.nextPick-b.virtualTime)*s.share/share
	} else {
		s.nextPick = b.virtualTime + b.random.Float64()/share
		heap.Push(&b.pickQueue, s)
	}
	s.share = share
}

// Usable tells whether a backend may get a request now: it is serving, neither it nor its zone is ejected, and its slow
// start permits one. Hosts call it before Placed.
func (b *Balancer) Usable(now time.Duration, id BackendID) bool {
	s := b.byID[id]
	if s == nil {
		return false
	}
	b.now = now
	return b.healthy(s) && now >= s.slowStartNext
}

// Share is a backend's share of the node's load, from 0 to 1; 0 where it gets none.
func (b *Balancer) Share(id BackendID) float64 {
	s := b.byID[id]
	if s == nil || s.queueIndex < 0 {
		return 0
	}
	return s.share
}

// ExpectedLatency is the latency that a backend would have with one more attempt of this node, as learned so far.
func (b *Balancer) ExpectedLatency(id BackendID) time.Duration {
	s := b.byID[id]
	if s == nil {
		return 0
	}
	return seconds(s.latencyWith(float64(s.inFlight) + 1))
}

// pickQueue is a heap of the backends with a share, by the virtual time of their next turn. It implements
// container/heap.Interface and keeps each backend's queueIndex.
type pickQueue []*backendState

func (t pickQueue) Len() int           { return len(t) }
func (t pickQueue) Less(i, j int) bool { return t[i].nextPick < t[j].nextPick }
func (t pickQueue) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].queueIndex, t[j].queueIndex = i, j
}

// Push appends a backend; for container/heap only.
func (t *pickQueue) Push(x any) {
	s := x.(*backendState)
	s.queueIndex = len(*t)
	*t = append(*t, s)
}

// Pop removes the last backend; for container/heap only.
func (t *pickQueue) Pop() any {
	last := len(*t) - 1
	s := (*t)[last]
	s.queueIndex = -1
	*t = (*t)[:last]
	return s
}
