// Package clock is the node's only source of time. Times are float64 milliseconds since the Unix epoch, so that
// timestamps from service discovery need no conversion.
package clock

import (
	"container/heap"
	"math"
	"sync"
	"time"
)

// Clock returns the current time and schedules functions.
type Clock interface {
	// Now returns the time in milliseconds since the Unix epoch; it never decreases.
	Now() float64
	// At runs f at time when, or immediately if that time has passed. Calling stop cancels f if it has not started.
	At(when float64, f func()) (stop func())
}

// System is the machine's clock: the wall clock is read once, then the monotonic clock is used.
type System struct {
	base  float64
	start time.Time
}

// NewSystem returns a System clock based on the current wall time.
func NewSystem() *System {
	now := time.Now()
	return &System{base: float64(now.UnixNano()) / 1e6, start: now}
}

// Now returns the time in milliseconds since the Unix epoch.
func (s *System) Now() float64 { return s.base + float64(time.Since(s.start))/1e6 }

// At runs f in its own goroutine.
func (s *System) At(when float64, f func()) func() {
	t := time.AfterFunc(time.Duration((when-s.Now())*1e6), f)
	return func() { t.Stop() }
}

// Manual is a clock that moves only when Advance is called.
type Manual struct {
	mu     sync.Mutex
	now    float64
	alarms alarms
}

// NewManual returns a Manual clock set to now, in milliseconds since the Unix epoch.
func NewManual(now float64) *Manual { return &Manual{now: now} }

// Now returns the time that the clock was last set to.
func (m *Manual) Now() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// At runs f within the Advance call that reaches when, or immediately in its own goroutine if when has passed.
func (m *Manual) At(when float64, f func()) func() {
	m.mu.Lock()
	if when <= m.now {
		m.mu.Unlock()
		go f()
		return func() {}
	}
	a := &alarm{when: when, f: f}
	heap.Push(&m.alarms, a)
	m.mu.Unlock()
	return func() {
		m.mu.Lock()
		a.f = nil
		m.mu.Unlock()
	}
}

// Advance moves the clock forward by ms milliseconds and runs the functions that become due, in order of time.
func (m *Manual) Advance(ms float64) {
	m.mu.Lock()
	end := m.now + ms
	for len(m.alarms) > 0 && m.alarms[0].when <= end {
		a := heap.Pop(&m.alarms).(*alarm)
		m.now = max(m.now, a.when)
		if f := a.f; f != nil {
			m.mu.Unlock()
			f()
			m.mu.Lock()
		}
	}
	m.now = end
	m.mu.Unlock()
}

// Next returns the earliest time for which a function is scheduled, or +Inf if there is none.
func (m *Manual) Next() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := math.Inf(1)
	for _, a := range m.alarms {
		if a.f != nil {
			next = min(next, a.when)
		}
	}
	return next
}

type alarm struct {
	when float64
	f    func()
}

type alarms []*alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].when < a[j].when }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(x any)        { *a = append(*a, x.(*alarm)) }
func (a *alarms) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}
