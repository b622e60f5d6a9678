package decide

// Every decision of the node is in this file; api.go is its interface, state.go has the types of what it
// knows. A reading order:
//
//	List, Request, Outcome, Timer       the events, each a short list of steps
//	latency, learn, reading, refit      the latency-versus-share curves and how they are learned
//	solve, levels, give                 the periodic solve for shares
//	pick, setShare, admit               weighted round robin, and what is refused when all hold too much
//	failed, putAway, trial              health, and the search by which a backend comes back
//	again, sweep, late                  further attempts within their budget
//	coldTop                             what a backend that has just started may get
//
// Loads and shares are measured in units: a unit is the work of an average request, so that a change of the
// mix of classes does not look like a change of load. A backend's share times the node's rate is its rate.

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	solveEvery   = 500 * time.Millisecond // between solves: several answers a kind, even on a slow node
	sweepParts   = 10                     // sweeps for overdue work in the shortest aim
	dropAt       = 5.0                    // a latency of this many times idle counts as a drop (the paper's)
	aimPart      = 0.8                    // part of the aim that mean latency may fill, for its spread
	levelCount   = 10                     // levels of share a backend in one pass of the solver (the paper's)
	manyAre      = 100                    // backends from which on a second, finer pass pays (the paper's)
	damping      = 0.5                    // part of the way to the solved share that a solve moves
	priorRise    = 0.5                    // rise of an unmeasured curve up to a fair share, in parts of idle
	searchStep   = 0.25                   // part of the paper's step that shares grow by: solves come often
	priorOwn     = 8.0                    // samples of its own that weigh as much as what its kind tells
	leastRate    = 4.0                    // units a second that a node wants to send each backend it uses
	leastPart    = 6.0                    // and at least so many it uses,
	leastUsers   = 4.0                    // and each backend is to have so many nodes that use it
	costPart     = 0.02                   // part of a hint that goes into its class's mean
	rateMemory   = 1.5                    // seconds after which a rate weighs 1/e
	idleBatch    = 4                      // samples in a mean that may set a kind's idle latency,
	idleRise     = 0.02                   // which rises by this part a second
	poolMemory   = 3 * time.Second        // after this, a kind's samples weigh 1/e
	ownMemory    = 8 * time.Second        // the same for a backend's own, which come seldom
	driftOff     = 0.2                    // recent answers so far off a kind's curve move it (the paper's)
	driftLeast   = 8.0                    // if there are so many
	driftKeep    = 0.25                   // and the older ones then weigh so much
	ownMost      = 16.0                   // own samples beyond which older ones fade faster
	crossAims    = 3.0                    // aims of latency that a price of 1 weighs as much as
	riskOff      = 1.5                    // deviations of losses that are taken for chance
	awayFirst    = time.Second            // a backend that failed stays away so long, doubled each time,
	awayMost     = 16 * time.Second       // up to this
	poolClip     = 3.0                    // a sample counts for no more than this many times what is expected
	heldPart     = 0.5                    // part of idle latency that each request held a core adds
	readingPart  = 0.1                    // samples that a reading counts for with its kind,
	readingWorth = 8.0                    // and with its backend
	readingLife  = 2 * time.Second        // while it is not older than this
	lateNews     = 0.25                   // overdue attempts an answer that are news to solve for at once
	lateChance   = 2e-4                   // a silence less likely than this at the usual rate is a fault
	failChance   = 2e-4                   // and so is a run of failures less likely than this,
	failMost     = 4.0                    // or more than so many that are more than half of all
	failLeast    = 0.01                   // part of attempts that is taken to fail at the least
	zoneFails    = 4                      // failures without an answer after which a zone counts as cut off
	retryPart    = .2                     // further attempts a first attempt earns
	retryMost    = 10.0                   // and how many can be saved up
	mostSkips    = 16                     // turns passed over for a backend that is free
	priorHeld    = 4.0                    // attempts held by size up to which an unmeasured curve rises so
	reach        = 4.0                    // times what is usually held, at which latency is taken to double
	crowdPart    = 1.5                    // times idle latency up to which a backend takes its turn
	leastLimit   = 0.55                   // part of the bearable latency that the cheapest work may meet
	repeatPart   = 0.3                    // worth of a client's repeat, much of whose time has gone by
	coldGap      = 0.8                    // part of the mean gap that must lie between sends to a cold one
	coldPart     = 0.8                    // part of a cold backend's budget to use; its size is a guess
	usualAim     = 0.6                    // seconds: times above are for this aim, shorter for a shorter
	ownTells     = 2.0                    // attempts out, on average, whose number tells half of the others'
	askBackoff   = time.Second            // before a failed call for the list is repeated, doubled each time
)

// The timers' tokens.
const (
	tokenSolve uint64 = iota
	tokenSweep
	tokenAsk
)

