package node

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"linenwheel.dev/linenwheel/internal/node/netpoll"
)

// blockingHandler blocks the node's poller until free is closed.
type blockingHandler struct {
	held chan struct{}
	free chan struct{}
}

func (h blockingHandler) Data([]byte)  { close(h.held); <-h.free }
func (h blockingHandler) Closed(error) {}

// holdPoller blocks the poller until the returned function is called, so that everything that arrives meanwhile is
// there when the poller reads next.
func holdPoller(t *testing.T, n *Node) (free func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	h := blockingHandler{make(chan struct{}), make(chan struct{})}
	_, err = n.loop.Dial(t.Context(), l.Addr().String(), 60000, func(*netpoll.Conn) netpoll.Handler { return h })
	require.NoError(t, err)
	c, err := l.Accept()
	require.NoError(t, err)
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	<-h.held
	return func() { close(h.free); _ = c.Close() }
}

// awaitFin waits until the peer's kernel has received all that was sent, including the FIN.
func awaitFin(t *testing.T, c *net.TCPConn) {
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	for has := false; !has; runtime.Gosched() {
		require.NoError(t, raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			has = err == nil && info.State == 5 // FIN_WAIT2
		}))
	}
}

// payments returns n complete requests, one after the other.
func payments(name string, n int) (text string) {
	for i := range n {
		text += fmt.Sprintf("POST /pay/%s%d HTTP/1.1\r\nHost: x\r\nReq-Id: %s%d\r\nReq-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n", name, i, name, i)
	}
	return text
}

// Guards against work for a client that has sent many requests at once and closed: of the requests that arrive
// together with its end, only the first can have been read before the end, and no other one may be started. Each
// time, the poller finds the requests and the end at once.
func TestFloodOfAClientThatCloses(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *net.TCPConn){
		"end": func(t *testing.T, c *net.TCPConn) {
			require.NoError(t, c.CloseWrite())
			awaitFin(t, c)
		},
		"reset": func(t *testing.T, c *net.TCPConn) {
			require.NoError(t, c.SetLinger(0))
			require.NoError(t, c.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			const floods = 4 // the limit of open calls
			var begun [floods]atomic.Int64
			gone := make(chan int, floods)
			look := func(next Handler) Handler {
				return func(call *Call) Answer {
					var flood, at int
					if k, _ := fmt.Sscanf(call.ID, "f%dx%d", &flood, &at); k < 2 {
						return next(call)
					}
					begun[flood].Add(1)
					<-call.Done()
					a := next(call) // the client has gone: nothing may be sent
					gone <- at
					return a
				}
			}
			s, n := startNode(t, Extras{First: []Stage{look}}, 1024, []string{"h1"})
			s.Run(begin("h1") + "a send GET /up\n a expect 200")
			conns := []*net.TCPConn{}
			for range floods {
				c, err := net.Dial("tcp", s.Address())
				require.NoError(t, err)
				defer c.Close()
				_, err = c.Write([]byte("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")) // shows that it is accepted
				require.NoError(t, err)
				_, err = c.Read(make([]byte, 1))
				require.NoError(t, err)
				conns = append(conns, c.(*net.TCPConn))
			}
			free := holdPoller(t, n)
			for i, c := range conns {
				_, err := c.Write([]byte("GET /up HTTP/1.1\r\nHost: x\r\n\r\n" + payments(fmt.Sprintf("f%dx", i), 40)))
				require.NoError(t, err)
				end(t, c)
			}
			free()
			require.Eventually(t, func() bool { return n.httpServer.Connections() == 1 && n.core.Unanswered() == 0 },
				time.Minute, time.Millisecond, "the floods have ended")
			for i := range floods {
				assert.LessOrEqual(t, begun[i].Load(), int64(1), "flood %d", i)
			}
			for len(gone) > 0 {
				assert.Zero(t, <-gone, "only the first request")
			}
			s.Run("a send POST /pay/1 id=mine deadline=900\n r expect POST /pay/1 id=mine\n r send 200 body=ok\n a expect 200 body=ok")
		})
	}
}

// Guards against further requests of a client being started after it has closed, while its first one is already in
// progress at a host.
func TestCloseBehindAnOpenRequest(t *testing.T) {
	s, n := startNode(t, Extras{}, 1024, []string{"h1"})
	s.Run(begin("h1") + "a send raw " + fmt.Sprintf("%q", payments("f", 20)) + "\n r expect POST /pay/f0")
	s.Run("a close\n r expect close")
	require.Eventually(t, func() bool { return n.core.Unanswered() == 0 && n.httpServer.Connections() == 0 }, time.Minute, time.Millisecond)
	s.Run("b send POST /pay/1 id=mine deadline=900\n s expect POST /pay/1 id=mine\n s send 200 body=ok\n b expect 200 body=ok")
}

