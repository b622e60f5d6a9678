package world

// heap is a binary heap of jobs by the reading of a virtual clock at which each is through. Each job knows its place.
type heap struct {
	items []heapItem
	jobs  *[]job
}

type heapItem struct {
	at  float64
	job int32
}

// less breaks ties by the job's number, so that the order never hangs on the heap's history.
func (a heapItem) less(b heapItem) bool { return a.at < b.at || a.at == b.at && a.job < b.job }

func (h *heap) put(i int, it heapItem) {
	h.items[i] = it
	(*h.jobs)[it.job].pos = int32(i)
}

func (h *heap) push(at float64, id int32) {
	h.items = append(h.items, heapItem{})
	h.up(len(h.items)-1, heapItem{at, id})
}

func (h *heap) up(i int, it heapItem) {
	for i > 0 {
		p := (i - 1) / 2
		if !it.less(h.items[p]) {
			break
		}
		h.put(i, h.items[p])
		i = p
	}
	h.put(i, it)
}

func (h *heap) down(i int, it heapItem) {
	n := len(h.items)
	for {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && h.items[c+1].less(h.items[c]) {
			c++
		}
		if !h.items[c].less(it) {
			break
		}
		h.put(i, h.items[c])
		i = c
	}
	h.put(i, it)
}

func (h *heap) pop() heapItem {
	top := h.items[0]
	h.remove(0)
	return top
}

func (h *heap) remove(pos int32) {
	i, last := int(pos), len(h.items)-1
	it := h.items[last]
	h.items = h.items[:last]
	if i == last {
		return
	}
	if i > 0 && it.less(h.items[(i-1)/2]) {
		h.up(i, it)
	} else {
		h.down(i, it)
	}
}

// ring is a queue of job numbers.
type ring struct {
	buf  []int32 // its length is a power of two
	head int
	n    int
}

func (q *ring) len() int       { return q.n }
func (q *ring) at(i int) int32 { return q.buf[(q.head+i)&(len(q.buf)-1)] }
func (q *ring) clear()         { q.head, q.n = 0, 0 }

func (q *ring) push(id int32) {
	if q.n == len(q.buf) {
		grown := make([]int32, max(8, 2*q.n))
		for i := range q.n {
			grown[i] = q.at(i)
		}
		q.buf, q.head = grown, 0
	}
	q.buf[(q.head+q.n)&(len(q.buf)-1)] = id
	q.n++
}

func (q *ring) pop() int32 {
	id := q.at(0)
	q.head = (q.head + 1) & (len(q.buf) - 1)
	q.n--
	return id
}

// remove takes one out and closes the gap.
func (q *ring) remove(id int32) {
	to := 0
	for i := range q.n {
		if v := q.at(i); v != id {
			q.buf[(q.head+to)&(len(q.buf)-1)] = v
			to++
		}
	}
	q.n = to
}

// window sums the work of the last while.
type window struct {
	at, work []float64
	head     int
	sum      float64
}

func (w *window) add(now, work, span float64) {
	for w.head < len(w.at) && w.at[w.head] <= now-span {
		w.sum -= w.work[w.head]
		w.head++
	}
	if w.head == len(w.at) {
		w.at, w.work, w.head, w.sum = w.at[:0], w.work[:0], 0, 0
	} else if w.head > 64 && w.head > len(w.at)/2 {
		w.at = w.at[:copy(w.at, w.at[w.head:])]
		w.work = w.work[:copy(w.work, w.work[w.head:])]
		w.head = 0
	}
	w.at, w.work = append(w.at, now), append(w.work, work)
	w.sum += work
}