func (f *fit) add(g fit)         { f.n, f.y, f.v2 = f.n+g.n, f.y+g.y, f.v2+g.v2 }
func (f *fit) fade(keep float64) { f.n, f.y, f.v2 = f.n*keep, f.y*keep, f.v2*keep }

// held is the learned latency of a backend that holds v attempts by size, one just sent included.
func (p *pool) held(v float64) float64 { return p.idle + p.crowd*v*v }

// sample takes the latency of a backend of the kind that held v by size.
func (p *pool) sample(v, y float64) {
	if p.seen {
		y = min(y, poolClip*p.held(v))
	}
	p.recent.add(fit{1, y, v * v})
	p.batch += y
	if p.batchN++; p.batchN == idleBatch {
		if mean := p.batch / idleBatch; mean < p.idle || !p.seen {
			p.idle, p.seen = mean, true
		}
		p.batch, p.batchN = 0, 0
	}
}

// delay is the learned latency of a backend that holds n attempts of ours.
func (s *server) delay(n float64) float64 { return s.slow * s.pool.held(s.held(n)) }

// held is how much a backend is taken to hold by size, of all nodes, while n attempts of ours are out.
func (s *server) held(n float64) float64 { return n*s.each/s.size + s.others }

// latency is the learned curve at the load u: that of the kind for a backend `slow` times slower. By Little's
// law a load u holds u times its latency; bend is such that both curves tell twice the idle latency of the
// same load.
func (s *server) latency(u float64) float64 {
	m := s.slow
	return m*s.pool.idle + s.pool.bend*m*m*m*u*u
}

// loadAt is the load at which the curve reaches a latency.
func (s *server) loadAt(latency float64) float64 {
	m := s.slow
	room := latency - m*s.pool.idle
	return math.Sqrt(max(0, room) / (s.pool.bend*m*m*m + 1e-12))
}

// List takes news of the backends.
func (b *Balancer) List(now time.Duration, kind ListKind, entries []Backend) {
	b.now = now
	if kind == ListFailed {
		b.watching = false
		b.askLater()
		return
	}
	if kind != ListStored {
		b.watching, b.askFails = true, 0
	}
	if kind != ListChanges {
		for _, s := range b.servers {
			s.State = Deleted
		}
	}
	for i := range entries {
		b.listed(&entries[i])
	}
	b.sizes = 0
	for _, s := range b.servers {
		if s.State == Serving {
			b.sizes += s.size
		} else { // no turn is left to a backend that departs
			b.setShare(s, 0)
		}
		if s.State == Deleted {
			delete(b.byID, s.ID)
		}
	}
	b.whole = max(b.whole, b.sizes)
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return s.State == Deleted })
	b.arrange()
	if !b.started {
		b.start()
	}
	b.solve()
}

// start sets the timers going, each node at a phase of its own so that nodes do not move together.
func (b *Balancer) start() {
	b.started = true
	b.lastSolve = b.now
	b.act.Wake(b.paced(b.rand.Float64(), solveEvery), tokenSolve)
	b.sweepEvery = max(seconds(b.aim/sweepParts), 10*time.Millisecond)
	b.act.Wake(b.sweepEvery, tokenSweep)
	if b.set.Ask {
		b.act.Wake(time.Duration(b.rand.Float64()*float64(b.set.AskSpread())), tokenAsk)
	}
}

// paced is part of a time that is given for requests of the usual length.
func (b *Balancer) paced(part float64, t time.Duration) time.Duration {
	return time.Duration(part * b.pace * float64(t))
}

// reading takes how much work a backend holds, from the list or a report: the latency that this foretells
// counts as so many samples while it is fresh. Unlike latencies, it tells of the load from all nodes.
func (b *Balancer) reading(s *server, held float64) {
	p := s.pool
	s.read, s.readAt = p.idle*(1+heldPart*held/s.size), b.now
	v := s.held(float64(s.out))
	y := min(s.read, poolClip*p.held(v))
	p.recent.add(fit{readingPart, readingPart * y, readingPart * v * v})
}

// ---- Requests ----

// Request takes a request that has arrived.
func (b *Balancer) Request(now time.Duration, r Request) {
	q := b.arrive(now, &r)
	if q == nil {
		return
	}
	s := b.trial(q) // before any refusal: a node that put all backends away must find out when they are back
	if limit := b.bins[b.binOf(&r)].limit; s == nil {
		s = b.pick(q, limit)
	}
	if s == nil {
		b.end(q)
		return
	}
	b.tokens = min(b.tokens+retryPart, retryMost)
	b.send(q, s)
}

// binOf places a request by what it is worth: class, whether its tenant is beyond its share as far as this
// node's part of the traffic tells, and whether the client repeats it.
func (b *Balancer) binOf(r *Request) int {
	i := 4 * r.Class
	if known := r.Tenant >= 0 && r.Tenant < len(b.quota); known && b.quota[r.Tenant] >= 1 {
		b.quota[r.Tenant]--
	} else if known && b.set.Tenants[r.Tenant].Quota > 0 {
		i++
	}
	if r.Repeat {
		i += 2
	}
	return i
}

