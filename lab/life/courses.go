package life

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sort"
	"time"

	"linenwheel.dev/linenwheel/lab/site"
)

// Courses are what becomes of a fleet over its life: steps in an order, each with clients at work.
var Courses = []string{"replace", "grow", "roll", "hard"}

// Grown is how many nodes the course grow comes to, where nothing else is said.
const Grown = 20

// stretch is how long one of a course's table is.
const stretch = 10 * time.Second

// Stretch is what became of the charges that were posted first in a part of the play.
type Stretch struct {
	From    float64        `json:"from"` // s
	Charges int            `json:"charges"`
	Told    int            `json:"told"`
	Median  float64        `json:"median_ms"` // until the first client was told
	P99     float64        `json:"p99_ms"`
	Longest float64        `json:"longest_ms"`
	Steps   map[string]int `json:"steps"` // that began meanwhile
}

// Course gives the steps of one. Luck names the machine.
func Course(name string, set Settings) (list []Step, err error) {
	grown := cmp.Or(set.Grown, Grown)
	keepers := func(kind string) {
		for i := range set.Keepers {
			list = append(list, Step{Kind: kind, Luck: uint64(i), For: 200})
		}
	}
	nodes := func(kind string) {
		for i := range set.Nodes {
			list = append(list, Step{Kind: kind, Luck: uint64(i) << 8})
		}
	}
	calm := func() { list = append(list, Step{Kind: "calm"}) }
	calm()
	switch name {
	case "replace":
		keepers("keeper burnt")
		nodes("node burnt")
		keepers("keeper's name anew")
		for range set.Nodes {
			list = append(list, Step{Kind: "node's name anew"}) // the first in the list, the new one is its last
		}
	case "grow":
		for range grown - set.Nodes {
			list = append(list, Step{Kind: "a node more"})
		}
		calm()
		for range grown - set.Nodes {
			list = append(list, Step{Kind: "a node less"})
		}
	case "roll": // forth and back with the keepers first, then with the keepers last
		keepers("keeper to this release")
		nodes("node to this release")
		keepers("keeper to the one before")
		nodes("node to the one before")
		nodes("node to this release")
		keepers("keeper to this release")
		nodes("node to the one before")
		keepers("keeper to the one before")
	case "hard":
		list = append(list, Step{Kind: "two nodes of one name", For: 1000}, Step{Kind: "calm"},
			Step{Kind: "zone lost", For: 1000}, Step{Kind: "calm"}, Step{Kind: "two nodes of one name", Luck: 1 << 8, For: 1000})
	default:
		return nil, fmt.Errorf("there is no course %q", name)
	}
	calm()
	return list, nil
}

// repeated is of how many charges the last are posted again.
func (p *play) repeated() int {
	if p.set.Course == "" {
		return 40
	}
	return max(40, int(p.set.Rate*stretch.Seconds()))
}

