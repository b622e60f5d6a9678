package idempotency

// The queues that an entry may be in.
const (
	byExpiry = iota // of its lane; for an unused slot, the free list
	byBody          // of all bodies, oldest first
	queues
)

// links are an entry's neighbours in one queue; -1 = none.
type links struct{ next, prev int32 }

// unlinked are the links of an entry that is in no queue.
var unlinked = [queues]links{{-1, -1}, {-1, -1}}

// queue is a doubly linked list through the links of the entries; -1 ends it.
type queue struct{ head, tail int32 }

var emptyQueue = queue{-1, -1}

// insertAfter inserts a slot after another one of a queue; at the head of the queue if after is -1.
func (t *Table) insertAfter(q *queue, which int, slot, after int32) {
	l := &t.entries[slot].links[which]
	l.prev, l.next = after, q.head
	if after >= 0 {
		l.next = t.entries[after].links[which].next
		t.entries[after].links[which].next = slot
	} else {
		q.head = slot
	}
	if l.next >= 0 {
		t.entries[l.next].links[which].prev = slot
	} else {
		q.tail = slot
	}
}

// removeFrom removes a slot from a queue that it is in.
func (t *Table) removeFrom(q *queue, which int, slot int32) {
	l := &t.entries[slot].links[which]
	if l.prev >= 0 {
		t.entries[l.prev].links[which].next = l.next
	} else {
		q.head = l.next
	}
	if l.next >= 0 {
		t.entries[l.next].links[which].prev = l.prev
	} else {
		q.tail = l.prev
	}
	l.next, l.prev = -1, -1
}
