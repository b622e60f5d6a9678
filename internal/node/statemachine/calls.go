package statemachine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// PartCalls is the name of the part that holds calls which must not run twice.
const PartCalls = "calls"

// Bounds of the calls that are held.
const (
	MostCalls  = 200_000
	MostBodies = 32 << 20 // bytes of answers; the oldest go first
	MostBody   = 96 << 10 // bytes of one, in the nodes' form; a longer one is known without
	payers     = 64       // that tenants are counted under: one may hold callsAlpha times the room that nobody holds
	callsAlpha = 4
	mostWindow = 7 * 24 * 3.6e6 // ms
)

// Taken is what became of a name that was to be taken.
type Taken string

// What may become of it.
const (
	TakenRun      Taken = "run"      // it is the asker's: it may run
	TakenElse     Taken = "else"     // it runs elsewhere: ask again how it ended
	TakenReplay   Taken = "replay"   // it was answered so
	TakenSpent    Taken = "spent"    // it has run, and its answer is not kept
	TakenDoubt    Taken = "doubt"    // it may have run
	TakenMismatch Taken = "mismatch" // another content under the name
	TakenFull     Taken = "full"     // no room, ask again after Wait
	TakenUnknown  Taken = "unknown"  // nobody has it: the answer to a look alone
)

// Take has a name taken for a run.
type Take struct {
	Name     []byte  `json:"name"`  // 16 bytes
	Print    []byte  `json:"print"` // 16 bytes
	Tenant   string  `json:"tenant,omitempty"`
	Answered float64 `json:"answered"` // ms for which its answer is known
	Doubt    float64 `json:"doubt"`    // ms for which it is known that it may have run
	Run      float64 `json:"run"`      // ms after which it counts as one that may have run, if nobody says how it ended
	Node     string  `json:"node"`
	Life     uint64  `json:"life"`  // of the node's process, drawn at its start
	Token    uint64  `json:"token"` // of this run, drawn by the node
}

// Ended tells how a run ended.
type Ended struct {
	Name  []byte `json:"name"`
	Token uint64 `json:"token"`
	How   string `json:"how"` // served, not run, in doubt
	Body  []byte `json:"body,omitempty"`
}

// How a run ended.
const (
	HowServed = "served"
	HowNotRun = "not run"
	HowDoubt  = "in doubt"
)

// Fresh tells that a node's process has begun: what an earlier one had taken may have run.
type Fresh struct {
	Node   string `json:"node"`
	Life   uint64 `json:"life"`
	Secret []byte `json:"secret"` // a digest of what names are hashed under: the first one's holds for the fleet
	// Before is the life of a process of the node that still answers what it had taken, 0 = there is none: this one is its heir.
	Before uint64 `json:"before,omitempty"`
}

// callsCommand is one of these.
type callsCommand struct {
	Take  *Take  `json:"take,omitempty"`
	Ended *Ended `json:"ended,omitempty"`
	Fresh *Fresh `json:"fresh,omitempty"`
}

// TakeCommand, EndedCommand and FreshCommand are the bodies of commands for the part.
func TakeCommand(t Take) any   { return callsCommand{Take: &t} }
func EndedCommand(e Ended) any { return callsCommand{Ended: &e} }
func FreshCommand(f Fresh) any { return callsCommand{Fresh: &f} }

// Held is how much the part holds: the answer to a Look without a name.
type Held struct {
	Names   int `json:"names"`
	Running int `json:"running"` // of them
	Bytes   int `json:"bytes"`   // of answers
}

// Look asks how a name stands.
type Look struct {
	Name  []byte `json:"name"`
	Print []byte `json:"print"`
}

// Outcome answers a Take or a Look.
type Outcome struct {
	Taken Taken   `json:"taken"`
	Body  []byte  `json:"body,omitempty"`
	Wait  float64 `json:"wait,omitempty"` // ms
	Node  string  `json:"node,omitempty"` // that has it
}