func (b *Balancer) take() *request {
	if len(b.free) == 0 {
		return &request{attempts: make([]attempt, 0, 4)}
	}
	q := b.free[len(b.free)-1]
	b.free = b.free[:len(b.free)-1]
	return q
}

// drop forgets a request that has ended and has nothing out.
func (b *Balancer) drop(q *request) {
	if q.closed && q.out == 0 {
		delete(b.requests, q.id)
		b.free = append(b.free, q)
	}
}

// end gives the final answer: a refusal where that is true, which lets the client try again, else a failure.
func (b *Balancer) end(q *request) {
	q.closed = true
	c := &b.classes[q.class]
	if !q.useless && (c.Effect == Safe || !q.ran || c.Effect == Keyed && c.Group == GroupAll) {
		b.act.Refuse(q.id, 0) // a client told to wait comes back when its aim has passed
	} else {
		b.act.Fail(q.id)
	}
	b.drop(q)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// load is what a backend gets from this node, units a second by size.
func (b *Balancer) load(s *server) float64 { return s.share * b.rate / s.size }

func (b *Balancer) send(q *request, s *server) {
	c := &b.classes[q.class]
	abandon := q.deadline
	if c.LateWorth == 0 && !c.Streaming { // an answer past the aim is waste
		abandon = min(abandon, q.arrived+c.Aim)
	}
	b.sent += q.work
	q.out++
	s.out++
	if b.cold(s) < 1 { // further attempts and second copies add up with first ones
		s.coldNext = b.now + seconds(coldGap/s.coldTop)
	}
	if e := &s.ills[q.class]; e.times > 0 { // one at a time, until it is answered
		e.until = max(e.until, b.now+b.paced(1, awayFirst))
	}
	held := s.held(float64(s.out))
	q.attempts = append(q.attempts, attempt{server: s, sent: b.now, held: held, open: true})
	c.waiting = append(c.waiting, due{q.id, len(q.attempts) - 1})
	b.act.Send(q.id, s.ID, abandon)
}

// Gone takes the news that a client has left.
func (b *Balancer) Gone(now time.Duration, id RequestID) {
	b.now = now
	q := b.requests[id]
	if q == nil || q.closed {
		return
	}
	q.closed = true
	for i := range q.attempts {
		if b.set.Limits.Cancel && q.attempts[i].open && !q.begun {
			b.act.Cancel(id, i)
		}
	}
	b.drop(q)
}

// Begun takes the start of a streamed answer.
func (b *Balancer) Begun(now time.Duration, id RequestID, n int, latency time.Duration) {
	b.now = now
	q := b.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) || !q.attempts[n].open {
		return
	}
	q.begun = true
	b.heard(q, &q.attempts[n], latency)
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	b.now = now
	q := b.requests[o.Request]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || !q.attempts[o.Attempt].open {
		return
	}
	a := &q.attempts[o.Attempt]
	a.open = false
	q.out--
	a.server.out--
	if a.overdue {
		a.server.overdue--
	}
	q.closed = q.closed || o.Over
	b.report(a.server, &o.Load)
	if o.Result.MayHaveRun() {
		q.ran, a.ran = true, true
	}
	if o.Result == Good {
		if !q.begun {
			b.heard(q, a, o.Latency)
		}
	} else {
		b.failed(q, a, &o)
	}
	if q.closed {
		b.drop(q)
	} else if q.out == 0 && !b.again(q) {
		b.end(q)
	}
}

// report takes a load report that came along.
func (b *Balancer) report(s *server, l *Load) {
	for _, field := range [...]ReportField{ReportHeld, ReportQueue} {
		if l.Has>>field&1 != 0 {
			b.reading(s, l.Values[field])
			return
		}
	}
}

// heard takes an answer's latency into the curves.
func (b *Balancer) heard(q *request, a *attempt, latency time.Duration) {
	c, s := &b.classes[q.class], a.server
	y := max(latency.Seconds(), 1e-6)
	c.n, c.y = c.n+1, c.y+y*c.work/q.work
	b.learn(s, a, y/q.work)
	b.answers++
	b.heardNow++
	if b.cold(s) >= 1 {
		b.borne += q.work
	}
	s.answered, s.fails, s.silent, s.run, s.away, s.onTrial = b.now, 0, 0, 0, false, false
	s.good++
	s.newest = max(s.newest, a.sent)
	s.ills[q.class] = ill{heard: b.now}
	b.zones[s.Zone] = zone{heard: b.now}
}

// learn adds a latency to the curves of a backend and of its kind.
func (b *Balancer) learn(s *server, a *attempt, y float64) {
	p, expect := s.pool, s.pool.held(a.held)
	if a.charged == 0 {
		p.sample(a.held, y)
		s.n, s.expect = s.n+1, s.expect+expect
	}
	y = min(y, 2*dropAt*expect)
	s.y += max(0, y-a.charged)
	a.charged = max(y, a.charged)
}

