package routing

import "time"

// The figures of suspicion.
const (
	suspectFirst = 800 * time.Millisecond // that a rater gets nothing after it was found unreachable, doubled each time
	suspectMost  = 2 * time.Second
	trustOwn     = 300 * time.Millisecond // an answer of the rater to this node so short ago weighs more than another's notice
)

// suspicion is that a rater cannot be reached. A balancer puts a rater away after failures beyond chance, of which each node
// sees few; that a connection could not be made is told to the other nodes at once and keeps requests away for a while.
type suspicion struct {
	until time.Duration
	times int
}

func (m *member) suspected(now time.Duration) bool { return now < m.suspect.until }

// answered ends a suspicion.
func (m *member) answered(now time.Duration) {
	m.heardAt = now
	m.suspect = suspicion{}
}

func (m *member) raise(now time.Duration) {
	if m.suspected(now) { // what was sent before tells nothing new
		return
	}
	m.suspect.until = now + min(suspectFirst<<min(m.suspect.times, 4), suspectMost)
	m.suspect.times++
}

// Unreachable notes that this node could not reach the rater of an attempt.
func (s *Balancer) Unreachable(now time.Duration, t *Attempt) {
	if m := s.members[t.Backend.ID]; m != nil {
		m.raise(now)
		s.events = append(s.events, Event{Kind: EventUnreachable, Backend: m.tag})
	}
}

// heardUnreachable takes another node's notice that it could not reach a rater. A node whose own links are at fault tells so of
// many: what this node hears from a rater, and notices about more than half of them, go before it.
func (s *Balancer) heardUnreachable(now time.Duration, m *member) {
	if m.heardAt > 0 && now-m.heardAt < trustOwn {
		return
	}
	suspected := 1
	for _, other := range s.members {
		if other.suspected(now) {
			suspected++
		}
	}
	if 2*suspected <= len(s.members) {
		m.raise(now)
	}
}
