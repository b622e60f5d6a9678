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

// form is that of the files.
var form = wal.Form{Magic: "lwrepeat", Prefix: "repeats"}

// kind is what a record tells.
type kind uint8

const (
	began kind = 1
	ended kind = 2
)

// record is one line of a journal, in the order in which it is written.
type record struct {
	kind   kind
	how    idempotency.End
	class  uint8
	tenant uint16 // math.MaxUint16 = none
	at     float64
	name   idempotency.Name
	print  idempotency.Print
	body   []byte // with an end; what Codec made of it
	// windows are those that were promised, with a beginning. A release that does not know of them takes their bytes for an answer
	// that cannot be read, and goes by its own windows.
	windows *idempotency.Windows
}

const (
	recordLength  = 1 + 1 + 1 + 2 + 8 + 16 + 16
	windowsLength = 16
)

func (r *record) append(dst []byte) []byte {
	return wal.Append(dst, func(dst []byte) []byte {
		dst = append(dst, byte(r.kind), byte(r.how), r.class)
		dst = binary.BigEndian.AppendUint16(dst, r.tenant)
		dst = binary.BigEndian.AppendUint64(dst, math.Float64bits(r.at))
		dst = append(dst, r.name[:]...)
		dst = append(dst, r.print[:]...)
		if r.windows != nil {
			dst = binary.BigEndian.AppendUint64(dst, math.Float64bits(r.windows.Answered))
			dst = binary.BigEndian.AppendUint64(dst, math.Float64bits(r.windows.Doubt))
		}
		return append(dst, r.body...)
	})
}

func parse(b []byte) (r record, err error) {
	if len(b) < recordLength || b[0] != byte(began) && b[0] != byte(ended) || b[1] > byte(idempotency.EndInDoubt) {
		return r, wal.ErrTorn
	}
	r = record{kind: kind(b[0]), how: idempotency.End(b[1]), class: b[2], tenant: binary.BigEndian.Uint16(b[3:]),
		at: math.Float64frombits(binary.BigEndian.Uint64(b[5:]))}
	copy(r.name[:], b[13:])
	copy(r.print[:], b[29:])
	rest := b[recordLength:]
	switch {
	case r.kind == ended && len(rest) > 0:
		r.body = slices.Clone(rest)
	case r.kind == began && len(rest) == windowsLength:
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
	name string
	last float64 // when its last record was made
}

// Journal is open for writing. All of its methods may be called from any goroutine.
type Journal struct {
	set    Settings
	folder wal.Folder

	mu      sync.Mutex
	wake    *sync.Cond
	batch   *batch // being collected
	failure error  // of the last attempt to write; nil after one that worked
	closed  bool
	keep    float64 // ms for which records are of use; never less than before

	// Of the goroutine that writes.
	out  wal.Writer
	last float64 // when the last record of the present segment was made
	old  []segment
}

// batch is what is written and synced together.
type batch struct {
	bytes  []byte // sealed records
	count  int
	newest float64       // when the last was made
	done   chan struct{} // closed when it is on the disk, or it is not known whether it ever will be:
	err    error         // why
}

func newBatch(room []byte) *batch { return &batch{bytes: room, done: make(chan struct{})} }

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
	return j.take(&record{kind: began, at: at, class: uint8(c.Class), tenant: tenant(c.Tenant), name: c.Name,
		print: c.Print, windows: c.Windows})
}

// Ended notes how a call ended, with what it was answered in the caller's own form; nil = not kept.
func (j *Journal) Ended(at float64, c idempotency.Call, how idempotency.End, body []byte) (Ticket, error) {
	return j.take(&record{kind: ended, how: how, at: at, class: uint8(c.Class), tenant: tenant(c.Tenant), name: c.Name,
		print: c.Print, body: body})
}

func tenant(t int) uint16 {
	if t < 0 || t >= math.MaxUint16 {
		return math.MaxUint16
	}
	return uint16(t)
}

func (j *Journal) take(r *record) (Ticket, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := j.batch
	switch {
	case j.closed:
		return Ticket{}, ErrClosed
	case b.count >= j.set.Queue:
		return Ticket{}, ErrFull
	}
	j.keep = max(j.keep, j.set.keeps(r.windows))
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
	var room []byte // of the batch before
	for {
		j.mu.Lock()
		for j.batch.count == 0 && !j.closed {
			j.wake.Wait()
		}
		b := j.batch
		if b.count == 0 {
			j.mu.Unlock()
			_ = j.out.Cut() // all of it is synced
			return
		}
		j.batch = newBatch(room)
		j.mu.Unlock()
		b.err = j.write(b)
		j.mu.Lock()
		j.failure = b.err
		j.mu.Unlock()
		if room = b.bytes[:0]; cap(room) > keepMost {
			room = nil
		}
		close(b.done)
	}
}

// keepMost is how much memory is kept between batches.
const keepMost = 256 << 10

// Close lets Run end once all that was taken is written.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.wake.Signal()
	j.mu.Unlock()
}

