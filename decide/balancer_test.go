package decide

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const second = time.Second

// testSettings returns the settings of a small deployment, for tests to adapt.
func testSettings() Settings {
	return Settings{
		Nodes: 1, Zones: []string{"here", "there"}, Kinds: []string{"fast", "slow"},
		Classes: []Class{
			{Name: "read", Effect: Safe, Target: second / 2, Deadline: second, Value: 1},
			{Name: "book", Effect: Keyed, Group: GroupCell, KeyTTL: second, Target: second / 2, Deadline: second, Value: 5},
			{Name: "pay", Effect: Unsafe, Target: second / 2, Deadline: second, Value: 5},
		},
		Limits: Limits{MaxAttempts: 3, Cancel: true, Hedging: true},
		Rules: Rules{ResponseSlack: second / 50, DrainGrace: second / 4, SlowStartFloor: 0.1, SlowStartTime: 20 * second,
			OverloadMultiple: 3, OverloadTime: 2 * second},
	}
}

// recorder records the actions.
type recorder struct {
	sends    []send
	rejected []RequestID
	failed   []RequestID
	watches  int
	wakes    []time.Duration
	logs     []string
}

type send struct {
	id RequestID
	to BackendID
}

func (r *recorder) Send(id RequestID, to BackendID, _ time.Duration) {
	r.sends = append(r.sends, send{id, to})
}
func (r *recorder) Reject(id RequestID, _ time.Duration)   { r.rejected = append(r.rejected, id) }
func (r *recorder) Fail(id RequestID)                      { r.failed = append(r.failed, id) }
func (r *recorder) Cancel(RequestID, int)                  {}
func (r *recorder) Probe(BackendID)                        {}
func (r *recorder) SetTimer(after time.Duration, _ uint64) { r.wakes = append(r.wakes, after) }
func (r *recorder) Watch()                                 { r.watches++ }
func (r *recorder) Log(line string)                        { r.logs = append(r.logs, line) }

func start(t *testing.T, set Settings, list ...Backend) (*Balancer, *recorder) {
	t.Helper()
	r := &recorder{}
	b, err := New(set, 1, r)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(second, EndpointsStored, list)
	return b, r
}

func backends(n int) []Backend {
	var list []Backend
	for i := range n {
		list = append(list, Backend{ID: BackendID(i + 1), Cell: i / 2})
	}
	return list
}

func TestDrainingBackendGetsNothing(t *testing.T) {
	for _, kind := range []EndpointsKind{EndpointsDelta, EndpointsFull} {
		b, r := start(t, testSettings(), backends(3)...)
		gone := Backend{ID: 2, State: Draining}
		if kind == EndpointsFull {
			b.UpdateEndpoints(2*second, kind, []Backend{{ID: 1}, {ID: 3}})
		} else {
			b.UpdateEndpoints(2*second, kind, []Backend{gone})
		}
		for id := range RequestID(30) {
			b.Request(2*second, Request{ID: id, Tenant: -1, Deadline: 3 * second})
			b.Outcome(2*second, Outcome{Request: id, Over: true, Latency: second / 100, Result: Succeeded})
		}
		if len(r.sends) != 30 {
			t.Fatalf("kind %d: %d of 30 requests sent", kind, len(r.sends))
		}
		for _, s := range r.sends {
			if s.to == 2 {
				t.Fatalf("kind %d: request %d went to the draining or removed backend", kind, s.id)
			}
		}
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"Nodes":      func(s *Settings) { s.Nodes = 0 },
		"Classes":    func(s *Settings) { s.Classes = nil },
		"Zone":       func(s *Settings) { s.Zone = 2 },
		"Kinds":      func(s *Settings) { s.Kinds = nil },
		"Limits":     func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"Classes[0]": func(s *Settings) { s.Classes[0].Target = 0 },
	} {
		set := testSettings()
		invalidate(&set)
		if _, err := New(set, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("invalid %s: error %v does not name it", name, err)
		}
	}
	if _, err := New(testSettings(), 1, nil); err == nil {
		t.Error("nil actions: no error")
	}
}

