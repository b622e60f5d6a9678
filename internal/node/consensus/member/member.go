// Package member is one member of the agreed log, without its disk, links and clock: the consensus library's state machine,
// the copy of the log in memory, and the ledger that its entries are applied to. It is pure: what is to be written, sent and
// answered is taken out with Take, and what came of it is told; the same calls and seed give the same decisions.
//
// Bounds: entries in memory are those since the last image, Settings.ImageEvery bytes of them, and Settings.Trail behind it
// for members that are a little late; proposals that are not agreed yet hold Settings.Uncommitted bytes.
package member

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Settings describe a member. Times are counted in ticks.
type Settings struct {
	ID          uint64
	Election    int    // ticks without word from a leader until one is voted for
	Heartbeat   int    // ticks between two words of a leader
	ImageEvery  int    // bytes of entries after which an image of the state takes their place
	Trail       int    // entries that are kept behind an image
	Uncommitted uint64 // bytes of proposals that are not agreed yet
	Seed        uint64 // of the times after which votes are asked for
	Logger      raft.Logger
}

// Saved is what a disk holds of a member.
type Saved struct {
	Image   *pb.Snapshot // nil = the member has not been founded
	Hard    *pb.HardState
	Entries []*pb.Entry // behind the image, or behind what it trails
	From    *pb.Entry   // index and term that Entries follow; nil = those of the image
}

// Write is work for the disk, to be done in order. Done is told once all of it lasts.
type Write struct {
	Hard    *pb.HardState
	Entries []*pb.Entry
	Image   *pb.Snapshot // came from the leader, in place of all that is held
	answers []*pb.Message
}

// Applied is a command that was agreed and carried out here.
type Applied struct {
	Index   uint64
	Command statemachine.Command
	Reply   statemachine.Reply
}

// Read is a question's permission: what holds here from now on is no older than the question.
type Read struct{ Number uint64 }

// Image is one of the state, to be made, kept on the disk and told with Kept. Making it may take its time.
type Image struct {
	index, term uint64
	conf        *pb.ConfState
	freeze      func() ([]byte, error)
}

// Make makes it, on any goroutine.
func (i *Image) Make() (*pb.Snapshot, error) {
	data, err := i.freeze()
	return &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: i.conf, Index: &i.index, Term: &i.term}}, err
}

// Work is what a member wants done.
type Work struct {
	Messages []*pb.Message // to other members, at once
	Write    []Write
	Applied  []Applied
	Reads    []Read
	Image    *Image
}

// What a member refuses.
var (
	ErrNotLeader = errors.New("this member does not lead")
	ErrBusy      = errors.New("a change of members is under way")
	ErrYoung     = errors.New("not all keepers know what this asks for, or nobody has said yet that none goes back: linenwheel peers raise")
	ErrBacklog   = errors.New("too much waits to be agreed")
	// ErrLost ends a member: its disk lacks what it had acknowledged, so that its vote is worth nothing.
	ErrLost = errors.New("the directory lacks entries that this member had acknowledged: it is an older copy, or was damaged")
)

// held is the log in memory. An image that does not know the present members is not sent: whoever is new would not find
// itself in it.
type held struct {
	*raft.MemoryStorage
	least uint64 // entry of the last change of the members
}

func (h *held) Snapshot() (*pb.Snapshot, error) {
	if s, err := h.MemoryStorage.Snapshot(); err != nil || s.GetMetadata().GetIndex() >= h.least {
		return s, err
	}
	return nil, raft.ErrSnapshotTemporarilyUnavailable
}

// Member is one member.
type Member struct {
	set      Settings
	node     *raft.RawNode
	log      *held
	state    *statemachine.Machine
	conf     *pb.ConfState
	applied  uint64
	size     int              // bytes of entries applied since the last image was begun
	weight   int              // bytes of that image
	imaging  bool             // one is being made
	begun    uint64           // index of the last one that was begun
	reads    []raft.ReadState // allowed once their entries are applied
	lead     uint64
	role     raft.StateType
	failed   error
	luck     *rand.Rand
	quiet    int     // ticks without word from a leader
	patience int     // until votes are asked for
	writing  int     // pieces of work that the disk was given and has not done
	spoilt   int     // times in a row that votes did not come in time
	time     float64 // of the group, as the last entry had it,
	at       float64 // and when that was here
}

