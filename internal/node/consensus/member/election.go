package member

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// maxElectionDoublings bounds the backoff of elections: 16 times the first timeout.
const maxElectionDoublings = 4

// Tick advances the member's clock by one tick.
//
// The library draws election timeouts from the system's random source, so that no history could be replayed. A follower
// therefore only has its clock advanced, and campaigns when this package's own draw says so: after Settings.Election ticks
// without a message from a leader, and up to as many more.
//
// A vote counts once it is on the voter's disk. So that disks slower than the election timeout do not keep a cluster from ever
// having a leader, no tick counts while this member's own disk is at work, and a candidate whose votes did not come in time
// doubles its timeout, up to maxElectionDoublings times.
func (m *Member) Tick() {
	if m.Leads() {
		m.electionElapsed, m.lostElections = 0, 0
		m.node.Tick()
		return
	}
	m.node.TickQuiesced()
	if m.pendingWrites > 0 {
		return
	}
	if m.electionElapsed++; m.electionElapsed >= m.electionTimeout {
		if m.role == raft.StateCandidate { // it won the pre-vote: one that is partitioned off never comes so far
			m.lostElections = min(m.lostElections+1, maxElectionDoublings)
		}
		m.resetElectionTimeout()
		_ = m.node.Campaign() // fails at a learner, which must not campaign
	}
}

// resetElectionTimeout starts the election timeout anew, with a new draw.
func (m *Member) resetElectionTimeout() {
	base := m.settings.Election << m.lostElections
	m.electionElapsed, m.electionTimeout = 0, base+m.random.IntN(base)
}

// Step handles a message of another member. One that the library refuses is dropped, as the network may drop it.
func (m *Member) Step(message *pb.Message) {
	// The commit index of a leader's heartbeat is at most what this member has acknowledged.
	if last, _ := m.log.LastIndex(); message.GetType() == pb.MsgHeartbeat && message.GetCommit() > last {
		m.failed = ErrEntriesMissing
		return
	}
	switch message.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if message.GetTerm() >= m.node.BasicStatus().GetTerm() {
			m.lostElections = 0
			m.resetElectionTimeout()
		}
	}
	_ = m.node.Step(message)
}

// Unreachable reports that messages to a member are lost.
func (m *Member) Unreachable(id uint64) { m.node.ReportUnreachable(id) }

// ImageSent reports whether an image has reached the member that it was sent to.
func (m *Member) ImageSent(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	m.node.ReportSnapshot(id, status)
}

// TransferLeadership begins a transfer of leadership to the active member that has most of the log, and reports whether there is one and
// this member leads.
func (m *Member) TransferLeadership() bool {
	var target, maxMatch uint64
	m.node.WithProgress(func(id uint64, kind raft.ProgressType, p tracker.Progress) {
		if kind == raft.ProgressTypePeer && id != m.settings.ID && p.RecentActive && (p.Match > maxMatch || p.Match == maxMatch && id < target) {
			target, maxMatch = id, p.Match
		}
	})
	if !m.Leads() || target == 0 {
		return false
	}
	m.node.TransferLeader(target)
	return true
}
