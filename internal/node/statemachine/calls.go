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

// ComponentCalls is the name of the part that holds calls which must not run twice.
const ComponentCalls = "calls"

// Bounds of the calls that are held.
const (
	MaxCalls        = 200_000
	MaxBodyBytes    = 32 << 20 // bytes of answers; the oldest go first
	MaxOneBodyBytes = 96 << 10 // bytes of one, in the nodes' form; a longer one is known without
	payers          = 64       // that tenants are counted under: one may hold callsAlpha times the room that nobody holds
	callsAlpha      = 4
	maxRetention    = 7 * 24 * 3.6e6 // ms
)

// ClaimResult is what became of a name that was to be taken.
type ClaimResult string

// What may become of it.
const (
	ClaimGranted  ClaimResult = "run"      // it is the asker's: it may run
	ClaimRunning  ClaimResult = "else"     // it runs elsewhere: ask again how it ended
	ClaimReplayed ClaimResult = "replay"   // it was answered so
	ClaimExecuted ClaimResult = "spent"    // it has run, and its answer is not kept
	ClaimInDoubt  ClaimResult = "doubt"    // it may have run
	ClaimMismatch ClaimResult = "mismatch" // another content under the name
	ClaimFull     ClaimResult = "full"     // no room, ask again after Wait
	ClaimUnknown  ClaimResult = "unknown"  // nobody has it: the answer to a look alone
)

// Claim has a name taken for a run.
type Claim struct {
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

// Completion tells how a run ended.
type Completion struct {
	Name    []byte `json:"name"`
	Token   uint64 `json:"token"`
	Outcome string `json:"how"` // served, not run, in doubt
	Body    []byte `json:"body,omitempty"`
}

// How a run ended.
const (
	OutcomeServed      = "served"
	OutcomeNotExecuted = "not run"
	OutcomeInDoubt     = "in doubt"
)

// ProcessStart tells that a node's process has begun: what an earlier one had taken may have run.
type ProcessStart struct {
	Node   string `json:"node"`
	Life   uint64 `json:"life"`
	Secret []byte `json:"secret"` // a digest of what names are hashed under: the first one's holds for the fleet
	// Before is the life of a process of the node that still answers what it had taken, 0 = there is none: this one is its heir.
	Before uint64 `json:"before,omitempty"`
}

// callsCommand is one of these.
type callsCommand struct {
	Claim      *Claim        `json:"take,omitempty"`
	Completion *Completion   `json:"ended,omitempty"`
	Start      *ProcessStart `json:"fresh,omitempty"`
}

// ClaimCommand, CompletionCommand and ProcessStartCommand are the bodies of commands for the part.
func ClaimCommand(t Claim) any               { return callsCommand{Claim: &t} }
func CompletionCommand(e Completion) any     { return callsCommand{Completion: &e} }
func ProcessStartCommand(f ProcessStart) any { return callsCommand{Start: &f} }

// Usage is how much the part holds: the answer to a Look without a name.
type Usage struct {
	Names   int `json:"names"`
	Running int `json:"running"` // of them
	Bytes   int `json:"bytes"`   // of answers
}

// Lookup asks how a name stands.
type Lookup struct {
	Name  []byte `json:"name"`
	Print []byte `json:"print"`
}

// ClaimReply answers a Take or a Look.
type ClaimReply struct {
	Result ClaimResult `json:"taken"`
	Body   []byte      `json:"body,omitempty"`
	Wait   float64     `json:"wait,omitempty"` // ms
	Node   string      `json:"node,omitempty"` // that has it
}

// claimOwner is who runs a name.
type claimOwner struct {
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
	running map[idempotency.Name]claimOwner
	next    float64 // when the first of them counts as one that may have run
	secret  []byte
	room    int // names at the most: MaxCalls
}

// callCommandVersion is 2 for what the first release of the log did not know.
func callCommandVersion(body json.RawMessage) int {
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
	c := &calls{running: map[idempotency.Name]claimOwner{}, next: math.Inf(1), classes: []idempotency.Class{{Once: true}}, room: MaxCalls}
	c.book = newOrderTable(c.classes, c.room)
	return c
}

func newOrderTable(classes []idempotency.Class, room int) *idempotency.Book {
	book, err := idempotency.New(idempotency.Settings{Classes: classes, Tenants: payers, Entries: room, Bytes: MaxBodyBytes, Alpha: callsAlpha})
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
	case cmd.Claim != nil:
		return c.take(now, cmd.Claim)
	case cmd.Completion != nil:
		return c.ended(now, cmd.Completion)
	case cmd.Start != nil:
		return c.fresh(now, cmd.Start)
	}
	return Reply{Code: Faulty, Text: "want take, ended or fresh"}
}

// expire lets runs of which nobody says how they ended count as such that may have run.
func (c *calls) expire(now float64) {
	c.book.Tick(now)
	if now < c.next {
		return
	}
	c.doubt(now, func(h claimOwner) bool { return h.Until <= now })
}

