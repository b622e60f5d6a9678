package dataplane

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleConnectionsLastAsLongAsTheConfigurationInForceSays(t *testing.T) {
	limit := 10 * time.Second
	idle := newIdleConnections(func() time.Duration { return limit })
	here, there := net.Pipe()
	defer func() { _ = there.Close() }()
	isOpen := func() bool {
		_ = there.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		_, err := there.Read(make([]byte, 1))
		timeout, ok := err.(net.Error)
		return ok && timeout.Timeout()
	}
	begin := time.Now()
	idle.note(here, http.StateIdle)
	limit = 20 * time.Second // the configuration changes while the connection rests
	idle.closeOld(begin.Add(15 * time.Second))
	require.True(t, isOpen())
	idle.note(here, http.StateActive)
	idle.closeOld(begin.Add(time.Hour))
	require.True(t, isOpen(), "it carries a request")
	idle.note(here, http.StateIdle)
	limit = time.Second
	idle.closeOld(time.Now().Add(1200 * time.Millisecond))
	require.True(t, isOpen(), "clients may be a little late")
	idle.closeOld(time.Now().Add(1300 * time.Millisecond))
	require.False(t, isOpen())
	require.Empty(t, idle.since)
}
