package core

import (
	"cmp"
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/metrics"
)

// Handler serves a call and blocks until its final answer. A stage that waits must end when Call.Left is closed, and
// gives Left then.
type Handler func(*Call) Answer

// Stage wraps the handler that comes after it.
type Stage func(next Handler) Handler

// Stages are those that stand in front of the pilot; nil ones are not in the chain at all. This is the one place that
// says in which order they stand.
type Stages struct {
	First   []Stage // an embedder's, before all others
	Caller  Stage   // who calls, and whether it may
	Quota   Stage   // whether its tenant has room
	Repeats Stage   // whether it has been here before
	Region  Stage   // whether another region is to serve it in the end
	Last    []Stage // an embedder's, directly before the pilot
}

// chain wraps a handler in the stages, the first outermost.
func (s Stages) chain(h Handler) Handler {
	all := slices.Concat(s.First, []Stage{s.Caller, s.Quota, s.Repeats, s.Region}, s.Last)
	for _, stage := range slices.Backward(all) {
		if stage != nil {
			h = stage(h)
		}
	}
	return h
}

// Host names a south side host. Another one may stand at the address of one that has gone.
type Host struct{ Name, Address, Protocol string }

// Carrier takes relays to hosts.
type Carrier interface {
	// Relay carries one relay to one host and blocks until its end, the time until or off is closed, and tells the
	// outcome as the protocol's table has it. It sends at most once. The payload is that of an outcome Served.
	Relay(to Host, call *Call, until float64, off <-chan struct{}) (dispatch.Outcome, any)
}

// Gate lets calls in for as long as they can be served.
type Gate interface {
	// Take tells whether a call is let in, and when that was. It may be alone on its connection.
	Take(class int, deadline float64, alone bool) (now float64, ok bool)
	// Answered counts out a call that was let in at a time.
	Answered(class int, since float64, served, alone bool)
}

// Settings are the core's limits.
type Settings struct {
	Calls  int  // the most that are open at once
	Gate   Gate // nil = it stands open
	Stages Stages
	// Figures counts calls by class; nil = nobody asks.
	Figures *metrics.Set
}

// The reasons that this package gives itself.
const (
	ReasonSameID = "a request with this Req-Id is open"
	ReasonBusy   = "busy"
	ReasonModule = "the module gave it up" // refused or failed by the decision module
	ReasonPanic  = "a stage panicked"
	ReasonLost   = "a stage lost the call"
	ReasonStop   = "the node is stopping"
)

const maxReasons = 64

// Ending counts the final answers of one kind and reason.
type Ending struct {
	Kind   Kind   `json:"Kind"`
	Reason string `json:"Reason"`
	Calls  uint64 `json:"Calls"`
	Last   uint64 `json:"Last"` // the number of the last of them among all final answers, from 1: which came last
}

// Core serves calls. All of its methods may be called from any goroutine.
type Core struct {
	set     Settings
	pilot   *dispatch.Pilot
	carrier Carrier
	log     *slog.Logger
	serve   Handler

	mu      sync.Mutex
	open    map[string]*Call // by id, those that are not answered
	full    bool             // the last call found no room
	endings map[ending]tally
	answers uint64 // final answers given so far
}

// tally counts answers of one kind and reason.
type tally struct {
	calls uint64
	last  uint64 // the number of the last of them among all
}

type ending struct {
	kind   Kind
	reason string
}

// New makes a core that takes calls.
func New(set Settings, p *dispatch.Pilot, carrier Carrier, log *slog.Logger) *Core {
	c := &Core{set: set, pilot: p, carrier: carrier, log: log, open: map[string]*Call{},
		endings: map[ending]tally{}}
	c.serve = set.Stages.chain(c.decide)
	return c
}

// Take admits a call without blocking. Where it does not, the answer says why: there are too many, one with its id is
// open, which hosts would take it for, or the node ends too soon. Each call that is taken must be given to Serve.
func (c *Core) Take(call *Call) (refusal Answer, taken bool) {
	c.mu.Lock()
	_, same := c.open[call.ID]
	full := len(c.open) >= c.set.Calls
	began, most := full && !c.full, c.set.Calls
	c.full = full
	switch {
	case same:
		refusal = Fail(Invalid, ReasonSameID)
	case full:
		refusal = Refuse(Busy, ReasonBusy, 0)
	case c.set.Gate != nil:
		if call.taken, taken = c.set.Gate.Take(call.Class, call.Deadline, call.Alone); !taken {
			refusal = Refuse(Busy, ReasonStop, 0)
		}
	default:
		taken = true
	}
	if taken {
		c.open[call.ID] = call
	}
	if !taken {
		c.count(refusal)
	}
	c.mu.Unlock()
	c.set.Figures.Taken()
	if !taken {
		c.set.Figures.Ended(call.Class, refusal.Kind.figure())
	}
	if began {
		c.log.Warn("the cap on open calls is reached: more get a back-off answer", "calls", most)
	}
	return refusal, taken
}

// Resize changes how many calls may be open at once. Those above stay.
func (c *Core) Resize(calls int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set.Calls = calls
}

// Serve serves a call that was taken and blocks until its one final answer, or Left. A served one whose payload flows is on its
// way only: Flowed must tell its end.
func (c *Core) Serve(call *Call) Answer {
	a := c.guarded(call)
	if f, ok := a.Payload.(Flowing); ok && a.Kind == Served && f.Flows() {
		if call.HasLeft() {
			f.Drop()
			a = Answer{Kind: Left}
		} else {
			return a
		}
	}
	c.end(call, a, a.Kind == Served)
	return a
}

