package routing

import (
	"math"
	"slices"
	"time"
)

// The figures of what is known of a rater's load.
const (
	prefillMaxAge         = 4 * time.Second        // after which a prompt counts as read, whatever was heard of it
	streamMaxAge          = 10 * time.Second       // after which a stream counts as ended
	minRemainingPrefill   = 60 * time.Millisecond  // what a prompt that takes longer than expected is taken to need at the least
	eventDelay            = 120 * time.Millisecond // within which other nodes' news arrives
	slowdownWindow        = 2 * time.Second        // after which an answer's time weighs 1/e
	slowdownPrior         = 6.0                    // answers at the usual pace that are taken as seen
	maxSlowdownSample     = 10.0                   // times the expected time that one answer counts as at the most
	minSlowdownSample     = 0.5                    // and at the least
	overdueFactor         = 2.0                    // times its expected time after which a missing answer tells of the pace,
	unresponsiveFactor    = 6.0                    // and after which it counts as a failure,
	minUnresponsive       = time.Second            // but no sooner
	failureWindow         = 3 * time.Second        // after which a failure weighs 1/e
	failurePrior          = 3.0                    // attempts without a failure that are taken as seen
	streamDurationGain    = 0.02                   // part of a stream's duration that goes into the learned one
	initialStreamDuration = time.Second            // before any stream has ended
)

// prefillingAttempt is an attempt whose first token has not come.
type prefillingAttempt struct {
	attempt  uint32
	tokens   float64
	sent     time.Duration
	expected time.Duration // expected time to the first token at a rater of the usual pace
	alone    bool          // the rater had nothing else to read
	long     bool
	local    bool // this node's
}

// waited is how long the first token has certainly not come: of other nodes' attempts the news is late.
func (o *prefillingAttempt) waited(now time.Duration) time.Duration {
	if o.local {
		return now - o.sent
	}
	return now - o.sent - eventDelay
}

// decodingAttempt is a long answer whose first token has come.
type decodingAttempt struct {
	attempt uint32
	sent    time.Duration
}

