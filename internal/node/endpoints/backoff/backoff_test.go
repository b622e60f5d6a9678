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

// The histories are the same ones each time, unless -rapid.seed asks for others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// service is the one that has the list for all nodes: calls wait in turn, and one that would wait too long fails, but has
// cost all the same.
type service struct{ each, patience, free float64 }

func (s *service) call(now float64) (answered bool, at float64) {
	wait := max(0, s.free-now)
	s.free = max(s.free, now) + s.each
	if wait > s.patience {
		return false, now
	}
	return true, now + wait + s.each
}

// opened plays nodes that start, or lose their watches, in one moment, until the last has its watch, and gives when that is.
func opened(nodes int, set Settings, s *service, begin func(*Backoff) float64, seed uint64) (last float64, calls int) {
	rng := rand.New(rand.NewPCG(seed, 7))
	paces, next := make([]Backoff, nodes), make([]float64, nodes)
	for i := range paces {
		paces[i].Random = rng.Float64
		next[i] = begin(&paces[i])
	}
	for left := nodes; left > 0 && calls < 1000*nodes; calls++ {
		i := slices.Index(next, slices.Min(next))
		ok, at := s.call(next[i])
		if last = at; ok {
			next[i] = math.Inf(1)
			left--
		} else {
			next[i] = at + paces[i].AfterFailure(set, 0, 1000)
		}
	}
	return last, calls
}

// Guards against nodes that bury the service of the list: whatever their number, when all start at once, or all lose their
// watch at once and hear of it by a failure, each has its watch again soon, though the service answers little more than it must.
func TestAllAreAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 200).Draw(t, "nodes")
		set := Settings{Spread: 100 * float64(nodes), MinPause: 25, MaxPause: 1000}
		each := 100 * rapid.Float64Range(0.3, 0.9).Draw(t, "part of the gap between calls")
		seed := rapid.Uint64().Draw(t, "seed")
		for name, begin := range map[string]func(*Backoff) float64{
			"start": func(p *Backoff) float64 { return p.InitialDelay(set) },
			"loss":  func(p *Backoff) float64 { return p.AfterFailure(set, 0, 1000) },
		} {
			last, calls := opened(nodes, set, &service{each: each, patience: 2000}, begin, seed)
			if last > 6*set.Spread+2000 || calls > 3*nodes {
				t.Fatalf("%s: the last of %d nodes has its watch after %.0f ms and %d calls", name, nodes, last, calls)
			}
		}
	})
}

// Guards against calls that come the sooner the longer the trouble lasts, and against a node that stays away for good.
func TestPausesGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{rapid.Float64Range(0, 1e4).Draw(t, "spread"), 25, 1000, 0}
		if rapid.Bool().Draw(t, "free") {
			set.Spread = 0
		}
		p := Backoff{Random: func() float64 { return rapid.Float64Range(0, 1).Draw(t, "chance") }}
		least := max(25, set.Spread/2) / 2
		for range rapid.IntRange(1, 20).Draw(t, "failures") {
			was := p.pause
			got := p.AfterFailure(set, 0, 1000)
			if got < least || got > 1.5*max(1000, MaxSpreads*set.Spread) || p.pause < was {
				t.Fatalf("a pause of %.0f ms after one of %.0f", got, was)
			}
			if set.Spread == 0 && got > set.MaxPause {
				t.Fatalf("a pause of %.0f ms, %.0f is where the doubling ends and a call costs nothing", got, set.MaxPause)
			}
		}
		p.Reset()
		if got := p.AfterFailure(set, 0, 1000); got > 3*least {
			t.Fatalf("a pause of %.0f ms after an answer", got)
		}
	})
}

// Guards against a pause, a call that waits or a node that begins which outlasts the time after which a change counts as told:
// whatever failed before, and however long that took, the next call still has its own time within it.
func TestNextCallIsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{Spread: rapid.Float64Range(0, 2e4).Draw(t, "spread"), MinPause: rapid.Float64Range(1, 100).Draw(t, "first"),
			MaxPause: rapid.Float64Range(100, 1e4).Draw(t, "last"), DeliveryLimit: rapid.Float64Range(500, 1e4).Draw(t, "told")}
		p := Backoff{Random: func() float64 { return rapid.Float64Range(0, 1).Draw(t, "chance") }}
		usual := rapid.Float64Range(10, 5000).Draw(t, "usual")
		if at := p.InitialDelay(set) + set.CallTimeout(usual); at > set.DeliveryLimit+1e-6 {
			t.Fatalf("a node that begins has its list after %.0f of %.0f ms", at, set.DeliveryLimit)
		}
		for range rapid.IntRange(1, 20).Draw(t, "failures") {
			held := 0.0
			if rapid.Bool().Draw(t, "watch") { // half of the time for calls that are not held
				held = rapid.Float64Range(0, set.DeliveryLimit/2).Draw(t, "held")
			}
			ago := rapid.Float64Range(0, 1).Draw(t, "part") * (held + set.CallTimeout(usual))
			pause := p.AfterFailure(set, ago, usual)
			if at := ago + pause + set.CallTimeout(usual); pause < 0 || at > set.DeliveryLimit+1e-6 {
				t.Fatalf("after %.0f ms and a pause of %.0f the next call ends at %.0f of %.0f", ago, pause, at, set.DeliveryLimit)
			}
			if rapid.IntRange(0, 5).Draw(t, "answered") == 0 {
				p.Reset()
			}
		}
	})
}

// Guards against a bound on pauses that lets a large fleet bury the service of the list: 300 nodes, of which each has its list within
// the time once an outage ends, and the calls that they all make in a second, while it lasts and while half of them are refused.
func TestCallsOfALargeFleet(t *testing.T) {
	const nodes, outage, told = 300, 8000.0, 6000.0
	set := Settings{Spread: 5000, MinPause: 25, MaxPause: 1000, DeliveryLimit: told}
	for name, c := range map[string]struct {
		refused   func(*rand.Rand, float64) bool
		mostCalls int // in any second
	}{
		"outage":        {func(_ *rand.Rand, now float64) bool { return now < outage }, 130},
		"half of calls": {func(rng *rand.Rand, _ float64) bool { return rng.Float64() < 0.5 }, 130},
	} {
		rng := rand.New(rand.NewPCG(1, 7))
		paces, next, last := make([]Backoff, nodes), make([]float64, nodes), 0.0
		for i := range paces {
			paces[i].Random = rng.Float64
			next[i] = paces[i].InitialDelay(set)
		}
		calls := map[int]int{}
		s := &service{each: 10, patience: 1500}
		for {
			i := slices.Index(next, slices.Min(next))
			now := next[i]
			if math.IsInf(now, 1) {
				break
			}
			calls[int(now/1000)]++
			if c.refused(rng, now) {
				next[i] = now + paces[i].AfterFailure(set, 0, 1000)
				continue
			}
			ok, at := s.call(now)
			if last = max(last, at); ok {
				next[i] = math.Inf(1)
			} else {
				next[i] = at + paces[i].AfterFailure(set, at-now, 1000)
			}
		}
		most, all := 0, 0
		for _, n := range calls {
			most, all = max(most, n), all+n
		}
		t.Logf("%s: %d calls, %d in a second at the most, the last answered after %.0f ms", name, all, most, last)
		if most > c.mostCalls {
			t.Errorf("%s: %d calls in a second", name, most)
		}
		if name == "outage" && last > outage+told {
			t.Errorf("the last has its list %.0f ms after the outage", last-outage)
		}
	}
}
