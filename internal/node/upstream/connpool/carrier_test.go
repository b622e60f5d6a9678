package connpool

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
)

// Guards against a host put away because a request's time, or the node's room, ran out before anything was sent.
func TestBlameForNoConnection(t *testing.T) {
	c := clock.NewManual(1000)
	p := New(Settings{}, c, nil, slog.New(slog.DiscardHandler))
	slow := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	open, closed := make(chan struct{}), make(chan struct{})
	close(closed)
	assert.Equal(t, dispatch.ConnectFailed, p.unsentOutcome(errors.New("refused"), 1000, open))
	assert.Equal(t, dispatch.ConnectFailed, p.unsentOutcome(slow, 2000, open), "it had its full time")
	assert.Equal(t, dispatch.NotSent, p.unsentOutcome(slow, 1000, open))
	assert.Equal(t, dispatch.NotSent, p.unsentOutcome(context.Canceled, 2000, closed), "it has not run")
	o, _ := p.RunAttempt(core.Host{Name: "h", Address: "127.0.0.1:1"}, &core.Call{}, 2000, open)
	assert.Equal(t, dispatch.NotSent, o, "no connection is allowed at all")
}

// Guards against requests given to connections that are dead after a time shorter than the settings name, against
// blame for what breaks at any age alike, and against a lesson that is never forgotten.
func TestWear(t *testing.T) {
	set := &Wear{Memory: 20000, Quick: 10, Least: 4, Deviations: 4, Hold: 30000, Usual: 0.05}
	w, now, chance := newWear(5), 0.0, rand.New(rand.NewPCG(1, 2))
	play := func(rounds int, dead bool) {
		for range rounds {
			for _, idle := range []float64{7, 30, 150, 600} {
				if now += 20; !w.fit(idle) {
					continue
				}
				w.note(now, set, w.band(idle), chance.IntN(20) == 0 || dead && idle > 100 && chance.IntN(3) == 0)
			}
		}
	}
	play(200, false)
	assert.True(t, w.fit(10000), "one in twenty breaks at any age")
	play(200, true)
	assert.True(t, w.fit(60))
	assert.False(t, w.fit(150))
	assert.False(t, w.fit(10000), "a longer time is no better")
	now += 4 * set.Memory
	play(50, false)
	assert.True(t, w.fit(10000))
}

// served answers each relay at once.
type served struct{}

func (served) RunAttempt(core.Host, *core.Call, float64, <-chan struct{}) (dispatch.Outcome, any) {
	return dispatch.Served, nil
}

// speechless is a protocol in which nothing may be said.
type speechless struct{ t *testing.T }

func (s speechless) Request([]byte, core.Host, *core.Call, int) ([]byte, any, error) {
	s.t.Error("a request goes out that must not")
	return nil, nil, errors.New("nothing may be said")
}
func (speechless) Answers() Answers { return nil }

// Guards against a second copy that goes out after the first was served, which a connection that took long would let happen,
// and against the connection being lost for it.
func TestNothingGoesOutAfterTheAnswer(t *testing.T) {
	c, quiet := clock.NewManual(1000), slog.New(slog.DiscardHandler)
	module, err := dispatch.New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"}, Limits: decide.Limits{MaxAttempts: 1},
		Classes: []decide.Class{{Name: "pay", Target: 600e6, Deadline: 2e9}}}, 1, c, quiet, nil)
	require.NoError(t, err)
	p, h := silent(t, c)
	module.SetHosts(dispatch.Full, []dispatch.Host{{Name: "h", Address: h.Address, Zone: "z", Kind: "k", Weight: 1}})
	call := &core.Call{ID: "q", Tenant: -1, Deadline: 1900}
	owed, _ := call.MaySend(h)
	require.True(t, owed)
	require.Equal(t, core.Served, core.New(core.Settings{MaxCalls: 1}, module, served{}, quiet).Serve(call).Kind)
	owed, permitted := call.MaySend(h)
	require.False(t, owed)
	require.True(t, permitted)
	o, _ := p.RunAttempt(h, call, 2000, make(chan struct{}))
	assert.Equal(t, dispatch.NotSent, o)
	assert.Equal(t, map[string]Use{"h": {1, 1}}, p.Uses())
}

// silent makes a pool that must say nothing to a host.
func silent(t *testing.T, c clock.Clock) (*Pool, core.Host) {
	l, err := netpoll.Listen("127.0.0.1:0", 1, func(*netpoll.Conn) netpoll.Handler { return nil })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	host, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = host.Close() })
	p := New(Settings{Connections: 1, ConnectTimeout: 5000, Limits: Limits{Idle: 30000}, Protocol: func(core.Host) Protocol { return speechless{t} }}, c, l,
		slog.New(slog.DiscardHandler))
	return p, core.Host{Name: "h", Address: host.Addr().String()}
}

// Guards against the first byte of a call whose name is not this node's any more, on a connection that has just come up and on one that
// was open, and against the connection being lost for it.
func TestNothingGoesOutOnceTheClaimIsOver(t *testing.T) {
	p, h := silent(t, clock.NewManual(1000))
	for range 2 {
		o, _ := p.RunAttempt(h, &core.Call{ID: "q", Tenant: -1, Deadline: 1900, MayRun: func() bool { return false }}, 2000, make(chan struct{}))
		assert.Equal(t, dispatch.NotSent, o)
		assert.Equal(t, map[string]Use{"h": {1, 1}}, p.Uses())
	}
}

// Guards against a node that takes more than its part of a host's connections, or blames that host for it.
func TestPartOfAHostsConnections(t *testing.T) {
	h, part := core.Host{Name: "h", Address: "127.0.0.1:1"}, 2
	p := New(Settings{Connections: 9, ToOne: func() int { return part }}, clock.NewManual(1000), nil, slog.New(slog.DiscardHandler))
	taken := []*conn{{pool: p, host: h}, {pool: p, host: h}}
	p.open, p.to[h] = 2, 2
	o, _ := p.RunAttempt(h, &core.Call{}, 2000, make(chan struct{}))
	assert.Equal(t, dispatch.NotSent, o)
	assert.Equal(t, map[string]Use{"h": {2, 0}}, p.Uses())
	for _, c := range taken {
		c.release()
		c.release()
	}
	assert.Empty(t, p.to)
	assert.Zero(t, p.open)
}

// crossing is a clock that does something when it is asked.
type crossing struct {
	*clock.Manual
	do func()
}

func (c crossing) Now() float64 { c.do(); return c.Manual.Now() }

// Guards against a connection that ends in the moment in which it is put back: it would stand among the idle ones for good, and count as
// one that can make room for another.
func TestConnectionThatEndsAsItIsPutBack(t *testing.T) {
	c := crossing{clock.NewManual(1000), func() {}}
	p, h := silent(t, nil)
	p.clock = &c
	host, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.Address = host.Addr().String()
	done := make(chan result, 1)
	kept, err := p.get(h, 2000, done, nil)
	require.NoError(t, err)
	kept.unassign()
	peer, err := host.Accept()
	require.NoError(t, err)
	c.do = func() {
		require.NoError(t, peer.Close())
		require.Eventually(t, func() bool { return p.Open() == 0 }, time.Minute, time.Millisecond)
	}
	p.put(kept, true)
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Empty(t, p.idle[h])
}
