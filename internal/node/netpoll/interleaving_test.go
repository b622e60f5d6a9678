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

// blockedLoop is a loop whose poller can be blocked in Data, and the accepted connections, in order.
type blockedLoop struct {
	slow
	*Loop
	conns chan *Conn
}

func newBlockedLoop(t *testing.T, most int) blockedLoop {
	h := blockedLoop{slow: slow{make(chan struct{}, 1), make(chan struct{})}, conns: make(chan *Conn, most)}
	var err error
	h.Loop, err = Listen("127.0.0.1:0", most, func(c *Conn) Handler { h.conns <- c; return h.slow })
	require.NoError(t, err)
	t.Cleanup(h.Loop.Stop)
	return h
}

// connect returns both ends of a new connection.
func (h blockedLoop) connect(t *testing.T) (client *net.TCPConn, c *Conn) {
	raw, err := net.Dial("tcp", h.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	return raw.(*net.TCPConn), <-h.conns
}

// blockPoller keeps the poller in Data of a further connection until free is closed.
func (h blockedLoop) blockPoller(t *testing.T) {
	client, _ := h.connect(t)
	send(t, client, "x")
	<-h.entered
}

// awaitPoll waits until the kernel reports one of the events for a connection; the poller may not have noticed it.
func awaitPoll(t *testing.T, c *Conn, events int16) {
	require.Eventually(t, func() (reported bool) {
		c.withDescriptor(func(fd int) {
			fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
			n, err := unix.Poll(fds, 0)
			reported = err == nil && n > 0 && fds[0].Revents&events != 0
		})
		return reported
	}, time.Minute, time.Millisecond)
}

// Guards against losing a request that the poller has read but not yet passed to the handler, with a connection
// that looks idle.
func TestShutdownIfIdleCountsBytesBeingRead(t *testing.T) {
	h := newBlockedLoop(t, 1)
	client, c := h.connect(t)
	send(t, client, "one")
	<-h.entered // read, but not processed by the handler: the socket is empty
	assert.False(t, c.ShutdownIfIdle())
	close(h.free)
	require.Eventually(t, c.ShutdownIfIdle, time.Minute, time.Millisecond, "the handler has the request")
}

// counting is a handler that sends the number of bytes it received when the connection has ended.
type counting struct {
	n   int
	end chan int
}

func (c *counting) Data(b []byte) { c.n += len(b) }
func (c *counting) Closed(error)  { c.end <- c.n }

// Guards against a request that is read after ShutdownIfIdle and still passed to the handler.
func TestNothingReachesTheHandlerAfterShutdownIfIdle(t *testing.T) {
	handler, conns := &counting{end: make(chan int, 1)}, make(chan *Conn, 1)
	l, err := Listen("127.0.0.1:0", 1, func(c *Conn) Handler { conns <- c; return handler })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	client, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	c := <-conns
	require.Eventually(t, c.ShutdownIfIdle, time.Minute, time.Millisecond)
	send(t, client, "late") // the client has not read the end of stream yet
	require.NoError(t, client.Close())
	assert.Zero(t, <-handler.end)
}

// Guards against closing a socket with unread bytes, which resets the connection, so that the last response may be
// lost.
func TestEndDiscardsReceivedBytes(t *testing.T) {
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
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(fds, 0)
			ended = err == nil && n > 0
		}))
		return ended
	}, time.Minute, time.Millisecond)
	send(t, client, "one more") // after the end of stream, before the response is read
	send(t, client, "and one")
	have, err := io.ReadAll(client)
	require.NoError(t, err)
	assert.Equal(t, "answer", string(have))
	require.NoError(t, client.Close())
	require.Eventually(t, c.isClosed, time.Minute, time.Millisecond, "it closes as soon as the client has closed its end")
}

// Guards against a client that keeps a connection open after End: by never closing its side, by sending without
// end, or by not reading what is still to be written.
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
			// The client may not notice the end: if its last bytes filled the receive window, its kernel sends
			// window probes until the other kernel has dropped the connection, a minute later (tcp(7),
			// tcp_fin_timeout).
			for n, piece := 0, make([]byte, 64<<10); c.sends && !conn.isClosed(); {
				require.NoError(t, client.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
				taken, err := client.Write(piece)
				if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
					break
				}
				n += taken
				require.Less(t, n, 8*maxDiscarded, "it accepts everything that is sent")
			}
			require.Eventually(t, conn.isClosed, time.Minute, time.Millisecond)
		})
	}
}

