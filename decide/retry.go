package decide

import (
	"slices"
	"time"
)

const (
	retryTokensPerRequest = .2   // retries that a first attempt earns
	maxRetryTokens        = 10.0 // retries that can be saved up
)

// earnRetryTokens adds to the retry budget for a first attempt.
func (b *Balancer) earnRetryTokens() {
	b.retryTokens = min(b.retryTokens+retryTokensPerRequest, maxRetryTokens)
}

// retry starts a further attempt of a request and tells whether it could.
func (b *Balancer) retry(q *request) bool {
	s := b.pickRetry(q)
	if s == nil {
		return false
	}
	b.retryTokens--
	b.send(q, s)
	return true
}

// pickRetry returns the backend for a further attempt: the one whose turn comes first among those that can answer in time.
// It returns nil where the effect of the class, the time left, the retry budget or the fleet permits none. The budget
// keeps retries from amplifying a fault.
func (b *Balancer) pickRetry(q *request) *backendState {
	c := &b.classes[q.class]
	if q.rejected || c.Effect == Unsafe && q.mayHaveRun || b.retryTokens < 1 ||
		len(q.attempts) >= b.settings.Limits.MaxAttempts {
		return nil
	}
	left := min(q.deadline, q.arrived+c.Target) - b.now
	var best *backendState
	for _, s := range b.backends {
		// A request bound to a group may go to a warm backend of the group that is outside this node's subset.
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

// mayRetryOn tells whether a request may be sent to a backend after its earlier attempts: never twice to one, and a keyed
// request only within the group that drops duplicates, for as long as it does so after the first attempt that has run or may
// yet run.
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

// sweepOverdue marks attempts that should have been answered by now. They are evidence against their backend before any
// time-out, and where there is time left another backend may still answer.
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

// overdueAfter is how long after it was sent an attempt of a class is overdue: at the last moment that leaves time for
// another backend, but not before twice the mean latency.
func (b *Balancer) overdueAfter(c *class) time.Duration {
	if c.sampleCount < 1 {
		return c.Target / 2
	}
	mean := c.latencySum / c.sampleCount
	return seconds(max(2*mean, c.Target.Seconds()-2*mean))
}

// markOverdue marks attempt n of a request as overdue, and hedges the request where a second copy is permitted.
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
	lost := a.backend.classHealth[q.class].lastResponse <= a.sentAt || a.backend.newestAnswered > a.sentAt // else it may only be queued
	if mayCopy && lost && !q.closed && !q.streamStarted && q.openAttempts == 1 {
		b.retry(q)
	}
}

// indicatesSlowness tells whether an attempt without a response says that its backend is slow: not if the class gets no
// responses there, nor if an attempt that was sent later was answered, for then this response is lost.
func (b *Balancer) indicatesSlowness(q *request, a *attempt) bool {
	return a.backend.classHealth[q.class].ejections == 0 && a.backend.newestAnswered <= a.sentAt
}
