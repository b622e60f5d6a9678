// Package storage keeps one member of the agreed log on a disk: its identity, its votes, its entries and images of the state.
//
// A directory has an identity file, segments of the log, which are only appended to, and images, each a file of its own that is
// complete only with its last record. A crash leaves what was synced and perhaps a torn record at the end, which is skipped.
// Anything else that is missing or damaged means that the member would vote without remembering what it had acknowledged:
// Open then fails with ErrDamaged, and the machine is to be replaced as one that has lost its disk.
//
// Bounds: on the disk two images, the entries since the last one, and those that trail it.
package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"

	pb "go.etcd.io/raft/v3/raftpb"

	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

// Errors of Open.
var (
	// ErrDamaged says that the directory lacks what this member has acknowledged: it must not vote from it.
	ErrDamaged = errors.New("the directory does not hold all that was promised from it: empty it, and have this keeper replaced")
	// ErrForeign says that the directory belongs to another member.
	ErrForeign = errors.New("the directory belongs to another fleet or keeper")
)

// Version is the version of the files. A release reads its own and the one before; this is the first.
const Version = 1

// Files of a directory. A segment or an image has its number in its name.
var (
	logForm   = wal.Format{Magic: "lwagreed", Prefix: "log"}
	imageForm = wal.Format{Magic: "lwimage", Prefix: "image"}
)

const (
	identityFile = "member.json"
	segmentBytes = 8 << 20   // after which a new segment begins
	chunkBytes   = 512 << 10 // of an image in one record
)

// The kinds of record, the first byte of each.
const (
	kindHard  = 'h' // hard state: term, vote and commit index
	kindEntry = 'e'
	kindTrim  = 't' // entries up to this one were compacted away
	kindReset = 'r' // the log goes on after this entry alone
	kindMeta  = 'm' // of an image: its first record
	kindChunk = 'p' // of an image: data
	kindEnd   = 'z' // of an image: its last record
)

// Identity says whose directory it is.
type Identity struct {
	Version int    `json:"version"`
	Fleet   string `json:"fleet"`
	Name    string `json:"name"`
	ID      uint64 `json:"id"`     // drawn when the directory was made
	Starts  uint64 `json:"starts"` // how often it was opened, this time included
}

// Store is an open directory. Its methods must not be called concurrently.
type Store struct {
	Identity
	disk      wal.Disk
	folder    wal.Folder // disk, or what wraps it
	lock      *os.File
	log       wal.Writer
	segments  []string // of the log that are not written to any more
	nextImage int      // number of the next image
	saved     member.Saved
	buffer    []byte // records to write with the next flush
}

// Open opens the directory of a member, made where there is none, and counts the start. The error wraps ErrDamaged, ErrForeign
// or wal.ErrInUse, or is the disk's. wrap, if not nil, wraps the disk, for tests whose disk fails where they want.
func Open(path, fleet, name string, synced bool, wrap func(wal.Folder) wal.Folder) (*Store, error) {
	s := &Store{disk: wal.Disk{Path: path}, nextImage: 1}
	s.folder = s.disk
	if wrap != nil {
		s.folder = wrap(s.folder)
	}
	if err := s.disk.Make(); err != nil {
		return nil, err
	}
	var err error
	if s.lock, err = s.disk.Lock(); err != nil {
		return nil, err
	}
	if err := s.open(fleet, name, synced); err != nil {
		_ = s.lock.Close() // the first error counts
		return nil, err
	}
	return s, nil
}

func (s *Store) open(fleet, name string, synced bool) error {
	if err := s.openIdentity(fleet, name); err != nil {
		return err
	}
	if err := s.recover(); err != nil {
		return err
	}
	header, err := json.Marshal(s.Identity)
	if err != nil {
		return err
	}
	s.log.Folder, s.log.Format, s.log.Header, s.log.MaxBytes, s.log.Synced = s.folder, logForm, header, segmentBytes, synced
	s.log.OnEnd = func(_ int, name string) { s.segments = append(s.segments, name) }
	if len(s.segments) == 0 { // write one now: from here on, a directory without a log is one that has lost it
		if err := s.append(kindHard, &pb.HardState{}); err != nil {
			return err
		}
	}
	return s.flush()
}

// Saved returns what the directory holds of the member. The caller must not change it.
func (s *Store) Saved() member.Saved { return s.saved }

// Close closes the log and unlocks the directory.
func (s *Store) Close() error {
	err := s.log.EndSegment()
	return errors.Join(err, s.lock.Close())
}

// openIdentity reads the identity, or draws it for an empty directory, and counts the start.
func (s *Store) openIdentity(fleet, name string) error {
	text, err := s.disk.Read(identityFile)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if err := s.requireNoLog(); err != nil {
			return err
		}
		s.Identity = Identity{Version: Version, Fleet: fleet, Name: name, ID: rand.Uint64()>>1 | 1}
	case err != nil:
		return err
	case json.Unmarshal(text, &s.Identity) != nil || s.Version > Version:
		return fmt.Errorf("%s cannot be read: %w", identityFile, ErrDamaged)
	case s.Fleet != fleet || s.Name != name:
		return fmt.Errorf("it is %q of %q: %w", s.Name, s.Fleet, ErrForeign)
	}
	s.Starts++
	return s.writeAtomically(identityFile, s.Identity)
}

// requireNoLog fails if there are files of a member whose identity is lost.
func (s *Store) requireNoLog() error {
	names, err := s.disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasSuffix(name, ".log") {
			return fmt.Errorf("%s is missing beside %s: %w", identityFile, name, ErrDamaged)
		}
	}
	return nil
}

// writeAtomically replaces a small file: after a crash it is the old one or the new one, complete.
func (s *Store) writeAtomically(name string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	next := name + ".next"
	if err := s.folder.Remove(next); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	f, err := s.folder.Create(next)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(filepath.Join(s.disk.Path, next), filepath.Join(s.disk.Path, name))
	}
	if err != nil {
		return fmt.Errorf("writing %s: %w", name, err)
	}
	return s.folder.Sync()
}