// Bootstrap gives what each of the first voters begins with.
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

// New makes a member from what its disk holds.
func New(set Settings, saved Saved) (*Member, error) {
	g := &Member{set: set, log: &held{MemoryStorage: raft.NewMemoryStorage()}, state: statemachine.New(), conf: &pb.ConfState{},
		luck: rand.New(rand.NewPCG(set.Seed, set.ID))}
	g.rest()
	if len(saved.Image.GetData()) > 0 {
		if err := g.restore(saved.Image); err != nil {
			return nil, err
		}
		base := saved.Image
		if saved.From != nil && saved.From.GetIndex() < saved.Image.GetMetadata().GetIndex() {
			base = proto.Clone(saved.Image).(*pb.Snapshot)
			base.Metadata.Index, base.Metadata.Term = saved.From.Index, saved.From.Term
		}
		if err := g.log.ApplySnapshot(base); err != nil {
			return nil, err
		}
		if err := g.log.Append(saved.Entries); err != nil {
			return nil, err
		}
		if base != saved.Image {
			if _, err := g.log.CreateSnapshot(saved.Image.GetMetadata().GetIndex(), g.conf, saved.Image.GetData()); err != nil {
				return nil, err
			}
		}
	}
	if hard := saved.Hard; hard != nil {
		hard.Commit = new(max(hard.GetCommit(), g.applied)) // an image is of what was agreed
		if err := g.log.SetHardState(hard); err != nil {
			return nil, err
		}
	}
	var err error
	g.node, err = raft.NewRawNode(&raft.Config{ID: set.ID, ElectionTick: set.Election, HeartbeatTick: set.Heartbeat,
		Storage: g.log, Applied: g.applied, AsyncStorageWrites: true, MaxSizePerMsg: 64 << 10,
		MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: set.Uncommitted, MaxInflightMsgs: 64, MaxInflightBytes: 4 << 20,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: set.Logger})
	return g, err
}

func (g *Member) restore(s *pb.Snapshot) error {
	if err := g.state.Restore(s.GetData()); err != nil {
		return err
	}
	g.conf, g.applied = s.GetMetadata().GetConfState(), s.GetMetadata().GetIndex()
	g.begun, g.weight = g.applied, len(s.GetData())
	return nil
}

// Tick is a further tick of the clock.
//
// The library draws the time after which a member asks for votes from the system's random numbers, so that no history could
// be played again. A member that does not lead therefore only has its clock moved on, and asks for votes when this package's
// own draw says so: after Election ticks without word from a leader, and up to as many more.
//
// A vote counts once the disk has it. So that disks slower than an election's time do not keep a group from ever having a leader, no
// tick counts while this member's own disk is at work, and who asked for votes that did not come in time waits twice as long each
// time, up to 1 << mostSpoilt times.
func (g *Member) Tick() {
	if g.role == raft.StateLeader {
		g.quiet, g.spoilt = 0, 0
		g.node.Tick()
		return
	}
	g.node.TickQuiesced()
	if g.writing > 0 {
		return
	}
	if g.quiet++; g.quiet >= g.patience {
		if g.role == raft.StateCandidate { // who could lead, for the others would vote: one that is cut off never comes so far
			g.spoilt = min(g.spoilt+1, mostSpoilt)
		}
		g.rest()
		_ = g.node.Campaign() // one that does not vote may not, and drops it
	}
}

// mostSpoilt bounds how long votes are waited for: 16 times as long as at first.
const mostSpoilt = 4

// rest begins the time without word from a leader anew.
func (g *Member) rest() {
	most := g.set.Election << g.spoilt
	g.quiet, g.patience = 0, most+g.luck.IntN(most)
}

