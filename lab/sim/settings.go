package sim

import (
	"math"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/lab/world"
)

// Settings are what the platform tells a node of the deployment: nothing that only the world knows. They are those that
// lab/live writes into a node's configuration.
func Settings(day *world.Day, node int) decide.Settings {
	s := day.Site
	set := decide.Settings{Nodes: day.Nodes, Node: node, WatchEndpoints: day.List.Lines > 0, Zone: day.Zone(node), Zones: s.Size.Zones,
		OverQuotaValue: s.Load.OverShareWorth,
		Limits: decide.Limits{MaxAttempts: max(1, s.Node.MaxAttempts), Cancel: s.Node.Cancel,
			Hedging: s.Node.SecondCopies},
		Prices: decide.Prices{CrossZone: s.Prices.CrossZone},
		Rules: decide.Rules{ResponseSlack: span(s.Rules.AnswerSlack.Lo), FetchWithin: 10 * time.Second,
			DrainGrace:     span(s.Rules.DrainGrace.Lo),
			SlowStartFloor: s.Rules.ColdFrom, SlowStartTime: span(s.Rules.ColdTime.Lo), OverloadMultiple: s.Rules.FallMultiple,
			OverloadTime: span(s.Rules.FallTime.Lo)}}
	for _, k := range s.Kinds {
		set.Kinds = append(set.Kinds, k.Name)
		if k.ListedWeight == "nominal" {
			set.Weights = decide.WeightSize
		}
	}
	effects := map[string]decide.Effect{world.Safe: decide.Safe, world.Keyed: decide.Keyed,
		world.Unsafe: decide.Unsafe}
	for i, c := range day.Classes {
		k := decide.Class{Name: c.Name, Effect: effects[c.Effect], Group: decide.GroupAll,
			KeyTTL: span(c.Deadline), Target: span(c.Aim),
			Deadline: span(c.Deadline), Value: c.Worth, LateValue: c.Late}
		if c.Effect == world.Keyed {
			k.KeyTTL = span(s.Classes[i].KeyTTL.Lo)
		}
		set.Classes = append(set.Classes, k)
	}
	for _, p := range day.Partners {
		set.Tenants = append(set.Tenants, decide.Tenant{Name: p.Name, Quota: p.Quota, Share: p.Share})
	}
	return set
}

// Epoch is the nodes' clock at the start of the day, ms: on it, 0 stands for long ago.
const Epoch = 1e6

// clock turns a time of the day into the nodes'.
func clock(ms float64) time.Duration { return span(ms + Epoch) }

// span turns milliseconds into the module's time.
func span(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

// millis turns a time of the nodes into one of the day.
func millis(d time.Duration) float64 { return float64(d)/1e6 - Epoch }

// idOf gives a rater the id that nodes know it by, as they make it from its name (FNV-1a).
func idOf(name string) decide.BackendID {
	id := decide.BackendID(2166136261)
	for _, c := range []byte(name) {
		id = (id ^ decide.BackendID(c)) * 16777619
	}
	return id
}

// entry is a line of the list as a node is told it.
func (g *engine) entry(e world.Entry) decide.Backend {
	r := &g.day.Raters[e.Rater]
	b := decide.Backend{ID: g.raters[e.Rater].id, Zone: r.Zone, Kind: r.Kind, Cell: r.Cell, Weight: r.Weight,
		State: [...]decide.State{world.Ready: decide.Serving, world.Terminating: decide.Draining,
			world.Gone: decide.Deleted}[e.State]}
	if e.Since > 0 {
		b.Started = clock(e.Since)
	}
	return b
}
