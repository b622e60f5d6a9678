package transfer

import (
	"encoding/json"
	"log/slog"
	"sync"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
)

// Sender is the side of the old process: the middleware.Claimer of its middleware from the transfer on. All of its
// methods may be called from any goroutine.
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
	reply chan middleware.ClaimResult // nil = nobody waits for the reply any more
}

// NewSender returns the side that transfers the table of mw once Run is called.
func NewSender(mw *middleware.Middleware, c clock.Clock, log *slog.Logger, send SendFunc) *Sender {
	return &Sender{mw: mw, clock: c, log: log, send: send, sent: make(chan struct{}), pending: map[uint64]*pendingClaim{}}
}

// Run transfers the table, and returns when it has been sent or the channel is broken. Receive and Lost may be
// called meanwhile.
func (s *Sender) Run() {
	entries := s.mw.BeginTransfer(s)
	keys := len(entries)
	for {
		var chunk *tableChunk
		if chunk, entries = nextChunk(entries); len(entries) == 0 {
			chunk.Last, chunk.Secret = true, s.mw.Secret()
		}
		if err := (message{Chunk: chunk}).send(s.send); err != nil {
			s.log.Warn("the idempotency keys could not be transferred", "error", err)
			s.Lost()
			return
		}
		if chunk.Last {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.broken {
		close(s.sent)
		s.log.Info("the idempotency keys were transferred", "names", keys)
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

// Claim implements middleware.Claimer: it claims a key from the other process.
func (s *Sender) Claim(c idempotency.Call, deadline float64, left <-chan struct{}) middleware.ClaimResult {
	expired := make(chan struct{})
	stop := s.clock.At(deadline, func() { close(expired) })
	defer stop()
	select {
	case <-s.sent:
	case <-expired:
		return middleware.ClaimResult{Verdict: idempotency.Join}
	case <-left:
		return middleware.ClaimResult{Verdict: idempotency.Join}
	}
	pending := &pendingClaim{c, make(chan middleware.ClaimResult, 1)}
	reply := pending.reply
	s.mu.Lock()
	if s.broken {
		s.mu.Unlock()
		return s.withoutSuccessor(c)
	}
	s.lastSeq++
	seq := s.lastSeq
	s.pending[seq] = pending
	s.mu.Unlock()
	if (message{Claim: &claim{encodeCall(c), seq, max(0, deadline-s.clock.Now())}}).send(s.send) != nil {
		s.Lost()
	}
	select {
	case t := <-reply:
		return t
	case <-expired:
	case <-left:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	pending.reply = nil // Receive releases a claim that is granted from now on
	select {
	case t := <-reply:
		return t
	default:
		return middleware.ClaimResult{Verdict: idempotency.Join}
	}
}

// withoutSuccessor returns the result of a claim where the other process cannot be asked. A call that may run twice
// runs unrecorded.
func (s *Sender) withoutSuccessor(c idempotency.Call) middleware.ClaimResult {
	if !s.mw.Once(c.Class) {
		return middleware.ClaimResult{Verdict: idempotency.RunUnrecorded}
	}
	return middleware.ClaimResult{Verdict: idempotency.Full, Reason: middleware.ReasonSuccessorLost}
}

// Complete implements middleware.Claimer: it sends the outcome of a run. The new process receives what was
// written before the client was answered, even if this process dies.
func (s *Sender) Complete(c idempotency.Call, _ middleware.ClaimResult, outcome idempotency.Outcome, body []byte) {
	<-s.sent
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	if !broken && (message{Completion: &completion{encodeCall(c), outcome, body}}).send(s.send) != nil {
		s.Lost()
	}
}

// Receive receives a message of the other process. The error is of one that cannot be decoded.
func (s *Sender) Receive(text json.RawMessage) error {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	if m.Reply == nil {
		return nil
	}
	t := middleware.ClaimResult{Verdict: m.Reply.Verdict, Reason: m.Reply.Reason, RetryAfter: m.Reply.Wait, Body: m.Reply.Body}
	s.mu.Lock()
	pending := s.pending[m.Reply.Seq]
	delete(s.pending, m.Reply.Seq)
	abandoned := pending != nil && pending.reply == nil
	if pending != nil && !abandoned {
		pending.reply <- t
	}
	s.mu.Unlock()
	if abandoned && t.Verdict == idempotency.Run {
		s.Complete(pending.call, t, idempotency.OutcomeNotExecuted, nil)
	}
	return nil
}

// Lost reports that the channel is broken.
func (s *Sender) Lost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return
	}
	s.broken = true
	s.log.Warn("the connection to the new process is lost: new idempotency keys are rejected")
	for seq, pending := range s.pending {
		if pending.reply != nil {
			pending.reply <- s.withoutSuccessor(pending.call)
		}
		delete(s.pending, seq)
	}
	select {
	case <-s.sent:
	default:
		close(s.sent)
	}
}
