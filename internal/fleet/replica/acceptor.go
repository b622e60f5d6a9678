package replica

import "slices"

// voterFor returns the voter that sent a message. Before the first view a voter is a founder, of which only the
// address is known.
func (m *Machine) voterFor(from Member) (Member, bool) {
	for _, voter := range m.voters() {
		if voter == from || voter.Incarnation == 0 && voter.Address == from.Address {
			return voter, true
		}
	}
	return Member{}, false
}

func (m *Machine) onPrepare(from Member, body Prepare) Ready {
	if out, rejected := m.rejectEpoch(from, body.Epoch); rejected {
		return out
	}
	if body.Ballot.compare(m.promised) < 0 {
		return Ready{Messages: []Envelope{m.envelope(from, Reject{Epoch: body.Epoch, Promised: m.promised})}}
	}
	out := m.prepareBallot(body.Ballot)
	reply := Promise{Epoch: body.Epoch, Ballot: body.Ballot, Accepted: m.accepted, Holds: m.hasAllCommitted(),
		Position: m.log.lastPosition()}
	out.Messages = append(out.Messages, m.envelope(from, reply))
	return out
}

// rejectEpoch reports whether this member cannot vote on an epoch. If the proposer is behind, the returned Ready
// sends it the current view.
func (m *Machine) rejectEpoch(from Member, epoch uint64) (Ready, bool) {
	if epoch <= m.view.Epoch {
		return m.sendViewIfBehind(from, epoch-1), true
	}
	return Ready{}, epoch != m.view.Epoch+1 || !m.isVoter() || !m.healthy
}

// prepareBallot promises a ballot that is not lower than the one promised so far. From then on this member is
// sealed: it appends no further entry of the current epoch, so the log that it reports with the promise contains
// everything that it contributes from this epoch.
func (m *Machine) prepareBallot(ballot Ballot) Ready {
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
	if out, rejected := m.rejectEpoch(from, epoch); rejected {
		return out
	}
	if body.Ballot.compare(m.promised) < 0 {
		return Ready{Messages: []Envelope{m.envelope(from, Reject{Epoch: epoch, Promised: m.promised})}}
	}
	if slices.Contains(body.Proposal.View.Chain, m.self) && !m.log.hasPosition(body.Proposal.Base) {
		return Ready{} // a member of the proposed chain votes for it only once it has stored the base
	}
	out := m.prepareBallot(body.Ballot)
	m.accepted = &Accepted{Ballot: body.Ballot, Proposal: body.Proposal}
	out.Records = append(out.Records, SaveAccepted{Accepted: *m.accepted})
	out.Messages = append(out.Messages, m.envelope(from, AcceptReply{Epoch: epoch, Ballot: body.Ballot}))
	return out
}

// onDecided adopts an agreed view, unless this member already knows that view or a later one.
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

// adoptBase aligns the log with the base of a newly agreed view. If the log ends at the base, all of it is
// committed; otherwise an uncommitted entry is not part of the base and is discarded.
func (m *Machine) adoptBase(base Position) {
	if m.log.lastPosition() == base {
		m.log = m.log.withCommitted(base.Seq)
	} else {
		m.log = m.log.withoutPending()
	}
	m.hasBase = m.log.passedThrough(base)
	m.pendingSince = 0
}
