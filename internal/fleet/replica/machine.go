package replica

import (
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// Config are the free figures of a member.
type Config struct {
	MaxFailures       int           // members that may be lost at once
	Seeds             []string      // internal addresses that are always asked
	CanVote           bool          // this member can be a voter
	HeartbeatInterval time.Duration // between heartbeats
	FailureTimeout    time.Duration // without an answered heartbeat
	JoinDelay         time.Duration // that a peer must be reachable before it is taken in
	RetryInterval     time.Duration // before an unanswered message is sent again, and between the turns of proposers
	ProposalTimeout   time.Duration // that a proposal may take
	InstallTimeout    time.Duration // of it, for the chain to store the state with which it begins
	BootstrapPause    time.Duration // that founders wait for further members once there are as many as wanted
	BootstrapTimeout  time.Duration // that founders wait for all of them before a majority founds with those that are there
	TransferRate      int           // bytes a second at which a snapshot is pulled
}

// DefaultConfig are the project's defaults.
func DefaultConfig() Config {
	return Config{CanVote: true, HeartbeatInterval: 150 * time.Millisecond, FailureTimeout: 700 * time.Millisecond,
		JoinDelay: 500 * time.Millisecond, RetryInterval: 300 * time.Millisecond, ProposalTimeout: time.Second,
		InstallTimeout: 500 * time.Millisecond, BootstrapPause: 600 * time.Millisecond, BootstrapTimeout: 3 * time.Second,
		TransferRate: 4 << 20}
}

// durable is the part of a member that is on its disk, or tells about it. Its values are never changed in place, so that a
// copy of the struct is a copy of the whole.
type durable struct {
	self     Member
	founder  bool
	view     View
	base     Position // with which the view's chain begins
	hasBase  bool     // the copy has passed through the base
	log      Log
	promised Ballot
	accepted *Accepted

	pendingSince time.Duration // when the uncommitted entry came; 0 = before this start
}

// Machine is one member. It is not safe for concurrent use.
type Machine struct {
	config Config
	durable
	founders          []string // the addresses whose majority agrees on the first view
	healthy           bool
	leaving           bool
	now               time.Duration
	startedAt         time.Duration
	appendSentAt      time.Duration // when the uncommitted entry was last sent
	sealedAt          time.Duration
	heartbeatSentAt   time.Duration // when heartbeats were last sent
	peers             map[string]*peer
	attempt           *attempt
	nextAttemptAt     time.Duration // no proposal before then
	changeWantedSince time.Duration // since when another view is wanted
	maxRound          uint64        // the highest round seen for the next epoch
	queue             []submission
	transfer          transfer
}

// peer is what a member knows of another control process.
type peer struct {
	member           Member // its incarnation is 0 until it has answered
	status           Status
	answeredAt       time.Duration
	reachableSince   time.Duration // 0 = not reachable
	confirmedAt      time.Duration // when the newest heartbeat was sent that it answered from our epoch, not sealed
	unreachableSince time.Duration
	excludedUntil    time.Duration // it was to take a place and did not store the state in time
}

type submission struct {
	id    uint64
	order operator.Order
}

// New makes a member from what is on its disk.
func New(options Config, stored Stored, now time.Duration) (*Machine, error) {
	m := &Machine{config: options, healthy: true, now: now, startedAt: now, peers: map[string]*peer{}}
	m.self, m.founder, m.promised, m.accepted = stored.Self, stored.Founder, stored.Promised, stored.Accepted
	m.founders = stored.Founders
	if stored.View != nil {
		m.view, m.base = stored.View.View, stored.View.Base
	}
	if err := m.restoreLog(&stored); err != nil {
		return nil, err
	}
	m.maxRound = m.promised.Round
	m.AddPeers(options.Seeds)
	m.AddPeers(m.founders)
	m.addVoterPeers()
	return m, nil
}

// restoreLog makes the copy from what is on the disk. Entries that another view has replaced are passed over.
func (m *Machine) restoreLog(stored *Stored) error {
	copied, err := newLog(stored.Snapshot)
	if err != nil {
		return err
	}
	m.log = copied
	m.hasBase = m.log.passedThrough(m.base)
	for i := range stored.Entries {
		entry := stored.Entries[i]
		if entry.Seq > m.base.Seq && (entry.Epoch != m.view.Epoch || !m.hasBase) {
			break
		}
		next, err := m.log.withEntry(entry)
		if err != nil { // it follows an entry that was replaced
			break
		}
		m.log = next
		if m.log.lastPosition() == m.base {
			m.log, m.hasBase = m.log.withCommitted(m.base.Seq), true
		}
	}
	return nil
}

// AddPeers adds addresses of control processes.
func (m *Machine) AddPeers(addresses []string) {
	for _, address := range addresses {
		if address != m.self.Address && address != "" && m.peers[address] == nil {
			m.peers[address] = &peer{member: Member{Address: address}, unreachableSince: m.now}
		}
	}
}

func (m *Machine) addVoterPeers() {
	for _, voter := range m.view.Voters {
		m.AddPeers([]string{voter.Address})
	}
}

// View is the newest view that this member knows.
func (m *Machine) View() View { return m.view }

// Self is this member.
func (m *Machine) Self() Member { return m.self }

// Healthy tells whether the last write to the disk went well.
func (m *Machine) Healthy() bool { return m.healthy }

// Committed is the newest state that this member knows to be committed, with its place.
func (m *Machine) Committed() (uint64, *operator.State) { return m.log.committed, m.log.committedState }

// Log is this member's copy of the replicated state.
func (m *Machine) Log() Log { return m.log }

// Status is what this member tells of itself.
func (m *Machine) Status() Status {
	return Status{Epoch: m.view.Epoch, Sealed: m.sealed(), Holds: m.view.Epoch > 0 && m.hasBase, Seq: m.log.seq,
		Committed: m.log.committed, Healthy: m.healthy, Core: m.config.CanVote, Founder: m.founder, Leaving: m.leaving,
		Young: m.now-m.startedAt < m.config.FailureTimeout, Live: m.reachableAddresses()}
}

// InChain tells whether this member is in the chain of its view.
func (m *Machine) InChain() bool { return slices.Contains(m.view.Chain, m.self) }

// inSync tells whether this member gets the orders of its view down the chain, rather than by pulling them.
func (m *Machine) inSync() bool { return m.InChain() && m.hasBase }

func (m *Machine) sealed() bool { return m.promised.Round > 0 }

func (m *Machine) isVoter() bool {
	if m.view.Epoch == 0 {
		return m.founder
	}
	return slices.Contains(m.view.Voters, m.self)
}

// voters are those of the present view; before the first one, the founders by address.
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

// Durable is the stored part of a member, to go back to where storing failed.
type Durable struct{ part durable }

// Checkpoint gives the stored part.
func (m *Machine) Checkpoint() Durable { return Durable{m.durable} }

// Rollback goes back to a stored part after a write that failed, and tells peers so until SetHealthy.
func (m *Machine) Rollback(to Durable) {
	m.durable = to.part
	m.attempt = nil
	m.transfer = transfer{}
	m.healthy = false
}

// SetHealthy tells that the disk takes writes again.
func (m *Machine) SetHealthy() { m.healthy = true }

// Step takes a message.
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

// Tick lets time pass. It wants to be called some times in every heartbeat interval.
func (m *Machine) Tick(now time.Duration) Ready {
	m.now = max(now, m.now)
	var out Ready
	m.detectFailures()
	if m.now-m.heartbeatSentAt >= m.config.HeartbeatInterval {
		out.add(m.Heartbeat(now))
	}
	out.add(m.retransmit())
	out.add(m.reconfigure())
	out.add(m.fetch())
	return out
}

func (m *Machine) send(to Member, body Message) Envelope {
	return Envelope{From: m.self, To: to, Body: body}
}
