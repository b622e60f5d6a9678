package lease

import (
	"cmp"
	"math"
	"slices"
)

const (
	steady  = 4000.0 // ms over which what is asked for is smoothed at the least;
	enough  = 30.0   // where it is little, over the time of so many calls,
	longest = 30000.0
	sudden  = 2.0  // times what it was, and some calls more, at which it counts at once
	few     = 4.0  // calls
	forgets = 0.01 // calls a second below which a place is forgotten
)

// Demand is what one member is asked for and lets through. It is pure, like the machine.
type Demand struct {
	unit  float64 // load of one call
	since float64 // ms
	seen  map[int]*seen
}

type seen struct{ asked, let, rate, age float64 }

// NewDemand begins at a time; unit is the load of one call.
func NewDemand(now, unit float64) *Demand { return &Demand{unit, now, map[int]*seen{}} }

func (d *Demand) of(at int) *seen {
	s := d.seen[at]
	if s == nil {
		s = &seen{}
		d.seen[at] = s
	}
	return s
}

// Ask notes a call of a place.
func (d *Demand) Ask(at int, load float64) { d.of(at).asked += load }

// Let notes that a call goes on, or with less than 0 that one did not run.
func (d *Demand) Let(at int, load float64) { d.of(at).let += load }

// Take gives what there was since the last time, the largest places, in their order. Nothing new comes within a ms.
func (d *Demand) Take(now float64) []Asked {
	span := now - d.since
	out := []Asked{}
	if span < 1 {
		return out
	}
	d.since = now
	for at, s := range d.seen {
		rate := s.asked / span * 1000
		s.age += span
		over := min(longest, max(steady, enough*d.unit/max(s.rate, 1e-12)*1000))
		k := max(1-math.Exp(-span/over), span/s.age) // a mean, as long as there is little of it
		if rate > sudden*s.rate+few*d.unit*1000/max(span, 1000) {
			s.rate = rate
		} else {
			s.rate += k * (rate - s.rate)
		}
		a := Asked{at, min(mostLoad, s.rate), min(mostLoad, max(0, s.let/span*1000))}
		if s.asked, s.let = 0, 0; s.rate < forgets*d.unit && a.Used == 0 {
			delete(d.seen, at)
			continue
		}
		out = append(out, a)
	}
	if len(out) > MostAsked {
		slices.SortFunc(out, func(x, y Asked) int { return cmp.Or(cmp.Compare(y.Want, x.Want), cmp.Compare(x.At, y.At)) })
		out = out[:MostAsked]
	}
	slices.SortFunc(out, func(x, y Asked) int { return cmp.Compare(x.At, y.At) })
	return out
}
