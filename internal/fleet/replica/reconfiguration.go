package replica

import (
	"cmp"
	"slices"
)

// maxCatchUpLag is how many orders a copy may be behind to be brought up within an attempt.
const maxCatchUpLag = 32

// nextView gives the view that this member would have, and whether it differs from the present one.
func (m *Machine) nextView() (View, bool) {
	if m.view.Epoch == 0 {
		return m.firstView()
	}
	voters := m.nextVoters()
	chain := m.nextChain(voters)
	next := View{Epoch: m.view.Epoch + 1, Voters: voters, Chain: chain}
	if len(chain) < m.minChainLength(len(voters)) {
		return next, false
	}
	stuck := m.sealed() && m.now-m.sealedAt > m.config.RetryInterval
	return next, stuck || !sameSet(voters, m.view.Voters) || !sameSet(chain, m.view.Chain)
}

// firstView gives the first view. The founders, that is the seeds, agree on it; its members are chosen among all
// processes that can be voters and are reached: the wanted number of them, or after a while enough to take orders.
func (m *Machine) firstView() (View, bool) {
	var candidates []Member
	if m.config.CanVote {
		candidates = append(candidates, m.self)
	}
	foundersHere := 1
	for address, p := range m.peers {
		if p.reachableSince == 0 || p.status.Epoch > 0 {
			continue
		}
		if p.status.Founder && slices.Contains(m.founders, address) {
			foundersHere++
		}
		if p.status.Core && m.now >= p.excludedUntil {
			candidates = append(candidates, p.member)
		}
	}
	slices.SortFunc(candidates, compareMembers)
	voters := m.addVoters(nil, candidates)
	view := View{Epoch: 1, Voters: voters, Chain: voters}
	if len(voters) == 0 || foundersHere < majority(len(m.founders)) {
		return view, false
	}
	waited := m.now - m.startedAt
	all := foundersHere == len(m.founders) && len(candidates) >= m.targetVoters() && waited > m.config.BootstrapPause
	enough := len(candidates) > m.config.MaxFailures && waited > m.config.BootstrapTimeout
	return view, all || enough
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
}

// targetVoters is the number of voters of which a majority survives the losses that are tolerated. It is odd: one voter
// more would raise the majority, but not the number of losses that it survives, and would let a cut into halves leave
// none.
func (m *Machine) targetVoters() int { return 2*m.config.MaxFailures + 1 }

// minChainLength is the least length of a chain: one copy more than may be lost, and long enough to share a member with
// every majority of the voters.
func (m *Machine) minChainLength(voters int) int {
	return max(min(m.config.MaxFailures+1, voters), voters-majority(voters)+1)
}

// nextVoters gives a place to members that stand by and takes it from those that leave or are gone. A place changes hands
// within one view, so that the number of voters stays odd and no vote is held by a member whose successor is in.
func (m *Machine) nextVoters() []Member {
	voters := slices.Clone(m.view.Voters)
	standby := m.standby()
	for i, voter := range voters {
		next := slices.IndexFunc(standby, func(s Member) bool { return s.Address == voter.Address })
		if next >= 0 { // the disk of the one before is gone
			voters[i] = standby[next]
			standby = slices.Delete(standby, next, next+1)
		}
	}
	voters, standby = replaceVoters(voters, standby, m.unreachable) // before those that leave, as these can still vote
	voters, standby = replaceVoters(voters, standby, m.isLeaving)
	return m.addVoters(m.removeSurplusVoters(voters), standby)
}

// replaceVoters gives the places of some voters to members that stand by, as far as there are any.
func replaceVoters(voters, standby []Member, vacant func(Member) bool) (filled, left []Member) {
	for i, voter := range voters {
		if len(standby) == 0 || !vacant(voter) {
			continue
		}
		next := mostDistinctDomain(slices.Delete(slices.Clone(voters), i, i+1), standby)
		voters[i] = standby[next]
		standby = slices.Delete(standby, next, next+1)
	}
	return voters, standby
}

// removeSurplusVoters takes the vote of those beyond the wanted number: the gone and the leaving first.
func (m *Machine) removeSurplusVoters(voters []Member) []Member {
	for len(voters) > m.targetVoters() {
		surplus := slices.IndexFunc(voters, func(v Member) bool { return m.unreachable(v) || m.isLeaving(v) })
		if surplus < 0 {
			surplus = len(voters) - 1
		}
		voters = slices.Delete(voters, surplus, surplus+1)
	}
	return voters
}

