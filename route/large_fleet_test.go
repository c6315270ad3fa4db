package route

import "testing"

// maxRaceFleet is the largest number of routers that is simulated with the race detector, with which
// a simulation takes some eight times as long. Each simulation runs in one goroutine. scripts/test
// runs the larger ones without the detector.
const maxRaceFleet = 16

// fleetSizes returns the given numbers of routers without those that are too large to simulate.
func fleetSizes(routers ...int) []int {
	var sizes []int
	for _, n := range routers {
		if !raceDetector || n <= maxRaceFleet {
			sizes = append(sizes, n)
		}
	}
	return sizes
}

// skipLargeFleet skips a test whose number of routers is too large to simulate.
func skipLargeFleet(t *testing.T, routers int) {
	t.Helper()
	if len(fleetSizes(routers)) == 0 {
		t.Skipf("%d routers are simulated without the race detector", routers)
	}
}
