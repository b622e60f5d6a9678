package decide

import (
	"cmp"
	"time"
)

const costSmoothing = 0.02 // weight of a new cost hint in the mean of its class

// Request handles a new request. It is sent to a backend or rejected before Request returns.
func (b *Balancer) Request(now time.Duration, r Request) {
	q := b.openRequest(now, &r)
	if q == nil {
		return
	}
	limit := b.admissionClasses[b.admissionClassOf(&r)].latencyLimit
	s := b.pickTrial(q) // before any rejection, so that a node that has ejected all backends notices when they recover
	if s == nil {
		s = b.pick(q, limit)
	}
	if s == nil {
		b.finish(q)
		return
	}
	b.earnRetryTokens()
	b.send(q, s)
}

// Assign handles a request whose backend the host has chosen itself, because it knows what the curves do not, such
// as which backend has the request's data cached. The attempt is sent, learned from and counted like any other, and
// uses the backend's next turn. Assign returns false and changes nothing if the backend may not get a request now.
func (b *Balancer) Assign(now time.Duration, r Request, to BackendID) bool {
	s := b.byID[to]
	if s == nil || !b.Usable(now, to) {
		return false
	}
	q := b.openRequest(now, &r)
	if q == nil {
		return false
	}
	b.advanceTurn(s)
	b.earnRetryTokens()
	b.send(q, s)
	return true
}

// openRequest records a new request. It returns nil if the class is unknown or the id is already open.
func (b *Balancer) openRequest(now time.Duration, r *Request) *request {
	b.now = now
	if r.Class < 0 || r.Class >= len(b.classes) || b.requests[r.ID] != nil {
		return nil
	}
	q := b.newRequest()
	*q = request{id: r.ID, class: r.Class, work: b.classes[r.Class].work, arrived: now, deadline: r.Deadline,
		attempts: q.attempts[:0]}
	if mean := &b.classes[r.Class].meanCost; r.Cost > 0 { // the cost hint separates heavy requests from light ones
		*mean = cmp.Or(*mean, r.Cost)*(1-costSmoothing) + r.Cost*costSmoothing
		q.work *= max(0.1, min(r.Cost / *mean, 10))
	}
	b.requests[r.ID] = q
	b.arrivedWork += q.work
	return q
}

// newRequest takes a request from the free list, or allocates one.
func (b *Balancer) newRequest() *request {
	if len(b.freeRequests) == 0 {
		return &request{attempts: make([]attempt, 0, 4)}
	}
	q := b.freeRequests[len(b.freeRequests)-1]
	b.freeRequests = b.freeRequests[:len(b.freeRequests)-1]
	return q
}

// release returns a request to the free list once it is closed and has no open attempts.
func (b *Balancer) release(q *request) {
	if q.closed && q.openAttempts == 0 {
		delete(b.requests, q.id)
		b.freeRequests = append(b.freeRequests, q)
	}
}

// finish ends a request without a response: as rejected, so that its client may retry, if that is safe, else as
// failed.
func (b *Balancer) finish(q *request) {
	q.closed = true
	c := &b.classes[q.class]
	if !q.rejected && (c.Effect == Safe || !q.mayHaveRun || c.Effect == Keyed && c.Group == GroupAll) {
		b.actions.Reject(q.id, 0) // a client told to wait would retry after its latency target
	} else {
		b.actions.Fail(q.id)
	}
	b.release(q)
}

// send starts an attempt of a request at a backend.
func (b *Balancer) send(q *request, s *backendState) {
	c := &b.classes[q.class]
	abandon := q.deadline
	if c.LateValue == 0 && !c.Streaming { // a response past the latency target is worthless
		abandon = min(abandon, q.arrived+c.Target)
	}
	b.sentWork += q.work
	q.openAttempts++
	s.inFlight++
	if b.capacityFraction(s) < 1 { // first attempts, retries and hedged requests share the limit
		s.slowStartNext = b.now + seconds(slowStartGap/s.slowStartLimit)
	}
	if h := &s.classHealth[q.class]; h.ejections > 0 { // one at a time until a response arrives
		h.ejectedUntil = max(h.ejectedUntil, b.now+b.scaled(1, minEjection))
	}
	inFlight := s.estimatedInFlight(float64(s.inFlight))
	q.attempts = append(q.attempts, attempt{backend: s, sentAt: b.now, inFlight: inFlight, open: true})
	c.unanswered = append(c.unanswered, pendingAttempt{q.id, len(q.attempts) - 1})
	b.actions.Send(q.id, s.ID, abandon)
}

// ClientGone handles the disconnection of a request's client: no more attempts are started, and open ones are
// cancelled if the limits permit it.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
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

// StreamStarted handles the first byte of a streamed response to attempt n, latency after the attempt was sent.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, n int, latency time.Duration) {
	b.now = now
	q := b.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) || !q.attempts[n].open {
		return
	}
	q.streamStarted = true
	b.recordResponse(q, &q.attempts[n], latency)
}

// Outcome handles the end of an attempt: it updates curves and health, and retries or finishes the request if no
// other attempt is open. Unknown attempts and repeated ends are ignored.
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
	if o.Result == Succeeded {
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
