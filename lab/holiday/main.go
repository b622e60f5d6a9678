// Command holiday measures many nodes side by side: it plays the holiday experiments on loopback, rolls, restarts and
// kills nodes under load, and prints a page of what came of it.
package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/internal/output"
	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/live"
	"linenwheel.dev/linenwheel/lab/live/nodes"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/referee"
	"linenwheel.dev/linenwheel/lab/world"
)

// part is one line of the page: an experiment, and how its nodes are started.
type part struct {
	name, experiment string
	options          string // of the nodes, TOML
	seconds          float64
	rate             float64 // in place of the experiment's, if above 0
}

var parts = []part{
	{"nothing happens", "holiday-calm", "", 30, 0},
	{"one rater replaced by a cold one", "holiday-cold", "", 40, 0},
	{"all rolled by takeover", "holiday-roll", "", 30, 0},
	{"all stopped, then started", "holiday-restart", "", 30, 0},
	{"two of them get SIGKILL", "holiday-kill", "", 30, 0},
	{"the only node rolled by takeover", "single-roll", "", 30, 0},
	{"the only node stopped, then started", "single-restart", "", 30, 0},
	{"the only node gets SIGKILL", "single-kill", "", 30, 0},
	{"one node rolled, with its view", "newcomer", "", 30, 0},
	{"one node rolled, without", "newcomer", "[takeover]\nrecall = false\n", 30, 0},
}

// figures are what a run gives.
type figures struct {
	part
	seed       uint64
	judgement  *referee.Judgement
	late       float64 // share of the lab's own sends that went out more than 10 ms late
	unreached  int     // tries that found no connection, or lost it before their last byte
	unanswered int     // that were ended without a whole answer
	during     float64 // service in the time of the trouble,
	outside    float64 // and in the rest of the day
	first      float64 // service in the first 10 s of the trouble
	peak       float64 // most work that reached a cold rater in the rule's time, in what it could do then
	spread     [2]unevenness
	nodes      [2]float64 // deviation between nodes in what they send one rater, mean over the raters by their work
}

// unevenness is how unevenly work lies on raters, before and after: work by capacity.
type unevenness struct{ deviation, most float64 }

func main() {
	seeds := flag.Int("seeds", 1, "days of each part, seeds from 1")
	only := flag.String("only", "", "parts whose name holds this")
	rate := flag.Float64("rate", 0, "requests a second, in place of the experiments'")
	linenwheel := flag.String("node", "bin/linenwheel", "the node")
	inParts := flag.Bool("parts", false, "tell instead how many nodes use a rater, in virtual time")
	flag.Parse()
	out := output.On(os.Stdout)
	var err error
	if *inParts {
		fleetParts(out)
	} else {
		err = run(out, *seeds, *only, *rate, *linenwheel)
	}
	if err = cmp.Or(err, out.Err()); err != nil {
		fmt.Fprintln(os.Stderr, "holiday:", err)
		os.Exit(1)
	}
}

func run(out io.Writer, seeds int, only string, rate float64, linenwheel string) error {
	fmt.Fprintln(out, "| what | seed | requests | G | service during, outside | its first 10 s | unreached | unanswered | cold peak | "+
		"raters' load: deviation, most, before; after | between nodes | ms CPU | MB | sockets | lab late | rules broken |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, p := range parts {
		if !strings.Contains(p.name, only) {
			continue
		}
		if rate > 0 {
			p.rate = rate
		}
		for seed := range seeds {
			f, err := play(p, uint64(seed+1), linenwheel)
			if err != nil {
				return fmt.Errorf("%s: %w", p.name, err)
			}
			f.print(out)
		}
	}
	return nil
}

// play plays one day.
func play(p part, seed uint64, linenwheel string) (*figures, error) {
	e, err := experiments.Load(p.experiment)
	if err != nil {
		return nil, err
	}
	if e.Site.Size.Day.Lo, e.Site.Size.Day.Hi = p.seconds*1000, p.seconds*1000; p.rate > 0 {
		e.Site.Load.Rate.Lo, e.Site.Load.Rate.Hi = p.rate, p.rate
	}
	day, err := e.Day(seed)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lw")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	// The lab goes before the nodes where both want a core: it is the clock.
	command := "nice -n 10 " + linenwheel + ` serve -takeover "${ROUTER_CONFIG%config.json}s"`
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Minute)
	defer stop()
	o, err := live.Play(ctx, day, live.Options{Nodes: nodes.Options{Command: command, Dir: dir, Options: p.options}})
	if err != nil {
		return nil, err
	}
	if len(o.Faults) > 0 {
		return nil, fmt.Errorf("the lab failed: %s", o.Faults[0])
	}
	f := &figures{part: p, seed: seed, late: float64(o.Lateness.Over10) / float64(max(o.Lateness.Sends, 1))}
	if f.judgement, err = o.Judge(); err != nil {
		return nil, err
	}
	f.services(day)
	f.take(day, o)
	return f, nil
}

// when is the time of the trouble: from the first replacement of a node or a rater until a little after the last.
func when(day *world.Day) (from, to float64) {
	from = day.Length
	for _, s := range day.Plan {
		if s.Trouble >= 0 && day.Troubles[s.Trouble].Kind != world.Slow && day.Troubles[s.Trouble].Kind != world.Hang {
			from, to = min(from, s.At), max(to, s.At+3000)
		}
	}
	return from, to
}

