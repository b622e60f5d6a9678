package decide

// Every decision of the node is in this file; api.go is its interface, state.go has the types of what it
// knows. A reading order:
//
//	List, Request, Outcome, Timer       the events, each a short list of steps
//	latency, learn, reading, refit      the latency-versus-share curves and how they are learned
//	solve, levels, give                 the periodic solve for shares
//	pick, setShare, admit               weighted round robin, and what is refused when all hold too much
//	failed, eject, trial              health, and the search by which a backend comes back
//	again, sweep, late                  further attempts within their budget
//	slowStartLimit                             what a backend that has just started may get
//
// Loads and shares are measured in units: a unit is the work of an average request, so that a change of the
// mix of classes does not look like a change of load. A backend's share times the node's rate is its rate.

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	solveInterval           = 500 * time.Millisecond // between solves: several answers a kind, even on a slow node
	sweepsPerTarget         = 10                     // sweeps for overdue work in the shortest aim
	dropFactor              = 5.0                    // a latency of this many times idle counts as a drop (the paper's)
	targetFraction          = 0.8                    // part of the aim that mean latency may fill, for its spread
	levelCount              = 10                     // levels of share a backend in one pass of the solver (the paper's)
	minBackendsForFinePass  = 100                    // backends from which on a second, finer pass pays (the paper's)
	damping                 = 0.5                    // part of the way to the solved share that a solve moves
	priorRise               = 0.5                    // rise of an unmeasured curve up to a fair share, in parts of idle
	searchStep              = 0.25                   // part of the paper's step that shares grow by: solves come often
	priorSamples            = 8.0                    // samples of its own that weigh as much as what its kind tells
	minRatePerBackend       = 4.0                    // units a second that a node wants to send each backend it uses
	minSubsetBackends       = 6.0                    // and at least so many it uses,
	minNodesPerBackend      = 4.0                    // and each backend is to have so many nodes that use it
	costSmoothing           = 0.02                   // part of a hint that goes into its class's mean
	rateDecaySeconds        = 1.5                    // seconds after which a rate weighs 1/e
	idleBatchSize           = 4                      // samples in a mean that may set a kind's idle latency,
	idleRisePerSecond       = 0.02                   // which rises by this part a second
	kindDecay               = 3 * time.Second        // after this, a kind's samples weigh 1/e
	backendDecay            = 8 * time.Second        // the same for a backend's own, which come seldom
	driftThreshold          = 0.2                    // recent answers so far off a kind's curve move it (the paper's)
	minDriftSamples         = 8.0                    // if there are so many
	driftKeepWeight         = 0.25                   // and the older ones then weigh so much
	maxBackendSamples       = 16.0                   // own samples beyond which older ones fade faster
	penaltyTargets          = 3.0                    // aims of latency that a price of 1 weighs as much as
	riskDeviations          = 1.5                    // deviations of losses that are taken for chance
	minEjection             = time.Second            // a backend that failed stays away so long, doubled each time,
	maxEjection             = 16 * time.Second       // up to this
	sampleClip              = 3.0                    // a sample counts for no more than this many times what is expected
	latencyPerReported      = 0.5                    // part of idle latency that each request held a core adds
	reportKindWeight        = 0.1                    // samples that a reading counts for with its kind,
	reportBackendWeight     = 8.0                    // and with its backend
	reportLifetime          = 2 * time.Second        // while it is not older than this
	overdueSolveRatio       = 0.25                   // overdue attempts an answer that are news to solve for at once
	timeoutChance           = 2e-4                   // a silence less likely than this at the usual rate is a fault
	failureChance           = 2e-4                   // and so is a run of failures less likely than this,
	maxMinorityFailures     = 4.0                    // or more than so many that are more than half of all
	minFailureRate          = 0.01                   // part of attempts that is taken to fail at the least
	zoneFailureLimit        = 4                      // failures without an answer after which a zone counts as cut off
	retryTokensPerRequest   = .2                     // further attempts a first attempt earns
	maxRetryTokens          = 10.0                   // and how many can be saved up
	maxSkips                = 16                     // turns passed over for a backend that is free
	priorInFlight           = 4.0                    // attempts held by size up to which an unmeasured curve rises so
	extrapolationReach      = 4.0                    // times what is usually held, at which latency is taken to double
	turnLatencyFactor       = 1.5                    // times idle latency up to which a backend takes its turn
	minLimitFraction        = 0.55                   // part of the bearable latency that the cheapest work may meet
	repeatValueFraction     = 0.3                    // worth of a client's repeat, much of whose time has gone by
	slowStartGap            = 0.8                    // part of the mean gap that must lie between sends to a cold one
	slowStartBudgetFraction = 0.8                    // part of a cold backend's budget to use; its size is a guess
	referenceTargetSeconds  = 0.6                    // seconds: times above are for this aim, shorter for a shorter
	ownEvidenceInFlight     = 2.0                    // attempts out, on average, whose number tells half of the others'
	watchBackoff            = time.Second            // before a failed call for the list is repeated, doubled each time
)

// The timers' tokens.
const (
	timerSolve uint64 = iota
	timerSweep
	timerWatch
)

func (f *sampleSums) add(g sampleSums) {
	f.count, f.latency, f.loadSquared = f.count+g.count, f.latency+g.latency, f.loadSquared+g.loadSquared
}
func (f *sampleSums) decay(keep float64) {
	f.count, f.latency, f.loadSquared = f.count*keep, f.latency*keep, f.loadSquared*keep
}

