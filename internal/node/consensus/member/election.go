package member

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// maxElectionDoublings bounds the backoff of elections to 16 times the base timeout.
const maxElectionDoublings = 4

// Tick advances the member's clock by one tick.
//
// The library draws election timeouts from the system's random source, which would make histories impossible to
// replay. For a follower, Tick therefore only advances the library's clock, and this package decides when to
// campaign: after a random timeout between Settings.Election and twice as many ticks without a message from a
// leader.
//
// A vote counts only once it is on the voter's disk. To let a cluster elect a leader even if its disks are slower
// than the election timeout, ticks do not count while writes of this member are pending, and a candidate that does
// not win in time doubles its timeout, up to maxElectionDoublings times.
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
		if m.role == raft.StateCandidate { // it won the pre-vote, which a partitioned member never does
			m.lostElections = min(m.lostElections+1, maxElectionDoublings)
		}
		m.resetElectionTimeout()
		_ = m.node.Campaign() // fails for a learner, which must not campaign
	}
}

// resetElectionTimeout restarts the election timeout with a new random duration.
func (m *Member) resetElectionTimeout() {
	base := m.settings.Election << m.lostElections
	m.electionElapsed, m.electionTimeout = 0, base+m.random.IntN(base)
}

// Step handles a message from another member. A message that the library refuses is dropped, as if the network had
// lost it.
func (m *Member) Step(message *pb.Message) {
	// The commit index in a leader's heartbeat never exceeds the last index that this member has acknowledged.
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

// Unreachable reports that messages to a member are being lost.
func (m *Member) Unreachable(id uint64) { m.node.ReportUnreachable(id) }

// ImageSent reports whether the image for a member was sent.
func (m *Member) ImageSent(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	m.node.ReportSnapshot(id, status)
}

// TransferLeadership starts a transfer of leadership to the active member with the most complete log. It reports
// whether there is such a member and this member is the leader.
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
