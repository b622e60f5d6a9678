package netpoll

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// held is a loop whose poller can be held in Data, and the connections that came in, in order.
type held struct {
	slow
	*Loop
	conns chan *Conn
}

func holding(t *testing.T, most int) held {
	h := held{slow: slow{make(chan struct{}, 1), make(chan struct{})}, conns: make(chan *Conn, most)}
	var err error
	h.Loop, err = Listen("127.0.0.1:0", most, func(c *Conn) Handler { h.conns <- c; return h.slow })
	require.NoError(t, err)
	t.Cleanup(h.Loop.Stop)
	return h
}

// connect gives both ends of a new connection.
func (h held) connect(t *testing.T) (client *net.TCPConn, c *Conn) {
	raw, err := net.Dial("tcp", h.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	return raw.(*net.TCPConn), <-h.conns
}

// hold keeps the poller in Data of a connection of its own until the test ends or free is closed.
func (h held) hold(t *testing.T) {
	client, _ := h.connect(t)
	say(t, client, "x")
	<-h.came
}

// polled waits until the machine tells some of these of a connection; the poller may not know.
func polled(t *testing.T, c *Conn, events int16) {
	require.Eventually(t, func() (told bool) {
		c.withDescriptor(func(fd int) {
			look := []unix.PollFd{{Fd: int32(fd), Events: events}}
			n, err := unix.Poll(look, 0)
			told = err == nil && n > 0 && look[0].Revents&events != 0
		})
		return told
	}, time.Minute, time.Millisecond)
}

// Guards against a request that the poller has read and not yet handed on being lost with a connection that looks idle.
func TestShutdownIfIdleSeesWhatIsOnItsWay(t *testing.T) {
	h := holding(t, 1)
	client, c := h.connect(t)
	say(t, client, "one")
	<-h.came // read, and on its way: nothing stands in the socket
	assert.False(t, c.ShutdownIfIdle())
	close(h.free)
	require.Eventually(t, c.ShutdownIfIdle, time.Minute, time.Millisecond, "the handler has it")
}

// counting tells how many bytes it was handed, at the end.
type counting struct {
	n   int
	end chan int
}

func (c *counting) Data(b []byte) { c.n += len(b) }
func (c *counting) Closed(error)  { c.end <- c.n }

// Guards against a request that is read after the shutdown of its connection and handed on all the same.
func TestNothingReachesTheHandlerAfterShutdownIfIdle(t *testing.T) {
	handler, conns := &counting{end: make(chan int, 1)}, make(chan *Conn, 1)
	l, err := Listen("127.0.0.1:0", 1, func(c *Conn) Handler { conns <- c; return handler })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	client, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	c := <-conns
	require.Eventually(t, c.ShutdownIfIdle, time.Minute, time.Millisecond)
	say(t, client, "late") // the client has not read the end yet
	require.NoError(t, client.Close())
	assert.Zero(t, <-handler.end)
}

// Guards against a close over bytes that nobody has read, which resets the connection and may take the last answer with it.
func TestEndReadsOn(t *testing.T) {
	conns := make(chan *Conn, 1)
	l, err := Listen("127.0.0.1:0", 1, func(c *Conn) Handler { conns <- c; return silent{} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	client, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	c := <-conns
	require.NoError(t, c.Write([]byte("answer")))
	c.End(600_000, 600_000)
	raw, err := client.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() (ended bool) {
		require.NoError(t, raw.Control(func(fd uintptr) {
			look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(look, 0)
			ended = err == nil && n > 0
		}))
		return ended
	}, time.Minute, time.Millisecond)
	say(t, client, "one more") // over the end, before the answer is read
	say(t, client, "and one")
	have, err := io.ReadAll(client)
	require.NoError(t, err)
	assert.Equal(t, "answer", string(have))
	require.NoError(t, client.Close())
	require.Eventually(t, c.isClosed, time.Minute, time.Millisecond, "it goes as soon as the client has")
}

// Guards against a client that holds a connection which was ended: by never ending it, by sending without end, or by not reading
// what is still to be written.
func TestEndIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		linger, stall float64
		sends         bool
		unread        int
	}{"silent": {linger: 1, stall: 600_000}, "flood": {linger: 600_000, stall: 600_000, sends: true},
		"unread": {linger: 600_000, stall: 1, unread: 16 << 20}} {
		t.Run(name, func(t *testing.T) {
			conns := make(chan *Conn, 1)
			l, err := Listen("127.0.0.1:0", 1, func(c *Conn) Handler { conns <- c; return silent{} })
			require.NoError(t, err)
			t.Cleanup(l.Stop)
			client, err := net.Dial("tcp", l.Addr())
			require.NoError(t, err)
			defer client.Close()
			conn := <-conns
			require.NoError(t, conn.Write(make([]byte, c.unread)))
			conn.End(c.linger, c.stall)
			// The client need not hear of the end: where its last bytes filled the window, its kernel asks for room until the other one has
			// forgotten the connection, a minute later (tcp(7), tcp_fin_timeout).
			for n, piece := 0, make([]byte, 64<<10); c.sends && !conn.isClosed(); {
				require.NoError(t, client.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
				taken, err := client.Write(piece)
				if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
					break
				}
				n += taken
				require.Less(t, n, 8*dropMost, "it takes all that is sent")
			}
			require.Eventually(t, conn.isClosed, time.Minute, time.Millisecond)
		})
	}
}

