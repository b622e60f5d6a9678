package protocol

import (
	"fmt"
	"testing"

	"linenwheel.dev/linenwheel/internal/golden"
)

// TestEncodedTypesKeepTheirForm guards against a change of the JSON form of requests and answers, or of the values
// of constants.
func TestEncodedTypesKeepTheirForm(t *testing.T) {
	golden.JSON[Request](t, "request")
	golden.JSON[Answer](t, "answer")
	golden.JSON[State](t, "state")
	golden.JSON[Member](t, "member")
	golden.Check(t, "words", fmt.Append(nil, []string{Do, Read, LongPoll, Status, LocalRegister, Bootstrap, AddLearner, Remove, Backup, NotLeader, NoLeader, RetryLater, Rejected}))
}
