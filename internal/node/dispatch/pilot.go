// Package dispatch is the facade over the decision module: network code picks, reports and ticks in blocking style
// and never sees the module's events or actions. It knows no protocol and no socket.
package dispatch

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/log"
)

// Outcome is how a relay ended.
type Outcome uint8

// The outcomes.
const (
	Served    Outcome = iota // a whole answer
	Failed                   // an error answer; it may have run
	Declined                 // turned away unseen
	Late                     // no answer in time; it may have run
	NoConnect                // its last byte never went out
	Reset                    // the connection broke after that; it may have run
	CalledOff                // given up because it was called off; it may have run
	Unsent                   // its last byte never went out, through no fault of the host: called off, out of time or no room left
	Rejected                 // the host finds fault with the request itself; it may have run
)

var results = [...]decide.Result{Served: decide.Good, Failed: decide.Failed, Declined: decide.Full,
	Late: decide.Late, NoConnect: decide.NoConnect, Reset: decide.Reset, CalledOff: decide.Cancelled, Unsent: decide.NotSent,
	Rejected: decide.Rejected}

// Status is the listed state of a south side host.
type Status uint8

// The states.
const (
	Ready    Status = iota
	Draining        // finishes what it has, wants nothing new
	Gone
)

var states = [...]decide.State{Ready: decide.Serving, Draining: decide.Draining, Gone: decide.Deleted}

// Host is one entry of the inventory.
type Host struct {
	Name, Address, Zone, Kind string
	Protocol                  string // that it speaks; empty = HTTP/1.1
	Cell                      int
	Status                    Status
	Weight                    float64
	Since                     float64 // when it last started; 0 = long ago
}

// Source tells how a list is to be read.
type Source uint8

// The kinds of list.
const (
	Changes Source = iota // only the entries that changed
	Whole                 // every host
	Stored                // every host as the node knew it last, maybe old
)

var kinds = [...]decide.ListKind{Changes: decide.ListChanges, Whole: decide.ListFull, Stored: decide.ListStored}

// Request is what the pilot has to know of a request.
type Request struct {
	Class    int
	Tenant   int     // -1 = none
	Deadline float64 // when the client gives it up
	Cost     float64 // expected work in seconds; 0 = not known
	Repeat   bool
}

// Kind is what a Verdict asks for.
type Kind uint8

// The kinds of verdict.
const (
	Relay   Kind = iota // start relay Verdict.Relay to the host until the time, and report its end
	CallOff             // give up relay Verdict.Relay; its end is reported all the same
	Answer              // answer with Verdict.Payload, the payload of the relay that served it
	BackOff             // answer that trying again is harmless, after Verdict.Wait if above 0
	Fail                // answer that it failed
	Done                // nothing more will come
)

// Verdict is what to do next for a request. Each request gets exactly one of Answer, BackOff and Fail, or none
// if its client has gone.
type Verdict struct {
	Kind    Kind
	Relay   int
	Host    string // its name in the inventory,
	Address string // where it is,
	Speaks  string // and its protocol; empty = HTTP/1.1
	Until   float64
	Wait    float64
	Ran     bool // with BackOff, Fail and Done: the request may have run
	Payload any
}

// mostTold is how many of a list's hosts that are left out the log names.
const mostTold = 8

// Pilot owns the module. All of its methods may be called from any goroutine.
type Pilot struct {
	clock clock.Clock
	log   *slog.Logger
	grace float64
	safe  []bool    // by class: a back-off answer is harmless even if the request has run
	again []float64 // by class: for so many milliseconds after a send that may have run another one does no harm
	zones map[string]int
	kinds map[string]int
	wake  func()

	coldTime time.Duration // in which a host that has started is cold

	mu      sync.Mutex
	chance  *rand.Rand // of what is learned from another node
	module  *decide.Balancer
	hosts   map[decide.BackendID]*host
	ids     map[string]decide.BackendID
	last    decide.RequestID
	tickets map[decide.RequestID]*Ticket
	over    bool // Finish was called
	timers  timers
	unsent  []decide.Outcome // relays that the rules forbade, to be told to the module after its event
	lines   []func()         // write log lines, run when the lock is given up
	poke    bool             // the next timer is due earlier than was last told
}

type host struct {
	Host
	left float64 // when the node was told that it drains or is gone; infinite while it is ready
}

type relay struct {
	to     decide.BackendID
	sent   float64 // decided then: it goes out no sooner
	ended  bool
	ran    bool // it may have, now that it has ended
	called bool
}

