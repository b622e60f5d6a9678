package member

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// maxPromotionLag is how many entries a learner may be behind when it becomes a voter.
const maxPromotionLag = 100

// AddLearner proposes to add a learner. It becomes a voter once it has caught up (Promote), in place of the member that its
// Replaces names, or as one more.
func (m *Member) AddLearner(learner statemachine.Member) error {
	return m.proposeConfChange(learner, confChange(pb.ConfChangeAddLearnerNode, learner.ID))
}

// Remove proposes to remove a member.
func (m *Member) Remove(id uint64) error {
	return m.proposeConfChange(statemachine.Member{ID: id}, confChange(pb.ConfChangeRemoveNode, id))
}

// Promote proposes to make a learner that has caught up a voter, if there is one. It is to be called now and then at the
// leader: whoever added the learner need not be there any more.
func (m *Member) Promote() {
	if !m.Leads() || m.Changing() {
		return
	}
	status := m.node.Status()
	for _, learner := range m.state.Members().All() {
		p, ok := status.Progress[learner.ID]
		// The library takes a new member for active at first, and in a young cluster nobody is behind: one that has acknowledged
		// nothing may not run at all.
		if learner.Role != statemachine.Learner || !ok || !p.RecentActive || p.Match == 0 || p.Match+maxPromotionLag < status.GetCommit() {
			continue
		}
		change := confChange(pb.ConfChangeAddNode, learner.ID)
		if learner.Replaces != 0 {
			change.Changes = append(change.Changes, confChangeSingle(pb.ConfChangeRemoveNode, learner.Replaces))
		}
		_ = m.proposeConfChange(learner, change) // the next call tries again
		return
	}
}

func confChange(kind pb.ConfChangeType, id uint64) *pb.ConfChangeV2 {
	return &pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{confChangeSingle(kind, id)}}
}

func confChangeSingle(kind pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
	return &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: new(id)}
}

// proposeConfChange proposes a change with its member as the context, from which the state machine takes the member's name and
// address.
func (m *Member) proposeConfChange(member statemachine.Member, change *pb.ConfChangeV2) error {
	if !m.Leads() {
		return ErrNotLeader
	}
	if m.Changing() {
		return ErrBusy
	}
	var err error
	if change.Context, err = json.Marshal(member); err != nil {
		return err
	}
	if err = m.node.ProposeConfChange(change); errors.Is(err, raft.ErrProposalDropped) { // a transfer of leadership is in progress
		return ErrBusy
	}
	return err
}

// applyConfChange applies a committed change of the membership.
func (m *Member) applyConfChange(e *pb.Entry) error {
	var change pb.ConfChangeV2
	if err := proto.Unmarshal(e.GetData(), &change); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	var member statemachine.Member
	if len(change.GetContext()) > 0 {
		if err := json.Unmarshal(change.GetContext(), &member); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
	}
	for _, c := range change.GetChanges() {
		switch c.GetType() {
		case pb.ConfChangeAddLearnerNode:
			m.state.AddLearner(e.GetIndex(), member)
		case pb.ConfChangeAddNode:
			m.state.PromoteLearner(e.GetIndex(), c.GetNodeId())
		case pb.ConfChangeRemoveNode:
			m.state.RemoveMember(e.GetIndex(), c.GetNodeId())
		}
	}
	m.conf, m.log.confChangeIndex = m.node.ApplyConfChange(&change), e.GetIndex()
	return nil
}

// Voter reports whether this member is a voter.
func (m *Member) Voter() bool {
	return slices.Contains(m.conf.GetVoters(), m.settings.ID) || slices.Contains(m.conf.GetVotersOutgoing(), m.settings.ID)
}

// Changing reports whether a change of the voters is in progress (joint consensus): until it ends, a majority of the old voters
// is needed too.
func (m *Member) Changing() bool { return len(m.conf.GetVotersOutgoing()) > 0 }
