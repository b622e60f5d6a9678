package dispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// This file has a node learn from what another node of the fleet knows. That is knowledge and never a promise: what hosts and
// classes cost, which hosts fail, how the load was spread. What is a node's own stays its own: the list, the part of the fleet
// that it keeps to, its quotas, its budget for further attempts, its rates, and what cold hosts get from it.

// latestAhead is how far ahead of a memory its times may lie; the module refuses a memory with a later one.
const latestAhead = 30 * time.Second

// ErrNoLesson is what Learn gives where the other node knows nothing of use here.
var ErrNoLesson = errors.New("it knows none of the hosts of the list, or has heard nothing")

// Lesson is what another node may have of a memory: what it can use, and nothing of tenants.
func (m Memory) Lesson() Memory {
	m.Module.Quota, m.Module.Tenants, m.Module.Trials = nil, nil, nil
	hosts := make([]HostMemory, 0, len(m.Hosts))
	for _, h := range m.Hosts {
		h.Left = 0
		hosts = append(hosts, h)
	}
	m.Hosts = hosts
	return m
}

// Heard is the last time at which a host answered, in the module's time; 0 = never.
func Heard(m *decide.Memory) (at time.Duration) {
	for i := range m.Zones {
		at = max(at, m.Zones[i].Heard)
	}
	return min(at, m.At)
}

// Learn takes what another node knows of the hosts that are listed here, at the same address and as the same process; it may
// be done again, before the first request. It weighs by its age as a restored memory does, counted from the last answer that the
// other node heard. What cannot be right, or is of no use, changes nothing.
func (p *Pilot) Learn(m Memory) (err error) {
	p.event(func(now float64) {
		here := map[decide.BackendID]decide.BackendID{}
		for i := range m.Hosts {
			h := &m.Hosts[i]
			if id, ok := p.ids[h.Name]; ok && p.hosts[id].Address == h.Address {
				here[h.ID] = id
			}
		}
		var backends []decide.BackendMemory
		for _, b := range m.Module.Backends {
			if id, ok := here[b.ID]; ok {
				b.ID = id
				backends = append(backends, b)
			}
		}
		m.Module.Backends = backends
		if len(backends) == 0 || Heard(&m.Module) == 0 {
			err = ErrNoLesson
			return
		}
		if err = p.module.Restore(span(now), Blend(p.module.Snapshot(span(now)), m.Module, p.coldTime, p.chance)); err != nil {
			err = fmt.Errorf("learning from another node: %w", err)
		}
	})
	return err
}

// Blend gives the memory of a node that has begun just now, own, with what another node knows laid over it. It may be restored
// where own was taken. What a cold host gets is promised by all nodes together, so of one that is cold nothing is taken; coldTime is
// that of the rules. chance draws when hosts that are away are tried: nodes that learn from one node do not try together.
func Blend(own, other decide.Memory, coldTime time.Duration, chance *rand.Rand) decide.Memory {
	m := own
	m.Version, m.Zone, m.At = other.Version, other.Zone, Heard(&other)
	if other.Answers > own.Answers {
		m.Lates, m.Answers, m.Bads = other.Lates, other.Answers, other.Bads
	}
	m.Kinds = heavier(own.Kinds, other.Kinds, func(k *decide.KindMemory) (string, float64) {
		weight := k.Fit.N + k.Recent.N
		if k.Seen {
			weight += 1e-9 // its idle latency outlasts the evidence
		}
		return fmt.Sprint(k.Kind, k.Across), weight
	})
	m.Classes = heavier(own.Classes, other.Classes, func(k *decide.ClassMemory) (string, float64) { return k.Class, k.N })
	m.Zones = heavier(own.Zones, other.Zones, func(k *decide.ZoneMemory) (string, float64) { return k.Zone, float64(k.Heard) })
	for i := range m.Zones {
		m.Zones[i].Until = min(m.Zones[i].Until, m.At+latestAhead)
	}
	known := map[decide.BackendID]*decide.BackendMemory{}
	for i := range other.Backends {
		known[other.Backends[i].ID] = &other.Backends[i]
	}
	whole := own.Part >= 1 && other.Part >= 1 // else the two spread their load over different hosts
	m.Backends = nil
	sum, given := 0.0, 0.0
	for _, b := range own.Backends {
		if b.Started > 0 && own.At < b.Started+coldTime {
			continue
		}
		sum += b.Share
		if k := known[b.ID]; k != nil && evidence(k) > evidence(&b) {
			b = learned(b, *k, m.Clock, whole)
		}
		m.Backends = append(m.Backends, within(b, m.At, chance))
		given += b.Share
	}
	for i := range m.Backends { // together they keep the part of the load that they had, or there would seem to be less room
		if b := &m.Backends[i]; b.Share > 0 {
			give(b, b.Share*sum/given, m.Clock)
		}
	}
	return m
}

// heavier gives a list in which each entry is that of own or other which rests on more.
func heavier[T any](own, other []T, weigh func(*T) (name string, weight float64)) []T {
	list := slices.Clone(own)
	for i := range list {
		name, most := weigh(&list[i])
		for j := range other {
			if n, weight := weigh(&other[j]); n == name && weight > most {
				list[i], most = other[j], weight
			}
		}
	}
	return list
}

// evidence is on how many attempts what is known of a host rests, each weighed by its age.
func evidence(b *decide.BackendMemory) float64 { return b.N + b.Good + b.Bad + b.Lost }

// learned is what is known of one host.
func learned(own, other decide.BackendMemory, clock float64, whole bool) decide.BackendMemory {
	b := other
	b.Read, b.ReadAt = own.Read, own.ReadAt // the list's
	b.Each, b.Others = 0, 0
	b.Next, b.Turn, b.Share = own.Next, own.Turn, own.Share
	switch {
	case own.Share <= 0: // it has no turn here: its troubles would only cost this node trials
		b.Away, b.Until, b.Fails, b.Silent, b.Run = own.Away, own.Until, own.Fails, own.Silent, own.Run
	case other.Away || whole && other.Share <= 0:
		b.Share, b.Turn = 0, -1
	case whole:
		give(&b, other.Share, clock)
	}
	return b
}

// give sets a host's share of the load; it keeps its place in the round.
func give(b *decide.BackendMemory, share, clock float64) {
	b.Next = clock + max(0, b.Next-clock)*b.Share/share
	b.Share = share
}

// within brings what is known of a host that is warm within what a memory of a time may hold. A host that is away is tried by
// chance.
func within(b decide.BackendMemory, at time.Duration, chance *rand.Rand) decide.BackendMemory {
	sooner := func(until time.Duration) time.Duration {
		if wait := until - at; wait > 0 {
			until = at + time.Duration(float64(wait)*(0.5+chance.Float64()/2))
		}
		return min(until, at+latestAhead)
	}
	b.ReadAt, b.Until = min(b.ReadAt, at), sooner(b.Until)
	b.ColdNext, b.ColdTop = 0, -1
	b.Ills = slices.Clone(b.Ills)
	for i := range b.Ills {
		b.Ills[i].Until = sooner(b.Ills[i].Until)
	}
	return b
}
