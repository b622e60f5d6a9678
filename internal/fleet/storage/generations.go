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

// generationName is the file name of a generation, formatted with its number.
const generationName = "control-%06d.db"

// load reads the latest complete generation and syncs it: the previous process may have crashed between a write
// and its sync, and this process reports what it has read to other members without writing it again. Damaged files
// are truncated (see readGeneration).
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
		return s.syncGeneration(generation)
	}
	return nil
}

// syncGeneration makes the file of a generation and its directory entry durable.
func (s *Store) syncGeneration(generation int) error {
	file, err := os.OpenFile(s.path(generation), os.O_RDWR, 0)
	if err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	if err := errors.Join(s.files.Sync(file), file.Close()); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	return s.syncDirectory()
}

// generations returns the numbers of the generations in the directory, oldest first.
func (s *Store) generations() ([]int, error) {
	files, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, fmt.Errorf("storage: %w", err)
	}
	var generations []int
	for _, file := range files {
		var number int
		if _, err := fmt.Sscanf(file.Name(), generationName, &number); err == nil {
			generations = append(generations, number)
		}
	}
	slices.Sort(generations)
	return generations, nil
}

func (s *Store) path(generation int) string {
	return filepath.Join(s.dir, fmt.Sprintf(generationName, generation))
}

// readGeneration returns the values of a generation up to the first damage, where it truncates the file.
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

// openDatabase opens a database and leaves syncing and compaction to the Store.
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

// compact writes the durable state into a new generation and removes the previous ones. That state has already
// been synced, so a compaction that cannot write its file loses nothing; it removes the incomplete file.
func (s *Store) compact() error {
	s.Close()
	if err := foldEntries(&s.durable); err != nil {
		return err
	}
	previous, err := s.generations()
	if err != nil {
		return err
	}
	s.generation++
	if err := s.writeGeneration(); err != nil {
		s.Close()
		return errors.Join(err, s.files.Remove(s.path(s.generation)))
	}
	if err := s.removeGenerations(previous); err != nil {
		s.Close() // keep the new generation: the only other complete one may already have been removed
		return err
	}
	return nil
}

// writeGeneration writes the durable state into the file of the current generation, and syncs the file and its
// directory entry. It writes keyComplete last: a file without that key is ignored.
func (s *Store) writeGeneration() (err error) {
	path := s.path(s.generation)
	if s.database, err = openDatabase(path); err != nil {
		return err
	}
	if s.file, err = os.OpenFile(path, os.O_RDWR, 0); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	for _, record := range recordsOf(&s.durable) {
		if err := s.setRecord(record); err != nil {
			return err
		}
	}
	if err := s.setValue(keyComplete, true); err != nil {
		return err
	}
	if err := s.files.Sync(s.file); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	s.writtenBytes = 0
	return s.syncDirectory()
}

func (s *Store) removeGenerations(generations []int) error {
	for _, generation := range generations {
		if err := s.files.Remove(s.path(generation)); err != nil {
			return fmt.Errorf("storage: %w", err)
		}
	}
	return nil
}

// foldEntries applies all entries except the last one to the snapshot. These are known to be committed, because an
// entry follows them.
func foldEntries(stored *replica.Stored) error {
	if len(stored.Entries) <= maxEntries {
		return nil
	}
	state, err := snapshotState(stored.Snapshot)
	if err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	last := len(stored.Entries) - 1
	for _, entry := range stored.Entries[:last] {
		if state, err = state.Apply(entry.Order); err != nil {
			return fmt.Errorf("storage: entry %d: %w", entry.Seq, err)
		}
	}
	stored.Snapshot = &replica.Snapshot{Seq: stored.Entries[last-1].Seq, State: state.Snapshot()}
	stored.Entries = slices.Clone(stored.Entries[last:])
	return nil
}

func snapshotState(snapshot *replica.Snapshot) (*operator.State, error) {
	if snapshot == nil {
		return operator.NewState(), nil
	}
	return operator.FromSnapshot(snapshot.State)
}

// syncDirectory makes the directory entries of the files durable.
func (s *Store) syncDirectory() error {
	if err := s.files.SyncDirectory(s.dir); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	return nil
}
