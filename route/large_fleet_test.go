package route

import (
	"slices"
	"testing"
)

// maxRaceFleet is the largest number of routers that is simulated with the race detector, with which
// a simulation takes some eight times as long. Each simulation runs in one goroutine. scripts/test
// runs the larger ones without the detector.
const maxRaceFleet = 16

// tooLarge reports whether a number of routers is too large to simulate.
func tooLarge(routers int) bool { return raceDetector && routers > maxRaceFleet }

// fleetSizes returns the given numbers of routers without those that are too large to simulate.
func fleetSizes(routers ...int) []int { return slices.DeleteFunc(routers, tooLarge) }

// skipLargeFleet skips a test whose number of routers is too large to simulate.
func skipLargeFleet(t *testing.T, routers int) {
	t.Helper()
	if tooLarge(routers) {
		t.Skipf("%d routers are simulated without the race detector", routers)
	}
}