// holder is who runs a name.
type holder struct {
	Ref   idempotency.Ref `json:"-"`
	Node  string          `json:"node"`
	Life  uint64          `json:"life"`
	Token uint64          `json:"token"`
	Until float64         `json:"until"` // ms of the group's time
}

// calls holds names: the pure book that a node has, with who runs what.
type calls struct {
	book    *idempotency.Book
	classes []idempotency.Class
	running map[idempotency.Name]holder
	next    float64 // when the first of them counts as one that may have run
	secret  []byte
	room    int // names at the most: MostCalls
}

// versionOfCall is 2 for what the first release of the log did not know.
func versionOfCall(body json.RawMessage) int {
	var c struct {
		Fresh *struct {
			Before uint64 `json:"before"`
		} `json:"fresh"`
	}
	if bytes.Contains(body, []byte(`"before"`)) && json.Unmarshal(body, &c) == nil && c.Fresh != nil && c.Fresh.Before != 0 {
		return 2
	}
	return 1
}

func newCalls() *calls {
	c := &calls{running: map[idempotency.Name]holder{}, next: math.Inf(1), classes: []idempotency.Class{{Once: true}}, room: MostCalls}
	c.book = newBook(c.classes, c.room)
	return c
}

func newBook(classes []idempotency.Class, room int) *idempotency.Book {
	book, err := idempotency.New(idempotency.Settings{Classes: classes, Tenants: payers, Entries: room, Bytes: MostBodies, Alpha: callsAlpha})
	if err != nil {
		panic(err) // the settings above can work
	}
	return book
}

// class gives the number of the class with these windows, made where there is none.
func (c *calls) class(answered, doubt float64) (int, bool) {
	want := idempotency.Class{Once: true, Answered: math.Floor(answered), Doubt: math.Floor(doubt)}
	if at := slices.Index(c.classes, want); at >= 0 {
		return at, true
	}
	n, ok := c.book.AddClass(want)
	if ok {
		c.classes = append(c.classes, want)
	}
	return n, ok
}

func toName(b []byte) (n idempotency.Name, ok bool) {
	return n, len(b) == copy(n[:], b) && len(b) == len(n)
}

func (c *calls) Apply(_ uint64, now float64, _ uint64, body json.RawMessage) Reply {
	var cmd callsCommand
	if err := json.Unmarshal(body, &cmd); err != nil {
		return Reply{Code: Faulty, Text: err.Error()}
	}
	now = math.Floor(now) // whole ms: an image gives back just the same times
	c.expire(now)
	switch {
	case cmd.Take != nil:
		return c.take(now, cmd.Take)
	case cmd.Ended != nil:
		return c.ended(now, cmd.Ended)
	case cmd.Fresh != nil:
		return c.fresh(now, cmd.Fresh)
	}
	return Reply{Code: Faulty, Text: "want take, ended or fresh"}
}

// expire lets runs of which nobody says how they ended count as such that may have run.
func (c *calls) expire(now float64) {
	c.book.Tick(now)
	if now < c.next {
		return
	}
	c.doubt(now, func(h holder) bool { return h.Until <= now })
}

// doubt ends the runs that are picked, in the order of their names, so that all members do alike.
func (c *calls) doubt(now float64, pick func(holder) bool) (n int) {
	var names []idempotency.Name
	for name, h := range c.running {
		if pick(h) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b idempotency.Name) int { return bytes.Compare(a[:], b[:]) })
	for _, name := range names {
		c.book.End(now, c.running[name].Ref, idempotency.EndInDoubt, nil, 0)
		delete(c.running, name)
	}
	c.next = math.Inf(1)
	for _, h := range c.running {
		c.next = min(c.next, h.Until)
	}
	return len(names)
}

