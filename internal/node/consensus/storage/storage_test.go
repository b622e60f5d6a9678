package storage

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"

	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

var errDisk = errors.New("the disk failed")

// fullDisk is a folder on a disk that is full after free bytes have been written.
type fullDisk struct {
	wal.Folder
	free *int
}

func (f fullDisk) Create(name string) (wal.File, error) {
	out, err := f.Folder.Create(name)
	return fullDiskFile{out, f.free}, err
}

type fullDiskFile struct {
	wal.File
	free *int
}

func (f fullDiskFile) Write(b []byte) (int, error) {
	n := min(len(b), *f.free)
	*f.free -= n
	if _, err := f.File.Write(b[:n]); err != nil || n == len(b) {
		return n, err
	}
	return n, errDisk
}

func entry(i, term uint64) *pb.Entry {
	return &pb.Entry{Index: &i, Term: &term, Data: []byte{byte(i), byte(term)}}
}

func image(i, term uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte("state"), Metadata: &pb.SnapshotMetadata{Index: &i, Term: &term, ConfState: &pb.ConfState{}}}
}

func hard(term, vote, commit uint64) *pb.HardState {
	return &pb.HardState{Term: &term, Vote: &vote, Commit: &commit}
}

// steps are the writes of a member: entries, entries of a later term that replace some of them, an image of its
// own with a trail, and an image from the leader that replaces everything.
var steps = []func(*Store) error{
	func(s *Store) error { return s.Bootstrap(image(1, 1)) },
	func(s *Store) error {
		return s.Write([]member.Write{{Hard: hard(1, 7, 1), Entries: []*pb.Entry{entry(2, 1), entry(3, 1)}}, {Entries: []*pb.Entry{entry(4, 1)}}})
	},
	func(s *Store) error { return s.Write([]member.Write{{Hard: hard(2, 8, 2)}}) },
	func(s *Store) error {
		return s.Write([]member.Write{{Entries: []*pb.Entry{entry(3, 2)}, Hard: hard(2, 8, 3)}})
	},
	func(s *Store) error {
		return s.Write([]member.Write{{Entries: []*pb.Entry{entry(4, 2), entry(5, 2), entry(6, 2)}}})
	},
	func(s *Store) error { return s.SaveImage(image(5, 2), 2) },
	func(s *Store) error {
		return s.Write([]member.Write{{Entries: []*pb.Entry{entry(7, 2)}, Hard: hard(2, 8, 7)}})
	},
	func(s *Store) error { return s.Write([]member.Write{{Image: image(20, 3), Hard: hard(3, 9, 20)}}) },
	func(s *Store) error { return s.Write([]member.Write{{Entries: []*pb.Entry{entry(21, 3)}}}) },
	func(s *Store) error { return s.SaveImage(image(21, 3), 100) },
}

// savedState is the state that a member would resume from.
type savedState struct {
	image, from, term, vote, commit uint64
	entries                         [][2]uint64
}

func stateOf(s member.Saved) (p savedState) {
	p.image, p.from = s.Image.GetMetadata().GetIndex(), s.From.GetIndex()
	p.term, p.vote, p.commit = s.Hard.GetTerm(), s.Hard.GetVote(), s.Hard.GetCommit()
	for _, e := range s.Entries {
		p.entries = append(p.entries, [2]uint64{e.GetIndex(), e.GetTerm()})
	}
	return p
}

// covers reports whether nothing that was durable before a failed step is lost: the state is the one before the
// step, the one after it, or one in between.
func (p savedState) covers(before, after savedState) bool {
	last := func(p savedState) uint64 {
		if n := len(p.entries); n > 0 {
			return p.entries[n-1][0]
		}
		return p.image
	}
	for _, e := range before.entries {
		if e[0] <= p.image || slices.Contains(p.entries, e) {
			continue
		}
		if !slices.ContainsFunc(p.entries, func(o [2]uint64) bool { return o[0] <= e[0] && o[1] > e[1] }) && !slices.Contains(after.entries, e) {
			continue // the step itself replaces it
		}
		if slices.Contains(after.entries, e) {
			return false
		}
	}
	return p.image >= before.image && p.term >= before.term && p.commit >= before.commit && last(p) >= min(last(before), last(after)) &&
		(p.term != before.term || p.vote == before.vote)
}

