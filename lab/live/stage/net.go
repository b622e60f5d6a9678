package stage

import (
	"math"
	"sync"

	"linenwheel.dev/linenwheel/lab/live/link"
	"linenwheel.dev/linenwheel/lab/world"
)

// Net is the network of a day: one link for each two parties.
type Net struct {
	day   *world.Day
	clock *Clock

	mu    sync.Mutex
	links map[[2]world.Party]*link.Link
}

func newNet(day *world.Day, clock *Clock) *Net {
	return &Net{day: day, clock: clock, links: map[[2]world.Party]*link.Link{}}
}

// leastDelay is the delay, ms, below which the loopback's own passes for it: about what waking two goroutines takes.
const leastDelay = 1.0

// Link is the network between the lab's own party and a node.
func (n *Net) Link(own, node world.Party) *link.Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := [2]world.Party{own, node}
	l := n.links[at]
	if l == nil {
		l = link.New(n.rules(own, node))
		n.links[at] = l
	}
	return l
}

// rules are those of a link: nil where no trouble of the day touches it and its delay is that of a hall.
func (n *Net) rules(own, node world.Party) *link.Rules {
	calm := n.day.Pass(-1, own, node, 0).Delay < leastDelay
	for i := range n.day.Troubles {
		t := &n.day.Troubles[i]
		if covers(t, own, node) {
			calm = false
		}
		for _, r := range t.Raters {
			if t.Kind == world.Vanish && own.Kind == world.RaterParty && own.Number == r {
				calm = false
			}
		}
	}
	if calm {
		return nil
	}
	pass := func(from, to world.Party) func(uint64) link.Passage {
		return func(luck uint64) link.Passage {
			p := n.day.Pass(n.clock.Now(), from, to, luck)
			out := link.Passage{Delay: p.Delay, Lost: p.Lost}
			if !math.IsInf(p.Rate, 0) {
				out.Rate = p.Rate
			}
			return out
		}
	}
	return &link.Rules{Out: pass(own, node), In: pass(node, own)}
}

func covers(t *world.Trouble, a, b world.Party) bool {
	return t.Between[0].Covers(a) && t.Between[1].Covers(b) || t.Between[0].Covers(b) && t.Between[1].Covers(a)
}

// Down tells whether no connection can come up between two parties at this time: a way between them is lost.
func (n *Net) Down(own, node world.Party) bool {
	now := n.clock.Now()
	return n.day.Pass(now, own, node, 0).Lost || n.day.Pass(now, node, own, 0).Lost
}

// Outage is a time in which no connection can come up on a link.
type Outage struct{ From, To float64 }

// Outages gives those between two parties on this day.
func (n *Net) Outages(own, node world.Party) (list []Outage) {
	for i := range n.day.Troubles {
		t := &n.day.Troubles[i]
		if (t.Kind == world.NetCut || t.Kind == world.NetHalf) && covers(t, own, node) {
			list = append(list, Outage{t.From, t.To})
		}
	}
	return list
}
