package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two fleets on the same addresses, which stop each other's processes from listening: seen as orders that no
// control process accepts for 30 s.
func TestFleetsDoNotShareANetwork(t *testing.T) {
	const subnet, port = 45, 8665
	first, err := reserveNetwork(subnet, port)
	require.NoError(t, err)
	second, err := reserveNetwork(subnet, port)
	require.NoError(t, err)
	t.Cleanup(func() { _ = second.release() })
	require.NotEqual(t, first.number, second.number)
	require.NoError(t, first.release())
	again, err := reserveNetwork(subnet, port)
	require.NoError(t, err)
	t.Cleanup(func() { _ = again.release() })
	require.NotEqual(t, second.number, again.number)
}
