package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// harness sends seeded random events to a Balancer and checks its actions against the rules. It models no queues
// or speeds: it is a source of valid and unusual event streams, not of realistic ones.
type harness struct {
	t    *testing.T
	rand *rand.Rand
	set  Settings
	b    *Balancer
	now  time.Duration

	requests map[RequestID]*sentRequest
	backends map[BackendID]*listedBackend
	wakes    []wake
	ends     []ending
	nextID   RequestID
	trace    []string
	faulty   float64 // fraction of attempts that fail
}

type listedBackend struct {
	Backend
	drainingSince time.Duration // when the Balancer was notified that the backend drains or is deleted, 0 = serving
}

type sentRequest struct {
	Request
	finalResponses int
	over           bool
	attempts       []sentAttempt
}

type sentAttempt struct {
	to         *listedBackend
	at         time.Duration
	done       bool
	mayHaveRun bool
}

type wake struct {
	at    time.Duration
	token uint64
}

type ending struct {
	at      time.Duration
	id      RequestID
	attempt int
	result  Result
}

func newHarness(t *testing.T, set Settings, seed uint64, faulty float64) *harness {
	t.Helper()
	w := &harness{t: t, rand: rand.New(rand.NewPCG(seed, 7)), set: set, now: 100 * second, faulty: faulty,
		requests: map[RequestID]*sentRequest{}, backends: map[BackendID]*listedBackend{}}
	b, err := New(set, seed, w)
	if err != nil {
		t.Fatal(err)
	}
	w.b = b
	return w
}

func (w *harness) record(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
}

func (w *harness) Send(id RequestID, to BackendID, abandon time.Duration) {
	w.record("send %d %d %v", id, to, abandon)
	q, d := w.requests[id], w.backends[to]
	switch {
	case q == nil || d == nil:
		w.t.Fatalf("send of unknown request %d to %d", id, to)
	case q.over || q.finalResponses > 0:
		w.t.Fatalf("request %d sent after its end", id)
	case d.drainingSince > 0 && w.now > d.drainingSince+w.set.Rules.DrainGrace:
		w.t.Fatalf("request %d sent to %d, draining since %v", id, to, d.drainingSince)
	case len(q.attempts) >= w.set.Limits.MaxAttempts:
		w.t.Fatalf("request %d has too many attempts", id)
	}
	w.checkRetry(q, d)
	q.attempts = append(q.attempts, sentAttempt{to: d, at: w.now})
	result, after := Succeeded, time.Duration(w.rand.ExpFloat64()*float64(80*time.Millisecond))
	if w.rand.Float64() < w.faulty {
		result = []Result{Failed, Overloaded, TimedOut, ConnectFailed, Reset}[w.rand.IntN(5)]
	}
	if at := w.now + after; result == TimedOut || at > abandon {
		result, after = TimedOut, max(abandon-w.now, 0)
	}
	w.ends = append(w.ends, ending{w.now + after, id, len(q.attempts) - 1, result})
}

// checkRetry checks a send against the class of the request and its earlier attempts.
func (w *harness) checkRetry(q *sentRequest, d *listedBackend) {
	c := w.set.Classes[q.Class]
	var first *sentAttempt
	for i := range q.attempts {
		a := &q.attempts[i]
		if !a.done && !w.set.Limits.Hedging {
			w.t.Fatalf("request %d has two attempts in flight", q.ID)
		}
		if first == nil && (!a.done || a.mayHaveRun) {
			first = a
		}
	}
	if first == nil || c.Effect == Safe {
		return
	}
	if c.Effect == Unsafe {
		w.t.Fatalf("unsafe request %d sent again", q.ID)
	}
	inside := c.Group == GroupAll || d.Zone == first.to.Zone && (c.Group == GroupZone || d.Cell == first.to.Cell)
	if !inside || w.now > first.at+c.KeyTTL {
		w.t.Fatalf("keyed request %d sent again outside its group or time", q.ID)
	}
}

func (w *harness) final(id RequestID) *sentRequest {
	q := w.requests[id]
	if q == nil {
		w.t.Fatalf("final response to unknown request %d", id)
	}
	if q.over || q.finalResponses > 0 {
		w.t.Fatalf("request %d has two final responses", id)
	}
	q.finalResponses++
	return q
}

