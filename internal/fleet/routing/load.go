package routing

import (
	"math"
	"slices"
	"time"
)

// Parameters of the load estimates.
const (
	prefillMaxAge         = 4 * time.Second        // age at which a prompt counts as prefilled, regardless of events
	streamMaxAge          = 10 * time.Second       // age at which a stream counts as ended
	minRemainingPrefill   = 60 * time.Millisecond  // minimum remaining time assumed for a prompt whose prefill is overdue
	eventDelay            = 120 * time.Millisecond // time within which other nodes' events arrive
	slowdownWindow        = 2 * time.Second        // age at which the time of a response has the weight 1/e
	slowdownPrior         = 6.0                    // weight of the prior, in responses at the usual speed
	minSlowdownSample     = 0.5                    // lower bound of a response's time, as a multiple of the expected time
	maxSlowdownSample     = 10.0                   // upper bound
	overdueFactor         = 2.0                    // multiple of its expected time after which a missing response counts as slow
	unresponsiveFactor    = 6.0                    // multiple after which it counts as a failure,
	minUnresponsive       = time.Second            // but not earlier than this
	failureWindow         = 3 * time.Second        // age at which a failure has the weight 1/e
	failurePrior          = 3.0                    // weight of the prior, in attempts without a failure
	streamDurationGain    = 0.02                   // weight of a new stream in the learned duration
	initialStreamDuration = time.Second            // estimate before any stream has ended
)

// prefillingAttempt is an attempt whose first token has not arrived.
type prefillingAttempt struct {
	attempt  uint32 // Event.Attempt
	tokens   float64
	sentAt   time.Duration
	expected time.Duration // time to the first token on a backend of the usual speed
	alone    bool          // the backend had nothing else to prefill
	long     bool
	local    bool // sent by this node
}

// waited returns the time for which the first token has certainly been missing. For other nodes' attempts it
// allows for the delay of events.
func (p *prefillingAttempt) waited(now time.Duration) time.Duration {
	if p.local {
		return now - p.sentAt
	}
	return now - p.sentAt - eventDelay
}

// decodingAttempt is a long response whose first token has arrived.
type decodingAttempt struct {
	attempt uint32 // Event.Attempt
	sentAt  time.Duration
}

// backendLoad is what is known about one backend: its attempts in flight and its recent responses.
type backendLoad struct {
	prefilling      []prefillingAttempt // in sending order
	decoding        []decodingAttempt
	kvTokens        float64      // size of its KV cache, 0 = unknown
	prefilledTokens float64      // total that it has been sent
	slowdown        decayedRatio // actual over expected times to the first token, in seconds
	failures        decayedRatio // failures over attempts
	stalls          decayedRatio // streams with an overlong pause over all streams
}

// removePrefilling removes an attempt whose first token has not arrived.
func (b *backendLoad) removePrefilling(attempt uint32) {
	b.prefilling = slices.DeleteFunc(b.prefilling, func(p prefillingAttempt) bool { return p.attempt == attempt })
}

// findPrefilling returns the index of an attempt whose first token has not arrived, -1 if it is unknown.
func (b *backendLoad) findPrefilling(attempt uint32) int {
	return slices.IndexFunc(b.prefilling, func(p prefillingAttempt) bool { return p.attempt == attempt })
}

// findDecoding returns the index of a stream, -1 if it is unknown.
func (b *backendLoad) findDecoding(attempt uint32) int {
	return slices.IndexFunc(b.decoding, func(d decodingAttempt) bool { return d.attempt == attempt })
}

// decayedRatio is a ratio of two sums whose samples lose weight exponentially with time.
type decayedRatio struct {
	denominator, numerator float64
	decayedAt              time.Duration
}

// decay decays the sums up to the given time; a sample has the weight 1/e after the window.
func (r *decayedRatio) decay(now, window time.Duration) {
	if now > r.decayedAt {
		weight := math.Exp(-float64(now-r.decayedAt) / float64(window))
		r.denominator, r.numerator, r.decayedAt = r.denominator*weight, r.numerator*weight, now
	}
}

