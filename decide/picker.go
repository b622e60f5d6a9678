package decide

import (
	"container/heap"
	"time"
)

const (
	maxSkips          = 16  // turns skipped beyond one round in the search for a free backend
	turnLatencyFactor = 1.5 // expected over idle latency up to which a backend takes its turn
)

// pick returns the backend whose turn is next. A backend with an overdue response, or one that another attempt would
// slow down, is skipped. If all are skipped, pick falls back to the backend with the lowest expected latency,
// including its risk penalty, if that is below limit (in seconds). Otherwise it returns nil.
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

// acceptsNow reports whether a backend may get an attempt of a request now: its slow start permits one, be it a
// first attempt, a retry or a hedged request, and it is not ejected for the request's class.
func (b *Balancer) acceptsNow(s *backendState, q *request) bool {
	return b.now >= max(s.slowStartNext, s.classHealth[q.class].ejectedUntil)
}

// advanceTurn moves a backend in the pick queue to its next turn.
func (b *Balancer) advanceTurn(s *backendState) {
	if s.queueIndex >= 0 {
		s.nextPick += 1 / s.share
		heap.Fix(&b.pickQueue, s.queueIndex)
	}
}

// setShare sets a backend's share. The backend keeps its position in the round; a share of 0 removes it.
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

// Usable reports whether a backend may get a request now: it is serving, neither it nor its zone is ejected, and its
// slow start permits a request. Hosts call it before Assign.
func (b *Balancer) Usable(now time.Duration, id BackendID) bool {
	s := b.byID[id]
	if s == nil {
		return false
	}
	b.now = now
	return b.healthy(s) && now >= s.slowStartNext
}

// Share returns a backend's share of the node's load, from 0 to 1; 0 if it gets none.
func (b *Balancer) Share(id BackendID) float64 {
	s := b.byID[id]
	if s == nil || s.queueIndex < 0 {
		return 0
	}
	return s.share
}

// ExpectedLatency returns the learned latency that a backend would have with one more attempt of this node.
func (b *Balancer) ExpectedLatency(id BackendID) time.Duration {
	s := b.byID[id]
	if s == nil {
		return 0
	}
	return seconds(s.latencyWith(float64(s.inFlight) + 1))
}

// pickQueue is a heap of the backends with a share, ordered by the virtual time of their next turn. It implements
// container/heap.Interface and maintains each backend's queueIndex.
type pickQueue []*backendState

func (t pickQueue) Len() int           { return len(t) }
func (t pickQueue) Less(i, j int) bool { return t[i].nextPick < t[j].nextPick }
func (t pickQueue) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].queueIndex, t[j].queueIndex = i, j
}

func (t *pickQueue) Push(x any) {
	s := x.(*backendState)
	s.queueIndex = len(*t)
	*t = append(*t, s)
}

func (t *pickQueue) Pop() any {
	last := len(*t) - 1
	s := (*t)[last]
	s.queueIndex = -1
	*t = (*t)[:last]
	return s
}
