package netpoll

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"linenwheel.dev/linenwheel/internal/clock"
)

// echo writes back what it receives, and ends the connection after "end".
type echo struct{ c *Conn }

func (e echo) Data(b []byte) {
	_ = e.c.Write(b)
	if bytes.HasSuffix(b, []byte("end")) {
		e.c.End(0, 600_000)
	}
}
func (e echo) Closed(error) {}

// startEcho starts a loop that echoes on at most `most` connections.
func startEcho(t *testing.T, most int) *Loop {
	l, err := Listen("127.0.0.1:0", most, func(c *Conn) Handler { return echo{c} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	return l
}

func send(t *testing.T, c net.Conn, text string) {
	_, err := c.Write([]byte(text))
	require.NoError(t, err)
}

// Guards against a node that exceeds the limit of open connections, and against one that drops a connection at the
// limit.
func TestFurtherConnectionsWait(t *testing.T) {
	l := startEcho(t, 1)
	first, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	second, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	send(t, second, "two")
	send(t, first, "end")
	have, err := io.ReadAll(first)
	require.NoError(t, err)
	assert.Equal(t, "end", string(have), "echoed while the other connection waits")
	send(t, second, "end")
	have, err = io.ReadAll(second)
	require.NoError(t, err)
	assert.Equal(t, "twoend", string(have))
}

// Guards against a drain that drops a connection which the kernel has established but the node has not accepted,
// and against one that keeps accepting connections.
func TestDrainAcceptsPendingConnections(t *testing.T) {
	l := startEcho(t, 1)
	l.listener.maxDrain = time.Hour
	first, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	send(t, first, "one")
	_, err = io.ReadFull(first, make([]byte, 3))
	require.NoError(t, err)
	second, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	send(t, second, "two")
	go l.DrainAccepting()
	require.Eventually(t, l.listener.draining.Load, time.Minute, time.Millisecond)
	send(t, first, "end")
	send(t, second, "end")
	have, err := io.ReadAll(second)
	require.NoError(t, err)
	assert.Equal(t, "twoend", string(have))
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", l.Addr())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, time.Minute, 20*time.Millisecond)
}

// slow is a handler that blocks the poller in Data and in Closed.
type slow struct{ entered, free chan struct{} }

func (s slow) Data([]byte)  { s.entered <- struct{}{}; <-s.free }
func (s slow) Closed(error) { <-s.free }

// Guards against a connection that is taken for idle while its socket has an unread request, and against a client
// that keeps sending requests because it is notified of the end only after the handler has processed it.
func TestShutdownIfIdle(t *testing.T) {
	s, conns := slow{make(chan struct{}), make(chan struct{})}, make(chan *Conn, 1)
	l, err := Listen("127.0.0.1:0", 1, func(c *Conn) Handler { conns <- c; return s })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	client, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	c := <-conns
	send(t, client, "one")
	<-s.entered
	send(t, client, "two")
	require.Eventually(t, func() bool {
		n, err := unix.IoctlGetInt(c.nb.Hash(), unix.TIOCINQ)
		return err == nil && n == 3
	}, time.Minute, time.Millisecond)
	assert.False(t, c.ShutdownIfIdle(), "the socket has an unread request")
	s.free <- struct{}{}
	<-s.entered
	s.free <- struct{}{}
	require.Eventually(t, c.ShutdownIfIdle, time.Minute, time.Millisecond, "the poller has passed everything to the handler")
	go c.End(0, 600_000)
	have, err := io.ReadAll(client)
	require.NoError(t, err)
	assert.Empty(t, have)
	s.free <- struct{}{}
}

// Guards against closing a descriptor outside the poller because the other side has reset the connection.
func TestWriteLeavesABrokenConnectionToThePoller(t *testing.T) {
	s, conns := slow{make(chan struct{}), make(chan struct{})}, make(chan *Conn, 2)
	l, err := Listen("127.0.0.1:0", 2, func(c *Conn) Handler { conns <- c; return s })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	holds, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	<-conns
	send(t, holds, "one")
	<-s.entered // the poller is blocked
	client, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	c := <-conns
	require.NoError(t, client.(*net.TCPConn).SetLinger(0))
	require.NoError(t, client.Close())
	require.Eventually(t, c.hasPollError, time.Minute, time.Millisecond)
	require.ErrorIs(t, c.Write([]byte("x")), errEnded)
	c.descriptorMu.Lock()
	assert.False(t, c.closed, "its number must stay in use until the poller has handled the end")
	c.descriptorMu.Unlock()
	close(s.free)
	_ = holds.Close()
}

// Guards against responses that are truncated because the socket does not accept them at once.
func TestEndWritesAllFirst(t *testing.T) {
	big := bytes.Repeat([]byte("x"), 8<<20)
	l, err := Listen("127.0.0.1:0", 1, func(c *Conn) Handler {
		go func() {
			_ = c.Write(big)
			c.End(0, 600_000)
		}()
		return echo{c}
	})
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	c, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	have, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Len(t, have, len(big))
}

// Guards against taking a refused connection for an established one, as the engine's own dialer does, and against
// connecting to a wrong address.
func TestDial(t *testing.T) {
	l := startEcho(t, 4)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0) // bound to a port, but not listening
	require.NoError(t, err)
	defer func() { _ = unix.Close(fd) }()
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	at, err := unix.Getsockname(fd)
	require.NoError(t, err)
	_, err = l.Dial(context.Background(), fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port), 60000, func(c *Conn) Handler { return echo{c} })
	assert.ErrorContains(t, err, "refused")
	c, err := l.Dial(context.Background(), l.Addr(), 1000, func(*Conn) Handler { return silent{} })
	require.NoError(t, err)
	require.NoError(t, c.Write([]byte("abc")))
	assert.EqualValues(t, 3, c.Written())
	c.Close()
}

