package replica

import (
	"errors"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/faults"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// Submit takes an order of the operator. Its end comes as a Reply with the same id.
func (m *Machine) Submit(now time.Duration, id uint64, order operator.Order) Output {
	m.now = max(now, m.now)
	if m.view.Head() != m.self || !m.healthy {
		return Output{Replies: []Reply{{ID: id, Err: faults.New(faults.Undecided, "this member is not the head")}}}
	}
	m.queue = append(m.queue, submission{id, order})
	return m.serve()
}

// Withdraw forgets an order whose caller has gone. It may still be committed.
func (m *Machine) Withdraw(id uint64) {
	m.queue = slices.DeleteFunc(m.queue, func(s submission) bool { return s.id == id })
}

// serve takes orders from the queue until one is under way.
func (m *Machine) serve() Output {
	var out Output
	for len(m.queue) > 0 && m.takesOrders() {
		next := m.queue[0]
		if revision, taken := m.agreed.Taken(next.order.Digest()); taken {
			m.queue = m.queue[1:]
			out.Replies = append(out.Replies, Reply{ID: next.id, Revision: revision})
			continue
		}
		state, err := m.state.Apply(next.order)
		if err != nil {
			m.queue = m.queue[1:]
			out.Replies = append(out.Replies, Reply{ID: next.id, Err: err, Unconfirmed: true})
			continue
		}
		out.add(m.store(Entry{Epoch: m.view.Epoch, Seq: m.seq + 1, Order: next.order}, state))
	}
	return out
}

// takesOrders tells whether this member may take an order now: it is the head of a chain with copies enough, and has none
// under way.
func (m *Machine) takesOrders() bool {
	return m.seq == m.committed && !m.sealed() && m.view.Head() == m.self && len(m.view.Chain) > m.options.Tolerated
}

// store takes an entry into this member's copy and hands it on.
func (m *Machine) store(entry Entry, state *operator.State) Output {
	m.seq, m.state, m.last = entry.Seq, state, &entry
	m.pendingSince, m.sentAt = m.now, m.now
	out := Output{Save: []Record{SaveEntry{Entry: entry}}}
	out.add(m.forward())
	return out
}

// forward hands the newest entry to the next member, or tells that it is committed.
func (m *Machine) forward() Output {
	place := slices.Index(m.view.Chain, m.self)
	if m.last == nil || place < 0 {
		return Output{}
	}
	if place+1 < len(m.view.Chain) {
		return Output{Send: []Envelope{m.send(m.view.Chain[place+1], Append{Entry: *m.last})}}
	}
	var out Output
	for _, member := range m.view.Chain[:place] {
		out.Send = append(out.Send, m.send(member, Committed{Epoch: m.view.Epoch, Seq: m.seq}))
	}
	out.add(m.commit(m.seq))
	return out
}

func (m *Machine) onAppend(entry Entry) Output {
	if entry.Epoch != m.view.Epoch || m.sealed() || !m.InChain() || !m.healthy {
		return Output{}
	}
	switch {
	case entry.Seq == m.seq+1:
		state, err := m.state.Apply(entry.Order)
		if err != nil { // the head applied it to the same state
			return Output{}
		}
		out := m.commit(m.seq) // the head sends one entry at a time
		out.add(m.store(entry, state))
		return out
	case entry.Seq == m.seq:
		return m.forward()
	}
	return Output{}
}

func (m *Machine) onCommitted(body Committed) Output {
	if body.Epoch != m.view.Epoch {
		return Output{}
	}
	return m.commit(body.Seq)
}

// commit notes that an entry is on every member of the chain.
func (m *Machine) commit(seq uint64) Output {
	if seq != m.seq || seq <= m.committed {
		return Output{}
	}
	m.committed, m.agreed, m.pendingSince = seq, m.state, 0
	return m.serve()
}

// learnCommitted finds, after a start, that the whole chain has the newest entry.
func (m *Machine) learnCommitted() {
	if m.seq == m.committed || !m.InChain() {
		return
	}
	for _, member := range m.view.Chain {
		if member == m.self {
			continue
		}
		p := m.peers[member.Address]
		if p == nil || p.member != member || p.status.Epoch != m.view.Epoch || p.status.Seq < m.seq {
			return
		}
	}
	m.committed, m.agreed, m.pendingSince = m.seq, m.state, 0
}

// resend hands an entry down again that is not committed yet, and takes orders that had to wait.
func (m *Machine) resend() Output {
	if m.view.Head() != m.self {
		return m.refuseQueue()
	}
	if m.seq == m.committed {
		return m.serve()
	}
	if m.sealed() || m.now-m.sentAt < m.options.RetryAfter {
		return Output{}
	}
	m.sentAt = m.now
	return m.forward()
}

// refuseQueue ends the orders of a member that is no longer the head: whether one of them was taken is not known here.
func (m *Machine) refuseQueue() Output {
	var out Output
	for _, waiting := range m.queue {
		err := faults.New(faults.Undecided, "this member is no longer the head")
		out.Replies = append(out.Replies, Reply{ID: waiting.id, Err: err})
	}
	m.queue = nil
	return out
}

// IsRefusal tells whether an error refuses an order for good.
func IsRefusal(err error) bool {
	var fault *faults.Error
	return errors.As(err, &fault) && (fault.Kind == faults.InvalidConfig || fault.Kind == faults.VersionConflict)
}
