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
	_ "linenwheel.dev/linenwheel/internal/rapidseed" // fixes the seed of drawn histories
)

// learnedSnapshot returns the snapshot of a node in a fleet where dead refuses connections and the others serve, once it has
// received nothing for idle milliseconds, and its clock.
func learnedSnapshot(t *testing.T, idle float64) (Snapshot, *clock.Manual) {
	p, c, _ := newTestDispatcher(t, fleet()...)
	for i := 0; i < 100 || !view(p)["dead"].Module.Away; i++ {
		serveOne(p, c, "dead")
	}
	c.Advance(idle)
	p.Tick()
	var m Snapshot
	text, err := json.Marshal(p.Snapshot().WarmStart())
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &m))
	return m, c
}

// serveOne serves one request, to which all hosts but dead respond, and returns which host got it first.
func serveOne(p *Dispatcher, c *clock.Manual, dead string) (first string) {
	q := p.Open(Request{Tenant: -1, Deadline: c.Now() + 900})
	for v := q.Next(); v.Kind == Send; v = q.Next() {
		if first == "" {
			first = v.Host
		}
		c.Advance(map[bool]float64{true: 60, false: 15}[v.Host == "slow"])
		if v.Host == dead {
			q.Report(v.AttemptIndex, ConnectFailed, nil)
		} else {
			q.Report(v.AttemptIndex, Served, nil)
		}
	}
	c.Advance(5)
	p.Tick()
	return first
}

// newcomer is a node that starts later milliseconds after the other one, with an endpoint list.
func newcomer(t *testing.T, c *clock.Manual, later float64, hosts ...Host) (*Dispatcher, *clock.Manual) {
	p, mine, _ := newTestDispatcher(t)
	mine.Advance(c.Now() - epoch + later)
	p.SetHosts(Full, withDefaults(hosts))
	return p, mine
}

func withDefaults(hosts []Host) []Host {
	for i := range hosts {
		hosts[i].Zone, hosts[i].Kind, hosts[i].Weight = "z", "k", 1
	}
	return hosts
}

func view(p *Dispatcher) map[string]HostView {
	m := map[string]HostView{}
	for _, h := range p.View().Hosts {
		m[h.Name] = h
	}
	return m
}

// fleet is an endpoint list: dead refuses connections, slow takes four times as long, cold has just started.
func fleet() []Host {
	return []Host{{Name: "dead", Address: "a:1"}, {Name: "well", Address: "a:2"}, {Name: "cold", Address: "a:3", Since: epoch - 1000},
		{Name: "slow", Address: "a:4"}}
}

// Guards against a new node that has to learn again what another one knows; against a host that never recovers because another
// node has reported it dead; and against evidence a minute old that still counts.
func TestWarmStartFromAnotherNode(t *testing.T) {
	m, c := learnedSnapshot(t, 0)
	drained, _ := learnedSnapshot(t, 60e3)
	for _, way := range []struct {
		name  string
		later float64
		away  bool
		take  func(*Dispatcher) error
	}{
		{"learned", 0, true, func(p *Dispatcher) error { return p.ApplyWarmStart(m) }},
		{"restored", 0, true, func(p *Dispatcher) error { return p.Restore(m) }},
		{"learned, a minute old", 60e3, false, func(p *Dispatcher) error { return p.ApplyWarmStart(m) }},
		{"learned of a node that was drained a minute ago", 60e3, false, func(p *Dispatcher) error { return p.ApplyWarmStart(drained) }},
		{"restored, a minute old", 60e3, false, func(p *Dispatcher) error { return p.Restore(m) }},
	} {
		p, mine := newcomer(t, c, way.later, fleet()...)
		require.NoError(t, way.take(p), way.name)
		require.Equal(t, way.away, view(p)["dead"].Module.Away, way.name)
		if way.away {
			now := view(p)
			require.Zero(t, now["dead"].Module.Share, way.name)
			require.Less(t, now["slow"].Module.Share, now["well"].Module.Share/2, way.name)
		}
		met, began := 0, mine.Now()
		for mine.Now() < began+20e3 { // it has recovered
			if serveOne(p, mine, "") == "dead" {
				if met++; met == 1 && !way.away {
					require.Less(t, mine.Now()-began, 1e3, way.name)
				}
			}
		}
		assert.Greater(t, met, 50, "%s: it was found and takes its share again", way.name)
	}
}

