package backoff

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run draws the same sequences unless -rapid.seed is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// service models the service that has the list for all nodes: calls queue, and a call that would wait too long
// fails but costs the same.
type service struct{ callTime, queueTimeout, freeAt float64 }

func (s *service) call(now float64) (answered bool, at float64) {
	wait := max(0, s.freeAt-now)
	s.freeAt = max(s.freeAt, now) + s.callTime
	if wait > s.queueTimeout {
		return false, now
	}
	return true, now + wait + s.callTime
}

// openAll simulates nodes that all start, or all lose their watches, at the same moment, until every node has its
// watch. It returns when the last one has it and how many calls were made.
func openAll(nodes int, set Settings, s *service, firstDelay func(*Backoff) float64, seed uint64) (last float64, calls int) {
	rng := rand.New(rand.NewPCG(seed, 7))
	backoffs, next := make([]Backoff, nodes), make([]float64, nodes)
	for i := range backoffs {
		backoffs[i].Random = rng.Float64
		next[i] = firstDelay(&backoffs[i])
	}
	for left := nodes; left > 0 && calls < 1000*nodes; calls++ {
		i := slices.Index(next, slices.Min(next))
		ok, at := s.call(next[i])
		if last = at; ok {
			next[i] = math.Inf(1)
			left--
		} else {
			next[i] = at + backoffs[i].AfterFailure(set, 0, 1000)
		}
	}
	return last, calls
}

// Guards against nodes that overload the service that has the list: whatever their number, if all start at once,
// or all lose their watch at once and notice by a failed call, each has its watch again soon, although the service
// has little spare capacity.
func TestAllNodesOpenTheirWatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 200).Draw(t, "nodes")
		set := Settings{Spread: 100 * float64(nodes), MinPause: 25, MaxPause: 1000}
		callTime := 100 * rapid.Float64Range(0.3, 0.9).Draw(t, "part of the gap between calls")
		seed := rapid.Uint64().Draw(t, "seed")
		for name, firstDelay := range map[string]func(*Backoff) float64{
			"start": func(p *Backoff) float64 { return p.InitialDelay(set) },
			"loss":  func(p *Backoff) float64 { return p.AfterFailure(set, 0, 1000) },
		} {
			last, calls := openAll(nodes, set, &service{callTime: callTime, queueTimeout: 2000}, firstDelay, seed)
			if last > 6*set.Spread+2000 || calls > 3*nodes {
				t.Fatalf("%s: the last of %d nodes has its watch after %.0f ms and %d calls in total", name, nodes, last, calls)
			}
		}
	})
}

// Guards against pauses that get shorter while a failure lasts, and against a node that never calls again.
func TestPausesGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{rapid.Float64Range(0, 1e4).Draw(t, "spread"), 25, 1000, 0}
		if rapid.Bool().Draw(t, "free") {
			set.Spread = 0
		}
		p := Backoff{Random: func() float64 { return rapid.Float64Range(0, 1).Draw(t, "chance") }}
		least := max(25, set.Spread/2) / 2
		for range rapid.IntRange(1, 20).Draw(t, "failures") {
			previous := p.pause
			got := p.AfterFailure(set, 0, 1000)
			if got < least || got > 1.5*max(1000, MaxSpreads*set.Spread) || p.pause < previous {
				t.Fatalf("pause of %.0f ms, previous base pause %.0f ms", got, previous)
			}
			if set.Spread == 0 && got > set.MaxPause {
				t.Fatalf("pause of %.0f ms exceeds MaxPause of %.0f ms although a call costs nothing", got, set.MaxPause)
			}
		}
		p.Reset()
		if got := p.AfterFailure(set, 0, 1000); got > 3*least {
			t.Fatalf("pause of %.0f ms for the first failure after a successful call", got)
		}
	})
}

