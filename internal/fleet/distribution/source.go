package distribution

import (
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// MaxPatches is the number of orders in one update. A node that is further behind gets the whole document.
const MaxPatches = 64

// Source is a control process's copy of the configuration, from which it answers polls.
type Source struct {
	Seq         uint64 // of State, whose orders are committed
	State       *operator.State
	ConfirmedAt time.Duration // when State was certainly the newest committed one, on the process's clock; 0 = never
	// Orders returns the committed orders after one sequence number up to another, nil where they are not all known any more.
	Orders func(from, to uint64) []operator.Order
}

// Answer writes into the reply what the configuration was last confirmed at and, where it is confirmed and newer than the node's,
// the update to it as encode returns it. Where encode fails, the node keeps the configuration it has.
func (s *Source) Answer(now time.Duration, request *PollRequest, reply *PollReply, encode func(from uint64) (Update, error)) error {
	reply.Confirmed = s.ConfirmedAt > 0
	reply.ConfirmedAgo = now - s.ConfirmedAt
	reply.ConfigSeq = request.ConfigSeq
	if !reply.Confirmed || s.Seq <= request.ConfigSeq {
		return nil
	}
	update, err := encode(request.ConfigSeq)
	if err != nil {
		return err
	}
	reply.ConfigSeq, reply.Update = s.Seq, update
	return nil
}

// Encode returns the update to the configuration from the one with a sequence number, 0 for none: the orders that lead there, or the
// whole document where they are too many or not known any more.
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
