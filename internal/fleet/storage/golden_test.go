package storage

import (
	"encoding/hex"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/wiretest"
)

func digest(text string) operator.Digest {
	bytes, err := hex.DecodeString(text)
	if err != nil {
		panic(err)
	}
	return operator.Digest(bytes)
}

// goldenStored returns the content of the disks in testdata. All its fields are non-zero.
func goldenStored() replica.Stored {
	first := replica.Member{Address: "10.0.0.1:7680", Incarnation: 42, Domain: "zone-a"}
	second := replica.Member{Address: "10.0.0.2:7680", Incarnation: 43, Domain: "zone-b"}
	third := replica.Member{Address: "10.0.0.3:7680", Incarnation: 44, Domain: "zone-c"}
	base := replica.Position{Seq: 7, History: digest("000102030405060708090a0b0c0d0e0f")}
	last := replica.Position{Seq: 9, History: digest("2e95a411a7de8563706103daf4e03057")}
	return replica.Stored{
		Self:     first,
		Founder:  true,
		Founders: []string{first.Address, second.Address, third.Address},
		View: &replica.Proposal{
			View: replica.View{Epoch: 3, Voters: []replica.Member{first, second, third}, Chain: []replica.Member{second, first}},
			Base: base,
		},
		Snapshot: &replica.Snapshot{Seq: base.Seq, State: operator.Snapshot{
			Document: []byte(`{"Revision":70,"Backends":[{"Name":"llm"}]}`),
			Digests:  []string{"digest of one 16", "digest of two 16"},
			Made:     []int64{60, 70},
			Horizon:  50,
			History:  base.History,
		}},
		Entries: []replica.Entry{
			{Epoch: 3, Seq: 8, History: digest("0ddad57b77afd8cef3871ff1d855bc9e"),
				Order: operator.Order{Method: http.MethodPatch, Base: 70, Body: []byte(`{"Revision":80}`)}},
			{Epoch: 3, Seq: 9, History: last.History,
				Order: operator.Order{Method: http.MethodPut, Base: 80, Body: []byte(`{"Revision":90,"Backends":[{"Name":"other"}]}`)}},
		},
		Promised: replica.Ballot{Round: 6, Proposer: third},
		Accepted: &replica.Accepted{
			Ballot: replica.Ballot{Round: 5, Proposer: second},
			Proposal: replica.Proposal{
				View: replica.View{Epoch: 4, Voters: []replica.Member{first, second}, Chain: []replica.Member{first, second}},
				Base: last,
			},
		},
	}
}

// writeGolden writes a disk in the way a process does: one record per write, each after the records on which it
// depends.
func writeGolden(t *testing.T, dir string, compacted bool) *Store {
	t.Helper()
	store, _ := open(t, dir)
	stored := goldenStored()
	for _, record := range []replica.Record{
		replica.SaveIdentity{Self: stored.Self, Founder: stored.Founder, Founders: stored.Founders},
		replica.SaveView{Proposal: *stored.View},
		replica.SaveSnapshot{Snapshot: *stored.Snapshot},
		replica.SaveEntry{Entry: stored.Entries[0]},
		replica.SaveEntry{Entry: stored.Entries[1]},
		replica.SaveAccepted{Accepted: *stored.Accepted},
		replica.SavePromise{Epoch: stored.View.View.Epoch + 1, Ballot: stored.Promised},
	} {
		require.NoError(t, store.Write([]replica.Record{record}))
	}
	if compacted {
		require.NoError(t, store.Recover())
	}
	return store
}

// TestDiskOfEarlierVersionIsRead reads two disks that an earlier version wrote, one before and one after a
// compaction.
func TestDiskOfEarlierVersionIsRead(t *testing.T) {
	for name, compacted := range map[string]bool{"disk": false, "disk-compacted": true} {
		fresh := writeGolden(t, t.TempDir(), compacted)
		file := filepath.Base(fresh.path(fresh.generation))
		content, err := os.ReadFile(fresh.path(fresh.generation))
		require.NoError(t, err)
		golden := wiretest.Golden(t, filepath.Join(name, file), content)
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, file), golden, 0o600))

		store, stored := open(t, dir)
		require.Equal(t, goldenStored(), stored, name)
		require.Equal(t, describeDisk(t, store), describeDisk(t, fresh), "the keys and types on %s", name)
		requireRestart(t, stored)
	}
}

// describeDisk returns the types of the stored values, by key.
func describeDisk(t *testing.T, store *Store) map[string][]string {
	t.Helper()
	values, err := store.readGeneration(store.generation)
	require.NoError(t, err)
	described := map[string][]string{}
	for key, value := range values {
		described[key] = wiretest.Describe(t, value)
	}
	return described
}

// requireRestart checks that a member starts from the content of its disk, with the stored view and state.
func requireRestart(t *testing.T, stored replica.Stored) {
	t.Helper()
	m, err := replica.New(replica.DefaultConfig(), stored, time.Second)
	require.NoError(t, err)
	require.Equal(t, goldenStored().View.View, m.View())
	committed, agreed := m.Committed()
	require.Equal(t, uint64(8), committed, "an entry is committed if another one follows it")
	require.Equal(t, stored.Entries[0].History, agreed.History())
	require.Equal(t, int64(80), agreed.Document.Revision)
	require.Equal(t, uint64(9), m.Status().Seq, "an entry is accepted only if its order leads to the digest in the entry")
	require.Equal(t, stored.Entries[:1], m.Log().Entries(7, 8))
}
