package referee

import (
	"fmt"
	"math"
	"strings"

	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// rater is what is known of one rater. While it is cold, what reaches it is kept for the time of the rule.
type rater struct {
	cold  bool
	up    float64 // when its process started
	share float64 // of its capacity, as it says
	work  []reached
	head  int
}

type reached struct {
	at, work float64
	node     int16
}

// told is what a node has last been told of a rater.
type told struct {
	state world.State
	at    float64
	since float64 // of a start
}

func (r *Referee) takeRater(e record.Event) {
	if e.Kind == record.Told {
		since := math.Float64frombits(e.Value)
		r.nodes[e.Node].told[int(e.Rater)] = told{world.State(e.How), e.At, since}
		return
	}
	p := &r.raters[e.Rater]
	switch e.Kind {
	case record.RaterUp:
		*p = rater{cold: e.Extra < 1_000_000, up: e.At, share: float64(e.Extra) / 1e6, work: p.work[:0]}
	case record.RaterShare:
		p.share = float64(e.Extra) / 1e6
	case record.RaterWarm:
		p.cold = false
	case record.RaterDown, record.RaterHidden:
		if e.How == 1 && p.cold {
			r.out.Raters[e.Rater].Fell++
			r.fell(e, p)
		}
		p.cold = false
	}
}

// reach counts work that reaches a cold rater.
func (r *Referee) reach(e record.Event) {
	p := &r.raters[e.Rater]
	if !p.cold {
		return
	}
	span := r.day.Site.Rules.FallTime.Lo
	for p.head < len(p.work) && p.work[p.head].at < e.At-span-1000 {
		p.head++
	}
	if p.head > 256 && p.head > len(p.work)/2 {
		p.work, p.head = p.work[:copy(p.work, p.work[p.head:])], 0
	}
	p.work = append(p.work, reached{e.At, float64(e.Work), e.Node})
}

// fell judges a cold rater that was pushed over: whose work was it, and had they been told that it had started?
func (r *Referee) fell(e record.Event, p *rater) {
	rules := &r.day.Site.Rules
	span := rules.FallTime.Lo
	sum, blamed := 0.0, 0.0
	by := map[int16]float64{}
	for _, w := range p.work[p.head:] {
		if w.at <= e.At-span {
			continue
		}
		sum += w.work
		if w.node < 0 {
			continue
		}
		by[w.node] += w.work
		if t, ok := r.nodes[w.node].told[int(e.Rater)]; ok && t.state == world.Ready && t.since >= p.up-rules.Slack.Lo && t.at <= w.at {
			blamed += w.work
		}
	}
	if sum == 0 || blamed/sum < rules.FallBlame {
		return
	}
	var from []string
	for n := range r.nodes {
		if by[int16(n)] > 0 && len(from) < 8 {
			from = append(from, fmt.Sprintf("%.0f from node %d", by[int16(n)], n))
		}
	}
	able := r.day.Raters[e.Rater].Capacity() * p.share
	r.broken(ColdRaters, e.At, nil, record.None, int(e.Rater),
		"rater %d, up for %s and able to do %.0f ms of work in a second, got %.0f in the last %s (%s; %.0f%% from nodes told of its start) and fell over",
		e.Rater, ms(e.At-p.up), 1000*able, sum, ms(span), strings.Join(from, ", "), 100*blamed/sum)
}

// drained judges an attempt by what its node had been told of the rater when its first byte came.
func (r *Referee) drained(t *try, e record.Event, first float64) {
	if e.Node < 0 {
		return
	}
	n := &r.nodes[e.Node]
	told, ok := n.told[int(e.Rater)]
	rules := &r.day.Site.Rules
	if !ok || told.state == world.Ready || first <= told.at+rules.DrainGrace.Lo+rules.Slack.Lo {
		return
	}
	what := "drains"
	if told.state == world.Gone {
		what = "is gone"
	}
	r.broken(Drains, first, t, int(e.Node), int(e.Rater), "node %d sent it to rater %d at %s, %s after it was told that this rater %s",
		e.Node, e.Rater, ms(first), ms(first-told.at), what)
}

// node is what is known of one node.
type node struct {
	told    map[int]told
	started float64
	life         // since it last started
	before  life // and before that
}

// life is one life of a node's process.
type life struct {
	term, kill float64 // when it got SIGTERM and SIGKILL; -1: not
}

func (n *node) lifeAt(at float64) life {
	if at < n.started {
		return n.before
	}
	return n.life
}

const (
	sigTerm = 15
	sigKill = 9
	// A request that comes this long after SIGTERM comes to a node that has had time to stop taking any, ms.
	stopTime = 700
)

// stopping tells whether it was asked to stop and not killed by a time.
func (n life) stopping(at float64) bool {
	return n.term >= 0 && n.term <= at && !(n.kill >= 0 && n.kill <= at+tolerance)
}

// excused tells whether a request sent at one time and dropped at another is not the node's fault: it was killed, and had
// not been told to stop well before it took the request.
func (n life) excused(sent, dropped float64) bool {
	if n.kill < 0 || n.kill > dropped+tolerance || sent > n.kill+tolerance {
		return false
	}
	return n.term < 0 || sent <= n.term+stopTime
}

func (r *Referee) takeNode(e record.Event) {
	n, f := &r.nodes[e.Node], &r.out.Nodes[e.Node]
	switch e.Kind {
	case record.NodeStarted:
		*n = node{told: map[int]told{}, started: e.At, life: life{-1, -1}, before: n.life}
		f.Starts++
		f.cpuBefore += f.cpuNow
		f.cpuNow = 0
	case record.NodeSignal:
		switch e.Extra {
		case sigTerm:
			n.term = e.At
		case sigKill:
			n.kill = e.At
		}
	case record.NodeEnded:
		if e.How == 1 {
			r.broken(StaysUp, e.At, nil, int(e.Node), record.None, "node %d ended by itself at %s with status %d", e.Node, ms(e.At), int64(e.Extra))
		}
	case record.NodeSample:
		f.MemoryMB = max(f.MemoryMB, float64(e.Extra)/1e6)
		f.Sockets = max(f.Sockets, int(e.Value))
		f.cpuNow = float64(e.Work)
		f.CPUMillis = f.cpuBefore + f.cpuNow
	}
}

// rudeClient is a rude client that is owed a close or an error.
type rudeClient struct {
	at, within float64
	node       int16
	how        uint8
	fine       bool // what it sends can be served
}

func (r *Referee) takeRude(e record.Event) {
	if e.Kind == record.RudeSent {
		r.rude[e.Request] = rudeClient{e.At, float64(e.Extra), e.Node, e.How, e.Value == 1}
		r.out.Rude.Sent++
		return
	}
	c, ok := r.rude[e.Request]
	if !ok {
		return
	}
	delete(r.rude, e.Request)
	switch {
	case e.Kind == record.RudeGot && e.Extra < 400 && !c.fine:
		r.broken(OwnAnswer, e.At, nil, int(c.node), record.None, "node %d answered %d to a rude client (%s), as though its request had run",
			c.node, e.Extra, world.RudeWays[min(int(c.how), len(world.RudeWays)-1)])
	case e.Kind != record.RudeLeft && e.At > c.at+c.within:
		r.out.Rude.Owed++
	}
}

func (r *Referee) finishRude() {
	for _, c := range r.rude {
		if r.now > c.at+c.within {
			r.out.Rude.Owed++
		}
	}
}