// Flowed tells how an answer ended whose body was still on its way when Serve gave it: as what its call counts, which is what it
// came to.
func (c *Core) Flowed(call *Call, kind Kind) { c.end(call, Answer{Kind: kind}, false) }

// end counts a call out. Timed tells that the time it took is that of an answer.
func (c *Core) end(call *Call, a Answer, timed bool) {
	c.mu.Lock()
	delete(c.open, call.ID) // before the answer goes out: a client may ask with the same id right after it
	c.count(a)
	c.mu.Unlock()
	c.set.Figures.Ended(call.Class, a.Kind.figure())
	if c.set.Gate != nil {
		c.set.Gate.Answered(call.Class, call.taken, timed, call.Alone)
	}
}

// Finish has every open call get its final answer now: the pilot's, or a failure where a stage has it, which alone could
// tell whether it has run. No call may be taken any more.
func (c *Core) Finish() {
	c.pilot.Finish()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.open {
		call.cutOff()
	}
}

// guarded runs the chain: what goes wrong in a stage costs that call alone.
func (c *Core) guarded(call *Call) (a Answer) {
	defer func() {
		if err := recover(); err != nil {
			c.log.Error("a stage panicked", "error", fmt.Sprint(err), "stack", string(debug.Stack()))
			call.Leave() // calls off what may be out for it
			if call.opened {
				c.settle(call)
			}
			a = Fail(Unavailable, ReasonPanic)
		}
	}()
	a = c.serve(call)
	if a.Kind == Left && !call.HasLeft() {
		a = Fail(Unavailable, ReasonLost)
		if call.isCut() {
			a.Reason = ReasonStop
		}
	}
	if a.Reason != "" && a.Reason != ReasonModule && a.Reason != ReasonStop {
		c.log.Info("a stage ended a call", "answer", a.Kind.String(), "reason", a.Reason)
	}
	return a
}

// count notes a final answer under the lock.
func (c *Core) count(a Answer) {
	e := ending{a.Kind, a.Reason}
	if _, ok := c.endings[e]; !ok && len(c.endings) >= maxReasons {
		e.reason = "other"
	}
	c.answers++
	c.endings[e] = tally{c.endings[e].calls + 1, c.answers}
}

// Unanswered is the number of calls that are still owed an answer.
func (c *Core) Unanswered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Endings are the final answers given so far, by kind and reason, in a stable order.
func (c *Core) Endings() []Ending {
	c.mu.Lock()
	list := make([]Ending, 0, len(c.endings))
	for e, n := range c.endings {
		list = append(list, Ending{e.kind, e.reason, n.calls, n.last})
	}
	c.mu.Unlock()
	slices.SortFunc(list, func(a, b Ending) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

// decide is the end of the chain: it carries out the pilot's verdicts until one of them is the final answer. It serves a
// call once: a stage that wants another run forks it.
func (c *Core) decide(call *Call) Answer {
	call.offs = call.room[:0]
	c.pilot.Begin(&call.ticket, dispatch.Request{Class: call.Class, Tenant: call.Tenant, Deadline: call.Deadline,
		Cost: call.Cost, Repeat: call.Repeat})
	call.begin()
	for {
		switch v := call.ticket.Pick(); v.Kind {
		case dispatch.Answer:
			c.settle(call)
			return Answer{Kind: Served, Payload: v.Payload}
		case dispatch.BackOff:
			c.settle(call)
			return Answer{Kind: Refused, Fault: Busy, Reason: ReasonModule, Wait: v.Wait, Ran: v.Ran}
		case dispatch.Fail:
			c.settle(call)
			return Answer{Kind: Failed, Fault: Unavailable, Reason: ReasonModule, Ran: v.Ran}
		case dispatch.Done:
			return Answer{Kind: Left, Ran: v.Ran}
		default:
			c.carryOut(call, v)
		}
	}
}

// settle goes on with the verdicts of a call that is answered but has relays out, such as a second copy.
func (c *Core) settle(call *Call) {
	if call.ticket.Settled() {
		return
	}
	go func() {
		for v := call.ticket.Pick(); v.Kind != dispatch.Done; v = call.ticket.Pick() {
			c.carryOut(call, v)
		}
	}()
}

// carryOut starts a relay or calls one off. A call's verdicts are carried out one after the other.
func (c *Core) carryOut(call *Call, v dispatch.Verdict) {
	switch v.Kind {
	case dispatch.Relay:
		for len(call.offs) <= v.Relay { // one that a rule forbade has no verdict
			call.offs = append(call.offs, nil)
		}
		off := make(chan struct{})
		call.offs[v.Relay] = off
		go c.relay(call, v, off)
	case dispatch.CallOff:
		close(call.offs[v.Relay])
	}
}

// relay carries one relay and reports its end. A carrier that panics leaves open whether it ran.
func (c *Core) relay(call *Call, v dispatch.Verdict, off <-chan struct{}) {
	o, payload := dispatch.Failed, any(nil)
	defer func() {
		if err := recover(); err != nil {
			c.log.Error("a carrier panicked", "error", fmt.Sprint(err), "stack", string(debug.Stack()))
		}
		used := call.ticket.Report(v.Relay, o, payload)
		if f, ok := payload.(Flowing); ok && !used {
			f.Drop()
		}
	}()
	o, payload = c.carrier.Relay(Host{Name: v.Host, Address: v.Address, Protocol: v.Speaks}, call, v.Until, off)
}
