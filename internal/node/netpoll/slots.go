package netpoll

import "sync"

// slots bound how many connections that came in are open at once.
type slots struct {
	mu     sync.Mutex
	free   sync.Cond // signalled when one may be free, or nobody is to wait any more
	most   int
	taken  int
	wanted int // how many wait for one
	closed bool
}

func newSlots(most int) *slots {
	s := &slots{most: most}
	s.free.L = &s.mu
	return s
}

// take waits for a free one; it fails once they are closed.
func (s *slots) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted++
	for s.taken >= s.most && !s.closed {
		s.free.Wait()
	}
	s.wanted--
	if s.closed {
		return false
	}
	s.taken++
	return true
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken--
	s.free.Signal()
}

func (s *slots) resize(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
	s.free.Broadcast()
}

// close lets nobody wait any more.
func (s *slots) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.free.Broadcast()
}

// short tells whether one is waited for, since all are taken.
func (s *slots) short() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wanted > 0
}

func (s *slots) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken
}
