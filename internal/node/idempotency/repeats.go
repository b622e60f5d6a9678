// Package idempotency knows which calls have been here before: whether the first one still runs, what it was answered, and
// whether it may run again. It is the pure half of the recognition of repeats: no input or output, no goroutine, no lock,
// no clock. Time is passed in, in milliseconds; it may stand still or go back, which counts as standing still.
//
// A call has a Name, which says what makes it the same as another (128 bits of a keyed hash over the tenant and what the
// class's settings choose), and a Print of all of its content. A Book holds one entry a name:
//
//	           Ask              End(Served)            body pushed out
//	(unknown) ────▶ Running ────────────────▶ Answered ───────────────▶ Spent
//	                  │  ▲                        │                       │
//	     End(NotRun)  │  │ Ask, where a repeat    └───── window over ─────┤
//	     or Refused   │  │ does no harm                                   ▼
//	        └─▶ (unknown)└────────────────────── Doubt ◀── End(Doubt)   (unknown)
//
// # Bounds
//
// A Book holds at most Settings.Entries names and Settings.Bytes of answers' bodies. Its own memory is at most EntryBytes
// an entry, bodies apart. What is running, and for a class of which nothing may run twice also what has run or may have, is
// never pushed out within its window: when only such entries are left, a new call of such a class is turned away before it
// runs, and one of another class goes on unrecorded. Of those the tenant that fills the book is turned away first: one may
// hold no more than Settings.Alpha times the room that nobody holds.
//
// # Windows that change
//
// A call may bring its own Windows. A name keeps those under which its run began, whatever later calls of its class bring: a
// window that was promised is never shorter, and never longer. Names of one class and the same windows stand in one lane; there are
// at most mostLanes at once, and one is free again when its last name has gone. A call for whose windows there is no lane any more
// is turned away, or goes on unrecorded, as in a book that is full.
package idempotency

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Name says what makes a call the same as another.
type Name [16]byte

// Print is a digest of a call's content.
type Print [16]byte

// Class is how the calls of a class are treated.
type Class struct {
	Once     bool    // it must never run twice
	Answered float64 // ms for which an answer is known after it was given
	Doubt    float64 // ms for which a call that may have run is known
}

// Windows are times for which a call is known, as in Class.
type Windows struct {
	Answered float64 `json:"Answered"`
	Doubt    float64 `json:"Doubt"`
}

// Longest is the longer one.
func (w Windows) Longest() float64 { return max(w.Answered, w.Doubt) }

// Settings are a Book's limits.
type Settings struct {
	Classes []Class
	Tenants int     // how many there are; calls of none are counted together besides
	Entries int     // most names
	Bytes   int     // most bytes of bodies
	Alpha   float64 // see the package comment
}

// FieldError names the setting that cannot work.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Verdict is what to do with a call.
type Verdict uint8

// The verdicts.
const (
	Run      Verdict = iota // it is the first, or may run again: run it, and tell End under its Ref
	Pass                    // run it unrecorded: the book has no room, and a repeat does no harm
	Join                    // it runs: wait for its answer, and tell Leave when nobody waits any more
	Replay                  // give the answer of Decision.Body
	Spent                   // it has run, but its answer is no longer kept
	Doubt                   // it may have run: neither again nor harmless to try again
	Mismatch                // another content under a name that is known
	Full                    // turned away: no room, ask again after Decision.Wait
)

var verdictNames = [...]string{"run", "pass", "join", "replay", "spent", "doubt", "mismatch", "full"}

func (v Verdict) String() string { return verdictNames[v] }

// Ref names a run. It is not used again for another one.
type Ref struct {
	slot int32
	turn uint32
}

// Decision is the answer to Ask.
type Decision struct {
	Verdict Verdict
	Ref     Ref     // with Run and Join
	Body    any     // with Replay
	Wait    float64 // with Full, ms; 0 = not known
}

// End is how a run ended.
type End uint8

