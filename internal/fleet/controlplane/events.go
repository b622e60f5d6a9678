package controlplane

import (
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// The figures of events of attempts.
const (
	eventTTL        = 2 * time.Second
	forwardTimeout  = 200 * time.Millisecond
	forwardDelay    = 8 * time.Millisecond // that events wait for more before they are handed on
	maxForwardQueue = 512                  // announcements that wait to be handed on
)

// loggedEvent is an event with the node that told of it and the time at which it happened.
type loggedEvent struct {
	session uint64
	at      time.Duration
	event   routing.Event
}

// eventLog keeps the newest events of attempts, for the nodes of the data plane that poll here.
type eventLog struct {
	lastSeq uint64 // the number of the newest event; those before it have the numbers before
	events  []loggedEvent
}

func (l *eventLog) append(now time.Duration, announcement *distribution.Announcement) error {
	old := 0
	for old < len(l.events) && now-l.events[old].at >= eventTTL {
		old++
	}
	l.events = l.events[old:]
	events, err := routing.UnpackEvents(announcement.Events)
	if err != nil {
		return err
	}
	for _, event := range events {
		l.lastSeq++
		l.events = append(l.events, loggedEvent{announcement.Session, now - event.Age, event})
	}
	return nil
}

// after gives the events that came after a number.
func (l *eventLog) after(since uint64) []loggedEvent {
	if since >= l.lastSeq {
		return nil
	}
	return l.events[len(l.events)-int(min(l.lastSeq-since, uint64(len(l.events)))):]
}

// hasNewFor tells whether there is an event for a node after the last one that it had.
func (l *eventLog) hasNewFor(since, session uint64) bool {
	for _, one := range l.after(since) {
		if one.session != session {
			return true
		}
	}
	return false
}

// packNewFor gives the packed events for a node after the last one that it had.
func (l *eventLog) packNewFor(now time.Duration, since, session uint64) []byte {
	var packed []byte
	for _, one := range l.after(since) {
		if one.session != session {
			event := one.event
			event.Age = now - one.at
			packed = routing.AppendEvent(packed, event)
		}
	}
	return packed
}

// forwarder hands announcements on to the other control processes, to each in their order.
type forwarder struct {
	mu     sync.Mutex
	queues map[string]*forwardQueue
}

// forwardQueue is what waits to be handed on to one process.
type forwardQueue struct {
	pending []distribution.Announcement
	running bool
}

// enqueue adds an announcement for a process. It tells whether nobody is handing on to that process yet.
func (r *forwarder) enqueue(address string, announcement *distribution.Announcement) (idle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lane := r.queues[address]
	if lane == nil {
		lane = &forwardQueue{}
		r.queues[address] = lane
	}
	if len(lane.pending) < maxForwardQueue { // what is lost costs little
		lane.pending = append(lane.pending, *announcement)
	}
	idle = !lane.running
	lane.running = true
	return idle
}

// drain gives what waits for a process. Where nothing does, the lane is forgotten.
func (r *forwarder) drain(address string) []distribution.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	lane := r.queues[address]
	waiting := lane.pending
	lane.pending = nil
	if len(waiting) == 0 {
		delete(r.queues, address)
	}
	return waiting
}

// Announce takes a node's events and hands them on to the other control processes, together with others that come soon.
func (s *distributionService) Announce(announcement *distribution.Announcement, _ *struct{}) error {
	n := s.node
	if err := n.applyEvents(announcement); err != nil {
		return err
	}
	for _, address := range n.gossip.peers() {
		if n.forwarder.enqueue(address, announcement) {
			go n.forwardTo(address)
		}
	}
	return nil
}

// forwardTo sends what waits for another control process until nothing does.
func (n *Node) forwardTo(address string) {
	for {
		time.Sleep(forwardDelay)
		request := distribution.RelayRequest{Announcements: n.forwarder.drain(address)}
		if len(request.Announcements) == 0 {
			return
		}
		var none struct{}
		_ = n.pool.Call(address, distribution.MethodRelay, &request, &none, forwardTimeout) // what is lost costs little
	}
}

// Relay takes events from another control process.
func (s *distributionService) Relay(request *distribution.RelayRequest, _ *struct{}) error {
	for i := range request.Announcements {
		if err := s.node.applyEvents(&request.Announcements[i]); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) applyEvents(announcement *distribution.Announcement) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.events.append(n.now(), announcement); err != nil {
		return err
	}
	n.notifyChanged()
	return nil
}
