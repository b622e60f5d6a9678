package transfer

import (
	"encoding/json"
	"log/slog"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
)

// Receiver is the new process's side. Its methods are called one after the other.
type Receiver struct {
	mw      *middleware.Middleware
	clock   clock.Clock
	log     *slog.Logger
	send    SendFunc
	entries []idempotency.Entry // received so far
	broken  chan struct{}       // closed when the channel has broken
}

// Await makes the calls of mw wait for the table of the old process, and returns the side that receives it.
func Await(mw *middleware.Middleware, c clock.Clock, log *slog.Logger, send SendFunc) *Receiver {
	mw.AwaitTransfer()
	return &Receiver{mw: mw, clock: c, log: log, send: send, broken: make(chan struct{})}
}

// Receive receives a message of the old process. The error is of one that cannot be decoded.
func (h *Receiver) Receive(text json.RawMessage) error {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	switch {
	case m.Chunk != nil:
		for _, e := range m.Chunk.Entries {
			k := idempotency.Entry{Call: e.wireCall.decode(), Running: e.Running, Served: e.Served, Age: e.Age}
			if e.Body != nil { // a nil []byte in an interface would not be nil
				k.Body = e.Body
			}
			h.entries = append(h.entries, k)
		}
		if m.Chunk.Last {
			h.mw.AcceptTransfer(m.Chunk.Secret, h.entries)
			h.entries = nil
		}
	case m.Claim != nil:
		go h.replyTo(*m.Claim) // as many as the old process has calls
	case m.Completion != nil:
		h.mw.Complete(m.Completion.wireCall.decode(), middleware.ClaimResult{}, m.Completion.Outcome, m.Completion.Body)
	}
	return nil
}

// replyTo answers a claim. It blocks while the key is running.
func (h *Receiver) replyTo(a claim) {
	t := h.mw.Claim(a.wireCall.decode(), h.clock.Now()+a.Timeout, h.broken)
	// A broken channel is reported through Lost.
	_ = message{Reply: &claimReply{a.Seq, t.Verdict, t.Reason, t.RetryAfter, t.Body}}.send(h.send)
}

// Lost says that the channel is broken, and whether the old process goes on.
func (h *Receiver) Lost(alive bool) {
	close(h.broken)
	h.mw.PredecessorLost(alive)
}