// latencyWith is the learned latency of a backend that holds v attempts by size, one just sent included.
func (p *kindModel) latencyWith(v float64) float64 { return p.idleLatency + p.inFlightCoeff*v*v }

// addSample takes the latency of a backend of the kind that held v by size.
func (p *kindModel) addSample(v, y float64) {
	if p.measured {
		y = min(y, sampleClip*p.latencyWith(v))
	}
	p.recentSums.add(sampleSums{1, y, v * v})
	p.idleBatchSum += y
	if p.idleBatchCount++; p.idleBatchCount == idleBatchSize {
		if mean := p.idleBatchSum / idleBatchSize; mean < p.idleLatency || !p.measured {
			p.idleLatency, p.measured = mean, true
		}
		p.idleBatchSum, p.idleBatchCount = 0, 0
	}
}

// latencyWith is the learned latency of a backend that holds n attempts of ours.
func (s *backendState) latencyWith(n float64) float64 {
	return s.slowdown * s.model.latencyWith(s.estimatedInFlight(n))
}

// estimatedInFlight is how much a backend is taken to hold by size, of all nodes, while n attempts of ours are out.
func (s *backendState) estimatedInFlight(n float64) float64 {
	return n*s.attemptScale/s.size + s.othersInFlight
}

// latencyAtLoad is the learned curve at the load u: that of the kind for a backend `slow` times slower. By Little's
// law a load u holds u times its latency; bend is such that both curves tell twice the idle latency of the
// same load.
func (s *backendState) latencyAtLoad(u float64) float64 {
	m := s.slowdown
	return m*s.model.idleLatency + s.model.loadCoeff*m*m*m*u*u
}

// loadAtLatency is the load at which the curve reaches a latency.
func (s *backendState) loadAtLatency(latency float64) float64 {
	m := s.slowdown
	room := latency - m*s.model.idleLatency
	return math.Sqrt(max(0, room) / (s.model.loadCoeff*m*m*m + 1e-12))
}

// List takes news of the backends.
func (b *Balancer) List(now time.Duration, kind ListKind, entries []Backend) {
	b.now = now
	if kind == ListFailed {
		b.watching = false
		b.retryWatch()
		return
	}
	if kind != ListStored {
		b.watching, b.watchFailures = true, 0
	}
	if kind != ListChanges {
		for _, s := range b.backends {
			s.State = Deleted
		}
	}
	for i := range entries {
		b.updateBackend(&entries[i])
	}
	b.servingSize = 0
	for _, s := range b.backends {
		if s.State == Serving {
			b.servingSize += s.size
		} else { // no turn is left to a backend that departs
			b.setShare(s, 0)
		}
		if s.State == Deleted {
			delete(b.byID, s.ID)
		}
	}
	b.maxServingSize = max(b.maxServingSize, b.servingSize)
	b.backends = slices.DeleteFunc(b.backends, func(s *backendState) bool { return s.State == Deleted })
	b.assignRingPositions()
	if !b.started {
		b.startTimers()
	}
	b.solve()
}

// startTimers sets the timers going, each node at a phase of its own so that nodes do not move together.
func (b *Balancer) startTimers() {
	b.started = true
	b.lastSolve = b.now
	b.actions.Wake(b.scaled(b.random.Float64(), solveInterval), timerSolve)
	b.sweepInterval = max(seconds(b.latencyTarget/sweepsPerTarget), 10*time.Millisecond)
	b.actions.Wake(b.sweepInterval, timerSweep)
	if b.settings.Ask {
		b.actions.Wake(time.Duration(b.random.Float64()*float64(b.settings.AskSpread())), timerWatch)
	}
}

// scaled is part of a time that is given for requests of the usual length.
func (b *Balancer) scaled(part float64, t time.Duration) time.Duration {
	return time.Duration(part * b.timeScale * float64(t))
}

// recordReport takes how much work a backend holds, from the list or a report: the latency that this foretells
// counts as so many samples while it is fresh. Unlike latencies, it tells of the load from all nodes.
func (b *Balancer) recordReport(s *backendState, held float64) {
	p := s.model
	s.reportedLatency, s.reportedAt = p.idleLatency*(1+latencyPerReported*held/s.size), b.now
	v := s.estimatedInFlight(float64(s.inFlight))
	y := min(s.reportedLatency, sampleClip*p.latencyWith(v))
	p.recentSums.add(sampleSums{reportKindWeight, reportKindWeight * y, reportKindWeight * v * v})
}

// ---- Requests ----

// Request takes a request that has arrived.
func (b *Balancer) Request(now time.Duration, r Request) {
	q := b.openRequest(now, &r)
	if q == nil {
		return
	}
	s := b.pickTrial(q) // before any refusal: a node that put all backends away must find out when they are back
	if limit := b.admissionClasses[b.admissionClassOf(&r)].latencyLimit; s == nil {
		s = b.pick(q, limit)
	}
	if s == nil {
		b.finish(q)
		return
	}
	b.retryTokens = min(b.retryTokens+retryTokensPerRequest, maxRetryTokens)
	b.send(q, s)
}

// admissionClassOf places a request by what it is worth: class, whether its tenant is beyond its share as far as this
// node's part of the traffic tells, and whether the client repeats it.
func (b *Balancer) admissionClassOf(r *Request) int {
	i := 4 * r.Class
	if known := r.Tenant >= 0 && r.Tenant < len(b.tenantTokens); known && b.tenantTokens[r.Tenant] >= 1 {
		b.tenantTokens[r.Tenant]--
	} else if known && b.settings.Tenants[r.Tenant].Quota > 0 {
		i++
	}
	if r.Repeat {
		i += 2
	}
	return i
}

