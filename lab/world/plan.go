package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// span is a factor on the rate of arrivals for a time, tail one on the work of a share of a class.
type span struct{ from, to, size float64 }
type tail struct {
	span
	class int
	share float64
}

// settle draws what a trouble leaves open.
func (d *Day) settle(rng *rand.Rand, s *TroubleSpec) (*Trouble, error) {
	k, ok := troubleKinds[s.Kind]
	if !ok {
		return nil, fmt.Errorf("no such kind")
	}
	t := &Trouble{Kind: s.Kind, Class: -1, seed: rng.Uint64()}
	length := or(s.Length.Range, k.length).Draw(rng)
	t.From = s.At.Draw(rng)
	if s.At.IsZero() { // after a time in which all is well, and with a time after it
		t.From = min(8e3, d.Length/5) + rng.Float64()*max(0, d.Length*0.9-length-min(8e3, d.Length/5))
	}
	t.To = t.From + length
	if length == 0 {
		t.To = inf
	}
	t.Size, t.Share = or(s.Size, k.size).Draw(rng), or(s.Share, k.share).Draw(rng)
	t.Every, t.Pause = or(s.Every.Range, k.every).Draw(rng), or(s.Pause.Range, k.pause).Draw(rng)
	t.Gap, t.Delay = or(s.Gap.Range, k.gap).Draw(rng), or(s.Delay.Range, k.delay).Draw(rng)
	t.Rate = or(s.Rate, k.rate).Draw(rng)
	t.Ways = s.Ways
	if t.Kind == Rude && len(t.Ways) == 0 {
		t.Ways = RudeWays
	}
	if t.Kind == HeavyTail {
		t.Class = rng.IntN(len(d.Classes))
		if s.Class != "" {
			t.Class = slices.IndexFunc(d.Classes, func(c DayClass) bool { return c.Name == s.Class })
		}
		if t.Class < 0 {
			return nil, fmt.Errorf("class: no class %q", s.Class)
		}
	}
	part := or(s.Part, k.part).Draw(rng)
	var err error
	switch k.whom {
	case RaterParty:
		named := s.Raters
		if s.Zone != "" {
			if named, err = d.inZone(s.Zone); err != nil {
				return nil, err
			}
		}
		t.Raters, err = chosen(rng, named, part, d.AtStart, "raters")
	case NodeParty:
		t.Nodes, err = chosen(rng, s.Nodes, part, d.Nodes, "nodes")
	}
	if err != nil || len(k.between) == 0 {
		return t, err
	}
	for i := range t.Between {
		name := k.between[i]
		if i < len(s.Between) {
			name = s.Between[i]
		}
		if t.Between[i], err = ParseParty(name); err != nil {
			return nil, fmt.Errorf("between: %w", err)
		}
	}
	return t, nil
}

