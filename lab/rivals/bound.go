package rivals

import (
	"math"
	"time"
)

// bound sends a request to the rater that will be through with it first, going by the true state of all raters and what is
// on its way to them, and by the true cost of the request. It says what is within reach of a policy that decides once a
// request: nothing real sees this much. It is no proof: one that also saw what comes next could do better, and how it
// refuses is a choice, which is why there are several and the best of them on a seed counts. On fleets above boundScan
// raters it looks at that many, drawn anew for each request.
type bound struct {
	plain
	sees
	truth  Truth
	most   float64   // worth of the dearest class
	idle   []float64 // by class: the usual time without a queue, ms
	tokens []float64 // by tenant: of this node's part of its share
	at     time.Duration
}

// sees says how a bound refuses and what it sees besides the raters.
type sees struct {
	refuses bool    // what would be answered after its aim,
	tiers   bool    // and what is worth little before that:
	least   float64 // share of the longest queue that what is worth nothing may find,
	power   float64 // and how that grows with worth
	beyond  bool    // it sees which requests are beyond their tenant's share; else it goes by its own part of the traffic
}

const (
	boundScan = 64
	boundAim  = 0.95 // of the aim that the expected time may fill
)

func newBound(see sees) Maker {
	return func(at Place) (Policy, error) {
		// It needs no ejection and no cap: it sees. Retries cost nothing that it would not know.
		with := Companions{Failures: math.MaxInt, Retries: 1, RetryRate: 1000}
		return newShell(at, with, func(s *shell) picker {
			b := &bound{truth: at.Truth, sees: see, idle: make([]float64, len(s.set.Classes)),
				tokens: make([]float64, len(s.set.Tenants))}
			for _, c := range s.set.Classes {
				b.most = max(b.most, c.Value)
			}
			return b
		})
	}
}

func (b *bound) pick(s *shell, c *call) *host {
	work, wait := b.truth.Cost(c.ID)
	var best *host
	least, queue, alone := math.Inf(1), 0.0, 0.0
	look := func(h *host) {
		v := b.truth.Look(h.ID)
		if v.Able <= 0 || !s.free(h) {
			return
		}
		if t := wait + max(work/v.Core, (v.Backlog+v.Coming+work)/v.Able); t < least {
			best, least, queue, alone = h, t, (v.Backlog+v.Coming)/v.Able, wait+work/v.Core
		}
	}
	if len(s.ready) <= boundScan {
		for _, h := range s.ready {
			look(h)
		}
	} else {
		for range boundScan {
			look(s.ready[s.rng.IntN(len(s.ready))])
		}
	}
	if best == nil || !b.refuses {
		return best
	}
	if b.idle[c.Class] == 0 {
		b.idle[c.Class] = alone
	}
	b.idle[c.Class] += (alone - b.idle[c.Class]) / 64
	left := boundAim * ms(min(c.Deadline, c.arrived+s.set.Classes[c.Class].Target)-s.now)
	if least > left || b.tiers && queue > b.longest(s, c) {
		return nil
	}
	return best
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// longest is the longest queue, ms, at whose end a request is still put: such that each class has time for its aim behind
// it, and shorter for what is worth less.
func (b *bound) longest(s *shell, c *call) float64 {
	room := math.Inf(1)
	for i, k := range s.set.Classes {
		if b.idle[i] > 0 {
			room = min(room, boundAim*ms(k.Target)-b.idle[i])
		}
	}
	worth := s.set.Classes[c.Class].Value
	if b.over(s, c) {
		worth *= s.set.OverQuotaValue
	}
	return max(0, room) * (b.least + (1-b.least)*math.Pow(worth/b.most, b.power))
}

// over tells whether a request is beyond its tenant's share, as far as the bound may see.
func (b *bound) over(s *shell, c *call) bool {
	if b.beyond {
		return b.truth.Beyond(c.ID)
	}
	for i, t := range s.set.Tenants {
		rate := t.Quota / float64(s.set.Nodes)
		b.tokens[i] = min(b.tokens[i]+rate*(s.now-b.at).Seconds(), max(2*rate, 3))
	}
	b.at = s.now
	if c.Tenant < 0 || c.Tenant >= len(b.tokens) || s.set.Tenants[c.Tenant].Quota <= 0 {
		return false
	}
	if b.tokens[c.Tenant] < 1 {
		return true
	}
	b.tokens[c.Tenant]--
	return false
}
