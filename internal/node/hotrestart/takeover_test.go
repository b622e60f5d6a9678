package hotrestart

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // the same histories every time
)

// A play has one giver and up to three takers, messages between them that arrive late or never, processes that are
// killed or told to stop, and a clock that goes as it likes. It is the judge of what must hold at every moment.
type play struct {
	t         *rapid.T
	now       float64
	giver     *Predecessor
	giverDead bool
	accepts   bool // the giver
	holds     bool // the giver holds what only one process may
	releasing bool // it is letting go of that, which takes its time: what it does next waits in later
	later     []Action
	gone      bool // the giver was told to stop and has closed its own sockets
	takers    []*taker
	cut       bool // a connection broke though both sides live
}

type taker struct {
	machine            *Successor
	id                 int
	dead, out          bool // killed; ended of its own accord
	sentAway           bool // it has read that the giver goes on
	prepared           bool // Prepare was asked for
	accepts, accepted  bool
	hasSockets, alone  bool
	toGiver, fromGiver []Message
	up                 bool // the connection
	told               bool // it knows that the connection has ended
	giverTold          bool // and the giver does
}

func (p *play) giverDoes(list []Action) {
	for i, a := range list {
		if p.releasing { // one thing after the other
			p.later = append(p.later, list[i:]...)
			return
		}
		switch a.Do {
		case Send:
			for _, x := range p.takers {
				if x.id == a.Peer && x.up {
					x.fromGiver = append(x.fromGiver, a.Message)
				}
			}
		case CloseConnection:
			for _, x := range p.takers {
				if x.id == a.Peer {
					x.up, x.giverTold = false, true
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

func (p *play) takerDoes(x *taker, list []Action) {
	for _, a := range list {
		switch a.Do {
		case Send:
			if x.up {
				x.toGiver = append(x.toGiver, a.Message)
			}
		case CloseConnection:
			x.up, x.told = false, true
		case Prepare:
			x.prepared, x.hasSockets = true, true
		case StartFresh:
			require.True(p.t, p.giverDead || x.machine.state == over, "alone beside a giver")
			x.alone = true
		case Accept:
			require.True(p.t, x.hasSockets)
			x.accepts, x.accepted = true, true
		case Abort:
			require.False(p.t, x.accepted, "gave up what it owes answers for")
			leaves := p.giverDead && x.told || !p.giverDead && p.giver.Stopping() && !p.cut
			require.False(p.t, x.hasSockets && leaves && !x.sentAway, "gave up though the giver does not go on")
			x.out = true
		case Leave:
			x.accepts, x.out = false, true
		}
	}
}

// released has the giver go on with what it does after it let go.
func (p *play) released() {
	if !p.releasing {
		return
	}
	p.releasing = false
	list := p.later
	p.later = nil
	if !p.giverDead {
		p.giverDoes(list)
	}
}

// step does one thing that may happen, and tells whether the takeover itself goes on by it.
func (p *play) step() {
	x := p.takers[min(rapid.IntRange(0, 6).Draw(p.t, "taker"), len(p.takers)-1)]
	switch rapid.IntRange(0, 16).Draw(p.t, "what") {
	case 0, 1, 2, 3:
		p.giverReads(x)
	case 4, 5, 6, 7:
		p.takerReads(x)
	case 8, 9, 10:
		p.becomesReady(x)
	case 11, 12: // time goes by, and not everybody notices
		p.now += rapid.SampledFrom([]float64{900, 1100, 70000}).Draw(p.t, "time")
		p.ticks(x)
	case 13:
		if rapid.IntRange(0, 3).Draw(p.t, "kill") == 0 {
			x.dead, x.accepts, x.up = true, false, false
			x.toGiver = x.toGiver[:rapid.IntRange(0, len(x.toGiver)).Draw(p.t, "arrives")]
		}
	case 14:
		switch {
		case rapid.IntRange(0, 3).Draw(p.t, "kill giver") == 0:
			p.giverDead, p.accepts, p.holds = true, false, false
			for _, x := range p.takers {
				x.up, x.toGiver = false, nil
			}
		case rapid.IntRange(0, 3).Draw(p.t, "stop") == 0 && !p.giverDead && !p.releasing:
			p.giverDoes(p.giver.Stop(p.now))
		case p.giver.Stopping() && rapid.Bool().Draw(p.t, "close"):
			p.accepts, p.gone = false, true
		}
	case 15:
		if rapid.IntRange(0, 3).Draw(p.t, "cut") == 0 && x.up {
			x.up, p.cut = false, true
			x.toGiver, x.fromGiver = nil, nil
		}
	case 16:
		p.released()
	}
	p.judge()
}

func (p *play) giverReads(x *taker) {
	switch {
	case p.giverDead || x.giverTold || p.releasing: // it reads nothing meanwhile
	case len(x.toGiver) > 0:
		m := x.toGiver[0]
		x.toGiver = x.toGiver[1:]
		p.giverDoes(p.giver.Receive(p.now, x.id, m))
	case !x.up:
		x.giverTold = true
		p.giverDoes(p.giver.ConnectionLost(x.id))
	}
}

func (p *play) takerReads(x *taker) {
	switch {
	case x.dead || x.out || x.told:
	case len(x.fromGiver) > 0:
		m := x.fromGiver[0]
		x.fromGiver = x.fromGiver[1:]
		x.sentAway = x.sentAway || m == Withdrawn
		p.takerDoes(x, x.machine.Receive(m, ""))
	case !x.up:
		x.told = true
		p.takerDoes(x, x.machine.ConnectionLost(!p.giverDead))
	}
}

func (p *play) becomesReady(x *taker) {
	if x.prepared && !x.dead && !x.out {
		p.takerDoes(x, x.machine.Prepared(p.now))
	}
}

func (p *play) ticks(x *taker) {
	if !p.giverDead && !p.releasing {
		p.giverDoes(p.giver.Tick(p.now))
	}
	for len(x.fromGiver) > 0 && !x.dead && !x.out { // what has come goes before what is late
		p.takerReads(x)
	}
	if !x.dead && !x.out {
		p.takerDoes(x, x.machine.Tick(p.now))
	}
}

func (p *play) judge() {
	others := 0
	for _, x := range p.takers {
		if x.accepts && !slices.Contains(x.fromGiver, Withdrawn) { // else it is about to leave
			others++
		}
		require.False(p.t, x.dead && x.accepts)
	}
	if !p.giverDead && !p.giver.Stopping() {
		if !p.accepts {
			heirs := slices.ContainsFunc(p.takers, func(x *taker) bool { return x.accepted })
			require.True(p.t, heirs, "the giver stopped and nobody has ever accepted in its place")
		}
		require.False(p.t, p.accepts && !p.holds && p.giver.state != yielding, "it serves without what it must hold")
	}
	if !p.cut {
		require.LessOrEqual(p.t, others, 1, "two takers accept")
	}
}

// settle lets all that is on its way arrive, and everybody become ready or run out of time.
func (p *play) settle() {
	p.released()
	for range 40 {
		p.released()
		for _, x := range p.takers {
			p.giverReads(x)
			p.takerReads(x)
			p.becomesReady(x)
			p.judge()
		}
	}
	for _, x := range p.takers {
		mine := p.giver.peer == x.id && p.giver.state != given
		require.False(p.t, mine && !x.up && p.giver.state != alone && !p.giverDead, "a taker that is gone is waited for")
	}
	p.now += 1e6
	for range 10 {
		for _, x := range p.takers {
			p.ticks(x)
			p.giverReads(x)
			p.takerReads(x)
			p.judge()
		}
	}
}

// Guards against a moment in which nobody accepts though a process that could is alive, against two takers that both
// think the place is theirs, against a giver that serves without its directory, and against an end that owes answers,
// whatever messages are late or lost and whoever is killed, stopped or slow at whichever point.
func TestTakeover(t *testing.T) {
	history := func(t *rapid.T) {
		p := &play{t: t, giver: NewPredecessor(Limits{Answer: 1000, Prepare: 60000}), accepts: true, holds: true}
		for i := range rapid.SampledFrom([]int{1, 1, 2, 3}).Draw(t, "takers") {
			x := &taker{machine: NewSuccessor(0, Limits{Answer: 1000}), id: i + 1, up: true, toGiver: []Message{Hello}}
			p.takers = append(p.takers, x)
		}
		if rapid.IntRange(0, 3).Draw(t, "stopping from the beginning") == 0 {
			p.giverDoes(p.giver.Stop(p.now))
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			p.step()
		}
		p.settle()
		serving, alive := 0, 0
		for _, x := range p.takers {
			if x.accepts || x.alone && !x.dead {
				serving++
			}
			if x.hasSockets && !x.dead && !x.out {
				alive++
			}
		}
		if p.accepts && !p.giver.Stopping() {
			serving++
			require.True(t, p.holds || p.cut)
		}
		if alive > 0 {
			require.Positive(t, serving, "a process lives that has the sockets, and nobody accepts")
		}
		if !p.cut && !p.giver.Stopping() {
			lone := slices.ContainsFunc(p.takers, func(x *taker) bool { return x.alone })
			require.True(t, serving <= 1 || lone, "%d processes serve at one address", serving)
		}
	}
	for range 10 { // a thousand histories, half a second
		rapid.Check(t, history)
	}
}

// Guards against a taker that ends, or waits for ever, though it has the listening sockets anyway, whatever it hears from the
// process before, however late.
func TestTakerThatSharesTheSocketsServes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, now := NewSuccessor(0, Limits{Answer: 1000, Shared: true}), 0.0
		alone, accepted := false, false
		does := func(list []Action) {
			for _, a := range list {
				require.NotContains(t, []Do{Abort, Leave}, a.Do)
				alone, accepted = alone || a.Do == StartFresh, accepted || a.Do == Accept
			}
		}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				does(x.Receive(Message(rapid.IntRange(0, int(messages)-1).Draw(t, "message")), ""))
			case 1:
				now += rapid.SampledFrom([]float64{500, 1500}).Draw(t, "time")
				does(x.Tick(now))
			case 2:
				does(x.Prepared(now))
			case 3:
				does(x.ConnectionLost(rapid.Bool().Draw(t, "alive")))
			}
		}
		does(x.Tick(now + 1e6))
		does(x.Prepared(now + 1e6))
		does(x.Tick(now + 1e7))
		require.True(t, alone || accepted && x.IsAccepting())
	})
}
