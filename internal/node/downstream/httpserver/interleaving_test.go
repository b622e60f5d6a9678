package httpserver

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/bodypipe"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/drain"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
	"linenwheel.dev/linenwheel/internal/node/shutdown"
	"linenwheel.dev/linenwheel/internal/node/shutdown/driver"
)

// blockingLog is a log handler that blocks on each record about a client.
type blockingLog struct {
	slog.Handler
	blocked chan string // receives the client's address
	free    chan struct{}
}

func (w blockingLog) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "client" {
			w.blocked <- a.Value.String()
			<-w.free
		}
		return true
	})
	return nil
}

// bench is a server on a socket that responds to /up and has no node behind it.
type bench struct {
	*Server
	t     *testing.T
	clock *clock.Manual
	loop  *netpoll.Loop
	conns chan *conn // the accepted connections
}

var limits = Limits{Idle: 2000, Read: 2500, First: 2800, Rate: 32, Stall: 600_000, Linger: 600_000, Settle: 25, Pipeline: 32 << 10,
	Backlog: 256 << 10}

func newBench(t *testing.T, connections int, log slog.Handler) *bench {
	b := &bench{t: t, clock: clock.NewManual(1e6), conns: make(chan *conn, 64)}
	to := core.New(core.Settings{}, nil, nil, slog.New(log)) // gets no call to serve
	b.Server = New(Settings{Connections: connections, Crowded: 1000, Limits: limits, ClassIndex: map[string]int{"pay": 0},
		Classes: []Class{{Method: "POST"}}}, b.clock, to, driver.New(nil, drain.Times{}, b.clock), slog.New(log))
	b.SetReady()
	var err error
	b.loop, err = netpoll.Listen("127.0.0.1:0", 64, func(n *netpoll.Conn) netpoll.Handler {
		h := b.Accept(n)
		b.conns <- h.(*conn)
		return h
	})
	require.NoError(t, err)
	t.Cleanup(b.loop.Stop)
	return b
}

// client connects and returns both ends of the connection.
func (b *bench) client() (net.Conn, *conn) {
	raw, err := net.Dial("tcp", b.loop.Addr())
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = raw.Close() })
	return raw, <-b.conns
}

// send sends text and waits until the server has read it.
func (b *bench) send(raw net.Conn, c *conn, text string) {
	_, err := io.WriteString(raw, text)
	require.NoError(b.t, err)
	tail := text[strings.LastIndexByte(text, '\n')+1:]
	b.waitFor(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.net.IsDrained() && (tail != "" && c.parser.Buffered() >= len(tail) || tail == "" && c.parser.Idle() || c.parser.Came() > 0)
	})
}

func (b *bench) waitFor(condition func() bool) {
	b.t.Helper()
	require.Eventually(b.t, condition, time.Minute, time.Millisecond)
}

// readAll reads to the end of a connection.
func (b *bench) readAll(raw net.Conn) string {
	require.NoError(b.t, raw.SetReadDeadline(time.Now().Add(time.Minute)))
	text, err := io.ReadAll(raw)
	require.NoError(b.t, err)
	return string(text)
}

// requireUp checks that the server still serves a connection.
func (b *bench) requireUp(raw net.Conn) {
	_, err := io.WriteString(raw, upRequest)
	require.NoError(b.t, err)
	require.NoError(b.t, raw.SetReadDeadline(time.Now().Add(time.Minute)))
	have := make([]byte, 15)
	_, err = io.ReadFull(raw, have)
	require.NoError(b.t, err)
	require.Equal(b.t, "HTTP/1.1 200 OK", string(have))
}

const upRequest = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"

// Guards against rejecting a request as late although it has only just begun: the late request on the same
// connection was completed between the check of all connections and the end of this one.
func TestSweepChecksAgainBeforeItEndsARequest(t *testing.T) {
	w := blockingLog{slog.DiscardHandler, make(chan string), make(chan struct{})}
	w.Handler = slog.NewTextHandler(io.Discard, nil)
	b := newBench(t, 9, w)
	raw, ends := map[string]net.Conn{}, map[string]*conn{}
	for range 2 {
		r, c := b.client()
		b.send(r, c, "GET /up HTTP/1.1\r\nHost")
		raw[r.LocalAddr().String()], ends[r.LocalAddr().String()] = r, c
	}
	b.clock.Advance(2500)
	swept := make(chan struct{})
	go func() { b.Sweep(); close(swept) }()
	first := <-w.blocked // either of them
	for name, r := range raw {
		if name != first { // the other one's request is completed, and half of the next one follows
			_, err := io.WriteString(r, ": x\r\n\r\nGET /up HT")
			require.NoError(t, err)
			_, err = io.ReadFull(r, make([]byte, 15))
			require.NoError(t, err)
			b.waitFor(func() bool {
				b.mu.Lock()
				defer b.mu.Unlock()
				return ends[name].state == stateReading && ends[name].since == b.clock.Now()
			})
		}
	}
	go func() {
		for range w.blocked { // a second warning would be the fault; it must not block the sweep
		}
	}()
	close(w.free)
	<-swept
	for name, c := range ends {
		c.mu.Lock()
		assert.Equal(t, name == first, c.ended)
		c.mu.Unlock()
	}
}

