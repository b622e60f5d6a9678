package controlnode

import (
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
)

// The figures of notices of long prompts.
const (
	noticeLife = 3 * time.Second
	relayWait  = 200 * time.Millisecond
)

// placedNotice is a notice in the order in which it came here.
type placedNotice struct {
	seq     uint64
	session uint64
	at      time.Duration
	notice  distribution.Notice
}

// notices keeps the newest notices of long prompts, for the nodes of the data plane that poll here.
type notices struct {
	last uint64
	list []placedNotice
}

func (l *notices) add(now time.Duration, announcement *distribution.Announcement) {
	kept := l.list[:0]
	for _, one := range l.list {
		if now-one.at < noticeLife {
			kept = append(kept, one)
		}
	}
	l.list = kept
	for _, notice := range announcement.Notices {
		l.last++
		l.list = append(l.list, placedNotice{l.last, announcement.Session, now - notice.Reading.Ago, notice})
	}
}

// news tells whether there is a notice for a node after the last one that it had.
func (l *notices) news(since, session uint64) bool {
	for i := len(l.list) - 1; i >= 0 && l.list[i].seq > since; i-- {
		if l.list[i].session != session {
			return true
		}
	}
	return false
}

// since gives the notices for a node after the last one that it had.
func (l *notices) since(now time.Duration, since, session uint64) []distribution.Notice {
	var fresh []distribution.Notice
	for _, one := range l.list {
		if one.seq > since && one.session != session {
			notice := one.notice
			notice.Reading.Ago = now - one.at
			fresh = append(fresh, notice)
		}
	}
	return fresh
}

// Announce takes a node's notices and hands them on to the other control processes.
func (s *distributionService) Announce(announcement *distribution.Announcement, _ *struct{}) error {
	n := s.node
	n.takeNotices(announcement)
	for _, address := range n.peers.others() {
		go func() {
			var none struct{}
			_ = n.pool.Call(address, distribution.MethodRelay, announcement, &none, relayWait) // a notice that is lost costs little
		}()
	}
	return nil
}

// Relay takes notices from another control process.
func (s *distributionService) Relay(announcement *distribution.Announcement, _ *struct{}) error {
	s.node.takeNotices(announcement)
	return nil
}

func (n *Node) takeNotices(announcement *distribution.Announcement) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notices.add(n.now(), announcement)
	n.announce()
}
