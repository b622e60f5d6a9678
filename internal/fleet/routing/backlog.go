package routing

import (
	"slices"
	"time"
)

// The figures of what raters still have to read.
const (
	readingLife   = 6 * time.Second       // after which a prompt counts as read, whatever was heard of it
	readingFloor  = 60 * time.Millisecond // what a prompt that is still being read is taken to need at the least
	speedUp       = 0.10                  // how far a faster and
	speedDown     = 0.03                  // a slower reading moves the learned speed: it is to be that of an idle rater
	speedLeast    = 2000                  // tokens from which on a prompt tells of the speed
	speedSamples  = 4                     // so many are wanted before the speed is used
	baseMemory    = 0.05                  // the same for the time to the first token of short prompts
	shortPrompt   = 1500                  // tokens up to which a prompt is short
	usualBase     = 50 * time.Millisecond // before any short prompt was answered
	announceLeast = 2000                  // tokens from which on other nodes are told of a prompt
	slackOfAim    = 0.6                   // part of the aim up to which a prompt stays at home
	rereadWeight  = 3.0                   // times the time to read a shared part anew that a move must gain
	mostMoves     = 4                     // raters after home that are looked at
)

// Reading is a prompt that a rater is reading, as nodes tell each other.
type Reading struct {
	ID     uint64
	Rater  string
	Tokens float64
	Ended  bool
	Down   bool          // instead: the rater could not be reached
	Ago    time.Duration // since it was sent, or since it ended
}

type reading struct {
	id     uint64
	tokens float64
	sent   time.Duration
}

// backlog knows which prompts the raters of a service are reading: those of this node, and the long ones of the others. A
// rater reads one prompt after the other, so what it has to read is what a new prompt waits for.
type backlog struct {
	raters  map[string][]reading
	speed   float64 // tokens a second of an idle rater, learned
	samples int
	base    time.Duration // time to the first token of a short prompt, learned
}

func newBacklog() *backlog { return &backlog{raters: map[string][]reading{}, base: usualBase} }

// add notes a prompt that is sent to a rater.
func (b *backlog) add(now time.Duration, rater string, id uint64, tokens float64) {
	b.raters[rater] = append(b.raters[rater], reading{id, tokens, now})
}

// end notes that a prompt has been read, or will not be. It tells whether it was being read.
func (b *backlog) end(rater string, id uint64) bool {
	list := b.raters[rater]
	i := slices.IndexFunc(list, func(r reading) bool { return r.id == id })
	if i < 0 {
		return false
	}
	b.raters[rater] = slices.Delete(list, i, i+1)
	if len(b.raters[rater]) == 0 {
		delete(b.raters, rater)
	}
	return true
}

// read notes the first token of an answer, and learns from it where the rater had nothing else to read.
func (b *backlog) read(now time.Duration, rater string, id uint64, alone bool) {
	list := b.raters[rater]
	i := slices.IndexFunc(list, func(r reading) bool { return r.id == id })
	if i < 0 {
		return
	}
	took := now - list[i].sent
	if alone {
		b.learn(list[i].tokens, took)
	}
	sent := list[i].sent
	b.raters[rater] = slices.DeleteFunc(list, func(r reading) bool { return r.id == id || r.sent < sent })
	if len(b.raters[rater]) == 0 {
		delete(b.raters, rater)
	}
}

func (b *backlog) learn(tokens float64, took time.Duration) {
	if tokens < shortPrompt {
		b.base += time.Duration(baseMemory * float64(took-b.base))
		return
	}
	beyond := (took - b.base).Seconds()
	if tokens < speedLeast || beyond <= 0 {
		return
	}
	sample := tokens / beyond
	if b.samples++; b.samples == 1 {
		b.speed = sample
		return
	}
	gain := speedDown
	if sample > b.speed {
		gain = speedUp
	}
	b.speed += gain * (min(sample, 3*b.speed) - b.speed)
}

// known tells whether enough was learned to foretell anything.
func (b *backlog) known() bool { return b.samples >= speedSamples }

// time is how long an idle rater reads so many tokens.
func (b *backlog) time(tokens float64) time.Duration {
	if !b.known() {
		return 0
	}
	return time.Duration(tokens / b.speed * float64(time.Second))
}

// wait is how long a rater is expected to be busy with what it has to read.
func (b *backlog) wait(now time.Duration, rater string) time.Duration {
	list := b.raters[rater]
	if len(list) == 0 {
		return 0
	}
	list = slices.DeleteFunc(list, func(r reading) bool { return now-r.sent > readingLife })
	b.raters[rater] = list
	var free time.Duration // when the rater is done with those before
	for _, one := range list {
		free = max(free, one.sent) + b.time(one.tokens)
		free = max(free, now+readingFloor)
	}
	return max(0, free-now)
}

// busy tells whether a rater has anything to read.
func (b *backlog) busy(rater string) bool { return len(b.raters[rater]) > 0 }
