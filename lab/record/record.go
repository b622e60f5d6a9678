// Package record is what the lab's parties saw: an append-only list of small events, each with its time on the lab's one
// clock, as clients, raters, discovery and the host that starts nodes report them. The node's own log has no part in it.
//
// An [Event] is a fixed struct of 48 bytes without pointers, and a request makes about eight: a million requests take
// some 400 MB in a [Log]. The referee takes events one by one, so a run that keeps no log needs none. The package does no I/O
// but through the readers and writers that it is handed.
package record

import (
	"fmt"
	"sort"
)

// Version is that of the form that [Write] writes. A reader refuses others.
const Version = 1

// Kind is the kind of an event.
type Kind uint8

// The kinds. Said is which fields of an [Event] each fills; the others are 0, but Node and Rater, which are -1 (None).
const (
	_ Kind = iota

	// Seen by clients. Request is the try's id, Number its arrival's.
	Due        // a first try was due: Number, Class, Partner, Work = true work in ms, How = 1 if beyond the partner's share
	Sent       // a try's last byte went out: Request, Number, Node, Class, Partner, How = the try's number, Value = digest, Extra = its limit in ms
	Got        // its answer was whole: Request, Number, Node, How = world.Served, Refused or Broke, Value = digest of the body, Extra = status
	Left       // the client closed the connection, its time up or impatient: Request, Number, Node, How = HadNothing or HadPart
	Unreached  // no connection, or it broke before the try's last byte: Request, Number, Node, How = the try's number
	Unanswered // the node ended the connection without a whole answer: Request, Number, Node, How = HadNothing, HadPart or HadGarbled,
	//            Extra = 1 if it was the first request on its connection
	Crossed // as Unanswered with HadNothing on a connection that had carried another: its close may have crossed the request,
	//         so the client sends it once more, with the same id, and Sent comes again: Request, Number, Node
	Settled // no further try comes: Number, How = world.How of the last

	// Seen by raters. Number is the relay's: unlike that of any other attempt, probe or connection of the run. Request is
	// what Req-Id said, Node whose address it came to.
	FirstByte // the first byte of a request came: Request (0 if not yet known), Number, Node, Rater
	Whole     // its last byte came, it counts: Request, Number, Node, Rater, Value = digest, Extra = key, Work = its true work in ms
	Ran       // work on it began: Request, Number, Rater, How = 1 if its key's repeat was dropped
	Ended     // work on it ended: Request, Number, Rater, How = 1 if its cancel stopped it
	Answered  // the last byte of its answer went out: Request, Number, Rater, How = an Answer..., Value = digest of the body
	Cut       // its connection ended without an answer: Request, Number, Rater, How = a Cut...
	Probed    // a probe came: Number, Node, Rater, Work
	Connected // a connection came up: Number, Node, Rater, Work = that of the handshake, How = 1 if it was refused
	Foreign   // a request that no client sent so: Request, Number, Node, Rater, How = a Foreign...

	// What became of raters: Rater.
	RaterUp       // its process started: Work = its whole capacity in yardstick cores, Extra = share that it starts with, in millionths
	RaterShare    // what share of its capacity a cold one has now: Extra in millionths. At least every 250 ms while cold
	RaterWarm     // it has all of it
	RaterDraining // it finishes what it has
	RaterDown     // its process ended: How = 1 if it fell over
	RaterHidden   // its machine says nothing any more

	// Seen by discovery.
	Told // a node was told of a rater, or counts as told: Rater, Node, How = world.State, Value = when the rater started
	//      as float64 bits (0 = long ago), Extra = 1 if it only counts as told

	// Seen by the host.
	NodeStarted  // Node
	NodeReady    // /up answered 200: Node
	NodeSignal   // Node, Extra = the signal's number
	NodeEnded    // Node, How = 1 if nobody had asked for it, Extra = status
	NodeSample   // Node, Extra = bytes of memory, Value = descriptors, Work = ms of processor time since its start
	TroubleFrom  // a trouble began: Extra = its number in the day
	TroubleUntil // and ended
	LabLate      // the lab itself was late by Work ms

	// Rude clients. Request is a number of the rude client's own.
	RudeSent // it connected: Request, Node, How = its way (place in world.RudeWays), Extra = ms within which it is owed a close
	//          or an error, Value = 1 if what it sends can be served (a flood of good requests)
	RudeGot    // an answer: Request, Node, Extra = status
	RudeClosed // the node closed: Request, Node
	RudeLeft   // it closed first, as it meant to, and is owed nothing: Request, Node

	KindEnd // the number of kinds
)

