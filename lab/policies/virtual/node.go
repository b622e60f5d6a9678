package virtual

import (
	"errors"
	"math"
	"strings"

	"linenwheel.dev/linenwheel/internal/node/rollout"
)

const late = 1500.0 // ms that a report may come late, when it does

// node is one with its process, link and clocks.
type node struct {
	w        *world
	name     string
	holder   *rollout.LeaseHolder
	life     int
	up       bool
	stopped  bool
	woke     []func() // what waits while it is stopped
	out, in  bool     // nothing goes out to the keepers, nothing comes in
	slow     float64  // ms
	rate     float64  // of its clock
	offset   float64  // of the wall's, which jumps
	settled  float64  // until then it is known when calls could begin
	closed   float64  // when calls could begin last
	sound    bool     // nothing was wrong since then
	floor    uint64   // the number that held when it started
	early    bool     // planted: it has not asked yet
	disk     uint64   // the number that it held last
	looked   string   // the document that it looked at last
	receipt  uint64   // planted: the number that it took when it saw it
	stopping uint64   // the number that held when it was stopped
	missed   uint64   // the number that was to come when it died, having looked at it
}

func (n *node) clock() float64 {
	if n.w.set.Wrong == WallClock {
		return n.w.now + n.offset
	}
	return n.w.now * n.rate
}

// left is how long calls can go on to begin, ms of true time.
func (n *node) left() float64 {
	_, _, until := n.holder.InForce()
	switch {
	case n.early:
		return math.Inf(1)
	case n.w.set.Wrong == NoLease && until > 0:
		return math.Inf(1)
	case n.w.set.Wrong == WallClock:
		return until - n.clock()
	}
	return (until - n.clock()) / n.rate
}

func (n *node) open() bool { return n.up && !n.stopped && n.left() > 0 }

// settle notes which calls could begin since it was asked last: it is asked before anything changes.
func (n *node) settle() {
	from := n.settled
	n.settled = n.w.now
	if !n.up || n.stopped || from >= n.w.now {
		return
	}
	to := min(n.w.now, n.w.now+n.left())
	if to <= from {
		return
	}
	number, _, _ := n.holder.InForce()
	number = max(number, n.receipt)
	if n.early {
		number = n.disk
	}
	if n.closed > 0 && from > n.closed && n.sound {
		n.w.result.Held = append(n.w.result.Held, from-n.closed)
	}
	n.sound, n.closed = n.slow == 0 && !n.out && !n.in, to
	n.w.result.Windows++
	if first, ok := n.w.starts[number]; !ok || from < first.at {
		n.w.starts[number] = moment{from, n.name}
	}
	if last := n.w.ends[number]; to > last.at {
		n.w.ends[number] = moment{to, n.name}
	}
}

// start is a new process, which knows nothing.
func (n *node) start() {
	if n.up {
		return
	}
	if n.w.log.stage != "" {
		n.w.count("met: a node that joined while " + string(n.w.log.stage))
	}
	n.life++
	n.up, n.stopped, n.woke, n.settled, n.closed, n.receipt, n.looked = true, false, nil, n.w.now, 0, 0, ""
	n.early = n.w.set.Wrong == ReadyEarly
	n.floor = n.w.log.machine.Number()
	n.holder = rollout.NewLeaseHolder(n.name, uint64(n.life), n.w.set.Lease, false)
	n.step()
}

// relieve starts a node, and has another go down in its place for a while.
func (n *node) relieve() {
	n.start()
	other := n.w.nodes[n.w.luck.IntN(len(n.w.nodes))]
	if n.w.healed || !other.up || other == n {
		return
	}
	other.kill()
	n.w.after(n.w.set.Length*n.w.between(0.3, 0.6), other.relieve)
}

// run has the process do something, once it is not stopped any more.
func (n *node) run(life int, do func()) {
	switch {
	case n.life != life || !n.up:
	case n.stopped:
		n.woke = append(n.woke, func() { n.run(life, do) })
	default:
		n.settle()
		do()
	}
}

func (n *node) after(ms float64, do func()) {
	life := n.life
	n.w.after(ms, func() { n.run(life, do) })
}

// step reports, as the gate's does.
func (n *node) step() {
	report := n.holder.Report()
	life := n.life
	c := &command{node: n, report: &report, asked: n.clock()}
	c.told = func(c *command) {
		n.run(life, func() {
			if !c.over {
				c.over = true
				n.obey(c)
			}
		})
	}
	n.send(c)
	n.after(n.w.set.Lease/n.rate, func() {
		if !c.over {
			c.over = true
			n.lapse()
			n.after(n.holder.RetryAfter(), n.step)
		}
	})
}

func (n *node) lapse() {
	if n.holder.Lapsed(n.clock()) {
		n.w.count("met: a lease that ran out")
		n.sound = false
	}
}

// send sends a command until it is told or given up. One in some hundred comes later than that.
func (n *node) send(c *command) {
	if c.over {
		return
	}
	wait := n.w.between(0.2, 1) + n.slow*n.w.luck.Float64()
	if n.w.set.Faults > 0 && !n.w.healed && n.w.luck.IntN(300) == 0 {
		n.w.count("met: a report that came late")
		wait += n.w.between(100, late)
	}
	if !n.out {
		n.w.after(wait, func() { n.w.log.hear(c) })
	}
	n.after(again, func() { n.send(c) })
}