// The ends.
const (
	EndServed  End = iota // with a body
	EndNotRun             // refused or failed, and certainly not run
	EndInDoubt            // refused, failed or left, and it may have run
)

// state is what is known of a name.
type state uint8

const (
	free state = iota
	running
	answered // with its body
	spent    // without
	doubt
)

// entry is what is known of one name. It is one of three lists at most: of its end, of bodies.
type entry struct {
	name         Name
	print        Print
	body         any
	expires      float64
	size         int32
	tenant       int32
	next, prev   int32 // in the queue of those that end in order
	nextB, prevB int32 // in the queue of bodies
	turn         uint32
	lane         uint16
	class        uint8
	state        state
}

// EntryBytes bounds the memory of one entry with its place in the index, measured by this package's test.
const EntryBytes = 192

// lane holds the names of one class and the same windows: within each of its queues they end in order.
type lane struct {
	class uint8
	Windows
	names       int
	known, open queue // answered or spent; in doubt
}

// mostLanes bounds them.
const mostLanes = 1024

// queue is a list through the entries' next and prev, or nextB and prevB; -1 ends it.
type queue struct{ first, last int32 }

// Counts tell what a Book holds and has done.
type Counts struct {
	Entries, Running, Answered, Spent, Doubt int // now
	Pinned                                   int // of them, those that cannot be pushed out
	Bytes                                    int // of bodies
	Verdicts                                 [Full + 1]uint64
	BodiesPushedOut, NamesPushedOut          uint64
}

// Book holds the names. It is not safe for concurrent use.
type Book struct {
	set     Settings
	now     float64
	index   map[Name]int32
	entries []entry
	unused  int32 // first of the free ones, through next
	lanes   []lane
	last    []int // by class: the lane of its last name
	bodies  queue
	held    []int // pinned entries by tenant, the last for calls of none
	counts  Counts
}

// New makes an empty Book.
func New(set Settings) (*Book, error) {
	wrong := func(field, format string, args ...any) (*Book, error) {
		return nil, &FieldError{field, fmt.Sprintf(format, args...)}
	}
	switch {
	case len(set.Classes) == 0 || len(set.Classes) > 256:
		return wrong("classes", "%d, want 1 to 256", len(set.Classes))
	case set.Entries < 1 || set.Entries > math.MaxInt32/2:
		return wrong("entries", "%d, want 1 to %d", set.Entries, math.MaxInt32/2)
	case set.Bytes < 0:
		return wrong("bytes", "%d is negative", set.Bytes)
	case set.Tenants < 0:
		return wrong("tenants", "%d is negative", set.Tenants)
	case !(set.Alpha > 0):
		return wrong("alpha", "%g is not above 0", set.Alpha)
	}
	for i, c := range set.Classes {
		if !(c.Answered >= 0) || !(c.Doubt >= 0) || math.IsInf(c.Answered, 1) || math.IsInf(c.Doubt, 1) {
			return wrong(fmt.Sprintf("classes[%d]", i), "windows of %g and %g ms", c.Answered, c.Doubt)
		}
	}
	return &Book{set: set, now: math.Inf(-1), index: map[Name]int32{}, unused: -1, bodies: queue{-1, -1},
		held: make([]int, set.Tenants+1), last: make([]int, len(set.Classes))}, nil
}

// Call is what the Book has to know of a call.
type Call struct {
	Name   Name
	Print  Print
	Class  int
	Tenant int // -1 = none
	// Windows are those under which it begins, nil = its class's. They count where it takes its name.
	Windows *Windows
}

// Ask tells what to do with a call that has arrived.
func (b *Book) Ask(now float64, c Call) Decision {
	b.at(now)
	d := b.ask(c)
	b.counts.Verdicts[d.Verdict]++
	return d
}

