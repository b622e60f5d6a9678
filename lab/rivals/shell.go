package rivals

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// Companions are the figures of what stands round a picker.
type Companions struct {
	// A rater with so many failures in a row is ejected for EjectBase times the number of its ejections, at most MostEject,
	// unless MostEjected of the raters are (Envoy's outlier detection). FullFails: being turned away counts as a failure.
	Failures    int
	EjectBase   time.Duration
	MostEject   time.Duration
	MostEjected float64
	FullFails   bool

	// Each request earns Retries of a retry, besides RetryRate a second (Finagle's RetryBudget).
	Retries   float64
	RetryRate float64

	// All nodes together send a rater at most HeldPerWeight requests at once for each unit of its listed weight (HAProxy's
	// maxconn, Envoy's per-host circuit breaker); a request that finds no rater below its cap is refused. 0 = no cap.
	HeldPerWeight float64
}

// Usual is what all rivals run with: the best of a grid over ten experiments on seeds that no comparison uses, see
// docs/design/scale.md.
var Usual = Companions{Failures: 3, EjectBase: 5 * time.Second, MostEject: time.Minute, MostEjected: 0.5,
	FullFails: true,
	Retries:   0.2, RetryRate: 2, HeldPerWeight: 3.5}

// host is what the shell knows of a rater.
type host struct {
	decide.Backend
	weight float64 // as listed; 1 where weights mean nothing
	cap    float64 // on what it holds of this node's
	out    int     // requests held

	ready  bool // it may be picked
	cold   bool // but not before next
	next   time.Duration
	fails  int // in a row
	ejects int
	until  time.Duration // ejected before then

	effective, current float64 // of smooth weighted round robin
	cost               float64 // of peak-EWMA, seconds
	stamp              time.Duration
}

// call is an open request.
type call struct {
	decide.Request
	arrived time.Duration
	sends   []send
	out     int
	ran     bool // an attempt may have run,
	ranOn   *host
	ranAt   time.Duration // sent then
	closed  bool
}

type send struct {
	to   *host
	at   time.Duration
	open bool
}

// picker is one rule of choice.
type picker interface {
	// pick chooses among the ready raters that s.free allows; nil if there is none.
	pick(s *shell, c *call) *host
	// sent and done tell of an attempt at a rater; answered: with an answer.
	sent(s *shell, h *host)
	done(s *shell, h *host, latency time.Duration, answered bool)
	// listed tells that raters have come or gone.
	listed(s *shell)
	// request tells of a request that has arrived, before it is picked for; probed of a probe.
	request(s *shell)
	probed(s *shell, o *decide.Outcome)
}

// plain is for pickers that have no use for most of it.
type plain struct{}

func (plain) sent(*shell, *host)                      {}
func (plain) done(*shell, *host, time.Duration, bool) {}
func (plain) listed(*shell)                           {}
func (plain) request(*shell)                          {}
func (plain) probed(*shell, *decide.Outcome)          {}

// shell is a proxy round a picker.
type shell struct {
	set  decide.Settings
	with Companions
	act  decide.Actions
	rng  *rand.Rand
	how  picker
	now  time.Duration

	hosts  []*host // all that are listed
	byID   map[decide.BackendID]*host
	ready  []*host       // those that may be picked
	total  float64       // weight of all that serve
	review time.Duration // when ready is to be made anew: an ejection or a warming ends
	calls  map[decide.RequestID]*call
	spare  []*call

	budget   float64 // of retries
	budgetAt time.Duration
	rate     float64 // requests a second
	rateAt   time.Duration
	excluded *call // whose raters are not picked again
}

const never = time.Duration(math.MaxInt64)

func newShell(at Place, with Companions, how func(*shell) picker) (Policy, error) {
	s := &shell{set: at.Settings, with: with, act: at.Actions, rng: rand.New(rand.NewPCG(at.Seed, 0x72697661)),
		byID: map[decide.BackendID]*host{}, calls: map[decide.RequestID]*call{}, review: never, budget: 3}
	s.how = how(s)
	return s, nil
}

