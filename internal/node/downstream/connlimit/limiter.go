// Package connlimit keeps account of the connections that one server has accepted, whatever protocol they speak: how many are open,
// which one is closed for a new one at the limit, which have been idle for too long, and whether there are so many that a
// response is to end its connection. It reads no bytes.
//
// Bounds: one Slot a connection; at most Settings.Connections of them but for those that end with their first answer.
package connlimit

import (
	"sync"
	"sync/atomic"

	"linenwheel.dev/linenwheel/internal/clock"
)

// State is what a connection is doing; those that are closed first for another one come first.
type State uint8

// The states.
const (
	StateClosing State = iota // it has its last answer
	StateNew                  // it has sent nothing yet
	StateIdle                 // it has sent a request before and may send another one
	StateReading              // part of a request has been read
	StateBusy                 // a request is being handled
)

// Settings describe a Limiter.
type Settings struct {
	Connections int // the most open at once
	Crowded     int // from so many on that have sent a request, a response is to end its connection
	Limits      Limits
}

// Limits are what can change meanwhile, in milliseconds.
type Limits struct {
	Idle   float64 // after which a connection without a request is closed
	Read   float64 // in which a request that has begun must be whole,
	First  float64 // the first one counted from when the client connected
	Settle float64 // that a client which has connected has before it may have to make room
}

// Conn is an accepted connection of a server.
type Conn interface {
	// CloseIfIdle closes the connection if it carries no request or has its last response, and reports whether it did.
	CloseIfIdle() bool
	// CloseSlowRead ends the connection if a request that has begun is still not complete.
	CloseSlowRead()
}

// Limiter holds the slots of the open connections. Its methods may be called from any goroutine, but not with a lock held that the
// connections' CloseIfIdle or CloseSlowRead take; those of Slot may.
type Limiter struct {
	set    Settings
	clock  clock.Clock
	limits atomic.Pointer[Limits]

	mu         sync.Mutex
	slots      map[*Slot]struct{}
	retired    int // of them, those that are being closed for others
	requesting int // of them, those that have sent a request and do not have their last response
}

// New makes an empty limiter.
func New(set Settings, c clock.Clock) *Limiter {
	l := &Limiter{set: set, clock: c, slots: map[*Slot]struct{}{}}
	l.SetLimits(set.Limits)
	return l
}

// SetLimits changes the limits. It may be called at any time.
func (l *Limiter) SetLimits(limits Limits) { l.limits.Store(&limits) }

// Slot is the account of one connection.
type Slot struct {
	limiter    *Limiter
	conn       Conn
	accepted   float64
	state      State
	since      float64 // it is in its state since then
	requested  bool    // it has sent a complete request
	countedOut bool    // it is not counted as requesting any more
	retired    bool    // it is being closed for another connection
}

// Admit takes a new connection. At the limit another one is closed for it; where none can be, the new one is to end with its first
// response (once).
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

// EvictOne closes one connection for clients who wait to be accepted.
func (l *Limiter) EvictOne() {
	l.mu.Lock()
	evicted := l.evict(l.clock.Now())
	l.mu.Unlock()
	if evicted != nil {
		l.retire(evicted)
	}
}

// evict marks the slot that is best closed for another connection and returns it, nil if there is none. The caller holds the lock and
// calls retire without it.
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

// The ranks by which connections are closed for others: those of the highest first, and of one rank the one that has been so for longest.
// They are further apart than any age in milliseconds.
const (
	rankSpared   = 1e12 // accepted just now, or idle for so short a time that it may be about to send a request
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

// retire closes an evicted connection if it is still idle; otherwise it stays.
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

// SetState records the connection's state from now on; came is when its last bytes were read, in milliseconds.
func (s *Slot) SetState(state State, came float64) {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.state != state {
		s.state, s.since = state, l.clock.Now()
		if state == StateReading {
			s.since = came
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

// Overdue reports whether a request that has begun should be complete by now. A connection checks it again before it ends a slow request:
// since the limiter looked, that one may have been completed and another one begun.
func (s *Slot) Overdue() bool {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	return s.overdue(s.limiter.clock.Now(), s.limiter.limits.Load())
}

// overdue is Overdue under the lock.
func (s *Slot) overdue(now float64, limits *Limits) bool {
	return s.state == StateReading && (now-s.since >= limits.Read || !s.requested && now-s.accepted >= limits.First)
}

// countOut stops counting a connection as requesting: it has its last response or has ended. The caller holds the lock.
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

// Crowded reports whether so many clients hold a connection that a response is to end its connection: some never use theirs again.
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

// Sweep closes the connections that have carried no request for an idle time in milliseconds, and ends those whose request is not
// complete in time. It is to be called often.
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

// IdleLimit returns the present Limits.Idle.
func (l *Limiter) IdleLimit() float64 { return l.limits.Load().Idle }
