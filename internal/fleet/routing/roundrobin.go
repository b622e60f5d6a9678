package routing

import (
	"slices"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// pickRoundRobin picks the next backend of decide's weighted round robin that may get the request. Turns of
// backends that may not get it are reported back to decide as not sent.
func (b *Balancer) pickRoundRobin(now time.Duration, request *Request, r decide.Request) *Attempt {
	for range len(b.members) {
		b.sink.found = false
		b.shares.Request(now, r)
		if !b.sink.found {
			return b.pickLastResort(now, request, r)
		}
		m := b.byID[b.sink.chosen]
		attempt := &Attempt{requestID: r.ID, balancerID: b.sink.chosen, sentAt: now}
		if m != nil && !m.avoided(now) && !m.backend.HeartbeatLate && !slices.Contains(request.Exclude, m.backend.ID) {
			attempt.Reason = ReasonRoundRobin
			return b.start(attempt, m, request)
		}
		b.shares.Outcome(now, decide.Outcome{Request: r.ID, Backend: attempt.balancerID, Over: true, Result: decide.NotSent})
		b.lastRequest++
		r.ID = b.lastRequest
	}
	return b.pickLastResort(now, request, r)
}

// pickLastResort picks the usable member with the fewest attempts of this node if the round robin offers none. An
// avoided member is better than none.
func (b *Balancer) pickLastResort(now time.Duration, request *Request, r decide.Request) *Attempt {
	var best *member
	for _, m := range b.sortedMembers() {
		if !m.allowed(request) || !b.shares.Usable(now, m.balancerID) {
			continue
		}
		if best == nil || best.avoided(now) && !m.avoided(now) || best.avoided(now) == m.avoided(now) && m.inFlight < best.inFlight {
			best = m
		}
	}
	if best == nil || !b.shares.Assign(now, r, best.balancerID) {
		return nil
	}
	return b.start(&Attempt{requestID: r.ID, balancerID: best.balancerID, sentAt: now, Reason: ReasonLastResort}, best, request)
}
