package virtual

import (
	"fmt"
	"slices"
	"strings"

	"linenwheel.dev/linenwheel/internal/node/rollout"
)

const (
	keepers  = 5
	cost     = 0.2   // ms of a command at the leader: one agrees 5,000 a second (docs/measurements/peers.md)
	readCost = 0.05  // ms of a question
	waitCost = 0.025 // ms of a wait for a hint that comes, and as much of the hint: it is a question without its round
	again    = 400.0 // ms after which a command that was not told is sent again
)

// command is one for the log, with its reply once it is applied: sent again it gets the same.
type command struct {
	node    *node // nil = an operator's
	report  *rollout.Report
	propose *rollout.Proposal
	asked   float64 // on the node's clock
	order   rollout.Order
	outcome rollout.Outcome
	stamp   float64
	epoch   int
	applied bool
	over    bool
	told    func(*command)
}

// agreed is the log as its clients see it: a leader of five keepers that stamps commands with the group's time, takes its time for
// each, agrees them in order, and dies. What it had not agreed is lost or agreed by the next one, in order; what it had agreed and
// not told is told to whoever asks again.
type agreed struct {
	w        *world
	machine  *rollout.Machine
	rates    [keepers]float64 // of the keepers' clocks
	leader   int              // -1 = none
	epoch    int
	base     float64 // the group's time
	at       float64 // when the leader had it
	time     float64 // the last stamp applied
	applied  float64 // and when
	busy     float64
	next     float64 // when the last entry will be agreed
	pending  []*command
	waits    []*hintWait        // one a node
	news     []rollout.Progress // all that were agreed, one after the other
	old      [keepers]bool      // of the release before, which knows no waits
	deaf     bool               // the leader's answers are lost
	disk     float64            // ms that an entry takes more
	stage    rollout.Stage
	pausedAt float64
	heldAt   float64            // when the number came to hold
	late     map[string]bool    // members that said their first word while calls were held: nobody asks them
	live     map[string]float64 // until when each member is live
}

// met counts in which step of a change a fault came.
func (l *agreed) met(what string) {
	switch {
	case l.stage != "":
		l.w.count("met: " + what + " while " + string(l.stage))
	case l.heldAt > 0 && l.w.now-l.heldAt < 30:
		l.w.count("met: " + what + " just after a number held")
	}
}

func newAgreed(w *world) *agreed {
	l := &agreed{w: w, machine: rollout.New(), base: 5e5, at: w.now, time: 5e5, applied: w.now, late: map[string]bool{}, live: map[string]float64{}}
	for i := range l.rates {
		l.rates[i] = w.between(0.995, 1.005)
		l.old[i] = w.set.Faults > 0 && w.luck.IntN(4) == 0
	}
	l.news = []rollout.Progress{l.machine.Progress()}
	return l
}

// ask is an operator's command, sent until it is told.
func (l *agreed) ask(c *command) {
	if c.over {
		return
	}
	l.w.after(l.w.between(0.2, 2), func() { l.hear(c) })
	l.w.after(again, func() { l.ask(c) })
}

// hear is a command at the leader.
func (l *agreed) hear(c *command) {
	switch {
	case l.leader < 0:
		return
	case c.applied:
		l.w.count("met: a command told again")
		l.tell(c)
		return
	case c.epoch == l.epoch+1: // it is under way
		return
	}
	c.epoch = l.epoch + 1
	c.stamp = l.base + (l.w.now-l.at)*l.rates[l.leader]
	l.busy = max(l.busy, l.w.now) + cost
	l.next = max(l.next, l.busy+l.w.between(0.4, 2)+l.disk)
	l.pending = append(l.pending, c)
	epoch := l.epoch
	l.w.after(l.next-l.w.now, func() {
		if l.epoch == epoch {
			l.pending = l.pending[1:]
			l.apply(c)
			l.tell(c)
		}
	})
}

