// Package member implements one member of the replicated log without disk, network and clock: the state machine of
// the consensus library (go.etcd.io/raft), the log in memory, and the state machine that committed entries are
// applied to.
//
// It performs no I/O and is not safe for concurrent use. One goroutine owns a Member: it calls Tick, Step, Propose
// and Read, and after each round of such calls Ready. It then sends Work.Messages at once, makes Work.Write
// durable in order, and calls Persisted for each Write. After that, the messages of Write.Acknowledgements may be
// sent. They must not be sent earlier, because they would make a vote or an entry count that a crash could still
// undo. The same calls and seed give the same decisions.
//
// Bounds: the log in memory holds the entries since the last image, about Settings.ImageEvery bytes, and
// Settings.Trail entries before it. Uncommitted proposals take at most Settings.Uncommitted bytes.
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
	// ErrNotLeader says that only the leader can perform the operation.
	ErrNotLeader = errors.New("this member does not lead")
	// ErrBusy says that a membership change or a transfer of leadership is in progress.
	ErrBusy = errors.New("a change of members is under way")
	// ErrVersionNotWritable says that a command needs a version that must not be written yet
	// (statemachine.Members.WritableVersion).
	ErrVersionNotWritable = errors.New("not all keepers know what this asks for, or nobody has said yet that none goes back: linenwheel peers raise")
	// ErrBacklog says that Settings.Uncommitted has been reached.
	ErrBacklog = errors.New("too much waits to be agreed")
	// ErrEntriesMissing stops a member whose disk lacks entries that it had acknowledged: its vote could undo
	// committed entries.
	ErrEntriesMissing = errors.New("directory lacks entries that this replica has acknowledged: it is an older copy or damaged")
)

// Settings are the parameters of a member. Times are in ticks.
type Settings struct {
	ID          uint64
	Election    int    // ticks without a message from a leader until the member campaigns; randomized up to twice as many
	Heartbeat   int    // ticks between heartbeats of the leader
	ImageEvery  int    // bytes of entries after which a new image is created
	Trail       int    // entries that are kept before an image, for members that are slightly behind
	Uncommitted uint64 // maximum size of uncommitted proposals, in bytes
	Seed        uint64 // seed of the election timeouts
	Logger      raft.Logger
}

// Saved is the stored state of a member.
type Saved struct {
	Image   *pb.Snapshot // nil = the member has not been bootstrapped
	Hard    *pb.HardState
	Entries []*pb.Entry // the entries after From
	From    *pb.Entry   // index and term of the last entry that was compacted away; nil = that of the image
}

// LastIndex returns the index of the last entry, or of the image if no entries follow it; 0 = nothing is saved.
func (s Saved) LastIndex() uint64 {
	if n := len(s.Entries); n > 0 {
		return s.Entries[n-1].GetIndex()
	}
	return s.Image.GetMetadata().GetIndex()
}

// Member is one member of the replicated log. Its methods must not be called concurrently.
type Member struct {
	settings Settings
	node     *raft.RawNode
	log      *memoryLog
	state    *statemachine.Machine
	conf     *pb.ConfState // applied membership
	applied  uint64        // index of the last applied entry
	leader   uint64        // 0 = not known
	role     raft.StateType
	failed   error            // error that stops the member
	reads    []raft.ReadState // confirmed once their entries are applied

	random          *rand.Rand
	electionElapsed int // ticks without a message from a leader
	electionTimeout int // ticks after which the member campaigns
	lostElections   int // consecutive, up to maxElectionDoublings
	pendingWrites   int // writes that Ready has returned and Persisted has not confirmed

	imageInProgress bool
	imageIndex      uint64 // index of the last image that was started
	imageBytes      int    // size of the last image
	bytesSinceImage int    // size of the entries applied since the last image was started

	clusterTime float64 // cluster time that new proposals count from, ms
	localTime   float64 // time on this member's clock at that moment, ms; 0 = not set
}

// Bootstrap returns the image that each of the first voters starts from. now is the cluster time, in ms.
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

// New returns a member that resumes from its stored state.
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
		hard.Commit = new(max(hard.GetCommit(), m.applied)) // the content of an image was committed
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

// restoreLog restores the state from the saved image and the log in memory from the entries, some of which may be
// older than the image.
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

// Leader returns the ID of the leader; 0 = not known.
func (m *Member) Leader() uint64 { return m.leader }

// State returns the state after the entries that have been applied on this member. The caller must not modify it.
func (m *Member) State() *statemachine.Machine { return m.state }

// Position returns the term and the indexes of the last committed and the last applied entry, as far as this
// member knows.
func (m *Member) Position() (term, committed, applied uint64) {
	status := m.node.BasicStatus()
	return status.GetTerm(), status.GetCommit(), m.applied
}

// FollowerProgress returns, on the leader, the index up to which a member is known to have the log, and whether
// the leader has heard from it recently.
func (m *Member) FollowerProgress(id uint64) (match uint64, active bool) {
	m.node.WithProgress(func(other uint64, _ raft.ProgressType, p tracker.Progress) {
		if other == id {
			match, active = p.Match, p.RecentActive
		}
	})
	return match, active
}
