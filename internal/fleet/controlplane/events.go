package controlplane

import (
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// The figures of events of attempts.
const (
	eventLife   = 2 * time.Second
	relayWait   = 200 * time.Millisecond
	relayGather = 8 * time.Millisecond // that events wait for more before they are handed on
	mostRelayed = 512                  // announcements that wait to be handed on
)

// loggedEvent is an event with the node that told of it and the time at which it happened.
type loggedEvent struct {
	session uint64
	at      time.Duration
	event   routing.Event
}

// eventLog keeps the newest events of attempts, for the nodes of the data plane that poll here.
type eventLog struct {
	last uint64 // the number of the newest event; those before it have the numbers before
	list []loggedEvent
}

func (l *eventLog) add(now time.Duration, announcement *distribution.Announcement) error {
	old := 0
	for old < len(l.list) && now-l.list[old].at >= eventLife {
		old++
	}
	l.list = l.list[old:]
	events, err := routing.UnpackEvents(announcement.Events)
	if err != nil {
		return err
	}
	for _, event := range events {
		l.last++
		l.list = append(l.list, loggedEvent{announcement.Session, now - event.Age, event})
	}
	return nil
}

// after gives the events that came after a number.
func (l *eventLog) after(since uint64) []loggedEvent {
	if since >= l.last {
		return nil
	}
	return l.list[len(l.list)-int(min(l.last-since, uint64(len(l.list)))):]
}

// news tells whether there is an event for a node after the last one that it had.
func (l *eventLog) news(since, session uint64) bool {
	for _, one := range l.after(since) {
		if one.session != session {
			return true
		}
	}
	return false
}

// since gives the packed events for a node after the last one that it had.
func (l *eventLog) since(now time.Duration, since, session uint64) []byte {
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

// relay hands announcements on to the other control processes, to each in their order.
type relay struct {
	mu    sync.Mutex
	lanes map[string]*relayLane
}

// relayLane is what waits to be handed on to one process.
type relayLane struct {
	waiting []distribution.Announcement
	running bool
}

// put adds an announcement for a process. It tells whether nobody is handing on to that process yet.
func (r *relay) put(address string, announcement *distribution.Announcement) (idle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lane := r.lanes[address]
	if lane == nil {
		lane = &relayLane{}
		r.lanes[address] = lane
	}
	if len(lane.waiting) < mostRelayed { // what is lost costs little
		lane.waiting = append(lane.waiting, *announcement)
	}
	idle = !lane.running
	lane.running = true
	return idle
}

// take gives what waits for a process. Where nothing does, the lane is forgotten.
func (r *relay) take(address string) []distribution.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	lane := r.lanes[address]
	waiting := lane.waiting
	lane.waiting = nil
	if len(waiting) == 0 {
		delete(r.lanes, address)
	}
	return waiting
}

// Announce takes a node's events and hands them on to the other control processes, together with others that come soon.
func (s *distributionService) Announce(announcement *distribution.Announcement, _ *struct{}) error {
	n := s.node
	if err := n.takeEvents(announcement); err != nil {
		return err
	}
	for _, address := range n.peers.others() {
		if n.relay.put(address, announcement) {
			go n.handOn(address)
		}
	}
	return nil
}

// handOn sends what waits for another control process until nothing does.
func (n *Node) handOn(address string) {
	for {
		time.Sleep(relayGather)
		request := distribution.RelayRequest{Announcements: n.relay.take(address)}
		if len(request.Announcements) == 0 {
			return
		}
		var none struct{}
		_ = n.pool.Call(address, distribution.MethodRelay, &request, &none, relayWait) // what is lost costs little
	}
}

// Relay takes events from another control process.
func (s *distributionService) Relay(request *distribution.RelayRequest, _ *struct{}) error {
	for i := range request.Announcements {
		if err := s.node.takeEvents(&request.Announcements[i]); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) takeEvents(announcement *distribution.Announcement) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.events.add(n.now(), announcement); err != nil {
		return err
	}
	n.announce()
	return nil
}
