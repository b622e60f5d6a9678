// Package journal keeps on a disk which calls have begun to run and how they ended, so that a restart does not forget them.
//
// A journal is a folder of segments that are only appended to. A segment begins with a header, which says in JSON what its
// numbers mean (the names of classes and tenants, the version of the form), and goes on with records; header and records
// each carry their length and a checksum (xxHash64). What was written together is synced together (group commit): whoever
// waits for the disk waits for one sync, however many others wait.
//
// A write that is cut off leaves a torn tail: it is named at the next start and read over, and never written behind. After a
// failed write or sync nothing is taken for written that had not been before, and the next record begins a new segment: what
// a disk did with the pages of a failed sync is not known.
//
// Bounds: a segment ends at Settings.SegmentBytes, or a record beyond; it is removed Settings.Keep after its last record.
// So a journal holds what is written in Settings.Keep, and one segment. Records that wait to be written are at most
// Settings.Queue in the batch being collected, and as many in the one being written.
package journal

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

// Version is that of the form. One release reads its own and the one before; this is the first.
const Version = 1

// Settings describe a journal. Times are milliseconds since the Unix epoch, by the wall clock: they outlive the process.
type Settings struct {
	Classes      []string // names, by number
	Tenants      []string
	SegmentBytes int
	Keep         float64 // ms for which records are of use: the longest window and the longest call
	Call         float64 // ms of the longest call: what a record says of its own windows counts beside Keep
	Queue        int     // most records that wait to be written
}

// What can be wrong with a journal.
var (
	ErrFull    = errors.New("too many records wait for the disk")
	ErrClosed  = errors.New("the journal is closed")
	ErrVersion = errors.New("written in a form that this release does not read")
)

// segmentForm is that of the files.
var segmentForm = wal.Form{Magic: "lwrepeat", Prefix: "repeats"}

// kind is what a record tells.
type kind uint8

const (
	kindBegan kind = 1
	kindEnded kind = 2
)

// record is one line of a journal, in the order in which it is written.
type record struct {
	kind        kind
	outcome     idempotency.End
	class       uint8
	tenant      uint16 // math.MaxUint16 = none
	at          float64
	key         idempotency.Name
	fingerprint idempotency.Print
	body        []byte // with an end; what Codec made of it
	// windows are those that were promised, with a beginning. A release that does not know of them takes their bytes for an answer
	// that cannot be read, and goes by its own windows.
	windows *idempotency.Windows
}

const (
	recordBytes  = 1 + 1 + 1 + 2 + 8 + 16 + 16
	windowsBytes = 16
)

func (r *record) append(dst []byte) []byte {
	return wal.Append(dst, func(dst []byte) []byte {
		dst = append(dst, byte(r.kind), byte(r.outcome), r.class)
		dst = binary.BigEndian.AppendUint16(dst, r.tenant)
		dst = binary.BigEndian.AppendUint64(dst, math.Float64bits(r.at))
		dst = append(dst, r.key[:]...)
		dst = append(dst, r.fingerprint[:]...)
		if r.windows != nil {
			dst = binary.BigEndian.AppendUint64(dst, math.Float64bits(r.windows.Answered))
			dst = binary.BigEndian.AppendUint64(dst, math.Float64bits(r.windows.Doubt))
		}
		return append(dst, r.body...)
	})
}

func parseRecord(b []byte) (r record, err error) {
	if len(b) < recordBytes || b[0] != byte(kindBegan) && b[0] != byte(kindEnded) || b[1] > byte(idempotency.EndInDoubt) {
		return r, wal.ErrTorn
	}
	r = record{kind: kind(b[0]), outcome: idempotency.End(b[1]), class: b[2], tenant: binary.BigEndian.Uint16(b[3:]),
		at: math.Float64frombits(binary.BigEndian.Uint64(b[5:]))}
	copy(r.key[:], b[13:])
	copy(r.fingerprint[:], b[29:])
	rest := b[recordBytes:]
	switch {
	case r.kind == kindEnded && len(rest) > 0:
		r.body = slices.Clone(rest)
	case r.kind == kindBegan && len(rest) == windowsBytes:
		w := idempotency.Windows{Answered: math.Float64frombits(binary.BigEndian.Uint64(rest)),
			Doubt: math.Float64frombits(binary.BigEndian.Uint64(rest[8:]))}
		if !(w.Answered >= 0 && w.Doubt >= 0) || math.IsInf(w.Longest(), 1) {
			return r, wal.ErrTorn
		}
		r.windows = &w
	case len(rest) > 0:
		return r, wal.ErrTorn
	}
	return r, nil
}

