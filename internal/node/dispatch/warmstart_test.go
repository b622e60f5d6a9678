package dispatch

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/clock"
	_ "linenwheel.dev/linenwheel/internal/rapidseed" // fixes the seed of random histories
)

// learnedSnapshot returns the snapshot and the clock of a node in a fleet where the host dead refuses connections
// and the others serve. The snapshot is taken after the node has received nothing for idle milliseconds.
func learnedSnapshot(t *testing.T, idle float64) (Snapshot, *clock.Manual) {
	d, c, _ := newTestDispatcher(t, fleet()...)
	for i := 0; i < 100 || !view(d)["dead"].Module.Ejected; i++ {
		serveOne(d, c, "dead")
	}
	c.Advance(idle)
	d.Tick()
	var m Snapshot
	text, err := json.Marshal(d.Snapshot().WarmStart())
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &m))
	return m, c
}

// serveOne serves one request, to which all hosts but dead respond, and returns the host of the first attempt.
func serveOne(d *Dispatcher, c *clock.Manual, dead string) (first string) {
	ticket := d.Open(Request{Tenant: -1, Deadline: c.Now() + 900})
	for action := ticket.Next(); action.Kind == Send; action = ticket.Next() {
		if first == "" {
			first = action.Host
		}
		c.Advance(map[bool]float64{true: 60, false: 15}[action.Host == "slow"])
		if action.Host == dead {
			ticket.Report(action.AttemptIndex, ConnectFailed, nil)
		} else {
			ticket.Report(action.AttemptIndex, Served, nil)
		}
	}
	c.Advance(5)
	d.Tick()
	return first
}

// newNode returns a node that starts later milliseconds after the other one, with an endpoint list.
func newNode(t *testing.T, c *clock.Manual, later float64, hosts ...Host) (*Dispatcher, *clock.Manual) {
	d, mine, _ := newTestDispatcher(t)
	mine.Advance(c.Now() - epoch + later)
	d.SetHosts(Full, withDefaults(hosts))
	return d, mine
}

func withDefaults(hosts []Host) []Host {
	for i := range hosts {
		hosts[i].Zone, hosts[i].Kind, hosts[i].Weight = "z", "k", 1
	}
	return hosts
}

func view(d *Dispatcher) map[string]HostView {
	m := map[string]HostView{}
	for _, h := range d.View().Hosts {
		m[h.Name] = h
	}
	return m
}

// fleet is an endpoint list: dead refuses connections, slow takes four times as long, cold has just started.
func fleet() []Host {
	return []Host{{Name: "dead", Address: "a:1"}, {Name: "well", Address: "a:2"}, {Name: "cold", Address: "a:3", Since: epoch - 1000},
		{Name: "slow", Address: "a:4"}}
}

// Guards against a new node that has to learn again what another one knows; against a host that never recovers
// because another node has reported it dead; and against evidence a minute old that still counts.
func TestWarmStartFromAnotherNode(t *testing.T) {
	m, c := learnedSnapshot(t, 0)
	drained, _ := learnedSnapshot(t, 60e3)
	for _, test := range []struct {
		name  string
		later float64
		away  bool
		apply func(*Dispatcher) error
	}{
		{"warm start", 0, true, func(d *Dispatcher) error { return d.ApplyWarmStart(m) }},
		{"restored", 0, true, func(d *Dispatcher) error { return d.Restore(m) }},
		{"warm start, a minute old", 60e3, false, func(d *Dispatcher) error { return d.ApplyWarmStart(m) }},
		{"warm start from a node that was drained a minute ago", 60e3, false, func(d *Dispatcher) error { return d.ApplyWarmStart(drained) }},
		{"restored, a minute old", 60e3, false, func(d *Dispatcher) error { return d.Restore(m) }},
	} {
		d, mine := newNode(t, c, test.later, fleet()...)
		require.NoError(t, test.apply(d), test.name)
		require.Equal(t, test.away, view(d)["dead"].Module.Ejected, test.name)
		if test.away {
			now := view(d)
			require.Zero(t, now["dead"].Module.Share, test.name)
			require.Less(t, now["slow"].Module.Share, now["well"].Module.Share/2, test.name)
		}
		attempts, started := 0, mine.Now()
		for mine.Now() < started+20e3 { // the host has recovered
			if serveOne(d, mine, "") == "dead" {
				if attempts++; attempts == 1 && !test.away {
					require.Less(t, mine.Now()-started, 1e3, test.name)
				}
			}
		}
		assert.Greater(t, attempts, 50, "%s: the recovery is detected and the host receives its share again", test.name)
	}
}

