package sim

import "slices"

// event is something due in the simulation. What id and arg mean hangs on the kind.
type event struct {
	at   float64
	arg  uint64
	seq  uint32
	id   int32
	life uint16
	kind kind
}

// before orders by time; of one time, what was put in first goes first.
func (e *event) before(f *event) bool { return e.at < f.at || e.at == f.at && e.seq < f.seq }

// queue is a calendar queue: a ring of buckets, each a stretch of time, of which only the one that is being emptied is
// sorted. What lies beyond the ring waits in a heap.
type queue struct {
	width float64 // ms a bucket
	ring  [][]event
	base  int64   // number of the bucket that is being emptied
	next  int     // place in it
	today []event // that bucket, sorted
	late  []event // heap of what was put into it since
	far   []event // heap of what lies beyond the ring
	n     int     // in the ring
	seq   uint32
	spare [][]event
}

const ringSize = 1 << 15

func newQueue(width float64) *queue { return &queue{width: width, ring: make([][]event, ringSize)} }

func (q *queue) bucket(at float64) int64 { return int64(at / q.width) }

func (q *queue) push(e event) {
	q.seq++
	e.seq = q.seq
	switch b := q.bucket(e.at); {
	case b <= q.base:
		q.late = heapPush(q.late, e)
	case b < q.base+ringSize:
		q.put(b, e)
	default:
		q.far = heapPush(q.far, e)
	}
}

func (q *queue) put(b int64, e event) {
	at := &q.ring[b&(ringSize-1)]
	if *at == nil && len(q.spare) > 0 {
		*at = q.spare[len(q.spare)-1]
		q.spare = q.spare[:len(q.spare)-1]
	}
	*at = append(*at, e)
	q.n++
}

// peek gives the time of the first event; false if there is none.
func (q *queue) peek() (at float64, ok bool) {
	if e := q.first(); e != nil {
		return e.at, true
	}
	return 0, false
}

func (q *queue) first() *event {
	for {
		switch {
		case q.next < len(q.today):
			if len(q.late) > 0 && q.late[0].before(&q.today[q.next]) {
				return &q.late[0]
			}
			return &q.today[q.next]
		case len(q.late) > 0:
			return &q.late[0]
		case !q.turn():
			return nil
		}
	}
}

// pop takes the first event out.
func (q *queue) pop() event {
	e := *q.first()
	if len(q.late) > 0 && q.late[0].seq == e.seq {
		q.late = heapPop(q.late)
	} else {
		q.next++
	}
	return e
}

// turn goes on to the next bucket that holds something.
func (q *queue) turn() bool {
	if cap(q.today) > 0 {
		q.spare = append(q.spare, q.today[:0])
	}
	q.today, q.next = nil, 0
	if q.n == 0 {
		if len(q.far) == 0 {
			return false
		}
		q.base = q.bucket(q.far[0].at) - 1
	}
	for {
		q.base++
		for len(q.far) > 0 && q.bucket(q.far[0].at) < q.base+ringSize {
			e := q.far[0]
			q.far = heapPop(q.far)
			q.put(q.bucket(e.at), e)
		}
		if at := &q.ring[q.base&(ringSize-1)]; len(*at) > 0 {
			q.today, *at = *at, nil
			break
		}
	}
	q.n -= len(q.today)
	slices.SortFunc(q.today, func(a, b event) int {
		if a.before(&b) {
			return -1
		}
		return 1
	})
	return true
}

func heapPush(h []event, e event) []event {
	h = append(h, e)
	i := len(h) - 1
	for i > 0 {
		p := (i - 1) / 2
		if !e.before(&h[p]) {
			break
		}
		h[i] = h[p]
		i = p
	}
	h[i] = e
	return h
}

func heapPop(h []event) []event {
	last := len(h) - 1
	e := h[last]
	h = h[:last]
	if last == 0 {
		return h
	}
	i := 0
	for {
		c := 2*i + 1
		if c >= last {
			break
		}
		if c+1 < last && h[c+1].before(&h[c]) {
			c++
		}
		if !h[c].before(&e) {
			break
		}
		h[i] = h[c]
		i = c
	}
	h[i] = e
	return h
}