// Guards against an answer that breaks off and looks whole: to a client that was told no length the end of the connection is that of
// the answer. The poller, which closes the descriptor, stands still meanwhile.
func TestAbortIsNoEnd(t *testing.T) {
	h := holding(t, 2)
	client, c := h.connect(t)
	h.hold(t)
	require.NoError(t, c.Write([]byte("half")))
	_, err := io.ReadFull(client, make([]byte, 4))
	require.NoError(t, err)
	c.Abort()
	_, err = client.Read(make([]byte, 1))
	require.ErrorIs(t, err, unix.ECONNRESET)
	close(h.free)
	require.Eventually(t, c.isClosed, time.Minute, time.Millisecond, "its place is free")
}

// begin asks whether a request could go out.
func begin(c, client *Conn) (fit, gone bool) {
	fit, gone, _ = c.WriteRequest(nil, client, func() {})
	return fit, gone
}

// Guards against a request written to a connection on which something came, or which the other side has ended, and against one for a
// client that has gone, while the poller has not heard of it.
func TestBeginIsAheadOfThePoller(t *testing.T) {
	h := holding(t, 4)
	up, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = up.Close() })
	dial := func() (*Conn, net.Conn) {
		c, err := h.Dial(context.Background(), up.Addr().String(), 60_000, func(*Conn) Handler { return silent{} })
		require.NoError(t, err)
		peer, err := up.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = peer.Close() })
		return c, peer
	}
	client, down := h.connect(t)
	spoilt, peer := dial()
	ended, peer2 := dial()
	good, _ := dial()
	h.hold(t)
	fit, gone := begin(good, down)
	assert.True(t, fit)
	assert.False(t, gone)
	say(t, peer, "half a li")
	polled(t, spoilt, unix.POLLIN)
	fit, gone = begin(spoilt, down)
	assert.False(t, fit, "bytes stand in the socket")
	assert.False(t, gone)
	require.NoError(t, peer2.(*net.TCPConn).CloseWrite())
	polled(t, ended, unix.POLLRDHUP)
	fit, _ = begin(ended, nil)
	assert.False(t, fit, "the other side has ended it")
	say(t, client, "a further request") // which nobody reads
	require.NoError(t, client.CloseWrite())
	polled(t, down, unix.POLLRDHUP)
	fit, gone = begin(good, down)
	assert.True(t, fit)
	assert.True(t, gone, "behind bytes that nobody has read")
	close(h.free)
}

// Guards against bytes that came between the last look and the write being taken for the answer to what was written.
func TestBeginTellsWhatCameBeforeTheWrite(t *testing.T) {
	h := holding(t, 2)
	h.hold(t)
	client, c := h.connect(t)
	fit, _, err := c.WriteRequest([]byte("request"), nil, func() {
		say(t, client, "stray")
		polled(t, c, unix.POLLIN)
		raw, err := client.SyscallConn()
		require.NoError(t, err)
		drop := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET}} // nothing more is acknowledged
		require.NoError(t, raw.Control(func(fd uintptr) {
			assert.NoError(t, unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &drop))
		}))
	})
	assert.True(t, fit, "it has gone out")
	assert.ErrorIs(t, err, errEarly)
	close(h.free)
}

// Guards against bytes that the poller has read and not yet handed on being taken for the next answer.
func TestBeginSeesWhatIsOnItsWay(t *testing.T) {
	h := holding(t, 1)
	client, c := h.connect(t)
	say(t, client, "stray")
	<-h.came
	fit, _ := begin(c, nil)
	assert.False(t, fit)
	close(h.free)
}

// toItsEnd holds the poller in Data and tells how the connection ended.
type toItsEnd struct {
	slow
	ended chan error
}

func (h toItsEnd) Closed(err error) { h.ended <- err }

// Guards against a reset that comes while bytes are handed on being taken for an end, and what came before it for all: the system tells
// of a reset once, so that a further read finds an end.
func TestResetBehindBytesIsNoEnd(t *testing.T) {
	h := toItsEnd{slow{make(chan struct{}, 1), make(chan struct{})}, make(chan error, 1)}
	conns := make(chan *Conn, 1)
	l, err := Listen("127.0.0.1:0", 1, func(c *Conn) Handler {
		c.ReadToEnd()
		conns <- c
		return h
	})
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	raw, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	say(t, raw, "half of it")
	<-h.came
	require.NoError(t, raw.(*net.TCPConn).SetLinger(0))
	require.NoError(t, raw.Close())
	polled(t, <-conns, unix.POLLERR)
	close(h.free)
	err = <-h.ended
	require.Error(t, err)
	assert.NotErrorIs(t, err, io.EOF)
}

