package world

import "math"

// Passage is what becomes of something on its way between two parties.
type Passage struct {
	Delay float64 // ms, one way
	Lost  bool    // it never arrives, and nobody is told
	Rate  float64 // bytes a second that the receiver reads; +Inf unless it is a slow reader
}

// Zone is the zone of a node.
func (d *Day) Zone(node int) int { return node % len(d.Site.Size.Zones) }

// Pass tells how something that goes out at a time gets from one party to another. luck is any number of its own.
// Between the same two parties bytes never overtake each other: that is for the caller to see to.
func (d *Day) Pass(now float64, from, to Party, luck uint64) Passage {
	p := Passage{Delay: d.between(from, to), Rate: inf}
	p.Delay *= 1 + d.Jitter*unit(hash(d.Seed, luck))
	for _, i := range d.net {
		t := &d.Troubles[i]
		if now < t.From || now >= t.To {
			continue
		}
		ahead := t.Between[0].Covers(from) && t.Between[1].Covers(to)
		if !ahead && !(t.Between[0].Covers(to) && t.Between[1].Covers(from)) {
			continue
		}
		own := hash(t.seed, luck)
		switch t.Kind {
		case NetDelay:
			p.Delay += t.Delay
		case NetJitter:
			p.Delay += t.Delay * unit(own)
		case NetLoss:
			if unit(own) < t.Share {
				p.Delay += t.Delay * math.Exp2(math.Floor(2*unit(mix(own)))) // lost once or twice
			}
		case NetCut:
			p.Lost = true
		case NetHalf:
			p.Lost = p.Lost || !ahead
		case SlowReader:
			if !ahead { // the first party reads slowly what comes to it
				p.Rate = min(p.Rate, t.Rate)
			}
		}
	}
	return p
}

func (d *Day) between(a, b Party) float64 {
	if a.Kind > b.Kind {
		a, b = b, a
	}
	switch {
	case a.Kind == ClientParty:
		return d.ClientDelay
	case a.Kind == NodeParty && b.Kind == RaterParty && d.Zone(a.Number) != d.Raters[b.Number].Zone:
		return d.AcrossDelay
	}
	return d.WithinDelay
}
