package replica

import (
	"slices"
	"time"
)

// attempt is a proposal that this member is trying to have agreed.
type attempt struct {
	epoch            uint64
	ballot           Ballot
	view             View // what it wants, where no voter has accepted anything else
	startedAt        time.Duration
	promises         map[Member]Promise
	base             Position // with which the wanted view begins; its source has it
	source           Member
	installStartedAt time.Duration // since when the chain is asked to store the base; 0 = not yet
	installSentAt    time.Duration
	installedBy      map[Member]bool
	proposal         *Proposal // set once it is put to the vote
	acceptedBy       map[Member]bool
}

// voterFor finds the voter that a message came from.
func (m *Machine) voterFor(from Member) (Member, bool) {
	for _, voter := range m.voters() {
		if voter == from || voter.Incarnation == 0 && voter.Address == from.Address {
			return voter, true
		}
	}
	return Member{}, false
}

// ---- The voter ----

func (m *Machine) onPrepare(from Member, body Prepare) Ready {
	if out, done := m.rejectEpoch(from, body.Epoch); done {
		return out
	}
	if body.Ballot.compare(m.promised) < 0 {
		return Ready{Messages: []Envelope{m.send(from, Reject{Epoch: body.Epoch, Promised: m.promised})}}
	}
	out := m.promiseBallot(body.Ballot)
	reply := Promise{Epoch: body.Epoch, Ballot: body.Ballot, Accepted: m.accepted, Holds: m.hasAllCommitted(), Position: m.log.lastPosition()}
	out.Messages = append(out.Messages, m.send(from, reply))
	return out
}

// rejectEpoch answers a proposer of an epoch that this member cannot vote on.
func (m *Machine) rejectEpoch(from Member, epoch uint64) (Ready, bool) {
	if epoch <= m.view.Epoch {
		return m.sendViewIfBehind(from, Status{Epoch: epoch - 1}), true
	}
	return Ready{}, epoch != m.view.Epoch+1 || !m.isVoter() || !m.healthy
}

// hasAllCommitted tells whether this member's copy has every committed order.
func (m *Machine) hasAllCommitted() bool { return m.view.Epoch == 0 || m.inSync() }

func (m *Machine) promiseBallot(ballot Ballot) Ready {
	if !m.sealed() {
		m.sealedAt = m.now
	}
	m.maxRound = max(m.maxRound, ballot.Round)
	if ballot == m.promised {
		return Ready{}
	}
	m.promised = ballot
	return Ready{Records: []Record{SavePromise{Epoch: m.view.Epoch + 1, Ballot: ballot}}}
}

func (m *Machine) onAccept(from Member, body Accept) Ready {
	epoch := body.Proposal.View.Epoch
	if out, done := m.rejectEpoch(from, epoch); done {
		return out
	}
	if body.Ballot.compare(m.promised) < 0 {
		return Ready{Messages: []Envelope{m.send(from, Reject{Epoch: epoch, Promised: m.promised})}}
	}
	if slices.Contains(body.Proposal.View.Chain, m.self) && !m.log.hasPosition(body.Proposal.Base) {
		return Ready{} // it is put to the vote only once the whole chain has its state
	}
	out := m.promiseBallot(body.Ballot)
	m.accepted = &Accepted{Ballot: body.Ballot, Proposal: body.Proposal}
	out.Records = append(out.Records, SaveAccepted{Accepted: *m.accepted})
	out.Messages = append(out.Messages, m.send(from, AcceptReply{Epoch: epoch, Ballot: body.Ballot}))
	return out
}

func (m *Machine) onDecided(proposal Proposal) Ready {
	if proposal.View.Epoch <= m.view.Epoch {
		return Ready{}
	}
	m.view, m.base = proposal.View, proposal.Base
	m.adoptBase(proposal.Base)
	m.promised, m.accepted, m.maxRound = Ballot{}, nil, 0
	m.attempt, m.changeWantedSince, m.sealedAt = nil, 0, 0
	m.transfer.install = nil
	for _, p := range m.peers {
		p.confirmedAt = 0
	}
	m.addVoterPeers()
	return Ready{Records: []Record{SaveView{Proposal: proposal}}}
}

// adoptBase brings the copy to the state with which an agreed view begins, if it is there: an uncommitted entry either is
// part of that state, and committed with it, or was given up.
func (m *Machine) adoptBase(base Position) {
	if m.log.lastPosition() == base {
		m.log = m.log.withCommitted(base.Seq)
	} else {
		m.log = m.log.withoutPending()
	}
	m.hasBase = m.log.passedThrough(base)
	m.pendingSince = 0
}

// ---- The proposer ----

// reconfigure proposes another view where one is wanted, or completes one that was begun and left.
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

// canPropose tells whether this member may propose a view. One outside the chain leaves it to those inside: it may be cut
// off from one of them alone, and no view can be made without any of them.
func (m *Machine) canPropose() bool { return m.healthy && m.isVoter() && m.hasAllCommitted() }

func (m *Machine) reachesMajority() bool {
	reached := 0
	for _, voter := range m.voters() {
		if voter.Address == m.self.Address || m.reachable(voter) {
			reached++
		}
	}
	return reached >= majority(len(m.voters()))
}

