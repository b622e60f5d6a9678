package replica

import (
	"slices"
	"time"
)

// Heartbeat sends a heartbeat to every known control process.
func (m *Machine) Heartbeat(now time.Duration) Ready {
	m.now = max(now, m.now)
	m.heartbeatSentAt = m.now
	var out Ready
	body := Heartbeat{Stamp: m.now, Status: m.Status(), Learned: m.knownAddresses()}
	for _, address := range m.peerAddresses() {
		out.Messages = append(out.Messages, m.send(Member{Address: address}, body))
	}
	return out
}

func (m *Machine) onHeartbeat(from Member, body Heartbeat) Ready {
	m.AddPeers([]string{from.Address})
	m.AddPeers(body.Learned)
	reply := HeartbeatReply{Stamp: body.Stamp, Status: m.Status(), Learned: m.knownAddresses()}
	out := Ready{Messages: []Envelope{m.send(from, reply)}}
	out.add(m.sendViewIfBehind(from, body.Status))
	return out
}

// sendViewIfBehind tells a peer that is behind of the present view.
func (m *Machine) sendViewIfBehind(to Member, status Status) Ready {
	if m.view.Epoch == 0 || status.Epoch >= m.view.Epoch {
		return Ready{}
	}
	return Ready{Messages: []Envelope{m.send(to, Decided{Proposal: m.proposal()})}}
}

// proposal is the present view as it was agreed.
func (m *Machine) proposal() Proposal {
	return Proposal{View: m.view, Base: m.base}
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
	if body.Status.Epoch == m.view.Epoch && !body.Status.Sealed {
		p.confirmedAt = max(p.confirmedAt, body.Stamp)
	}
	m.inferCommitted()
	out := m.sendViewIfBehind(from, body.Status)
	out.add(m.fetch())
	return out
}

// detectFailures notes which peers have stopped answering.
func (m *Machine) detectFailures() {
	for _, p := range m.peers {
		if p.reachableSince > 0 && m.now-p.answeredAt > m.config.FailureTimeout {
			p.reachableSince, p.unreachableSince = 0, m.now
		}
	}
}

// reachable tells whether a member answers, as that incarnation.
func (m *Machine) reachable(member Member) bool {
	if member == m.self {
		return true
	}
	p := m.peers[member.Address]
	return p != nil && p.reachableSince > 0 && (p.member == member || member.Incarnation == 0)
}

// canServe tells whether a member answers and takes writes. Those of the chain are given time to answer after a start.
func (m *Machine) canServe(member Member) bool {
	if member == m.self {
		return m.healthy
	}
	if m.awaitingFirstReply(member) {
		return true
	}
	return m.reachable(member) && m.peers[member.Address].status.Healthy
}

// awaitingFirstReply tells whether this process is too young to expect an answer from a member of the chain.
func (m *Machine) awaitingFirstReply(member Member) bool {
	p := m.peers[member.Address]
	return p != nil && p.answeredAt == 0 && m.now-m.startedAt < m.config.FailureTimeout && slices.Contains(m.view.Chain, member)
}

// isStable tells whether a member has been reachable for long enough to be taken in.
func (m *Machine) isStable(member Member) bool {
	if member == m.self {
		return true
	}
	return m.reachable(member) && m.now-m.peers[member.Address].reachableSince >= m.config.JoinDelay
}

// mutuallyReachable tells whether two members reach each other, as far as is known here.
func (m *Machine) mutuallyReachable(a, b Member) bool {
	return m.reaches(a, b) && m.reaches(b, a)
}

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

// confirmed is the newest time at which the present view was certainly the newest one: a majority of its voters
// answered, from this epoch and with no promise for the next, to heartbeats sent then or later.
func (m *Machine) confirmed() time.Duration {
	if m.view.Epoch == 0 || m.sealed() || !m.isVoter() {
		return 0
	}
	var times []time.Duration
	for _, voter := range m.view.Voters {
		switch p := m.peers[voter.Address]; {
		case voter == m.self:
			times = append(times, m.now)
		case p != nil && p.member == voter:
			times = append(times, p.confirmedAt)
		default:
			times = append(times, 0)
		}
	}
	slices.Sort(times)
	return times[len(times)-majority(len(times))]
}

// AllVotersInView tells whether every other voter is reachable and has told that it is in this member's view.
func (m *Machine) AllVotersInView() bool {
	for _, voter := range m.view.Voters {
		if voter != m.self && (!m.reachable(voter) || m.peers[voter.Address].status.Epoch != m.view.Epoch) {
			return false
		}
	}
	return m.view.Epoch > 0
}

// ViewConfirmed is the newest time at which this member's view was certainly the newest one, 0 = unknown.
func (m *Machine) ViewConfirmed() time.Duration { return m.confirmed() }

// StateConfirmed is the newest time at which Agreed was certainly the newest committed state, 0 = unknown. A member of
// the chain has every order that is committed; one that it does not know to be committed may have been since it came.
func (m *Machine) StateConfirmed() time.Duration {
	if !m.inSync() {
		return 0
	}
	if !m.log.hasPending() {
		return m.confirmed()
	}
	return min(m.confirmed(), m.pendingSince)
}

func (m *Machine) peerAddresses() []string {
	addresses := make([]string, 0, len(m.peers))
	for address, p := range m.peers {
		if m.shouldContact(address, p) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// peerExpiry is how long a process that is neither voter nor seed may be silent before it is asked no more.
const peerExpiry = 30 * time.Second

func (m *Machine) shouldContact(address string, p *peer) bool {
	if p.reachableSince > 0 || containsAddress(m.view.Voters, address) || slices.Contains(m.config.Seeds, address) ||
		m.view.Epoch == 0 && slices.Contains(m.founders, address) {
		return true
	}
	return m.now-p.unreachableSince < peerExpiry
}

func (m *Machine) knownAddresses() []string { return append(m.peerAddresses(), m.self.Address) }

func (m *Machine) reachableAddresses() []string {
	var live []string
	for address, p := range m.peers {
		if p.reachableSince > 0 {
			live = append(live, address)
		}
	}
	slices.Sort(live)
	return live
}

// SetSeeds takes seeds that were exchanged. They are asked from now on; they found nothing.
func (m *Machine) SetSeeds(addresses []string) {
	m.config.Seeds = addresses
	m.AddPeers(addresses)
}

// Leave tells the other members that this one is about to end for good, so that they go on without it.
func (m *Machine) Leave(now time.Duration) Ready {
	m.leaving = true
	return m.Heartbeat(now)
}

// Released tells whether a member that leaves is needed no more: it is no copy of the chain, it has no vote that another
// could take, now or once that has caught up, and a majority of the voters has gone over to that view.
func (m *Machine) Released() bool {
	if m.view.Epoch == 0 || !m.config.CanVote {
		return true
	}
	if m.InChain() || m.sealed() || m.isVoter() && m.hasSuccessor() {
		return false
	}
	here := 0
	for _, voter := range m.view.Voters {
		if voter != m.self && m.reachable(voter) && m.peers[voter.Address].status.Epoch >= m.view.Epoch {
			here++
		}
	}
	return here >= majority(len(m.view.Voters))
}

// hasSuccessor tells whether another process is there that could take this member's vote.
func (m *Machine) hasSuccessor() bool {
	for _, p := range m.peers {
		if p.reachableSince > 0 && p.status.Core && !p.status.Leaving && !slices.Contains(m.view.Voters, p.member) {
			return true
		}
	}
	return false
}