// again sends a request once more, if it can.
func (b *Balancer) again(q *request) bool {
	s := b.elsewhere(q)
	if s == nil {
		return false
	}
	b.tokens--
	b.send(q, s)
	return true
}

// elsewhere finds a backend for a further attempt, nil where the rules, the time, the budget or the fleet
// have none. The budget keeps troubles from being amplified.
func (b *Balancer) elsewhere(q *request) *server {
	c := &b.classes[q.class]
	if q.useless || c.Effect == Unsafe && q.ran || b.tokens < 1 ||
		len(q.attempts) >= b.set.Limits.MaxAttempts {
		return nil
	}
	left := min(q.deadline, q.arrived+c.Aim) - b.now
	var best *server
	for _, s := range b.servers {
		// One bound to a group may go to a warm backend of it that this node does not use otherwise.
		bound := c.Effect == Keyed && c.Group != GroupAll && q.ran
		able := s.turn >= 0 || bound && b.able(s) && b.cold(s) >= 1
		if !able || s.overdue > 0 || !b.fit(s, q) || !b.mayRepeat(q, s) {
			continue
		}
		if (best == nil || s.next < best.next) && s.delay(float64(s.out)+1)*q.work < left.Seconds() {
			best = s
		}
	}
	if best != nil && best.turn >= 0 {
		best.next += 1 / best.share
		heap.Fix(&b.turns, best.turn)
	}
	return best
}

// mayRepeat tells whether the rules let a request go to a backend after its earlier attempts. What drops the
// repeats of keyed work does so for a time from the first attempt that has run, or may yet.
func (b *Balancer) mayRepeat(q *request, s *server) bool {
	if slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.server == s }) {
		return false
	}
	c, i := &b.classes[q.class], slices.IndexFunc(q.attempts, func(a attempt) bool { return a.open || a.ran })
	if c.Effect != Keyed || i < 0 {
		return true
	}
	on := q.attempts[i].server
	near := c.Group == GroupAll || s.Zone == on.Zone && (c.Group == GroupZone || s.Cell == on.Cell)
	return near && b.now < q.attempts[i].sent+c.KeyTTL
}

// sweep looks for attempts that should have been answered by now. They are evidence against their backend
// before any time-out, and where there is time left another backend may still answer.
func (b *Balancer) sweep() {
	for i := range b.classes {
		c := &b.classes[i]
		after := b.overdueAfter(c)
		for c.head < len(c.waiting) {
			d := c.waiting[c.head]
			q := b.requests[d.id]
			if q != nil && d.attempt < len(q.attempts) && q.attempts[d.attempt].open {
				if q.attempts[d.attempt].sent+after > b.now {
					break
				}
				b.late(q, d.attempt)
			}
			c.head++
		}
		if c.head == len(c.waiting) || c.head > 64 && 2*c.head > len(c.waiting) {
			c.waiting, c.head = c.waiting[:copy(c.waiting, c.waiting[c.head:])], 0
		}
	}
}

// overdueAfter is when an answer of a class is overdue: at the last moment that leaves time for another
// backend, but not before twice the usual latency.
func (b *Balancer) overdueAfter(c *class) time.Duration {
	if c.n < 1 {
		return c.Aim / 2
	}
	mean := c.y / c.n
	return seconds(max(2*mean, c.Aim.Seconds()-2*mean))
}

func (b *Balancer) late(q *request, n int) {
	a := &q.attempts[n]
	a.overdue = true
	a.server.overdue++
	b.newLate++
	if b.tells(q, a) {
		b.learn(a.server, a, (b.now-a.sent).Seconds()/q.work)
	}
	c := &b.classes[q.class]
	may := b.set.Limits.SecondCopies && (c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll)
	lost := a.server.ills[q.class].heard <= a.sent || a.server.newest > a.sent // or just in a queue
	if may && lost && !q.closed && !q.begun && q.out == 1 {
		b.again(q)
	}
}

// tells tells whether an attempt without an answer says that its backend is slow: not if the class gets no
// answers there, nor if one sent later was answered, for then this answer is lost.
func (b *Balancer) tells(q *request, a *attempt) bool {
	return a.server.ills[q.class].times == 0 && a.server.newest <= a.sent
}

