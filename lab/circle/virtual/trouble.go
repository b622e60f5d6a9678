package virtual

import (
	"slices"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// trouble makes one fault, of a kind that chance draws, and its end.
func (w *world) trouble() {
	if w.over {
		return
	}
	kinds := []func(){w.kill, w.killAll, w.cutOff, w.cutOneWay, w.slowLinks, w.lossy, w.slowDisk, w.pause, w.replace, w.clockJump, w.flicker}
	if len(w.nodes) > 0 { // windows hold while clocks go on evenly
		kinds = []func(){w.kill, w.killAll, w.cutOff, w.cutOneWay, w.slowLinks, w.lossy, w.slowDisk, w.pause, w.replace, w.flicker,
			w.nodeKill, w.nodePause, w.nodeCut, w.nodeKill, w.nodePause, w.nodeCut, w.nodeTakeOver}
	}
	kinds[w.luck.IntN(len(kinds))]()
}

// some draws a member that is up, preferably the one that leads.
func (w *world) some() *simulatedMember {
	var up []*simulatedMember
	for _, m := range w.members {
		if m.group == nil {
			continue
		}
		if m.group.Leads() && w.luck.IntN(2) == 0 {
			w.counts["met: a fault of the leader"]++
			return m
		}
		up = append(up, m)
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.luck.IntN(len(up))]
}

func (m *simulatedMember) crash() {
	if m.group != nil {
		m.group = nil
		m.life++
	}
}

func (w *world) kill() {
	m := w.some()
	if m == nil {
		return
	}
	w.counts["fault: a member killed"]++
	m.crash()
	w.after(w.luck.Float64()*1500, func() {
		if m.group == nil && w.ids[m.id] == m {
			m.start()
		}
	})
}

func (w *world) killAll() {
	w.counts["fault: all killed at once"]++
	for _, m := range w.members {
		if m.group == nil {
			continue
		}
		m.crash()
		w.after(50+w.luck.Float64()*600, func() {
			if m.group == nil && w.ids[m.id] == m {
				m.start()
			}
		})
	}
}

// between changes links of a member for a while.
func (w *world) between(out, in bool, change func(*wire), back func(*wire)) {
	m := w.some()
	if m == nil {
		return
	}
	var links []*wire
	for _, other := range w.members {
		if other != m && out {
			links = append(links, w.wire(m.id, other.id))
		}
		if other != m && in {
			links = append(links, w.wire(other.id, m.id))
		}
	}
	for _, l := range links {
		change(l)
	}
	w.after(100+w.luck.Float64()*2000, func() {
		for _, l := range links {
			back(l)
		}
	})
}

func mend(l *wire) { *l = wire{} }

func (w *world) cutOff() {
	w.counts["fault: a member cut off"]++
	w.between(true, true, func(l *wire) { l.cut = true }, mend)
}

func (w *world) cutOneWay() {
	w.counts["fault: a member cut off one way"]++
	out := w.luck.IntN(2) == 0
	w.between(out, !out, func(l *wire) { l.cut = true }, mend)
}

func (w *world) slowLinks() {
	w.counts["fault: slow links"]++
	late := 20 + w.luck.Float64()*300
	w.between(true, true, func(l *wire) { l.delay = late }, mend)
}

func (w *world) lossy() {
	w.counts["fault: links that lose"]++
	w.between(true, true, func(l *wire) { l.loss = 0.3 }, mend)
}

func (w *world) slowDisk() {
	if m := w.some(); m != nil {
		w.counts["fault: a slow disk"]++
		m.slow = m.always + 50 + w.luck.Float64()*500
		w.after(1000, func() { m.slow = m.always })
	}
}

func (w *world) pause() {
	m := w.some()
	if m == nil || m.paused {
		return
	}
	w.counts["fault: a member stopped for a while"]++
	m.paused = true
	life := m.life
	w.after(200+w.luck.Float64()*3000, func() {
		if m.life != life || !m.paused {
			return
		}
		m.paused = false
		held := m.held
		m.held = nil
		for _, do := range held {
			do()
		}
	})
}

// flicker has members restart right after each vote for a while, on slow links, and takes the leader away so that there are
// votes: whoever asks for the same term's vote again must not get it.
func (w *world) flicker() {
	m := w.some()
	if m == nil || !m.group.Leads() {
		return
	}
	w.counts["fault: voters that restart at once"]++
	w.flickers = w.now + 2500
	for _, from := range w.members {
		for _, to := range w.members {
			l := w.wire(from.id, to.id)
			l.delay = 5 + w.luck.Float64()*60
			w.after(2500, func() { mend(l) })
		}
	}
	m.crash()
	w.after(300, func() {
		if m.group == nil && w.ids[m.id] == m {
			m.start()
		}
	})
}

func (w *world) clockJump() {
	if m := w.some(); m != nil {
		w.counts["fault: a clock that jumps"]++
		m.skew += 3.6e6
	}
}

// replace burns a member with its disk and puts an empty machine in its place, as the operators' command does.
func (w *world) replace() {
	old := w.some()
	if old == nil || slices.ContainsFunc(w.members, func(m *simulatedMember) bool { return m.group == nil }) {
		return // one loss at a time: a majority could live
	}
	if !w.knows(old.id) || w.burnt {
		return
	}
	w.burnt = true
	w.counts["fault: a machine burnt and replaced"]++
	old.crash()
	delete(w.ids, old.id)
	w.members = slices.DeleteFunc(w.members, func(m *simulatedMember) bool { return m == old })
	m := w.join(old.name)
	m.start()
	w.enrol(m, old.id)
}

// enrol asks whoever leads to take a member in, until it is.
func (w *world) enrol(m *simulatedMember, in uint64) {
	for _, lead := range w.members {
		if lead.group == nil || lead.paused || !lead.group.Leads() {
			continue
		}
		if have, ok := lead.group.State().Members().Get(m.id); ok && have.Role == statemachine.Voter && !lead.group.Changing() {
			w.counts["met: a replacement that votes"]++
			w.burnt = false
			return
		} else if !ok {
			lead.run(func() {
				_ = lead.group.AddLearner(statemachine.Member{ID: m.id, Name: m.name, Address: m.name, Replaces: in, ReadsVersion: w.set.Speaks}) // it is tried again
			})
		}
	}
	w.after(150, func() { w.enrol(m, in) })
}

func (w *world) node() *node { return w.nodes[w.luck.IntN(len(w.nodes))] }

func (w *world) nodeKill() { w.node().kill() }

func (w *world) nodeTakeOver() {
	if w.charges != nil {
		w.node().takeOver()
	}
}

func (w *world) nodePause() { w.node().pause(50 + w.luck.Float64()*2.5*claimFor) }

// nodeCut cuts a node off from all members, both ways or one.
func (w *world) nodeCut() {
	n := w.node()
	kind := w.luck.IntN(3)
	w.counts[[]string{"fault: a node cut off from members", "fault: a node that members do not hear", "fault: a node that does not hear members"}[kind]]++
	n.mute, n.deaf = n.mute || kind != 2, n.deaf || kind != 1
	w.after(100+w.luck.Float64()*1500, func() { n.mute, n.deaf = false, false })
}

// heal ends all faults.
func (w *world) heal() {
	w.over = true
	for _, n := range w.nodes {
		n.mute, n.deaf = false, false
		if n.paused {
			n.wake()
		}
	}
	for _, l := range w.links {
		mend(l)
	}
	for _, m := range w.members {
		m.slow = m.always
		if m.paused {
			m.paused = false
			held := m.held
			m.held = nil
			for _, do := range held {
				do()
			}
		}
		if m.group == nil {
			m.start()
		}
	}
}
