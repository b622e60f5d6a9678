package replica

import (
	"slices"
	"time"
)

// Leave announces to the other members that this member is about to shut down permanently, so that they replace
// it.
func (m *Machine) Leave(now time.Duration) Ready {
	m.now = max(now, m.now)
	if !m.leaving {
		m.leaving, m.leavingSince = true, m.now
	}
	out := m.BroadcastHeartbeat(now)
	out.add(m.reconfigure())
	return out
}

// recordLeaving records a departure that a member announces in a heartbeat, and reports whether it is new. It does
// not wait for the member's reply to a heartbeat: until the member is replaced, a power failure may cost its vote.
func (m *Machine) recordLeaving(from Member, status Status) bool {
	p := m.peers[from.Address]
	if p == nil || p.member != from || !status.Leaving || p.status.Leaving {
		return false
	}
	p.status.Leaving = true
	return true
}

// Released reports whether a member that has announced its departure may shut down: it is not in the chain, no
// other process can take its vote now or after catching up, and a majority of the voters has adopted the view.
// Each of these voters has replied to a heartbeat that was sent after the announcement, and had promised no ballot
// of the next epoch by then. So an attempt that was in progress, and that might make this member a voter, has
// ended.
func (m *Machine) Released() bool {
	if m.view.Epoch == 0 || !m.config.CanVote {
		return true
	}
	if !m.leaving || m.InChain() || m.sealed() || m.isVoter() && m.hasSuccessor() {
		return false
	}
	adopted := 0
	for _, voter := range m.view.Voters {
		if voter != m.self && m.reachable(voter) && m.peers[voter.Address].confirmedAt >= m.leavingSince {
			adopted++
		}
	}
	return adopted >= majority(len(m.view.Voters))
}

// hasSuccessor reports whether another process could take over the vote of this member.
func (m *Machine) hasSuccessor() bool {
	for _, p := range m.peers {
		if p.reachableSince > 0 && p.status.Core && !p.status.Leaving && !slices.Contains(m.view.Voters, p.member) {
			return true
		}
	}
	return false
}

// isLeaving reports whether a member has announced that it is about to shut down permanently.
func (m *Machine) isLeaving(member Member) bool {
	if member == m.self {
		return m.leaving
	}
	p := m.peers[member.Address]
	return p != nil && p.member == member && p.status.Leaving
}
