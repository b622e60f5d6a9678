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

// maxPromotionLag is the number of entries that a learner may be behind when it is promoted to a voter.
const maxPromotionLag = 100

// AddLearner proposes to add a learner. Promote makes it a voter once it has caught up, either in place of the
// member that its Replaces field names or as an additional one.
func (m *Member) AddLearner(learner statemachine.Member) error {
	return m.proposeConfChange(learner, confChange(pb.ConfChangeAddLearnerNode, learner.ID))
}

// Remove proposes to remove a member.
func (m *Member) Remove(id uint64) error {
	return m.proposeConfChange(statemachine.Member{ID: id}, confChange(pb.ConfChangeRemoveNode, id))
}

// Promote proposes to make a voter of a learner that has caught up, if there is one. The leader must call it
// periodically, because the client that added the learner may be gone.
func (m *Member) Promote() {
	if !m.Leads() || m.Changing() {
		return
	}
	status := m.node.Status()
	for _, learner := range m.state.Members().All() {
		p, ok := status.Progress[learner.ID]
		// The library initially assumes that a new member is active, and in a new cluster no member is behind. A
		// learner that has acknowledged nothing may not be running at all.
		if learner.Role != statemachine.Learner || !ok || !p.RecentActive || p.Match == 0 || p.Match+maxPromotionLag < status.GetCommit() {
			continue
		}
		change := confChange(pb.ConfChangeAddNode, learner.ID)
		if learner.Replaces != 0 {
			change.Changes = append(change.Changes, confChangeSingle(pb.ConfChangeRemoveNode, learner.Replaces))
		}
		_ = m.proposeConfChange(learner, change) // the next call retries
		return
	}
}

func confChange(kind pb.ConfChangeType, id uint64) *pb.ConfChangeV2 {
	return &pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{confChangeSingle(kind, id)}}
}

func confChangeSingle(kind pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
	return &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: new(id)}
}

// proposeConfChange proposes a membership change. Its context is the encoded member, from which the state machine
// reads the member's name and address.
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

// applyConfChange applies a committed membership change.
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

// Changing reports whether a change of the voters is in progress (joint consensus). Until it ends, decisions also
// need a majority of the old voters.
func (m *Member) Changing() bool { return len(m.conf.GetVotersOutgoing()) > 0 }
