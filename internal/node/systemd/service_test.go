package systemd

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
)

// manager is a fake service manager. next returns the next datagram that it receives.
func manager(t *testing.T, name string) (address string, next func() string) {
	l, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Net: "unixgram", Name: name})
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return name, func() string {
		b := make([]byte, 4096)
		n, err := l.Read(b)
		require.NoError(t, err)
		return string(b[:n])
	}
}

// Guards against variables that a child process inherits, a notification in a format that the manager does not
// parse, and a line break in a status text that injects another assignment.
func TestNotify(t *testing.T) {
	for _, name := range []string{filepath.Join(t.TempDir(), "n"), fmt.Sprintf("@linenwheel-test-%d", os.Getpid())} {
		address, next := manager(t, name)
		t.Setenv("NOTIFY_SOCKET", address)
		t.Setenv("WATCHDOG_USEC", "3000000")
		t.Setenv("WATCHDOG_PID", fmt.Sprint(os.Getpid()))
		m, err := FromEnvironment(func(err error) { t.Error(err) })
		require.NoError(t, err)
		for _, name := range []string{"NOTIFY_SOCKET", "WATCHDOG_USEC", "WATCHDOG_PID"} {
			_, set := os.LookupEnv(name)
			assert.False(t, set, name)
		}
		m.Ready("serving\nREADY=0")
		assert.Equal(t, "READY=1\nSTATUS=serving READY=0", next())
		m.Reloading("again")
		assert.Regexp(t, `^RELOADING=1\nMONOTONIC_USEC=\d+\nSTATUS=again$`, next())
		m.MainPID(7)
		assert.Equal(t, "MAINPID=7", next())
		assert.Equal(t, []string{"NOTIFY_SOCKET=" + address, "WATCHDOG_USEC=3000000"}, m.Environ())
	}
	none, err := FromEnvironment(nil)
	assert.NoError(t, err)
	none.Ready("") // without a manager nothing happens
	assert.Zero(t, none.Watchdog())
	t.Setenv("NOTIFY_SOCKET", "vsock:2:1")
	t.Setenv("WATCHDOG_USEC", "soon")
	_, err = FromEnvironment(nil)
	assert.ErrorContains(t, err, "WATCHDOG_USEC")
	assert.ErrorContains(t, err, "vsock")
}

// Guards against a node that is reported healthy while a part of it is stuck, a report without the name of the stuck
// part, and notifications that do not resume at once after a stall of the whole machine.
func TestWatchdogLoop(t *testing.T) {
	address, next := manager(t, filepath.Join(t.TempDir(), "n"))
	t.Setenv("NOTIFY_SOCKET", address)
	t.Setenv("WATCHDOG_USEC", "4000000")
	m, err := FromEnvironment(nil)
	require.NoError(t, err)
	c := clock.NewManual(1e12)
	pass, passed := make(chan struct{}), make(chan string, 9)
	w := WatchdogLoop{Manager: m, Clock: c, OnLate: func(name string, ms float64) { passed <- fmt.Sprint(name, ms) },
		Checks: []Check{
			{"poller", func(context.Context) { passed <- "poller" }},
			{"timers", func(ctx context.Context) {
				passed <- "timers begin"
				select {
				case <-pass:
				case <-ctx.Done():
				}
			}}}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	assert.Equal(t, "poller", <-passed)
	assert.Equal(t, "timers begin", <-passed)
	pass <- struct{}{}
	assert.Equal(t, "WATCHDOG=1", next())
	for c.Next() != 1e12+1000 { // until the pause between two rounds has begun
		runtime.Gosched()
	}
	c.Advance(1000) // the next round is stuck at the timers
	assert.Equal(t, "poller", <-passed)
	assert.Equal(t, "timers begin", <-passed) // before that, the check that has not returned may still be the poller
	c.Advance(60000)                          // the machine stalls
	assert.Equal(t, "timers2000", <-passed)
	assert.Equal(t, "STATUS=stuck: timers has not answered for 2000 ms", next())
	pass <- struct{}{}
	assert.Equal(t, "WATCHDOG=1", next())
	assert.Equal(t, "STATUS=serving", next())
	cancel()
	<-ended
}

// Guards against a socket of the manager that is confused with another one: the address takes precedence over the
// name, and a name that two sockets have selects neither. A test with a real process, beside the command, covers
// that sockets arrive at all.
func TestSelectListener(t *testing.T) {
	var list []Listener
	for _, name := range []string{"north", "other", "north"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		list = append(list, Listener{name, l})
	}
	selected := func(list []Listener, address string) net.Listener {
		l, rest := SelectListener(list, "north", address)
		assert.Equal(t, l == nil, len(rest) == len(list))
		return l
	}
	assert.Equal(t, list[1].Listener, selected(list, list[1].Addr().String()))
	assert.Nil(t, selected(list, "127.0.0.1:1"))
	assert.Equal(t, list[0].Listener, selected(list[:2], "127.0.0.1:1"))
}
