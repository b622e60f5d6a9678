package storage

import (
	"math/rand/v2"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/storage/disktest"
)

const crashSeeds = 400

// openDisk restarts the process on a disk.
func openDisk(t *testing.T, disk *disktest.Disk, dir string) (*Store, replica.Stored) {
	t.Helper()
	disk.Restart()
	store, stored, err := OpenOn(disk, dir)
	require.NoError(t, err)
	return store, stored
}

// losesRecordsReadAtStart reports whether a power failure loses a record that one process wrote without syncing it
// and that the next process has read.
func losesRecordsReadAtStart(t *testing.T, seed uint64, ignored disktest.IgnoredSyncs) bool {
	t.Helper()
	dir := t.TempDir()
	disk := disktest.New(dir, rand.New(rand.NewPCG(seed, 1)))
	store, _ := openDisk(t, disk, dir)
	write(t, store, recordSequence()[:3]...)
	disk.CrashAfter(2) // at the sync after the write
	require.ErrorIs(t, store.Write([]replica.Record{entryRecord(1, 2)}), disktest.ErrCrashed)
	store.Close()

	disk.IgnoredSyncs = ignored
	store, read := openDisk(t, disk, dir)
	store.Close()
	require.NoError(t, disk.LosePower())
	store, left := openDisk(t, disk, dir)
	store.Close()
	require.Subset(t, read.Entries, left.Entries)
	return len(left.Entries) < len(read.Entries)
}

// A process reports the records that it reads at its start to the other members before it writes anything, so a
// later power failure must not lose them.
func TestRecordsReadAtStartSurvivePowerLoss(t *testing.T) {
	lost := 0
	for seed := range uint64(crashSeeds) {
		require.False(t, losesRecordsReadAtStart(t, seed, disktest.IgnoredSyncs{}), "seed %d", seed)
		if losesRecordsReadAtStart(t, seed, disktest.IgnoredSyncs{AtStart: true}) {
			lost++
		}
	}
	require.Positive(t, lost, "without the sync at the start, records are lost")
}

// A compaction that crashes at any operation, with or without a power failure, preserves the stored state. So does
// a crash of the next process while it compacts again.
func TestCrashDuringCompactionLosesNothing(t *testing.T) {
	const operations = 30
	for crashAt := 1; crashAt <= operations; crashAt++ {
		for seed := range uint64(12) {
			dir := t.TempDir()
			disk := disktest.New(dir, rand.New(rand.NewPCG(seed, uint64(crashAt))))
			store, _ := openDisk(t, disk, dir)
			write(t, store, recordSequence()...)
			for range 2 {
				disk.CrashAfter(crashAt)
				_ = store.Recover()
				store.Close()
				if seed%2 == 0 {
					require.NoError(t, disk.LosePower())
				}
				var stored replica.Stored
				store, stored = openDisk(t, disk, dir)
				require.Equal(t, storedAfter(recordSequence()), stored, "operation %d, seed %d", crashAt, seed)
			}
			store.Close()
		}
	}
}

// A write that fails because the disk is full preserves the records that were synced before, whatever part of the
// write reached the file. The disk is usable again when there is space.
func TestFullDiskKeepsSyncedRecords(t *testing.T) {
	for seed := range uint64(crashSeeds) {
		dir := t.TempDir()
		disk := disktest.New(dir, rand.New(rand.NewPCG(seed, 1)))
		store, _ := openDisk(t, disk, dir)
		write(t, store, recordSequence()[:3]...)
		disk.SetFull(true)
		require.Error(t, store.Write([]replica.Record{entryRecord(1, 2)}))
		require.Error(t, store.Recover())
		disk.SetFull(false)
		if seed%2 == 0 {
			store.Close()
			require.NoError(t, disk.LosePower())
			store, _ = openDisk(t, disk, dir)
		} else {
			require.NoError(t, store.Recover())
		}
		write(t, store, entryRecord(1, 2))
		store.Close()
		store, stored := openDisk(t, disk, dir)
		store.Close()
		require.Equal(t, storedAfter(recordSequence()[:4]), stored, "seed %d", seed)
		names, err := filepath.Glob(filepath.Join(dir, "*"))
		require.NoError(t, err)
		require.Len(t, names, 1)
	}
}
