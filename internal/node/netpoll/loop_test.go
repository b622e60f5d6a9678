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

// echo answers with what came, and ends the connection on "end".
type echo struct{ c *Conn }

func (e echo) Data(b []byte) {
	_ = e.c.Write(b)
	if bytes.HasSuffix(b, []byte("end")) {
		e.c.End(0, 600_000)
	}
}
func (e echo) Closed(error) {}

// listening starts a loop that echoes on at most `most` connections.
func listening(t *testing.T, most int) *Loop {
	l, err := Listen("127.0.0.1:0", most, func(c *Conn) Handler { return echo{c} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	return l
}

func say(t *testing.T, c net.Conn, text string) {
	_, err := c.Write([]byte(text))
	require.NoError(t, err)
}

// Guards against a node that holds more descriptors than it may, and against one that drops a connection then.
func TestFurtherConnectionsWait(t *testing.T) {
	l := listening(t, 1)
	first, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	second, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	say(t, second, "two")
	say(t, first, "end")
	have, err := io.ReadAll(first)
	require.NoError(t, err)
	assert.Equal(t, "end", string(have), "answered while the other waits")
	say(t, second, "end")
	have, err = io.ReadAll(second)
	require.NoError(t, err)
	assert.Equal(t, "twoend", string(have))
}

// Guards against a stop that drops a connection which the machine has taken but the node has not seen, and against one
// that goes on taking connections.
func TestDrainTakesWhatWaits(t *testing.T) {
	l := listening(t, 1)
	l.listener.most = time.Hour
	first, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	say(t, first, "one")
	_, err = io.ReadFull(first, make([]byte, 3))
	require.NoError(t, err)
	second, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	say(t, second, "two")
	go l.DrainAccepting()
	require.Eventually(t, l.listener.draining.Load, time.Minute, time.Millisecond)
	say(t, first, "end")
	say(t, second, "end")
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

// slow is a handler that holds the engine in Data and in Closed.
type slow struct{ came, free chan struct{} }

func (s slow) Data([]byte)  { s.came <- struct{}{}; <-s.free }
func (s slow) Closed(error) { <-s.free }

// Guards against a connection that is taken for idle while a request stands in its socket, and against a client that goes
// on asking because it learns of the end only when the handler has taken care of it.
func TestShutdownIfIdle(t *testing.T) {
	s, conns := slow{make(chan struct{}), make(chan struct{})}, make(chan *Conn, 1)
	l, err := Listen("127.0.0.1:0", 1, func(c *Conn) Handler { conns <- c; return s })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	client, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	c := <-conns
	say(t, client, "one")
	<-s.came
	say(t, client, "two")
	require.Eventually(t, func() bool {
		n, err := unix.IoctlGetInt(c.nb.Hash(), unix.TIOCINQ)
		return err == nil && n == 3
	}, time.Minute, time.Millisecond)
	assert.False(t, c.ShutdownIfIdle(), "a request stands in the socket")
	s.free <- struct{}{}
	<-s.came
	s.free <- struct{}{}
	require.Eventually(t, c.ShutdownIfIdle, time.Minute, time.Millisecond, "the poller has handed it all on")
	go c.End(0, 600_000)
	have, err := io.ReadAll(client)
	require.NoError(t, err)
	assert.Empty(t, have)
	s.free <- struct{}{}
}

// Guards against a descriptor that is closed outside the poller because the other side has reset the connection.
func TestWriteLeavesABrokenConnectionToThePoller(t *testing.T) {
	s, conns := slow{make(chan struct{}), make(chan struct{})}, make(chan *Conn, 2)
	l, err := Listen("127.0.0.1:0", 2, func(c *Conn) Handler { conns <- c; return s })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	holds, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	<-conns
	say(t, holds, "one")
	<-s.came // the poller is held
	client, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	c := <-conns
	require.NoError(t, client.(*net.TCPConn).SetLinger(0))
	require.NoError(t, client.Close())
	require.Eventually(t, c.hasPollError, time.Minute, time.Millisecond)
	require.ErrorIs(t, c.Write([]byte("x")), errEnded)
	c.descriptorMu.Lock()
	assert.False(t, c.closed, "its number is not free before the poller has seen to its end")
	c.descriptorMu.Unlock()
	close(s.free)
	_ = holds.Close()
}

// Guards against answers cut short where the socket does not take them at once.
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

// Guards against a refused connection taken for one that is up, as the engine's own dialer does, and against the
// wrong address being called.
func TestDial(t *testing.T) {
	l := listening(t, 4)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0) // has a port and does not listen
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

// Guards against a process that accepts before it is to, that gives away a socket which does not work elsewhere, or that
// closes it for both when it stops, so that a connection is refused while one of the two accepts.
func TestTwoOnOneSocket(t *testing.T) {
	old := listening(t, 9)
	var file *os.File
	require.NoError(t, old.Descriptor(func(fd uintptr) {
		other, err := syscall.Dup(int(fd))
		require.NoError(t, err)
		file = os.NewFile(uintptr(other), "listener")
	}))
	inner, err := net.FileListener(file)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	young, err := NewFromListener(inner, 9, func(c *Conn) Handler { return youth{echo{c}} })
	require.NoError(t, err)
	t.Cleanup(young.Stop)
	ask := func(want string) {
		c, err := net.Dial("tcp", old.Addr())
		require.NoError(t, err)
		say(t, c, "end")
		have, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, want, string(have))
	}
	for range 20 {
		ask("end")
	}
	old.StopAccepting()
	require.Error(t, old.Descriptor(func(uintptr) {}))
	young.StartAccepting()
	young.StartAccepting()
	for range 20 {
		ask("youngend")
	}
}

// youth is an echo with a word in front.
type youth struct{ echo }

func (y youth) Data(b []byte) { y.echo.Data(append([]byte("young"), b...)) }

// Guards against a pulse that goes on while the poller is stuck in a handler.
func TestPulseStopsWithThePoller(t *testing.T) {
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
	say(t, c, "x")
	<-stuck
	beaten := make(chan struct{})
	go func() { p.RoundTrip(context.Background()); close(beaten) }()
	select {
	case <-beaten:
		require.Fail(t, "a beat came through")
	default:
	}
	close(free)
	<-beaten
}

type holder struct{ stuck, free chan struct{} }

func (h holder) Data([]byte)  { close(h.stuck); <-h.free }
func (h holder) Closed(error) {}

// Guards against connections that a program started by this process keeps open.
func TestProgramsInheritNoConnection(t *testing.T) {
	l := listening(t, 1)
	c, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	say(t, c, "here")
	_, err = io.ReadFull(c, make([]byte, 4))
	require.NoError(t, err)
	program := exec.Command("cat") // until its input ends
	in, err := program.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, program.Start())
	defer func() {
		_ = in.Close()
		_ = program.Wait()
	}()
	say(t, c, "end")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	have, err := io.ReadAll(c)
	require.NoError(t, err, "the end of the connection")
	assert.Equal(t, "end", string(have))
}

// Guards against a node that ends, since nothing is open any more, while a connection is on its way from the socket to it.
func TestStopAcceptingWaitsForTheLast(t *testing.T) {
	came, free := make(chan struct{}), make(chan struct{})
	l, err := Listen("127.0.0.1:0", 2, func(c *Conn) Handler { close(came); <-free; return echo{c} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	_, err = net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	<-came
	stopped := make(chan struct{})
	go func() { l.StopAccepting(); close(stopped) }()
	<-l.listener.closed
	select {
	case <-stopped:
		require.Fail(t, "a connection is on its way")
	default:
	}
	close(free)
	<-stopped
}

// Guards against a connection that ends another one, which has got its descriptor's number: the engine closes a descriptor some
// time before it says so.
func TestOldConnectionsLeaveNewOnesAlone(t *testing.T) {
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
		go func() { // as a sweep and a timer would, at the worst moment
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

// Guards against a time to connect that passes on another clock than the node's: a machine that stands still for a moment would end it.
func TestTheTimeToConnectPassesOnTheLoopsClock(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 9, func(*Conn) Handler { return silent{} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	manual := clock.NewManual(1e6)
	l.SetClock(manual)
	// A listener with a backlog of none and a connection that waits there takes no further one.
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	defer func() { _ = unix.Close(fd) }()
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	at, err := unix.Getsockname(fd)
	require.NoError(t, err)
	full := fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
	waits, err := net.Dial("tcp", full)
	require.NoError(t, err)
	defer func() { _ = waits.Close() }()
	ended := make(chan error, 1)
	go func() {
		_, err := l.Dial(t.Context(), full, 50, func(*Conn) Handler { return silent{} })
		ended <- err
	}()
	select {
	case err := <-ended:
		require.Fail(t, "it ended while the clock stood", "%v", err)
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
