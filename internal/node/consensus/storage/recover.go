package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/node/wal"
)

// recover reads the newest complete image and the log, and checks that they are consistent.
func (s *Store) recover() error {
	names, err := s.folder.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	if err := s.recoverImage(names); err != nil {
		return err
	}
	if err := s.recoverLog(names); err != nil {
		return err
	}
	return s.reconcile()
}

func (s *Store) recoverImage(names []string) error {
	for _, name := range names {
		number, ok := imageForm.Number(name)
		if !ok {
			continue
		}
		s.nextImage = max(s.nextImage, number+1)
		text, err := s.folder.Read(name)
		if err != nil {
			return err
		}
		if image := decodeImage(text); image != nil && image.GetMetadata().GetIndex() >= s.saved.Image.GetMetadata().GetIndex() {
			s.saved.Image = image
		}
	}
	return nil
}

// decodeImage decodes an image. It returns nil if the image is incomplete: a crash interrupted its writing, and
// the previous image still exists.
func decodeImage(text []byte) *pb.Snapshot {
	image, complete := &pb.Snapshot{Metadata: &pb.SnapshotMetadata{}}, false
	_, err := imageForm.Read(text, func([]byte) error { return nil }, func(record []byte) error {
		switch record[0] {
		case kindMeta:
			return proto.Unmarshal(record[1:], image.Metadata)
		case kindChunk:
			image.Data = append(image.Data, record[1:]...)
		case kindEnd:
			complete = true
		}
		return nil
	})
	if err != nil || !complete {
		return nil
	}
	return image
}

func (s *Store) recoverLog(names []string) error {
	s.log.Number = 1
	for _, name := range names {
		number, ok := logForm.Number(name)
		if !ok {
			continue
		}
		s.log.Number = max(s.log.Number, number+1)
		s.segments = append(s.segments, name)
		text, err := s.folder.Read(name)
		if err != nil {
			return err
		}
		if err := s.replaySegment(name, text); err != nil {
			return err
		}
	}
	return nil
}

// replaySegment replays the records of a segment. A crash can only tear the last record; if a complete record
// follows a torn one, the segment is damaged.
func (s *Store) replaySegment(name string, text []byte) error {
	offset, err := logForm.Read(text, func(header []byte) error {
		var owner Identity
		if json.Unmarshal(header, &owner) != nil || owner.ID != s.ID || owner.Version > Version {
			return ErrForeign
		}
		return nil
	}, s.replay)
	if errors.Is(err, wal.ErrTorn) {
		if !hasRecordAfterFirst(text[offset:]) {
			return nil
		}
		err = ErrDamaged
	}
	if err != nil {
		return fmt.Errorf("%s, byte %d: %w", name, offset, err)
	}
	return nil
}

// hasRecordAfterFirst reports whether a complete record begins anywhere after the first byte.
func hasRecordAfterFirst(b []byte) bool {
	for i := 1; i < len(b); i++ {
		if content, _, err := wal.Next(b[i:]); err == nil && len(content) > 1 {
			return true
		}
	}
	return false
}

// replay applies one record of the log to the saved state.
func (s *Store) replay(record []byte) error {
	if len(record) == 0 {
		return ErrDamaged
	}
	switch record[0] {
	case kindHard:
		s.saved.Hard = &pb.HardState{}
		return proto.Unmarshal(record[1:], s.saved.Hard)
	case kindEntry, kindTrim, kindReset:
		e := &pb.Entry{}
		if err := proto.Unmarshal(record[1:], e); err != nil {
			return err
		}
		switch record[0] {
		case kindEntry:
			return s.addEntry(e)
		case kindReset:
			s.saved.Entries, s.saved.From = nil, e
		case kindTrim:
			s.trim(e)
		}
		return nil
	}
	return ErrDamaged
}