// Guards against memory that grows with the data that clients send behind an open request, and against other
// clients having to wait for them.
func TestFloodsBehindRequestsAreBounded(t *testing.T) {
	const floods, each = 3, 24 << 20
	s := start(t, 1024, []string{"h1"})
	s.Run(begin("h1") + "a send GET /up\n a expect 200")
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	conns := []net.Conn{}
	for i := range floods {
		c, err := net.Dial("tcp", s.Address())
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte(payments(fmt.Sprint("f", i, "x"), 1)))
		require.NoError(t, err)
		conns = append(conns, c)
		s.Run(fmt.Sprintf("r%d expect POST /pay/f%dx0", i, i))
	}
	chunk := []byte(strings.Repeat(payments("g", 1), 1000))
	for _, c := range conns {
		for sent := 0; sent < each; sent += len(chunk) {
			_, err := c.Write(chunk)
			require.NoError(t, err)
		}
	}
	s.Run("a send POST /pay/1 id=mine deadline=900\n s expect POST /pay/1 id=mine\n s send 200 body=ok\n a expect 200 body=ok")
	assert.Less(t, int64(heap())-int64(before), int64(floods*(1<<20)), "of %d bytes sent", floods*each)
	for i := range floods {
		s.Run(fmt.Sprintf("r%d send 200 body=ok", i))
	}
	for _, c := range conns {
		have := make([]byte, 15)
		_, err := c.Read(have)
		require.NoError(t, err)
		assert.Equal(t, "HTTP/1.1 200 OK", string(have), "the first request is answered")
	}
}

// Guards against memory that grows with responses that a client never reads, and against other clients having to
// wait for it.
func TestUnreadAnswersAreBounded(t *testing.T) {
	s, n := startNode(t, Extras{}, 1024, []string{"h1"})
	s.Run(begin("h1") + "a send GET /up\n a expect 200")
	c, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	defer c.Close()
	chunk := []byte(strings.Repeat("GET /up HTTP/1.1\r\nHost: x\r\n\r\n", 4000))
	for err == nil { // until the node closes the connection
		_, err = c.Write(chunk)
	}
	require.Eventually(t, func() bool { return n.httpServer.Connections() == 1 }, time.Minute, time.Millisecond)
	s.Run("a send GET /up\n a expect 200")
}

// Guards against clients that write one byte at a time and occupy all connections: a client whose request is open
// does not wait for them, and a new one waits until the next sweep, not until they exceed their time limit. With
// 64 descriptors there is room for 18 clients, and 4 more.
func TestSlowWritersOnAllConnections(t *testing.T) {
	s, n := startNode(t, Extras{}, 64, []string{"h1"})
	s.Run(begin("h1") + "a send " + pay + "\n r expect POST /pay/1")
	conns := []net.Conn{}
	slow := func() {
		c, err := net.Dial("tcp", s.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = fmt.Fprintf(c, "POST /pay/1 HTTP/1.1\r\nHost: x\r\nReq-Id: s%d\r\nReq-Deadline-Ms: 900\r\n"+
			"Expect: 100-continue\r\nContent-Length: 60000\r\n\r\n", len(conns))
		require.NoError(t, err)
		b := make([]byte, 12)
		_, err = c.Read(b)
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 100", string(b), "the node has read the head")
		conns = append(conns, c)
	}
	for range 21 {
		slow()
	}
	require.Equal(t, 22, n.httpServer.Connections())
	s.Run("r send 200 body=ok\n a expect 200 body=ok\n a close")
	slow()
	late, err := net.Dial("tcp", s.Address()) // it waits to be accepted
	require.NoError(t, err)
	defer late.Close()
	_, err = late.Write([]byte("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	require.Eventually(t, n.loop.Full, time.Minute, time.Millisecond)
	pulse, err := n.loop.Pulse()
	require.NoError(t, err)
	pulse.Beat(t.Context()) // the poller is done with the last of them
	s.Clock.Advance(100)    // the next sweep
	require.NoError(t, late.SetReadDeadline(time.Now().Add(time.Minute)))
	line := make([]byte, 15)
	_, err = io.ReadFull(late, line)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200 OK", string(line))
}
