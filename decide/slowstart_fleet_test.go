package decide

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulatedFleet is a fleet in virtual time: nodes with a Balancer each, which do not communicate, and backends
// that start cold. No backend fails from overload here: attempts are counted in every window, and all windows are
// checked.
type simulatedFleet struct {
	rand     *rand.Rand
	now      time.Duration
	due      eventQueue
	set      Settings
	plan     fleetPlan
	nodes    []*simulatedNode
	backends []*simulatedBackend
	arrival  []float64 // by node, cumulative arrival rates
	lastID   RequestID
	seq      int
	byID     map[BackendID]*simulatedBackend

	windows int     // windows that end with an attempt at a backend in slow start
	over    int     // windows above the bound with over two thirds of attempts from nodes that knew of the start
	maxUse  float64 // highest use of the bound in a window with that many attempts from such nodes
	retries int     // retries and hedged requests at a backend in slow start
}

// fleetPlan is a scenario: backends restart at second 7, others join at 9, there is a burst from 8 to 12, and
// nodes are killed from 8 on. Some backends hang from 5 on, and some fail most attempts from 6 on.
type fleetPlan struct {
	nodes, backends int
	load            float64       // arrival rate, as a fraction of the capacity of all backends
	rate            float64       // units per second of a warm backend of size 1
	spread          time.Duration // time over which nodes learn of a start
	restarting      float64       // fraction of backends that restart together
	hang, fail      float64       // fractions of backends
	killed          float64       // fraction of nodes that restart without state
	roll            bool          // a tenth of the killed nodes restarts at a time
	keyed           bool          // all requests are keyed
	cells           bool          // keys are shared within cells
	slowWarmup      bool          // backends gain capacity late instead of linearly
	burstAtStart    int           // requests that arrive at a restarted node within 0.1 s
}

type simulatedBackend struct {
	Backend
	rate            float64 // units per second when warm
	down, bad, hang bool
	backlog         float64
	at              time.Duration     // time that backlog was computed for
	sends           []receivedAttempt // attempts in the last window
}

type receivedAttempt struct {
	at                time.Duration
	startKnown, retry bool
}

type simulatedNode struct {
	f           *simulatedFleet
	number      int
	incarnation int
	b           *Balancer
	knownStarts map[BackendID]time.Duration
	open        map[RequestID]*simulatedRequest
}

type simulatedRequest struct {
	attempts []bool // whether each has ended
	done     bool
}

type timedEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []timedEvent

func (d eventQueue) Len() int { return len(d) }
func (d eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].at, d[j].at), cmp.Compare(d[i].seq, d[j].seq)) < 0
}
func (d eventQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *eventQueue) Push(x any)   { *d = append(*d, x.(timedEvent)) }
func (d *eventQueue) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func (f *simulatedFleet) after(wait time.Duration, do func()) {
	f.seq++
	heap.Push(&f.due, timedEvent{f.now + max(0, wait), f.seq, do})
}

func (f *simulatedFleet) list() (all []Backend) {
	for _, r := range f.backends {
		if !r.down {
			all = append(all, r.Backend)
		}
	}
	return all
}

func (n *simulatedNode) start() {
	n.incarnation++
	n.open, n.knownStarts = map[RequestID]*simulatedRequest{}, map[BackendID]time.Duration{}
	set := n.f.set
	set.Node = n.number
	b, err := New(set, n.f.rand.Uint64(), n)
	if err != nil {
		panic(err)
	}
	n.b = b
	for _, r := range n.f.backends {
		n.knownStarts[r.ID] = r.Started
	}
	b.UpdateEndpoints(n.f.now, EndpointsStored, n.f.list())
}

func (n *simulatedNode) SetTimer(after time.Duration, token uint64) {
	incarnation := n.incarnation
	n.f.after(after, func() {
		if n.incarnation == incarnation {
			n.b.Timer(n.f.now, token)
		}
	})
}
func (n *simulatedNode) Reject(id RequestID, _ time.Duration) { n.open[id].done = true }
func (n *simulatedNode) Fail(id RequestID)                    { n.open[id].done = true }
func (n *simulatedNode) Probe(BackendID)                      {}
func (n *simulatedNode) Watch()                               {}
func (n *simulatedNode) Log(string)                           {}
func (n *simulatedNode) Cancel(id RequestID, i int)           { n.end(id, i, 0, time.Millisecond, Cancelled) }