// None is the number of no node and of no rater.
const None = -1

// How of Answered.
const (
	AnswerServed  = iota // 200
	AnswerError          // 500: it may have run
	AnswerTurned         // 503 or 504 with the mark that it never ran
	AnswerSpoilt         // could not be read, on purpose; it has run
	AnswerSurplus        // 200, with more than belongs to it
	AnswerUnfit          // 400 or 404: the rater could make nothing of it
)

// How of Cut.
const (
	CutByNode     = iota // the node closed the connection or ended its sending
	CutByRater           // the rater reset it, or ended
	CutByNetwork         // a trouble of the network
	CutUnfinished        // it ended before the request's last byte, whoever ended it: no attempt
)

// How of Left and Unanswered.
const (
	HadNothing = iota // not a byte of an answer
	HadPart           // part of one, and the client can tell that it is not whole
	HadGarbled        // what is no answer
)

// How of Foreign.
const (
	ForeignID   = iota // no client sent this id
	ForeignForm        // one did, but not with this method, path, query, body or key
	ForeignBody        // hidden in the body of another
)

// Event is one thing that one party saw.
type Event struct {
	At      float64 // ms from the start of the day
	Request uint64
	Value   uint64
	Extra   uint64
	Number  uint32
	Work    float32
	Node    int16
	Rater   int16
	Kind    Kind
	How     uint8
	Class   uint8
	Partner uint8
}

// Log keeps events in the order in which they are added. Not safe for concurrent use: each party keeps its own, and Merge
// puts them together.
type Log struct {
	slabs [][]Event
	n     int
}

const slab = 1 << 14 // events

// Add appends an event.
func (l *Log) Add(e Event) {
	if l.n%slab == 0 {
		l.slabs = append(l.slabs, make([]Event, 0, slab))
	}
	last := &l.slabs[len(l.slabs)-1]
	*last = append(*last, e)
	l.n++
}

// Len is the number of events.
func (l *Log) Len() int { return l.n }

// At gives an event by its place.
func (l *Log) At(i int) Event { return l.slabs[i/slab][i%slab] }

// All calls f for each event in order until it returns false.
func (l *Log) All(f func(Event) bool) {
	for _, s := range l.slabs {
		for _, e := range s {
			if !f(e) {
				return
			}
		}
	}
}

// sortByTime sorts a log whose party was a little out of order: several of its goroutines added.
func (l *Log) sortByTime() {
	for i := 1; i < l.n; i++ {
		if l.before(i, i-1) {
			sort.Stable(byTime{l})
			return
		}
	}
}

func (l *Log) before(i, j int) bool { return l.At(i).At < l.At(j).At }

type byTime struct{ *Log }

func (b byTime) Less(i, j int) bool { return b.before(i, j) }
func (b byTime) Swap(i, j int) {
	x, y := &b.slabs[i/slab][i%slab], &b.slabs[j/slab][j%slab]
	*x, *y = *y, *x
}

// Merge calls f for each event of all logs in order of time. Of events of one time, the kind that comes first in the list
// of kinds goes first, then those of the earlier log, then those added first. It sorts the logs.
func Merge(f func(Event), logs ...*Log) {
	type cursor struct {
		log *Log
		at  int
	}
	var open []cursor
	for _, l := range logs {
		l.sortByTime()
		if l.n > 0 {
			open = append(open, cursor{l, 0})
		}
	}
	for len(open) > 0 {
		best := 0
		first := open[0].log.At(open[0].at)
		for i := 1; i < len(open); i++ {
			e := open[i].log.At(open[i].at)
			if e.At < first.At || e.At == first.At && e.Kind < first.Kind {
				best, first = i, e
			}
		}
		f(first)
		if open[best].at++; open[best].at == open[best].log.n {
			open = append(open[:best], open[best+1:]...)
		}
	}
}

// String is for verdicts and failed tests.
func (e Event) String() string {
	s := fmt.Sprintf("%.3f %s", e.At, e.Kind)
	if e.Request != 0 {
		s += fmt.Sprintf(" request %016x", e.Request)
	}
	if e.Node >= 0 {
		s += fmt.Sprintf(" node %d", e.Node)
	}
	if e.Rater >= 0 {
		s += fmt.Sprintf(" rater %d", e.Rater)
	}
	return s + fmt.Sprintf(" how %d", e.How)
}
