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

// maxAhead is how far ahead of a memory its times may lie; the module refuses a memory with a later one.
const maxAhead = 30 * time.Second

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
func (d *Pilot) Learn(m Memory) (err error) {
	d.update(func(now float64) {
		here := map[decide.BackendID]decide.BackendID{}
		for i := range m.Hosts {
			h := &m.Hosts[i]
			if id, ok := d.hostIDs[h.Name]; ok && d.hosts[id].Address == h.Address {
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
		if err = d.balancer.Restore(toDuration(now), Blend(d.balancer.Snapshot(toDuration(now)), m.Module, d.coldTime, d.random)); err != nil {
			err = fmt.Errorf("learning from another node: %w", err)
		}
	})
	return err
}

// Blend gives the memory of a node that has begun just now, own, with what another node knows laid over it. It may be restored
// where own was taken. What a cold host gets is promised by all nodes together, so of one that is cold nothing is taken; coldTime is
// that of the rules. chance draws when hosts that are away are tried: nodes that learn from one node do not try together.
func Blend(own, other decide.Memory, coldTime time.Duration, random *rand.Rand) decide.Memory {
	m := own
	m.Version, m.Zone, m.At = other.Version, other.Zone, Heard(&other)
	if other.Answers > own.Answers {
		m.Lates, m.Answers, m.Bads = other.Lates, other.Answers, other.Bads
	}
	m.Kinds = preferHeavier(own.Kinds, other.Kinds, func(theirs *decide.KindMemory) (string, float64) {
		weight := theirs.Fit.N + theirs.Recent.N
		if theirs.Seen {
			weight += 1e-9 // its idle latency outlasts the evidence
		}
		return fmt.Sprint(theirs.Kind, theirs.Across), weight
	})
	m.Classes = preferHeavier(own.Classes, other.Classes, func(theirs *decide.ClassMemory) (string, float64) { return theirs.Class, theirs.N })
	m.Zones = preferHeavier(own.Zones, other.Zones, func(theirs *decide.ZoneMemory) (string, float64) { return theirs.Zone, float64(theirs.Heard) })
	for i := range m.Zones {
		m.Zones[i].Until = min(m.Zones[i].Until, m.At+maxAhead)
	}
	known := map[decide.BackendID]*decide.BackendMemory{}
	for i := range other.Backends {
		known[other.Backends[i].ID] = &other.Backends[i]
	}
	wholeFleet := own.Part >= 1 && other.Part >= 1 // else the two spread their load over different hosts
	m.Backends = nil
	sum, newSum := 0.0, 0.0
	for _, b := range own.Backends {
		if b.Started > 0 && own.At < b.Started+coldTime {
			continue
		}
		sum += b.Share
		if theirs := known[b.ID]; theirs != nil && evidence(theirs) > evidence(&b) {
			b = mergeBackend(b, *theirs, m.Clock, wholeFleet)
		}
		m.Backends = append(m.Backends, clampTimes(b, m.At, random))
		newSum += b.Share
	}
	for i := range m.Backends { // together they keep the part of the load that they had, or there would seem to be less room
		if b := &m.Backends[i]; b.Share > 0 {
			setShare(b, b.Share*sum/newSum, m.Clock)
		}
	}
	return m
}

// preferHeavier gives a list in which each entry is that of own or other which rests on more.
func preferHeavier[T any](own, other []T, weigh func(*T) (name string, weight float64)) []T {
	list := slices.Clone(own)
	for i := range list {
		name, best := weigh(&list[i])
		for j := range other {
			if n, weight := weigh(&other[j]); n == name && weight > best {
				list[i], best = other[j], weight
			}
		}
	}
	return list
}

// evidence is on how many attempts what is known of a host rests, each weighed by its age.
func evidence(b *decide.BackendMemory) float64 { return b.N + b.Good + b.Bad + b.Lost }

// mergeBackend is what is known of one host.
func mergeBackend(own, other decide.BackendMemory, clock float64, wholeFleet bool) decide.BackendMemory {
	b := other
	b.Read, b.ReadAt = own.Read, own.ReadAt // the list's
	b.Each, b.Others = 0, 0
	b.Next, b.Turn, b.Share = own.Next, own.Turn, own.Share
	switch {
	case own.Share <= 0: // it has no turn here: its troubles would only cost this node trials
		b.Away, b.Until, b.Fails, b.Silent, b.Run = own.Away, own.Until, own.Fails, own.Silent, own.Run
	case other.Away || wholeFleet && other.Share <= 0:
		b.Share, b.Turn = 0, -1
	case wholeFleet:
		setShare(&b, other.Share, clock)
	}
	return b
}

// setShare sets a host's share of the load; it keeps its place in the round.
func setShare(b *decide.BackendMemory, share, clock float64) {
	b.Next = clock + max(0, b.Next-clock)*b.Share/share
	b.Share = share
}

// clampTimes brings what is known of a host that is warm within what a memory of a time may hold. A host that is away is tried by
// chance.
func clampTimes(b decide.BackendMemory, at time.Duration, random *rand.Rand) decide.BackendMemory {
	clamp := func(until time.Duration) time.Duration {
		if wait := until - at; wait > 0 {
			until = at + time.Duration(float64(wait)*(0.5+random.Float64()/2))
		}
		return min(until, at+maxAhead)
	}
	b.ReadAt, b.Until = min(b.ReadAt, at), clamp(b.Until)
	b.ColdNext, b.ColdTop = 0, -1
	b.Ills = slices.Clone(b.Ills)
	for i := range b.Ills {
		b.Ills[i].Until = clamp(b.Ills[i].Until)
	}
	return b
}
