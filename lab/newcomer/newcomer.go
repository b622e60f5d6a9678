// Package newcomer plays a node that starts anew beside others in virtual time, and compares its first seconds with those of the
// same node on the same day had it not ended: a node that knows nothing, and one that takes what running nodes know, as a node
// with state.from does. It does no I/O; a play hangs on its day, its seed and its way alone.
package newcomer

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/report"
	"linenwheel.dev/linenwheel/lab/rivals"
	"linenwheel.dev/linenwheel/lab/sim"
	"linenwheel.dev/linenwheel/lab/world"
)

// Day is a day on which nodes are killed and new ones stand in their places 4 s later.
type Day struct {
	Name    string
	About   string
	New     int     // so many nodes begin anew, from node 0 on,
	At      float64 // at this time of the day, ms
	Whole   bool    // each node uses all raters, so that each knows them all: the first 3 s count too
	Forgets bool    // what is known at its 10th second is old when the new node begins: it is played with that too
	Text    string  // of its experiment, without their kills
}

const head = "site = 'rating'\nnodes = 4\nraters = 10\n"

// Days are those that are played.
var Days = []Day{
	{"calm", "nothing else happens", 1, 18e3, true, false, head + `length = "50s"
load = {level = 0.6}
`}, {"slow", "two of ten raters run six times slower and one hangs", 1, 18e3, true, false, head + `length = "50s"
load = {level = 0.6}
[[trouble]]
kind = "slow"
at = "3s"
length = "60s"
raters = [1, 4]
size = 6
[[trouble]]
kind = "hang"
at = "3s"
length = "60s"
raters = [7]
`}, {"errors", "three of ten raters answer four in five requests with an error", 1, 18e3, true, false, head + `length = "50s"
load = {level = 0.5}
[[trouble]]
kind = "errors"
at = "3s"
length = "60s"
raters = [1, 4, 7]
share = 0.8
`}, {"hang", "three of ten raters hang", 1, 18e3, true, false, head + `length = "50s"
load = {level = 0.4}
[[trouble]]
kind = "hang"
at = "3s"
length = "60s"
raters = [1, 4, 7]
`}, {"cold", "three of ten raters have started again and are cold", 1, 18e3, true, false, head + `length = "50s"
load = {level = 0.5}
[[trouble]]
kind = "restart"
at = "12s"
length = "3s"
raters = [1, 4, 7]
`}, {"recovered", "as slow, but the raters have been well for 40 s", 1, 70e3, true, true, head + `length = "102s"
load = {level = 0.6}
[[trouble]]
kind = "slow"
at = "3s"
length = "27s"
raters = [1, 4]
size = 6
[[trouble]]
kind = "hang"
at = "3s"
length = "27s"
raters = [7]
`}, {"fleet", "80 nodes, 60 raters, of which each node keeps to a part; 15 run six times slower, 6 hang", 8, 18e3, false, false, `site = "rating-fleet"
virtual = true
length = "50s"
load = {level = 0.5}
[[trouble]]
kind = "slow"
at = "3s"
length = "60s"
part = 0.25
size = 6
[[trouble]]
kind = "hang"
at = "3s"
length = "60s"
part = 0.1
`},
}

// Way is how a new node begins.
type Way string

// The ways. Swapped is wrong on purpose: whoever compares must see it.
const (
	Stays   Way = "stays"   // it is not new: the same node, that did not end
	Empty   Way = "empty"   // it knows nothing
	Learns  Way = "learns"  // from a running node
	Old     Way = "old"     // from a running node that has heard nothing for a minute
	Swapped Way = "swapped" // from a running node, but what was known of one rater is told of the next
)

// First and Soon are the times that are compared, from the new nodes' start.
const (
	First = 30 * time.Second
	Soon  = 3 * time.Second
)

const asked = 3 // running nodes that a new one asks

const (
	gap         = 4000 // ms from the end of a node to its start
	wholeMinute = 60e3 // ms that old knowledge is old
	kept        = 10e3 // ms of the day at which it was taken
)

// Share is what was earned of what was asked for.
type Share struct {
	Asked, Earned float64 // worth
	Tries         int
	Attempts      int // that reached raters
}

// Of is the earned part.
func (s Share) Of() float64 { return s.Earned / max(s.Asked, 1e-9) }

// Further is how many attempts went out beyond the first for each try.
func (s Share) Further() float64 { return float64(s.Attempts)/float64(max(s.Tries, 1)) - 1 }