// Guards against a client that keeps its connection for ever by sending an empty line in two parts: no request has
// begun, so that none is late.
func TestEmptyLinesDoNotBeginARequest(t *testing.T) {
	for _, requested := range []bool{false, true} {
		b := newBench(t, 9, slog.DiscardHandler)
		raw, c := b.client()
		if requested {
			b.requireUp(raw)
			b.waitFor(func() bool { return b.stateOf(c) == stateIdle })
		}
		b.clock.Advance(1999)
		b.send(raw, c, "\r")
		b.waitFor(func() bool { return b.stateOf(c) == stateReading })
		_, err := io.WriteString(raw, "\n")
		require.NoError(t, err)
		b.waitFor(func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.parser.Idle() && c.net.IsDrained()
		})
		b.clock.Advance(1)
		b.Sweep()
		c.mu.Lock()
		assert.True(t, c.ended, "it has been idle for the limit")
		c.mu.Unlock()
	}
}

func (b *bench) stateOf(c *conn) state {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.state
}

// Guards against a new client that waits because others send slowly, against evicting another connection than the
// one furthest behind, and against evicting one without a response.
func TestSlowSendersAreEvicted(t *testing.T) {
	b := newBench(t, 4, slog.DiscardHandler)
	slow, c := b.client()
	b.send(slow, c, "POST /pay/1 HTT")
	b.clock.Advance(500)
	slower, c2 := b.client()
	b.send(slower, c2, "POST /pay/2 HTT")
	b.clock.Advance(700)
	// Its body arrives at the accepted rate.
	steady, c3 := b.client()
	b.send(steady, c3, "POST /pay/3 HTTP/1.1\r\nHost: x\r\nReq-Id: q\r\nReq-Deadline-Ms: 900\r\nContent-Length: 64000\r\n\r\nx")
	b.clock.Advance(100)
	_, err := steady.Write(make([]byte, 6400))
	require.NoError(t, err)
	b.waitFor(func() bool {
		c3.mu.Lock()
		defer c3.mu.Unlock()
		return c3.parser.Came() > 6400
	})
	idle, c4 := b.client()
	b.requireUp(idle)
	b.waitFor(c4.net.IsDrained) // the poller has finished with it
	newest := func() net.Conn {
		b.waitFor(func() bool { return b.Connections() <= 4 }) // the previous eviction is complete
		r, c := b.client()
		b.send(r, c, "GET /u")
		return r
	}
	first := newest()
	assert.NotContains(t, b.readAll(idle), "HTTP", "a connection without a request is evicted first")
	second := newest()
	b.waitFor(func() bool { return b.stateOf(c) == stateClosing })
	_, err = io.WriteString(slow, "P/1.1\r\n") // it has not read its response yet, which must not be lost by this
	require.NoError(t, err)
	assert.Regexp(t, "^HTTP/1.1 503 (?s:.*)Connection: close\r\n", b.readAll(slow))
	require.NoError(t, slow.Close())
	third := newest()
	assert.Regexp(t, "^HTTP/1.1 503 ", b.readAll(slower))
	require.NoError(t, slower.Close())
	b.waitFor(func() bool { return b.Connections() == 4 })
	fourth, c7 := b.client()
	assert.True(t, c7.once, "no connection is left whose request is late")
	for _, r := range []net.Conn{first, second, third} {
		_, err := io.WriteString(r, strings.TrimPrefix(upRequest, "GET /u"))
		require.NoError(t, err)
		_, err = io.ReadFull(r, make([]byte, 15))
		require.NoError(t, err)
	}
	b.requireUp(fourth)
	c3.mu.Lock()
	assert.False(t, c3.ended, "its body arrives at the accepted rate")
	c3.mu.Unlock()
}

