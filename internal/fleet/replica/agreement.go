package replica

import (
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// attempt is a proposal that this member is trying to have agreed.
type attempt struct {
	epoch    uint64
	ballot   Ballot
	view     View // what it wants, where no voter has accepted anything else
	since    time.Duration
	promises map[Member]Promise
	proposal *Proposal // set once a majority has promised
	accepts  map[Member]bool
}

// voted finds the voter that a message came from.
func (m *Machine) voted(from Member) (Member, bool) {
	for _, voter := range m.voters() {
		if voter == from || voter.Incarnation == 0 && voter.Address == from.Address {
			return voter, true
		}
	}
	return Member{}, false
}

// ---- The voter ----

func (m *Machine) onPrepare(from Member, body Prepare) Output {
	if out, done := m.otherEpoch(from, body.Epoch); done {
		return out
	}
	if body.Ballot.compare(m.promised) < 0 {
		return Output{Send: []Envelope{m.send(from, Reject{Epoch: body.Epoch, Promised: m.promised})}}
	}
	out := m.promise(body.Ballot)
	reply := Promise{Epoch: body.Epoch, Ballot: body.Ballot, Accepted: m.accepted, InChain: m.holdsAll()}
	if reply.InChain {
		reply.Seq, reply.State = m.seq, m.state.Snapshot()
	}
	out.Send = append(out.Send, m.send(from, reply))
	return out
}

// otherEpoch answers a proposer of an epoch that this member cannot vote on.
func (m *Machine) otherEpoch(from Member, epoch uint64) (Output, bool) {
	if epoch <= m.view.Epoch {
		return m.bringUp(from, Status{Epoch: epoch - 1}), true
	}
	return Output{}, epoch != m.view.Epoch+1 || !m.isVoter() || !m.healthy
}

// holdsAll tells whether this member's copy has every committed order.
func (m *Machine) holdsAll() bool { return m.view.Epoch == 0 || m.InChain() }

func (m *Machine) promise(ballot Ballot) Output {
	if !m.sealed() {
		m.sealedAt = m.now
	}
	m.round = max(m.round, ballot.Round)
	if ballot == m.promised {
		return Output{}
	}
	m.promised = ballot
	return Output{Save: []Record{SavePromise{Epoch: m.view.Epoch + 1, Ballot: ballot}}}
}

func (m *Machine) onAccept(from Member, body Accept) Output {
	epoch := body.Proposal.View.Epoch
	if out, done := m.otherEpoch(from, epoch); done {
		return out
	}
	if body.Ballot.compare(m.promised) < 0 {
		return Output{Send: []Envelope{m.send(from, Reject{Epoch: epoch, Promised: m.promised})}}
	}
	out := m.promise(body.Ballot)
	m.accepted = &Accepted{Ballot: body.Ballot, Proposal: body.Proposal}
	out.Save = append(out.Save, SaveAccepted{Accepted: *m.accepted})
	out.Send = append(out.Send, m.send(from, AcceptReply{Epoch: epoch, Ballot: body.Ballot}))
	return out
}

func (m *Machine) onDecided(proposal Proposal) Output {
	if proposal.View.Epoch <= m.view.Epoch {
		return Output{}
	}
	state, err := operator.FromSnapshot(proposal.State)
	if err != nil {
		return Output{}
	}
	m.view, m.baseSeq, m.base = proposal.View, proposal.Seq, state
	m.seq, m.state, m.last = proposal.Seq, state, nil
	m.committed, m.agreed, m.pendingSince = proposal.Seq, state, 0
	m.promised, m.accepted, m.round = Ballot{}, nil, 0
	m.attempt, m.wishSince, m.sealedAt = nil, 0, 0
	for _, p := range m.peers {
		p.confirmedAt = 0
	}
	m.knowView()
	return Output{Save: []Record{SaveView{Proposal: proposal}}}
}

// ---- The proposer ----

// reconfigure proposes another view where one is wanted, or completes one that was begun and left.
func (m *Machine) reconfigure() Output {
	if m.attempt != nil && m.now-m.attempt.since < m.options.AttemptFor {
		return Output{}
	}
	m.attempt = nil
	if !m.mayPropose() || m.now < m.attemptAfter || !m.reachesMajority() {
		return Output{}
	}
	view, wanted := m.plan()
	if !wanted {
		m.wishSince = 0
		return Output{}
	}
	if m.wishSince == 0 {
		m.wishSince = m.now
	}
	if m.now-m.wishSince < m.turn(view) {
		return Output{}
	}
	return m.propose(view)
}

// mayPropose tells whether this member may propose a view. One outside the chain leaves it to those inside: it may be cut
// off from one of them alone, and no view can be made without any of them.
func (m *Machine) mayPropose() bool { return m.healthy && m.isVoter() && m.holdsAll() }

func (m *Machine) reachesMajority() bool {
	reached := 0
	for _, voter := range m.voters() {
		if voter.Address == m.self.Address || m.reachable(voter) {
			reached++
		}
	}
	return reached >= majority(len(m.voters()))
}

// turn is how long this member leaves it to those before it to propose.
func (m *Machine) turn(view View) time.Duration {
	place := slices.Index(view.Chain, m.self)
	if place < 0 {
		place = len(view.Chain)
	}
	return time.Duration(place) * m.options.RetryAfter
}

func (m *Machine) propose(view View) Output {
	m.round++
	m.attempt = &attempt{epoch: m.view.Epoch + 1, ballot: Ballot{Round: m.round, Proposer: m.self}, view: view, since: m.now,
		promises: map[Member]Promise{}, accepts: map[Member]bool{}}
	m.attemptAfter = m.now + m.options.RetryAfter
	return m.ask(Prepare{Epoch: m.attempt.epoch, Ballot: m.attempt.ballot})
}

// ask sends a message to every voter, itself included.
func (m *Machine) ask(body Message) Output {
	var out Output
	for _, voter := range m.voters() {
		if voter.Address == m.self.Address {
			out.Send = append(out.Send, m.send(m.self, body))
			continue
		}
		out.Send = append(out.Send, m.send(voter, body))
	}
	return out
}

func (m *Machine) onPromise(from Member, body Promise) Output {
	a := m.attempt
	voter, known := m.voted(from)
	if a == nil || !known || body.Epoch != a.epoch || body.Ballot != a.ballot || a.proposal != nil {
		return Output{}
	}
	a.promises[voter] = body
	if len(a.promises) < majority(len(m.voters())) {
		return Output{}
	}
	proposal, found := a.choose()
	if !found {
		return Output{}
	}
	a.proposal = &proposal
	return m.ask(Accept{Ballot: a.ballot, Proposal: proposal})
}

// choose gives what must be proposed after a majority has promised: what was accepted under the highest ballot, or the
// wanted view with the longest copy.
func (a *attempt) choose() (Proposal, bool) {
	var accepted *Accepted
	var source *Promise
	for _, promise := range a.promises {
		if p := promise.Accepted; p != nil && (accepted == nil || p.Ballot.compare(accepted.Ballot) > 0) {
			accepted = p
		}
		if promise.InChain && (source == nil || promise.Seq > source.Seq) {
			source = &promise
		}
	}
	if accepted != nil {
		return accepted.Proposal, true
	}
	if source == nil {
		return Proposal{}, false
	}
	return Proposal{View: a.view, Seq: source.Seq, State: source.State}, true
}

func (m *Machine) onReject(body Reject) Output {
	if m.attempt == nil || body.Epoch != m.attempt.epoch {
		return Output{}
	}
	m.round = max(m.round, body.Promised.Round)
	m.attempt = nil
	place := time.Duration(m.self.Incarnation % 4) // two proposers do not try again together
	m.attemptAfter = m.now + m.options.RetryAfter*(1+place)/2
	return Output{}
}

func (m *Machine) onAcceptReply(from Member, body AcceptReply) Output {
	a := m.attempt
	voter, known := m.voted(from)
	if a == nil || !known || a.proposal == nil || body.Epoch != a.epoch || body.Ballot != a.ballot {
		return Output{}
	}
	a.accepts[voter] = true
	if len(a.accepts) < majority(len(m.voters())) {
		return Output{}
	}
	proposal := *a.proposal
	var out Output
	for _, member := range union(m.voters(), proposal.View.Voters) {
		if member.Address != m.self.Address {
			out.Send = append(out.Send, m.send(member, Decided{Proposal: proposal}))
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