// Ticket is one request from its arrival to the end of its last relay.
type Ticket struct {
	p      *Pilot
	id     decide.RequestID
	relays []relay
	class  int
	out    int
	over   bool
	ran    bool // a relay that has ended may have run
	queue  []Verdict
	wake   chan struct{}
}

// New makes the pilot of one node. What the module says is logged past log's rule against floods. wake, if not nil, is called when Tick is wanted earlier than it said.
func New(set decide.Settings, seed uint64, c clock.Clock, logger *slog.Logger, wake func()) (*Pilot, error) {
	p := &Pilot{clock: c, log: logger, wake: wake, grace: set.Rules.DrainGrace.Seconds() * 1000,
		zones: places(set.Zones), kinds: places(set.Kinds), hosts: map[decide.BackendID]*host{},
		ids: map[string]decide.BackendID{}, tickets: map[decide.RequestID]*Ticket{},
		coldTime: set.Rules.ColdTime, chance: rand.New(rand.NewPCG(seed, 0x6c6573736f6e))}
	module, err := decide.New(set, seed, actions{p})
	if err != nil {
		return nil, err
	}
	p.module = module
	for _, c := range set.Classes {
		p.safe = append(p.safe, c.Effect == decide.Safe || c.Effect == decide.Keyed && c.Group == decide.GroupAll)
		p.again = append(p.again, map[decide.Effect]float64{decide.Safe: math.Inf(1), decide.Keyed: millis(c.KeyTTL)}[c.Effect])
	}
	return p, nil
}

func places(names []string) map[string]int {
	m := map[string]int{}
	for i, name := range names {
		m[name] = i
	}
	return m
}