func TestUnknownAndRepeatedEventsAreIgnored(t *testing.T) {
	b, r := start(t, testSettings(), backends(2)...)
	b.Outcome(second, Outcome{Request: 9, Backend: 1, Result: Succeeded})
	b.ClientGone(second, 9)
	b.StreamStarted(second, 9, 0, 0)
	b.Probed(second, Outcome{Backend: 77})
	b.Timer(second, 99)
	b.Request(second, Request{ID: 1, Class: 5})
	b.Request(second, Request{ID: 2, Tenant: 40, Deadline: 2 * second})
	b.Request(second, Request{ID: 2, Deadline: 2 * second})
	done := Outcome{Request: 2, Backend: r.sends[0].to, Over: true, Result: Succeeded}
	b.Outcome(second, done)
	b.Outcome(second, done)
	b.UpdateEndpoints(second, EndpointsDelta, []Backend{{ID: 50, State: Deleted}, {ID: 51, Zone: 8}, {ID: 52, Kind: -1}})
	if len(r.sends) != 1 || len(r.rejected)+len(r.failed) != 0 {
		t.Errorf("sends %v, rejected %v, failed %v", r.sends, r.rejected, r.failed)
	}
}

func TestFailedListCallIsRetriedAfterBackoff(t *testing.T) {
	set := testSettings()
	set.WatchEndpoints = true
	b, r := start(t, set, backends(2)...)
	b.Timer(2*second, timerWatch)
	if r.watches != 1 {
		t.Fatalf("%d calls for the list, want 1", r.watches)
	}
	wakes := len(r.wakes)
	b.UpdateEndpoints(4*second, EndpointsUnavailable, nil)
	if r.watches != 1 || len(r.wakes) != wakes+1 || r.wakes[wakes] < watchBackoff/2 {
		t.Fatalf("after a failure: %d calls, wakes %v", r.watches, r.wakes)
	}
	b.Timer(6*second, timerWatch)
	b.UpdateEndpoints(6*second, EndpointsFull, backends(2))
	b.Timer(9*second, timerWatch)
	if r.watches != 2 {
		t.Errorf("%d calls, want 2: none while the subscription is active", r.watches)
	}
}

// serve sends a request in every interval for a span of time; each backend responds after its own latency. It
// returns the number of attempts at each backend.
func serve(b *Balancer, r *recorder, from, span time.Duration, every time.Duration,
	latency func(BackendID) (time.Duration, Result)) map[BackendID]int {
	count := map[BackendID]int{}
	type end struct {
		at time.Duration
		o  Outcome
	}
	var ends []end
	nextSolve := from
	for now := from; now < from+span || len(ends) > 0; now += every {
		before := len(r.sends)
		if now < from+span {
			b.Request(now, Request{ID: RequestID(now), Tenant: -1, Deadline: now + second})
		}
		for _, s := range r.sends[before:] {
			count[s.to]++
			l, result := latency(s.to)
			ends = append(ends, end{now + l, Outcome{Request: s.id, Backend: s.to, Over: result == Succeeded,
				Latency: l, Result: result}})
		}
		rest := ends[:0]
		for _, e := range ends {
			if e.at > now {
				rest = append(rest, e)
				continue
			}
			before := len(r.sends)
			b.Outcome(now, e.o)
			for n, s := range r.sends[before:] {
				l, result := latency(s.to)
				rest = append(rest, end{now + l, Outcome{Request: s.id, Backend: s.to, Attempt: e.o.Attempt + 1 + n,
					Over: result == Succeeded, Latency: l, Result: result}})
			}
		}
		ends = rest
		b.Timer(now, timerSweep)
		if now >= nextSolve {
			b.Timer(now, timerSolve)
			nextSolve += solveInterval
		}
	}
	return count
}

func TestSlowBackendGetsSmallerShare(t *testing.T) {
	b, r := start(t, testSettings(), backends(6)...)
	count := serve(b, r, second, 20*second, 5*time.Millisecond, func(to BackendID) (time.Duration, Result) {
		if to == 3 {
			return 200 * time.Millisecond, Succeeded
		}
		return 40 * time.Millisecond, Succeeded
	})
	if count[3] == 0 || count[3]*2 > count[1] {
		t.Errorf("slow backend got %d requests, another %d", count[3], count[1])
	}
}

func TestFailingBackendIsEjectedAndRecovers(t *testing.T) {
	b, r := start(t, testSettings(), backends(6)...)
	failing := func(bad bool) func(BackendID) (time.Duration, Result) {
		return func(to BackendID) (time.Duration, Result) {
			if bad && to == 2 {
				return 2 * time.Millisecond, Failed
			}
			return 40 * time.Millisecond, Succeeded
		}
	}
	during := serve(b, r, second, 10*second, 5*time.Millisecond, failing(true))
	after := serve(b, r, 11*second, 40*second, 5*time.Millisecond, failing(false))
	if during[2] > during[1]/10 {
		t.Errorf("failing backend got %d requests, another %d", during[2], during[1])
	}
	if after[2] < after[1]/4 {
		t.Errorf("recovered backend got %d requests, another %d", after[2], after[1])
	}
}

