package size

import (
	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/form"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/rivals"
	"linenwheel.dev/linenwheel/lab/sim"
	"linenwheel.dev/linenwheel/lab/world"
)

// Rhythm is what the nodes of a day in lab/sim did, each with the module's own decisions: what they ask the keepers follows from it.
type Rhythm struct {
	Nodes  int
	Length float64 // ms
	Calls  []Call  // in the order of their times
	Lives  []Life
	Broken int // rules, by the module
}

// Call is a try of a client at a node. Times are milliseconds of the day.
type Call struct {
	Node    int
	At, End float64
	Partner int
	Once    bool // it must not run twice: its name is agreed
}

// Life is that of a node's process.
type Life struct {
	Node     int
	From, To float64 // ms
}

// struck is when what a day is about begins, ms.
const struck = 4000.0

// zoneBack is for how long a zone is lost, ms.
const zoneBack = 4000.0

// Record plays the day of a fleet in lab/sim.
func Record(set Settings) (*Rhythm, error) {
	e, err := experiments.Load("fleet-calm")
	if err != nil {
		return nil, err
	}
	site := *e.Site // it is others' too
	site.Size.Nodes, site.Size.Day.Range, site.Load.Rate = form.Exactly(float64(set.Nodes)), form.Exactly(set.Length), form.Exactly(set.rate())
	site.Size.Raters = form.Exactly(max(12, set.rate()/8)) // as many as can do it, whatever the fleet's size
	site.Size.Zones = []string{"hall-a", "hall-b", "hall-c"}
	day, err := world.Draw(&site, set.Seed, set.troubles())
	if err != nil {
		return nil, err
	}
	module, err := rivals.ByName("linenwheel")
	if err != nil {
		return nil, err
	}
	r := &Rhythm{Nodes: set.Nodes, Length: set.Length}
	open, up := map[uint64]int{}, map[int16]int{}
	out, err := sim.Play(day, sim.Options{Policy: module, Watch: func(e record.Event) {
		switch e.Kind {
		case record.Sent:
			open[e.Request] = len(r.Calls)
			r.Calls = append(r.Calls, Call{int(e.Node), e.At, set.Length, int(e.Partner), day.Classes[e.Class].Effect == world.Unsafe})
		case record.Got, record.Left, record.Unreached, record.Unanswered, record.Crossed:
			if at, ok := open[e.Request]; ok {
				r.Calls[at].End = e.At
				delete(open, e.Request)
			}
		case record.NodeStarted:
			up[e.Node] = len(r.Lives)
			r.Lives = append(r.Lives, Life{int(e.Node), e.At, set.Length})
		case record.NodeEnded:
			r.Lives[up[e.Node]].To = e.At
		}
	}})
	if err != nil {
		return nil, err
	}
	for _, n := range out.Judgement.Broken {
		r.Broken += n
	}
	return r, nil
}

// troubles are the day's, as lab/sim plays them: nodes by number, raters by zone.
func (set *Settings) troubles() []world.TroubleSpec {
	ms := func(v float64) form.Span { return form.Span{Range: form.Exactly(v)} }
	some := func(of func(i int) bool) (list []int) {
		for i := range set.Nodes {
			if of(i) {
				list = append(list, i)
			}
		}
		return list
	}
	switch set.Day {
	case Roll: // a tenth at a time, each tenth at once
		var list []world.TroubleSpec
		for part := range 10 {
			if nodes := some(func(i int) bool { return i*10/set.Nodes == part }); len(nodes) > 0 {
				list = append(list, world.TroubleSpec{Kind: world.NodeRestart, At: ms(struck + 500*float64(part)), Nodes: nodes, Every: ms(1),
					Gap: ms(1500)})
			}
		}
		return list
	case Herd: // two in three
		return []world.TroubleSpec{{Kind: world.NodeKill, At: ms(struck - 2000), Nodes: some(func(i int) bool { return i%3 > 0 }), Every: ms(0.001),
			Gap: ms(2000)}}
	case Zone:
		return []world.TroubleSpec{{Kind: world.Kill, At: ms(struck), Length: ms(zoneBack), Zone: "hall-b"},
			{Kind: world.NodeKill, At: ms(struck), Nodes: some(func(i int) bool { return i%3 == 1 }), Every: ms(0.001), Gap: ms(zoneBack)}}
	}
	return nil
}