type silent struct{}

func (silent) Data([]byte)  {}
func (silent) Closed(error) {}

// Guards against a process that accepts before StartAccepting, that passes on a socket which does not work in
// another process, or that closes the socket for both when it stops, so that a connection is refused while one of
// the two accepts.
func TestTwoLoopsShareOneSocket(t *testing.T) {
	old := startEcho(t, 9)
	var file *os.File
	require.NoError(t, old.Descriptor(func(fd uintptr) {
		other, err := syscall.Dup(int(fd))
		require.NoError(t, err)
		file = os.NewFile(uintptr(other), "listener")
	}))
	inner, err := net.FileListener(file)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	young, err := NewFromListener(inner, 9, func(c *Conn) Handler { return prefixEcho{echo{c}} })
	require.NoError(t, err)
	t.Cleanup(young.Stop)
	expect := func(want string) {
		c, err := net.Dial("tcp", old.Addr())
		require.NoError(t, err)
		send(t, c, "end")
		have, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, want, string(have))
	}
	for range 20 {
		expect("end")
	}
	old.StopAccepting()
	require.Error(t, old.Descriptor(func(uintptr) {}))
	young.StartAccepting()
	young.StartAccepting()
	for range 20 {
		expect("youngend")
	}
}

// prefixEcho is an echo that puts "young" before what it writes back.
type prefixEcho struct{ echo }

func (y prefixEcho) Data(b []byte) { y.echo.Data(append([]byte("young"), b...)) }

