package routing

import (
	"math"
	"slices"
	"time"
)

// The figures of what is known of a rater's load.
const (
	readingLife   = 4 * time.Second        // after which a prompt counts as read, whatever was heard of it
	runningLife   = 10 * time.Second       // after which a stream counts as ended
	readingFloor  = 60 * time.Millisecond  // what a prompt that takes longer than expected is taken to need at the least
	newsDelay     = 120 * time.Millisecond // within which other nodes' news arrives
	paceMemory    = 2 * time.Second        // after which an answer's time weighs 1/e
	pacePrior     = 6.0                    // answers at the usual pace that are taken as seen
	paceMost      = 10.0                   // times the expected time that one answer counts as at the most
	paceLeast     = 0.5                    // and at the least
	overdueTimes  = 2.0                    // times its expected time after which a missing answer tells of the pace,
	silentTimes   = 6.0                    // and after which it counts as a failure,
	silentLeast   = time.Second            // but no sooner
	failureMemory = 3 * time.Second        // after which a failure weighs 1/e
	failurePrior  = 3.0                    // attempts without a failure that are taken as seen
	holdMemory    = 0.02                   // part of a stream's duration that goes into the learned one
	usualHold     = time.Second            // before any stream has ended
)

// openAttempt is an attempt whose first token has not come.
type openAttempt struct {
	attempt uint32
	tokens  float64
	sent    time.Duration
	nominal time.Duration // expected time to the first token at a rater of the usual pace
	alone   bool          // the rater had nothing else to read
	long    bool
	own     bool // this node's
}

// waited is how long the first token has certainly not come: of other nodes' attempts the news is late.
func (o *openAttempt) waited(now time.Duration) time.Duration {
	if o.own {
		return now - o.sent
	}
	return now - o.sent - newsDelay
}

// runningAttempt is a long answer whose first token has come.
type runningAttempt struct {
	attempt uint32
	sent    time.Duration
}

// backendLoad is what is known of one rater: its attempts under way and how its answers were of late.
type backendLoad struct {
	open    []openAttempt // in the order of their sending
	running []runningAttempt
	memory  float64 // in tokens, 0 = not known
	read    float64 // tokens that it was sent
	pace    decayed // expected and true times to the first token
	failing decayed // attempts and failures
	held    decayed // long answers, and those that were held up on their way
}

// decayed are two sums that fade.
type decayed struct {
	base, extra float64
	at          time.Duration
}

func (d *decayed) fade(now, memory time.Duration) {
	if now > d.at {
		keep := math.Exp(-float64(now-d.at) / float64(memory))
		d.base, d.extra, d.at = d.base*keep, d.extra*keep, now
	}
}

func (d *decayed) add(now, memory time.Duration, base, extra float64) {
	d.fade(now, memory)
	d.base += base
	d.extra += extra
}

// loads knows the load of all raters of a service from this node's attempts and from those that other nodes told of.
type loads struct {
	raters map[uint32]*backendLoad
	curve  readCurve
	hold   time.Duration // how long a long answer keeps its slot, learned
	parts  keptParts
}

func newLoads() *loads {
	return &loads{raters: map[uint32]*backendLoad{}, curve: newReadCurve(), hold: usualHold, parts: newKeptParts()}
}

func (l *loads) of(rater uint32) *backendLoad {
	load := l.raters[rater]
	if load == nil {
		load = &backendLoad{}
		l.raters[rater] = load
	}
	return load
}

// keeps tells which of the raters that were sent a shared part are likely to have it still.
func (l *loads) keeps(now time.Duration, part uint32) []uint32 {
	var raters []uint32
	if part == 0 {
		return nil
	}
	places := l.parts.places(part)
	for i := range places {
		load := l.raters[places[i].rater]
		if load != nil && places[i].kept(now, load.read, load.memory) {
			raters = append(raters, places[i].rater)
		}
	}
	return raters
}

// retain forgets the raters that have left.
func (l *loads) retain(present map[uint32]*member) {
	for rater := range l.raters {
		if present[rater] == nil {
			delete(l.raters, rater)
		}
	}
}

// take takes an event that happened at a time.
func (l *loads) take(now time.Duration, event *Event, own bool) {
	load := l.of(event.Backend)
	at := now - event.Age
	switch event.Kind {
	case EventSent:
		l.sent(at, load, event, own)
	case EventFirstToken:
		l.answered(now, load, event)
	case EventEnded, EventPaused:
		l.ended(now, load, event.Attempt, event.Kind == EventPaused)
	case EventFailed:
		load.failing.add(now, failureMemory, 1, 1)
		load.open = slices.DeleteFunc(load.open, func(o openAttempt) bool { return o.attempt == event.Attempt })
		load.running = slices.DeleteFunc(load.running, func(r runningAttempt) bool { return r.attempt == event.Attempt })
	}
}