// span converts milliseconds to the module's time.
func span(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

// millis converts the module's time to milliseconds.
func millis(d time.Duration) float64 { return float64(d) / 1e6 }

// event runs f on the module under the lock and does afterwards what may not be done under it.
func (p *Pilot) event(f func(now float64)) {
	p.mu.Lock()
	now := p.clock.Now()
	f(now)
	for len(p.unsent) > 0 {
		o := p.unsent[0]
		p.unsent = p.unsent[1:]
		p.module.Outcome(span(now), o)
	}
	lines, poke := p.lines, p.poke
	p.lines, p.poke = nil, false
	p.mu.Unlock()
	for _, write := range lines {
		write()
	}
	if poke && p.wake != nil {
		p.wake()
	}
}

// later has a log line written when the lock is given up: whoever reads the log may be slow.
func (p *Pilot) later(write func()) { p.lines = append(p.lines, write) }

// Open takes a request that has arrived and gives it a ticket.
func (p *Pilot) Open(r Request) *Ticket {
	t := &Ticket{}
	p.Begin(t, r)
	return t
}

// Begin is Open for a ticket that the caller keeps; it must be a zero one.
func (p *Pilot) Begin(t *Ticket, r Request) {
	t.p, t.wake = p, make(chan struct{}, 1)
	p.event(func(now float64) {
		p.last++
		t.id, t.class = p.last, r.Class
		if p.over {
			t.push(Verdict{Kind: BackOff})
			t.over = true
			return
		}
		p.tickets[t.id] = t
		p.module.Request(span(now), decide.Request{ID: t.id, Class: r.Class, Tenant: r.Tenant,
			Deadline: span(r.Deadline), Cost: r.Cost, Repeat: r.Repeat})
	})
}

// Pick blocks until there is something to do for the request.
func (t *Ticket) Pick() Verdict {
	for {
		t.p.mu.Lock()
		if len(t.queue) > 0 {
			v := t.queue[0]
			t.queue = t.queue[1:]
			t.p.mu.Unlock()
			return v
		}
		done, ran := t.over && t.out == 0, t.ran
		t.p.mu.Unlock()
		if done {
			return Verdict{Kind: Done, Ran: ran}
		}
		<-t.wake
	}
}

// Settled tells that nothing more will come: the final answer is given and no relay is out.
func (t *Ticket) Settled() bool {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	return t.over && t.out == 0 && len(t.queue) == 0
}

// May tells whether the final answer is still owed, and whether the rules let an attempt go to a host at an address now: one that
// departs gets nothing after its grace, nothing goes to where it is not any more, and what may have run is not sent again once its
// repeats are not dropped any more. Since the attempt was decided, its connection may have taken long to come up.
func (t *Ticket) May(name, address string) (owed, permitted bool) {
	p := t.p
	if p == nil {
		return true, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now, id := p.clock.Now(), p.ids[name]
	h := p.hosts[id]
	return !t.over, h != nil && h.Address == address && now <= h.left+p.grace && t.repeats(id, now)
}

// repeats tells whether an attempt at a host may go out in view of those before it.
func (t *Ticket) repeats(to decide.BackendID, now float64) bool {
	for i := range t.relays {
		r := &t.relays[i]
		if r.to == to && !r.ended {
			return true
		}
		if !r.ended || r.ran {
			return now < r.sent+t.p.again[t.class]
		}
	}
	return true
}

func (t *Ticket) push(v Verdict) {
	t.queue = append(t.queue, v)
	t.signal()
}

func (t *Ticket) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// retract takes back the relays that were decided and that nobody has picked: nothing goes out any more for a request that
// is about to be over.
func (t *Ticket) retract() {
	t.queue = slices.DeleteFunc(t.queue, func(v Verdict) bool {
		if v.Kind == Relay {
			r := &t.relays[v.Relay]
			r.ended = true
			t.out--
			t.p.unsent = append(t.p.unsent, decide.Outcome{Request: t.id, Backend: r.to, Attempt: v.Relay, Over: true,
				Result: decide.NotSent})
		}
		return v.Kind == Relay || v.Kind == CallOff && t.relays[v.Relay].ended
	})
}

// end marks that the request's final answer is given, or that no one waits for it.
func (t *Ticket) end() {
	t.over = true
	t.signal()
	t.forget()
}

// forget drops a ticket that has nothing out.
func (t *Ticket) forget() {
	if t.over && t.out == 0 {
		delete(t.p.tickets, t.id)
		t.signal()
	}
}

// Report tells how a relay ended. The first that served the request has its payload answered; used tells that this is the one.
func (t *Ticket) Report(n int, o Outcome, payload any) (used bool) {
	t.p.event(func(now float64) {
		if n < 0 || n >= len(t.relays) || t.relays[n].ended {
			return
		}
		r := &t.relays[n]
		r.ended, r.ran = true, results[o].MayHaveRun()
		t.ran = t.ran || r.ran
		t.out--
		if o == Served && !t.over {
			t.retract()
			t.push(Verdict{Kind: Answer, Relay: n, Payload: payload})
			used = true
			t.end()
		}
		t.p.module.Outcome(span(now), decide.Outcome{Request: t.id, Backend: r.to, Attempt: n, Over: t.over,
			Latency: span(now - r.sent), Result: results[o]})
		t.forget()
	})
	return used
}

// Gone tells that the client has left.
func (t *Ticket) Gone() {
	t.p.event(func(now float64) {
		if t.over {
			return
		}
		t.over = true // first, so that nothing is sent for it any more
		t.retract()
		t.p.module.Gone(span(now), t.id)
		t.end()
	})
}

// Finish gives every open request its final answer now, and every later one a back-off answer. What is out for it, or was
// and may have run, makes that a failure where a repeat would do harm.
func (p *Pilot) Finish() {
	p.event(func(now float64) {
		p.over = true
		for _, t := range p.tickets {
			if t.over {
				continue
			}
			t.retract()
			v := Verdict{Kind: BackOff, Ran: t.ran || t.out > 0}
			if v.Ran && !p.safe[t.class] {
				v.Kind = Fail
			}
			t.over = true // first, so that nothing is sent for it any more
			t.push(v)
			p.module.Gone(span(now), t.id)
			t.end()
		}
	})
}

// Tick runs the timers that are due and returns when the next one is, +Inf for never.
func (p *Pilot) Tick() (next float64) {
	next = math.Inf(1)
	p.event(func(now float64) {
		for len(p.timers) > 0 && p.timers[0].due <= now {
			t := heap.Pop(&p.timers).(timer)
			p.module.Timer(span(now), t.token)
		}
		p.poke = false
		if len(p.timers) > 0 {
			next = p.timers[0].due
		}
	})
	return next
}

// Inventory takes news of the south side hosts.
func (p *Pilot) Inventory(from Source, list []Host) {
	p.event(func(now float64) {
		if from != Changes {
			named := map[string]bool{}
			for i := range list {
				named[list[i].Name] = true
			}
			for _, h := range p.hosts {
				if !named[h.Name] {
					p.drop(h.Name)
				}
			}
		}
		entries := make([]decide.Backend, 0, len(list))
		var odd []string
		for i := range list {
			if e, ok := p.entry(now, list[i]); ok {
				entries = append(entries, e)
			} else {
				odd = append(odd, fmt.Sprintf("%q of zone %q and kind %q", list[i].Name, list[i].Zone, list[i].Kind))
			}
		}
		if len(odd) > 0 {
			p.later(func() {
				p.log.Warn("hosts of a zone or kind that the settings do not name are left out", "count", len(odd),
					"first", odd[:min(len(odd), mostTold)])
			})
		}
		p.module.List(span(now), kinds[from], entries)
		for i := range list {
			if list[i].Status == Gone {
				p.drop(list[i].Name)
			}
		}
	})
}

// drop forgets a host that is gone: others come under new names as long as the node runs. Nothing is sent to a host
// that is not known.
func (p *Pilot) drop(name string) {
	delete(p.hosts, p.ids[name])
	delete(p.ids, name)
}

// entry notes one entry and puts it in the module's terms.
func (p *Pilot) entry(now float64, e Host) (decide.Backend, bool) {
	zone, ok := p.zones[e.Zone]
	kind, ok2 := p.kinds[e.Kind]
	if !ok || !ok2 || e.Name == "" || e.Status > Gone {
		return decide.Backend{}, false
	}
	id, known := p.ids[e.Name]
	if !known {
		id = p.newID(e.Name)
		p.ids[e.Name] = id
		p.hosts[id] = &host{left: math.Inf(1)}
	}
	h := p.hosts[id]
	h.Host = e
	if e.Status == Ready {
		h.left = math.Inf(1)
	} else {
		h.left = min(h.left, now)
	}
	return decide.Backend{ID: id, Zone: zone, Kind: kind, Cell: e.Cell, State: states[e.Status],
		Weight: e.Weight, Started: span(e.Since)}, true
}

// newID gives a host the same id at every node (FNV-1a of its name), or the next free one.
func (p *Pilot) newID(name string) decide.BackendID {
	id := decide.BackendID(2166136261)
	for _, c := range []byte(name) {
		id = (id ^ decide.BackendID(c)) * 16777619
	}
	for p.hosts[id] != nil {
		id++
	}
	return id
}

// timer is a Timer event to come.
type timer struct {
	due   float64
	token uint64
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// actions carries out what the module asks for, under the pilot's lock.
type actions struct{ p *Pilot }

// Send queues a relay, unless a rule forbids it: then the module hears that it was not sent.
func (a actions) Send(id decide.RequestID, to decide.BackendID, abandon time.Duration) {
	p := a.p
	t, h := p.tickets[id], p.hosts[to]
	if t == nil {
		return
	}
	now := p.clock.Now()
	n := len(t.relays)
	t.relays = append(t.relays, relay{to: to, sent: now})
	if t.over || h == nil || now > h.left+p.grace {
		t.relays[n].ended = true
		name, over := "", t.over
		if h != nil {
			name = h.Name
		}
		p.later(func() {
			p.log.Error("a relay that the rules forbid was held back", "host", name, "ended", over)
		})
		p.unsent = append(p.unsent, decide.Outcome{Request: id, Backend: to, Attempt: n, Over: t.over,
			Result: decide.NotSent})
		return
	}
	t.out++
	t.push(Verdict{Kind: Relay, Relay: n, Host: h.Name, Address: h.Address,
		Speaks: h.Protocol, Until: millis(abandon)})
}

// Refuse queues a back-off answer.
func (a actions) Refuse(id decide.RequestID, wait time.Duration) {
	a.final(id, Verdict{Kind: BackOff, Wait: millis(wait)})
}

// Fail queues a failure.
func (a actions) Fail(id decide.RequestID) { a.final(id, Verdict{Kind: Fail}) }

func (a actions) final(id decide.RequestID, v Verdict) {
	if t := a.p.tickets[id]; t != nil && !t.over {
		v.Ran = t.ran || t.out > 0
		t.push(v)
		t.end()
	}
}

// Cancel queues the calling off of a relay.
func (a actions) Cancel(id decide.RequestID, n int) {
	t := a.p.tickets[id]
	if t == nil || n < 0 || n >= len(t.relays) || t.relays[n].ended || t.relays[n].called {
		return
	}
	t.relays[n].called = true
	t.push(Verdict{Kind: CallOff, Relay: n})
}

// Probe is never asked for by this module; a probe that was not sent has no result.
func (a actions) Probe(decide.BackendID) {
	a.p.later(func() { a.p.log.Error("the module asked for a probe: this node makes none") })
}

// Wake sets a timer.
func (a actions) Wake(after time.Duration, token uint64) {
	p := a.p
	due := p.clock.Now() + millis(after)
	if len(p.timers) == 0 || due < p.timers[0].due {
		p.poke = true
	}
	heap.Push(&p.timers, timer{due, token})
}

// Watch has nothing to do: the node watches its inventory as long as it runs.
func (a actions) Watch() {}

// Log passes a line on.
func (a actions) Log(line string) {
	a.p.later(func() { log.Each(a.p.log).Warn("the module says", "line", line) })
}
