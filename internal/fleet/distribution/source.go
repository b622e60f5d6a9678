package distribution

import (
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// MaxPatches is the maximum number of orders in one update. A node that is further behind receives the full
// document.
const MaxPatches = 64

// Source is a control process's copy of the configuration, from which it answers polls.
type Source struct {
	Seq         uint64 // of State, which contains only committed orders
	State       *operator.State
	ConfirmedAt time.Duration // latest time at which State is known to have been the newest committed one; 0 = never
	// Orders returns the committed orders with sequence numbers greater than from, up to and including to, or nil
	// if they are no longer all available.
	Orders func(from, to uint64) []operator.Order
}

// Answer writes to the reply when the configuration was last confirmed. If the configuration is confirmed and
// newer than the node's, it also writes the update that encode returns; if it is older, the reply's ConfigSeq says so. If
// encode fails, Answer returns the error, and the node keeps its configuration.
func (s *Source) Answer(now time.Duration, request *PollRequest, reply *PollReply, encode func(from uint64) (Update, error)) error {
	reply.Confirmed = s.ConfirmedAt > 0
	reply.ConfirmedAgo = now - s.ConfirmedAt
	reply.ConfigSeq = request.ConfigSeq
	if !reply.Confirmed {
		return nil
	}
	if s.Seq <= request.ConfigSeq {
		reply.ConfigSeq = s.Seq
		return nil
	}
	update, err := encode(request.ConfigSeq)
	if err != nil {
		return err
	}
	reply.ConfigSeq, reply.Update = s.Seq, update
	return nil
}

// Encode returns the update from the configuration with a sequence number, 0 for none, to the source's
// configuration: the orders in between, or the full document if there are more than MaxPatches or they are no
// longer all available.
func (s *Source) Encode(from uint64) (Update, error) {
	var patches []operator.Order
	if from > 0 && s.Seq-from <= MaxPatches {
		patches = s.Orders(from, s.Seq)
	}
	if patches == nil {
		return NewUpdate(s.State.Document.JSON(), nil)
	}
	return NewUpdate(nil, patches)
}
