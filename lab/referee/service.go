package referee

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// Judgement is what came of a run.
type Judgement struct {
	Verdicts []Verdict    `json:"verdicts"` // the first MaxVerdicts of each rule, in order of time
	Broken   map[Rule]int `json:"broken"`   // all of them

	G     float64 `json:"g"` // the service figure: Parts with the site's weights, less Costs; whatever rules were broken
	Parts Parts   `json:"parts"`
	Costs Costs   `json:"costs"`

	Asked  float64 `json:"worth_asked"`
	Earned float64 `json:"worth_earned"`
	// Arrivals are first tries, Tries those with the clients' own further ones, Attempts what raters got whole.
	Arrivals    int `json:"arrivals"`
	Tries       int `json:"tries"`
	Attempts    int `json:"attempts"`
	Probes      int `json:"probes"`
	Connections int `json:"connections"`
	Killed      int `json:"lost_to_kill"` // requests that a SIGKILL took with it, which is no node's fault

	Classes []ClassFigures `json:"classes"`
	Seconds []Second       `json:"seconds"` // by when a first try was due; ends of tries by when they ended
	Raters  []RaterFigures `json:"raters"`
	Nodes   []NodeFigures  `json:"nodes"`
	Rude    RudeFigures    `json:"rude"`
	LabLate LateFigures    `json:"lab_late"`
}

// Parts of the service figure, each a share of worth.
type Parts struct {
	Whole        float64 `json:"whole"`
	WorstWindow  float64 `json:"worst_window"`
	WindowFrom   float64 `json:"worst_window_from_ms"`
	WorstClass   float64 `json:"worst_class"`
	ClassName    string  `json:"worst_class_name"`
	WorstPartner float64 `json:"worst_partner"`
	PartnerName  string  `json:"worst_partner_name"`
}

// Costs are what is taken off, each already times its price.
type Costs struct {
	LateFail  float64 `json:"late_fail"`
	Waste     float64 `json:"waste"`
	Probes    float64 `json:"probes"`
	CrossZone float64 `json:"cross_zone"`
	SatOn     float64 `json:"sat_on"`
	Rude      float64 `json:"rude"`
}

// Sum of all costs.
func (c Costs) Sum() float64 { return c.LateFail + c.Waste + c.Probes + c.CrossZone + c.SatOn + c.Rude }

// ClassFigures is what became of a class.
type ClassFigures struct {
	Name       string  `json:"name"`
	Arrivals   int     `json:"arrivals"`
	InAim      int     `json:"in_aim"` // first tries answered within the aim, by whichever try
	Late       int     `json:"late"`   // answered after it
	Unserved   int     `json:"unserved"`
	Refused    int     `json:"refused"`    // tries that got a back-off answer
	Failed     int     `json:"failed"`     // tries that got another answer, or part of one
	Unreached  int     `json:"unreached"`  // tries that reached no node
	Unanswered int     `json:"unanswered"` // tries whose time was up
	Left       int     `json:"left"`       // tries whose client left before that
	Attempts   int     `json:"attempts"`
	Asked      float64 `json:"worth_asked"`
	Earned     float64 `json:"worth_earned"`
	// Latency is from when a first try was due to its served answer, microseconds.
	Latency *hdrhistogram.Histogram `json:"-"`
}

