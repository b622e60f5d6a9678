package replica

import (
	"cmp"
	"slices"
)

// maxCatchUpLag is the number of committed orders that a member may lack while still being able to store them
// within one attempt.
const maxCatchUpLag = 32

// nextView returns the view that this member would propose, and reports whether it should propose it: either the
// view differs from the current one, or a promise without a decision has prevented this member from appending
// entries for longer than RetryInterval.
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
	return next, stuck || !sameMembers(voters, m.view.Voters) || !sameMembers(chain, m.view.Chain)
}

// targetVoters returns the number of voters of which a majority survives MaxFailures failures. The number is odd:
// one more voter would raise the majority but not the number of failures that it survives, and a partition into
// halves could leave no majority.
func (m *Machine) targetVoters() int { return 2*m.config.MaxFailures + 1 }

// minChainLength returns the minimum length of a chain: one replica more than may be lost, and enough to share a
// member with every majority of the voters.
func (m *Machine) minChainLength(voters int) int {
	return max(min(m.config.MaxFailures+1, voters), voters-majority(voters)+1)
}

// nextVoters replaces voters that are leaving or have failed by standby members. A vote passes to its new holder
// within a single view, so the number of voters stays odd and no member votes alongside its successor.
func (m *Machine) nextVoters() []Member {
	voters := slices.Clone(m.view.Voters)
	standby := m.Standby()
	for i, voter := range voters {
		next := slices.IndexFunc(standby, func(s Member) bool { return s.Address == voter.Address })
		if next >= 0 { // the disk of the previous incarnation is lost
			voters[i] = standby[next]
			standby = slices.Delete(standby, next, next+1)
		}
	}
	voters, standby = replaceVoters(voters, standby, m.failedVoters(voters)) // before the leaving ones, which can still vote
	voters, standby = replaceVoters(voters, standby, m.leavingVoters(voters))
	return m.addVoters(m.removeSurplusVoters(voters), standby)
}

// failedVoters returns the indexes of the voters that have failed, with the one that has been unreachable the
// longest first. That voter is the most likely to have failed permanently, whereas a voter from which a partition
// has only just separated this member may soon be reachable again.
func (m *Machine) failedVoters(voters []Member) []int {
	failed := indexesOf(voters, m.failed)
	slices.SortStableFunc(failed, func(a, b int) int {
		return cmp.Compare(m.unreachableSince(voters[a]), m.unreachableSince(voters[b]))
	})
	return failed
}

// leavingVoters returns the indexes of the voters that have announced that they are about to shut down
// permanently.
func (m *Machine) leavingVoters(voters []Member) []int { return indexesOf(voters, m.isLeaving) }

// indexesOf returns the indexes of the members for which matches returns true.
func indexesOf(members []Member, matches func(Member) bool) []int {
	var indexes []int
	for i, member := range members {
		if matches(member) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// replaceVoters replaces the voters at the given indexes by standby members, in the order of the indexes and as
// far as there are standby members. It returns the voters and the remaining standby members.
func replaceVoters(voters, standby []Member, vacant []int) (replaced, remaining []Member) {
	for _, i := range vacant[:min(len(vacant), len(standby))] {
		next := rarestDomain(slices.Delete(slices.Clone(voters), i, i+1), standby)
		voters[i] = standby[next]
		standby = slices.Delete(standby, next, next+1)
	}
	return voters, standby
}

// removeSurplusVoters removes voters in excess of targetVoters, starting with those that have failed or are
// leaving.
func (m *Machine) removeSurplusVoters(voters []Member) []Member {
	for len(voters) > m.targetVoters() {
		surplus := slices.IndexFunc(voters, func(v Member) bool { return m.failed(v) || m.isLeaving(v) })
		if surplus < 0 {
			surplus = len(voters) - 1
		}
		voters = slices.Delete(voters, surplus, surplus+1)
	}
	return voters
}

// addVoters adds candidates up to targetVoters. It keeps the number of voters odd, unless one more voter is needed
// to reach MaxFailures+1 replicas.
func (m *Machine) addVoters(voters, candidates []Member) []Member {
	candidates = slices.Clone(candidates)
	count := min(m.targetVoters(), len(voters)+len(candidates))
	if count%2 == 0 && count > m.config.MaxFailures+1 {
		count--
	}
	for len(voters) < count {
		next := rarestDomain(voters, candidates)
		voters = append(voters, candidates[next])
		candidates = slices.Delete(candidates, next, next+1)
	}
	return voters
}

// rarestDomain returns the index of the first candidate whose failure domain contains the fewest voters.
func rarestDomain(voters, candidates []Member) int {
	best, fewest := 0, len(voters)+1
	for i, candidate := range candidates {
		sharing := 0
		for _, voter := range voters {
			if voter.Domain == candidate.Domain {
				sharing++
			}
		}
		if sharing < fewest {
			best, fewest = i, sharing
		}
	}
	return best
}

// Standby returns the members that have caught up and could replace a voter that leaves or fails, sorted by
// address.
func (m *Machine) Standby() []Member {
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

// caughtUp reports whether a member has nearly all committed orders, so that it can store the rest within one
// attempt.
func (m *Machine) caughtUp(member Member) bool {
	if member == m.self {
		return m.hasBase
	}
	p := m.peers[member.Address]
	return p != nil && p.status.Epoch == m.view.Epoch && p.status.Holds && m.now >= p.excludedUntil &&
		p.status.Committed+maxCatchUpLag >= m.log.committed
}

// nextChain returns the voters that can form a chain: first those of the current chain in their present sequence,
// then the others. Leaving members are included only if there are too few others.
func (m *Machine) nextChain(voters []Member) []Member {
	candidates := slices.DeleteFunc(slices.Clone(m.view.Chain), func(v Member) bool { return !slices.Contains(voters, v) })
	present := len(candidates)
	for _, voter := range voters {
		if !slices.Contains(candidates, voter) {
			candidates = append(candidates, voter)
		}
	}
	staying := m.connectedChain(candidates, present, func(member Member) bool { return !m.isLeaving(member) })
	if len(staying) >= m.minChainLength(len(voters)) {
		return staying
	}
	return m.connectedChain(candidates, present, func(Member) bool { return true })
}

// connectedChain returns the candidates that are eligible, can serve and reach each other. The first present
// candidates are in the current chain; the others must be stable and have caught up.
func (m *Machine) connectedChain(candidates []Member, present int, eligible func(Member) bool) []Member {
	var chain []Member
	for i, candidate := range candidates {
		fit := eligible(candidate) && m.canServe(candidate) && (i < present || m.isStable(candidate) && m.caughtUp(candidate))
		for _, other := range chain {
			fit = fit && m.mutuallyReachable(candidate, other)
		}
		if fit {
			chain = append(chain, candidate)
		}
	}
	return chain
}