// Occasional failures at all backends must not eject any of them; frequent failures at a single backend must.
func TestFailuresExplainedByChanceEjectNothing(t *testing.T) {
	b, r := start(t, testSettings(), backends(6)...)
	n := 0
	count := serve(b, r, second, 20*second, 5*time.Millisecond, func(to BackendID) (time.Duration, Result) {
		if n++; n%20 == 0 || to == 2 && n%3 == 0 {
			return 40 * time.Millisecond, Failed
		}
		return 40 * time.Millisecond, Succeeded
	})
	for id := BackendID(1); id <= 6; id++ {
		if bad := id == 2; bad != (count[id] < 400) {
			t.Errorf("backend %d got %d of %d attempts", id, count[id], n)
		}
	}
}

// A backend that fails one attempt in six still adds capacity under load and must not be ejected (seen: the
// largest backend of an overloaded fleet was), and lost responses must not count as slowness (seen in a benchmark
// with connection resets).
func TestPartlyFailingBackendIsPenalizedNotEjected(t *testing.T) {
	for _, result := range []Result{Failed, TimedOut} {
		b, r := start(t, testSettings(), backends(4)...)
		n, ejected := 0, 0
		chance := rand.New(rand.NewPCG(7, 7))
		serve(b, r, second, 20*second, 2*time.Millisecond, func(to BackendID) (time.Duration, Result) {
			s := b.byID[to]
			if b.byID[2].ejected {
				ejected++
			}
			n++
			took := time.Duration(float64(40*time.Millisecond) * (1 + float64(s.inFlight*s.inFlight)/300)) // latency rises with load
			if to == 2 && chance.IntN(6) == 0 {
				if result == TimedOut {
					return second / 2, TimedOut
				}
				return took, Failed
			}
			return took, Succeeded
		})
		s := b.byID[2]
		if ejected > 0 || s.slowdown > 1.3 || b.failureRisk(s) < 0.05 || b.failureRisk(b.byID[1]) > 0.02 || s.share >= b.byID[1].share {
			t.Errorf("result %d: ejected for %d of %d attempts, slowdown %v, risk %v, share %v and %v", result, ejected, n, s.slowdown,
				b.failureRisk(s), s.share, b.byID[1].share)
		}
	}
}

// A backend may answer one class and never another: it must be ejected for that class only (seen in a benchmark
// with a failing class), and a keyed request that waits there must be hedged elsewhere.
func TestUnansweredClassIsSentElsewhere(t *testing.T) {
	set := testSettings()
	set.Classes[1].Group = GroupAll
	b, r := start(t, set, backends(4)...)
	type end struct {
		at time.Duration
		o  Outcome
	}
	var ends []end
	sent, late, hedged := [3]int{}, 0, 0
	for i, now := 0, 2*second; now < 22*second; i, now = i+1, now+5*time.Millisecond {
		before := len(r.sends)
		b.Request(now, Request{ID: RequestID(i), Class: 1 + i%2, Tenant: -1, Deadline: now + second})
		rest := ends[:0]
		for _, e := range ends {
			if e.at <= now {
				b.Outcome(now, e.o)
			} else {
				rest = append(rest, e)
			}
		}
		ends = rest
		b.Timer(now, timerSweep)
		if i%100 == 0 {
			b.Timer(now, timerSolve)
		}
		for _, s := range r.sends[before:] {
			class, n := 1+int(s.id)%2, len(b.requests[s.id].attempts)-1
			hedged += n
			if s.to == 3 {
				sent[class]++
			}
			o := Outcome{Request: s.id, Backend: s.to, Attempt: n, Result: Succeeded, Over: true}
			inFlight := b.byID[s.to].inFlight // latency rises with load, so the less loaded faulty backend is attractive
			l := time.Duration(float64(40*time.Millisecond) * (1 + float64(inFlight*inFlight)/20))
			if s.to == 3 && class == 1 {
				o.Result, o.Over, l = TimedOut, b.requests[s.id].closed, second/2
				late++
			}
			o.Latency = l
			ends = append(ends, end{now + l, o})
		}
	}
	if sent[1] > 40 || sent[2] < 300 || hedged == 0 {
		t.Errorf("the backend got %d attempts of the class that it never answers, %d of the other; %d hedged requests", sent[1],
			sent[2], hedged)
	}
}

