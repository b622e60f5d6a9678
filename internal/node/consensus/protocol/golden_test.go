package protocol

import (
	"fmt"
	"testing"

	"linenwheel.dev/linenwheel/internal/golden"
)

// TestEncodedTypesKeepTheirForm guards against requests and answers whose JSON, or whose words, have changed.
func TestEncodedTypesKeepTheirForm(t *testing.T) {
	golden.JSON[Request](t, "request")
	golden.JSON[Answer](t, "answer")
	golden.JSON[State](t, "state")
	golden.JSON[Member](t, "member")
	golden.Check(t, "words", fmt.Append(nil, []string{Do, Read, LongPoll, Status, LocalRegister, Bootstrap, AddLearner, Remove, Backup, NotLeader, NoLeader, RetryLater, Rejected}))
}
