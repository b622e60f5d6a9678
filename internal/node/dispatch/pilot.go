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

var balancerResults = [...]decide.Result{Served: decide.Good, Failed: decide.Failed, Declined: decide.Full,
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

var balancerStates = [...]decide.State{Ready: decide.Serving, Draining: decide.Draining, Gone: decide.Deleted}

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

var listKinds = [...]decide.ListKind{Changes: decide.ListChanges, Whole: decide.ListFull, Stored: decide.ListStored}

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

// maxLoggedHosts is how many of a list's hosts that are left out the log names.
const maxLoggedHosts = 8

// Pilot owns the module. All of its methods may be called from any goroutine.
type Pilot struct {
	clock       clock.Clock
	log         *slog.Logger
	drainGrace  float64
	rejectSafe  []bool    // by class: a back-off answer is harmless even if the request has run
	retryWindow []float64 // by class: for so many milliseconds after a send that may have run another one does no harm
	zoneIndex   map[string]int
	kindIndex   map[string]int
	wakeTimer   func()

	coldTime time.Duration // in which a host that has started is cold

	mu             sync.Mutex
	random         *rand.Rand // of what is learned from another node
	balancer       *decide.Balancer
	hosts          map[decide.BackendID]*host
	hostIDs        map[string]decide.BackendID
	lastID         decide.RequestID
	tickets        map[decide.RequestID]*Ticket
	finished       bool // Finish was called
	timers         timers
	unsentOutcomes []decide.Outcome // relays that the rules forbade, to be told to the module after its event
	pendingLogs    []func()         // write log lines, run when the lock is given up
	timerMoved     bool             // the next timer is due earlier than was last told
}

type host struct {
	Host
	drainingSince float64 // when the node was told that it drains or is gone; infinite while it is ready
}

type attempt struct {
	hostID     decide.BackendID
	sentAt     float64 // decided then: it goes out no sooner
	ended      bool
	mayHaveRun bool // it may have, now that it has ended
	cancelled  bool
}

// Ticket is one request from its arrival to the end of its last relay.
type Ticket struct {
	dispatcher   *Pilot
	id           decide.RequestID
	attempts     []attempt
	class        int
	openAttempts int
	done         bool
	mayHaveRun   bool // a relay that has ended may have run
	queue        []Verdict
	ready        chan struct{}
}

// New makes the pilot of one node. What the module says is logged past log's rule against floods. wake, if not nil, is called when Tick is wanted earlier than it said.
func New(set decide.Settings, seed uint64, c clock.Clock, logger *slog.Logger, wake func()) (*Pilot, error) {
	d := &Pilot{clock: c, log: logger, wakeTimer: wake, drainGrace: set.Rules.DrainGrace.Seconds() * 1000,
		zoneIndex: indexByName(set.Zones), kindIndex: indexByName(set.Kinds), hosts: map[decide.BackendID]*host{},
		hostIDs: map[string]decide.BackendID{}, tickets: map[decide.RequestID]*Ticket{},
		coldTime: set.Rules.ColdTime, random: rand.New(rand.NewPCG(seed, 0x6c6573736f6e))}
	module, err := decide.New(set, seed, actions{d})
	if err != nil {
		return nil, err
	}
	d.balancer = module
	for _, c := range set.Classes {
		d.rejectSafe = append(d.rejectSafe, c.Effect == decide.Safe || c.Effect == decide.Keyed && c.Group == decide.GroupAll)
		d.retryWindow = append(d.retryWindow, map[decide.Effect]float64{decide.Safe: math.Inf(1), decide.Keyed: toMillis(c.KeyTTL)}[c.Effect])
	}
	return d, nil
}

func indexByName(names []string) map[string]int {
	m := map[string]int{}
	for i, name := range names {
		m[name] = i
	}
	return m
}

// toDuration converts milliseconds to the module's time.
func toDuration(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

// toMillis converts the module's time to milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / 1e6 }

// update runs f on the module under the lock and does afterwards what may not be done under it.
func (d *Pilot) update(f func(now float64)) {
	d.mu.Lock()
	now := d.clock.Now()
	f(now)
	for len(d.unsentOutcomes) > 0 {
		o := d.unsentOutcomes[0]
		d.unsentOutcomes = d.unsentOutcomes[1:]
		d.balancer.Outcome(toDuration(now), o)
	}
	lines, poke := d.pendingLogs, d.timerMoved
	d.pendingLogs, d.timerMoved = nil, false
	d.mu.Unlock()
	for _, write := range lines {
		write()
	}
	if poke && d.wakeTimer != nil {
		d.wakeTimer()
	}
}

// logLater has a log line written when the lock is given up: whoever reads the log may be slow.
func (d *Pilot) logLater(write func()) { d.pendingLogs = append(d.pendingLogs, write) }

// Open takes a request that has arrived and gives it a ticket.
func (d *Pilot) Open(r Request) *Ticket {
	t := &Ticket{}
	d.Begin(t, r)
	return t
}

// Begin is Open for a ticket that the caller keeps; it must be a zero one.
func (d *Pilot) Begin(t *Ticket, r Request) {
	t.dispatcher, t.ready = d, make(chan struct{}, 1)
	d.update(func(now float64) {
		d.lastID++
		t.id, t.class = d.lastID, r.Class
		if d.finished {
			t.enqueue(Verdict{Kind: BackOff})
			t.done = true
			return
		}
		d.tickets[t.id] = t
		d.balancer.Request(toDuration(now), decide.Request{ID: t.id, Class: r.Class, Tenant: r.Tenant,
			Deadline: toDuration(r.Deadline), Cost: r.Cost, Repeat: r.Repeat})
	})
}

// Pick blocks until there is something to do for the request.
func (t *Ticket) Pick() Verdict {
	for {
		t.dispatcher.mu.Lock()
		if len(t.queue) > 0 {
			v := t.queue[0]
			t.queue = t.queue[1:]
			t.dispatcher.mu.Unlock()
			return v
		}
		done, ran := t.done && t.openAttempts == 0, t.mayHaveRun
		t.dispatcher.mu.Unlock()
		if done {
			return Verdict{Kind: Done, Ran: ran}
		}
		<-t.ready
	}
}

// Settled tells that nothing more will come: the final answer is given and no relay is out.
func (t *Ticket) Settled() bool {
	t.dispatcher.mu.Lock()
	defer t.dispatcher.mu.Unlock()
	return t.done && t.openAttempts == 0 && len(t.queue) == 0
}

// May tells whether the final answer is still owed, and whether the rules let an attempt go to a host at an address now: one that
// departs gets nothing after its grace, nothing goes to where it is not any more, and what may have run is not sent again once its
// repeats are not dropped any more. Since the attempt was decided, its connection may have taken long to come up.
func (t *Ticket) May(name, address string) (owed, permitted bool) {
	d := t.dispatcher
	if d == nil {
		return true, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, id := d.clock.Now(), d.hostIDs[name]
	h := d.hosts[id]
	return !t.done, h != nil && h.Address == address && now <= h.drainingSince+d.drainGrace && t.retryPermitted(id, now)
}

// retryPermitted tells whether an attempt at a host may go out in view of those before it.
func (t *Ticket) retryPermitted(to decide.BackendID, now float64) bool {
	for i := range t.attempts {
		r := &t.attempts[i]
		if r.hostID == to && !r.ended {
			return true
		}
		if !r.ended || r.mayHaveRun {
			return now < r.sentAt+t.dispatcher.retryWindow[t.class]
		}
	}
	return true
}

func (t *Ticket) enqueue(v Verdict) {
	t.queue = append(t.queue, v)
	t.signal()
}

func (t *Ticket) signal() {
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// withdrawUnpicked takes back the relays that were decided and that nobody has picked: nothing goes out any more for a request that
// is about to be over.
func (t *Ticket) withdrawUnpicked() {
	t.queue = slices.DeleteFunc(t.queue, func(v Verdict) bool {
		if v.Kind == Relay {
			r := &t.attempts[v.Relay]
			r.ended = true
			t.openAttempts--
			t.dispatcher.unsentOutcomes = append(t.dispatcher.unsentOutcomes, decide.Outcome{Request: t.id, Backend: r.hostID, Attempt: v.Relay, Over: true,
				Result: decide.NotSent})
		}
		return v.Kind == Relay || v.Kind == CallOff && t.attempts[v.Relay].ended
	})
}

// finish marks that the request's final answer is given, or that no one waits for it.
func (t *Ticket) finish() {
	t.done = true
	t.signal()
	t.removeIfDone()
}

// removeIfDone drops a ticket that has nothing out.
func (t *Ticket) removeIfDone() {
	if t.done && t.openAttempts == 0 {
		delete(t.dispatcher.tickets, t.id)
		t.signal()
	}
}

// Report tells how a relay ended. The first that served the request has its payload answered; used tells that this is the one.
func (t *Ticket) Report(n int, o Outcome, payload any) (used bool) {
	t.dispatcher.update(func(now float64) {
		if n < 0 || n >= len(t.attempts) || t.attempts[n].ended {
			return
		}
		r := &t.attempts[n]
		r.ended, r.mayHaveRun = true, balancerResults[o].MayHaveRun()
		t.mayHaveRun = t.mayHaveRun || r.mayHaveRun
		t.openAttempts--
		if o == Served && !t.done {
			t.withdrawUnpicked()
			t.enqueue(Verdict{Kind: Answer, Relay: n, Payload: payload})
			used = true
			t.finish()
		}
		t.dispatcher.balancer.Outcome(toDuration(now), decide.Outcome{Request: t.id, Backend: r.hostID, Attempt: n, Over: t.done,
			Latency: toDuration(now - r.sentAt), Result: balancerResults[o]})
		t.removeIfDone()
	})
	return used
}

// Gone tells that the client has left.
func (t *Ticket) Gone() {
	t.dispatcher.update(func(now float64) {
		if t.done {
			return
		}
		t.done = true // first, so that nothing is sent for it any more
		t.withdrawUnpicked()
		t.dispatcher.balancer.Gone(toDuration(now), t.id)
		t.finish()
	})
}

// Finish gives every open request its final answer now, and every later one a back-off answer. What is out for it, or was
// and may have run, makes that a failure where a repeat would do harm.
func (d *Pilot) Finish() {
	d.update(func(now float64) {
		d.finished = true
		for _, t := range d.tickets {
			if t.done {
				continue
			}
			t.withdrawUnpicked()
			v := Verdict{Kind: BackOff, Ran: t.mayHaveRun || t.openAttempts > 0}
			if v.Ran && !d.rejectSafe[t.class] {
				v.Kind = Fail
			}
			t.done = true // first, so that nothing is sent for it any more
			t.enqueue(v)
			d.balancer.Gone(toDuration(now), t.id)
			t.finish()
		}
	})
}

// Tick runs the timers that are due and returns when the next one is, +Inf for never.
func (d *Pilot) Tick() (next float64) {
	next = math.Inf(1)
	d.update(func(now float64) {
		for len(d.timers) > 0 && d.timers[0].due <= now {
			t := heap.Pop(&d.timers).(timer)
			d.balancer.Timer(toDuration(now), t.token)
		}
		d.timerMoved = false
		if len(d.timers) > 0 {
			next = d.timers[0].due
		}
	})
	return next
}

// Inventory takes news of the south side hosts.
func (d *Pilot) Inventory(from Source, hosts []Host) {
	d.update(func(now float64) {
		if from != Changes {
			inList := map[string]bool{}
			for i := range hosts {
				inList[hosts[i].Name] = true
			}
			for _, h := range d.hosts {
				if !inList[h.Name] {
					d.removeHost(h.Name)
				}
			}
		}
		entries := make([]decide.Backend, 0, len(hosts))
		var unknown []string
		for i := range hosts {
			if e, ok := d.updateHost(now, hosts[i]); ok {
				entries = append(entries, e)
			} else {
				unknown = append(unknown, fmt.Sprintf("%q of zone %q and kind %q", hosts[i].Name, hosts[i].Zone, hosts[i].Kind))
			}
		}
		if len(unknown) > 0 {
			d.logLater(func() {
				d.log.Warn("hosts of a zone or kind that the settings do not name are left out", "count", len(unknown),
					"first", unknown[:min(len(unknown), maxLoggedHosts)])
			})
		}
		d.balancer.List(toDuration(now), listKinds[from], entries)
		for i := range hosts {
			if hosts[i].Status == Gone {
				d.removeHost(hosts[i].Name)
			}
		}
	})
}

// removeHost forgets a host that is gone: others come under new names as long as the node runs. Nothing is sent to a host
// that is not known.
func (d *Pilot) removeHost(name string) {
	delete(d.hosts, d.hostIDs[name])
	delete(d.hostIDs, name)
}

// updateHost notes one entry and puts it in the module's terms.
func (d *Pilot) updateHost(now float64, e Host) (decide.Backend, bool) {
	zone, zoneKnown := d.zoneIndex[e.Zone]
	kind, kindKnown := d.kindIndex[e.Kind]
	if !zoneKnown || !kindKnown || e.Name == "" || e.Status > Gone {
		return decide.Backend{}, false
	}
	id, known := d.hostIDs[e.Name]
	if !known {
		id = d.newID(e.Name)
		d.hostIDs[e.Name] = id
		d.hosts[id] = &host{drainingSince: math.Inf(1)}
	}
	h := d.hosts[id]
	h.Host = e
	if e.Status == Ready {
		h.drainingSince = math.Inf(1)
	} else {
		h.drainingSince = min(h.drainingSince, now)
	}
	return decide.Backend{ID: id, Zone: zone, Kind: kind, Cell: e.Cell, State: balancerStates[e.Status],
		Weight: e.Weight, Started: toDuration(e.Since)}, true
}

// newID gives a host the same id at every node (FNV-1a of its name), or the next free one.
func (d *Pilot) newID(name string) decide.BackendID {
	id := decide.BackendID(2166136261)
	for _, c := range []byte(name) {
		id = (id ^ decide.BackendID(c)) * 16777619
	}
	for d.hosts[id] != nil {
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
type actions struct{ dispatcher *Pilot }

// Send queues a relay, unless a rule forbids it: then the module hears that it was not sent.
func (a actions) Send(id decide.RequestID, to decide.BackendID, abandon time.Duration) {
	d := a.dispatcher
	t, h := d.tickets[id], d.hosts[to]
	if t == nil {
		return
	}
	now := d.clock.Now()
	n := len(t.attempts)
	t.attempts = append(t.attempts, attempt{hostID: to, sentAt: now})
	if t.done || h == nil || now > h.drainingSince+d.drainGrace {
		t.attempts[n].ended = true
		name, over := "", t.done
		if h != nil {
			name = h.Name
		}
		d.logLater(func() {
			d.log.Error("a relay that the rules forbid was held back", "host", name, "ended", over)
		})
		d.unsentOutcomes = append(d.unsentOutcomes, decide.Outcome{Request: id, Backend: to, Attempt: n, Over: t.done,
			Result: decide.NotSent})
		return
	}
	t.openAttempts++
	t.enqueue(Verdict{Kind: Relay, Relay: n, Host: h.Name, Address: h.Address,
		Speaks: h.Protocol, Until: toMillis(abandon)})
}

// Refuse queues a back-off answer.
func (a actions) Refuse(id decide.RequestID, wait time.Duration) {
	a.finish(id, Verdict{Kind: BackOff, Wait: toMillis(wait)})
}

// Fail queues a failure.
func (a actions) Fail(id decide.RequestID) { a.finish(id, Verdict{Kind: Fail}) }

func (a actions) finish(id decide.RequestID, v Verdict) {
	if t := a.dispatcher.tickets[id]; t != nil && !t.done {
		v.Ran = t.mayHaveRun || t.openAttempts > 0
		t.enqueue(v)
		t.finish()
	}
}

// Cancel queues the calling off of a relay.
func (a actions) Cancel(id decide.RequestID, n int) {
	t := a.dispatcher.tickets[id]
	if t == nil || n < 0 || n >= len(t.attempts) || t.attempts[n].ended || t.attempts[n].cancelled {
		return
	}
	t.attempts[n].cancelled = true
	t.enqueue(Verdict{Kind: CallOff, Relay: n})
}

// Probe is never asked for by this module; a probe that was not sent has no result.
func (a actions) Probe(decide.BackendID) {
	a.dispatcher.logLater(func() { a.dispatcher.log.Error("the module asked for a probe: this node makes none") })
}

// Wake sets a timer.
func (a actions) Wake(after time.Duration, token uint64) {
	d := a.dispatcher
	due := d.clock.Now() + toMillis(after)
	if len(d.timers) == 0 || due < d.timers[0].due {
		d.timerMoved = true
	}
	heap.Push(&d.timers, timer{due, token})
}

// Watch has nothing to do: the node watches its inventory as long as it runs.
func (a actions) Watch() {}

// Log passes a line on.
func (a actions) Log(line string) {
	a.dispatcher.logLater(func() { log.Each(a.dispatcher.log).Warn("the module says", "line", line) })
}
