package routing

import "time"

// Parameters of the avoidance of unreachable backends.
const (
	initialAvoidance  = 800 * time.Millisecond // doubled each time that the backend is found unreachable again
	maxAvoidance      = 2 * time.Second
	maxDoublings      = 4
	ownEvidenceMaxAge = 300 * time.Millisecond // a response to this node so short ago outweighs another node's report
)

// avoidance keeps requests from a backend that could not be reached. decide ejects a backend after more failures than chance
// explains, of which each node sees few; that a connection could not be made is reported to all nodes at once and keeps requests
// away for a while.
type avoidance struct {
	until    time.Duration
	failures int // in a row
}

// avoided reports whether requests are to go elsewhere.
func (m *member) avoided(now time.Duration) bool { return now < m.avoidance.until }

// recordResponse records a sign of life, which ends an avoidance.
func (m *member) recordResponse(now time.Duration) {
	m.respondedAt = now
	m.avoidance = avoidance{}
}

// avoid starts an avoidance. During one, attempts that were sent before it tell nothing new.
func (m *member) avoid(now time.Duration) {
	if m.avoided(now) {
		return
	}
	m.avoidance.until = now + min(initialAvoidance<<min(m.avoidance.failures, maxDoublings), maxAvoidance)
	m.avoidance.failures++
}

// Unreachable records that this node could not reach the backend of an attempt. It comes beside Done.
func (b *Balancer) Unreachable(now time.Duration, attempt *Attempt) {
	if m := b.members[attempt.Backend.ID]; m != nil {
		m.avoid(now)
		b.events = append(b.events, Event{Kind: EventUnreachable, Backend: m.tag})
	}
}

// observeUnreachable applies another node's report that it could not reach a member. A node whose own links are at fault reports
// many members: so a recent response to this node outweighs the report, and no more than half of the members are avoided.
func (b *Balancer) observeUnreachable(now time.Duration, m *member) {
	if m.respondedAt > 0 && now-m.respondedAt < ownEvidenceMaxAge {
		return
	}
	avoided := 1
	for _, other := range b.members {
		if other.avoided(now) {
			avoided++
		}
	}
	if 2*avoided <= len(b.members) {
		m.avoid(now)
	}
}