func (b *Book) ask(c Call) Decision {
	slot, known := b.index[c.Name]
	if !known {
		return b.admit(c)
	}
	if d := b.Peek(c); d.Verdict != Run {
		return d
	}
	// It may have run, and a repeat does no harm.
	e := &b.entries[slot]
	b.pin(slot, -1)
	b.unlink(slot)
	if at, ok := b.laneOf(c); ok { // it begins anew
		b.lanes[e.lane].names--
		b.lanes[at].names++
		e.lane = uint16(at)
	}
	e.state = running
	e.turn++
	b.pin(slot, 1)
	return Decision{Verdict: Run, Ref: Ref{slot, e.turn}}
}

// Peek tells what Ask would say, and changes nothing. A name that is not known may Run.
func (b *Book) Peek(c Call) Decision {
	slot, known := b.index[c.Name]
	if !known {
		return Decision{Verdict: Run}
	}
	e := &b.entries[slot]
	once := b.set.Classes[e.class].Once
	switch {
	case e.print != c.Print || int(e.class) != c.Class:
		return Decision{Verdict: Mismatch}
	case e.state == running:
		return Decision{Verdict: Join, Ref: Ref{slot, e.turn}}
	case e.state == answered:
		return Decision{Verdict: Replay, Body: e.body}
	case e.state == spent && once:
		return Decision{Verdict: Spent}
	case once:
		return Decision{Verdict: Doubt}
	}
	return Decision{Verdict: Run}
}

// ClassOf is the class of a name that is known.
func (b *Book) ClassOf(n Name) (class int, known bool) {
	slot, known := b.index[n]
	if !known {
		return 0, false
	}
	return int(b.entries[slot].class), true
}

// Now is the latest time that was passed in; -Inf before any was.
func (b *Book) Now() float64 { return b.now }

// admit makes an entry for a new name.
func (b *Book) admit(c Call) Decision {
	once := b.set.Classes[c.Class].Once
	if room := b.set.Entries - b.counts.Pinned; once && float64(b.held[b.payer(c.Tenant)]) >= b.set.Alpha*float64(room) {
		return Decision{Verdict: Full, Wait: b.relief()}
	}
	slot, ok := b.begin(c)
	switch {
	case !ok && once:
		return Decision{Verdict: Full, Wait: b.relief()}
	case !ok:
		return Decision{Verdict: Pass}
	}
	return Decision{Verdict: Run, Ref: Ref{slot, b.entries[slot].turn}}
}

// End tells how a run ended. body is what a served one was answered, of size bytes; it is kept if it fits.
func (b *Book) End(now float64, ref Ref, how End, body any, size int) {
	b.at(now)
	e := b.find(ref)
	if e == nil || e.state != running {
		return
	}
	b.pin(ref.slot, -1)
	under := &b.lanes[e.lane]
	switch how {
	case EndNotRun:
		b.drop(ref.slot)
		return
	case EndInDoubt:
		e.state, e.expires = doubt, b.now+under.Doubt
	default:
		e.state, e.expires = spent, b.now+under.Answered
		if size <= b.set.Bytes {
			for b.counts.Bytes+size > b.set.Bytes {
				b.strip(b.bodies.first)
				b.counts.BodiesPushedOut++
			}
			e.state, e.body, e.size = answered, body, int32(size)
			b.counts.Bytes += size
			b.pushBody(ref.slot)
		}
	}
	b.pushEnd(ref.slot)
	b.pin(ref.slot, 1)
	b.expire() // a window may be 0
}

// Known is an entry as it was before a restart.
type Known struct {
	Call
	Running bool    // at the end of the process: it may have run
	Served  bool    // else it may have run
	Age     float64 // ms since it ended; one below 0, as after a clock was set back, counts as 0
	Body    any     // of a served one, of Size bytes; nil = not kept
	Size    int
}

