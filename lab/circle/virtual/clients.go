package virtual

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"github.com/anishathalye/porcupine"

	"linenwheel.dev/linenwheel/internal/ledger"
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

// ask is one thing that a client wants.
type ask struct {
	client  *client
	number  uint64
	read    bool
	body    json.RawMessage
	op      op
	called  float64
	told    float64 // +Inf = never
	tries   int
	maybe   bool // it went to a leader before
	outcome ledger.Reply
}

// op is what it means to the judge.
type op struct {
	name  string
	read  bool
	value string // that was set or read
	was   uint64 // the number it was based on, where it had one
	based bool
	clash bool   // it was told that another number holds
	have  uint64 // the number that it was told
	open  bool   // nobody knows what became of it
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
	a := &ask{client: c, called: w.now, told: math.Inf(1)}
	switch {
	case c.session == 0:
		w.fresh++
		a.number, a.body = w.fresh, encode(ledger.Opening{Name: c.name})
	case c.left == 0:
		c.now = nil
		return
	default:
		c.left--
		name := "r" + strconv.Itoa(w.luck.IntN(3))
		a.op.name = name
		if a.op.read = w.luck.IntN(3) == 0; a.op.read {
			a.read, a.body = true, encode(ledger.Get{Name: name})
			w.fresh++
			a.number = w.fresh
		} else {
			a.number = c.done + 1
			a.op.value = fmt.Sprintf("%s-%d", c.name, a.number)
			set := ledger.Set{Name: name, Value: a.op.value}
			if w.luck.IntN(3) == 0 {
				a.op.based, a.op.was = true, w.lastSeen(name)
				set.Was = &a.op.was
			}
			a.body = encode(set)
		}
		w.history = append(w.history, a)
	}
	c.now = a
	c.ask(a)
}

// lastSeen is a number that some client was told for a name, which may hold no more.
func (w *world) lastSeen(name string) uint64 {
	for i := len(w.history) - 1; i >= 0; i-- {
		if a := w.history[i]; a.op.name == name && !math.IsInf(a.told, 1) {
			return a.op.have
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
	a.tries++
	m := w.members[c.at%len(w.members)]
	w.after(0.2+w.luck.Float64(), func() {
		if m.group == nil {
			c.turn(a, 20)
			return
		}
		m.run(func() { m.hear(a) })
	})
	try := a.tries
	w.after(patience, func() {
		if c.now == a && a.tries == try {
			w.counts["met: an answer that did not come"]++
			c.turn(a, 0)
		}
	})
}

func (c *client) turn(a *ask, pause float64) {
	if c.now != a {
		return
	}
	c.at++
	c.w.after(pause*(0.5+c.w.luck.Float64()), func() { c.ask(a) })
}

// hear is a client's ask at a member.
func (m *member) hear(a *ask) {
	c := a.client
	if c.now != a {
		return
	}
	if a.read && m.w.set.Wrong == ReadsStale {
		m.w.answer(a, m.group.Query(ledger.Ask{Part: ledger.PartRegister, Body: a.body}))
		return
	}
	var err error
	if a.read {
		m.readings++
		if err = m.group.Read(m.readings); err == nil {
			m.reads[m.readings] = a
		}
	} else {
		command := ledger.Command{Session: c.session, Number: a.number, Done: c.done, Part: ledger.PartRegister, Body: a.body}
		if c.session == 0 {
			command.Part = ""
		}
		if m.w.set.Wrong == AppliesTwice && a.maybe && c.session != 0 {
			command.Number = c.done + 1 + uint64(a.tries%7) // a number of its own for each try
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
		c.turn(a, 30)
	}
}

// answer tells a client what became of its ask.
func (w *world) answer(a *ask, r ledger.Reply) {
	w.after(0.2+w.luck.Float64(), func() {
		c := a.client
		if c.now != a {
			return
		}
		a.told, a.outcome = w.now, r
		if a.op.name == "" {
			if r.Code != ledger.OK {
				w.fault("%s got no session: %s", c.name, r.Text)
			}
			c.session = r.Index
		} else {
			a.judgeable(r)
		}
		if !a.read && c.session != 0 && a.op.name != "" {
			c.done = a.number
		}
		w.after(w.luck.Float64()*60, c.next)
		c.now = nil
	})
}

// judgeable puts the reply into the judge's terms.
func (a *ask) judgeable(r ledger.Reply) {
	var v ledger.Value
	if len(r.Body) > 0 && json.Unmarshal(r.Body, &v) != nil {
		a.client.w.fault("a body that cannot be read: %s", r.Body)
	}
	a.op.have = v.Number
	switch {
	case a.op.read:
		a.op.value = v.Value
	case r.Code == ledger.Conflict:
		a.op.clash = true
	case r.Code == ledger.Lost:
		a.told, a.op.open = math.Inf(1), true
	case r.Code != ledger.OK:
		a.client.w.fault("%s: %s", r.Code, r.Text)
	case a.op.have == 0: // told early
		a.op.have = r.Index
	}
}

// history is all that clients asked for.
type history []*ask

func (h history) told() (n int) {
	for _, a := range h {
		if !math.IsInf(a.told, 1) {
			n++
		}
	}
	return n
}

// state of one name, as the judge has it. The numbers of entries are not known beforehand: a set that was told says which it
// got; one whose answer never came leaves the number open.
type state struct {
	value  string
	number uint64 // 0 = not known, or nothing held
	held   bool
}

// judge holds the history against one register a name that changes at one moment within each ask.
func (h history) judge() (faults []string) {
	names := map[string][]porcupine.Operation{}
	for _, a := range h {
		o := a.op
		end := int64(math.MaxInt64)
		if !math.IsInf(a.told, 1) {
			end = int64(a.told * 1e6)
		} else {
			o.open = true
		}
		names[o.name] = append(names[o.name], porcupine.Operation{ClientId: a.client.number, Input: o, Call: int64(a.called * 1e6),
			Output: o, Return: end})
	}
	model := porcupine.Model{Init: func() any { return state{} }, Step: func(s, in, _ any) (bool, any) { return step(s.(state), in.(op)) }}
	for name, operations := range names {
		if !porcupine.CheckOperations(model, operations) {
			faults = append(faults, fmt.Sprintf("no order of the asks for %s explains what was told", name))
		}
	}
	return faults
}

func step(s state, o op) (bool, any) {
	switch {
	case o.open && o.read:
		return true, s
	case o.open: // it may have been based on a number that does not hold, and changed nothing
		if o.based && (s.number != 0 && s.number != o.was || !s.held && o.was != 0) {
			return true, s
		}
		return true, state{value: o.value, held: true}
	case o.read:
		return s.value == o.value && (s.number == 0 || s.number == o.have), s
	case o.clash:
		return s.number == 0 && s.held || s.number == o.have && o.have != o.was, s
	case o.based && s.number != o.was && (s.number != 0 || !s.held):
		return false, s
	}
	return true, state{value: o.value, number: o.have, held: true}
}
