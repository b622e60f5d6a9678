// Package stage is what all parties of a live day share: the day, its clock, what they write down, the requests that
// clients have sent (so that a rater knows a request that nobody sent so), and the network between the parties.
//
// Bounds: a Book keeps a try for half a minute after its time is up; a Sink keeps every event of the run.
package stage

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// Clock gives the time of the day in milliseconds: 0 until it begins. It does not jump with the machine's clock.
type Clock struct{ begin atomic.Pointer[time.Time] }

// Begin starts the day.
func (c *Clock) Begin() {
	now := time.Now()
	c.begin.Store(&now)
}

// Now is the time of the day.
func (c *Clock) Now() float64 {
	if b := c.begin.Load(); b != nil {
		return float64(time.Since(*b)) / 1e6
	}
	return 0
}

// At is a moment as time of the day.
func (c *Clock) At(t time.Time) float64 {
	if b := c.begin.Load(); b != nil {
		return max(0, float64(t.Sub(*b))/1e6)
	}
	return 0
}

// Until is how long it is until a time of the day that has begun; negative once it is over.
func (c *Clock) Until(ms float64) time.Duration {
	b := c.begin.Load()
	if b == nil {
		b = new(time.Time)
		*b = time.Now()
	}
	return time.Until(b.Add(time.Duration(ms * 1e6)))
}

// Unix is a time of the day as milliseconds from the Unix epoch.
func (c *Clock) Unix(ms float64) int64 {
	if b := c.begin.Load(); b != nil {
		return b.Add(time.Duration(ms * 1e6)).UnixMilli()
	}
	return time.Now().UnixMilli()
}

// Sink takes events from any goroutine. Parties with many events have one each, so that they do not wait for each other.
type Sink struct {
	mu   sync.Mutex
	log  record.Log
	full bool
	most int
}

// Add writes an event down.
func (s *Sink) Add(e record.Event) {
	s.mu.Lock()
	if s.log.Len() < s.most {
		s.log.Add(e)
	} else {
		s.full = true
	}
	s.mu.Unlock()
}

// Stage is what the parties share.
type Stage struct {
	Day   *world.Day
	Clock *Clock
	Book  *Book
	Net   *Net

	mu     sync.Mutex
	sinks  []*Sink
	number atomic.Uint32
	faults []string
}

// mostEvents bounds what each party writes down: 40 million events are 1.9 GB, days of a thousand requests a second
// for an hour.
const mostEvents = 40e6

// New sets the stage for a day.
func New(day *world.Day) *Stage {
	s := &Stage{Day: day, Clock: &Clock{}, Book: newBook(day)}
	s.Net = newNet(day, s.Clock)
	return s
}

// Sink makes one for a party.
func (s *Stage) Sink() *Sink {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := &Sink{most: mostEvents}
	s.sinks = append(s.sinks, k)
	return k
}

// Number gives a number unlike any other of the run: of attempts, probes and connections.
func (s *Stage) Number() uint32 { return s.number.Add(1) }

// Fault notes that the lab itself failed at something, which voids the run. Only the first few are kept.
func (s *Stage) Fault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) < 20 {
		s.faults = append(s.faults, fmt.Sprintf(format, args...))
	}
}

// Faults gives what the lab failed at.
func (s *Stage) Faults() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := append([]string(nil), s.faults...)
	for _, k := range s.sinks {
		k.mu.Lock()
		if k.full {
			all = append(all, fmt.Sprintf("more than %d events came from one party: what came later is not judged", k.most))
		}
		k.mu.Unlock()
	}
	return all
}

// Events calls f for all that was written down, in order of time. No party may write any more.
func (s *Stage) Events(f func(record.Event)) {
	var logs []*record.Log
	for _, k := range s.sinks {
		logs = append(logs, &k.log)
	}
	record.Merge(f, logs...)
}
