package decide

import (
	"container/heap"
	"math"
	"time"
)

const (
	minEjection         = time.Second      // first ejection of a faulty backend; each further one is twice as long
	maxEjection         = 16 * time.Second // longest ejection
	riskDeviations      = 1.5              // standard deviations of a failure rate that are taken for chance
	timeoutChance       = 2e-4             // time-outs in a row less likely than this at the usual rate are a fault
	failureChance       = 2e-4             // failures in a row less likely than this at the usual rate are a fault
	maxMinorityFailures = 4.0              // more failures than so many are a fault if they are more than half of all
	minFailureRate      = 0.01             // lowest failure rate that is taken to be usual
	zoneFailureLimit    = 4                // failures without a response after which a zone counts as unreachable
)

// recordResponse records a response: its latency for the curves, and that backend, class and zone are healthy.
func (b *Balancer) recordResponse(q *request, a *attempt, latency time.Duration) {
	c, s := &b.classes[q.class], a.backend
	measured := max(latency.Seconds(), 1e-6)
	c.sampleCount, c.latencySum = c.sampleCount+1, c.latencySum+measured*c.work/q.work
	b.recordLatency(s, a, measured/q.work)
	b.responses++
	b.newResponses++
	if b.capacityFraction(s) >= 1 {
		b.warmServedWork += q.work
	}
	s.ejections, s.consecutiveTimeouts, s.consecutiveFailures, s.ejected, s.inTrial = 0, 0, 0, false, false
	s.responses++
	s.newestAnswered = max(s.newestAnswered, a.sentAt)
	s.classHealth[q.class] = classHealth{lastResponse: b.now}
	b.zones[s.Zone] = zoneHealth{lastResponse: b.now}
}

// recordFailure records an attempt that ended without a response, and ejects its backend, class or zone where that is more
// than chance explains.
func (b *Balancer) recordFailure(q *request, a *attempt, o *Outcome) {
	s := a.backend
	if o.Result.MayHaveRun() && o.Result != Cancelled {
		b.recordClassFailure(&s.classHealth[q.class], a)
	}
	switch o.Result {
	case NotSent, Cancelled:
		s.inTrial = false
		return
	case InvalidRequest: // the backend is up and answers; what it was sent is of no use to any other one
		q.rejected = true
		s.ejections, s.consecutiveFailures, s.ejected, s.inTrial = 0, 0, false, false
		return
	case Failed, Reset, ConnectFailed, Overloaded: // a single failure may happen at any backend
		if s.consecutiveFailures++; o.Result != Overloaded {
			s.failures++
			b.failures++
		}
		if !s.ejected && !b.isFaulty(s) {
			return
		}
	case TimedOut:
		if unresponsive := b.recordTimeout(q, a, o.Latency); !s.ejected && !unresponsive {
			return
		}
	}
	if o.Result != Overloaded && o.Result != Failed && s.Zone != b.settings.Zone {
		b.recordZoneFailure(s.Zone)
	}
	b.eject(s)
}

// recordClassFailure records that a backend left an attempt of a class without a response. Too many in a row eject the
// backend for this class alone.
func (b *Balancer) recordClassFailure(h *classHealth, a *attempt) {
	if a.sentAt < h.lastFailure { // sent before the last one ended: the same outage
		return
	}
	h.consecutiveFailures, h.lastFailure = h.consecutiveFailures+1, b.now
	if math.Pow(b.usualFailureRate(), h.consecutiveFailures) < timeoutChance {
		h.ejectedUntil = b.now + b.scaled(1, ejectionTime(h.ejections))
		h.ejections++
	}
}

// recordTimeout records that an attempt was given up after latency. It tells whether its backend has become unresponsive:
// the time-outs in a row are more than any backend might have just now.
func (b *Balancer) recordTimeout(q *request, a *attempt, latency time.Duration) (unresponsive bool) {
	s := a.backend
	if s.classHealth[q.class].ejections == 0 {
		s.timeouts++
	}
	if b.indicatesSlowness(q, a) { // the latency it would have had is unknown, so it counts as a drop
		b.recordLatency(s, a, max(latency.Seconds()/q.work, 2*dropFactor*s.model.idleLatency))
	}
	b.timeouts++
	if a.sentAt >= s.lastTimeout { // attempts sent before the last time-out are part of the same backlog
		s.consecutiveTimeouts, s.lastTimeout = s.consecutiveTimeouts+1, b.now
	}
	usual := max(minFailureRate, b.timeouts/(b.timeouts+b.responses+1))
	return math.Pow(usual, float64(s.consecutiveTimeouts)) <= timeoutChance
}