// inZone names the raters of the start in a zone.
func (d *Day) inZone(name string) (list []int, err error) {
	zone := slices.Index(d.Site.Size.Zones, name)
	if zone < 0 {
		return nil, fmt.Errorf("zone: %q is none of %v", name, d.Site.Size.Zones)
	}
	for i := range d.AtStart {
		if d.Raters[i].Zone == zone {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("zone: no rater of the %d of the start is in %q", d.AtStart, name)
	}
	return list, nil
}

func chosen(rng *rand.Rand, named []int, part float64, of int, what string) ([]int, error) {
	if len(named) > 0 {
		for _, n := range named {
			if n < 0 || n >= of {
				return nil, fmt.Errorf("%s: %d is none of the %d of the start", what, n, of)
			}
		}
		return named, nil
	}
	n := min(of, max(1, int(math.Round(part*float64(of)))))
	list := rng.Perm(of)[:n]
	slices.Sort(list)
	return list, nil
}

// ParseParty reads a party as an experiment names it: "nodes" or "node-0".
func ParseParty(s string) (Party, error) {
	kinds := map[string]PartyKind{"client": ClientParty, "node": NodeParty, "rater": RaterParty, "discovery": DiscoveryParty}
	if s == "discovery" {
		return Party{DiscoveryParty, -1}, nil
	}
	name, number, one := strings.Cut(s, "-")
	if !one {
		if k, ok := kinds[strings.TrimSuffix(s, "s")]; ok && strings.HasSuffix(s, "s") {
			return Party{k, -1}, nil
		}
	} else if n, err := strconv.Atoi(number); err == nil && n >= 0 && kinds[name] != NoParty {
		return Party{kinds[name], n}, nil
	}
	return Party{}, fmt.Errorf("no party %q: want clients, nodes, raters, discovery, node-0 or rater-3", s)
}

// compile adds a trouble's steps to the plan, and to the lists of what has no steps.
//
//nolint:funlen // one case a kind, each a few lines
func (d *Day) compile(rng *rand.Rand, n int) {
	t := &d.Troubles[n]
	step := func(at float64, do Do, rater, node int, size float64) {
		if at < inf {
			d.Plan = append(d.Plan, Step{at, do, rater, node, size, n})
		}
	}
	switch t.Kind {
	case Slow, SharedSlow, Errors:
		do, on, off := SetSlow, t.Size, 1.0
		switch t.Kind {
		case SharedSlow:
			do = SetShared
		case Errors:
			do, on, off = SetErrors, t.Share, 0
		}
		for _, r := range t.Raters {
			step(t.From, do, r, -1, on)
			step(t.To, do, r, -1, off)
		}
	case Hang:
		for _, r := range t.Raters {
			step(t.From, Freeze, r, -1, 0)
			step(t.To, Thaw, r, -1, 0)
		}
	case Pauses:
		for _, r := range t.Raters {
			d.pauses(rng, r, t.From, t.To, t.Every, t.Pause, n)
		}
	case HeavyTail:
		d.tails = append(d.tails, tail{span{t.From, t.To, t.Size}, t.Class, t.Share})
	case Surge:
		d.factors = append(d.factors, span{t.From, t.To, t.Size})
	case Drain:
		for _, r := range t.Raters {
			step(t.From, DrainRater, r, -1, 0)
			step(t.From+t.Gap, EndRater, r, -1, 0)
			step(max(t.To, t.From+t.Gap+1), StartRater, r, -1, d.Raters[r].ColdFrom)
		}
	case Restart, Kill, Vanish:
		do := EndRater
		if t.Kind == Vanish {
			do = HideRater
		}
		for i, r := range t.Raters {
			at := t.From + float64(i)*t.Every
			step(at, do, r, -1, 0)
			step(at+t.To-t.From, StartRater, r, -1, d.Raters[r].ColdFrom)
		}
	case Heir:
		for _, r := range t.Raters {
			step(t.From, EndRater, r, -1, 0)
			heir := d.replace(rng, r, d.Raters[r].Address)
			t.Heirs = append(t.Heirs, heir)
			step(t.From+t.Gap, StartRater, heir, -1, d.Raters[heir].ColdFrom)
		}
	case Churn:
		d.churn(rng, t, step)
	case DiscoverySilent:
		step(t.From, CutDiscovery, -1, -1, 0)
		step(t.To, MendDiscovery, -1, -1, 0)
	case StaleNode:
		for _, node := range t.Nodes {
			step(t.From, CutDiscovery, -1, node, 0)
			step(t.To, MendDiscovery, -1, node, 0)
		}
	case DiscoveryMoved:
		step(t.From, MoveDiscovery, -1, -1, 0)
	case NodeRestart, NodeKill:
		do := StopNode
		if t.Kind == NodeKill {
			do = KillNode
		}
		for i, node := range t.Nodes {
			at := t.From + float64(i)*t.Every
			step(at, do, -1, node, 0)
			step(at+t.Gap, StartNode, -1, node, 0)
		}
	case NodeRoll:
		for i, node := range t.Nodes {
			step(t.From+float64(i)*t.Every, RollNode, -1, node, 0)
		}
	case NodeReload:
		for at := t.From; at < min(t.To, d.Length); at += max(1000, t.Every) {
			for _, node := range t.Nodes {
				step(at, ReloadNode, -1, node, 0)
			}
		}
	case NetDelay, NetJitter, NetLoss, NetCut, NetHalf, SlowReader:
		d.net = append(d.net, n)
	}
}

// churn replaces one rater after the other: the oldest that is left drains and ends, and one with a new name has
// started a little before; each third takes an address that has become free.
func (d *Day) churn(rng *rand.Rand, t *Trouble, step func(float64, Do, int, int, float64)) {
	type free struct {
		address int
		from    float64
	}
	live := slices.Clone(t.Raters)
	var freed []free
	for i, at := 0, t.From; at < min(t.To, d.Length); i, at = i+1, at+max(100, t.Every) {
		old := live[0]
		address := len(d.Raters)
		if i%3 == 2 && freed[0].from < at {
			address, freed = freed[0].address, freed[1:]
		}
		fresh := d.replace(rng, old, address)
		t.Heirs = append(t.Heirs, fresh)
		step(at, StartRater, fresh, -1, d.Raters[fresh].ColdFrom)
		step(at+t.Pause, DrainRater, old, -1, 0)
		step(at+t.Pause+t.Gap, EndRater, old, -1, 0)
		freed = append(freed, free{d.Raters[old].Address, at + t.Pause + t.Gap})
		live = append(live[1:], fresh)
	}
}

// untangle drops the steps that troubles over each other make senseless: a start of a process that runs or whose address
// another has, a drain or an end of one that does not run. The plan is sorted.
func (d *Day) untangle() {
	up, at := make([]bool, len(d.Raters)), map[int]int{}
	kept := d.Plan[:0]
	for _, s := range d.Plan {
		switch s.Do {
		case StartRater:
			if _, taken := at[d.Raters[s.Rater].Address]; up[s.Rater] || taken {
				continue
			}
			up[s.Rater], at[d.Raters[s.Rater].Address] = true, s.Rater
		case DrainRater, EndRater, HideRater:
			if !up[s.Rater] {
				continue
			}
			if s.Do != DrainRater {
				up[s.Rater] = false
				delete(at, d.Raters[s.Rater].Address)
			}
		}
		kept = append(kept, s)
	}
	d.Plan = kept
}

// replace adds a rater of the same kind as another, with its own name, speed and luck.
func (d *Day) replace(rng *rand.Rand, old, address int) int {
	k := drawnKind{spec: d.Raters[old], speed: d.Raters[old].Speed, spread: 0.1}
	return d.addRater(rng, d.Raters[old].Kind, &k, address)
}
