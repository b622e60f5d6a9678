package main

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// keptFor is how long a node keeps an idle connection to a rater.
const keptFor = 15 * time.Second

// fleetParts plays many nodes before raters that answer after about 130 ms, in virtual time, and tells how many nodes use a
// rater and how many connections that leaves open there, with all raters well and with a fifth of them dead.
func fleetParts(out io.Writer) {
	fmt.Fprintln(out, "| nodes | raters | requests/s | part of the raters that a node keeps to | nodes that use a rater: least, mean, most | "+
		"connections open at a rater: mean, most | a fifth dead: part | nodes | connections |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, c := range []struct {
		nodes, raters int
		rate          float64
	}{{20, 12, 4000}, {200, 12, 4000}, {20, 100, 4000}, {200, 100, 4000}, {200, 400, 4000}, {200, 400, 40000}} {
		f := newFleet(c.nodes, c.raters, c.rate)
		f.play(20 * time.Second)
		part, users, conns := f.part(), f.users(), f.connections()
		for i := range c.raters / 5 {
			f.dead[decide.BackendID(i*5)] = true
		}
		f.play(30 * time.Second)
		after, usersAfter, connsAfter := f.part(), f.users(), f.connections()
		fmt.Fprintf(out, "| %d | %d | %.0f | %.2f | %.0f, %.1f, %.0f | %.0f, %.0f | %.2f | %.0f, %.1f, %.0f | %.0f, %.0f |\n", c.nodes, c.raters,
			c.rate, part, users.least, users.mean, users.most, conns.mean, conns.most, after, usersAfter.least, usersAfter.mean,
			usersAfter.most, connsAfter.mean, connsAfter.most)
	}
}

// fleet is nodes and raters in virtual time.
type fleet struct {
	now   time.Duration
	rate  float64
	rng   *rand.Rand
	nodes []*member
	dead  map[decide.BackendID]bool
	queue events
	count int
}

// member is one node: its module, and its connections to each rater.
type member struct {
	f      *fleet
	number int
	module *decide.Balancer
	out    map[decide.RequestID][]decide.BackendID
	conns  []pool
}

// pool is a node's connections to one rater: how many are busy, and how many were at most within the time that idle ones
// are kept.
type pool struct {
	busy, most int
	at         time.Duration // when the most were busy last
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func newFleet(nodes, raters int, rate float64) *fleet {
	f := &fleet{now: time.Hour, rate: rate, rng: rand.New(rand.NewPCG(1, uint64(nodes))), dead: map[decide.BackendID]bool{}}
	var list []decide.Backend
	for i := range raters {
		list = append(list, decide.Backend{ID: decide.BackendID(i), Weight: 1})
	}
	for i := range nodes {
		m := &member{f: f, number: i, out: map[decide.RequestID][]decide.BackendID{}, conns: make([]pool, raters)}
		var err error
		m.module, err = decide.New(decide.Settings{Nodes: nodes, Node: i, Zones: []string{"z"}, Kinds: []string{"k"},
			Classes: []decide.Class{{Name: "charge", Effect: decide.Unsafe, Target: 1500 * time.Millisecond, Deadline: 5 * time.Second,
				Value: 1}}, Limits: decide.Limits{MaxAttempts: 6}}, uint64(i), m)
		if err != nil {
			panic(err) // the settings are these
		}
		f.nodes = append(f.nodes, m)
		m.module.UpdateEndpoints(f.now, decide.EndpointsFull, list)
	}
	f.arrive()
	return f
}

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.queue, event{f.now + d, do}) }

// arrive has the next request come to one of the nodes.
func (f *fleet) arrive() {
	f.after(time.Duration(f.rng.ExpFloat64()/f.rate*1e9), func() {
		m := f.nodes[f.rng.IntN(len(f.nodes))]
		f.count++
		id := decide.RequestID(f.count)
		m.out[id] = nil
		m.module.Request(f.now, decide.Request{ID: id, Tenant: -1, Deadline: f.now + 5*time.Second})
		f.arrive()
	})
}

func (f *fleet) play(d time.Duration) {
	for end := f.now + d; len(f.queue) > 0 && f.queue[0].at <= end; {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
}

// Send is a connection taken for as long as the rater needs; a dead one refuses it.
func (m *member) Send(id decide.RequestID, to decide.BackendID, _ time.Duration) {
	n := len(m.out[id])
	m.out[id] = append(m.out[id], to)
	o := decide.Outcome{Request: id, Backend: to, Attempt: n}
	if m.f.dead[to] {
		m.f.after(time.Millisecond, func() {
			o.Result = decide.ConnectFailed
			m.module.Outcome(m.f.now, o)
		})
		return
	}
	p := &m.conns[to]
	if p.busy++; p.busy >= p.most || m.f.now-p.at > keptFor {
		p.most, p.at = p.busy, m.f.now
	}
	took := time.Duration((100 + 30*m.f.rng.ExpFloat64()) * 1e6)
	m.f.after(took, func() {
		p.busy--
		delete(m.out, id)
		o.Result, o.Latency, o.Over = decide.Succeeded, took, true
		m.module.Outcome(m.f.now, o)
	})
}

// Reject and the rest carry out what has no part in this.
func (m *member) Reject(id decide.RequestID, _ time.Duration) { delete(m.out, id) }

// Fail ends a request.
func (m *member) Fail(id decide.RequestID) { delete(m.out, id) }

// Cancel is not asked for.
func (m *member) Cancel(decide.RequestID, int) {}

// Probe is not asked for.
func (m *member) Probe(decide.BackendID) {}

// Watch has nothing to do.
func (m *member) Watch() {}

// Log is not kept.
func (m *member) Log(string) {}

// SetTimer sets a timer.
func (m *member) SetTimer(after time.Duration, token uint64) {
	m.f.after(after, func() { m.module.Timer(m.f.now, token) })
}

// spread is what a figure is from rater to rater.
type spread struct{ least, mean, most float64 }

// per gives a figure's spread over the raters that live.
func (f *fleet) per(figure func(rater int) float64) spread {
	s, n := spread{least: math.Inf(1)}, 0.0
	for r := range f.nodes[0].conns {
		if f.dead[decide.BackendID(r)] {
			continue
		}
		x := figure(r)
		s = spread{min(s.least, x), s.mean + x, max(s.most, x)}
		n++
	}
	s.mean /= n
	return s
}

// users counts the nodes that have sent something to a rater within the time that connections are kept.
func (f *fleet) users() spread {
	return f.per(func(r int) (n float64) {
		for _, m := range f.nodes {
			if m.conns[r].most > 0 && f.now-m.conns[r].at <= keptFor {
				n++
			}
		}
		return n
	})
}

// connections counts those open at a rater.
func (f *fleet) connections() spread {
	return f.per(func(r int) (n float64) {
		for _, m := range f.nodes {
			if f.now-m.conns[r].at <= keptFor {
				n += float64(m.conns[r].most)
			}
		}
		return n
	})
}

// part is the part of the raters that nodes keep to, the mean over the nodes.
func (f *fleet) part() (sum float64) {
	for _, m := range f.nodes {
		sum += m.module.SubsetFraction()
	}
	return sum / float64(len(f.nodes))
}
