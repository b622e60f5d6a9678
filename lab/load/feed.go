package load

import (
	"container/heap"
	"math"
)

// Call is a request that has become due.
type Call struct {
	Request
	Due     float64 // when it is to be sent
	CallDue float64 // when the client's first request for the same thing was
	client  int     // of a closed loop
}

// Feed gives one worker its share of a plan's requests: every so manieth arrival, or every so manieth client, and the
// retries of both. What it keeps grows with the clients, and with the retries that wait.
type Feed struct {
	plan     *Plan
	drawer   *Drawer
	arrivals *Arrivals
	thinkers map[int]*Thinker
	index    uint64 // of the next first request
	workers  uint64
	next     float64 // the next arrival
	agenda   agenda
	stopped  bool
}

// Feed begins the share of one of several workers.
func (p *Plan) Feed(worker, workers int) *Feed {
	f := &Feed{plan: p, drawer: p.Drawer(), index: uint64(worker), workers: uint64(workers), next: math.Inf(1)}
	if !p.Closed {
		f.arrivals = p.Arrivals()
		for range worker {
			f.arrivals.Next()
		}
		f.arrive()
		return f
	}
	f.thinkers = map[int]*Thinker{}
	for client := worker; client < p.Clients(); client += workers {
		f.thinkers[client] = p.Thinker(client)
		// Clients that begin together would stay together: their first requests are spread over a pause.
		spread := p.Think * float64(client) / float64(p.Clients())
		if due, ok := p.Due(client, 0); ok {
			f.think(client, due+spread)
		}
	}
	return f
}

// arrive finds the next arrival of this worker.
func (f *Feed) arrive() {
	due, ok := f.arrivals.Next()
	if !ok {
		due = math.Inf(1)
	}
	f.next = due
}

// think puts a client's next request on the agenda.
func (f *Feed) think(client int, from float64) {
	if due, ok := f.plan.Due(client, from); ok {
		heap.Push(&f.agenda, Call{Due: due, CallDue: due, client: client})
	}
}

// Next is when the next request is due; +Inf when none is, for now.
func (f *Feed) Next() float64 {
	if f.stopped {
		return math.Inf(1)
	}
	if len(f.agenda) > 0 {
		return min(f.next, f.agenda[0].Due)
	}
	return f.next
}

// Take takes the request that is due next. It must not be called when Next is +Inf.
func (f *Feed) Take() Call {
	if len(f.agenda) == 0 || f.next <= f.agenda[0].Due {
		c := Call{Request: f.drawer.Draw(f.index), Due: f.next, CallDue: f.next}
		f.index += f.workers
		for range f.workers - 1 {
			f.arrivals.Next()
		}
		f.arrive()
		return c
	}
	c := heap.Pop(&f.agenda).(Call)
	if c.Attempt == 0 {
		c.Request = f.drawer.Draw(f.index)
		f.index += f.workers
		if f.plan.Requests > 0 && f.index >= f.plan.Requests {
			// The last one that the limit allows: other clients stop.
			f.agenda = nil
			clear(f.thinkers)
		}
	}
	return c
}

// Ended tells how a request ended, and what pause its answer asked for in milliseconds. It says whether the client has
// done with it; otherwise the client asks again.
func (f *Feed) Ended(c Call, e End, asked float64) bool {
	if f.repeats(c, e) && !f.stopped {
		again, pause, ok := f.drawer.Again(c.Request, asked)
		if due := e.Now + pause; ok && due < f.plan.Length() {
			heap.Push(&f.agenda, Call{Request: again, Due: due, CallDue: c.CallDue, client: c.client})
			return false
		}
	}
	if t := f.thinkers[c.client]; t != nil {
		pause := t.Pause()
		if e.Kind == CouldNotOpen {
			// Else clients without a pause would do nothing but fail.
			pause = max(pause, leastAfterFailure)
		}
		f.think(c.client, e.Now+pause)
	}
	return true
}

// leastAfterFailure is how long a client of a closed loop waits at least when it could not connect, in milliseconds.
const leastAfterFailure = 100

// repeats says whether a client may ask again: what has not run, and what may run twice.
func (f *Feed) repeats(c Call, e End) bool {
	if e.Fate() == Refused || e.Kind == CouldNotOpen || e.Kind == NoConnection {
		return true
	}
	effect := f.plan.Mix.Classes[c.Class].Effect
	return e.Fate() == Failed && (effect == Safe || effect == Keyed)
}

// Stop ends it: nothing is due any more.
func (f *Feed) Stop() { f.stopped = true }

// agenda is a heap of requests by due time.
type agenda []Call

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].Due < a[j].Due }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(Call)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}