// Restore takes an entry from before a restart. It tells whether there was room; a name that is known stays as it is.
func (b *Book) Restore(now float64, k Known) bool {
	b.at(now)
	if _, known := b.index[k.Name]; known {
		return true
	}
	slot, ok := b.begin(k.Call)
	if !ok {
		return false
	}
	how, age := EndInDoubt, max(0, k.Age)
	if k.Running {
		age = 0
	} else if k.Served {
		how = EndServed
	}
	size := k.Size
	if k.Body == nil {
		size = b.set.Bytes + 1
	}
	b.now -= age // its window counts from its end
	b.End(b.now, Ref{slot, b.entries[slot].turn}, how, k.Body, size)
	b.now += age
	b.expire()
	return true
}

// Resume takes an entry of a call that runs still, in another process, and gives its Ref for End. It tells whether there was room; a
// name that is known stays as it is, and has none.
func (b *Book) Resume(now float64, c Call) (Ref, bool) {
	b.at(now)
	if _, known := b.index[c.Name]; known {
		return Ref{}, false
	}
	slot, ok := b.begin(c)
	if !ok {
		return Ref{}, false
	}
	return Ref{slot, b.entries[slot].turn}, true
}

// begin makes an entry of a call that runs, if there is room for it.
func (b *Book) begin(c Call) (slot int32, ok bool) {
	if c.Class < 0 || c.Class >= len(b.set.Classes) {
		return 0, false
	}
	at, ok := b.laneOf(c)
	if !ok || b.counts.Entries >= b.set.Entries && !b.pushOut() {
		return 0, false
	}
	b.lanes[at].names++
	slot = b.take()
	e := &b.entries[slot]
	e.name, e.print, e.class, e.tenant, e.state = c.Name, c.Print, uint8(c.Class), int32(c.Tenant), running
	e.lane = uint16(at)
	b.index[c.Name] = slot
	b.counts.Entries++
	b.pin(slot, 1)
	return slot, true
}

// laneOf finds or makes the lane that a call's name stands in; false = there is none left.
func (b *Book) laneOf(c Call) (at int, ok bool) {
	w := Windows{b.set.Classes[c.Class].Answered, b.set.Classes[c.Class].Doubt}
	if c.Windows != nil {
		w = *c.Windows
	}
	is := func(l *lane) bool { return int(l.class) == c.Class && l.Windows == w }
	if at = b.last[c.Class]; at < len(b.lanes) && is(&b.lanes[at]) {
		return at, true
	}
	unused := -1
	for at = range b.lanes {
		if l := &b.lanes[at]; is(l) {
			b.last[c.Class] = at
			return at, true
		} else if l.names == 0 {
			unused = at
		}
	}
	if unused < 0 {
		if len(b.lanes) >= mostLanes {
			return 0, false
		}
		unused = len(b.lanes)
		b.lanes = append(b.lanes, lane{})
	}
	b.lanes[unused] = lane{class: uint8(c.Class), Windows: w, known: queue{-1, -1}, open: queue{-1, -1}}
	b.last[c.Class] = unused
	return unused, true
}

// AddClass makes a further class, for a book whose classes are not all known when it is made, and gives its number. There may be
// 256.
func (b *Book) AddClass(c Class) (n int, ok bool) {
	if len(b.set.Classes) >= 256 {
		return 0, false
	}
	b.set.Classes = append(b.set.Classes[:len(b.set.Classes):len(b.set.Classes)], c)
	b.last = append(b.last, 0)
	return len(b.set.Classes) - 1, true
}

