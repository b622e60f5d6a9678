package routing

import (
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// Load is the load that a backend reported with a response.
type Load struct {
	Known   bool // the backend reported its load
	Running int  // requests
	Waiting int
}

// FirstToken records that the first token of an attempt's response has arrived. Only the first call for an attempt
// is recorded as an event.
func (b *Balancer) FirstToken(now time.Duration, attempt *Attempt) {
	b.sink.now = now
	b.shares.StreamStarted(now, attempt.requestID, 0, now-attempt.sentAt)
	if m := b.members[attempt.Backend.ID]; m != nil {
		m.recordResponse(now)
	}
	if !attempt.firstTokenSeen {
		attempt.firstTokenSeen = true
		b.record(now, Event{Kind: EventFirstToken, Backend: attempt.tag, Attempt: attempt.eventID(), TimeToFirstToken: now - attempt.sentAt,
			Long: attempt.long})
	}
}

// Done records the end of an attempt and the load that its backend reported. It must be called once for each
// attempt.
func (b *Balancer) Done(now time.Duration, attempt *Attempt, result Result, load Load) {
	b.sink.now = now
	if m := b.members[attempt.Backend.ID]; m != nil && m.balancerID == attempt.balancerID {
		m.inFlight--
		if result == decide.Succeeded || result == decide.Overloaded {
			m.recordResponse(now)
		}
	}
	switch {
	case isFailure(result): // also for a response that paused before it broke off
		b.record(now, Event{Kind: EventFailed, Backend: attempt.tag, Attempt: attempt.eventID()})
	case attempt.paused:
		b.record(now, Event{Kind: EventPaused, Backend: attempt.tag, Attempt: attempt.eventID()})
	case attempt.long || !attempt.firstTokenSeen: // otherwise the first token was the end as far as the load is concerned
		b.record(now, Event{Kind: EventEnded, Backend: attempt.tag, Attempt: attempt.eventID()})
	}
	outcome := decide.Outcome{Request: attempt.requestID, Backend: attempt.balancerID, Over: true, Latency: now - attempt.sentAt, Result: result}
	if load.Known {
		outcome.Load.Has = 1 << decide.ReportInFlight
		outcome.Load.Values[decide.ReportInFlight] = float64(load.Running + load.Waiting)
	}
	b.shares.Outcome(now, outcome)
}

// isFailure reports whether the result of an attempt counts against its backend.
func isFailure(result Result) bool {
	switch result {
	case decide.Failed, decide.Reset, decide.Overloaded, decide.TimedOut:
		return true
	}
	return false
}

// record applies an event of this node's attempts and stores it for the other nodes.
func (b *Balancer) record(now time.Duration, event Event) {
	b.loads.apply(now, &event, true)
	b.events = append(b.events, event)
}

// DrainEvents returns the events of this node's attempts since the last call, for the other nodes.
func (b *Balancer) DrainEvents() []Event {
	events := b.events
	b.events = nil
	return events
}

// Observe applies an event of another node's attempts. It reports whether the event is about a backend of this
// service.
func (b *Balancer) Observe(now time.Duration, event *Event) bool {
	m := b.byTag[event.Backend]
	if m == nil {
		return false
	}
	if event.Kind == EventUnreachable {
		b.observeUnreachable(now, m)
		return true
	}
	b.loads.apply(now, event, false)
	return true
}