// Guards against a last response that is aborted by a later answer: the rest of a request could not be parsed
// while its answer was being passed to the server.
func TestLateAnswerDoesNotAbortTheLastResponse(t *testing.T) {
	b := newBench(t, 9, slog.DiscardHandler)
	raw, c := b.client()
	before := make([]byte, 6<<20) // responses that the client has not read yet
	require.NoError(t, c.net.Write(before))
	_, err := io.WriteString(raw, "GET /up HTTP/x\r\n\r\n")
	require.NoError(t, err)
	b.waitFor(func() bool { return b.stateOf(c) == stateClosing })
	dropped := false
	rest := bodypipe.New(bodypipe.NewBudget(1<<20), func(bool) {}, func() { dropped = true })
	c.mu.Lock()
	c.stream(&http1.Message{}, &core.Call{}, &http1.Message{Status: 200, Rest: rest})
	c.mu.Unlock()
	assert.True(t, dropped)
	have := b.readAll(raw)
	require.Greater(t, len(have), len(before))
	assert.Regexp(t, "^HTTP/1.1 400 (?s:.*)Connection: close\r\n", have[len(before):])
}

// hookClock calls hook before it returns the time.
type hookClock struct {
	clock.Clock
	hook func()
}

func (c hookClock) Now() float64 {
	c.hook()
	return c.Clock.Now()
}

// closeIdle stops the gate, advances to the phase in which idle connections are closed, and waits until they are.
func (b *bench) closeIdle() {
	swept := make(chan struct{})
	b.gate.SetHooks(driver.Hooks{Announce: func() {}, StopAccepting: func() {}, Finish: func() {}, CloseIdle: func() { b.Sweep(); close(swept) }})
	b.gate.Stop(shutdown.Times{AcceptFor: 10, KillAfter: 1000, FinishBeforeKill: 500, End: 100})
	b.clock.Advance(10)
	<-swept
}

// Guards against a connection that stays open while the node stops: the idle connections are closed after it was
// decided that the response does not close its connection, and before the connection is idle.
func TestResponseWhileIdleConnectionsAreClosed(t *testing.T) {
	b := newBench(t, 9, slog.DiscardHandler)
	raw, c := b.client()
	closed := false
	b.Server.clock = hookClock{b.clock, func() {
		if closed || !b.mu.TryLock() {
			return
		}
		busy := c.state == stateBusy
		b.mu.Unlock()
		if busy {
			closed = true
			b.closeIdle()
		}
	}}
	_, err := io.WriteString(raw, upRequest)
	require.NoError(t, err)
	response := b.readAll(raw)
	require.True(t, closed)
	require.Equal(t, 1, strings.Count(response, "HTTP/1.1 200 OK"), response)
	require.NotContains(t, response, "Connection: close", "the connection was to stay open when the response was written")
}

// Guards against a connection that stays open while the node stops because half an empty line had been received
// when the idle connections were closed.
func TestEmptyLineWhileIdleConnectionsAreClosed(t *testing.T) {
	b := newBench(t, 9, slog.DiscardHandler)
	raw, c := b.client()
	b.send(raw, c, "\r")
	b.waitFor(func() bool { return b.stateOf(c) == stateReading })
	b.closeIdle()
	_, err := io.WriteString(raw, "\n")
	require.NoError(t, err)
	require.Empty(t, b.readAll(raw))
}

// Guards against closing a connection although the head of the response has left it open: the client has read all
// of a streamed response and sent more than is buffered behind a request before the server has recorded that the
// response is written.
func TestRequestsBehindAStreamedResponse(t *testing.T) {
	const requests = 1500 // together longer than the buffer
	b := newBench(t, 9, slog.DiscardHandler)
	raw, c := b.client()
	b.set.Bodies.Budget = bodypipe.NewBudget(1 << 20)
	rest := bodypipe.New(b.set.Bodies.Budget, func(bool) {}, func() {})
	c.mu.Lock()
	c.busy = true
	c.setState(stateBusy)
	c.mu.Unlock()
	streamed := make(chan struct{})
	go func() {
		defer close(streamed)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.stream(&http1.Message{}, &core.Call{}, &http1.Message{Status: 200, Rest: rest, Length: 6})
	}()
	rest.Put([]byte("answer"))
	require.NoError(t, raw.SetDeadline(time.Now().Add(time.Minute)))
	in := bufio.NewReader(raw)
	first, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	defer func() { _ = first.Body.Close() }()
	_, err = io.ReadAll(first.Body)
	require.NoError(t, err)
	require.False(t, first.Close)
	_, err = io.WriteString(raw, strings.Repeat(upRequest, requests))
	require.NoError(t, err)
	b.waitFor(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.overflowed || c.parser.Buffered() > limits.Pipeline
	})
	rest.End(io.EOF)
	<-streamed
	for range requests {
		response, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
}
