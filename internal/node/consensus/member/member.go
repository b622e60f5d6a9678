// Package member is one member of the agreed log without its disk, network and clock: the state machine of the consensus
// library (go.etcd.io/raft), the log in memory, and the state machine that committed entries are applied to.
//
// It is pure and not safe for concurrent use: one goroutine owns a Member, calls Tick, Step, Propose and Read, and after each
// round of them Ready. It then sends Work.Messages at once, makes Work.Write durable in order, and calls Persisted for each
// Write, after which the messages of Write.Answers may go out: they acknowledge what is durable, and sent earlier they would
// count a vote or an entry that a crash could still take back. The same calls and seed give the same decisions.
//
// Bounds: the log in memory has the entries since the last image, about Settings.ImageEvery bytes, and Settings.Trail entries
// before it; uncommitted proposals have Settings.Uncommitted bytes.
package member

import (
	"errors"
	"math/rand/v2"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Errors of a member. ErrNotLeader, ErrBusy and ErrBacklog are temporary.
var (
	// ErrNotLeader says that only the leader can do this.
	ErrNotLeader = errors.New("this member does not lead")
	// ErrBusy says that a change of the membership or a transfer of leadership is in progress.
	ErrBusy = errors.New("a change of members is under way")
	// ErrVersionNotWritable says that a command needs a version that may not be written yet (statemachine.Members.Speaks).
	ErrVersionNotWritable = errors.New("not all keepers know what this asks for, or nobody has said yet that none goes back: linenwheel peers raise")
	// ErrBacklog says that Settings.Uncommitted is reached.
	ErrBacklog = errors.New("too much waits to be agreed")
	// ErrEntriesMissing ends a member: its disk lacks entries that it had acknowledged, so that its vote could undo what was committed.
	ErrEntriesMissing = errors.New("the directory lacks entries that this member had acknowledged: it is an older copy, or was damaged")
)

// Settings are the parameters of a member. Times are in ticks.
type Settings struct {
	ID          uint64
	Election    int    // ticks without a message from a leader until the member campaigns, doubled at most by chance
	Heartbeat   int    // ticks between two heartbeats of a leader
	ImageEvery  int    // bytes of entries after which a new image is made
	Trail       int    // entries that are kept before an image, for members that are a little behind
	Uncommitted uint64 // bytes of proposals that are not committed
	Seed        uint64 // of the election timeouts
	Logger      raft.Logger
}

// Saved is what the disk holds of a member.
type Saved struct {
	Image   *pb.Snapshot // nil = the member has not been bootstrapped
	Hard    *pb.HardState
	Entries []*pb.Entry // those after From
	From    *pb.Entry   // index and term of the last entry that was compacted away; nil = the image's
}

// LastIndex returns the index of the last entry, or of the image if there is none after it; 0 = nothing is saved.
func (s Saved) LastIndex() uint64 {
	if n := len(s.Entries); n > 0 {
		return s.Entries[n-1].GetIndex()
	}
	return s.Image.GetMetadata().GetIndex()
}

// Member is one member. Its methods must not be called concurrently.
type Member struct {
	settings Settings
	node     *raft.RawNode
	log      *memoryLog
	state    *statemachine.Machine
	conf     *pb.ConfState // of the applied membership
	applied  uint64        // index of the last entry applied
	leader   uint64        // 0 = none that is known
	role     raft.StateType
	failed   error            // the member must end with it
	reads    []raft.ReadState // granted once their entries are applied

	random          *rand.Rand
	electionElapsed int // ticks without a message from a leader
	electionTimeout int // ticks after which the member campaigns
	lostElections   int // in a row, up to maxElectionDoublings
	pendingWrites   int // that Ready returned and Persisted has not confirmed

	imageInProgress bool
	imageIndex      uint64 // of the last image that was begun
	imageBytes      int    // of the last image
	bytesSinceImage int    // of the entries applied since the last image was begun

	clusterTime float64 // ms, that new proposals count from,
	localTime   float64 // and the time on this member's clock at that moment, ms; 0 = none yet
}

// Bootstrap returns the image that each of the first voters begins with. now is cluster time, in ms.
func Bootstrap(voters []statemachine.Member, now float64) (*pb.Snapshot, error) {
	data, err := statemachine.Bootstrap(voters, now).Freeze()()
	if err != nil {
		return nil, err
	}
	conf := &pb.ConfState{}
	for _, v := range voters {
		conf.Voters = append(conf.Voters, v.ID)
	}
	return &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: new(uint64(1)), Term: new(uint64(1))}}, nil
}

