package replica

import (
	"slices"
	"time"
)

// ViewConfirmed returns the latest time at which the view of this member was certainly the latest view, 0 if
// unknown. At that time or later, heartbeats were sent to which a majority of the voters replied from this epoch
// and without having promised a ballot of the next one. A later view needs the promises of a majority, and any two
// majorities share a voter.
func (m *Machine) ViewConfirmed() time.Duration {
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

// StateConfirmed returns the latest time at which the state that Committed returns was certainly the last
// committed state, 0 if unknown. A member of the chain has every committed order. An entry that the member does
// not know to be committed may have been committed at any time since it was appended.
func (m *Machine) StateConfirmed() time.Duration {
	if !m.inSync() {
		return 0
	}
	if !m.log.hasPending() {
		return m.ViewConfirmed()
	}
	return min(m.ViewConfirmed(), m.pendingSince)
}

// AllVotersInView reports whether every other voter is reachable and has reported the epoch of this member's view.
func (m *Machine) AllVotersInView() bool {
	for _, voter := range m.view.Voters {
		if voter != m.self && (!m.reachable(voter) || m.peers[voter.Address].status.Epoch != m.view.Epoch) {
			return false
		}
	}
	return m.view.Epoch > 0
}