// Guards against evidence that overrides the endpoint list, about a host that drains, has restarted, is in slow start or has moved
// to another address; and against taking over what is a node's own.
func TestWarmStartFollowsTheEndpointList(t *testing.T) {
	m, c := learnedSnapshot(t, 0)
	hosts := append(fleet(), Host{Name: "new", Address: "a:5"})
	hosts[1].Status = Draining
	p, mine := newcomer(t, c, 100, hosts...)
	before := p.balancer.Snapshot(toDuration(mine.Now()))
	require.NoError(t, p.ApplyWarmStart(m))
	now := view(p)
	assert.True(t, now["dead"].Module.Away)
	assert.Zero(t, now["well"].Module.Share, "it drains")
	after := p.balancer.Snapshot(toDuration(mine.Now()))
	assert.Equal(t, before.Clock, after.Clock)
	assert.Equal(t, before.Part, after.Part)
	assert.Equal(t, before.Tokens, after.Tokens)
	assert.Zero(t, after.Rate)
	for i, b := range after.Backends {
		if b.ID == p.hostIDs["cold"] { // its slow-start limit is the node's own
			assert.Equal(t, before.Backends[i], b)
		}
	}
	for range 300 {
		assert.NotEqual(t, "well", serveOne(p, mine, ""))
	}

	again := fleet()
	again[0].Since = c.Now() - 30e3 // a process that the other node has not seen
	moved := fleet()
	moved[0].Address = "a:9"
	for _, list := range [][]Host{again, moved} {
		p, _ = newcomer(t, c, 100, list...)
		require.NoError(t, p.ApplyWarmStart(m))
		assert.False(t, view(p)["dead"].Module.Away)
	}
}

// Guards against a snapshot that cannot be right, or is another fleet's, and changes something all the same.
func TestWarmStartRejectsInvalidSnapshots(t *testing.T) {
	m, c := learnedSnapshot(t, 0)
	text, err := json.Marshal(m)
	require.NoError(t, err)
	rejected := 0
	bad := func(r require.TestingT, change func(*Snapshot)) error {
		var other Snapshot
		require.NoError(r, json.Unmarshal(text, &other))
		change(&other)
		p, mine, _ := newTestDispatcher(t)
		mine.Advance(c.Now() - epoch + 100)
		p.SetHosts(Full, withDefaults(fleet()))
		before := p.Snapshot()
		err := p.ApplyWarmStart(other)
		if err != nil {
			rejected++
			require.Equal(r, before, p.Snapshot())
		}
		return err
	}
	assert.NoError(t, bad(t, func(*Snapshot) {}))
	assert.ErrorIs(t, bad(t, func(o *Snapshot) {
		for i := range o.Hosts {
			o.Hosts[i].Address = "b" + o.Hosts[i].Address
		}
	}), ErrNoWarmStart)
	assert.ErrorIs(t, bad(t, func(o *Snapshot) { o.Module.Zones[0].Heard = 0 }), ErrNoWarmStart)
	assert.ErrorContains(t, bad(t, func(o *Snapshot) { o.Module.Zone = "y" }), "zone")
	assert.ErrorContains(t, bad(t, func(o *Snapshot) { o.Module.Version++ }), "version")
	rapid.Check(t, func(r *rapid.T) {
		_ = bad(r, func(o *Snapshot) {
			x := rapid.SampledFrom([]float64{-1, 1e300, 7}).Draw(r, "x")
			b := &o.Module.Backends[rapid.IntRange(0, 1).Draw(r, "host")]
			*rapid.SampledFrom([]*float64{&b.Slow, &b.Y, &b.N, &b.Good, &b.Share, &o.Module.Kinds[0].Idle, &o.Module.Classes[0].Work,
				&o.Module.Answers}).Draw(r, "field") = x
		})
	})
	assert.Greater(t, rejected, 40)
}

