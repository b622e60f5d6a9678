package proxy

import (
	"sync"
	"time"
)

// The figures of the durations of streams.
const (
	durationWeight  = 0.1 // of the newest answer in the averages
	durationMargin  = 2.0 // mean deviations beyond the mean that an answer may be expected to take
	fewestDurations = 5   // answers before anything is expected
)

// durations learns how long the streams of each route take, for a node that is about to end: it must not begin what it would
// have to cut.
type durations struct {
	mu     sync.Mutex
	routes map[string]*durationEstimate
}

// durationEstimate is the weighted mean of a route's durations and of their distances from it.
type durationEstimate struct {
	count     int
	mean      float64
	deviation float64
}

// note takes how long an answer took.
func (d *durations) note(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = map[string]*durationEstimate{}
	}
	estimate := d.routes[route]
	if estimate == nil {
		estimate = &durationEstimate{mean: took.Seconds()}
		d.routes[route] = estimate
	}
	estimate.count++
	distance := took.Seconds() - estimate.mean
	estimate.mean += durationWeight * distance
	estimate.deviation += durationWeight * (max(distance, -distance) - estimate.deviation)
}

// expect gives the time that an answer of a route may be expected to take, 0 where too few are known.
func (d *durations) expect(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate := d.routes[route]
	if estimate == nil || estimate.count < fewestDurations {
		return 0
	}
	return time.Duration((estimate.mean + durationMargin*estimate.deviation) * float64(time.Second))
}
