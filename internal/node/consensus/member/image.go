package member

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// memoryLog is the log in memory. It withholds an image that is older than the last change of the membership: a new member
// would not find itself in it.
type memoryLog struct {
	*raft.MemoryStorage
	confChangeIndex uint64 // of the entry that changed the membership last
}

// Snapshot returns the image to send to a member whose entries were compacted away.
func (l *memoryLog) Snapshot() (*pb.Snapshot, error) {
	if s, err := l.MemoryStorage.Snapshot(); err != nil || s.GetMetadata().GetIndex() >= l.confChangeIndex {
		return s, err
	}
	return nil, raft.ErrSnapshotTemporarilyUnavailable
}

// Image is a captured state, to be encoded by Make, saved, and reported by Member.Kept.
type Image struct {
	index, term uint64
	conf        *pb.ConfState
	freeze      func() ([]byte, error)
}

// Encode encodes the image. It may take long, and may run on any goroutine while the member goes on.
func (i *Image) Encode() (*pb.Snapshot, error) {
	data, err := i.freeze()
	return &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: i.conf, Index: &i.index, Term: &i.term}}, err
}

// beginImage captures the state if an image is due: after ImageEvery bytes of entries, or as many as a larger image itself has,
// so that a large state is not written again for a few entries; and after each change of the membership.
func (m *Member) beginImage() *Image {
	first, _ := m.log.FirstIndex() // of memory, which does not fail
	due := m.bytesSinceImage >= max(m.settings.ImageEvery, m.imageBytes) || m.log.confChangeIndex > m.imageIndex
	if m.imageInProgress || !due || m.applied < first {
		return nil
	}
	term, err := m.log.Term(m.applied)
	if err != nil {
		return nil // the log in memory does not have the entry
	}
	m.imageInProgress, m.bytesSinceImage, m.imageIndex = true, 0, m.applied
	return &Image{index: m.applied, term: term, conf: proto.Clone(m.conf).(*pb.ConfState), freeze: m.state.Freeze()}
}

// ImageSaved reports that an image is durable, and compacts the log in memory up to Settings.Trail entries before it.
func (m *Member) ImageSaved(image *pb.Snapshot) {
	m.imageInProgress, m.imageBytes = false, len(image.GetData())
	index := image.GetMetadata().GetIndex()
	if _, err := m.log.CreateSnapshot(index, image.GetMetadata().GetConfState(), image.GetData()); err != nil {
		return // a newer one has come from the leader meanwhile
	}
	_ = m.log.Compact(index - min(index, uint64(m.settings.Trail))) // fails if nothing is that old
}