// services splits the day's service at its trouble, until a little after the last node is back.
func (f *figures) services(day *world.Day) {
	from, to := when(day)
	share := func(in func(at float64) bool) float64 {
		asked, earned := 0.0, 0.0
		for i, s := range f.judgement.Seconds {
			if at := 1000 * float64(i); in(at) {
				asked, earned = asked+s.Asked, earned+s.Earned
			}
		}
		return earned / max(asked, 1e-9)
	}
	f.during = share(func(at float64) bool { return at >= from && at < to })
	f.outside = share(func(at float64) bool { return at < day.Length && at >= 3000 && (at < from || at >= to) })
	f.first = share(func(at float64) bool { return at >= from && at < from+10000 })
}

// take counts what the parties saw.
func (f *figures) take(day *world.Day, o *live.Outcome) {
	from, _ := when(day)
	fleet := make([]cold, len(day.Raters))
	span := day.Site.Rules.FallTime.Lo
	work := [2][]float64{make([]float64, len(day.Raters)), make([]float64, len(day.Raters))}
	const window = 6000.0
	sends := [2][]float64{make([]float64, len(day.Raters)*day.Nodes), make([]float64, len(day.Raters)*day.Nodes)}
	o.Events(func(e record.Event) {
		switch e.Kind {
		case record.Unreached:
			f.unreached++
		case record.Unanswered:
			f.unanswered++
		case record.RaterUp:
			fleet[e.Rater] = cold{on: e.Extra < 1e6, share: float64(e.Extra) / 1e6}
		case record.RaterShare:
			fleet[e.Rater].share = float64(e.Extra) / 1e6
		case record.RaterWarm:
			fleet[e.Rater].on = false
		case record.Whole, record.Probed, record.Connected:
			if c := &fleet[e.Rater]; c.on {
				f.peak = max(f.peak, c.took(e, span)/(day.Raters[e.Rater].Capacity()*c.share*span))
			}
			for i, start := range []float64{from - window, day.Length - window} {
				if e.Kind == record.Whole && e.At >= start && e.At < start+window {
					work[i][e.Rater] += float64(e.Work)
					if e.Node >= 0 {
						sends[i][int(e.Rater)*day.Nodes+int(e.Node)]++
					}
				}
			}
		}
	})
	for i := range work {
		f.spread[i] = uneven(work[i], day)
		f.nodes[i] = between(sends[i], day.Nodes)
	}
}

// cold is a rater and what has reached it while it is cold.
type cold struct {
	on     bool
	share  float64
	recent []record.Event
	sum    float64
}

// took counts work in and gives that of the last span.
func (c *cold) took(e record.Event, span float64) float64 {
	c.recent = append(c.recent, e)
	c.sum += float64(e.Work)
	for c.recent[0].At <= e.At-span {
		c.sum -= float64(c.recent[0].Work)
		c.recent = c.recent[1:]
	}
	return c.sum
}

// uneven compares raters that took work, by what they can do.
func uneven(work []float64, day *world.Day) unevenness {
	n, sum, squares, most := 0.0, 0.0, 0.0, 0.0
	for i, w := range work {
		if w == 0 {
			continue
		}
		load := w / day.Raters[i].Capacity()
		n, sum, squares, most = n+1, sum+load, squares+load*load, max(most, load)
	}
	if n == 0 {
		return unevenness{}
	}
	mean := sum / n
	return unevenness{math.Sqrt(max(0, squares/n-mean*mean)) / mean, most / mean}
}

// between compares nodes by what they send each rater: the deviation beyond what chance gives, in parts of the mean.
func between(sends []float64, count int) float64 {
	total, sum := 0.0, 0.0
	for r := 0; r < len(sends); r += count {
		n, squares := 0.0, 0.0
		for _, x := range sends[r : r+count] {
			n, squares = n+x, squares+x*x
		}
		if n == 0 {
			continue
		}
		mean := n / float64(count)
		total, sum = total+n, sum+n*math.Sqrt(max(0, squares/float64(count)-mean*mean-mean))/mean
	}
	return sum / max(total, 1)
}

func (f *figures) print(out io.Writer) {
	j := f.judgement
	cpu, memory, sockets := 0.0, 0.0, 0
	for _, n := range j.Nodes {
		cpu, memory, sockets = cpu+n.CPUMillis, max(memory, n.MemoryMB), max(sockets, n.Sockets)
	}
	fmt.Fprintf(out, "| %s | %d | %d | %.3f | %.3f, %.3f | %.3f | %d | %d | %.2f | %.2f, %.2f; %.2f, %.2f | %.2f; %.2f | %.2f | %.0f | %d | %.1f %% | %d |\n",
		f.name, f.seed, j.Arrivals, j.G, f.during, f.outside, f.first, f.unreached, f.unanswered, f.peak, f.spread[0].deviation,
		f.spread[0].most, f.spread[1].deviation, f.spread[1].most, f.nodes[0], f.nodes[1], cpu/float64(max(j.Attempts, 1)), memory, sockets, 100*f.late,
		j.BrokenRules())
}
