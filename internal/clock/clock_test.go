package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// While the machine is not suspended its clock goes as the steady one does.
func TestMachine(t *testing.T) {
	c, counts := Machine()
	require.True(t, counts)
	begun, steady := c(), time.Now()
	time.Sleep(30 * time.Millisecond)
	require.InDelta(t, time.Since(steady), c.Since(begun), float64(5*time.Millisecond))
}

// Time that the machine was suspended counts once it is long enough to be no accident of
// reading, and never goes back.
func TestMachineSuspended(t *testing.T) {
	now, ok := ahead()
	require.True(t, ok)
	m := newMachine(now - 5*time.Second)
	require.InDelta(t, 5*time.Second, time.Until(m.now()), float64(10*time.Millisecond))
	m.begun += 3 * time.Second
	time.Sleep(readEvery)
	require.InDelta(t, 5*time.Second, time.Until(m.now()), float64(10*time.Millisecond))
	m = newMachine(now - grain/2)
	require.InDelta(t, 0, time.Until(m.now()), float64(5*time.Millisecond))
}

func BenchmarkMachine(b *testing.B) {
	c, _ := Machine()
	for b.Loop() {
		c()
	}
}