// Second is what became of what was due in one second of the day.
type Second struct {
	Arrivals int     `json:"arrivals"`
	Asked    float64 `json:"asked"`
	Earned   float64 `json:"earned"`
	Served   int     `json:"served"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
}

// RaterFigures is what one rater did. Work is in ms of a yardstick core.
type RaterFigures struct {
	Name     string  `json:"name"`
	Kind     string  `json:"kind"`
	Capacity float64 `json:"capacity"` // yardstick cores, warm
	Attempts int     `json:"attempts"`
	Ran      int     `json:"ran"`
	Served   int     `json:"served"`
	Turned   int     `json:"turned"`
	Failed   int     `json:"failed"`
	Cut      int     `json:"cut"`
	Fell     int     `json:"fell"`
	Offered  float64 `json:"work_offered"`
	Work     float64 `json:"work_begun"`
	Latency  float64 `json:"latency_sum_ms"` // of answers, from the last byte of the request to the last of the answer
}

// NodeFigures is what one node used. Most is over the whole run, processor time the sum of its lives.
type NodeFigures struct {
	Starts    int     `json:"starts"`
	MemoryMB  float64 `json:"memory_mb"`
	Sockets   int     `json:"descriptors"`
	CPUMillis float64 `json:"cpu_ms"`
	cpuBefore float64
	cpuNow    float64
}

// RudeFigures counts rude clients, and those that got neither a close nor an error in time.
type RudeFigures struct {
	Sent int `json:"sent"`
	Owed int `json:"owed"`
}

// LateFigures says by how much the lab itself was late. It casts doubt on the run, not on the node.
type LateFigures struct {
	Times int     `json:"times"`
	Sum   float64 `json:"sum_ms"`
	Worst float64 `json:"worst_ms"`
}

// BrokenRules counts all verdicts.
func (j *Judgement) BrokenRules() int {
	n := 0
	for _, k := range j.Broken {
		n += k
	}
	return n
}

// arrival is a first try that is not settled yet.
type arrival struct {
	number  uint32
	due     float64
	class   uint8
	partner uint8
	over    bool
	work    float64
	full    float64 // worth within the share
	worth   float64
	served  float64 // when it was first served; -1: not
	ended   float64 // when its last try ended
	lost    float64 // share of its worth that tries which sat on it cost
}

type share struct{ asked, earned float64 }

func (s *share) add(t share) { s.asked, s.earned = s.asked+t.asked, s.earned+t.earned }

// cell is the worth that one partner asked for in one class in one second, by when it was due: within its share, beyond it
// (both in full), and of either what was answered within its aim. A partner's share is so much worth a second, whichever of
// its requests that was: a node cannot know which of them came first, since those that it turns away come again. So what was
// served counts in full up to what was asked within the share, and as worth little above.
type cell struct{ in, over, served float64 }

func (c cell) share(overWorth float64) share {
	return share{c.in + overWorth*c.over, min(c.served, c.in) + overWorth*max(0, c.served-c.in)}
}

// within is what counts for the partner itself: its share only.
func (c cell) within() share { return share{c.in, min(c.served, c.in)} }

func (s share) of() float64 {
	if s.asked == 0 {
		return 1
	}
	return s.earned / s.asked
}

// service is what the service figure is summed from.
type service struct {
	whole             share
	classes, partners []share
	late, sat         float64 // worth
	offered, wasted   float64 // work
	crossed           int
	cells             [][]cell // by second, then partner and class
}

func (r *Referee) takeArrival(e record.Event) {
	if e.Kind == record.Settled {
		if a := r.arrivals[e.Number]; a != nil {
			r.settle(a, e.At)
		}
		return
	}
	a := &arrival{number: e.Number, due: e.At, class: e.Class, partner: e.Partner, over: e.How == 1, work: float64(e.Work), served: -1, ended: -1}
	a.full = r.day.Worth(&world.Arrival{Class: int(e.Class), Work: a.work})
	if a.worth = a.full; a.over {
		a.worth *= r.day.Site.Load.OverShareWorth
	}
	r.arrivals[e.Number] = a
	r.out.Arrivals++
}

// firstSecond is left out of the service figure: nodes and connections are new then.
const firstSecond = 1000

func (r *Referee) second(at float64) *Second {
	i := max(0, int(at/1000))
	for len(r.out.Seconds) <= i {
		r.out.Seconds = append(r.out.Seconds, Second{})
	}
	return &r.out.Seconds[i]
}

// settle books a first try that has come to its end.
func (r *Referee) settle(a *arrival, now float64) {
	delete(r.arrivals, a.number)
	c, f := &r.day.Classes[a.class], &r.out.Classes[a.class]
	f.Arrivals++
	r.offered += a.work
	kept := 0.0 // share of its worth
	took := a.served - a.due
	switch {
	case a.served < 0:
		f.Unserved++
	case took <= c.Aim:
		f.InAim++
		kept = 1
	default:
		f.Late++
		kept = c.Late
	}
	if a.served >= 0 {
		_ = f.Latency.RecordValue(max(1, int64(took*1000))) // bounded by the class's deadline, far within the histogram
	}
	r.second(a.due).Arrivals++
	for len(r.cells) < len(r.out.Seconds) {
		r.cells = append(r.cells, make([]cell, len(r.partners)*len(r.classes)))
	}
	at := &r.cells[int(a.due/1000)][int(a.partner)*len(r.classes)+int(a.class)]
	if a.over {
		at.over += a.full
	} else {
		at.in += a.full
	}
	at.served += kept * a.full
	if a.due < firstSecond {
		return
	}
	if a.ended < 0 {
		a.ended = now
	}
	if a.served < 0 && a.ended > a.due+c.Aim {
		r.late += a.worth
	}
	r.sat += min(1, a.lost) * a.worth
}

// tryEnded books the end of a try at once: the arrival may be settled before the try is judged.
func (r *Referee) tryEnded(t *try) {
	f, s := &r.out.Classes[min(int(t.class), len(r.out.Classes)-1)], r.second(t.endAt)
	switch a := r.arrivals[t.arrival]; {
	case a == nil:
	case t.end == record.Got && t.how == uint8(world.Served):
		if a.served < 0 {
			a.served = t.endAt
		}
		a.ended = t.endAt
	default:
		a.ended = t.endAt
		if t.end != record.Unreached && len(t.attempts) == 0 && r.satOn(t) {
			a.lost += 1
		}
	}
	switch {
	case t.end == record.Unreached:
		f.Unreached++
		s.Failed++
	case t.end == record.Left && t.endAt < t.sent+t.limit-tolerance:
		f.Left++
	case t.end == record.Left:
		f.Unanswered++
		s.Failed++
	case t.end == record.Unanswered, t.how == uint8(world.Broke):
		f.Failed++
		s.Failed++
	case t.how == uint8(world.Refused):
		f.Refused++
		s.Refused++
	default:
		s.Served++
	}
}

// satOn tells whether a try that no rater got was held for more than half of its time and not served.
func (r *Referee) satOn(t *try) bool {
	if t.end == record.Left {
		return t.endAt >= t.sent+t.limit-tolerance
	}
	return t.endAt-t.sent > t.limit/2
}

// tryClosed books the work of a try once its attempts are through.
func (r *Referee) tryClosed(t *try) {
	served := t.end == record.Got && t.how == uint8(world.Served)
	for i := range t.attempts {
		a := &t.attempts[i]
		r.out.Classes[min(int(t.class), len(r.out.Classes)-1)].Attempts++
		if a.node >= 0 && r.day.Zone(int(a.node)) != r.day.Raters[a.rater].Zone {
			r.crossed++
		}
		if served && a.answered && a.body == t.body && (a.how == record.AnswerServed || a.how == record.AnswerSurplus) {
			served = false // this one's work went into the answer
		} else if a.ran {
			r.wasted += a.work
		}
	}
}

// sum makes the service figure.
func (r *Referee) sum() {
	o, w, p := &r.out, &r.day.Site.Weights, &r.day.Site.Prices
	for i, row := range r.cells {
		for k, c := range row {
			s := c.share(r.day.Site.Load.OverShareWorth)
			o.Seconds[i].Asked += s.asked
			o.Seconds[i].Earned += s.earned
			if i >= firstSecond/1000 {
				r.whole.add(s)
				r.classes[k%len(r.classes)].add(s)
				r.partners[k/len(r.classes)].add(c.within())
			}
		}
	}
	for i, s := range r.classes {
		o.Classes[i].Asked, o.Classes[i].Earned = s.asked, s.earned
	}
	o.Asked, o.Earned = r.whole.asked, r.whole.earned
	o.Parts = Parts{Whole: r.whole.of(), WorstClass: 1, WorstPartner: 1}
	for i, s := range r.classes {
		if v := s.of(); v < o.Parts.WorstClass || i == 0 {
			o.Parts.WorstClass, o.Parts.ClassName = v, r.day.Classes[i].Name
		}
	}
	for i, s := range r.partners {
		if v := s.of(); v < o.Parts.WorstPartner || i == 0 {
			o.Parts.WorstPartner, o.Parts.PartnerName = v, r.day.Partners[i].Name
		}
	}
	o.Parts.WorstWindow, o.Parts.WindowFrom = r.worstWindow(int(math.Round(w.Window.Lo / 1000)))
	per := func(x, of float64) float64 {
		if of == 0 {
			return 0
		}
		return x / of
	}
	o.Costs = Costs{LateFail: p.LateFail * per(r.late, r.whole.asked), Waste: p.Waste * per(r.wasted, r.offered),
		Probes: p.Probe * per(float64(o.Probes), float64(o.Arrivals)), CrossZone: p.CrossZone * per(float64(r.crossed), float64(o.Arrivals)),
		SatOn: p.SatOn * per(r.sat, r.whole.asked), Rude: p.Rude * per(float64(o.Rude.Owed), float64(o.Rude.Sent))}
	o.G = w.Whole*o.Parts.Whole + w.WorstWindow*o.Parts.WorstWindow + w.WorstClass*o.Parts.WorstClass +
		w.WorstPartner*o.Parts.WorstPartner - o.Costs.Sum()
}

// worstWindow finds the seconds in a row that earned the least of what they were asked for, from the first second on.
func (r *Referee) worstWindow(seconds int) (worst, from float64) {
	s := r.out.Seconds
	last := len(s) // of the seconds in which clients began something
	for last > 0 && s[last-1].Arrivals == 0 {
		last--
	}
	worst, from = r.whole.of(), firstSecond
	for i := firstSecond / 1000; i+seconds <= last; i++ {
		var w share
		for _, v := range s[i : i+seconds] {
			w.asked += v.Asked
			w.earned += v.Earned
		}
		if v := w.of(); v < worst {
			worst, from = v, float64(i)*1000
		}
	}
	return worst, from
}
