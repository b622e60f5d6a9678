// Package middleware is the stage that recognises repeats: the half of package repeats that has a lock, a clock, a journal and
// calls that wait.
//
// The first call of a name runs in a copy of its own, whose client leaves only when nobody waits for it any more. Every
// repeat that comes meanwhile waits for that run's answer until its own time is up or its own client leaves. All of them
// get the one answer.
package middleware

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/journal"
)

// Class is how the calls of one class are treated.
type Class struct {
	On       bool
	By       Naming
	Required bool // a call without a name is the client's fault; else it goes on unrecognised
	Recorded bool // a call waits until the disk has it before it runs, and is turned away where the disk fails
	Agreed   bool // a call waits until the fleet has agreed on it
	// Windows are those under which its calls take their names, nil = those of Settings.Book.
	Windows *idempotency.Windows
}

// Taken is what became of a name that was to be agreed.
type Taken struct {
	// Verdict is Run, Pass, Replay with the Body, Spent, Doubt, Mismatch, Full with a Reason of its own if there is one, or Join: it
	// runs elsewhere, and has not ended in time.
	Verdict idempotency.Verdict
	Reason  string
	Wait    float64 // with Full, ms
	Body    []byte  // as Settings.Encode wrote it
	Token   uint64  // with Run: of this run
	// Stands tells, with Run, whether the name is still this node's: the last look before a relay's first byte.
	Stands func() bool
}

// Fleet holds names for all nodes. Its methods block.
type Fleet interface {
	// Take has a name agreed before it runs, until the deadline on the node's clock, or until left is closed.
	Take(c idempotency.Call, deadline float64, left <-chan struct{}) Taken
	// Ended has the end of a run agreed before anyone is told.
	Ended(c idempotency.Call, t Taken, how idempotency.End, body []byte)
}

// Looker is a Fleet that can tell how a name stands and take nothing: as Take, with Run for a name that nobody has.
type Looker interface {
	Look(c idempotency.Call, deadline float64, left <-chan struct{}) Taken
}

// Settings describe the stage.
type Settings struct {
	Classes []Class // by number
	Book    idempotency.Settings
	Secret  []byte // keys the hash of names; the same before and after a restart where there is a journal
	Content func(payload any) core.Content
	Journal *journal.Journal    // nil = none
	Fleet   Fleet               // nil = names are this node's alone
	Longest float64             // ms that a run may take, here or for the fleet
	Known   []idempotency.Known // what it held at the start; bodies are what Decode reads
	Wall    func() float64      // wall clock for the journal, ms since the Unix epoch
	// Encode and Decode turn a served answer's payload into bytes for the journal and back; nil is not kept.
	Encode func(payload any) []byte
	Decode func(text []byte) any
}

// The reasons that this stage gives.
const (
	ReasonUnnamed    = "the request lacks what names it"
	ReasonMismatch   = "the name of another request was used"
	ReasonDoubt      = "an earlier request of this name may have run"
	ReasonSpent      = "an earlier request of this name has run and its answer is no longer kept"
	ReasonFull       = "no room to recognise repeats"
	ReasonUnrecorded = "the request could not be recorded"
	ReasonNoMajority = "no majority of the fleet can be asked whether it has run"
	ReasonNoHandover = "what runs in the process before is not known"
	ReasonHeirGone   = "the process that has taken over cannot be asked whether it has run"
	ReasonWaited     = "an earlier request of this name was not answered in time"
)

// Stage holds what is known. All of its methods may be called from any goroutine.
type Stage struct {
	config  Settings
	clock   clock.Clock
	log     *slog.Logger
	hasher  *keyHasher
	classes atomic.Pointer[classTable] // a call is judged whole by the one that it finds

	mu        sync.Mutex
	table     *idempotency.Book
	runs      map[idempotency.Ref]*run
	successor Fleet // the process that has taken over has the book; nil = it is here

	predecessor *predecessor // the process whose place this one takes hands its names over; nil = none does
}

// run is a call that runs for all who wait for it.
type run struct {
	call      *core.Call    // the copy; nil = it runs in the process before, which is one of those that wait
	waiters   int           // clients, under the stage's lock
	successor Fleet         // whom to ask before it runs, and to tell its end; nil = the book was this process's when it began
	finished  chan struct{} // closed when answer is set
	answer    core.Answer
}

