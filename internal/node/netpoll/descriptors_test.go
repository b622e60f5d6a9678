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

// poorListener is a listener that has no descriptor for a connection as long as times are hard.
type poorListener struct {
	net.Listener
	hard  atomic.Bool
	asked chan struct{} // told each time
}

func (s *poorListener) Accept() (net.Conn, error) {
	if s.hard.Load() {
		select {
		case s.asked <- struct{}{}:
		default:
		}
		return nil, errNoDescriptor
	}
	return s.Listener.Accept()
}

// Guards against connections that are never taken, or open ones that end, once the process was out of descriptors.
func TestOutOfDescriptors(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	inner := &poorListener{Listener: tcp, asked: make(chan struct{})}
	l, err := NewFromListener(inner, 9, func(c *Conn) Handler { return echo{c} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	l.StartAccepting()
	hear := func(c net.Conn, text string) {
		say(t, c, text)
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
	hear(old, "old")
	inner.hard.Store(true)
	last := connect() // for a call of Accept that waits in the system already
	for range 3 {
		<-inner.asked
	}
	waits := connect()
	say(t, waits, "end")
	<-inner.asked
	hear(old, "still")
	require.LessOrEqual(t, l.OpenConnections(), 3, "two are open at most, and one waits for a descriptor")
	inner.hard.Store(false)
	have, err := io.ReadAll(waits)
	require.NoError(t, err)
	require.Equal(t, "end", string(have), "taken once there are descriptors again")
	hear(last, "last")
	hear(old, "on")
}

// barren is a listener without descriptors that counts how often it is asked, until its socket is closed.
type barren struct {
	net.Listener
	asked  atomic.Int64
	closed atomic.Bool
}

func (b *barren) Accept() (net.Conn, error) {
	if b.closed.Load() || b.asked.Add(1) > 500 { // which ends one that spins, as time would stand still
		return nil, net.ErrClosed
	}
	return nil, errNoDescriptor
}
func (b *barren) Close() error { b.closed.Store(true); return nil }

// Guards against a node that spins while it is out of descriptors, and one that cannot be stopped meanwhile. Time is the bubble's.
func TestOutOfDescriptorsDoesNotSpin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &barren{}
		open := make(chan struct{})
		close(open)
		l := &listener{Listener: inner, slots: newSlots(9), open: open, most: drainMost, begun: make(chan struct{}),
			closed: make(chan struct{}), quiet: make(chan struct{}), stopped: make(chan struct{})}
		ended := make(chan error)
		go func() { _, err := l.Accept(); ended <- err }()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.LessOrEqual(t, inner.asked.Load(), int64(201))
		assert.Greater(t, inner.asked.Load(), int64(9), "it goes on trying")
		l.stop()
		<-l.quiet
		require.NoError(t, l.Close())
		require.ErrorIs(t, <-ended, net.ErrClosed)
	})
}
