package handover

import (
	"fmt"
	"testing"

	"linenwheel.dev/linenwheel/internal/golden"
	"linenwheel.dev/linenwheel/internal/repeats"
)

// Guards against messages between the processes of a node whose JSON, or whose numbers for verdicts and ends, have changed.
func TestEncodedTypesKeepTheirForm(t *testing.T) {
	golden.JSON[message](t, "message")
	verdicts := []repeats.Verdict{repeats.Run, repeats.Pass, repeats.Join, repeats.Replay, repeats.Spent, repeats.Doubt, repeats.Mismatch, repeats.Full}
	ends := []repeats.End{repeats.EndServed, repeats.EndNotRun, repeats.EndInDoubt}
	golden.Check(t, "numbers", fmt.Appendf(nil, "%d %d", verdicts, ends))
}
