package world

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"linenwheel.dev/linenwheel/lab/form"
)

// Draw draws a day: the site's figures, and the troubles named here besides Size.Troubles of the site's own. The same
// site, seed and troubles give the same day.
func Draw(site *Site, seed uint64, troubles []TroubleSpec) (*Day, error) {
	d := &Day{Site: site, Seed: seed}
	rng := source(seed, "size")
	d.Length = site.Size.Day.Draw(rng)
	d.AtStart = site.Size.Raters.Whole(rng)
	d.Nodes = site.Size.Nodes.Whole(rng)
	d.drawClasses(source(seed, "classes"))
	d.drawRaters(source(seed, "raters"))
	d.drawHabits(source(seed, "habits"))
	d.drawLoad(source(seed, "load"))
	if err := d.drawTroubles(source(seed, "troubles"), troubles); err != nil {
		return nil, err
	}
	if len(d.Raters) > mostRaters {
		return nil, fmt.Errorf("%d raters with those that come later, at most %d can be numbered", len(d.Raters), mostRaters)
	}
	slices.SortStableFunc(d.Plan, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	d.untangle()
	return d, nil
}

const mostRaters = math.MaxInt16 // a record numbers them so

func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

func (d *Day) drawClasses(rng *rand.Rand) {
	sum := 0.0
	for _, c := range d.Site.Classes {
		k := DayClass{Name: c.Name, Share: c.Share.Draw(rng), Work: c.Work.Draw(rng), Wait: c.Wait.Draw(rng),
			Dist: pick(rng, c.Dist), Spread: c.Spread.Draw(rng), Noise: c.TryNoise.Draw(rng), Aim: c.Aim.Draw(rng),
			Deadline: c.Deadline.Draw(rng), Worth: c.Worth, Late: c.LateWorth, Effect: c.Effect,
			KeyTTL: c.KeyTTL.Draw(rng), RepeatWork: c.RepeatWork}
		sum += k.Share
		d.Classes = append(d.Classes, k)
	}
	for i := range d.Classes {
		d.Classes[i].Share /= sum
	}
}

// drawRaters draws the raters of the start: kinds by largest remainder of their shares, then dealt out at random.
func (d *Day) drawRaters(rng *rand.Rand) {
	shares, sum := make([]float64, len(d.Site.Kinds)), 0.0
	common := make([]drawnKind, len(d.Site.Kinds))
	for i := range d.Site.Kinds {
		k := &d.Site.Kinds[i]
		shares[i] = k.Share.Draw(rng)
		sum += shares[i]
		common[i] = d.drawKind(rng, k)
	}
	kinds := make([]int, 0, d.AtStart)
	for i, s := range shares {
		for range int(s / sum * float64(d.AtStart)) {
			kinds = append(kinds, i)
		}
	}
	for len(kinds) < d.AtStart {
		best, most := 0, -1.0
		for i, s := range shares {
			have := 0
			for _, k := range kinds {
				if k == i {
					have++
				}
			}
			if lack := s/sum*float64(d.AtStart) - float64(have); lack > most {
				best, most = i, lack
			}
		}
		kinds = append(kinds, best)
	}
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	for _, k := range kinds {
		d.addRater(rng, k, &common[k], len(d.Raters))
	}
	for i := range d.Raters {
		d.Capacity += d.Raters[i].Capacity()
		d.Plan = append(d.Plan, Step{Do: StartRater, Rater: i, Node: -1, Size: 1, Trouble: -1})
	}
}

// drawnKind is what the raters of a kind have in common on a day.
type drawnKind struct {
	speed, spread float64
	spec          RaterSpec
}

func (d *Day) drawKind(rng *rand.Rand, k *Kind) drawnKind {
	cores := float64(k.Cores)
	c := &d.Site.Conns
	return drawnKind{k.Speed.Draw(rng), k.Spread.Draw(rng), RaterSpec{Cores: k.Cores,
		Slots:   max(1, int(math.Round(cores*k.SlotsPerCore.Draw(rng)))),
		Room:    int(math.Round(cores * k.RoomPerCore.Draw(rng))),
		Conns:   max(1, int(cores*c.PerCore.Draw(rng))),
		FullTax: c.FullTax.Draw(rng), CrowdAt: k.CrowdFrom.Draw(rng), Crowd: k.CrowdLoss.Draw(rng),
		ColdFrom: k.ColdFrom.Draw(rng), ColdTime: k.ColdTime.Draw(rng), WarmBy: k.WarmBy, Errors: k.Errors.Draw(rng),
		Cancel: k.Cancel, Overdue: !pick(rng, k.DropsOverdue),
		HandshakeWork: c.HandshakeWork.Draw(rng), HandshakeTrips: c.HandshakeTrips.Draw(rng), ConnIdle: c.Idle.Draw(rng),
		ProbeWork: d.Site.Probe.Work.Draw(rng), ProbeCap: max(1, int(cores*d.Site.Probe.PerCore.Draw(rng))),
		ProbeDeep: pick(rng, d.Site.Probe.Deep), PauseEvery: k.PauseEvery.Draw(rng), PauseLasts: k.PauseLasts.Draw(rng),
		FallMultiple: d.Site.Rules.FallMultiple, FallTime: d.Site.Rules.FallTime.Lo, FallSlack: d.Site.Rules.FallSlack}}
}

// addRater adds a rater of a kind at an address and gives its number.
func (d *Day) addRater(rng *rand.Rand, kind int, k *drawnKind, address int) int {
	n := len(d.Raters)
	r := k.spec
	r.Number, r.Kind, r.Address, r.Zone, r.Cell = n, kind, address, n%len(d.Site.Size.Zones), n/8
	r.Seed = hash(d.Seed, uint64(n)+1<<32)
	r.Name = fmt.Sprintf("r-%08x", uint32(mix(r.Seed)))
	r.Speed = k.speed * spread(mix(rng.Uint64()), k.spread)
	r.Weight = 1
	if d.Site.Kinds[kind].ListedWeight == "nominal" {
		s := d.Site.Kinds[kind].Speed
		r.Weight = math.Round(float64(r.Cores)*(s.Lo+s.Hi)/2*100) / 100
	}
	d.Raters = append(d.Raters, r)
	if r.PauseEvery > 0 {
		d.pauses(rng, n, 0, d.Length, r.PauseEvery, r.PauseLasts, -1)
	}
	return n
}

// pauses plans that a rater stands still every so often, from a moment of its own on.
func (d *Day) pauses(rng *rand.Rand, rater int, from, to, every, lasts float64, trouble int) {
	for t := from + every*rng.Float64(); t < to; t += lasts + every*(0.5+rng.Float64()) {
		d.Plan = append(d.Plan, Step{At: t, Do: Freeze, Rater: rater, Node: -1, Trouble: trouble},
			Step{At: min(t+lasts, to), Do: Thaw, Rater: rater, Node: -1, Trouble: trouble})
	}
}

func (d *Day) drawHabits(rng *rand.Rand) {
	s := d.Site
	d.Retries, d.TryShare = s.Clients.Retries, s.Clients.TryShare
	d.Backoff, d.HonourShare, d.Impatient = s.Clients.Backoff.Draw(rng), s.Clients.Honour.Draw(rng), s.Clients.Impatient.Draw(rng)
	d.FrontNotice, d.ProbeTimeout = s.Front.Notice.Draw(rng), s.Probe.Timeout.Draw(rng)
	l := &s.Discovery
	d.Lateness = Lateness{l.Notice.Draw(rng), l.NoticeSilent.Draw(rng), l.Add.Draw(rng), max(1, l.Period.Draw(rng)),
		l.Spread.Draw(rng), l.CountsAfter.Draw(rng)}
	n := &s.Network
	d.ClientDelay, d.WithinDelay, d.AcrossDelay, d.Jitter = n.Client.Draw(rng), n.Within.Draw(rng), n.Across.Draw(rng), n.Jitter.Draw(rng)
	d.List = Service{Lines: l.LinesPerS.Draw(rng) / 1000, Call: l.CallLines, Patience: l.Patience.Draw(rng)}
}

func (d *Day) drawLoad(rng *rand.Rand) {
	l := &d.Site.Load
	mean := 0.0
	for _, c := range d.Classes {
		mean += c.Share * c.Work
	}
	level, rate := l.Level.Draw(rng), l.Rate.Draw(rng)
	if d.Rate = level * d.Capacity / mean * 1000; rate > 0 {
		d.Rate = rate
	}
	if list := d.Site.Replayed; len(list) > 0 {
		n := 0
		for n < len(list) && list[n].At < d.Length {
			n++
		}
		d.Rate = float64(n) / d.Length * 1000
	}
	d.Shape, d.Swing, d.Period = pick(rng, l.Shape), l.Swing.Draw(rng), l.Period.Draw(rng)
	quota := l.QuotaOfCapacity.Draw(rng) * d.Capacity / mean * 1000
	sum := 0.0
	for _, p := range d.Site.Partners {
		k := DayPartner{Name: p.Name, Share: p.Share, Quota: p.Share * quota, Rate: p.Share * p.Usage.Draw(rng)}
		sum += k.Rate
		d.Partners = append(d.Partners, k)
	}
	for i := range d.Partners {
		d.Partners[i].Rate *= d.Rate / sum
	}
}

// drawTroubles settles the experiment's troubles and draws the site's.
func (d *Day) drawTroubles(rng *rand.Rand, specs []TroubleSpec) error {
	n := 0
	if r := d.Site.Size.Troubles; r != (form.Range{}) {
		n = min(r.Whole(rng), len(d.Site.Troubles))
	}
	all := slices.Clone(specs)
	for _, i := range rng.Perm(len(d.Site.Troubles))[:n] {
		all = append(all, d.Site.Troubles[i])
	}
	for i := range all {
		t, err := d.settle(source(hash(d.Seed, uint64(i)), "trouble"), &all[i])
		if err != nil {
			return fmt.Errorf("trouble %d (%s): %w", i, all[i].Kind, err)
		}
		d.Troubles = append(d.Troubles, *t)
		d.compile(source(hash(d.Seed, uint64(i)), "plan"), i)
	}
	return nil
}
