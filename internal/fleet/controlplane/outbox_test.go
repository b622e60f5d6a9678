package controlplane

import (
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// A peer that refuses connections has no process: the replica must learn that at once, and not by the peer's silence.
func TestOutboxReportsAPeerThatRefusesConnections(t *testing.T) {
	listener, err := transport.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	refused := make(chan string, 1)
	o := newOutbox(transport.NewPool(), func(address string) { refused <- address })
	defer o.close()
	o.send(replica.Envelope{To: replica.Member{Address: address}, Body: replica.Heartbeat{}})
	require.Equal(t, address, <-refused)
}