// UpdateEndpoints takes news of the raters.
func (s *shell) UpdateEndpoints(now time.Duration, kind decide.EndpointsKind, entries []decide.Backend) {
	s.now = now
	if kind == decide.EndpointsUnavailable {
		return
	}
	if kind != decide.EndpointsDelta {
		for _, h := range s.hosts {
			h.State = decide.Deleted
		}
	}
	for _, e := range entries {
		h := s.byID[e.ID]
		switch {
		case h == nil && e.State != decide.Serving:
			continue
		case h == nil:
			h = &host{}
			s.byID[e.ID] = h
			s.hosts = append(s.hosts, h)
		case e.Started > h.Started: // a new process
			h.fails, h.until, h.cost = 0, 0, 0
		}
		fresh := h.Started != e.Started
		h.Backend, h.weight = e, 1
		if s.set.Weights == decide.WeightSize && e.Weight > 0 {
			h.weight = e.Weight
		}
		if fresh && s.warmth(h) < 1 { // nodes do not move together
			h.next = now + time.Duration(s.rng.Float64()*float64(s.coldGap(h)))
		}
	}
	s.hosts = slices.DeleteFunc(s.hosts, func(h *host) bool {
		if h.State == decide.Deleted {
			delete(s.byID, h.ID)
		}
		return h.State == decide.Deleted
	})
	s.total = 0
	for _, h := range s.hosts {
		if h.State == decide.Serving {
			s.total += h.weight
		}
	}
	for _, h := range s.hosts {
		h.cap = math.Inf(1)
		if s.with.HeldPerWeight > 0 {
			h.cap = max(1, math.Round(s.with.HeldPerWeight*h.weight/float64(s.set.Nodes)))
		}
	}
	s.sort()
	s.how.listed(s)
}

// sort finds those that may be picked.
func (s *shell) sort() {
	s.ready, s.review = s.ready[:0], never
	for _, h := range s.hosts {
		h.ready = h.State == decide.Serving && s.now >= h.until
		h.cold = s.warmth(h) < 1
		if s.now < h.until {
			s.review = min(s.review, h.until)
		}
		if h.cold {
			s.review = min(s.review, h.Started+s.set.Rules.SlowStartTime)
		}
		if h.ready {
			s.ready = append(s.ready, h)
		}
	}
}

// warmth is the share of its weight that a rater that has just started gets (Envoy's slow start): it grows evenly to the
// whole over the time by which raters are warm.
func (s *shell) warmth(h *host) float64 {
	r := &s.set.Rules
	if h.Started <= 0 || r.SlowStartTime <= 0 || s.now >= h.Started+r.SlowStartTime {
		return 1
	}
	return max(r.SlowStartFloor, (s.now-h.Started).Seconds()/r.SlowStartTime.Seconds())
}

// weigh is the weight of a rater now.
func (s *shell) weigh(h *host) float64 {
	if h.cold {
		return h.weight * s.warmth(h)
	}
	return h.weight
}

// coldGap is the mean gap between sends to a cold rater: its share of this node's requests, by weight and warmth. A picker
// that would send it more passes it over, whatever it holds.
func (s *shell) coldGap(h *host) time.Duration {
	rate := max(s.rate, 0.1) * s.warmth(h) * h.weight / max(s.total, h.weight)
	return time.Duration(min(float64(time.Second)/rate, float64(time.Minute)))
}

// free tells whether a ready rater may be picked just now.
func (s *shell) free(h *host) bool {
	if h.cold && s.now < h.next || float64(h.out) >= h.cap {
		return false
	}
	if s.excluded != nil {
		for i := range s.excluded.sends {
			if s.excluded.sends[i].to == h {
				return false
			}
		}
		c := &s.set.Classes[s.excluded.Class]
		if on := s.excluded.ranOn; c.Effect == decide.Keyed && on != nil && c.Group != decide.GroupAll {
			return h.Zone == on.Zone && (c.Group == decide.GroupZone || h.Cell == on.Cell)
		}
	}
	return true
}

// Request takes a request that has arrived.
func (s *shell) Request(now time.Duration, r decide.Request) {
	s.now = now
	const memory = 2 // seconds after which the rate weighs 1/e
	gap := (now - s.rateAt).Seconds()
	s.rate, s.rateAt = s.rate*math.Exp(-gap/memory)+1.0/memory, now
	s.budget = min(s.budget+s.with.Retries, 100)
	if s.now >= s.review {
		s.sort()
	}
	c := s.take()
	*c = call{Request: r, arrived: now, sends: c.sends[:0]}
	s.calls[r.ID] = c
	s.how.request(s)
	if h := s.choose(c); h != nil {
		s.send(c, h)
	} else {
		s.end(c)
	}
}

// choose has the picker choose. Where all raters are ejected, any will do (Envoy's panic mode).
func (s *shell) choose(c *call) *host {
	if len(s.ready) == 0 {
		for _, h := range s.hosts {
			if h.State == decide.Serving {
				s.ready = append(s.ready, h)
			}
		}
		s.review = s.now
	}
	if len(s.ready) == 0 {
		return nil
	}
	return s.how.pick(s, c)
}

