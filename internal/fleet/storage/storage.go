// Package storage keeps the durable state of a control process in a buntdb file. It adds what the database does
// not provide: every value carries a checksum; the file is truncated at the first torn or damaged database command
// before the database reads it; a write takes effect only after its own sync; and compaction writes a new
// generation of the file, whose directory entry is synced before the old generation is removed.
//
// Nothing is deleted within a generation, and each record contains the epoch to which it belongs: whichever of the
// unsynced records survive a power failure, reading them yields a state that the process was in.
package storage

import (
	"errors"
	"fmt"
	"os"

	"github.com/tidwall/buntdb"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// errObsoleteFormat means that a disk was written by a version that stored the view and its state together. Such a
// disk is rejected, rather than treated as empty. It is not converted either: a member's state is identified by a
// digest of all orders that led to it. Such a disk does not contain that digest, and members that have applied
// different numbers of orders would derive different digests.
var errObsoleteFormat = errors.New(`key view: written by an earlier version; "linenwheel-control export" prints the configuration that is ` +
	`stored here: export it on a majority of the machines, start the fleet on empty disks, and submit the one with the highest Seq`)

// The file is compacted when it exceeds one of these limits.
const (
	maxGenerationBytes = 4 << 20
	maxEntries         = 256 // entries in excess of this are applied to the snapshot
)

// Store is the durable storage of one process. It is not safe for concurrent use.
type Store struct {
	files        FileSystem
	dir          string
	database     *buntdb.DB // nil until the first write, and after a failed write
	file         *os.File   // the file of the database, for syncing
	generation   int        // the highest number for which there is a file
	writtenBytes int        // size of the values written since the last compaction
	durable      replica.Stored
}

// Open opens the store in a directory, which it creates if necessary, and returns the stored state. For an empty
// directory that is a Stored without an identity. It returns an error if the directory cannot be read, or if its
// content is intact but cannot be decoded.
func Open(dir string) (*Store, replica.Stored, error) { return OpenOn(OperatingSystem{}, dir) }

// OpenOn is like Open, with the given file system.
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

// Write stores records and returns after they are synced. After an error none of the records may be relied on, and
// Recover must succeed before the next write.
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

// setValue writes one value to the file of the database, without syncing it. The database panics if it cannot undo
// a partial write. setValue turns the panic into an error, because the file will be truncated at the damage when
// it is next read.
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

// Recover makes the store usable after a failed write: it writes the last durable state into a new generation.
func (s *Store) Recover() error {
	s.Close()
	return s.compact()
}

// Close closes the files. It ignores their errors, because all durable data has already been synced.
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