// Guards against evidence that overrides the endpoint list, about a host that drains, has restarted, is in slow
// start or has moved to another address; and against adopting state that is a node's own.
func TestWarmStartFollowsTheEndpointList(t *testing.T) {
	m, c := learnedSnapshot(t, 0)
	hosts := append(fleet(), Host{Name: "new", Address: "a:5"})
	hosts[1].Status = Draining
	d, mine := newNode(t, c, 100, hosts...)
	before := d.balancer.Snapshot(toDuration(mine.Now()))
	require.NoError(t, d.ApplyWarmStart(m))
	now := view(d)
	assert.True(t, now["dead"].Module.Ejected)
	assert.Zero(t, now["well"].Module.Share, "the host drains")
	after := d.balancer.Snapshot(toDuration(mine.Now()))
	assert.Equal(t, before.VirtualTime, after.VirtualTime)
	assert.Equal(t, before.SubsetFraction, after.SubsetFraction)
	assert.Equal(t, before.RetryTokens, after.RetryTokens)
	assert.Zero(t, after.SendRate)
	for i, b := range after.Backends {
		if b.ID == d.hostIDs["cold"] { // the slow-start limit is the node's own
			assert.Equal(t, before.Backends[i], b)
		}
	}
	for range 300 {
		assert.NotEqual(t, "well", serveOne(d, mine, ""))
	}

	restarted := fleet()
	restarted[0].Since = c.Now() - 30e3 // a process that the other node has not seen
	moved := fleet()
	moved[0].Address = "a:9"
	for _, list := range [][]Host{restarted, moved} {
		d, _ = newNode(t, c, 100, list...)
		require.NoError(t, d.ApplyWarmStart(m))
		assert.False(t, view(d)["dead"].Module.Ejected)
	}
}

// Guards against a snapshot that is invalid, or of another fleet, and changes the state nevertheless.
func TestWarmStartRejectsInvalidSnapshots(t *testing.T) {
	m, c := learnedSnapshot(t, 0)
	text, err := json.Marshal(m)
	require.NoError(t, err)
	rejected := 0
	bad := func(r require.TestingT, change func(*Snapshot)) error {
		var other Snapshot
		require.NoError(r, json.Unmarshal(text, &other))
		change(&other)
		d, mine, _ := newTestDispatcher(t)
		mine.Advance(c.Now() - epoch + 100)
		d.SetHosts(Full, withDefaults(fleet()))
		before := d.Snapshot()
		err := d.ApplyWarmStart(other)
		if err != nil {
			rejected++
			require.Equal(r, before, d.Snapshot())
		}
		return err
	}
	assert.NoError(t, bad(t, func(*Snapshot) {}))
	assert.ErrorIs(t, bad(t, func(o *Snapshot) {
		for i := range o.Hosts {
			o.Hosts[i].Address = "b" + o.Hosts[i].Address
		}
	}), ErrNoWarmStart)
	assert.ErrorIs(t, bad(t, func(o *Snapshot) { o.Module.Zones[0].LastResponse = 0 }), ErrNoWarmStart)
	assert.ErrorContains(t, bad(t, func(o *Snapshot) { o.Module.Zone = "y" }), "zone")
	assert.ErrorContains(t, bad(t, func(o *Snapshot) { o.Module.Version++ }), "version")
	rapid.Check(t, func(r *rapid.T) {
		_ = bad(r, func(o *Snapshot) {
			x := rapid.SampledFrom([]float64{-1, 1e300, 7}).Draw(r, "x")
			b := &o.Module.Backends[rapid.IntRange(0, 1).Draw(r, "host")]
			*rapid.SampledFrom([]*float64{&b.Slowdown, &b.LatencySum, &b.SampleCount, &b.Responses, &b.Share, &o.Module.Kinds[0].IdleLatency, &o.Module.Classes[0].Work,
				&o.Module.Responses}).Draw(r, "field") = x
		})
	})
	assert.Greater(t, rejected, 40)
}

