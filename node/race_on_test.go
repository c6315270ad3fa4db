//go:build race

package node

// raceDetector is true if the tests run with the race detector.
const raceDetector = true