// doubt ends the runs that are picked, in the order of their names, so that all members do alike.
func (c *calls) doubt(now float64, pick func(claimOwner) bool) (n int) {
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

func (c *calls) take(now float64, t *Claim) Reply {
	name, ok := toName(t.Name)
	print, ok2 := toName(t.Print)
	if !ok || !ok2 || !(t.Answered >= 0 && t.Answered <= maxRetention && t.Doubt >= 0 && t.Doubt <= maxRetention && t.Run > 0 && t.Run <= maxRetention) {
		return Reply{Code: Faulty, Text: "want a name, a print and windows"}
	}
	class, ok := c.class(t.Answered, t.Doubt)
	if !ok {
		return Reply{Code: Full, Text: "too many different windows"}
	}
	if h, held := c.running[name]; held && h.Token == t.Token { // the same run, asked again in another session
		return Reply{Code: OK, Body: encode(ClaimReply{Result: ClaimGranted})}
	}
	d := c.book.Ask(now, idempotency.Call{Name: name, Print: idempotency.Print(print), Class: c.classOf(name, class),
		Tenant: int(xxhash.Sum64String(t.Tenant) % payers)})
	if d.Verdict == idempotency.Run {
		h := claimOwner{Ref: d.Ref, Node: t.Node, Life: t.Life, Token: t.Token, Until: now + math.Ceil(t.Run)}
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

func (c *calls) outcome(name idempotency.Name, d idempotency.Decision) ClaimReply {
	o := ClaimReply{Wait: d.Wait}
	switch d.Verdict {
	case idempotency.Run, idempotency.Pass:
		o.Result = ClaimGranted
	case idempotency.Join:
		o.Result, o.Node = ClaimRunning, c.running[name].Node
	case idempotency.Replay:
		o.Result, o.Body = ClaimReplayed, d.Body.([]byte)
	case idempotency.Spent:
		o.Result = ClaimExecuted
	case idempotency.Doubt:
		o.Result = ClaimInDoubt
	case idempotency.Mismatch:
		o.Result = ClaimMismatch
	case idempotency.Full:
		o.Result = ClaimFull
	}
	return o
}

func (c *calls) ended(now float64, e *Completion) Reply {
	name, ok := toName(e.Name)
	h, held := c.running[name]
	if !ok || !held || h.Token != e.Token {
		return Reply{Code: Conflict, Text: "the run is not known, or counts as one that may have run"}
	}
	how, body, size := idempotency.EndInDoubt, any(nil), 0
	switch e.Outcome {
	case OutcomeServed:
		how, size = idempotency.EndServed, MaxBodyBytes+1
		if len(e.Body) > 0 && len(e.Body) <= MaxOneBodyBytes {
			body, size = e.Body, len(e.Body)
		}
	case OutcomeNotExecuted:
		how = idempotency.EndNotRun
	}
	c.book.End(now, h.Ref, how, body, size)
	delete(c.running, name)
	return Reply{Code: OK}
}

func (c *calls) fresh(now float64, f *ProcessStart) Reply {
	if c.secret == nil {
		c.secret = f.Secret
	}
	if !bytes.Equal(c.secret, f.Secret) {
		return Reply{Code: Conflict, Text: "names are hashed under another secret in this fleet"}
	}
	n := c.doubt(now, func(h claimOwner) bool { return h.Node == f.Node && h.Life != f.Life && h.Life != f.Before })
	return Reply{Code: OK, Text: fmt.Sprint(n)}
}

// Query answers a Look. It changes nothing: what has run out since the last entry shows with the next.
func (c *calls) Query(body json.RawMessage) Reply {
	var l Lookup
	err := json.Unmarshal(body, &l)
	if err == nil && l.Name == nil {
		u := c.book.Counts()
		return Reply{Code: OK, Body: encode(Usage{Names: u.Entries, Running: len(c.running), Bytes: u.Bytes})}
	}
	name, ok := toName(l.Name)
	if err != nil || !ok {
		return Reply{Code: Faulty, Text: "want a name"}
	}
	class, known := c.book.ClassOf(name)
	if !known {
		return Reply{Code: OK, Body: encode(ClaimReply{Result: ClaimUnknown})}
	}
	print, _ := toName(l.Print)
	d := c.book.Peek(idempotency.Call{Name: name, Print: idempotency.Print(print), Class: class})
	return Reply{Code: OK, Body: encode(c.outcome(name, d))}
}

// callsImage is the form of the part's image.
type callsImage struct {
	Now     float64           `json:"now"`
	Classes [][2]float64      `json:"classes"`
	Secret  []byte            `json:"secret,omitempty"`
	Known   []knownImage      `json:"known"`
	Running []claimOwnerImage `json:"running"`
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

type claimOwnerImage struct {
	Known  knownImage `json:"known"`
	Holder claimOwner `json:"holder"`
}

// Freeze gives what makes the image. Names are copied, bodies are not: they do not change.
func (c *calls) Freeze() func() (json.RawMessage, error) {
	i := callsImage{Now: c.book.Now(), Secret: c.secret, Known: []knownImage{}, Running: []claimOwnerImage{}}
	for _, k := range c.classes {
		i.Classes = append(i.Classes, [2]float64{k.Answered, k.Doubt})
	}
	for _, k := range c.book.Image() {
		v := knownImage{Name: bytes.Clone(k.Name[:]), Print: bytes.Clone(k.Print[:]), Class: k.Class, Tenant: k.Tenant, Served: k.Served, Age: k.Age}
		if text, ok := k.Body.([]byte); ok {
			v.Body = text
		}
		if k.Running {
			i.Running = append(i.Running, claimOwnerImage{v, c.running[k.Name]})
		} else {
			i.Known = append(i.Known, v)
		}
	}
	slices.SortFunc(i.Running, func(a, b claimOwnerImage) int { return bytes.Compare(a.Known.Name, b.Known.Name) })
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
	c.book, c.secret = newOrderTable(c.classes, c.room), i.Secret
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

func (c *calls) rerun(now float64, k *knownImage, h claimOwner) error {
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