// Guards against a truncated response that looks complete: for a client that got no length, the end of the
// connection is the end of the response. The poller, which closes the descriptor, is blocked meanwhile.
func TestAbortResetsTheConnection(t *testing.T) {
	h := newBlockedLoop(t, 2)
	client, c := h.connect(t)
	h.blockPoller(t)
	require.NoError(t, c.Write([]byte("half")))
	_, err := io.ReadFull(client, make([]byte, 4))
	require.NoError(t, err)
	c.Abort()
	_, err = client.Read(make([]byte, 1))
	require.ErrorIs(t, err, unix.ECONNRESET)
	close(h.free)
	require.Eventually(t, c.isClosed, time.Minute, time.Millisecond, "its slot is free")
}

// canWrite returns whether a request can be written to c (fit) and whether the client has ended its connection
// (gone).
func canWrite(c, client *Conn) (fit, gone bool) {
	fit, gone, _ = c.WriteRequest(nil, client, func() {})
	return fit, gone
}

// Guards against writing a request to a connection on which bytes were received or which the other side has ended,
// and against a request for a client that has closed its connection, before the poller has noticed.
func TestWriteRequestChecksAheadOfThePoller(t *testing.T) {
	h := newBlockedLoop(t, 4)
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
	h.blockPoller(t)
	fit, gone := canWrite(good, down)
	assert.True(t, fit)
	assert.False(t, gone)
	send(t, peer, "half a li")
	awaitPoll(t, spoilt, unix.POLLIN)
	fit, gone = canWrite(spoilt, down)
	assert.False(t, fit, "the socket has unread bytes")
	assert.False(t, gone)
	require.NoError(t, peer2.(*net.TCPConn).CloseWrite())
	awaitPoll(t, ended, unix.POLLRDHUP)
	fit, _ = canWrite(ended, nil)
	assert.False(t, fit, "the other side has ended it")
	send(t, client, "a further request") // stays unread
	require.NoError(t, client.CloseWrite())
	awaitPoll(t, down, unix.POLLRDHUP)
	fit, gone = canWrite(good, down)
	assert.True(t, fit)
	assert.True(t, gone, "the end of stream is behind unread bytes")
	close(h.free)
}

// Guards against bytes that arrive between the last poll and the write being taken for the response to the
// request.
func TestWriteRequestReportsBytesReceivedBeforeTheWrite(t *testing.T) {
	h := newBlockedLoop(t, 2)
	h.blockPoller(t)
	client, c := h.connect(t)
	fit, _, err := c.WriteRequest([]byte("request"), nil, func() {
		send(t, client, "stray")
		awaitPoll(t, c, unix.POLLIN)
		raw, err := client.SyscallConn()
		require.NoError(t, err)
		drop := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET}} // nothing more is acknowledged
		require.NoError(t, raw.Control(func(fd uintptr) {
			assert.NoError(t, unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &drop))
		}))
	})
	assert.True(t, fit, "the request was written")
	assert.ErrorIs(t, err, errEarly)
	close(h.free)
}

// Guards against bytes that the poller has read but not yet passed to the handler being taken for the next
// response.
func TestWriteRequestNoticesBytesBeingRead(t *testing.T) {
	h := newBlockedLoop(t, 1)
	client, c := h.connect(t)
	send(t, client, "stray")
	<-h.entered
	fit, _ := canWrite(c, nil)
	assert.False(t, fit)
	close(h.free)
}

// slowReporting blocks the poller in Data and reports how the connection ended.
type slowReporting struct {
	slow
	ended chan error
}

func (h slowReporting) Closed(err error) { h.ended <- err }