func (b *Balancer) newRequest() *request {
	if len(b.freeRequests) == 0 {
		return &request{attempts: make([]attempt, 0, 4)}
	}
	q := b.freeRequests[len(b.freeRequests)-1]
	b.freeRequests = b.freeRequests[:len(b.freeRequests)-1]
	return q
}

// release forgets a request that has ended and has nothing out.
func (b *Balancer) release(q *request) {
	if q.closed && q.openAttempts == 0 {
		delete(b.requests, q.id)
		b.freeRequests = append(b.freeRequests, q)
	}
}

// finish gives the final answer: a refusal where that is true, which lets the client try again, else a failure.
func (b *Balancer) finish(q *request) {
	q.closed = true
	c := &b.classes[q.class]
	if !q.rejected && (c.Effect == Safe || !q.mayHaveRun || c.Effect == Keyed && c.Group == GroupAll) {
		b.actions.Refuse(q.id, 0) // a client told to wait comes back when its aim has passed
	} else {
		b.actions.Fail(q.id)
	}
	b.release(q)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ownLoad is what a backend gets from this node, units a second by size.
func (b *Balancer) ownLoad(s *backendState) float64 { return s.share * b.sendRate / s.size }

func (b *Balancer) send(q *request, s *backendState) {
	c := &b.classes[q.class]
	abandon := q.deadline
	if c.LateWorth == 0 && !c.Streaming { // an answer past the aim is waste
		abandon = min(abandon, q.arrived+c.Aim)
	}
	b.sentWork += q.work
	q.openAttempts++
	s.inFlight++
	if b.capacityFraction(s) < 1 { // further attempts and second copies add up with first ones
		s.slowStartNext = b.now + seconds(slowStartGap/s.slowStartLimit)
	}
	if e := &s.classHealth[q.class]; e.ejections > 0 { // one at a time, until it is answered
		e.ejectedUntil = max(e.ejectedUntil, b.now+b.scaled(1, minEjection))
	}
	held := s.estimatedInFlight(float64(s.inFlight))
	q.attempts = append(q.attempts, attempt{backend: s, sentAt: b.now, inFlight: held, open: true})
	c.unanswered = append(c.unanswered, pendingAttempt{q.id, len(q.attempts) - 1})
	b.actions.Send(q.id, s.ID, abandon)
}

// Gone takes the news that a client has left.
func (b *Balancer) Gone(now time.Duration, id RequestID) {
	b.now = now
	q := b.requests[id]
	if q == nil || q.closed {
		return
	}
	q.closed = true
	for i := range q.attempts {
		if b.settings.Limits.Cancel && q.attempts[i].open && !q.streamStarted {
			b.actions.Cancel(id, i)
		}
	}
	b.release(q)
}

// Begun takes the start of a streamed answer.
func (b *Balancer) Begun(now time.Duration, id RequestID, n int, latency time.Duration) {
	b.now = now
	q := b.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) || !q.attempts[n].open {
		return
	}
	q.streamStarted = true
	b.recordResponse(q, &q.attempts[n], latency)
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	b.now = now
	q := b.requests[o.Request]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || !q.attempts[o.Attempt].open {
		return
	}
	a := &q.attempts[o.Attempt]
	a.open = false
	q.openAttempts--
	a.backend.inFlight--
	if a.overdue {
		a.backend.overdue--
	}
	q.closed = q.closed || o.Over
	b.applyLoadReport(a.backend, &o.Load)
	if o.Result.MayHaveRun() {
		q.mayHaveRun, a.mayHaveRun = true, true
	}
	if o.Result == Good {
		if !q.streamStarted {
			b.recordResponse(q, a, o.Latency)
		}
	} else {
		b.recordFailure(q, a, &o)
	}
	if q.closed {
		b.release(q)
	} else if q.openAttempts == 0 && !b.retry(q) {
		b.finish(q)
	}
}

// applyLoadReport takes a load report that came along.
func (b *Balancer) applyLoadReport(s *backendState, l *Load) {
	for _, field := range [...]ReportField{ReportHeld, ReportQueue} {
		if l.Has>>field&1 != 0 {
			b.recordReport(s, l.Values[field])
			return
		}
	}
}

// recordResponse takes an answer's latency into the curves.
func (b *Balancer) recordResponse(q *request, a *attempt, latency time.Duration) {
	c, s := &b.classes[q.class], a.backend
	y := max(latency.Seconds(), 1e-6)
	c.sampleCount, c.latencySum = c.sampleCount+1, c.latencySum+y*c.work/q.work
	b.recordLatency(s, a, y/q.work)
	b.responses++
	b.newResponses++
	if b.capacityFraction(s) >= 1 {
		b.warmServedWork += q.work
	}
	s.lastResponse, s.ejections, s.consecutiveTimeouts, s.consecutiveFailures, s.ejected, s.inTrial = b.now, 0, 0, 0, false, false
	s.responses++
	s.newestAnswered = max(s.newestAnswered, a.sentAt)
	s.classHealth[q.class] = classHealth{lastResponse: b.now}
	b.zones[s.Zone] = zoneHealth{lastResponse: b.now}
}

// recordLatency adds a latency to the curves of a backend and of its kind.
func (b *Balancer) recordLatency(s *backendState, a *attempt, y float64) {
	p, expect := s.model, s.model.latencyWith(a.inFlight)
	if a.recordedLatency == 0 {
		p.addSample(a.inFlight, y)
		s.sampleCount, s.expectedSum = s.sampleCount+1, s.expectedSum+expect
	}
	y = min(y, 2*dropFactor*expect)
	s.latencySum += max(0, y-a.recordedLatency)
	a.recordedLatency = max(y, a.recordedLatency)
}

