package decide

import (
	"container/heap"
	"math"
	"time"
)

const (
	minEjection         = time.Second      // first ejection of a faulty backend; each further one in a row is twice as long
	maxEjection         = 16 * time.Second // maximum
	riskDeviations      = 1.5              // standard deviations of a failure rate that count as chance
	timeoutChance       = 2e-4             // a run of timeouts less likely than this at the usual rate is a fault
	failureChance       = 2e-4             // a run of failures less likely than this at the usual rate is a fault
	maxMinorityFailures = 4.0              // more failures than this are a fault if they are more than half of the attempts
	minFailureRate      = 0.01             // lower bound of the usual failure rate
	zoneFailureLimit    = 4                // failures without a response in between after which a zone counts as unreachable
)

// recordResponse records a response: its latency for the curves, and that the backend, class and zone are healthy.
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

// recordFailure records an attempt that ended without a response. It ejects the backend, its class or its zone if
// chance does not explain the failures.
func (b *Balancer) recordFailure(q *request, a *attempt, o *Outcome) {
	s := a.backend
	if o.Result.MayHaveRun() && o.Result != Cancelled {
		b.recordClassFailure(&s.classHealth[q.class], a)
	}
	switch o.Result {
	case NotSent, Cancelled:
		s.inTrial = false
		return
	case InvalidRequest: // the backend is healthy; no other backend would accept the request either
		q.rejected = true
		s.ejections, s.consecutiveFailures, s.ejected, s.inTrial = 0, 0, false, false
		return
	case Failed, Reset, ConnectFailed, Overloaded: // a single failure can happen at any backend
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

// recordClassFailure records an attempt without a response. Too many in a row eject the backend for this class only.
func (b *Balancer) recordClassFailure(h *classHealth, a *attempt) {
	if a.sentAt < h.lastFailure { // sent before the last failed one ended: the same outage
		return
	}
	h.consecutiveFailures, h.lastFailure = h.consecutiveFailures+1, b.now
	if math.Pow(b.usualFailureRate(), h.consecutiveFailures) < timeoutChance {
		h.ejectedUntil = b.now + b.scaled(1, ejectionTime(h.ejections))
		h.ejections++
	}
}

// recordTimeout records that an attempt was abandoned after latency. It reports whether its backend has become
// unresponsive: it had more timeouts in a row than chance explains at the present rate of timeouts of all backends.
func (b *Balancer) recordTimeout(q *request, a *attempt, latency time.Duration) (unresponsive bool) {
	s := a.backend
	if s.classHealth[q.class].ejections == 0 {
		s.timeouts++
	}
	if b.indicatesSlowness(q, a) { // its true latency is unknown, so it counts as a dropped request
		b.recordLatency(s, a, max(latency.Seconds()/q.work, 2*dropFactor*s.model.idleLatency))
	}
	b.timeouts++
	if a.sentAt >= s.lastTimeout { // attempts sent before the last timeout belong to the same backlog
		s.consecutiveTimeouts, s.lastTimeout = s.consecutiveTimeouts+1, b.now
	}
	usual := max(minFailureRate, b.timeouts/(b.timeouts+b.responses+1))
	return math.Pow(usual, float64(s.consecutiveTimeouts)) <= timeoutChance
}

// recordZoneFailure records a failed attempt in another zone, and ejects the zone after several without a response.
func (b *Balancer) recordZoneFailure(number int) {
	z := &b.zones[number]
	z.failures++
	if z.failures >= zoneFailureLimit && b.now >= z.ejectedUntil && (b.now-z.lastResponse).Seconds() > b.latencyTarget {
		z.ejectedUntil = b.now + b.scaled(1, minEjection<<min(z.ejections, 3))
		z.ejections++
		z.failures = 0
		b.actions.Log("zone " + b.settings.Zones[number] + " is unreachable: no requests are sent there for a while")
		b.solve()
	}
}

// usualFailureRate returns the fraction of recent attempts at all backends that ended without a response.
func (b *Balancer) usualFailureRate() float64 {
	return max(minFailureRate, (b.timeouts+b.failures)/(b.timeouts+b.failures+b.responses+1))
}

// isFaulty reports whether a backend should be ejected: it fails more often in a row than chance explains, or most
// of its attempts fail. One that fails occasionally, even more often than others, still does useful work; its risk
// penalty accounts for that.
func (b *Balancer) isFaulty(s *backendState) bool {
	otherAttempts, attempts := b.responses+b.failures-s.responses-s.failures, s.responses+s.failures
	usual := max(minFailureRate, (b.failures-s.failures)/(otherAttempts+1/minFailureRate), (s.failures-s.consecutiveFailures)/(attempts+1))
	return math.Pow(usual, s.consecutiveFailures) < failureChance || s.failures > max(maxMinorityFailures, attempts/2)
}

// failureRisk returns the excess of a backend's failure rate over the usual rate, less what chance explains.
func (b *Balancer) failureRisk(s *backendState) float64 {
	attempts := s.responses + s.timeouts + s.failures + 1
	usual := b.usualFailureRate()
	return max(0, (s.timeouts+s.failures)/attempts-usual-riskDeviations*math.Sqrt(usual/attempts))
}

// eject removes a backend from the pick queue for a random time around its ejection time.
func (b *Balancer) eject(s *backendState) {
	if s.ejected && !s.inTrial { // failures of attempts sent before the ejection are not new evidence
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

// ejectionTime returns the length of an ejection that follows the given number of ejections in a row.
func ejectionTime(ejections int) time.Duration {
	return min(minEjection<<min(ejections, 10), maxEjection)
}

// pickTrial returns a backend whose ejection has ended, to test with a request of the cheapest class whether it has
// recovered. It gets one at a time, so that a backend that accepts work and never responds gets little.
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

// eligible reports whether a backend may get a share: it is healthy and in the subset. It queues a backend whose
// ejection has ended for a trial.
func (b *Balancer) eligible(s *backendState) bool {
	if s.ejected && b.now >= s.ejectedUntil && !s.inTrial && s.State == Serving && len(b.trialQueue) < 2*len(b.backends) {
		b.trialQueue = append(b.trialQueue, s)
	}
	return b.healthy(s) && b.inSubset(s)
}

// healthy reports whether a backend is serving and neither it nor its zone is ejected.
func (b *Balancer) healthy(s *backendState) bool {
	return s.State == Serving && !s.ejected && b.now >= b.zones[s.Zone].ejectedUntil
}

// Probed handles the result of a health check. It ignores the result: a Balancer does not request health checks yet.
func (b *Balancer) Probed(now time.Duration, _ Outcome) { b.now = now }
