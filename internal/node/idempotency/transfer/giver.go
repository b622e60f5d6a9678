package transfer

import (
	"encoding/json"
	"log/slog"
	"sync"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
)

// Sender is the old process's side: the middleware.LeaseService of its middleware from the transfer on. All of its methods
// may be called from any goroutine.
type Sender struct {
	mw    *middleware.Middleware
	clock clock.Clock
	log   *slog.Logger
	send  SendFunc

	sent chan struct{} // closed when the table was sent, or the channel is broken

	mu      sync.Mutex
	broken  bool
	lastSeq uint64
	pending map[uint64]*pendingClaim
}

// pendingClaim is a claim that the other process has not answered yet.
type pendingClaim struct {
	call  idempotency.Call
	reply chan middleware.ClaimResult // nil = nobody waits for it any more
}

// NewSender returns the side that transfers the table of mw once Run is called.
func NewSender(mw *middleware.Middleware, c clock.Clock, log *slog.Logger, send SendFunc) *Sender {
	return &Sender{mw: mw, clock: c, log: log, send: send, sent: make(chan struct{}), pending: map[uint64]*pendingClaim{}}
}

// Run transfers the table, and returns when it has been sent or the channel is broken. Told and Lost may be called
// meanwhile.
func (g *Sender) Run() {
	entries := g.mw.BeginTransfer(g)
	names := len(entries)
	for {
		var p *tableChunk
		if p, entries = nextChunk(entries); len(entries) == 0 {
			p.Last, p.Secret = true, g.mw.Secret()
		}
		if err := (message{Chunk: p}).send(g.send); err != nil {
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

// nextChunk returns the entries of the next message, and those that are left.
func nextChunk(entries []idempotency.Entry) (p *tableChunk, left []idempotency.Entry) {
	p, bytes := &tableChunk{}, 0
	for len(entries) > 0 && len(p.Entries) < maxChunkEntries && bytes < maxChunkBytes {
		k := &entries[0]
		body, _ := k.Body.([]byte)
		p.Entries = append(p.Entries, entry{encodeCall(k.Call), k.Running, k.Served, k.Age, body})
		bytes += len(body)
		entries = entries[1:]
	}
	return p, entries
}

// Claim implements middleware.LeaseService: it claims a key from the other process.
func (g *Sender) Claim(c idempotency.Call, deadline float64, left <-chan struct{}) middleware.ClaimResult {
	expired := make(chan struct{})
	stop := g.clock.At(deadline, func() { close(expired) })
	defer stop()
	select {
	case <-g.sent:
	case <-expired:
		return middleware.ClaimResult{Verdict: idempotency.Join}
	case <-left:
		return middleware.ClaimResult{Verdict: idempotency.Join}
	}
	pending := &pendingClaim{c, make(chan middleware.ClaimResult, 1)}
	reply := pending.reply
	g.mu.Lock()
	if g.broken {
		g.mu.Unlock()
		return g.withoutSuccessor(c)
	}
	g.lastSeq++
	seq := g.lastSeq
	g.pending[seq] = pending
	g.mu.Unlock()
	if (message{Claim: &claim{encodeCall(c), seq, max(0, deadline-g.clock.Now())}}).send(g.send) != nil {
		g.Lost()
	}
	select {
	case t := <-reply:
		return t
	case <-expired:
	case <-left:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	pending.reply = nil // Told gives back a claim that is granted now
	select {
	case t := <-reply:
		return t
	default:
		return middleware.ClaimResult{Verdict: idempotency.Join}
	}
}

// withoutSuccessor returns the result of a claim where the other process cannot be asked. A call that may run twice
// runs unrecorded.
func (g *Sender) withoutSuccessor(c idempotency.Call) middleware.ClaimResult {
	if !g.mw.Once(c.Class) {
		return middleware.ClaimResult{Verdict: idempotency.RunUnrecorded}
	}
	return middleware.ClaimResult{Verdict: idempotency.Full, Reason: middleware.ReasonSuccessorLost}
}

// Complete implements middleware.LeaseService: it sends the outcome of a run. What was written before the client is answered is
// received though this process dies.
func (g *Sender) Complete(c idempotency.Call, _ middleware.ClaimResult, outcome idempotency.Outcome, body []byte) {
	<-g.sent
	g.mu.Lock()
	broken := g.broken
	g.mu.Unlock()
	if !broken && (message{Completion: &completion{encodeCall(c), outcome, body}}).send(g.send) != nil {
		g.Lost()
	}
}

// Receive receives a message of the other process. The error is of one that cannot be decoded.
func (g *Sender) Receive(text json.RawMessage) error {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	if m.Reply == nil {
		return nil
	}
	t := middleware.ClaimResult{Verdict: m.Reply.Verdict, Reason: m.Reply.Reason, RetryAfter: m.Reply.Wait, Body: m.Reply.Body}
	g.mu.Lock()
	pending := g.pending[m.Reply.Seq]
	delete(g.pending, m.Reply.Seq)
	abandoned := pending != nil && pending.reply == nil
	if pending != nil && !abandoned {
		pending.reply <- t
	}
	g.mu.Unlock()
	if abandoned && t.Verdict == idempotency.Run {
		g.Complete(pending.call, t, idempotency.OutcomeNotExecuted, nil)
	}
	return nil
}

// Lost says that the channel is broken.
func (g *Sender) Lost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken {
		return
	}
	g.broken = true
	g.log.Warn("the process that took over cannot be asked for names any more: new ones are refused")
	for seq, pending := range g.pending {
		if pending.reply != nil {
			pending.reply <- g.withoutSuccessor(pending.call)
		}
		delete(g.pending, seq)
	}
	select {
	case <-g.sent:
	default:
		close(g.sent)
	}
}
