// Package connlimit tracks the connections that one server has accepted, whatever protocol they use: how many are
// open, which one is closed for a new one at the limit, which have been idle for too long, and whether there are
// so many that a response should close its connection. It reads no bytes.
//
// Bounds: one Slot per connection, and at most Settings.Connections of them, not counting those that are being
// evicted or that are closed after their first response.
package connlimit

import (
	"sync"
	"sync/atomic"

	"linenwheel.dev/linenwheel/internal/clock"
)

// State is what a connection is doing. Connections in the first states are evicted first.
type State uint8

// The states.
const (
	StateClosing State = iota // it has its last response
	StateNew                  // it has sent nothing yet
	StateIdle                 // it has sent a request before and may send another one
	StateReading              // part of a request has been read
	StateBusy                 // a request is being handled
)

// Settings describe a Limiter.
type Settings struct {
	Connections int // limit of open connections
	Crowded     int // if at least this many connections have sent a request, a response closes its connection
	Limits      Limits
}

// Limits are times in milliseconds. They can change while the server runs.
type Limits struct {
	Idle   float64 // after which a connection without a request is closed
	Read   float64 // in which a request that has begun must be complete
	First  float64 // the same for the first request, counted from when the client connected
	Settle float64 // after it has connected, in which a client is not evicted if there are others
}

// Conn is an accepted connection of a server.
type Conn interface {
	// CloseIfIdle closes the connection if it carries no request or has its last response, and reports whether it
	// did.
	CloseIfIdle() bool
	// CloseSlowRead ends the connection if a request that has begun is still not complete.
	CloseSlowRead()
}

// Limiter holds the slots of the open connections. Its methods may be called from any goroutine, but not with a
// lock held that the connections' CloseIfIdle or CloseSlowRead take; those of Slot may.
type Limiter struct {
	set    Settings
	clock  clock.Clock
	limits atomic.Pointer[Limits]

	mu         sync.Mutex
	slots      map[*Slot]struct{}
	retired    int // number of slots whose connection is being evicted
	requesting int // number of slots whose connection has sent a request and does not have its last response
}

// New returns an empty limiter.
func New(set Settings, c clock.Clock) *Limiter {
	l := &Limiter{set: set, clock: c, slots: map[*Slot]struct{}{}}
	l.SetLimits(set.Limits)
	return l
}

// SetLimits changes the limits. It may be called at any time.
func (l *Limiter) SetLimits(limits Limits) { l.limits.Store(&limits) }

// Slot is the limiter's record of one connection.
type Slot struct {
	limiter    *Limiter
	conn       Conn
	accepted   float64
	state      State
	since      float64 // when it entered its state
	requested  bool    // it has sent a complete request
	countedOut bool    // it is not counted as requesting any more
	retired    bool    // it is being closed for another connection
}

// Admit adds a new connection. At the limit another one is closed for it; if none can be, once is true and the new
// connection must be closed after its first response.
func (l *Limiter) Admit(conn Conn) (s *Slot, once bool) {
	now := l.clock.Now()
	s = &Slot{limiter: l, conn: conn, state: StateNew, since: now, accepted: now}
	l.mu.Lock()
	var evicted *Slot
	if len(l.slots)-l.retired >= l.set.Connections {
		evicted = l.evict(now)
		once = evicted == nil
	}
	l.slots[s] = struct{}{}
	l.mu.Unlock()
	if evicted != nil {
		go l.retire(evicted)
	}
	return s, once
}

// EvictOne closes one connection for clients that wait to be accepted.
func (l *Limiter) EvictOne() {
	l.mu.Lock()
	evicted := l.evict(l.clock.Now())
	l.mu.Unlock()
	if evicted != nil {
		l.retire(evicted)
	}
}