func (c *calls) take(now float64, t *Take) Reply {
	name, ok := toName(t.Name)
	print, ok2 := toName(t.Print)
	if !ok || !ok2 || !(t.Answered >= 0 && t.Answered <= mostWindow && t.Doubt >= 0 && t.Doubt <= mostWindow && t.Run > 0 && t.Run <= mostWindow) {
		return Reply{Code: Faulty, Text: "want a name, a print and windows"}
	}
	class, ok := c.class(t.Answered, t.Doubt)
	if !ok {
		return Reply{Code: Full, Text: "too many different windows"}
	}
	if h, held := c.running[name]; held && h.Token == t.Token { // the same run, asked again in another session
		return Reply{Code: OK, Body: encode(Outcome{Taken: TakenRun})}
	}
	d := c.book.Ask(now, idempotency.Call{Name: name, Print: idempotency.Print(print), Class: c.classOf(name, class),
		Tenant: int(xxhash.Sum64String(t.Tenant) % payers)})
	if d.Verdict == idempotency.Run {
		h := holder{Ref: d.Ref, Node: t.Node, Life: t.Life, Token: t.Token, Until: now + math.Ceil(t.Run)}
		c.running[name] = h
		c.next = min(c.next, h.Until)
	}
	return Reply{Code: OK, Body: encode(c.outcome(name, d))}
}

// classOf is the class of a name that is known: windows that were changed meanwhile make no other call of it.
func (c *calls) classOf(name idempotency.Name, class int) int {
	if at, ok := c.book.ClassOf(name); ok {
		return at
	}
	return class
}

func (c *calls) outcome(name idempotency.Name, d idempotency.Decision) Outcome {
	o := Outcome{Wait: d.Wait}
	switch d.Verdict {
	case idempotency.Run, idempotency.Pass:
		o.Taken = TakenRun
	case idempotency.Join:
		o.Taken, o.Node = TakenElse, c.running[name].Node
	case idempotency.Replay:
		o.Taken, o.Body = TakenReplay, d.Body.([]byte)
	case idempotency.Spent:
		o.Taken = TakenSpent
	case idempotency.Doubt:
		o.Taken = TakenDoubt
	case idempotency.Mismatch:
		o.Taken = TakenMismatch
	case idempotency.Full:
		o.Taken = TakenFull
	}
	return o
}

func (c *calls) ended(now float64, e *Ended) Reply {
	name, ok := toName(e.Name)
	h, held := c.running[name]
	if !ok || !held || h.Token != e.Token {
		return Reply{Code: Conflict, Text: "the run is not known, or counts as one that may have run"}
	}
	how, body, size := idempotency.EndInDoubt, any(nil), 0
	switch e.How {
	case HowServed:
		how, size = idempotency.EndServed, MostBodies+1
		if len(e.Body) > 0 && len(e.Body) <= MostBody {
			body, size = e.Body, len(e.Body)
		}
	case HowNotRun:
		how = idempotency.EndNotRun
	}
	c.book.End(now, h.Ref, how, body, size)
	delete(c.running, name)
	return Reply{Code: OK}
}

func (c *calls) fresh(now float64, f *Fresh) Reply {
	if c.secret == nil {
		c.secret = f.Secret
	}
	if !bytes.Equal(c.secret, f.Secret) {
		return Reply{Code: Conflict, Text: "names are hashed under another secret in this fleet"}
	}
	n := c.doubt(now, func(h holder) bool { return h.Node == f.Node && h.Life != f.Life && h.Life != f.Before })
	return Reply{Code: OK, Text: fmt.Sprint(n)}
}

// Query answers a Look. It changes nothing: what has run out since the last entry shows with the next.
func (c *calls) Query(body json.RawMessage) Reply {
	var l Look
	err := json.Unmarshal(body, &l)
	if err == nil && l.Name == nil {
		u := c.book.Counts()
		return Reply{Code: OK, Body: encode(Held{Names: u.Entries, Running: len(c.running), Bytes: u.Bytes})}
	}
	name, ok := toName(l.Name)
	if err != nil || !ok {
		return Reply{Code: Faulty, Text: "want a name"}
	}
	class, known := c.book.ClassOf(name)
	if !known {
		return Reply{Code: OK, Body: encode(Outcome{Taken: TakenUnknown})}
	}
	print, _ := toName(l.Print)
	d := c.book.Peek(idempotency.Call{Name: name, Print: idempotency.Print(print), Class: class})
	return Reply{Code: OK, Body: encode(c.outcome(name, d))}
}

