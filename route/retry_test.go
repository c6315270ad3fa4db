package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
)

// newRetryBoard is the board of a router whose configuration states a bound on repeats.
func newRetryBoard(routers int) *Board {
	b := NewBoard()
	b.snap = &policy.Snapshot{Config: &policy.Config{Requests: policy.Requests{
		RetryBudget: 0.2, RetryReserve: 50, RetryWindow: policy.Duration(10 * time.Second),
	}}}
	b.recentRouters.value = routers
	return b
}

// The repeats of a window stay under the stated share of its requests and this
// router's part of the reserve, also where a restart forgot what was spent.
func TestRetryBound(t *testing.T) {
	const routers = 5
	now := time.Unix(1000, 0)
	b := newRetryBoard(routers)
	spend := func(k *retryBudget) (n int) {
		for b.spendRetry(now, k) {
			n++
		}
		return n
	}
	k := newRetryBudget(now.Add(-time.Minute))
	b.earnRetry(now, &k)
	before := spend(&k)
	b = newRetryBoard(routers)
	restarted := newRetryBudget(now)
	b.earnRetry(now, &restarted)
	require.LessOrEqual(t, before+spend(&restarted), 50/routers+1)
	require.Positive(t, before)

	k = newRetryBudget(now)
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

// What a window holds depends on the times between events alone: a clock that is set
// to another time of day neither empties it nor stops it.
func TestWindowTimeOfDay(t *testing.T) {
	const over = 10 * time.Second
	counts := func(start time.Time) (out []int) {
		var w window
		w.add(start, over)
		w.add(start.Add(3*time.Second), over)
		for after := 3 * time.Second; after < 15*time.Second; after += 100 * time.Millisecond {
			out = append(out, w.count(start.Add(after), over))
		}
		return out
	}
	want := counts(time.Unix(1000, 0))
	for _, start := range []time.Time{time.Unix(1000, 1), time.Unix(1000, 490e6), time.Unix(-2400, 130e6), time.Unix(1<<40, 7)} {
		require.Equal(t, want, counts(start), "from %s", start.UTC())
	}
}

// A window of another length keeps what was counted, until that length has passed.
func TestWindowLength(t *testing.T) {
	now := time.Unix(1000, 0)
	var w window
	for range 5 {
		w.add(now, 10*time.Second)
	}
	now = now.Add(time.Second)
	for _, over := range []time.Duration{20 * time.Second, 5 * time.Second} {
		require.Equal(t, 5, w.count(now, over))
	}
	require.Zero(t, w.count(now.Add(5*time.Second), 5*time.Second))
}

// Fewer routers count once no more were seen for a window, not before: those that are
// gone may have spent their part in it.
func TestWindowedMax(t *testing.T) {
	const window = 10 * time.Second
	now := time.Unix(1000, 0)
	c := windowedMax{value: 1}
	observe := func(after time.Duration, n int) int {
		now = now.Add(after)
		c.observe(now, n, window)
		return c.value
	}
	require.Equal(t, 8, observe(0, 8))
	require.Equal(t, 8, observe(time.Second, 3), "five fell silent")
	require.Equal(t, 8, observe(window-time.Second, 5))
	require.Equal(t, 5, observe(time.Second, 4), "for a window nobody saw more than five")
	require.Equal(t, 9, observe(time.Second, 9))
	require.Equal(t, 9, observe(time.Second, 2))
	require.Equal(t, 9, observe(time.Second, 9), "a moment in which few were known is over")
	require.Equal(t, 9, observe(window, 2), "a router that was frozen knows nobody when it wakes")
	require.Equal(t, 9, observe(window/2, 9))
}

// Routers whose part of the reserve is less than one spend it together all the same.
func TestRetryBoundLargeFleet(t *testing.T) {
	const routers = 400
	now := time.Unix(1000, 0)
	total := 0
	for i := range routers {
		b := NewBoard(WithSeed(uint64(i)))
		b.snap, b.recentRouters.value = newRetryBoard(1).snap, routers
		k := newRetryBudget(now.Add(-time.Minute))
		for b.spendRetry(now, &k) {
			total++
		}
	}
	require.LessOrEqual(t, total, 50)
	require.Greater(t, total, 15, "a tenth of a retry each is some for all")
}
