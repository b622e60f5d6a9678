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

// listen starts a server that sends each connection that it accepts to accepted.
func listen(t *testing.T, c clock.Clock, gate *driver.Gate, log *slog.Logger, accepted chan *conn) (*Server, *netpoll.Loop) {
	t.Helper()
	server := New(Settings{Limiter: connlimit.Settings{Connections: 9, Crowded: 9, Limits: connlimit.Limits{Idle: 60_000, Read: 2500, First: 2800}},
		Messages: thrift.DefaultLimits, Open: 9, Pipeline: 9999, Backlog: 9999, Linger: 600_000, Stall: 600_000}, c, nil, gate, log)
	l, err := netpoll.Listen("127.0.0.1:0", 9, func(n *netpoll.Conn) netpoll.Handler {
		h := server.Accept(n)
		accepted <- h.(*conn)
		return h
	})
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	return server, l
}

// Guards against a call that is ended as late though it has only just begun: the one that was late came whole between the look at all
// connections and the end of this one.
func TestSweepLooksAgain(t *testing.T) {
	w := warned{slog.NewTextHandler(io.Discard, nil), make(chan string), make(chan struct{})}
	c, accepted := clock.NewManual(1e6), make(chan *conn, 1)
	server, l := listen(t, c, driver.New(nil, drain.Times{}, c), slog.New(w), accepted)
	// Nobody knows the method, so that it is answered at once.
	whole := thrift.Append(nil, thrift.Outgoing{Message: mapping.Compose("nothing", mapping.Info{ID: []byte("q"), Deadline: 900}, nil), Seq: 1})
	half := len(whole) / 2
	raw, ends := map[string]net.Conn{}, map[string]*conn{}
	reads := func(end *conn, since float64) {
		require.Eventually(t, func() bool {
			end.mu.Lock()
			defer end.mu.Unlock()
			return !end.reader.Idle() && end.came == since
		}, time.Minute, time.Millisecond)
	}
	for range 2 {
		r, err := net.Dial("tcp", l.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = r.Close() })
		end := <-accepted
		_, err = r.Write(whole[:half])
		require.NoError(t, err)
		reads(end, 1e6)
		raw[r.LocalAddr().String()], ends[r.LocalAddr().String()] = r, end
	}
	c.Advance(2500)
	swept := make(chan struct{})
	go func() { server.Sweep(); close(swept) }()
	first := <-w.came // which of them is the first is chance
	for name, r := range raw {
		if name != first { // the other one's comes whole, and half of the next one behind it
			_, err := r.Write(append(append([]byte(nil), whole[half:]...), whole[:half]...))
			require.NoError(t, err)
			_, err = io.ReadFull(r, make([]byte, 8))
			require.NoError(t, err)
			reads(ends[name], 1e6+2500)
		}
	}
	go func() {
		for range w.came { // a second warning is the fault
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

// Guards against a connection that outlives the last calls: they begin, and the idle connections are ended, after it was decided
// that the result does not end its connection and before the connection is idle.
func TestResultWhileTheLastCallsBegin(t *testing.T) {
	manual, accepted := clock.NewManual(1e6), make(chan *conn, 1)
	gate := driver.New(nil, drain.Times{}, manual)
	server, l := listen(t, manual, gate, slog.New(slog.DiscardHandler), accepted)
	raw, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	end := <-accepted
	swept := make(chan struct{})
	gate.SetHooks(driver.Hooks{Announce: func() {}, StopAccepting: func() {}, Finish: func() {}, CloseIdle: func() { server.Sweep(); close(swept) }})
	// Nobody knows the method, so that it is answered at once.
	_, err = raw.Write(thrift.Append(nil, thrift.Outgoing{Message: mapping.Compose("nothing", mapping.Info{ID: []byte("q"), Deadline: 900}, nil), Seq: 1}))
	require.NoError(t, err)
	require.NoError(t, raw.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = io.ReadFull(raw, make([]byte, 8))
	require.NoError(t, err)
	end.mu.Lock() // as when a further call has been answered, to which the policy of before the last calls was applied
	end.slot.Enter(connlimit.StateBusy, manual.Now())
	gate.Stop(shutdown.Times{AcceptFor: 10, KillAfter: 1000, FinishBeforeKill: 500, End: 100})
	manual.Advance(10)
	<-swept
	end.settle()
	end.mu.Unlock()
	_, err = io.ReadAll(raw)
	require.NoError(t, err, "the connection is ended behind the result")
}