// failed takes an attempt that brought no answer.
func (b *Balancer) failed(q *request, a *attempt, o *Outcome) {
	s := a.server
	if e := &s.ills[q.class]; o.Result.MayHaveRun() && o.Result != Cancelled && a.sent >= e.at {
		usual := max(failLeast, (b.lates+b.bads)/(b.lates+b.bads+b.answers+1))
		if e.run, e.at = e.run+1, b.now; math.Pow(usual, e.run) < lateChance {
			e.until = b.now + b.paced(1, min(awayFirst<<min(e.times, 10), awayMost))
			e.times++
		}
	}
	switch o.Result {
	case NotSent, Cancelled:
		s.onTrial = false
		return
	case Rejected: // it is up and answers; what it was sent is of no use to any backend
		q.useless = true
		s.fails, s.run, s.away, s.onTrial = 0, 0, false, false
		return
	case Failed, Reset, NoConnect, Full: // any backend's answer may be spoilt now and then
		if s.run++; o.Result != Full {
			s.bad++
			b.bads++
		}
		if !s.away && !b.faulty(s) {
			return
		}
	case Late:
		// How late it would have been is hidden, so it counts as a drop.
		if s.ills[q.class].times == 0 {
			s.lost++
		}
		if b.tells(q, a) {
			b.learn(s, a, max(o.Latency.Seconds()/q.work, 2*dropAt*s.pool.idle))
		}
		b.lates++
		if a.sent >= s.silentAt { // those sent before the last one was given up tell nothing new
			s.silent, s.silentAt = s.silent+1, b.now
		}
		usual := max(failLeast, b.lates/(b.lates+b.answers+1))
		if !s.away && math.Pow(usual, float64(s.silent)) > lateChance { // as any backend might be just now
			return
		}
	}
	if z := &b.zones[s.Zone]; o.Result != Full && o.Result != Failed && s.Zone != b.set.Zone {
		z.fails++
		if z.fails >= zoneFails && b.now >= z.until && (b.now-z.heard).Seconds() > b.aim {
			z.until = b.now + b.paced(1, awayFirst<<min(z.times, 3))
			z.times++
			z.fails = 0
			b.act.Log("zone " + b.set.Zones[s.Zone] + " does not answer: nothing is sent there for a while")
			b.solve()
		}
	}
	b.putAway(s)
}

// faulty tells whether a backend is better left alone: it fails in a row beyond chance, or mostly. One that
// fails now and then, even more than others, still has work to give; its risk prices it.
func (b *Balancer) faulty(s *server) bool {
	others, n := b.answers+b.bads-s.good-s.bad, s.good+s.bad
	usual := max(failLeast, (b.bads-s.bad)/(others+1/failLeast), (s.bad-s.run)/(n+1))
	return math.Pow(usual, s.run) < failChance || s.bad > max(failMost, n/2)
}

// putAway takes a backend out of the turns for a while, longer each time.
func (b *Balancer) putAway(s *server) {
	if s.away && !s.onTrial { // what was sent before tells nothing new
		return
	}
	s.onTrial = false
	wait := min(awayFirst<<min(s.fails, 10), awayMost)
	s.until = b.now + b.paced(0.75+b.rand.Float64()/2, wait)
	s.fails++
	s.away = true
	if s.turn >= 0 {
		heap.Remove(&b.turns, s.turn)
	}
}

// trial gives a request of the cheapest class to a backend whose time away is over, to see whether it is
// back. One at a time, so that a backend that takes work and answers nothing holds little of it.
func (b *Balancer) trial(q *request) *server {
	for q.class == b.cheap && len(b.trials) > 0 {
		s := b.trials[len(b.trials)-1]
		b.trials = b.trials[:len(b.trials)-1]
		if s.State == Serving && s.away && !s.onTrial && s.out == 0 && b.cold(s) >= 1 {
			s.onTrial = true
			return s
		}
	}
	return nil
}

// Probed takes the result of a probe. The module asks for none yet.
func (b *Balancer) Probed(now time.Duration, _ Outcome) { b.now = now }

// fit tells whether a backend may get a request now. A cold one is held to its limit by the clock, whichever
// attempt it is; one that leaves a class unanswered gets one to try after a time.
func (b *Balancer) fit(s *server, q *request) bool {
	return b.now >= max(s.coldNext, s.ills[q.class].until)
}

// pick takes the next turn. A backend that owes overdue work, or would be slowed by more of ours, passes its
// turn. Where all do, the one that should answer soonest is taken, if that is soon enough, else none.
func (b *Balancer) pick(q *request, limit float64) *server {
	var turn *server
	for i := 0; turn == nil && len(b.turns) > 0 && i < len(b.turns)+mostSkips; i++ {
		s := b.turns[0]
		b.clock = s.next
		s.next += 1 / s.share
		heap.Fix(&b.turns, 0)
		free := s.overdue == 0 && s.delay(float64(s.out)+1) <= crowdPart*s.slow*s.pool.idle
		if free && b.fit(s, q) {
			turn = s
		}
	}
	best, least := turn, limit
	for i := 0; turn == nil && i < len(b.turns); i++ {
		s := b.turns[i]
		if d := s.delay(float64(s.out)+1) + s.risk; d < least && b.fit(s, q) {
			best, least = s, d
		}
	}
	return best
}

// setShare gives a backend a new share; it keeps its place in the round.
func (b *Balancer) setShare(s *server, share float64) {
	if share <= 1e-9 {
		s.share = 0
		if s.turn >= 0 {
			heap.Remove(&b.turns, s.turn)
		}
		return
	}
	if s.turn >= 0 {
		s.next = b.clock + max(0, s.next-b.clock)*s.share/share
	} else {
		s.next = b.clock + b.rand.Float64()/share
		heap.Push(&b.turns, s)
	}
	s.share = share
}

