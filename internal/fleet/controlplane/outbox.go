package controlplane

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// Parameters of the messages between members.
const (
	queueSize        = 64              // messages
	controlTimeout   = time.Second     // of a heartbeat, a vote or another small message
	bulkTimeout      = 2 * time.Second // of a message with orders or a snapshot chunk; allows for a slow, busy link
	queueIdleTimeout = 10 * time.Second
)

// queueKey identifies a queue. Each peer has two, so that bulk messages do not delay heartbeats and votes: delayed
// ones would make this member appear to have failed.
type queueKey struct {
	address string
	bulk    bool
}

// outbox sends the replica's messages. Each queue is bounded and has one goroutine, which sends in order and ends
// when the queue has been empty for queueIdleTimeout. Messages beyond the bound are dropped, and failed sends are
// not retried here: the replica protocol resends messages that matter.
type outbox struct {
	pool    *transport.Pool
	refused func(address string) // called when a peer refuses connections

	mu     sync.Mutex
	closed bool
	queues map[queueKey]chan replica.Envelope
}

func newOutbox(pool *transport.Pool, refused func(address string)) *outbox {
	return &outbox{pool: pool, refused: refused, queues: map[queueKey]chan replica.Envelope{}}
}

// isBulk reports whether a message may be large.
func isBulk(message replica.Message) bool {
	switch message.(type) {
	case replica.Append, replica.FetchReply, replica.SnapshotChunk:
		return true
	}
	return false
}

// send queues a message. It does not block.
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

// run sends the messages of a queue one at a time.
func (o *outbox) run(key queueKey, queue chan replica.Envelope) {
	timeout := controlTimeout
	if key.bulk {
		timeout = bulkTimeout
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
			err := o.pool.Call(envelope.To.Address, MethodDeliver, &envelope, &none, timeout)
			if errors.Is(err, syscall.ECONNREFUSED) {
				o.refused(envelope.To.Address)
			}
			idle.Reset(queueIdleTimeout)
		case <-idle.C:
			if o.removeIfEmpty(key, queue) {
				return
			}
			idle.Reset(queueIdleTimeout)
		}
	}
}

// removeIfEmpty removes a queue if it is empty, and reports whether it did. If so, the queue's goroutine must end.
func (o *outbox) removeIfEmpty(key queueKey, queue chan replica.Envelope) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(o.queues, key)
	return true
}

// close makes the goroutines end after sending the queued messages. It does not wait for them.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for key, queue := range o.queues {
		close(queue)
		delete(o.queues, key)
	}
}
