package transport

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a sender.
type Limits struct {
	Bytes      int           // that may wait for a slow peer
	Write      time.Duration // in which it must take something
	FirstPause time.Duration // between attempts to connect; doubles, and is spread by half
	LastPause  time.Duration
}

// Sender keeps one connection to a peer and sends what it is given, in order, or drops it. Its methods never wait.
type Sender struct {
	limits Limits
	dial   func() (*Conn, error) // connects; it is called on the sender's goroutine
	lost   func()                // something was dropped
	note   func(err error)       // connecting failed, once until it works; nil = it works again

	mu     sync.Mutex
	queue  []parcel
	bytes  int
	over   bool // nothing is taken any more
	wake   chan struct{}
	again  chan struct{}
	done   chan struct{}
	once   sync.Once
	conn   *Conn
	up     atomic.Bool
	passed atomic.Uint64
}

// parcel is a message, and who wants to know whether it was sent.
type parcel struct {
	kind    Kind
	message []byte
	sent    func(ok bool)
}

// NewSender makes one that runs until Close.
func NewSender(limits Limits, dial func() (*Conn, error), lost func(), note func(error)) *Sender {
	s := &Sender{limits: limits, dial: dial, lost: lost, note: note, wake: make(chan struct{}, 1),
		again: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Send takes a message; sent is called with what became of it, nil = nobody wants to know.
func (s *Sender) Send(kind Kind, message []byte, sent func(bool)) {
	s.mu.Lock()
	fits := !s.over && (len(s.queue) == 0 || s.bytes+len(message) <= s.limits.Bytes)
	if fits {
		s.queue = append(s.queue, parcel{kind, message, sent})
		s.bytes += len(message)
	}
	s.mu.Unlock()
	if !fits {
		s.drop(parcel{sent: sent})
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Sender) drop(p parcel) {
	if p.sent != nil {
		p.sent(false)
	}
	s.lost()
}

// Up tells whether there is a connection, and how many bytes went out.
func (s *Sender) Up() (up bool, bytes uint64) { return s.up.Load(), s.passed.Load() }

// Retry ends the pause between two attempts to connect: the peer has been heard of.
func (s *Sender) Retry() {
	select {
	case s.again <- struct{}{}:
	default:
	}
}

// Close ends it; what waits is dropped.
func (s *Sender) Close() {
	s.once.Do(func() {
		close(s.done)
		s.mu.Lock()
		if s.conn != nil {
			_ = s.conn.Close()
		}
		s.mu.Unlock()
	})
}

func (s *Sender) closed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func (s *Sender) take() (list []parcel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, s.queue, s.bytes = s.queue, nil, 0
	return list
}

func (s *Sender) run() {
	defer func() { // whoever waits to hear of an image would wait for ever
		s.mu.Lock()
		s.over = true
		s.mu.Unlock()
		for _, p := range s.take() {
			s.drop(p)
		}
	}()
	pause, failed := s.limits.FirstPause, false
	for !s.closed() {
		c, err := s.dial()
		if err != nil {
			if !failed {
				s.note(err)
				failed = true
			}
			for _, p := range s.take() { // it is old when there is a connection
				s.drop(p)
			}
			t := time.NewTimer(pause/2 + rand.N(pause))
			select {
			case <-t.C:
				pause = min(2*pause, s.limits.LastPause)
			case <-s.again:
				pause = s.limits.FirstPause
			case <-s.done:
			}
			t.Stop()
			continue
		}
		if failed {
			s.note(nil)
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

// serve sends until the connection breaks, which is seen at once by a reader that waits for nothing else.
func (s *Sender) serve(c *Conn) {
	broken := make(chan struct{})
	go func() {
		_, _, _ = c.Read() // nothing is said to a sender: whatever comes, it is over
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
		list := s.take()
		for len(list) > 0 {
			n := 0
			for frames = frames[:0]; n < len(list) && (n == 0 || len(frames) < maxFrame); n++ {
				frames = Append(frames, list[n].kind, list[n].message)
			}
			if err := s.write(c, frames); err != nil {
				for _, p := range list {
					s.drop(p)
				}
				return
			}
			for _, p := range list[:n] {
				if p.sent != nil {
					p.sent(true)
				}
			}
			list = list[n:]
		}
		if cap(frames) > 4*maxFrame {
			frames = nil
		}
	}
}

// write sends frames in pieces, each within the limit: a slow peer is waited for as long as it takes something.
func (s *Sender) write(c *Conn, frames []byte) error {
	for len(frames) > 0 {
		n := min(len(frames), maxFrame)
		if err := c.write(frames[:n], s.limits.Write); err != nil {
			return errors.Join(err, c.Close())
		}
		s.passed.Add(uint64(n))
		frames = frames[n:]
	}
	return nil
}
