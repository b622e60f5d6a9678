package storage

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

var self = replica.Member{Address: "10.0.0.1:7680", Incarnation: 42}

func identityRecord() replica.Record {
	return replica.SaveIdentity{Self: self, Founder: true, Founders: []string{self.Address}}
}

func viewRecord(epoch, seq uint64) replica.Record {
	view := replica.View{Epoch: epoch, Voters: []replica.Member{self}, Chain: []replica.Member{self}}
	return replica.SaveView{Proposal: replica.Proposal{View: view, Base: replica.Position{Seq: seq, History: "some history"}}}
}

func entryRecord(epoch, seq uint64) replica.Record {
	return replica.SaveEntry{Entry: replica.Entry{Epoch: epoch, Seq: seq, Order: orderOf(seq), History: stateAt(seq).History()}}
}

func orderOf(seq uint64) operator.Order {
	return operator.Order{Method: http.MethodPatch, Base: int64(seq - 1), Body: fmt.Appendf(nil, `{"Revision":%d}`, seq)}
}

// states are the states after each order of the tests, by sequence number.
var states = []*operator.State{operator.NewState()}

func stateAt(seq uint64) *operator.State {
	for uint64(len(states)) <= seq {
		next, err := states[len(states)-1].Apply(orderOf(uint64(len(states))))
		if err != nil {
			panic(err)
		}
		states = append(states, next)
	}
	return states[seq]
}

func snapshotRecord(seq uint64) replica.Record {
	return replica.SaveSnapshot{Snapshot: replica.Snapshot{Seq: seq, State: stateAt(seq).Snapshot()}}
}

func open(t *testing.T, dir string) (*Store, replica.Stored) {
	t.Helper()
	store, stored, err := Open(dir)
	require.NoError(t, err)
	t.Cleanup(store.Close)
	return store, stored
}

// write stores each record in a separate write and returns the size of the file after each.
func write(t *testing.T, store *Store, records ...replica.Record) []int64 {
	t.Helper()
	var sizes []int64
	for _, record := range records {
		require.NoError(t, store.Write([]replica.Record{record}))
		info, err := os.Stat(store.path(store.generation))
		require.NoError(t, err)
		sizes = append(sizes, info.Size())
	}
	return sizes
}

func recordSequence() []replica.Record {
	ballot := replica.Ballot{Round: 3, Proposer: self}
	proposal := viewRecord(2, 2).(replica.SaveView).Proposal
	return []replica.Record{identityRecord(), viewRecord(1, 0), entryRecord(1, 1), entryRecord(1, 2),
		replica.SavePromise{Epoch: 2, Ballot: ballot},
		replica.SaveAccepted{Accepted: replica.Accepted{Ballot: ballot, Proposal: proposal}},
		viewRecord(2, 2), entryRecord(2, 3), snapshotRecord(7), entryRecord(2, 8)}
}

// storedAfter returns the content of a disk after the given records.
func storedAfter(records []replica.Record) replica.Stored {
	var stored replica.Stored
	for _, record := range records {
		stored.Apply(record)
	}
	return stored
}

func TestWrittenRecordsAreReadAfterReopening(t *testing.T) {
	dir := t.TempDir()
	for i := range recordSequence() {
		store, _ := open(t, dir)
		write(t, store, recordSequence()[i])
		store.Close()
		_, stored := open(t, dir)
		require.Equal(t, storedAfter(recordSequence()[:i+1]), stored, "after %d records", i+1)
	}
}

// A power failure may lose or damage any part of what was written since the last sync. Whatever part is missing or
// overwritten, everything synced before is read, and nothing that was never written.
func TestTornTailIsTruncated(t *testing.T) {
	source := t.TempDir()
	store, _ := open(t, source)
	sizes := write(t, store, recordSequence()...)
	store.Close()
	content, err := os.ReadFile(store.path(store.generation))
	require.NoError(t, err)
	random := rand.New(rand.NewPCG(1, 2))
	for i := 1; i < len(sizes); i++ {
		for range 40 {
			torn := damageTail(content[:sizes[i]], int(sizes[i-1]), random)
			stored := readFile(t, torn)
			before, after := storedAfter(recordSequence()[:i]), storedAfter(recordSequence()[:i+1])
			if len(torn) == int(sizes[i]) && string(torn) == string(content[:sizes[i]]) {
				require.Equal(t, after, stored)
				continue
			}
			require.Equal(t, before, stored, "record %d, %d of %d bytes", i, len(torn), sizes[i])
		}
	}
}

// damageTail damages a file after its synced part: it truncates the file, zeroes the rest, or flips bits of one
// byte.
func damageTail(content []byte, synced int, random *rand.Rand) []byte {
	torn := append([]byte(nil), content...)
	at := synced + random.IntN(len(content)-synced)
	switch random.IntN(3) {
	case 0:
		return torn[:at]
	case 1:
		clear(torn[at:])
	case 2:
		torn[at] ^= byte(1 + random.IntN(255))
	}
	return torn
}

func readFile(t *testing.T, content []byte) replica.Stored {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "control-000001.db"), content, 0o644))
	_, stored := open(t, dir)
	return stored
}

