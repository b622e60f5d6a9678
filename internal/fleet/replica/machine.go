package replica

import (
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// durable is the part of a member that is derived from its disk. Values that it refers to are never modified in
// place, so a copy of the struct is a checkpoint.
type durable struct {
	self     Member
	founder  bool
	view     View
	base     Position // the state with which the chain of the view begins
	hasBase  bool     // the log has passed through base
	log      Log
	promised Ballot // of epoch view.Epoch+1
	accepted *Accepted

	pendingSince time.Duration // when the uncommitted entry was appended; 0: before this start
}

// Machine is the state machine of one member. It is not safe for concurrent use. All times are readings of the
// clock that the caller passes.
type Machine struct {
	config Config
	durable
	founders          []string // addresses of the founders, a majority of which agrees on the first view
	healthy           bool
	leaving           bool
	leavingSince      time.Duration // when this member announced that it is about to shut down permanently
	now               time.Duration
	startedAt         time.Duration
	appendSentAt      time.Duration // when the uncommitted entry was last sent
	sealedAt          time.Duration // when the first ballot of the next epoch was promised
	heartbeatSentAt   time.Duration
	peers             map[string]*peer // by address
	attempt           *proposalAttempt
	nextAttemptAt     time.Duration // no attempt before then
	changeWantedSince time.Duration // since when this member has wanted another view; 0: it does not
	maxRound          uint64        // the highest round seen for the next epoch
	queue             []submission
	transfer          transfer
}

// New returns a member with the state that is stored on its disk.
func New(config Config, stored Stored, now time.Duration) (*Machine, error) {
	m := &Machine{config: config, healthy: true, now: now, startedAt: now, peers: map[string]*peer{}}
	m.self, m.founder, m.promised, m.accepted = stored.Self, stored.Founder, stored.Promised, stored.Accepted
	m.founders = stored.Founders
	if stored.View != nil {
		m.view, m.base = stored.View.View, stored.View.Base
	}
	if err := m.restoreLog(&stored); err != nil {
		return nil, err
	}
	m.maxRound = m.promised.Round
	m.AddPeers(config.Seeds)
	m.AddPeers(m.founders)
	m.addVoterPeers()
	return m, nil
}

// restoreLog builds the log from the stored snapshot and entries. It stops before the first entry that the current
// view does not contain: that entry and those after it were never committed.
func (m *Machine) restoreLog(stored *Stored) error {
	log, err := newLog(stored.Snapshot)
	if err != nil {
		return err
	}
	m.log = log
	m.hasBase = m.log.passedThrough(m.base)
	for i := range stored.Entries {
		if !m.restoreEntry(stored.Entries[i]) {
			break
		}
	}
	return nil
}

// restoreEntry appends a stored or fetched entry and reports whether it did. Beyond the base, an entry is valid
// only if it belongs to the epoch of the view: an entry of an earlier epoch was discarded together with that
// epoch, although a resubmitted order may produce an entry with the same position. The same rule applies to stored
// and to fetched entries, so that an entry in the log is still there after a restart.
func (m *Machine) restoreEntry(entry Entry) bool {
	if entry.Seq > m.base.Seq && (entry.Epoch != m.view.Epoch || !m.hasBase) {
		return false
	}
	next, err := m.log.withEntry(entry)
	if err != nil { // it does not follow this log, because an entry before it was replaced
		return false
	}
	m.log = next
	if m.log.lastPosition() == m.base {
		m.log, m.hasBase = m.log.withCommitted(m.base.Seq), true
	}
	return true
}

// Step handles a message. A message to another incarnation of this address is ignored.
func (m *Machine) Step(now time.Duration, envelope Envelope) Ready {
	m.now = max(now, m.now)
	if to := envelope.To.Incarnation; to != 0 && to != m.self.Incarnation {
		return Ready{}
	}
	switch body := envelope.Body.(type) {
	case Heartbeat:
		return m.onHeartbeat(envelope.From, body)
	case HeartbeatReply:
		return m.onHeartbeatReply(envelope.From, body)
	case Prepare:
		return m.onPrepare(envelope.From, body)
	case Promise:
		return m.onPromise(envelope.From, body)
	case Reject:
		return m.onReject(body)
	case Install:
		return m.onInstall(envelope.From, body)
	case Installed:
		return m.onInstalled(envelope.From, body)
	case Accept:
		return m.onAccept(envelope.From, body)
	case AcceptReply:
		return m.onAcceptReply(envelope.From, body)
	case Decided:
		return m.onDecided(body.Proposal)
	case Append:
		return m.onAppend(body.Entry)
	case Committed:
		return m.onCommitted(body)
	case FetchRequest:
		return m.onFetchRequest(envelope.From, body)
	case FetchReply:
		return m.onFetchReply(envelope.From, body)
	case SnapshotChunk:
		return m.onSnapshotChunk(envelope.From, body)
	}
	return Ready{}
}

// Tick advances the time. The caller must call it several times per HeartbeatInterval.
func (m *Machine) Tick(now time.Duration) Ready {
	m.now = max(now, m.now)
	var out Ready
	m.detectFailures()
	if m.now-m.heartbeatSentAt >= m.config.HeartbeatInterval {
		out.add(m.BroadcastHeartbeat(now))
	}
	out.add(m.retransmit())
	out.add(m.reconfigure())
	out.add(m.fetch())
	return out
}

func (m *Machine) envelope(to Member, body Message) Envelope {
	return Envelope{From: m.self, To: to, Body: body}
}

// View returns the latest view that this member knows.
func (m *Machine) View() View { return m.view }

// Self returns this member.
func (m *Machine) Self() Member { return m.self }

// Healthy reports whether the last write to the disk succeeded.
func (m *Machine) Healthy() bool { return m.healthy }

// Committed returns the last state that this member knows to be committed, and its index.
func (m *Machine) Committed() (uint64, *operator.State) { return m.log.committed, m.log.committedState }

// Log returns this member's replica of the log.
func (m *Machine) Log() Log { return m.log }

// Status returns the status that this member reports to its peers.
func (m *Machine) Status() Status {
	return Status{Epoch: m.view.Epoch, Sealed: m.sealed(), Holds: m.view.Epoch > 0 && m.hasBase, Seq: m.log.seq,
		Committed: m.log.committed, Healthy: m.healthy, Core: m.config.CanVote, Founder: m.founder, Leaving: m.leaving,
		Young: m.now-m.startedAt < m.config.FailureTimeout, Live: m.reachableAddresses()}
}

// InChain reports whether this member is in the chain of its view.
func (m *Machine) InChain() bool { return slices.Contains(m.view.Chain, m.self) }

// inSync reports whether this member receives the orders of its view through the chain, rather than by fetching
// them.
func (m *Machine) inSync() bool { return m.InChain() && m.hasBase }

// hasAllCommitted reports whether this member's log contains every committed order.
func (m *Machine) hasAllCommitted() bool { return m.view.Epoch == 0 || m.inSync() }

// sealed reports whether this member has promised a ballot of the next epoch. A sealed member appends no further
// entry of the current epoch.
func (m *Machine) sealed() bool { return m.promised.Round > 0 }

func (m *Machine) isVoter() bool {
	if m.view.Epoch == 0 {
		return m.founder
	}
	return slices.Contains(m.view.Voters, m.self)
}

// voters returns the voters of the current view. Before the first view it returns the founders, by address and
// with incarnation 0.
func (m *Machine) voters() []Member {
	if m.view.Epoch > 0 {
		return m.view.Voters
	}
	voters := make([]Member, 0, len(m.founders))
	for _, address := range m.founders {
		voters = append(voters, Member{Address: address})
	}
	return voters
}

// Checkpoint is a copy of the durable part of a member, to be passed to Rollback.
type Checkpoint struct{ state durable }

// Checkpoint returns a copy of the durable part. The caller rolls back to it if storing the result of the next
// call fails.
func (m *Machine) Checkpoint() Checkpoint { return Checkpoint{m.durable} }

// Rollback restores a checkpoint after a failed write. The member then reports itself as unhealthy until
// SetHealthy is called.
func (m *Machine) Rollback(to Checkpoint) {
	m.durable = to.state
	m.attempt = nil
	m.transfer = transfer{}
	m.healthy = false
}

// SetHealthy marks the disk as writable again.
func (m *Machine) SetHealthy() { m.healthy = true }