// Guards against nodes that learn from one node and try a host together; against shares taken over from a node that uses another
// subset; and against times for which the module would reject the whole snapshot.
func TestBlendKeepsWhatIsTheNodesOwn(t *testing.T) {
	m, c := learnedSnapshot(t, 0)
	p, mine := newcomer(t, c, 100, fleet()...)
	own := p.balancer.Snapshot(toDuration(mine.Now()))
	find := func(m *decide.Memory, name string) *decide.BackendMemory {
		i := slices.IndexFunc(m.Backends, func(b decide.BackendMemory) bool { return b.ID == p.hostIDs[name] })
		return &m.Backends[i]
	}
	find(&m.Module, "dead").Until = m.Module.At + 10*time.Second
	tried := map[time.Duration]bool{}
	for seed := range uint64(20) {
		got := Blend(own, m.Module, 0, rand.New(rand.NewPCG(seed, 0)))
		until := find(&got, "dead").Until
		assert.GreaterOrEqual(t, until, m.Module.At+4*time.Second)
		assert.LessOrEqual(t, until, m.Module.At+10*time.Second)
		tried[until] = true
	}
	assert.Len(t, tried, 20)

	random := rand.New(rand.NewPCG(1, 1))
	find(&own, "well").Read, find(&own, "well").ReadAt = 3, own.At
	whole := Blend(own, m.Module, 0, random)
	sum := 0.0
	for _, b := range whole.Backends {
		sum += b.Share
	}
	assert.InDelta(t, 1, sum, 1e-9)
	assert.Positive(t, find(&m.Module, "cold").ColdTop)
	assert.Equal(t, -1.0, find(&whole, "cold").ColdTop, "it is warm by this node's rules")
	assert.Equal(t, 3.0, find(&whole, "well").Read, "which came with this node's list")
	assert.Equal(t, whole.At, find(&whole, "well").ReadAt)
	find(&m.Module, "dead").Until += 25 * time.Second
	m.Module.Part, m.Module.Zones[0].Until = 0.5, m.Module.At+31*time.Second
	m.Module.Zones[0].Heard -= 10 * time.Second
	part := Blend(own, m.Module, 0, random)
	assert.Equal(t, find(&part, "well").Share, find(&part, "slow").Share, "they are the other part's")
	assert.Zero(t, find(&part, "dead").Share)
	lighter := m.Module
	lighter.Kinds, lighter.Backends = slices.Clone(lighter.Kinds), nil
	lighter.Kinds[0].Fit.N, lighter.Kinds[0].Recent.N, lighter.Kinds[0].Idle = whole.Kinds[0].Fit.N/2, 0, 9
	less := Blend(whole, lighter, 0, random)
	assert.Equal(t, whole.Kinds, less.Kinds, "what rests on less is not taken")
	lighter.Kinds[0].Fit.N = 0
	assert.Equal(t, 9.0, Blend(own, lighter, 0, random).Kinds[0].Idle, "but where nothing is known, the idle latency alone is")
	lighter.Backends = []decide.BackendMemory{{ID: p.hostIDs["well"], Slow: 1}}
	less = Blend(whole, lighter, 0, random)
	assert.Equal(t, find(&whole, "well").N, find(&less, "well").N)
	assert.Equal(t, m.Module.Answers, whole.Answers)
	assert.Less(t, find(&whole, "slow").Share, 0.8*find(&own, "slow").Share)
	for range 20 { // whatever the draws
		require.NoError(t, p.balancer.Restore(toDuration(mine.Now()), Blend(own, m.Module, 0, random)))
	}
	find(&own, "dead").Share, find(&own, "dead").Turn = 0, -1
	outside := Blend(own, m.Module, 0, random)
	assert.False(t, find(&outside, "dead").Away, "it is outside of the node's part: a trial would only cost")
	original := Snapshot{Hosts: []HostSnapshot{{Name: "h", DrainingSince: 5}}, Module: decide.Memory{Quota: []float64{1}, Tenants: []string{"t"}}}
	assert.Equal(t, Snapshot{Hosts: []HostSnapshot{{Name: "h"}}}, original.WarmStart())
	assert.Equal(t, 5.0, original.Hosts[0].DrainingSince)
}
