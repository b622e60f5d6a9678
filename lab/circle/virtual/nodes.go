package virtual

import (
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// node is one of the fleet: what internal/node/idempotency/fleet and internal/peers/client do, step by step.
type node struct {
	w      *world
	number int
	name   string
	life   int // 0 = it is down
	lives  int
	paused bool
	held   []func()
	mute   bool // members do not hear it
	deaf   bool // it does not hear members
	at     int  // the member that it asks
	line   *line
	up     bool // names can be taken
	told   bool // the fleet knows of this life
	seen   int  // answers to names
	before int  // the life whose place this one took, and which still answers what it had taken; 0 = none
	heir   *node
	work   func(life int) // what a life does from its start on
	dies   func()         // what is noted of a killed one; nil = nothing
}

// line is a session of a life.
type line struct {
	id, next, done uint64
	told           map[uint64]bool
	lost           bool
}

// outcome is what became of a call to the group.
type outcome uint8

const (
	agreed  outcome = iota
	nobody          // it was certainly not applied
	unknown         // it may have been, or may yet be
)

// call is one ask of a node, until it is answered or its time is up.
type call struct {
	n    *node
	life int
	line *line // nil of a read, and of what opens one
	sent bool  // a member may have passed it on
	out  bool  // one is being asked
	over bool
	asking
	then func(statemachine.Reply, outcome)
}

// start lets a node's process begin.
func (n *node) start() {
	n.lives++
	n.life = n.lives
	n.paused, n.held, n.line, n.up, n.told = false, nil, nil, false, false
	n.at = n.w.luck.IntN(n.w.set.Members)
	n.work(n.life)
}

func (n *node) kill() {
	if n.life == 0 {
		return
	}
	n.w.counts["fault: a node killed"]++
	if n.life = 0; n.dies != nil {
		n.dies()
	}
	if n.heir != nil {
		n.heir.alone()
		return
	}
	n.w.after(20+n.w.luck.Float64()*400, n.start)
}

// takeOver has a further process take the node's place: this one answers what it has, for a while.
func (n *node) takeOver() {
	w := n.w
	if n.life == 0 || n.heir != nil || w.members[0].group == nil || w.members[0].group.State().Members().WritableVersion() < 2 {
		return
	}
	w.counts["fault: a node taken over"]++
	n.heir = &node{w: w, number: n.number, name: n.name, lives: n.lives, before: n.life, mute: n.mute, deaf: n.deaf}
	n.heir.work = n.heir.watch
	w.nodes[n.number] = n.heir
	n.heir.start()
	if w.luck.IntN(2) == 0 { // while this one still answers
		w.counts["fault: an heir taken over"]++
		w.after(w.luck.Float64()*longest, n.heir.takeOver)
	}
	w.after(50+w.luck.Float64()*(longest+endFor), func() {
		if n.life != 0 {
			n.life = 0
			n.heir.alone()
		}
	})
}

// alone tells that the process before has ended: what it had taken and not ended may have run.
func (n *node) alone() { n.before, n.told = 0, false }

func (n *node) pause(ms float64) {
	if n.paused || n.life == 0 {
		return
	}
	n.w.counts["fault: a node stopped for a while"]++
	n.paused = true
	life := n.life
	n.w.after(ms, func() {
		if n.life == life {
			n.wake()
		}
	})
}

func (n *node) wake() {
	held := n.held
	n.paused, n.held = false, nil
	for _, do := range held {
		do()
	}
}

// step has a life of the node do something, once it is not stopped any more.
func (n *node) step(life int, do func()) {
	switch {
	case n.life != life:
	case n.paused:
		n.held = append(n.held, func() { n.step(life, do) })
	default:
		do()
	}
}

func (n *node) later(ms float64, do func()) {
	life := n.life
	n.w.after(ms, func() { n.step(life, do) })
}

// asking is how a command is asked for.
type asking struct {
	lose bool // its first acknowledgement is to be lost
	life bool // it tells of the process's life: not once another has its place
}

// do has a command agreed until a time.
func (n *node) do(until float64, part string, body any, as asking, then func(statemachine.Reply, outcome)) {
	if n.line == nil || n.line.lost {
		n.w.fresh++
		c := &call{n: n, life: n.life}
		c.then = func(r statemachine.Reply, how outcome) {
			if how != agreed {
				then(r, nobody) // a session that nobody uses does no harm
				return
			}
			if n.line == nil || n.line.lost {
				n.line = &line{id: r.Index, told: map[uint64]bool{}}
			}
			n.do(until, part, body, as, then)
		}
		c.begin(until, &ask{by: c, number: n.w.fresh, body: encode(statemachine.Opening{Name: n.name})})
		return
	}
	l := n.line
	l.next++
	c := &call{n: n, life: n.life, line: l, asking: as}
	number := l.next
	c.then = func(r statemachine.Reply, how outcome) {
		if how != agreed {
			l.lost = true
			then(r, how)
			return
		}
		l.told[number] = true
		for l.told[l.done+1] {
			l.done++
			delete(l.told, l.done)
		}
		if r.Code != statemachine.SessionLost {
			then(r, agreed)
			return
		}
		if l.lost = true; c.sent {
			then(r, unknown)
			return
		}
		n.do(until, part, body, as, then)
	}
	c.begin(until, &ask{by: c, session: l.id, number: number, done: l.done, part: part, body: encode(body)})
}

// read asks how things stand.
func (n *node) read(until float64, body any, then func(statemachine.Reply, outcome)) {
	n.w.fresh++
	c := &call{n: n, life: n.life, then: then}
	c.begin(until, &ask{by: c, number: n.w.fresh, read: true, part: statemachine.ComponentCalls, body: encode(body)})
}

func (c *call) begin(until float64, a *ask) {
	c.n.later(max(0, until-c.n.w.now), func() {
		if c.over {
			return
		}
		c.over = true
		if c.sent || c.out {
			c.then(statemachine.Reply{}, unknown)
		} else {
			c.then(statemachine.Reply{}, nobody)
		}
	})
	c.ask(a)
}

// ask sends it to a member, and to the next one after a while.
func (c *call) ask(a *ask) {
	n := c.n
	n.step(c.life, func() {
		if c.over {
			return
		}
		if c.asking.life && n.heir != nil && n.w.set.Wrong != OldSpeaks {
			c.over = true
			c.then(statemachine.Reply{}, unknown)
			return
		}
		c.out = true
		if c.line != nil {
			a.done = c.line.done
		}
		at := n.at
		if a.read && n.w.set.Wrong == StaleLook {
			at = n.w.luck.IntN(len(n.w.members))
		}
		if n.mute {
			a.tries++
		} else {
			n.w.bring(a, at)
		}
		try := a.tries
		n.later(tryFor, func() {
			if !c.over && a.tries == try && c.out {
				n.w.counts["met: an answer that did not come"]++
				c.sent = true
				c.again(a, 0)
			}
		})
	})
}

// again asks the next member.
func (c *call) again(a *ask, pause float64) {
	c.out = false
	c.n.at++
	a.tries++
	c.n.later(pause*(0.5+c.n.w.luck.Float64()), func() { c.ask(a) })
}

// wants is true always: a member does not know that nobody waits any more.
func (c *call) wants(*ask) bool { return true }

func (c *call) turn(a *ask, pause float64) {
	try := a.tries
	c.n.step(c.life, func() {
		if !c.over && a.tries == try && !c.n.deaf {
			c.again(a, pause/4)
		}
	})
}

func (c *call) told(_ *ask, r statemachine.Reply) {
	n := c.n
	if n.deaf {
		return
	}
	if c.lose {
		c.lose = false
		n.w.counts["fault: an acknowledgement lost"]++
		return
	}
	n.step(c.life, func() {
		if !c.over {
			c.over = true
			c.then(r, agreed)
		}
	})
}