// end reports the end of an attempt to the node after a delay.
func (n *simulatedNode) end(id RequestID, i int, to BackendID, wait time.Duration, result Result) {
	incarnation, sent := n.incarnation, n.f.now
	n.f.after(wait, func() {
		q := n.open[id]
		if n.incarnation != incarnation || q.attempts[i] {
			return
		}
		q.attempts[i] = true
		q.done = q.done || result == Succeeded
		n.b.Outcome(n.f.now, Outcome{Request: id, Backend: to, Attempt: i, Over: q.done, Latency: n.f.now - sent, Result: result})
	})
}

func (n *simulatedNode) Send(id RequestID, to BackendID, abandon time.Duration) {
	f, q := n.f, n.open[id]
	i := len(q.attempts)
	q.attempts = append(q.attempts, false)
	r := f.byID[to]
	if r.down {
		n.end(id, i, to, time.Millisecond, ConnectFailed)
		return
	}
	r.recordSend(f, receivedAttempt{f.now, n.knownStarts[to] == r.Started, i > 0})
	capacity := r.rate * r.capacityFraction(f)
	r.backlog = max(0, r.backlog-capacity*(f.now-r.at).Seconds())
	r.at = f.now
	if r.backlog > 1.5*capacity {
		n.end(id, i, to, time.Millisecond, Overloaded)
		return
	}
	r.backlog++
	took := seconds(0.06 + 0.06*f.rand.ExpFloat64() + r.backlog/capacity)
	switch draw := f.rand.Float64(); {
	case r.hang || draw < 0.005 || f.now+took > abandon:
		n.end(id, i, to, abandon-f.now, TimedOut)
	case draw < 0.05 || r.bad && draw < 0.7:
		n.end(id, i, to, took/2, Failed)
	default:
		n.end(id, i, to, took, Succeeded)
	}
}

const slowStartSeconds = 24

// capacityFraction returns the fraction of its capacity that a backend has; its growth during slow start is
// unspecified.
func (r *simulatedBackend) capacityFraction(f *simulatedFleet) float64 {
	age := min(1, (f.now-r.Started).Seconds()/slowStartSeconds)
	if r.Started == 0 {
		age = 1
	} else if f.plan.slowWarmup {
		age *= age * age
	}
	return f.set.Rules.SlowStartFloor + (1-f.set.Rules.SlowStartFloor)*age
}

// recordSend records an attempt and checks the window that ends now.
func (r *simulatedBackend) recordSend(f *simulatedFleet, s receivedAttempt) {
	fraction, window := r.capacityFraction(f), f.set.Rules.OverloadTime
	if fraction >= 1 {
		return
	}
	r.sends = append(r.sends, s)
	for r.sends[0].at <= f.now-window {
		r.sends = r.sends[1:]
	}
	informed := 0.0
	for _, s := range r.sends {
		if s.startKnown {
			informed++
		}
	}
	budget, total := f.set.Rules.OverloadMultiple*fraction*r.rate*window.Seconds(), float64(len(r.sends))
	f.windows++
	if s.retry {
		f.retries++
	}
	if use := total / (budget + 2*math.Sqrt(budget) + 2); informed > total*2/3 {
		f.maxUse = max(f.maxUse, use)
		if use > 1 {
			f.over++
		}
	}
}

// restart restarts the given backends, or starts new ones.
func (f *simulatedFleet) restart(backends []*simulatedBackend) {
	for _, r := range backends {
		r.down = true
		f.after(time.Second/2+time.Duration(f.rand.Int64N(int64(time.Second))), func() {
			r.down, r.Started, r.backlog, r.sends = false, f.now, 0, nil
			for _, n := range f.nodes {
				f.after(time.Duration(f.rand.Float64()*float64(f.plan.spread)), func() {
					if n.knownStarts[r.ID] != r.Started {
						n.knownStarts[r.ID] = r.Started
						n.b.UpdateEndpoints(f.now, EndpointsDelta, []Backend{r.Backend})
					}
				})
			}
		})
	}
}

func (f *simulatedFleet) sample(fraction float64) (backends []*simulatedBackend) {
	for _, i := range f.rand.Perm(len(f.backends))[:int(math.Ceil(fraction*float64(len(f.backends))))] {
		backends = append(backends, f.backends[i])
	}
	return backends
}

func (f *simulatedFleet) arrive() {
	at, _ := slices.BinarySearch(f.arrival, f.rand.Float64()*f.arrival[len(f.arrival)-1])
	f.request(f.nodes[at])
}

