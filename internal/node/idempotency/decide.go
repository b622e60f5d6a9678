package idempotency

// Claim decides on a call that has arrived, and claims its key where the verdict is Run.
func (t *Table) Claim(now float64, c Call) Decision {
	t.advance(now)
	d := t.decide(c)
	t.counts.Verdicts[d.Verdict]++
	return d
}

// decide is Claim without advancing the time and without counting verdicts.
func (t *Table) decide(c Call) Decision {
	slot, known := t.index[c.Key]
	if !known {
		return t.admit(c)
	}
	if d := t.Peek(c); d.Verdict != Run {
		return d
	}
	// It may have executed, and a repeat does no harm: the entry begins anew, under the windows of this call.
	e := &t.entries[slot]
	t.addToCounts(slot, -1)
	t.unlink(slot)
	if lane, ok := t.findLane(c); ok {
		t.lanes[e.lane].keys--
		t.lanes[lane].keys++
		e.lane = uint16(lane)
	}
	e.state = stateRunning
	e.generation++
	t.addToCounts(slot, 1)
	return Decision{Verdict: Run, Ref: Ref{slot, e.generation}}
}

// Peek returns what Claim would decide and changes nothing. For an unknown key it returns Run, whether or not the
// table has capacity for it.
func (t *Table) Peek(c Call) Decision {
	slot, known := t.index[c.Key]
	if !known {
		return Decision{Verdict: Run}
	}
	e := &t.entries[slot]
	once := t.config.Classes[e.class].AtMostOnce
	switch {
	case e.fingerprint != c.Fingerprint || int(e.class) != c.Class:
		return Decision{Verdict: Mismatch}
	case e.state == stateRunning:
		return Decision{Verdict: Join, Ref: Ref{slot, e.generation}}
	case e.state == stateAnswered:
		return Decision{Verdict: Replay, Body: e.body}
	case e.state == stateExecuted && once:
		return Decision{Verdict: Executed}
	case once:
		return Decision{Verdict: InDoubt}
	}
	return Decision{Verdict: Run}
}

// admit decides on a call whose key is unknown, and inserts its entry if there is capacity.
func (t *Table) admit(c Call) Decision {
	once := t.config.Classes[c.Class].AtMostOnce
	unpinned := t.config.MaxEntries - t.counts.Pinned
	if once && float64(t.Pinned(c.Tenant)) >= t.config.PinnedRatio*float64(unpinned) {
		return Decision{Verdict: Full, RetryAfter: t.retryAfter()}
	}
	slot, ok := t.insert(c)
	switch {
	case !ok && once:
		return Decision{Verdict: Full, RetryAfter: t.retryAfter()}
	case !ok:
		return Decision{Verdict: RunUnrecorded}
	}
	return Decision{Verdict: Run, Ref: Ref{slot, t.entries[slot].generation}}
}

// Complete records the outcome of a run. Of a served one, body is the response, of size bytes; it is kept if it
// fits, and the oldest bodies are evicted for it. A Ref whose run has ended already is ignored.
func (t *Table) Complete(now float64, ref Ref, outcome Outcome, body any, size int) {
	t.advance(now)
	e := t.lookup(ref)
	if e == nil || e.state != stateRunning {
		return
	}
	t.addToCounts(ref.slot, -1)
	windows := &t.lanes[e.lane].Windows
	switch outcome {
	case OutcomeNotExecuted:
		t.remove(ref.slot)
		return
	case OutcomeInDoubt:
		e.state, e.expires = stateInDoubt, t.now+windows.Doubt
	default:
		e.state, e.expires = stateExecuted, t.now+windows.Answered
		if size <= t.config.MaxBodyBytes {
			for t.counts.Bytes+size > t.config.MaxBodyBytes {
				t.evictBody()
			}
			e.state, e.body, e.size = stateAnswered, body, int32(size)
			t.counts.Bytes += size
			t.insertAfter(&t.bodies, byBody, ref.slot, t.bodies.tail)
		}
	}
	t.enqueueExpiry(ref.slot)
	t.addToCounts(ref.slot, 1)
	t.expire() // a window may be 0
}

// insert adds a running entry for a call and returns its slot; false if there is no capacity, no lane or no such
// class.
func (t *Table) insert(c Call) (slot int32, ok bool) {
	if c.Class < 0 || c.Class >= len(t.config.Classes) {
		return 0, false
	}
	lane, ok := t.findLane(c)
	if !ok || t.counts.Entries >= t.config.MaxEntries && !t.evictOne() {
		return 0, false
	}
	t.lanes[lane].keys++
	slot = t.allocate()
	e := &t.entries[slot]
	e.key, e.fingerprint, e.class, e.tenant, e.state = c.Key, c.Fingerprint, uint8(c.Class), int32(c.Tenant), stateRunning
	e.lane = uint16(lane)
	t.index[c.Key] = slot
	t.counts.Entries++
	t.addToCounts(slot, 1)
	return slot, true
}