func (w *harness) Reject(id RequestID, _ time.Duration) {
	w.record("reject %d", id)
	q := w.final(id)
	c := w.set.Classes[q.Class]
	for _, a := range q.attempts {
		if (!a.done || a.mayHaveRun) && (c.Effect == Unsafe || c.Effect == Keyed && c.Group != GroupAll) {
			w.t.Fatalf("request %d rejected though it may have run", id)
		}
	}
}

func (w *harness) Fail(id RequestID) { w.record("fail %d", id); w.final(id) }

func (w *harness) Cancel(id RequestID, n int) {
	w.record("cancel %d %d", id, n)
	if q := w.requests[id]; q == nil || n >= len(q.attempts) {
		w.t.Fatalf("cancel of unknown attempt %d of %d", n, id)
	}
	for i := range w.ends {
		if w.ends[i].id == id && w.ends[i].attempt == n {
			w.ends[i].at, w.ends[i].result = w.now, Cancelled
		}
	}
}

func (w *harness) Probe(to BackendID) { w.record("probe %d", to) }
func (w *harness) Watch()             { w.record("watch") }
func (w *harness) Log(line string)    { w.record("log %s", line) }

func (w *harness) SetTimer(after time.Duration, token uint64) {
	w.wakes = append(w.wakes, wake{w.now + after, token})
}

// list updates the endpoint list, by changes or completely.
func (w *harness) list(kind EndpointsKind, entries ...Backend) {
	if kind != EndpointsDelta {
		for _, d := range w.backends {
			if d.drainingSince == 0 {
				d.drainingSince = w.now
			}
		}
	}
	for _, e := range entries {
		d := w.backends[e.ID]
		if d == nil {
			d = &listedBackend{}
			w.backends[e.ID] = d
		}
		was := d.drainingSince
		*d = listedBackend{Backend: e}
		if e.State != Serving {
			d.drainingSince = w.now
			if was > 0 {
				d.drainingSince = was
			}
		}
	}
	w.b.UpdateEndpoints(w.now, kind, entries)
}

func (w *harness) arrive() {
	q := Request{ID: w.nextID, Class: w.rand.IntN(len(w.set.Classes)), Tenant: -1, Repeat: w.rand.IntN(9) == 0}
	w.nextID++
	q.Deadline = w.now + w.set.Classes[q.Class].Deadline*time.Duration(3+w.rand.IntN(8))/10
	w.requests[q.ID] = &sentRequest{Request: q}
	w.b.Request(w.now, q)
}

// step advances the time, and handles the timers and ends of attempts that are due.
func (w *harness) step(span time.Duration) {
	w.now += span
	sort.SliceStable(w.ends, func(i, j int) bool { return w.ends[i].at < w.ends[j].at })
	for len(w.ends) > 0 && w.ends[0].at <= w.now {
		e := w.ends[0]
		w.ends = w.ends[1:]
		q := w.requests[e.id]
		a := &q.attempts[e.attempt]
		a.done, a.mayHaveRun = true, e.result.MayHaveRun()
		if e.result == Succeeded {
			q.over = true
		}
		w.b.Outcome(w.now, Outcome{Request: e.id, Backend: a.to.ID, Attempt: e.attempt,
			Over: q.over || q.finalResponses > 0, Latency: w.now - a.at, Result: e.result})
	}
	var due []wake
	rest := w.wakes[:0]
	for _, k := range w.wakes {
		if k.at <= w.now {
			due = append(due, k)
		} else {
			rest = append(rest, k)
		}
	}
	w.wakes = rest
	for _, k := range due {
		w.b.Timer(w.now, k.token)
	}
	for _, s := range w.b.backends {
		if math.IsNaN(s.share + s.slowdown + s.model.loadCoeff) {
			w.t.Fatalf("not a number: %+v of %+v, rate %v", *s, *s.model, w.b.sendRate)
		}
	}
	for _, q := range w.requests {
		if q.finalResponses == 0 && !q.over && w.now > q.Deadline+w.set.Rules.ResponseSlack {
			w.t.Fatalf("request %d has no final response at %v, due %v", q.ID, w.now, q.Deadline)
		}
	}
}