// Guards against nodes that adopt the same snapshot and try a host at the same time; against shares adopted from a
// node that uses another subset; and against timestamps for which the decision module would reject the whole
// snapshot.
func TestBlendKeepsWhatIsTheNodesOwn(t *testing.T) {
	m, c := learnedSnapshot(t, 0)
	d, mine := newNode(t, c, 100, fleet()...)
	own := d.balancer.Snapshot(toDuration(mine.Now()))
	find := func(m *decide.Snapshot, name string) *decide.BackendSnapshot {
		i := slices.IndexFunc(m.Backends, func(b decide.BackendSnapshot) bool { return b.ID == d.hostIDs[name] })
		return &m.Backends[i]
	}
	find(&m.Module, "dead").EjectedUntil = m.Module.TakenAt + 10*time.Second
	tried := map[time.Duration]bool{}
	for seed := range uint64(20) {
		got := Blend(own, m.Module, 0, rand.New(rand.NewPCG(seed, 0)))
		until := find(&got, "dead").EjectedUntil
		assert.GreaterOrEqual(t, until, m.Module.TakenAt+4*time.Second)
		assert.LessOrEqual(t, until, m.Module.TakenAt+10*time.Second)
		tried[until] = true
	}
	assert.Len(t, tried, 20)

	random := rand.New(rand.NewPCG(1, 1))
	find(&own, "well").ReportedLatency, find(&own, "well").ReportedAt = 3, own.TakenAt
	whole := Blend(own, m.Module, 0, random)
	sum := 0.0
	for _, b := range whole.Backends {
		sum += b.Share
	}
	assert.InDelta(t, 1, sum, 1e-9)
	assert.Positive(t, find(&m.Module, "cold").SlowStartLimit)
	assert.Equal(t, -1.0, find(&whole, "cold").SlowStartLimit, "the host is warm by the rules of this node")
	assert.Equal(t, 3.0, find(&whole, "well").ReportedLatency, "the value came with the endpoint list of this node")
	assert.Equal(t, whole.TakenAt, find(&whole, "well").ReportedAt)
	find(&m.Module, "dead").EjectedUntil += 25 * time.Second
	m.Module.SubsetFraction, m.Module.Zones[0].EjectedUntil = 0.5, m.Module.TakenAt+31*time.Second
	m.Module.Zones[0].LastResponse -= 10 * time.Second
	part := Blend(own, m.Module, 0, random)
	assert.Equal(t, find(&part, "well").Share, find(&part, "slow").Share, "the shares are those of another subset")
	assert.Zero(t, find(&part, "dead").Share)
	lighter := m.Module
	lighter.Kinds, lighter.Backends = slices.Clone(lighter.Kinds), nil
	lighter.Kinds[0].Sums.SampleCount, lighter.Kinds[0].RecentSums.SampleCount, lighter.Kinds[0].IdleLatency = whole.Kinds[0].Sums.SampleCount/2, 0, 9
	less := Blend(whole, lighter, 0, random)
	assert.Equal(t, whole.Kinds, less.Kinds, "state based on less evidence is not adopted")
	lighter.Kinds[0].Sums.SampleCount = 0
	assert.Equal(t, 9.0, Blend(own, lighter, 0, random).Kinds[0].IdleLatency, "the idle latency alone is adopted if nothing is known")
	lighter.Backends = []decide.BackendSnapshot{{ID: d.hostIDs["well"], Slowdown: 1}}
	less = Blend(whole, lighter, 0, random)
	assert.Equal(t, find(&whole, "well").SampleCount, find(&less, "well").SampleCount)
	assert.Equal(t, m.Module.Responses, whole.Responses)
	assert.Less(t, find(&whole, "slow").Share, 0.8*find(&own, "slow").Share)
	for range 20 { // for any random choice
		require.NoError(t, d.balancer.Restore(toDuration(mine.Now()), Blend(own, m.Module, 0, random)))
	}
	find(&own, "dead").Share, find(&own, "dead").QueueIndex = 0, -1
	outside := Blend(own, m.Module, 0, random)
	assert.False(t, find(&outside, "dead").Ejected, "the host is outside of the node's subset, so a trial would only cost")
	original := Snapshot{Hosts: []HostSnapshot{{Name: "h", DrainingSince: 5}}, Module: decide.Snapshot{TenantTokens: []float64{1}, Tenants: []string{"t"}}}
	assert.Equal(t, Snapshot{Hosts: []HostSnapshot{{Name: "h"}}}, original.WarmStart())
	assert.Equal(t, 5.0, original.Hosts[0].DrainingSince)
}
