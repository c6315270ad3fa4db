package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
)

// boundBoard is a board whose configuration states a bound on repeats.
func boundBoard(routers int) *Board {
	b := NewBoard()
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
	b := boundBoard(routers)
	now := time.Unix(1000, 0)
	spend := func(k *retryBudget) (n int) {
		for b.spendRetry(now, k) {
			n++
		}
		return n
	}
	k := newRetryBudget()
	b.earnRetry(now, &k)
	before := spend(&k)
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
