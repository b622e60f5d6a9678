package replica

import (
	"errors"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// Submit takes an order of the operator. Its end comes as a Reply with the same id.
func (m *Machine) Submit(now time.Duration, id uint64, order operator.Order) Ready {
	m.now = max(now, m.now)
	if m.view.Head() != m.self || !m.healthy {
		return Ready{Replies: []Reply{{ID: id, Err: errkind.New(errkind.OutcomeUnknown, "this member is not the head")}}}
	}
	m.queue = append(m.queue, submission{id, order})
	return m.processQueue()
}

// Withdraw forgets an order whose caller has gone. It may still be committed.
func (m *Machine) Withdraw(id uint64) {
	m.queue = slices.DeleteFunc(m.queue, func(s submission) bool { return s.id == id })
}

// processQueue takes orders from the queue until one is under way.
func (m *Machine) processQueue() Ready {
	var out Ready
	for len(m.queue) > 0 && m.acceptsOrders() {
		next := m.queue[0]
		if revision, taken := m.log.committedState.Accepted(next.order.Digest()); taken {
			m.queue = m.queue[1:]
			out.Replies = append(out.Replies, Reply{ID: next.id, Revision: revision})
			continue
		}
		state, err := m.log.state.Apply(next.order)
		if err != nil {
			m.queue = m.queue[1:]
			out.Replies = append(out.Replies, Reply{ID: next.id, Err: err, Unconfirmed: true, Epoch: m.view.Epoch})
			continue
		}
		stored, _ := m.appendEntry(Entry{Epoch: m.view.Epoch, Seq: m.log.seq + 1, Order: next.order, History: state.History()})
		out.add(stored)
	}
	return out
}

// acceptsOrders tells whether this member may take an order now: it is the head of a chain with copies enough, and has none
// under way.
func (m *Machine) acceptsOrders() bool {
	return !m.log.hasPending() && m.hasBase && !m.sealed() && m.view.Head() == m.self && len(m.view.Chain) > m.config.MaxFailures
}

// appendEntry takes an entry into this member's copy and hands it on; false: it does not follow this copy.
func (m *Machine) appendEntry(entry Entry) (Ready, bool) {
	next, err := m.log.withEntry(entry)
	if err != nil {
		return Ready{}, false
	}
	m.log = next
	m.pendingSince, m.appendSentAt = m.now, m.now
	out := Ready{Records: []Record{SaveEntry{Entry: entry}}}
	out.add(m.forward())
	return out, true
}

// forward hands the newest entry to the next member, or tells that it is committed.
func (m *Machine) forward() Ready {
	place := slices.Index(m.view.Chain, m.self)
	last, kept := m.log.lastEntry()
	if !kept || place < 0 || last.Epoch != m.view.Epoch || last.Seq != m.log.seq {
		return Ready{}
	}
	if place+1 < len(m.view.Chain) {
		return Ready{Messages: []Envelope{m.send(m.view.Chain[place+1], Append{Entry: last})}}
	}
	var out Ready
	for _, member := range m.view.Chain[:place] {
		out.Messages = append(out.Messages, m.send(member, Committed{Epoch: m.view.Epoch, Seq: m.log.seq}))
	}
	out.add(m.markCommitted(m.log.seq))
	return out
}

func (m *Machine) onAppend(entry Entry) Ready {
	if entry.Epoch != m.view.Epoch || m.sealed() || !m.inSync() || !m.healthy {
		return Ready{}
	}
	switch {
	case entry.Seq == m.log.seq+1:
		out := m.markCommitted(m.log.seq) // the head sends one entry at a time
		stored, _ := m.appendEntry(entry)
		out.add(stored)
		return out
	case entry.position() == m.log.lastPosition():
		return m.forward()
	}
	return Ready{}
}

func (m *Machine) onCommitted(body Committed) Ready {
	if body.Epoch != m.view.Epoch {
		return Ready{}
	}
	return m.markCommitted(body.Seq)
}

// markCommitted notes that an entry is on every member of the chain.
func (m *Machine) markCommitted(seq uint64) Ready {
	if seq != m.log.seq || !m.log.hasPending() {
		return Ready{}
	}
	m.log, m.pendingSince = m.log.withCommitted(seq), 0
	return m.processQueue()
}

// inferCommitted finds, after a start, that the whole chain has the newest entry. A member that has promised the next epoch may
// have pulled the entry after it told the proposer what it has: the next view then begins without the entry, so that from such
// a member nothing is learned.
func (m *Machine) inferCommitted() {
	if !m.log.hasPending() || !m.inSync() || m.sealed() {
		return
	}
	for _, member := range m.view.Chain {
		if member == m.self {
			continue
		}
		p := m.peers[member.Address]
		if p == nil || p.member != member || p.status.Epoch != m.view.Epoch || p.status.Sealed ||
			p.status.Seq < m.log.seq {
			return
		}
	}
	m.log, m.pendingSince = m.log.withCommitted(m.log.seq), 0
}

// retransmit hands an entry down again that is not committed yet, and takes orders that had to wait.
func (m *Machine) retransmit() Ready {
	if m.view.Head() != m.self {
		return m.failQueue()
	}
	if !m.log.hasPending() {
		return m.processQueue()
	}
	if m.sealed() || m.now-m.appendSentAt < m.config.RetryInterval {
		return Ready{}
	}
	m.appendSentAt = m.now
	return m.forward()
}

// failQueue ends the orders of a member that is no longer the head: whether one of them was taken is not known here.
func (m *Machine) failQueue() Ready {
	var out Ready
	for _, waiting := range m.queue {
		err := errkind.New(errkind.OutcomeUnknown, "this member is no longer the head")
		out.Replies = append(out.Replies, Reply{ID: waiting.id, Err: err})
	}
	m.queue = nil
	return out
}

// IsRejection tells whether an error refuses an order for good.
func IsRejection(err error) bool {
	var fault *errkind.Error
	return errors.As(err, &fault) && (fault.Kind == errkind.InvalidConfig || fault.Kind == errkind.VersionConflict)
}