// header is the first thing in a segment.
type header struct {
	Version int      `json:"version"`
	Classes []string `json:"classes"`
	Tenants []string `json:"tenants"`
}

// segment is one file.
type segment struct {
	name       string
	lastRecord float64 // when its last record was made
}

// Journal is open for writing. All of its methods may be called from any goroutine.
type Journal struct {
	config Settings
	folder wal.Folder

	mu        sync.Mutex
	wake      *sync.Cond
	batch     *batch // being collected
	failure   error  // of the last attempt to write; nil after one that worked
	closed    bool
	retention float64 // ms for which records are of use; never less than before

	// Of the goroutine that writes.
	writer         wal.Writer
	lastRecord     float64 // when the last record of the present segment was made
	closedSegments []segment
}

// batch is what is written and synced together.
type batch struct {
	bytes  []byte // sealed records
	count  int
	newest float64       // when the last was made
	done   chan struct{} // closed when it is on the disk, or it is not known whether it ever will be:
	err    error         // why
}

func newBatch(buffer []byte) *batch { return &batch{bytes: buffer, done: make(chan struct{})} }

// Ticket stands for a record that was taken.
type Ticket struct{ b *batch }

// Wait blocks until the record is on the disk, or it is not known whether it ever will be. The zero Ticket is of none.
func (t Ticket) Wait() error {
	if t.b == nil {
		return nil
	}
	<-t.b.done
	return t.b.err
}

// Began notes that a call is about to run.
func (j *Journal) Began(at float64, c idempotency.Call) (Ticket, error) {
	return j.enqueue(&record{kind: kindBegan, at: at, class: uint8(c.Class), tenant: encodeTenant(c.Tenant), key: c.Name,
		fingerprint: c.Print, windows: c.Windows})
}

// Ended notes how a call ended, with what it was answered in the caller's own form; nil = not kept.
func (j *Journal) Ended(at float64, c idempotency.Call, outcome idempotency.End, body []byte) (Ticket, error) {
	return j.enqueue(&record{kind: kindEnded, outcome: outcome, at: at, class: uint8(c.Class), tenant: encodeTenant(c.Tenant), key: c.Name,
		fingerprint: c.Print, body: body})
}

func encodeTenant(t int) uint16 {
	if t < 0 || t >= math.MaxUint16 {
		return math.MaxUint16
	}
	return uint16(t)
}

