// Package cordon decides what of the list the module is shown while raters are out by hand. It stands after every source and the
// guard: whatever they list, a rater that is out is shown draining, and one that was called back as started in that moment, for
// it was restarted meanwhile and is cold.
//
// It is pure: no clock, no lock, no I/O. Bounds: one entry for each rater that is listed, and maxCordoned that are out, which may
// have left the list.
package cordon

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

// maxCordoned is how many raters can be out at once.
const maxCordoned = 4096

// What an order can be refused for.
var (
	ErrUnknown = errors.New("no such rater is listed")
	ErrFleet   = errors.New("the rater is out by the fleet's policy")
	ErrFull    = fmt.Errorf("%d raters are out by hand, which is all that can be", maxCordoned)
)

// Tracker is what the sources list and who is out. The zero value is an empty one.
type Tracker struct {
	listed        map[string]dispatch.Host
	cordoned      map[string]bool
	fleetCordoned map[string]bool    // out by the fleet's policy, beside those by hand
	resumedAt     map[string]float64 // when a listed one was called back
}

// Apply notes what the sources give, the whole list or what has changed, and returns it as the module is to see it.
func (b *Tracker) Apply(from dispatch.Source, list []dispatch.Host) []dispatch.Host {
	b.make()
	if from != dispatch.Changes {
		clear(b.listed)
	}
	shown := list
	for i, h := range list {
		if h.Status == dispatch.Removed {
			delete(b.listed, h.Name)
			continue
		}
		b.listed[h.Name] = h
		if seen := b.show(h); seen != h {
			if &shown[0] == &list[0] {
				shown = slices.Clone(list) // the source keeps its own
			}
			shown[i] = seen
		}
	}
	maps.DeleteFunc(b.resumedAt, func(name string, _ float64) bool { _, there := b.listed[name]; return !there })
	return shown
}

func (b *Tracker) make() {
	if b.listed == nil {
		b.listed, b.cordoned, b.resumedAt = map[string]dispatch.Host{}, map[string]bool{}, map[string]float64{}
	}
}

// show is one rater as the module is to see it.
func (b *Tracker) show(h dispatch.Host) dispatch.Host {
	if b.IsCordoned(h.Name) && h.Status == dispatch.Ready {
		h.Status = dispatch.Draining
	}
	h.Since = max(h.Since, b.resumedAt[h.Name])
	return h
}

// Suspend leaves a rater out until Resume, and returns what has changed for the module. Twice is as good as once.
func (b *Tracker) Suspend(name string) ([]dispatch.Host, error) {
	b.make()
	h, listed := b.listed[name]
	switch {
	case b.cordoned[name]:
		return nil, nil
	case !listed:
		return nil, ErrUnknown
	case len(b.cordoned) >= maxCordoned:
		return nil, ErrFull
	}
	b.cordoned[name] = true
	delete(b.resumedAt, name)
	return []dispatch.Host{b.show(h)}, nil
}

// Resume lets a rater serve again, cold, and returns what has changed for the module.
func (b *Tracker) Resume(now float64, name string) ([]dispatch.Host, error) {
	b.make()
	h, listed := b.listed[name]
	if !listed && !b.cordoned[name] {
		return nil, ErrUnknown
	}
	if b.fleetCordoned[name] {
		return nil, ErrFleet
	}
	if !b.cordoned[name] {
		return nil, nil
	}
	delete(b.cordoned, name)
	if !listed {
		return nil, nil
	}
	b.resumedAt[name] = now
	return []dispatch.Host{b.show(h)}, nil
}

// SetFleetCordons has just these raters out by the fleet's policy, listed or not, and returns what has changed for the module. One that comes
// back is cold.
func (b *Tracker) SetFleetCordons(now float64, names []string) (changed []dispatch.Host) {
	b.make()
	was := b.fleetCordoned
	b.fleetCordoned = map[string]bool{}
	for _, name := range names[:min(len(names), maxCordoned)] {
		b.fleetCordoned[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(b.listed)) {
		switch {
		case was[name] == b.fleetCordoned[name] || b.cordoned[name]:
			continue
		case was[name]:
			b.resumedAt[name] = now
		default:
			delete(b.resumedAt, name)
		}
		changed = append(changed, b.show(b.listed[name]))
	}
	return changed
}

// Listed is how many raters the sources list.
func (b *Tracker) Listed() int { return len(b.listed) }

// IsCordoned tells whether a rater is out, by hand or by the fleet's policy.
func (b *Tracker) IsCordoned(name string) bool { return b.cordoned[name] || b.fleetCordoned[name] }

// Snapshot is who is out, and who was called back when, for the process that comes after this one.
type Snapshot struct {
	Cordoned  []string           `json:"out,omitempty"`
	ResumedAt map[string]float64 `json:"back,omitempty"`
}

// Snapshot gives what another process of the node has to know.
func (b *Tracker) Snapshot() Snapshot {
	return Snapshot{Cordoned: slices.Sorted(maps.Keys(b.cordoned)), ResumedAt: maps.Clone(b.resumedAt)}
}

// Restore takes what another process of the node knew, in place of what is known here, and returns what changes for the module.
func (b *Tracker) Restore(m Snapshot) []dispatch.Host {
	b.make()
	was := map[string]dispatch.Host{}
	for name, h := range b.listed {
		was[name] = b.show(h)
	}
	clear(b.cordoned)
	clear(b.resumedAt)
	for _, name := range m.Cordoned[:min(len(m.Cordoned), maxCordoned)] {
		b.cordoned[name] = true
	}
	for name, at := range m.ResumedAt {
		if _, listed := b.listed[name]; listed || len(b.listed) == 0 {
			b.resumedAt[name] = at
		}
	}
	var changed []dispatch.Host
	for _, name := range slices.Sorted(maps.Keys(b.listed)) {
		if h := b.show(b.listed[name]); h != was[name] {
			changed = append(changed, h)
		}
	}
	return changed
}
