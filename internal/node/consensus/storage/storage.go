// Package storage stores one member of the replicated log on disk: its identity, its votes, its log entries and
// images (snapshots) of the state.
//
// A directory contains an identity file, append-only segments of the log, and images. Each image is a separate
// file that is complete only with its last record. A crash leaves what was synced and possibly a torn record at
// the end, which is skipped. If anything else is missing or damaged, the member would vote without remembering
// what it had acknowledged: Open then fails with ErrDamaged, and the replica must be replaced like one that has
// lost its disk.
//
// Bounds: the disk holds two images, the entries since the newer one, and a trail of entries before it.
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
	// ErrDamaged says that the directory lacks data that this member has acknowledged: the member must not vote
	// with it.
	ErrDamaged = errors.New("directory lacks data that this replica has acknowledged: empty it and replace the replica")
	// ErrForeign says that the directory belongs to another member.
	ErrForeign = errors.New("directory belongs to another fleet or replica")
)

// Version is the version of the files. A release reads its own version and the previous one. This is the first
// version.
const Version = 1

// Formats of the files in a directory. The name of a segment or an image contains its number.
var (
	logForm   = wal.Format{Magic: "lwagreed", Prefix: "log"}
	imageForm = wal.Format{Magic: "lwimage", Prefix: "image"}
)

const (
	identityFile = "member.json"
	segmentBytes = 8 << 20   // size at which a new segment is started
	chunkBytes   = 512 << 10 // size of the part of an image that one record holds
)

// The kinds of record. The first byte of a record is its kind.
const (
	kindHard  = 'h' // hard state: term, vote and commit index
	kindEntry = 'e'
	kindTrim  = 't' // entries up to and including this one were compacted away
	kindReset = 'r' // all entries were dropped; the log continues after this index
	kindMeta  = 'm' // first record of an image
	kindChunk = 'p' // data of an image
	kindEnd   = 'z' // last record of an image
)

// Identity identifies the member that a directory belongs to.
type Identity struct {
	Version int    `json:"version"`
	Fleet   string `json:"fleet"`
	Name    string `json:"name"`
	ID      uint64 `json:"id"`     // drawn at random when the directory was created
	Starts  uint64 `json:"starts"` // how often the directory was opened, including this time
}

// Store is an open directory. Its methods must not be called concurrently.
type Store struct {
	Identity
	disk      wal.Disk
	folder    wal.Folder // disk, or a wrapper around it
	lock      *os.File
	log       wal.Writer
	segments  []string // closed segments of the log
	nextImage int      // number of the next image
	saved     member.Saved
	buffer    []byte // records to be written by the next flush
}

// Open opens the directory of a member, creating it if necessary, and counts the start. The error wraps
// ErrDamaged, ErrForeign or wal.ErrInUse, or is an error of the disk. wrap, if not nil, wraps the disk; tests
// inject faults with it.
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
		_ = s.lock.Close() // the first error is returned
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
	if len(s.segments) == 0 { // write a first record: from now on, a directory without a log has lost it
		if err := s.append(kindHard, &pb.HardState{}); err != nil {
			return err
		}
	}
	return s.flush()
}

// Saved returns the member's stored state. The caller must not modify it.
func (s *Store) Saved() member.Saved { return s.saved }

// Close closes the log and releases the lock on the directory.
func (s *Store) Close() error {
	err := s.log.EndSegment()
	return errors.Join(err, s.lock.Close())
}

// openIdentity reads the identity, or creates one for an empty directory, and counts the start.
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
		return fmt.Errorf("cannot read %s: %w", identityFile, ErrDamaged)
	case s.Fleet != fleet || s.Name != name:
		return fmt.Errorf("directory is of replica %q of fleet %q: %w", s.Name, s.Fleet, ErrForeign)
	}
	s.Starts++
	return s.writeAtomically(identityFile, s.Identity)
}

// requireNoLog fails if the directory contains files of a member whose identity file is lost.
func (s *Store) requireNoLog() error {
	names, err := s.disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasSuffix(name, ".log") {
			return fmt.Errorf("%s is missing, but %s exists: %w", identityFile, name, ErrDamaged)
		}
	}
	return nil
}

// writeAtomically replaces a small file. After a crash, the file is completely the old one or completely the new
// one.
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
