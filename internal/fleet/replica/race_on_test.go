//go:build race

package replica

// raceDetector tells that the race detector is on. A member has no goroutines, so the long explorations are played in full
// without it, and for a part with it.
const raceDetector = true