// Step takes a message of another member. One that cannot be taken is dropped, as links may drop it.
func (g *Member) Step(m *pb.Message) {
	// A leader tells in its heartbeat what is agreed of that which this member has acknowledged.
	if last, _ := g.log.LastIndex(); m.GetType() == pb.MsgHeartbeat && m.GetCommit() > last {
		g.failed = ErrLost
		return
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= g.node.BasicStatus().HardState.GetTerm() {
			g.spoilt = 0
			g.rest()
		}
	}
	_ = g.node.Step(m)
}

// Unreachable tells that messages to a member are lost; Image tells what became of an image on its way there.
func (g *Member) Unreachable(id uint64) { g.node.ReportUnreachable(id) }

// ImageSent tells whether an image has reached its member.
func (g *Member) ImageSent(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	g.node.ReportSnapshot(id, status)
}

// Propose has a command agreed if this member leads; it is told by Applied, wherever it came from. Its time is the group's as
// this member last heard it before it led, and what has gone by since on its own clock: a clock that is set wrong changes nothing,
// and the group's time never runs ahead of a clock that runs evenly.
func (g *Member) Propose(now float64, c statemachine.Command) error {
	if g.role != raft.StateLeader {
		return ErrNotLeader
	}
	most := g.state.Members().Speaks()
	if c.Part == statemachine.ComponentMembers { // what raises it
		most = g.state.Members().Known()
	}
	if statemachine.VersionOf(c.Part, c.Body) > most {
		return ErrYoung
	}
	c.Version, c.At = statemachine.VersionOf(c.Part, c.Body), g.time+now-g.at
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err = g.node.Propose(data); errors.Is(err, raft.ErrProposalDropped) {
		return ErrBacklog
	}
	return err
}

// Read asks whether this member still leads; a Read with this number allows to answer. One that is lost is never allowed.
func (g *Member) Read(number uint64) error {
	if g.role != raft.StateLeader {
		return ErrNotLeader
	}
	g.node.ReadIndex(binary.BigEndian.AppendUint64(nil, number))
	return nil
}

// Query answers a question from what is held here, after a Read has allowed it.
func (g *Member) Query(a statemachine.Request) statemachine.Reply { return g.state.Query(a) }

// AddLearner takes in a member that learns, to vote later: in place of the one whose number it has in Replaces, or as one more.
func (g *Member) AddLearner(m statemachine.Member) error {
	return g.change(m, &pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{single(pb.ConfChangeAddLearnerNode, m.ID)}})
}

// Remove takes a member out.
func (g *Member) Remove(id uint64) error {
	return g.change(statemachine.Member{ID: id}, &pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{single(pb.ConfChangeRemoveNode, id)}})
}

func single(kind pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
	return &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: new(id)}
}

func (g *Member) change(m statemachine.Member, cc *pb.ConfChangeV2) error {
	if g.role != raft.StateLeader {
		return ErrNotLeader
	}
	if g.Changing() {
		return ErrBusy
	}
	var err error
	if cc.Context, err = json.Marshal(m); err != nil {
		return err
	}
	if err = g.node.ProposeConfChange(cc); errors.Is(err, raft.ErrProposalDropped) { // the lead is being handed on
		return ErrBusy
	}
	return err
}

// Promote has a member that has learnt what is agreed vote, if there is one; whoever took it in need not be there any more. It
// is to be called now and then.
func (g *Member) Promote() {
	if g.role != raft.StateLeader || g.Changing() {
		return
	}
	status := g.node.Status()
	for _, m := range g.state.Members().All() {
		p, ok := status.Progress[m.ID]
		// The library takes a newcomer for active at first, and in a young group nobody is behind: one that has acknowledged nothing
		// may not run at all.
		if m.Role != statemachine.Learner || !ok || !p.RecentActive || p.Match == 0 || p.Match+lateBy < status.HardState.GetCommit() {
			continue
		}
		cc := &pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{single(pb.ConfChangeAddNode, m.ID)}}
		if m.Replaces != 0 {
			cc.Changes = append(cc.Changes, single(pb.ConfChangeRemoveNode, m.Replaces))
		}
		_ = g.change(m, cc) // it is tried again
		return
	}
}

