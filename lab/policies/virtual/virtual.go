// Package virtual plays changes of a fleet's policy in virtual time: the pure machine of internal/policy under an agreed log that
// is slow, loses acknowledgements and changes its leader, and the pure holder that each node's gate runs, on nodes that are down,
// slow, stopped, cut off or whose clocks are wrong, as a seed draws it. The same seed gives the same history.
//
// Calls are not sampled: the judge has the time from which and until which each node let calls begin under each number, and holds
// every call that could have begun against every other.
package virtual

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/rollout"
	"linenwheel.dev/linenwheel/lab/agenda"
)

// Settings describe a history. Times are milliseconds.
type Settings struct {
	Seed    uint64
	Nodes   int
	Lease   float64
	Length  float64 // in which operators propose and faults come
	Between float64 // two proposals of an operator
	Part    float64 // of the nodes that is down, and as much again that is slow; with faults, others go down for those that come
	Faults  int     // drawn over the length; as many again at the steps of changes. Some keepers then are of the release before
	Hung    bool    // one node stops where it stands, for all of the length
	Lost    float64 // part of the hints that never come,
	Stale   float64 // that come late, or tell what was agreed long before
	Wrong   Wrong
}

// Wrong is a fault that is planted in every node, for the judge to find.
type Wrong string

// The planted faults.
const (
	Sound      Wrong = ""
	NoLease    Wrong = "calls begin when the lease has run out"
	LongLease  Wrong = "the lease is taken to last longer than was agreed"
	OnReceipt  Wrong = "a document takes hold where it is looked at"
	ReadyEarly Wrong = "a node is ready before it has asked"
	WallClock  Wrong = "the lease is counted on the wall clock"
	HintRenews Wrong = "a hint renews the lease"
	HintAlone  Wrong = "a hint is waited for without end"
)

// Kinds are the names that Result.Counts has: what was made and what it met. One that met nothing was not tested.
var Kinds = []string{
	"fault: a node killed", "fault: a node stopped", "fault: a node stopped for three numbers", "fault: a node cut off",
	"fault: a node that is not heard", "fault: a node that hears nothing", "fault: a wall clock that jumps an hour",
	"fault: a leader killed", "fault: a leader whose answers are lost", "fault: a slow disk", "fault: a proposer that dies",
	"met: a fault while looking", "met: a fault while pausing", "met: a leader killed while looking", "met: a leader killed while pausing",
	"met: a leader killed just after a number held", "met: a node killed while looking", "met: a node killed while pausing",
	"met: a node killed just after a number held", "met: a proposer that died while proposed", "met: a proposer that died while looking", "met: a proposer that died while pausing", "met: a node that joined while looking",
	"met: a node that joined while pausing", "met: a node that woke three numbers on", "met: a lease that ran out", "met: a lease renewed",
	"met: an entry lost with its leader", "met: an entry agreed after its leader's death", "met: a command told again",
	"met: a report that came late", "met: a proposal that a node cannot take", "met: two operators at once", "met: a pause that a lease ended",
	"met: a node that came back with another number", "met: a node that cannot take what holds",
	"met: a node that died after it looked and came back after the next change but one",
	"met: a leader that died with waits", "met: a wait that a keeper of the release before refused", "met: a hint that was lost",
	"met: a hint that came late", "met: a hint of what was agreed before",
	"met: calls held by a hint", "met: a number taken by a hint",
}

// Result is what became of a history.
type Result struct {
	Faults  []string // what the judge found; none = sound
	Counts  map[string]int
	Agreed  int
	Refused int
	Windows int       // times from which until which a node let calls begin
	Changes []float64 // from a proposal until it holds, ms
	Held    []float64 // how long a change held calls at a node that nothing was wrong with, ms
}

// world is a history under way.
type world struct {
	set       Settings
	luck      *rand.Rand
	now       float64
	events    agenda.Agenda
	log       *agreed
	nodes     []*node
	operators []*operator
	healed    bool
	result    Result
	ends      map[uint64]moment // of each number, the last moment at which a call could begin under it,
	starts    map[uint64]moment // and the first
	proposals map[string]*proposal
	texts     map[uint64]string // of each number that held
}

type moment struct {
	at   float64
	node string
}

// proposal is one with what is known of it from outside.
type proposal struct {
	at   float64
	text string
}

func (w *world) after(ms float64, do func()) {
	w.events.Add(w.now+ms, do)
}

func (w *world) between(least, most float64) float64 { return least + w.luck.Float64()*(most-least) }

func (w *world) fault(format string, v ...any) {
	if len(w.result.Faults) < 8 {
		w.result.Faults = append(w.result.Faults, fmt.Sprintf("%.0f ms: ", w.now)+fmt.Sprintf(format, v...))
	}
}

func (w *world) count(kind string) { w.result.Counts[kind]++ }

// bound is the time after the last fault in which every change must have ended and the next one must hold everywhere: a node's
// renewal, the lease of one that died, and the group's next leader.
func (w *world) bound() float64 { return 3*w.set.Lease + 4000 }