// churn changes the list at random: backends drain, are removed, restart or join.
func (w *harness) churn(list []Backend) {
	e := &list[w.rand.IntN(len(list))]
	switch w.rand.IntN(5) {
	case 0:
		e.State = Draining
	case 1:
		e.State = Deleted
	case 2:
		e.State, e.Started = Serving, w.now
	default:
		e.State = Serving
	}
	if w.rand.IntN(3) > 0 {
		w.list(EndpointsDelta, *e)
		return
	}
	var whole []Backend
	for _, e := range list {
		if e.State != Deleted {
			whole = append(whole, e)
		}
	}
	w.list(EndpointsFull, whole...)
}

func (w *harness) run(list []Backend, ticks int) {
	w.list(EndpointsStored, list...)
	for range ticks {
		for range w.rand.IntN(6) {
			w.arrive()
		}
		if w.rand.IntN(20) == 0 {
			w.churn(list)
		}
		if w.rand.IntN(20) == 0 && w.nextID > 0 { // a client disconnects
			q := w.requests[w.nextID-1]
			if q.finalResponses == 0 && !q.over {
				q.over = true
				w.b.ClientGone(w.now, q.ID)
			}
		}
		w.step(5 * time.Millisecond)
	}
	for range 800 { // let every attempt end
		w.step(5 * time.Millisecond)
	}
}

// variants returns settings that differ in what the rules depend on.
func variants() map[string]Settings {
	one := testSettings()
	single := testSettings()
	single.Limits.Hedging = false
	groups := testSettings()
	groups.Classes[1].Group = GroupZone
	groups.Classes[1].KeyTTL = 50 * time.Millisecond
	everywhere := testSettings()
	everywhere.Classes[1].Group = GroupAll
	everywhere.Limits.MaxAttempts = 1
	short := testSettings() // keys expire before an attempt would be abandoned
	short.Classes[1].Group, short.Classes[1].KeyTTL = GroupAll, 50*time.Millisecond
	many := testSettings()
	many.Nodes, many.Node, many.WatchEndpoints = 40, 17, true
	many.Weights = WeightLive
	return map[string]Settings{"copies": one, "single": single, "zone group": groups, "short window": short, "one attempt": everywhere,
		"many nodes": many}
}

func mixedBackends(n int) []Backend {
	list := backends(n)
	for i := range list {
		list[i].Zone, list[i].Kind, list[i].Weight = i%2, i%3/2, 1
		list[i].Cell = i%2*100 + i/6
	}
	return list
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	for name, set := range variants() {
		for seed := range uint64(8) {
			faulty := []float64{0.02, 0.3, 0.9, 1}[seed%4]
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				w := newHarness(t, set, seed, faulty)
				w.run(mixedBackends(12), 1500)
				if len(w.requests) < 1000 {
					t.Fatalf("only %d requests were sent", len(w.requests))
				}
			})
		}
	}
}

