package virtual

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
	"linenwheel.dev/linenwheel/lab/circle/judge"
)

// client asks for one thing after the other, each until it is told.
type client struct {
	w       *world
	number  int
	name    string
	session uint64
	done    uint64
	left    int
	now     *ask
	at      int // the member that it asks
}

// asker is whoever asks members for something.
type asker interface {
	wants(a *ask) bool          // a member that hears of it now need not drop it
	turn(a *ask, pause float64) // the member that was asked cannot: another is next, ms later
	told(a *ask, r statemachine.Reply)
}

// ask is one thing that somebody wants of the group.
type ask struct {
	by      asker
	session uint64 // 0 = it opens one
	number  uint64
	done    uint64
	part    string
	read    bool
	body    json.RawMessage
	op      judge.Ask // of a client of the register
	tries   int
	maybe   bool // it went to a leader before
}

func encode(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // of the ledger's own types
	}
	return text
}

// next begins the next ask.
func (c *client) next() {
	w := c.w
	a := &ask{by: c, part: statemachine.ComponentRegister, op: judge.Ask{Client: c.number, Called: w.now, Told: math.Inf(1)}}
	switch {
	case c.session == 0:
		w.fresh++
		a.number, a.body = w.fresh, encode(statemachine.Opening{Name: c.name})
	case c.left == 0:
		c.now = nil
		return
	default:
		c.left--
		name := "r" + strconv.Itoa(w.luck.IntN(3+w.set.Clients/4)) // few clients a name, so that a history can be judged
		a.op.Name = name
		if a.op.Read = w.luck.IntN(3) == 0; a.op.Read {
			a.read, a.body = true, encode(statemachine.Get{Name: name})
			w.fresh++
			a.number = w.fresh
		} else {
			a.number = c.done + 1
			a.op.Value = fmt.Sprintf("%s-%d", c.name, a.number)
			set := statemachine.Set{Name: name, Value: a.op.Value}
			if w.luck.IntN(3) == 0 {
				a.op.Based, a.op.Was = true, w.lastSeen(name)
				set.ExpectedNumber = &a.op.Was
			}
			a.body = encode(set)
		}
		w.history = append(w.history, a)
	}
	a.session, a.done = c.session, c.done
	c.now = a
	c.ask(a)
}

// lastSeen is a number that some client was told for a name, which may hold no more.
func (w *world) lastSeen(name string) uint64 {
	for i := len(w.history) - 1; i >= 0; i-- {
		if a := w.history[i]; a.op.Name == name && !math.IsInf(a.op.Told, 1) {
			return a.op.Number
		}
	}
	return 0
}

// ask sends the ask to a member, and again to another after a while.
func (c *client) ask(a *ask) {
	w := c.w
	if c.now != a {
		return
	}
	w.bring(a, c.at)
	try := a.tries
	w.after(patience, func() {
		if c.now == a && a.tries == try {
			w.counts["met: an answer that did not come"]++
			c.turn(a, 0)
		}
	})
}

// bring has a member asked.
func (w *world) bring(a *ask, at int) {
	a.tries++
	m := w.members[at%len(w.members)]
	w.after(0.2+w.luck.Float64(), func() {
		if m.group == nil {
			a.by.turn(a, 20)
			return
		}
		m.run(func() { m.hear(a) })
	})
}

func (c *client) wants(a *ask) bool { return c.now == a }

func (c *client) turn(a *ask, pause float64) {
	if c.now != a {
		return
	}
	c.at++
	c.w.after(pause*(0.5+c.w.luck.Float64()), func() { c.ask(a) })
}

// hear is an ask at a member.
func (m *simulatedMember) hear(a *ask) {
	if !a.by.wants(a) {
		return
	}
	if a.read && (m.w.set.Wrong == ReadsStale || m.w.set.Wrong == StaleLook) {
		m.w.answer(a, m.group.Query(statemachine.Request{Component: a.part, Body: a.body}))
		return
	}
	var err error
	if a.read {
		m.readings++
		if err = m.group.Read(m.readings); err == nil {
			m.reads[m.readings] = a
		}
	} else {
		command := statemachine.Command{Session: a.session, Number: a.number, Confirmed: a.done, Component: a.part, Body: a.body}
		if a.session == 0 {
			command.Component = ""
		}
		if m.w.set.Wrong == AppliesTwice && a.maybe && a.session != 0 {
			command.Number = a.done + 1 + uint64(a.tries%7) // a number of its own for each try
		}
		if m.w.set.Wrong == ShortWindow && m.name == "k0" {
			command.Body = shorten(command.Body)
		}
		if err = m.group.Propose(m.w.now+m.skew, command); err == nil {
			if a.maybe {
				m.w.counts["met: a command that was asked again"]++
			}
			a.maybe = true
			m.waiting[key{command.Session, command.Number}] = a
		}
	}
	if err != nil {
		a.by.turn(a, 30)
	}
}

// answer tells what became of an ask.
func (w *world) answer(a *ask, r statemachine.Reply) {
	w.after(0.2+w.luck.Float64(), func() { a.by.told(a, r) })
}

func (c *client) told(a *ask, r statemachine.Reply) {
	w := c.w
	if c.now != a {
		return
	}
	a.op.Told = w.now
	if a.op.Name == "" {
		if r.Code != statemachine.OK {
			w.fault("%s got no session: %s", c.name, r.Text)
		}
		c.session = r.Index
	} else {
		w.judgeable(a, r)
	}
	if !a.read && c.session != 0 && a.op.Name != "" {
		c.done = a.number
	}
	w.after(w.luck.Float64()*60, c.next)
	c.now = nil
}

// judgeable puts the reply into the judge's terms.
func (w *world) judgeable(a *ask, r statemachine.Reply) {
	var v statemachine.Value
	if len(r.Body) > 0 && json.Unmarshal(r.Body, &v) != nil {
		w.fault("a body that cannot be read: %s", r.Body)
	}
	a.op.Number = v.Number
	switch {
	case a.op.Read:
		a.op.Value = v.Value
	case r.Code == statemachine.Conflict:
		a.op.Clash = true
	case r.Code == statemachine.SessionLost:
		a.op.Told = math.Inf(1)
	case r.Code != statemachine.OK:
		w.fault("%s: %s", r.Code, r.Text)
	case a.op.Number == 0: // told early
		a.op.Number = r.Index
	}
}

// history is all that clients asked for.
type history []*ask

func (h history) told() (n int) {
	for _, a := range h {
		if !math.IsInf(a.op.Told, 1) {
			n++
		}
	}
	return n
}

// judge holds the history against what a register is.
func (h history) judge() []string {
	var asks []judge.Ask
	for _, a := range h {
		asks = append(asks, a.op)
	}
	return judge.Judge(asks)
}
