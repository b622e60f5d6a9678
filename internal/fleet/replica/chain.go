package replica

import (
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// submission is a queued order. It waits until the order before it is committed.
type submission struct {
	id    uint64
	order operator.Order
}

// Submit submits an order of the operator. The outcome is returned as a Reply with the same id, by this call or by
// a later one. A member that is not the head replies with OutcomeUnknown, because an earlier submission of the
// same order may have been accepted.
func (m *Machine) Submit(now time.Duration, id uint64, order operator.Order) Ready {
	m.now = max(now, m.now)
	if m.view.Head() != m.self || !m.healthy {
		return Ready{Replies: []Reply{{ID: id, Err: errkind.New(errkind.OutcomeUnknown, "this member is not the head")}}}
	}
	m.queue = append(m.queue, submission{id, order})
	return m.processQueue()
}

// Cancel removes an order from the queue after its caller has stopped waiting. The order may still be committed.
func (m *Machine) Cancel(id uint64) {
	m.queue = slices.DeleteFunc(m.queue, func(s submission) bool { return s.id == id })
}

// processQueue appends queued orders until one of them is uncommitted. An order stays in the queue until a later
// call finds it in the committed state. An order that was committed before is acknowledged again, with the same
// revision.
func (m *Machine) processQueue() Ready {
	var out Ready
	for len(m.queue) > 0 && m.acceptsOrders() {
		next := m.queue[0]
		if revision, committed := m.log.committedState.Accepted(next.order.Digest()); committed {
			m.queue = m.queue[1:]
			out.Replies = append(out.Replies, Reply{ID: next.id, Revision: revision})
			continue
		}
		state, err := m.log.state.Admit(next.order)
		if err != nil {
			m.queue = m.queue[1:]
			out.Replies = append(out.Replies, Reply{ID: next.id, Err: err, Unconfirmed: true, Epoch: m.view.Epoch})
			continue
		}
		out.add(m.appendEntry(Entry{Epoch: m.view.Epoch, Seq: m.log.seq + 1, Order: next.order, History: state.History()}))
	}
	return out
}

// acceptsOrders reports whether this member may append an order now: it is the head of a chain of more than
// MaxFailures replicas, it is not sealed, and its log has no uncommitted entry.
func (m *Machine) acceptsOrders() bool {
	return !m.log.hasPending() && m.hasBase && !m.sealed() && m.view.Head() == m.self && len(m.view.Chain) > m.config.MaxFailures
}

// appendEntry appends an entry to the log and forwards it. An entry that does not follow the log is ignored.
func (m *Machine) appendEntry(entry Entry) Ready {
	next, err := m.log.withEntry(entry)
	if err != nil {
		return Ready{}
	}
	m.log = next
	m.pendingSince, m.appendSentAt = m.now, m.now
	out := Ready{Records: []Record{SaveEntry{Entry: entry}}}
	out.add(m.forward())
	return out
}

// forward sends the last entry to the next member of the chain; the tail commits it instead. The caller of the
// machine stores the entry before it sends the message, so an entry that has reached the tail is stored by the
// whole chain.
func (m *Machine) forward() Ready {
	index := slices.Index(m.view.Chain, m.self)
	last, present := m.log.lastEntry()
	if !present || index < 0 || last.Epoch != m.view.Epoch || last.Seq != m.log.seq {
		return Ready{}
	}
	if index+1 < len(m.view.Chain) {
		return Ready{Messages: []Envelope{m.envelope(m.view.Chain[index+1], Append{Entry: last})}}
	}
	var out Ready
	for _, member := range m.view.Chain[:index] {
		out.Messages = append(out.Messages, m.envelope(member, Committed{Epoch: m.view.Epoch, Seq: m.log.seq}))
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
		out := m.markCommitted(m.log.seq) // the head sends an entry only after the previous one is committed
		out.add(m.appendEntry(entry))
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

// markCommitted records that the whole chain has stored the entry with index seq. It does nothing unless that is
// the uncommitted entry.
func (m *Machine) markCommitted(seq uint64) Ready {
	if seq != m.log.seq || !m.log.hasPending() {
		return Ready{}
	}
	m.log, m.pendingSince = m.log.withCommitted(seq), 0
	return m.processQueue()
}

// inferCommitted commits the last entry after a restart, once every member of the chain has reported that it has
// the entry. A member that has promised a ballot of the next epoch may have fetched the entry after it reported
// its log to the proposer, in which case the next view begins without the entry. Nothing is therefore inferred
// from the status of a sealed member.
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

// retransmit resends an entry that is still uncommitted after RetryInterval, or appends queued orders if no entry
// is pending. On a member that is not the head it fails the queue.
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

// failQueue replies to all queued orders of a member that is no longer the head. This member cannot know whether
// any of them was committed.
func (m *Machine) failQueue() Ready {
	var out Ready
	for _, s := range m.queue {
		err := errkind.New(errkind.OutcomeUnknown, "this member is no longer the head")
		out.Replies = append(out.Replies, Reply{ID: s.id, Err: err})
	}
	m.queue = nil
	return out
}
