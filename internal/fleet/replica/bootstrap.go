package replica

import "slices"

// firstView returns the first view and reports whether it should be proposed. The founders agree on the view. Its
// members are chosen from all reachable processes that can be voters: as many as targetVoters, or after
// BootstrapTimeout as many as are needed to accept orders.
func (m *Machine) firstView() (View, bool) {
	var candidates []Member
	if m.config.CanVote {
		candidates = append(candidates, m.self)
	}
	foundersPresent := 1
	for address, p := range m.peers {
		if p.reachableSince == 0 || p.status.Epoch > 0 {
			continue
		}
		if p.status.Founder && slices.Contains(m.founders, address) {
			foundersPresent++
		}
		if p.status.Core && m.now >= p.excludedUntil {
			candidates = append(candidates, p.member)
		}
	}
	slices.SortFunc(candidates, compareMembers)
	voters := m.addVoters(nil, candidates)
	view := View{Epoch: 1, Voters: voters, Chain: voters}
	if len(voters) == 0 || foundersPresent < majority(len(m.founders)) {
		return view, false
	}
	waited := m.now - m.startedAt
	complete := foundersPresent == len(m.founders) && len(candidates) >= m.targetVoters() && waited > m.config.BootstrapPause
	sufficient := len(candidates) > m.config.MaxFailures && waited > m.config.BootstrapTimeout
	return view, complete || sufficient
}
