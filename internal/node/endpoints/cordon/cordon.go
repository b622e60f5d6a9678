// Package cordon adjusts the host list for the dispatcher while hosts are cordoned by an operator or by the
// fleet's policy. It is applied after every source and after the removal guard: whatever the sources list, a
// cordoned host is result as draining. A host that was resumed is result as started at that moment, because it has
// been restarted meanwhile and is cold.
//
// The package is pure: no clock, no lock, no I/O. Bounds: one entry for each listed host, and maxCordoned cordoned
// hosts, which may have left the list.
package cordon

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

// maxCordoned is the maximum number of hosts cordoned at the same time, by operators and by the policy each.
const maxCordoned = 4096

// Reasons for which Suspend or Resume fails.
var (
	ErrUnknown = errors.New("no such rater is listed")
	ErrFleet   = errors.New("the rater is out by the fleet's policy")
	ErrFull    = fmt.Errorf("%d raters are out by hand, which is all that can be", maxCordoned)
)

// Tracker keeps what the sources list and which hosts are cordoned. The zero value is empty and ready for use.
type Tracker struct {
	listed        map[string]dispatch.Host
	cordoned      map[string]bool    // cordoned by an operator
	fleetCordoned map[string]bool    // cordoned by the fleet's policy, independent of operators
	resumedAt     map[string]float64 // when a listed host was resumed
}

// Apply records an update of the sources, the whole list or what has changed, and returns it as the dispatcher
// must see it.
func (t *Tracker) Apply(from dispatch.ListKind, list []dispatch.Host) []dispatch.Host {
	t.make()
	if from != dispatch.Delta {
		clear(t.listed)
	}
	result := list
	for i, h := range list {
		if h.Status == dispatch.Removed {
			delete(t.listed, h.Name)
			continue
		}
		t.listed[h.Name] = h
		if adjusted := t.adjusted(h); adjusted != h {
			if &result[0] == &list[0] {
				result = slices.Clone(list) // the slice belongs to the source
			}
			result[i] = adjusted
		}
	}
	maps.DeleteFunc(t.resumedAt, func(name string, _ float64) bool { _, there := t.listed[name]; return !there })
	return result
}

// make allocates the maps of a zero value.
func (t *Tracker) make() {
	if t.listed == nil {
		t.listed, t.cordoned, t.resumedAt = map[string]dispatch.Host{}, map[string]bool{}, map[string]float64{}
	}
}

// adjusted returns a host as the dispatcher must see it.
func (t *Tracker) adjusted(h dispatch.Host) dispatch.Host {
	if t.IsCordoned(h.Name) && h.Status == dispatch.Ready {
		h.Status = dispatch.Draining
	}
	h.Since = max(h.Since, t.resumedAt[h.Name])
	return h
}

// Suspend cordons a host until Resume, and returns what has changed for the dispatcher. It is idempotent. The
// error is ErrUnknown or ErrFull.
func (t *Tracker) Suspend(name string) ([]dispatch.Host, error) {
	t.make()
	h, listed := t.listed[name]
	switch {
	case t.cordoned[name]:
		return nil, nil
	case !listed:
		return nil, ErrUnknown
	case len(t.cordoned) >= maxCordoned:
		return nil, ErrFull
	}
	t.cordoned[name] = true
	delete(t.resumedAt, name)
	return []dispatch.Host{t.adjusted(h)}, nil
}

// Resume ends a host's cordon by an operator, and returns what has changed for the dispatcher. The host is cold.
// The error is ErrUnknown, or ErrFleet for a host that is cordoned by the fleet's policy.
func (t *Tracker) Resume(now float64, name string) ([]dispatch.Host, error) {
	t.make()
	h, listed := t.listed[name]
	if !listed && !t.cordoned[name] {
		return nil, ErrUnknown
	}
	if t.fleetCordoned[name] {
		return nil, ErrFleet
	}
	if !t.cordoned[name] {
		return nil, nil
	}
	delete(t.cordoned, name)
	if !listed {
		return nil, nil
	}
	t.resumedAt[name] = now
	return []dispatch.Host{t.adjusted(h)}, nil
}

// SetFleetCordons replaces the set of hosts that the fleet's policy cordons, listed or not, and returns what has
// changed for the dispatcher. A host that is no longer cordoned is cold. Names beyond maxCordoned are ignored.
func (t *Tracker) SetFleetCordons(now float64, names []string) (changed []dispatch.Host) {
	t.make()
	previous := t.fleetCordoned
	t.fleetCordoned = map[string]bool{}
	for _, name := range names[:min(len(names), maxCordoned)] {
		t.fleetCordoned[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(t.listed)) {
		switch {
		case previous[name] == t.fleetCordoned[name] || t.cordoned[name]:
			continue
		case previous[name]:
			t.resumedAt[name] = now
		default:
			delete(t.resumedAt, name)
		}
		changed = append(changed, t.adjusted(t.listed[name]))
	}
	return changed
}

// Listed returns the number of hosts that the sources list.
func (t *Tracker) Listed() int { return len(t.listed) }

// IsCordoned reports whether a host is cordoned, by an operator or by the fleet's policy.
func (t *Tracker) IsCordoned(name string) bool { return t.cordoned[name] || t.fleetCordoned[name] }

// Snapshot holds which hosts operators have cordoned and when hosts were resumed, for the next process of the node.
type Snapshot struct {
	Cordoned  []string           `json:"out,omitempty"`
	ResumedAt map[string]float64 `json:"back,omitempty"`
}

// Snapshot returns the state that another process of the node needs.
func (t *Tracker) Snapshot() Snapshot {
	return Snapshot{Cordoned: slices.Sorted(maps.Keys(t.cordoned)), ResumedAt: maps.Clone(t.resumedAt)}
}

// Restore replaces the operators' cordons and the resume times by those of another process of the node, and
// returns what has changed for the dispatcher.
func (t *Tracker) Restore(m Snapshot) []dispatch.Host {
	t.make()
	previous := map[string]dispatch.Host{}
	for name, h := range t.listed {
		previous[name] = t.adjusted(h)
	}
	clear(t.cordoned)
	clear(t.resumedAt)
	for _, name := range m.Cordoned[:min(len(m.Cordoned), maxCordoned)] {
		t.cordoned[name] = true
	}
	for name, at := range m.ResumedAt {
		if _, listed := t.listed[name]; listed || len(t.listed) == 0 {
			t.resumedAt[name] = at
		}
	}
	var changed []dispatch.Host
	for _, name := range slices.Sorted(maps.Keys(t.listed)) {
		if h := t.adjusted(t.listed[name]); h != previous[name] {
			changed = append(changed, h)
		}
	}
	return changed
}
