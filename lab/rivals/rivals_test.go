package rivals

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"linenwheel.dev/linenwheel/decide"
	_ "linenwheel.dev/linenwheel/internal/rapidseed" // the same histories every time
)

// stage is a node that carries nothing out: it notes what a policy asks for.
type stage struct {
	sent    []decide.BackendID
	refused int
	failed  int
	probes  []decide.BackendID
}

func (a *stage) Send(_ decide.RequestID, to decide.BackendID, _ time.Duration) {
	a.sent = append(a.sent, to)
}
func (a *stage) Reject(decide.RequestID, time.Duration) { a.refused++ }
func (a *stage) Fail(decide.RequestID)                  { a.failed++ }
func (a *stage) Cancel(decide.RequestID, int)           {}
func (a *stage) Probe(to decide.BackendID)              { a.probes = append(a.probes, to) }
func (a *stage) SetTimer(time.Duration, uint64)         {}
func (a *stage) Watch()                                 {}
func (a *stage) Log(string)                             {}

var settings = decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"}, Weights: decide.WeightSize,
	Classes: []decide.Class{{Name: "safe", Effect: decide.Safe, Target: time.Second, Deadline: 2 * time.Second,
		Value: 1},
		{Name: "unsafe", Effect: decide.Unsafe, Target: time.Second, Deadline: 2 * time.Second, Value: 1},
		{Name: "keyed", Effect: decide.Keyed, Target: time.Second, Deadline: 2 * time.Second,
			KeyTTL: 300 * time.Millisecond, Value: 1}},
	Limits: decide.Limits{MaxAttempts: 4}, Rules: decide.Rules{SlowStartFloor: 0.15, SlowStartTime: 24 * time.Second}}

const start = time.Hour

func proxy(how func(*shell) picker, with Companions, weights ...float64) (*shell, *stage) {
	a := &stage{}
	p, _ := newShell(Place{Settings: settings, Seed: 1, Actions: a}, with, how)
	var list []decide.Backend
	for i, w := range weights {
		list = append(list, decide.Backend{ID: decide.BackendID(i + 1), Weight: w})
	}
	p.UpdateEndpoints(start, decide.EndpointsFull, list)
	return p.(*shell), a
}

func ask(p Policy, now time.Duration, id decide.RequestID, class int) {
	p.Request(now, decide.Request{ID: id, Class: class, Tenant: -1, Deadline: now + 2*time.Second})
}

func finish(p Policy, now time.Duration, id decide.RequestID, attempt int, to decide.BackendID, r decide.Result) {
	p.Outcome(now, decide.Outcome{Request: id, Backend: to, Attempt: attempt, Over: r == decide.Succeeded,
		Latency: 50 * time.Millisecond, Result: r})
}

// Guards smooth weighted round robin against a drift from its weights: over every round of the sum of weights, each rater
// gets as many turns as its weight says.
func TestWeightedKeepsToWeights(t *testing.T) {
	p, a := proxy(newWeighted, Companions{}, 5, 1, 2)
	for i := range 80 {
		ask(p, start, decide.RequestID(i+1), 0)
	}
	for at := 0; at < 80; at += 8 {
		n := map[decide.BackendID]int{}
		for _, to := range a.sent[at : at+8] {
			n[to]++
		}
		require.InDelta(t, 5, n[1], 1)
		require.InDelta(t, 2, n[3], 1)
	}
	n := map[decide.BackendID]int{}
	for _, to := range a.sent {
		n[to]++
	}
	require.InDelta(t, 50, n[1], 1)
	require.InDelta(t, 10, n[2], 1)
	require.InDelta(t, 20, n[3], 1)
}

// Guards least requests against counting wrong: with nothing answered, what is held stays even by weight.
func TestLeastStaysEven(t *testing.T) {
	p, a := proxy(newLeast, Companions{}, 2, 1, 1)
	for i := range 40 {
		ask(p, start, decide.RequestID(i+1), 0)
	}
	require.Len(t, a.sent, 40)
	require.InDelta(t, 20, p.byID[1].out, 1)
	require.InDelta(t, 10, p.byID[2].out, 1)
}

// Guards peak-EWMA's formula: a latency above the cost counts at once, a lower one fades in over ten seconds, and one that
// has answered nothing and holds something is avoided.
func TestEWMA(t *testing.T) {
	p, _ := proxy(newEWMA, Companions{}, 1, 1)
	h := p.byID[1]
	p.now = start
	ewmaObserve(p, h, 0.2)
	require.Equal(t, 0.2, h.cost)
	ewmaObserve(p, h, 0.1) // in the same moment: nothing has faded
	require.Equal(t, 0.2, h.cost)
	p.now += ewmaDecay
	ewmaObserve(p, h, 0.1)
	require.InDelta(t, 0.1+0.1/2.718281828, h.cost, 1e-6)
	ewmaObserve(p, h, 0.5)
	require.Equal(t, 0.5, h.cost)
	p.byID[2].out = 1
	require.Greater(t, ewmaLoad(p, p.byID[2]), ewmaLoad(p, h))
}

// Guards Prequal's rule: of raters that are not hot the fastest is picked however much it holds, and where all are hot the
// one that holds least.
func TestPrequalRule(t *testing.T) {
	p := &prequal{pool: []probe{{rif: 9, latency: 1}, {rif: 3, latency: 5}, {rif: 2, latency: 7}}}
	require.True(t, p.better(1, 2, 8)) // both cold
	require.True(t, p.better(1, 0, 8)) // one hot, though fast
	require.True(t, p.better(2, 1, 1)) // all hot
	s, a := proxy(newPrequal, Companions{}, 1, 1, 1)
	ask(s, start, 1, 0)
	require.Len(t, a.probes, 1)
	for id := decide.BackendID(1); id <= 3; id++ {
		o := decide.Outcome{Backend: id, Result: decide.Succeeded,
			Load: decide.Load{Has: 1<<decide.ReportInFlight | 1<<decide.ReportLatency}}
		o.Load.Values[decide.ReportInFlight], o.Load.Values[decide.ReportLatency] = 2, float64(4-id)
		s.Probed(start, o)
	}
	ask(s, start, 2, 0)
	require.Equal(t, decide.BackendID(3), a.sent[1])
}

