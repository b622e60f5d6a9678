package netpoll

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var errNoDescriptor = &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}

// failingListener is a listener whose Accept fails for lack of descriptors while failing is set.
type failingListener struct {
	net.Listener
	failing atomic.Bool
	called  chan struct{} // receives a value for each call that fails
}

func (s *failingListener) Accept() (net.Conn, error) {
	if s.failing.Load() {
		select {
		case s.called <- struct{}{}:
		default:
		}
		return nil, errNoDescriptor
	}
	return s.Listener.Accept()
}

// Guards against connections that are never accepted, or open ones that end, after the process has run out of
// descriptors.
func TestOutOfDescriptors(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	inner := &failingListener{Listener: tcp, called: make(chan struct{})}
	l, err := NewFromListener(inner, 9, func(c *Conn) Handler { return echo{c} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	l.StartAccepting()
	expectEcho := func(c net.Conn, text string) {
		send(t, c, text)
		have := make([]byte, len(text))
		_, err := io.ReadFull(c, have)
		require.NoError(t, err)
		require.Equal(t, text, string(have))
	}
	connect := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	old := connect()
	expectEcho(old, "old")
	inner.failing.Store(true)
	last := connect() // for a call of Accept that already waits in the kernel
	for range 3 {
		<-inner.called
	}
	waiting := connect()
	send(t, waiting, "end")
	<-inner.called
	expectEcho(old, "still")
	require.LessOrEqual(t, l.OpenConnections(), 3, "at most two are open, and one waits for a descriptor")
	inner.failing.Store(false)
	have, err := io.ReadAll(waiting)
	require.NoError(t, err)
	require.Equal(t, "end", string(have), "accepted once there are descriptors again")
	expectEcho(last, "last")
	expectEcho(old, "on")
}

// countingListener is a listener without descriptors that counts calls of Accept until it is closed.
type countingListener struct {
	net.Listener
	calls  atomic.Int64
	closed atomic.Bool
}

func (b *countingListener) Accept() (net.Conn, error) {
	if b.closed.Load() || b.calls.Add(1) > 500 { // ends a caller that spins, since fake time would not advance
		return nil, net.ErrClosed
	}
	return nil, errNoDescriptor
}
func (b *countingListener) Close() error { b.closed.Store(true); return nil }

// Guards against a node that spins while it has no free descriptor, and against one that cannot be stopped
// meanwhile. Uses fake time.
func TestOutOfDescriptorsDoesNotSpin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &countingListener{}
		opened := make(chan struct{})
		close(opened)
		l := &listener{Listener: inner, slots: newSlots(9), opened: opened, maxDrain: maxDrainTime, acceptStarted: make(chan struct{}),
			closed: make(chan struct{}), acceptDone: make(chan struct{}), stopped: make(chan struct{})}
		ended := make(chan error)
		go func() { _, err := l.Accept(); ended <- err }()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.LessOrEqual(t, inner.calls.Load(), int64(201))
		assert.Greater(t, inner.calls.Load(), int64(9), "it retries")
		l.stop()
		<-l.acceptDone
		require.NoError(t, l.Close())
		require.ErrorIs(t, <-ended, net.ErrClosed)
	})
}
