package controlplane

import (
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// eventTTL is how long an attempt event is useful to the data plane nodes.
const eventTTL = 2 * time.Second

// loggedEvent is an attempt event with the session of the node that reported it and the time at which it happened.
type loggedEvent struct {
	session uint64        // of the node that made the attempt
	at      time.Duration // when it happened, by this process's clock
	event   routing.Event
}

// eventLog keeps the most recent attempt events for the data plane nodes that poll this process. It is guarded by
// Node.mu.
type eventLog struct {
	lastSeq uint64        // the sequence number of the newest event
	events  []loggedEvent // with consecutive sequence numbers up to lastSeq
}

// append adds the events of an announcement and drops expired ones. It returns an error if the announcement cannot
// be decoded.
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

// after returns the retained events with sequence numbers greater than seq.
func (l *eventLog) after(seq uint64) []loggedEvent {
	if seq >= l.lastSeq {
		return nil
	}
	return l.events[len(l.events)-int(min(l.lastSeq-seq, uint64(len(l.events)))):]
}

// hasNewFor reports whether the log contains events after a sequence number from nodes other than the one with this
// session.
func (l *eventLog) hasNewFor(seq, session uint64) bool {
	for _, logged := range l.after(seq) {
		if logged.session != session {
			return true
		}
	}
	return false
}

// packNewFor returns the events after a sequence number from nodes other than the one with this session, encoded
// with their ages.
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

// applyEvents adds an announcement's events to the event log and wakes the waiting polls.
func (n *Node) applyEvents(announcement *distribution.Announcement) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.events.append(n.now(), announcement); err != nil {
		return err
	}
	n.notifyChanged()
	return nil
}
