package dataplane

import (
	"context"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// Parameters of load reports.
const (
	maxQueuedEvents = 1024
	announceTimeout = 150 * time.Millisecond
	// batchInterval is the time over which events are collected into one report.
	batchInterval = 8 * time.Millisecond
	// fleetReportsPerSecond bounds the attempts that all nodes together report, because each report is sent to
	// every node.
	fleetReportsPerSecond = 1500.0
	// burstSeconds is the capacity of a node's credit, in seconds of its share of the reports.
	burstSeconds = 1.0
	// thresholdRaise is the factor by which the least size of reported prompts rises when an attempt finds no
	// credit.
	thresholdRaise = 1.10
	// thresholdDecay is the factor by which that size falls when an attempt finds credit, or when its prompt is
	// too short while the credit is at capacity.
	thresholdDecay = 0.97
	// maxReported bounds the attempts that are tracked because they were reported and have not ended.
	maxReported = 4096
)

// queuedEvent is an event and the time on the node's clock at which it happened.
type queuedEvent struct {
	event routing.Event
	at    time.Duration
}

// loadReporter sends the events of this node's attempts to the control process that the node polls, which forwards
// them to all other nodes. The reports of all nodes together are bounded: the larger the fleet, the longer a
// prompt must be for its attempt to be reported. It is safe for concurrent use.
type loadReporter struct {
	node  *Node
	now   func() time.Duration
	nodes func() int64 // returns the approximate number of data plane nodes
	wake  chan struct{}

	mu        sync.Mutex
	queue     []queuedEvent
	minTokens float64         // least prompt size, in tokens, of reported attempts
	credit    float64         // attempts that may be reported now: a token bucket
	creditAt  time.Duration   // when credit was last filled
	reported  map[uint32]bool // attempts that were reported and have not ended
}

func newLoadReporter(n *Node) *loadReporter {
	return &loadReporter{node: n, now: n.now, nodes: func() int64 { return n.watcher.nodesEstimate.Load() }, wake: make(chan struct{}, 1),
		reported: map[uint32]bool{}}
}

// enqueue queues the events that should be reported. Events that do not fit into the queue are dropped: they would
// arrive too late to be of use.
func (r *loadReporter) enqueue(events []routing.Event) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, event := range events {
		if r.reportable(now, &event) && len(r.queue) < maxQueuedEvents {
			r.queue = append(r.queue, queuedEvent{event, now})
		}
	}
	if len(r.queue) == 0 {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// reportable reports whether an event should be sent to the other nodes: either all events of an attempt are, or
// none. It tracks the reported attempts, so it must be called once for each event. The caller holds the lock.
func (r *loadReporter) reportable(now time.Duration, event *routing.Event) bool {
	switch event.Kind {
	case routing.EventSent:
		return r.admit(now, event)
	case routing.EventFirstToken:
		reported := r.reported[event.Attempt]
		if !event.Long { // no event follows at its end
			delete(r.reported, event.Attempt)
		}
		return reported
	case routing.EventEnded, routing.EventFailed, routing.EventPaused:
		reported := r.reported[event.Attempt]
		delete(r.reported, event.Attempt)
		return reported
	}
	return true
}

// admit decides whether an attempt is reported, by the size of its prompt and this node's share of the fleet's
// reports. The caller holds the lock.
func (r *loadReporter) admit(now time.Duration, event *routing.Event) bool {
	rate := fleetReportsPerSecond / float64(r.nodes())
	capacity := max(1, burstSeconds*rate)
	r.credit = min(r.credit+rate*(now-r.creditAt).Seconds(), capacity)
	r.creditAt = now
	if event.Tokens < r.minTokens {
		if r.credit >= capacity {
			r.minTokens *= thresholdDecay
		}
		return false
	}
	if r.credit < 1 {
		r.minTokens = max(r.minTokens, event.Tokens*(thresholdRaise-1)) * thresholdRaise
		return false
	}
	r.credit--
	r.minTokens *= thresholdDecay
	if len(r.reported) >= maxReported {
		clear(r.reported)
	}
	r.reported[event.Attempt] = true
	return true
}

// drain empties the queue and returns its events in packed form, with their ages.
func (r *loadReporter) drain() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var packed []byte
	for _, queued := range r.queue {
		queued.event.Age = now - queued.at
		packed = routing.AppendEvent(packed, queued.event)
	}
	r.queue = r.queue[:0]
	return packed
}

// run sends reports until the context ends. A report that cannot be delivered is not retried: it would be out of
// date.
func (r *loadReporter) run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		sleep(ctx, batchInterval)
		address := r.node.watcher.polledAddress.Load()
		packed := r.drain()
		if address == nil || *address == "" || len(packed) == 0 {
			continue
		}
		announcement := distribution.Announcement{Session: r.node.session, Events: packed}
		var none struct{}
		_ = r.node.pool.Call(*address, distribution.MethodAnnounce, &announcement, &none, announceTimeout)
	}
}