// New returns the member that goes on from what its disk holds.
func New(settings Settings, saved Saved) (*Member, error) {
	m := &Member{settings: settings, log: &memoryLog{MemoryStorage: raft.NewMemoryStorage()}, state: statemachine.New(), conf: &pb.ConfState{},
		random: rand.New(rand.NewPCG(settings.Seed, settings.ID))}
	m.resetElectionTimeout()
	if len(saved.Image.GetData()) > 0 {
		if err := m.restoreLog(saved); err != nil {
			return nil, err
		}
	}
	if hard := saved.Hard; hard != nil {
		hard.Commit = new(max(hard.GetCommit(), m.applied)) // what an image contains was committed
		if err := m.log.SetHardState(hard); err != nil {
			return nil, err
		}
	}
	var err error
	m.node, err = raft.NewRawNode(&raft.Config{ID: settings.ID, ElectionTick: settings.Election, HeartbeatTick: settings.Heartbeat,
		Storage: m.log, Applied: m.applied, AsyncStorageWrites: true, MaxSizePerMsg: 64 << 10,
		MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: settings.Uncommitted, MaxInflightMsgs: 64, MaxInflightBytes: 4 << 20,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: settings.Logger})
	return m, err
}

// restoreLog restores the state from the saved image, and the log in memory from the entries, some of which are older than the image.
func (m *Member) restoreLog(saved Saved) error {
	if err := m.restoreState(saved.Image); err != nil {
		return err
	}
	base := saved.Image
	if saved.From != nil && saved.From.GetIndex() < saved.Image.GetMetadata().GetIndex() {
		base = proto.Clone(saved.Image).(*pb.Snapshot)
		base.Metadata.Index, base.Metadata.Term = saved.From.Index, saved.From.Term
	}
	if err := m.log.ApplySnapshot(base); err != nil {
		return err
	}
	if err := m.log.Append(saved.Entries); err != nil {
		return err
	}
	if base != saved.Image {
		if _, err := m.log.CreateSnapshot(saved.Image.GetMetadata().GetIndex(), m.conf, saved.Image.GetData()); err != nil {
			return err
		}
	}
	return nil
}

func (m *Member) restoreState(image *pb.Snapshot) error {
	if err := m.state.Restore(image.GetData()); err != nil {
		return err
	}
	m.conf, m.applied = image.GetMetadata().GetConfState(), image.GetMetadata().GetIndex()
	m.imageIndex, m.imageBytes = m.applied, len(image.GetData())
	return nil
}

// Leads reports whether this member is the leader.
func (m *Member) Leads() bool { return m.role == raft.StateLeader }

// Leader returns the leader's number, 0 if none is known.
func (m *Member) Leader() uint64 { return m.leader }

// State returns the state as far as entries are applied here. The caller must not change it.
func (m *Member) State() *statemachine.Machine { return m.state }

// Position returns the term, and the indexes of the last entries that are committed and applied, as far as known here.
func (m *Member) Position() (term, committed, applied uint64) {
	status := m.node.BasicStatus()
	return status.GetTerm(), status.GetCommit(), m.applied
}

// FollowerProgress returns, at the leader, the index up to which a member is known to have the log, and whether it was heard from lately.
func (m *Member) FollowerProgress(id uint64) (match uint64, active bool) {
	m.node.WithProgress(func(other uint64, _ raft.ProgressType, p tracker.Progress) {
		if other == id {
			match, active = p.Match, p.RecentActive
		}
	})
	return match, active
}
