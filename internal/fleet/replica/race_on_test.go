//go:build race

package replica

// raceDetector reports whether the race detector is on. A member has no goroutines, so the long explorations run in full
// without it, and for a part with it.
const raceDetector = true