// Guards the companions: a rater that fails in a row is ejected for a time that grows, never more than the allowed part of
// all; the cap refuses what no rater has room for; and with all ejected any will do.
func TestCompanions(t *testing.T) {
	with := Companions{Failures: 2, EjectBase: time.Second, MostEject: time.Minute, MostEjected: 0.5}
	p, a := proxy(newRobin, with, 1, 1)
	id := decide.RequestID(0)
	fail := func(now time.Duration) {
		id++
		ask(p, now, id, 1)
		finish(p, now, id, 0, a.sent[len(a.sent)-1], decide.Failed)
	}
	for range 4 {
		fail(start)
	}
	require.Len(t, p.ready, 1) // the other may not follow
	for range 3 {
		fail(start)
	}
	require.Len(t, p.ready, 1)
	ask(p, start+1100*time.Millisecond, 100, 1)
	require.Len(t, p.ready, 2)

	capped, b := proxy(newTwo, Companions{HeldPerWeight: 1}, 2, 1)
	for i := range 5 {
		ask(capped, start, decide.RequestID(i+1), 0)
	}
	require.Len(t, b.sent, 3)
	require.Equal(t, 2, b.refused)
}

// Guards the rules on random histories, whatever the picker: nothing that may have run is repeated where its class forbids
// it, no more attempts than allowed, nothing to a rater that drains, and one final answer.
func TestShellKeepsRules(t *testing.T) {
	for name, how := range map[string]func(*shell) picker{"random": newRandom, "robin": newRobin,
		"weighted": newWeighted,
		"least":    newLeast, "two": newTwo, "ewma": newEWMA, "prequal": newPrequal} {
		t.Run(name, func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { keepsRules(t, how) }) })
	}
}

func keepsRules(t *rapid.T, how func(*shell) picker) {
	p, a := proxy(how, Usual, 1, 2, 1, 3)
	p.UpdateEndpoints(start, decide.EndpointsDelta, []decide.Backend{{ID: 2, Weight: 2, State: decide.Draining}, {ID: 4,
		Weight: 3, Started: start}})
	type open struct {
		id      decide.RequestID
		class   int
		n       int
		ran     bool
		ranAt   time.Duration
		arrived time.Duration
	}
	var calls []*open
	now := start
	finals := func() int { return a.refused + a.failed }
	results := []decide.Result{decide.Succeeded, decide.Failed, decide.Overloaded, decide.TimedOut, decide.ConnectFailed, decide.Reset}
	steps := rapid.IntRange(50, 300).Draw(t, "steps")
	for i := range steps {
		now += time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond
		before, ended := len(a.sent), finals()
		if c := (&open{id: decide.RequestID(i + 1), class: i % 3, arrived: now}); len(calls) == 0 ||
			rapid.Bool().Draw(t, "ask") {
			ask(p, now, c.id, c.class)
			if len(a.sent) == before {
				require.Equal(t, ended+1, finals())
				continue
			}
			c.n = 1
			calls = append(calls, c)
		} else {
			at := rapid.IntRange(0, len(calls)-1).Draw(t, "which")
			c := calls[at]
			r := rapid.SampledFrom(results).Draw(t, "result")
			if r.MayHaveRun() && !c.ran {
				c.ran, c.ranAt = true, now
			}
			finish(p, now, c.id, c.n-1, 0, r)
			if len(a.sent) == before {
				calls = append(calls[:at], calls[at+1:]...)
				if r != decide.Succeeded {
					require.Equal(t, ended+1, finals())
				}
				continue
			}
			c.n++
			require.False(t, c.ran && c.class == 1, "an unsafe one that may have run was sent again")
			require.False(t, c.ran && c.class == 2 && now >= c.ranAt+settings.Classes[2].KeyTTL,
				"a key was sent again too late")
			require.LessOrEqual(t, c.n, settings.Limits.MaxAttempts)
		}
		require.Equal(t, ended, finals())
		require.NotEqual(t, decide.BackendID(2), a.sent[len(a.sent)-1])
	}
}

// Guards the fourth rule: a rater that has just started gets its share by its warmth, though it holds least and a picker of
// the least would send it everything.
func TestColdGetsItsShare(t *testing.T) {
	p, a := proxy(newLeast, Usual, 1, 1, 1)
	now := start
	for i := range 200 { // a rate is known
		now += 10 * time.Millisecond
		ask(p, now, decide.RequestID(i+1), 0)
		finish(p, now, decide.RequestID(i+1), 0, a.sent[len(a.sent)-1], decide.Succeeded)
	}
	p.UpdateEndpoints(now, decide.EndpointsDelta, []decide.Backend{{ID: 4, Weight: 1, Started: now}})
	a.sent = a.sent[:0]
	for i := range 300 { // three seconds at 100 a second: 0.15 to 0.2 of a quarter of them
		now += 10 * time.Millisecond
		ask(p, now, decide.RequestID(i+1000), 0)
		finish(p, now, decide.RequestID(i+1000), 0, a.sent[len(a.sent)-1], decide.Succeeded)
	}
	n := 0
	for _, to := range a.sent {
		if to == 4 {
			n++
		}
	}
	require.InDelta(t, 12, n, 5)
}
