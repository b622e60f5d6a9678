package idempotency

// state is what is known of a key.
type state uint8

const (
	stateFree state = iota // the slot is unused
	stateRunning
	stateAnswered // executed, its response is kept
	stateExecuted // executed, its response is not kept
	stateInDoubt  // may have executed
)

// entry holds what is known of one key. It is in at most two queues: one by expiry, one of bodies.
type entry struct {
	key         Key
	fingerprint Fingerprint
	body        any
	expires     float64 // ms; of an ended one
	size        int32   // bytes of body
	tenant      int32
	links       [queues]links
	generation  uint32 // of the slot: a Ref of another generation is of a run that has ended
	lane        uint16
	class       uint8
	state       state
}

// EntryBytes bounds the memory of one entry with its place in the index, as this package's test measures it.
const EntryBytes = 192

// lookup returns the entry of a run, nil if that run is not in the table any more.
func (t *Table) lookup(ref Ref) *entry {
	if ref.slot < 0 || int(ref.slot) >= len(t.entries) || t.entries[ref.slot].generation != ref.generation {
		return nil
	}
	return &t.entries[ref.slot]
}

// allocate returns an unused slot.
func (t *Table) allocate() int32 {
	if t.freeHead < 0 {
		t.entries = append(t.entries, entry{links: unlinked})
		return int32(len(t.entries) - 1)
	}
	slot := t.freeHead
	t.freeHead = t.entries[slot].links[byExpiry].next
	t.entries[slot].links[byExpiry].next = -1
	return slot
}

// remove deletes an entry. The caller has removed it from the counts.
func (t *Table) remove(slot int32) {
	t.unlink(slot)
	e := &t.entries[slot]
	t.lanes[e.lane].keys--
	delete(t.index, e.key)
	*e = entry{generation: e.generation + 1, links: unlinked}
	e.links[byExpiry].next = t.freeHead
	t.freeHead = slot
	t.counts.Entries--
}

// unlink removes an entry from its queues and drops its body. The caller has removed it from the counts.
func (t *Table) unlink(slot int32) {
	e := &t.entries[slot]
	switch e.state {
	case stateAnswered:
		t.discardBody(slot)
		fallthrough
	case stateExecuted, stateInDoubt:
		t.removeFrom(t.expiryQueue(e), byExpiry, slot)
	}
}

// discardBody frees the body of an answered entry, whose state the caller changes.
func (t *Table) discardBody(slot int32) {
	e := &t.entries[slot]
	t.removeFrom(&t.bodies, byBody, slot)
	t.counts.Bytes -= int(e.size)
	e.body, e.size = nil, 0
}

// evictBody evicts the oldest body. From then on its entry is only known to have executed.
func (t *Table) evictBody() {
	slot := t.bodies.head
	t.addToCounts(slot, -1)
	t.discardBody(slot)
	t.entries[slot].state = stateExecuted
	t.addToCounts(slot, 1)
	t.counts.BodiesEvicted++
}

// addToCounts adds delta to the counts that an entry belongs to: that of its state and, if it is pinned, those of
// pinned entries. It is called with -1 before a change of state, and with 1 after it.
func (t *Table) addToCounts(slot int32, delta int) {
	e := &t.entries[slot]
	switch e.state {
	case stateRunning:
		t.counts.Running += delta
	case stateAnswered:
		t.counts.Answered += delta
	case stateExecuted:
		t.counts.Executed += delta
	case stateInDoubt:
		t.counts.InDoubt += delta
	}
	if t.isPinned(e) {
		t.counts.Pinned += delta
		t.pinnedByTenant[t.tenantIndex(int(e.tenant))] += delta
	}
}

// isPinned reports whether an entry must not be evicted.
func (t *Table) isPinned(e *entry) bool {
	return e.state == stateRunning || t.config.Classes[e.class].AtMostOnce
}

// tenantIndex returns a tenant's index in pinnedByTenant.
func (t *Table) tenantIndex(tenant int) int {
	if tenant < 0 || tenant >= t.config.Tenants {
		return t.config.Tenants
	}
	return tenant
}

// evictOne removes the entry that would expire first among those that are not pinned, and reports whether there was
// one.
func (t *Table) evictOne() bool {
	victim := int32(-1)
	for i := range t.lanes {
		l := &t.lanes[i]
		if t.config.Classes[l.class].AtMostOnce {
			continue
		}
		for _, head := range [...]int32{l.executed.head, l.inDoubt.head} {
			if head >= 0 && (victim < 0 || t.entries[head].expires < t.entries[victim].expires) {
				victim = head
			}
		}
	}
	if victim < 0 {
		return false
	}
	t.addToCounts(victim, -1)
	t.remove(victim)
	t.counts.KeysEvicted++
	return true
}
