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
// at most maxLanes at once, and one is free again when its last name has gone. A call for whose windows there is no lane any more
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
	slot       int32
	generation uint32
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
	stateFree state = iota
	stateRunning
	stateAnswered // with its body
	stateExecuted // without
	stateInDoubt
)

// entry is what is known of one name. It is one of three lists at most: of its end, of bodies.
type entry struct {
	key                Name
	fingerprint        Print
	body               any
	expires            float64
	size               int32
	tenant             int32
	next, prev         int32 // in the queue of those that end in order
	nextBody, prevBody int32 // in the queue of bodies
	generation         uint32
	lane               uint16
	class              uint8
	state              state
}

// EntryBytes bounds the memory of one entry with its place in the index, measured by this package's test.
const EntryBytes = 192

// lane holds the names of one class and the same windows: within each of its queues they end in order.
type lane struct {
	class uint8
	Windows
	keys              int
	executed, inDoubt queue // answered or spent; in doubt
}

// maxLanes bounds them.
const maxLanes = 1024

// queue is a list through the entries' next and prev, or nextBody and prevBody; -1 ends it.
type queue struct{ head, tail int32 }

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
	config         Settings
	now            float64
	index          map[Name]int32
	entries        []entry
	freeHead       int32 // first of the free ones, through next
	lanes          []lane
	lastLane       []int // by class: the lane of its last name
	bodies         queue
	pinnedByTenant []int // pinned entries by tenant, the last for calls of none
	counts         Counts
}

// New makes an empty Book.
func New(config Settings) (*Book, error) {
	invalid := func(field, format string, args ...any) (*Book, error) {
		return nil, &FieldError{field, fmt.Sprintf(format, args...)}
	}
	switch {
	case len(config.Classes) == 0 || len(config.Classes) > 256:
		return invalid("classes", "%d, want 1 to 256", len(config.Classes))
	case config.Entries < 1 || config.Entries > math.MaxInt32/2:
		return invalid("entries", "%d, want 1 to %d", config.Entries, math.MaxInt32/2)
	case config.Bytes < 0:
		return invalid("bytes", "%d is negative", config.Bytes)
	case config.Tenants < 0:
		return invalid("tenants", "%d is negative", config.Tenants)
	case !(config.Alpha > 0):
		return invalid("alpha", "%g is not above 0", config.Alpha)
	}
	for i, c := range config.Classes {
		if !(c.Answered >= 0) || !(c.Doubt >= 0) || math.IsInf(c.Answered, 1) || math.IsInf(c.Doubt, 1) {
			return invalid(fmt.Sprintf("classes[%d]", i), "windows of %g and %g ms", c.Answered, c.Doubt)
		}
	}
	return &Book{config: config, now: math.Inf(-1), index: map[Name]int32{}, freeHead: -1, bodies: queue{-1, -1},
		pinnedByTenant: make([]int, config.Tenants+1), lastLane: make([]int, len(config.Classes))}, nil
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
	b.advance(now)
	d := b.decide(c)
	b.counts.Verdicts[d.Verdict]++
	return d
}

func (b *Book) decide(c Call) Decision {
	slot, known := b.index[c.Name]
	if !known {
		return b.admit(c)
	}
	if d := b.Peek(c); d.Verdict != Run {
		return d
	}
	// It may have run, and a repeat does no harm.
	e := &b.entries[slot]
	b.addToCounts(slot, -1)
	b.unlink(slot)
	if at, ok := b.findLane(c); ok { // it begins anew
		b.lanes[e.lane].keys--
		b.lanes[at].keys++
		e.lane = uint16(at)
	}
	e.state = stateRunning
	e.generation++
	b.addToCounts(slot, 1)
	return Decision{Verdict: Run, Ref: Ref{slot, e.generation}}
}