// Play plays one history.
func Play(set Settings) Result {
	w := &world{set: set, luck: rand.New(rand.NewPCG(set.Seed, 61)), now: 1e6, ends: map[uint64]moment{}, starts: map[uint64]moment{},
		proposals: map[string]*proposal{}, texts: map[uint64]string{0: ""}, result: Result{Counts: map[string]int{}}}
	w.log = newAgreed(w)
	for i := range set.Nodes {
		n := &node{w: w, name: fmt.Sprintf("n%03d", i), rate: w.between(0.98, 1.02), offset: w.between(-2000, 2000)}
		w.nodes = append(w.nodes, n)
		if w.luck.Float64() >= set.Part {
			w.after(w.between(0, 500), n.start)
		} else if set.Faults > 0 {
			w.after(w.between(0, set.Length), n.relieve)
		}
		if w.luck.Float64() < set.Part {
			n.slow = w.between(20, 300)
		}
	}
	for i := range 2 {
		o := &operator{w: w, name: fmt.Sprint("operator ", i)}
		w.operators = append(w.operators, o)
		w.after(w.between(600, 600+set.Between), o.next)
	}
	for range set.Faults {
		w.after(w.between(500, set.Length), w.trouble)
	}
	if set.Hung {
		w.after(w.between(600, 600+set.Length/4), w.nodes[0].stop)
	}
	w.after(set.Length, w.heal)
	end := w.now + set.Length + 4*w.bound()
	for w.now < end && len(w.result.Faults) == 0 {
		at, do, ok := w.events.Next()
		if !ok {
			break
		}
		w.now = at
		do()
	}
	w.judge()
	return w.result
}

// heal ends all faults, and has one more change be agreed, which every node must hold in the end.
func (w *world) heal() {
	w.healed = true
	w.log.disk = 0
	for _, n := range w.nodes {
		n.out, n.in = false, false
		n.slow = min(n.slow, 50)
		n.wake()
		if !n.up {
			n.start()
		}
	}
	under := ""
	if c := w.log.machine.View().Change; c != nil {
		under = c.ID
	}
	w.after(w.bound(), func() {
		if o, ok := w.log.machine.Outcome(under); ok && (o.Stage == rollout.Validating || o.Stage == rollout.Pausing) {
			w.fault("%s is still %s after the last fault", under, o.Stage)
		}
		last := &operator{w: w, name: "the last", last: true}
		last.next()
		w.after(w.bound(), func() { w.whole(last) })
	})
}

// whole holds the end of the history against the words: nothing is half held.
func (w *world) whole(last *operator) {
	if last.agreed == 0 {
		w.fault("the last change is not agreed: %s", last.reason)
	}
	for _, n := range w.nodes {
		n.settle()
		if holds, hash, _ := n.holder.InForce(); holds != w.log.machine.Number() || hash != rollout.Hash(w.texts[holds]) || !n.open() {
			w.fault("%s holds number %d (%s) and calls begin: %v; number %d holds", n.name, holds, hash, n.open(), w.log.machine.Number())
		}
	}
	w.events = agenda.Agenda{}
}

// judge holds all calls that could begin against each other.
func (w *world) judge() {
	last := moment{}
	lastNumber := uint64(0)
	for number := uint64(0); number <= w.log.machine.Number(); number++ {
		if start, ok := w.starts[number]; ok && lastNumber < number && start.at < last.at {
			w.fault("a call began at %s under number %d at %.2f ms, and one at %s under number %d until %.2f ms", start.node, number, start.at,
				last.node, lastNumber, last.at)
		}
		if end, ok := w.ends[number]; ok && end.at > last.at {
			last, lastNumber = end, number
		}
	}
	for number := range w.starts {
		if number > w.log.machine.Number() {
			w.fault("a call began under number %d, which never held", number)
		}
	}
	slices.Sort(w.result.Changes)
	slices.Sort(w.result.Held)
}

// proposed is the step of a change before its operator is told anything.
const proposed rollout.Stage = "proposed"

// operator proposes one document after the other, and dies now and then while it waits.
type operator struct {
	w      *world
	name   string
	base   uint64
	serial int
	last   bool // it proposes what every node can take, until one is agreed
	agreed uint64
	reason string
}

func (o *operator) next() {
	w := o.w
	if w.healed && !o.last || o.agreed > 0 {
		return
	}
	o.serial++
	id := fmt.Sprintf("%s's %d", o.name, o.serial)
	text := "by " + id
	if !o.last && w.luck.IntN(8) == 0 {
		text += " not for " + w.nodes[w.luck.IntN(len(w.nodes))].name
	}
	w.proposals[id] = &proposal{at: w.now, text: text}
	if w.log.machine.View().Change != nil {
		w.count("met: two operators at once")
	}
	dies := rollout.Stage("")
	if !o.last && w.set.Faults > 0 && w.luck.IntN(3) == 0 {
		dies = []rollout.Stage{proposed, rollout.Validating, rollout.Pausing}[w.luck.IntN(3)]
	}
	o.ask(rollout.Proposal{ID: id, Text: text, Base: o.base, By: o.name}, dies)
}

// ask asks until the proposal has ended, or the operator dies.
func (o *operator) ask(p rollout.Proposal, dies rollout.Stage) {
	w := o.w
	if dies == proposed {
		o.die(proposed)
		w.log.ask(&command{propose: &p, told: func(*command) {}})
		return
	}
	w.log.ask(&command{propose: &p, told: func(c *command) {
		end := c.outcome
		switch end.Stage {
		case rollout.Activated:
			o.base = end.Number
			if o.last {
				o.agreed = end.Number
			}
		case rollout.Rejected:
			o.base, o.reason = w.log.machine.Number(), end.Reason
		default:
			if dies == end.Stage {
				o.die(end.Stage)
				return
			}
			w.after(w.between(2, 12), func() { o.ask(p, dies) })
			return
		}
		pause := w.between(0, 2*w.set.Between)
		if o.last {
			pause = 100
		}
		w.after(pause, o.next)
	}})
}

// die ends an operator's program; the next begins from what holds.
func (o *operator) die(at rollout.Stage) {
	o.w.count("fault: a proposer that dies")
	o.w.count("met: a proposer that died while " + string(at))
	o.w.after(o.w.between(50, 50+o.w.set.Between), func() {
		o.base = o.w.log.machine.Number()
		o.next()
	})
}
