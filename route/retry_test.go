package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
)

// newRetryBoard returns a board whose configuration states a retry reserve.
func newRetryBoard(routers int) *Board {
	b := NewBoard()
	b.snap = &policy.Snapshot{Config: &policy.Config{Requests: policy.Requests{
		RetryBudget: 0.2, RetryReserve: 50, RetryWindow: policy.Duration(10 * time.Second),
	}}}
	b.recentRouters.value = routers
	return b
}

// TestRetryBound checks that the retries in a window stay below the configured ratio of its
// requests plus this router's share of the reserve, even if a restart loses the count of
// retries.
func TestRetryBound(t *testing.T) {
	t.Parallel()
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
	require.Zero(t, spend(&k), "the burst is still in the window")
}

// TestWindow checks that counted events leave the window as time passes.
func TestWindow(t *testing.T) {
	t.Parallel()
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

// TestWindowTimeOfDay checks that the count depends only on the time between events: setting
// the wall clock neither empties the window nor stops it.
func TestWindowTimeOfDay(t *testing.T) {
	t.Parallel()
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

// TestWindowLength checks that a change of the window's length keeps the counted events until
// the new length has passed.
func TestWindowLength(t *testing.T) {
	t.Parallel()
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

// TestWindowedMax checks that a lower number of routers takes effect only after no higher one
// was seen for a window, since the routers that disappeared may have spent their share in it.
func TestWindowedMax(t *testing.T) {
	t.Parallel()
	const window = 10 * time.Second
	now := time.Unix(1000, 0)
	c := windowedMax{value: 1}
	observe := func(after time.Duration, n int) int {
		now = now.Add(after)
		c.observe(now, n, window)
		return c.value
	}
	require.Equal(t, 8, observe(0, 8))
	require.Equal(t, 8, observe(time.Second, 3), "five routers stopped responding")
	require.Equal(t, 8, observe(window-time.Second, 5))
	require.Equal(t, 5, observe(time.Second, 4), "no more than five were seen for a window")
	require.Equal(t, 9, observe(time.Second, 9))
	require.Equal(t, 9, observe(time.Second, 2))
	require.Equal(t, 9, observe(time.Second, 9), "a short time with few known routers has no effect")
	require.Equal(t, 9, observe(window, 2), "a suspended router knows no others when it resumes")
	require.Equal(t, 9, observe(window/2, 9))
}

// TestRetryBoundLargeFleet checks that routers whose share of the reserve is less than one
// retry still spend it in total.
func TestRetryBoundLargeFleet(t *testing.T) {
	t.Parallel()
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
	require.Greater(t, total, 15, "a tenth of a retry per router is more than none in total")
}
