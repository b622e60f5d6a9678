// Package storage keeps what a control process must not forget, in a buntdb file. It adds what the database leaves open:
// every value carries a checksum, the file is cut at the first command that is torn or damaged before the database reads
// it, a write counts only after its own sync, and the file is compacted into a new generation whose name is synced
// before the old one goes.
//
// Nothing is ever deleted within a generation, and each record says which epoch it belongs to: whatever subset of the
// unsynced records survives a loss of power, reading them gives a state that was reached.
package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/tidwall/buntdb"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// maxGenerationBytes is the size of a generation beyond which it is compacted.
const maxGenerationBytes = 4 << 20

// maxEntries is the number of entries beyond which they are folded into their base.
const maxEntries = 256

// The keys of the database.
const (
	keyIdentity = "identity"
	keyPromise  = "promise"
	keyAccepted = "accepted"
	keyView     = "agreed-view"
	keySnapshot = "snapshot"
	keyComplete = "complete" // the last one that a compaction writes
	keyEntry    = "entry/"

	keyEarlierView = "view" // of the format in which a view carried the state
)

// errObsoleteFormat says that a disk was written before views and states were kept apart.
var errObsoleteFormat = errors.New(`key view: written by an earlier version; read the configuration back from the fleet in service, ` +
	`start the new one on empty disks and send it the configuration`)

// Store is one process's disk. It is not safe for concurrent use.
type Store struct {
	dir          string
	database     *buntdb.DB
	file         *os.File // the database's file, to sync it
	generation   int
	writtenBytes int
	durable      replica.Stored // what is on the disk
}

// Open reads what is in a folder; an empty folder gives a Stored with no identity.
func Open(dir string) (*Store, replica.Stored, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, replica.Stored{}, fmt.Errorf("storage: %w", err)
	}
	s := &Store{dir: dir}
	if err := s.load(); err != nil {
		return nil, replica.Stored{}, err
	}
	return s, s.durable, nil
}

// load reads the newest complete generation.
func (s *Store) load() error {
	generations, err := s.generations()
	if err != nil {
		return err
	}
	s.durable = replica.Stored{}
	for _, generation := range slices.Backward(generations) {
		s.generation = max(s.generation, generation)
		values, err := s.readGeneration(generation)
		if err != nil {
			return err
		}
		if _, complete := values[keyComplete]; !complete {
			continue
		}
		if s.durable, err = decodeStored(values); err != nil {
			return fmt.Errorf("storage: %s: %w", s.path(generation), err)
		}
		return nil
	}
	return nil
}

// generations are the numbers of the files that are there, oldest first.
func (s *Store) generations() ([]int, error) {
	names, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, fmt.Errorf("storage: %w", err)
	}
	var generations []int
	for _, name := range names {
		var number int
		if _, err := fmt.Sscanf(name.Name(), "control-%06d.db", &number); err == nil {
			generations = append(generations, number)
		}
	}
	slices.Sort(generations)
	return generations, nil
}

func (s *Store) path(generation int) string {
	return filepath.Join(s.dir, fmt.Sprintf("control-%06d.db", generation))
}

// readGeneration gives the values of a generation up to the first damage.
func (s *Store) readGeneration(generation int) (map[string][]byte, error) {
	path := s.path(generation)
	if err := truncateAtDamage(path); err != nil {
		return nil, err
	}
	database, err := openDatabase(path)
	if err != nil {
		return nil, err
	}
	values := make(map[string][]byte)
	err = database.View(func(tx *buntdb.Tx) error {
		return tx.Ascend("", func(key, value string) bool {
			if payload, intact := verifyChecksum(key, value); intact {
				values[key] = payload
			}
			return true
		})
	})
	return values, errors.Join(err, database.Close())
}

func openDatabase(path string) (*buntdb.DB, error) {
	database, err := buntdb.Open(path)
	if err != nil {
		return nil, fmt.Errorf("storage: %s: %w", path, err)
	}
	config := buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}
	if err := database.SetConfig(config); err != nil {
		return nil, errors.Join(err, database.Close())
	}
	return database, nil
}

