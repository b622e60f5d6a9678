package decide

import (
	"slices"
	"time"
)

const (
	retryTokensPerRequest = .2   // retry tokens earned by a first attempt
	maxRetryTokens        = 10.0 // capacity of the retry token bucket
)

func (b *Balancer) earnRetryTokens() {
	b.retryTokens = min(b.retryTokens+retryTokensPerRequest, maxRetryTokens)
}

// retry starts another attempt of a request and reports whether it could.
func (b *Balancer) retry(q *request) bool {
	s := b.pickRetry(q)
	if s == nil {
		return false
	}
	b.retryTokens--
	b.send(q, s)
	return true
}

// pickRetry returns the backend for another attempt: the one whose turn comes first among those that can respond in
// time. It returns nil if the class's effect, the time left, the retry budget or the state of the fleet permits
// none. The budget keeps retries from amplifying a fault.
func (b *Balancer) pickRetry(q *request) *backendState {
	c := &b.classes[q.class]
	if q.rejected || c.Effect == Unsafe && q.mayHaveRun || b.retryTokens < 1 ||
		len(q.attempts) >= b.settings.Limits.MaxAttempts {
		return nil
	}
	left := min(q.deadline, q.arrived+c.Target) - b.now
	var best *backendState
	for _, s := range b.backends {
		// A request bound to a group may also go to a warm backend of the group outside this node's subset.
		bound := c.Effect == Keyed && c.Group != GroupAll && q.mayHaveRun
		candidate := s.queueIndex >= 0 || bound && b.healthy(s) && b.capacityFraction(s) >= 1
		if !candidate || s.overdue > 0 || !b.acceptsNow(s, q) || !b.mayRetryOn(q, s) {
			continue
		}
		if (best == nil || s.nextPick < best.nextPick) && s.latencyWith(float64(s.inFlight)+1)*q.work < left.Seconds() {
			best = s
		}
	}
	if best != nil {
		b.advanceTurn(best)
	}
	return best
}

// mayRetryOn reports whether a request may be sent to a backend given its earlier attempts: never twice to the same
// one, and a keyed request only within the group that drops duplicates, for its KeyTTL after the first attempt that
// has run or may yet run.
func (b *Balancer) mayRetryOn(q *request, s *backendState) bool {
	if slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.backend == s }) {
		return false
	}
	c, i := &b.classes[q.class], slices.IndexFunc(q.attempts, func(a attempt) bool { return a.open || a.mayHaveRun })
	if c.Effect != Keyed || i < 0 {
		return true
	}
	first := q.attempts[i].backend
	deduplicated := c.Group == GroupAll || s.Zone == first.Zone && (c.Group == GroupZone || s.Cell == first.Cell)
	return deduplicated && b.now < q.attempts[i].sentAt+c.KeyTTL
}

// sweepOverdue marks attempts that should have been answered by now. They are evidence against their backend before
// any timeout, and there may be time left for another backend to respond.
func (b *Balancer) sweepOverdue() {
	for i := range b.classes {
		c := &b.classes[i]
		limit := b.overdueAfter(c)
		for c.unansweredHead < len(c.unanswered) {
			next := c.unanswered[c.unansweredHead]
			q := b.requests[next.id]
			if q != nil && next.attempt < len(q.attempts) && q.attempts[next.attempt].open {
				if q.attempts[next.attempt].sentAt+limit > b.now {
					break
				}
				b.markOverdue(q, next.attempt)
			}
			c.unansweredHead++
		}
		if c.unansweredHead == len(c.unanswered) || c.unansweredHead > 64 && 2*c.unansweredHead > len(c.unanswered) {
			c.unanswered, c.unansweredHead = c.unanswered[:copy(c.unanswered, c.unanswered[c.unansweredHead:])], 0
		}
	}
}

// overdueAfter returns the time after which an attempt of a class is overdue: the last moment that leaves time for
// another backend, but at least twice the mean latency.
func (b *Balancer) overdueAfter(c *class) time.Duration {
	if c.sampleCount < 1 {
		return c.Target / 2
	}
	mean := c.latencySum / c.sampleCount
	return seconds(max(2*mean, c.Target.Seconds()-2*mean))
}

// markOverdue marks attempt n of a request as overdue, and hedges the request if a second attempt is permitted.
func (b *Balancer) markOverdue(q *request, n int) {
	a := &q.attempts[n]
	a.overdue = true
	a.backend.overdue++
	b.newOverdue++
	if b.indicatesSlowness(q, a) {
		b.recordLatency(a.backend, a, (b.now-a.sentAt).Seconds()/q.work)
	}
	c := &b.classes[q.class]
	mayCopy := b.settings.Limits.Hedging && (c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll)
	lost := a.backend.classHealth[q.class].lastResponse <= a.sentAt || a.backend.newestAnswered > a.sentAt // otherwise it may just be queued
	if mayCopy && lost && !q.closed && !q.streamStarted && q.openAttempts == 1 {
		b.retry(q)
	}
}

// indicatesSlowness reports whether a missing response indicates that the backend is slow. It does not if the
// backend answers no attempts of the class, or has answered an attempt that was sent later: then this response is
// lost.
func (b *Balancer) indicatesSlowness(q *request, a *attempt) bool {
	return a.backend.classHealth[q.class].ejections == 0 && a.backend.newestAnswered <= a.sentAt
}
