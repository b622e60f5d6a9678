package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"linenwheel.dev/linenwheel/decide"
)

// Snapshot is the state of a Dispatcher as plain data, for another process: the endpoint list, the times since which
// hosts drain, and the decision module's snapshot. Only the module's snapshot has a version: a reader may ignore an
// unknown field of a host. The JSON form is stored and exchanged between versions, so tags must never change.
type Snapshot struct {
	Hosts  []HostSnapshot  `json:"hosts"`
	Module decide.Snapshot `json:"module"`
}

// HostSnapshot is a host of the endpoint list.
type HostSnapshot struct {
	ID            decide.BackendID `json:"id"` // the id of the host in Snapshot.Module
	Name          string           `json:"name"`
	Address       string           `json:"address"`
	Zone          string           `json:"zone"`
	Kind          string           `json:"kind"`
	Protocol      string           `json:"protocol,omitempty"`
	Cell          int              `json:"cell"`
	Status        Status           `json:"status"`
	Weight        float64          `json:"weight"`
	Since         float64          `json:"since"`          // milliseconds
	DrainingSince float64          `json:"left,omitempty"` // milliseconds; when the node learned that the host drains; 0 = it does not drain
}

// KnownHosts returns the hosts as an endpoint list of kind Stored.
func (m *Snapshot) KnownHosts() []Host {
	hosts := make([]Host, 0, len(m.Hosts))
	for _, h := range m.Hosts {
		hosts = append(hosts, Host{Name: h.Name, Address: h.Address, Zone: h.Zone, Kind: h.Kind, Protocol: h.Protocol, Cell: h.Cell,
			Status: h.Status, Weight: h.Weight, Since: h.Since})
	}
	return hosts
}

// Snapshot returns the current state, with the hosts sorted by name.
func (d *Dispatcher) Snapshot() (m Snapshot) {
	d.update(func(now float64) {
		m.Module = d.balancer.Snapshot(toDuration(now))
		for id, h := range d.hosts {
			e := HostSnapshot{ID: id, Name: h.Name, Address: h.Address, Zone: h.Zone, Kind: h.Kind, Protocol: h.Protocol, Cell: h.Cell,
				Status: h.Status, Weight: h.Weight, Since: h.Since}
			if !math.IsInf(h.drainingSince, 1) {
				e.DrainingSince = h.drainingSince
			}
			m.Hosts = append(m.Hosts, e)
		}
	})
	slices.SortFunc(m.Hosts, func(a, b HostSnapshot) int { return cmp.Compare(a.Name, b.Name) })
	return m
}

// Restore restores the snapshot of another Dispatcher for the hosts that are listed here. It may be repeated until
// the first request. An invalid snapshot changes nothing and returns an error.
func (d *Dispatcher) Restore(m Snapshot) (err error) {
	d.update(func(now float64) {
		// The ids differ if two names have the same hash and were listed in another order.
		localIDs := map[decide.BackendID]decide.BackendID{}
		for i := range m.Hosts {
			delete(localIDs, m.Hosts[i].ID) // of several hosts with the same id, the last one counts
			if id, ok := d.hostIDs[m.Hosts[i].Name]; ok {
				localIDs[m.Hosts[i].ID] = id
			}
		}
		var trials []decide.BackendID
		for _, id := range m.Module.TrialQueue {
			if id, ok := localIDs[id]; ok {
				trials = append(trials, id)
			}
		}
		m.Module.Backends, m.Module.TrialQueue = withLocalIDs(m.Module.Backends, localIDs), trials
		if err = d.balancer.Restore(toDuration(now), m.Module); err != nil {
			err = fmt.Errorf("restoring the dispatcher snapshot: %w", err)
			return
		}
		for _, e := range m.Hosts {
			if h := d.hosts[d.hostIDs[e.Name]]; h != nil && h.Name == e.Name && h.Status != Ready && e.DrainingSince > 0 {
				h.drainingSince = min(h.drainingSince, e.DrainingSince)
			}
		}
	})
	return err
}

// withLocalIDs returns the backends that have a local id, with their ids replaced by it.
func withLocalIDs(backends []decide.BackendSnapshot, localIDs map[decide.BackendID]decide.BackendID) (known []decide.BackendSnapshot) {
	for _, b := range backends {
		if id, ok := localIDs[b.ID]; ok {
			b.ID = id
			known = append(known, b)
		}
	}
	return known
}
