package connpool_test

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/bodypipe"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
	"linenwheel.dev/linenwheel/internal/node/upstream/connpool"
	"linenwheel.dev/linenwheel/internal/node/upstream/httpbackend"
)

// bench is a pool between clients and a backend; its poller can be blocked.
type bench struct {
	t          *testing.T
	clock      *clock.Manual
	loop       *netpoll.Loop
	pool       *connpool.Pool
	backend    net.Listener
	front      string
	conns      chan *netpoll.Conn // the server side of client connections
	came, free chan struct{}      // data from a client is signalled on came and blocks the poller until free is closed
	dialling   func()             // called before a connection is opened
	protocol   connpool.Protocol
	asking     func() // called right before a request is written, if protocol is a hooked one
	sent       func() // called once the last byte of a request has been written
	budget     *bodypipe.Budget
}

func (b *bench) Data([]byte)  { b.came <- struct{}{}; <-b.free }
func (b *bench) Closed(error) {}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, clock: clock.NewManual(1000), conns: make(chan *netpoll.Conn, 8), came: make(chan struct{}, 8), free: make(chan struct{}),
		dialling: func() {}, asking: func() {}, sent: func() {}, protocol: httpbackend.Protocol{}, budget: bodypipe.NewBudget(1 << 20)}
	l, err := netpoll.Listen("127.0.0.1:0", 8, func(c *netpoll.Conn) netpoll.Handler { b.conns <- c; return b })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	b.front, b.loop = l.Addr(), l
	b.backend, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = b.backend.Close() })
	b.pool = connpool.New(connpool.Settings{Connections: 8, ConnectTimeout: 60_000, Settle: 5, Limits: connpool.Limits{Idle: 30_000}, Budget: b.budget, Sent: func() { b.sent() },
		Protocol: func(core.Host) connpool.Protocol { b.dialling(); return b.protocol }}, b.clock, l, slog.New(slog.DiscardHandler))
	return b
}

// client opens a client connection and returns both ends.
func (b *bench) client() (*net.TCPConn, *netpoll.Conn) {
	raw, err := net.Dial("tcp", b.front)
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = raw.Close() })
	return raw.(*net.TCPConn), <-b.conns
}

// blockPoller keeps the poller busy until free is closed.
func (b *bench) blockPoller() {
	c, _ := b.client()
	_, err := c.Write([]byte("x"))
	require.NoError(b.t, err)
	<-b.came
}

type result struct {
	outcome dispatch.Outcome
	body    string
}

// attempt starts an attempt of a new call and returns the call and a channel for the result.
func (b *bench) attempt(id string, client any) (*core.Call, chan result) {
	call := &core.Call{ID: id, Tenant: -1, Deadline: 1e9, Client: client,
		Payload: &http1.Message{Method: []byte("GET"), Target: []byte("/look/" + id)}}
	return call, b.runAttempt(call, make(chan struct{}))
}

// runAttempt starts an attempt of a call and returns a channel for its result. The attempt is cancelled when off is
// closed, and its deadline is 1e9 on the clock.
func (b *bench) runAttempt(call *core.Call, off chan struct{}) chan result {
	ended := make(chan result, 1)
	go func() {
		o, payload := b.pool.RunAttempt(core.Host{Name: "h", Address: b.backend.Addr().String()}, call, 1e9, off)
		r := result{outcome: o}
		if m, ok := payload.(*http1.Message); ok {
			r.body = string(m.Body)
		}
		ended <- r
	}()
	return ended
}

func (b *bench) accept() net.Conn {
	c, err := b.backend.Accept()
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = c.Close() })
	return c
}

// serve responds to the next request on a connection with the request's path.
func (b *bench) serve(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	require.NoError(b.t, err)
	_, err = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(r.URL.Path)) + "\r\n\r\n" + r.URL.Path))
	require.NoError(b.t, err)
}

// waitDelivered waits until everything sent on a connection has been acknowledged by the receiving side.
func (b *bench) waitDelivered(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(b.t, err)
	require.Eventually(b.t, func() (all bool) {
		_ = raw.Control(func(fd uintptr) {
			n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
			all = err == nil && n == 0
		})
		return all
	}, time.Minute, time.Millisecond)
}

// Guards against an attempt on a reused connection that has input which the poller has not read: a second response,
// which would be taken for that of the attempt, part of a line, or the end of the connection, after which the attempt
// would count as one that may have run.
func TestAttemptUsesNoConnectionWithUnreadInput(t *testing.T) {
	for name, addInput := range map[string]func(net.Conn) error{
		"a second response": func(c net.Conn) error {
			_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nanother"))
			return err
		},
		"part of a line": func(c net.Conn) error { _, err := c.Write([]byte("HTTP/1.1 2")); return err },
		"half-closed":    func(c net.Conn) error { return c.(*net.TCPConn).CloseWrite() },
		"closed":         func(c net.Conn) error { return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			_, ended := b.attempt("1", nil)
			c := b.accept()
			b.serve(c)
			require.Equal(t, result{dispatch.Served, "/look/1"}, <-ended)
			b.clock.Advance(10) // past Settle, so the connection can be reused
			b.blockPoller()
			require.NoError(t, addInput(c))
			if name != "closed" {
				b.waitDelivered(c)
			}
			_, ended = b.attempt("2", nil)
			b.serve(b.accept())
			close(b.free)
			assert.Equal(t, result{dispatch.Served, "/look/2"}, <-ended)
			if name != "closed" {
				text, err := io.ReadAll(c)
				if !errors.Is(err, unix.ECONNRESET) {
					require.NoError(t, err)
				}
				assert.Empty(t, text, "nothing was sent on it")
			}
		})
	}
}

