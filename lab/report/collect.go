package report

import (
	"cmp"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"linenwheel.dev/linenwheel/lab/quantiles"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/referee"
	"linenwheel.dev/linenwheel/lab/world"
)

// Collector keeps of a run's events what its page draws. It takes them in order of time.
type Collector struct {
	day *world.Day
	bin float64 // ms

	rows  []*hdrhistogram.Histogram // latency by when a first try was due
	due   map[uint32]due
	tries map[uint64]*try
	swept float64

	rowOf         []int // of a rater in offered and able
	names         []string
	offered, able [][]float64
	raters        []rater
	step          int // next in the day's plan

	reasons map[reasonKey]*Reason
	nodes   []node
}

// due is a first try that is open.
type due struct {
	at    float64
	class uint8
	over  bool
}

// try is one that is open, and what raters did with it.
type try struct {
	at, limit float64
	attempts  int
	turned    int // attempts that raters said never ran
}

// rater is what is known of how much a rater can do.
type rater struct {
	since  float64
	share  float64 // of its capacity, as it warms; 0 = it does not run, or drains
	frozen bool
	slow   float64 // it runs so many times slower
	shared float64 // likewise, with all others
}

type node struct {
	NodeTimeline
	before []used // samples of this life, the first older than coresOver
	every  int    // so many samples make one that is kept
	taken  int
}

// used is the processor time of a process up to a time.
type used struct{ at, work float64 }

// coresOver is how long, ms, processor time is taken over: the kernel counts it in steps of 10 ms.
const coresOver = 4000

type reasonKey struct {
	class    uint8
	how, why string
	status   int
}

// NewCollector makes the collector of a day.
func NewCollector(day *world.Day) *Collector {
	c := &Collector{day: day, bin: 1000 * max(1, math.Ceil(day.Length/1000/MaxRows)), due: map[uint32]due{},
		tries: map[uint64]*try{}, reasons: map[reasonKey]*Reason{}, raters: make([]rater, len(day.Raters))}
	stretches := int(math.Ceil(day.Length / c.bin))
	kinds := len(day.Raters) > MaxRaters
	if kinds {
		for _, k := range day.Site.Kinds {
			c.names = append(c.names, k.Name)
		}
	}
	for i, r := range day.Raters {
		c.raters[i] = rater{slow: 1, shared: 1}
		if kinds {
			c.rowOf = append(c.rowOf, r.Kind)
			continue
		}
		c.rowOf = append(c.rowOf, i)
		c.names = append(c.names, r.Name+" "+day.Site.Kinds[r.Kind].Name)
	}
	for range c.names {
		c.offered, c.able = append(c.offered, make([]float64, stretches)), append(c.able, make([]float64, stretches))
	}
	for n := range min(day.Nodes, MaxNodes) {
		c.nodes = append(c.nodes, node{NodeTimeline: NodeTimeline{Name: nodeName(n)}, every: 1})
	}
	return c
}

// Take takes the next event.
func (c *Collector) Take(e record.Event) {
	for c.step < len(c.day.Plan) && c.day.Plan[c.step].At <= e.At {
		c.planned(c.day.Plan[c.step])
		c.step++
	}
	c.sweep(e.At)
	switch e.Kind {
	case record.Due:
		c.due[e.Number] = due{at: e.At, class: e.Class, over: e.How == 1}
	case record.Settled:
		delete(c.due, e.Number)
	case record.Sent:
		if c.tries[e.Request] == nil { // else it goes out again, since a close has crossed it
			c.tries[e.Request] = &try{at: e.At, limit: float64(e.Extra)}
		}
	case record.Got, record.Left, record.Unreached, record.Unanswered:
		c.ended(e)
	case record.Whole:
		if t := c.tries[e.Request]; t != nil {
			t.attempts++
		}
		c.offer(e)
	case record.Answered:
		if t := c.tries[e.Request]; t != nil && e.How == record.AnswerTurned {
			t.turned++
		}
	case record.RaterUp, record.RaterShare, record.RaterWarm, record.RaterDraining, record.RaterDown, record.RaterHidden:
		c.changed(e)
	case record.NodeStarted, record.NodeSample:
		c.sample(e)
	}
}