// Peek tells what Ask would say, and changes nothing. A name that is not known may Run.
func (b *Book) Peek(c Call) Decision {
	slot, known := b.index[c.Name]
	if !known {
		return Decision{Verdict: Run}
	}
	e := &b.entries[slot]
	once := b.config.Classes[e.class].Once
	switch {
	case e.fingerprint != c.Print || int(e.class) != c.Class:
		return Decision{Verdict: Mismatch}
	case e.state == stateRunning:
		return Decision{Verdict: Join, Ref: Ref{slot, e.generation}}
	case e.state == stateAnswered:
		return Decision{Verdict: Replay, Body: e.body}
	case e.state == stateExecuted && once:
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
	once := b.config.Classes[c.Class].Once
	if room := b.config.Entries - b.counts.Pinned; once && float64(b.pinnedByTenant[b.tenantIndex(c.Tenant)]) >= b.config.Alpha*float64(room) {
		return Decision{Verdict: Full, Wait: b.retryAfter()}
	}
	slot, ok := b.insert(c)
	switch {
	case !ok && once:
		return Decision{Verdict: Full, Wait: b.retryAfter()}
	case !ok:
		return Decision{Verdict: Pass}
	}
	return Decision{Verdict: Run, Ref: Ref{slot, b.entries[slot].generation}}
}

// End tells how a run ended. body is what a served one was answered, of size bytes; it is kept if it fits.
func (b *Book) End(now float64, ref Ref, outcome End, body any, size int) {
	b.advance(now)
	e := b.lookup(ref)
	if e == nil || e.state != stateRunning {
		return
	}
	b.addToCounts(ref.slot, -1)
	under := &b.lanes[e.lane]
	switch outcome {
	case EndNotRun:
		b.remove(ref.slot)
		return
	case EndInDoubt:
		e.state, e.expires = stateInDoubt, b.now+under.Doubt
	default:
		e.state, e.expires = stateExecuted, b.now+under.Answered
		if size <= b.config.Bytes {
			for b.counts.Bytes+size > b.config.Bytes {
				b.dropBody(b.bodies.head)
				b.counts.BodiesPushedOut++
			}
			e.state, e.body, e.size = stateAnswered, body, int32(size)
			b.counts.Bytes += size
			b.enqueueBody(ref.slot)
		}
	}
	b.enqueueExpiry(ref.slot)
	b.addToCounts(ref.slot, 1)
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
	b.advance(now)
	if _, known := b.index[k.Name]; known {
		return true
	}
	slot, ok := b.insert(k.Call)
	if !ok {
		return false
	}
	outcome, age := EndInDoubt, max(0, k.Age)
	if k.Running {
		age = 0
	} else if k.Served {
		outcome = EndServed
	}
	size := k.Size
	if k.Body == nil {
		size = b.config.Bytes + 1
	}
	b.now -= age // its window counts from its end
	b.End(b.now, Ref{slot, b.entries[slot].generation}, outcome, k.Body, size)
	b.now += age
	b.expire()
	return true
}

// Resume takes an entry of a call that runs still, in another process, and gives its Ref for End. It tells whether there was room; a
// name that is known stays as it is, and has none.
func (b *Book) Resume(now float64, c Call) (Ref, bool) {
	b.advance(now)
	if _, known := b.index[c.Name]; known {
		return Ref{}, false
	}
	slot, ok := b.insert(c)
	if !ok {
		return Ref{}, false
	}
	return Ref{slot, b.entries[slot].generation}, true
}

// insert makes an entry of a call that runs, if there is room for it.
func (b *Book) insert(c Call) (slot int32, ok bool) {
	if c.Class < 0 || c.Class >= len(b.config.Classes) {
		return 0, false
	}
	at, ok := b.findLane(c)
	if !ok || b.counts.Entries >= b.config.Entries && !b.evictOne() {
		return 0, false
	}
	b.lanes[at].keys++
	slot = b.allocate()
	e := &b.entries[slot]
	e.key, e.fingerprint, e.class, e.tenant, e.state = c.Name, c.Print, uint8(c.Class), int32(c.Tenant), stateRunning
	e.lane = uint16(at)
	b.index[c.Name] = slot
	b.counts.Entries++
	b.addToCounts(slot, 1)
	return slot, true
}

// findLane finds or makes the lane that a call's name stands in; false = there is none left.
func (b *Book) findLane(c Call) (at int, ok bool) {
	w := Windows{b.config.Classes[c.Class].Answered, b.config.Classes[c.Class].Doubt}
	if c.Windows != nil {
		w = *c.Windows
	}
	is := func(l *lane) bool { return int(l.class) == c.Class && l.Windows == w }
	if at = b.lastLane[c.Class]; at < len(b.lanes) && is(&b.lanes[at]) {
		return at, true
	}
	unused := -1
	for at = range b.lanes {
		if l := &b.lanes[at]; is(l) {
			b.lastLane[c.Class] = at
			return at, true
		} else if l.keys == 0 {
			unused = at
		}
	}
	if unused < 0 {
		if len(b.lanes) >= maxLanes {
			return 0, false
		}
		unused = len(b.lanes)
		b.lanes = append(b.lanes, lane{})
	}
	b.lanes[unused] = lane{class: uint8(c.Class), Windows: w, executed: queue{-1, -1}, inDoubt: queue{-1, -1}}
	b.lastLane[c.Class] = unused
	return unused, true
}

// AddClass makes a further class, for a book whose classes are not all known when it is made, and gives its number. There may be
// 256.
func (b *Book) AddClass(c Class) (n int, ok bool) {
	if len(b.config.Classes) >= 256 {
		return 0, false
	}
	b.config.Classes = append(b.config.Classes[:len(b.config.Classes):len(b.config.Classes)], c)
	b.lastLane = append(b.lastLane, 0)
	return len(b.config.Classes) - 1, true
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
		k := Known{Call: Call{e.key, e.fingerprint, int(e.class), int(e.tenant), w}, Running: e.state == stateRunning,
			Served: e.state == stateAnswered || e.state == stateExecuted, Body: e.body, Size: int(e.size)}
		switch {
		case e.state == stateInDoubt:
			k.Age = b.now - (e.expires - w.Doubt)
		case k.Served:
			k.Age = b.now - (e.expires - w.Answered)
		}
		return k
	}
	for slot := b.bodies.head; slot >= 0; slot = b.entries[slot].nextBody {
		list = append(list, known(&b.entries[slot]))
	}
	for _, i := range order {
		for _, q := range []*queue{&b.lanes[i].executed, &b.lanes[i].inDoubt} {
			for slot := q.head; slot >= 0; slot = b.entries[slot].next {
				if e := &b.entries[slot]; e.state != stateAnswered {
					list = append(list, known(e))
				}
			}
		}
	}
	for slot := range b.entries {
		if e := &b.entries[slot]; e.state == stateRunning {
			list = append(list, known(e))
		}
	}
	return list
}