func TestIncompleteCompactionIsIgnored(t *testing.T) {
	dir := t.TempDir()
	store, _ := open(t, dir)
	write(t, store, recordSequence()...)
	previous, err := os.ReadFile(store.path(store.generation))
	require.NoError(t, err)
	generation := store.generation
	require.NoError(t, store.compact())
	compacted, err := os.ReadFile(store.path(store.generation))
	require.NoError(t, err)
	store.Close()
	for size := 0; size < len(compacted); size += 7 {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, fmt.Sprintf("control-%06d.db", generation)), previous, 0o644))
		require.NoError(t, os.WriteFile(filepath.Join(dir, fmt.Sprintf("control-%06d.db", generation+1)), compacted[:size], 0o644))
		second, stored := open(t, dir)
		require.Equal(t, storedAfter(recordSequence()), stored, "%d of %d bytes", size, len(compacted))
		write(t, second, entryRecord(2, 9))
		second.Close()
		_, stored = open(t, dir)
		require.Len(t, stored.Entries, 2, "the next write creates a generation after the incomplete one")
	}
}

func TestPreviousGenerationMayStillExist(t *testing.T) {
	dir := t.TempDir()
	store, _ := open(t, dir)
	write(t, store, recordSequence()...)
	previous, err := os.ReadFile(store.path(store.generation))
	require.NoError(t, err)
	path := store.path(store.generation)
	require.NoError(t, store.compact())
	write(t, store, entryRecord(2, 9))
	store.Close()
	require.NoError(t, os.WriteFile(path, previous, 0o644)) // its removal is lost in a power failure
	_, stored := open(t, dir)
	require.Len(t, stored.Entries, 2)
}

func TestRecordsOfEarlierEpochAreIgnored(t *testing.T) {
	dir := t.TempDir()
	store, _ := open(t, dir)
	write(t, store, recordSequence()[:6]...)
	write(t, store, viewRecord(2, 1))
	store.Close()
	_, stored := open(t, dir)
	require.Equal(t, []replica.Entry{entryRecord(1, 1).(replica.SaveEntry).Entry}, stored.Entries,
		"entry 2 of epoch 1 follows seq 1, but is not of this epoch")
	require.Nil(t, stored.Accepted)
	require.Zero(t, stored.Promised)
}

func TestReplacedEntryIsNotRead(t *testing.T) {
	dir := t.TempDir()
	store, _ := open(t, dir)
	write(t, store, identityRecord(), viewRecord(1, 0), entryRecord(1, 1), entryRecord(1, 2), viewRecord(2, 1), entryRecord(2, 2))
	store.Close()
	_, stored := open(t, dir)
	require.Len(t, stored.Entries, 2)
	require.EqualValues(t, 2, stored.Entries[1].Epoch)
}

func TestObsoleteFormatIsRefusedAndKept(t *testing.T) {
	dir := t.TempDir()
	store, _ := open(t, dir)
	write(t, store, identityRecord())
	require.NoError(t, store.setValue(keyObsoleteView, true))
	require.NoError(t, store.file.Sync())
	store.Close()
	before, err := os.ReadFile(store.path(store.generation))
	require.NoError(t, err)
	_, _, err = Open(dir)
	require.ErrorIs(t, err, errObsoleteFormat)
	require.ErrorContains(t, err, "control-000001.db: key view")
	after, err := os.ReadFile(store.path(store.generation))
	require.NoError(t, err)
	require.Equal(t, before, after)
}

func TestFailedWriteKeepsSyncedRecords(t *testing.T) {
	dir := t.TempDir()
	store, _ := open(t, dir)
	write(t, store, recordSequence()[:3]...)
	require.NoError(t, store.file.Close()) // the sync will fail
	require.Error(t, store.Write([]replica.Record{entryRecord(1, 2)}))
	require.NoError(t, store.Recover())
	write(t, store, entryRecord(1, 2))
	store.Close()
	_, stored := open(t, dir)
	require.Equal(t, storedAfter(recordSequence()[:4]), stored)
}

func TestEntriesAreFoldedIntoTheSnapshot(t *testing.T) {
	dir := t.TempDir()
	store, _ := open(t, dir)
	write(t, store, identityRecord(), viewRecord(1, 0))
	const orders = 3*maxEntries + 5
	for seq := uint64(1); seq <= orders; seq++ {
		write(t, store, entryRecord(1, seq))
	}
	require.LessOrEqual(t, len(store.durable.Entries), maxEntries)
	store.Close()
	_, stored := open(t, dir)
	machine, err := replica.New(replica.DefaultConfig(), stored, 1)
	require.NoError(t, err)
	require.EqualValues(t, orders, machine.Status().Seq)
	names, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, names, 1, "previous generations must be removed")
}

func TestEmptyDirectoryIsAnEmptyDisk(t *testing.T) {
	_, stored := open(t, filepath.Join(t.TempDir(), "new"))
	require.Equal(t, replica.Stored{}, stored)
}

func TestFailedRemovalOfPreviousGenerationKeepsNewOne(t *testing.T) {
	dir := t.TempDir()
	store, _ := open(t, dir)
	write(t, store, recordSequence()...)
	// A non-empty directory serves as a file that cannot be removed. Its number is higher than that of the complete
	// generation, like that of a file that an incomplete compaction leaves behind.
	obstacle := store.path(store.generation + 5)
	require.NoError(t, os.MkdirAll(filepath.Join(obstacle, "not empty"), 0o755))
	require.Error(t, store.compact())
	store.Close()

	require.NoError(t, os.RemoveAll(obstacle))
	_, stored := open(t, dir)
	require.Equal(t, storedAfter(recordSequence()), stored)
}