// retry sends a request once more, if it can.
func (b *Balancer) retry(q *request) bool {
	s := b.pickRetry(q)
	if s == nil {
		return false
	}
	b.retryTokens--
	b.send(q, s)
	return true
}

// pickRetry finds a backend for a further attempt, nil where the rules, the time, the budget or the fleet
// have none. The budget keeps troubles from being amplified.
func (b *Balancer) pickRetry(q *request) *backendState {
	c := &b.classes[q.class]
	if q.rejected || c.Effect == Unsafe && q.mayHaveRun || b.retryTokens < 1 ||
		len(q.attempts) >= b.settings.Limits.MaxAttempts {
		return nil
	}
	left := min(q.deadline, q.arrived+c.Aim) - b.now
	var best *backendState
	for _, s := range b.backends {
		// One bound to a group may go to a warm backend of it that this node does not use otherwise.
		bound := c.Effect == Keyed && c.Group != GroupAll && q.mayHaveRun
		able := s.queueIndex >= 0 || bound && b.healthy(s) && b.capacityFraction(s) >= 1
		if !able || s.overdue > 0 || !b.acceptsNow(s, q) || !b.mayRetryOn(q, s) {
			continue
		}
		if (best == nil || s.nextPick < best.nextPick) && s.latencyWith(float64(s.inFlight)+1)*q.work < left.Seconds() {
			best = s
		}
	}
	if best != nil && best.queueIndex >= 0 {
		best.nextPick += 1 / best.share
		heap.Fix(&b.pickQueue, best.queueIndex)
	}
	return best
}

// mayRetryOn tells whether the rules let a request go to a backend after its earlier attempts. What drops the
// repeats of keyed work does so for a time from the first attempt that has run, or may yet.
func (b *Balancer) mayRetryOn(q *request, s *backendState) bool {
	if slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.backend == s }) {
		return false
	}
	c, i := &b.classes[q.class], slices.IndexFunc(q.attempts, func(a attempt) bool { return a.open || a.mayHaveRun })
	if c.Effect != Keyed || i < 0 {
		return true
	}
	on := q.attempts[i].backend
	near := c.Group == GroupAll || s.Zone == on.Zone && (c.Group == GroupZone || s.Cell == on.Cell)
	return near && b.now < q.attempts[i].sentAt+c.KeyTTL
}

// sweepOverdue looks for attempts that should have been answered by now. They are evidence against their backend
// before any time-out, and where there is time left another backend may still answer.
func (b *Balancer) sweepOverdue() {
	for i := range b.classes {
		c := &b.classes[i]
		after := b.overdueAfter(c)
		for c.unansweredHead < len(c.unanswered) {
			d := c.unanswered[c.unansweredHead]
			q := b.requests[d.id]
			if q != nil && d.attempt < len(q.attempts) && q.attempts[d.attempt].open {
				if q.attempts[d.attempt].sentAt+after > b.now {
					break
				}
				b.markOverdue(q, d.attempt)
			}
			c.unansweredHead++
		}
		if c.unansweredHead == len(c.unanswered) || c.unansweredHead > 64 && 2*c.unansweredHead > len(c.unanswered) {
			c.unanswered, c.unansweredHead = c.unanswered[:copy(c.unanswered, c.unanswered[c.unansweredHead:])], 0
		}
	}
}

// overdueAfter is when an answer of a class is overdue: at the last moment that leaves time for another
// backend, but not before twice the usual latency.
func (b *Balancer) overdueAfter(c *class) time.Duration {
	if c.sampleCount < 1 {
		return c.Aim / 2
	}
	mean := c.latencySum / c.sampleCount
	return seconds(max(2*mean, c.Aim.Seconds()-2*mean))
}

func (b *Balancer) markOverdue(q *request, n int) {
	a := &q.attempts[n]
	a.overdue = true
	a.backend.overdue++
	b.newOverdue++
	if b.indicatesSlowness(q, a) {
		b.recordLatency(a.backend, a, (b.now-a.sentAt).Seconds()/q.work)
	}
	c := &b.classes[q.class]
	may := b.settings.Limits.SecondCopies && (c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll)
	lost := a.backend.classHealth[q.class].lastResponse <= a.sentAt || a.backend.newestAnswered > a.sentAt // or just in a queue
	if may && lost && !q.closed && !q.streamStarted && q.openAttempts == 1 {
		b.retry(q)
	}
}

// indicatesSlowness tells whether an attempt without an answer says that its backend is slow: not if the class gets no
// answers there, nor if one sent later was answered, for then this answer is lost.
func (b *Balancer) indicatesSlowness(q *request, a *attempt) bool {
	return a.backend.classHealth[q.class].ejections == 0 && a.backend.newestAnswered <= a.sentAt
}

