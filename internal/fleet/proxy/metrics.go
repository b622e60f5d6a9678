package proxy

import (
	"sync"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
)

// Metrics count how requests ended.
type Metrics struct {
	mu     sync.Mutex
	ended  map[errkind.Kind]int
	passed map[int]int
}

// NewMetrics makes counters at 0.
func NewMetrics() *Metrics { return &Metrics{ended: map[errkind.Kind]int{}, passed: map[int]int{}} }

// Ended counts a request that ended without a rater's answer.
func (f *Metrics) Ended(kind errkind.Kind) {
	f.mu.Lock()
	f.ended[kind]++
	f.mu.Unlock()
}

// Passed counts a rater's answer by its status.
func (f *Metrics) Passed(status int) {
	f.mu.Lock()
	f.passed[status]++
	f.mu.Unlock()
}

// Counts gives the counters by name.
func (f *Metrics) Counts() (ended map[string]int, passed map[int]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ended, passed = make(map[string]int, len(f.ended)), make(map[int]int, len(f.passed))
	for kind, count := range f.ended {
		ended[kind.String()] = count
	}
	for status, count := range f.passed {
		passed[status] = count
	}
	return ended, passed
}
