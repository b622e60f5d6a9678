package controlplane

import (
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
)

// Parameters of the forwarding of announcements between control processes.
const (
	forwardTimeout  = 200 * time.Millisecond
	forwardDelay    = 8 * time.Millisecond // before a request is sent, so that it batches several announcements
	maxForwardQueue = 512                  // announcements for one process
)

// forwarder queues announcements for each of the other control processes, in order. At most one goroutine (running
// Node.forwardTo) sends to a process at a time, because two could reorder the announcements. The goroutine ends
// when the queue is empty.
type forwarder struct {
	mu     sync.Mutex
	queues map[string]*forwardQueue // by address, while a sending goroutine runs
}

// forwardQueue is the queue for one process.
type forwardQueue struct {
	pending []distribution.Announcement
	running bool // a sending goroutine runs
}

// enqueue queues an announcement for a process. If it returns true, the caller must start the sending goroutine.
// If the queue is full, the announcement is dropped: a lost event only makes a node's choice of backends slightly
// worse for a moment.
func (f *forwarder) enqueue(address string, announcement *distribution.Announcement) (start bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	queue := f.queues[address]
	if queue == nil {
		queue = &forwardQueue{}
		f.queues[address] = queue
	}
	if len(queue.pending) < maxForwardQueue {
		queue.pending = append(queue.pending, *announcement)
	}
	start = !queue.running
	queue.running = true
	return start
}

// drain removes and returns the announcements for a process. If there are none, it removes the queue, and the
// sending goroutine must end.
func (f *forwarder) drain(address string) []distribution.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	queue := f.queues[address]
	pending := queue.pending
	queue.pending = nil
	if len(pending) == 0 {
		delete(f.queues, address)
	}
	return pending
}

// Announce applies the events of a data plane node and forwards them to the other control processes.
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

// Relay applies events that another control process forwarded.
func (s *distributionService) Relay(request *distribution.ForwardRequest, _ *struct{}) error {
	for i := range request.Announcements {
		if err := s.node.applyEvents(&request.Announcements[i]); err != nil {
			return err
		}
	}
	return nil
}

// forwardTo sends the queued announcements to another control process until the queue is empty.
func (n *Node) forwardTo(address string) {
	for {
		time.Sleep(forwardDelay)
		request := distribution.ForwardRequest{Announcements: n.forwarder.drain(address)}
		if len(request.Announcements) == 0 {
			return
		}
		var none struct{}
		_ = n.pool.Call(address, distribution.MethodForward, &request, &none, forwardTimeout) // not retried: see enqueue
	}
}
