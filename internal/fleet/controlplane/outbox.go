package controlplane

import (
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// The figures of the messages between members.
const (
	queueSize        = 64
	controlTimeout   = time.Second     // that a small message may take
	bulkTimeout      = 2 * time.Second // that one with orders or a piece of a snapshot may take over a small, busy link
	queueIdleTimeout = 10 * time.Second
)

// queueKey orders the messages to one peer. Those with orders do not hold up heartbeats and votes.
type queueKey struct {
	address string
	bulk    bool
}

// outbox sends messages: for each lane there is one goroutine, which ends when there is nothing to do, and a bounded queue.
// What finds no place is dropped; the machine sends again what matters.
type outbox struct {
	pool *transport.Pool

	mu     sync.Mutex
	closed bool
	queues map[queueKey]chan replica.Envelope
}

func newOutbox(pool *transport.Pool) *outbox {
	return &outbox{pool: pool, queues: map[queueKey]chan replica.Envelope{}}
}

func isBulk(message replica.Message) bool {
	switch message.(type) {
	case replica.Append, replica.FetchReply, replica.SnapshotChunk:
		return true
	}
	return false
}

// send queues a message.
func (o *outbox) send(envelope replica.Envelope) {
	key := queueKey{envelope.To.Address, isBulk(envelope.Body)}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	queue := o.queues[key]
	if queue == nil {
		queue = make(chan replica.Envelope, queueSize)
		o.queues[key] = queue
		go o.run(key, queue)
	}
	select {
	case queue <- envelope:
	default:
	}
}

// run sends the messages of a lane, one after the other.
func (o *outbox) run(key queueKey, queue chan replica.Envelope) {
	wait := controlTimeout
	if key.bulk {
		wait = bulkTimeout
	}
	idle := time.NewTimer(queueIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case envelope, open := <-queue:
			if !open {
				return
			}
			var none struct{}
			_ = o.pool.Call(envelope.To.Address, MethodDeliver, &envelope, &none, wait)
			idle.Reset(queueIdleTimeout)
		case <-idle.C:
			if o.removeIfEmpty(key, queue) {
				return
			}
			idle.Reset(queueIdleTimeout)
		}
	}
}

// removeIfEmpty forgets a lane whose queue is empty.
func (o *outbox) removeIfEmpty(key queueKey, queue chan replica.Envelope) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(o.queues, key)
	return true
}

// close ends the goroutines once their queues are empty.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for key, queue := range o.queues {
		close(queue)
		delete(o.queues, key)
	}
}
