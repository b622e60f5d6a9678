package lease

import (
	"cmp"
	"math"
	"slices"
)

const (
	minSmoothing   = 4000.0  // minimum ms over which a rate is smoothed
	maxSmoothing   = 30000.0 // maximum ms
	smoothingCalls = 30.0    // between these limits, a rate is smoothed over the time of this many calls
	jumpFactor     = 2.0     // a rate that grows by this factor plus jumpCalls is adopted without smoothing
	jumpCalls      = 4.0     // per second
	forgetRate     = 0.01    // calls per second below which a node is forgotten
)

// Demand measures what is requested of one member and what it admits. It is pure, like the machine, and not safe for
// concurrent use.
type Demand struct {
	callLoad     float64 // load of one call
	measuredFrom float64 // ms
	nodes        map[int]*nodeDemand
}

// nodeDemand is the demand of one node of the tree, in loads since the last Report; rate is the smoothed demand per
// second, over age ms.
type nodeDemand struct{ requested, admitted, rate, age float64 }

// NewDemand returns a Demand that measures from now on, a time in ms; unit is the load of one call.
func NewDemand(now, unit float64) *Demand { return &Demand{unit, now, map[int]*nodeDemand{}} }

// node returns the demand of a node and adds it if there is none.
func (d *Demand) node(at int) *nodeDemand {
	s := d.nodes[at]
	if s == nil {
		s = &nodeDemand{}
		d.nodes[at] = s
	}
	return s
}

// Request records that a call for a node has arrived.
func (d *Demand) Request(at int, load float64) { d.node(at).requested += load }

// Admit records that a call was admitted, or, with a negative load, that an admitted one did not run.
func (d *Demand) Admit(at int, load float64) { d.node(at).admitted += load }

// Report returns the demand since the previous report, for the MaxReportedNodes nodes with the highest demand,
// sorted by node. Within a millisecond of the previous report it returns none.
func (d *Demand) Report(now float64) []NodeDemand {
	span := now - d.measuredFrom
	out := []NodeDemand{}
	if span < 1 {
		return out
	}
	d.measuredFrom = now
	for at, s := range d.nodes {
		rate := s.requested / span * 1000
		s.age += span
		over := min(maxSmoothing, max(minSmoothing, smoothingCalls*d.callLoad/max(s.rate, 1e-12)*1000))
		k := max(1-math.Exp(-span/over), span/s.age) // the plain mean while there is little to smooth
		if rate > jumpFactor*s.rate+jumpCalls*d.callLoad*1000/max(span, 1000) {
			s.rate = rate
		} else {
			s.rate += k * (rate - s.rate)
		}
		a := NodeDemand{at, min(maxLoad, s.rate), min(maxLoad, max(0, s.admitted/span*1000))}
		if s.requested, s.admitted = 0, 0; s.rate < forgetRate*d.callLoad && a.Admitted == 0 {
			delete(d.nodes, at)
			continue
		}
		out = append(out, a)
	}
	if len(out) > MaxReportedNodes {
		slices.SortFunc(out, func(x, y NodeDemand) int {
			return cmp.Or(cmp.Compare(y.Requested, x.Requested), cmp.Compare(x.Node, y.Node))
		})
		out = out[:MaxReportedNodes]
	}
	slices.SortFunc(out, func(x, y NodeDemand) int { return cmp.Compare(x.Node, y.Node) })
	return out
}
