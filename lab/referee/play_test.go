package referee_test

import (
	"container/heap"
	"math"

	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/referee"
	"linenwheel.dev/linenwheel/lab/world"
)

// player plays a day in virtual time with nodes that send to the rater that holds least of their own requests: a right
// one by default, and wrong on purpose where a field below says so. Links cost no time.
type player struct {
	day   *world.Day
	fleet *world.Fleet
	see   func(record.Event)

	repeatUnsafe, ignoreDrains, floodCold, lieRefusing bool

	now      float64
	timers   timers
	nodes    []map[int]world.Entry // what each has been told
	held     []map[int]int
	calls    map[uint64]*call // by tag
	tag      uint64
	arrivals map[uint64]*world.Arrival
}

// call is a try with the one relay that it has out at a time.
type call struct {
	client  world.Client
	try     world.Try
	arrival *world.Arrival
	node    int
	tries   int // relays
	rater   int
	tag     uint64
	ticket  world.Ticket
	over    bool
}

type timer struct {
	at  float64
	seq int
	do  func()
}
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (p *player) after(at float64, do func()) {
	p.tag++
	heap.Push(&p.timers, timer{at, int(p.tag), do})
}

func (p *player) saw(e record.Event) {
	e.At = p.now
	p.see(e)
}

func play(day *world.Day, p *player) (*referee.Judgement, error) {
	ref := referee.New(day)
	p.day, p.calls, p.arrivals = day, map[uint64]*call{}, map[uint64]*world.Arrival{}
	if p.see == nil {
		p.see = ref.Take
	}
	for n := range day.Nodes {
		p.nodes, p.held = append(p.nodes, map[int]world.Entry{}), append(p.held, map[int]int{})
		p.saw(record.Event{Kind: record.NodeStarted, Node: int16(n), Rater: record.None})
	}
	p.fleet = world.NewFleet(day, p)
	for n := range p.nodes {
		for _, e := range p.fleet.Discovery.List(nil, p.fleet.Discovery.Has(n)) {
			p.nodes[n][e.Rater] = e
		}
	}
	stream := day.Arrivals()
	var next world.Arrival
	more := stream.Next(&next)
	for {
		t := p.fleet.Next()
		if len(p.timers) > 0 {
			t = min(t, p.timers[0].at)
		}
		if more {
			t = min(t, next.At)
		}
		if t == math.Inf(1) || t > day.Length+10_000 {
			break
		}
		p.fleet.Advance(t)
		p.now = t
		for len(p.timers) > 0 && p.timers[0].at <= t {
			heap.Pop(&p.timers).(timer).do()
		}
		if more && next.At <= t {
			a := next
			over := uint8(0)
			if a.Over {
				over = 1
			}
			p.saw(record.Event{Kind: record.Due, Number: uint32(a.Number), Class: uint8(a.Class), Partner: uint8(a.Partner), Work: float32(a.Work),
				How: over, Node: record.None, Rater: record.None})
			c := &call{client: day.NewClient(&a), arrival: &a}
			p.send(c, c.client.First(day))
			more = stream.Next(&next)
		}
	}
	return ref.Finish()
}

func (p *player) send(c *call, try world.Try) {
	c.try, c.node, c.over, c.tries = try, int(c.arrival.Number+uint64(try.Number))%p.day.Nodes, false, 0
	p.saw(record.Event{Kind: record.Sent, Request: try.ID, Number: uint32(c.arrival.Number), Node: int16(c.node), Rater: record.None,
		Class: uint8(c.arrival.Class), Partner: uint8(c.arrival.Partner), How: uint8(try.Number), Value: c.arrival.Number + 77, Extra: uint64(try.Limit)})
	p.after(try.LeaveAt, func() {
		if !c.over && c.try.ID == try.ID {
			p.end(c, record.Left, world.GivenUp, 0)
		}
	})
	p.relay(c)
}

