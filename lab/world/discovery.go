package world

import "math"

// State is what discovery says of a rater.
type State uint8

// The states.
const (
	Ready       State = iota // its process runs
	Terminating              // it finishes what it has and wants nothing new
	Gone                     // only among changes
)

// Entry is a line of the list.
type Entry struct {
	Rater   int // place in Day.Raters
	State   State
	Since   float64 // when it last started, ms of the day; 0 = long ago
	Version uint64  // of the change that made it so
}

// Change is that a node has been told, or counts as told.
type Change struct {
	At     float64
	Node   int
	From   uint64 // versions above From
	Upto   uint64 // up to this one
	Counts bool   // it only counts as told, since it was to be told long ago
}

// Discovery is the list of raters and how late each node hears of its changes.
//
// A change of the truth is noticed after a delay of its kind, published with the next period and reaches each node a
// little later. Discovery that is cut off tells nothing; once mended it tells all at once.
type Discovery struct {
	day   *Day
	queue []pending // binary heap
	log   []Entry   // changes in order of version: log[i].Version == i+1
	due   []float64 // when each change was published
	state []Entry   // of each rater as published; Version 0 = never listed
	has   []uint64  // version that each node's agent has
	told  []uint64  // version that each node has been told or counts as told
	cut   int       // troubles that cut it off from all nodes
	stale []int     // and from each
	seq   uint64
}

type pending struct {
	at   float64
	seq  uint64
	kind uint8
	node int32
	upto uint64
	e    Entry
}

const (
	publish uint8 = iota
	deliver
	count
)

// NewDiscovery makes the list as it is before the day: every rater of the start is ready since long ago, and every node
// knows it.
func NewDiscovery(day *Day) *Discovery {
	d := &Discovery{day: day, has: make([]uint64, day.Nodes), told: make([]uint64, day.Nodes),
		stale: make([]int, day.Nodes), state: make([]Entry, len(day.Raters))}
	for i := range day.AtStart {
		d.log = append(d.log, Entry{Rater: i, State: Ready, Version: uint64(i + 1)})
		d.due = append(d.due, 0)
		d.state[i] = d.log[i]
	}
	for i := range d.has {
		d.has[i], d.told[i] = uint64(day.AtStart), uint64(day.AtStart)
	}
	return d
}

// Note says that the truth has changed: a rater started (Ready), drains or ended. silent: its machine says nothing,
// which is noticed later.
func (d *Discovery) Note(now float64, rater int, s State, silent bool) {
	l := &d.day.Lateness
	wait := l.Notice
	switch {
	case s == Ready:
		wait = l.Add
	case silent:
		wait = l.NoticeSilent
	}
	e := Entry{Rater: rater, State: s}
	if s == Ready {
		e.Since = now
	}
	at := math.Ceil((now+wait)/l.Period) * l.Period
	d.push(pending{at: at, kind: publish, e: e})
}

// Cut and Mend cut it off from a node (-1: all) and end that.
func (d *Discovery) Cut(node int) { d.sever(node, 1) }

// Mend ends a Cut.
func (d *Discovery) Mend(now float64, node int) {
	d.sever(node, -1)
	for n := range d.has {
		if (node < 0 || node == n) && d.has[n] < uint64(len(d.log)) {
			d.push(pending{at: now + d.lag(n, uint64(len(d.log))), kind: deliver, node: int32(n), upto: uint64(len(d.log))})
		}
	}
}

func (d *Discovery) sever(node, by int) {
	if node < 0 {
		d.cut += by
	} else {
		d.stale[node] += by
	}
}

// Reached tells whether discovery is cut off from a node.
func (d *Discovery) Reached(node int) bool { return d.cut == 0 && d.stale[node] == 0 }

func (d *Discovery) lag(node int, version uint64) float64 {
	return d.day.Lateness.Spread * unit(hash(hash(d.day.Seed, uint64(node)+0xd15c), version))
}

