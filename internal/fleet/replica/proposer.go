package replica

import (
	"slices"
	"time"
)

// Parameters of the proposer.
const (
	// installRetryDivisor is the fraction of RetryInterval after which an unanswered Install is sent again.
	installRetryDivisor = 3
	// installBackoff is how long a member that did not install a state in time is left out of proposals.
	installBackoff = 2 * time.Second
	// rejectSlots is the number of different delays after a rejected ballot. The delay depends on the
	// incarnation, so that two proposers whose ballots collided do not collide again.
	rejectSlots = 4
)

// proposalAttempt is one attempt of this member to have a view agreed. It collects promises, then has the chain
// install the base, then collects acceptances.
type proposalAttempt struct {
	epoch            uint64
	ballot           Ballot
	view             View // proposed unless a voter has accepted another one
	startedAt        time.Duration
	promises         map[Member]Promise
	base             Position // base of the wanted view; set, like source, once a majority has promised
	source           Member   // a member that has the base
	installStartedAt time.Duration
	installSentAt    time.Duration
	installedBy      map[Member]bool
	proposal         *Proposal // set when it is put to the vote
	acceptedBy       map[Member]bool
}

// installing reports whether the chain has been asked to install the base.
func (a *proposalAttempt) installing() bool { return a.installStartedAt > 0 }

// reconfigure starts an attempt if another view is wanted, and advances or abandons an attempt in progress.
func (m *Machine) reconfigure() Ready {
	if m.attempt != nil && m.now-m.attempt.startedAt < m.config.ProposalTimeout {
		return m.advanceInstall()
	}
	m.attempt = nil
	if !m.canPropose() || m.now < m.nextAttemptAt || !m.reachesMajority() {
		return Ready{}
	}
	view, wanted := m.nextView()
	if !wanted {
		m.changeWantedSince = 0
		return Ready{}
	}
	if m.changeWantedSince == 0 {
		m.changeWantedSince = m.now
	}
	if m.now-m.changeWantedSince < m.proposalDelay(view) {
		return Ready{}
	}
	return m.propose(view)
}

// canPropose reports whether this member may propose a view. A voter outside the chain leaves proposals to the
// members of the chain: it may be partitioned from only one of them, and no view can be agreed without any of
// them.
func (m *Machine) canPropose() bool { return m.healthy && m.isVoter() && m.hasAllCommitted() }

// proposalDelay returns how long this member waits, so that the members before it in the chain can propose first.
func (m *Machine) proposalDelay(view View) time.Duration {
	index := slices.Index(view.Chain, m.self)
	if index < 0 {
		index = len(view.Chain)
	}
	return time.Duration(index) * m.config.RetryInterval
}

func (m *Machine) propose(view View) Ready {
	m.maxRound++
	m.attempt = &proposalAttempt{epoch: m.view.Epoch + 1, ballot: Ballot{Round: m.maxRound, Proposer: m.self}, view: view,
		startedAt: m.now, promises: map[Member]Promise{}, installedBy: map[Member]bool{}, acceptedBy: map[Member]bool{}}
	m.nextAttemptAt = m.now + m.config.RetryInterval
	return m.broadcastToVoters(Prepare{Epoch: m.attempt.epoch, Ballot: m.attempt.ballot})
}

// broadcastToVoters sends a message to every voter, including this member, whose own vote must also be stored
// before it counts.
func (m *Machine) broadcastToVoters(body Message) Ready {
	var out Ready
	for _, voter := range m.voters() {
		if voter.Address == m.self.Address {
			voter = m.self
		}
		out.Messages = append(out.Messages, m.envelope(voter, body))
	}
	return out
}

func (m *Machine) onPromise(from Member, body Promise) Ready {
	a := m.attempt
	voter, known := m.voterFor(from)
	if a == nil || !known || body.Epoch != a.epoch || body.Ballot != a.ballot || a.proposal != nil || a.installing() {
		return Ready{}
	}
	a.promises[voter] = body
	if len(a.promises) < majority(len(m.voters())) {
		return Ready{}
	}
	if accepted := a.highestAccepted(); accepted != nil {
		return m.sendAccept(accepted.Proposal)
	}
	if !a.chooseBase(m.self) {
		return Ready{}
	}
	a.installStartedAt = m.now
	return m.sendInstall()
}

// highestAccepted returns the proposal that was accepted under the highest ballot, nil if none was. That proposal
// may have been decided, so it must be proposed again.
func (a *proposalAttempt) highestAccepted() *Accepted {
	var highest *Accepted
	for _, promise := range a.promises {
		if accepted := promise.Accepted; accepted != nil && (highest == nil || accepted.Ballot.compare(highest.Ballot) > 0) {
			highest = accepted
		}
	}
	return highest
}

