// Package wal keeps records on a disk in files that are only appended to.
//
// A segment begins with its form's magic word and a header; header and records each carry their length and a checksum
// (xxHash64). A write that is cut off leaves a torn tail, which Read names: what stands before it counts. Nothing is ever
// written behind a torn tail or a failed write: the next record begins a new segment, for what a disk did with the pages
// of a failed sync is not known.
//
// Bounds: a segment ends at the size that its Writer is given, or a record beyond; a record has 1 MiB at the most.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxRecordBytes is how many bytes a record may have.
const MaxRecordBytes = 1 << 20

// headLength is that of a record: 4 bytes of length, 8 of checksum.
const headLength = 12

// What can be wrong with a segment.
var (
	ErrTorn           = errors.New("cut off or damaged")
	ErrRecordTooLarge = errors.New("a record is over 1 MiB")
)

// Append adds a record to dst. Its content is what fill adds to the bytes that it is given.
func Append(dst []byte, fill func([]byte) []byte) []byte {
	start := len(dst)
	dst = fill(append(dst, make([]byte, headLength)...))
	content := dst[start+headLength:]
	binary.BigEndian.PutUint32(dst[start:], uint32(len(content)))
	binary.BigEndian.PutUint64(dst[start+4:], xxhash.Sum64(content))
	return dst
}

// Next takes the first record from the front of b; the error is ErrTorn.
func Next(b []byte) (content, rest []byte, err error) {
	if len(b) < headLength {
		return nil, b, ErrTorn
	}
	n := binary.BigEndian.Uint32(b)
	if n > MaxRecordBytes || len(b)-headLength < int(n) {
		return nil, b, ErrTorn
	}
	content = b[headLength : headLength+int(n)]
	if xxhash.Sum64(content) != binary.BigEndian.Uint64(b[4:]) {
		return nil, b, ErrTorn
	}
	return content, b[headLength+int(n):], nil
}

// Format is a kind of segment: the word that its files begin with, and what stands before the number in their names.
type Format struct{ Magic, Prefix string }

// Name is that of the segment with a number; names sort as their numbers do.
func (f Format) Name(n int) string { return fmt.Sprintf("%s-%08d.log", f.Prefix, n) }

// Number undoes Name.
func (f Format) Number(name string) (n int, ok bool) {
	digits, found := strings.CutPrefix(name, f.Prefix+"-")
	digits, found2 := strings.CutSuffix(digits, ".log")
	if !found || !found2 || len(digits) != 8 {
		return 0, false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// Read reads a segment: its header goes to head, each record to tell. Both may end the reading with an error. offset is
// where what is wrong begins.
func (f Format) Read(text []byte, head, tell func(content []byte) error) (offset int, err error) {
	if len(text) < len(f.Magic) || string(text[:len(f.Magic)]) != f.Magic {
		return 0, ErrTorn
	}
	content, rest, err := Next(text[len(f.Magic):])
	if err == nil {
		err = head(content)
	}
	if err != nil {
		return len(f.Magic), err
	}
	for len(rest) > 0 {
		offset = len(text) - len(rest)
		if content, rest, err = Next(rest); err == nil {
			err = tell(content)
		}
		if err != nil {
			return offset, err
		}
	}
	return 0, nil
}

// Writer appends to the segments of a folder. It is not for several goroutines at once.
type Writer struct {
	Folder   Folder
	Format   Format
	Header   []byte            // of each segment
	MaxBytes int               // bytes of a segment
	Synced   bool              // each Write lasts when it returns; else when the system writes it
	Number   int               // of the next segment
	OnBegin  func()            // called before a segment is begun; nil = nothing
	OnEnd    func(int, string) // a segment that is not written to any more, by number and name; nil = nothing

	out  File
	name string
	size int
}

// Write writes sealed records, to a new segment where the present one is full or has failed.
func (w *Writer) Write(records []byte) (err error) {
	if w.out != nil && w.size+len(records) > w.MaxBytes {
		if err := w.EndSegment(); err != nil {
			return err
		}
	}
	if w.out == nil {
		if err := w.begin(); err != nil {
			return err
		}
	}
	w.size += len(records)
	if _, err = w.out.Write(records); err != nil {
		err = fmt.Errorf("writing to %s: %w", w.name, err)
	} else if w.Synced {
		if err = w.out.Sync(); err != nil {
			err = fmt.Errorf("syncing %s: %w", w.name, err)
		}
	}
	if err != nil {
		_ = w.out.Close() // the first error counts
		w.retire()
	}
	return err
}

// EndSegment ends the present segment, if there is one: the next record begins another.
func (w *Writer) EndSegment() error {
	if w.out == nil {
		return nil
	}
	err, name := w.out.Close(), w.name
	w.retire()
	if err != nil {
		return fmt.Errorf("closing %s: %w", name, err)
	}
	return nil
}

func (w *Writer) retire() {
	w.out = nil
	if w.OnEnd != nil {
		w.OnEnd(w.Number-1, w.name)
	}
}

func (w *Writer) begin() error {
	if w.OnBegin != nil {
		w.OnBegin()
	}
	w.name = w.Format.Name(w.Number)
	w.Number++
	f, err := w.Folder.Create(w.name)
	if err != nil {
		return fmt.Errorf("beginning %s: %w", w.name, err)
	}
	first := Append([]byte(w.Format.Magic), func(b []byte) []byte { return append(b, w.Header...) })
	_, err = f.Write(first)
	if err == nil {
		err = w.Folder.Sync()
	}
	if err != nil {
		_ = f.Close() // the first error counts
		w.retire()
		return fmt.Errorf("beginning %s: %w", w.name, err)
	}
	w.out, w.size = f, len(first)
	return nil
}