// Write stores records and returns once they are safe. After an error nothing of them may be relied on, and Recover must
// succeed before the next write.
func (s *Store) Write(records []replica.Record) (err error) {
	if len(records) == 0 {
		return nil
	}
	if s.database == nil {
		if err := s.compact(); err != nil {
			return err
		}
	}
	next := s.durable
	for _, record := range records {
		key, value := keyValue(record)
		if err := s.setValue(key, value); err != nil {
			s.close()
			return err
		}
		applyRecord(&next, record)
	}
	if err := s.file.Sync(); err != nil {
		s.close()
		return fmt.Errorf("storage: %w", err)
	}
	s.durable = next
	if s.writtenBytes > maxGenerationBytes || len(s.durable.Entries) > maxEntries {
		return s.compact()
	}
	return nil
}

// setValue puts one value into the database's file. The database gives up the process where it cannot undo half a write; here
// that is an error, as the file is cut at its damage when it is next read.
func (s *Store) setValue(key string, value any) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = fmt.Errorf("storage: %v", recovered)
		}
	}()
	text, err := encode(key, value)
	if err != nil {
		return err
	}
	s.writtenBytes += len(text)
	return s.database.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(key, text, nil)
		return err
	})
}

// Recover makes the store usable after a failed write.
func (s *Store) Recover() error {
	s.close()
	return s.compact()
}

// compact writes what is held into a new generation and goes over to it. What is held was synced before, so the old
// generation may go.
func (s *Store) compact() (err error) {
	s.close()
	if err := foldEntries(&s.durable); err != nil {
		return err
	}
	old, err := s.generations()
	if err != nil {
		return err
	}
	s.generation++
	path := s.path(s.generation)
	defer func() {
		if err != nil {
			s.close()
			err = errors.Join(err, os.Remove(path))
		}
	}()
	if s.database, err = openDatabase(path); err != nil {
		return err
	}
	if s.file, err = os.OpenFile(path, os.O_RDWR, 0); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	s.writtenBytes = 0
	for _, record := range recordsOf(&s.durable) {
		key, value := keyValue(record)
		if err := s.setValue(key, value); err != nil {
			return err
		}
	}
	if err := s.setValue(keyComplete, true); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	if err := s.syncDirectory(); err != nil {
		return err
	}
	s.writtenBytes = 0
	for _, generation := range old {
		if err := os.Remove(s.path(generation)); err != nil {
			return fmt.Errorf("storage: %w", err)
		}
	}
	return nil
}

// foldEntries applies all entries but the newest to the snapshot. That there is a newer one shows that they are committed.
func foldEntries(held *replica.Stored) error {
	if len(held.Entries) <= maxEntries {
		return nil
	}
	state, err := snapshotState(held.Snapshot)
	if err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	last := len(held.Entries) - 1
	for _, entry := range held.Entries[:last] {
		if state, err = state.Apply(entry.Order); err != nil {
			return fmt.Errorf("storage: entry %d: %w", entry.Seq, err)
		}
	}
	held.Snapshot = &replica.Snapshot{Seq: held.Entries[last-1].Seq, State: state.Snapshot()}
	held.Entries = slices.Clone(held.Entries[last:])
	return nil
}

func snapshotState(snapshot *replica.Snapshot) (*operator.State, error) {
	if snapshot == nil {
		return operator.NewState(), nil
	}
	return operator.FromSnapshot(snapshot.State)
}

func (s *Store) syncDirectory() error {
	folder, err := os.Open(s.dir)
	if err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	return errors.Join(folder.Sync(), folder.Close())
}

func (s *Store) close() {
	if s.database != nil {
		_ = s.database.Close()
		s.database = nil
	}
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}

// Close ends the use of the store.
func (s *Store) Close() { s.close() }