// row is that of a time, which lies within the day or shortly behind it.
func (c *Collector) row(at float64) *hdrhistogram.Histogram {
	i := min(max(int(at/c.bin), 0), 2*MaxRows)
	for len(c.rows) <= i {
		c.rows = append(c.rows, hdrhistogram.New(100, 600e6, 2))
	}
	return c.rows[i]
}

// longestTry is how long, ms, a try without an end is kept: no class waits longer.
const longestTry = 600e3

// sweep forgets tries whose end will not come.
func (c *Collector) sweep(now float64) {
	if now < c.swept+longestTry {
		return
	}
	c.swept = now
	for id, t := range c.tries {
		if t.at < now-longestTry {
			delete(c.tries, id)
		}
	}
}

// ended books the end of a try.
func (c *Collector) ended(e record.Event) {
	t := c.tries[e.Request]
	delete(c.tries, e.Request)
	d, ok := c.due[e.Number]
	if !ok {
		return
	}
	if e.Kind == record.Got && e.How == uint8(world.Served) {
		_ = c.row(d.at).RecordValue(int64((e.At - d.at) * 1000)) // deadlines lie far within the histogram
		return
	}
	if t == nil {
		t = &try{at: e.At, limit: math.Inf(1)} // it was never sent whole
	}
	key := reasonKey{class: d.class}
	key.how, key.why = reason(e, t)
	if e.Kind == record.Got {
		key.status = int(e.Extra)
	}
	r := c.reasons[key]
	if r == nil {
		r = &Reason{Class: c.day.Classes[d.class].Name, How: key.how, Why: key.why, Status: key.status}
		c.reasons[key] = r
	}
	r.Tries++
	r.Wait += e.At - t.at // the sum, until Trace
	if d.over {
		r.Over++
	}
	if e.At-t.at > t.limit/2 {
		r.Late++
	}
}

// reason says how a try ended and why, as far as clients and raters can tell.
func reason(e record.Event, t *try) (how, why string) {
	had := "no rater had got it"
	switch {
	case t.attempts > 0 && t.turned == t.attempts:
		had = "raters had turned it away"
	case t.attempts > 0:
		had = "raters had got it"
	}
	switch e.Kind {
	case record.Unreached:
		return "failed", "no node could be reached"
	case record.Unanswered:
		switch e.How {
		case record.HadPart:
			return "failed", "part of an answer; " + had
		case record.HadGarbled:
			return "failed", "what is no answer; " + had
		}
		return "failed", "the node ended the connection; " + had
	case record.Left:
		if e.At < t.at+t.limit-1 {
			return "left", "the client was impatient"
		}
		return "time up", had
	}
	if e.How == uint8(world.Refused) {
		return "refused", had
	}
	return "failed", had
}

// offer books work that reached a rater.
func (c *Collector) offer(e record.Event) {
	if e.Rater < 0 || int(e.Rater) >= len(c.rowOf) {
		return
	}
	work := c.offered[c.rowOf[e.Rater]]
	if i := int(e.At / c.bin); i >= 0 && i < len(work) {
		work[i] += float64(e.Work)
	}
}

// planned takes what the day's plan does to how fast raters are.
func (c *Collector) planned(s world.Step) {
	for i := range c.raters {
		if s.Rater >= 0 && s.Rater != i {
			continue
		}
		r := &c.raters[i]
		switch s.Do {
		case world.SetSlow:
			c.pass(i, s.At)
			r.slow = max(s.Size, 1e-3)
		case world.SetShared:
			c.pass(i, s.At)
			r.shared = max(s.Size, 1e-3)
		case world.Freeze, world.Thaw:
			c.pass(i, s.At)
			r.frozen = s.Do == world.Freeze
		}
	}
}

// changed takes what became of a rater.
func (c *Collector) changed(e record.Event) {
	if e.Rater < 0 || int(e.Rater) >= len(c.raters) {
		return
	}
	c.pass(int(e.Rater), e.At)
	r := &c.raters[e.Rater]
	switch e.Kind {
	case record.RaterUp, record.RaterShare:
		r.share = float64(e.Extra) / 1e6
	case record.RaterWarm:
		r.share = 1
	default: // it takes nothing new
		r.share = 0
	}
}

