// Package agenda is what is still to happen in virtual time: events in the order of their times, those of one time in the order in
// which they were added, so that a history hangs on its seed alone.
package agenda

import "container/heap"

// Agenda holds events; the zero one is empty. It is not safe for concurrent use. It holds as many as were added and have not come.
type Agenda struct {
	events events
	added  int
}

// Add has something done at a time, of whatever clock the caller keeps.
func (a *Agenda) Add(at float64, do func()) {
	a.added++
	heap.Push(&a.events, event{at, a.added, do})
}

// Next takes the next event out; false if there is none.
func (a *Agenda) Next() (at float64, do func(), ok bool) {
	if len(a.events) == 0 {
		return 0, nil, false
	}
	e := heap.Pop(&a.events).(event)
	return e.at, e.do, true
}

type event struct {
	at     float64
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{} // what it holds may go
	*e = (*e)[:last]
	return x
}