// chooseBase sets the end of the longest complete log among the promises as the base of the wanted view, and
// reports whether there is one. Among equally long logs, the voter with the lowest address is the source.
func (a *proposalAttempt) chooseBase(self Member) bool {
	found := false
	for voter, promise := range a.promises {
		if !promise.Holds || found && promise.Position.Seq < a.base.Seq {
			continue
		}
		if found && promise.Position.Seq == a.base.Seq && voter.Address > a.source.Address {
			continue
		}
		a.base, a.source, found = promise.Position, voter, true
	}
	if a.source.Address == self.Address {
		a.source = self // a founder is listed without its incarnation
	}
	return found
}

// sendInstall asks the members of the wanted chain that have not answered to store the base.
func (m *Machine) sendInstall() Ready {
	a := m.attempt
	a.installSentAt = m.now
	body := Install{Epoch: a.epoch, Ballot: a.ballot, Base: a.base, Source: a.source}
	var out Ready
	for _, member := range a.view.Chain {
		if !a.installedBy[member] {
			out.Messages = append(out.Messages, m.envelope(member, body))
		}
	}
	return out
}

// advanceInstall resends unanswered Installs, and continues without the members that did not reply within
// InstallTimeout.
func (m *Machine) advanceInstall() Ready {
	a := m.attempt
	if !a.installing() || a.proposal != nil {
		return Ready{}
	}
	if m.now-a.installStartedAt >= m.config.InstallTimeout {
		return m.proposeInstalled()
	}
	if m.now-a.installSentAt < m.config.RetryInterval/installRetryDivisor {
		return Ready{}
	}
	return m.sendInstall()
}

// proposeInstalled puts the wanted view to the vote with the part of its chain that has the base. If a prospective
// voter does not have the base, the attempt ends, and the next attempt leaves that member out.
func (m *Machine) proposeInstalled() Ready {
	a := m.attempt
	var chain []Member
	missingNewVoter := false
	for _, member := range a.view.Chain {
		if a.installedBy[member] {
			chain = append(chain, member)
			continue
		}
		if p := m.peers[member.Address]; p != nil {
			p.excludedUntil = m.now + installBackoff
		}
		if !slices.Contains(m.view.Voters, member) {
			missingNewVoter = true
		}
	}
	if missingNewVoter || len(chain) < m.minChainLength(len(a.view.Voters)) {
		m.attempt = nil
		return Ready{}
	}
	a.view.Chain = chain
	return m.sendAccept(Proposal{View: a.view, Base: a.base})
}

func (m *Machine) onInstalled(from Member, body Installed) Ready {
	a := m.attempt
	if a == nil || a.proposal != nil || body.Epoch != a.epoch || body.Ballot != a.ballot || body.Base != a.base {
		return Ready{}
	}
	a.installedBy[from] = true
	for _, member := range a.view.Chain {
		if !a.installedBy[member] {
			return Ready{}
		}
	}
	return m.sendAccept(Proposal{View: a.view, Base: a.base})
}

// sendAccept puts a proposal to the vote.
func (m *Machine) sendAccept(proposal Proposal) Ready {
	m.attempt.proposal = &proposal
	return m.broadcastToVoters(Accept{Ballot: m.attempt.ballot, Proposal: proposal})
}

func (m *Machine) onReject(body Reject) Ready {
	if m.attempt == nil || body.Epoch != m.attempt.epoch {
		return Ready{}
	}
	m.maxRound = max(m.maxRound, body.Promised.Round)
	m.attempt = nil
	slot := time.Duration(m.self.Incarnation % rejectSlots)
	m.nextAttemptAt = m.now + m.config.RetryInterval*(1+slot)/2
	return Ready{}
}

func (m *Machine) onAcceptReply(from Member, body AcceptReply) Ready {
	a := m.attempt
	voter, known := m.voterFor(from)
	if a == nil || !known || a.proposal == nil || body.Epoch != a.epoch || body.Ballot != a.ballot {
		return Ready{}
	}
	a.acceptedBy[voter] = true
	if len(a.acceptedBy) < majority(len(m.voters())) {
		return Ready{}
	}
	return m.announce(*a.proposal)
}

// announce sends a decided view to the voters of the current view and of the decided one, and adopts it.
func (m *Machine) announce(decided Proposal) Ready {
	var out Ready
	for _, member := range union(m.voters(), decided.View.Voters) {
		if member.Address != m.self.Address {
			out.Messages = append(out.Messages, m.envelope(member, Decided{Proposal: decided}))
		}
	}
	out.add(m.onDecided(decided))
	return out
}
