package lease

import (
	"cmp"
	"math"
	"slices"
)

const (
	minSmoothing   = 4000.0 // ms over which what is asked for is smoothed at the least;
	smoothingCalls = 30.0   // where it is little, over the time of so many calls,
	maxSmoothing   = 30000.0
	jumpFactor     = 2.0  // times what it was, and some calls more, at which it counts at once
	jumpCalls      = 4.0  // calls
	forgetRate     = 0.01 // calls a second below which a place is forgotten
)

// Demand is what one member is asked for and lets through. It is pure, like the machine.
type Demand struct {
	callLoad  float64 // load of one call
	lastTaken float64 // ms
	nodes     map[int]*nodeDemand
}

type nodeDemand struct{ requested, admitted, rate, age float64 }

// NewDemand begins at a time; unit is the load of one call.
func NewDemand(now, unit float64) *Demand { return &Demand{unit, now, map[int]*nodeDemand{}} }

func (d *Demand) node(at int) *nodeDemand {
	s := d.nodes[at]
	if s == nil {
		s = &nodeDemand{}
		d.nodes[at] = s
	}
	return s
}

// Ask notes a call of a place.
func (d *Demand) Ask(at int, load float64) { d.node(at).requested += load }

// Let notes that a call goes on, or with less than 0 that one did not run.
func (d *Demand) Let(at int, load float64) { d.node(at).admitted += load }

// Take gives what there was since the last time, the largest places, in their order. Nothing new comes within a ms.
func (d *Demand) Take(now float64) []Asked {
	span := now - d.lastTaken
	out := []Asked{}
	if span < 1 {
		return out
	}
	d.lastTaken = now
	for at, s := range d.nodes {
		rate := s.requested / span * 1000
		s.age += span
		over := min(maxSmoothing, max(minSmoothing, smoothingCalls*d.callLoad/max(s.rate, 1e-12)*1000))
		k := max(1-math.Exp(-span/over), span/s.age) // a mean, as long as there is little of it
		if rate > jumpFactor*s.rate+jumpCalls*d.callLoad*1000/max(span, 1000) {
			s.rate = rate
		} else {
			s.rate += k * (rate - s.rate)
		}
		a := Asked{at, min(maxLoad, s.rate), min(maxLoad, max(0, s.admitted/span*1000))}
		if s.requested, s.admitted = 0, 0; s.rate < forgetRate*d.callLoad && a.Used == 0 {
			delete(d.nodes, at)
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