// pass books what a rater could do since it last changed.
func (c *Collector) pass(i int, now float64) {
	r, able := &c.raters[i], c.able[c.rowOf[i]]
	rate := c.day.Raters[i].Capacity() * r.share / r.slow / r.shared
	if r.frozen {
		rate = 0
	}
	for at := max(r.since, 0); rate > 0 && at < now; {
		k := int(at / c.bin)
		if k >= len(able) {
			break
		}
		end := min(now, float64(k+1)*c.bin)
		able[k] += rate * (end - at)
		at = end
	}
	r.since = max(now, r.since)
}

// sample takes one of what a node uses.
func (c *Collector) sample(e record.Event) {
	if e.Node < 0 || int(e.Node) >= len(c.nodes) {
		return
	}
	n := &c.nodes[e.Node]
	if e.Kind == record.NodeStarted {
		n.before = append(n.before[:0], used{e.At, 0})
		return
	}
	cores, now := -1.0, used{e.At, float64(e.Work)}
	if len(n.before) > 0 {
		if first := n.before[0]; now.at > first.at && now.work >= first.work {
			cores = (now.work - first.work) / (now.at - first.at)
		}
	}
	n.before = append(n.before, now)
	for len(n.before) > 1 && n.before[1].at <= e.At-coresOver {
		n.before = slices.Delete(n.before, 0, 1)
	}
	if n.taken++; n.taken%n.every != 0 {
		return
	}
	n.At = append(n.At, e.At)
	n.MemoryMB = append(n.MemoryMB, float64(e.Extra)/1e6)
	n.Descriptors = append(n.Descriptors, float64(e.Value))
	n.Cores = append(n.Cores, cores)
	if len(n.At) < 2*MaxSamples {
		return
	}
	// Every other one goes; the larger of two stays.
	n.every *= 2
	for i := range MaxSamples {
		n.At[i] = n.At[2*i+1]
		for _, of := range [][]float64{n.MemoryMB, n.Descriptors, n.Cores} {
			of[i] = max(of[2*i], of[2*i+1])
		}
	}
	n.At, n.MemoryMB = n.At[:MaxSamples], n.MemoryMB[:MaxSamples]
	n.Descriptors, n.Cores = n.Descriptors[:MaxSamples], n.Cores[:MaxSamples]
}

// Trace gives what it has kept, with what the referee has made of the same events. Nothing can be taken after it.
func (c *Collector) Trace(j *referee.Judgement) *Trace {
	for i := range c.raters {
		c.pass(i, c.day.Length)
	}
	run := &Trace{Seed: c.day.Seed, Day: describe(c.day), Load: Load{Names: c.names, Offered: c.offered, Able: c.able}}
	for _, class := range j.Classes {
		run.Latency = append(run.Latency, ClassLatency{Class: class.Name, Latency: quantiles.Of(class.Latency)})
	}
	run.Rows = c.sumRows(j)
	for i := 0; float64(i)*c.bin < c.day.Length; i++ {
		run.Load.Edges = append(run.Load.Edges, float64(i)*c.bin)
	}
	run.Load.Edges = append(run.Load.Edges, c.day.Length)
	for _, r := range c.reasons {
		r.Wait /= float64(r.Tries)
		run.Reasons = append(run.Reasons, *r)
	}
	slices.SortFunc(run.Reasons, func(a, b Reason) int {
		return cmp.Or(cmp.Compare(b.Tries, a.Tries), cmp.Compare(a.How, b.How), cmp.Compare(a.Why, b.Why),
			cmp.Compare(a.Class, b.Class), cmp.Compare(a.Status, b.Status))
	})
	for _, n := range c.nodes {
		run.Nodes = append(run.Nodes, n.NodeTimeline)
	}
	return run
}

// sumRows joins the referee's seconds to rows.
func (c *Collector) sumRows(j *referee.Judgement) []Row {
	var rows []Row
	for i, s := range j.Seconds {
		k := int(float64(i) * 1000 / c.bin)
		for len(rows) <= k {
			rows = append(rows, Row{At: float64(len(rows)) * c.bin, Length: c.bin})
		}
		r := &rows[k]
		r.Asked += s.Asked
		r.Earned += s.Earned
		r.Due += s.Arrivals
		r.Served += s.Served
		r.Refused += s.Refused
		r.Failed += s.Failed
	}
	for i := range rows {
		if i < len(c.rows) && c.rows[i].TotalCount() > 0 {
			h := c.rows[i]
			rows[i].P50, rows[i].P99 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000
		}
	}
	return rows
}
