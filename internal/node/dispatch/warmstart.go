package dispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// A warm start lets a new node begin with what another node of the fleet has learned: the cost of hosts and
// classes, which hosts fail, and how the load is distributed. Commitments are not adopted: the endpoint list, the
// subset, quotas, the retry budget, rates and slow-start limits remain the node's own.

// maxAhead is how far a timestamp may lie ahead of its snapshot; the decision module rejects a snapshot with a
// later one.
const maxAhead = 30 * time.Second

// ErrNoWarmStart is returned by ApplyWarmStart if the other node's snapshot has no data of use here.
var ErrNoWarmStart = errors.New("the snapshot knows none of the listed hosts, or its node has received no response")

// WarmStart returns the part of a snapshot that is meant for another node: what that node can use, without the
// data of tenants.
func (m Snapshot) WarmStart() Snapshot {
	m.Module.TenantTokens, m.Module.Tenants, m.Module.TrialQueue = nil, nil, nil
	hosts := make([]HostSnapshot, 0, len(m.Hosts))
	for _, h := range m.Hosts {
		h.DrainingSince = 0
		hosts = append(hosts, h)
	}
	m.Hosts = hosts
	return m
}

// LastObserved returns the time of the last response of any host that a snapshot records, in the decision module's
// time; 0 = never.
func LastObserved(m *decide.Snapshot) (at time.Duration) {
	for i := range m.Zones {
		at = max(at, m.Zones[i].LastResponse)
	}
	return min(at, m.TakenAt)
}

// ApplyWarmStart adopts what another node knows about the hosts that are listed here with the same address and the
// same process. It may be repeated until the first request. Evidence is weighted by its age as in Restore, counted
// from the last response that the other node received. A snapshot that is invalid, or of no use (ErrNoWarmStart),
// changes nothing.
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
			err = fmt.Errorf("applying a warm start: %w", err)
		}
	})
	return err
}

// Blend merges what another node knows into own, the snapshot of a node that has just started, and returns the
// result, which may be restored where own was taken. Slow-start limits hold for all nodes together, so nothing is
// adopted about a host in slow start; coldTime is the slow-start time of the rules. random chooses when ejected
// hosts are tried again, so that nodes that adopt the same snapshot do not try them at the same time.
func Blend(own, other decide.Snapshot, coldTime time.Duration, random *rand.Rand) decide.Snapshot {
	m := own
	m.Version, m.Zone, m.TakenAt = other.Version, other.Zone, LastObserved(&other)
	if other.Responses > own.Responses {
		m.Timeouts, m.Responses, m.Failures = other.Timeouts, other.Responses, other.Failures
	}
	m.Kinds = preferHeavier(own.Kinds, other.Kinds, func(kind *decide.KindSnapshot) (string, float64) {
		weight := kind.Sums.SampleCount + kind.RecentSums.SampleCount
		if kind.Measured {
			weight += 1e-9 // the idle latency remains known when the evidence has decayed
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
	wholeFleet := own.SubsetFraction >= 1 && other.SubsetFraction >= 1 // otherwise the two nodes use different hosts
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
	for i := range m.Backends { // keep the sum of the shares, or the capacity would appear smaller
		if b := &m.Backends[i]; b.Share > 0 {
			setShare(b, b.Share*sum/newSum, m.VirtualTime)
		}
	}
	return m
}

// preferHeavier returns own with each entry replaced by the entry of other with the same name if that has a greater
// weight.
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

// evidence returns the number of attempts that the state of a host is based on, weighted by their age.
func evidence(b *decide.BackendSnapshot) float64 {
	return b.SampleCount + b.Responses + b.Failures + b.Timeouts
}

// mergeBackend returns the state of a host as another node knows it, except for the parts that are this node's own.
func mergeBackend(own, other decide.BackendSnapshot, clock float64, wholeFleet bool) decide.BackendSnapshot {
	b := other
	b.ReportedLatency, b.ReportedAt = own.ReportedLatency, own.ReportedAt // from this node's list
	b.AttemptScale, b.OthersInFlight = 0, 0
	b.NextPick, b.QueueIndex, b.Share = own.NextPick, own.QueueIndex, own.Share
	switch {
	case own.Share <= 0: // the host is not used here: its failures would only cost this node trial requests
		b.Ejected, b.EjectedUntil, b.ConsecutiveEjections, b.ConsecutiveTimeouts, b.ConsecutiveFailures = own.Ejected, own.EjectedUntil, own.ConsecutiveEjections, own.ConsecutiveTimeouts, own.ConsecutiveFailures
	case other.Ejected || wholeFleet && other.Share <= 0:
		b.Share, b.QueueIndex = 0, -1
	case wholeFleet:
		setShare(&b, other.Share, clock)
	}
	return b
}

// setShare sets a host's share of the load and preserves its place in the schedule.
func setShare(b *decide.BackendSnapshot, share, clock float64) {
	b.NextPick = clock + max(0, b.NextPick-clock)*b.Share/share
	b.Share = share
}

// clampTimes limits the timestamps of a warm host to what a snapshot taken at the given time may contain. The end
// of an ejection is drawn at random from the second half of its remaining time.
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
