//go:build !race

package replica

// raceDetector reports whether the race detector is on.
const raceDetector = false
