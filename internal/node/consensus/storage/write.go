package storage

import (
	"errors"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

// appendRecord appends a record of a kind to b.
func appendRecord(b []byte, kind byte, m proto.Message) ([]byte, error) {
	var err error
	b = wal.Append(b, func(b []byte) []byte {
		b, err = proto.MarshalOptions{}.MarshalAppend(append(b, kind), m)
		return b
	})
	return b, err
}

// append adds a record to the buffer.
func (s *Store) append(kind byte, m proto.Message) (err error) {
	s.buffer, err = appendRecord(s.buffer, kind, m)
	return err
}

// flush writes the buffer to the log. If the store is synced, the records are durable when flush returns.
func (s *Store) flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	err := s.log.Write(s.buffer)
	if s.buffer = s.buffer[:0]; cap(s.buffer) > segmentBytes {
		s.buffer = nil
	}
	return err
}

// Write makes writes durable together, in order. After an error the member must stop, because the state of the
// disk is unknown.
func (s *Store) Write(writes []member.Write) error {
	for _, w := range writes {
		if w.Image != nil {
			if err := s.install(w.Image); err != nil {
				return err
			}
		}
		for _, e := range w.Entries {
			if err := s.append(kindEntry, e); err != nil {
				return err
			}
			if err := s.addEntry(e); err != nil {
				return err
			}
		}
		if w.Hard != nil {
			s.saved.Hard = w.Hard
			if err := s.append(kindHard, w.Hard); err != nil {
				return err
			}
		}
	}
	return s.flush()
}

// install replaces all entries by an image from the leader. The image is made durable before the record that drops
// the entries.
func (s *Store) install(image *pb.Snapshot) error {
	if err := s.flush(); err != nil {
		return err
	}
	if err := s.writeImage(image); err != nil {
		return err
	}
	from := &pb.Entry{Index: image.GetMetadata().Index, Term: image.GetMetadata().Term}
	s.saved.Image, s.saved.Entries, s.saved.From = image, nil, from
	return s.append(kindReset, from)
}

// writeImage makes an image durable in a separate file.
func (s *Store) writeImage(image *pb.Snapshot) error {
	w := wal.Writer{Folder: s.folder, Format: imageForm, Header: s.log.Header, MaxBytes: 1 << 62, Number: s.nextImage, Synced: true}
	s.nextImage++
	b, err := appendRecord(nil, kindMeta, image.GetMetadata())
	if err != nil {
		return err
	}
	for chunk := range slices.Chunk(image.GetData(), chunkBytes) {
		b = wal.Append(b, func(b []byte) []byte { return append(append(b, kindChunk), chunk...) })
	}
	b = wal.Append(b, func(b []byte) []byte { return append(b, kindEnd) })
	if err := w.Write(b); err != nil {
		return err
	}
	return w.EndSegment()
}

// Bootstrap makes the image that a member is bootstrapped with durable. The directory must be empty.
func (s *Store) Bootstrap(image *pb.Snapshot) error {
	if s.saved.Image != nil {
		return errors.New("this keeper has been founded before")
	}
	s.saved.Image = image
	return s.writeImage(image)
}

// SaveImage makes an image durable and compacts the log: it removes the entries before the image, except for the
// last trail entries.
func (s *Store) SaveImage(image *pb.Snapshot, trail int) error {
	index := image.GetMetadata().GetIndex()
	if index <= s.saved.Image.GetMetadata().GetIndex() {
		return nil // a newer image has come from the leader
	}
	if err := s.writeImage(image); err != nil {
		return err
	}
	s.saved.Image = image
	if until := index - min(index, uint64(trail)); len(s.saved.Entries) > 0 && until >= s.saved.Entries[0].GetIndex() {
		e := s.saved.Entries[until-s.saved.Entries[0].GetIndex()]
		s.trim(&pb.Entry{Index: e.Index, Term: e.Term})
	}
	return s.compact()
}

// compact writes the part of the log that is still needed to a new segment, and only then removes the old segments
// and all images except the last.
func (s *Store) compact() error {
	if err := s.log.EndSegment(); err != nil {
		return err
	}
	old := s.segments
	s.segments = nil
	if s.saved.From != nil {
		if err := s.append(kindTrim, s.saved.From); err != nil {
			return err
		}
	}
	if s.saved.Hard != nil {
		if err := s.append(kindHard, s.saved.Hard); err != nil {
			return err
		}
	}
	for _, e := range s.saved.Entries {
		if err := s.append(kindEntry, e); err != nil {
			return err
		}
	}
	if err := s.flush(); err != nil {
		return err
	}
	names, err := s.folder.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		number, isImage := imageForm.Number(name)
		if isImage && number < s.nextImage-1 || slices.Contains(old, name) {
			if err := s.folder.Remove(name); err != nil {
				return err
			}
		}
	}
	return s.folder.Sync()
}
