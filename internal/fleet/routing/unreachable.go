package routing

import "time"

// Parameters of the avoidance of unreachable backends.
const (
	initialAvoidance  = 800 * time.Millisecond // doubled each time the backend is found unreachable again
	maxAvoidance      = 2 * time.Second
	maxDoublings      = 4
	ownEvidenceMaxAge = 300 * time.Millisecond // a response to this node within this time outweighs another node's report
)

// avoidance keeps requests away from a backend that could not be reached. decide ejects a backend only after more
// failures than chance explains, and each node sees few of them; a failed connection is reported to all nodes at
// once and keeps their requests away for a while.
type avoidance struct {
	until    time.Duration
	failures int // in a row
}

// avoided reports whether requests should go to other members.
func (m *member) avoided(now time.Duration) bool { return now < m.avoidance.until }

// recordResponse records a response, which ends an avoidance.
func (m *member) recordResponse(now time.Duration) {
	m.respondedAt = now
	m.avoidance = avoidance{}
}

// avoid starts an avoidance. During an avoidance, failures of attempts that were sent before it are not new
// evidence.
func (m *member) avoid(now time.Duration) {
	if m.avoided(now) {
		return
	}
	m.avoidance.until = now + min(initialAvoidance<<min(m.avoidance.failures, maxDoublings), maxAvoidance)
	m.avoidance.failures++
}

// Unreachable records that this node could not connect to the backend of an attempt. It is called in addition to
// Done.
func (b *Balancer) Unreachable(now time.Duration, attempt *Attempt) {
	if m := b.members[attempt.Backend.ID]; m != nil {
		m.avoid(now)
		b.events = append(b.events, Event{Kind: EventUnreachable, Backend: m.tag})
	}
}

// observeUnreachable applies another node's report that it could not connect to a member. A node with faulty
// network links of its own reports many members: therefore a recent response to this node outweighs the report,
// and such reports cause at most half of the members to be avoided.
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