// add decays the sums and adds a sample.
func (r *decayedRatio) add(now, window time.Duration, denominator, numerator float64) {
	r.decay(now, window)
	r.denominator += denominator
	r.numerator += numerator
}

// loadTable holds the load of all backends of a service, from the attempts of this node and from the events of
// others.
type loadTable struct {
	backends       map[uint32]*backendLoad // by tag
	prefill        prefillCurve
	streamDuration time.Duration // learned time for which a long response holds its slot
	prefixes       prefixCache
}

func newLoadTable() *loadTable {
	return &loadTable{backends: map[uint32]*backendLoad{}, prefill: newPrefillCurve(), streamDuration: initialStreamDuration, prefixes: newPrefixCache()}
}

// backend returns the load of the backend with a tag, and adds the backend if it is unknown.
func (l *loadTable) backend(tag uint32) *backendLoad {
	load := l.backends[tag]
	if load == nil {
		load = &backendLoad{}
		l.backends[tag] = load
	}
	return load
}

// cachedAt returns the tags of the backends that are likely to have a prefix in their caches.
func (l *loadTable) cachedAt(now time.Duration, prefix uint32) []uint32 {
	var tags []uint32
	if prefix == 0 {
		return nil
	}
	locations := l.prefixes.locations(prefix)
	for i := range locations {
		load := l.backends[locations[i].backend]
		if load != nil && locations[i].likelyCached(now, load.prefilledTokens, load.kvTokens) {
			tags = append(tags, locations[i].backend)
		}
	}
	return tags
}

// retain removes the backends that are no longer members.
func (l *loadTable) retain(members map[uint32]*member) {
	for tag := range l.backends {
		if members[tag] == nil {
			delete(l.backends, tag)
		}
	}
}

// apply applies an event of an attempt of this node (local) or another node. It happened event.Age ago.
func (l *loadTable) apply(now time.Duration, event *Event, local bool) {
	load := l.backend(event.Backend)
	at := now - event.Age
	switch event.Kind {
	case EventSent:
		l.recordSent(at, load, event, local)
	case EventFirstToken:
		l.recordFirstToken(now, load, event)
	case EventEnded, EventPaused:
		l.recordEnd(now, load, event.Attempt, event.Kind == EventPaused)
	case EventFailed:
		load.failures.add(now, failureWindow, 1, 1)
		load.removePrefilling(event.Attempt)
		load.decoding = slices.DeleteFunc(load.decoding, func(d decodingAttempt) bool { return d.attempt == event.Attempt })
	}
}

// recordSent adds an attempt to those whose first token has not arrived, with the expected time until it does.
func (l *loadTable) recordSent(at time.Duration, load *backendLoad, event *Event, local bool) {
	expected := l.queueDelay(at, load) + l.prefillTime(at, load, event.Tokens)
	entry := prefillingAttempt{attempt: event.Attempt, tokens: event.Tokens, sentAt: at, alone: len(load.prefilling) == 0, long: event.Long, local: local,
		expected: time.Duration(float64(expected) / l.slowdown(at, load))}
	load.prefilling = append(load.prefilling, entry)
	load.prefilledTokens += event.Tokens
	l.prefixes.record(at, event.Prefix, event.Backend, load.prefilledTokens)
}

// recordFirstToken learns from the time to an attempt's first token; a long response becomes a stream. Nothing is
// learned from attempts that were never reported or have expired.
func (l *loadTable) recordFirstToken(now time.Duration, load *backendLoad, event *Event) {
	i := load.findPrefilling(event.Attempt)
	if i < 0 {
		return
	}
	entry := load.prefilling[i]
	load.prefilling = slices.Delete(load.prefilling, i, i+1)
	if entry.alone {
		l.prefill.observe(entry.tokens, event.TimeToFirstToken)
	}
	if entry.expected > 0 {
		expected := entry.expected.Seconds()
		elapsed := min(max(event.TimeToFirstToken.Seconds(), minSlowdownSample*expected), maxSlowdownSample*expected)
		load.slowdown.add(now, slowdownWindow, expected, elapsed)
	}
	load.failures.add(now, failureWindow, 1, 0)
	if entry.long {
		load.decoding = append(load.decoding, decodingAttempt{entry.attempt, entry.sentAt})
	}
}

