package datanode

import (
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
)

// The figures of announcing.
const (
	announceQueue = 256
	announceWait  = 150 * time.Millisecond
	gatherFor     = 2 * time.Millisecond // notices that come so close together go out together
)

// announcer hands the node's notices of long prompts to the control process that it polls.
type announcer struct {
	node  *Node
	queue chan distribution.Notice
}

func newAnnouncer(n *Node) *announcer {
	return &announcer{node: n, queue: make(chan distribution.Notice, announceQueue)}
}

// add queues a notice. One that finds no place is dropped: it would be too late.
func (a *announcer) add(notice distribution.Notice) {
	select {
	case a.queue <- notice:
	default:
	}
}

func (a *announcer) run() {
	for first := range a.queue {
		notices := []distribution.Notice{first}
		time.Sleep(gatherFor)
		for len(a.queue) > 0 {
			notices = append(notices, <-a.queue)
		}
		address := a.node.follower.current.Load()
		if address == nil || *address == "" {
			continue
		}
		announcement := distribution.Announcement{Session: a.node.session, Notices: notices}
		var none struct{}
		_ = a.node.pool.Call(*address, distribution.MethodAnnounce, &announcement, &none, announceWait)
	}
}
