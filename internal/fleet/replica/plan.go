package replica

import (
	"cmp"
	"slices"
)

// plan gives the view that this member would have, and whether it differs from the present one.
func (m *Machine) plan() (View, bool) {
	if m.view.Epoch == 0 {
		return m.planFounding()
	}
	voters := m.planVoters()
	chain := m.planChain(voters)
	next := View{Epoch: m.view.Epoch + 1, Voters: voters, Chain: chain}
	if len(chain) < m.leastChain(len(voters)) {
		return next, false
	}
	stuck := m.sealed() && m.now-m.sealedAt > m.options.RetryAfter
	return next, stuck || !sameSet(voters, m.view.Voters) || !sameSet(chain, m.view.Chain)
}

// planFounding gives the first view. The founders, that is the seeds, agree on it; its members are all processes that can be
// voters and are reached: the wanted number of them, or after a while enough to take orders.
func (m *Machine) planFounding() (View, bool) {
	var voters []Member
	if m.options.Core {
		voters = append(voters, m.self)
	}
	foundersHere := 1
	for address, p := range m.peers {
		if p.liveSince == 0 || p.status.Epoch > 0 {
			continue
		}
		if p.status.Founder && slices.Contains(m.founders, address) {
			foundersHere++
		}
		if p.status.Core {
			voters = append(voters, p.member)
		}
	}
	slices.SortFunc(voters, compareMembers)
	view := View{Epoch: 1, Voters: voters, Chain: voters}
	if len(voters) == 0 || foundersHere < majority(len(m.founders)) {
		return view, false
	}
	waited := m.now - m.started
	all := foundersHere == len(m.founders) && len(voters) >= m.wantedVoters() && waited > m.options.FoundingPause
	enough := len(voters) > m.options.Tolerated && waited > m.options.FoundingGrace
	return view, all || enough
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
}

// wantedVoters is the number of voters of which a majority survives the losses that are tolerated.
func (m *Machine) wantedVoters() int { return 2*m.options.Tolerated + 1 }

// leastChain is the least length of a chain: one copy more than may be lost, and long enough to share a member with
// every majority of the voters.
func (m *Machine) leastChain(voters int) int {
	return max(min(m.options.Tolerated+1, voters), voters-majority(voters)+1)
}

// planVoters takes newcomers in and lets voters go that will not come back.
func (m *Machine) planVoters() []Member {
	voters := slices.Clone(m.view.Voters)
	for _, joiner := range m.joiners() {
		if i := slices.IndexFunc(voters, func(v Member) bool { return v.Address == joiner.Address }); i >= 0 {
			voters[i] = joiner // the disk of the old one is gone
			continue
		}
		if i := m.longestGone(voters); i >= 0 && len(voters) >= m.wantedVoters() {
			voters[i] = joiner
			continue
		}
		voters = append(voters, joiner)
	}
	for len(voters) > m.wantedVoters() {
		i := m.longestGone(voters)
		if i < 0 {
			break
		}
		voters = slices.Delete(voters, i, i+1)
	}
	return voters
}

// joiners are the processes that could vote and do not.
func (m *Machine) joiners() []Member {
	var joiners []Member
	for _, p := range m.peers {
		if p.status.Core && m.settled(p.member) && m.able(p.member) && !slices.Contains(m.view.Voters, p.member) {
			joiners = append(joiners, p.member)
		}
	}
	slices.SortFunc(joiners, compareMembers)
	return joiners
}

// longestGone is the place of the voter that has been gone longest, long enough to lose its vote; -1 = none.
func (m *Machine) longestGone(voters []Member) int {
	longest := -1
	for i, voter := range voters {
		gone := m.goneFor(voter)
		if gone >= m.options.DropAfter && (longest < 0 || gone > m.goneFor(voters[longest])) {
			longest = i
		}
	}
	return longest
}

// planChain gives the voters that can serve together, those of the present chain first and in their order.
func (m *Machine) planChain(voters []Member) []Member {
	order := slices.DeleteFunc(slices.Clone(m.view.Chain), func(v Member) bool { return !slices.Contains(voters, v) })
	present := len(order)
	for _, voter := range voters {
		if !slices.Contains(order, voter) {
			order = append(order, voter)
		}
	}
	var chain []Member
	for i, voter := range order {
		fit := m.able(voter) && (i < present || m.settled(voter))
		for _, other := range chain {
			fit = fit && m.see(voter, other)
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