// hooked is a protocol that calls bench.asking right before a request is written.
type hooked struct {
	connpool.Protocol
	b *bench
}

func (h hooked) Answers() connpool.Answers { return hookedAnswers{h.Protocol.Answers(), h.b} }

type hookedAnswers struct {
	connpool.Answers
	b *bench
}

func (h hookedAnswers) Expect(about any) {
	h.b.asking()
	h.Answers.Expect(about)
}

// dropInput makes the kernel drop everything received on a connection from now on, so that none of it is acknowledged.
func dropInput(t *testing.T, c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	drop := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET}}
	require.NoError(t, raw.Control(func(fd uintptr) {
		assert.NoError(t, unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &drop))
	}))
}

// Guards against a second response to one request being taken for the response to the next: it arrives after the last
// check of the connection and before the request is written, or after that and before the backend can have read it.
func TestSurplusResponseIsNotMatchedToNextRequest(t *testing.T) {
	for _, before := range []bool{true, false} {
		b := newBench(t)
		b.protocol = hooked{b.protocol, b}
		_, ended := b.attempt("1", nil)
		host := b.accept()
		b.serve(host)
		require.Equal(t, result{dispatch.Served, "/look/1"}, <-ended)
		probe, err := b.loop.NewProbe()
		require.NoError(t, err)
		probe.RoundTrip(t.Context()) // the poller has processed the response
		b.clock.Advance(10)
		respondAgain := func() {
			_, err := host.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nanother"))
			assert.NoError(t, err)
		}
		if before {
			b.asking = func() { respondAgain(); b.waitDelivered(host); dropInput(t, host) }
		} else {
			b.asking, b.sent = func() { dropInput(t, host) }, respondAgain
		}
		_, ended = b.attempt("2", nil)
		assert.Equal(t, result{dispatch.Reset, ""}, <-ended, "the attempt may have run")
		require.Eventually(t, func() bool { return len(b.pool.Uses()) == 0 }, time.Minute, time.Millisecond, "the connection is closed")
	}
}

// Guards against sending a backend a longer deadline than remains when the request is written, for example after a
// connection that took long to open.
func TestDeadlineIsRemainingTime(t *testing.T) {
	b := newBench(t)
	b.dialling = func() { b.clock.Advance(1000.5) }
	_, ended := b.attempt("1", nil)
	host := b.accept()
	r, err := http.ReadRequest(bufio.NewReader(host))
	require.NoError(t, err)
	assert.Equal(t, "999997999", r.Header.Get(http1.DeadlineField), "of 1e9 - 2000.5")
	require.NoError(t, host.Close())
	assert.Equal(t, dispatch.Reset, (<-ended).outcome)
}

// Guards against starting an attempt for a client whose disconnect the poller has not seen, on a new connection and on
// a reused one, also if the client's connection has unread requests; and against losing the connection to the backend.
func TestNothingIsSentForDisconnectedClient(t *testing.T) {
	for _, kept := range []bool{false, true} {
		for _, behind := range []string{"", "a further request"} {
			b := newBench(t)
			if kept {
				_, ended := b.attempt("1", nil)
				b.serve(b.accept())
				require.Equal(t, dispatch.Served, (<-ended).outcome)
				b.clock.Advance(10)
			}
			raw, client := b.client()
			b.blockPoller()
			_, err := raw.Write([]byte(behind))
			require.NoError(t, err)
			require.NoError(t, raw.CloseWrite())
			b.waitDelivered(raw)
			call, ended := b.attempt("2", client)
			assert.Equal(t, result{dispatch.NotSent, ""}, <-ended)
			assert.True(t, call.Cancelled())
			assert.Equal(t, map[string]connpool.Use{"h": {Open: 1, Idle: 1}}, b.pool.Uses())
			close(b.free)
		}
	}
}

