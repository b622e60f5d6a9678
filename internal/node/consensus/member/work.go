package member

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Work is the work that a member requests. The package comment defines the order.
type Work struct {
	Messages []*pb.Message // to other members; may be sent at once
	Write    []Write       // to be made durable, in order
	Applied  []Applied
	Reads    []Read
	Image    *Image // to be encoded and saved; nil = none
}

// Write is a write to the disk. Persisted must be called for each Write once it is completely durable, in the
// order in which Ready returned them.
type Write struct {
	Hard             *pb.HardState
	Entries          []*pb.Entry
	Image            *pb.Snapshot  // from the leader; replaces everything that is stored
	acknowledgements []*pb.Message // to deliver once the write is durable, including those to this member
}

// Acknowledgements returns the messages to other members that acknowledge the write. They must not be sent before
// the write is durable. own is the ID of this member.
func (w *Write) Acknowledgements(own uint64) (messages []*pb.Message) {
	for _, message := range w.acknowledgements {
		if message.GetTo() != own {
			messages = append(messages, message)
		}
	}
	return messages
}

// Applied is a committed command that has been applied on this member.
type Applied struct {
	Index   uint64
	Command statemachine.Command
	Reply   statemachine.Reply
}

// Read confirms that the query with this number may be answered: the state of this member contains everything that
// was committed when Member.Read was called.
type Read struct{ Number uint64 }

// Ready returns all outstanding work. now is in ms on any monotonic clock. After an error the member must stop.
func (m *Member) Ready(now float64) (w Work, err error) {
	for m.failed == nil && m.node.HasReady() {
		ready := m.node.Ready()
		if ready.SoftState != nil {
			m.leader, m.role = ready.Lead, ready.RaftState
		}
		m.reads = append(m.reads, ready.ReadStates...)
		for _, message := range ready.Messages {
			m.dispatch(message, &w)
		}
	}
	for len(m.reads) > 0 && m.reads[0].Index <= m.applied {
		w.Reads = append(w.Reads, Read{binary.BigEndian.Uint64(m.reads[0].RequestCtx)})
		m.reads = m.reads[1:]
	}
	m.syncClusterTime(now)
	w.Image = m.beginImage()
	return w, m.failed
}

// dispatch adds a message of the library to the work. With asynchronous storage writes, the library also requests
// storing and applying by messages, which carry the responses to deliver once that is done.
func (m *Member) dispatch(message *pb.Message, w *Work) {
	switch message.GetTo() {
	case raft.LocalAppendThread:
		for _, response := range message.GetResponses() {
			// The candidate that gets this vote must have the time to become leader.
			if response.GetType() == pb.MsgVoteResp && !response.GetReject() {
				m.resetElectionTimeout()
			}
		}
		w.Write = append(w.Write, writeOf(message))
		m.pendingWrites++
	case raft.LocalApplyThread:
		m.failed = m.apply(message.GetEntries(), w)
		for _, response := range message.GetResponses() {
			_ = m.node.Step(response) // from this member to itself, which is never refused
		}
	default:
		w.Messages = append(w.Messages, message)
	}
}

func writeOf(message *pb.Message) Write {
	w := Write{Entries: message.GetEntries(), acknowledgements: message.GetResponses()}
	if message.Term != nil {
		w.Hard = &pb.HardState{Term: message.Term, Vote: message.Vote, Commit: message.Commit}
	}
	if image := message.GetSnapshot(); !raft.IsEmptySnap(image) {
		w.Image = image
	}
	return w
}

// apply applies committed entries.
func (m *Member) apply(entries []*pb.Entry, w *Work) error {
	for _, e := range entries {
		m.applied = e.GetIndex()
		m.bytesSinceImage += len(e.GetData())
		switch {
		case e.GetType() != pb.EntryNormal:
			if err := m.applyConfChange(e); err != nil {
				return err
			}
		case len(e.GetData()) > 0: // a new leader's first entry is empty
			command, reply, err := m.state.Apply(e.GetIndex(), e.GetData())
			if err != nil {
				return err
			}
			w.Applied = append(w.Applied, Applied{e.GetIndex(), command, reply})
		}
	}
	return nil
}

// Persisted confirms that a write is durable. After an error the member must stop.
func (m *Member) Persisted(w Write) error {
	m.pendingWrites--
	if w.Image != nil {
		if err := m.log.ApplySnapshot(w.Image); err != nil {
			return err
		}
		if err := m.restoreState(w.Image); err != nil {
			return err
		}
		m.bytesSinceImage = 0
	}
	if err := m.log.Append(w.Entries); err != nil {
		return err
	}
	if w.Hard != nil {
		if err := m.log.SetHardState(w.Hard); err != nil {
			return err
		}
	}
	for _, response := range w.acknowledgements {
		if response.GetTo() == m.settings.ID {
			_ = m.node.Step(response) // from this member to itself, which is never refused
		}
	}
	return nil
}
