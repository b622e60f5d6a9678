// Package storage keeps one member of the agreed log on a disk: who it is, its votes, its entries and images of the state.
//
// The log is segments that are only appended to; an image is a file of its own, whole only with its last record. A crash
// leaves what was synced and a torn tail behind it, which is read over. Anything else that is missing or damaged means that
// the member would vote as if it remembered: Open refuses, and the machine is to be replaced as one that has lost its disk.
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
	"slices"
	"strings"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

// Version is that of the files' form; one release reads its own and the one before. This is the first.
const Version = 1

// ErrDamaged tells that the folder does not hold all that this member has promised: it must not vote from it.
var ErrDamaged = errors.New("the directory does not hold all that was promised from it: empty it, and have this keeper replaced")

// ErrForeign tells that the folder is another member's.
var ErrForeign = errors.New("the directory belongs to another fleet or keeper")

var (
	logForm   = wal.Form{Magic: "lwagreed", Prefix: "log"}
	imageForm = wal.Form{Magic: "lwimage", Prefix: "image"}
)

const (
	segmentBytes = 8 << 20
	piece        = 512 << 10
	identityFile = "member.json"
)

// The kinds of record, the first byte of each.
const (
	kindHard  = 'h'
	kindEntry = 'e'
	kindTrim  = 't' // entries up to this one are not needed
	kindReset = 'r' // the log goes on behind this one alone
	kindMeta  = 'm' // of an image, its first record
	kindPiece = 'p'
	kindEnd   = 'z' // its last
)

// Identity says who a folder's member is.
type Identity struct {
	Version int    `json:"version"`
	Fleet   string `json:"fleet"`
	Name    string `json:"name"`
	ID      uint64 `json:"id"`     // drawn when the folder was made
	Starts  uint64 `json:"starts"` // this one included
}

// Store is open for one process.
type Store struct {
	Identity
	disk    wal.Disk
	folder  wal.Folder
	log     wal.Writer
	lock    *os.File
	next    int // number of the next image
	saved   member.Saved
	ended   []string // segments of the log that are not written to
	pending []byte
}

// Open makes or opens the folder of a keeper, and counts the start. The folder's File operations are wrapped by wrap, if it
// is not nil: for tests and rigs whose disk fails where they want.
func Open(path, fleet, name string, synced bool, wrap func(wal.Folder) wal.Folder) (*Store, error) {
	s := &Store{disk: wal.Disk{Path: path}, next: 1}
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
	if err = s.identify(fleet, name); err == nil {
		err = s.read()
	}
	if err != nil {
		_ = s.lock.Close() // the first error counts
		return nil, err
	}
	head, err := json.Marshal(s.Identity)
	s.log.Folder, s.log.Form, s.log.Header, s.log.Most, s.log.Synced = s.folder, logForm, head, segmentBytes, synced
	s.log.Ended = func(_ int, name string) { s.ended = append(s.ended, name) }
	if err == nil && len(s.ended) == 0 { // from here on a folder without a log is one that has lost it
		s.pending, err = record(s.pending, kindHard, &pb.HardState{})
	}
	if err == nil {
		err = s.flush()
	}
	if err != nil {
		_ = s.lock.Close() // the first error counts
		return nil, err
	}
	return s, nil
}

// Saved is what the folder holds of the member.
func (s *Store) Saved() member.Saved { return s.saved }

// Close lets another process have the folder.
func (s *Store) Close() error {
	err := s.log.Cut()
	return errors.Join(err, s.lock.Close())
}