func (j *Journal) enqueue(r *record) (Ticket, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := j.batch
	switch {
	case j.closed:
		return Ticket{}, ErrClosed
	case b.count >= j.config.Queue:
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

// Failure is why the last attempt to write did not work; nil while the journal works.
func (j *Journal) Failure() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failure
}

// Run writes until Close has been called and all is written. It blocks; one goroutine runs it.
func (j *Journal) Run() {
	var buffer []byte // of the batch before
	for {
		j.mu.Lock()
		for j.batch.count == 0 && !j.closed {
			j.wake.Wait()
		}
		b := j.batch
		if b.count == 0 {
			j.mu.Unlock()
			_ = j.writer.Cut() // all of it is synced
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

// maxKeptBufferBytes is how much memory is kept between batches.
const maxKeptBufferBytes = 256 << 10

// Close lets Run end once all that was taken is written.
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

// removeExpired removes segments whose records are of no use any more.
func (j *Journal) removeExpired() {
	j.mu.Lock()
	keep := j.retention
	j.mu.Unlock()
	j.closedSegments = slices.DeleteFunc(j.closedSegments, func(s segment) bool {
		return s.lastRecord+keep < j.lastRecord && j.folder.Remove(s.name) == nil
	})
}

// retention is for how long records of a call with these windows are of use, nil = it is not known which.
func (s *Settings) retention(w *idempotency.Windows) float64 {
	if w == nil {
		return s.Keep
	}
	return max(s.Keep, w.Longest()+s.Call)
}

// Finding is something about a file that a person should know.
type Finding struct {
	File   string
	Offset int // where what is wrong begins
	Err    error
}

func (f Finding) String() string { return fmt.Sprintf("%s, byte %d: %v", f.File, f.Offset, f.Err) }

// Read reads a folder without changing it: what is known of each name at a time, in the order of their ends, and what is
// wrong. Of a damaged file what stands before the damage counts. A call that had begun and not ended was running.
func Read(f wal.Folder, set Settings, now float64) (recovered []idempotency.Known, findings []Finding, err error) {
	names, err := f.List()
	if err != nil {
		return nil, nil, fmt.Errorf("reading the journal: %w", err)
	}
	slices.Sort(names)
	entries := map[idempotency.Name]*entry{}
	for _, name := range names {
		if _, ok := segmentForm.Number(name); !ok {
			continue
		}
		text, err := f.Read(name)
		if err != nil {
			findings = append(findings, Finding{name, 0, err})
			continue
		}
		if offset, err := readSegment(text, set, entries, func(record) {}); err != nil {
			findings = append(findings, Finding{name, offset, err})
		}
	}
	for _, e := range entries {
		if now-e.at <= set.retention(e.Windows) && (e.Running || e.outcome != idempotency.EndNotRun) {
			e.Age = now - e.at
			e.Served = !e.Running && e.outcome == idempotency.EndServed
			recovered = append(recovered, e.Known)
		}
	}
	slices.SortFunc(recovered, func(a, b idempotency.Known) int {
		switch {
		case a.Age != b.Age && a.Age > b.Age:
			return -1
		case a.Age != b.Age:
			return 1
		}
		return bytes.Compare(a.Name[:], b.Name[:])
	})
	return recovered, findings, nil
}

// entry is what the records so far tell of a name.
type entry struct {
	idempotency.Known
	at      float64
	outcome idempotency.End
}

// readSegment reads one segment into know and tells each record; offset is where it went wrong.
func readSegment(text []byte, set Settings, entries map[idempotency.Name]*entry, visit func(record)) (offset int, err error) {
	var h header
	var classes, tenants []int
	return segmentForm.Read(text, func(content []byte) error {
		if json.Unmarshal(content, &h) != nil || h.Version != Version {
			return ErrVersion
		}
		classes, tenants = indexMap(h.Classes, set.Classes), indexMap(h.Tenants, set.Tenants)
		return nil
	}, func(content []byte) error {
		r, err := parseRecord(content)
		if err != nil {
			return err
		}
		visit(r)
		if int(r.class) >= len(classes) || classes[r.class] < 0 {
			return nil // a class that there is no more
		}
		e := entries[r.key]
		if e == nil {
			e = &entry{}
			entries[r.key] = e
		}
		c := idempotency.Call{Name: r.key, Print: r.fingerprint, Class: classes[r.class], Tenant: -1}
		if int(r.tenant) < len(tenants) {
			c.Tenant = tenants[r.tenant]
		}
		if c.Windows = r.windows; r.kind == kindEnded {
			c.Windows = e.Windows // it was judged by those under which it began
		}
		e.Known = idempotency.Known{Call: c, Running: r.kind == kindBegan}
		e.at, e.outcome = r.at, r.outcome
		if r.body != nil {
			e.Body, e.Size = r.body, len(r.body)
		}
		return nil
	})
}

// indexMap finds for each old name its place among the new ones, -1 for none.
func indexMap(old, now []string) []int {
	p := make([]int, len(old))
	for i, name := range old {
		p[i] = slices.Index(now, name)
	}
	return p
}

// Open reads a folder and makes a journal that goes on in it, in a segment of its own. Findings are not errors: what is
// damaged stays as it is until its time is over.
func Open(f wal.Folder, set Settings, now float64) (j *Journal, recovered []idempotency.Known, findings []Finding, err error) {
	recovered, findings, err = Read(f, set, now)
	if err != nil {
		return nil, nil, nil, err
	}
	head, err := json.Marshal(header{Version, set.Classes, set.Tenants})
	if err != nil {
		return nil, nil, nil, err
	}
	j = &Journal{config: set, folder: f, batch: newBatch(nil), retention: set.Keep}
	for _, k := range recovered {
		j.retention = max(j.retention, set.retention(k.Windows))
	}
	j.wake = sync.NewCond(&j.mu)
	j.writer = wal.Writer{Folder: f, Form: segmentForm, Header: head, Most: set.SegmentBytes, Synced: true, Number: 1, Begun: j.removeExpired,
		Ended: func(_ int, name string) { j.closedSegments = append(j.closedSegments, segment{name, j.lastRecord}) }}
	names, err := f.List()
	if err != nil {
		return nil, nil, nil, fmt.Errorf("reading the journal: %w", err)
	}
	slices.Sort(names)
	for _, name := range names {
		if n, ok := segmentForm.Number(name); ok {
			j.writer.Number = max(j.writer.Number, n+1)
			j.closedSegments = append(j.closedSegments, segment{name, now}) // its last record is not younger
		}
	}
	return j, recovered, findings, nil
}