// apply has the machine carry a command out.
func (l *agreed) apply(c *command) {
	l.time, l.applied = max(l.time, c.stamp), l.w.now
	before := l.machine.Number()
	if c.report != nil {
		var err error
		if c.order, err = l.machine.Report(l.time, *c.report); err != nil {
			l.w.fault("%s: %v", c.report.Node, err)
		}
		l.noteLate(c.report)
	} else {
		c.outcome = l.machine.Propose(l.time, *c.propose)
	}
	c.applied = true
	l.watch(before, c)
	if now := l.machine.Progress(); now != l.news[len(l.news)-1] {
		l.news = append(l.news, now)
		l.hint()
	}
}

// hintWait is a wait for a hint.
type hintWait struct {
	node  *node
	known rollout.Progress
	heard func(n rollout.Progress, ok bool)
}

// wait has heard told once how far the fleet is, if that is not what is known; not ok = the keeper does not tell. Either may be lost.
func (l *agreed) wait(x *hintWait) {
	l.w.after(l.w.between(0.2, 1)+x.node.slow*l.w.luck.Float64(), func() {
		if l.leader < 0 || x.node.out {
			return
		}
		l.busy = max(l.busy, l.w.now) + waitCost
		epoch := l.epoch
		l.w.after(l.busy-l.w.now, func() {
			switch {
			case l.epoch != epoch:
			case l.old[l.leader]:
				l.w.count("met: a wait that a keeper of the release before refused")
				l.told(x, rollout.Progress{}, false)
			case l.machine.Progress() != x.known:
				l.told(x, l.machine.Progress(), true)
			default:
				l.waits = append(slices.DeleteFunc(l.waits, func(earlier *hintWait) bool { return earlier.node == x.node }), x)
			}
		})
	})
}

// hint tells those who wait.
func (l *agreed) hint() {
	now := l.machine.Progress()
	rest := l.waits[:0]
	for _, x := range l.waits {
		if x.known == now {
			rest = append(rest, x)
			continue
		}
		l.busy = max(l.busy, l.w.now) + waitCost
		l.w.after(l.busy-l.w.now, func() { l.told(x, now, true) })
	}
	l.waits = rest
}

// told passes a hint on: some are lost, late or old.
func (l *agreed) told(x *hintWait, n rollout.Progress, ok bool) {
	if l.deaf && l.w.luck.IntN(4) > 0 || x.node.in {
		return
	}
	late := l.w.between(0.1, 1) + x.node.slow*l.w.luck.Float64()
	if l.w.luck.Float64() < l.w.set.Lost {
		l.w.count("met: a hint that was lost")
		return
	}
	if l.w.luck.Float64() < l.w.set.Stale {
		if l.w.luck.IntN(2) == 0 {
			l.w.count("met: a hint that came late")
			late += l.w.between(10, l.w.set.Lease/4)
		} else {
			l.w.count("met: a hint of what was agreed before")
			n = l.news[max(0, len(l.news)-1-l.w.luck.IntN(12))]
		}
	}
	l.w.after(late, func() {
		if !x.node.in {
			x.heard(n, ok)
		}
	})
}

// noteLate notes who says its first word while calls are held, which that very word may have begun: it found that another's time is over.
func (l *agreed) noteLate(r *rollout.Report) {
	id := fmt.Sprint(r.Node, r.Incarnation)
	if l.machine.Progress().Stage == rollout.Pausing && l.live[id] <= l.time {
		l.late[id] = true
	}
	l.live[id] = max(l.live[id], l.time+r.Lease)
}

