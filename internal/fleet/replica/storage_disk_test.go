package replica_test

import (
	"math/rand/v2"
	"os"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/storage"
	"linenwheel.dev/linenwheel/internal/fleet/storage/disktest"
)

// The histories of package replica also run on disks of package storage, which imports package replica.
func init() { //nolint:gochecknoinits // the internal tests of package replica cannot import package storage
	replica.NewFileDisk = newStorageDisk
}

// storageDisk is a member's disk: a store of package storage on a simulated disk that tears writes.
type storageDisk struct {
	directory string
	disk      *disktest.Disk
	store     *storage.Store
}

func newStorageDisk(directory string, seed uint64) replica.FileDisk {
	must(os.MkdirAll(directory, 0o700))
	return &storageDisk{directory: directory, disk: disktest.New(directory, rand.New(rand.NewPCG(seed, 1)))}
}

func (s *storageDisk) Open() (replica.Stored, error) {
	s.disk.Restart()
	store, stored, err := storage.OpenOn(s.disk, s.directory)
	s.store = store
	return stored, err
}

func (s *storageDisk) Write(records []replica.Record) error { return s.store.Write(records) }

func (s *storageDisk) Recover() error { return s.store.Recover() }

func (s *storageDisk) CrashAfter(operations int) { s.disk.CrashAfter(operations) }

func (s *storageDisk) Crashed() bool { return s.disk.Crashed() }

func (s *storageDisk) SetFull(full bool) { s.disk.SetFull(full) }

func (s *storageDisk) LosePower() { must(s.disk.LosePower()) }

func (s *storageDisk) Wipe() { must(s.disk.Wipe()) }

func (s *storageDisk) Close() {
	if s.store != nil {
		s.store.Close()
	}
}

func (s *storageDisk) IgnoreSyncs(ignored replica.IgnoredSyncs) {
	s.disk.IgnoredSyncs = disktest.IgnoredSyncs{Files: ignored.Files, Directories: ignored.Directories}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
