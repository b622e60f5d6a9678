package netpoll

import "sync"

// slots limit how many accepted connections are open at once.
type slots struct {
	mu      sync.Mutex
	free    sync.Cond // signalled when a slot may be free or the slots were closed
	limit   int
	used    int
	waiting int // callers of acquire that wait
	closed  bool
}

func newSlots(limit int) *slots {
	s := &slots{limit: limit}
	s.free.L = &s.mu
	return s
}

// acquire waits for a free slot and takes it. It returns false once the slots are closed.
func (s *slots) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting++
	for s.used >= s.limit && !s.closed {
		s.free.Wait()
	}
	s.waiting--
	if s.closed {
		return false
	}
	s.used++
	return true
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.free.Signal()
}

func (s *slots) resize(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.free.Broadcast()
}

// close makes acquire return false, also for the callers that wait.
func (s *slots) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.free.Broadcast()
}

// hasWaiters reports whether a caller of acquire waits because all slots are in use.
func (s *slots) hasWaiters() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting > 0
}

func (s *slots) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}
