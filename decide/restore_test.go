package decide

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // fixes the seed of drawn histories
)

// afterTraffic returns a harness after some random traffic, without open requests.
func afterTraffic(t *testing.T, set Settings, seed uint64, ticks int) *harness {
	w, list := newHarness(t, set, seed, 0.15), mixedBackends(12)
	w.list(EndpointsStored, list...)
	for i := range ticks {
		w.arrive()
		if i%97 == 96 {
			w.churn(list)
		}
		w.step(5 * time.Millisecond)
	}
	for len(w.b.requests) > 0 {
		w.step(5 * time.Millisecond)
	}
	return w
}

// restored returns a harness with the same backends, whose Balancer has restored a snapshot of w's Balancer. Both
// get the same random sources, so that they must act alike from here on.
func restored(t *testing.T, w *harness, set Settings, later time.Duration) (*harness, error) {
	v := newHarness(t, set, 77, w.faulty)
	v.now = w.now + later
	var list []Backend
	for _, s := range w.b.backends {
		list = append(list, s.Backend)
	}
	text, err := json.Marshal(w.b.Snapshot(w.now))
	require.NoError(t, err)
	v.list(EndpointsStored, list...)
	var m Snapshot
	require.NoError(t, json.Unmarshal(text, &m))
	err = v.b.Restore(v.now, m)
	v.wakes, v.nextID = append([]wake(nil), w.wakes...), w.nextID
	for _, x := range []*harness{w, v} {
		x.rand, x.b.random, x.trace = rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(3, 4)), nil
	}
	return v, err
}

// Guards against state that is lost, rounded or misread when it is restored: from then on the two Balancers must
// take the same actions, whatever faults the first one had seen.
func TestRestoredBalancerDecidesAlike(t *testing.T) {
	all := variants()
	rapid.Check(t, func(r *rapid.T) {
		set := all[rapid.SampledFrom([]string{"copies", "single", "zone group", "many nodes"}).Draw(r, "variant")]
		w := afterTraffic(t, set, rapid.Uint64().Draw(r, "seed"), rapid.IntRange(0, 1500).Draw(r, "ticks"))
		v, err := restored(t, w, set, 0)
		require.NoError(t, err)
		for range 400 {
			for _, x := range []*harness{w, v} {
				x.arrive()
				x.step(5 * time.Millisecond)
			}
		}
		require.NotEmpty(t, w.trace)
		require.Equal(t, w.trace, v.trace)
	})
}

// Guards against old state that weighs as much as fresh state: a backend that was slow or ejected a minute ago may
// have recovered.
func TestOldSnapshotWeighsLess(t *testing.T) {
	w := afterTraffic(t, testSettings(), 3, 600)
	bad := w.b.backends[0]
	bad.slowdown, bad.sampleCount, bad.latencySum, bad.expectedSum = 6, 16, 6*16*bad.model.idleLatency, 16*bad.model.idleLatency
	w.b.eject(bad)
	slow := map[time.Duration]float64{}
	for _, age := range []time.Duration{0, 4 * time.Second, time.Minute, time.Hour} {
		v, err := restored(t, w, testSettings(), age)
		require.NoError(t, err)
		s := v.b.byID[bad.ID]
		slow[age] = s.slowdown
		require.Equal(t, age < 16*time.Second, s.ejected, age)
		if age >= time.Minute {
			require.False(t, v.b.kindModels[0].measured, "an idle latency from %v ago is only an estimate", age)
			require.Zero(t, v.b.sendRate)
		}
	}
	require.Equal(t, 6.0, slow[0])
	require.Less(t, slow[4*time.Second], 6.0)
	require.InDelta(t, 1, slow[time.Minute], 0.01)
	require.InDelta(t, 1, slow[time.Hour], 1e-9)
}

// Guards against state that is applied to a different object: another process of a backend, another kind under its
// id, another class or zone.
func TestRestoreIgnoresUnknownEntries(t *testing.T) {
	w := afterTraffic(t, testSettings(), 3, 600)
	m := w.b.Snapshot(w.now)
	for i := range m.Backends {
		m.Backends[i].Slowdown, m.Backends[i].Ejected = 7, true
	}
	m.Backends[0].Started, m.Backends[1].Kind = 1, "other"
	m.Classes[0].Class, m.Classes[0].Work = "other", 9
	v := newHarness(t, testSettings(), 1, 0)
	v.now = w.now
	var list []Backend
	for _, s := range w.b.backends {
		list = append(list, s.Backend)
	}
	v.list(EndpointsStored, append(list[:len(list):len(list)], Backend{ID: 999})...)
	require.NoError(t, v.b.Restore(w.now, m))
	for i, s := range v.b.backends {
		require.Equal(t, i > 1 && s.ID != 999, s.ejected, i)
	}
	require.Equal(t, 1.0, v.b.classes[0].work)
	require.GreaterOrEqual(t, len(v.b.pickQueue), 3, "backends that are not in the snapshot keep their turns")
	m.Zone = "elsewhere"
	require.ErrorContains(t, v.b.Restore(w.now, m), `zone "elsewhere"`)
}

// Guards against an invalid snapshot that is applied in part, or that makes the Balancer panic, break a rule or
// compute with NaN.
func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	first := afterTraffic(t, testSettings(), 5, 800)
	base, err := json.Marshal(first.b.Snapshot(first.now))
	require.NoError(t, err)
	replacements := []string{"-1", "1e300", "0", "null", "1e-300", "9e18", "true", `""`, "[]", "1048577", "4e9", "0.5"}
	rapid.Check(t, func(r *rapid.T) {
		text := string(base)
		for range rapid.IntRange(1, 6).Draw(r, "changes") {
			at := rapid.IntRange(0, len(text)-1).Draw(r, "at")
			colon := strings.IndexByte(text[at:], ':')
			if colon < 0 {
				continue
			}
			at += colon + 1
			end := at + strings.IndexAny(text[at:]+",", ",}]")
			text = text[:at] + rapid.SampledFrom(replacements).Draw(r, "value") + text[end:]
		}
		w := newHarness(t, testSettings(), 9, 0.1)
		w.now = first.now
		w.list(EndpointsStored, mixedBackends(12)...)
		before := w.b.Snapshot(w.now)
		var m Snapshot
		if json.Unmarshal([]byte(text), &m) != nil {
			return // not a Snapshot at all
		}
		if w.b.Restore(w.now, m) != nil {
			require.Equal(t, before, w.b.Snapshot(w.now))
		}
		w.run(mixedBackends(12), 60) // the harness checks the rules, and for NaN
	})
	neverStarted := newHarness(t, testSettings(), 2, 0).b.Snapshot(first.now)
	require.Zero(t, neverStarted.SinceSolve, "a Balancer without an endpoint list")
	first.b.View(first.now + time.Hour)
	m := first.b.Snapshot(first.now)
	require.Equal(t, first.b.now, first.now, "View changes nothing")
	m.Kinds[0].Sums.LatencySum = math.NaN()
	require.Error(t, first.b.Restore(first.now, m), "a number that JSON cannot represent")
}