// A request that a backend rejects as invalid must not be retried, and must not count against the backend.
func TestRejectedRequestIsNotRetried(t *testing.T) {
	b, r := start(t, testSettings(), backends(4)...)
	for id := range RequestID(8) {
		b.Request(second, Request{ID: id, Class: 1, Tenant: -1, Deadline: 2 * second})
		b.Outcome(second, Outcome{Request: id, Backend: r.sends[id].to, Result: InvalidRequest})
	}
	if len(r.sends) != 8 || len(r.failed) != 8 {
		t.Errorf("%d sends and %d failures of 8 requests", len(r.sends), len(r.failed))
	}
	for _, s := range b.backends {
		if s.ejected {
			t.Errorf("backend %d is ejected", s.ID)
		}
	}
}

// A backlog times out several attempts at once; they count as one timeout (seen in the benchmark scenarios ebene
// and rough-2).
func TestOneBacklogCountsAsOneTimeout(t *testing.T) {
	b, r := start(t, testSettings(), backends(1)...)
	b.responses, b.timeouts = 90, 20
	for id := range RequestID(3) {
		b.Request(2*second, Request{ID: id, Tenant: -1, Deadline: 3 * second})
	}
	for _, s := range r.sends {
		b.Outcome(3*second, Outcome{Request: s.id, Backend: 1, Latency: second, Result: TimedOut})
	}
	if s := b.byID[1]; s.consecutiveTimeouts != 1 || s.ejected {
		t.Errorf("%d consecutive timeouts, ejected %v after one backlog of %d attempts", s.consecutiveTimeouts, s.ejected, len(r.sends))
	}
}

// While all backends are ejected there are no shares; the pick queue must be valid when they return.
func TestAllBackendsEjectedKeepsSharesInOrder(t *testing.T) {
	b, r := start(t, testSettings(), backends(3)...)
	serve(b, r, second, 3*second, 10*time.Millisecond, func(BackendID) (time.Duration, Result) {
		return time.Millisecond, Reset
	})
	for _, s := range b.backends {
		if !(s.share >= 0) {
			t.Fatalf("backend %d has the share %v", s.ID, s.share)
		}
	}
	count := serve(b, r, 5*second, 60*second, 10*time.Millisecond, func(BackendID) (time.Duration, Result) {
		return 20 * time.Millisecond, Succeeded
	})
	for id := BackendID(1); id <= 3; id++ {
		if count[id] < 100 {
			t.Errorf("backend %d got only %d requests after all recovered", id, count[id])
		}
	}
}

// If every node used every backend, the backends would run out of connections (seen in the benchmark scenarios ub
// and id1ea5d).
func TestEachBackendIsUsedByFewNodes(t *testing.T) {
	const nodes, fleet = 60, 300
	users := map[BackendID]int{}
	for node := range nodes {
		set := testSettings()
		set.Nodes, set.Node = nodes, node
		b, r := start(t, set, backends(fleet)...)
		serve(b, r, second, 3*second, 50*time.Millisecond, func(BackendID) (time.Duration, Result) {
			return 20 * time.Millisecond, Succeeded
		})
		for _, s := range b.backends {
			if s.share > 0 {
				users[s.ID]++
			}
		}
	}
	for id := BackendID(1); id <= fleet; id++ {
		if n := users[id]; n < 1 || n > nodes/4 {
			t.Errorf("backend %d is used by %d of %d nodes", id, n, nodes)
		}
	}
}

// Under overload, work of the lowest value is rejected first, and tenants above their quota before others.
func TestOverloadRejectsLowestValueFirst(t *testing.T) {
	b, _ := start(t, testSettings(), backends(2)...)
	b.settings.OverQuotaValue = 0.1
	b.setAdmissionLimits(40)
	limit := func(class, sub int) float64 { return b.admissionClasses[4*class+sub].latencyLimit }
	for class := range b.classes {
		if limit(class, 0) <= limit(class, 1) {
			t.Errorf("class %d: a tenant above its quota is preferred", class)
		}
	}
	if limit(1, 0) <= limit(0, 0) || limit(1, 0) > b.latencyTarget {
		t.Errorf("high value %v, low value %v, latency target %v", limit(1, 0), limit(0, 0), b.latencyTarget)
	}
}