// relay sends to the best rater, or refuses.
func (p *player) relay(c *call) {
	best, least := -1, math.Inf(1)
	for n := range p.day.Raters {
		e, ok := p.nodes[c.node][n]
		if !ok || e.State != world.Ready && !p.ignoreDrains || p.fleet.Rater(n).Mode() >= world.Down {
			continue // a real node would learn the last by a refused connection
		}
		spec := &p.day.Raters[n]
		score := float64(p.held[c.node][n]) / spec.Weight
		if e.Since > 0 && p.now-e.Since < 24_000 { // starting: one request at a time, or all there are
			if score = 0; p.held[c.node][n] > 0 && !p.floodCold {
				continue
			}
		}
		if score < least {
			best, least = n, score
		}
	}
	if best < 0 {
		p.end(c, record.Got, world.Refused, 503)
		return
	}
	p.tag++
	c.tries++
	c.rater, c.tag = best, p.tag
	p.calls[c.tag] = c
	p.held[c.node][best]++
	work, wait, luck := p.day.Cost(c.arrival, c.tag)
	e := record.Event{Kind: record.FirstByte, Request: c.try.ID, Number: uint32(c.tag), Node: int16(c.node), Rater: int16(best)}
	p.saw(e)
	e.Kind, e.Value, e.Extra, e.Work = record.Whole, c.arrival.Number+77, c.arrival.Key, float32(work)
	p.saw(e)
	tag := c.tag
	c.ticket = p.fleet.Offer(p.now, best, world.Attempt{Tag: tag, Key: c.arrival.Key, Deadline: c.try.LeaveAt, Work: work, Wait: wait, Again: 1, Luck: luck})
	if p.repeatUnsafe {
		p.after(p.now+1000, func() { // "it must be lost by now"
			if c.tag == tag && !c.over && c.tries < 3 {
				p.relay(c)
			}
		})
	}
}

func (p *player) end(c *call, kind record.Kind, how world.How, status int) {
	c.over = true
	e := record.Event{Kind: kind, Request: c.try.ID, Number: uint32(c.arrival.Number), Node: int16(c.node), Rater: record.None, Extra: uint64(status)}
	if kind == record.Got {
		e.How = uint8(how)
	}
	if how == world.Served {
		e.Value = c.try.ID ^ 99
	}
	p.saw(e)
	next, again := c.client.Ended(p.day, p.now, c.try, how, 0)
	if !again {
		p.saw(record.Event{Kind: record.Settled, Number: uint32(c.arrival.Number), How: uint8(how), Node: record.None, Rater: record.None})
		return
	}
	p.after(next.At, func() { p.send(c, next) })
}

// Rater, Step and Told hear the fleet.
func (p *player) Rater(rater int, e world.Event) {
	p.now = e.At
	r := record.Event{Rater: int16(rater), Node: record.None, Number: uint32(e.Tag)}
	switch e.What {
	case world.Warm:
		r.Kind = record.RaterWarm
		p.saw(r)
		return
	case world.Fell:
		r.Kind, r.How = record.RaterDown, 1
		p.saw(r)
		p.lost(rater)
		return
	}
	c := p.calls[e.Tag]
	r.Request = c.try.ID
	if e.What == world.Began {
		r.Kind = record.Ran
		p.saw(r)
		return
	}
	delete(p.calls, e.Tag)
	p.held[c.node][rater]--
	r.Kind, r.How = record.Answered, record.AnswerServed
	switch e.What {
	case world.Turned:
		r.How = record.AnswerTurned
	case world.Failed:
		r.How = record.AnswerError
	default:
		r.Value = c.try.ID ^ 99
	}
	p.saw(r)
	if c.over || c.tag != e.Tag {
		return
	}
	switch {
	case e.What == world.Turned || p.lieRefusing && e.What == world.Failed:
		p.end(c, record.Got, world.Refused, 503)
	case e.What == world.Failed:
		p.end(c, record.Got, world.Broke, 502)
	default:
		p.end(c, record.Got, world.Served, 200)
	}
}

// lost tells of what a rater held when its process ended.
func (p *player) lost(rater int) {
	for tag := uint64(1); tag <= p.tag; tag++ {
		c := p.calls[tag]
		if c == nil || c.rater != rater {
			continue
		}
		delete(p.calls, tag)
		p.held[c.node][rater]--
		p.saw(record.Event{Kind: record.Cut, Request: c.try.ID, Number: uint32(tag), Rater: int16(rater), Node: record.None, How: record.CutByRater})
		if !c.over && c.tag == tag {
			p.after(p.now, func() { p.end(c, record.Got, world.Broke, 502) })
		}
	}
}

func (p *player) Step(s world.Step) {
	p.now = s.At
	e := record.Event{Rater: int16(s.Rater), Node: record.None}
	switch s.Do {
	case world.StartRater:
		e.Kind, e.Work, e.Extra = record.RaterUp, float32(p.day.Raters[s.Rater].Capacity()), uint64(s.Size*1e6)
	case world.DrainRater:
		e.Kind = record.RaterDraining
	case world.EndRater, world.HideRater:
		e.Kind = record.RaterDown
	default:
		return
	}
	p.saw(e)
	if e.Kind == record.RaterDown {
		p.lost(s.Rater)
	}
}

func (p *player) Told(c world.Change) {
	p.now = c.At
	for _, e := range p.fleet.Discovery.Since(c.From, c.Upto) {
		p.nodes[c.Node][e.Rater] = e
		p.saw(record.Event{Kind: record.Told, Node: int16(c.Node), Rater: int16(e.Rater), How: uint8(e.State), Value: math.Float64bits(e.Since)})
	}
}
