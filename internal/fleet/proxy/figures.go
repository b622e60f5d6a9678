package proxy

import (
	"sync"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
)

// Figures count how requests ended.
type Figures struct {
	mu     sync.Mutex
	ended  map[errkind.Kind]int
	passed map[int]int
}

// NewFigures makes counters at 0.
func NewFigures() *Figures { return &Figures{ended: map[errkind.Kind]int{}, passed: map[int]int{}} }

// Ended counts a request that ended without a rater's answer.
func (f *Figures) Ended(kind errkind.Kind) {
	f.mu.Lock()
	f.ended[kind]++
	f.mu.Unlock()
}

// Passed counts a rater's answer by its status.
func (f *Figures) Passed(status int) {
	f.mu.Lock()
	f.passed[status]++
	f.mu.Unlock()
}

// Counts gives the counters by name.
func (f *Figures) Counts() (ended map[string]int, passed map[int]int) {
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
