package hotrestart

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // fixes the seed of rapid
)

// simulation has one predecessor and up to three successors, messages between them that arrive late or never,
// processes that are killed or stopped, and a clock that advances by arbitrary steps. It checks the invariants
// after every step.
type simulation struct {
	t               *rapid.T
	now             float64
	predecessor     *Predecessor
	predecessorDead bool
	accepts         bool // the predecessor accepts
	holds           bool // the predecessor holds the exclusive resources
	releasing       bool // a slow Release is in progress: the actions after it wait in later
	later           []Action
	gone            bool // the predecessor was stopped and has closed its own sockets
	successors      []*successor
	cut             bool // a connection broke while both sides were alive
}

type successor struct {
	machine                        *Successor
	id                             int
	dead, out                      bool // killed; ended by itself
	withdrawn                      bool // it has read Withdrawn
	prepared                       bool // it was asked to prepare
	accepts, accepted              bool
	hasSockets, fresh              bool
	toPredecessor, fromPredecessor []Message
	up                             bool // the connection
	notified                       bool // it has been notified that the connection ended
	predecessorNotified            bool // the predecessor has been notified of it
}

func (p *simulation) predecessorDoes(list []Action) {
	for i, a := range list {
		if p.releasing { // actions are carried out one after the other
			p.later = append(p.later, list[i:]...)
			return
		}
		switch a.Do {
		case Send:
			for _, x := range p.successors {
				if x.id == a.Peer && x.up {
					x.fromPredecessor = append(x.fromPredecessor, a.Message)
				}
			}
		case CloseConnection:
			for _, x := range p.successors {
				if x.id == a.Peer {
					x.up, x.predecessorNotified = false, true
				}
			}
		case Release:
			require.True(p.t, p.holds, "released twice")
			p.holds = false
			p.releasing = rapid.IntRange(0, 3).Draw(p.t, "slow release") == 0
		case Reacquire:
			require.False(p.t, p.holds, "regained twice")
			p.holds = true
		case StopAccept:
			p.accepts = false
		}
	}
}

func (p *simulation) successorDoes(x *successor, list []Action) {
	for _, a := range list {
		switch a.Do {
		case Send:
			if x.up {
				x.toPredecessor = append(x.toPredecessor, a.Message)
			}
		case CloseConnection:
			x.up, x.notified = false, true
		case Prepare:
			x.prepared, x.hasSockets = true, true
		case StartFresh:
			require.True(p.t, p.predecessorDead || x.machine.state == over, "started without a takeover beside a live predecessor")
			x.fresh = true
		case Accept:
			require.True(p.t, x.hasSockets)
			x.accepts, x.accepted = true, true
		case Abort:
			require.False(p.t, x.accepted, "ended with calls in flight")
			predecessorLeaves := p.predecessorDead && x.notified || !p.predecessorDead && p.predecessor.Stopping() && !p.cut
			require.False(p.t, x.hasSockets && predecessorLeaves && !x.withdrawn, "ended although the predecessor will not resume")
			x.out = true
		case Leave:
			x.accepts, x.out = false, true
		}
	}
}

// finishRelease completes a slow Release and carries out the actions that waited for it.
func (p *simulation) finishRelease() {
	if !p.releasing {
		return
	}
	p.releasing = false
	list := p.later
	p.later = nil
	if !p.predecessorDead {
		p.predecessorDoes(list)
	}
}

// step simulates one random event.
func (p *simulation) step() {
	x := p.successors[min(rapid.IntRange(0, 6).Draw(p.t, "successor"), len(p.successors)-1)]
	switch rapid.IntRange(0, 16).Draw(p.t, "what") {
	case 0, 1, 2, 3:
		p.predecessorReads(x)
	case 4, 5, 6, 7:
		p.successorReads(x)
	case 8, 9, 10:
		p.becomesReady(x)
	case 11, 12: // time passes, and not every process gets to run
		p.now += rapid.SampledFrom([]float64{900, 1100, 70000}).Draw(p.t, "time")
		p.ticks(x)
	case 13:
		if rapid.IntRange(0, 3).Draw(p.t, "kill") == 0 {
			x.dead, x.accepts, x.up = true, false, false
			x.toPredecessor = x.toPredecessor[:rapid.IntRange(0, len(x.toPredecessor)).Draw(p.t, "arrives")]
		}
	case 14:
		switch {
		case rapid.IntRange(0, 3).Draw(p.t, "kill predecessor") == 0:
			p.predecessorDead, p.accepts, p.holds = true, false, false
			for _, x := range p.successors {
				x.up, x.toPredecessor = false, nil
			}
		case rapid.IntRange(0, 3).Draw(p.t, "stop") == 0 && !p.predecessorDead && !p.releasing:
			p.predecessorDoes(p.predecessor.Stop(p.now))
		case p.predecessor.Stopping() && rapid.Bool().Draw(p.t, "close"):
			p.accepts, p.gone = false, true
		}
	case 15:
		if rapid.IntRange(0, 3).Draw(p.t, "cut") == 0 && x.up {
			x.up, p.cut = false, true
			x.toPredecessor, x.fromPredecessor = nil, nil
		}
	case 16:
		p.finishRelease()
	}
	p.check()
}

func (p *simulation) predecessorReads(x *successor) {
	switch {
	case p.predecessorDead || x.predecessorNotified || p.releasing: // it reads nothing during a Release
	case len(x.toPredecessor) > 0:
		m := x.toPredecessor[0]
		x.toPredecessor = x.toPredecessor[1:]
		p.predecessorDoes(p.predecessor.Receive(p.now, x.id, m))
	case !x.up:
		x.predecessorNotified = true
		p.predecessorDoes(p.predecessor.ConnectionLost(x.id))
	}
}