// Next is when it wants to be advanced; +Inf = never.
func (d *Discovery) Next() float64 {
	if len(d.queue) == 0 {
		return inf
	}
	return d.queue[0].at
}

// Advance lets all happen until now. tell is called for each node that hears of something: in virtual time the node has
// been told then; on sockets its agent has it and tells it over the watch.
func (d *Discovery) Advance(now float64, tell func(Change)) {
	for len(d.queue) > 0 && d.queue[0].at <= now {
		p := d.pop()
		switch p.kind {
		case publish:
			d.publish(p)
		case deliver:
			n := int(p.node)
			if p.upto <= d.has[n] {
				break
			}
			if !d.Reached(n) { // Mend brings it
				at := max(p.at, d.due[p.upto-1]+d.day.Lateness.CountsAfter)
				d.push(pending{at: at, kind: count, node: p.node, upto: p.upto})
				break
			}
			from := d.has[n]
			d.has[n], d.told[n] = p.upto, max(d.told[n], p.upto)
			tell(Change{At: p.at, Node: n, From: from, Upto: p.upto})
		case count:
			n := int(p.node)
			if from := d.told[n]; from < p.upto {
				d.told[n] = p.upto
				tell(Change{At: p.at, Node: n, From: from, Upto: p.upto, Counts: true})
			}
		}
	}
}

// publish takes a change into the list, and those of the same moment with it.
func (d *Discovery) publish(p pending) {
	for {
		if old := d.state[p.e.Rater]; old.Version == 0 || old.State != p.e.State || old.Since != p.e.Since {
			if p.e.State != Ready {
				p.e.Since = old.Since
			}
			p.e.Version = uint64(len(d.log)) + 1
			d.log, d.due = append(d.log, p.e), append(d.due, p.at)
			d.state[p.e.Rater] = p.e
		}
		if len(d.queue) == 0 || d.queue[0].at != p.at || d.queue[0].kind != publish {
			break
		}
		p = d.pop()
	}
	upto := uint64(len(d.log))
	for n := range d.has {
		d.push(pending{at: p.at + d.lag(n, upto), kind: deliver, node: int32(n), upto: upto})
	}
}

// Has is the version of the list that a node's agent has; 0 is the empty list.
func (d *Discovery) Has(node int) uint64 { return d.has[node] }

// Since gives the changes above one version up to another, oldest first. The slice is the Discovery's own.
func (d *Discovery) Since(from, upto uint64) []Entry { return d.log[min(from, upto):upto] }

// List appends the whole list as of a version to into, in order of raters; those that are gone are not in it.
func (d *Discovery) List(into []Entry, upto uint64) []Entry {
	last := make([]Entry, len(d.state))
	for _, e := range d.log[:upto] {
		last[e.Rater] = e
	}
	for _, e := range last {
		if e.Version > 0 && e.State != Gone {
			into = append(into, e)
		}
	}
	return into
}

// less puts changes of a moment before deliveries, so that they go out together.
func (p *pending) less(q *pending) bool {
	if p.at != q.at {
		return p.at < q.at
	}
	return p.kind < q.kind || p.kind == q.kind && p.seq < q.seq
}

func (d *Discovery) push(p pending) {
	d.seq++
	p.seq = d.seq
	d.queue = append(d.queue, p)
	for i := len(d.queue) - 1; i > 0; {
		up := (i - 1) / 2
		if !d.queue[i].less(&d.queue[up]) {
			break
		}
		d.queue[i], d.queue[up] = d.queue[up], d.queue[i]
		i = up
	}
}

func (d *Discovery) pop() pending {
	top, last := d.queue[0], len(d.queue)-1
	d.queue[0] = d.queue[last]
	d.queue = d.queue[:last]
	for i := 0; ; {
		c := 2*i + 1
		if c >= last {
			return top
		}
		if c+1 < last && d.queue[c+1].less(&d.queue[c]) {
			c++
		}
		if !d.queue[c].less(&d.queue[i]) {
			return top
		}
		d.queue[i], d.queue[c] = d.queue[c], d.queue[i]
		i = c
	}
}
