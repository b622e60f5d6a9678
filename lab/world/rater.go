package world

import "math"

// Attempt is a request that has reached a rater, whole.
type Attempt struct {
	Tag      uint64  // the caller's; comes back in every event
	Request  uint64  // id of the try, as Req-Id names it; draws the attempt's luck
	Key      uint64  // 0 = none
	Deadline float64 // when its time is up; +Inf or 0 = not told
	Work     float64 // of this very attempt, ms of a yardstick core; see Day.Cost
	Wait     float64
	Again    float64 // share of the work that it still costs if the key's repeat is dropped; see DayClass.RepeatWork
	Luck     uint64  // draws its error; see Day.Cost
	Probe    bool
}

// Ticket names an attempt that a rater holds. The zero Ticket names none.
type Ticket uint64

// What is the kind of an event of a rater.
type What uint8

// The kinds. Each attempt gets Began at most once, and then exactly one of the others; after Turned it never ran.
// While a rater stands still nothing of it is told; what ends it (End) drops all attempts without a word: those that
// the caller has heard nothing of are reset.
const (
	Began    What = iota // work on it has begun: it has run from now on
	Answered             // served
	Failed               // an error, having run
	Turned               // turned away: it never ran and never will
	Stopped              // its cancel stopped it
	Warm                 // the rater is warm (Tag 0)
	Fell                 // the rater fell over, cold and sent too much (Tag 0); it is down
)

// Event is something that a rater did.
type Event struct {
	At   float64
	Tag  uint64
	What What
	Why  Why // with Turned
}

// Why tells why an attempt was turned away.
type Why uint8

// The reasons.
const (
	NoReason Why = iota
	RoomFull
	IsDraining
	IsOverdue   // its time was up before it began
	ProbesFull  // too many probes at once
	IsCancelled // it was cancelled while it waited
)

// Mode is whether a rater's process runs.
type Mode uint8

// The modes.
const (
	Up Mode = iota
	DrainingMode
	Down   // connections are refused
	Hidden // nothing comes back, and what it holds goes on unseen
)

var inf = math.Inf(1)

// Keys remembers which keys have been seen. All raters of a day share one; on sockets it needs a lock round it.
type Keys interface {
	// Begin tells whether work on this key began less than its time to live ago, and notes that it begins now.
	Begin(now float64, key uint64) (repeat bool)
}

const (
	phaseFree = iota
	phaseUnread
	phaseWaiting
	phaseCPU
	phaseIO
)

type job struct {
	Attempt
	phase  uint8
	hidden bool // a handshake: nobody is told
	noSlot bool
	gen    uint32
	pos    int32 // in its heap
}

// Rater is one rater as an event-driven machine. Work is shared evenly among the requests that run: each of n gets
// min(1, cores/n) of a core. A request holds a slot while it computes and then while it waits for others.
//
// Each call first advances the rater to its time; times must not go back. Events come out through the function given to
// [NewRater], in order, each with the time at which it happened, which may lie before the call's. That function must not
// call the rater.
type Rater struct {
	spec *RaterSpec
	emit func(Event)
	keys Keys

	now     float64
	mode    Mode
	frozen  int // troubles that make it stand still
	slow    []factor
	shared  []factor
	errors  []factor
	slowed  float64 // product of slow and shared
	sharedN float64 // product of shared
	errRate float64

	jobs    []job
	free    []int32
	cpu, io heap
	v, w    float64 // work done by each that computes, time waited by each that waits
	rate    float64 // of v, while it does not stand still
	waitq   ring
	unread  ring
	held    int // slots taken
	probes  int
	conns   int

	share    float64 // of its capacity, below 1 while it is cold
	coldStep float64 // when the share is worked out again; +Inf when warm
	coldLast float64
	coldWork float64 // done since then
	sent     window  // work that reached it while cold

	next float64
}

type factor struct {
	trouble int
	size    float64
}

// NewRater makes a rater whose process is down; Start starts it. keys may be nil.
func NewRater(spec *RaterSpec, keys Keys, emit func(Event)) *Rater {
	r := &Rater{spec: spec, keys: keys, emit: emit, mode: Down, slowed: 1, sharedN: 1, errRate: spec.Errors,
		share: 1, coldStep: inf, next: inf, jobs: make([]job, 1)}
	r.cpu.jobs, r.io.jobs = &r.jobs, &r.jobs
	return r
}

// Spec gives the truth about it.
func (r *Rater) Spec() *RaterSpec { return r.spec }

// Mode tells whether its process runs.
func (r *Rater) Mode() Mode { return r.mode }

// Frozen tells whether it stands still.
func (r *Rater) Frozen() bool { return r.frozen > 0 }

// Share is the part of its capacity that it has at this moment: below 1 while it is cold.
func (r *Rater) Share() float64 { return r.share }

