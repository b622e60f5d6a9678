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
func (m Memory) WarmStart() Memory {
	m.Module.TenantTokens, m.Module.Tenants, m.Module.TrialQueue = nil, nil, nil
	hosts := make([]HostMemory, 0, len(m.Hosts))
	for _, h := range m.Hosts {
		h.Left = 0
		hosts = append(hosts, h)
	}
	m.Hosts = hosts
	return m
}

// LastObserved is when a host last responded according to a snapshot, in the module's time; 0 = never.
func LastObserved(m *decide.Snapshot) (at time.Duration) {
	for i := range m.Zones {
		at = max(at, m.Zones[i].LastResponse)
	}
	return min(at, m.TakenAt)
}

// ApplyWarmStart takes over what another node knows of the hosts that are listed here, at the same address and as the same process. It
// may be repeated until the first request. The evidence weighs by its age as in Recall, counted from the last response that
// the other node received. A snapshot that cannot be right, or is of no use (ErrNoWarmStart), changes nothing.
func (d *Dispatcher) ApplyWarmStart(m Memory) (err error) {
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
func Blend(own, other decide.Snapshot, coldTime time.Duration, random *rand.Rand) decide.Snapshot {
	m := own
	m.Version, m.Zone, m.TakenAt = other.Version, other.Zone, LastObserved(&other)
	if other.Responses > own.Responses {
		m.Timeouts, m.Responses, m.Failures = other.Timeouts, other.Responses, other.Failures
	}
	m.Kinds = preferHeavier(own.Kinds, other.Kinds, func(kind *decide.KindSnapshot) (string, float64) {
		weight := kind.Sums.SampleCount + kind.RecentSums.SampleCount
		if kind.Measured {
			weight += 1e-9 // its idle latency outlives the evidence
		}
		return fmt.Sprint(kind.Kind, kind.OtherZones), weight
	})
	m.Classes = preferHeavier(own.Classes, other.Classes, func(class *decide.ClassSnapshot) (string, float64) {
		return class.Class, class.SampleCount
	})
	m.Zones = preferHeavier(own.Zones, other.Zones, func(zone *decide.ZoneSnapshot) (string, float64) {
		return zone.Zone, float64(zone.LastResponse)
	})
	for i := range m.Zones {
		m.Zones[i].EjectedUntil = min(m.Zones[i].EjectedUntil, m.TakenAt+maxAhead)
	}
	known := map[decide.BackendID]*decide.BackendSnapshot{}
	for i := range other.Backends {
		known[other.Backends[i].ID] = &other.Backends[i]
	}
	wholeFleet := own.SubsetFraction >= 1 && other.SubsetFraction >= 1 // else the two use different hosts
	m.Backends = nil
	sum, newSum := 0.0, 0.0
	for _, b := range own.Backends {
		if b.Started > 0 && own.TakenAt < b.Started+coldTime {
			continue
		}
		sum += b.Share
		if theirs := known[b.ID]; theirs != nil && evidence(theirs) > evidence(&b) {
			b = mergeBackend(b, *theirs, m.VirtualTime, wholeFleet)
		}
		m.Backends = append(m.Backends, clampTimes(b, m.TakenAt, random))
		newSum += b.Share
	}
	for i := range m.Backends { // keep the sum of the shares, or there would seem to be less capacity
		if b := &m.Backends[i]; b.Share > 0 {
			setShare(b, b.Share*sum/newSum, m.VirtualTime)
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
func evidence(b *decide.BackendSnapshot) float64 {
	return b.SampleCount + b.Responses + b.Failures + b.Timeouts
}

// mergeBackend returns the state of one host as another node knows it, with what is the node's own kept.
func mergeBackend(own, other decide.BackendSnapshot, clock float64, wholeFleet bool) decide.BackendSnapshot {
	b := other
	b.ReportedLatency, b.ReportedAt = own.ReportedLatency, own.ReportedAt // from this node's list
	b.AttemptScale, b.OthersInFlight = 0, 0
	b.NextPick, b.QueueIndex, b.Share = own.NextPick, own.QueueIndex, own.Share
	switch {
	case own.Share <= 0: // it is not used here: its faults would only cost this node trials
		b.Ejected, b.EjectedUntil, b.ConsecutiveEjections, b.ConsecutiveTimeouts, b.ConsecutiveFailures = own.Ejected, own.EjectedUntil, own.ConsecutiveEjections, own.ConsecutiveTimeouts, own.ConsecutiveFailures
	case other.Ejected || wholeFleet && other.Share <= 0:
		b.Share, b.QueueIndex = 0, -1
	case wholeFleet:
		setShare(&b, other.Share, clock)
	}
	return b
}

// setShare sets a host's share of the load; it keeps its place in the round.
func setShare(b *decide.BackendSnapshot, share, clock float64) {
	b.NextPick = clock + max(0, b.NextPick-clock)*b.Share/share
	b.Share = share
}

// clampTimes limits the times of a warm host to what a snapshot taken at a time may contain. The end of an ejection is drawn
// from the second half of what is left of it.
func clampTimes(b decide.BackendSnapshot, at time.Duration, random *rand.Rand) decide.BackendSnapshot {
	clamp := func(until time.Duration) time.Duration {
		if wait := until - at; wait > 0 {
			until = at + time.Duration(float64(wait)*(0.5+random.Float64()/2))
		}
		return min(until, at+maxAhead)
	}
	b.ReportedAt, b.EjectedUntil = min(b.ReportedAt, at), clamp(b.EjectedUntil)
	b.SlowStartNext, b.SlowStartLimit = 0, -1
	b.ClassHealth = slices.Clone(b.ClassHealth)
	for i := range b.ClassHealth {
		b.ClassHealth[i].EjectedUntil = clamp(b.ClassHealth[i].EjectedUntil)
	}
	return b
}
