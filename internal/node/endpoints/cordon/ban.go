// Package cordon decides what of the list the module is shown while raters are out by hand. It stands after every source and the
// guard: whatever they list, a rater that is out is shown draining, and one that was called back as started in that moment, for
// it was restarted meanwhile and is cold.
//
// It is pure: no clock, no lock, no I/O. Bounds: one entry for each rater that is listed, and mostOut that are out, which may
// have left the list.
package cordon

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

// mostOut is how many raters can be out at once.
const mostOut = 4096

// What an order can be refused for.
var (
	ErrUnknown = errors.New("no such rater is listed")
	ErrFleet   = errors.New("the rater is out by the fleet's policy")
	ErrFull    = fmt.Errorf("%d raters are out by hand, which is all that can be", mostOut)
)

// Book is what the sources list and who is out. The zero value is an empty one.
type Book struct {
	listed map[string]dispatch.Host
	out    map[string]bool
	fleet  map[string]bool    // out by the fleet's policy, beside those by hand
	back   map[string]float64 // when a listed one was called back
}

// Take notes what the sources give, the whole list or what has changed, and returns it as the module is to see it.
func (b *Book) Take(from dispatch.ListKind, list []dispatch.Host) []dispatch.Host {
	b.make()
	if from != dispatch.Delta {
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
	maps.DeleteFunc(b.back, func(name string, _ float64) bool { _, there := b.listed[name]; return !there })
	return shown
}

func (b *Book) make() {
	if b.listed == nil {
		b.listed, b.out, b.back = map[string]dispatch.Host{}, map[string]bool{}, map[string]float64{}
	}
}

// show is one rater as the module is to see it.
func (b *Book) show(h dispatch.Host) dispatch.Host {
	if b.Out(h.Name) && h.Status == dispatch.Ready {
		h.Status = dispatch.Draining
	}
	h.Since = max(h.Since, b.back[h.Name])
	return h
}

// Suspend leaves a rater out until Resume, and returns what has changed for the module. Twice is as good as once.
func (b *Book) Suspend(name string) ([]dispatch.Host, error) {
	b.make()
	h, listed := b.listed[name]
	switch {
	case b.out[name]:
		return nil, nil
	case !listed:
		return nil, ErrUnknown
	case len(b.out) >= mostOut:
		return nil, ErrFull
	}
	b.out[name] = true
	delete(b.back, name)
	return []dispatch.Host{b.show(h)}, nil
}

// Resume lets a rater serve again, cold, and returns what has changed for the module.
func (b *Book) Resume(now float64, name string) ([]dispatch.Host, error) {
	b.make()
	h, listed := b.listed[name]
	if !listed && !b.out[name] {
		return nil, ErrUnknown
	}
	if b.fleet[name] {
		return nil, ErrFleet
	}
	if !b.out[name] {
		return nil, nil
	}
	delete(b.out, name)
	if !listed {
		return nil, nil
	}
	b.back[name] = now
	return []dispatch.Host{b.show(h)}, nil
}

// Fleet has just these raters out by the fleet's policy, listed or not, and returns what has changed for the module. One that comes
// back is cold.
func (b *Book) Fleet(now float64, names []string) (changed []dispatch.Host) {
	b.make()
	was := b.fleet
	b.fleet = map[string]bool{}
	for _, name := range names[:min(len(names), mostOut)] {
		b.fleet[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(b.listed)) {
		switch {
		case was[name] == b.fleet[name] || b.out[name]:
			continue
		case was[name]:
			b.back[name] = now
		default:
			delete(b.back, name)
		}
		changed = append(changed, b.show(b.listed[name]))
	}
	return changed
}

// Listed is how many raters the sources list.
func (b *Book) Listed() int { return len(b.listed) }

// Out tells whether a rater is out, by hand or by the fleet's policy.
func (b *Book) Out(name string) bool { return b.out[name] || b.fleet[name] }

// Memory is who is out, and who was called back when, for the process that comes after this one.
type Memory struct {
	Out  []string           `json:"out,omitempty"`
	Back map[string]float64 `json:"back,omitempty"`
}

// Remember gives what another process of the node has to know.
func (b *Book) Remember() Memory {
	return Memory{Out: slices.Sorted(maps.Keys(b.out)), Back: maps.Clone(b.back)}
}

// Recall takes what another process of the node knew, in place of what is known here, and returns what changes for the module.
func (b *Book) Recall(m Memory) []dispatch.Host {
	b.make()
	was := map[string]dispatch.Host{}
	for name, h := range b.listed {
		was[name] = b.show(h)
	}
	clear(b.out)
	clear(b.back)
	for _, name := range m.Out[:min(len(m.Out), mostOut)] {
		b.out[name] = true
	}
	for name, at := range m.Back {
		if _, listed := b.listed[name]; listed || len(b.listed) == 0 {
			b.back[name] = at
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