// Held is the number of requests that run.
func (r *Rater) Held() int { return r.held }

// Waiting is the number of requests in the waiting room.
func (r *Rater) Waiting() int { return r.waitq.len() }

// Conns is the number of connections.
func (r *Rater) Conns() int { return r.conns }

// Ability is the work that it does in a millisecond if enough requests run now, in yardstick cores: what a balancer
// that saw everything would go by. 0 while it is down or stands still.
func (r *Rater) Ability() float64 {
	if r.frozen > 0 || r.mode >= Down {
		return 0
	}
	return r.ability()
}

// Backlog is the work that it holds, running and waiting, in ms of a yardstick core.
func (r *Rater) Backlog() float64 {
	sum := 0.0
	for _, it := range r.cpu.items {
		sum += it.at - r.v
	}
	for i := range r.waitq.len() {
		sum += r.jobs[r.waitq.at(i)].Work
	}
	return sum
}

func (r *Rater) ability() float64 {
	f := r.spec.Capacity() * r.share / r.slowed
	if r.conns > 0 && r.spec.Conns > 0 {
		f *= 1 - r.spec.FullTax*min(1, float64(r.conns)/float64(r.spec.Conns))
	}
	if r.spec.Crowd > 0 {
		if over := float64(r.held)/float64(r.spec.Cores) - r.spec.CrowdAt; over > 0 {
			f /= 1 + r.spec.Crowd*over
		}
	}
	return f
}

// Next is when it wants to be advanced; +Inf if nothing will happen by itself.
func (r *Rater) Next() float64 { return r.next }

// Advance lets all happen that happens until now.
func (r *Rater) Advance(now float64) {
	for r.next <= now {
		r.happen(r.next)
	}
	r.pass(now)
}

// pass lets time pass in which nothing happens.
func (r *Rater) pass(now float64) {
	dt := now - r.now
	if dt <= 0 {
		return
	}
	r.now = now
	if r.frozen > 0 || r.mode >= Down {
		return
	}
	if n := len(r.cpu.items); n > 0 {
		r.v += dt * r.rate
		r.coldWork += dt * r.rate * float64(n)
	}
	if len(r.io.items) > 0 {
		r.w += dt / r.sharedN
	}
}

// happen does the one thing that is due at time t = r.next.
func (r *Rater) happen(t float64) {
	cpu, io := r.due()
	r.pass(t)
	switch {
	case r.coldStep <= t:
		r.warm()
	case cpu <= io:
		it := r.cpu.pop()
		r.v = max(r.v, it.at)
		j := &r.jobs[it.job]
		if j.Wait > 0 {
			j.phase = phaseIO
			if len(r.io.items) == 0 {
				r.w = 0
			}
			r.io.push(r.w+j.Wait, it.job)
		} else {
			r.finish(it.job)
		}
	default:
		it := r.io.pop()
		r.w = max(r.w, it.at)
		r.finish(it.job)
	}
	r.plan()
}

// due tells when the first request has computed and the first has waited.
func (r *Rater) due() (cpu, io float64) {
	cpu, io = inf, inf
	if len(r.cpu.items) > 0 {
		cpu = r.now + max(0, r.cpu.items[0].at-r.v)/r.rate
	}
	if len(r.io.items) > 0 {
		io = r.now + max(0, r.io.items[0].at-r.w)*r.sharedN
	}
	return cpu, io
}

// plan works out the rate and the next time after a change.
func (r *Rater) plan() {
	r.next = inf
	if r.frozen > 0 || r.mode >= Down {
		return
	}
	if n := len(r.cpu.items); n > 0 {
		r.rate = r.ability() / float64(max(n, r.spec.Cores))
	} else {
		r.v = 0
	}
	cpu, io := r.due()
	r.next = min(cpu, io, r.coldStep)
}

func (r *Rater) finish(id int32) {
	j := &r.jobs[id]
	what := Answered
	if !j.Probe && r.errRate > 0 && unit(mix(j.Luck^r.spec.Seed)) < r.errRate {
		what = Failed
	}
	r.leave(j)
	if !j.hidden {
		r.emit(Event{At: r.now, Tag: j.Tag, What: what})
	}
	r.drop(id)
	r.pull()
}

// leave gives the slot back.
func (r *Rater) leave(j *job) {
	if !j.noSlot {
		r.held--
	}
	if j.Probe {
		r.probes--
	}
}

// pull begins what waits, while there are slots.
func (r *Rater) pull() {
	for r.held < r.spec.Slots && r.waitq.len() > 0 {
		id := r.waitq.pop()
		j := &r.jobs[id]
		if r.overdue(j) {
			r.turn(id, IsOverdue)
			continue
		}
		r.begin(id)
	}
}

func (r *Rater) overdue(j *job) bool { return j.Deadline > 0 && j.Deadline < r.now && !r.spec.Overdue }

