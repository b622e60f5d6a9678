package sim

import (
	"math"
	"math/rand/v2"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/node/endpoints/backoff"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/rivals"
	"linenwheel.dev/linenwheel/lab/world"
)

// node hosts one instance of the policy, as the node's pilot does: it carries out its actions but for those that would
// break a rule on their own.
type node struct {
	engine *engine
	number int
	policy rivals.Policy // nil while the process is down
	life   uint16
	taken  bool    // the front sends it new tries,
	until  float64 // but no longer than this; 0 = no end is known
	dying  bool    // it was asked to stop

	has      uint64            // version of the list that it has been told
	listed   []bool            // raters that a list has named
	left     map[int32]float64 // when it was told that one drains or is gone
	open     int               // tries that it owes an answer,
	held     int               // and that it knows
	unsent   []decide.Outcome
	watching bool // where the list must be asked for: the watch is open
	pace     backoff.Backoff
	called   float64 // when it called for the list last
	asking   bool    // a call to discovery that broke off is to be repeated
	spent    time.Duration
}

// start begins a life of the node's process: it knows the list that it had last.
func (n *node) start() error {
	g := n.engine
	n.life++
	n.dying, n.until, n.open, n.held = false, 0, 0, 0
	n.listed, n.left = make([]bool, len(g.raters)), map[int32]float64{}
	g.see(record.Event{Kind: record.NodeStarted, Node: int16(n.number), Rater: record.None})
	set, seed := Settings(g.day, n.number), g.day.Seed*0x9e3779b97f4a7c15+uint64(n.number*1000)+uint64(n.life)
	p, err := g.o.Policy(rivals.Place{Settings: set, Truth: g, Actions: n, Seed: seed})
	if err != nil {
		return err
	}
	n.policy = p
	if g.service == nil || n.life == 1 { // else it has the list that it had last
		n.has = g.fleet.Discovery.Has(n.number)
	}
	list := g.fleet.Discovery.List(nil, n.has)
	n.tell(list, decide.EndpointsStored)
	if n.life > 1 && g.o.Begun != nil {
		b := Begun{Node: n.number, Now: clock(g.now), Seed: seed, Settings: set, Own: p}
		for i := range g.nodes {
			if o := g.nodes[i].policy; o != nil && i != n.number {
				b.Others = append(b.Others, o)
			}
		}
		if err := g.o.Begun(b); err != nil {
			return err
		}
	}
	if g.service != nil {
		n.watching = false
		n.pace = backoff.Backoff{Random: rand.New(rand.NewPCG(g.day.Seed, uint64(n.number)<<16|uint64(n.life))).Float64}
		n.later(n.pace.InitialDelay(n.calls()), askList)
	}
	return nil
}

// callUsual is how long a call for the list may take that does not wait in turn, as a node has it without options of its own.
const callUsual = 1000

// calls is when a node calls for the list, with the pauses that it has without options of its own.
func (n *node) calls() backoff.Settings {
	set := Settings(n.engine.day, n.number)
	return backoff.Settings{Spread: set.FetchSpread().Seconds() * 1000, MinPause: 25, MaxPause: 1000, DeliveryLimit: 6000}
}

func (n *node) later(ms float64, k kind) {
	n.engine.q.push(event{at: n.engine.now + ms, kind: k, id: int32(n.number), life: n.life})
}

// listCall opens the watch, as a node's own does: what changed since its list comes first.
func (n *node) listCall(k kind) {
	g := n.engine
	switch k {
	case askList:
		d := g.fleet.Discovery
		at, answered := g.service.Ask(g.now, float64(d.Has(n.number)-n.has))
		if n.called = g.now; !answered || !d.Reached(n.number) {
			n.later(at-g.now, notListed)
		} else {
			n.later(at-g.now, listed)
		}
	case listed:
		n.pace.Reset()
		n.watching = true
		n.told()
	case notListed:
		n.later(n.pace.AfterFailure(n.calls(), g.now-n.called, callUsual), askList)
	}
}

func (n *node) tell(list []world.Entry, how decide.EndpointsKind) {
	g := n.engine
	entries := make([]decide.Backend, 0, len(list))
	for _, e := range list {
		n.listed[e.Rater] = true
		if e.State == world.Ready {
			delete(n.left, int32(e.Rater))
		} else if _, known := n.left[int32(e.Rater)]; !known {
			n.left[int32(e.Rater)] = g.now
		}
		entries = append(entries, g.entry(e))
	}
	begun := n.begin()
	n.policy.UpdateEndpoints(clock(g.now), how, entries)
	n.end(begun)
}

// begin and end stand round each event of the policy.
func (n *node) begin() time.Time {
	if n.engine.o.Measure {
		return time.Now()
	}
	return time.Time{}
}

func (n *node) end(begun time.Time) {
	for len(n.unsent) > 0 {
		o := n.unsent[0]
		n.unsent = append(n.unsent[:0], n.unsent[1:]...)
		n.policy.Outcome(clock(n.engine.now), o)
	}
	if n.engine.o.Measure {
		n.spent += time.Since(begun)
	}
}

