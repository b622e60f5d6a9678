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

// stuck holds the node's poller until it is freed.
type stuck struct {
	held chan struct{}
	free chan struct{}
}

func (h stuck) Data([]byte)  { close(h.held); <-h.free }
func (h stuck) Closed(error) {}

// holdPoller has the poller stand still until what it gives is called: what comes meanwhile is all there when it looks.
func holdPoller(t *testing.T, n *Node) (free func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	h := stuck{make(chan struct{}), make(chan struct{})}
	_, err = n.loop.Dial(t.Context(), l.Addr().String(), 60000, func(*netpoll.Conn) netpoll.Handler { return h })
	require.NoError(t, err)
	c, err := l.Accept()
	require.NoError(t, err)
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	<-h.held
	return func() { close(h.free); _ = c.Close() }
}

// took waits until the other side's machine has all that was sent, the end included.
func took(t *testing.T, c *net.TCPConn) {
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	for has := false; !has; runtime.Gosched() {
		require.NoError(t, raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			has = err == nil && info.State == 5 // FIN_WAIT2
		}))
	}
}

// payments are whole requests, one after the other.
func payments(name string, n int) (text string) {
	for i := range n {
		text += fmt.Sprintf("POST /pay/%s%d HTTP/1.1\r\nHost: x\r\nReq-Id: %s%d\r\nReq-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n", name, i, name, i)
	}
	return text
}

// Guards against work for a client that has sent much at once and gone: of what comes together with its end only the first request
// can have been read before it, and no other one may be begun. The poller finds the requests and the end at once, each time.
func TestFloodAndGone(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *net.TCPConn){
		"end": func(t *testing.T, c *net.TCPConn) {
			require.NoError(t, c.CloseWrite())
			took(t, c)
		},
		"reset": func(t *testing.T, c *net.TCPConn) {
			require.NoError(t, c.SetLinger(0))
			require.NoError(t, c.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			const floods = 4 // as many calls may be open
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
					a := next(call) // the client has gone: nothing may go out
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
				_, err = c.Write([]byte("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")) // it is accepted
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
			require.Eventually(t, func() bool { return n.north.Connections() == 1 && n.core.Unanswered() == 0 },
				time.Minute, time.Millisecond, "the floods are over")
			for i := range floods {
				assert.LessOrEqual(t, begun[i].Load(), int64(1), "flood %d", i)
			}
			for len(gone) > 0 {
				assert.Zero(t, <-gone, "the first one alone")
			}
			s.Run("a send POST /pay/1 id=mine deadline=900\n r expect POST /pay/1 id=mine\n r send 200 body=ok\n a expect 200 body=ok")
		})
	}
}

// Guards against a client's further requests being begun after it has gone, where the first is out at a host already.
func TestGoneBehindARelay(t *testing.T) {
	s, n := startNode(t, Extras{}, 1024, []string{"h1"})
	s.Run(begin("h1") + "a send raw " + fmt.Sprintf("%q", payments("f", 20)) + "\n r expect POST /pay/f0")
	s.Run("a close\n r expect close")
	require.Eventually(t, func() bool { return n.core.Unanswered() == 0 && n.north.Connections() == 0 }, time.Minute, time.Millisecond)
	s.Run("b send POST /pay/1 id=mine deadline=900\n s expect POST /pay/1 id=mine\n s send 200 body=ok\n b expect 200 body=ok")
}

// Guards against memory that grows with what clients send behind an open request, and against others waiting for them.
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
		assert.Equal(t, "HTTP/1.1 200 OK", string(have), "what came first is answered")
	}
}

// Guards against memory that grows with answers that a client never reads, and against others waiting for it.
func TestUnreadAnswersAreBounded(t *testing.T) {
	s, n := startNode(t, Extras{}, 1024, []string{"h1"})
	s.Run(begin("h1") + "a send GET /up\n a expect 200")
	c, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	defer c.Close()
	chunk := []byte(strings.Repeat("GET /up HTTP/1.1\r\nHost: x\r\n\r\n", 4000))
	for err == nil { // until the node ends it
		_, err = c.Write(chunk)
	}
	require.Eventually(t, func() bool { return n.north.Connections() == 1 }, time.Minute, time.Millisecond)
	s.Run("a send GET /up\n a expect 200")
}

// Guards against clients that write a byte at a time and hold all the connections there are: one whose request is open does
// not wait for them, and a new one waits for the next look, not until those are overdue. With 64 descriptors there is room for 18
// clients, and 4 more.
func TestSlowWritersEverywhere(t *testing.T) {
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
	require.Equal(t, 22, n.north.Connections())
	s.Run("r send 200 body=ok\n a expect 200 body=ok\n a close")
	slow()
	late, err := net.Dial("tcp", s.Address()) // it waits to be accepted
	require.NoError(t, err)
	defer late.Close()
	_, err = late.Write([]byte("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	require.Eventually(t, n.loop.Full, time.Minute, time.Millisecond)
	pulse, err := n.loop.NewProbe()
	require.NoError(t, err)
	pulse.RoundTrip(t.Context()) // the poller has left the last of them
	s.Clock.Advance(100)         // the next look
	require.NoError(t, late.SetReadDeadline(time.Now().Add(time.Minute)))
	line := make([]byte, 15)
	_, err = io.ReadFull(late, line)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200 OK", string(line))
}
