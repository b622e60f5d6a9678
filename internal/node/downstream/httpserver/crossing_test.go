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

// warned is a log whose warnings wait.
type warned struct {
	slog.Handler
	came chan string // the client that one is about
	free chan struct{}
}

func (w warned) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "client" {
			w.came <- a.Value.String()
			<-w.free
		}
		return true
	})
	return nil
}

// bench is a front on a socket that answers /up and has no node behind it.
type bench struct {
	*Server
	t     *testing.T
	clock *clock.Manual
	loop  *netpoll.Loop
	came  chan *conn
}

var limits = Limits{Idle: 2000, Read: 2500, First: 2800, Rate: 32, Stall: 600_000, Linger: 600_000, Settle: 25, Pipeline: 32 << 10,
	Backlog: 256 << 10}

func newBench(t *testing.T, connections int, log slog.Handler) *bench {
	b := &bench{t: t, clock: clock.NewManual(1e6), came: make(chan *conn, 64)}
	to := core.New(core.Settings{}, nil, nil, slog.New(log)) // which nothing is given to serve
	b.Server = New(Settings{Connections: connections, Crowded: 1000, Limits: limits, ByName: map[string]int{"pay": 0},
		Classes: []Class{{Method: "POST"}}}, b.clock, to, driver.New(nil, drain.Times{}, b.clock), slog.New(log))
	b.Ready()
	var err error
	b.loop, err = netpoll.Listen("127.0.0.1:0", 64, func(n *netpoll.Conn) netpoll.Handler {
		h := b.Accept(n)
		b.came <- h.(*conn)
		return h
	})
	require.NoError(t, err)
	t.Cleanup(b.loop.Stop)
	return b
}

// client connects; both ends are given.
func (b *bench) client() (net.Conn, *conn) {
	raw, err := net.Dial("tcp", b.loop.Addr())
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = raw.Close() })
	return raw, <-b.came
}

// say sends text and waits until the front has it.
func (b *bench) say(raw net.Conn, c *conn, text string) {
	_, err := io.WriteString(raw, text)
	require.NoError(b.t, err)
	tail := text[strings.LastIndexByte(text, '\n')+1:]
	b.until(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.net.IsDrained() && (tail != "" && c.parser.Buffered() >= len(tail) || tail == "" && c.parser.Idle() || c.parser.Came() > 0)
	})
}

func (b *bench) until(what func() bool) {
	b.t.Helper()
	require.Eventually(b.t, what, time.Minute, time.Millisecond)
}

// heard reads to the end of a connection.
func (b *bench) heard(raw net.Conn) string {
	require.NoError(b.t, raw.SetReadDeadline(time.Now().Add(time.Minute)))
	text, err := io.ReadAll(raw)
	require.NoError(b.t, err)
	return string(text)
}

// up asks whether the front still serves a connection.
func (b *bench) up(raw net.Conn) {
	_, err := io.WriteString(raw, upRequest)
	require.NoError(b.t, err)
	require.NoError(b.t, raw.SetReadDeadline(time.Now().Add(time.Minute)))
	have := make([]byte, 15)
	_, err = io.ReadFull(raw, have)
	require.NoError(b.t, err)
	require.Equal(b.t, "HTTP/1.1 200 OK", string(have))
}

const upRequest = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"

