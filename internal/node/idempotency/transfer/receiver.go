package transfer

import (
	"encoding/json"
	"log/slog"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
)

// Receiver is the side of the new process. Its methods are called one after the other.
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
func (r *Receiver) Receive(text json.RawMessage) error {
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
			r.entries = append(r.entries, k)
		}
		if m.Chunk.Last {
			r.mw.AcceptTransfer(m.Chunk.Secret, r.entries)
			r.entries = nil
		}
	case m.Claim != nil:
		go r.replyTo(*m.Claim) // at most one goroutine for each call of the old process
	case m.Completion != nil:
		r.mw.Complete(m.Completion.wireCall.decode(), middleware.ClaimResult{}, m.Completion.Outcome, m.Completion.Body)
	}
	return nil
}

// replyTo answers a claim. It blocks while the key is running.
func (r *Receiver) replyTo(a claim) {
	t := r.mw.Claim(a.wireCall.decode(), r.clock.Now()+a.Timeout, r.broken)
	// A broken channel is reported through Lost.
	_ = message{Reply: &claimReply{a.Seq, t.Verdict, t.Reason, t.RetryAfter, t.Body}}.send(r.send)
}

// Lost reports that the channel is broken, and whether the old process keeps serving.
func (r *Receiver) Lost(alive bool) {
	close(r.broken)
	r.mw.PredecessorLost(alive)
}
