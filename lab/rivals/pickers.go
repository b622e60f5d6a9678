package rivals

import (
	"math"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// tries is how often a picker that draws draws again when what it drew may not be picked.
const tries = 8

// scan is for pickers whose draws all failed: the first rater from a place drawn at random that may be picked.
func scan(s *shell) *host {
	from := s.rng.IntN(len(s.ready))
	for i := range s.ready {
		if h := s.ready[(from+i)%len(s.ready)]; s.free(h) {
			return h
		}
	}
	return nil
}

// byWeight draws a rater with a chance that goes by its weight.
func byWeight(s *shell) *host {
	most := 0.0
	for range tries {
		most = 0
		for _, h := range s.ready[:min(len(s.ready), 64)] {
			most = max(most, h.weight)
		}
		for range 4 * tries { // rejection: weights differ little
			if h := s.ready[s.rng.IntN(len(s.ready))]; s.rng.Float64()*most <= s.weigh(h) {
				if s.free(h) {
					return h
				}
				break
			}
		}
	}
	return scan(s)
}

// random picks a rater at random, by weight.
type random struct{ plain }

func newRandom(*shell) picker { return random{} }

func (random) pick(s *shell, _ *call) *host { return byWeight(s) }

// robin is round robin. Each node begins at a place of its own.
type robin struct {
	plain
	at int
}

func newRobin(s *shell) picker { return &robin{at: s.rng.IntN(1 << 30)} }

func (r *robin) pick(s *shell, _ *call) *host {
	for range s.ready {
		r.at++
		if h := s.ready[r.at%len(s.ready)]; s.free(h) {
			return h
		}
	}
	return nil
}

// weighted is smooth weighted round robin as nginx has it (ngx_http_upstream_round_robin.c, get_peer): each rater's current
// weight grows by its effective weight, the highest is picked and pays the sum. A failure lowers the effective weight, each
// pick raises it again. Each node begins at a place of its own: at one that all have, as nginx does, many nodes would send
// their first requests to the largest raters.
type weighted struct{ plain }

func newWeighted(*shell) picker { return weighted{} }

func (weighted) listed(s *shell) {
	for _, h := range s.hosts {
		if h.effective == 0 {
			h.effective, h.current = h.weight, h.weight-s.total*s.rng.Float64()
		}
	}
}

func (weighted) pick(s *shell, _ *call) *host {
	var best *host
	sum := 0.0
	for _, h := range s.ready {
		if !s.free(h) {
			continue
		}
		w := h.effective
		if h.cold {
			w *= s.warmth(h)
		}
		sum += w
		h.current += w
		h.effective = min(h.weight, h.effective+h.weight/10)
		if best == nil || h.current > best.current {
			best = h
		}
	}
	if best != nil {
		best.current -= sum
	}
	return best
}

func (weighted) done(_ *shell, h *host, _ time.Duration, answered bool) {
	if !answered {
		h.effective = max(0.01*h.weight, h.effective-h.weight)
	}
}

// least picks the rater that holds least of this node's requests by weight (nginx least_conn); of those that hold the same,
// by smooth weighted round robin.
type least struct{ weighted }

func newLeast(*shell) picker { return least{} }

func (least) pick(s *shell, _ *call) *host {
	lowest := math.Inf(1)
	for _, h := range s.ready {
		if s.free(h) {
			lowest = min(lowest, float64(h.out)/s.weigh(h))
		}
	}
	var best *host
	sum := 0.0
	for _, h := range s.ready {
		if float64(h.out)/s.weigh(h) > lowest || !s.free(h) {
			continue
		}
		sum += h.weight
		h.current += h.weight
		if best == nil || h.current > best.current {
			best = h
		}
	}
	if best != nil {
		best.current -= sum
	}
	return best
}

// pair draws two raters and takes the one that is better by the rule (Mitzenmacher 2001).
func pair(s *shell, draw func(*shell) *host, worse func(a, b *host) bool) *host {
	a := draw(s)
	if a == nil {
		return nil
	}
	b := a
	for range tries {
		if b = draw(s); b != a {
			break
		}
	}
	if worse(a, b) {
		return b
	}
	return a
}

// two is nginx's "random two least_conn": two raters drawn by weight, the one that holds less by weight.
type two struct{ plain }

func newTwo(*shell) picker { return two{} }

func (two) pick(s *shell, _ *call) *host {
	return pair(s, byWeight, func(a, b *host) bool {
		return float64(a.out)/s.weigh(a) > float64(b.out)/s.weigh(b)
	})
}

// ewma is Finagle's "power of two choices, peak EWMA" (com.twitter.finagle.loadbalancer.PeakEwma): a rater's cost is the
// moving average of its latencies over ten seconds, but a latency above it counts at once; its load is the cost times one
// more than it holds. One that has answered nothing yet and holds something has a high cost.
type ewma struct{ plain }

const (
	ewmaDecay   = 10 * time.Second
	ewmaPenalty = 1e3 // seconds: Long.MaxValue >> 16 nanoseconds in the original, beyond any cost there too
)

func newEWMA(*shell) picker { return ewma{} }

func (ewma) pick(s *shell, _ *call) *host {
	return pair(s, func(s *shell) *host {
		for range tries {
			if h := s.ready[s.rng.IntN(len(s.ready))]; s.free(h) {
				return h
			}
		}
		return scan(s)
	}, func(a, b *host) bool { return ewmaLoad(s, a) > ewmaLoad(s, b) })
}

// ewmaObserve takes a latency into the cost; the time that has passed since the last one fades the old.
func ewmaObserve(s *shell, h *host, latency float64) {
	gap := max(0, s.now-h.stamp)
	h.stamp = s.now
	if latency > h.cost {
		h.cost = latency
		return
	}
	keep := math.Exp(-gap.Seconds() / ewmaDecay.Seconds())
	h.cost = h.cost*keep + latency*(1-keep)
}

func ewmaLoad(s *shell, h *host) float64 {
	ewmaObserve(s, h, 0)
	switch {
	case h.cost == 0 && h.out > 0:
		return ewmaPenalty + float64(h.out)
	case h.cold: // slow start: a share of the load counts for all of it
		return h.cost * float64(h.out+1) / s.warmth(h)
	}
	return h.cost * float64(h.out+1)
}

func (ewma) done(s *shell, h *host, latency time.Duration, _ bool) {
	ewmaObserve(s, h, latency.Seconds())
}

// prequal is Prequal (Wydrowski, Kleinberg, Rumble, Archer: Load is not what you should balance, NSDI 2024) with its usual
// figures: probes go out with each request to raters drawn at random, their answers stay in a pool of 16 for a second and
// serve a few times each; with each request one is dropped, by turns the oldest and the worst. A rater is hot if it holds
// more than a quantile of what probes have lately said; of the cold ones the one of least latency is picked, if all are
// hot the one that holds least. A site that takes no probes, or whose raters report nothing, leaves it with random choice.
type prequal struct {
	plain
	pool      []probe // the oldest first
	rifs      [64]float64
	rifsN     int
	probes    float64 // owed
	drops     float64
	dropWorst bool
}

type probe struct {
	host    *host
	at      time.Duration
	rif     float64 // requests in flight there
	latency float64
	uses    int
}

const (
	prequalProbes = 1.0 // a request; the paper has 3 and finds little loss down to 1, which costs less
	prequalDrops  = 0.5 // a request; the paper has 1 with its 3 probes
	prequalPool   = 16
	prequalAge    = time.Second
	prequalHot    = 0.84 // 2^-0.25
	prequalDelta  = 1.0
	prequalLeast  = 2 // entries below which a rater is drawn at random
)

func newPrequal(*shell) picker { return &prequal{} }

// uses is how often a probe may serve, b_reuse of the paper.
func (p *prequal) uses(s *shell) int {
	n := max(float64(len(s.ready)), prequalPool+1)
	return int(math.Ceil(max(1, (1+prequalDelta)/((1-prequalPool/n)*prequalProbes-prequalDrops+1e-9))))
}

func (p *prequal) request(s *shell) {
	for p.probes += prequalProbes; p.probes >= 1; p.probes-- {
		if len(s.ready) > 0 {
			s.act.Probe(s.ready[s.rng.IntN(len(s.ready))].ID)
		}
	}
}

func (p *prequal) probed(s *shell, o *decide.Outcome) {
	h := s.byID[o.Backend]
	if h == nil || o.Result != decide.Succeeded || o.Load.Has>>decide.ReportInFlight&1 == 0 {
		return
	}
	e := probe{host: h, at: s.now, rif: o.Load.Values[decide.ReportInFlight], uses: min(p.uses(s), 8)}
	e.latency = o.Load.Values[decide.ReportLatency]
	p.rifs[p.rifsN%len(p.rifs)] = e.rif
	p.rifsN++
	if len(p.pool) == prequalPool {
		p.pool = append(p.pool[:0], p.pool[1:]...)
	}
	p.pool = append(p.pool, e)
}

// hot is the number of requests above which a rater counts as hot.
func (p *prequal) hot() float64 {
	n := min(p.rifsN, len(p.rifs))
	list := p.rifs // a copy
	for i := 1; i < n; i++ {
		for j := i; j > 0 && list[j] < list[j-1]; j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
	return list[min(n-1, int(prequalHot*float64(n)))]
}

func (p *prequal) pick(s *shell, _ *call) *host {
	fresh := p.pool[:0]
	for _, e := range p.pool {
		if s.now-e.at < prequalAge && e.host.ready && e.uses > 0 {
			fresh = append(fresh, e)
		}
	}
	p.pool = fresh
	if len(p.pool) < prequalLeast {
		return byWeight(s)
	}
	limit := p.hot()
	best, worst := -1, -1
	for i := range p.pool {
		if s.free(p.pool[i].host) && (best < 0 || p.better(i, best, limit)) {
			best = i
		}
		if worst < 0 || p.better(worst, i, limit) {
			worst = i
		}
	}
	if best < 0 {
		return byWeight(s)
	}
	h := p.pool[best].host
	p.pool[best].rif++ // it holds one more now
	p.pool[best].uses--
	for p.drops += prequalDrops; p.drops >= 1 && len(p.pool) > 0; p.drops-- {
		gone := 0
		if p.dropWorst = !p.dropWorst; p.dropWorst {
			gone = worst
		}
		p.pool = append(p.pool[:gone], p.pool[gone+1:]...)
	}
	return h
}

// better is the hot-cold lexicographic rule.
func (p *prequal) better(i, j int, limit float64) bool {
	a, b := &p.pool[i], &p.pool[j]
	hotA, hotB := a.rif > limit, b.rif > limit
	switch {
	case hotA != hotB:
		return hotB
	case hotA:
		return a.rif < b.rif
	}
	return a.latency < b.latency
}
