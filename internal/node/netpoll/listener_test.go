package netpoll

import (
	"io"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// requireEchoToEnd checks that a connection is echoed to its end, rather than reset.
func requireEchoToEnd(t *testing.T, c net.Conn, want string) {
	have, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, want, string(have))
}

// awaitFilterOrClose waits until the kernel drops new connections or the socket is closed, and reports whether it
// drops them.
func (l *listener) awaitFilterOrClose() (filtered bool) {
	for {
		l.filterMu.Lock()
		filtered = l.filtered
		l.filterMu.Unlock()
		select {
		case <-l.closed:
			return filtered
		default:
			if filtered {
				return true
			}
			runtime.Gosched()
		}
	}
}

// Guards against a connection that the kernel establishes between the last poll and the closing of the socket,
// which would reset it, and against a connection that is established when the node will not accept it any more.
func TestDrainAcceptsAConnectionAfterTheLastPoll(t *testing.T) {
	l, err := ListenPaused("127.0.0.1:0", 2, func(c *Conn) Handler { return echo{c} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	l.listener.maxDrain = 0
	blocked, free := make(chan struct{}, 2), make(chan struct{})
	l.listener.newEngineConn = func(c net.Conn) (*nbio.Conn, error) {
		blocked <- struct{}{}
		<-free
		return newEngineConn(c)
	}
	l.StartAccepting()
	first, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	send(t, first, "one-end")
	<-blocked // the accepting goroutine is blocked
	var late net.Conn
	l.listener.afterLastPoll = func() {
		late, err = net.Dial("tcp", l.Addr())
		require.NoError(t, err)
		send(t, late, "late-end")
		go func() { l.listener.awaitFilterOrClose(); close(free) }()
	}
	l.DrainAccepting()
	requireEchoToEnd(t, first, "one-end")
	requireEchoToEnd(t, late, "late-end")
	_, err = net.Dial("tcp", l.Addr())
	assert.Error(t, err)
}

// Guards against losing connections that wait for a slot when the socket is drained (they are accepted as slots
// become free, however long that takes), and against a Stop that waits for them for ever.
func TestDrainWaitsForSlots(t *testing.T) {
	l := startEcho(t, 1)
	l.listener.maxDrain = 0
	first, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	send(t, first, "one")
	_, err = io.ReadFull(first, make([]byte, 3))
	require.NoError(t, err)
	second, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	send(t, second, "two-end")
	looked, drained := make(chan struct{}), make(chan struct{})
	l.listener.afterLastPoll = func() { close(looked) }
	go func() { l.DrainAccepting(); close(drained) }()
	<-looked
	assert.True(t, l.listener.awaitFilterOrClose(), "a connection waits there")
	send(t, first, "end")
	requireEchoToEnd(t, second, "two-end")
	<-drained

	l, err = Listen("127.0.0.1:0", 1, func(c *Conn) Handler { return echo{c} })
	require.NoError(t, err)
	l.listener.maxDrain = 0
	for range 2 {
		_, err = net.Dial("tcp", l.Addr())
		require.NoError(t, err)
	}
	ended := make(chan struct{})
	go func() { l.DrainAccepting(); close(ended) }()
	require.Eventually(t, l.listener.draining.Load, time.Minute, time.Millisecond)
	l.Stop() // must not wait for a slot
	<-ended
}

// failingTCPListener is a TCP listener whose Accept fails for lack of descriptors while failing is set.
type failingTCPListener struct {
	*net.TCPListener
	failing atomic.Bool
}

func (s *failingTCPListener) Accept() (net.Conn, error) {
	if s.failing.Load() {
		return nil, os.NewSyscallError("accept4", syscall.EMFILE)
	}
	return s.TCPListener.Accept()
}

// Guards against connections that are lost because descriptors have run out for a moment: before a connection is
// accepted, while the socket is being drained, or when the connection is passed to the engine, which needs one
// more descriptor.
func TestConnectionsWaitForDescriptors(t *testing.T) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false)
	inner, err := plain.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failing := &failingTCPListener{TCPListener: inner.(*net.TCPListener)}
	failing.failing.Store(true)
	l, err := NewFromListener(failing, 2, func(c *Conn) Handler { return echo{c} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	l.listener.exclusive, l.listener.maxDrain = true, 0
	var calls atomic.Int32
	l.listener.newEngineConn = func(c net.Conn) (*nbio.Conn, error) {
		if calls.Add(1) < 4 {
			return nil, os.NewSyscallError("dup", syscall.EMFILE)
		}
		return newEngineConn(c)
	}
	l.StartAccepting()
	c, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	send(t, c, "end")
	l.listener.afterLastPoll = func() {
		go func() { l.listener.awaitFilterOrClose(); failing.failing.Store(false) }()
	}
	l.DrainAccepting()
	requireEchoToEnd(t, c, "end")
	assert.EqualValues(t, 4, calls.Load())
}

// Guards against passing a socket with the filter to another process, which would accept no new connection on it.
func TestFilterIsDetachedFromASharedSocket(t *testing.T) {
	old := startEcho(t, 9)
	require.True(t, old.listener.attachFilter())
	var file *os.File
	require.NoError(t, old.Descriptor(func(fd uintptr) {
		other, err := syscall.Dup(int(fd))
		require.NoError(t, err)
		file = os.NewFile(uintptr(other), "listener")
	}))
	inner, err := net.FileListener(file)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	assert.False(t, old.listener.attachFilter(), "the other process accepts on the socket")
	old.DrainAccepting()
	young, err := NewFromListener(inner, 9, func(c *Conn) Handler { return prefixEcho{echo{c}} })
	require.NoError(t, err)
	t.Cleanup(young.Stop)
	young.StartAccepting()
	c, err := net.Dial("tcp", old.Addr())
	require.NoError(t, err)
	send(t, c, "end")
	requireEchoToEnd(t, c, "youngend")
	assert.False(t, young.listener.attachFilter(), "a process that got the socket from another cannot know whether that one still has it")
}
