package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBootTime checks that the clock advances as the monotonic one while the machine is not
// suspended.
func TestBootTime(t *testing.T) {
	c, counts := BootTime()
	require.True(t, counts)
	start, monotonicStart := c(), time.Now()
	time.Sleep(30 * time.Millisecond)
	require.InDelta(t, time.Since(monotonicStart), c.Since(start), float64(5*time.Millisecond))
}

// TestBootTimeSuspended checks that suspended time counts if it is longer than a preemption while
// the clocks are read, and that the clock never goes back.
func TestBootTimeSuspended(t *testing.T) {
	offset, ok := suspendedSinceBoot()
	require.True(t, ok)
	m := newBootClock(offset - 5*time.Second)
	require.InDelta(t, 5*time.Second, time.Until(m.now()), float64(10*time.Millisecond))
	m.initialOffset += 3 * time.Second
	time.Sleep(refreshInterval)
	require.InDelta(t, 5*time.Second, time.Until(m.now()), float64(10*time.Millisecond))
	m = newBootClock(offset - minSuspension/2)
	require.InDelta(t, 0, time.Until(m.now()), float64(5*time.Millisecond))
}

func BenchmarkBootTime(b *testing.B) {
	c, _ := BootTime()
	for b.Loop() {
		c()
	}
}
