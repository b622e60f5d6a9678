package middleware

import (
	"cmp"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/quota"
)

// retryInterval is the time between two decisions on the waiting calls, in milliseconds.
const retryInterval = 10

// waiter is a call that waits for capacity.
type waiter struct {
	request  quota.Call
	deadline float64
	decided  chan quota.Decision
}

// compareWaiters orders waiting calls: by priority, then by value; a stable sort keeps the order of arrival.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(b.request.Priority, a.request.Priority), cmp.Compare(b.request.Value, a.request.Value))
}

// admit decides on a call, which may have to wait for capacity. ok is false if the client disconnected in the
// meantime.
func (s *Middleware) admit(call *core.Call) (d quota.Decision, ok bool) {
	class := &s.config.Classes[call.Class]
	now := s.clock.Now()
	s.mu.Lock()
	request := quota.Call{Leaf: s.leafOf(call), Priority: class.Priority, Value: class.Value}
	s.recordRequest(now, request)
	if len(s.queue) == 0 || !s.mustQueue(request) { // a call does not overtake the calls that wait before it
		d = s.tree.Admit(now, request)
	} else {
		d = quota.Decision{Verdict: quota.Rejected, Reason: quota.NoCapacity, RetryAfter: s.config.MaxWait}
	}
	s.recordDecision(request, d)
	if d.Verdict != quota.Rejected || s.config.MaxWait <= 0 || len(s.queue) >= s.config.MaxWaiting {
		s.mu.Unlock()
		return d, true
	}
	w := &waiter{request: request, deadline: min(now+s.config.MaxWait, call.Deadline), decided: make(chan quota.Decision, 1)}
	s.queue = append(s.queue, w)
	slices.SortStableFunc(s.queue, compareWaiters)
	s.scheduleRetry(now)
	s.mu.Unlock()
	select {
	case d = <-w.decided:
		return d, true
	case <-call.Done():
		s.mu.Lock()
		s.queue = slices.DeleteFunc(s.queue, func(other *waiter) bool { return other == w })
		select {
		case d = <-w.decided: // decided on at the same moment
			s.refund(d)
		default:
		}
		s.mu.Unlock()
		return d, false
	}
}

// mustQueue reports whether a waiting call of the same node takes precedence over this one. s.mu must be held.
func (s *Middleware) mustQueue(request quota.Call) bool {
	for _, w := range s.queue {
		if w.request.Leaf == request.Leaf && compareWaiters(w, &waiter{request: request}) <= 0 {
			return true
		}
	}
	return false
}

// scheduleRetry sets a timer that decides on the waiting calls again after retryInterval. s.mu must be held.
func (s *Middleware) scheduleRetry(now float64) {
	if s.retryScheduled || len(s.queue) == 0 {
		return
	}
	s.retryScheduled = true
	s.clock.At(now+retryInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.retryScheduled = false
		now := s.clock.Now()
		s.expireLease(now)
		s.queue = slices.DeleteFunc(s.queue, func(w *waiter) bool {
			d := s.tree.Admit(now, w.request)
			if d.Verdict == quota.Rejected && now < w.deadline {
				return false
			}
			s.recordDecision(w.request, d)
			w.decided <- d
			return true
		})
		s.scheduleRetry(now)
	})
}

// DecideWaiting makes a final decision on the waiting calls. It is called before another policy comes into
// force, so that each call is decided under the policy that was in force when it arrived.
func (s *Middleware) DecideWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, w := range s.queue {
		d := s.tree.Admit(now, w.request)
		s.recordDecision(w.request, d)
		w.decided <- d
	}
	s.queue = nil
}
