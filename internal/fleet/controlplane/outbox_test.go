package controlplane

import (
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
	"linenwheel.dev/linenwheel/internal/loopback"
)

// No process runs at a peer that refuses connections. The replica must be notified at once instead of waiting for
// the peer's heartbeats to time out.
func TestOutboxReportsPeerThatRefusesConnections(t *testing.T) {
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	refused := make(chan string, 1)
	o := newOutbox(transport.NewPool(), func(address string) { refused <- address })
	defer o.close()
	o.send(replica.Envelope{To: replica.Member{Address: address}, Body: replica.Heartbeat{}})
	require.Equal(t, address, <-refused)
}