// evict marks the slot whose connection is best closed for another one and returns it, nil if there is none. The
// caller holds the lock, and calls retire after it has released it.
func (l *Limiter) evict(now float64) *Slot {
	var evicted *Slot
	best := 0.0
	limits := l.limits.Load()
	for s := range l.slots {
		if rank := s.evictionRank(now, limits); rank > best {
			evicted, best = s, rank
		}
	}
	if evicted != nil {
		evicted.retired = true
		l.retired++
	}
	return evicted
}

// The ranks by which connections are evicted: those of the highest rank first, and within a rank the one that has
// been in its state for longest. The differences are greater than any age in milliseconds.
const (
	rankSpared   = 1e12 // accepted just now, or idle for such a short time that it may be about to send a request
	rankIdle     = 2e12
	rankNew      = 3e12
	rankFinished = 4e12 // it has its last response
)

// evictionRank returns the connection's rank plus its age in milliseconds, 0 if it cannot be closed.
func (s *Slot) evictionRank(now float64, limits *Limits) float64 {
	switch age := now - s.since; {
	case s.retired:
		return 0
	case s.state == StateClosing:
		return rankFinished + age
	case s.state == StateNew && age >= limits.Settle:
		return rankNew + age
	case s.state == StateIdle && age >= limits.Idle:
		return rankIdle + age
	case s.state == StateNew || s.state == StateIdle:
		return rankSpared + age
	}
	return 0
}

// retire closes a connection if it is still idle. Otherwise the connection stays, and its slot is not counted as
// retired any more.
func (l *Limiter) retire(s *Slot) {
	if s.conn.CloseIfIdle() {
		return
	}
	l.mu.Lock()
	if s.retired {
		s.retired = false
		l.retired--
	}
	l.mu.Unlock()
}

// SetState records the connection's state from now on; lastRead is when its last bytes were read, in milliseconds.
func (s *Slot) SetState(state State, lastRead float64) {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.state != state {
		s.state, s.since = state, l.clock.Now()
		if state == StateReading {
			s.since = lastRead
		}
	}
	if state == StateBusy && !s.requested {
		s.requested = true
		l.requesting++
	}
	if state == StateClosing {
		s.countOut()
	}
}

// Overdue reports whether a request that has begun should be complete by now. A connection checks it again before
// it ends a slow request: since the limiter looked, that one may have been completed and another one begun.
func (s *Slot) Overdue() bool {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	return s.overdue(s.limiter.clock.Now(), s.limiter.limits.Load())
}

// overdue is Overdue under the lock.
func (s *Slot) overdue(now float64, limits *Limits) bool {
	return s.state == StateReading && (now-s.since >= limits.Read || !s.requested && now-s.accepted >= limits.First)
}

// countOut stops counting a connection as requesting: it has its last response or has ended. The caller holds the
// lock.
func (s *Slot) countOut() {
	if s.requested && !s.countedOut {
		s.countedOut = true
		s.limiter.requesting--
	}
}

// Release frees the slot of a connection that has ended.
func (s *Slot) Release() {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.slots, s)
	s.countOut()
	if s.retired {
		s.retired = false
		l.retired--
	}
}

// Crowded reports whether so many clients hold a connection that a response should close its connection: some
// clients never use theirs again.
func (l *Limiter) Crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requesting >= l.set.Crowded
}

// Connections returns how many connections are open.
func (l *Limiter) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}

// Sweep closes the connections that have carried no request for idle milliseconds, and ends those whose request is
// not complete in time. It must be called often.
func (l *Limiter) Sweep(idle float64) {
	now, limits := l.clock.Now(), l.limits.Load()
	var free, slow []*Slot
	l.mu.Lock()
	for s := range l.slots {
		switch age := now - s.since; {
		case (s.state == StateNew || s.state == StateIdle) && age >= idle:
			free = append(free, s)
		case s.overdue(now, limits):
			slow = append(slow, s)
		}
	}
	l.mu.Unlock()
	for _, s := range free {
		l.retire(s)
	}
	for _, s := range slow {
		s.conn.CloseSlowRead()
	}
}

// IdleLimit returns the current Limits.Idle.
func (l *Limiter) IdleLimit() float64 { return l.limits.Load().Idle }
