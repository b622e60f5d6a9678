package dispatch

import (
	"cmp"
	"slices"

	"linenwheel.dev/linenwheel/decide"
)

// HostView is the current state of a host, for status pages and metrics.
type HostView struct {
	Host
	DrainingSince float64 // milliseconds; when the node learned that the host drains; +Inf = it does not drain
	Known         bool    // the decision module knows the host; otherwise Module is the zero value
	Module        decide.BackendView
}

// View is the current state of a Dispatcher, with the hosts sorted by name.
type View struct {
	decide.View          // Backends is nil
	Now          float64 // milliseconds
	Hosts        []HostView
	OpenRequests int
}

// View returns the current state without changing it.
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

// SubsetFraction returns the fraction of the hosts that this node sends to, above 0 and at most 1.
func (d *Dispatcher) SubsetFraction() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.SubsetFraction()
}

// Capacity returns how much of the capacity of the hosts in use is available to this node, in requests of average
// cost per second. learned reports whether the estimate is based on any response.
func (d *Dispatcher) Capacity() (capacity float64, learned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.Capacity()
}