// Guards against a request that is ended as late though it has only just begun: the one that was late came whole between the look at
// all connections and the end of this one.
func TestSweepLooksAgain(t *testing.T) {
	w := warned{slog.DiscardHandler, make(chan string), make(chan struct{})}
	w.Handler = slog.NewTextHandler(io.Discard, nil)
	b := newBench(t, 9, w)
	raw, ends := map[string]net.Conn{}, map[string]*conn{}
	for range 2 {
		r, c := b.client()
		b.say(r, c, "GET /up HTTP/1.1\r\nHost")
		raw[r.LocalAddr().String()], ends[r.LocalAddr().String()] = r, c
	}
	b.clock.Advance(2500)
	swept := make(chan struct{})
	go func() { b.Sweep(); close(swept) }()
	first := <-w.came // which of them is the first is chance
	for name, r := range raw {
		if name != first { // the other one's comes whole, and half of the next one behind it
			_, err := io.WriteString(r, ": x\r\n\r\nGET /up HT")
			require.NoError(t, err)
			_, err = io.ReadFull(r, make([]byte, 15))
			require.NoError(t, err)
			b.until(func() bool {
				b.mu.Lock()
				defer b.mu.Unlock()
				return ends[name].state == reading && ends[name].since == b.clock.Now()
			})
		}
	}
	go func() {
		for range w.came { // a second warning is the fault
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

// Guards against a client that holds its connection for ever with an empty line which comes in two parts: no request has begun, and
// none is late.
func TestEmptyLinesAreNoRequest(t *testing.T) {
	for _, asked := range []bool{false, true} {
		b := newBench(t, 9, slog.DiscardHandler)
		raw, c := b.client()
		if asked {
			b.up(raw)
			b.until(func() bool { return b.stateOf(c) == idle })
		}
		b.clock.Advance(1999)
		b.say(raw, c, "\r")
		b.until(func() bool { return b.stateOf(c) == reading })
		_, err := io.WriteString(raw, "\n")
		require.NoError(t, err)
		b.until(func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.parser.Idle() && c.net.IsDrained()
		})
		b.clock.Advance(1)
		b.Sweep()
		c.mu.Lock()
		assert.True(t, c.ended, "it has rested for long enough")
		c.mu.Unlock()
	}
}

func (b *bench) stateOf(c *conn) state {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.state
}

// Guards against a new client that waits for those who write slowly, against another one made to go than the one furthest behind, and
// against one that goes without an answer.
func TestSlowWritersMakeRoom(t *testing.T) {
	b := newBench(t, 4, slog.DiscardHandler)
	slow, c := b.client()
	b.say(slow, c, "POST /pay/1 HTT")
	b.clock.Advance(500)
	slower, c2 := b.client()
	b.say(slower, c2, "POST /pay/2 HTT")
	b.clock.Advance(700)
	// Its body comes at the rate that is waited for.
	steady, c3 := b.client()
	b.say(steady, c3, "POST /pay/3 HTTP/1.1\r\nHost: x\r\nReq-Id: q\r\nReq-Deadline-Ms: 900\r\nContent-Length: 64000\r\n\r\nx")
	b.clock.Advance(100)
	_, err := steady.Write(make([]byte, 6400))
	require.NoError(t, err)
	b.until(func() bool {
		c3.mu.Lock()
		defer c3.mu.Unlock()
		return c3.parser.Came() > 6400
	})
	resting, c4 := b.client()
	b.up(resting)
	b.until(c4.net.IsDrained) // the poller has left it
	newest := func() net.Conn {
		b.until(func() bool { return b.Connections() <= 4 }) // the one before has made room
		r, c := b.client()
		b.say(r, c, "GET /u")
		return r
	}
	first := newest()
	assert.NotContains(t, b.heard(resting), "HTTP", "one without a request goes first")
	second := newest()
	b.until(func() bool { return b.stateOf(c) == leaving })
	_, err = io.WriteString(slow, "P/1.1\r\n") // it has not read its answer yet, and loses nothing by this
	require.NoError(t, err)
	assert.Regexp(t, "^HTTP/1.1 503 (?s:.*)Connection: close\r\n", b.heard(slow))
	require.NoError(t, slow.Close())
	third := newest()
	assert.Regexp(t, "^HTTP/1.1 503 ", b.heard(slower))
	require.NoError(t, slower.Close())
	b.until(func() bool { return b.Connections() == 4 })
	fourth, c7 := b.client()
	assert.True(t, c7.once, "nobody is left who is behind")
	for _, r := range []net.Conn{first, second, third} {
		_, err := io.WriteString(r, strings.TrimPrefix(upRequest, "GET /u"))
		require.NoError(t, err)
		_, err = io.ReadFull(r, make([]byte, 15))
		require.NoError(t, err)
	}
	b.up(fourth)
	c3.mu.Lock()
	assert.False(t, c3.ended, "it keeps its pace")
	c3.mu.Unlock()
}

// Guards against a last answer that is broken off by another one: the rest of a request could not be read while its answer was on its
// way to the front.
func TestLateAnswerLeavesTheLastOneAlone(t *testing.T) {
	b := newBench(t, 9, slog.DiscardHandler)
	raw, c := b.client()
	before := make([]byte, 6<<20) // answers that it has not read yet
	require.NoError(t, c.net.Write(before))
	_, err := io.WriteString(raw, "GET /up HTTP/x\r\n\r\n")
	require.NoError(t, err)
	b.until(func() bool { return b.stateOf(c) == leaving })
	dropped := false
	rest := bodypipe.New(bodypipe.NewBudget(1<<20), func(bool) {}, func() { dropped = true })
	c.mu.Lock()
	c.flow(&http1.Message{}, &core.Call{}, &http1.Message{Status: 200, Rest: rest})
	c.mu.Unlock()
	assert.True(t, dropped)
	have := b.heard(raw)
	require.Greater(t, len(have), len(before))
	assert.Regexp(t, "^HTTP/1.1 400 (?s:.*)Connection: close\r\n", have[len(before):])
}

// crossingClock runs cross before it tells the time.
type crossingClock struct {
	clock.Clock
	cross func()
}

func (c crossingClock) Now() float64 {
	c.cross()
	return c.Clock.Now()
}

// beginLastCalls has the gate begin the last calls and waits until the connections that are idle have been ended.
func (b *bench) beginLastCalls() {
	swept := make(chan struct{})
	b.gate.SetHooks(driver.Hooks{Announce: func() {}, StopAccepting: func() {}, Finish: func() {}, CloseIdle: func() { b.Sweep(); close(swept) }})
	b.gate.Stop(shutdown.Times{AcceptFor: 10, KillAfter: 1000, FinishBeforeKill: 500, End: 100})
	b.clock.Advance(10)
	<-swept
}

// Guards against a connection that outlives the last calls: they begin, and the idle connections are ended, after it was decided that
// the answer does not end its connection and before the connection is idle.
func TestAnswerWhileTheLastCallsBegin(t *testing.T) {
	b := newBench(t, 9, slog.DiscardHandler)
	raw, c := b.client()
	crossed := false
	b.Server.clock = crossingClock{b.clock, func() {
		if crossed || !b.mu.TryLock() {
			return
		}
		busy := c.state == busy
		b.mu.Unlock()
		if busy {
			crossed = true
			b.beginLastCalls()
		}
	}}
	_, err := io.WriteString(raw, upRequest)
	require.NoError(t, err)
	answer := b.heard(raw)
	require.True(t, crossed)
	require.Equal(t, 1, strings.Count(answer, "HTTP/1.1 200 OK"), answer)
	require.NotContains(t, answer, "Connection: close", "it was to stay open when the answer was written")
}

// Guards against a connection that outlives the last calls because half an empty line had come when they began.
func TestEmptyLineWhileTheLastCallsBegin(t *testing.T) {
	b := newBench(t, 9, slog.DiscardHandler)
	raw, c := b.client()
	b.say(raw, c, "\r")
	b.until(func() bool { return b.stateOf(c) == reading })
	b.beginLastCalls()
	_, err := io.WriteString(raw, "\n")
	require.NoError(t, err)
	require.Empty(t, b.heard(raw))
}

// Guards against a connection that ends though the answer before has said that it stays: the client has read all of an answer that flows
// and sent more than is kept behind a request before the front has noted that the answer is written.
func TestRequestsBehindAnAnswerThatHasFlowed(t *testing.T) {
	const requests = 1500 // together longer than what is kept
	b := newBench(t, 9, slog.DiscardHandler)
	raw, c := b.client()
	b.set.Bodies.Budget = bodypipe.NewBudget(1 << 20)
	rest := bodypipe.New(b.set.Bodies.Budget, func(bool) {}, func() {})
	c.mu.Lock()
	c.busy = true
	c.enter(busy)
	c.mu.Unlock()
	flowed := make(chan struct{})
	go func() {
		defer close(flowed)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.flow(&http1.Message{}, &core.Call{}, &http1.Message{Status: 200, Rest: rest, Length: 6})
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
	b.until(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.overflowed || c.parser.Buffered() > limits.Pipeline
	})
	rest.End(io.EOF)
	<-flowed
	for range requests {
		answer, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.StatusCode)
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
	}
}