// Outcome is what became of a play.
type Outcome struct {
	First  Share // of the new nodes' first 30 s
	Soon   Share // and of their first 3 s
	Began  int   // so many began anew
	Bytes  int   // of what the last of them was told, as JSON
	Broken int   // rules
}

// play is a play that is watched.
type play struct {
	Day
	day  *world.Day
	way  Way
	open map[uint64]try
	out  Outcome
	old  *decide.Snapshot
}

type try struct {
	at, worth, aim, late, deadline float64
}

// Play plays a day of a seed.
func Play(d Day, seed uint64, way Way) (Outcome, error) {
	text := d.Text
	if way != Stays {
		for i := range d.New {
			text += fmt.Sprintf("[[trouble]]\nkind = \"node_kill\"\nat = \"%dms\"\ngap = \"%dms\"\nnodes = [%d]\n", int(d.At)-gap, gap, i)
		}
	}
	e, err := experiments.Parse(d.Name+".toml", text, nil)
	if err != nil {
		return Outcome{}, err
	}
	day, err := e.Day(seed)
	if err != nil {
		return Outcome{}, err
	}
	p := &play{Day: d, day: day, way: way, open: map[uint64]try{}}
	make, err := rivals.ByName("linenwheel")
	if err != nil {
		return Outcome{}, err
	}
	o, err := sim.Play(day, sim.Options{Policy: make, Watch: p.see, Follow: p, Begun: p.begun})
	if err != nil {
		return Outcome{}, err
	}
	if way != Stays && p.out.Began != d.New {
		return Outcome{}, fmt.Errorf("%s: %d nodes began anew", d.Name, p.out.Began)
	}
	p.out.Broken = o.Judgement.BrokenRules()
	return p.out, nil
}

// Did has nothing to do.
func (p *play) Did(float64, int, int, uint64, int, string) {}

// Tick keeps what a running node knows, to be told much later.
func (p *play) Tick(now float64, look sim.Look) {
	if b, ok := look.Policy(1).(*decide.Balancer); ok && p.old == nil && now >= kept {
		m := b.Snapshot(time.Duration((now + sim.Epoch) * 1e6))
		p.old = &m
	}
}

// begun has a new node begin in its way: told by three others, as internal/daemon has it.
func (p *play) begun(b sim.Begun) error {
	p.out.Began++
	if p.way == Empty {
		return nil
	}
	if p.way == Old {
		if age := b.Now - p.old.TakenAt; age < wholeMinute*time.Millisecond {
			return fmt.Errorf("what is told is %v old", age)
		}
		return p.learn(b, *p.old)
	}
	luck := rand.New(rand.NewPCG(b.Seed, 2))
	for _, i := range luck.Perm(len(b.Others))[:min(asked, len(b.Others))] {
		m := b.Others[i].(*decide.Balancer).Snapshot(b.Now)
		if p.way == Swapped {
			m = swapped(m)
		}
		if err := p.learn(b, m); err != nil {
			return err
		}
	}
	return nil
}

// learn has a new node take what it is told, by way of its form as text.
func (p *play) learn(b sim.Begun, m decide.Snapshot) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	p.out.Bytes = len(text)
	var told decide.Snapshot
	if err := json.Unmarshal(text, &told); err != nil {
		return err
	}
	own := b.Own.(*decide.Balancer)
	return own.Restore(b.Now, dispatch.Blend(own.Snapshot(b.Now), told, b.Settings.Rules.SlowStartTime, rand.New(rand.NewPCG(b.Seed, 1))))
}

// swapped tells of each rater what is known of the next.
func swapped(m decide.Snapshot) decide.Snapshot {
	list := slices.Clone(m.Backends)
	for i := range list {
		list[i] = m.Backends[(i+1)%len(list)]
		list[i].ID, list[i].Kind, list[i].Started = m.Backends[i].ID, m.Backends[i].Kind, m.Backends[i].Started
	}
	m.Backends = list
	return m
}