// New makes the stage. The error is that of settings that cannot work.
func New(set Settings, c clock.Clock, log *slog.Logger) (*Stage, error) {
	book, err := idempotency.New(set.Book)
	if err != nil {
		return nil, err
	}
	s := &Stage{config: set, clock: c, log: log, hasher: newKeyHasher(set.Secret), table: book, runs: map[idempotency.Ref]*run{}}
	s.classes.Store(newClassTable(&set))
	lost := 0
	for _, k := range set.Known {
		if !s.restore(k) {
			lost++
		}
	}
	if len(set.Known) > 0 {
		log.Info("repeats from before the start are known", "names", len(set.Known)-lost)
	}
	if lost > 0 {
		log.Error("there is no room for repeats from before the start", "names", lost)
	}
	return s, nil
}

// restore takes an entry whose body is still to be read, and tells whether there was room.
func (s *Stage) restore(k idempotency.Known) bool {
	if text, ok := k.Body.([]byte); ok {
		k.Body, k.Size = nil, 0
		if payload := s.config.Decode(text); payload != nil {
			k.Body, k.Size = payload, s.config.Content(payload).Size()
		}
	}
	return s.table.Restore(s.clock.Now(), k)
}

// Counts tells what the stage holds and has done.
func (s *Stage) Counts() idempotency.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Counts()
}

// Wrap is the core.Stage.
func (s *Stage) Wrap(next core.Handler) core.Handler {
	return func(call *core.Call) core.Answer {
		t := s.classes.Load()
		if !t.inUse { // the first call: whoever lets calls begin has not yet come to say so
			t = s.markInUse()
		}
		class := &t.classes[call.Class]
		if !class.On && s.clock.Now() >= class.knownUntil {
			return next(call)
		}
		if s.predecessor != nil && !s.predecessor.wait(s, call) {
			if !s.config.Book.Classes[call.Class].Once {
				return next(call)
			}
			return core.Refuse(core.Busy, ReasonNoHandover, 0)
		}
		name, print, ok := s.hasher.sum(&class.By, call, s.config.Content(call.Payload))
		switch {
		case !ok && class.Required && class.On:
			return core.Fail(core.Invalid, ReasonUnnamed)
		case !ok:
			return next(call)
		}
		return s.serve(call, next, class, idempotency.Call{Name: name, Print: print, Class: call.Class, Tenant: call.Tenant,
			Windows: class.Windows})
	}
}

// serve carries out what the book says.
func (s *Stage) serve(call *core.Call, next core.Handler, class *classState, c idempotency.Call) core.Answer {
	for {
		s.mu.Lock()
		if !class.On && s.successor == nil { // its names are known until they end, and no more are taken
			s.table.Tick(s.clock.Now())
			if _, known := s.table.ClassOf(c.Name); !known {
				s.mu.Unlock()
				if t := s.lookup(class, c, call.Deadline, call.Left()); t.Verdict != idempotency.Run {
					_, _, a := s.remoteAnswer(t)
					return a
				}
				return next(call)
			}
		}
		d := s.table.Ask(s.clock.Now(), c)
		var r *run
		switch d.Verdict {
		case idempotency.Run:
			r = &run{call: call.Fork(), waiters: 1, successor: s.successor, finished: make(chan struct{})}
			s.runs[d.Ref] = r
		case idempotency.Join:
			r = s.runs[d.Ref]
			r.waiters++
		}
		s.mu.Unlock()
		switch d.Verdict {
		case idempotency.Run:
			call.OnLeave(func() { s.removeWaiter(r) })
			s.execute(r, d.Ref, next, class, c)
			if call.HasLeft() {
				return core.Answer{Kind: core.Left}
			}
			return r.answer
		case idempotency.Join:
			if a, again := s.await(call, r); !again {
				return a
			}
			continue // the run was called off before this call came to wait for it
		case idempotency.Replay:
			return core.Answer{Kind: core.Served, Payload: d.Body}
		case idempotency.Spent:
			return core.Fail(core.Known, ReasonSpent)
		case idempotency.Doubt:
			return core.Fail(core.Known, ReasonDoubt)
		case idempotency.Mismatch:
			return core.Fail(core.Mismatch, ReasonMismatch)
		case idempotency.Full:
			return core.Refuse(core.Busy, ReasonFull, d.Wait)
		}
		return next(call)
	}
}