// Guards against a last byte that the socket has taken, but that is not counted yet when its connection is given up: what may have run
// would be told not to have. Bytes that waited are written by the engine, which counts them under its lock.
func TestFinalWrittenWaitsForTheEnginesWrite(t *testing.T) {
	const size = 16 << 20 // more than the socket takes at once
	conns := make(chan *Conn, 1)
	l, err := Listen("127.0.0.1:0", 1, func(c *Conn) Handler { conns <- c; return silent{} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	client, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	c := <-conns
	taken, free := make(chan int, 1), make(chan struct{})
	var hook sync.Once
	l.engine.OnWrittenSize(func(nb *nbio.Conn, b []byte, n int) {
		hook.Do(func() {
			taken <- n
			<-free
		})
		l.wrote(nb, b, n)
	})
	wrote := make(chan error, 1)
	go func() { wrote <- c.Write(make([]byte, size)) }()
	go func() { _, _ = io.Copy(io.Discard, client) }()
	under := <-taken
	before := c.Written()
	c.Close()
	told := awaitFinalWritten(t, c)
	close(free)
	assert.GreaterOrEqual(t, <-told, before+int64(under))
	require.NoError(t, <-wrote)
}

// Guards against the same where the socket takes at once what is written.
func TestFinalWrittenWaitsForTheWriteUnderWay(t *testing.T) {
	conns := make(chan *Conn, 1)
	l, err := Listen("127.0.0.1:0", 1, func(c *Conn) Handler { conns <- c; return silent{} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	client, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	c := <-conns
	taken, free := make(chan struct{}), make(chan struct{})
	c.count = func(n int) {
		close(taken)
		<-free
		c.took(n)
	}
	wrote := make(chan error, 1)
	go func() { wrote <- c.Write([]byte("last")) }()
	<-taken
	closed := make(chan struct{})
	go func() { c.Close(); close(closed) }()
	told := awaitFinalWritten(t, c)
	close(free)
	assert.EqualValues(t, 4, <-told)
	require.NoError(t, <-wrote)
	<-closed
}

// awaitFinalWritten calls FinalWritten, which must not return yet, and returns where its result comes.
func awaitFinalWritten(t *testing.T, c *Conn) <-chan int64 {
	t.Helper()
	told := make(chan int64, 1)
	go func() { told <- c.FinalWritten() }()
	for range 1000 {
		runtime.Gosched()
		require.Empty(t, told, "the socket has them")
	}
	return told
}

// Guards against a write that fails closing the descriptor while the poller still has an event of that connection to see to: the next
// connection under its number would be ended by it. And against a reset that a write was told of being taken for a clean end.
func TestFailedWriteLeavesTheDescriptorToThePoller(t *testing.T) {
	ends := make(chan error, 1)
	block, free, inData := make(chan struct{}), make(chan struct{}), make(chan struct{})
	conns := make(chan *Conn, 1)
	handlers := make(chan Handler, 3)
	handlers <- &blocking{inData: inData, block: block, free: free}
	handlers <- &reporting{ends: ends}
	handlers <- &reporting{ends: make(chan error, 1)}
	l, err := Listen("127.0.0.1:0", 3, func(c *Conn) Handler { conns <- c; return <-handlers })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	connect := func() (*net.TCPConn, *Conn) {
		raw, err := net.Dial("tcp", l.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = raw.Close() })
		return raw.(*net.TCPConn), <-conns
	}
	first, holding := connect()
	second, breaking := connect()
	// The poller is held in the first connection's bytes, in a batch of events that has the second one's end.
	say(t, first, "x")
	<-inData
	say(t, first, "y")
	polled(t, holding, unix.POLLIN)
	require.NoError(t, second.SetLinger(0))
	require.NoError(t, second.Close())
	polled(t, breaking, unix.POLLHUP)
	close(block)
	<-inData
	require.Error(t, breaking.send([]byte("z")), "the look before it came too early")
	third, next := connect()
	close(free)
	assert.Equal(t, errEnded, <-ends)
	require.NoError(t, next.Write([]byte("served")))
	answer := make([]byte, len("served"))
	_, err = io.ReadFull(third, answer)
	require.NoError(t, err)
}

// blocking holds the poller in its first Data until block is closed, and in the second until free is.
type blocking struct {
	inData      chan struct{}
	block, free chan struct{}
	calls       int
}

func (b *blocking) Data([]byte) {
	b.calls++
	b.inData <- struct{}{}
	if b.calls == 1 {
		<-b.block
	} else {
		<-b.free
	}
}

func (b *blocking) Closed(error) {}

// reporting tells how its connection ended.
type reporting struct{ ends chan error }

func (r *reporting) Data([]byte)      {}
func (r *reporting) Closed(err error) { r.ends <- err }
