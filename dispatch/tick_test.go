package dispatch

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// A process without requests wakes only a few times per second, which matters because most
// processes of a fleet of a thousand are idle at any moment. A request that arrives then must still
// time out as promptly as on a busy process.
func TestIdleTicks(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const every, queueTime = 20 * time.Millisecond, 100 * time.Millisecond
		var clockReads atomic.Int64
		b := route.NewBoard()
		d := New(b, WithClock(func() time.Time {
			clockReads.Add(1)
			return time.Now()
		}))
		cfg := &policy.Config{
			Version: policy.Version,
			Pools:   []policy.Pool{{Name: "s", Kind: policy.KindService, Selector: "s=s"}},
		}
		snap, err := policy.Compile(cfg, 1)
		require.NoError(t, err)
		b.Adopt(time.Now(), snap)
		ctx := t.Context()
		go d.Tick(ctx, every)
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, clockReads.Load(), int64(50), "clock reads in 10 s without requests")
		for range 5 {
			time.Sleep(37 * time.Millisecond)
			begun := time.Now()
			refusal := d.Serve(ctx, route.Request{
				ID: "r", Revision: 1, Pool: "s", Deadline: begun.Add(time.Second), QueueTime: queueTime,
			}, NewCall(), nil)
			require.NotNil(t, refusal)
			require.Equal(t, route.CauseOverload, refusal.Cause)
			require.LessOrEqual(t, time.Since(begun), queueTime+2*every)
		}
	})
}