// Next is when the next entry ends by itself; +Inf for never.
func (b *Book) Next() float64 {
	next := math.Inf(1)
	for i := range b.lanes {
		for _, first := range [...]int32{b.lanes[i].executed.head, b.lanes[i].inDoubt.head} {
			if first >= 0 {
				next = min(next, b.entries[first].expires)
			}
		}
	}
	return next
}

// Tick lets go what has ended by now. Ask and End do the same; it is for times without calls.
func (b *Book) Tick(now float64) { b.advance(now) }

// Counts tells what the Book holds.
func (b *Book) Counts() Counts { return b.counts }

// Held is how many entries of a tenant cannot be pushed out.
func (b *Book) Held(tenant int) int { return b.pinnedByTenant[b.tenantIndex(tenant)] }

// advance moves the time on, never back, and lets go what has ended.
func (b *Book) advance(now float64) {
	if now > b.now {
		b.now = now
	}
	b.expire()
}

func (b *Book) expire() {
	for i := range b.lanes {
		for _, q := range [...]*queue{&b.lanes[i].executed, &b.lanes[i].inDoubt} {
			for q.head >= 0 && b.entries[q.head].expires <= b.now {
				slot := q.head
				b.addToCounts(slot, -1)
				b.remove(slot)
			}
		}
	}
}

// retryAfter is how long it takes until a pinned entry ends.
func (b *Book) retryAfter() float64 {
	if next := b.Next(); !math.IsInf(next, 1) {
		return max(1, next-b.now)
	}
	return 0
}

// tenantIndex is a tenant's place in held.
func (b *Book) tenantIndex(tenant int) int {
	if tenant < 0 || tenant >= b.config.Tenants {
		return b.config.Tenants
	}
	return tenant
}

// addToCounts counts an entry in or out of those that cannot be pushed out, if it is one, and into its state's count.
func (b *Book) addToCounts(slot int32, delta int) {
	e := &b.entries[slot]
	switch e.state {
	case stateRunning:
		b.counts.Running += delta
	case stateAnswered:
		b.counts.Answered += delta
	case stateExecuted:
		b.counts.Spent += delta
	case stateInDoubt:
		b.counts.Doubt += delta
	}
	if b.isPinned(e) {
		b.counts.Pinned += delta
		b.pinnedByTenant[b.tenantIndex(int(e.tenant))] += delta
	}
}

func (b *Book) isPinned(e *entry) bool {
	return e.state == stateRunning || b.config.Classes[e.class].Once
}