// Image gives every entry as Restore takes it, in an order in which a book that takes them all lets go of bodies as this one
// does. What runs stands at the end.
func (b *Book) Image() (list []Known) {
	windows, order := make([]Windows, len(b.lanes)), make([]int, len(b.lanes))
	for i := range b.lanes {
		windows[i], order[i] = b.lanes[i].Windows, i
	}
	slices.SortFunc(order, func(i, j int) int { // a book that took an image has its lanes in another order, and gives the same one
		a, b := &b.lanes[i], &b.lanes[j]
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.Answered, b.Answered), cmp.Compare(a.Doubt, b.Doubt))
	})
	known := func(e *entry) Known {
		w := &windows[e.lane]
		k := Known{Call: Call{e.name, e.print, int(e.class), int(e.tenant), w}, Running: e.state == running,
			Served: e.state == answered || e.state == spent, Body: e.body, Size: int(e.size)}
		switch {
		case e.state == doubt:
			k.Age = b.now - (e.expires - w.Doubt)
		case k.Served:
			k.Age = b.now - (e.expires - w.Answered)
		}
		return k
	}
	for slot := b.bodies.first; slot >= 0; slot = b.entries[slot].nextB {
		list = append(list, known(&b.entries[slot]))
	}
	for _, i := range order {
		for _, q := range []*queue{&b.lanes[i].known, &b.lanes[i].open} {
			for slot := q.first; slot >= 0; slot = b.entries[slot].next {
				if e := &b.entries[slot]; e.state != answered {
					list = append(list, known(e))
				}
			}
		}
	}
	for slot := range b.entries {
		if e := &b.entries[slot]; e.state == running {
			list = append(list, known(e))
		}
	}
	return list
}

// Next is when the next entry ends by itself; +Inf for never.
func (b *Book) Next() float64 {
	next := math.Inf(1)
	for i := range b.lanes {
		for _, first := range [...]int32{b.lanes[i].known.first, b.lanes[i].open.first} {
			if first >= 0 {
				next = min(next, b.entries[first].expires)
			}
		}
	}
	return next
}

// Tick lets go what has ended by now. Ask and End do the same; it is for times without calls.
func (b *Book) Tick(now float64) { b.at(now) }

// Counts tells what the Book holds.
func (b *Book) Counts() Counts { return b.counts }

// Held is how many entries of a tenant cannot be pushed out.
func (b *Book) Held(tenant int) int { return b.held[b.payer(tenant)] }

// at moves the time on, never back, and lets go what has ended.
func (b *Book) at(now float64) {
	if now > b.now {
		b.now = now
	}
	b.expire()
}

func (b *Book) expire() {
	for i := range b.lanes {
		for _, q := range [...]*queue{&b.lanes[i].known, &b.lanes[i].open} {
			for q.first >= 0 && b.entries[q.first].expires <= b.now {
				slot := q.first
				b.pin(slot, -1)
				b.drop(slot)
			}
		}
	}
}

// relief is how long it takes until a pinned entry ends.
func (b *Book) relief() float64 {
	if next := b.Next(); !math.IsInf(next, 1) {
		return max(1, next-b.now)
	}
	return 0
}

// payer is a tenant's place in held.
func (b *Book) payer(tenant int) int {
	if tenant < 0 || tenant >= b.set.Tenants {
		return b.set.Tenants
	}
	return tenant
}

// pin counts an entry in or out of those that cannot be pushed out, if it is one, and into its state's count.
func (b *Book) pin(slot int32, by int) {
	e := &b.entries[slot]
	switch e.state {
	case running:
		b.counts.Running += by
	case answered:
		b.counts.Answered += by
	case spent:
		b.counts.Spent += by
	case doubt:
		b.counts.Doubt += by
	}
	if b.pinned(e) {
		b.counts.Pinned += by
		b.held[b.payer(int(e.tenant))] += by
	}
}

func (b *Book) pinned(e *entry) bool { return e.state == running || b.set.Classes[e.class].Once }

// pushOut lets go of one entry that no rule holds, the one that would end first.
func (b *Book) pushOut() bool {
	victim := int32(-1)
	for i := range b.lanes {
		l := &b.lanes[i]
		if b.set.Classes[l.class].Once {
			continue
		}
		for _, first := range [...]int32{l.known.first, l.open.first} {
			if first >= 0 && (victim < 0 || b.entries[first].expires < b.entries[victim].expires) {
				victim = first
			}
		}
	}
	if victim < 0 {
		return false
	}
	b.pin(victim, -1)
	b.drop(victim)
	b.counts.NamesPushedOut++
	return true
}