// request sends a new request to a node.
func (f *simulatedFleet) request(n *simulatedNode) {
	f.lastID++
	class := f.rand.IntN(len(f.set.Classes))
	if f.plan.keyed {
		class = 1
	}
	n.open[f.lastID] = &simulatedRequest{}
	n.b.Request(f.now, Request{ID: f.lastID, Class: class, Tenant: -1, Deadline: f.now + f.set.Classes[class].Deadline})
}

func simulateFleet(p fleetPlan, seed uint64) *simulatedFleet {
	f := &simulatedFleet{rand: rand.New(rand.NewPCG(seed, 11)), now: second, plan: p, set: testSettings(), byID: map[BackendID]*simulatedBackend{}}
	f.set.Nodes = p.nodes
	f.set.Weights = WeightSize
	f.set.Rules = Rules{ResponseSlack: second / 50, DrainGrace: second / 2, SlowStartFloor: 0.15, SlowStartTime: slowStartSeconds * second,
		OverloadMultiple: 3, OverloadTime: second}
	f.set.Classes[0].Target, f.set.Classes[0].Deadline = 600*time.Millisecond, 1500*time.Millisecond
	f.set.Classes[1].Target, f.set.Classes[1].Deadline, f.set.Classes[1].KeyTTL = 600*time.Millisecond, 1500*time.Millisecond, 3*second
	f.set.Classes[2].Target, f.set.Classes[2].Deadline = 1500*time.Millisecond, 5*second
	if !p.cells {
		f.set.Classes[1].Group = GroupAll
	}
	f.set.Limits.MaxAttempts = 6
	capacity := 0.0
	add := func() *simulatedBackend {
		size := 0.7 + 1.3*f.rand.Float64()
		r := &simulatedBackend{Backend: Backend{ID: BackendID(f.rand.Uint32()), Weight: size, Cell: len(f.backends) / 8}, rate: size * p.rate}
		f.backends, f.byID[r.ID] = append(f.backends, r), r
		return r
	}
	for range p.backends {
		capacity += add().rate
	}
	rate := 0.0
	for i := range p.nodes {
		w := 1.0
		if i%5 == 0 {
			w = 5
		}
		rate += w * (0.5 + f.rand.Float64())
		f.arrival = append(f.arrival, rate)
		n := &simulatedNode{f: f, number: i}
		f.nodes = append(f.nodes, n)
		n.start()
	}
	burst := 1.0
	var next func()
	next = func() {
		f.arrive()
		f.after(seconds(f.rand.ExpFloat64()/(capacity*p.load*burst)), next)
	}
	next()
	for _, r := range f.sample(p.hang) {
		f.after(5*second, func() { r.hang = true })
	}
	for _, r := range f.sample(p.fail) {
		f.after(6*second, func() { r.bad = true })
	}
	f.after(7*second, func() { f.restart(f.sample(p.restarting)) })
	f.after(9*second, func() {
		for range 1 + p.backends/16 {
			r := add()
			r.down = true
			f.restart([]*simulatedBackend{r})
		}
	})
	f.after(8*second, func() { burst = 1.5 })
	f.after(12*second, func() { burst = 1 })
	for i, n := range f.nodes {
		if f.rand.Float64() < p.killed {
			at := 8 * second
			if p.roll {
				at += time.Duration(i*10/p.nodes) * second
			}
			f.after(at, func() {
				n.start()
				for range p.burstAtStart {
					f.after(seconds(0.1*f.rand.Float64()), func() { f.request(n) })
				}
			})
		}
	}
	for len(f.due) > 0 && f.now < 16*second {
		d := heap.Pop(&f.due).(timedEvent)
		f.now = d.at
		d.do()
	}
	return f
}

