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

// Guards against blaming a backend because the request's deadline passed, or the node's connections were all in use,
// before anything was sent.
func TestOutcomeWithoutConnection(t *testing.T) {
	c := clock.NewManual(1000)
	p := New(Settings{}, c, nil, slog.New(slog.DiscardHandler))
	slow := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	open, closed := make(chan struct{}), make(chan struct{})
	close(closed)
	assert.Equal(t, dispatch.ConnectFailed, p.unsentOutcome(errors.New("refused"), 1000, open))
	assert.Equal(t, dispatch.ConnectFailed, p.unsentOutcome(slow, 2000, open), "the whole connect timeout was available")
	assert.Equal(t, dispatch.NotSent, p.unsentOutcome(slow, 1000, open))
	assert.Equal(t, dispatch.NotSent, p.unsentOutcome(context.Canceled, 2000, closed), "the attempt was cancelled before it was sent")
	o, _ := p.RunAttempt(core.Host{Name: "h", Address: "127.0.0.1:1"}, &core.Call{}, 2000, open)
	assert.Equal(t, dispatch.NotSent, o, "the pool allows no connections")
}

// Guards against reusing connections that are dead after an idle time shorter than the configured limit, against
// rejecting idle times because of breaks that are equally frequent at any idle time, and against a limit that is
// never raised again.
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
	assert.True(t, w.fit(10000), "one in twenty breaks at any idle time")
	play(200, true)
	assert.True(t, w.fit(60))
	assert.False(t, w.fit(150))
	assert.False(t, w.fit(10000), "longer idle times are rejected too")
	now += 4 * set.Memory
	play(50, false)
	assert.True(t, w.fit(10000))
}

// served is a transport whose attempts are all served at once.
type served struct{}

func (served) RunAttempt(core.Host, *core.Call, float64, <-chan struct{}) (dispatch.Outcome, any) {
	return dispatch.Served, nil
}

// noRequests is a protocol that fails the test if a request is encoded.
type noRequests struct{ t *testing.T }

func (s noRequests) Request([]byte, core.Host, *core.Call, int) ([]byte, any, error) {
	s.t.Error("unexpected request")
	return nil, nil, errors.New("no request is allowed")
}
func (noRequests) Answers() Answers { return nil }

// Guards against sending a second attempt after the first was served, which could happen if its connection took long
// to open, and against losing that connection.
func TestNothingIsSentAfterFinalResponse(t *testing.T) {
	c, quiet := clock.NewManual(1000), slog.New(slog.DiscardHandler)
	module, err := dispatch.New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"}, Limits: decide.Limits{MaxAttempts: 1},
		Classes: []decide.Class{{Name: "pay", Target: 600e6, Deadline: 2e9}}}, 1, c, quiet, nil)
	require.NoError(t, err)
	p, h := newPoolWithoutRequests(t, c)
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

// newPoolWithoutRequests returns a pool that must not send any request, and a backend for it.
func newPoolWithoutRequests(t *testing.T, c clock.Clock) (*Pool, core.Host) {
	l, err := netpoll.Listen("127.0.0.1:0", 1, func(*netpoll.Conn) netpoll.Handler { return nil })
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	host, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = host.Close() })
	p := New(Settings{Connections: 1, ConnectTimeout: 5000, Limits: Limits{Idle: 30000}, Protocol: func(core.Host) Protocol { return noRequests{t} }}, c, l,
		slog.New(slog.DiscardHandler))
	return p, core.Host{Name: "h", Address: host.Addr().String()}
}

// Guards against sending the first byte of a call whose ID this node no longer holds the claim for, on a new connection
// and on a reused one, and against losing that connection.
func TestNothingIsSentAfterClaimHasExpired(t *testing.T) {
	p, h := newPoolWithoutRequests(t, clock.NewManual(1000))
	for range 2 {
		o, _ := p.RunAttempt(h, &core.Call{ID: "q", Tenant: -1, Deadline: 1900, MayRun: func() bool { return false }}, 2000, make(chan struct{}))
		assert.Equal(t, dispatch.NotSent, o)
		assert.Equal(t, map[string]Use{"h": {1, 1}}, p.Uses())
	}
}

// Guards against a node that opens more than its share of a backend's connections, or blames the backend for that
// limit.
func TestShareOfBackendConnections(t *testing.T) {
	h, share := core.Host{Name: "h", Address: "127.0.0.1:1"}, 2
	p := New(Settings{Connections: 9, ToOne: func() int { return share }}, clock.NewManual(1000), nil, slog.New(slog.DiscardHandler))
	conns := []*conn{{pool: p, host: h}, {pool: p, host: h}}
	p.open, p.to[h] = 2, 2
	o, _ := p.RunAttempt(h, &core.Call{}, 2000, make(chan struct{}))
	assert.Equal(t, dispatch.NotSent, o)
	assert.Equal(t, map[string]Use{"h": {2, 0}}, p.Uses())
	for _, c := range conns {
		c.release()
		c.release()
	}
	assert.Empty(t, p.to)
	assert.Zero(t, p.open)
}

// hookedClock is a clock that calls do whenever it is read.
type hookedClock struct {
	*clock.Manual
	do func()
}

func (c hookedClock) Now() float64 { c.do(); return c.Manual.Now() }

// Guards against a connection that ends at the moment when it is returned to the idle pool: it would stay there for
// good, and count as one that can be evicted for a new connection.
func TestConnectionThatEndsWhileReturnedToPool(t *testing.T) {
	c := hookedClock{clock.NewManual(1000), func() {}}
	p, h := newPoolWithoutRequests(t, nil)
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