func (r *Rater) begin(id int32) {
	j := &r.jobs[id]
	j.phase = phaseCPU
	if !j.noSlot {
		r.held++
	}
	work := j.Work
	if j.Key != 0 && r.keys != nil && r.keys.Begin(r.now, j.Key) {
		work *= j.Again
	}
	r.cpu.push(r.v+work, id)
	if !j.hidden {
		r.emit(Event{At: r.now, Tag: j.Tag, What: Began})
	}
}

func (r *Rater) turn(id int32, why Why) {
	j := &r.jobs[id]
	if j.Probe && why != ProbesFull {
		r.probes--
	}
	if !j.hidden {
		r.emit(Event{At: r.now, Tag: j.Tag, What: Turned, Why: why})
	}
	r.drop(id)
}

func (r *Rater) take(a Attempt) int32 {
	if n := len(r.free); n > 0 {
		id := r.free[n-1]
		r.free = r.free[:n-1]
		r.jobs[id] = job{Attempt: a, gen: r.jobs[id].gen + 1}
		return id
	}
	r.jobs = append(r.jobs, job{Attempt: a, gen: 1})
	return int32(len(r.jobs) - 1)
}

func (r *Rater) drop(id int32) {
	r.jobs[id].phase = phaseFree
	r.free = append(r.free, id)
}

// Offer hands over an attempt whose last byte has come. The process must be up or draining: whoever calls looks at
// Mode, for what is sent to a rater that is down or hidden reaches nobody.
func (r *Rater) Offer(now float64, a Attempt) Ticket {
	r.Advance(now)
	if r.mode >= Down {
		return 0
	}
	id := r.take(a)
	t := Ticket(uint64(r.jobs[id].gen)<<32 | uint64(id))
	if r.frozen > 0 {
		r.jobs[id].phase = phaseUnread
		r.unread.push(id)
		return t
	}
	r.accept(id)
	r.plan()
	return t
}

func (r *Rater) accept(id int32) {
	j := &r.jobs[id]
	if r.reached(j.Work) {
		return // it fell, and everything with it
	}
	if j.Probe {
		if r.probes >= r.spec.ProbeCap {
			r.turn(id, ProbesFull)
			return
		}
		r.probes++
		if !r.spec.ProbeDeep {
			j.noSlot = true
			r.begin(id)
			return
		}
	}
	switch {
	case r.mode == DrainingMode:
		r.turn(id, IsDraining)
	case r.overdue(j):
		r.turn(id, IsOverdue)
	case r.held < r.spec.Slots && r.waitq.len() == 0:
		r.begin(id)
	case r.waitq.len() < r.spec.Room:
		j.phase = phaseWaiting
		r.waitq.push(id)
	default:
		r.turn(id, RoomFull)
	}
}

// Cancel says that nobody waits for an attempt any more. What that changes depends on the kind of machine; where it
// changes nothing the attempt goes on, and its events come as ever.
func (r *Rater) Cancel(now float64, t Ticket) {
	r.Advance(now)
	id := int32(uint32(t))
	if id <= 0 || int(id) >= len(r.jobs) || r.jobs[id].gen != uint32(t>>32) {
		return
	}
	j := &r.jobs[id]
	switch {
	case r.spec.Cancel == CancelNothing:
	case j.phase == phaseWaiting:
		r.waitq.remove(id)
		r.turn(id, IsCancelled)
	case r.spec.Cancel == CancelAll && (j.phase == phaseCPU || j.phase == phaseIO):
		if j.phase == phaseCPU {
			r.cpu.remove(j.pos)
		} else {
			r.io.remove(j.pos)
		}
		r.leave(j)
		r.emit(Event{At: r.now, Tag: j.Tag, What: Stopped})
		r.drop(id)
		r.pull()
	}
	r.plan()
}

// Dial is what became of a connection.
type Dial uint8

// The ends of a dial.
const (
	Connected Dial = iota
	Rejected       // refused: no process, or too many connections
	Silent         // nothing comes back
)

// Connect opens a connection and charges its handshake.
func (r *Rater) Connect(now float64) Dial {
	r.Advance(now)
	switch {
	case r.mode == Hidden:
		return Silent
	case r.mode == Down, r.conns >= r.spec.Conns:
		return Rejected
	}
	r.conns++
	if w := r.spec.HandshakeWork; w > 0 {
		id := r.take(Attempt{Work: w})
		r.jobs[id].hidden, r.jobs[id].noSlot, r.jobs[id].phase = true, true, phaseCPU
		if !r.reached(w) {
			r.cpu.push(r.v+w, id)
		}
	}
	r.plan()
	if r.mode != Up && r.mode != DrainingMode {
		return Rejected
	}
	return Connected
}