// recordZoneFailure records a failed connection to another zone, and ejects the zone once none of several got through.
func (b *Balancer) recordZoneFailure(number int) {
	z := &b.zones[number]
	z.failures++
	if z.failures >= zoneFailureLimit && b.now >= z.ejectedUntil && (b.now-z.lastResponse).Seconds() > b.latencyTarget {
		z.ejectedUntil = b.now + b.scaled(1, minEjection<<min(z.ejections, 3))
		z.ejections++
		z.failures = 0
		b.actions.Log("zone " + b.settings.Zones[number] + " does not answer: nothing is sent there for a while")
		b.solve()
	}
}

// usualFailureRate is the fraction of attempts at all backends that recently brought no response.
func (b *Balancer) usualFailureRate() float64 {
	return max(minFailureRate, (b.timeouts+b.failures)/(b.timeouts+b.failures+b.responses+1))
}

// isFaulty tells whether a backend is better ejected: it fails in a row beyond chance, or mostly. One that fails now and
// then, even more often than others, still does useful work; its risk penalty accounts for that.
func (b *Balancer) isFaulty(s *backendState) bool {
	otherAttempts, attempts := b.responses+b.failures-s.responses-s.failures, s.responses+s.failures
	usual := max(minFailureRate, (b.failures-s.failures)/(otherAttempts+1/minFailureRate), (s.failures-s.consecutiveFailures)/(attempts+1))
	return math.Pow(usual, s.consecutiveFailures) < failureChance || s.failures > max(maxMinorityFailures, attempts/2)
}

// failureRisk is the fraction of a backend's attempts that bring no response, beyond the usual and what chance explains.
func (b *Balancer) failureRisk(s *backendState) float64 {
	attempts := s.responses + s.timeouts + s.failures + 1
	usual := b.usualFailureRate()
	return max(0, (s.timeouts+s.failures)/attempts-usual-riskDeviations*math.Sqrt(usual/attempts))
}

// eject takes a backend out of the pick queue for a random time around its ejection time.
func (b *Balancer) eject(s *backendState) {
	if s.ejected && !s.inTrial { // attempts sent before the ejection are no new evidence
		return
	}
	s.inTrial = false
	s.ejectedUntil = b.now + b.scaled(0.75+b.random.Float64()/2, ejectionTime(s.ejections))
	s.ejections++
	s.ejected = true
	if s.queueIndex >= 0 {
		heap.Remove(&b.pickQueue, s.queueIndex)
	}
}

// ejectionTime is how long something is ejected that has been ejected so often in a row before.
func ejectionTime(ejections int) time.Duration {
	return min(minEjection<<min(ejections, 10), maxEjection)
}

// pickTrial gives a request of the cheapest class to a backend whose ejection has ended, to see whether it has recovered:
// one at a time, so that a backend that accepts work and never answers gets little of it.
func (b *Balancer) pickTrial(q *request) *backendState {
	for q.class == b.trialClass && len(b.trialQueue) > 0 {
		s := b.trialQueue[len(b.trialQueue)-1]
		b.trialQueue = b.trialQueue[:len(b.trialQueue)-1]
		if s.State == Serving && s.ejected && !s.inTrial && s.inFlight == 0 && b.capacityFraction(s) >= 1 {
			s.inTrial = true
			return s
		}
	}
	return nil
}

// eligible tells whether a backend may get a share: it is healthy and in the subset. A backend whose ejection has ended is
// queued for a trial.
func (b *Balancer) eligible(s *backendState) bool {
	if s.ejected && b.now >= s.ejectedUntil && !s.inTrial && s.State == Serving && len(b.trialQueue) < 2*len(b.backends) {
		b.trialQueue = append(b.trialQueue, s)
	}
	return b.healthy(s) && b.inSubset(s)
}

// healthy tells whether a backend serves and neither it nor its zone is ejected.
func (b *Balancer) healthy(s *backendState) bool {
	return s.State == Serving && !s.ejected && b.now >= b.zones[s.Zone].ejectedUntil
}

// Probed handles the result of a health check. It is ignored: a Balancer asks for none yet.
func (b *Balancer) Probed(now time.Duration, _ Outcome) { b.now = now }
