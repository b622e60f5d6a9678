package member

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// memoryLog is the log in memory. It does not return an image that is older than the last membership change,
// because a new member would not be contained in that image.
type memoryLog struct {
	*raft.MemoryStorage
	confChangeIndex uint64 // index of the last entry that changed the membership
}

// Snapshot returns the image to send to a member that needs entries which were compacted away. The error is
// raft.ErrSnapshotTemporarilyUnavailable while the last image is older than the last membership change.
func (l *memoryLog) Snapshot() (*pb.Snapshot, error) {
	if s, err := l.MemoryStorage.Snapshot(); err != nil || s.GetMetadata().GetIndex() >= l.confChangeIndex {
		return s, err
	}
	return nil, raft.ErrSnapshotTemporarilyUnavailable
}

// Image is a captured state. Encode encodes it; the caller then saves it and calls Member.ImageSaved.
type Image struct {
	index, term uint64
	conf        *pb.ConfState
	freeze      func() ([]byte, error)
}

// Encode encodes the image. It can take a long time, and may run on any goroutine while the member continues.
func (i *Image) Encode() (*pb.Snapshot, error) {
	data, err := i.freeze()
	return &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: i.conf, Index: &i.index, Term: &i.term}}, err
}

// beginImage captures the state if an image is due: after each membership change, and after ImageEvery bytes of
// entries or the size of the last image, whichever is larger, so that a large state is not written again for a few
// entries.
func (m *Member) beginImage() *Image {
	first, _ := m.log.FirstIndex() // the log in memory does not fail
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

// ImageSaved confirms that an image is durable, and compacts the log in memory except for Settings.Trail entries
// before the image.
func (m *Member) ImageSaved(image *pb.Snapshot) {
	m.imageInProgress, m.imageBytes = false, len(image.GetData())
	index := image.GetMetadata().GetIndex()
	if _, err := m.log.CreateSnapshot(index, image.GetMetadata().GetConfState(), image.GetData()); err != nil {
		return // a newer image has come from the leader meanwhile
	}
	_ = m.log.Compact(index - min(index, uint64(m.settings.Trail))) // fails if there are no entries that old
}