func (s *shell) send(c *call, h *host) {
	k := &s.set.Classes[c.Class]
	abandon := c.Deadline
	if k.LateValue == 0 && !k.Streaming { // a time-out as a user would set it: later answers are of no use
		abandon = min(abandon, c.arrived+k.Target)
	}
	if h.cold {
		h.next = s.now + time.Duration((0.5+s.rng.Float64())*float64(s.coldGap(h)))
	}
	h.out++
	c.out++
	c.sends = append(c.sends, send{h, s.now, true})
	s.how.sent(s, h)
	s.act.Send(c.ID, h.ID, abandon)
}

func (s *shell) take() *call {
	if n := len(s.spare); n > 0 {
		c := s.spare[n-1]
		s.spare = s.spare[:n-1]
		return c
	}
	return &call{sends: make([]send, 0, 4)}
}

func (s *shell) drop(c *call) {
	if c.closed && c.out == 0 {
		delete(s.calls, c.ID)
		s.spare = append(s.spare, c)
	}
}

// Outcome takes the end of an attempt.
func (s *shell) Outcome(now time.Duration, o decide.Outcome) {
	s.now = now
	c := s.calls[o.Request]
	if c == nil || o.Attempt >= len(c.sends) || !c.sends[o.Attempt].open {
		return
	}
	a := &c.sends[o.Attempt]
	a.open = false
	c.out--
	h := a.to
	h.out--
	c.closed = c.closed || o.Over
	if o.Result.MayHaveRun() && !c.ran {
		c.ran, c.ranOn, c.ranAt = true, h, a.at
	}
	s.how.done(s, h, o.Latency, o.Result == decide.Succeeded)
	switch o.Result {
	case decide.Succeeded, decide.InvalidRequest:
		h.fails, h.ejects = 0, 0
	case decide.Cancelled, decide.NotSent:
	case decide.Overloaded:
		if s.with.FullFails {
			s.failed(h)
		}
	default:
		s.failed(h)
	}
	if c.closed {
		s.drop(c)
		return
	}
	if c.out > 0 {
		return
	}
	if o.Result != decide.InvalidRequest && s.mayRetry(c) {
		s.excluded = c
		next := s.choose(c)
		s.excluded = nil
		if next != nil {
			s.budget--
			s.send(c, next)
			return
		}
	}
	s.end(c)
}

// failed counts a failure, and ejects a rater that has failed too often in a row.
func (s *shell) failed(h *host) {
	if h.fails++; h.fails < s.with.Failures || s.now < h.until {
		return
	}
	out := 0
	for _, x := range s.hosts {
		if s.now < x.until {
			out++
		}
	}
	if float64(out+1) > max(1, s.with.MostEjected*float64(len(s.hosts))) {
		return
	}
	h.ejects++
	h.fails = 0
	h.until = s.now + min(s.with.MostEject, time.Duration(h.ejects)*s.with.EjectBase)
	s.sort()
}

func (s *shell) mayRetry(c *call) bool {
	k := &s.set.Classes[c.Class]
	s.budget = min(s.budget+(s.now-s.budgetAt).Seconds()*s.with.RetryRate, 100)
	s.budgetAt = s.now
	if s.budget < 1 || len(c.sends) >= s.set.Limits.MaxAttempts || s.now >= min(c.Deadline, c.arrived+k.Target) {
		return false
	}
	return !c.ran || k.Effect == decide.Safe || k.Effect == decide.Keyed && s.now < c.ranAt+k.KeyTTL
}

// end gives the final answer: a refusal where that is true, else a failure.
func (s *shell) end(c *call) {
	c.closed = true
	k := &s.set.Classes[c.Class]
	if !c.ran || k.Effect == decide.Safe || k.Effect == decide.Keyed && k.Group == decide.GroupAll {
		s.act.Reject(c.ID, 0)
	} else {
		s.act.Fail(c.ID)
	}
	s.drop(c)
}

// ClientGone takes the news that a client has left.
func (s *shell) ClientGone(now time.Duration, id decide.RequestID) {
	s.now = now
	c := s.calls[id]
	if c == nil || c.closed {
		return
	}
	c.closed = true
	for i := range c.sends {
		if c.sends[i].open && s.set.Limits.Cancel {
			s.act.Cancel(id, i)
		}
	}
	s.drop(c)
}

// Timer is not used.
func (s *shell) Timer(now time.Duration, _ uint64) { s.now = now }

// Probed takes the result of a probe.
func (s *shell) Probed(now time.Duration, o decide.Outcome) {
	s.now = now
	s.how.probed(s, &o)
}
