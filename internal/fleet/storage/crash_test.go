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

// openDisk starts another life of the process on a disk.
func openDisk(t *testing.T, disk *disktest.Disk, dir string) (*Store, replica.Stored) {
	t.Helper()
	disk.Restart()
	store, stored, err := OpenOn(disk, dir)
	require.NoError(t, err)
	return store, stored
}

// losesWhatAStartHasRead reports whether a record that a process wrote and did not sync, and the next process has read, is lost with the
// power after that.
func losesWhatAStartHasRead(t *testing.T, seed uint64, lies disktest.Lies) bool {
	t.Helper()
	dir := t.TempDir()
	disk := disktest.New(dir, rand.New(rand.NewPCG(seed, 1)))
	store, _ := openDisk(t, disk, dir)
	write(t, store, recordSequence()[:3]...)
	disk.CrashAfter(2) // at the sync after the write
	require.ErrorIs(t, store.Write([]replica.Record{entryRecord(1, 2)}), disktest.ErrCrashed)
	store.Close()

	disk.Lies = lies
	store, read := openDisk(t, disk, dir)
	store.Close()
	require.NoError(t, disk.LosePower())
	store, left := openDisk(t, disk, dir)
	store.Close()
	require.Subset(t, read.Entries, left.Entries)
	return len(left.Entries) < len(read.Entries)
}

// What a start has read from the disk it tells the other members, before it writes anything: it must not be lost after that.
func TestWhatAStartHasReadSurvivesALossOfPower(t *testing.T) {
	lost := 0
	for seed := range uint64(crashSeeds) {
		require.False(t, losesWhatAStartHasRead(t, seed, disktest.Lies{}), "seed %d", seed)
		if losesWhatAStartHasRead(t, seed, disktest.Lies{AtStart: true}) {
			lost++
		}
	}
	require.Positive(t, lost, "without the sync at the start it is lost")
}

// A compaction that crashes at any operation, with the power of the machine or without, leaves what was stored; so does a crash while
// the next process compacts again.
func TestCompactionThatCrashesAnywhereLosesNothing(t *testing.T) {
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

// A write that a full disk refuses, whatever part of it is in the file, leaves what was there; the disk is usable once there is space.
func TestFullDiskLeavesWhatWasThere(t *testing.T) {
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