// callsImage is the form of the part's image.
type callsImage struct {
	Now     float64       `json:"now"`
	Classes [][2]float64  `json:"classes"`
	Secret  []byte        `json:"secret,omitempty"`
	Known   []knownImage  `json:"known"`
	Running []holderImage `json:"running"`
}

type knownImage struct {
	Name   []byte  `json:"n"`
	Print  []byte  `json:"p"`
	Class  int     `json:"c"`
	Tenant int     `json:"t"`
	Served bool    `json:"s,omitempty"`
	Age    float64 `json:"a"`
	Body   []byte  `json:"b,omitempty"`
}

type holderImage struct {
	Known  knownImage `json:"known"`
	Holder holder     `json:"holder"`
}

// Freeze gives what makes the image. Names are copied, bodies are not: they do not change.
func (c *calls) Freeze() func() (json.RawMessage, error) {
	i := callsImage{Now: c.book.Now(), Secret: c.secret, Known: []knownImage{}, Running: []holderImage{}}
	for _, k := range c.classes {
		i.Classes = append(i.Classes, [2]float64{k.Answered, k.Doubt})
	}
	for _, k := range c.book.Image() {
		v := knownImage{Name: bytes.Clone(k.Name[:]), Print: bytes.Clone(k.Print[:]), Class: k.Class, Tenant: k.Tenant, Served: k.Served, Age: k.Age}
		if text, ok := k.Body.([]byte); ok {
			v.Body = text
		}
		if k.Running {
			i.Running = append(i.Running, holderImage{v, c.running[k.Name]})
		} else {
			i.Known = append(i.Known, v)
		}
	}
	slices.SortFunc(i.Running, func(a, b holderImage) int { return bytes.Compare(a.Known.Name, b.Known.Name) })
	if math.IsInf(i.Now, 0) {
		i.Now = 0
	}
	return func() (json.RawMessage, error) { return json.Marshal(i) }
}

// Load takes an image.
func (c *calls) Load(image json.RawMessage) error {
	var i callsImage
	if err := json.Unmarshal(image, &i); err != nil {
		return err
	}
	if err := c.begin(&i); err != nil {
		return err
	}
	for n := range i.Known {
		if err := c.restore(i.Now, &i.Known[n]); err != nil {
			return err
		}
	}
	for n := range i.Running {
		if err := c.rerun(i.Now, &i.Running[n].Known, i.Running[n].Holder); err != nil {
			return err
		}
	}
	return nil
}

// begin empties the part for an image.
func (c *calls) begin(i *callsImage) error {
	c.classes = c.classes[:0]
	for _, k := range i.Classes {
		c.classes = append(c.classes, idempotency.Class{Once: true, Answered: k[0], Doubt: k[1]})
	}
	if len(c.classes) == 0 {
		return fmt.Errorf("it has no classes")
	}
	c.book, c.secret = newBook(c.classes, c.room), i.Secret
	c.book.Tick(i.Now)
	return nil
}

func (k *knownImage) call() idempotency.Call {
	name, _ := toName(k.Name)
	print, _ := toName(k.Print)
	return idempotency.Call{Name: name, Print: idempotency.Print(print), Class: k.Class, Tenant: k.Tenant}
}

func (c *calls) restore(now float64, k *knownImage) error {
	known := idempotency.Known{Call: k.call(), Served: k.Served, Age: k.Age, Size: len(k.Body)}
	if k.Body != nil {
		known.Body = k.Body
	}
	if !c.book.Restore(now, known) {
		return fmt.Errorf("there is no room for what it holds")
	}
	return nil
}

func (c *calls) rerun(now float64, k *knownImage, h holder) error {
	call := k.call()
	ref, ok := c.book.Resume(now, call) // it was admitted, whatever its tenant holds by now
	if !ok {
		return fmt.Errorf("there is no room for what runs")
	}
	h.Ref = ref
	c.running[call.Name] = h
	c.next = min(c.next, h.Until)
	return nil
}
