package dispatch

import (
	"fmt"
	"math"

	"linenwheel.dev/linenwheel/decide"
)

// maxLoggedHosts is how many ignored hosts of one endpoint list are named in the log.
const maxLoggedHosts = 8

// host is a listed host.
type host struct {
	Host
	drainingSince float64 // milliseconds; when the node learned that the host drains or is removed; +Inf while it is ready
}

// SetHosts applies an update of the endpoint list. Hosts of a zone or kind that the settings do not name are
// ignored and logged.
func (d *Dispatcher) SetHosts(kind ListKind, hosts []Host) {
	d.update(func(now float64) {
		if kind != Delta {
			inList := map[string]bool{}
			for i := range hosts {
				inList[hosts[i].Name] = true
			}
			for _, h := range d.hosts {
				if !inList[h.Name] {
					d.removeHost(h.Name)
				}
			}
		}
		entries := make([]decide.Backend, 0, len(hosts))
		var unknown []string
		for i := range hosts {
			if e, ok := d.updateHost(now, hosts[i]); ok {
				entries = append(entries, e)
			} else {
				unknown = append(unknown, fmt.Sprintf("%q of zone %q and kind %q", hosts[i].Name, hosts[i].Zone, hosts[i].Kind))
			}
		}
		if len(unknown) > 0 {
			d.logLater(func() {
				d.log.Warn("hosts ignored: the settings do not name their zone or kind", "count", len(unknown),
					"first", unknown[:min(len(unknown), maxLoggedHosts)])
			})
		}
		d.balancer.UpdateEndpoints(toDuration(now), balancerListKinds[kind], entries)
		for i := range hosts {
			if hosts[i].Status == Removed {
				d.removeHost(hosts[i].Name)
			}
		}
	})
}

// removeHost forgets a host that is no longer listed: hosts join under new names for as long as the node runs, so
// the state would otherwise grow without bound. Nothing is sent to a host that is not listed.
func (d *Dispatcher) removeHost(name string) {
	delete(d.hosts, d.hostIDs[name])
	delete(d.hostIDs, name)
}

// updateHost records one entry of the endpoint list and converts it for the decision module. It returns false for an
// entry that cannot be used.
func (d *Dispatcher) updateHost(now float64, e Host) (decide.Backend, bool) {
	zone, zoneKnown := d.zoneIndex[e.Zone]
	kind, kindKnown := d.kindIndex[e.Kind]
	if !zoneKnown || !kindKnown || e.Name == "" || e.Status > Removed {
		return decide.Backend{}, false
	}
	id, known := d.hostIDs[e.Name]
	if !known {
		id = d.newID(e.Name)
		d.hostIDs[e.Name] = id
		d.hosts[id] = &host{drainingSince: math.Inf(1)}
	}
	h := d.hosts[id]
	h.Host = e
	if e.Status == Ready {
		h.drainingSince = math.Inf(1)
	} else {
		h.drainingSince = min(h.drainingSince, now)
	}
	return decide.Backend{ID: id, Zone: zone, Kind: kind, Cell: e.Cell, State: balancerStates[e.Status],
		Weight: e.Weight, Started: toDuration(e.Since)}, true
}

// newID returns the id for a new host: the FNV-1a hash of its name, which is the same at every node, or the next
// free id if that one is in use.
func (d *Dispatcher) newID(name string) decide.BackendID {
	id := decide.BackendID(2166136261)
	for _, c := range []byte(name) {
		id = (id ^ decide.BackendID(c)) * 16777619
	}
	for d.hosts[id] != nil {
		id++
	}
	return id
}