// watch holds what the machine did against the words, and strikes at the steps of changes.
func (l *agreed) watch(before uint64, c *command) {
	w := l.w
	stage := rollout.Stage("")
	if id := c.order.Change + c.outcome.ID; id != "" || l.stage != "" {
		if v := l.machine.ChangeID(); v != "" {
			o, _ := l.machine.Outcome(v)
			stage = o.Stage
		}
	}
	if number := l.machine.Number(); number != before {
		d, _ := l.machine.FindDocument(number, "")
		p := w.proposals[d.ID]
		if number != before+1 || p == nil || p.text != d.Text {
			w.fault("number %d came after %d, of %q", number, before, d.ID)
			return
		}
		w.texts[number], l.heldAt = d.Text, w.now
		w.result.Agreed++
		w.result.Changes = append(w.result.Changes, w.now-p.at)
		if at := strings.Index(d.Text, " not for "); at >= 0 {
			for _, m := range l.machine.View().Members { // whoever says its first word with this very command, or while calls were held, was not asked
				if (c.report == nil || c.report.Node != m.Node) && !l.late[fmt.Sprint(m.Node, m.Incarnation)] && m.Node == d.Text[at+len(" not for "):] && m.Live > l.time {
					w.fault("number %d holds, and %s, which is live, cannot take it", number, m.Node)
				}
			}
		}
		if l.w.now-l.pausedAt > w.set.Lease/2 {
			w.count("met: a pause that a lease ended")
		}
	} else if l.stage != "" && stage == "" {
		w.result.Refused++
	}
	if stage != l.stage && stage == rollout.Pausing {
		l.pausedAt = w.now
	}
	if stage != l.stage && !w.healed && w.set.Faults > 0 && w.luck.IntN(2) == 0 {
		w.after(w.between(0, 25), w.trouble)
	}
	if l.stage = stage; stage != rollout.Pausing {
		clear(l.late)
	}
}

// tell passes a reply on, once.
func (l *agreed) tell(c *command) {
	if l.deaf && l.w.luck.IntN(4) > 0 || c.node != nil && c.node.in {
		return
	}
	late := l.w.between(0.1, 1)
	if c.node != nil {
		late += c.node.slow * l.w.luck.Float64()
	}
	l.w.after(late, func() {
		if !c.over && (c.node == nil || !c.node.in) {
			if c.node == nil {
				c.over = true
			}
			c.told(c)
		}
	})
}

// read has a question answered from what holds at some moment between asking and answering.
func (l *agreed) read(n *node, question func(*rollout.Machine), answered func()) {
	l.w.after(l.w.between(0.2, 1)+n.slow*l.w.luck.Float64(), func() {
		if l.leader < 0 || n.out {
			return
		}
		l.busy = max(l.busy, l.w.now) + readCost
		epoch := l.epoch
		l.w.after(l.busy-l.w.now+l.w.between(0.2, 1), func() {
			if l.epoch != epoch || n.in || l.deaf && l.w.luck.IntN(2) == 0 {
				return
			}
			question(l.machine)
			l.w.after(l.w.between(0.1, 1)+n.slow*l.w.luck.Float64(), answered)
		})
	})
}

// die takes the leader away; another comes after an election, with an image of the state and those entries that had reached it.
func (l *agreed) die() {
	if l.leader < 0 {
		return
	}
	l.w.count("fault: a leader killed")
	l.met("a leader killed")
	old := l.leader
	l.leader, l.deaf = -1, false
	if len(l.waits) > 0 {
		l.w.count("met: a leader that died with waits")
	}
	for _, x := range l.waits {
		if l.w.luck.IntN(2) == 0 { // the connection breaks; the others hear nothing
			l.told(x, rollout.Progress{}, false)
		}
	}
	l.waits = nil
	l.epoch++
	reached := l.w.luck.IntN(len(l.pending) + 1)
	pending := l.pending
	l.pending = nil
	l.w.after(l.w.between(200, 1200), func() {
		image, err := l.machine.Freeze()()
		if err == nil {
			l.machine = rollout.New()
			err = l.machine.Load(image)
		}
		if err != nil {
			l.w.fault("the image: %v", err)
		}
		for i, c := range pending {
			if i >= reached {
				l.w.count("met: an entry lost with its leader")
			} else if !c.applied {
				l.w.count("met: an entry agreed after its leader's death")
				l.apply(c)
			}
		}
		l.epoch++
		l.leader = (old + 1 + l.w.luck.IntN(keepers-1)) % keepers
		l.base, l.at, l.busy, l.next = l.time, l.applied, l.w.now, l.w.now
	})
}
