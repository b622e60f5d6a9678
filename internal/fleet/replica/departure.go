package replica

import (
	"slices"
	"time"
)

// Leave announces to the other members that this one is about to shut down for good, so that they replace it.
func (m *Machine) Leave(now time.Duration) Ready {
	m.now = max(now, m.now)
	if !m.leaving {
		m.leaving, m.leavingSince = true, m.now
	}
	out := m.BroadcastHeartbeat(now)
	out.add(m.reconfigure())
	return out
}

// learnLeaving records that a member announces its departure, and reports whether that is new. It need not wait for the member's
// reply to a heartbeat: until it is replaced, its vote is one that a loss of power may cost.
func (m *Machine) learnLeaving(from Member, status Status) bool {
	p := m.peers[from.Address]
	if p == nil || p.member != from || !status.Leaving || p.status.Leaving {
		return false
	}
	p.status.Leaving = true
	return true
}

// Released reports whether a member that has announced its departure may shut down: it is not in the chain, no other process can take
// its vote now or once it has caught up, and a majority of the voters has adopted the view. It has heard from each of these since the
// announcement, and they had promised nothing then: an attempt that was under way, which may give this member a vote, has ended.
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

// hasSuccessor reports whether there is another process that could take this member's vote.
func (m *Machine) hasSuccessor() bool {
	for _, p := range m.peers {
		if p.reachableSince > 0 && p.status.Core && !p.status.Leaving && !slices.Contains(m.view.Voters, p.member) {
			return true
		}
	}
	return false
}

// isLeaving reports whether a member has announced that it is about to shut down for good.
func (m *Machine) isLeaving(member Member) bool {
	if member == m.self {
		return m.leaving
	}
	p := m.peers[member.Address]
	return p != nil && p.member == member && p.status.Leaving
}