// write writes and syncs one batch, to a new segment where the present one is full or has failed.
func (j *Journal) write(b *batch) error {
	j.last = max(j.last, b.newest)
	return j.out.Write(b.bytes)
}

// sweep removes segments whose records are of no use any more.
func (j *Journal) sweep() {
	j.mu.Lock()
	keep := j.keep
	j.mu.Unlock()
	j.old = slices.DeleteFunc(j.old, func(s segment) bool {
		return s.last+keep < j.last && j.folder.Remove(s.name) == nil
	})
}

// keeps is for how long records of a call with these windows are of use, nil = it is not known which.
func (s *Settings) keeps(w *idempotency.Windows) float64 {
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
func Read(f wal.Folder, set Settings, now float64) (list []idempotency.Known, found []Finding, err error) {
	names, err := f.List()
	if err != nil {
		return nil, nil, fmt.Errorf("reading the journal: %w", err)
	}
	slices.Sort(names)
	know := map[idempotency.Name]*entry{}
	for _, name := range names {
		if _, ok := form.Number(name); !ok {
			continue
		}
		text, err := f.Read(name)
		if err != nil {
			found = append(found, Finding{name, 0, err})
			continue
		}
		if offset, err := readSegment(text, set, know, func(record) {}); err != nil {
			found = append(found, Finding{name, offset, err})
		}
	}
	for _, e := range know {
		if now-e.at <= set.keeps(e.Windows) && (e.Running || e.how != idempotency.EndNotRun) {
			e.Age = now - e.at
			e.Served = !e.Running && e.how == idempotency.EndServed
			list = append(list, e.Known)
		}
	}
	slices.SortFunc(list, func(a, b idempotency.Known) int {
		switch {
		case a.Age != b.Age && a.Age > b.Age:
			return -1
		case a.Age != b.Age:
			return 1
		}
		return bytes.Compare(a.Name[:], b.Name[:])
	})
	return list, found, nil
}

// entry is what the records so far tell of a name.
type entry struct {
	idempotency.Known
	at  float64
	how idempotency.End
}

// readSegment reads one segment into know and tells each record; offset is where it went wrong.
func readSegment(text []byte, set Settings, know map[idempotency.Name]*entry, tell func(record)) (offset int, err error) {
	var h header
	var classes, tenants []int
	return form.Read(text, func(content []byte) error {
		if json.Unmarshal(content, &h) != nil || h.Version != Version {
			return ErrVersion
		}
		classes, tenants = places(h.Classes, set.Classes), places(h.Tenants, set.Tenants)
		return nil
	}, func(content []byte) error {
		r, err := parse(content)
		if err != nil {
			return err
		}
		tell(r)
		if int(r.class) >= len(classes) || classes[r.class] < 0 {
			return nil // a class that there is no more
		}
		e := know[r.name]
		if e == nil {
			e = &entry{}
			know[r.name] = e
		}
		c := idempotency.Call{Name: r.name, Print: r.print, Class: classes[r.class], Tenant: -1}
		if int(r.tenant) < len(tenants) {
			c.Tenant = tenants[r.tenant]
		}
		if c.Windows = r.windows; r.kind == ended {
			c.Windows = e.Windows // it was judged by those under which it began
		}
		e.Known = idempotency.Known{Call: c, Running: r.kind == began}
		e.at, e.how = r.at, r.how
		if r.body != nil {
			e.Body, e.Size = r.body, len(r.body)
		}
		return nil
	})
}

// places finds for each old name its place among the new ones, -1 for none.
func places(old, now []string) []int {
	p := make([]int, len(old))
	for i, name := range old {
		p[i] = slices.Index(now, name)
	}
	return p
}

// Open reads a folder and makes a journal that goes on in it, in a segment of its own. Findings are not errors: what is
// damaged stays as it is until its time is over.
func Open(f wal.Folder, set Settings, now float64) (j *Journal, list []idempotency.Known, found []Finding, err error) {
	list, found, err = Read(f, set, now)
	if err != nil {
		return nil, nil, nil, err
	}
	head, err := json.Marshal(header{Version, set.Classes, set.Tenants})
	if err != nil {
		return nil, nil, nil, err
	}
	j = &Journal{set: set, folder: f, batch: newBatch(nil), keep: set.Keep}
	for _, k := range list {
		j.keep = max(j.keep, set.keeps(k.Windows))
	}
	j.wake = sync.NewCond(&j.mu)
	j.out = wal.Writer{Folder: f, Form: form, Header: head, Most: set.SegmentBytes, Synced: true, Number: 1, Begun: j.sweep,
		Ended: func(_ int, name string) { j.old = append(j.old, segment{name, j.last}) }}
	names, err := f.List()
	if err != nil {
		return nil, nil, nil, fmt.Errorf("reading the journal: %w", err)
	}
	slices.Sort(names)
	for _, name := range names {
		if n, ok := form.Number(name); ok {
			j.out.Number = max(j.out.Number, n+1)
			j.old = append(j.old, segment{name, now}) // its last record is not younger
		}
	}
	return j, list, found, nil
}