// id is what the policy knows a try by: unlike that of any other.
func id(at int32, gen uint32) decide.RequestID { return decide.RequestID(uint64(gen)<<32 | uint64(at)) }

// find gives the try that a policy means; nil if it is not open there.
func (n *node) find(r decide.RequestID) (int32, *call) {
	at := int32(uint32(r))
	if at <= 0 || at > n.engine.calls.n {
		return 0, nil
	}
	c := n.engine.calls.at(at)
	if c.gen != uint32(r>>32) || !c.here || int(c.node) != n.number {
		return 0, nil
	}
	return at, c
}

// take is that a try has reached the node.
func (n *node) take(at int32, c *call) {
	g := n.engine
	if n.policy == nil || c.life != n.life { // it died on the way
		c.lost = true
		g.at(g.now+g.day.ClientDelay, unreached, at, uint64(c.gen))
		return
	}
	c.here = true
	n.open++
	n.held++
	g.out.Requests++
	begun := n.begin()
	n.policy.Request(clock(g.now), decide.Request{ID: id(at, c.gen), Class: c.arrival.Class,
		Tenant:   c.arrival.Partner,
		Deadline: clock(g.now + c.try.Limit), Repeat: c.try.Number > 0 && g.day.Site.Clients.MarksRetry})
	n.end(begun)
}

// gone is that the node hears that a client has left.
func (n *node) gone(at int32, c *call) {
	if !c.here || c.over {
		return
	}
	c.over = true // first, so that nothing is sent for it any more
	n.open--
	begun := n.begin()
	n.policy.ClientGone(clock(n.engine.now), id(at, c.gen))
	n.end(begun)
	n.forget(at, c)
}

func (n *node) timer(token uint64) {
	begun := n.begin()
	n.policy.Timer(clock(n.engine.now), token)
	n.end(begun)
}

// ended is that an attempt has come to its end.
func (n *node) ended(at int32, a *attempt, r decide.Result) {
	g := n.engine
	a.ended = true
	g.tally.end(a.rater, r)
	c := g.calls.at(a.call)
	c.relays[a.place].at = 0
	c.out--
	if r == decide.Succeeded && !c.over {
		c.over = true
		n.open--
		g.answer(a.call, c, world.Served, 200, g.body(a), 0)
		n.recall(c)
	}
	begun := n.begin()
	n.policy.Outcome(clock(g.now), decide.Outcome{Request: id(a.call, c.gen), Backend: g.raters[a.rater].id,
		Attempt: int(a.place),
		Over:    c.over, Latency: span(g.now - a.sent), Result: r})
	n.end(begun)
	n.forget(a.call, c)
	g.tried(at, a)
}

// forget drops a try that is over and has nothing out.
func (n *node) forget(at int32, c *call) {
	if c.here && c.over && c.out == 0 {
		c.here = false
		n.held--
		n.engine.called(at, c)
		n.stop()
	}
}

// recall gives up what has not gone out for a try that has its final answer, as a node's carrier does.
func (n *node) recall(c *call) {
	g := n.engine
	for i := range c.relays {
		at := c.relays[i].at
		if at == 0 {
			continue
		}
		if a := g.tries.at(at); !a.off && (a.phase == dialing || g.now < a.writeAt) {
			a.off = true
			g.at(g.now, abandon, at, uint64(a.gen))
		}
	}
}

func (n *node) party() world.Party { return world.Party{Kind: world.NodeParty, Number: n.number} }

// Send starts an attempt, unless a rule forbids it: then the policy hears that it was not sent.
func (n *node) Send(r decide.RequestID, to decide.BackendID, until time.Duration) {
	g := n.engine
	at, c := n.find(r)
	rater, known := g.byID[to]
	if c == nil {
		g.out.Guard.Over++
		return
	}
	place := len(c.relays)
	c.relays = append(c.relays, relay{rater: rater})
	left, departed := 0.0, false
	if known {
		left, departed = n.left[rater]
	}
	held := ""
	abandonAt := millis(until)
	if until <= 0 {
		abandonAt = c.deadline
	}
	switch {
	case c.over:
		g.out.Guard.Over++
		held = "held back: the request is over"
	case !known || !n.listed[rater]:
		g.out.Guard.Unknown++
		held = "held back: no list names the rater"
	case departed && g.now > left+g.day.Site.Rules.DrainGrace.Lo:
		g.out.Guard.Departed++
		held = "held back: the rater drains or is gone"
	case abandonAt <= g.now:
		g.out.Guard.TimeIsUp++
		held = "not sent: its time is up"
	}
	if g.o.Follow != nil {
		what := "sends"
		if held != "" {
			what = held
		}
		g.o.Follow.Did(g.now, n.number, int(rater), c.try.ID, place, what)
	}
	if held != "" {
		n.unsent = append(n.unsent, decide.Outcome{Request: r, Backend: to, Attempt: place, Over: c.over,
			Result: decide.NotSent})
		return
	}
	c.out++
	c.relays[place].at = g.try(at, c, n, rater, place, abandonAt)
}

// Reject gives a back-off answer.
func (n *node) Reject(r decide.RequestID, wait time.Duration) {
	n.final(r, world.Refused, 503, float64(wait)/1e6, "refuses")
}

