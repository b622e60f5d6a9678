package idempotency

import (
	"math"
)

// lane holds the keys of one class with equal windows. Within each of its queues entries are in the order of their
// expiry.
type lane struct {
	class uint8
	Windows
	keys     int   // entries of the lane; without any it may be reused
	executed queue // those in stateAnswered or stateExecuted
	inDoubt  queue
}

// maxLanes bounds the lanes of a table.
const maxLanes = 1024

// findLane returns the lane for a call, a new one if necessary; false if none is left.
func (t *Table) findLane(c Call) (index int, ok bool) {
	w := Windows{t.config.Classes[c.Class].AnsweredWindow, t.config.Classes[c.Class].InDoubtWindow}
	if c.Windows != nil {
		w = *c.Windows
	}
	matches := func(l *lane) bool { return int(l.class) == c.Class && l.Windows == w }
	if index = t.lastLane[c.Class]; index < len(t.lanes) && matches(&t.lanes[index]) {
		return index, true
	}
	unused := -1
	for index = range t.lanes {
		if l := &t.lanes[index]; matches(l) {
			t.lastLane[c.Class] = index
			return index, true
		} else if l.keys == 0 {
			unused = index
		}
	}
	if unused < 0 {
		if len(t.lanes) >= maxLanes {
			return 0, false
		}
		unused = len(t.lanes)
		t.lanes = append(t.lanes, lane{})
	}
	t.lanes[unused] = lane{class: uint8(c.Class), Windows: w, executed: emptyQueue, inDoubt: emptyQueue}
	t.lastLane[c.Class] = unused
	return unused, true
}

// advance moves the time on, never back, and removes what has expired.
func (t *Table) advance(now float64) {
	if now > t.now {
		t.now = now
	}
	t.expire()
}

// Tick removes what has expired by now. Claim and Complete do so too; Tick is for times without calls.
func (t *Table) Tick(now float64) { t.advance(now) }

// NextExpiry returns when the next entry expires; +Inf if none does.
func (t *Table) NextExpiry() float64 {
	next := math.Inf(1)
	for i := range t.lanes {
		for _, head := range [...]int32{t.lanes[i].executed.head, t.lanes[i].inDoubt.head} {
			if head >= 0 {
				next = min(next, t.entries[head].expires)
			}
		}
	}
	return next
}

// expire removes every entry whose window is over.
func (t *Table) expire() {
	for i := range t.lanes {
		for _, q := range [...]*queue{&t.lanes[i].executed, &t.lanes[i].inDoubt} {
			for q.head >= 0 && t.entries[q.head].expires <= t.now {
				slot := q.head
				t.addToCounts(slot, -1)
				t.remove(slot)
			}
		}
	}
}

// retryAfter returns the milliseconds until the next entry expires, at least 1; 0 if that is not known.
func (t *Table) retryAfter() float64 {
	if next := t.NextExpiry(); !math.IsInf(next, 1) {
		return max(1, next-t.now)
	}
	return 0
}

// expiryQueue returns the queue that an ended entry is in: within one queue windows are equal, so that it is sorted
// by expiry.
func (t *Table) expiryQueue(e *entry) *queue {
	if e.state == stateInDoubt {
		return &t.lanes[e.lane].inDoubt
	}
	return &t.lanes[e.lane].executed
}

// enqueueExpiry inserts an ended entry in the order of expiry.
func (t *Table) enqueueExpiry(slot int32) {
	e := &t.entries[slot]
	q := t.expiryQueue(e)
	after := q.tail // only a restored entry may belong before the tail
	for after >= 0 && t.entries[after].expires > e.expires {
		after = t.entries[after].links[byExpiry].prev
	}
	t.insertAfter(q, byExpiry, slot, after)
}