// identify reads who the member is, or draws it for an empty folder, and counts the start.
func (s *Store) identify(fleet, name string) error {
	text, err := s.disk.Read(identityFile)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		names, err := s.disk.List()
		if err != nil {
			return err
		}
		for _, n := range names {
			if strings.HasSuffix(n, ".log") {
				return fmt.Errorf("%s is missing beside %s: %w", identityFile, n, ErrDamaged)
			}
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
	return s.write(identityFile, s.Identity)
}

// write puts a small file in place, whole or not at all.
func (s *Store) write(name string, v any) error {
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

// read reads the newest image that is whole, and the log.
func (s *Store) read() error {
	names, err := s.folder.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, name := range names {
		if n, ok := imageForm.Number(name); ok {
			s.next = max(s.next, n+1)
			text, err := s.folder.Read(name)
			if err != nil {
				return err
			}
			if image := readImage(text); image != nil && image.GetMetadata().GetIndex() >= s.saved.Image.GetMetadata().GetIndex() {
				s.saved.Image = image
			}
		}
	}
	s.log.Number = 1
	for _, name := range names {
		n, ok := logForm.Number(name)
		if !ok {
			continue
		}
		s.log.Number = max(s.log.Number, n+1)
		s.ended = append(s.ended, name)
		text, err := s.folder.Read(name)
		if err != nil {
			return err
		}
		if err := s.readLog(name, text); err != nil {
			return err
		}
	}
	return s.settle()
}

func readImage(text []byte) *pb.Snapshot {
	image, whole := &pb.Snapshot{Metadata: &pb.SnapshotMetadata{}}, false
	_, err := imageForm.Read(text, func([]byte) error { return nil }, func(b []byte) error {
		switch b[0] {
		case kindMeta:
			return proto.Unmarshal(b[1:], image.Metadata)
		case kindPiece:
			image.Data = append(image.Data, b[1:]...)
		case kindEnd:
			whole = true
		}
		return nil
	})
	if err != nil || !whole {
		return nil
	}
	return image
}

// readLog reads a segment. What stands behind a damaged record must be nothing: else it is no torn tail.
func (s *Store) readLog(name string, text []byte) error {
	offset, err := logForm.Read(text, func(head []byte) error {
		var of Identity
		if json.Unmarshal(head, &of) != nil || of.ID != s.ID || of.Version > Version {
			return ErrForeign
		}
		return nil
	}, s.take)
	if errors.Is(err, wal.ErrTorn) && !goesOn(text[offset:]) {
		return nil
	}
	if errors.Is(err, wal.ErrTorn) {
		err = ErrDamaged
	}
	if err != nil {
		return fmt.Errorf("%s, byte %d: %w", name, offset, err)
	}
	return nil
}

// goesOn tells whether a whole record stands anywhere behind the one that b begins with.
func goesOn(b []byte) bool {
	for i := 1; i < len(b); i++ {
		if content, _, err := wal.Next(b[i:]); err == nil && len(content) > 1 {
			return true
		}
	}
	return false
}

// take reads one record of the log.
func (s *Store) take(b []byte) error {
	if len(b) == 0 {
		return ErrDamaged
	}
	switch b[0] {
	case kindHard:
		s.saved.Hard = &pb.HardState{}
		return proto.Unmarshal(b[1:], s.saved.Hard)
	case kindEntry, kindTrim, kindReset:
		e := &pb.Entry{}
		if err := proto.Unmarshal(b[1:], e); err != nil {
			return err
		}
		switch b[0] {
		case kindEntry:
			return s.add(e)
		case kindReset:
			s.saved.Entries, s.saved.From = nil, e
		case kindTrim:
			s.trim(e)
		}
		return nil
	}
	return ErrDamaged
}

// add puts an entry behind those that it follows. One that is there already changes nothing.
func (s *Store) add(e *pb.Entry) error {
	list := s.saved.Entries
	if len(list) == 0 {
		if s.saved.From != nil && e.GetIndex() != s.saved.From.GetIndex()+1 {
			return fmt.Errorf("entry %d follows %d: %w", e.GetIndex(), s.saved.From.GetIndex(), ErrDamaged)
		}
		s.saved.Entries = append(list, e)
		return nil
	}
	first, last := list[0].GetIndex(), list[len(list)-1].GetIndex()
	switch at := e.GetIndex(); {
	case at > last+1:
		return fmt.Errorf("entry %d follows %d: %w", at, last, ErrDamaged)
	case at < first:
		return nil // written again behind a trim that was cut off
	case at <= last && list[at-first].GetTerm() == e.GetTerm():
		return nil
	case at == last+1:
		s.saved.Entries = append(list, e)
	default:
		s.saved.Entries = append(list[:at-first:at-first], e)
	}
	return nil
}

func (s *Store) trim(e *pb.Entry) {
	if s.saved.From.GetIndex() < e.GetIndex() || s.saved.From == nil {
		s.saved.From = e
	}
	for len(s.saved.Entries) > 0 && s.saved.Entries[0].GetIndex() <= e.GetIndex() {
		s.saved.Entries = s.saved.Entries[1:]
	}
}

// settle holds log and image against each other.
func (s *Store) settle() error {
	g := &s.saved
	image := g.Image.GetMetadata()
	if g.Image == nil {
		if len(g.Entries) > 0 || g.From != nil {
			return fmt.Errorf("there is no whole image: %w", ErrDamaged)
		}
		return nil
	}
	last := uint64(0)
	if len(g.Entries) > 0 {
		last = g.Entries[len(g.Entries)-1].GetIndex()
	}
	if len(s.ended) == 0 {
		return fmt.Errorf("there is no log beside an image of entry %d: %w", image.GetIndex(), ErrDamaged)
	}
	fits := false
	for _, e := range g.Entries {
		fits = fits || e.GetIndex() == image.GetIndex() && e.GetTerm() == image.GetTerm()
	}
	if len(g.Entries) > 0 && g.Entries[0].GetIndex() == image.GetIndex()+1 {
		fits = true
	}
	if !fits { // the image came from the leader, or there is nothing behind it
		if len(g.Entries) > 0 && g.Entries[0].GetIndex() > image.GetIndex()+1 {
			return fmt.Errorf("entry %d follows an image of entry %d: %w", g.Entries[0].GetIndex(), image.GetIndex(), ErrDamaged)
		}
		if len(g.Entries) > 0 || g.From != nil { // what is written next follows the image
			at := &pb.Entry{Index: image.Index, Term: image.Term}
			var err error
			if s.pending, err = record(s.pending, kindReset, at); err != nil {
				return err
			}
		}
		g.Entries, g.From, last = nil, nil, image.GetIndex()
	}
	if g.From.GetIndex() > image.GetIndex() {
		return fmt.Errorf("the log follows entry %d, the image is of %d: %w", g.From.GetIndex(), image.GetIndex(), ErrDamaged)
	}
	for g.From == nil && len(g.Entries) > 0 && g.Entries[0].GetIndex() <= image.GetIndex() {
		g.Entries = g.Entries[1:]
	}
	if c := g.Hard.GetCommit(); c > max(last, image.GetIndex()) {
		return fmt.Errorf("entry %d was agreed, and %d is the last: %w", c, last, ErrDamaged)
	}
	return nil
}

func record(dst []byte, kind byte, m proto.Message) ([]byte, error) {
	var err error
	dst = wal.Append(dst, func(b []byte) []byte {
		b, err = proto.MarshalOptions{}.MarshalAppend(append(b, kind), m)
		return b
	})
	return dst, err
}

// Write makes jobs last together, in their order.
func (s *Store) Write(jobs []member.Write) (err error) {
	for _, job := range jobs {
		if job.Image != nil {
			if err := s.flush(); err != nil {
				return err
			}
			if err := s.writeImage(job.Image); err != nil {
				return err
			}
			at := &pb.Entry{Index: job.Image.GetMetadata().Index, Term: job.Image.GetMetadata().Term}
			s.saved.Image, s.saved.Entries, s.saved.From = job.Image, nil, at
			if s.pending, err = record(s.pending, kindReset, at); err != nil {
				return err
			}
		}
		for _, e := range job.Entries {
			if s.pending, err = record(s.pending, kindEntry, e); err == nil {
				err = s.add(e)
			}
			if err != nil {
				return err
			}
		}
		if job.Hard != nil {
			s.saved.Hard = job.Hard
			if s.pending, err = record(s.pending, kindHard, job.Hard); err != nil {
				return err
			}
		}
	}
	return s.flush()
}

func (s *Store) flush() error {
	if len(s.pending) == 0 {
		return nil
	}
	err := s.log.Write(s.pending)
	if s.pending = s.pending[:0]; cap(s.pending) > segmentBytes {
		s.pending = nil
	}
	return err
}

func (s *Store) writeImage(image *pb.Snapshot) error {
	w := wal.Writer{Folder: s.folder, Form: imageForm, Header: s.log.Header, Most: 1 << 62, Number: s.next, Synced: true}
	s.next++
	b, err := record(nil, kindMeta, image.GetMetadata())
	if err != nil {
		return err
	}
	for part := range slices.Chunk(image.GetData(), piece) {
		b = wal.Append(b, func(b []byte) []byte { return append(append(b, kindPiece), part...) })
	}
	b = wal.Append(b, func(b []byte) []byte { return append(b, kindEnd) })
	if err := w.Write(b); err != nil {
		return err
	}
	return w.Cut()
}

// Keep makes an image last in place of the entries up to it, but for some that trail it.
func (s *Store) Keep(image *pb.Snapshot, trail int) error {
	index := image.GetMetadata().GetIndex()
	if index <= s.saved.Image.GetMetadata().GetIndex() {
		return nil // a later one came from the leader
	}
	if err := s.writeImage(image); err != nil {
		return err
	}
	s.saved.Image = image
	if behind := index - min(index, uint64(trail)); len(s.saved.Entries) > 0 && behind >= s.saved.Entries[0].GetIndex() {
		e := s.saved.Entries[behind-s.saved.Entries[0].GetIndex()]
		s.trim(&pb.Entry{Index: e.Index, Term: e.Term})
	}
	return s.renew()
}

// renew writes what is needed of the log to a new segment and removes what came before: segments, and all images but the last.
func (s *Store) renew() (err error) {
	if err := s.log.Cut(); err != nil {
		return err
	}
	old := s.ended
	s.ended = nil
	if s.saved.From != nil {
		if s.pending, err = record(s.pending, kindTrim, s.saved.From); err != nil {
			return err
		}
	}
	if s.saved.Hard != nil {
		if s.pending, err = record(s.pending, kindHard, s.saved.Hard); err != nil {
			return err
		}
	}
	for _, e := range s.saved.Entries {
		if s.pending, err = record(s.pending, kindEntry, e); err != nil {
			return err
		}
	}
	if err := s.flush(); err != nil {
		return err
	}
	names, err := s.folder.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		n, image := imageForm.Number(name)
		if image && n < s.next-1 || slices.Contains(old, name) {
			if err := s.folder.Remove(name); err != nil {
				return err
			}
		}
	}
	return s.folder.Sync()
}

// Begin makes what a member is founded with last.
func (s *Store) Begin(image *pb.Snapshot) error {
	if s.saved.Image != nil {
		return errors.New("this keeper has been founded before")
	}
	s.saved.Image = image
	return s.writeImage(image)
}
