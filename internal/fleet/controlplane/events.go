package controlplane

import (
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// eventTTL is how long an event of an attempt is of use to the nodes of the data plane.
const eventTTL = 2 * time.Second

// loggedEvent is an event with the node that reported it and the time at which it happened.
type loggedEvent struct {
	session uint64        // of the node that made the attempt
	at      time.Duration // when it happened, by this process's clock
	event   routing.Event
}

// eventLog keeps the newest events of attempts for the nodes of the data plane that poll here. It is guarded by Node.mu.
type eventLog struct {
	lastSeq uint64        // the sequence number of the newest event
	events  []loggedEvent // with consecutive sequence numbers up to lastSeq
}

// append adds the events of an announcement and drops those that have expired. It returns an error where the announcement
// cannot be decoded.
func (l *eventLog) append(now time.Duration, announcement *distribution.Announcement) error {
	expired := 0
	for expired < len(l.events) && now-l.events[expired].at >= eventTTL {
		expired++
	}
	l.events = l.events[expired:]
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

// after returns the kept events with higher sequence numbers.
func (l *eventLog) after(seq uint64) []loggedEvent {
	if seq >= l.lastSeq {
		return nil
	}
	return l.events[len(l.events)-int(min(l.lastSeq-seq, uint64(len(l.events)))):]
}

// hasNewFor reports whether another node than the one with this session made an event after a sequence number.
func (l *eventLog) hasNewFor(seq, session uint64) bool {
	for _, logged := range l.after(seq) {
		if logged.session != session {
			return true
		}
	}
	return false
}

// packNewFor returns the events after a sequence number that other nodes than the one with this session made, encoded with
// their ages.
func (l *eventLog) packNewFor(now time.Duration, seq, session uint64) []byte {
	var packed []byte
	for _, logged := range l.after(seq) {
		if logged.session != session {
			event := logged.event
			event.Age = now - logged.at
			packed = routing.AppendEvent(packed, event)
		}
	}
	return packed
}

// applyEvents logs an announcement's events and wakes the polls.
func (n *Node) applyEvents(announcement *distribution.Announcement) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.events.append(n.now(), announcement); err != nil {
		return err
	}
	n.notifyChanged()
	return nil
}
