package replica

import (
	"slices"
	"time"
)

// startupTimeouts is a number of FailureTimeouts. For that long after its start, a member does not replace a voter
// from which it has not received any reply yet.
const startupTimeouts = 2

// BroadcastHeartbeat returns a Ready with a heartbeat for each peer to which heartbeats are sent (shouldContact).
func (m *Machine) BroadcastHeartbeat(now time.Duration) Ready {
	m.now = max(now, m.now)
	m.heartbeatSentAt = m.now
	var out Ready
	body := Heartbeat{Stamp: m.config.StampOrigin + m.now, Status: m.Status(), Learned: m.knownAddresses()}
	for _, address := range m.peerAddresses() {
		out.Messages = append(out.Messages, m.envelope(Member{Address: address}, body))
	}
	return out
}

func (m *Machine) onHeartbeat(from Member, body Heartbeat) Ready {
	m.AddPeers([]string{from.Address})
	m.AddPeers(body.Learned)
	reply := HeartbeatReply{Stamp: body.Stamp, Status: m.Status(), Learned: m.knownAddresses()}
	out := Ready{Messages: []Envelope{m.envelope(from, reply)}}
	out.add(m.sendViewIfBehind(from, body.Status.Epoch))
	if m.recordLeaving(from, body.Status) {
		out.add(m.reconfigure())
	}
	return out
}

func (m *Machine) onHeartbeatReply(from Member, body HeartbeatReply) Ready {
	m.AddPeers([]string{from.Address})
	m.AddPeers(body.Learned)
	p := m.peers[from.Address]
	if p == nil {
		return Ready{}
	}
	if p.member.Incarnation != from.Incarnation {
		p.confirmedAt, p.reachableSince = 0, 0
	}
	p.member, p.status, p.answeredAt = from, body.Status, m.now
	if p.reachableSince == 0 {
		p.reachableSince = m.now
	}
	if sentAt, valid := m.sendTime(body.Stamp); valid && body.Status.Epoch == m.view.Epoch && !body.Status.Sealed {
		p.confirmedAt = max(p.confirmedAt, sentAt)
	}
	m.inferCommitted()
	out := m.sendViewIfBehind(from, body.Status.Epoch)
	out.add(m.fetch())
	return out
}

// sendTime returns when the heartbeat with a stamp was sent, and false if this start of the process has not sent it.
func (m *Machine) sendTime(stamp time.Duration) (time.Duration, bool) {
	sentAt := stamp - m.config.StampOrigin
	return sentAt, sentAt >= m.startedAt && sentAt <= m.now
}

// sendViewIfBehind sends the current view to a member that is in an earlier epoch.
func (m *Machine) sendViewIfBehind(to Member, epoch uint64) Ready {
	if m.view.Epoch == 0 || epoch >= m.view.Epoch {
		return Ready{}
	}
	decided := Decided{Proposal: Proposal{View: m.view, Base: m.base}}
	return Ready{Messages: []Envelope{m.envelope(to, decided)}}
}

// detectFailures marks the peers that have not replied within FailureTimeout as unreachable.
func (m *Machine) detectFailures() {
	for _, p := range m.peers {
		if m.now-p.answeredAt > m.config.FailureTimeout {
			m.markUnreachable(p)
		}
	}
}

// ConnectionRefused records that the peer at an address refuses connections: its process has ended, but its
// machine is running. A refused connection is detected at once, whereas a failed machine does not respond at all.
// The peer counts as reachable again with its next reply.
func (m *Machine) ConnectionRefused(now time.Duration, address string) Ready {
	m.now = max(now, m.now)
	if p := m.peers[address]; p != nil {
		m.markUnreachable(p)
	}
	return m.reconfigure()
}

func (m *Machine) markUnreachable(p *peer) {
	if p.reachableSince > 0 {
		p.reachableSince, p.unreachableSince = 0, m.now
	}
}

// reachable reports whether a member replies to heartbeats, with the same incarnation.
func (m *Machine) reachable(member Member) bool {
	if member == m.self {
		return true
	}
	p := m.peers[member.Address]
	return p != nil && p.reachableSince > 0 && (p.member == member || member.Incarnation == 0)
}

// failed reports whether a voter is unreachable and this process has run for long enough to be sure.
func (m *Machine) failed(voter Member) bool {
	p := m.peers[voter.Address]
	if p != nil && p.answeredAt == 0 && m.now-m.startedAt < startupTimeouts*m.config.FailureTimeout {
		return false
	}
	return !m.reachable(voter)
}

// unreachableSince returns the time at which an unreachable member became unreachable. It returns 0 for a member
// that this member does not know, or whose process has lost its disk since.
func (m *Machine) unreachableSince(member Member) time.Duration {
	p := m.peers[member.Address]
	if p == nil || p.member != member {
		return 0
	}
	return p.unreachableSince
}

// canServe reports whether a member is reachable and can write to its disk. After a start of this process, the
// members of the chain count as able to serve until they have had time to reply.
func (m *Machine) canServe(member Member) bool {
	if member == m.self {
		return m.healthy
	}
	if m.awaitingFirstReply(member) {
		return true
	}
	return m.reachable(member) && m.peers[member.Address].status.Healthy
}

// awaitingFirstReply reports whether this process started too recently to expect a reply from a member of the chain.
func (m *Machine) awaitingFirstReply(member Member) bool {
	p := m.peers[member.Address]
	return p != nil && p.answeredAt == 0 && m.now-m.startedAt < m.config.FailureTimeout && slices.Contains(m.view.Chain, member)
}

// isStable reports whether a member has been reachable for JoinDelay.
func (m *Machine) isStable(member Member) bool {
	if member == m.self {
		return true
	}
	return m.reachable(member) && m.now-m.peers[member.Address].reachableSince >= m.config.JoinDelay
}

// mutuallyReachable reports whether two members reach each other, as far as this member knows.
func (m *Machine) mutuallyReachable(a, b Member) bool {
	return m.reaches(a, b) && m.reaches(b, a)
}

// reaches reports whether member a reaches member b, according to the last heartbeat reply of a.
func (m *Machine) reaches(a, b Member) bool {
	if m.awaitingFirstReply(a) || m.awaitingFirstReply(b) {
		return true
	}
	if a == m.self {
		return m.reachable(b)
	}
	p := m.peers[a.Address]
	return p != nil && (p.status.Young || slices.Contains(p.status.Live, b.Address))
}

// reachesMajority reports whether this member reaches a majority of the voters, itself included.
func (m *Machine) reachesMajority() bool {
	reached := 0
	for _, voter := range m.voters() {
		if voter.Address == m.self.Address || m.reachable(voter) {
			reached++
		}
	}
	return reached >= majority(len(m.voters()))
}
