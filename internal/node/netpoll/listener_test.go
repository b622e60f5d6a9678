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

// answers tells whether a connection is echoed to its end, rather than reset.
func answers(t *testing.T, c net.Conn, want string) {
	have, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, want, string(have))
}

// decided waits until the socket lets nothing more in, or is closed.
func (l *listener) decided() (barred bool) {
	for {
		l.sharing.Lock()
		barred = l.barred
		l.sharing.Unlock()
		select {
		case <-l.closed:
			return barred
		default:
			if barred {
				return true
			}
			runtime.Gosched()
		}
	}
}

// Guards against a connection that the machine takes between the last look for what waits and the closing of the socket,
// which the closing would reset, and against one that is still let in when nobody is to accept it.
func TestDrainTakesWhatComesAfterTheLastLook(t *testing.T) {
	l, err := ListenPaused("127.0.0.1:0", 2, func(c *Conn) Handler { return echo{c} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	l.listener.most = 0
	busy, free := make(chan struct{}, 2), make(chan struct{})
	l.listener.own = func(c net.Conn) (*nbio.Conn, error) {
		busy <- struct{}{}
		<-free
		return own(c)
	}
	l.StartAccepting()
	first, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	say(t, first, "one-end")
	<-busy // nobody accepts
	var late net.Conn
	l.listener.looked = func() {
		late, err = net.Dial("tcp", l.Addr())
		require.NoError(t, err)
		say(t, late, "late-end")
		go func() { l.listener.decided(); close(free) }()
	}
	l.DrainAccepting()
	answers(t, first, "one-end")
	answers(t, late, "late-end")
	_, err = net.Dial("tcp", l.Addr())
	assert.Error(t, err)
}

// Guards against connections that wait for a slot while the socket is closed, and against a stop that waits for them in
// vain: they are taken as slots come free, however long that takes.
func TestDrainWaitsForSlots(t *testing.T) {
	l := listening(t, 1)
	l.listener.most = 0
	first, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	say(t, first, "one")
	_, err = io.ReadFull(first, make([]byte, 3))
	require.NoError(t, err)
	second, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	say(t, second, "two-end")
	looked, drained := make(chan struct{}), make(chan struct{})
	l.listener.looked = func() { close(looked) }
	go func() { l.DrainAccepting(); close(drained) }()
	<-looked
	assert.True(t, l.listener.decided(), "a connection waits there")
	say(t, first, "end")
	answers(t, second, "two-end")
	<-drained

	l, err = Listen("127.0.0.1:0", 1, func(c *Conn) Handler { return echo{c} })
	require.NoError(t, err)
	l.listener.most = 0
	for range 2 {
		_, err = net.Dial("tcp", l.Addr())
		require.NoError(t, err)
	}
	ended := make(chan struct{})
	go func() { l.DrainAccepting(); close(ended) }()
	require.Eventually(t, l.listener.draining.Load, time.Minute, time.Millisecond)
	l.Stop() // which waits for no slot
	<-ended
}

// starved is a listener whose process has no descriptor left, for as long as it is set.
type starved struct {
	*net.TCPListener
	on atomic.Bool
}

func (s *starved) Accept() (net.Conn, error) {
	if s.on.Load() {
		return nil, os.NewSyscallError("accept4", syscall.EMFILE)
	}
	return s.TCPListener.Accept()
}

// Guards against connections lost because the descriptors had run out for a moment: before one is accepted, when the
// socket is about to be closed, or between that and the engine, which needs one more.
func TestConnectionsWaitForDescriptors(t *testing.T) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false)
	inner, err := plain.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	poor := &starved{TCPListener: inner.(*net.TCPListener)}
	poor.on.Store(true)
	l, err := NewFromListener(poor, 2, func(c *Conn) Handler { return echo{c} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	l.listener.sole, l.listener.most = true, 0
	var refusals atomic.Int32
	l.listener.own = func(c net.Conn) (*nbio.Conn, error) {
		if refusals.Add(1) < 4 {
			return nil, os.NewSyscallError("dup", syscall.EMFILE)
		}
		return own(c)
	}
	l.StartAccepting()
	c, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	say(t, c, "end")
	l.listener.looked = func() {
		go func() { l.listener.decided(); poor.on.Store(false) }()
	}
	l.DrainAccepting()
	answers(t, c, "end")
	assert.EqualValues(t, 4, refusals.Load())
}

// Guards against a socket that another process gets to accept on and that takes nothing any more.
func TestBarGoesWithTheSocket(t *testing.T) {
	old := listening(t, 9)
	require.True(t, old.listener.bar())
	var file *os.File
	require.NoError(t, old.Descriptor(func(fd uintptr) {
		other, err := syscall.Dup(int(fd))
		require.NoError(t, err)
		file = os.NewFile(uintptr(other), "listener")
	}))
	inner, err := net.FileListener(file)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	assert.False(t, old.listener.bar(), "the other one needs it")
	old.DrainAccepting()
	young, err := NewFromListener(inner, 9, func(c *Conn) Handler { return youth{echo{c}} })
	require.NoError(t, err)
	t.Cleanup(young.Stop)
	young.StartAccepting()
	c, err := net.Dial("tcp", old.Addr())
	require.NoError(t, err)
	say(t, c, "end")
	answers(t, c, "youngend")
	assert.False(t, young.listener.bar(), "nor may it know whether it is alone")
}