func (p *simulation) successorReads(x *successor) {
	switch {
	case x.dead || x.out || x.notified:
	case len(x.fromPredecessor) > 0:
		m := x.fromPredecessor[0]
		x.fromPredecessor = x.fromPredecessor[1:]
		x.withdrawn = x.withdrawn || m == Withdrawn
		p.successorDoes(x, x.machine.Receive(m, ""))
	case !x.up:
		x.notified = true
		p.successorDoes(x, x.machine.ConnectionLost(!p.predecessorDead))
	}
}

func (p *simulation) becomesReady(x *successor) {
	if x.prepared && !x.dead && !x.out {
		p.successorDoes(x, x.machine.Prepared(p.now))
	}
}

func (p *simulation) ticks(x *successor) {
	if !p.predecessorDead && !p.releasing {
		p.predecessorDoes(p.predecessor.Tick(p.now))
	}
	for len(x.fromPredecessor) > 0 && !x.dead && !x.out { // messages that have arrived are handled before time-outs
		p.successorReads(x)
	}
	if !x.dead && !x.out {
		p.successorDoes(x, x.machine.Tick(p.now))
	}
}

func (p *simulation) check() {
	others := 0
	for _, x := range p.successors {
		if x.accepts && !slices.Contains(x.fromPredecessor, Withdrawn) { // otherwise it is about to leave
			others++
		}
		require.False(p.t, x.dead && x.accepts)
	}
	if !p.predecessorDead && !p.predecessor.Stopping() {
		if !p.accepts {
			accepted := slices.ContainsFunc(p.successors, func(x *successor) bool { return x.accepted })
			require.True(p.t, accepted, "the predecessor stopped accepting and no successor has ever accepted")
		}
		require.False(p.t, p.accepts && !p.holds && p.predecessor.state != granting, "it serves without its exclusive resources")
	}
	if !p.cut {
		require.LessOrEqual(p.t, others, 1, "two successors accept")
	}
}

// settle delivers all messages in flight, and lets every process become ready or exceed its time limit.
func (p *simulation) settle() {
	p.finishRelease()
	for range 40 {
		p.finishRelease()
		for _, x := range p.successors {
			p.predecessorReads(x)
			p.successorReads(x)
			p.becomesReady(x)
			p.check()
		}
	}
	for _, x := range p.successors {
		current := p.predecessor.peer == x.id && p.predecessor.state != handedOver
		require.False(p.t, current && !x.up && p.predecessor.state != idle && !p.predecessorDead, "the predecessor waits for a successor that is gone")
	}
	p.now += 1e6
	for range 10 {
		for _, x := range p.successors {
			p.ticks(x)
			p.predecessorReads(x)
			p.successorReads(x)
			p.check()
		}
	}
}

// Guards against a moment in which no process accepts although one that could is alive, against two successors
// that both take over, against a predecessor that serves without its exclusive resources, and against a process
// that ends with calls in flight, whatever messages are late or lost and whichever process is killed, stopped or
// slow at any point.
func TestTakeover(t *testing.T) {
	history := func(t *rapid.T) {
		p := &simulation{t: t, predecessor: NewPredecessor(Limits{Answer: 1000, Prepare: 60000}), accepts: true, holds: true}
		for i := range rapid.SampledFrom([]int{1, 1, 2, 3}).Draw(t, "successors") {
			x := &successor{machine: NewSuccessor(0, Limits{Answer: 1000}), id: i + 1, up: true, toPredecessor: []Message{Hello}}
			p.successors = append(p.successors, x)
		}
		if rapid.IntRange(0, 3).Draw(t, "stopping from the beginning") == 0 {
			p.predecessorDoes(p.predecessor.Stop(p.now))
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			p.step()
		}
		p.settle()
		serving, alive := 0, 0
		for _, x := range p.successors {
			if x.accepts || x.fresh && !x.dead {
				serving++
			}
			if x.hasSockets && !x.dead && !x.out {
				alive++
			}
		}
		if p.accepts && !p.predecessor.Stopping() {
			serving++
			require.True(t, p.holds || p.cut)
		}
		if alive > 0 {
			require.Positive(t, serving, "a live process has the listening sockets, and none accepts")
		}
		if !p.cut && !p.predecessor.Stopping() {
			fresh := slices.ContainsFunc(p.successors, func(x *successor) bool { return x.fresh })
			require.True(t, serving <= 1 || fresh, "%d processes serve at one address", serving)
		}
	}
	for range 10 { // a thousand histories in all, which take half a second
		rapid.Check(t, history)
	}
}

// Guards against a successor that ends or waits for ever although it has the listening sockets in any case,
// whatever it receives from the predecessor, and however late.
func TestSuccessorWithSharedSocketsServes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, now := NewSuccessor(0, Limits{Answer: 1000, Shared: true}), 0.0
		fresh, accepted := false, false
		check := func(list []Action) {
			for _, a := range list {
				require.NotContains(t, []Do{Abort, Leave}, a.Do)
				fresh, accepted = fresh || a.Do == StartFresh, accepted || a.Do == Accept
			}
		}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				check(x.Receive(Message(rapid.IntRange(0, int(messages)-1).Draw(t, "message")), ""))
			case 1:
				now += rapid.SampledFrom([]float64{500, 1500}).Draw(t, "time")
				check(x.Tick(now))
			case 2:
				check(x.Prepared(now))
			case 3:
				check(x.ConnectionLost(rapid.Bool().Draw(t, "alive")))
			}
		}
		check(x.Tick(now + 1e6))
		check(x.Prepared(now + 1e6))
		check(x.Tick(now + 1e7))
		require.True(t, fresh || accepted && x.IsAccepting())
	})
}