// find gives the entry of a run, nil if it has ended.
func (b *Book) find(ref Ref) *entry {
	if ref.slot < 0 || int(ref.slot) >= len(b.entries) || b.entries[ref.slot].turn != ref.turn {
		return nil
	}
	return &b.entries[ref.slot]
}

// take gives an unused slot.
func (b *Book) take() int32 {
	if b.unused < 0 {
		b.entries = append(b.entries, entry{next: -1, prev: -1, nextB: -1, prevB: -1})
		return int32(len(b.entries) - 1)
	}
	slot := b.unused
	b.unused = b.entries[slot].next
	b.entries[slot].next = -1
	return slot
}

// drop forgets an entry that was counted out.
func (b *Book) drop(slot int32) {
	b.unlink(slot)
	e := &b.entries[slot]
	b.lanes[e.lane].names--
	delete(b.index, e.name)
	*e = entry{turn: e.turn + 1, next: b.unused, prev: -1, nextB: -1, prevB: -1}
	b.unused = slot
	b.counts.Entries--
}

// unlink takes an entry out of the queues, and its body away. It is counted out before.
func (b *Book) unlink(slot int32) {
	e := &b.entries[slot]
	switch e.state {
	case answered:
		b.popBody(slot)
		b.counts.Bytes -= int(e.size)
		e.body, e.size = nil, 0
		fallthrough
	case spent, doubt:
		b.popEnd(slot)
	}
}

// strip takes an answered entry's body away.
func (b *Book) strip(slot int32) {
	b.pin(slot, -1)
	e := &b.entries[slot]
	b.popBody(slot)
	b.counts.Bytes -= int(e.size)
	e.state, e.body, e.size = spent, nil, 0
	b.pin(slot, 1)
}

// endQueue is the queue that an entry's end stands in: within one, windows are the same, so that it is in order.
func (b *Book) endQueue(e *entry) *queue {
	if e.state == doubt {
		return &b.lanes[e.lane].open
	}
	return &b.lanes[e.lane].known
}

func (b *Book) pushEnd(slot int32) {
	e := &b.entries[slot]
	q := b.endQueue(e)
	after := q.last // but for restored ones it goes to the end
	for after >= 0 && b.entries[after].expires > e.expires {
		after = b.entries[after].prev
	}
	e.prev, e.next = after, q.first
	if after >= 0 {
		e.next = b.entries[after].next
		b.entries[after].next = slot
	} else {
		q.first = slot
	}
	if e.next >= 0 {
		b.entries[e.next].prev = slot
	} else {
		q.last = slot
	}
}

func (b *Book) popEnd(slot int32) {
	e := &b.entries[slot]
	q := b.endQueue(e)
	if e.prev >= 0 {
		b.entries[e.prev].next = e.next
	} else {
		q.first = e.next
	}
	if e.next >= 0 {
		b.entries[e.next].prev = e.prev
	} else {
		q.last = e.prev
	}
	e.next, e.prev = -1, -1
}

func (b *Book) pushBody(slot int32) {
	e := &b.entries[slot]
	e.prevB, e.nextB = b.bodies.last, -1
	if e.prevB >= 0 {
		b.entries[e.prevB].nextB = slot
	} else {
		b.bodies.first = slot
	}
	b.bodies.last = slot
}

func (b *Book) popBody(slot int32) {
	e := &b.entries[slot]
	if e.prevB >= 0 {
		b.entries[e.prevB].nextB = e.nextB
	} else {
		b.bodies.first = e.nextB
	}
	if e.nextB >= 0 {
		b.entries[e.nextB].prevB = e.prevB
	} else {
		b.bodies.last = e.prevB
	}
	e.nextB, e.prevB = -1, -1
}
