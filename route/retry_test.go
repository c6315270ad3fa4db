package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
)

// boundBoard is the board of a router that has just started, whose configuration
// states a bound on repeats.
func boundBoard(now time.Time, routers int) *Board {
	b := NewBoard()
	b.begun = now
	b.snap = &policy.Snapshot{Config: &policy.Config{Requests: policy.Requests{
		RetryBudget: 0.2, RetryReserve: 50, RetryWindow: policy.Duration(10 * time.Second),
	}}}
	b.routers = routers
	return b
}

// The repeats of a window stay under the stated share of its requests and this
// router's part of the reserve, also where a restart forgot what was spent.
func TestRetryBound(t *testing.T) {
	const routers = 5
	now := time.Unix(1000, 0)
	b := boundBoard(now, routers)
	spend := func(k *retryBudget) (n int) {
		for b.spendRetry(now, k) {
			n++
		}
		return n
	}
	k := newRetryBudget()
	b.earnRetry(now, &k)
	before := spend(&k)
	b = boundBoard(now, routers)
	restarted := newRetryBudget()
	b.earnRetry(now, &restarted)
	require.LessOrEqual(t, before+spend(&restarted), 50/routers+1)
	require.Positive(t, before)

	k = newRetryBudget()
	for range 100 {
		b.earnRetry(now, &k)
		now = now.Add(200 * time.Millisecond)
	}
	burst := spend(&k)
	require.Greater(t, burst, 50/routers, "a burst may use what the window's requests allow")
	require.LessOrEqual(t, burst, 50*20/100+50/routers)
	now = now.Add(5 * time.Second)
	require.Zero(t, spend(&k), "the window still holds the burst")
}

// A count slides with time.
func TestWindow(t *testing.T) {
	var w window
	now := time.Unix(1000, 0)
	for range 10 {
		w.add(now, 10*time.Second)
		now = now.Add(time.Second)
	}
	require.InDelta(t, 10, w.count(now, 10*time.Second), 1)
	require.InDelta(t, 5, w.count(now.Add(5*time.Second), 10*time.Second), 1)
	require.Zero(t, w.count(now.Add(time.Hour), 10*time.Second))
}

// Routers whose part of the reserve is less than one spend it together all the same.
func TestRetryBoundLargeFleet(t *testing.T) {
	const routers = 400
	now := time.Unix(1000, 0)
	total := 0
	for i := range routers {
		b := NewBoard(WithSeed(uint64(i)))
		b.snap = boundBoard(now, 1).snap
		b.begun, b.routers = now.Add(-time.Minute), routers
		k := newRetryBudget()
		for b.spendRetry(now, &k) {
			total++
		}
	}
	require.LessOrEqual(t, total, 50)
	require.Greater(t, total, 15, "a tenth of a retry each is some for all")
}
