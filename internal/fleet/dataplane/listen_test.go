package dataplane

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/settings"
	"linenwheel.dev/linenwheel/internal/loopback"
)

// freeAddress returns an address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	return address
}

// startListening calls listen in the background and returns a channel that receives the listener once the node is
// configured.
func startListening(t *testing.T, n *Node, acceptTimeout time.Duration) <-chan net.Listener {
	t.Helper()
	opened := make(chan net.Listener, 1)
	go func() {
		listener, err := n.listen(context.Background(), nil, acceptTimeout)
		if err != nil {
			t.Error(err)
		}
		opened <- listener
	}()
	return opened
}

func TestConnectionsWaitUntilTheNodeIsConfigured(t *testing.T) {
	n := New(&settings.Settings{Front: freeAddress(t)}, log.New(io.Discard))
	opened := startListening(t, n, time.Minute)
	var client net.Conn
	require.Eventually(t, func() bool {
		var err error
		client, err = net.Dial("tcp4", n.settings.Front)
		return err == nil
	}, 10*time.Second, time.Millisecond)
	defer func() { _ = client.Close() }()
	_, err := client.Write([]byte("hello"))
	require.NoError(t, err)
	close(n.watcher.configured)
	listener := <-opened
	defer func() { _ = listener.Close() }()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	received := make([]byte, 5)
	_, err = io.ReadFull(accepted, received)
	require.NoError(t, err)
	require.Equal(t, "hello", string(received))
}

func TestConnectionsAreRefusedAfterTheStartupTimeout(t *testing.T) {
	n := New(&settings.Settings{Front: freeAddress(t)}, log.New(io.Discard))
	opened := startListening(t, n, time.Millisecond)
	require.Eventually(t, func() bool {
		client, err := net.Dial("tcp4", n.settings.Front)
		if err == nil {
			_ = client.Close()
		}
		return err != nil
	}, 10*time.Second, 5*time.Millisecond)
	close(n.watcher.configured)
	listener := <-opened
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp4", n.settings.Front)
	require.NoError(t, err, "the node listens again once it is configured")
	_ = client.Close()
}
