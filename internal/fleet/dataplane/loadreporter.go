package dataplane

import (
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// The figures of announcing.
const (
	mostWaiting   = 1024
	announceWait  = 150 * time.Millisecond
	gatherFor     = 8 * time.Millisecond // events that come so close together go out together
	fleetAttempts = 1500.0               // that all nodes together announce in a second: each goes to every node
	savedAttempts = 1.0                  // seconds of a node's part that may come at once
	thresholdUp   = 1.10                 // a prompt that finds no room raises the size from which on attempts are announced,
	thresholdDown = 0.97                 // one that does, or that is too short while there is room, lowers it
	mostTold      = 4096                 // attempts whose ends are still to be announced
)

// waitingEvent is an event and when it happened.
type waitingEvent struct {
	event routing.Event
	at    time.Duration
}

// loadReporter hands the events of the node's attempts to the control process that it polls. What all nodes together announce
// is bounded: the larger the fleet, the longer a prompt must be for its attempt to be announced.
type loadReporter struct {
	node  *Node
	now   func() time.Duration
	nodes func() int64 // about how many nodes of the data plane there are
	wake  chan struct{}

	mu        sync.Mutex
	waiting   []waitingEvent
	threshold float64
	room      float64
	roomAt    time.Duration
	told      map[uint32]bool // attempts that were announced and have not ended
}

func newLoadReporter(n *Node) *loadReporter {
	return &loadReporter{node: n, now: n.now, nodes: func() int64 { return n.watcher.nodesHint.Load() }, wake: make(chan struct{}, 1),
		told: map[uint32]bool{}}
}

// add queues the events that are worth telling. What finds no place is dropped: it would be too late.
func (a *loadReporter) add(events []routing.Event) {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, event := range events {
		if a.worth(now, &event) && len(a.waiting) < mostWaiting {
			a.waiting = append(a.waiting, waitingEvent{event, now})
		}
	}
	if len(a.waiting) == 0 {
		return
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// worth tells whether other nodes are told of an event: of whole attempts or not at all. The lock is held.
func (a *loadReporter) worth(now time.Duration, event *routing.Event) bool {
	switch event.Kind {
	case routing.EventSent:
		return a.admit(now, event)
	case routing.EventFirstToken:
		told := a.told[event.Attempt]
		if !event.Long { // its end is not told
			delete(a.told, event.Attempt)
		}
		return told
	case routing.EventEnded, routing.EventFailed, routing.EventPaused:
		told := a.told[event.Attempt]
		delete(a.told, event.Attempt)
		return told
	}
	return true
}

// admit decides whether an attempt is announced, by the size of its prompt and the node's part of what the fleet may tell.
func (a *loadReporter) admit(now time.Duration, event *routing.Event) bool {
	rate := fleetAttempts / float64(a.nodes())
	full := max(1, savedAttempts*rate)
	a.room = min(a.room+rate*(now-a.roomAt).Seconds(), full)
	a.roomAt = now
	if event.Tokens < a.threshold {
		if a.room >= full {
			a.threshold *= thresholdDown
		}
		return false
	}
	if a.room < 1 {
		a.threshold = max(a.threshold, event.Tokens*(thresholdUp-1)) * thresholdUp
		return false
	}
	a.room--
	a.threshold *= thresholdDown
	if len(a.told) >= mostTold {
		clear(a.told)
	}
	a.told[event.Attempt] = true
	return true
}

// take gives the waiting events in their packed form.
func (a *loadReporter) take() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	var packed []byte
	for _, one := range a.waiting {
		one.event.Age = now - one.at
		packed = routing.AppendEvent(packed, one.event)
	}
	a.waiting = a.waiting[:0]
	return packed
}

func (a *loadReporter) run() {
	for range a.wake {
		time.Sleep(gatherFor)
		address := a.node.watcher.current.Load()
		packed := a.take()
		if address == nil || *address == "" || len(packed) == 0 {
			continue
		}
		announcement := distribution.Announcement{Session: a.node.session, Events: packed}
		var none struct{}
		_ = a.node.pool.Call(*address, distribution.MethodAnnounce, &announcement, &none, announceWait)
	}
}