func (l *loads) sent(at time.Duration, load *backendLoad, event *Event, own bool) {
	expected := l.wait(at, load) + l.reading(at, load, event.Tokens)
	entry := openAttempt{attempt: event.Attempt, tokens: event.Tokens, sent: at, alone: len(load.open) == 0, long: event.Long, own: own,
		nominal: time.Duration(float64(expected) / l.pace(at, load))}
	load.open = append(load.open, entry)
	load.read += event.Tokens
	l.parts.note(at, event.Prefix, event.Backend, load.read)
}

func (l *loads) answered(now time.Duration, load *backendLoad, event *Event) {
	i := slices.IndexFunc(load.open, func(o openAttempt) bool { return o.attempt == event.Attempt })
	if i < 0 {
		return
	}
	one := load.open[i]
	load.open = slices.Delete(load.open, i, i+1)
	if one.alone {
		l.curve.learn(one.tokens, event.TimeToFirstToken)
	}
	if one.nominal > 0 {
		nominal := one.nominal.Seconds()
		took := min(max(event.TimeToFirstToken.Seconds(), paceLeast*nominal), paceMost*nominal)
		load.pace.add(now, paceMemory, nominal, took)
	}
	load.failing.add(now, failureMemory, 1, 0)
	if one.long {
		load.running = append(load.running, runningAttempt{one.attempt, one.sent})
	}
}

func (l *loads) ended(now time.Duration, load *backendLoad, attempt uint32, paused bool) {
	load.open = slices.DeleteFunc(load.open, func(o openAttempt) bool { return o.attempt == attempt })
	i := slices.IndexFunc(load.running, func(r runningAttempt) bool { return r.attempt == attempt })
	if i < 0 {
		return
	}
	held := 0.0
	if paused {
		held = 1
	}
	load.held.add(now, failureMemory, 1, held)
	l.hold += time.Duration(holdMemory * float64(now-load.running[i].sent-l.hold))
	load.running = slices.Delete(load.running, i, i+1)
}

// pace is how many times slower than usual a rater answers. Answers that are overdue tell of it before they come.
func (l *loads) pace(now time.Duration, load *backendLoad) float64 {
	load.pace.fade(now, paceMemory)
	expected, took := load.pace.base, load.pace.extra
	for i := range load.open {
		one := &load.open[i]
		waited := one.waited(now)
		if float64(waited) > overdueTimes*float64(one.nominal) && one.nominal > 0 {
			expected += one.nominal.Seconds()
			took += min(waited.Seconds(), paceMost*one.nominal.Seconds())
		}
	}
	prior := pacePrior * l.curve.base.Seconds()
	return max(1, (took+prior)/(expected+prior))
}

// risk is the part of a rater's attempts that fail.
func (l *loads) risk(now time.Duration, load *backendLoad) float64 {
	load.failing.fade(now, failureMemory)
	attempts, failures := load.failing.base, load.failing.extra
	for i := range load.open {
		one := &load.open[i]
		if one.waited(now) > max(silentLeast, time.Duration(silentTimes*float64(one.nominal))) {
			attempts++
			failures++
		}
	}
	return failures / (attempts + failurePrior)
}

// pauses is the part of a rater's long answers that are held up on their way.
func (l *loads) pauses(now time.Duration, load *backendLoad) float64 {
	load.held.fade(now, failureMemory)
	return load.held.extra / (load.held.base + failurePrior)
}

// reading is how long a rater takes to the first token of a prompt once it has come to it.
func (l *loads) reading(now time.Duration, load *backendLoad, tokens float64) time.Duration {
	return time.Duration(l.pace(now, load) * float64(l.curve.base+l.curve.time(tokens)))
}

// wait is how long a rater is expected to be busy with the prompts that it has to read.
func (l *loads) wait(now time.Duration, load *backendLoad) time.Duration {
	load.open = slices.DeleteFunc(load.open, func(o openAttempt) bool { return now-o.sent > readingLife })
	pace := l.pace(now, load)
	var free time.Duration // when the rater is done with those before
	for _, one := range load.open {
		free = max(free, one.sent) + time.Duration(pace*float64(l.curve.time(one.tokens)))
		late := free
		if !one.own {
			late += newsDelay
		}
		if late < now {
			free = now + readingFloor
		}
	}
	return max(0, free-now)
}

// slotWait is how long a request waits for a slot of a rater.
func (l *loads) slotWait(now time.Duration, load *backendLoad, slots int) time.Duration {
	load.running = slices.DeleteFunc(load.running, func(r runningAttempt) bool { return now-r.sent > runningLife })
	beyond := len(load.open) + len(load.running) + 1 - slots
	if slots <= 0 || beyond <= 0 {
		return 0
	}
	return time.Duration(float64(beyond) / float64(slots) * float64(l.hold))
}
