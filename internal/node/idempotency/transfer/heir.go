package transfer

import (
	"encoding/json"
	"log/slog"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
)

// Heir is the new process's side. Its methods are called one after the other.
type Heir struct {
	mw      *middleware.Stage
	clock   clock.Clock
	log     *slog.Logger
	send    Send
	entries []idempotency.Known // received so far
	broken  chan struct{}       // closed when the channel has broken
}

// Await makes the calls of mw wait for the table of the old process, and returns the side that receives it.
func Await(mw *middleware.Stage, c clock.Clock, log *slog.Logger, send Send) *Heir {
	mw.Await()
	return &Heir{mw: mw, clock: c, log: log, send: send, broken: make(chan struct{})}
}

// Told receives a message of the old process. The error is of one that cannot be decoded.
func (h *Heir) Told(text json.RawMessage) error {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	switch {
	case m.Chunk != nil:
		for _, e := range m.Chunk.Entries {
			k := idempotency.Known{Call: e.wireCall.decode(), Running: e.Running, Served: e.Served, Age: e.Age}
			if e.Body != nil { // a nil []byte in an interface would not be nil
				k.Body = e.Body
			}
			h.entries = append(h.entries, k)
		}
		if m.Chunk.Last {
			h.mw.Inherit(m.Chunk.Secret, h.entries)
			h.entries = nil
		}
	case m.Claim != nil:
		go h.replyTo(*m.Claim) // as many as the old process has calls
	case m.Completion != nil:
		h.mw.Ended(m.Completion.wireCall.decode(), middleware.Taken{}, m.Completion.Outcome, m.Completion.Body)
	}
	return nil
}

// replyTo answers a claim. It blocks while the key is running.
func (h *Heir) replyTo(a claim) {
	t := h.mw.Take(a.wireCall.decode(), h.clock.Now()+a.Timeout, h.broken)
	// A broken channel is reported through Lost.
	_ = message{Reply: &claimReply{a.Seq, t.Verdict, t.Reason, t.Wait, t.Body}}.send(h.send)
}

// Lost says that the channel is broken, and whether the old process goes on.
func (h *Heir) Lost(alive bool) {
	close(h.broken)
	h.mw.Lost(alive)
}
