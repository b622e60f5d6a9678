package dispatch

import (
	"cmp"
	"slices"

	"linenwheel.dev/linenwheel/decide"
)

// HostView is the present state of a host, for status pages and metrics.
type HostView struct {
	Host
	DrainingSince float64 // milliseconds; when the node learned that it drains, +Inf = it does not
	Known         bool    // the module knows it; else Module is zero
	Module        decide.BackendView
}

// View is the present state of a Pilot, with the hosts in the order of their names.
type View struct {
	decide.View          // without Backends
	Now          float64 // milliseconds
	Hosts        []HostView
	OpenRequests int // requests
}

// View returns the present view. It changes nothing.
func (d *Dispatcher) View() (v View) {
	d.update(func(now float64) {
		v.View, v.Now, v.OpenRequests = d.balancer.View(toDuration(now)), now, len(d.tickets)
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

// SubsetFraction is the fraction of the hosts that this node sends to, above 0 and at most 1.
func (d *Dispatcher) SubsetFraction() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.SubsetFraction()
}

// Capacity is the capacity of the hosts in use for this node, in requests a second of average work. learned tells whether it
// rests on any response.
func (d *Dispatcher) Capacity() (capacity float64, learned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.Capacity()
}