// Guards against retrying a call with an idempotency key after the time in which backends drop duplicates: the first
// attempt breaks within that time, and the connection for the second is established after it.
func TestLateConnectionSendsNothingAfterKeyTTL(t *testing.T) {
	b := newBench(t)
	quiet := slog.New(slog.DiscardHandler)
	module, err := dispatch.New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"}, Limits: decide.Limits{MaxAttempts: 3},
		Classes: []decide.Class{{Name: "alert", Effect: decide.Keyed, Group: decide.GroupAll, KeyTTL: 300 * time.Millisecond, Target: time.Second,
			Deadline: 2 * time.Second, Value: 1}}}, 1, b.clock, quiet, nil)
	require.NoError(t, err)
	address := b.backend.Addr().String()
	module.SetHosts(dispatch.Full, []dispatch.Host{{Name: "h1", Address: address, Zone: "z", Kind: "k", Weight: 1},
		{Name: "h2", Address: address, Zone: "z", Kind: "k", Weight: 1}})
	call := &core.Call{ID: "q", Tenant: -1, Deadline: 3000, Payload: &http1.Message{Method: []byte("POST"), Target: []byte("/alert/q")}}
	dialled := 0
	b.dialling = func() {
		if dialled++; dialled == 2 {
			b.clock.Advance(300)
		}
	}
	answer := make(chan core.Answer, 1)
	go func() { answer <- core.New(core.Settings{MaxCalls: 1}, module, b.pool, quiet).Serve(call) }()
	first := b.accept()
	_, err = http.ReadRequest(bufio.NewReader(first))
	require.NoError(t, err)
	require.NoError(t, first.Close())
	second := b.accept()
	a := <-answer
	assert.Equal(t, core.Refused, a.Kind)
	assert.True(t, a.Ran)
	b.pool.Resize(0)
	text, err := io.ReadAll(second)
	require.NoError(t, err)
	assert.Empty(t, text)
}

// Guards against a call whose client disconnects while the connection to the backend is being opened counting as one
// that may have run: its ID and its share of the tenant's limit would stay in use.
func TestDisconnectBeforeFirstByteRunsNothing(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		b := newBench(t)
		quiet := slog.New(slog.DiscardHandler)
		module, err := dispatch.New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"}, Limits: decide.Limits{MaxAttempts: 1, Cancel: cancel},
			Classes: []decide.Class{{Name: "pay", Target: time.Second, Deadline: 2 * time.Second, Value: 1}}}, 1, b.clock, quiet, nil)
		require.NoError(t, err)
		module.SetHosts(dispatch.Full, []dispatch.Host{{Name: "h", Address: b.backend.Addr().String(), Zone: "z", Kind: "k", Weight: 1}})
		call := &core.Call{ID: "q", Tenant: -1, Deadline: 3000, Payload: &http1.Message{Method: []byte("POST"), Target: []byte("/pay/q")}}
		b.dialling = call.Cancel
		assert.Equal(t, core.Answer{Kind: core.ClientLeft}, core.New(core.Settings{MaxCalls: 1}, module, b.pool, quiet).Serve(call), cancel)
	}
}

// Guards against an attempt whose connection is established late being sent to a backend that the endpoint list has
// meanwhile marked as draining or removed, longer ago than the grace period, or to an address it no longer has.
func TestNothingIsSentToBackendDrainedMeanwhile(t *testing.T) {
	for name, c := range map[string]struct {
		change dispatch.Host
		after  float64
		sent   bool
	}{"draining": {dispatch.Host{Status: dispatch.Draining}, 501, false}, "removed": {dispatch.Host{Status: dispatch.Removed}, 501, false},
		"moved": {dispatch.Host{Address: "127.0.0.1:1"}, 501, false}, "within the grace period": {dispatch.Host{Status: dispatch.Draining}, 500, true}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			quiet := slog.New(slog.DiscardHandler)
			module, err := dispatch.New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"}, Limits: decide.Limits{MaxAttempts: 1},
				Rules:   decide.Rules{DrainGrace: 500 * time.Millisecond},
				Classes: []decide.Class{{Name: "pay", Target: time.Second, Deadline: 2 * time.Second, Value: 1}}}, 1, b.clock, quiet, nil)
			require.NoError(t, err)
			is := dispatch.Host{Name: "h", Address: b.backend.Addr().String(), Zone: "z", Kind: "k", Weight: 1}
			module.SetHosts(dispatch.Full, []dispatch.Host{is})
			b.dialling = func() {
				is.Status = c.change.Status
				is.Address = cmp.Or(c.change.Address, is.Address)
				module.SetHosts(dispatch.Delta, []dispatch.Host{is})
				b.clock.Advance(c.after)
			}
			call := &core.Call{ID: "q", Tenant: -1, Deadline: 3000, Payload: &http1.Message{Method: []byte("POST"), Target: []byte("/pay/q")}}
			answer := make(chan core.Answer, 1)
			go func() { answer <- core.New(core.Settings{MaxCalls: 1}, module, b.pool, quiet).Serve(call) }()
			host := b.accept()
			if c.sent {
				b.serve(host)
				require.Equal(t, core.Served, (<-answer).Kind)
				return
			}
			came := make(chan []byte, 1)
			go func() {
				text, _ := io.ReadAll(io.LimitReader(host, 1))
				_ = host.Close()
				came <- text
			}()
			a := <-answer
			assert.Equal(t, core.Refused, a.Kind)
			assert.False(t, a.Ran)
			b.pool.Resize(0)
			assert.Empty(t, <-came)
		})
	}
}
