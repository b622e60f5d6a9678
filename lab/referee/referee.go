// Package referee judges a run from what clients, raters, discovery and the host saw, never from the node's log.
//
// It is pure and takes events one by one in the order of their times ([record.Merge] gives it), so it needs memory only for
// what is open: tries until a while after their end, arrivals until they are settled, raters that are cold, and up to
// MaxVerdicts verdicts a rule. A try is judged when all that can be known of it is: [Referee.Finish] judges the rest.
//
// What it goes by. An attempt counts once its last byte has reached a rater; it never ran only if the rater said so in its
// answer; its time is that of its first byte. A rater's events must carry the time before the write that makes them visible
// (an answer's last byte, a refusal), so that no reaction of a node is ever older than its cause. What it cannot see stands in
// docs/design/lab.md.
package referee

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// Rule is one of the things that a run must not do.
type Rule string

// The rules.
const (
	OneAnswer  Rule = "one final answer"  // each request that a running node has taken gets one, not none and not two
	RunsTwice  Rule = "nothing run twice" // a repeat beyond what the class allows, or a refusal that is untrue
	Drains     Rule = "drains kept"       // nothing new later than the grace after a drain or an end was told
	ColdRaters Rule = "no cold rater pushed over"
	OwnAnswer  Rule = "its own answer"  // what is served was made by a rater for this request
	Unchanged  Rule = "bytes unchanged" // a rater gets what a client sent, and nothing else
	StaysUp    Rule = "stays up"        // a node does not end by itself
)

// Rules lists them in the order in which reports show them.
var Rules = []Rule{OneAnswer, RunsTwice, Drains, ColdRaters, OwnAnswer, Unchanged, StaysUp}

// MaxVerdicts is how many verdicts of a rule are kept. All are counted.
const MaxVerdicts = 50

// Verdict is one fault: which rule, who, when.
type Verdict struct {
	Rule    Rule    `json:"rule"`
	At      float64 `json:"at_ms"`
	Request string  `json:"request,omitempty"` // the try's id, 16 hex digits
	Class   string  `json:"class,omitempty"`
	Node    int     `json:"node"`  // -1: none
	Rater   int     `json:"rater"` // -1: none
	Text    string  `json:"text"`  // a sentence with the parties and the times
}

func (v Verdict) String() string {
	s := fmt.Sprintf("%.0f ms, %s", v.At, v.Rule)
	if v.Request != "" {
		s += ", request " + v.Request + " (" + v.Class + ")"
	}
	return s + ": " + v.Text
}

// Referee judges one run.
type Referee struct {
	day  *world.Day
	now  float64
	out  Judgement
	news map[Rule]int

	linger   float64
	arrivals map[uint32]*arrival
	tries    map[uint64]*try
	free     []*try
	closing  queue // tries that have ended, in order of when they are closed
	first    map[uint32]float64
	order    error // the first event that came out of order

	raters []rater
	nodes  []node
	rude   map[uint64]rudeClient

	service
}

// resendMost is how long after a cut what it held back may still come, ms: TCP sends again at growing gaps.
const resendMost = 5000

// New makes the referee of a day.
func New(day *world.Day) *Referee {
	r := &Referee{day: day, news: map[Rule]int{}, arrivals: map[uint32]*arrival{}, tries: map[uint64]*try{},
		first: map[uint32]float64{}, raters: make([]rater, len(day.Raters)), nodes: make([]node, day.Nodes), rude: map[uint64]rudeClient{}}
	for _, c := range day.Classes {
		r.linger = max(r.linger, c.Deadline)
		r.out.Classes = append(r.out.Classes, ClassFigures{Name: c.Name, Latency: hdrhistogram.New(1, 600_000_000, 3)})
	}
	r.linger += 2000
	for i := range day.Troubles { // what a cut holds back arrives when it is over, and a while later
		if t := &day.Troubles[i]; (t.Kind == world.NetCut || t.Kind == world.NetHalf) && t.To < day.Length*2 {
			r.linger = max(r.linger, t.To-t.From+resendMost)
		}
	}
	for range day.Partners {
		r.partners = append(r.partners, share{})
	}
	r.classes = make([]share, len(day.Classes))
	for i := range r.nodes {
		r.nodes[i] = node{told: map[int]told{}, life: life{-1, -1}, before: life{-1, -1}}
	}
	r.out.Raters, r.out.Nodes = make([]RaterFigures, len(day.Raters)), make([]NodeFigures, day.Nodes)
	for i := range day.Raters {
		r.out.Raters[i] = RaterFigures{Name: day.Raters[i].Name, Kind: day.Site.Kinds[day.Raters[i].Kind].Name, Capacity: day.Raters[i].Capacity()}
	}
	return r
}

