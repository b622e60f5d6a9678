// Package wal is a write-ahead log: it stores records on disk in append-only files, called segments.
//
// A segment begins with the magic word of its format, followed by a header. The header and each record carry their
// length and a checksum (xxHash64). An interrupted write leaves a torn tail. Read returns its offset, and the
// records before it are valid. Nothing is ever written after a torn tail or a failed write: the next record starts
// a new segment, because it is not known what the disk did with the pages of a failed sync.
//
// Bounds: a segment ends at Writer.MaxBytes, which a single larger write may exceed. A record has at most 1 MiB.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxRecordBytes is the maximum size of a record, in bytes.
const MaxRecordBytes = 1 << 20

// headLength is the size of a record's header: 4 bytes of length and 8 bytes of checksum.
const headLength = 12

// Errors of a segment.
var (
	ErrTorn           = errors.New("truncated or damaged")
	ErrRecordTooLarge = errors.New("record is larger than 1 MiB")
)

// Append appends a record to dst. Its content is what fill appends to the slice that it receives.
func Append(dst []byte, fill func([]byte) []byte) []byte {
	start := len(dst)
	dst = fill(append(dst, make([]byte, headLength)...))
	content := dst[start+headLength:]
	binary.BigEndian.PutUint32(dst[start:], uint32(len(content)))
	binary.BigEndian.PutUint64(dst[start+4:], xxhash.Sum64(content))
	return dst
}

// Next splits the first record off the front of b. The error is ErrTorn.
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

// Format is a kind of segment: the magic word that its files begin with, and the prefix of their names before the
// number.
type Format struct{ Magic, Prefix string }

// Name returns the file name of the segment with a number. Names sort in the order of their numbers.
func (f Format) Name(n int) string { return fmt.Sprintf("%s-%08d.log", f.Prefix, n) }

// Number returns the number of the segment with a file name; it is the inverse of Name.
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

// Read reads a segment: it passes the header to onHeader and each record to onRecord. Either may stop the reading
// by returning an error. After an error, offset is where the invalid or rejected part begins.
func (f Format) Read(text []byte, onHeader, onRecord func(content []byte) error) (offset int, err error) {
	if len(text) < len(f.Magic) || string(text[:len(f.Magic)]) != f.Magic {
		return 0, ErrTorn
	}
	content, rest, err := Next(text[len(f.Magic):])
	if err == nil {
		err = onHeader(content)
	}
	if err != nil {
		return len(f.Magic), err
	}
	for len(rest) > 0 {
		offset = len(text) - len(rest)
		if content, rest, err = Next(rest); err == nil {
			err = onRecord(content)
		}
		if err != nil {
			return offset, err
		}
	}
	return 0, nil
}

// Writer appends to the segments of a folder. It is not safe for concurrent use.
type Writer struct {
	Folder   Folder
	Format   Format
	Header   []byte            // written at the start of each segment
	MaxBytes int               // size in bytes at which a segment ends
	Synced   bool              // each Write is durable when it returns; if false, once the operating system writes it back
	Number   int               // number of the next segment
	OnBegin  func()            // called before a segment is started; may be nil
	OnEnd    func(int, string) // called with the number and name of a segment that receives no more writes; may be nil

	out  File
	name string
	size int
}

// Write writes encoded records. It starts a new segment if the current one is full or has failed.
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
		_ = w.out.Close() // the first error is returned
		w.retire()
	}
	return err
}

// EndSegment closes the current segment, if there is one. The next record starts a new one.
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
		return fmt.Errorf("creating segment %s: %w", w.name, err)
	}
	header := Append([]byte(w.Format.Magic), func(b []byte) []byte { return append(b, w.Header...) })
	_, err = f.Write(header)
	if err == nil {
		err = w.Folder.Sync()
	}
	if err != nil {
		_ = f.Close() // the first error is returned
		w.retire()
		return fmt.Errorf("creating segment %s: %w", w.name, err)
	}
	w.out, w.size = f, len(header)
	return nil
}
