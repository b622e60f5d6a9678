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

// faulty is a folder whose disk is full after so many bytes.
type faulty struct {
	wal.Folder
	room *int
}

func (f faulty) Create(name string) (wal.File, error) {
	out, err := f.Folder.Create(name)
	return faultyFile{out, f.room}, err
}

type faultyFile struct {
	wal.File
	room *int
}

func (f faultyFile) Write(b []byte) (int, error) {
	n := min(len(b), *f.room)
	*f.room -= n
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

// steps are what a member may ask of its disk: entries, entries of a later term in place of some, an image of its own with
// a trail, and one of the leader's in place of all.
var steps = []func(*Store) error{
	func(s *Store) error { return s.Begin(image(1, 1)) },
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
	func(s *Store) error { return s.Keep(image(5, 2), 2) },
	func(s *Store) error {
		return s.Write([]member.Write{{Entries: []*pb.Entry{entry(7, 2)}, Hard: hard(2, 8, 7)}})
	},
	func(s *Store) error { return s.Write([]member.Write{{Image: image(20, 3), Hard: hard(3, 9, 20)}}) },
	func(s *Store) error { return s.Write([]member.Write{{Entries: []*pb.Entry{entry(21, 3)}}}) },
	func(s *Store) error { return s.Keep(image(21, 3), 100) },
}

// picture is what a member would begin with.
type picture struct {
	image, from, term, vote, commit uint64
	entries                         [][2]uint64
}

func of(s member.Saved) (p picture) {
	p.image, p.from = s.Image.GetMetadata().GetIndex(), s.From.GetIndex()
	p.term, p.vote, p.commit = s.Hard.GetTerm(), s.Hard.GetVote(), s.Hard.GetCommit()
	for _, e := range s.Entries {
		p.entries = append(p.entries, [2]uint64{e.GetIndex(), e.GetTerm()})
	}
	return p
}

// covers tells whether nothing that had lasted before a failed step is gone after it: the state is that of before, that of
// after, or on the way between.
func (p picture) covers(before, after picture) bool {
	last := func(p picture) uint64 {
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
			continue // the step itself puts others in its place
		}
		if slices.Contains(after.entries, e) {
			return false
		}
	}
	return p.image >= before.image && p.term >= before.term && p.commit >= before.commit && last(p) >= min(last(before), last(after)) &&
		(p.term != before.term || p.vote == before.vote)
}

// Guards against votes and entries that are forgotten where the disk is full at any byte of any step, against a folder that
// does not open then, and against one that does not go on.
func TestEveryCut(t *testing.T) {
	for step := range steps {
		for room := 0; ; room += 3 {
			dir, left := t.TempDir(), 1<<30
			s, err := Open(dir, "f", "a", true, func(f wal.Folder) wal.Folder { return faulty{f, &left} })
			require.NoError(t, err)
			for _, do := range steps[:step] {
				require.NoError(t, do(s))
			}
			before := of(s.Saved())
			left = room
			err = steps[step](s)
			after := of(s.Saved())
			_ = s.Close() // what was cut off is not written behind
			again, err2 := Open(dir, "f", "a", true, nil)
			require.NoError(t, err2, "step %d cut at byte %d", step, room)
			got := of(again.Saved())
			assert.Equal(t, s.ID, again.ID)
			assert.Equal(t, uint64(2), again.Starts)
			if err == nil {
				got.from, after.from = 0, 0 // nothing depends on which entry before the first is known
				assert.Equal(t, after, got, "step %d", step)
				require.NoError(t, again.Close())
				break
			}
			require.ErrorIs(t, err, errDisk)
			assert.True(t, got.covers(before, after), "step %d cut at byte %d: %+v after %+v", step, room, got, before)
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

// Guards against a member that votes from a folder that lacks what it had promised, that is another's, or that a second
// process has open.
func TestRefuses(t *testing.T) {
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
