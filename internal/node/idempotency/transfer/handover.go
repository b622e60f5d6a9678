// Package transfer hands the names of calls from a process to the one that takes its place, over the channel of the takeover.
//
// There is one book at each moment: the old process's until the other one has said that it accepts, then that one's. The old one
// gives it away whole, and asks for each new name from then on; what it runs already runs in the other's book too, and it tells each
// end before it tells its client. When the channel breaks, the old one refuses new names, and the other takes what it was not told the
// end of for something that may have run.
package transfer

import (
	"encoding/json"
	"log/slog"
	"sync"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
)

// Send tells the other process something, in order. After an error the channel is broken, and its end is told.
type Send func(json.RawMessage) error

// mostPart is how many bytes of answers go into one message, beside those of one entry.
const mostPart = 1 << 20

// mostNames is how many entries do.
const mostNames = 4096

// message is what one process tells the other: one of its fields.
type message struct {
	Book *part `json:"book,omitempty"` // to the heir
	Ask  *ask  `json:"ask,omitempty"`  // to the heir
	Told *told `json:"told,omitempty"` // to the giver
	End  *end  `json:"end,omitempty"`  // to the heir
}

// part is one of the book's.
type part struct {
	Known  []known `json:"known"`
	Last   bool    `json:"last,omitempty"`
	Secret []byte  `json:"secret,omitempty"` // of the last: under which names are hashed
}

type call struct {
	Name   []byte `json:"name"`
	Print  []byte `json:"print"`
	Class  int    `json:"class"`
	Tenant int    `json:"tenant"`
	// Windows are those that were promised to it; a release that does not tell them goes by its class's, as this one then does.
	Windows *idempotency.Windows `json:"windows,omitempty"`
}

type known struct {
	call
	Running bool    `json:"running,omitempty"`
	Served  bool    `json:"served,omitempty"`
	Age     float64 `json:"age,omitempty"` // milliseconds
	Body    []byte  `json:"body,omitempty"`
}

type ask struct {
	call
	Seq uint64  `json:"seq"`
	For float64 `json:"for"` // milliseconds until its deadline
}

type told struct {
	Seq     uint64              `json:"seq"`
	Verdict idempotency.Verdict `json:"verdict"`
	Reason  string              `json:"reason,omitempty"`
	Wait    float64             `json:"wait,omitempty"` // milliseconds
	Body    []byte              `json:"body,omitempty"`
}

type end struct {
	call
	How  idempotency.End `json:"how"`
	Body []byte          `json:"body,omitempty"`
}

func wired(c idempotency.Call) call { return call{c.Name[:], c.Print[:], c.Class, c.Tenant, c.Windows} }

func (c call) call() (out idempotency.Call) {
	out.Class, out.Tenant, out.Windows = c.Class, c.Tenant, c.Windows
	copy(out.Name[:], c.Name)
	copy(out.Print[:], c.Print)
	return out
}

func (m message) send(to Send) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return to(text)
}

// Giver is the old process's side: the edge.Fleet of its stage from the hand-over on.
type Giver struct {
	stage *middleware.Stage
	clock clock.Clock
	log   *slog.Logger
	send  Send

	given chan struct{} // closed when the book was sent, or the channel is broken

	mu      sync.Mutex
	broken  bool
	last    uint64
	waiting map[uint64]*asked
}

// asked is a name that the heir was asked for.
type asked struct {
	call   idempotency.Call
	answer chan middleware.Taken // nobody waits for one that is nil
}

// NewGiver makes the side that gives a stage's book away once it runs.
func NewGiver(stage *middleware.Stage, c clock.Clock, log *slog.Logger, send Send) *Giver {
	return &Giver{stage: stage, clock: c, log: log, send: send, given: make(chan struct{}), waiting: map[uint64]*asked{}}
}

