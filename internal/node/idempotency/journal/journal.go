// Package journal records on disk which calls have begun to run and how they ended, so that they are still known
// after a restart.
//
// A journal is a directory of segments that are only appended to. A segment begins with a header, which says in JSON
// what its numbers mean (the names of classes and tenants, the version of the format), and continues with records;
// header and records each carry their length and a checksum (xxHash64). Records that were written together are synced
// together (group commit): whoever waits for the disk waits for one sync, however many others wait.
//
// # Faults
//
// A write that is cut off leaves a torn tail: the next start reports it, reads the records before it, and never
// appends to that segment. After a failed write or sync no record counts as durable that did not before, and the next
// record begins a new segment: what a disk has done with the pages of a failed sync is not known.
//
// # Bounds
//
// A segment ends at Settings.SegmentBytes, exceeded by at most one record; it is removed Settings.Retention after
// its last record. So a journal holds what is written in Settings.Retention, and one segment. Records that wait
// for the disk are at most Settings.MaxQueue in the batch that is being collected, and as many in the one that is
// being written.
package journal

import (
	"encoding/json"
	"errors"
	"slices"
	"sync"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

// Settings describe a journal. Times are milliseconds; points in time count from the Unix epoch, by the wall clock,
// so that they outlive the process.
type Settings struct {
	Classes      []string // names, by number
	Tenants      []string // names, by number
	SegmentBytes int
	Retention    float64 // ms for which records are of use: the longest window and the longest call
	MaxCall      float64 // ms of the longest call: a record with windows of its own is of use for the longest of them and this
	MaxQueue     int     // maximum number of records in a batch
}

// retention returns the milliseconds for which the records of a call with these windows are of use; nil = its windows
// are not known.
func (s *Settings) retention(w *idempotency.Windows) float64 {
	if w == nil {
		return s.Retention
	}
	return max(s.Retention, w.Longest()+s.MaxCall)
}

// The errors of a journal.
var (
	ErrFull    = errors.New("too many records wait for the disk")
	ErrClosed  = errors.New("the journal is closed")
	ErrVersion = errors.New("written in a format version that this release does not read")
)

// Journal is open for writing. All of its methods may be called from any goroutine, Run by one only.
type Journal struct {
	config Settings
	folder wal.Folder

	mu        sync.Mutex
	wake      *sync.Cond
	batch     *batch // being collected
	failure   error  // of the last write; nil after one that worked
	closed    bool
	retention float64 // ms for which records are of use; never decreases

	// Used by Run alone.
	writer         wal.Writer
	lastRecord     float64 // ms; when the last record of the present segment was made
	closedSegments []segment
}

// segment is one file that is not written any more.
type segment struct {
	name       string
	lastRecord float64 // ms; when its last record was made
}

// batch holds records that are written and synced together.
type batch struct {
	bytes  []byte // encoded records
	count  int
	newest float64       // ms; when the last one was made
	done   chan struct{} // closed when the batch is on the disk, or when it is unknown whether it ever will be
	err    error         // why that is unknown; written before done is closed
}

func newBatch(buffer []byte) *batch { return &batch{bytes: buffer, done: make(chan struct{})} }

// Ticket stands for a record that was accepted and is not yet durable. The zero Ticket stands for none.
type Ticket struct{ b *batch }

// Wait blocks until the record is on the disk, and returns nil, or until it is unknown whether it ever will be, and
// returns the reason. The Wait of the zero Ticket returns nil.
func (t Ticket) Wait() error {
	if t.b == nil {
		return nil
	}
	<-t.b.done
	return t.b.err
}

// Open reads a directory and returns a journal that appends to it, in a segment of its own, with the entries that it
// recovered. Findings are not errors: a damaged segment stays as it is until its retention is over. Nothing is
// written before Run.
func Open(f wal.Folder, set Settings, now float64) (j *Journal, recovered []idempotency.Entry, findings []Finding, err error) {
	recovered, findings, err = Read(f, set, now)
	if err != nil {
		return nil, nil, nil, err
	}
	head, err := json.Marshal(header{Version, set.Classes, set.Tenants})
	if err != nil {
		return nil, nil, nil, err
	}
	j = &Journal{config: set, folder: f, batch: newBatch(nil), retention: set.Retention}
	for _, k := range recovered {
		j.retention = max(j.retention, set.retention(k.Windows))
	}
	j.wake = sync.NewCond(&j.mu)
	j.writer = wal.Writer{Folder: f, Format: segmentFormat, Header: head, MaxBytes: set.SegmentBytes, Synced: true, Number: 1, OnBegin: j.removeExpired,
		OnEnd: func(_ int, name string) { j.closedSegments = append(j.closedSegments, segment{name, j.lastRecord}) }}
	names, err := segmentNames(f)
	if err != nil {
		return nil, nil, nil, err
	}
	for _, name := range names {
		n, _ := segmentFormat.Number(name)
		j.writer.Number = max(j.writer.Number, n+1)
		j.closedSegments = append(j.closedSegments, segment{name, now}) // its last record is not newer
	}
	return j, recovered, findings, nil
}

// Began records that a call is about to run. Where its class requires it, the caller waits for the Ticket before the
// first byte goes out. The error is ErrFull or ErrClosed.
func (j *Journal) Began(at float64, c idempotency.Call) (Ticket, error) {
	return j.enqueue(&record{kind: kindBegan, at: at, class: uint8(c.Class), tenant: encodeTenant(c.Tenant), key: c.Key,
		fingerprint: c.Fingerprint, windows: c.Windows})
}

// Ended records the outcome of a call, with its response in the caller's encoding; nil = not kept. The error is
// ErrFull or ErrClosed.
func (j *Journal) Ended(at float64, c idempotency.Call, outcome idempotency.Outcome, body []byte) (Ticket, error) {
	return j.enqueue(&record{kind: kindEnded, outcome: outcome, at: at, class: uint8(c.Class), tenant: encodeTenant(c.Tenant), key: c.Key,
		fingerprint: c.Fingerprint, body: body})
}

// enqueue adds a record to the batch that is being collected.
func (j *Journal) enqueue(r *record) (Ticket, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := j.batch
	switch {
	case j.closed:
		return Ticket{}, ErrClosed
	case b.count >= j.config.MaxQueue:
		return Ticket{}, ErrFull
	}
	j.retention = max(j.retention, j.config.retention(r.windows))
	b.bytes = r.append(b.bytes)
	b.newest = max(b.newest, r.at)
	if b.count++; b.count == 1 {
		j.wake.Signal()
	}
	return Ticket{b}, nil
}

// Failure returns why the last write failed; nil while the journal works.
func (j *Journal) Failure() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failure
}