// recordFailure takes an attempt that brought no answer.
func (b *Balancer) recordFailure(q *request, a *attempt, o *Outcome) {
	s := a.backend
	if e := &s.classHealth[q.class]; o.Result.MayHaveRun() && o.Result != Cancelled && a.sentAt >= e.lastFailure {
		usual := max(minFailureRate, (b.timeouts+b.failures)/(b.timeouts+b.failures+b.responses+1))
		if e.consecutiveFailures, e.lastFailure = e.consecutiveFailures+1, b.now; math.Pow(usual, e.consecutiveFailures) < timeoutChance {
			e.ejectedUntil = b.now + b.scaled(1, min(minEjection<<min(e.ejections, 10), maxEjection))
			e.ejections++
		}
	}
	switch o.Result {
	case NotSent, Cancelled:
		s.inTrial = false
		return
	case Rejected: // it is up and answers; what it was sent is of no use to any backend
		q.rejected = true
		s.ejections, s.consecutiveFailures, s.ejected, s.inTrial = 0, 0, false, false
		return
	case Failed, Reset, NoConnect, Full: // any backend's answer may be spoilt now and then
		if s.consecutiveFailures++; o.Result != Full {
			s.failures++
			b.failures++
		}
		if !s.ejected && !b.isFaulty(s) {
			return
		}
	case Late:
		// How late it would have been is hidden, so it counts as a drop.
		if s.classHealth[q.class].ejections == 0 {
			s.timeouts++
		}
		if b.indicatesSlowness(q, a) {
			b.recordLatency(s, a, max(o.Latency.Seconds()/q.work, 2*dropFactor*s.model.idleLatency))
		}
		b.timeouts++
		if a.sentAt >= s.lastTimeout { // those sent before the last one was given up tell nothing new
			s.consecutiveTimeouts, s.lastTimeout = s.consecutiveTimeouts+1, b.now
		}
		usual := max(minFailureRate, b.timeouts/(b.timeouts+b.responses+1))
		if !s.ejected && math.Pow(usual, float64(s.consecutiveTimeouts)) > timeoutChance { // as any backend might be just now
			return
		}
	}
	if z := &b.zones[s.Zone]; o.Result != Full && o.Result != Failed && s.Zone != b.settings.Zone {
		z.failures++
		if z.failures >= zoneFailureLimit && b.now >= z.ejectedUntil && (b.now-z.lastResponse).Seconds() > b.latencyTarget {
			z.ejectedUntil = b.now + b.scaled(1, minEjection<<min(z.ejections, 3))
			z.ejections++
			z.failures = 0
			b.actions.Log("zone " + b.settings.Zones[s.Zone] + " does not answer: nothing is sent there for a while")
			b.solve()
		}
	}
	b.eject(s)
}

// isFaulty tells whether a backend is better left alone: it fails in a row beyond chance, or mostly. One that
// fails now and then, even more than others, still has work to give; its risk prices it.
func (b *Balancer) isFaulty(s *backendState) bool {
	others, n := b.responses+b.failures-s.responses-s.failures, s.responses+s.failures
	usual := max(minFailureRate, (b.failures-s.failures)/(others+1/minFailureRate), (s.failures-s.consecutiveFailures)/(n+1))
	return math.Pow(usual, s.consecutiveFailures) < failureChance || s.failures > max(maxMinorityFailures, n/2)
}

// eject takes a backend out of the turns for a while, longer each time.
func (b *Balancer) eject(s *backendState) {
	if s.ejected && !s.inTrial { // what was sent before tells nothing new
		return
	}
	s.inTrial = false
	wait := min(minEjection<<min(s.ejections, 10), maxEjection)
	s.ejectedUntil = b.now + b.scaled(0.75+b.random.Float64()/2, wait)
	s.ejections++
	s.ejected = true
	if s.queueIndex >= 0 {
		heap.Remove(&b.pickQueue, s.queueIndex)
	}
}

// pickTrial gives a request of the cheapest class to a backend whose time away is over, to see whether it is
// back. One at a time, so that a backend that takes work and answers nothing holds little of it.
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

// Probed takes the result of a probe. The module asks for none yet.
func (b *Balancer) Probed(now time.Duration, _ Outcome) { b.now = now }

// acceptsNow tells whether a backend may get a request now. A cold one is held to its limit by the clock, whichever
// attempt it is; one that leaves a class unanswered gets one to try after a time.
func (b *Balancer) acceptsNow(s *backendState, q *request) bool {
	return b.now >= max(s.slowStartNext, s.classHealth[q.class].ejectedUntil)
}

// pick takes the next turn. A backend that owes overdue work, or would be slowed by more of ours, passes its
// turn. Where all do, the one that should answer soonest is taken, if that is soon enough, else none.
func (b *Balancer) pick(q *request, limit float64) *backendState {
	var turn *backendState
	for i := 0; turn == nil && len(b.pickQueue) > 0 && i < len(b.pickQueue)+maxSkips; i++ {
		s := b.pickQueue[0]
		b.virtualTime = s.nextPick
		s.nextPick += 1 / s.share
		heap.Fix(&b.pickQueue, 0)
		free := s.overdue == 0 && s.latencyWith(float64(s.inFlight)+1) <= turnLatencyFactor*s.slowdown*s.model.idleLatency
		if free && b.acceptsNow(s, q) {
			turn = s
		}
	}
	best, least := turn, limit
	for i := 0; turn == nil && i < len(b.pickQueue); i++ {
		s := b.pickQueue[i]
		if d := s.latencyWith(float64(s.inFlight)+1) + s.riskPenalty; d < least && b.acceptsNow(s, q) {
			best, least = s, d
		}
	}
	return best
}

// setShare gives a backend a new share; it keeps its place in the round.
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

// ---- Solving for shares ----

// Timer takes a timer's end.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	b.now = now
	switch token {
	case timerSolve:
		b.solve()
		b.actions.Wake(b.scaled(0.9+0.2*b.random.Float64(), solveInterval), timerSolve)
	case timerSweep:
		b.sweepOverdue()
		if b.newOverdue > overdueSolveRatio*b.newResponses+overdueSolveRatio*20 { // news that cannot wait: work piles up
			b.solve()
		}
		b.actions.Wake(b.sweepInterval, timerSweep)
	case timerWatch:
		if !b.watching {
			b.actions.Watch()
		}
	}
}

