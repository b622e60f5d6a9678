package dispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// This file lets a new node start warm, with what another node of the fleet has learned: what hosts and classes cost, which
// hosts fail, how the load is spread. It takes no commitments over: the endpoint list, the subset, quotas, the retry budget,
// rates and slow-start limits stay the node's own.

// maxAhead is how far a time may lie ahead of a snapshot; the module rejects a snapshot with a later one.
const maxAhead = 30 * time.Second

// ErrNoWarmStart is what Learn returns where the other node knows nothing of use here.
var ErrNoWarmStart = errors.New("it knows none of the hosts of the list, or has heard nothing")

// WarmStart is the part of a snapshot that another node may have: what it can use, and nothing of tenants.
func (m Snapshot) WarmStart() Snapshot {
	m.Module.Quota, m.Module.Tenants, m.Module.Trials = nil, nil, nil
	hosts := make([]HostSnapshot, 0, len(m.Hosts))
	for _, h := range m.Hosts {
		h.DrainingSince = 0
		hosts = append(hosts, h)
	}
	m.Hosts = hosts
	return m
}

// LastObserved is when a host last responded according to a snapshot, in the module's time; 0 = never.
func LastObserved(m *decide.Memory) (at time.Duration) {
	for i := range m.Zones {
		at = max(at, m.Zones[i].Heard)
	}
	return min(at, m.At)
}

// ApplyWarmStart takes over what another node knows of the hosts that are listed here, at the same address and as the same process. It
// may be repeated until the first request. The evidence weighs by its age as in Recall, counted from the last response that
// the other node received. A snapshot that cannot be right, or is of no use (ErrNoWarmStart), changes nothing.
func (d *Dispatcher) ApplyWarmStart(m Snapshot) (err error) {
	d.update(func(now float64) {
		localIDs := map[decide.BackendID]decide.BackendID{}
		for i := range m.Hosts {
			h := &m.Hosts[i]
			if id, ok := d.hostIDs[h.Name]; ok && d.hosts[id].Address == h.Address {
				localIDs[h.ID] = id
			}
		}
		m.Module.Backends = withLocalIDs(m.Module.Backends, localIDs)
		if len(m.Module.Backends) == 0 || LastObserved(&m.Module) == 0 {
			err = ErrNoWarmStart
			return
		}
		if err = d.balancer.Restore(toDuration(now), Blend(d.balancer.Snapshot(toDuration(now)), m.Module, d.coldTime, d.random)); err != nil {
			err = fmt.Errorf("learning from another node: %w", err)
		}
	})
	return err
}

// Blend returns own, the snapshot of a node that has just started, with what another node knows merged in. It may be restored
// where own was taken. Slow-start limits are kept by all nodes together, so nothing is taken over of a host in slow start;
// coldTime is that of the rules. random draws when ejected hosts are tried, so that nodes which learn from one node do not
// try them together.
func Blend(own, other decide.Memory, coldTime time.Duration, random *rand.Rand) decide.Memory {
	m := own
	m.Version, m.Zone, m.At = other.Version, other.Zone, LastObserved(&other)
	if other.Answers > own.Answers {
		m.Lates, m.Answers, m.Bads = other.Lates, other.Answers, other.Bads
	}
	m.Kinds = preferHeavier(own.Kinds, other.Kinds, func(kind *decide.KindMemory) (string, float64) {
		weight := kind.Fit.N + kind.Recent.N
		if kind.Seen {
			weight += 1e-9 // its idle latency outlives the evidence
		}
		return fmt.Sprint(kind.Kind, kind.Across), weight
	})
	m.Classes = preferHeavier(own.Classes, other.Classes, func(class *decide.ClassMemory) (string, float64) {
		return class.Class, class.N
	})
	m.Zones = preferHeavier(own.Zones, other.Zones, func(zone *decide.ZoneMemory) (string, float64) {
		return zone.Zone, float64(zone.Heard)
	})
	for i := range m.Zones {
		m.Zones[i].Until = min(m.Zones[i].Until, m.At+maxAhead)
	}
	known := map[decide.BackendID]*decide.BackendMemory{}
	for i := range other.Backends {
		known[other.Backends[i].ID] = &other.Backends[i]
	}
	wholeFleet := own.Part >= 1 && other.Part >= 1 // else the two use different hosts
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
	for i := range m.Backends { // keep the sum of the shares, or there would seem to be less capacity
		if b := &m.Backends[i]; b.Share > 0 {
			setShare(b, b.Share*sum/newSum, m.Clock)
		}
	}
	return m
}

// preferHeavier returns own with each entry replaced by that of other with the same name, where that has the greater weight.
func preferHeavier[T any](own, other []T, weigh func(*T) (name string, weight float64)) []T {
	merged := slices.Clone(own)
	for i := range merged {
		name, best := weigh(&merged[i])
		for j := range other {
			if n, weight := weigh(&other[j]); n == name && weight > best {
				merged[i], best = other[j], weight
			}
		}
	}
	return merged
}

// evidence is the number of attempts that the state of a host rests on, each weighed by its age.
func evidence(b *decide.BackendMemory) float64 { return b.N + b.Good + b.Bad + b.Lost }

// mergeBackend returns the state of one host as another node knows it, with what is the node's own kept.
func mergeBackend(own, other decide.BackendMemory, clock float64, wholeFleet bool) decide.BackendMemory {
	b := other
	b.Read, b.ReadAt = own.Read, own.ReadAt // from this node's list
	b.Each, b.Others = 0, 0
	b.Next, b.Turn, b.Share = own.Next, own.Turn, own.Share
	switch {
	case own.Share <= 0: // it is not used here: its faults would only cost this node trials
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

// clampTimes limits the times of a warm host to what a snapshot taken at a time may contain. The end of an ejection is drawn
// from the second half of what is left of it.
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
