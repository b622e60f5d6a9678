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
	m.Module.Quota, m.Module.Tenants, m.Module.Trials = nil, nil, nil
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
func LastObserved(m *decide.Memory) (at time.Duration) {
	for i := range m.Zones {
		at = max(at, m.Zones[i].Heard)
	}
	return min(at, m.At)
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
func Blend(own, other decide.Memory, coldTime time.Duration, random *rand.Rand) decide.Memory {
	m := own
	m.Version, m.Zone, m.At = other.Version, other.Zone, LastObserved(&other)
	if other.Answers > own.Answers {
		m.Lates, m.Answers, m.Bads = other.Lates, other.Answers, other.Bads
	}
	m.Kinds = preferHeavier(own.Kinds, other.Kinds, func(kind *decide.KindMemory) (string, float64) {
		weight := kind.Fit.N + kind.Recent.N
		if kind.Seen {
			weight += 1e-9 // the idle latency remains known when the evidence has decayed
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
	wholeFleet := own.Part >= 1 && other.Part >= 1 // otherwise the two nodes use different hosts
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
	for i := range m.Backends { // keep the sum of the shares, or the capacity would appear smaller
		if b := &m.Backends[i]; b.Share > 0 {
			setShare(b, b.Share*sum/newSum, m.Clock)
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
func evidence(b *decide.BackendMemory) float64 { return b.N + b.Good + b.Bad + b.Lost }

// mergeBackend returns the state of a host as another node knows it, except for the parts that are this node's own.
func mergeBackend(own, other decide.BackendMemory, clock float64, wholeFleet bool) decide.BackendMemory {
	b := other
	b.Read, b.ReadAt = own.Read, own.ReadAt // from this node's list
	b.Each, b.Others = 0, 0
	b.Next, b.Turn, b.Share = own.Next, own.Turn, own.Share
	switch {
	case own.Share <= 0: // the host is not used here: its failures would only cost this node trial requests
		b.Away, b.Until, b.Fails, b.Silent, b.Run = own.Away, own.Until, own.Fails, own.Silent, own.Run
	case other.Away || wholeFleet && other.Share <= 0:
		b.Share, b.Turn = 0, -1
	case wholeFleet:
		setShare(&b, other.Share, clock)
	}
	return b
}

// setShare sets a host's share of the load and preserves its place in the schedule.
func setShare(b *decide.BackendMemory, share, clock float64) {
	b.Next = clock + max(0, b.Next-clock)*b.Share/share
	b.Share = share
}

// clampTimes limits the timestamps of a warm host to what a snapshot taken at the given time may contain. The end
// of an ejection is drawn at random from the second half of its remaining time.
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