// solve learns from the time since the last solve and sets the shares anew.
func (b *Balancer) solve() {
	b.closeInterval()
	for b.chooseSubset(); ; b.subsetFraction, b.nodesPerBackend = 1, float64(b.settings.Nodes) {
		usable, room := 0, 0.0
		fair := b.fairLoad()
		for _, s := range b.backends {
			s.maxRate, s.solvedRate = 0, 0
			if b.eligible(s) {
				usable++
				idle := s.slowdown * s.model.idleLatency
				s.slowStartLimit = b.slowStartLimit(s)
				if s.slowStartNext == 0 && s.slowStartLimit > 0 { // nodes that hear of it together do not send together
					s.slowStartNext = b.now + seconds(b.random.Float64()/s.slowStartLimit)
				}
				s.riskPenalty = penaltyTargets * b.latencyTarget * b.failureRisk(s)
				s.maxRate = min(s.size*s.loadAtLatency(max(min(2*idle, targetFraction*b.latencyTarget), 1.2*idle)), s.slowStartLimit)
				room += s.maxRate
				u := max(b.ownLoad(s), fair) // the search's step: no further than idle over latency
				s.maxRate = min(s.maxRate, s.size*u*(1+searchStep*idle/s.latencyAtLoad(u)))
			}
		}
		b.setAdmissionLimits(room)
		need := min(max(b.arrivalRate, 1), room)
		b.solveLevels(need, 1.0/levelCount, false)
		if usable >= minBackendsForFinePass {
			b.solveLevels(need, 2.0/(levelCount*levelCount), true)
		}
		b.assignShares(need)
		if len(b.pickQueue) > 0 || b.subsetFraction == 1 { // where its part has no turn to give, a node uses all
			return
		}
	}
}

// failureRisk is the part of a backend's attempts that bring no answer, beyond the usual and what chance explains.
func (b *Balancer) failureRisk(s *backendState) float64 {
	n := s.responses + s.timeouts + s.failures + 1
	usual := max(minFailureRate, (b.timeouts+b.failures)/(b.timeouts+b.failures+b.responses+1))
	return max(0, (s.timeouts+s.failures)/n-usual-riskDeviations*math.Sqrt(usual/n))
}

// chooseSubset sets the part of the fleet that this node keeps to, so that it sends each enough to learn from, and
// that a backend is not held by a connection from every node. A part begins at the node's own place on the
// circle of backends and goes on until it holds its share of them, and half of that of those that are able.
// Parts begin evenly spread, so that each backend is in as many as any other.
func (b *Balancer) chooseSubset() {
	arc, able := b.subsetOrder[:0], 0.0
	for _, s := range b.backends {
		if _, s.subsetOffset = math.Modf(s.ringPosition + float64(b.settings.Node)*math.Phi); s.State == Serving {
			arc = append(arc, s)
			if b.healthy(s) {
				able += s.size
			}
		}
	}
	slices.SortFunc(arc, func(s, t *backendState) int { return cmp.Compare(s.subsetOffset, t.subsetOffset) })
	n := float64(len(arc))
	part := min(1, max(b.arrivalRate/minRatePerBackend, minSubsetBackends, minNodesPerBackend*n/float64(b.settings.Nodes))/max(n, 1))
	b.subsetOrder, b.subsetFraction = arc, 1
	all, able := part*b.servingSize, able*part/2
	for _, s := range arc {
		all -= s.size
		if b.healthy(s) {
			able -= s.size
		}
		if all <= 0 && able <= 0 && part < 1 {
			b.subsetFraction = max(s.subsetOffset, 1e-9)
			break
		}
	}
	b.nodesPerBackend = max(1, float64(b.settings.Nodes)*b.subsetFraction)
}

// inSubset tells whether a backend is in the part that this node keeps to.
func (b *Balancer) inSubset(s *backendState) bool { return s.subsetOffset <= b.subsetFraction }

// fairLoad is the load of every backend in use if all that is asked were spread by size.
func (b *Balancer) fairLoad() float64 {
	return max(b.arrivalRate, 1) / max(b.servingSize*b.subsetFraction, 1)
}

// eligible tells whether a backend may have turns.
func (b *Balancer) eligible(s *backendState) bool {
	if s.ejected && b.now >= s.ejectedUntil && !s.inTrial && s.State == Serving && len(b.trialQueue) < 2*len(b.backends) {
		b.trialQueue = append(b.trialQueue, s)
	}
	return b.healthy(s) && b.inSubset(s)
}

// healthy tells whether a backend is known of nothing that keeps it from work.
func (b *Balancer) healthy(s *backendState) bool {
	return s.State == Serving && !s.ejected && b.now >= b.zones[s.Zone].ejectedUntil
}

// solveLevels gives share in steps to whichever backend's curve adds least latency for the step, until need is
// met. Since the curves bend upward, the price at which the last step is bought tells every backend's level;
// it is found by halving. The fine pass stays within a tenth of w_max around the coarse one.
func (b *Balancer) solveLevels(need, step float64, fine bool) {
	low, high := 0.0, 0.0
	for _, s := range b.backends { // no level costs more than the last unit at w_max
		high = max(high, s.crossZonePenalty+s.riskPenalty+3*s.latencyAtLoad(s.maxRate/s.size))
	}
	for range 24 {
		price := (low + high) / 2
		sum := 0.0
		for _, s := range b.backends {
			sum += s.levelAtPrice(price, step, fine)
		}
		if sum > need {
			high = price
		} else {
			low = price
		}
	}
	for _, s := range b.backends {
		s.solvedRate = s.levelAtPrice(low, step, fine)
	}
}

