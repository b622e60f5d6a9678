package routing

import "time"

// The figures of suspicion.
const (
	initialAvoidance  = 800 * time.Millisecond // that a rater gets nothing after it was found unreachable, doubled each time
	maxAvoidance      = 2 * time.Second
	ownEvidenceMaxAge = 300 * time.Millisecond // an answer of the rater to this node so short ago weighs more than another's notice
)

// avoidance is that a rater cannot be reached. A balancer puts a rater away after failures beyond chance, of which each node
// sees few; that a connection could not be made is told to the other nodes at once and keeps requests away for a while.
type avoidance struct {
	until    time.Duration
	failures int
}

func (m *member) avoided(now time.Duration) bool { return now < m.avoidance.until }

// recordResponse ends a suspicion.
func (m *member) recordResponse(now time.Duration) {
	m.respondedAt = now
	m.avoidance = avoidance{}
}

func (m *member) avoid(now time.Duration) {
	if m.avoided(now) { // what was sent before tells nothing new
		return
	}
	m.avoidance.until = now + min(initialAvoidance<<min(m.avoidance.failures, 4), maxAvoidance)
	m.avoidance.failures++
}

// Unreachable notes that this node could not reach the rater of an attempt.
func (s *Balancer) Unreachable(now time.Duration, t *Attempt) {
	if m := s.members[t.Backend.ID]; m != nil {
		m.avoid(now)
		s.events = append(s.events, Event{Kind: EventUnreachable, Backend: m.tag})
	}
}

// observeUnreachable takes another node's notice that it could not reach a rater. A node whose own links are at fault tells so of
// many: what this node hears from a rater, and notices about more than half of them, go before it.
func (s *Balancer) observeUnreachable(now time.Duration, m *member) {
	if m.respondedAt > 0 && now-m.respondedAt < ownEvidenceMaxAge {
		return
	}
	suspected := 1
	for _, other := range s.members {
		if other.avoided(now) {
			suspected++
		}
	}
	if 2*suspected <= len(s.members) {
		m.avoid(now)
	}
}
