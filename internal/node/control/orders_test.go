package control

import (
	"encoding/json"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// connected returns the two ends of a connection.
func connected(t *testing.T) (*net.UnixConn, *net.UnixConn) {
	t.Helper()
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	var ends [2]*net.UnixConn
	for i, descriptor := range descriptors {
		file := os.NewFile(uintptr(descriptor), "end")
		conn, err := net.FileConn(file)
		require.NoError(t, err)
		require.NoError(t, file.Close())
		ends[i] = conn.(*net.UnixConn)
		t.Cleanup(func() { _ = conn.Close() })
	}
	return ends[0], ends[1]
}

// Guards against an order that is answered as not in force because of a process that has ended, where the order is given before
// the end of the connection has been read.
func TestOrderIsNotHeldUpByAProcessThatHasEnded(t *testing.T) {
	near, far := connected(t)
	require.NoError(t, far.Close())
	var e exchange
	passed := make(chan error, 1)
	go func() { passed <- e.pass(wireOn(near), json.RawMessage(`{}`)) }()
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.waiting) == 1
	}, 10*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond) // the write has failed
	e.end()
	require.NoError(t, <-passed)

	near, far = connected(t)
	e.begin()
	require.NoError(t, far.Close())
	require.ErrorIs(t, e.pass(wireOn(near), json.RawMessage(`{}`)), errSilent, "nothing tells that the process has ended")
}
