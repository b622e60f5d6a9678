package datanode

import (
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
)

// The figures of announcing.
const (
	announceQueue = 256
	announceWait  = 150 * time.Millisecond
	gatherFor     = 2 * time.Millisecond // notices that come so close together go out together
	fleetNotices  = 60.0                 // prompts that all nodes together announce in a second: each notice goes to every node
	savedNotices  = 3.0                  // seconds of a node's part that may come at once
	thresholdUp   = 1.10                 // a prompt that finds no room raises the size from which on prompts are announced,
	thresholdDown = 0.97                 // one that does lowers it
)

// announcer hands the node's notices of long prompts to the control process that it polls. The larger the fleet, the longer
// a prompt must be: what all nodes together announce is bounded.
type announcer struct {
	node  *Node
	queue chan distribution.Notice

	mu        sync.Mutex
	threshold float64
	room      float64
	roomAt    time.Duration
	told      map[uint64]bool // prompts that were announced and are being read
}

func newAnnouncer(n *Node) *announcer {
	return &announcer{node: n, queue: make(chan distribution.Notice, announceQueue), told: map[uint64]bool{}}
}

// add queues a notice if it is worth telling. One that finds no place is dropped: it would be too late.
func (a *announcer) add(notice distribution.Notice) {
	if !a.worth(&notice) {
		return
	}
	select {
	case a.queue <- notice:
	default:
	}
}

func (a *announcer) worth(notice *distribution.Notice) bool {
	reading := &notice.Reading
	if reading.Down {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if reading.Ended {
		told := a.told[reading.ID]
		delete(a.told, reading.ID)
		return told
	}
	now := a.node.now()
	rate := fleetNotices / float64(a.node.follower.nodesHint.Load())
	a.room = min(a.room+rate*(now-a.roomAt).Seconds(), max(1, savedNotices*rate))
	a.roomAt = now
	if reading.Tokens < a.threshold {
		return false
	}
	if a.room < 1 {
		a.threshold = max(a.threshold, reading.Tokens*(thresholdUp-1)) * thresholdUp
		return false
	}
	a.room--
	a.threshold *= thresholdDown
	a.told[reading.ID] = true
	return true
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