// levelAtPrice is the highest level whose price stays under a limit.
func (s *backendState) levelAtPrice(price, step float64, fine bool) float64 {
	if s.maxRate <= 0 {
		return 0
	}
	// A further unit at the load u adds idle + 3 * bend * u^2.
	level := s.size * s.loadAtLatency((price-s.crossZonePenalty-s.riskPenalty+2*s.slowdown*s.model.idleLatency)/3) / s.maxRate
	level = math.Floor(min(level, 1)/step) * step
	if fine {
		was := s.solvedRate / s.maxRate
		level = max(0, min(max(level, was-1.0/levelCount), was+1.0/levelCount, 1))
	}
	return level * s.maxRate
}

// assignShares hands out what the levels left over by headroom and moves the shares part of the way.
func (b *Balancer) assignShares(need float64) {
	sum, head := 0.0, 1e-9
	for _, s := range b.backends {
		sum, head = sum+s.solvedRate, head+s.maxRate-s.solvedRate
	}
	fill := min(1, max(0, need-sum)/head)
	warm, cold := 1e-12, 0.0
	for _, s := range b.backends {
		s.solvedRate += fill * (s.maxRate - s.solvedRate)
		if math.IsInf(s.slowStartLimit, 1) {
			warm += s.solvedRate
		} else {
			cold += s.solvedRate
		}
	}
	more := max(1, (need-cold)/warm) // what is left falls to the warm: a cold one's share is its limit
	total := cold + more*warm
	for _, s := range b.backends {
		share := s.solvedRate / total
		if math.IsInf(s.slowStartLimit, 1) {
			share *= more
			if s.queueIndex >= 0 && share > 0 {
				share = s.share + damping*(share-s.share)
			}
		}
		b.setShare(s, share)
		s.estimateOthers(b.ownLoad(s), b.nodesPerBackend)
	}
	heap.Init(&b.pickQueue)
}

// estimateOthers sets what the other nodes are taken to hold at a backend. They do as this one does: many nodes that
// each took their own small load for all of it would all send it to the backends that are fastest when idle.
// Where many of ours are out their number tells of the others' too; where few are, the mean tells more.
func (s *backendState) estimateOthers(u, users float64) {
	mean := u * s.latencyAtLoad(u) * s.size
	tells := mean / (mean + ownEvidenceInFlight)
	s.attemptScale, s.othersInFlight = 1+(users-1)*tells, (users-1)*(1-tells)*mean/s.size
}

// closeInterval closes the time since the last solve: rates, the work of classes, the curves.
func (b *Balancer) closeInterval() {
	span := (b.now - b.lastSolve).Seconds()
	if span < 0.05*b.timeScale {
		return
	}
	b.lastSolve = b.now
	k := 1 - math.Exp(-span/b.timeScale/rateDecaySeconds)
	b.warmServiceRate += k * (b.warmServedWork/span - b.warmServiceRate)
	if b.sendRate == 0 {
		k = 1
	}
	b.arrivalRate += k * (b.arrivedWork/span - b.arrivalRate)
	b.sendRate += k * (b.sentWork/span - b.sendRate)
	b.arrivedWork, b.sentWork, b.warmServedWork, b.newOverdue, b.newResponses = 0, 0, 0, 0, 0
	keep := math.Exp(-span / b.timeScale / backendDecay.Seconds())
	b.timeouts, b.failures, b.responses = b.timeouts*keep, b.failures*keep, b.responses*keep
	b.refillTenantTokens(span)
	b.updateClassWork(keep)
	b.refitCurves(span, keep)
}

// updateClassWork learns how much work each class is, so that curves do not depend on the mix.
func (b *Balancer) updateClassWork(keep float64) {
	n, y := 0.0, 0.0
	for _, c := range b.classes {
		n, y = n+c.sampleCount, y+c.latencySum
	}
	for i := range b.classes {
		c := &b.classes[i]
		if c.sampleCount >= idleBatchSize/2 {
			c.work = (c.latencySum / c.sampleCount) / (y / n)
		}
		c.sampleCount, c.latencySum = c.sampleCount*keep, c.latencySum*keep
	}
}

// refitCurves fades old samples and fits the curves. A rise at most backends moves their kind's curve, since what
// one can add to that is clipped; a backend off the curve alone is shifted alone.
func (b *Balancer) refitCurves(span, keep float64) {
	fair := b.fairLoad()
	for _, s := range b.backends {
		s.updateSlowdown(b.now)
		k := keep
		if s.sampleCount > maxBackendSamples {
			k = min(k, maxBackendSamples/s.sampleCount)
		}
		s.latencySum, s.expectedSum, s.sampleCount = s.latencySum*k, s.expectedSum*k, s.sampleCount*k
		s.responses, s.failures, s.timeouts = s.responses*keep, s.failures*keep, s.timeouts*keep
	}
	for i := range b.kindModels {
		p, twin := &b.kindModels[i], &b.kindModels[i^1] // here and across zones, idle is much the same
		if twin.measured && (!p.measured || twin.idleLatency < p.idleLatency) {
			p.idleLatency, p.measured = twin.idleLatency, true
		}
		p.refit(span/b.timeScale, fair, b.nodesPerBackend)
	}
}

