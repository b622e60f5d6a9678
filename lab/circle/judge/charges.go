package judge

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"
)

// Told is what a post of a charge was told.
type Told string

// What it may be told. Each but Answered and InDoubt says that this post itself has not run and never will.
const (
	Nothing  Told = ""         // nobody knows what became of it
	Answered Told = "answered" // with the answer of a run
	InDoubt  Told = "in doubt" // its own run gave no answer
	MayHave  Told = "409"      // a run of the name may have begun
	Refused  Told = "refused"  // it has not run, and may be posted again
	Waited   Told = "waited"   // one of the name runs elsewhere and has not ended in time
)

// Post is one try of a charge.
type Post struct {
	Number  int
	Name    int
	Called  float64 // ms
	At      float64 // ms when it was told
	Told    Told
	Run     int  // whose answer it was told
	Claimed bool // it may have held the name, and nobody has agreed that it did not run
}

// Run is one at a rater.
type Run struct {
	Number int
	Post   int
	Name   int
	Sent   float64 // ms when its first byte went out,
	Begun  float64 // when it began
	Ended  float64 // and when it had ended there
}

// early is how much before its time a window may be over: the group counts whole ms.
const early = 2.0

// Charges gives what is wrong with a history of charges that are known for a window, ms.
func Charges(posts []Post, runs []Run, window float64) (faults []string) {
	byName, ran := map[int][]porcupine.Operation{}, map[int]Run{}
	add := func(name, who int, v any, call, end float64) {
		at := int64(math.MaxInt64)
		if !math.IsInf(end, 1) {
			at = int64(end * 1e6)
		}
		byName[name] = append(byName[name], porcupine.Operation{ClientId: who, Input: v, Call: int64(call * 1e6), Return: at})
	}
	last := map[int]Run{}
	for _, r := range slices.SortedFunc(slices.Values(runs), func(a, b Run) int { return cmp.Compare(a.Begun, b.Begun) }) {
		if before, ok := last[r.Name]; ok && r.Sent < over(before, window) {
			faults = append(faults, fmt.Sprintf("name %d ran twice: run %d from %.0f to %.0f ms, run %d from %.0f ms on", r.Name, before.Number,
				before.Sent, before.Ended, r.Number, r.Sent))
		}
		last[r.Name] = r
		if other, twice := ran[r.Post]; twice {
			faults = append(faults, fmt.Sprintf("post %d of name %d ran as %d and %d", r.Post, r.Name, other.Number, r.Number))
		}
		ran[r.Post] = r
		add(r.Name, 0, r, r.Sent, r.Begun)
		add(r.Name, 0, expiry{r.Number}, over(r, window), math.Inf(1))
	}
	for _, p := range posts {
		r, own := ran[p.Number]
		switch {
		case own && p.Told != Nothing && p.Told != Answered && p.Told != InDoubt:
			faults = append(faults, fmt.Sprintf("post %d of name %d was told %q and ran as %d", p.Number, p.Name, p.Told, r.Number))
		case own && p.Told == Answered && p.Run != r.Number:
			faults = append(faults, fmt.Sprintf("post %d of name %d ran as %d and was told the answer of %d", p.Number, p.Name, r.Number, p.Run))
		}
		if !own && p.Claimed {
			add(p.Name, 0, claim{}, p.Called, math.Inf(1))
		}
		if p.Told == MayHave || p.Told == Answered {
			add(p.Name, 0, seen{p, own}, p.Called, p.At)
		}
	}
	model := (&porcupine.NondeterministicModel{Init: func() []any { return []any{held{}} },
		Step: func(s, in, _ any) []any { return stepCharge(s.(held), in) }}).ToModel()
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		switch porcupine.CheckOperationsTimeout(model, byName[name], mostTime) {
		case porcupine.Illegal:
			faults = append(faults, fmt.Sprintf("no order of runs and windows explains what was told of name %d", name))
		case porcupine.Unknown:
			faults = append(faults, fmt.Sprintf("name %d could not be judged in %v", name, mostTime))
		}
	}
	return faults
}

// over is the first moment at which a name may run again after a run.
func over(r Run, window float64) float64 { return r.Sent + window - early }

type (
	// expiry is the end of the window of a run, at a moment from its least on.
	expiry struct{ run int }
	// claim is one that never ran and was not called off, at a moment from its post on.
	claim struct{}
	// seen is what a post was told; own = it is its own run.
	seen struct {
		post Post
		own  bool
	}
)

// held is a name as its clients can see it.
type held struct {
	run   int // 0 = none in its window
	how   how
	claim bool // without a run: whoever asks may be told that one may have begun
}

type how uint8

const (
	open     how = iota // it may be known as either
	answered            // its answer was told to another
	doubt               // somebody was told that it may have run
)

func stepCharge(s held, in any) []any {
	switch v := in.(type) {
	case Run:
		if s.run == 0 {
			return []any{held{run: v.Number}}
		}
	case expiry:
		if s.run == v.run {
			return []any{held{}}
		}
		return []any{s}
	case claim:
		if s.run == 0 && !s.claim {
			return []any{s, held{claim: true}}
		}
		return []any{s}
	case seen:
		switch {
		case v.post.Told == Answered && v.own:
			return []any{s} // what it is told is its own: held against the runs
		case v.post.Told == Answered && s.run == v.post.Run && s.how != doubt:
			return []any{held{run: s.run, how: answered}}
		case v.post.Told == MayHave && s.claim:
			return []any{s}
		case v.post.Told == MayHave && s.run != 0 && s.how != answered:
			return []any{held{run: s.run, how: doubt}}
		}
	}
	return nil
}
