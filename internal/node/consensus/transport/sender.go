package transport

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Limits are the parameters of a Sender.
type Limits struct {
	Bytes      int           // size of the queue for a slow peer
	Write      time.Duration // timeout for the peer to accept up to maxFrameBytes
	FirstPause time.Duration // between connection attempts; doubles after each, randomized by half
	LastPause  time.Duration
}

// Sender maintains a connection to a peer and sends messages to it in order, or drops them. Its methods never
// block and are safe for concurrent use.
type Sender struct {
	limits       Limits
	dial         func() (*Conn, error)
	onDrop       func()
	onConnection func(err error)

	wake      chan struct{} // the queue is not empty
	retry     chan struct{} // ends the pause between two connection attempts
	done      chan struct{} // closed by Close
	closeOnce sync.Once
	up        atomic.Bool
	sentBytes atomic.Uint64 // bytes sent

	mu     sync.Mutex // guards the fields below
	queue  []outgoing
	bytes  int  // size of the queue
	closed bool // the queue accepts no more messages
	conn   *Conn
}

// outgoing is a message in the queue.
type outgoing struct {
	kind    Kind
	message []byte
	sent    func(ok bool) // called with the outcome; may be nil
}

// NewSender returns a sender that runs until Close. dial connects to the peer and runs on the sender's goroutine.
// onDrop is called for each dropped message, on any goroutine. onConnection is called with the error when a
// connection attempt fails for the first time, and with nil once an attempt succeeds again.
func NewSender(limits Limits, dial func() (*Conn, error), onDrop func(), onConnection func(err error)) *Sender {
	s := &Sender{limits: limits, dial: dial, onDrop: onDrop, onConnection: onConnection, wake: make(chan struct{}, 1),
		retry: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Send queues a message, or drops it if the queue is full. If sent is not nil, it is called once, on any goroutine
// and possibly before Send returns: with true when the message was passed to the kernel, with false when it was
// dropped.
func (s *Sender) Send(kind Kind, message []byte, sent func(ok bool)) {
	s.mu.Lock()
	fits := !s.closed && (len(s.queue) == 0 || s.bytes+len(message) <= s.limits.Bytes)
	if fits {
		s.queue = append(s.queue, outgoing{kind, message, sent})
		s.bytes += len(message)
	}
	s.mu.Unlock()
	if !fits {
		s.drop(outgoing{sent: sent})
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Sender) drop(messages ...outgoing) {
	for _, m := range messages {
		if m.sent != nil {
			m.sent(false)
		}
		s.onDrop()
	}
}

// Up reports whether there is a connection, and returns the number of bytes sent since NewSender.
func (s *Sender) Up() (up bool, bytes uint64) { return s.up.Load(), s.sentBytes.Load() }

// Retry ends the pause between two connection attempts, because the peer is known to be reachable.
func (s *Sender) Retry() {
	select {
	case s.retry <- struct{}{}:
	default:
	}
}

// Close stops the sender. Queued messages are dropped.
func (s *Sender) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.conn != nil {
			_ = s.conn.Close()
		}
	})
}

func (s *Sender) isDone() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// takeQueue empties the queue and returns its messages.
func (s *Sender) takeQueue() []outgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	messages := s.queue
	s.queue, s.bytes = nil, 0
	return messages
}

func (s *Sender) run() {
	defer func() { // report queued messages as dropped: a caller that waits for the outcome of an image must not wait forever
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
		s.drop(s.takeQueue()...)
	}()
	pause, failed := s.limits.FirstPause, false
	for !s.isDone() {
		c, err := s.dial()
		if err != nil {
			if !failed {
				s.onConnection(err)
				failed = true
			}
			s.drop(s.takeQueue()...) // the messages would be outdated by the time there is a connection
			pause = s.backOff(pause)
			continue
		}
		if failed {
			s.onConnection(nil)
		}
		pause, failed = s.limits.FirstPause, false
		s.mu.Lock()
		s.conn = c
		s.mu.Unlock()
		s.up.Store(true)
		s.serve(c)
		s.up.Store(false)
		_ = c.Close()
	}
}

// backOff waits before the next connection attempt, and returns the pause to use after that attempt.
func (s *Sender) backOff(pause time.Duration) time.Duration {
	t := time.NewTimer(pause/2 + rand.N(pause))
	defer t.Stop()
	select {
	case <-t.C:
		return min(2*pause, s.limits.LastPause)
	case <-s.retry:
		return s.limits.FirstPause
	case <-s.done:
		return pause
	}
}

// serve sends messages until the connection breaks. A reading goroutine detects that at once: a peer never sends
// anything to a sender, so that whatever is read ends the connection.
func (s *Sender) serve(c *Conn) {
	broken := make(chan struct{})
	go func() {
		_, _, _ = c.Read()
		_ = c.Close()
		close(broken)
	}()
	defer func() { _ = c.Close(); <-broken }()
	var frames []byte
	for {
		select {
		case <-s.wake:
		case <-broken:
			return
		case <-s.done:
			return
		}
		messages := s.takeQueue()
		for len(messages) > 0 {
			n := 0
			for frames = frames[:0]; n < len(messages) && (n == 0 || len(frames) < maxFrameBytes); n++ {
				frames = Append(frames, messages[n].kind, messages[n].message)
			}
			if err := s.write(c, frames); err != nil {
				s.drop(messages...)
				return
			}
			for _, m := range messages[:n] {
				if m.sent != nil {
					m.sent(true)
				}
			}
			messages = messages[n:]
		}
		if cap(frames) > 4*maxFrameBytes {
			frames = nil // do not keep the memory of a large message
		}
	}
}

// write writes frames in pieces, each with a timeout of its own: a slow peer is tolerated as long as it makes
// progress.
func (s *Sender) write(c *Conn, frames []byte) error {
	for len(frames) > 0 {
		n := min(len(frames), maxFrameBytes)
		if err := c.writeFrames(frames[:n], s.limits.Write); err != nil {
			return errors.Join(err, c.Close())
		}
		s.sentBytes.Add(uint64(n))
		frames = frames[n:]
	}
	return nil
}
