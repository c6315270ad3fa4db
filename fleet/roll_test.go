package fleet

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shorter orders numbered weights as route.OlderWeights does.
func shorter(a, b string) bool { return len(a) < len(b) || len(a) == len(b) && a < b }

func newUpdateTarget(n byte, weights string, load int) UpdateTarget {
	return UpdateTarget{
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80), Incarnation: "i",
		Model: "m", Weights: weights, Load: load,
	}
}

// A busy target with the oldest weights is not passed over when newer weights are named.
func TestRollOldestFirst(t *testing.T) {
	r := NewRollingUpdate(DefaultUpdateSettings())
	targets := []UpdateTarget{newUpdateTarget(1, "2", 0), newUpdateTarget(2, "2", 0), newUpdateTarget(3, "1", 50)}
	steps := r.Next(time.Unix(100, 0), map[string]string{"m": "3"}, targets, shorter)
	require.Len(t, steps.Holds, 1)
	require.Equal(t, targets[2].Addr, steps.Holds[0].Addr)
}

// An order waits until the target's order count is known and all routers know of the hold. It is
// repeated only after a poll shows that the target has not accepted it.
func TestRollOrders(t *testing.T) {
	s := DefaultUpdateSettings()
	r := NewRollingUpdate(s)
	now := time.Unix(100, 0)
	target := newUpdateTarget(1, "1", 0)
	target.Orders = OrdersUnknown
	next := func() UpdateSteps {
		return r.Next(now, map[string]string{"m": "2"}, []UpdateTarget{target}, shorter)
	}
	steps := next()
	require.Empty(t, steps.Orders)
	require.Len(t, steps.Polls, 1, "the order count is read first")
	target.Orders = 4
	require.Empty(t, next().Orders, "not all routers know of the hold yet")
	now = now.Add(s.HoldTime)
	require.Len(t, next().Orders, 1)
	now = now.Add(s.FirstPollDelay)
	require.Len(t, next().Polls, 1)
	now = now.Add(s.AnswerTimeout)
	steps = next()
	require.Len(t, steps.Orders, 1, "the order had no effect")
	require.EqualValues(t, 4, steps.Orders[0].Target.Orders, "at most one of the two takes effect")
	target.Orders = 5
	now = now.Add(s.FirstPollDelay)
	require.Empty(t, next().Orders)
	target.Weights = "2"
	require.Empty(t, next().Holds)
	require.False(t, r.Active())
}

// In a large pool a fraction of the targets changes concurrently, in a small one the minimum
// number. At first only half of them start, since each drops its cache when it starts.
func TestRollAtOnce(t *testing.T) {
	for n, want := range map[int]int{3: 2, 9: 2, 90: 18, 140: 28} {
		s := DefaultUpdateSettings()
		next := newRounds(NewRollingUpdate(s))
		var targets []UpdateTarget
		for i := range n {
			targets = append(targets, newUpdateTarget(byte(i), "1", 0))
		}
		steps := next(0, targets)
		require.Len(t, steps.Holds, want/2)
		for _, h := range steps.Holds {
			targets[slices.IndexFunc(targets, func(t UpdateTarget) bool { return t.Addr == h.Addr })].Busy = true
		}
		require.Len(t, next(s.FirstOrderSpread-time.Millisecond, targets).Holds, want/2)
		require.Len(t, next(s.FirstOrderSpread, targets).Holds, want)
		require.Len(t, next(2*s.FirstOrderSpread, targets).Holds, want)
	}
}

// newRounds returns a function that runs a round at a time after the start, with "2" as the newest
// weights unless others are given.
func newRounds(r *RollingUpdate) func(after time.Duration, targets []UpdateTarget, weights ...string) UpdateSteps {
	return func(after time.Duration, targets []UpdateTarget, weights ...string) UpdateSteps {
		named := append(weights, "2")[0]
		return r.Next(time.Unix(100, 0).Add(after), map[string]string{"m": named}, targets, shorter)
	}
}

// A target that did not answer its order keeps serving, is polled, and frees its slot for others.
// It is ordered again with the same order count, to the newest weights at that time.
func TestRollUnanswered(t *testing.T) {
	s := DefaultUpdateSettings()
	s.MaxConcurrent, s.MaxConcurrentFraction = 1, 0
	next := newRounds(NewRollingUpdate(s))
	targets := []UpdateTarget{newUpdateTarget(1, "1", 0), newUpdateTarget(2, "1", 0)}
	next(0, targets)
	sent := next(s.HoldTime, targets)
	require.Len(t, sent.Orders, 1)
	require.Equal(t, targets[:1], sent.Holds)
	steps := next(s.HoldTime+s.AnswerTimeout, targets)
	require.Empty(t, steps.Holds)
	require.Equal(t, targets[:1], steps.Polls)
	steps = next(s.FirstOrderSpread, targets)
	require.Equal(t, targets[1:], steps.Holds, "the second target is selected")
	require.Equal(t, targets[1], next(s.FirstOrderSpread+s.HoldTime, targets).Orders[0].Target)
	steps = next(s.HoldTime+s.OrderInterval, targets, "3")
	require.Len(t, steps.Orders, 1)
	require.Equal(t, UpdateOrder{Target: targets[0], Weights: "3"}, steps.Orders[0])
}

// Running loads count toward the limit whoever ordered them: a new holder sends no orders in
// addition.
func TestRollCountsLoads(t *testing.T) {
	s := DefaultUpdateSettings()
	next := newRounds(NewRollingUpdate(s))
	targets := []UpdateTarget{newUpdateTarget(1, "1", 0), newUpdateTarget(2, "1", 0), newUpdateTarget(3, "1", 0)}
	targets[0].Busy, targets[1].Busy = true, true
	require.Len(t, next(0, targets).Holds, 2)
	steps := next(s.HoldTime, targets)
	require.Empty(t, steps.Orders)
	require.Len(t, steps.Holds, 2)
	targets[0].Weights, targets[0].Busy = "2", false
	require.Len(t, next(time.Second, targets).Holds, 2)
	require.Len(t, next(time.Second+s.HoldTime, targets).Orders, 1)
}

