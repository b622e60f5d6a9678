package quota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/wiretest"
)

func TestMessagesOfAnEarlierVersionAreUnderstood(t *testing.T) {
	for name, message := range map[string]any{"take-request": &AcquireRequest{}, "take-reply": &AcquireReply{},
		"reflection": &Mirrors{}, "hand-over": &BucketState{}} {
		wiretest.Fill(message)
		wiretest.Gob(t, name+".gob", message)
	}
}

func TestMethodNamesAreUnchanged(t *testing.T) {
	require.Equal(t, "Allowance.Take", MethodAcquire)
	require.Equal(t, "Allowance.Reflect", MethodMirror)
	require.Equal(t, "Allowance.HandOver", MethodTransfer)
}
