package controlplane

import (
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// The figures of the messages between members.
const (
	laneSize    = 64
	votesWait   = time.Second     // that a small message may take
	ordersWait  = 2 * time.Second // that one with orders or a piece of a snapshot may take over a small, busy link
	laneIdleFor = 10 * time.Second
)

// lane orders the messages to one peer. Those with orders do not hold up heartbeats and votes.
type lane struct {
	address string
	bulk    bool
}

// outbox sends messages: for each lane there is one goroutine, which ends when there is nothing to do, and a bounded queue.
// What finds no place is dropped; the machine sends again what matters.
type outbox struct {
	pool *transport.Pool

	mu     sync.Mutex
	closed bool
	lanes  map[lane]chan replica.Envelope
}

func newOutbox(pool *transport.Pool) *outbox {
	return &outbox{pool: pool, lanes: map[lane]chan replica.Envelope{}}
}

func isBulk(message replica.Message) bool {
	switch message.(type) {
	case replica.Append, replica.FetchReply, replica.SnapshotChunk:
		return true
	}
	return false
}

// post queues a message.
func (o *outbox) post(envelope replica.Envelope) {
	key := lane{envelope.To.Address, isBulk(envelope.Body)}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	queue := o.lanes[key]
	if queue == nil {
		queue = make(chan replica.Envelope, laneSize)
		o.lanes[key] = queue
		go o.run(key, queue)
	}
	select {
	case queue <- envelope:
	default:
	}
}

// run sends the messages of a lane, one after the other.
func (o *outbox) run(key lane, queue chan replica.Envelope) {
	wait := votesWait
	if key.bulk {
		wait = ordersWait
	}
	idle := time.NewTimer(laneIdleFor)
	defer idle.Stop()
	for {
		select {
		case envelope, open := <-queue:
			if !open {
				return
			}
			var none struct{}
			_ = o.pool.Call(envelope.To.Address, MethodDeliver, &envelope, &none, wait)
			idle.Reset(laneIdleFor)
		case <-idle.C:
			if o.retire(key, queue) {
				return
			}
			idle.Reset(laneIdleFor)
		}
	}
}

// retire forgets a lane whose queue is empty.
func (o *outbox) retire(key lane, queue chan replica.Envelope) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(o.lanes, key)
	return true
}

// close ends the goroutines once their queues are empty.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for key, queue := range o.lanes {
		close(queue)
		delete(o.lanes, key)
	}
}