// addVoters adds candidates up to the wanted number of voters. It leaves the number odd, unless another vote is needed for
// the copies that must be there.
func (m *Machine) addVoters(voters, candidates []Member) []Member {
	candidates = slices.Clone(candidates)
	room := min(m.targetVoters(), len(voters)+len(candidates))
	if room%2 == 0 && room > m.config.MaxFailures+1 {
		room--
	}
	for len(voters) < room {
		next := mostDistinctDomain(voters, candidates)
		voters = append(voters, candidates[next])
		candidates = slices.Delete(candidates, next, next+1)
	}
	return voters
}

// mostDistinctDomain is the place of the candidate whose domain has the fewest of the voters.
func mostDistinctDomain(voters, candidates []Member) int {
	best, fewest := 0, len(voters)+1
	for i, candidate := range candidates {
		beside := 0
		for _, voter := range voters {
			if voter.Domain == candidate.Domain {
				beside++
			}
		}
		if beside < fewest {
			best, fewest = i, beside
		}
	}
	return best
}

// Standby are the members that have caught up and would take the place of a voter that leaves or falls silent.
func (m *Machine) Standby() []Member { return m.standby() }

// standby are the processes that could vote, do not, and have caught up.
func (m *Machine) standby() []Member {
	var standby []Member
	for _, p := range m.peers {
		if p.status.Core && m.isStable(p.member) && m.canServe(p.member) && !m.isLeaving(p.member) && m.caughtUp(p.member) &&
			!slices.Contains(m.view.Voters, p.member) {
			standby = append(standby, p.member)
		}
	}
	slices.SortFunc(standby, compareMembers)
	return standby
}

// caughtUp tells whether a member has nearly all that is committed, and so can store the rest within an attempt.
func (m *Machine) caughtUp(member Member) bool {
	if member == m.self {
		return m.hasBase
	}
	p := m.peers[member.Address]
	return p != nil && p.status.Epoch == m.view.Epoch && p.status.Holds && m.now >= p.excludedUntil &&
		p.status.Committed+maxCatchUpLag >= m.log.committed
}

// isLeaving tells whether a member has said that it is about to end for good.
func (m *Machine) isLeaving(member Member) bool {
	if member == m.self {
		return m.leaving
	}
	p := m.peers[member.Address]
	return p != nil && p.member == member && p.status.Leaving
}

// unreachable tells whether a voter does not answer any more.
func (m *Machine) unreachable(voter Member) bool {
	p := m.peers[voter.Address]
	if p != nil && p.answeredAt == 0 && m.now-m.startedAt < 2*m.config.FailureTimeout {
		return false // this process is too young to expect an answer
	}
	return !m.reachable(voter)
}

// nextChain gives the voters that can serve together, those of the present chain first and in their order. Members that
// leave are in it only where there are too few others.
func (m *Machine) nextChain(voters []Member) []Member {
	order := slices.DeleteFunc(slices.Clone(m.view.Chain), func(v Member) bool { return !slices.Contains(voters, v) })
	present := len(order)
	for _, voter := range voters {
		if !slices.Contains(order, voter) {
			order = append(order, voter)
		}
	}
	staying := m.connectedChain(order, present, func(member Member) bool { return !m.isLeaving(member) })
	if len(staying) >= m.minChainLength(len(voters)) {
		return staying
	}
	return m.connectedChain(order, present, func(Member) bool { return true })
}

// connectedChain gives the members that are wanted, able and reach each other. The first of them are in the present chain.
func (m *Machine) connectedChain(order []Member, present int, wanted func(Member) bool) []Member {
	var chain []Member
	for i, voter := range order {
		fit := wanted(voter) && m.canServe(voter) && (i < present || m.isStable(voter) && m.caughtUp(voter))
		for _, other := range chain {
			fit = fit && m.mutuallyReachable(voter, other)
		}
		if fit {
			chain = append(chain, voter)
		}
	}
	return chain
}

func sameSet(a, b []Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Member) bool { return !slices.Contains(b, m) })
}