// Guards against a reset that arrives while bytes are passed to the handler being taken for a clean end, and the
// bytes before it for the whole message: the kernel reports a reset only once, so that a further read returns an
// end of stream.
func TestResetBehindBytesIsNotACleanEnd(t *testing.T) {
	h := slowReporting{slow{make(chan struct{}, 1), make(chan struct{})}, make(chan error, 1)}
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
	send(t, raw, "half of it")
	<-h.entered
	require.NoError(t, raw.(*net.TCPConn).SetLinger(0))
	require.NoError(t, raw.Close())
	awaitPoll(t, <-conns, unix.POLLERR)
	close(h.free)
	err = <-h.ended
	require.Error(t, err)
	assert.NotErrorIs(t, err, io.EOF)
}

// Guards against a last byte that the socket has accepted but that is not counted yet when the connection is
// closed: a request that may have run would be reported as not run. Queued bytes are written by the engine, which
// counts them under its lock.
func TestFinalWrittenWaitsForTheEnginesWrite(t *testing.T) {
	const size = 16 << 20 // more than the socket accepts at once
	conns := make(chan *Conn, 1)
	l, err := Listen("127.0.0.1:0", 1, func(c *Conn) Handler { conns <- c; return silent{} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	client, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	c := <-conns
	accepted, free := make(chan int, 1), make(chan struct{})
	var hook sync.Once
	l.engine.OnWrittenSize(func(nb *nbio.Conn, b []byte, n int) {
		hook.Do(func() {
			accepted <- n
			<-free
		})
		l.onWritten(nb, b, n)
	})
	wrote := make(chan error, 1)
	go func() { wrote <- c.Write(make([]byte, size)) }()
	go func() { _, _ = io.Copy(io.Discard, client) }()
	uncounted := <-accepted
	before := c.Written()
	c.Close()
	final := startFinalWritten(t, c)
	close(free)
	assert.GreaterOrEqual(t, <-final, before+int64(uncounted))
	require.NoError(t, <-wrote)
}

// Guards against the same fault for a write that the socket accepts at once.
func TestFinalWrittenWaitsForTheWriteInProgress(t *testing.T) {
	conns := make(chan *Conn, 1)
	l, err := Listen("127.0.0.1:0", 1, func(c *Conn) Handler { conns <- c; return silent{} })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	client, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	c := <-conns
	accepted, free := make(chan struct{}), make(chan struct{})
	c.count = func(n int) {
		close(accepted)
		<-free
		c.took(n)
	}
	wrote := make(chan error, 1)
	go func() { wrote <- c.Write([]byte("last")) }()
	<-accepted
	closed := make(chan struct{})
	go func() { c.Close(); close(closed) }()
	final := startFinalWritten(t, c)
	close(free)
	assert.EqualValues(t, 4, <-final)
	require.NoError(t, <-wrote)
	<-closed
}

// startFinalWritten calls FinalWritten, which must not return yet, and returns the channel that its result is sent
// to.
func startFinalWritten(t *testing.T, c *Conn) <-chan int64 {
	t.Helper()
	final := make(chan int64, 1)
	go func() { final <- c.FinalWritten() }()
	for range 1000 {
		runtime.Gosched()
		require.Empty(t, final, "the bytes that the socket has accepted are not counted yet")
	}
	return final
}

// Guards against a failed write that closes the descriptor while the poller still has an event of that connection
// to handle, which would end the next connection with its number. Also guards against a reset that was reported to
// a write being taken for a clean end.
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
	// The poller is blocked in Data of the first connection, in a batch of events that includes the second one's
	// end.
	send(t, first, "x")
	<-inData
	send(t, first, "y")
	awaitPoll(t, holding, unix.POLLIN)
	require.NoError(t, second.SetLinger(0))
	require.NoError(t, second.Close())
	awaitPoll(t, breaking, unix.POLLHUP)
	close(block)
	<-inData
	require.Error(t, breaking.send([]byte("z")), "the poll before the write was too early to see the reset")
	third, next := connect()
	close(free)
	assert.Equal(t, errEnded, <-ends)
	require.NoError(t, next.Write([]byte("served")))
	response := make([]byte, len("served"))
	_, err = io.ReadFull(third, response)
	require.NoError(t, err)
}

// blocking blocks the poller in its first Data until block is closed, and in the second until free is closed.
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

// reporting is a handler that reports how its connection ended.
type reporting struct{ ends chan error }

func (r *reporting) Data([]byte)      {}
func (r *reporting) Closed(err error) { r.ends <- err }
