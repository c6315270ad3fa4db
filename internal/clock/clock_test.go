package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// While the machine is not suspended its clock goes as the steady one does.
func TestBootTime(t *testing.T) {
	c, counts := BootTime()
	require.True(t, counts)
	begun, steady := c(), time.Now()
	time.Sleep(30 * time.Millisecond)
	require.InDelta(t, time.Since(steady), c.Since(begun), float64(5*time.Millisecond))
}

// Time that the machine was suspended counts once it is long enough to be no accident of
// reading, and never goes back.
func TestBootTimeSuspended(t *testing.T) {
	now, ok := suspendedSinceBoot()
	require.True(t, ok)
	m := newBootClock(now - 5*time.Second)
	require.InDelta(t, 5*time.Second, time.Until(m.now()), float64(10*time.Millisecond))
	m.initialOffset += 3 * time.Second
	time.Sleep(refreshInterval)
	require.InDelta(t, 5*time.Second, time.Until(m.now()), float64(10*time.Millisecond))
	m = newBootClock(now - minSuspension/2)
	require.InDelta(t, 0, time.Until(m.now()), float64(5*time.Millisecond))
}

func BenchmarkBootTime(b *testing.B) {
	c, _ := BootTime()
	for b.Loop() {
		c()
	}
}
