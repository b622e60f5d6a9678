package thriftserver

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/codec/thrift"
	"linenwheel.dev/linenwheel/internal/codec/thrift/mapping"
	"linenwheel.dev/linenwheel/internal/node/downstream/connlimit"
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

// listen starts a server that sends each connection that it accepts to accepted.
func listen(t *testing.T, c clock.Clock, gate *driver.Gate, log *slog.Logger, accepted chan *conn) (*Server, *netpoll.Loop) {
	t.Helper()
	server := New(Settings{Limiter: connlimit.Settings{Connections: 9, Crowded: 9, Limits: connlimit.Limits{Idle: 60_000, Read: 2500, First: 2800}},
		Messages: thrift.DefaultLimits, MaxOpenCalls: 9, Pipeline: 9999, Backlog: 9999, Linger: 600_000, Stall: 600_000}, c, nil, gate, log)
	l, err := netpoll.Listen("127.0.0.1:0", 9, func(n *netpoll.Conn) netpoll.Handler {
		h := server.Accept(n)
		accepted <- h.(*conn)
		return h
	})
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	return server, l
}

// Guards against rejecting a call as late although it has only just begun: the late call on the same connection
// was completed between the check of all connections and the end of this one.
func TestSweepChecksAgainBeforeItEndsACall(t *testing.T) {
	w := blockingLog{slog.NewTextHandler(io.Discard, nil), make(chan string), make(chan struct{})}
	c, accepted := clock.NewManual(1e6), make(chan *conn, 1)
	server, l := listen(t, c, driver.New(nil, drain.Times{}, c), slog.New(w), accepted)
	// The method is unknown, so that the call is answered at once.
	complete := thrift.Append(nil, thrift.Outgoing{Message: mapping.Compose("nothing", mapping.Info{ID: []byte("q"), Deadline: 900}, nil), Seq: 1})
	half := len(complete) / 2
	raw, ends := map[string]net.Conn{}, map[string]*conn{}
	reads := func(end *conn, since float64) {
		require.Eventually(t, func() bool {
			end.mu.Lock()
			defer end.mu.Unlock()
			return !end.reader.Idle() && end.lastRead == since
		}, time.Minute, time.Millisecond)
	}
	for range 2 {
		r, err := net.Dial("tcp", l.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = r.Close() })
		end := <-accepted
		_, err = r.Write(complete[:half])
		require.NoError(t, err)
		reads(end, 1e6)
		raw[r.LocalAddr().String()], ends[r.LocalAddr().String()] = r, end
	}
	c.Advance(2500)
	swept := make(chan struct{})
	go func() { server.Sweep(); close(swept) }()
	first := <-w.blocked // either of them
	for name, r := range raw {
		if name != first { // the other one's call is completed, and half of the next one follows
			_, err := r.Write(append(append([]byte(nil), complete[half:]...), complete[:half]...))
			require.NoError(t, err)
			_, err = io.ReadFull(r, make([]byte, 8))
			require.NoError(t, err)
			reads(ends[name], 1e6+2500)
		}
	}
	go func() {
		for range w.blocked { // a second warning would be the fault; it must not block the sweep
		}
	}()
	close(w.free)
	<-swept
	for name, end := range ends {
		end.mu.Lock()
		assert.Equal(t, name == first, end.ended)
		end.mu.Unlock()
	}
}

// Guards against a connection that stays open while the node stops: the idle connections are closed after it was
// decided that the result does not close its connection, and before the connection is idle.
func TestResultWhileIdleConnectionsAreClosed(t *testing.T) {
	manual, accepted := clock.NewManual(1e6), make(chan *conn, 1)
	gate := driver.New(nil, drain.Times{}, manual)
	server, l := listen(t, manual, gate, slog.New(slog.DiscardHandler), accepted)
	raw, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	end := <-accepted
	swept := make(chan struct{})
	gate.SetHooks(driver.Hooks{Announce: func() {}, StopAccepting: func() {}, Finish: func() {}, CloseIdle: func() { server.Sweep(); close(swept) }})
	// The method is unknown, so that the call is answered at once.
	_, err = raw.Write(thrift.Append(nil, thrift.Outgoing{Message: mapping.Compose("nothing", mapping.Info{ID: []byte("q"), Deadline: 900}, nil), Seq: 1}))
	require.NoError(t, err)
	require.NoError(t, raw.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = io.ReadFull(raw, make([]byte, 8))
	require.NoError(t, err)
	end.mu.Lock() // as if a further call had been answered while the gate's policy still kept connections open
	end.slot.SetState(connlimit.StateBusy, manual.Now())
	gate.Stop(shutdown.Times{AcceptFor: 10, KillAfter: 1000, FinishBeforeKill: 500, End: 100})
	manual.Advance(10)
	<-swept
	end.updateState()
	end.mu.Unlock()
	_, err = io.ReadAll(raw)
	require.NoError(t, err, "the connection is closed after the result")
}
