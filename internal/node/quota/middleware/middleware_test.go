package middleware

import (
	"log/slog"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/quota"
)

// gatewayHeader is a payload whose gateway header has its text as the value.
type gatewayHeader string

func (h gatewayHeader) Path() []byte  { return nil }
func (h gatewayHeader) Query() []byte { return nil }
func (h gatewayHeader) Header(string) []byte {
	if h == "" {
		return nil
	}
	return []byte(h)
}
func (h gatewayHeader) Body() []byte { return nil }
func (h gatewayHeader) Size() int    { return 0 }

// tree returns a tree of ten requests per second: a share for the first tenant, half for the second, which has a
// gateway, and nothing for the default node.
func tree(t *testing.T, share float64) *quota.Tree {
	b, err := quota.New(quota.Settings{Root: quota.Amount{10}, Floor: 0.1, Priorities: 2, Burst: 1, LongWindow: 60, Reserved: 0,
		DebtDecay: 30, RepayTime: 10, RepayFraction: 0.25, MaxRetryAfter: 2, Nodes: []quota.Node{{Name: "morava", Share: share, NoBorrowing: true},
			{Name: "vltava", Share: 0.5, NoBorrowing: true}, {Name: "g1", Parent: "vltava", Share: 0.4, NoBorrowing: true},
			{Name: "none", NoBorrowing: true}}}, 1)
	require.NoError(t, err)
	return b
}

func newStage(t *testing.T, set Settings) (*Middleware, *clock.Manual) {
	set.Classes = []Class{{0, 3}, {1, 8}}
	set.Tenants, set.DefaultNode, set.Gateway = []string{"morava", "vltava"}, "none", "Gateway"
	set.Content = func(p any) core.Content { return p.(gatewayHeader) }
	c := clock.NewManual(1000)
	return New(set, tree(t, 0.5), c, slog.New(slog.DiscardHandler)), c
}

func serve(s *Middleware, tenant int, gateway string, a core.Answer) core.Answer {
	return s.Wrap(func(*core.Call) core.Answer { return a })(&core.Call{Tenant: tenant, Payload: gatewayHeader(gateway), Deadline: 1e6})
}

var served = core.Answer{Kind: core.Served}

// Guards against a call that is charged to the wrong tenant, is rejected without a time to retry after, or is
// charged although it certainly did not run, and against balances that are lost in a reload.
func TestCallsAreChargedToTheirTenant(t *testing.T) {
	s, c := newStage(t, Settings{})
	notRun, mayHaveRun := core.Refuse(core.Busy, "", 0), core.Answer{Kind: core.Failed, Ran: true}
	for range 20 {
		assert.Equal(t, notRun, serve(s, 0, "", notRun), "the charge is refunded")
	}
	for range 5 {
		assert.Equal(t, mayHaveRun, serve(s, 0, "g1", mayHaveRun), "the gateway of another tenant is ignored")
	}
	a := serve(s, 0, "", served)
	assert.Equal(t, core.Refused, a.Kind)
	assert.Equal(t, core.OverQuota, a.Fault)
	assert.Positive(t, a.Wait)
	for range 2 {
		assert.Equal(t, served, serve(s, 1, "g1", served))
	}
	assert.Equal(t, core.Refused, serve(s, 1, "g1", served).Kind, "limited to the gateway's own part")
	assert.Equal(t, served, serve(s, 1, "g2", served), "a gateway without a node is charged to its tenant's")
	assert.Equal(t, core.Refused, serve(s, -1, "", served).Kind, "unknown tenants have no guarantee")
	c.Advance(1000)
	s.Replace(tree(t, 0.2))
	assert.Equal(t, served, serve(s, 0, "", served))
	assert.Equal(t, served, serve(s, 0, "", served))
	assert.Equal(t, core.Refused, serve(s, 0, "", served).Kind)
	for _, n := range s.Status() {
		if n.Name == "morava" {
			assert.Equal(t, uint64(27), n.Guaranteed)
			assert.Equal(t, uint64(2), n.Rejected)
		}
	}
}

// Guards against waiting calls that are not served in the order of priority and value, or that wait beyond their
// deadline or after their client has disconnected, and against capacity that is lost with a disconnected client.
func TestWaitingCallsAreServedInOrder(t *testing.T) {
	s, c := newStage(t, Settings{MaxWait: 700, MaxWaiting: 3})
	for range 5 {
		serve(s, 0, "", served)
	}
	type outcome struct {
		class  int
		answer core.Answer
	}
	out := make(chan outcome, 4)
	calls := []*core.Call{}
	for i, class := range []int{0, 0, 1} {
		call := &core.Call{Tenant: 0, Class: class, Payload: gatewayHeader(""), Deadline: 1e6}
		calls = append(calls, call)
		go func() {
			out <- outcome{class, s.Wrap(func(*core.Call) core.Answer { return served })(call)}
		}()
		s.awaitQueued(i + 1)
	}
	assert.Equal(t, core.Refused, serve(s, 0, "", served).Kind, "the queue is full")
	calls[0].Cancel()
	assert.Equal(t, outcome{0, core.Answer{Kind: core.ClientLeft}}, <-out)
	s.awaitQueued(2)
	c.Advance(210)
	assert.Equal(t, outcome{1, served}, <-out, "the spending-cap block is served first")
	c.Advance(200)
	assert.Equal(t, outcome{0, served}, <-out)
	go func() {
		out <- outcome{0, s.Wrap(func(*core.Call) core.Answer { return served })(&core.Call{Tenant: -1, Payload: gatewayHeader(""), Deadline: 1e6})}
	}()
	s.awaitQueued(1)
	c.Advance(690)
	assert.Empty(t, out)
	c.Advance(20)
	assert.Equal(t, core.Refused, (<-out).answer.Kind)
}

// awaitQueued blocks until n calls are waiting.
func (s *Middleware) awaitQueued(n int) {
	for have := -1; have != n; runtime.Gosched() {
		s.mu.Lock()
		have = len(s.queue)
		s.mu.Unlock()
	}
}

// Guards against guarantees that do not shrink with the capacity.
func TestGuaranteesFollowTheCapacity(t *testing.T) {
	capacity := 0.5
	s, c := newStage(t, Settings{CapacityInterval: 100, Capacity: func() (float64, bool) { return capacity, true }})
	ended := make(chan struct{})
	s.WatchCapacity(ended)
	c.Advance(100)
	for range 5 {
		serve(s, 0, "", served)
	}
	c.Advance(500)
	assert.Equal(t, served, serve(s, 0, "", served))
	assert.Equal(t, core.Refused, serve(s, 0, "", served).Kind, "2.5 per second, not 5")
	close(ended)
	capacity = 1
	c.Advance(1000)
	assert.Equal(t, 0.5, s.tree.Capacity())
}

// BenchmarkStage measures a call through the middleware alone.
func BenchmarkStage(b *testing.B) {
	quotas, err := quota.New(quota.Settings{Root: quota.Amount{1e6}, Floor: 0.1, Priorities: 2, Burst: 1, LongWindow: 60, DebtDecay: 30,
		RepayTime: 10, RepayFraction: 0.25, MaxRetryAfter: 2, Nodes: []quota.Node{{Name: "morava", Share: 1}}}, 1)
	require.NoError(b, err)
	s := New(Settings{Classes: []Class{{0, 3}}, Tenants: []string{"morava"}, DefaultNode: "morava"}, quotas, clock.NewSystem(),
		slog.New(slog.DiscardHandler))
	next := s.Wrap(func(*core.Call) core.Answer { return served })
	call := &core.Call{}
	b.ReportAllocs()
	for b.Loop() {
		next(call)
	}
}