// Disconnect closes a connection. Those of a process that ended are gone with it.
func (r *Rater) Disconnect(now float64) {
	r.Advance(now)
	r.conns = max(0, r.conns-1)
	r.plan()
}

// reached counts work that reaches the rater while it is cold, and lets it fall over when that was too much.
func (r *Rater) reached(work float64) (fell bool) {
	if r.share >= 1 || r.spec.FallMultiple <= 0 {
		return false
	}
	r.sent.add(r.now, work, r.spec.FallTime)
	if r.sent.sum <= r.spec.FallMultiple*(1+r.spec.FallSlack)*r.spec.Capacity()*r.share*r.spec.FallTime {
		return false
	}
	r.End(r.now, Down)
	r.emit(Event{At: r.now, What: Fell})
	return true
}

// warm works out the share of its capacity again.
func (r *Rater) warm() {
	s := r.spec
	gain := (r.now - r.coldLast) / s.ColdTime
	if s.WarmBy == WarmByWork {
		gain = max(gain, r.coldWork/(warmWork*s.Capacity()*s.ColdTime))
	}
	r.share = min(1, r.share+gain*(1-s.ColdFrom))
	r.coldLast, r.coldWork = r.now, 0
	r.coldStep = r.now + s.ColdTime/coldSteps
	if r.share >= 1-1e-9 {
		r.share, r.coldStep = 1, inf
		r.sent = window{}
		r.emit(Event{At: r.now, What: Warm})
	}
}

const (
	coldSteps = 256 // in which the share of its capacity rises
	// A rater that warms by work is warm when it has done this share of what it could do, warm, in its cold time.
	warmWork = 0.3
)

// Start starts its process, with this share of its capacity; 1 is warm. What a process before had is gone.
func (r *Rater) Start(now, share float64) {
	r.End(now, Down)
	r.mode, r.share = Up, share
	r.coldStep = inf
	if share < 1 {
		r.coldLast, r.coldWork = now, 0
		r.coldStep = now + r.spec.ColdTime/coldSteps
	}
	r.plan()
}

// Drain lets it finish what it has and turn away what comes.
func (r *Rater) Drain(now float64) {
	r.Advance(now)
	if r.mode == Up {
		r.mode = DrainingMode
	}
}

// End ends its process: Down, where connections are reset and new ones refused, or Hidden, where nothing is heard of it
// any more. All that it held is lost; nothing is told of it.
func (r *Rater) End(now float64, m Mode) {
	r.Advance(now)
	r.mode, r.held, r.probes, r.conns, r.v, r.w = m, 0, 0, 0, 0, 0
	r.cpu.items, r.io.items = r.cpu.items[:0], r.io.items[:0]
	r.waitq.clear()
	r.unread.clear()
	r.free = r.free[:0]
	for i := len(r.jobs) - 1; i > 0; i-- {
		r.jobs[i].phase = phaseFree
		r.free = append(r.free, int32(i))
	}
	r.share, r.coldStep, r.sent = 1, inf, window{}
	r.plan()
}

// Do carries out a step of the plan that is about the rater itself.
func (r *Rater) Do(now float64, s Step) {
	switch s.Do {
	case StartRater:
		r.Start(now, s.Size)
	case DrainRater:
		r.Drain(now)
	case EndRater:
		r.End(now, Down)
	case HideRater:
		r.End(now, Hidden)
	case SetSlow:
		r.Advance(now)
		r.slow = set(r.slow, s)
	case SetShared:
		r.Advance(now)
		r.shared = set(r.shared, s)
	case SetErrors:
		r.Advance(now)
		r.errors = set(r.errors, s)
	case Freeze:
		r.Advance(now)
		r.frozen++
	case Thaw:
		r.Advance(now)
		r.frozen = max(0, r.frozen-1)
		for n := r.unread.len(); n > 0 && r.frozen == 0 && r.unread.len() > 0; n-- {
			r.accept(r.unread.pop())
		}
	}
	r.sharedN = product(r.shared)
	r.slowed = r.sharedN * product(r.slow)
	right := 1 - r.spec.Errors
	for _, f := range r.errors {
		right *= 1 - f.size
	}
	r.errRate = 1 - right
	r.plan()
}

// set lays a trouble's factor over those of others, or takes it away: with a size of 1, or 0 where it is a rate.
func set(fs []factor, s Step) []factor {
	for i, f := range fs {
		if f.trouble == s.Trouble {
			fs = append(fs[:i], fs[i+1:]...)
			break
		}
	}
	if s.Do == SetErrors && s.Size == 0 || s.Do != SetErrors && s.Size == 1 {
		return fs
	}
	return append(fs, factor{s.Trouble, s.Size})
}

func product(fs []factor) float64 {
	p := 1.0
	for _, f := range fs {
		p *= f.size
	}
	return p
}
