package thriftplay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/lab/thriftpeers"
)

// Guards against a play that panics, in place of saying why, where its node cannot be started.
func TestNodeThatDoesNotStart(t *testing.T) {
	require.NotPanics(t, func() {
		_, _, err := start(t.Context(), thriftpeers.Form{Protocol: "odd"}, nil)
		require.ErrorContains(t, err, "odd")
	})
}