// Guards the slow-start rule for the total of all nodes: random variation may add 2*sqrt(N)+2 to a budget of N,
// and no window with most attempts from nodes that knew of the start may have more. Every attempt at a backend in
// slow start counts: first attempts, retries and hedged requests, from nodes with several times the mean load,
// from restarted nodes, and while other backends fail and hang.
func TestSlowStartBudgetOverAllNodes(t *testing.T) {
	usual := fleetPlan{load: 0.5, rate: 15, spread: second, restarting: 0.25, fail: 0.125}
	changes := map[string]func(p *fleetPlan){
		"one in eight backends fails":             func(*fleetPlan) {},
		"one in eight backends fails, keyed only": func(p *fleetPlan) { p.keyed = true },
		"one in eight backends hangs":             func(p *fleetPlan) { p.hang = 0.125 },
		"bound to cells":                          func(p *fleetPlan) { p.keyed, p.cells = true, true },
		"starts reported late, nodes killed":      func(p *fleetPlan) { p.spread, p.killed, p.load = 6*second, 0.7, 0.7 },
		"all cold, rolling node restarts":         func(p *fleetPlan) { p.restarting, p.killed, p.roll = 1, 1, true },
		"late warm-up, high load":                 func(p *fleetPlan) { p.slowWarmup, p.load, p.killed = true, 0.8, 0.5 },
		"small backends":                          func(p *fleetPlan) { p.rate, p.load, p.keyed = 6, 0.3, true },
		"a burst at killed nodes":                 func(p *fleetPlan) { p.restarting, p.killed, p.load, p.burstAtStart = 0.5, 0.7, 0.7, 20 },
	}
	windows, retries := 0, 0
	for _, c := range []struct {
		nodes, backends int
		seeds           []uint64
		names           []string
	}{
		{2, 8, []uint64{0, 1, 2}, slices.Sorted(maps.Keys(changes))},
		{20, 40, []uint64{5}, slices.Sorted(maps.Keys(changes))},
		{30, 60, []uint64{4}, []string{"one in eight backends fails, keyed only", "starts reported late, nodes killed", "late warm-up, high load", "a burst at killed nodes"}},
		{300, 40, []uint64{4}, []string{"one in eight backends fails, keyed only"}},
	} {
		for _, name := range c.names {
			t.Run(fmt.Sprintf("%d nodes/%s", c.nodes, name), func(t *testing.T) {
				for _, seed := range c.seeds {
					p := usual
					p.nodes, p.backends = c.nodes, c.backends
					changes[name](&p)
					f := simulateFleet(p, seed)
					t.Logf("seed %d: %d windows, highest use %.2f of the bound, %d retries and hedged requests", seed, f.windows, f.maxUse, f.retries)
					require.Zero(t, f.over, "windows above the bound, of %d; highest use %.2f of the bound", f.windows, f.maxUse)
					windows, retries = windows+f.windows, retries+f.retries
				}
			})
		}
	}
	require.Greater(t, windows, 4000)
	require.Greater(t, retries, 100)
}

// slowStartRecorder is a harness that checks when a backend in slow start may get the next attempt. After a start,
// and after a return to the list, the first gap begins at a random point.
type slowStartRecorder struct {
	*harness
	next     map[backendProcess]time.Duration
	attempts int
}

type backendProcess struct {
	*backendState
	started time.Duration
}

func (g *slowStartRecorder) Send(id RequestID, to BackendID, abandon time.Duration) {
	if s := g.b.byID[to]; g.b.capacityFraction(s) < 1 {
		g.attempts++
		this := backendProcess{s, s.Started}
		if s.queueIndex < 0 || g.now < g.next[this] {
			g.t.Fatalf("attempt %d of a request at a backend in slow start at %v, queue index %d, next permitted at %v",
				len(g.requests[id].attempts), g.now, s.queueIndex, g.next[this])
		}
		g.next[this] = g.now + seconds(slowStartGap/s.slowStartLimit)
	}
	g.harness.Send(id, to, abandon)
}

// Guards the slow-start rule of one node for any history: attempts at a backend in slow start are at least a gap
// apart, whatever kind they are, and a node without a limit for the backend sends none.
func TestSlowStartLimitsEveryKindOfAttempt(t *testing.T) {
	all, slowStarts, retries := variants(), 0, 0
	rapid.Check(t, func(r *rapid.T) {
		set := all[rapid.SampledFrom(slices.Sorted(maps.Keys(all))).Draw(r, "settings")]
		set.Nodes = rapid.IntRange(1, 40).Draw(r, "nodes")
		set.Node = rapid.IntRange(0, set.Nodes-1).Draw(r, "node")
		w := newHarness(t, set, rapid.Uint64().Draw(r, "seed"), rapid.Float64Range(0, 0.9).Draw(r, "faulty"))
		g := &slowStartRecorder{harness: w, next: map[backendProcess]time.Duration{}}
		w.b.actions = g
		list := mixedBackends(rapid.IntRange(2, 16).Draw(r, "backends"))
		w.list(EndpointsStored, list...)
		for range 300 {
			for range w.rand.IntN(6) {
				w.arrive()
			}
			if w.rand.IntN(10) == 0 {
				w.churn(list)
			}
			w.step(5 * time.Millisecond)
		}
		slowStarts += g.attempts
		for _, q := range w.requests {
			retries += max(0, len(q.attempts)-1)
		}
	})
	require.Greater(t, slowStarts, 1000)
	require.Greater(t, retries, 1000)
}
