package quota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/wiretest"
)

func TestMessagesOfAnEarlierVersionAreUnderstood(t *testing.T) {
	for name, message := range map[string]any{"take-request": &TakeRequest{}, "take-reply": &TakeReply{},
		"reflection": &Reflection{}, "hand-over": &HandOver{}} {
		wiretest.Fill(message)
		wiretest.Gob(t, name+".gob", message)
	}
}

func TestTheMethodsKeepTheirNames(t *testing.T) {
	require.Equal(t, "Allowance.Take", MethodTake)
	require.Equal(t, "Allowance.Reflect", MethodReflect)
	require.Equal(t, "Allowance.HandOver", MethodHandOver)
}