// flood sends requests until one is rejected and returns how many were admitted.
func flood(b *Balancer, r *recorder, now time.Duration, from RequestID) (admitted int) {
	for rejected := len(r.rejected); len(r.rejected) == rejected && admitted < 1000; admitted++ {
		b.Request(now, Request{ID: from + RequestID(admitted), Class: 1, Tenant: -1, Deadline: now + second})
	}
	return admitted - 1
}

// Admission must follow the number in flight, not the arrival rate: a burst is rejected only once too much is in
// flight, and requests are admitted again as soon as that is answered (seen in benchmarks with misbehaving clients
// and with churn).
func TestAdmissionFollowsInFlight(t *testing.T) {
	b, r := start(t, testSettings(), backends(4)...)
	serve(b, r, second, 10*second, 5*time.Millisecond, func(BackendID) (time.Duration, Result) {
		return 40 * time.Millisecond, Succeeded
	})
	from, sent := RequestID(1e12), len(r.sends)
	first := flood(b, r, 12*second, from)
	if first < 8 || first > 500 {
		t.Errorf("%d admitted before the first rejection", first)
	}
	for _, s := range r.sends[sent:] {
		b.Outcome(13*second, Outcome{Request: s.id, Backend: s.to, Over: true, Latency: second / 20, Result: Succeeded})
	}
	b.Timer(13*second, timerSolve)
	if again := flood(b, r, 13*second, 2*from); again < first/3 {
		t.Errorf("%d admitted at first, %d after all were answered", first, again)
	}
}

func TestSteadyStateDoesNotAllocate(t *testing.T) {
	b, err := New(testSettings(), 1, noActions{})
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(second, EndpointsStored, backends(8))
	id, now := RequestID(0), 2*second
	round := func() {
		id++
		now += 5 * time.Millisecond
		b.Request(now, Request{ID: id, Tenant: -1, Deadline: now + second})
		to := b.requests[id].attempts[0].backend.ID
		b.Outcome(now+time.Millisecond, Outcome{Request: id, Backend: to, Over: true,
			Latency: time.Millisecond, Result: Succeeded})
		b.Timer(now, timerSweep)
	}
	for range 2000 {
		round()
	}
	if n := testing.AllocsPerRun(1000, round); n > 0 {
		t.Errorf("%v allocations per request", n)
	}
}

// noActions ignores every action.
type noActions struct{}

func (noActions) Send(RequestID, BackendID, time.Duration) {}
func (noActions) Reject(RequestID, time.Duration)          {}
func (noActions) Fail(RequestID)                           {}
func (noActions) Cancel(RequestID, int)                    {}
func (noActions) Probe(BackendID)                          {}
func (noActions) SetTimer(time.Duration, uint64)           {}
func (noActions) Watch()                                   {}
func (noActions) Log(string)                               {}

// FuzzEvents sends events derived from the fuzz input to a Balancer; the harness checks the rules.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("a few requests"), uint64(1))
	f.Add([]byte{0, 255, 3, 9, 200, 31, 8, 77, 1, 1, 1, 60}, uint64(2))
	f.Fuzz(func(t *testing.T, input []byte, seed uint64) {
		w := newHarness(t, testSettings(), seed, 0.4)
		list := mixedBackends(6)
		w.list(EndpointsStored, list...)
		for _, step := range input {
			switch step % 4 {
			case 0, 1:
				w.arrive()
			case 2:
				w.churn(list)
			}
			w.step(time.Duration(step) * time.Millisecond)
		}
		w.step(5 * second)
	})
}

// The long latency of an expensive request must not count against its backend if a cost hint explains it.
func TestCostHintsScaleWork(t *testing.T) {
	b, _ := start(t, testSettings(), backends(1)...)
	for id := range RequestID(20) {
		b.Request(second, Request{ID: id, Tenant: -1, Deadline: 2 * second, Cost: 0.01})
	}
	b.Request(second, Request{ID: 1000, Tenant: -1, Deadline: 2 * second, Cost: 0.05})
	light, heavy := b.requests[0].work, b.requests[1000].work
	if light < 0.9 || light > 1.1 || heavy < 4*light {
		t.Errorf("work %v and %v for cost hints in the ratio 1 to 5", light, heavy)
	}
}
