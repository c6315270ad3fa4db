package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request's charge is refunded if the request ran nowhere, and counts once if it ran, even with a
// retry.
func TestLimitRefunded(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		end   func(w *world, a Attempt)
		costs float64
	}{
		"it was not sent": {func(w *world, _ Attempt) {
			for k := 0; k < maxTries && len(w.inFlight) > 0; k++ {
				w.end(w.takeInFlight(0), OutcomeUnsent, false, false)
				w.now = w.now.Add(time.Second)
				w.execute(w.board.Tick(w.now))
			}
		}, 0},
		"its caller disconnected while it ran": {func(w *world, a Attempt) { w.execute(w.board.CallerGone(w.now, a.Request)) }, 1},
		"it ran":                               {func(w *world, _ Attempt) { w.end(w.takeInFlight(0), OutcomeDone, true, true) }, 1},
		"it broke off, was retried and ran": {func(w *world, _ Attempt) {
			w.end(w.takeInFlight(0), OutcomeBroken, false, false)
			w.now = w.now.Add(time.Second)
			w.execute(w.board.Tick(w.now))
			if len(w.inFlight) > 0 {
				w.end(w.takeInFlight(0), OutcomeDone, true, true)
			}
		}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, 0, testSetup{rate: 1, window: 4})
			w.now = w.now.Add(time.Hour)
			w.board.orgState("a").requests.refill(w.now, grant{rate: 1, burst: 1, whole: true, alone: true})
			w.request("a", "x", false, true)
			require.NotEmpty(t, w.inFlight)
			before := w.board.orgs["a"].requests.level
			require.InDelta(t, 0, before, 1e-9, "the charge is taken at once")
			begun := w.now
			c.end(w, w.inFlight[0])
			// Tokens that were refilled in the meantime do not count.
			came := w.now.Sub(begun).Seconds()
			g := grant{rate: 1, burst: 1e9, whole: true, alone: true}
			w.board.orgs["a"].requests.refill(w.now, g)
			require.InDelta(t, 1-c.costs+came, w.board.orgs["a"].requests.level, 1e-6)
		})
	}
}

// A router's usage report counts for peerUsageMaxAge, and no longer if it is merged with others
// after that.
func TestLimitUpdatesAge(t *testing.T) {
	t.Parallel()
	s := PeerState{Counted: 3, Speaks: 3, Demands: []Demand{{Org: "a", Tokens: 5}}}
	require.Equal(t, s, s.Aged(peerUsageMaxAge))
	old := s.Aged(peerUsageMaxAge + time.Millisecond)
	require.Zero(t, old.Counted)
	require.Empty(t, old.Demands)
	require.Equal(t, 3, old.Speaks, "it still counts as a router")
}
