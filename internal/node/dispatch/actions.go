package dispatch

import (
	"container/heap"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/log"
)

// actions implements decide.Actions. The decision module calls its methods while it handles an event, with the
// Dispatcher's lock held.
type actions struct{ dispatcher *Dispatcher }

// Send queues an attempt. An attempt that the rules forbid is logged and reported to the decision module as not sent
// instead.
func (a actions) Send(id decide.RequestID, to decide.BackendID, abandon time.Duration) {
	d := a.dispatcher
	t, h := d.tickets[id], d.hosts[to]
	if t == nil {
		return
	}
	now := d.clock.Now()
	n := len(t.attempts)
	t.attempts = append(t.attempts, attempt{hostID: to, sentAt: now})
	if t.done || h == nil || now > h.drainingSince+d.drainGrace {
		t.attempts[n].ended = true
		name, over := "", t.done
		if h != nil {
			name = h.Name
		}
		d.logLater(func() {
			d.log.Error("attempt forbidden by the rules was not sent", "host", name, "ended", over)
		})
		t.reportNotSent(n, t.done)
		return
	}
	t.openAttempts++
	t.enqueue(Action{Kind: Send, AttemptIndex: n, Host: h.Name, Address: h.Address,
		Protocol: h.Protocol, Until: toMillis(abandon)})
}

// Reject queues a rejection.
func (a actions) Reject(id decide.RequestID, wait time.Duration) {
	a.finish(id, Action{Kind: Reject, Wait: toMillis(wait)})
}

// Fail queues a failure.
func (a actions) Fail(id decide.RequestID) { a.finish(id, Action{Kind: Fail}) }

// finish queues the final response of a request.
func (a actions) finish(id decide.RequestID, response Action) {
	if t := a.dispatcher.tickets[id]; t != nil && !t.done {
		response.Ran = t.mayHaveRun || t.openAttempts > 0
		t.enqueue(response)
		t.finish()
	}
}

// Cancel queues the cancellation of an attempt.
func (a actions) Cancel(id decide.RequestID, n int) {
	t := a.dispatcher.tickets[id]
	if t == nil || n < 0 || n >= len(t.attempts) || t.attempts[n].ended || t.attempts[n].cancelled {
		return
	}
	t.attempts[n].cancelled = true
	t.enqueue(Action{Kind: Cancel, AttemptIndex: n})
}

// Probe only logs an error: this node makes no health checks, and the decision module should not request any.
func (a actions) Probe(decide.BackendID) {
	a.dispatcher.logLater(func() { a.dispatcher.log.Error("decision module requested a probe, but this node makes none") })
}

// SetTimer schedules a Timer event.
func (a actions) SetTimer(after time.Duration, token uint64) {
	d := a.dispatcher
	due := d.clock.Now() + toMillis(after)
	if len(d.timers) == 0 || due < d.timers[0].due {
		d.timerMoved = true
	}
	heap.Push(&d.timers, timer{due, token})
}

// Watch does nothing: the node watches its endpoint list as long as it runs.
func (a actions) Watch() {}

// Log writes a line to the node's log.
func (a actions) Log(line string) {
	a.dispatcher.logLater(func() { log.Each(a.dispatcher.log).Warn("decision module message", "line", line) })
}

// timer is a pending Timer event.
type timer struct {
	due   float64 // milliseconds
	token uint64
}

// timers is a min-heap of timers, ordered by due time.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}