// step makes one of a course's.
//
//nolint:funlen // one case a kind, each a few lines
func (p *play) step(ctx context.Context, s Step) error {
	n, keeper, wait := p.node(s.Luck>>8), fmt.Sprint("k", s.Luck%uint64(p.set.Keepers)), time.Duration(s.For*1e6)
	switch s.Kind {
	case "calm":
		select {
		case <-time.After(p.set.Every):
		case <-ctx.Done():
		}
		return nil
	case "keeper's name anew": // there is one less for a while
		if err := p.Keepers.Remove(ctx, keeper); err != nil {
			return err
		}
		p.Keepers.End(keeper)
		time.Sleep(wait)
		if err := errors.Join(p.Keepers.Wipe(keeper), p.Keepers.Start(keeper)); err != nil {
			return err
		}
		return errors.Join(p.Keepers.Replace(ctx, keeper), p.Keepers.Caught(ctx, keeper))
	case "keeper to this release", "keeper to the one before":
		before := s.Kind == "keeper to the one before"
		p.Keepers.End(keeper)
		p.Keepers.Release(keeper, before)
		if err := p.Keepers.Start(keeper); err != nil {
			return err
		}
		if err := p.Keepers.Caught(ctx, keeper); err != nil {
			return err
		}
		program, err := p.Keepers.Program(keeper)
		return errors.Join(err, p.runs(program, p.set.Keeper, before))
	case "node to this release", "node to the one before":
		before := s.Kind == "node to the one before"
		n.End()
		n.Release(before)
		if err := errors.Join(n.SetText(p.text(before && p.set.Before != "")), n.Start(ctx)); err != nil {
			return err
		}
		program, err := n.Program()
		return errors.Join(err, p.runs(program, p.set.Node, before))
	case "a node more":
		fresh, err := p.Add(ctx, fmt.Sprint("n", p.serial))
		if err == nil {
			p.serial++
			p.change(nil, fresh)
		}
		return err
	case "a node less": // the youngest, so that its name is the next one's
		old := p.node(uint64(len(p.nodes) - 1))
		p.change(old, nil)
		p.serial--
		p.Remove(old)
		return nil
	case "node's name anew":
		p.change(n, nil)
		p.Remove(n)
		fresh, err := p.Add(ctx, n.Name)
		if err == nil {
			p.change(nil, fresh)
		}
		return err
	case "two nodes of one name":
		twin, err := p.Twin(ctx, n)
		if err != nil {
			return err
		}
		p.change(nil, twin)
		time.Sleep(wait)
		p.change(twin, nil)
		p.Remove(twin)
		return nil
	case "zone lost": // with all keepers and a node in it
		for i := range p.set.Keepers {
			p.Keepers.Kill(fmt.Sprint("k", i))
		}
		n.Kill()
		time.Sleep(wait)
		for i := range p.set.Keepers {
			if err := p.Keepers.Start(fmt.Sprint("k", i)); err != nil {
				return err
			}
		}
		return errors.Join(n.Start(ctx), p.Keepers.Caught(ctx, keeper))
	}
	return errors.New("no such fault")
}

// runs tells of a process that runs another program than it was to.
func (p *play) runs(have, want string, before bool) error {
	if before && p.set.Before != "" {
		want = filepath.Join(p.set.Before, filepath.Base(want))
	}
	want, err := filepath.EvalSymlinks(want)
	if err == nil && have != want {
		err = fmt.Errorf("it runs %s in place of %s", have, want)
	}
	return err
}

// change has clients post no more to one node, and to another from now on.
func (p *play) change(from, to *site.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes = slices.DeleteFunc(slices.Clone(p.nodes), func(n *site.Node) bool { return n == from })
	if to != nil {
		p.nodes = append(p.nodes, to)
	}
	p.most = max(p.most, len(p.nodes))
}

// arrived holds whether the course came to its end, and makes its table.
func (p *play) arrived(first map[string]uint64) {
	if p.set.Course == "" {
		return
	}
	now, err := p.Keepers.Voters(p.ctx)
	if err != nil || len(now) != p.set.Keepers || len(p.nodes) != p.set.Nodes {
		p.fault("%d keepers vote and %d nodes run: %v", len(now), len(p.nodes), err)
	}
	for name, id := range now {
		if p.set.Course == "replace" && first[name] == id {
			p.fault("%s is one of the first keepers still", name)
		}
	}
	if p.set.Course == "grow" && p.most != cmp.Or(p.set.Grown, Grown) {
		p.fault("the fleet had %d nodes at the most", p.most)
	}
	took := map[int][]float64{}
	for charge, at := range p.asked {
		i := int(at / stretch)
		p.stretch(i).Charges++
		if told, ok := p.told[charge]; ok {
			p.stretch(i).Told++
			took[i] = append(took[i], (told-at).Seconds()*1e3)
		}
	}
	for i, list := range took {
		sort.Float64s(list)
		s := p.stretch(i)
		s.Median, s.P99, s.Longest = list[len(list)/2], list[len(list)*99/100], list[len(list)-1]
	}
}

// stretch gives one of the table's, which is made as long as it must be.
func (p *play) stretch(i int) *Stretch {
	for n := len(p.result.Stretches); n <= i; n++ {
		p.result.Stretches = append(p.result.Stretches, Stretch{From: float64(n) * stretch.Seconds(), Steps: map[string]int{}})
	}
	return &p.result.Stretches[i]
}
