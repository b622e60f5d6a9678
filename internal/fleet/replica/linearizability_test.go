package replica

import (
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// configCall is an operation on the configuration, modeled as a single register: an order or a read.
type configCall struct {
	read        bool
	base        int64 // base revision of an order
	newRevision int64 // revision that results from an order
}

// configResult is the result of a configCall.
type configResult struct {
	known    bool // false: the caller received no reply
	rejected bool
	revision int64
}

// register models the configuration as a single register: an order takes effect only if its base is the current
// revision.
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
			return []any{call.newRevision}
		case result.known:
			return nil
		case current == call.base:
			return []any{current, call.newRevision}
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

// linearizabilityTimeout is the time limit for checking one history. A check that exceeds it is inconclusive: it
// is counted, and too many of them fail the test (requireConclusive).
const linearizabilityTimeout = time.Second

// maxInconclusiveShare is the reciprocal of the share of checks that may be inconclusive.
const maxInconclusiveShare = 1000

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
	superseded := sim.supersededAt()
	for call, op := range sim.earliestUnknown() {
		if ended := superseded(call.base); ended > op.startedAt { // otherwise the order never takes effect
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
		sim.reportViolation("the history of orders and reads is not linearizable")
	case porcupine.Unknown:
		sim.inconclusive = true
	}
}

// earliestUnknown returns the orders without a known outcome, reduced to the earliest one for each pair of base
// and resulting revision. At most one order of a pair takes effect, because the base revision never recurs. If a
// later one takes effect, the earliest one could do so as well: it was sent earlier and has the same deadline.
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

// earliestRejections returns, by base, the rejection that ended first. Operators use acknowledged revisions as the
// base, so the base was current at some time before, and a rejection shows that it has been superseded. All later
// rejections with that base are then correct too.
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

// supersededAt returns a function that returns the earliest time by which an operation with a known result had
// observed or produced a revision later than base, or the maximum duration if there is none. Revisions only
// increase, so an order without a known outcome takes effect before its base is superseded, or never. This gives
// each such order an end, so that the history divides into short parts. An order that stayed pending indefinitely
// would double the number of possibilities for everything after it.
func (sim *simulation) supersededAt() func(base int64) time.Duration {
	type observation struct {
		revision int64
		at       time.Duration
	}
	var observations []observation
	for _, op := range sim.operations {
		if op.result.known {
			observations = append(observations, observation{op.call.newRevision, op.endedAt})
		}
	}
	for _, op := range sim.completedCalls {
		if op.call.read {
			observations = append(observations, observation{op.result.revision, op.endedAt})
		}
	}
	return func(base int64) time.Duration {
		first := time.Duration(math.MaxInt64)
		for _, o := range observations {
			if o.revision > base {
				first = min(first, o.at)
			}
		}
		return first
	}
}

// requireConclusive requires that at most one in maxInconclusiveShare histories was inconclusive.
func requireConclusive(t *testing.T, inconclusive, histories int) {
	t.Helper()
	t.Logf("%d of %d histories inconclusive", inconclusive, histories)
	require.LessOrEqual(t, inconclusive*maxInconclusiveShare, histories, "too many histories took over %v to check", linearizabilityTimeout)
}

func (sim *simulation) recordOperation(order operator.Order, revision int64) {
	if sim.operations[order.Digest()] == nil {
		sim.operations[order.Digest()] = &operation{call: configCall{base: order.Base, newRevision: revision}, startedAt: sim.now}
	}
}
