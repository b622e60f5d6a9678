package dispatch

import (
	"container/heap"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/log"
)

// actions implements decide.Actions. The module calls it from within its events, under the Pilot's lock.
type actions struct{ dispatcher *Dispatcher }

// Send queues an attempt, unless a rule forbids it: then the module is told that it was not sent.
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
			d.log.Error("a relay that the rules forbid was held back", "host", name, "ended", over)
		})
		t.reportUnsent(n, t.done)
		return
	}
	t.openAttempts++
	t.enqueue(Action{Kind: Send, AttemptIndex: n, Host: h.Name, Address: h.Address,
		Protocol: h.Protocol, Until: toMillis(abandon)})
}

// Refuse queues a rejection.
func (a actions) Refuse(id decide.RequestID, wait time.Duration) {
	a.finish(id, Action{Kind: Reject, Wait: toMillis(wait)})
}

// Fail queues a failure.
func (a actions) Fail(id decide.RequestID) { a.finish(id, Action{Kind: Fail}) }

// finish queues the final response of a request.
func (a actions) finish(id decide.RequestID, v Action) {
	if t := a.dispatcher.tickets[id]; t != nil && !t.done {
		v.Ran = t.mayHaveRun || t.openAttempts > 0
		t.enqueue(v)
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

// Probe only logs: the module asks for no health check.
func (a actions) Probe(decide.BackendID) {
	a.dispatcher.logLater(func() { a.dispatcher.log.Error("the module asked for a probe: this node makes none") })
}

// Wake sets a timer.
func (a actions) Wake(after time.Duration, token uint64) {
	d := a.dispatcher
	due := d.clock.Now() + toMillis(after)
	if len(d.timers) == 0 || due < d.timers[0].due {
		d.timerMoved = true
	}
	heap.Push(&d.timers, timer{due, token})
}

// Watch does nothing: the node watches its endpoint list as long as it runs.
func (a actions) Watch() {}

// Log passes a line on to the node's log.
func (a actions) Log(line string) {
	a.dispatcher.logLater(func() { log.Each(a.dispatcher.log).Warn("the module says", "line", line) })
}

// timer is a Timer event to come.
type timer struct {
	due   float64 // milliseconds
	token uint64
}

// timers is a heap of timers by when they are due.
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