// Guards against a probe that succeeds while the poller is blocked in a handler.
func TestProbeFailsWhileThePollerIsBlocked(t *testing.T) {
	stuck, free := make(chan struct{}), make(chan struct{})
	l, err := Listen("127.0.0.1:0", 1, func(*Conn) Handler { return holder{stuck, free} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	p, err := l.NewProbe()
	require.NoError(t, err)
	p.RoundTrip(context.Background())
	p.RoundTrip(context.Background())
	c, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	send(t, c, "x")
	<-stuck
	returned := make(chan struct{})
	go func() { p.RoundTrip(context.Background()); close(returned) }()
	select {
	case <-returned:
		require.Fail(t, "the round trip succeeded while the poller was blocked")
	default:
	}
	close(free)
	<-returned
}

type holder struct{ stuck, free chan struct{} }

func (h holder) Data([]byte)  { close(h.stuck); <-h.free }
func (h holder) Closed(error) {}

// Guards against a child process that inherits a connection and keeps it open.
func TestChildProcessInheritsNoConnection(t *testing.T) {
	l := startEcho(t, 1)
	c, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	send(t, c, "here")
	_, err = io.ReadFull(c, make([]byte, 4))
	require.NoError(t, err)
	program := exec.Command("cat") // runs until its input ends
	in, err := program.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, program.Start())
	defer func() {
		_ = in.Close()
		_ = program.Wait()
	}()
	send(t, c, "end")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	have, err := io.ReadAll(c)
	require.NoError(t, err, "the end of the connection")
	assert.Equal(t, "end", string(have))
}

// Guards against a node that exits because no connection is open while it is still processing an accepted one.
func TestStopAcceptingWaitsForTheLastConnection(t *testing.T) {
	accepted, free := make(chan struct{}), make(chan struct{})
	l, err := Listen("127.0.0.1:0", 2, func(c *Conn) Handler { close(accepted); <-free; return echo{c} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	_, err = net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	<-accepted
	stopped := make(chan struct{})
	go func() { l.StopAccepting(); close(stopped) }()
	<-l.listener.closed
	select {
	case <-stopped:
		require.Fail(t, "returned while an accepted connection had no Handler")
	default:
	}
	close(free)
	<-stopped
}

// Guards against a connection that ends another one which has got its descriptor's number: the engine closes a
// descriptor some time before it reports the end.
func TestClosedConnectionDoesNotEndANewOne(t *testing.T) {
	accepted := make(chan *Conn, 1)
	l, err := Listen("127.0.0.1:0", 64, func(c *Conn) Handler {
		accepted <- c
		return echo{c}
	})
	require.NoError(t, err)
	defer l.Stop()
	for range 60 {
		old, err := net.Dial("tcp", l.Addr())
		require.NoError(t, err)
		c := <-accepted
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() { // calls Close at the worst moment, as a sweep or a timer may
			defer close(stopped)
			for {
				select {
				case <-stop:
					return
				default:
					c.Close()
					runtime.Gosched()
				}
			}
		}()
		_ = old.Close()
		for range 5 {
			fresh, err := net.Dial("tcp", l.Addr())
			require.NoError(t, err)
			<-accepted
			_, err = fresh.Write([]byte("x"))
			require.NoError(t, err)
			_, err = fresh.Read(make([]byte, 1))
			require.NoError(t, err, "a new connection was ended by an old one")
			_ = fresh.Close()
		}
		close(stop)
		<-stopped
	}
}

// Guards against a connect timeout that does not use the loop's clock: a machine that stalls for a moment would
// end the attempt.
func TestConnectTimeoutUsesTheLoopsClock(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 9, func(*Conn) Handler { return silent{} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	manual := clock.NewManual(1e6)
	l.SetClock(manual)
	// A listener with a backlog of 0 on which one connection waits accepts no further one.
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	defer func() { _ = unix.Close(fd) }()
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	at, err := unix.Getsockname(fd)
	require.NoError(t, err)
	full := fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
	waiting, err := net.Dial("tcp", full)
	require.NoError(t, err)
	defer func() { _ = waiting.Close() }()
	ended := make(chan error, 1)
	go func() {
		_, err := l.Dial(t.Context(), full, 50, func(*Conn) Handler { return silent{} })
		ended <- err
	}()
	select {
	case err := <-ended:
		require.Fail(t, "Dial returned while the clock did not advance", "%v", err)
	case <-time.After(300 * time.Millisecond):
	}
	require.Eventually(t, func() bool {
		manual.Advance(50)
		select {
		case err = <-ended:
			return true
		default:
			return false
		}
	}, time.Minute, 10*time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	require.Contains(t, err.Error(), "connecting: dial tcp "+full+": i/o timeout")
}
