//go:build !race

package replica

// raceDetector tells that the race detector is on.
const raceDetector = false