// addEntry appends an entry. An entry that is already present changes nothing. An entry of another term replaces
// the one with its index and all later entries, which were not committed.
func (s *Store) addEntry(e *pb.Entry) error {
	entries, index := s.saved.Entries, e.GetIndex()
	if len(entries) == 0 {
		if s.saved.From != nil && index != s.saved.From.GetIndex()+1 {
			return fmt.Errorf("entry %d follows %d: %w", index, s.saved.From.GetIndex(), ErrDamaged)
		}
		s.saved.Entries = []*pb.Entry{e}
		return nil
	}
	first, last := entries[0].GetIndex(), entries[len(entries)-1].GetIndex()
	switch {
	case index > last+1:
		return fmt.Errorf("entry %d follows %d: %w", index, last, ErrDamaged)
	case index < first:
		return nil // trimmed before; a compaction that was interrupted by a crash has rewritten it
	case index == last+1:
		s.saved.Entries = append(s.saved.Entries, e)
	case entries[index-first].GetTerm() != e.GetTerm():
		s.saved.Entries = append(slices.Clip(entries[:index-first]), e) // a copy, because the member still uses the old slice
	}
	return nil
}

// trim drops the entries up to and including the given one.
func (s *Store) trim(until *pb.Entry) {
	if s.saved.From.GetIndex() < until.GetIndex() || s.saved.From == nil {
		s.saved.From = until
	}
	for len(s.saved.Entries) > 0 && s.saved.Entries[0].GetIndex() <= until.GetIndex() {
		s.saved.Entries = s.saved.Entries[1:]
	}
}

// reconcile checks that the image and the log together hold everything that was acknowledged, and drops the
// entries that the image replaces.
func (s *Store) reconcile() error {
	saved := &s.saved
	image := saved.Image.GetMetadata()
	switch {
	case saved.Image == nil && (len(saved.Entries) > 0 || saved.From != nil):
		return fmt.Errorf("no complete image: %w", ErrDamaged)
	case saved.Image == nil:
		return nil
	case len(s.segments) == 0:
		return fmt.Errorf("no log, but an image of entry %d: %w", image.GetIndex(), ErrDamaged)
	}
	if !continues(saved.Entries, image) {
		if err := s.resetLog(image); err != nil {
			return err
		}
	}
	if saved.From.GetIndex() > image.GetIndex() {
		return fmt.Errorf("log starts after entry %d, but the image is of entry %d: %w", saved.From.GetIndex(), image.GetIndex(), ErrDamaged)
	}
	last := saved.LastIndex()
	for saved.From == nil && len(saved.Entries) > 0 && saved.Entries[0].GetIndex() <= image.GetIndex() {
		saved.Entries = saved.Entries[1:]
	}
	if commit := saved.Hard.GetCommit(); commit > max(last, image.GetIndex()) {
		return fmt.Errorf("entry %d is committed, but the last entry is %d: %w", commit, last, ErrDamaged)
	}
	return nil
}

// continues reports whether the entries contain the last entry of the image, or begin directly after it.
func continues(entries []*pb.Entry, image *pb.SnapshotMetadata) bool {
	if len(entries) > 0 && entries[0].GetIndex() == image.GetIndex()+1 {
		return true
	}
	return slices.ContainsFunc(entries, func(e *pb.Entry) bool {
		return e.GetIndex() == image.GetIndex() && e.GetTerm() == image.GetTerm()
	})
}

// resetLog drops the entries that an image from the leader has replaced, in case a crash prevented the record that
// does so. The next entry follows the image.
func (s *Store) resetLog(image *pb.SnapshotMetadata) error {
	saved := &s.saved
	if len(saved.Entries) > 0 && saved.Entries[0].GetIndex() > image.GetIndex()+1 {
		return fmt.Errorf("entry %d follows an image of entry %d: %w", saved.Entries[0].GetIndex(), image.GetIndex(), ErrDamaged)
	}
	if len(saved.Entries) > 0 || saved.From != nil {
		if err := s.append(kindReset, &pb.Entry{Index: image.Index, Term: image.Term}); err != nil {
			return err
		}
	}
	saved.Entries, saved.From = nil, nil
	return nil
}