// lateBy is how many entries a member may be behind when it gets its vote.
const lateBy = 100

// Hand gives the lead to the member that holds most, if this one leads and there is such a member.
func (g *Member) Hand() bool {
	to, most := uint64(0), uint64(0)
	g.node.WithProgress(func(id uint64, kind raft.ProgressType, p raftProgress) {
		if kind == raft.ProgressTypePeer && id != g.set.ID && p.RecentActive && (p.Match > most || p.Match == most && id < to) {
			to, most = id, p.Match
		}
	})
	if g.role == raft.StateLeader && to != 0 {
		g.node.TransferLeader(to)
		return true
	}
	return false
}

// TakeWork gives all that is to be done at a time, ms of any clock that goes on evenly. An error is one after which the member
// must end.
func (g *Member) TakeWork(now float64) (w Work, err error) {
	for g.failed == nil && g.node.HasReady() {
		r := g.node.Ready()
		if r.SoftState != nil {
			g.lead, g.role = r.SoftState.Lead, r.SoftState.RaftState
		}
		g.reads = append(g.reads, r.ReadStates...)
		for _, m := range r.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				for _, answer := range m.GetResponses() {
					if answer.GetType() == pb.MsgVoteResp && !answer.GetReject() { // who got a vote gets time to lead
						g.rest()
					}
				}
				w.Write = append(w.Write, writeOf(m))
				g.writing++
			case raft.LocalApplyThread:
				g.failed = g.apply(m.GetEntries(), &w)
				for _, answer := range m.GetResponses() {
					_ = g.node.Step(answer) // of this member itself
				}
			default:
				w.Messages = append(w.Messages, m)
			}
		}
	}
	for len(g.reads) > 0 && g.reads[0].Index <= g.applied {
		w.Reads = append(w.Reads, Read{binary.BigEndian.Uint64(g.reads[0].RequestCtx)})
		g.reads = g.reads[1:]
	}
	// While it leads, a member goes on from where it began: what an entry takes to be agreed must not be lost with each.
	if then := g.state.Now(); g.at == 0 || then != g.time && g.role != raft.StateLeader || then > g.time+now-g.at {
		g.time, g.at = then, now
	}
	w.Image = g.image()
	return w, g.failed
}

func writeOf(m *pb.Message) Write {
	w := Write{Entries: m.GetEntries(), answers: m.GetResponses()}
	if m.Term != nil {
		w.Hard = &pb.HardState{Term: m.Term, Vote: m.Vote, Commit: m.Commit}
	}
	if s := m.GetSnapshot(); !raft.IsEmptySnap(s) {
		w.Image = s
	}
	return w
}

// apply carries out entries that are agreed.
func (g *Member) apply(entries []*pb.Entry, w *Work) error {
	for _, e := range entries {
		g.applied = e.GetIndex()
		g.size += len(e.GetData())
		switch {
		case e.GetType() != pb.EntryNormal:
			if err := g.reform(e); err != nil {
				return err
			}
		case len(e.GetData()) > 0: // else a new leader's first
			c, reply, err := g.state.Apply(e.GetIndex(), e.GetData())
			if err != nil {
				return err
			}
			w.Applied = append(w.Applied, Applied{e.GetIndex(), c, reply})
		}
	}
	return nil
}