// Take takes the next event.
func (r *Referee) Take(e record.Event) {
	if e.At < r.now && r.order == nil {
		r.order = fmt.Errorf("referee: %v came after %.3f", e, r.now)
	}
	r.now = max(r.now, e.At)
	for len(r.closing.items) > r.closing.head && r.closing.items[r.closing.head].at <= r.now {
		r.close(r.closing.pop())
	}
	if e.Node >= 0 && int(e.Node) >= len(r.nodes) || e.Rater >= 0 && int(e.Rater) >= len(r.raters) {
		r.order = cmp.Or(r.order, fmt.Errorf("referee: %v names a party that the day does not have", e))
		return
	}
	switch e.Kind {
	case record.Due, record.Settled:
		r.takeArrival(e)
	case record.Sent, record.Got, record.Left, record.Unreached, record.Unanswered, record.Crossed:
		r.takeTry(e)
	case record.FirstByte, record.Whole, record.Ran, record.Ended, record.Answered, record.Cut, record.Foreign:
		r.takeAttempt(e)
	case record.Probed:
		r.out.Probes++
		r.reach(e)
	case record.Connected:
		r.out.Connections++
		r.reach(e)
	case record.RaterUp, record.RaterShare, record.RaterWarm, record.RaterDraining, record.RaterDown, record.RaterHidden, record.Told:
		r.takeRater(e)
	case record.NodeStarted, record.NodeReady, record.NodeSignal, record.NodeEnded, record.NodeSample:
		r.takeNode(e)
	case record.LabLate:
		r.out.LabLate.Times++
		r.out.LabLate.Sum += float64(e.Work)
		r.out.LabLate.Worst = max(r.out.LabLate.Worst, float64(e.Work))
	case record.RudeSent, record.RudeGot, record.RudeClosed, record.RudeLeft:
		r.takeRude(e)
	}
}

func (r *Referee) broken(rule Rule, at float64, t *try, node, rater int, format string, args ...any) {
	r.news[rule]++
	if r.news[rule] > MaxVerdicts {
		return
	}
	v := Verdict{Rule: rule, At: at, Node: node, Rater: rater, Text: fmt.Sprintf(format, args...)}
	if t != nil {
		v.Request, v.Class = fmt.Sprintf("%016x", t.id), r.class(t).Name
	}
	r.out.Verdicts = append(r.out.Verdicts, v)
}

// Finish judges what is left and gives the judgement. Nothing can be taken after it.
func (r *Referee) Finish() (*Judgement, error) {
	left := make([]*try, 0, len(r.tries))
	for _, t := range r.tries {
		left = append(left, t)
	}
	slices.SortFunc(left, func(a, b *try) int { return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.id, b.id)) })
	for _, t := range left {
		r.judge(t)
	}
	open := make([]uint32, 0, len(r.arrivals))
	for n := range r.arrivals {
		open = append(open, n)
	}
	slices.Sort(open)
	for _, n := range open {
		r.settle(r.arrivals[n], r.now)
	}
	r.finishRude()
	slices.SortStableFunc(r.out.Verdicts, func(a, b Verdict) int { return cmp.Compare(a.At, b.At) })
	r.out.Broken = r.news
	r.sum()
	return &r.out, r.order
}

// queue holds what is due later, in order.
type queue struct {
	items []later
	head  int
}

type later struct {
	at float64
	id uint64
}

func (q *queue) push(l later) { q.items = append(q.items, l) }

func (q *queue) pop() later {
	l := q.items[q.head]
	if q.head++; q.head > 1024 && q.head > len(q.items)/2 {
		q.items = q.items[:copy(q.items, q.items[q.head:])]
		q.head = 0
	}
	return l
}

func ms(t float64) string { return fmt.Sprintf("%.1f ms", t) }

var nan = math.NaN()