// execute runs a call for all who wait for it, and records what came of it before anyone is told.
func (s *Stage) execute(r *run, ref idempotency.Ref, next core.Handler, class *classState, c idempotency.Call) {
	outcome, body, size := idempotency.EndInDoubt, any(nil), 0
	r.answer = core.Fail(core.Unavailable, core.ReasonPanic) // unless it comes to another end
	var agreed *Taken
	claims := r.successor // who have a say whether it runs
	if s.config.Fleet != nil && class.Agreed {
		claims = s.config.Fleet
	}
	text := func() []byte {
		if body == nil {
			return nil
		}
		return s.config.Encode(body)
	}
	defer func() {
		if agreed != nil {
			claims.Ended(c, *agreed, outcome, text())
		}
		if j := s.config.Journal; j != nil {
			if _, err := j.Ended(s.config.Wall(), c, outcome, text()); err != nil {
				s.log.Error("the end of a request was not recorded", "error", err)
			}
		}
		s.mu.Lock()
		if heir := s.successor; heir != nil && r.successor == nil { // it ran when the book was given away
			s.mu.Unlock()
			heir.Ended(c, Taken{}, outcome, text())
			s.mu.Lock()
		}
		s.table.End(s.clock.Now(), ref, outcome, body, size)
		delete(s.runs, ref)
		close(r.finished)
		s.mu.Unlock()
	}()
	if err := s.recordBegin(class, c); err != nil {
		s.log.Error("the beginning of a request was not recorded", "error", err)
		if class.Recorded {
			outcome, r.answer = idempotency.EndNotRun, core.Refuse(core.Busy, ReasonUnrecorded, 0)
			return
		}
	}
	if claims != nil {
		t := claims.Take(c, r.call.Deadline, r.call.Left())
		if t.Verdict != idempotency.Run && t.Verdict != idempotency.Pass {
			outcome, body, r.answer = s.remoteAnswer(t)
			if body != nil {
				size = s.config.Content(body).Size()
			}
			return
		}
		if t.Verdict == idempotency.Run {
			agreed, r.call.Stands = &t, t.Stands
		}
	} else if t := s.lookup(class, c, r.call.Deadline, r.call.Left()); t.Verdict != idempotency.Run {
		outcome, body, r.answer = s.remoteAnswer(t)
		if body != nil {
			size = s.config.Content(body).Size()
		}
		return
	}
	a := next(r.call)
	switch {
	case a.Kind == core.Served:
		outcome, body = idempotency.EndServed, a.Payload
		size = s.config.Content(a.Payload).Size()
	case !a.Ran:
		outcome = idempotency.EndNotRun
	}
	r.answer = a
}

// remoteAnswer is what a call gets that is not this node's to run. Nothing ran here: but for an answer, the fleet is asked again.
func (s *Stage) remoteAnswer(t Taken) (outcome idempotency.End, body any, a core.Answer) {
	switch t.Verdict {
	case idempotency.Replay:
		if payload := s.config.Decode(t.Body); payload != nil {
			return idempotency.EndServed, payload, core.Answer{Kind: core.Served, Payload: payload}
		}
		a = core.Fail(core.Known, ReasonSpent)
	case idempotency.Spent:
		a = core.Fail(core.Known, ReasonSpent)
	case idempotency.Doubt:
		a = core.Fail(core.Known, ReasonDoubt)
	case idempotency.Mismatch:
		a = core.Fail(core.Mismatch, ReasonMismatch)
	case idempotency.Join:
		a = core.Fail(core.Unavailable, ReasonWaited)
	default:
		a = core.Refuse(core.Busy, ReasonFull, t.Wait)
		if t.Reason != "" {
			a.Reason = t.Reason
		}
	}
	return idempotency.EndNotRun, nil, a
}

// recordBegin notes that a call is about to run, and waits for the disk where its class does.
func (s *Stage) recordBegin(class *classState, c idempotency.Call) error {
	if s.config.Journal == nil {
		return nil
	}
	ticket, err := s.config.Journal.Began(s.config.Wall(), c)
	if err == nil && class.Recorded {
		err = ticket.Wait()
	}
	return err
}

// await waits for a run's answer. again tells that the run was called off and that this call may be another one.
func (s *Stage) await(call *core.Call, r *run) (a core.Answer, again bool) {
	late := make(chan struct{})
	stop := s.clock.At(call.Deadline, func() { close(late) })
	defer stop()
	select {
	case <-r.finished:
		return r.answer, r.answer.Kind == core.Left && !call.HasLeft()
	case <-call.Left():
		s.removeWaiter(r)
		return core.Answer{Kind: core.Left}, false
	case <-late:
		s.removeWaiter(r)
		return core.Fail(core.Unavailable, ReasonWaited), false
	}
}

// removeWaiter counts out a client that waits no longer. A run that nobody waits for is called off.
func (s *Stage) removeWaiter(r *run) {
	s.mu.Lock()
	r.waiters--
	alone := r.waiters == 0
	s.mu.Unlock()
	if alone {
		r.call.Leave()
	}
}