// recordEnd removes an attempt. From a stream it learns the duration and whether there was an overlong pause.
func (l *loadTable) recordEnd(now time.Duration, load *backendLoad, attempt uint32, paused bool) {
	load.removePrefilling(attempt)
	i := load.findDecoding(attempt)
	if i < 0 {
		return
	}
	stalls := 0.0
	if paused {
		stalls = 1
	}
	load.stalls.add(now, failureWindow, 1, stalls)
	l.streamDuration += time.Duration(streamDurationGain * float64(now-load.decoding[i].sentAt-l.streamDuration))
	load.decoding = slices.Delete(load.decoding, i, i+1)
}

// slowdown returns how many times slower than usual a backend responds, at least 1. Overdue responses count before
// they arrive.
func (l *loadTable) slowdown(now time.Duration, load *backendLoad) float64 {
	load.slowdown.decay(now, slowdownWindow)
	expected, elapsed := load.slowdown.denominator, load.slowdown.numerator
	for i := range load.prefilling {
		entry := &load.prefilling[i]
		waited := entry.waited(now)
		if float64(waited) > overdueFactor*float64(entry.expected) && entry.expected > 0 {
			expected += entry.expected.Seconds()
			elapsed += min(waited.Seconds(), maxSlowdownSample*entry.expected.Seconds())
		}
	}
	prior := slowdownPrior * l.prefill.base.Seconds()
	return max(1, (elapsed+prior)/(expected+prior))
}

// failureRate returns the fraction of a backend's attempts that fail. Attempts without a response for a very long
// time count as failures.
func (l *loadTable) failureRate(now time.Duration, load *backendLoad) float64 {
	load.failures.decay(now, failureWindow)
	attempts, failures := load.failures.denominator, load.failures.numerator
	for i := range load.prefilling {
		entry := &load.prefilling[i]
		if entry.waited(now) > max(minUnresponsive, time.Duration(unresponsiveFactor*float64(entry.expected))) {
			attempts++
			failures++
		}
	}
	return failures / (attempts + failurePrior)
}

// stallRate returns the fraction of a backend's streams that pause for too long.
func (l *loadTable) stallRate(now time.Duration, load *backendLoad) float64 {
	load.stalls.decay(now, failureWindow)
	return load.stalls.numerator / (load.stalls.denominator + failurePrior)
}

// prefillTime returns the time that a backend takes from the start of a prompt's prefill to the first token.
func (l *loadTable) prefillTime(now time.Duration, load *backendLoad, tokens float64) time.Duration {
	return time.Duration(l.slowdown(now, load) * float64(l.prefill.base+l.prefill.time(tokens)))
}

// queueDelay returns the expected time for which a backend is busy with the prompts that it has. It discards
// prompts that are too old.
func (l *loadTable) queueDelay(now time.Duration, load *backendLoad) time.Duration {
	load.prefilling = slices.DeleteFunc(load.prefilling, func(p prefillingAttempt) bool { return now-p.sentAt > prefillMaxAge })
	slowdown := l.slowdown(now, load)
	var idleAt time.Duration // when the backend has prefilled the prompts processed so far
	for _, entry := range load.prefilling {
		idleAt = max(idleAt, entry.sentAt) + time.Duration(slowdown*float64(l.prefill.time(entry.tokens)))
		doneBy := idleAt
		if !entry.local {
			doneBy += eventDelay
		}
		if doneBy < now { // it should have been prefilled, but is not
			idleAt = now + minRemainingPrefill
		}
	}
	return max(0, idleAt-now)
}

// slotDelay returns the expected wait of a request for one of a backend's slots, 0 if their number is unknown. It
// discards streams that are too old.
func (l *loadTable) slotDelay(now time.Duration, load *backendLoad, slots int) time.Duration {
	load.decoding = slices.DeleteFunc(load.decoding, func(d decodingAttempt) bool { return now-d.sentAt > streamMaxAge })
	waiting := len(load.prefilling) + len(load.decoding) + 1 - slots
	if slots <= 0 || waiting <= 0 {
		return 0
	}
	return time.Duration(float64(waiting) / float64(slots) * float64(l.streamDuration))
}