// ---- Solving for shares ----

// Timer takes a timer's end.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	b.now = now
	switch token {
	case tokenSolve:
		b.solve()
		b.act.Wake(b.paced(0.9+0.2*b.rand.Float64(), solveEvery), tokenSolve)
	case tokenSweep:
		b.sweep()
		if b.newLate > lateNews*b.heardNow+lateNews*20 { // news that cannot wait: work piles up
			b.solve()
		}
		b.act.Wake(b.sweepEvery, tokenSweep)
	case tokenAsk:
		if !b.watching {
			b.act.Watch()
		}
	}
}

// solve learns from the time since the last solve and sets the shares anew.
func (b *Balancer) solve() {
	b.measure()
	for b.narrow(); ; b.part, b.users = 1, float64(b.set.Nodes) {
		usable, room := 0, 0.0
		fair := b.fair()
		for _, s := range b.servers {
			s.top, s.goal = 0, 0
			if b.usable(s) {
				usable++
				idle := s.slow * s.pool.idle
				s.coldTop = b.coldTop(s)
				if s.coldNext == 0 && s.coldTop > 0 { // nodes that hear of it together do not send together
					s.coldNext = b.now + seconds(b.rand.Float64()/s.coldTop)
				}
				s.risk = crossAims * b.aim * b.risk(s)
				s.top = min(s.size*s.loadAt(max(min(2*idle, aimPart*b.aim), 1.2*idle)), s.coldTop)
				room += s.top
				u := max(b.load(s), fair) // the search's step: no further than idle over latency
				s.top = min(s.top, s.size*u*(1+searchStep*idle/s.latency(u)))
			}
		}
		b.admit(room)
		need := min(max(b.askRate, 1), room)
		b.levels(need, 1.0/levelCount, false)
		if usable >= manyAre {
			b.levels(need, 2.0/(levelCount*levelCount), true)
		}
		b.give(need)
		if len(b.turns) > 0 || b.part == 1 { // where its part has no turn to give, a node uses all
			return
		}
	}
}

// risk is the part of a backend's attempts that bring no answer, beyond the usual and what chance explains.
func (b *Balancer) risk(s *server) float64 {
	n := s.good + s.lost + s.bad + 1
	usual := max(failLeast, (b.lates+b.bads)/(b.lates+b.bads+b.answers+1))
	return max(0, (s.lost+s.bad)/n-usual-riskOff*math.Sqrt(usual/n))
}

// narrow sets the part of the fleet that this node keeps to, so that it sends each enough to learn from, and
// that a backend is not held by a connection from every node. A part begins at the node's own place on the
// circle of backends and goes on until it holds its share of them, and half of that of those that are able.
// Parts begin evenly spread, so that each backend is in as many as any other.
func (b *Balancer) narrow() {
	arc, able := b.arc[:0], 0.0
	for _, s := range b.servers {
		if _, s.offset = math.Modf(s.place + float64(b.set.Node)*math.Phi); s.State == Serving {
			arc = append(arc, s)
			if b.able(s) {
				able += s.size
			}
		}
	}
	slices.SortFunc(arc, func(s, t *server) int { return cmp.Compare(s.offset, t.offset) })
	n := float64(len(arc))
	part := min(1, max(b.askRate/leastRate, leastPart, leastUsers*n/float64(b.set.Nodes))/max(n, 1))
	b.arc, b.part = arc, 1
	all, able := part*b.sizes, able*part/2
	for _, s := range arc {
		all -= s.size
		if b.able(s) {
			able -= s.size
		}
		if all <= 0 && able <= 0 && part < 1 {
			b.part = max(s.offset, 1e-9)
			break
		}
	}
	b.users = max(1, float64(b.set.Nodes)*b.part)
}

// inPart tells whether a backend is in the part that this node keeps to.
func (b *Balancer) inPart(s *server) bool { return s.offset <= b.part }

// fair is the load of every backend in use if all that is asked were spread by size.
func (b *Balancer) fair() float64 { return max(b.askRate, 1) / max(b.sizes*b.part, 1) }

// usable tells whether a backend may have turns.
func (b *Balancer) usable(s *server) bool {
	if s.away && b.now >= s.until && !s.onTrial && s.State == Serving && len(b.trials) < 2*len(b.servers) {
		b.trials = append(b.trials, s)
	}
	return b.able(s) && b.inPart(s)
}

// able tells whether a backend is known of nothing that keeps it from work.
func (b *Balancer) able(s *server) bool {
	return s.State == Serving && !s.away && b.now >= b.zones[s.Zone].until
}