// Run has the stage give its book away, and returns when it has been sent. Told and Lost may be called meanwhile.
func (g *Giver) Run() {
	list := g.stage.Give(g)
	names := len(list)
	for {
		p, bytes := &part{}, 0
		for len(list) > 0 && len(p.Known) < mostNames && bytes < mostPart {
			k := &list[0]
			body, _ := k.Body.([]byte)
			p.Known = append(p.Known, known{wired(k.Call), k.Running, k.Served, k.Age, body})
			bytes += len(body)
			list = list[1:]
		}
		if len(list) == 0 {
			p.Last, p.Secret = true, g.stage.Secret()
		}
		if err := (message{Book: p}).send(g.send); err != nil {
			g.log.Warn("the names could not be handed over", "error", err)
			g.Lost()
			return
		}
		if p.Last {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.broken {
		close(g.given)
		g.log.Info("the names were handed over", "names", names)
	}
}

// Take has the heir asked.
func (g *Giver) Take(c idempotency.Call, deadline float64, left <-chan struct{}) middleware.Taken {
	late := make(chan struct{})
	stop := g.clock.At(deadline, func() { close(late) })
	defer stop()
	select {
	case <-g.given:
	case <-late:
		return middleware.Taken{Verdict: idempotency.Join}
	case <-left:
		return middleware.Taken{Verdict: idempotency.Join}
	}
	a := &asked{c, make(chan middleware.Taken, 1)}
	answer := a.answer
	g.mu.Lock()
	if g.broken {
		g.mu.Unlock()
		return g.refused(c)
	}
	g.last++
	seq := g.last
	g.waiting[seq] = a
	g.mu.Unlock()
	if (message{Ask: &ask{wired(c), seq, max(0, deadline-g.clock.Now())}}).send(g.send) != nil {
		g.Lost()
	}
	select {
	case t := <-answer:
		return t
	case <-late:
	case <-left:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a.answer = nil // what it is told now nobody makes use of
	select {
	case t := <-answer:
		return t
	default:
		return middleware.Taken{Verdict: idempotency.Join}
	}
}

// refused is the answer where the heir cannot be asked. A call that may run twice runs, and is not recognised.
func (g *Giver) refused(c idempotency.Call) middleware.Taken {
	if !g.stage.Once(c.Class) {
		return middleware.Taken{Verdict: idempotency.Pass}
	}
	return middleware.Taken{Verdict: idempotency.Full, Reason: middleware.ReasonHeirGone}
}

// Ended tells the heir. What is written before the client is told is read by the heir though this process dies.
func (g *Giver) Ended(c idempotency.Call, _ middleware.Taken, how idempotency.End, body []byte) {
	<-g.given
	g.mu.Lock()
	broken := g.broken
	g.mu.Unlock()
	if !broken && (message{End: &end{wired(c), how, body}}).send(g.send) != nil {
		g.Lost()
	}
}

// Told takes what the heir says.
func (g *Giver) Told(text json.RawMessage) error {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	if m.Told == nil {
		return nil
	}
	t := middleware.Taken{Verdict: m.Told.Verdict, Reason: m.Told.Reason, Wait: m.Told.Wait, Body: m.Told.Body}
	g.mu.Lock()
	a := g.waiting[m.Told.Seq]
	delete(g.waiting, m.Told.Seq)
	unwanted := a != nil && a.answer == nil
	if a != nil && !unwanted {
		a.answer <- t
	}
	g.mu.Unlock()
	if unwanted && t.Verdict == idempotency.Run {
		g.Ended(a.call, t, idempotency.EndNotRun, nil)
	}
	return nil
}

// Lost tells that the channel is broken.
func (g *Giver) Lost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken {
		return
	}
	g.broken = true
	g.log.Warn("the process that took over cannot be asked for names any more: new ones are refused")
	for seq, a := range g.waiting {
		if a.answer != nil {
			a.answer <- g.refused(a.call)
		}
		delete(g.waiting, seq)
	}
	select {
	case <-g.given:
	default:
		close(g.given)
	}
}

// Heir is the new process's side. Its methods are called one after the other.
type Heir struct {
	stage *middleware.Stage
	clock clock.Clock
	log   *slog.Logger
	send  Send
	book  []idempotency.Known // that has come
	gone  chan struct{}       // closed when the channel has broken
}

// Await has a stage wait for the names of the process before.
func Await(stage *middleware.Stage, c clock.Clock, log *slog.Logger, send Send) *Heir {
	stage.Await()
	return &Heir{stage: stage, clock: c, log: log, send: send, gone: make(chan struct{})}
}

// Told takes what the process before says.
func (h *Heir) Told(text json.RawMessage) error {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	switch {
	case m.Book != nil:
		for _, k := range m.Book.Known {
			in := idempotency.Known{Call: k.call.call(), Running: k.Running, Served: k.Served, Age: k.Age}
			if k.Body != nil {
				in.Body = k.Body
			}
			h.book = append(h.book, in)
		}
		if m.Book.Last {
			h.stage.Inherit(m.Book.Secret, h.book)
			h.book = nil
		}
	case m.Ask != nil:
		go h.answer(*m.Ask) // there are as many as the other process has calls
	case m.End != nil:
		h.stage.Ended(m.End.call.call(), middleware.Taken{}, m.End.How, m.End.Body)
	}
	return nil
}

func (h *Heir) answer(a ask) {
	t := h.stage.Take(a.call.call(), h.clock.Now()+a.For, h.gone)
	// An end shows to the reader.
	_ = message{Told: &told{a.Seq, t.Verdict, t.Reason, t.Wait, t.Body}}.send(h.send)
}

// Lost tells that the channel has broken, and whether the process before goes on.
func (h *Heir) Lost(alive bool) {
	close(h.gone)
	h.stage.Lost(alive)
}
