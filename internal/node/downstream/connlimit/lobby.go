// Package connlimit keeps account of one front's connections of clients, whatever they speak: how many there are, which one makes
// room for another, which have carried nothing for too long, and whether it is so crowded that an answer is to end its
// connection. It reads no bytes.
//
// Bounds: one Seat a connection; at most Settings.Connections of them but for those that end with their first answer.
package connlimit

import (
	"sync"
	"sync/atomic"

	"linenwheel.dev/linenwheel/internal/clock"
)

// State is what a connection is about; those that make room for others come first.
type State uint8

// The states.
const (
	Leaving State = iota // it has its last answer
	Silent               // it has sent nothing yet
	Idle                 // it has asked and may ask again
	Reading              // part of a request has come
	Busy                 // a request is being handled
)

// Settings describe a lobby.
type Settings struct {
	Connections int // the most open at once
	Crowded     int // from so many on that have asked, an answer is to end its connection
	Limits      Limits
}

// Limits are what can change meanwhile, in milliseconds.
type Limits struct {
	Idle   float64 // after which a connection without a request is closed
	Read   float64 // in which a request that has begun must be whole,
	First  float64 // the first one counted from when the client connected
	Settle float64 // that a client which has connected has before it may have to make room
}

// Guest is a front's connection.
type Guest interface {
	// Retire closes it if it carries nothing, or has its last answer, and tells whether it did.
	Retire() bool
	// Slow ends it if a request that has begun is still not whole.
	Slow()
}

// Lobby holds the seats. All of its methods may be called from any goroutine, none with a guest's own lock held that Retire
// or Slow take, but for those of Seat.
type Lobby struct {
	set    Settings
	clock  clock.Clock
	limits atomic.Pointer[Limits]

	mu      sync.Mutex
	seats   map[*Seat]struct{}
	retired int // of them, those that were told to make room,
	askers  int // and those that have asked and do not have their last answer
}

// New makes an empty lobby.
func New(set Settings, c clock.Clock) *Lobby {
	l := &Lobby{set: set, clock: c, seats: map[*Seat]struct{}{}}
	l.Limit(set.Limits)
	return l
}

// Limit changes the limits, at any time.
func (l *Lobby) Limit(limits Limits) { l.limits.Store(&limits) }

// Seat is one connection's place.
type Seat struct {
	lobby    *Lobby
	guest    Guest
	accepted float64
	state    State
	since    float64 // it is in its state since then
	asked    bool    // a whole request has come,
	left     bool    // and it has had its last answer
	retired  bool    // it was told to make room
}

// Sit takes a new connection. Over the cap, another one makes room; where none can, the new one is to end with its first
// answer.
func (l *Lobby) Sit(g Guest) (s *Seat, once bool) {
	now := l.clock.Now()
	s = &Seat{lobby: l, guest: g, state: Silent, since: now, accepted: now}
	l.mu.Lock()
	var victim *Seat
	if len(l.seats)-l.retired >= l.set.Connections {
		if victim = l.victim(now); victim != nil {
			victim.retired = true
			l.retired++
		}
		once = victim == nil
	}
	l.seats[s] = struct{}{}
	l.mu.Unlock()
	if victim != nil {
		go l.retire(victim)
	}
	return s, once
}

// MakeRoom has a connection make room for clients who wait because all places are taken.
func (l *Lobby) MakeRoom() {
	l.mu.Lock()
	victim := l.victim(l.clock.Now())
	if victim != nil {
		victim.retired = true
		l.retired++
	}
	l.mu.Unlock()
	if victim != nil {
		l.retire(victim)
	}
}

// victim finds, under the lock, the seat that makes room: one that has its last answer, else one that has sent nothing, else
// one that asked before, each time the one that is so for longest. Those that came just now, and those that may be about to
// ask again, are spared as long as there are others.
func (l *Lobby) victim(now float64) *Seat {
	limits := l.limits.Load()
	rank := func(s *Seat) float64 {
		switch age := now - s.since; {
		case s.retired:
			return 0
		case s.state == Leaving:
			return 4e12 + age
		case s.state == Silent && age >= limits.Settle:
			return 3e12 + age
		case s.state == Idle && age >= limits.Idle:
			return 2e12 + age
		case s.state == Silent || s.state == Idle:
			return 1e12 + age
		}
		return 0
	}
	var victim *Seat
	best := 0.0
	for s := range l.seats {
		if r := rank(s); r > best {
			victim, best = s, r
		}
	}
	return victim
}

// retire has a guest go if it can, and otherwise lets it stay.
func (l *Lobby) retire(s *Seat) {
	if s.guest.Retire() {
		return
	}
	l.mu.Lock()
	if s.retired {
		s.retired = false
		l.retired--
	}
	l.mu.Unlock()
}

// Enter notes what the connection is about from now on, or that it still is; bytes came last at a time.
func (s *Seat) Enter(state State, came float64) {
	l := s.lobby
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.state != state {
		s.state, s.since = state, l.clock.Now()
		if state == Reading {
			s.since = came
		}
	}
	if state == Busy && !s.asked {
		s.asked = true
		l.askers++
	}
	if state == Leaving {
		s.leave()
	}
}

// Overdue tells whether a request that has begun should be whole by now. A guest asks it before it ends one as slow: since the lobby has
// looked, that one may have come and another begun.
func (s *Seat) Overdue() bool {
	s.lobby.mu.Lock()
	defer s.lobby.mu.Unlock()
	return s.overdue(s.lobby.clock.Now(), s.lobby.limits.Load())
}

// overdue is Overdue under the lock.
func (s *Seat) overdue(now float64, limits *Limits) bool {
	return s.state == Reading && (now-s.since >= limits.Read || !s.asked && now-s.accepted >= limits.First)
}

// leave counts a seat out, under the lock, that has had its last answer or has ended.
func (s *Seat) leave() {
	if s.asked && !s.left {
		s.left = true
		s.lobby.askers--
	}
}

// Rise takes the end of the connection.
func (s *Seat) Rise() {
	l := s.lobby
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.seats, s)
	s.leave()
	if s.retired {
		s.retired = false
		l.retired--
	}
}

// Crowded tells that clients may hold only so many connections, and nearly do: some hold on to what they do not use again.
func (l *Lobby) Crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.askers >= l.set.Crowded
}

// Connections is how many connections are open.
func (l *Lobby) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.seats)
}

// Sweep has those go that have carried no request for an idle time in milliseconds, and ends those whose request is not whole
// in time; it is to be called often.
func (l *Lobby) Sweep(idle float64) {
	now, limits := l.clock.Now(), l.limits.Load()
	var free, slow []*Seat
	l.mu.Lock()
	for s := range l.seats {
		switch age := now - s.since; {
		case (s.state == Silent || s.state == Idle) && age >= idle:
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
		s.guest.Slow()
	}
}

// IdleLimit is Limits.Idle as it is now.
func (l *Lobby) IdleLimit() float64 { return l.limits.Load().Idle }