// levels gives share in steps to whichever backend's curve adds least latency for the step, until need is
// met. Since the curves bend upward, the price at which the last step is bought tells every backend's level;
// it is found by halving. The fine pass stays within a tenth of w_max around the coarse one.
func (b *Balancer) levels(need, step float64, fine bool) {
	low, high := 0.0, 0.0
	for _, s := range b.servers { // no level costs more than the last unit at w_max
		high = max(high, s.price+s.risk+3*s.latency(s.top/s.size))
	}
	for range 24 {
		price := (low + high) / 2
		sum := 0.0
		for _, s := range b.servers {
			sum += s.levelAt(price, step, fine)
		}
		if sum > need {
			high = price
		} else {
			low = price
		}
	}
	for _, s := range b.servers {
		s.goal = s.levelAt(low, step, fine)
	}
}

// levelAt is the highest level whose price stays under a limit.
func (s *server) levelAt(price, step float64, fine bool) float64 {
	if s.top <= 0 {
		return 0
	}
	// A further unit at the load u adds idle + 3 * bend * u^2.
	level := s.size * s.loadAt((price-s.price-s.risk+2*s.slow*s.pool.idle)/3) / s.top
	level = math.Floor(min(level, 1)/step) * step
	if fine {
		was := s.goal / s.top
		level = max(0, min(max(level, was-1.0/levelCount), was+1.0/levelCount, 1))
	}
	return level * s.top
}

// give hands out what the levels left over by headroom and moves the shares part of the way.
func (b *Balancer) give(need float64) {
	sum, head := 0.0, 1e-9
	for _, s := range b.servers {
		sum, head = sum+s.goal, head+s.top-s.goal
	}
	fill := min(1, max(0, need-sum)/head)
	warm, cold := 1e-12, 0.0
	for _, s := range b.servers {
		s.goal += fill * (s.top - s.goal)
		if math.IsInf(s.coldTop, 1) {
			warm += s.goal
		} else {
			cold += s.goal
		}
	}
	more := max(1, (need-cold)/warm) // what is left falls to the warm: a cold one's share is its limit
	total := cold + more*warm
	for _, s := range b.servers {
		share := s.goal / total
		if math.IsInf(s.coldTop, 1) {
			share *= more
			if s.turn >= 0 && share > 0 {
				share = s.share + damping*(share-s.share)
			}
		}
		b.setShare(s, share)
		s.mirror(b.load(s), b.users)
	}
	heap.Init(&b.turns)
}

// mirror sets what the other nodes are taken to hold at a backend. They do as this one does: many nodes that
// each took their own small load for all of it would all send it to the backends that are fastest when idle.
// Where many of ours are out their number tells of the others' too; where few are, the mean tells more.
func (s *server) mirror(u, users float64) {
	mean := u * s.latency(u) * s.size
	tells := mean / (mean + ownTells)
	s.each, s.others = 1+(users-1)*tells, (users-1)*(1-tells)*mean/s.size
}

// measure closes the time since the last solve: rates, the work of classes, the curves.
func (b *Balancer) measure() {
	span := (b.now - b.lastSolve).Seconds()
	if span < 0.05*b.pace {
		return
	}
	b.lastSolve = b.now
	k := 1 - math.Exp(-span/b.pace/rateMemory)
	b.bearRate += k * (b.borne/span - b.bearRate)
	if b.rate == 0 {
		k = 1
	}
	b.askRate += k * (b.asked/span - b.askRate)
	b.rate += k * (b.sent/span - b.rate)
	b.asked, b.sent, b.borne, b.newLate, b.heardNow = 0, 0, 0, 0, 0
	keep := math.Exp(-span / b.pace / ownMemory.Seconds())
	b.lates, b.bads, b.answers = b.lates*keep, b.bads*keep, b.answers*keep
	b.fillQuotas(span)
	b.weighClasses(keep)
	b.refit(span, keep)
}

// weighClasses learns how much work each class is, so that curves do not depend on the mix.
func (b *Balancer) weighClasses(keep float64) {
	n, y := 0.0, 0.0
	for _, c := range b.classes {
		n, y = n+c.n, y+c.y
	}
	for i := range b.classes {
		c := &b.classes[i]
		if c.n >= idleBatch/2 {
			c.work = (c.y / c.n) / (y / n)
		}
		c.n, c.y = c.n*keep, c.y*keep
	}
}

// refit fades old samples and fits the curves. A rise at most backends moves their kind's curve, since what
// one can add to that is clipped; a backend off the curve alone is shifted alone.
func (b *Balancer) refit(span, keep float64) {
	fair := b.fair()
	for _, s := range b.servers {
		s.shift(b.now)
		k := keep
		if s.n > ownMost {
			k = min(k, ownMost/s.n)
		}
		s.y, s.expect, s.n = s.y*k, s.expect*k, s.n*k
		s.good, s.bad, s.lost = s.good*keep, s.bad*keep, s.lost*keep
	}
	for i := range b.pools {
		p, twin := &b.pools[i], &b.pools[i^1] // here and across zones, idle is much the same
		if twin.seen && (!p.seen || twin.idle < p.idle) {
			p.idle, p.seen = twin.idle, true
		}
		p.refit(span/b.pace, fair, b.users)
	}
}

