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

// maxPartBytes is how many bytes of answers go into one message, beside those of one entry.
const maxPartBytes = 1 << 20

// maxPartEntries is how many entries do.
const maxPartEntries = 4096

// message is what one process tells the other: one of its fields.
type message struct {
	Table      *tablePart  `json:"book,omitempty"` // to the heir
	Claim      *claim      `json:"ask,omitempty"`  // to the heir
	Reply      *claimReply `json:"told,omitempty"` // to the giver
	Completion *completion `json:"end,omitempty"`  // to the heir
}

// tablePart is one of the book's.
type tablePart struct {
	Entries []entry `json:"known"`
	Last    bool    `json:"last,omitempty"`
	Secret  []byte  `json:"secret,omitempty"` // of the last: under which names are hashed
}

type wireCall struct {
	Name   []byte `json:"name"`
	Print  []byte `json:"print"`
	Class  int    `json:"class"`
	Tenant int    `json:"tenant"`
	// Windows are those that were promised to it; a release that does not tell them goes by its class's, as this one then does.
	Windows *idempotency.Windows `json:"windows,omitempty"`
}

type entry struct {
	wireCall
	Running bool    `json:"running,omitempty"`
	Served  bool    `json:"served,omitempty"`
	Age     float64 `json:"age,omitempty"` // milliseconds
	Body    []byte  `json:"body,omitempty"`
}

type claim struct {
	wireCall
	Seq     uint64  `json:"seq"`
	Timeout float64 `json:"for"` // milliseconds until its deadline
}

type claimReply struct {
	Seq     uint64              `json:"seq"`
	Verdict idempotency.Verdict `json:"verdict"`
	Reason  string              `json:"reason,omitempty"`
	Wait    float64             `json:"wait,omitempty"` // milliseconds
	Body    []byte              `json:"body,omitempty"`
}

type completion struct {
	wireCall
	Outcome idempotency.End `json:"how"`
	Body    []byte          `json:"body,omitempty"`
}

func encodeCall(c idempotency.Call) wireCall {
	return wireCall{c.Name[:], c.Print[:], c.Class, c.Tenant, c.Windows}
}

func (c wireCall) decode() (out idempotency.Call) {
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

	sent chan struct{} // closed when the book was sent, or the channel is broken

	mu      sync.Mutex
	broken  bool
	lastSeq uint64
	pending map[uint64]*pendingClaim
}

// pendingClaim is a name that the heir was asked for.
type pendingClaim struct {
	call  idempotency.Call
	reply chan middleware.Taken // nobody waits for one that is nil
}

// NewGiver makes the side that gives a stage's book away once it runs.
func NewGiver(stage *middleware.Stage, c clock.Clock, log *slog.Logger, send Send) *Giver {
	return &Giver{stage: stage, clock: c, log: log, send: send, sent: make(chan struct{}), pending: map[uint64]*pendingClaim{}}
}

