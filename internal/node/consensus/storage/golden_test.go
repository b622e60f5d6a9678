package storage

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/golden"
	"linenwheel.dev/linenwheel/internal/node/consensus/member"
)

// identityText is the identity file as the first release wrote it at the first start.
const identityText = `{"version":1,"fleet":"morava","name":"keeper-1","id":4611686018427387905,"starts":1}`

// fullImage returns an image with every stored field set.
func fullImage(i, term uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte("the state"), Metadata: &pb.SnapshotMetadata{Index: &i, Term: &term, ConfState: &pb.ConfState{
		Voters: []uint64{11, 12}, Learners: []uint64{13}, VotersOutgoing: []uint64{11, 14}, LearnersNext: []uint64{14}, AutoLeave: proto.Bool(true)}}}
}

func fullEntry(i uint64) *pb.Entry {
	e := entry(i, 2)
	e.Type = pb.EntryConfChangeV2.Enum()
	return e
}

// directories are the directories in testdata, by name, with the steps that produce them and the state that they
// hold. Together they contain every kind of record.
var directories = map[string]struct {
	steps []func(*Store) error
	want  member.Saved
}{
	"trimmed": {[]func(*Store) error{
		func(s *Store) error { return s.Bootstrap(fullImage(1, 1)) },
		func(s *Store) error {
			return s.Write([]member.Write{{Hard: hard(2, 8, 3), Entries: []*pb.Entry{entry(2, 1), entry(3, 2), fullEntry(4), entry(5, 2), entry(6, 2)}}})
		},
		func(s *Store) error { return s.SaveImage(fullImage(5, 2), 2) },
		func(s *Store) error {
			return s.Write([]member.Write{{Entries: []*pb.Entry{fullEntry(7)}, Hard: hard(2, 8, 7)}})
		},
	}, member.Saved{Image: fullImage(5, 2), Hard: hard(2, 8, 7), From: &pb.Entry{Index: proto.Uint64(3), Term: proto.Uint64(2)},
		Entries: []*pb.Entry{fullEntry(4), entry(5, 2), entry(6, 2), fullEntry(7)}}},
	"reset": {[]func(*Store) error{
		func(s *Store) error { return s.Bootstrap(fullImage(1, 1)) },
		func(s *Store) error {
			return s.Write([]member.Write{{Hard: hard(1, 7, 1), Entries: []*pb.Entry{entry(2, 1)}}})
		},
		func(s *Store) error {
			return s.Write([]member.Write{{Image: fullImage(20, 3), Hard: hard(3, 9, 20), Entries: []*pb.Entry{entry(21, 3)}}})
		},
	}, member.Saved{Image: fullImage(20, 3), Hard: hard(3, 9, 20), From: &pb.Entry{Index: proto.Uint64(20), Term: proto.Uint64(3)},
		Entries: []*pb.Entry{entry(21, 3)}}},
}

func requireSaved(t *testing.T, want, got member.Saved) {
	t.Helper()
	require.True(t, proto.Equal(want.Image, got.Image), "image %v, want %v", got.Image, want.Image)
	require.True(t, proto.Equal(want.Hard, got.Hard), "hard state %v, want %v", got.Hard, want.Hard)
	require.True(t, proto.Equal(want.From, got.From), "entries follow %v, want %v", got.From, want.From)
	require.Len(t, got.Entries, len(want.Entries))
	for i, e := range want.Entries {
		require.True(t, proto.Equal(e, got.Entries[i]), "entry %v, want %v", got.Entries[i], e)
	}
}

// TestOpensTheDirectoryOfAnEarlierBuild guards against a replica that cannot open a directory written by an
// earlier build of this release, or that reads it differently.
func TestOpensTheDirectoryOfAnEarlierBuild(t *testing.T) {
	for name, d := range directories {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "golden", name))))
			s, err := Open(dir, "morava", "keeper-1", true, nil)
			require.NoError(t, err)
			require.Equal(t, Identity{Version: 1, Fleet: "morava", Name: "keeper-1", ID: 1<<62 + 1, Starts: 3}, s.Identity)
			requireSaved(t, d.want, s.Saved())
			require.NoError(t, s.Close())
		})
	}
}

// TestWritesTheDirectoryOfAnEarlierBuild guards against a change of the bytes in a directory: an earlier build
// must be able to read it after a rollback.
func TestWritesTheDirectoryOfAnEarlierBuild(t *testing.T) {
	for name, d := range directories {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, os.WriteFile(filepath.Join(dir, identityFile), []byte(identityText), 0o600))
			s, err := Open(dir, "morava", "keeper-1", true, nil)
			require.NoError(t, err)
			for _, do := range d.steps {
				require.NoError(t, do(s))
			}
			require.NoError(t, s.Close())
			files := map[string]bool{}
			list, err := os.ReadDir(dir)
			require.NoError(t, err)
			for _, f := range list {
				if f.Name() == "lock" {
					continue
				}
				files[f.Name()] = true
				text, err := os.ReadFile(filepath.Join(dir, f.Name()))
				require.NoError(t, err)
				golden.Check(t, filepath.Join(name, f.Name()), text)
			}
			want, err := os.ReadDir(filepath.Join("testdata", "golden", name))
			require.NoError(t, err)
			for _, f := range want {
				require.True(t, files[f.Name()], "%s was not written", f.Name())
			}
		})
	}
}

// TestIdentityKeepsItsForm guards against a change of the identity's JSON form.
func TestIdentityKeepsItsForm(t *testing.T) {
	var i Identity
	require.NoError(t, json.Unmarshal([]byte(identityText), &i))
	text, err := json.Marshal(i)
	require.NoError(t, err)
	require.Equal(t, identityText, string(text))
}
