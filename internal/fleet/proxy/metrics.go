package proxy

import (
	"maps"
	"sync"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
)

// Metrics counts how requests ended. It is safe for concurrent use.
type Metrics struct {
	mu                  sync.Mutex
	rejected            map[errkind.Kind]int
	forwarded           map[int]int // by status
	endedWithConnection int
}

// NewMetrics returns Metrics with all counters at 0.
func NewMetrics() *Metrics {
	return &Metrics{rejected: map[errkind.Kind]int{}, forwarded: map[int]int{}}
}

// CountRejected counts a request that ended without a complete response from a backend.
func (m *Metrics) CountRejected(kind errkind.Kind) {
	m.mu.Lock()
	m.rejected[kind]++
	m.mu.Unlock()
}

// CountForwarded counts a forwarded response of a backend by its status.
func (m *Metrics) CountForwarded(status int) {
	m.mu.Lock()
	m.forwarded[status]++
	m.mu.Unlock()
}

// CountEndedWithConnection counts a forwarded response whose body was delimited by the end of its connection only.
func (m *Metrics) CountEndedWithConnection() {
	m.mu.Lock()
	m.endedWithConnection++
	m.mu.Unlock()
}

// EndedWithConnection returns the number of forwarded responses that were delimited by the end of their connection only.
func (m *Metrics) EndedWithConnection() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endedWithConnection
}

// Counts returns the numbers of rejected requests by kind of error and of forwarded responses by status.
func (m *Metrics) Counts() (rejected map[string]int, forwarded map[int]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rejected = make(map[string]int, len(m.rejected))
	for kind, count := range m.rejected {
		rejected[kind.String()] = count
	}
	return rejected, maps.Clone(m.forwarded)
}
