//go:build !race

package route

// raceDetector is true if the tests run with the race detector.
const raceDetector = false