// backendLoad is what is known of one rater: its attempts under way and how its answers were of late.
type backendLoad struct {
	prefilling      []prefillingAttempt // in the order of their sending
	decoding        []decodingAttempt
	kvTokens        float64 // in tokens, 0 = not known
	prefilledTokens float64 // tokens that it was sent
	slowdown        decayed // expected and true times to the first token
	failures        decayed // attempts and failures
	stalls          decayed // long answers, and those that were held up on their way
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

// loadTable knows the load of all raters of a service from this node's attempts and from those that other nodes told of.
type loadTable struct {
	backends       map[uint32]*backendLoad
	prefill        prefillCurve
	streamDuration time.Duration // how long a long answer keeps its slot, learned
	prefixes       prefixCache
}

func newLoadTable() *loadTable {
	return &loadTable{backends: map[uint32]*backendLoad{}, prefill: newPrefillCurve(), streamDuration: initialStreamDuration, prefixes: newPrefixCache()}
}

func (l *loadTable) backend(rater uint32) *backendLoad {
	load := l.backends[rater]
	if load == nil {
		load = &backendLoad{}
		l.backends[rater] = load
	}
	return load
}

// cachedAt tells which of the raters that were sent a shared part are likely to have it still.
func (l *loadTable) cachedAt(now time.Duration, part uint32) []uint32 {
	var raters []uint32
	if part == 0 {
		return nil
	}
	places := l.prefixes.locations(part)
	for i := range places {
		load := l.backends[places[i].backend]
		if load != nil && places[i].likelyCached(now, load.prefilledTokens, load.kvTokens) {
			raters = append(raters, places[i].backend)
		}
	}
	return raters
}

// retain forgets the raters that have left.
func (l *loadTable) retain(present map[uint32]*member) {
	for rater := range l.backends {
		if present[rater] == nil {
			delete(l.backends, rater)
		}
	}
}

// apply takes an event that happened at a time.
func (l *loadTable) apply(now time.Duration, event *Event, own bool) {
	load := l.backend(event.Backend)
	at := now - event.Age
	switch event.Kind {
	case EventSent:
		l.start(at, load, event, own)
	case EventFirstToken:
		l.firstToken(now, load, event)
	case EventEnded, EventPaused:
		l.end(now, load, event.Attempt, event.Kind == EventPaused)
	case EventFailed:
		load.failures.add(now, failureWindow, 1, 1)
		load.prefilling = slices.DeleteFunc(load.prefilling, func(o prefillingAttempt) bool { return o.attempt == event.Attempt })
		load.decoding = slices.DeleteFunc(load.decoding, func(r decodingAttempt) bool { return r.attempt == event.Attempt })
	}
}

func (l *loadTable) start(at time.Duration, load *backendLoad, event *Event, own bool) {
	expected := l.queueDelay(at, load) + l.prefillTime(at, load, event.Tokens)
	entry := prefillingAttempt{attempt: event.Attempt, tokens: event.Tokens, sent: at, alone: len(load.prefilling) == 0, long: event.Long, local: own,
		expected: time.Duration(float64(expected) / l.slowdown(at, load))}
	load.prefilling = append(load.prefilling, entry)
	load.prefilledTokens += event.Tokens
	l.prefixes.record(at, event.Prefix, event.Backend, load.prefilledTokens)
}

func (l *loadTable) firstToken(now time.Duration, load *backendLoad, event *Event) {
	i := slices.IndexFunc(load.prefilling, func(o prefillingAttempt) bool { return o.attempt == event.Attempt })
	if i < 0 {
		return
	}
	one := load.prefilling[i]
	load.prefilling = slices.Delete(load.prefilling, i, i+1)
	if one.alone {
		l.prefill.observe(one.tokens, event.TimeToFirstToken)
	}
	if one.expected > 0 {
		nominal := one.expected.Seconds()
		took := min(max(event.TimeToFirstToken.Seconds(), minSlowdownSample*nominal), maxSlowdownSample*nominal)
		load.slowdown.add(now, slowdownWindow, nominal, took)
	}
	load.failures.add(now, failureWindow, 1, 0)
	if one.long {
		load.decoding = append(load.decoding, decodingAttempt{one.attempt, one.sent})
	}
}

func (l *loadTable) end(now time.Duration, load *backendLoad, attempt uint32, paused bool) {
	load.prefilling = slices.DeleteFunc(load.prefilling, func(o prefillingAttempt) bool { return o.attempt == attempt })
	i := slices.IndexFunc(load.decoding, func(r decodingAttempt) bool { return r.attempt == attempt })
	if i < 0 {
		return
	}
	held := 0.0
	if paused {
		held = 1
	}
	load.stalls.add(now, failureWindow, 1, held)
	l.streamDuration += time.Duration(streamDurationGain * float64(now-load.decoding[i].sent-l.streamDuration))
	load.decoding = slices.Delete(load.decoding, i, i+1)
}

// slowdown is how many times slower than usual a rater answers. Answers that are overdue tell of it before they come.
func (l *loadTable) slowdown(now time.Duration, load *backendLoad) float64 {
	load.slowdown.fade(now, slowdownWindow)
	expected, took := load.slowdown.base, load.slowdown.extra
	for i := range load.prefilling {
		one := &load.prefilling[i]
		waited := one.waited(now)
		if float64(waited) > overdueFactor*float64(one.expected) && one.expected > 0 {
			expected += one.expected.Seconds()
			took += min(waited.Seconds(), maxSlowdownSample*one.expected.Seconds())
		}
	}
	prior := slowdownPrior * l.prefill.base.Seconds()
	return max(1, (took+prior)/(expected+prior))
}

// failureRate is the part of a rater's attempts that fail.
func (l *loadTable) failureRate(now time.Duration, load *backendLoad) float64 {
	load.failures.fade(now, failureWindow)
	attempts, failures := load.failures.base, load.failures.extra
	for i := range load.prefilling {
		one := &load.prefilling[i]
		if one.waited(now) > max(minUnresponsive, time.Duration(unresponsiveFactor*float64(one.expected))) {
			attempts++
			failures++
		}
	}
	return failures / (attempts + failurePrior)
}

// stallRate is the part of a rater's long answers that are held up on their way.
func (l *loadTable) stallRate(now time.Duration, load *backendLoad) float64 {
	load.stalls.fade(now, failureWindow)
	return load.stalls.extra / (load.stalls.base + failurePrior)
}

// prefillTime is how long a rater takes to the first token of a prompt once it has come to it.
func (l *loadTable) prefillTime(now time.Duration, load *backendLoad, tokens float64) time.Duration {
	return time.Duration(l.slowdown(now, load) * float64(l.prefill.base+l.prefill.time(tokens)))
}

// queueDelay is how long a rater is expected to be busy with the prompts that it has to read.
func (l *loadTable) queueDelay(now time.Duration, load *backendLoad) time.Duration {
	load.prefilling = slices.DeleteFunc(load.prefilling, func(o prefillingAttempt) bool { return now-o.sent > prefillMaxAge })
	pace := l.slowdown(now, load)
	var free time.Duration // when the rater is done with those before
	for _, one := range load.prefilling {
		free = max(free, one.sent) + time.Duration(pace*float64(l.prefill.time(one.tokens)))
		late := free
		if !one.local {
			late += eventDelay
		}
		if late < now {
			free = now + minRemainingPrefill
		}
	}
	return max(0, free-now)
}

// slotDelay is how long a request waits for a slot of a rater.
func (l *loadTable) slotDelay(now time.Duration, load *backendLoad, slots int) time.Duration {
	load.decoding = slices.DeleteFunc(load.decoding, func(r decodingAttempt) bool { return now-r.sent > streamMaxAge })
	beyond := len(load.prefilling) + len(load.decoding) + 1 - slots
	if slots <= 0 || beyond <= 0 {
		return 0
	}
	return time.Duration(float64(beyond) / float64(slots) * float64(l.streamDuration))
}
