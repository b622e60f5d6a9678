package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"linenwheel.dev/linenwheel/decide"
)

// Memory is what a pilot knows, as plain data for another process: the list, since when its hosts are departing, and
// what the module knows. Only decide.Memory carries a version: an unknown field of a host may be left out.
type Memory struct {
	Hosts  []HostMemory  `json:"hosts"`
	Module decide.Memory `json:"module"`
}

// HostMemory is a host of the list.
type HostMemory struct {
	ID      decide.BackendID `json:"id"` // in Module
	Name    string           `json:"name"`
	Address string           `json:"address"`
	Zone    string           `json:"zone"`
	Kind    string           `json:"kind"`
	Speaks  string           `json:"protocol,omitempty"`
	Cell    int              `json:"cell"`
	Status  Status           `json:"status"`
	Weight  float64          `json:"weight"`
	Since   float64          `json:"since"`
	Left    float64          `json:"left,omitempty"` // when the node was told that it departs, 0 = it does not
}

// List gives the hosts, to be taken as Stored.
func (m *Memory) List() []Host {
	list := make([]Host, 0, len(m.Hosts))
	for _, h := range m.Hosts {
		list = append(list, Host{Name: h.Name, Address: h.Address, Zone: h.Zone, Kind: h.Kind, Protocol: h.Speaks, Cell: h.Cell,
			Status: h.Status, Weight: h.Weight, Since: h.Since})
	}
	return list
}

// Remember gives what is known. Hosts come in the order of their names.
func (d *Pilot) Remember() (m Memory) {
	d.update(func(now float64) {
		m.Module = d.balancer.Snapshot(toDuration(now))
		for id, h := range d.hosts {
			e := HostMemory{ID: id, Name: h.Name, Address: h.Address, Zone: h.Zone, Kind: h.Kind, Speaks: h.Protocol, Cell: h.Cell,
				Status: h.Status, Weight: h.Weight, Since: h.Since}
			if !math.IsInf(h.drainingSince, 1) {
				e.Left = h.drainingSince
			}
			m.Hosts = append(m.Hosts, e)
		}
	})
	slices.SortFunc(m.Hosts, func(a, b HostMemory) int { return cmp.Compare(a.Name, b.Name) })
	return m
}

// Recall takes what another pilot knew of the hosts that are in the list here; it may be done again, before the first
// request. A memory that cannot be right changes nothing.
func (d *Pilot) Recall(m Memory) (err error) {
	d.update(func(now float64) {
		names := map[decide.BackendID]*HostMemory{}
		for i := range m.Hosts {
			names[m.Hosts[i].ID] = &m.Hosts[i]
		}
		// Ids differ where names have the same hash and came in another order.
		here := func(id decide.BackendID) (decide.BackendID, bool) {
			if names[id] == nil {
				return 0, false
			}
			to, ok := d.hostIDs[names[id].Name]
			return to, ok
		}
		var backends []decide.BackendMemory
		for _, b := range m.Module.Backends {
			if id, ok := here(b.ID); ok {
				b.ID = id
				backends = append(backends, b)
			}
		}
		var trials []decide.BackendID
		for _, id := range m.Module.Trials {
			if id, ok := here(id); ok {
				trials = append(trials, id)
			}
		}
		m.Module.Backends, m.Module.Trials = backends, trials
		if err = d.balancer.Restore(toDuration(now), m.Module); err != nil {
			err = fmt.Errorf("recalling what was known: %w", err)
			return
		}
		for _, e := range m.Hosts {
			if h := d.hosts[d.hostIDs[e.Name]]; h != nil && h.Name == e.Name && h.Status != Ready && e.Left > 0 {
				h.drainingSince = min(h.drainingSince, e.Left)
			}
		}
	})
	return err
}

// HostView tells how a host does.
type HostView struct {
	Host
	Left   float64 // when the node was told that it departs, +Inf = it does not
	Listed bool    // the module knows it; else Module is zero
	Module decide.BackendView
}

// View tells how a pilot sees its hosts, in the order of their names.
type View struct {
	decide.View // without Backends
	Now         float64
	Hosts       []HostView
	Open        int // tickets
}

// View gives the present view.
func (d *Pilot) View() (v View) {
	d.update(func(now float64) {
		v.View, v.Now, v.Open = d.balancer.View(toDuration(now)), now, len(d.tickets)
		known := map[decide.BackendID]decide.BackendView{}
		for _, b := range v.Backends {
			known[b.ID] = b
		}
		v.Backends = nil
		for id, h := range d.hosts {
			b, ok := known[id]
			v.Hosts = append(v.Hosts, HostView{h.Host, h.drainingSince, ok, b})
		}
	})
	slices.SortFunc(v.Hosts, func(a, b HostView) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// Part is the part of the hosts that the module keeps to.
func (d *Pilot) Part() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.Part()
}

// Room is what the hosts in use can take from this node together, in requests a second of average work; learned tells
// whether it rests on any answer.
func (d *Pilot) Room() (room float64, learned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.Room()
}
