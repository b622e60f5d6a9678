package replica

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

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

// checkLinearizable checks that the history of all orders, rejections and reads is linearizable. A check that takes over a second
// counts as passed.
func (sim *simulation) checkLinearizable() {
	var history []porcupine.Operation
	add := func(client int, op *operation) {
		ended := int64(math.MaxInt64)
		if op.result.known {
			ended = int64(op.endedAt)
		}
		history = append(history, porcupine.Operation{ClientId: client, Input: op.call, Call: int64(op.startedAt), Output: op.result, Return: ended})
	}
	client := 0
	for _, op := range sim.operations {
		client++
		add(client, op)
	}
	for i := range sim.completedCalls {
		client++
		add(client, &sim.completedCalls[i])
	}
	if porcupine.CheckOperationsTimeout(register.ToModel(), history, time.Second) == porcupine.Illegal {
		sim.reportViolation("orders and reads are not linearizable")
	}
}

func (sim *simulation) recordOperation(order operator.Order, revision int64) {
	if sim.operations[order.Digest()] == nil {
		sim.operations[order.Digest()] = &operation{call: configCall{base: order.Base, made: revision}, startedAt: sim.now}
	}
}
