package replica

import (
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// configCall is an operation on the configuration as one register: an order, or a read.
type configCall struct {
	read bool
	base int64 // of an order
	made int64 // the revision that an order makes
}

// configResult is the result of a configCall.
type configResult struct {
	known    bool // false: the caller got no reply
	rejected bool
	revision int64
}

// register is the configuration as one register: an order takes effect on its base revision, and only there.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		current, call, result := state.(int64), input.(configCall), output.(configResult)
		switch {
		case call.read && result.revision == current:
			return []any{current}
		case call.read, result.rejected && current == call.base:
			return nil
		case result.rejected:
			return []any{current}
		case result.known && current == call.base:
			return []any{call.made}
		case result.known:
			return nil
		case current == call.base:
			return []any{current, call.made}
		}
		return []any{current}
	},
}

// operation is a call whose result may not be known yet.
type operation struct {
	call      configCall
	result    configResult
	startedAt time.Duration
	endedAt   time.Duration
}

// linearizabilityTimeout is how long the check of one history may take. One that takes longer is unjudged: it is counted, and too many
// fail the test (requireJudged).
const linearizabilityTimeout = time.Second

// maxUnjudgedShare is one over the share of histories that may stay unjudged.
const maxUnjudgedShare = 1000

// checkLinearizable checks that the history of all orders, rejections and reads is linearizable.
func (sim *simulation) checkLinearizable() {
	var history []porcupine.Operation
	add := func(op *operation, ended time.Duration) {
		history = append(history, porcupine.Operation{ClientId: len(history), Input: op.call, Call: int64(op.startedAt), Output: op.result,
			Return: int64(ended)})
	}
	for _, op := range sim.operations {
		if op.result.known {
			add(op, op.endedAt)
		}
	}
	overtaken := sim.overtakenAt()
	for call, op := range sim.earliestUnknown() {
		if ended := overtaken(call.base); ended > op.startedAt { // else it never takes effect
			add(op, ended)
		}
	}
	for i := range sim.completedCalls {
		if op := &sim.completedCalls[i]; op.call.read {
			add(op, op.endedAt)
		}
	}
	for _, op := range sim.earliestRejections() {
		add(op, op.endedAt)
	}
	switch porcupine.CheckOperationsTimeout(register.ToModel(), history, linearizabilityTimeout) {
	case porcupine.Illegal:
		sim.reportViolation("orders and reads are not linearizable")
	case porcupine.Unknown:
		sim.unjudged = true
	}
}

// earliestUnknown returns the orders without a known outcome, of those that lead from one revision to the same other one only the
// earliest. At most one of these takes effect, as the base does not come back; where a later one does, the earliest could as well: it
// was sent before and has the same end.
func (sim *simulation) earliestUnknown() map[configCall]*operation {
	earliest := map[configCall]*operation{}
	for _, op := range sim.operations {
		if op.result.known {
			continue
		}
		if other := earliest[op.call]; other == nil || op.startedAt < other.startedAt {
			earliest[op.call] = op
		}
	}
	return earliest
}

// earliestRejections returns, by base, the rejection that ended first. Operators build on revisions that were acknowledged, so the base
// was reached before, and a rejection says that it has been overtaken: then it is for all later ones too.
func (sim *simulation) earliestRejections() map[int64]*operation {
	earliest := map[int64]*operation{}
	for i := range sim.completedCalls {
		op := &sim.completedCalls[i]
		if op.call.read {
			continue
		}
		if other := earliest[op.call.base]; other == nil || op.endedAt < other.endedAt {
			earliest[op.call.base] = op
		}
	}
	return earliest
}

// overtakenAt returns a function that gives the time at which a known operation had returned that saw or made a later revision than
// the one it is called with, the end of all times if there is none. Revisions only rise, so an order without a known outcome takes
// effect before its base is overtaken, or never. Each such order has an end by that, and the history is a row of short parts; one that is
// pending for ever after would double the possibilities of all that follows.
func (sim *simulation) overtakenAt() func(base int64) time.Duration {
	type sighting struct {
		revision int64
		at       time.Duration
	}
	var sightings []sighting
	for _, op := range sim.operations {
		if op.result.known {
			sightings = append(sightings, sighting{op.call.made, op.endedAt})
		}
	}
	for _, op := range sim.completedCalls {
		if op.call.read {
			sightings = append(sightings, sighting{op.result.revision, op.endedAt})
		}
	}
	return func(base int64) time.Duration {
		first := time.Duration(math.MaxInt64)
		for _, s := range sightings {
			if s.revision > base {
				first = min(first, s.at)
			}
		}
		return first
	}
}

// requireJudged requires that at most one in maxUnjudgedShare histories stayed unjudged.
func requireJudged(t *testing.T, unjudged, histories int) {
	t.Helper()
	t.Logf("%d of %d histories unjudged", unjudged, histories)
	require.LessOrEqual(t, unjudged*maxUnjudgedShare, histories, "histories that took over %v to check", linearizabilityTimeout)
}

func (sim *simulation) recordOperation(order operator.Order, revision int64) {
	if sim.operations[order.Digest()] == nil {
		sim.operations[order.Digest()] = &operation{call: configCall{base: order.Base, made: revision}, startedAt: sim.now}
	}
}