// Run writes until Close has been called and everything accepted is written. It blocks; one goroutine runs it.
func (j *Journal) Run() {
	var buffer []byte // of the previous batch, reused
	for {
		j.mu.Lock()
		for j.batch.count == 0 && !j.closed {
			j.wake.Wait()
		}
		b := j.batch
		if b.count == 0 {
			j.mu.Unlock()
			_ = j.writer.EndSegment() // all of it is synced
			return
		}
		j.batch = newBatch(buffer)
		j.mu.Unlock()
		b.err = j.write(b)
		j.mu.Lock()
		j.failure = b.err
		j.mu.Unlock()
		if buffer = b.bytes[:0]; cap(buffer) > maxKeptBufferBytes {
			buffer = nil
		}
		close(b.done)
	}
}

// maxKeptBufferBytes bounds the memory that is kept from one batch to the next.
const maxKeptBufferBytes = 256 << 10

// Close makes Run return once everything that was accepted is written. No more records are accepted.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.wake.Signal()
	j.mu.Unlock()
}

// write writes and syncs one batch, to a new segment where the present one is full or has failed.
func (j *Journal) write(b *batch) error {
	j.lastRecord = max(j.lastRecord, b.newest)
	return j.writer.Write(b.bytes)
}

// removeExpired removes the segments whose records are of no use any more. It runs in the goroutine of Run, when a
// segment begins.
func (j *Journal) removeExpired() {
	j.mu.Lock()
	keep := j.retention
	j.mu.Unlock()
	j.closedSegments = slices.DeleteFunc(j.closedSegments, func(s segment) bool {
		return s.lastRecord+keep < j.lastRecord && j.folder.Remove(s.name) == nil
	})
}
