package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// shareTolerance is the relative error of sums of floating-point numbers.
const shareTolerance = 1e-9

func drawDemands(t *rapid.T) []shareDemand {
	var out []shareDemand
	for i := range rapid.IntRange(1, 20).Draw(t, "demands") {
		out = append(out, shareDemand{
			org: fmt.Sprint("o", i), priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			weight: rapid.Float64Range(0.1, 10).Draw(t, "weight"), asked: rapid.Float64Range(0, 1000).Draw(t, "asked"),
		})
	}
	return out
}

func sumOf(rates []float64) (sum float64) {
	for _, r := range rates {
		sum += r
	}
	return sum
}

// TestFairShares checks that shares never exceed the demands or the capacity, use all of it, and
// give every demand its fair share or what it asks for.
func TestFairShares(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		capacity := rapid.Float64Range(0, 5000).Draw(t, "capacity")
		got := fairShares(capacity, demands)
		asked := 0.0
		classAsked, classGot, classWeight := map[int]float64{}, map[int]float64{}, map[int]float64{}
		for i, d := range demands {
			asked += d.asked
			classAsked[d.priority] += d.asked
			classGot[d.priority] += got[i]
			classWeight[d.priority] += d.weight
			require.GreaterOrEqual(t, got[i], 0.0)
			require.LessOrEqual(t, got[i], d.asked)
		}
		require.InDelta(t, min(asked, capacity), sumOf(got), shareTolerance*(capacity+asked), "all of the capacity is used, and no more")
		for i, d := range demands {
			fair := classGot[d.priority] * d.weight / classWeight[d.priority]
			if d.asked <= fair {
				require.InDelta(t, d.asked, got[i], shareTolerance*(capacity+asked), "who asks for less than his fair share is not cut")
			} else {
				require.GreaterOrEqual(t, got[i], fair*(1-1e-6))
			}
		}
		for priority, class := range classGot {
			floor := minClassShare * min(1, capacity/max(asked, 1)) * classAsked[priority]
			require.GreaterOrEqual(t, class, floor-shareTolerance*(capacity+asked), "no priority is starved")
			if above := classAsked[priority+1]; above > 1 && classAsked[priority] > 1 {
				require.GreaterOrEqual(t, classGot[priority+1]/above, class/classAsked[priority]-1e-6, "the more urgent are not served less often")
			}
		}
	})
}

// TestFairSharesWeight checks that a larger weight never reduces a share.
func TestFairSharesWeight(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		capacity := rapid.Float64Range(0, 5000).Draw(t, "capacity")
		before := fairShares(capacity, demands)
		i := rapid.IntRange(0, len(demands)-1).Draw(t, "index")
		demands[i].weight *= rapid.Float64Range(1, 5).Draw(t, "factor")
		require.GreaterOrEqual(t, fairShares(capacity, demands)[i], before[i]-shareTolerance*(capacity+before[i]))
	})
}

// TestFairSharesOrder checks that the order of the demands does not matter.
func TestFairSharesOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		capacity := rapid.Float64Range(0, 5000).Draw(t, "capacity")
		byOrg := func(demands []shareDemand) map[string]float64 {
			out := make(map[string]float64)
			for i, rate := range fairShares(capacity, demands) {
				out[demands[i].org] = rate
			}
			return out
		}
		want := byOrg(demands)
		for org, rate := range byOrg(rapid.Permutation(demands).Draw(t, "order")) {
			require.InDelta(t, want[org], rate, 1e-6)
		}
	})
}
