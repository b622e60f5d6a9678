package world

import (
	"math"
	"slices"

	"linenwheel.dev/linenwheel/lab/form"
)

// defaults fills in what a site need not say.
func (s *Site) defaults() {
	set := func(r *form.Range, lo, hi float64) {
		if r.IsZero() {
			*r = form.Range{Lo: lo, Hi: hi}
		}
	}
	if len(s.Size.Zones) == 0 {
		s.Size.Zones = []string{"hall-a"}
	}
	if len(s.Load.Shape) == 0 {
		s.Load.Shape = []string{Poisson}
	}
	if s.Load.WorthBy == "" {
		s.Load.WorthBy = "request"
	}
	set(&s.Load.Period.Range, 15e3, 15e3)
	set(&s.Load.QuotaOfCapacity, 1, 1)
	set(&s.Clients.TryShare, 1, 1)
	set(&s.Clients.Body, 200, 200)
	set(&s.Clients.Answer, 200, 200)
	set(&s.Discovery.CountsAfter.Range, 6000, 6000)
	set(&s.Weights.Window.Range, 10e3, 10e3)
	set(&s.Conns.PerCore, 1000, 1000)
	set(&s.Conns.Idle.Range, 30e3, 30e3)
	set(&s.Conns.ConnectTimeout.Range, 250, 250)
	set(&s.Probe.PerCore, 2, 2)
	set(&s.Probe.Timeout.Range, 400, 400)
	if len(s.Probe.Deep) == 0 {
		s.Probe.Deep = []bool{false}
	}
	if len(s.Partners) == 0 {
		s.Partners = []Partner{{Name: "all", Share: 1, Usage: form.Exactly(1)}}
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		set(&k.Share, 1, 1)
		set(&k.ColdFrom, 1, 1)
		if k.WarmBy == "" {
			k.WarmBy = WarmByTime
		}
		if k.Cancel == "" {
			k.Cancel = CancelNothing
		}
		if len(k.DropsOverdue) == 0 {
			k.DropsOverdue = []bool{false}
		}
		if k.ListedWeight == "" {
			k.ListedWeight = "nominal"
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		set(&c.Share, 1, 1)
		if len(c.Dist) == 0 {
			c.Dist = []string{Fixed}
		}
		if c.RepeatWork == 0 {
			c.RepeatWork = 1
		}
	}
	for i := range s.Partners {
		set(&s.Partners[i].Usage, 1, 1)
	}
}

// checker collects the first fault of a file.
type checker struct {
	file, text string
	err        error
}

func (c *checker) need(ok bool, field string, n int, format string, args ...any) {
	if !ok && c.err == nil {
		c.err = form.Wrong(c.file, c.text, field, n, format, args...)
	}
}

func (c *checker) in(r form.Range, lo, hi float64, field string, n int) {
	c.need(r.Within(lo, hi), field, n, "%g..%g lies outside %g..%g", r.Lo, r.Hi, lo, hi)
}

const many = 1e9 // no figure of a site lies above

// Check finds the first figure that cannot work. The text is that of the file to name, for its lines.
func (s *Site) Check(file, text string) error {
	c := &checker{file: file, text: text}
	c.in(s.Size.Raters, 1, 30000, "size.raters", 0)
	c.in(s.Size.Nodes, 1, 5000, "size.nodes", 0)
	c.in(s.Size.Day.Range, 100, 1e8, "size.day", 0)
	c.in(s.Size.Troubles, 0, 100, "size.troubles", 0)
	s.Load.check(c, "load")
	c.in(s.Load.QuotaOfCapacity, 1e-3, many, "load.quota_of_capacity", 0)
	c.need(!s.Load.Level.IsZero() || !s.Load.Rate.IsZero() || s.Load.File != "", "load", 0,
		"one of level, rate and file is wanted")
	c.in(s.Network.Jitter, 0, 100, "network.jitter", 0)
	c.in(s.Clients.Retries, 0, 7, "clients.retries", 0)
	c.in(s.Clients.TryShare, 0.01, 1, "clients.try_share", 0)
	c.in(s.Clients.Honour, 0, 1, "clients.honour", 0)
	c.in(s.Clients.Impatient, 0, 1, "clients.impatient", 0)
	c.in(s.Clients.Body, 0, 65536, "clients.body_bytes", 0)
	c.in(s.Clients.Answer, 32, 65536, "clients.answer_bytes", 0)
	c.in(s.Discovery.LinesPerS, 0, many, "discovery.lines_per_s", 0)
	c.need(s.Discovery.CallLines >= 0, "discovery.call_lines", 0, "%g is below 0", s.Discovery.CallLines)
	c.in(s.Conns.FullTax, 0, 0.9, "connections.full_tax", 0)
	c.in(s.Conns.PerCore, 1, 1e6, "connections.per_core", 0)
	sum := s.Weights.Whole + s.Weights.WorstWindow + s.Weights.WorstClass + s.Weights.WorstPartner
	c.need(math.Abs(sum-1) < 1e-6, "weights", 0, "the weights add up to %g, want 1", sum)
	r := &s.Rules
	c.need(r.ColdFrom > 0 && r.ColdFrom <= 1, "rules.cold_from", 0, "%g lies outside 0..1", r.ColdFrom)
	c.need(r.FallMultiple >= 0, "rules.fall_multiple", 0, "%g is below 0", r.FallMultiple)
	c.need(r.FallMultiple == 0 || r.FallTime.Lo > 0, "rules.fall_time", 0, "is wanted with fall_multiple")
	c.need(len(s.Kinds) > 0, "kind", 0, "no kind of machine")
	for i := range s.Kinds {
		s.Kinds[i].check(c, i)
	}
	c.need(len(s.Classes) > 0 && len(s.Classes) <= 64, "class", 0, "%d classes, want 1 to 64", len(s.Classes))
	for i := range s.Classes {
		s.Classes[i].check(c, i)
	}
	c.need(len(s.Partners) <= 255, "partner", 0, "%d partners, at most 255", len(s.Partners))
	for i, p := range s.Partners {
		c.need(p.Share > 0, "partner.share", i, "%g is not above 0", p.Share)
		c.in(p.Usage, 1e-6, many, "partner.usage", i)
	}
	for i := range s.Troubles {
		if c.err == nil {
			c.err = s.Troubles[i].Check(file, text, i)
		}
	}
	return c.err
}

func (l *Load) check(c *checker, at string) {
	c.in(l.Level, 0, 100, at+".level", 0)
	c.in(l.Rate, 0, 1e7, at+".rate", 0)
	c.in(l.Swing, 0, 1, at+".swing", 0)
	for _, s := range l.Shape {
		c.need(slices.Contains([]string{Poisson, Even, Waves}, s), at+".shape", 0,
			"%q is none of poisson, steady, waves", s)
	}
	c.need(l.WorthBy == "" || l.WorthBy == "work" || l.WorthBy == "request", at+".worth_by", 0, "%q is neither work nor request", l.WorthBy)
	for i, s := range l.Steps {
		c.need(s.Times >= 0 && s.Times < 1e6, at+".step.times", i, "%g lies outside 0..1e6", s.Times)
		c.need(i == 0 || s.At.Lo > l.Steps[i-1].At.Lo, at+".step.at", i, "lies before that of the step before")
	}
}

func (k *Kind) check(c *checker, i int) {
	c.need(k.Name != "", "kind.name", i, "missing")
	c.need(k.Cores >= 1 && k.Cores <= 1024, "kind.cores", i, "%d lies outside 1..1024", k.Cores)
	c.in(k.Speed, 1e-3, 1e3, "kind.speed", i)
	c.in(k.Spread, 0, 2, "kind.spread", i)
	c.in(k.SlotsPerCore, 0.1, 1e4, "kind.slots_per_core", i)
	c.in(k.RoomPerCore, 0, 1e5, "kind.room_per_core", i)
	c.in(k.CrowdLoss, 0, 100, "kind.crowd_loss", i)
	c.in(k.ColdFrom, 0.001, 1, "kind.cold_from", i)
	c.need(k.ColdFrom.Lo == 1 || k.ColdTime.Lo > 0, "kind.cold_time", i, "is wanted with cold_from")
	c.in(k.Errors, 0, 1, "kind.errors", i)
	c.need(k.WarmBy == WarmByTime || k.WarmBy == WarmByWork, "kind.warm_by", i, "%q is neither time nor work", k.WarmBy)
	c.need(slices.Contains([]string{CancelNothing, CancelWaiting, CancelAll}, k.Cancel), "kind.cancel", i,
		"%q is none of none, waiting, all", k.Cancel)
	c.need(k.ListedWeight == "nominal" || k.ListedWeight == "none", "kind.listed_weight", i, "%q is neither nominal nor none", k.ListedWeight)
}

func (k *Class) check(c *checker, i int) {
	c.need(k.Name != "", "class.name", i, "missing")
	c.in(k.Work.Range, 0.001, 1e6, "class.work", i)
	c.in(k.Spread, 0, 10, "class.spread", i)
	c.in(k.TryNoise, 0, 10, "class.attempt_noise", i)
	c.need(k.Aim.Lo > 0, "class.aim", i, "missing")
	c.need(k.Deadline.Lo >= k.Aim.Hi, "class.deadline", i, "is shorter than the aim")
	c.need(k.Worth > 0, "class.worth", i, "%g is not above 0", k.Worth)
	c.need(slices.Contains([]string{Safe, Keyed, Unsafe}, k.Effect), "class.effect", i, "%q is none of safe, keyed, unsafe", k.Effect)
	c.need(k.Effect != Keyed || k.KeyTTL.Lo > 0, "class.key_ttl", i, "is wanted with the effect keyed")
	for _, d := range k.Dist {
		c.need(slices.Contains([]string{Fixed, LogNormal, Exponential}, d), "class.dist", i, "%q is none of fixed, lognormal, exponential", d)
	}
}

// Check finds what is wrong with the n-th trouble (from 0) of a file.
func (s *TroubleSpec) Check(file, text string, n int) error {
	c := &checker{file: file, text: text}
	k, ok := troubleKinds[s.Kind]
	c.need(ok, "trouble.kind", n, "%q is no kind of trouble", s.Kind)
	fields := []struct {
		name     string
		set, has bool
	}{
		{"part", !s.Part.IsZero(), !k.part.IsZero()}, {"size", !s.Size.IsZero(), !k.size.IsZero()},
		{"share", !s.Share.IsZero(), !k.share.IsZero()}, {"every", !s.Every.IsZero(), !k.every.IsZero()},
		{"pause", !s.Pause.IsZero(), !k.pause.IsZero()}, {"gap", !s.Gap.IsZero(), !k.gap.IsZero()},
		{"delay", !s.Delay.IsZero(), !k.delay.IsZero()}, {"rate", !s.Rate.IsZero(), !k.rate.IsZero()},
		{"raters", s.Raters != nil, k.whom == RaterParty}, {"zone", s.Zone != "", k.whom == RaterParty}, {"nodes", s.Nodes != nil, k.whom == NodeParty},
		{"class", s.Class != "", false}, {"ways", s.Ways != nil, false}, {"between", s.Between != nil, k.between != nil},
	}
	for _, f := range fields {
		c.need(!f.set || f.has || k.also == f.name, "trouble."+f.name, n, "a trouble of the kind %s has no %s", s.Kind, f.name)
	}
	c.in(s.Part, 0, 1, "trouble.part", n)
	c.in(s.Share, 0, 1, "trouble.share", n)
	c.in(s.At.Range, 0, many, "trouble.at", n)
	c.in(s.Length.Range, 0, many, "trouble.length", n)
	c.need(s.Size.IsZero() || s.Size.Lo >= 0.01, "trouble.size", n, "%g is below 0.01", s.Size.Lo)
	for _, w := range s.Ways {
		c.need(slices.Contains(RudeWays, w), "trouble.ways", n, "%q is none of %v", w, RudeWays)
	}
	c.need(s.Between == nil || len(s.Between) == 2, "trouble.between", n, "wants two parties")
	for _, p := range s.Between {
		_, err := ParseParty(p)
		c.need(err == nil, "trouble.between", n, "%v", err)
	}
	return c.err
}