// obey does what the fleet says.
func (n *node) obey(c *command) {
	n.lapse()
	n.early = false
	o := c.order
	if n.w.set.Wrong == LongLease {
		o.Lease *= 4
	}
	s := n.holder.ApplyOrder(c.asked, o)
	if s.Renewed {
		n.w.count("met: a lease renewed")
	}
	if s.Known {
		if number, _, _ := n.holder.InForce(); number < n.floor {
			n.w.fault("%s is ready under number %d, and %d held when it started", n.name, number, n.floor)
		}
	}
	switch {
	case s.Activate:
		n.take(s.Number, s.Hash)
	case s.Look != "":
		n.look(s.Look)
	default:
		n.rest(s.Pause, s.Wait)
	}
}

// rest lets the time until the next report pass, or waits for a hint meanwhile, as the gate's does.
func (n *node) rest(pause, most float64) {
	if most <= 0 {
		n.after(pause*n.w.between(0.75, 1.25), n.step)
		return
	}
	life, over, due := n.life, false, n.w.now+most*n.w.between(0.75, 1.25)
	heard := func(news rollout.Progress, ok bool) {
		n.run(life, func() {
			switch {
			case over:
				return
			case ok:
				n.hear(news)
			default:
				n.rest(pause, 0)
			}
			over = true
		})
	}
	var wait func()
	wait = func() {
		if over {
			return
		}
		n.w.log.wait(&hintWait{n, n.holder.Known(), heard})
		if n.w.set.Wrong == HintAlone {
			return
		}
		if again := n.w.now + n.holder.RetryAfter(); again < due {
			n.after(again-n.w.now, wait)
			return
		}
		n.after(due-n.w.now, func() {
			if !over {
				over = true
				n.step()
			}
		})
	}
	wait()
}

// hear takes a hint.
func (n *node) hear(news rollout.Progress) {
	if n.w.set.Wrong == HintRenews {
		n.holder.ApplyOrder(n.clock(), rollout.Order{Number: news.Number, Lease: n.w.set.Lease, Change: news.Change, Stage: news.Stage})
	}
	s := n.holder.ApplyHint(news)
	switch {
	case s.Activate:
		n.w.count("met: a number taken by a hint")
		n.take(s.Number, s.Hash)
		return
	case s.Paused:
		n.w.count("met: calls held by a hint")
	}
	n.rest(s.Pause, 0)
}

// ask has a document found, for a lease at the longest, or failed is done.
func (n *node) ask(number uint64, id string, found func(d rollout.Document, ok bool)) {
	var d rollout.Document
	ok, over := false, false
	n.w.log.read(n, func(m *rollout.Machine) { d, ok = m.FindDocument(number, id) }, func() {
		n.after(0, func() {
			if !over {
				over = true
				found(d, ok)
			}
		})
	})
	n.after(n.w.set.Lease/n.rate, func() {
		if !over {
			over = true
			found(d, false)
		}
	})
}

// cannot tells why the node cannot take a document.
func (n *node) cannot(text string) error {
	if strings.HasSuffix(text, " not for "+n.name) {
		return errors.New("it does not suit")
	}
	return nil
}

func (n *node) look(id string) {
	n.ask(0, id, func(d rollout.Document, ok bool) {
		n.after(n.w.between(0.1, 2)+n.slow, func() {
			err := n.cannot(d.Text)
			if ok && err != nil {
				n.w.count("met: a proposal that a node cannot take")
			}
			if ok {
				n.looked = d.Text
			}
			if ok && n.w.set.Wrong == OnReceipt {
				holds, _, _ := n.holder.InForce()
				n.receipt = holds + 1
			}
			n.after(n.holder.RecordValidation(id, !ok, err), n.step)
		})
	})
}

func (n *node) take(number uint64, hash string) {
	done := func(d rollout.Document) {
		n.after(n.w.between(0.1, 2)+n.slow, func() {
			if d.Text != n.w.texts[number] {
				n.w.fault("%s takes %q as number %d", n.name, d.Text, number)
			}
			if n.cannot(d.Text) != nil {
				n.w.count("met: a node that cannot take what holds")
				n.after(n.holder.RecordActivationFailure(number), n.step)
				return
			}
			if n.stopping > 0 && number >= n.stopping+3 {
				n.w.count("met: a node that woke three numbers on")
			}
			if n.disk != number && n.life > 1 && n.holder.Report().InForce == 0 {
				n.w.count("met: a node that came back with another number")
			}
			if n.missed > 0 && number > n.missed+1 {
				n.w.count("met: a node that died after it looked and came back after the next change but one")
			}
			n.stopping, n.missed, n.disk, n.receipt = 0, 0, number, 0
			n.holder.RecordActivation(number, d.Hash)
			n.step()
		})
	}
	if number == 0 {
		done(rollout.Document{})
		return
	}
	if hash == rollout.Hash(n.looked) { // as the gate's does
		done(rollout.Document{Text: n.looked, Hash: hash})
		return
	}
	n.ask(number, "", func(d rollout.Document, ok bool) {
		if !ok {
			n.after(n.holder.RetryAfter(), n.step)
			return
		}
		done(d)
	})
}

func (n *node) kill() {
	n.settle()
	n.up, n.stopped, n.sound, n.missed = false, false, false, 0
	if id := n.w.log.machine.ChangeID(); id != "" && n.holder.Report().Validated == id {
		n.missed = n.w.log.machine.Number() + 1
	}
	n.w.count("fault: a node killed")
	n.w.log.met("a node killed")
}

func (n *node) stop() {
	n.settle()
	n.stopped, n.sound = true, false
	n.stopping, _, _ = n.holder.InForce()
}

// wake lets a stopped process go on with all that came meanwhile.
func (n *node) wake() {
	if !n.up || !n.stopped {
		return
	}
	n.stopped, n.settled = false, n.w.now
	held := n.woke
	n.woke = nil
	for _, do := range held {
		n.w.after(0.01, do) // calls may begin before
	}
}
