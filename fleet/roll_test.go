package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shorter orders numbered weights as route.OlderWeights does.
func shorter(a, b string) bool { return len(a) < len(b) || len(a) == len(b) && a < b }

func rollTarget(n byte, weights string, load int) RollTarget {
	return RollTarget{
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80), Incarnation: "i",
		Model: "m", Weights: weights, Load: load,
	}
}

// A target with the oldest weights is not passed over by newer namings because it is busy.
func TestRollOldestFirst(t *testing.T) {
	r := NewRoll(DefaultRollSettings())
	targets := []RollTarget{rollTarget(1, "2", 0), rollTarget(2, "2", 0), rollTarget(3, "1", 50)}
	steps := r.Next(time.Unix(100, 0), map[string]string{"m": "3"}, targets, shorter)
	require.Len(t, steps.Holds, 2)
	held := []netip.AddrPort{steps.Holds[0].Addr, steps.Holds[1].Addr}
	require.Contains(t, held, targets[2].Addr)
}

// An order waits until the target's order count is known and the hold has spread,
// and is repeated only once the target was read back without having taken it.
func TestRollOrders(t *testing.T) {
	s := DefaultRollSettings()
	r := NewRoll(s)
	now := time.Unix(100, 0)
	target := rollTarget(1, "1", 0)
	target.Orders = OrdersUnknown
	next := func() RollSteps {
		return r.Next(now, map[string]string{"m": "2"}, []RollTarget{target}, shorter)
	}
	steps := next()
	require.Empty(t, steps.Orders)
	require.Len(t, steps.Looks, 1, "its count is read first")
	target.Orders = 4
	require.Empty(t, next().Orders, "the hold has not spread")
	now = now.Add(s.HoldTime)
	require.Len(t, next().Orders, 1)
	now = now.Add(s.FirstLook)
	require.Len(t, next().Looks, 1)
	now = now.Add(s.AnswerTime)
	steps = next()
	require.Len(t, steps.Orders, 1, "the order had no effect")
	require.EqualValues(t, 4, steps.Orders[0].Target.Orders, "at most one of the two takes effect")
	target.Orders = 5
	now = now.Add(s.FirstLook)
	require.Empty(t, next().Orders)
	target.Weights = "2"
	require.Empty(t, next().Holds)
	require.False(t, r.Active())
}

// A part of a large pool changes at once, and of a small one the least number.
func TestRollAtOnce(t *testing.T) {
	for n, want := range map[int]int{3: 2, 9: 2, 90: 18, 140: 28} {
		r := NewRoll(DefaultRollSettings())
		var targets []RollTarget
		for i := range n {
			targets = append(targets, rollTarget(byte(i), "1", 0))
		}
		require.Len(t, r.Next(time.Unix(100, 0), map[string]string{"m": "2"}, targets, shorter).Holds, want)
	}
}