// see counts what became of the tries.
func (p *play) see(e record.Event) {
	switch e.Kind {
	case record.Sent:
		if int(e.Node) >= p.New || e.At < p.At || e.At >= p.At+millis(First) {
			return
		}
		c := &p.day.Classes[e.Class]
		p.open[e.Request] = try{e.At, c.Worth, c.Aim, c.Late, c.Deadline}
		for _, s := range p.shares(e.At) {
			s.Asked += c.Worth
			s.Tries++
		}
	case record.Whole:
		if t, ok := p.open[e.Request]; ok {
			for _, s := range p.shares(t.at) {
				s.Attempts++
			}
		}
	case record.Got:
		t, ok := p.open[e.Request]
		if took := e.At - t.at; ok && e.How == uint8(world.Served) && took <= t.deadline {
			worth := t.worth
			if took > t.aim {
				worth *= t.late
			}
			for _, s := range p.shares(t.at) {
				s.Earned += worth
			}
		}
	}
}

// shares are those in which a try counts.
func (p *play) shares(at float64) []*Share {
	if at < p.At+millis(Soon) {
		return []*Share{&p.out.First, &p.out.Soon}
	}
	return []*Share{&p.out.First}
}

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

// Row is what became of a day's plays in one way, as means over the seeds; the parts are of what the same nodes earned on the same
// seeds had they not ended.
type Row struct {
	Day         string  `json:"day"`
	Way         Way     `json:"way"`
	Seeds       int     `json:"seeds"`
	First       float64 `json:"first"` // earned of what was asked for in the first 30 s,
	FirstPart   float64 `json:"first_part"`
	FirstOff    float64 `json:"first_off"` // half of the interval of 95% of its difference to those that stayed
	FirstWorst  float64 `json:"first_worst"`
	Soon        float64 `json:"soon"` // and in the first 3 s
	SoonPart    float64 `json:"soon_part"`
	Further     float64 `json:"further"` // attempts beyond the first a try, in the first 30 s
	Tries       int     `json:"tries"`   // in the first 30 s, of all seeds
	Bytes       int     `json:"bytes"`   // that one node told
	BrokenRules int     `json:"broken_rules"`
}

// Least is the part of what a node that stayed earns that a new one must earn.
const Least = 0.95

// Fails tells why a row is not what a new node promises; nil = it is.
func (r *Row) Fails(d *Day) (why []string) {
	if r.FirstPart < Least {
		why = append(why, fmt.Sprintf("%s, %s: its first 30 s earn %.3f of a warm node's", r.Day, r.Way, r.FirstPart))
	}
	if d.Whole && r.SoonPart < Least {
		why = append(why, fmt.Sprintf("%s, %s: its first 3 s earn %.3f of a warm node's", r.Day, r.Way, r.SoonPart))
	}
	if r.BrokenRules > 0 {
		why = append(why, fmt.Sprintf("%s, %s: %d rules broken", r.Day, r.Way, r.BrokenRules))
	}
	return why
}

// Compare plays a day on seeds from 1 in some ways, and gives a row for each, of which the first is of the nodes that stayed. It
// plays as many days at once as there are processors for Go.
func Compare(d Day, seeds int, ways ...Way) (rows []Row, err error) {
	ways = append([]Way{Stays}, ways...)
	outcomes := make([][]Outcome, len(ways))
	errs := make([]error, len(ways)*seeds)
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	var work sync.WaitGroup
	for w := range ways {
		outcomes[w] = make([]Outcome, seeds)
		for i := range seeds {
			work.Go(func() {
				room <- struct{}{}
				outcomes[w][i], errs[w*seeds+i] = Play(d, uint64(i+1), ways[w])
				<-room
			})
		}
	}
	work.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	for w, way := range ways {
		rows = append(rows, sum(d, way, outcomes[w], outcomes[0]))
	}
	return rows, nil
}

func sum(d Day, way Way, list, stays []Outcome) Row {
	r := Row{Day: d.Name, Way: way, Seeds: len(list), FirstWorst: 9}
	n := float64(len(list))
	first, soon := 0.0, 0.0
	var off []float64
	for i := range list {
		o, s := &list[i], &stays[i]
		r.First, first = r.First+o.First.Of()/n, first+s.First.Of()/n
		r.Soon, soon = r.Soon+o.Soon.Of()/n, soon+s.Soon.Of()/n
		r.FirstWorst = min(r.FirstWorst, o.First.Of()/s.First.Of())
		r.Further += o.First.Further() / n
		r.Tries += o.First.Tries
		r.Bytes = max(r.Bytes, o.Bytes)
		r.BrokenRules += o.Broken
		off = append(off, o.First.Of()-s.First.Of())
	}
	v := report.IntervalOf(off)
	r.FirstPart, r.SoonPart, r.FirstOff = r.First/first, r.Soon/soon, v.High-v.Mean
	return r
}
