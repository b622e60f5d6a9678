//go:build race

package replica

// raceDetector reports whether the race detector is on. A member has no goroutines, so the long explorations run
// in full only without the race detector, and with it in part.
const raceDetector = true
