package world

// Sink hears what a [Fleet] does, in order of time. It must not call the Fleet.
type Sink interface {
	// Rater is an event of a rater.
	Rater(rater int, e Event)
	// Step is a step of the plan that has just been carried out (or is for the caller: those about nodes). At a
	// StartRater, EndRater or HideRater all attempts and connections that the rater held are gone.
	Step(s Step)
	// Told is news of the list at a node.
	Told(c Change)
}

// Fleet is all raters and discovery in virtual time: it walks the day's plan and answers Next for everything.
type Fleet struct {
	Discovery *Discovery

	day    *Day
	raters []*Rater
	sink   Sink
	at     int     // next step of the plan
	order  []int32 // binary heap of raters by Next
	pos    []int32
}

// NewFleet makes the fleet at the start of a day.
func NewFleet(day *Day, sink Sink) *Fleet {
	f := &Fleet{Discovery: NewDiscovery(day), day: day, sink: sink}
	keys := NewKeys(day)
	for i := range day.Raters {
		f.raters = append(f.raters, NewRater(&day.Raters[i], keys, func(e Event) { sink.Rater(i, e) }))
		f.order, f.pos = append(f.order, int32(i)), append(f.pos, int32(i))
	}
	return f
}

// Rater gives a rater to look at. What changes it goes through the Fleet.
func (f *Fleet) Rater(n int) *Rater { return f.raters[n] }

// Next is when the fleet wants to be advanced; +Inf = never.
func (f *Fleet) Next() float64 {
	next := min(f.raters[f.order[0]].Next(), f.Discovery.Next())
	if f.at < len(f.day.Plan) {
		next = min(next, f.day.Plan[f.at].At)
	}
	return next
}

// Advance lets all happen until now, in order of time.
func (f *Fleet) Advance(now float64) {
	for {
		t := f.Next()
		if t > now {
			return
		}
		switch {
		case f.at < len(f.day.Plan) && f.day.Plan[f.at].At <= t:
			f.step(f.day.Plan[f.at])
			f.at++
		case f.Discovery.Next() <= t:
			f.Discovery.Advance(t, f.sink.Told)
		default:
			n := f.order[0]
			f.raters[n].Advance(t)
			f.moved(n)
		}
	}
}

func (f *Fleet) step(s Step) {
	switch s.Do {
	case CutDiscovery:
		f.Discovery.Cut(s.Node)
	case MendDiscovery:
		f.Discovery.Mend(s.At, s.Node)
	}
	if s.Rater >= 0 {
		r := f.raters[s.Rater]
		r.Do(s.At, s)
		f.moved(int32(s.Rater))
		if s.At > 0 {
			Announce(f.Discovery, s)
		}
	}
	f.sink.Step(s)
}

// Announce lets discovery know of a step that starts, drains or ends a rater.
func Announce(d *Discovery, s Step) {
	switch s.Do {
	case StartRater:
		d.Note(s.At, s.Rater, Ready, false)
	case DrainRater:
		d.Note(s.At, s.Rater, Terminating, false)
	case EndRater:
		d.Note(s.At, s.Rater, Gone, false)
	case HideRater:
		d.Note(s.At, s.Rater, Gone, true)
	}
}

// Offer is that of [Rater], as Cancel, Connect and Disconnect are. The fleet must have been advanced to now.
func (f *Fleet) Offer(now float64, rater int, a Attempt) Ticket {
	t := f.raters[rater].Offer(now, a)
	f.moved(int32(rater))
	return t
}

// Cancel see [Rater.Cancel].
func (f *Fleet) Cancel(now float64, rater int, t Ticket) {
	f.raters[rater].Cancel(now, t)
	f.moved(int32(rater))
}

// Connect see [Rater.Connect].
func (f *Fleet) Connect(now float64, rater int) Dial {
	d := f.raters[rater].Connect(now)
	f.moved(int32(rater))
	return d
}

// Disconnect see [Rater.Disconnect].
func (f *Fleet) Disconnect(now float64, rater int) {
	f.raters[rater].Disconnect(now)
	f.moved(int32(rater))
}

func (f *Fleet) before(a, b int32) bool {
	x, y := f.raters[a].next, f.raters[b].next
	return x < y || x == y && a < b
}

// moved puts a rater where its Next belongs.
func (f *Fleet) moved(n int32) {
	i := f.pos[n]
	for i > 0 && f.before(n, f.order[(i-1)/2]) {
		p := (i - 1) / 2
		f.order[i] = f.order[p]
		f.pos[f.order[i]] = i
		i = p
	}
	for {
		c := 2*i + 1
		if int(c) >= len(f.order) {
			break
		}
		if int(c)+1 < len(f.order) && f.before(f.order[c+1], f.order[c]) {
			c++
		}
		if !f.before(f.order[c], n) {
			break
		}
		f.order[i] = f.order[c]
		f.pos[f.order[i]] = i
		i = c
	}
	f.order[i], f.pos[n] = n, i
}

// keyBook remembers keys for their time to live, in two generations, so that it stays bounded by what that time brings.
type keyBook struct {
	ttl     float64
	at, old map[uint64]float64
	turned  float64
}

// NewKeys makes the book of keys that all raters of a day share.
func NewKeys(day *Day) Keys {
	b := &keyBook{at: map[uint64]float64{}}
	for _, c := range day.Classes {
		b.ttl = max(b.ttl, c.KeyTTL)
	}
	return b
}

func (b *keyBook) Begin(now float64, key uint64) bool {
	if now-b.turned > b.ttl {
		b.old, b.at, b.turned = b.at, b.old, now
		if b.at == nil {
			b.at = map[uint64]float64{}
		}
		clear(b.at)
	}
	t, seen := b.at[key]
	if !seen {
		t, seen = b.old[key]
	}
	if seen && now-t < b.ttl {
		return true
	}
	b.at[key] = now
	return false
}