// proposalDelay is how long this member leaves it to those before it to propose.
func (m *Machine) proposalDelay(view View) time.Duration {
	place := slices.Index(view.Chain, m.self)
	if place < 0 {
		place = len(view.Chain)
	}
	return time.Duration(place) * m.config.RetryInterval
}

func (m *Machine) propose(view View) Ready {
	m.maxRound++
	m.attempt = &attempt{epoch: m.view.Epoch + 1, ballot: Ballot{Round: m.maxRound, Proposer: m.self}, view: view, startedAt: m.now,
		promises: map[Member]Promise{}, installedBy: map[Member]bool{}, acceptedBy: map[Member]bool{}}
	m.nextAttemptAt = m.now + m.config.RetryInterval
	return m.broadcastToVoters(Prepare{Epoch: m.attempt.epoch, Ballot: m.attempt.ballot})
}

// broadcastToVoters sends a message to every voter, itself included.
func (m *Machine) broadcastToVoters(body Message) Ready {
	var out Ready
	for _, voter := range m.voters() {
		if voter.Address == m.self.Address {
			out.Messages = append(out.Messages, m.send(m.self, body))
			continue
		}
		out.Messages = append(out.Messages, m.send(voter, body))
	}
	return out
}

func (m *Machine) onPromise(from Member, body Promise) Ready {
	a := m.attempt
	voter, known := m.voterFor(from)
	if a == nil || !known || body.Epoch != a.epoch || body.Ballot != a.ballot || a.proposal != nil || a.installStartedAt > 0 {
		return Ready{}
	}
	a.promises[voter] = body
	if len(a.promises) < majority(len(m.voters())) {
		return Ready{}
	}
	if accepted := a.highestAccepted(); accepted != nil {
		return m.sendAccept(accepted.Proposal)
	}
	if !a.chooseBase(m) {
		return Ready{}
	}
	a.installStartedAt = m.now
	return m.sendInstall()
}

// highestAccepted gives what must be proposed again: what was accepted under the highest ballot.
func (a *attempt) highestAccepted() *Accepted {
	var highest *Accepted
	for _, promise := range a.promises {
		if p := promise.Accepted; p != nil && (highest == nil || p.Ballot.compare(highest.Ballot) > 0) {
			highest = p
		}
	}
	return highest
}

// chooseBase chooses the longest copy among the promises as the state with which the wanted view begins.
func (a *attempt) chooseBase(m *Machine) bool {
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
	if a.source.Address == m.self.Address {
		a.source = m.self
	}
	return found
}

// sendInstall asks the members of the wanted chain that have not answered to store the state with which it begins.
func (m *Machine) sendInstall() Ready {
	a := m.attempt
	a.installSentAt = m.now
	body := Install{Epoch: a.epoch, Ballot: a.ballot, Base: a.base, Source: a.source}
	var out Ready
	for _, member := range a.view.Chain {
		if !a.installedBy[member] {
			out.Messages = append(out.Messages, m.send(member, body))
		}
	}
	return out
}

// installRetryDivisor is the part of RetryInterval after which a member of the wanted chain is asked again.
const installRetryDivisor = 3

// advanceInstall asks again for what has not been stored, and goes on without those that are too slow.
func (m *Machine) advanceInstall() Ready {
	a := m.attempt
	if a.installStartedAt == 0 || a.proposal != nil {
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

// proposeInstalled puts the wanted view to the vote with the part of its chain that has the state. A newcomer that has not gets
// no vote either: then the attempt ends, and the next one leaves it out.
func (m *Machine) proposeInstalled() Ready {
	a := m.attempt
	var chain []Member
	for _, member := range a.view.Chain {
		if a.installedBy[member] {
			chain = append(chain, member)
			continue
		}
		if p := m.peers[member.Address]; p != nil {
			p.excludedUntil = m.now + installBackoff
		}
		if !slices.Contains(m.view.Voters, member) {
			m.attempt = nil
		}
	}
	if m.attempt == nil || len(chain) < m.minChainLength(len(a.view.Voters)) {
		m.attempt = nil
		return Ready{}
	}
	a.view.Chain = chain
	return m.sendAccept(Proposal{View: a.view, Base: a.base})
}

// installBackoff is how long a member that did not store a state in time is left out of plans.
const installBackoff = 2 * time.Second

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
	place := time.Duration(m.self.Incarnation % 4) // two proposers do not try again together
	m.nextAttemptAt = m.now + m.config.RetryInterval*(1+place)/2
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
	proposal := *a.proposal
	var out Ready
	for _, member := range union(m.voters(), proposal.View.Voters) {
		if member.Address != m.self.Address {
			out.Messages = append(out.Messages, m.send(member, Decided{Proposal: proposal}))
		}
	}
	out.add(m.onDecided(proposal))
	return out
}

func union(a, b []Member) []Member {
	all := slices.Clone(a)
	for _, member := range b {
		if !slices.Contains(all, member) {
			all = append(all, member)
		}
	}
	return all
}