// Run has the stage give its book away, and returns when it has been sent. Told and Lost may be called meanwhile.
func (g *Giver) Run() {
	list := g.stage.Give(g)
	names := len(list)
	for {
		p, bytes := &tablePart{}, 0
		for len(list) > 0 && len(p.Entries) < maxPartEntries && bytes < maxPartBytes {
			k := &list[0]
			body, _ := k.Body.([]byte)
			p.Entries = append(p.Entries, entry{encodeCall(k.Call), k.Running, k.Served, k.Age, body})
			bytes += len(body)
			list = list[1:]
		}
		if len(list) == 0 {
			p.Last, p.Secret = true, g.stage.Secret()
		}
		if err := (message{Table: p}).send(g.send); err != nil {
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
		close(g.sent)
		g.log.Info("the names were handed over", "names", names)
	}
}

// Take has the heir asked.
func (g *Giver) Take(c idempotency.Call, deadline float64, left <-chan struct{}) middleware.Taken {
	late := make(chan struct{})
	stop := g.clock.At(deadline, func() { close(late) })
	defer stop()
	select {
	case <-g.sent:
	case <-late:
		return middleware.Taken{Verdict: idempotency.Join}
	case <-left:
		return middleware.Taken{Verdict: idempotency.Join}
	}
	a := &pendingClaim{c, make(chan middleware.Taken, 1)}
	reply := a.reply
	g.mu.Lock()
	if g.broken {
		g.mu.Unlock()
		return g.withoutSuccessor(c)
	}
	g.lastSeq++
	seq := g.lastSeq
	g.pending[seq] = a
	g.mu.Unlock()
	if (message{Claim: &claim{encodeCall(c), seq, max(0, deadline-g.clock.Now())}}).send(g.send) != nil {
		g.Lost()
	}
	select {
	case t := <-reply:
		return t
	case <-late:
	case <-left:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a.reply = nil // what it is told now nobody makes use of
	select {
	case t := <-reply:
		return t
	default:
		return middleware.Taken{Verdict: idempotency.Join}
	}
}

// withoutSuccessor is the answer where the heir cannot be asked. A call that may run twice runs, and is not recognised.
func (g *Giver) withoutSuccessor(c idempotency.Call) middleware.Taken {
	if !g.stage.Once(c.Class) {
		return middleware.Taken{Verdict: idempotency.Pass}
	}
	return middleware.Taken{Verdict: idempotency.Full, Reason: middleware.ReasonHeirGone}
}

// Ended tells the heir. What is written before the client is told is read by the heir though this process dies.
func (g *Giver) Ended(c idempotency.Call, _ middleware.Taken, outcome idempotency.End, body []byte) {
	<-g.sent
	g.mu.Lock()
	broken := g.broken
	g.mu.Unlock()
	if !broken && (message{Completion: &completion{encodeCall(c), outcome, body}}).send(g.send) != nil {
		g.Lost()
	}
}

// Told takes what the heir says.
func (g *Giver) Told(text json.RawMessage) error {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	if m.Reply == nil {
		return nil
	}
	t := middleware.Taken{Verdict: m.Reply.Verdict, Reason: m.Reply.Reason, Wait: m.Reply.Wait, Body: m.Reply.Body}
	g.mu.Lock()
	a := g.pending[m.Reply.Seq]
	delete(g.pending, m.Reply.Seq)
	unwanted := a != nil && a.reply == nil
	if a != nil && !unwanted {
		a.reply <- t
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
	for seq, a := range g.pending {
		if a.reply != nil {
			a.reply <- g.withoutSuccessor(a.call)
		}
		delete(g.pending, seq)
	}
	select {
	case <-g.sent:
	default:
		close(g.sent)
	}
}

// Heir is the new process's side. Its methods are called one after the other.
type Heir struct {
	stage   *middleware.Stage
	clock   clock.Clock
	log     *slog.Logger
	send    Send
	entries []idempotency.Known // that has come
	broken  chan struct{}       // closed when the channel has broken
}

// Await has a stage wait for the names of the process before.
func Await(stage *middleware.Stage, c clock.Clock, log *slog.Logger, send Send) *Heir {
	stage.Await()
	return &Heir{stage: stage, clock: c, log: log, send: send, broken: make(chan struct{})}
}

// Told takes what the process before says.
func (h *Heir) Told(text json.RawMessage) error {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	switch {
	case m.Table != nil:
		for _, k := range m.Table.Entries {
			in := idempotency.Known{Call: k.wireCall.decode(), Running: k.Running, Served: k.Served, Age: k.Age}
			if k.Body != nil {
				in.Body = k.Body
			}
			h.entries = append(h.entries, in)
		}
		if m.Table.Last {
			h.stage.Inherit(m.Table.Secret, h.entries)
			h.entries = nil
		}
	case m.Claim != nil:
		go h.replyTo(*m.Claim) // there are as many as the other process has calls
	case m.Completion != nil:
		h.stage.Ended(m.Completion.wireCall.decode(), middleware.Taken{}, m.Completion.Outcome, m.Completion.Body)
	}
	return nil
}

func (h *Heir) replyTo(a claim) {
	t := h.stage.Take(a.wireCall.decode(), h.clock.Now()+a.Timeout, h.broken)
	// An end shows to the reader.
	_ = message{Reply: &claimReply{a.Seq, t.Verdict, t.Reason, t.Wait, t.Body}}.send(h.send)
}

// Lost tells that the channel has broken, and whether the process before goes on.
func (h *Heir) Lost(alive bool) {
	close(h.broken)
	h.stage.Lost(alive)
}
