package transfer

import (
	"fmt"
	"testing"

	"linenwheel.dev/linenwheel/internal/golden"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// Guards against messages between the processes of a node whose JSON, or whose numbers for verdicts and outcomes,
// have changed.
func TestEncodedTypesKeepTheirForm(t *testing.T) {
	golden.JSON[message](t, "message")
	verdicts := []idempotency.Verdict{idempotency.Run, idempotency.RunUnrecorded, idempotency.Join, idempotency.Replay, idempotency.Executed, idempotency.InDoubt, idempotency.Mismatch, idempotency.Full}
	ends := []idempotency.Outcome{idempotency.OutcomeServed, idempotency.OutcomeNotExecuted, idempotency.OutcomeInDoubt}
	golden.Check(t, "numbers", fmt.Appendf(nil, "%d %d", verdicts, ends))
}