// Fail gives a failure.
func (n *node) Fail(r decide.RequestID) { n.final(r, world.Broke, 502, 0, "fails") }

func (n *node) final(r decide.RequestID, how world.How, status int, wait float64, what string) {
	at, c := n.find(r)
	if c == nil || c.over {
		return
	}
	if n.engine.o.Follow != nil {
		n.engine.o.Follow.Did(n.engine.now, n.number, -1, c.try.ID, -1, what)
	}
	c.over = true
	n.open--
	n.engine.answer(at, c, how, status, 0, wait)
	if c.out == 0 { // the policy is through with it; the last outcome does this otherwise
		n.forget(at, c)
	}
}

// Cancel calls an attempt off. The policy hears of its end after its present event.
func (n *node) Cancel(r decide.RequestID, attempt int) {
	g := n.engine
	_, c := n.find(r)
	if c == nil || attempt < 0 || attempt >= len(c.relays) || c.relays[attempt].at == 0 {
		return
	}
	at := c.relays[attempt].at
	a := g.tries.at(at)
	if a.off {
		return
	}
	a.off = true
	if g.o.Follow != nil {
		g.o.Follow.Did(g.now, n.number, int(a.rater), c.try.ID, attempt, "calls off")
	}
	g.at(g.now, abandon, at, uint64(a.gen))
}

// Probe checks a rater, where the site allows probes.
func (n *node) Probe(to decide.BackendID) {
	g := n.engine
	rater, known := g.byID[to]
	if !known || !n.listed[rater] || !g.day.Site.Node.Probes {
		return
	}
	g.probe(n, rater)
}

// SetTimer sets a timer.
func (n *node) SetTimer(after time.Duration, token uint64) {
	at := n.engine.now + float64(after)/1e6
	if !(at < math.MaxInt32) {
		return
	}
	n.engine.q.push(event{at: at, kind: timer, id: int32(n.number), life: n.life, arg: token})
}

// Watch has nothing to do: a node watches its list as long as it runs.
func (n *node) Watch() {}

// Log passes a line on.
func (n *node) Log(line string) {
	if n.engine.o.Follow != nil {
		n.engine.o.Follow.Did(n.engine.now, n.number, -1, 0, -1, "says: "+line)
	}
}

// told is that a node may have news of the list. An answer of discovery that breaks off, or is lost, is asked for again.
func (n *node) told() {
	g := n.engine
	d := g.fleet.Discovery
	n.asking = false
	if n.policy == nil || !d.Reached(n.number) || g.service != nil && !n.watching {
		return
	}
	upto := d.Has(n.number)
	if upto <= n.has {
		return
	}
	if g.half && g.breaksOff(n, upto) {
		n.asking = true
		g.at(g.now+againMs, told, int32(n.number), 0)
		return
	}
	changes := d.Since(n.has, upto)
	for _, e := range changes {
		g.see(record.Event{Kind: record.Told, Node: int16(n.number), Rater: int16(e.Rater), How: uint8(e.State),
			Value: math.Float64bits(e.Since)})
	}
	n.has = upto
	n.tell(changes, decide.EndpointsDelta)
}

// breaksOff tells whether an answer of discovery does not reach a node whole.
func (g *engine) breaksOff(n *node, upto uint64) bool {
	own := uint64(n.number)<<40 | upto<<20 | uint64(g.now/againMs)
	for i := range g.day.Troubles {
		t := &g.day.Troubles[i]
		if t.Kind == world.DiscoveryHalf && g.now >= t.From && g.now < t.To && g.luck(own) < t.Share {
			return true
		}
	}
	return g.day.Pass(g.now, world.Party{Kind: world.DiscoveryParty}, n.party(), own).Lost
}

// signal asks the node to stop, or kills it.
func (n *node) signal(kill bool) {
	g := n.engine
	if n.policy == nil {
		return
	}
	number := uint64(15)
	if kill {
		number = 9
	}
	g.see(record.Event{Kind: record.NodeSignal, Node: int16(n.number), Rater: record.None, Extra: number})
	n.until = g.now + stopAfter
	if kill {
		n.until = g.now + g.day.FrontNotice
	}
	g.at(n.until, doorsAt, int32(n.number), 0)
	if kill {
		n.killed()
		return
	}
	n.dying = true
	longest := 0.0
	for _, c := range g.day.Classes {
		longest = max(longest, c.Deadline)
	}
	g.q.push(event{at: g.now + killAfter + min(longest, mostKill), kind: stopped, id: int32(n.number),
		life: n.life})
}

// stop ends a process that was asked to, once it owes nothing and the front sends it nothing more.
func (n *node) stop() {
	if n.dying && n.policy != nil && n.held == 0 && n.engine.now >= n.until {
		n.killed()
	}
}

// killed ends the process: what it held is lost, its connections are reset.
func (n *node) killed() {
	g := n.engine
	if n.policy == nil {
		return
	}
	n.policy = nil
	g.see(record.Event{Kind: record.NodeEnded, Node: int16(n.number), Rater: record.None})
	g.nodeLost(n)
}
