package dataplane

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleConnectionsCloseAfterTheConfiguredTimeout(t *testing.T) {
	timeout := 10 * time.Second
	idle := newIdleConnections(func() time.Duration { return timeout })
	server, client := net.Pipe()
	defer func() { _ = client.Close() }()
	isOpen := func() bool {
		_ = client.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		_, err := client.Read(make([]byte, 1))
		var netErr net.Error
		return errors.As(err, &netErr) && netErr.Timeout()
	}
	begin := time.Now()
	idle.recordState(server, http.StateIdle)
	timeout = 20 * time.Second // the configuration changes while the connection is idle
	idle.closeExpired(begin.Add(15 * time.Second))
	require.True(t, isOpen())
	idle.recordState(server, http.StateActive)
	idle.closeExpired(begin.Add(time.Hour))
	require.True(t, isOpen(), "a connection with a request in flight is not idle")
	idle.recordState(server, http.StateIdle)
	timeout = time.Second
	idle.closeExpired(time.Now().Add(1200 * time.Millisecond))
	require.True(t, isOpen(), "clients may be slightly late")
	idle.closeExpired(time.Now().Add(1300 * time.Millisecond))
	require.False(t, isOpen())
	require.Empty(t, idle.idleSince)
}