// refit fits a kind's curve, with so many nodes that use a backend. Where the recent answers are off it, the
// older ones are mostly forgotten.
func (p *pool) refit(span, fair, users float64) {
	keep := math.Exp(-span / poolMemory.Seconds())
	if r := &p.recent; r.n >= driftLeast && math.Abs(r.y/(r.n*p.idle+p.crowd*r.v2)-1) > driftOff {
		keep = driftKeep
	}
	p.fit.fade(keep)
	p.fit.add(p.recent)
	p.recent = fit{}
	v := max(fair*users*p.idle, priorHeld)
	p.crowd = (max(0, p.fit.y-p.fit.n*p.idle) + priorRise*priorOwn*p.idle) / (p.fit.v2 + priorOwn*v*v)
	seen := (p.fit.v2 + priorOwn*v*v) / (p.fit.n + priorOwn) // no rise up to there tells little of far beyond
	p.crowd = max(p.crowd, p.idle/(reach*reach*seen))
	p.bend = 4 * p.crowd * p.idle * p.idle * users * users // over our own load, a part of the whole
	p.idle *= 1 + idleRise*span
}

// shift sets how much slower than its kind a backend is, from its own samples and the prior.
func (s *server) shift(now time.Duration) {
	n, y, expect := s.n, s.y, s.expect
	if now-s.readAt < readingLife && s.readAt > 0 {
		at := s.pool.held(s.held(float64(s.out)))
		n, y, expect = n+readingWorth, y+readingWorth*s.read, expect+readingWorth*at
	}
	if n < 0.01 || expect <= 0 {
		s.slow = 1
		return
	}
	mean := expect / n
	s.slow = (y + priorOwn*mean) / (expect + priorOwn*mean)
}

// admit sets up to which latency each kind of work is let in: the cheapest by worth a unit is refused first.
func (b *Balancer) admit(room float64) {
	if short := b.askRate > room; short != b.shedding {
		if b.shedding = short; short {
			b.act.Log(fmt.Sprintf("overload: room for %.1f of %.1f units/s", room, b.askRate))
		}
	}
	b.wait = math.Inf(1)
	for _, c := range b.classes {
		b.wait = min(b.wait, aimPart*c.Aim.Seconds()/c.work)
	}
	parts := [4]float64{1, b.set.OverShareWorth, repeatPart, repeatPart * b.set.OverShareWorth}
	most := 1e-12
	for i := range b.bins {
		c := &b.classes[i/4]
		b.bins[i].value = c.Worth / c.work * parts[i%4]
		most = max(most, b.bins[i].value)
	}
	for i := range b.bins {
		b.bins[i].limit = b.wait * (leastLimit + (1-leastLimit)*math.Sqrt(b.bins[i].value/most))
	}
}

// fillQuotas gives each tenant this node's part of its share.
func (b *Balancer) fillQuotas(span float64) {
	for i := range b.quota {
		rate := b.set.Tenants[i].Quota / float64(b.set.Nodes)
		b.quota[i] = min(b.quota[i]+rate*span, max(2*rate, 3))
	}
}

// cold is the part of its capacity that a backend is sure to have.
func (b *Balancer) cold(s *server) float64 {
	r := &b.set.Rules
	if s.Started <= 0 || r.ColdTime <= 0 || b.now >= s.Started+r.ColdTime {
		return 1
	}
	age := max(0, (b.now-s.Started).Seconds()/r.ColdTime.Seconds())
	return r.ColdFrom + (1-r.ColdFrom)*age
}

// warmLoad is what warm backends bear now, by size: the work that they answer, as what they are sent may pile
// up there. If none is, it is what each would of the largest fleet seen.
func (b *Balancer) warmLoad() float64 {
	size := 0.0
	for _, s := range b.servers {
		if s.turn >= 0 && b.cold(s) >= 1 {
			size += s.size
		}
	}
	if size == 0 {
		return b.fair() * b.sizes / max(b.whole, 1)
	}
	return b.bearRate / size
}

// coldTop is the most that a node may send a backend, units a second, as a share of its own traffic. For a
// cold one it is such that all nodes together stay under the budget, chance included, if each keeps to it:
// the budget of a window is taken from what warm backends answer now, which is no more than they can do.
func (b *Balancer) coldTop(s *server) float64 {
	part := b.cold(s)
	if part >= 1 {
		return math.Inf(1)
	}
	r := &b.set.Rules
	window, users := r.FallTime.Seconds(), float64(b.set.Nodes)*b.part
	usual := b.warmLoad() * s.size * users
	budget := coldPart * r.FallMultiple * part * usual * window
	if budget <= 1 {
		return 0
	}
	root := (math.Sqrt(9+4*(budget-1)) - 3) / 2 // mean + 3 deviations + 1 stays within the budget
	return min(root*root/window, part*usual) / users
}