// reform carries out a change of the members.
func (g *Member) reform(e *pb.Entry) error {
	var cc pb.ConfChangeV2
	if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	var m statemachine.Member
	if len(cc.GetContext()) > 0 {
		if err := json.Unmarshal(cc.GetContext(), &m); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
	}
	for _, c := range cc.GetChanges() {
		switch c.GetType() {
		case pb.ConfChangeAddLearnerNode:
			g.state.Learns(e.GetIndex(), m)
		case pb.ConfChangeAddNode:
			g.state.Votes(e.GetIndex(), c.GetNodeId())
		case pb.ConfChangeRemoveNode:
			g.state.Leaves(e.GetIndex(), c.GetNodeId())
		}
	}
	g.conf, g.log.least = g.node.ApplyConfChange(&cc), e.GetIndex()
	return nil
}

// WriteDone tells that a write lasts.
func (g *Member) WriteDone(w Write) error {
	g.writing--
	if w.Image != nil {
		if err := g.log.ApplySnapshot(w.Image); err != nil {
			return err
		}
		if err := g.restore(w.Image); err != nil {
			return err
		}
		g.size = 0
	}
	if err := g.log.Append(w.Entries); err != nil {
		return err
	}
	if w.Hard != nil {
		if err := g.log.SetHardState(w.Hard); err != nil {
			return err
		}
	}
	for _, m := range w.answers {
		if m.GetTo() == g.set.ID {
			_ = g.node.Step(m) // of this member itself
		}
	}
	return nil
}

// Answers are the messages to other members that may go out once a write lasts.
func (w *Write) Answers(own uint64) (list []*pb.Message) {
	for _, m := range w.answers {
		if m.GetTo() != own {
			list = append(list, m)
		}
	}
	return list
}

// image begins one where it is due.
func (g *Member) image() *Image {
	first, _ := g.log.FirstIndex()                      // of memory, which does not fail
	due := g.size >= max(g.set.ImageEvery, g.weight) || // a large state is not written again for a few entries
		g.log.least > g.begun
	if g.imaging || !due || g.applied < first {
		return nil
	}
	term, err := g.log.Term(g.applied)
	if err != nil {
		return nil
	}
	g.imaging, g.size, g.begun = true, 0, g.applied
	return &Image{index: g.applied, term: term, conf: proto.Clone(g.conf).(*pb.ConfState), freeze: g.state.Freeze()}
}

// Kept tells that an image lasts on the disk: entries that it makes needless are let go.
func (g *Member) Kept(s *pb.Snapshot) {
	g.imaging, g.weight = false, len(s.GetData())
	index := s.GetMetadata().GetIndex()
	if _, err := g.log.CreateSnapshot(index, s.GetMetadata().GetConfState(), s.GetData()); err != nil {
		return // a later one has come meanwhile
	}
	_ = g.log.Compact(index - min(index, uint64(g.set.Trail))) // nothing is so old where the log is short
}

// Leads tells whether this member leads; Leader is who does, 0 = nobody that it knows.
func (g *Member) Leads() bool { return g.role == raft.StateLeader }

// Leader is the member that leads, 0 = none that is known.
func (g *Member) Leader() uint64 { return g.lead }

// Voter tells whether this member votes.
func (g *Member) Voter() bool {
	for _, list := range [][]uint64{g.conf.GetVoters(), g.conf.GetVotersOutgoing()} {
		for _, id := range list {
			if id == g.set.ID {
				return true
			}
		}
	}
	return false
}

// Changing tells whether a change of the voters is under way: until it is over, the ones before are needed too.
func (g *Member) Changing() bool { return len(g.conf.GetVotersOutgoing()) > 0 }

// State is the state that is agreed, as far as it is known here. It is only read.
func (g *Member) State() *statemachine.Machine { return g.state }

// Position tells how far the log has come here.
func (g *Member) Position() (term, committed, applied uint64) {
	s := g.node.BasicStatus()
	return s.HardState.GetTerm(), s.HardState.GetCommit(), g.applied
}

// Behind tells, where this member leads, up to which entry another one holds the log, and whether it was heard of lately.
func (g *Member) Behind(id uint64) (match uint64, heard bool) {
	g.node.WithProgress(func(other uint64, _ raft.ProgressType, p raftProgress) {
		if other == id {
			match, heard = p.Match, p.RecentActive
		}
	})
	return match, heard
}
