package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// saturatedPool returns a fleet of one router in a surge.
func saturatedPool(t *testing.T) (*poolFleet, *pool) {
	f := newPoolFleet(t, 1, hogAndSmall())
	f.play(3*time.Second, hogTimes)
	p := f.boards[0].pools["e"]
	require.True(t, f.boards[0].saturated(f.now, p))
	return f, p
}

// poolRequest returns a request of the surging organisation.
func (f *poolFleet) poolRequest(id, print string) *request {
	return &request{Request: Request{
		ID: id, Org: "hog", Pool: "e", Priority: calmPriority, Deadline: f.now.Add(poolPatience), Print: FingerprintOf("hog", "", "", print, nil),
	}, index: -1, arrived: f.now}
}

// TestRetryAfterSpread checks that the callers of one surge are told to return at different times,
// each within the third of their time for which they honour it.
func TestRetryAfterSpread(t *testing.T) {
	t.Parallel()
	f, p := saturatedPool(t)
	earliest, latest := poolPatience, time.Duration(0)
	for range 200 {
		told := f.boards[0].overloadRetryAfter(f.now, p, f.poolRequest("r", "p"))
		require.GreaterOrEqual(t, told, poolMinRetryAfter)
		require.LessOrEqual(t, told, poolPatience/callerPatience)
		earliest, latest = min(earliest, told), max(latest, told)
	}
	require.GreaterOrEqual(t, latest-earliest, earliest/2, "callers do not return together")
}

// TestReturnKeepsPlace checks that a request that returns when it was told to goes before those that
// arrived meanwhile, once, and that one that returns earlier, later or after a restart does not.
func TestReturnKeepsPlace(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		after   func(told time.Duration) time.Duration
		restart bool
		first   bool
	}{
		"when told":       {after: func(told time.Duration) time.Duration { return told }, first: true},
		"a little later":  {after: func(told time.Duration) time.Duration { return 3 * told / 2 }, first: true},
		"too early":       {after: func(told time.Duration) time.Duration { return told / 2 }},
		"much later":      {after: func(told time.Duration) time.Duration { return 3 * told }},
		"after a restart": {after: func(told time.Duration) time.Duration { return told }, restart: true},
	} {
		t.Run(name, func(t *testing.T) {
			f, p := saturatedPool(t)
			b := f.boards[0]
			told := b.overloadRetryAfter(f.now, p, f.poolRequest("r1", "returns"))
			if c.restart {
				f.start(0)
				b, p = f.boards[0], f.boards[0].pools["e"]
			}
			queue := newFairQueue()
			queue.seq = p.queue.seq
			meanwhile := f.poolRequest("meanwhile", "new")
			queue.push(meanwhile, 1)
			f.now = f.now.Add(c.after(told))
			returned, repeated := f.poolRequest("returned", "returns"), f.poolRequest("repeated", "returns")
			for _, r := range []*request{returned, repeated} {
				b.takeReturn(f.now, p, r)
				queue.push(r, 1)
			}
			require.Equal(t, c.first, returned.seq < meanwhile.seq)
			require.Greater(t, repeated.seq, meanwhile.seq, "a place is kept once")
			require.Equal(t, c.first, queue.orgs["hog"].items[0] == returned)
		})
	}
}