// Guards against an initial delay, a held call or a pause that exceeds DeliveryLimit: whatever failed before, and
// however long that took, the next call still has its full timeout within the limit.
func TestNextCallFitsDeliveryLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{Spread: rapid.Float64Range(0, 2e4).Draw(t, "spread"), MinPause: rapid.Float64Range(1, 100).Draw(t, "first"),
			MaxPause: rapid.Float64Range(100, 1e4).Draw(t, "last"), DeliveryLimit: rapid.Float64Range(500, 1e4).Draw(t, "told")}
		p := Backoff{Random: func() float64 { return rapid.Float64Range(0, 1).Draw(t, "chance") }}
		usual := rapid.Float64Range(10, 5000).Draw(t, "usual")
		if at := p.InitialDelay(set) + set.CallTimeout(usual); at > set.DeliveryLimit+1e-6 {
			t.Fatalf("a starting node has its list after %.0f ms, the limit is %.0f ms", at, set.DeliveryLimit)
		}
		for range rapid.IntRange(1, 20).Draw(t, "failures") {
			held := 0.0
			if rapid.Bool().Draw(t, "watch") { // the other half is left for calls that are not held
				held = rapid.Float64Range(0, set.DeliveryLimit/2).Draw(t, "held")
			}
			elapsed := rapid.Float64Range(0, 1).Draw(t, "part") * (held + set.CallTimeout(usual))
			pause := p.AfterFailure(set, elapsed, usual)
			if at := elapsed + pause + set.CallTimeout(usual); pause < 0 || at > set.DeliveryLimit+1e-6 {
				t.Fatalf("after %.0f ms and a pause of %.0f ms the next call ends at %.0f ms, the limit is %.0f ms", elapsed, pause, at, set.DeliveryLimit)
			}
			if rapid.IntRange(0, 5).Draw(t, "answered") == 0 {
				p.Reset()
			}
		}
	})
}

// Guards against a bound on pauses that lets a large fleet overload the service that has the list. It simulates
// 300 nodes and checks that each has its list within the limit after an outage, and how many calls all of them
// make in any second during the outage and while half of the calls are rejected.
func TestCallRateOfLargeFleet(t *testing.T) {
	const nodes, outage, limit = 300, 8000.0, 6000.0
	set := Settings{Spread: 5000, MinPause: 25, MaxPause: 1000, DeliveryLimit: limit}
	for name, c := range map[string]struct {
		rejected func(*rand.Rand, float64) bool
		maxCalls int // in any second
	}{
		"outage":        {func(_ *rand.Rand, now float64) bool { return now < outage }, 130},
		"half of calls": {func(rng *rand.Rand, _ float64) bool { return rng.Float64() < 0.5 }, 130},
	} {
		rng := rand.New(rand.NewPCG(1, 7))
		backoffs, next, last := make([]Backoff, nodes), make([]float64, nodes), 0.0
		for i := range backoffs {
			backoffs[i].Random = rng.Float64
			next[i] = backoffs[i].InitialDelay(set)
		}
		calls := map[int]int{}
		s := &service{callTime: 10, queueTimeout: 1500}
		for {
			i := slices.Index(next, slices.Min(next))
			now := next[i]
			if math.IsInf(now, 1) {
				break
			}
			calls[int(now/1000)]++
			if c.rejected(rng, now) {
				next[i] = now + backoffs[i].AfterFailure(set, 0, 1000)
				continue
			}
			ok, at := s.call(now)
			if last = max(last, at); ok {
				next[i] = math.Inf(1)
			} else {
				next[i] = at + backoffs[i].AfterFailure(set, at-now, 1000)
			}
		}
		highest, total := 0, 0
		for _, n := range calls {
			highest, total = max(highest, n), total+n
		}
		t.Logf("%s: %d calls, at most %d in a second, the last answered after %.0f ms", name, total, highest, last)
		if highest > c.maxCalls {
			t.Errorf("%s: %d calls in a second", name, highest)
		}
		if name == "outage" && last > outage+limit {
			t.Errorf("the last node has its list %.0f ms after the outage", last-outage)
		}
	}
}
