package idempotency

import (
	"cmp"
	"slices"
)

// Restore adds an entry from before a restart. A call that was running then may have run. Restore reports whether
// there was capacity; a key that is known already keeps its entry.
func (t *Table) Restore(now float64, k Entry) bool {
	t.advance(now)
	if _, known := t.index[k.Key]; known {
		return true
	}
	slot, ok := t.insert(k.Call)
	if !ok {
		return false
	}
	outcome, age := OutcomeInDoubt, max(0, k.Age)
	if k.Running {
		age = 0
	} else if k.Served {
		outcome = OutcomeServed
	}
	size := k.Size
	if k.Body == nil {
		size = t.config.MaxBodyBytes + 1
	}
	t.now -= age // its window begins at its end
	t.Complete(t.now, Ref{slot, t.entries[slot].generation}, outcome, k.Body, size)
	t.now += age
	t.expire()
	return true
}

// Resume adds an entry for a call that still runs in another process, and returns its Ref for Complete. It reports
// whether there was capacity; a key that is known already keeps its entry, and Resume returns false.
func (t *Table) Resume(now float64, c Call) (Ref, bool) {
	t.advance(now)
	if _, known := t.index[c.Key]; known {
		return Ref{}, false
	}
	slot, ok := t.insert(c)
	if !ok {
		return Ref{}, false
	}
	return Ref{slot, t.entries[slot].generation}, true
}

// Snapshot returns every entry as Restore accepts it, in an order in which a table that restores them all evicts
// bodies in the same order as this one. Running entries come last.
func (t *Table) Snapshot() (entries []Entry) {
	windows, order := make([]Windows, len(t.lanes)), make([]int, len(t.lanes))
	for i := range t.lanes {
		windows[i], order[i] = t.lanes[i].Windows, i
	}
	// A table that restored a snapshot has its lanes in another order; sorting makes it return the same snapshot.
	slices.SortFunc(order, func(i, j int) int {
		a, b := &t.lanes[i], &t.lanes[j]
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.Answered, b.Answered), cmp.Compare(a.Doubt, b.Doubt))
	})
	toEntry := func(e *entry) Entry {
		w := &windows[e.lane]
		k := Entry{Call: Call{e.key, e.fingerprint, int(e.class), int(e.tenant), w}, Running: e.state == stateRunning,
			Served: e.state == stateAnswered || e.state == stateExecuted, Body: e.body, Size: int(e.size)}
		switch {
		case e.state == stateInDoubt:
			k.Age = t.now - (e.expires - w.Doubt)
		case k.Served:
			k.Age = t.now - (e.expires - w.Answered)
		}
		return k
	}
	for slot := t.bodies.head; slot >= 0; slot = t.entries[slot].links[byBody].next {
		entries = append(entries, toEntry(&t.entries[slot]))
	}
	for _, i := range order {
		for _, q := range []*queue{&t.lanes[i].executed, &t.lanes[i].inDoubt} {
			for slot := q.head; slot >= 0; slot = t.entries[slot].links[byExpiry].next {
				if e := &t.entries[slot]; e.state != stateAnswered {
					entries = append(entries, toEntry(e))
				}
			}
		}
	}
	for slot := range t.entries {
		if e := &t.entries[slot]; e.state == stateRunning {
			entries = append(entries, toEntry(e))
		}
	}
	return entries
}
