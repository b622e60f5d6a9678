package rater

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
)

// Framing is how a backend marks the end of a body.
type Framing uint8

// The framings.
const (
	ByLength Framing = iota
	ByChunks
	ByConnection
	framings
)

// Ending is how a backend ends a run.
type Ending uint8

// The endings.
const (
	Whole           Ending = iota // after the last token
	ClosesBetween                 // the connection is closed in order between two events
	ClosesWithin                  // the connection is closed in order within an event
	ResetsBetween                 // the connection is reset between two events
	KilledBetween                 // the process is killed between two events
	ExitsBetween                  // the process exits between two events
	StallsAndCloses               // the connection is closed in order between two events, after a pause
	endings
)

// Continuation is how a backend runs a request that states the last event that the client has.
type Continuation uint8

// The continuations.
const (
	GoesOn       Continuation = iota // with the next token
	StartsOver                       // with the first token, in events of the same size as before
	StartsOverIn                     // with the first token, in events of another size
	Fails                            // with a failure of its own
	continuations
)

var (
	framingNames      = [framings]string{"length", "chunks", "connection"}
	endingNames       = [endings]string{"whole", "closes between", "closes within", "resets between", "killed between", "exits between", "stalls and closes"}
	continuationNames = [continuations]string{"goes on", "starts over", "starts over in other events", "fails"}
)

// maxStride is the greatest number of tokens in an event.
const maxStride = 4

// Plan is what a backend does in one run. It follows from the seed, the request's id and the last event that the request
// states, so that it doesn't depend on which backend the run is at.
type Plan struct {
	Framing      Framing
	Ending       Ending
	Continuation Continuation
	First        int // first token
	Stride       int // tokens in an event
	Events       int // sent before an ending other than Whole, at least 1
}

// String returns the plan as it is reported.
func (p Plan) String() string {
	return fmt.Sprintf("%s, ended by %s after %d events of %d from token %d, %s", endingNames[p.Ending], framingNames[p.Framing],
		p.Events, p.Stride, p.First, continuationNames[p.Continuation])
}

// Shares of runs in percent.
const (
	troubledPercent = 45 // that don't end whole
	processPercent  = 10 // of these, that end with their process, which ends other runs too
)

// Endings of a connection, and of a process.
var (
	connectionEndings = []Ending{ClosesBetween, ClosesWithin, ResetsBetween, StallsAndCloses}
	processEndings    = []Ending{KilledBetween, ExitsBetween}
)

// streamStride returns the size of the events in a request's first run.
func streamStride(seed uint64, stream string) int {
	return 1 + Draw(seed, stream, "stride").IntN(maxStride)
}

// PlanOf returns what a backend does with a request: stream names the client's request over all its tries, id is that of
// this try, last is the event that the request states, 0 = none.
//
// A run that starts over has a first event that isn't beyond that event: else nothing in the response would show that it
// has started over.
func PlanOf(seed uint64, stream, id string, last, tokens int) Plan {
	random := Draw(seed, id, fmt.Sprint(last))
	stride := streamStride(seed, stream)
	plan := Plan{Framing: Framing(random.IntN(int(framings))), First: 1, Stride: stride}
	if random.IntN(100) < troubledPercent {
		plan.Ending = drawEnding(random)
	}
	if last > 0 {
		plan.Continuation = Continuation(random.IntN(int(continuations)))
	}
	switch plan.Continuation {
	case GoesOn:
		plan.First = last + 1
		plan.Stride = 1 + random.IntN(maxStride)
	case StartsOver:
		plan.Stride = min(stride, last)
	case StartsOverIn:
		plan.Stride = 1 + random.IntN(min(maxStride, last))
	}
	events := (tokens - plan.First + plan.Stride) / plan.Stride
	plan.Events = events
	if plan.Ending != Whole {
		if events < 2 {
			plan.Ending = Whole
			return plan
		}
		plan.Events = 1 + random.IntN(events-1)
	}
	return plan
}

// Shares of endings that a rater keeps to, in percent, where it has thousands of runs: a process that ended with each of its plans
// would hardly ever be there.
const (
	keptEndings        = 30 // of endings of a connection
	keptProcessEndings = 2  // of endings of a process
	keptUnframed       = 20 // of bodies without length or chunks, each of which costs a retry where it can be confirmed
)

// calmed returns the plan with most of the endings replaced by whole ones, and most of the unframed bodies by chunks.
func (p Plan) calmed(random *rand.Rand, tokens int) Plan {
	if p.Framing == ByConnection && random.IntN(100) >= keptUnframed {
		p.Framing = ByChunks
	}
	kept := keptEndings
	if p.Ending == KilledBetween || p.Ending == ExitsBetween {
		kept = keptProcessEndings
	}
	if p.Ending == Whole || random.IntN(100) < kept {
		return p
	}
	p.Ending, p.Events = Whole, (tokens-p.First+p.Stride)/p.Stride
	return p
}

// drawEnding returns an ending other than Whole.
func drawEnding(random *rand.Rand) Ending {
	if random.IntN(100) < processPercent {
		return processEndings[random.IntN(len(processEndings))]
	}
	return connectionEndings[random.IntN(len(connectionEndings))]
}

// Draw returns random numbers that depend on nothing but its arguments.
func Draw(seed uint64, parts ...string) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(strings.Join(parts, " ")))
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}

// Event returns the event with the tokens from first to last. Its id is the number of its last token.
func Event(first, last int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "id: %d\ndata:", last)
	for token := first; token <= last; token++ {
		fmt.Fprintf(&text, " t%d", token)
	}
	text.WriteString("\n\n")
	return text.String()
}

// LooksWhole reports whether the bytes of a run that ends too early are those of a whole one: no client of the backend can tell,
// unless it may ask what follows. events is whether the body is known to consist of events.
func (p Plan) LooksWhole(events bool) bool {
	if p.Framing != ByConnection {
		return false
	}
	return p.Ending == ClosesBetween || p.Ending == StallsAndCloses || p.Ending == ClosesWithin && !events
}