// A target that was about to be ordered waits if delayed orders have taken the slots.
func TestRollLateFillsPlaces(t *testing.T) {
	s := DefaultUpdateSettings()
	next := newRounds(NewRollingUpdate(s))
	targets := []UpdateTarget{newUpdateTarget(1, "1", 0), newUpdateTarget(2, "1", 0), newUpdateTarget(3, "1", 0)}
	require.Len(t, next(0, targets).Holds, 1)
	targets[1].Busy, targets[2].Busy = true, true
	steps := next(s.HoldTime, targets)
	require.Empty(t, steps.Orders)
	require.Equal(t, targets[1:], steps.Holds)
}

// A target that never finishes loading does not block the others and is not ordered again.
func TestRollGivesUp(t *testing.T) {
	s := DefaultUpdateSettings()
	s.MaxConcurrent, s.MaxConcurrentFraction = 1, 0
	next := newRounds(NewRollingUpdate(s))
	targets := []UpdateTarget{newUpdateTarget(1, "1", 0), newUpdateTarget(2, "1", 0)}
	targets[0].Busy = true
	require.Equal(t, targets[0].Addr, next(0, targets).Holds[0].Addr)
	steps := next(s.LoadTimeout+time.Millisecond, targets)
	require.Len(t, steps.Holds, 1)
	require.Equal(t, targets[1].Addr, steps.Holds[0].Addr)
	steps = next(s.LoadTimeout+time.Millisecond+s.HoldTime, targets)
	require.Len(t, steps.Orders, 1)
	require.Equal(t, targets[1].Addr, steps.Orders[0].Target.Addr)
}

// Targets that cannot be read are not ordered. They serve nothing either, so fewer other targets
// may change, but never less than half of the limit.
func TestRollUnreadable(t *testing.T) {
	s := DefaultUpdateSettings()
	for unreadable, want := range map[int]int{0: 4, 1: 3, 2: 2, 5: 2} {
		next := newRounds(NewRollingUpdate(s))
		var targets []UpdateTarget
		for i := range 20 {
			target := newUpdateTarget(byte(i), "1", 0)
			target.Orders = OrdersUnknown
			targets = append(targets, target)
		}
		require.Len(t, next(0, targets).Polls, 20)
		for i := range targets[unreadable:] {
			targets[unreadable+i].Orders = 0
		}
		maxHeld := 0
		for at := s.AnswerTimeout + time.Millisecond; at < time.Second; at += 30 * time.Millisecond {
			steps := next(at, targets)
			maxHeld = max(maxHeld, len(steps.Holds))
			for _, o := range steps.Orders {
				require.NotEqualValues(t, OrdersUnknown, o.Target.Orders)
				targets[slices.Index(targets, o.Target)].Busy = true
			}
		}
		require.Equal(t, want, maxHeld, "%d unreadable", unreadable)
	}
	// A target that becomes unreadable after it was selected is not ordered without its count.
	next := newRounds(NewRollingUpdate(s))
	target := newUpdateTarget(1, "1", 0)
	require.Len(t, next(0, []UpdateTarget{target}).Holds, 1)
	target.Orders = OrdersUnknown
	require.Empty(t, next(s.HoldTime, []UpdateTarget{target}).Orders)
}

// A target that serves two models is updated for the one with old weights, whatever the weights of
// the other.
func TestRollTwoModels(t *testing.T) {
	s := DefaultUpdateSettings()
	r := NewRollingUpdate(s)
	old, other := newUpdateTarget(1, "1", 0), newUpdateTarget(1, "7", 0)
	other.Model = "n"
	for _, targets := range [][]UpdateTarget{{old, other}, {other, old}} {
		r.Reset()
		named := map[string]string{"m": "2", "n": "7"}
		require.Len(t, r.Next(time.Unix(100, 0), named, targets, shorter).Holds, 1)
		steps := r.Next(time.Unix(100, 0).Add(s.HoldTime), named, targets, shorter)
		require.Len(t, steps.Orders, 1)
		require.Equal(t, "m", steps.Orders[0].Target.Model)
	}
}

// An order that is conditional on an outdated order count has no effect. Once the target is read
// with a higher count, the next order must go out at once, with the newest weights. Waiting for the
// first order to take effect stalled the pool for seconds.
func TestRollCountReadTooEarly(t *testing.T) {
	s := DefaultUpdateSettings()
	r := NewRollingUpdate(s)
	now := time.Unix(100, 0)
	target := newUpdateTarget(1, "3", 0)
	target.Orders = 1
	next := func() UpdateSteps {
		now = now.Add(s.LoadingPollInterval)
		return r.Next(now, map[string]string{"m": "4"}, []UpdateTarget{target}, shorter)
	}
	var first UpdateSteps
	for range 5 {
		if first = next(); len(first.Orders) > 0 {
			break
		}
	}
	require.Len(t, first.Orders, 1)
	require.EqualValues(t, 1, first.Orders[0].Target.Orders)

	target.Orders = 2
	ordered := now
	for now.Sub(ordered) < s.LoadTimeout {
		if steps := next(); len(steps.Orders) > 0 {
			require.EqualValues(t, 2, steps.Orders[0].Target.Orders)
			require.Less(t, now.Sub(ordered), time.Second)
			return
		}
	}
	require.Fail(t, "the target was not ordered again")
}
