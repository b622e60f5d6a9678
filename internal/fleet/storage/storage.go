// Package storage keeps the durable state of a control process in a buntdb file. It adds what the database leaves open:
// every value carries a checksum, the file is truncated at the first torn or damaged command before the database reads it,
// a write counts only after its own sync, and the file is compacted into a new generation whose directory entry is synced
// before the old generation is removed.
//
// Nothing is deleted within a generation, and each record says which epoch it belongs to: whichever of the unsynced records
// survive a loss of power, reading them yields a state that the process was in.
package storage

import (
	"errors"
	"fmt"
	"os"

	"github.com/tidwall/buntdb"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// errObsoleteFormat means that a disk was written before views and states were stored apart. It is refused rather than taken for an
// empty one. It is not converted either: a member's state is named by a digest of all orders that led to it, which such a disk does not
// have, and members that are at different orders would derive different ones.
var errObsoleteFormat = errors.New(`key view: written by an earlier version; "linenwheel-control export" prints the configuration that is ` +
	`stored here: take the one with the highest Seq of a majority of the machines, start the fleet on empty disks, and send it`)

// Limits beyond which the file is compacted.
const (
	maxGenerationBytes = 4 << 20
	maxEntries         = 256 // more are applied to the snapshot
)

// Store is one process's disk. It is not safe for concurrent use.
type Store struct {
	files        FileSystem
	dir          string
	database     *buntdb.DB // nil until the first write, and after a failed one
	file         *os.File   // the database's file, to sync it
	generation   int        // the highest one of which there is a file
	writtenBytes int        // of values since the last compaction
	durable      replica.Stored
}

// Open opens the store in a directory, which it makes if there is none, and returns what is stored there. From an empty
// directory that is a Stored without identity. It returns an error if the directory cannot be read, or if what it contains
// is intact but cannot be decoded.
func Open(dir string) (*Store, replica.Stored, error) { return OpenOn(OperatingSystem{}, dir) }

// OpenOn is Open on a file system.
func OpenOn(files FileSystem, dir string) (*Store, replica.Stored, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, replica.Stored{}, fmt.Errorf("storage: %w", err)
	}
	s := &Store{files: files, dir: dir}
	if err := s.load(); err != nil {
		return nil, replica.Stored{}, err
	}
	return s, s.durable, nil
}

// Write stores records and returns once they are synced. After an error none of them may be relied on, and Recover must
// succeed before the next write.
func (s *Store) Write(records []replica.Record) error {
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
		if err := s.setRecord(record); err != nil {
			s.Close()
			return err
		}
		next.Apply(record)
	}
	if err := s.files.Sync(s.file); err != nil {
		s.Close()
		return fmt.Errorf("storage: %w", err)
	}
	s.durable = next
	if s.writtenBytes > maxGenerationBytes || len(s.durable.Entries) > maxEntries {
		return s.compact()
	}
	return nil
}

func (s *Store) setRecord(record replica.Record) error {
	key, value := keyValue(record)
	return s.setValue(key, value)
}

// setValue puts one value into the database's file, without a sync. The database panics where it cannot undo a partial
// write; here that is an error, as the file is truncated at the damage when it is next read.
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
	if err := s.files.BeforeWrite(s.path(s.generation), len(key)+len(text)); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	s.writtenBytes += len(text)
	return s.database.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(key, text, nil)
		return err
	})
}

// Recover makes the store usable after a failed write: it writes what was durable before into a new generation.
func (s *Store) Recover() error {
	s.Close()
	return s.compact()
}

// Close closes the files. Their errors are of no consequence: what counts was synced before.
func (s *Store) Close() {
	if s.database != nil {
		_ = s.database.Close()
		s.database = nil
	}
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}