// evictOne lets go of one entry that no rule holds, the one that would end first.
func (b *Book) evictOne() bool {
	victim := int32(-1)
	for i := range b.lanes {
		l := &b.lanes[i]
		if b.config.Classes[l.class].Once {
			continue
		}
		for _, first := range [...]int32{l.executed.head, l.inDoubt.head} {
			if first >= 0 && (victim < 0 || b.entries[first].expires < b.entries[victim].expires) {
				victim = first
			}
		}
	}
	if victim < 0 {
		return false
	}
	b.addToCounts(victim, -1)
	b.remove(victim)
	b.counts.NamesPushedOut++
	return true
}

// lookup gives the entry of a run, nil if it has ended.
func (b *Book) lookup(ref Ref) *entry {
	if ref.slot < 0 || int(ref.slot) >= len(b.entries) || b.entries[ref.slot].generation != ref.generation {
		return nil
	}
	return &b.entries[ref.slot]
}

// allocate gives an unused slot.
func (b *Book) allocate() int32 {
	if b.freeHead < 0 {
		b.entries = append(b.entries, entry{next: -1, prev: -1, nextBody: -1, prevBody: -1})
		return int32(len(b.entries) - 1)
	}
	slot := b.freeHead
	b.freeHead = b.entries[slot].next
	b.entries[slot].next = -1
	return slot
}

// remove forgets an entry that was counted out.
func (b *Book) remove(slot int32) {
	b.unlink(slot)
	e := &b.entries[slot]
	b.lanes[e.lane].keys--
	delete(b.index, e.key)
	*e = entry{generation: e.generation + 1, next: b.freeHead, prev: -1, nextBody: -1, prevBody: -1}
	b.freeHead = slot
	b.counts.Entries--
}

// unlink takes an entry out of the queues, and its body away. It is counted out before.
func (b *Book) unlink(slot int32) {
	e := &b.entries[slot]
	switch e.state {
	case stateAnswered:
		b.dequeueBody(slot)
		b.counts.Bytes -= int(e.size)
		e.body, e.size = nil, 0
		fallthrough
	case stateExecuted, stateInDoubt:
		b.dequeueExpiry(slot)
	}
}

// dropBody takes an answered entry's body away.
func (b *Book) dropBody(slot int32) {
	b.addToCounts(slot, -1)
	e := &b.entries[slot]
	b.dequeueBody(slot)
	b.counts.Bytes -= int(e.size)
	e.state, e.body, e.size = stateExecuted, nil, 0
	b.addToCounts(slot, 1)
}

// expiryQueue is the queue that an entry's end stands in: within one, windows are the same, so that it is in order.
func (b *Book) expiryQueue(e *entry) *queue {
	if e.state == stateInDoubt {
		return &b.lanes[e.lane].inDoubt
	}
	return &b.lanes[e.lane].executed
}

func (b *Book) enqueueExpiry(slot int32) {
	e := &b.entries[slot]
	q := b.expiryQueue(e)
	after := q.tail // but for restored ones it goes to the end
	for after >= 0 && b.entries[after].expires > e.expires {
		after = b.entries[after].prev
	}
	e.prev, e.next = after, q.head
	if after >= 0 {
		e.next = b.entries[after].next
		b.entries[after].next = slot
	} else {
		q.head = slot
	}
	if e.next >= 0 {
		b.entries[e.next].prev = slot
	} else {
		q.tail = slot
	}
}

func (b *Book) dequeueExpiry(slot int32) {
	e := &b.entries[slot]
	q := b.expiryQueue(e)
	if e.prev >= 0 {
		b.entries[e.prev].next = e.next
	} else {
		q.head = e.next
	}
	if e.next >= 0 {
		b.entries[e.next].prev = e.prev
	} else {
		q.tail = e.prev
	}
	e.next, e.prev = -1, -1
}

func (b *Book) enqueueBody(slot int32) {
	e := &b.entries[slot]
	e.prevBody, e.nextBody = b.bodies.tail, -1
	if e.prevBody >= 0 {
		b.entries[e.prevBody].nextBody = slot
	} else {
		b.bodies.head = slot
	}
	b.bodies.tail = slot
}

func (b *Book) dequeueBody(slot int32) {
	e := &b.entries[slot]
	if e.prevBody >= 0 {
		b.entries[e.prevBody].nextBody = e.nextBody
	} else {
		b.bodies.head = e.nextBody
	}
	if e.nextBody >= 0 {
		b.entries[e.nextBody].prevBody = e.prevBody
	} else {
		b.bodies.tail = e.prevBody
	}
	e.nextBody, e.prevBody = -1, -1
}