// TestFullDiskAtAnyByteLosesNothingDurable guards against votes and entries that are lost when the disk becomes
// full at any byte of any step, and against a directory that cannot be opened or written to afterwards.
func TestFullDiskAtAnyByteLosesNothingDurable(t *testing.T) {
	for step := range steps {
		for capacity := 0; ; capacity += 3 {
			dir, free := t.TempDir(), 1<<30
			s, err := Open(dir, "f", "a", true, func(f wal.Folder) wal.Folder { return fullDisk{f, &free} })
			require.NoError(t, err)
			for _, do := range steps[:step] {
				require.NoError(t, do(s))
			}
			before := stateOf(s.Saved())
			free = capacity
			err = steps[step](s)
			after := stateOf(s.Saved())
			_ = s.Close() // nothing is written after the truncated record
			again, reopenErr := Open(dir, "f", "a", true, nil)
			require.NoError(t, reopenErr, "step %d cut at byte %d", step, capacity)
			got := stateOf(again.Saved())
			assert.Equal(t, s.ID, again.ID)
			assert.Equal(t, uint64(2), again.Starts)
			if err == nil {
				got.from, after.from = 0, 0 // the entry before the first one need not be the same
				assert.Equal(t, after, got, "step %d", step)
				require.NoError(t, again.Close())
				break
			}
			require.ErrorIs(t, err, errDisk)
			assert.True(t, got.covers(before, after), "step %d cut at byte %d: %+v after %+v", step, capacity, got, before)
			if got.image > 0 {
				last := got.image
				if n := len(got.entries); n > 0 {
					last = got.entries[n-1][0]
				}
				require.NoError(t, again.Write([]member.Write{{Entries: []*pb.Entry{entry(last+1, 9)}}}))
				require.NoError(t, again.Close())
				third, err := Open(dir, "f", "a", true, nil)
				require.NoError(t, err)
				saved := third.Saved().Entries
				assert.Equal(t, last+1, saved[len(saved)-1].GetIndex())
				again = third
			}
			require.NoError(t, again.Close())
		}
	}
}

// TestOpenRefusesDamagedForeignAndLockedDirectories guards against a member that votes with a directory that lacks
// acknowledged data, belongs to another member, or is open in another process.
func TestOpenRefusesDamagedForeignAndLockedDirectories(t *testing.T) {
	fill := func() (string, *Store) {
		dir := t.TempDir()
		s, err := Open(dir, "f", "a", false, nil)
		require.NoError(t, err)
		for _, do := range steps[:7] {
			require.NoError(t, do(s))
		}
		return dir, s
	}
	dir, s := fill()
	_, err := Open(dir, "f", "a", false, nil)
	require.ErrorIs(t, err, wal.ErrInUse)
	require.NoError(t, s.Close())
	_, err = Open(dir, "other", "a", false, nil)
	require.ErrorIs(t, err, ErrForeign)
	_, err = Open(dir, "f", "b", false, nil)
	require.ErrorIs(t, err, ErrForeign)
	names, err := s.disk.List()
	require.NoError(t, err)
	for _, name := range names {
		if name == "lock" {
			continue
		}
		t.Run("without "+name, func(t *testing.T) {
			dir, s := fill()
			require.NoError(t, s.Close())
			require.NoError(t, os.Remove(filepath.Join(dir, name)))
			_, err := Open(dir, "f", "a", false, nil)
			require.ErrorIs(t, err, ErrDamaged)
		})
		t.Run("a changed byte in "+name, func(t *testing.T) {
			dir, s := fill()
			require.NoError(t, s.Close())
			text, err := s.disk.Read(name)
			require.NoError(t, err)
			text[0] ^= 0x40
			require.NoError(t, os.WriteFile(filepath.Join(dir, name), text, 0o600))
			_, err = Open(dir, "f", "a", false, nil)
			require.ErrorIs(t, err, ErrDamaged)
		})
	}
}