// refit fits a kind's curve, with so many nodes that use a backend. Where the recent answers are off it, the
// older ones are mostly forgotten.
func (p *kindModel) refit(span, fair, users float64) {
	keep := math.Exp(-span / kindDecay.Seconds())
	if r := &p.recentSums; r.count >= minDriftSamples && math.Abs(r.latency/(r.count*p.idleLatency+p.inFlightCoeff*r.loadSquared)-1) > driftThreshold {
		keep = driftKeepWeight
	}
	p.sums.decay(keep)
	p.sums.add(p.recentSums)
	p.recentSums = sampleSums{}
	v := max(fair*users*p.idleLatency, priorInFlight)
	p.inFlightCoeff = (max(0, p.sums.latency-p.sums.count*p.idleLatency) + priorRise*priorSamples*p.idleLatency) / (p.sums.loadSquared + priorSamples*v*v)
	seen := (p.sums.loadSquared + priorSamples*v*v) / (p.sums.count + priorSamples) // no rise up to there tells little of far beyond
	p.inFlightCoeff = max(p.inFlightCoeff, p.idleLatency/(extrapolationReach*extrapolationReach*seen))
	p.loadCoeff = 4 * p.inFlightCoeff * p.idleLatency * p.idleLatency * users * users // over our own load, a part of the whole
	p.idleLatency *= 1 + idleRisePerSecond*span
}

// updateSlowdown sets how much slower than its kind a backend is, from its own samples and the prior.
func (s *backendState) updateSlowdown(now time.Duration) {
	n, y, expect := s.sampleCount, s.latencySum, s.expectedSum
	if now-s.reportedAt < reportLifetime && s.reportedAt > 0 {
		at := s.model.latencyWith(s.estimatedInFlight(float64(s.inFlight)))
		n, y, expect = n+reportBackendWeight, y+reportBackendWeight*s.reportedLatency, expect+reportBackendWeight*at
	}
	if n < 0.01 || expect <= 0 {
		s.slowdown = 1
		return
	}
	mean := expect / n
	s.slowdown = (y + priorSamples*mean) / (expect + priorSamples*mean)
}

// setAdmissionLimits sets up to which latency each kind of work is let in: the cheapest by worth a unit is refused first.
func (b *Balancer) setAdmissionLimits(room float64) {
	if short := b.arrivalRate > room; short != b.shedding {
		if b.shedding = short; short {
			b.actions.Log(fmt.Sprintf("overload: room for %.1f of %.1f units/s", room, b.arrivalRate))
		}
	}
	b.maxLatencyPerUnit = math.Inf(1)
	for _, c := range b.classes {
		b.maxLatencyPerUnit = min(b.maxLatencyPerUnit, targetFraction*c.Aim.Seconds()/c.work)
	}
	parts := [4]float64{1, b.settings.OverShareWorth, repeatValueFraction, repeatValueFraction * b.settings.OverShareWorth}
	most := 1e-12
	for i := range b.admissionClasses {
		c := &b.classes[i/4]
		b.admissionClasses[i].value = c.Worth / c.work * parts[i%4]
		most = max(most, b.admissionClasses[i].value)
	}
	for i := range b.admissionClasses {
		b.admissionClasses[i].latencyLimit = b.maxLatencyPerUnit * (minLimitFraction + (1-minLimitFraction)*math.Sqrt(b.admissionClasses[i].value/most))
	}
}

// refillTenantTokens gives each tenant this node's part of its share.
func (b *Balancer) refillTenantTokens(span float64) {
	for i := range b.tenantTokens {
		rate := b.settings.Tenants[i].Quota / float64(b.settings.Nodes)
		b.tenantTokens[i] = min(b.tenantTokens[i]+rate*span, max(2*rate, 3))
	}
}

// capacityFraction is the part of its capacity that a backend is sure to have.
func (b *Balancer) capacityFraction(s *backendState) float64 {
	r := &b.settings.Rules
	if s.Started <= 0 || r.ColdTime <= 0 || b.now >= s.Started+r.ColdTime {
		return 1
	}
	age := max(0, (b.now-s.Started).Seconds()/r.ColdTime.Seconds())
	return r.ColdFrom + (1-r.ColdFrom)*age
}

// warmLoad is what warm backends bear now, by size: the work that they answer, as what they are sent may pile
// up there. If none is, it is what each would of the largest fleet seen.
func (b *Balancer) warmLoad() float64 {
	size := 0.0
	for _, s := range b.backends {
		if s.queueIndex >= 0 && b.capacityFraction(s) >= 1 {
			size += s.size
		}
	}
	if size == 0 {
		return b.fairLoad() * b.servingSize / max(b.maxServingSize, 1)
	}
	return b.warmServiceRate / size
}

// slowStartLimit is the most that a node may send a backend, units a second, as a share of its own traffic. For a
// cold one it is such that all nodes together stay under the budget, chance included, if each keeps to it:
// the budget of a window is taken from what warm backends answer now, which is no more than they can do.
func (b *Balancer) slowStartLimit(s *backendState) float64 {
	part := b.capacityFraction(s)
	if part >= 1 {
		return math.Inf(1)
	}
	r := &b.settings.Rules
	window, users := r.FallTime.Seconds(), float64(b.settings.Nodes)*b.subsetFraction
	usual := b.warmLoad() * s.size * users
	budget := slowStartBudgetFraction * r.FallMultiple * part * usual * window
	if budget <= 1 {
		return 0
	}
	root := (math.Sqrt(9+4*(budget-1)) - 3) / 2 // mean + 3 deviations + 1 stays within the budget
	return min(root*root/window, part*usual) / users
}