func TestEveryRequestIsAnsweredWithoutBackends(t *testing.T) {
	w := newHarness(t, testSettings(), 1, 0)
	w.list(EndpointsStored)
	for range 50 {
		w.arrive()
	}
	w.step(5 * time.Millisecond)
	for id, q := range w.requests {
		if q.finalResponses != 1 {
			t.Errorf("request %d: %d final responses", id, q.finalResponses)
		}
	}
	w.list(EndpointsFull, mixedBackends(4)...)
	w.list(EndpointsFull) // every backend is removed again
	w.arrive()
	if q := w.requests[w.nextID-1]; q.finalResponses != 1 || len(q.attempts) != 0 {
		t.Errorf("without backends: %d final responses, %d sends", q.finalResponses, len(q.attempts))
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func(between func()) []string {
		w := newHarness(t, testSettings(), 5, 0.2)
		list := mixedBackends(10)
		w.list(EndpointsStored, list...)
		for range 300 {
			w.arrive()
			w.step(5 * time.Millisecond)
			between()
		}
		return w.trace
	}
	alone := run(func() {})
	other := newHarness(t, testSettings(), 6, 0.5)
	other.list(EndpointsStored, mixedBackends(7)...)
	interleaved := run(func() { other.arrive(); other.step(5 * time.Millisecond) })
	if len(alone) != len(interleaved) {
		t.Fatalf("%d actions alone, %d interleaved with another instance", len(alone), len(interleaved))
	}
	for i := range alone {
		if alone[i] != interleaved[i] {
			t.Fatalf("action %d: %q alone, %q interleaved with another instance", i, alone[i], interleaved[i])
		}
	}
}

// All nodes together must stay within the slow-start budget of a backend in every window, whatever their fractions
// of the traffic. The budget is in requests, relative to what an average backend serves when all are up.
func TestSlowStartStaysWithinBudget(t *testing.T) {
	for _, c := range []struct {
		name          string
		nodes, cold   int
		uneven, twice bool
	}{
		{"one cold", 4, 1, false, false},
		{"one cold, uneven nodes", 4, 1, true, false},
		{"most cold", 6, 8, false, false},
		{"all cold", 3, 12, false, false},
		{"restarted twice", 3, 2, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			const fleet, perTick = 12, 8 // requests per tick over all nodes: 1600/s, 133/s per backend
			set := testSettings()
			set.Nodes, set.Classes = c.nodes, set.Classes[:1]
			list := backends(fleet)
			sent := map[BackendID][]time.Duration{}
			var harnesses []*harness
			for i := range c.nodes {
				set.Node = i
				w := newHarness(t, set, uint64(i), 0)
				w.list(EndpointsStored, list...)
				harnesses = append(harnesses, w)
			}
			pick := rand.New(rand.NewPCG(9, 9))
			restart := func() {
				for i := range c.cold {
					list[i].Started = harnesses[0].now
				}
				for _, w := range harnesses {
					w.list(EndpointsDelta, list[:c.cold]...)
				}
			}
			for tick := range 2400 {
				if tick == 600 || tick == 1400 && c.twice {
					restart()
				}
				for range perTick {
					i := pick.IntN(c.nodes)
					if c.uneven {
						i = min(i, pick.IntN(c.nodes), pick.IntN(c.nodes))
					}
					w := harnesses[i]
					w.arrive()
					for _, a := range w.requests[w.nextID-1].attempts {
						if a.to.Started > 0 {
							sent[a.to.ID] = append(sent[a.to.ID], w.now)
						}
					}
				}
				for _, w := range harnesses {
					w.step(5 * time.Millisecond)
				}
			}
			checkSlowStart(t, set.Rules, list, sent, perTick*200.0/fleet)
		})
	}
}

func checkSlowStart(t *testing.T, r Rules, list []Backend, sent map[BackendID][]time.Duration, perBackend float64) {
	t.Helper()
	for _, e := range list {
		var times []time.Duration
		for _, at := range sent[e.ID] {
			if at >= e.Started { // sends to an earlier process do not count
				times = append(times, at)
			}
		}
		for i, end := range times {
			n := 0
			for j := i; j >= 0 && times[j] > end-r.OverloadTime; j-- {
				n++
			}
			age := min(1, (end-e.Started).Seconds()/r.SlowStartTime.Seconds())
			fraction := r.SlowStartFloor + (1-r.SlowStartFloor)*age
			if budget := r.OverloadMultiple * fraction * perBackend * r.OverloadTime.Seconds(); float64(n) > budget {
				t.Fatalf("backend %d got %d attempts in a window, its budget is %.1f", e.ID, n, budget)
			}
		}
	}
}

// Guards against rejections while there is capacity: if the idle latency is already 0.6 of the shortest target, a
// latency cap relative to the target leaves hardly any capacity, and a quarter of the work was rejected that a
// simple policy served.
func TestIdleLatencyNearTargetLeavesCapacity(t *testing.T) {
	b, _ := start(t, testSettings(), backends(4)...)
	b.kindModels[0] = kindModel{idleLatency: 0.6 * b.latencyTarget, loadCoeff: 0.12 * b.latencyTarget, measured: true} // at one unit per second: 0.72 of the target
	for _, c := range []struct {
		rate     float64
		shedding bool
	}{{4.8, false}, {6, true}} {
		b.now, b.arrivalRate = b.lastSolve, c.rate
		b.solve()
		if b.shedding != c.shedding {
			t.Errorf("%.1f units/s arriving for 4 backends: shedding %t", c.rate, b.shedding)
		}
	}
}
