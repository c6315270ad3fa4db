package route

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// firstChoice returns the target with the highest weighted rank for a key.
func firstChoice(key uint64, weights []float64) int {
	best, most := 0, uint64(0)
	for i, w := range weights {
		if rank := weightedRank(mixHash(key^mixHash(uint64(i+1))), w); rank > most {
			best, most = i, rank
		}
	}
	return best
}

// TestWeightedRankMoves checks that a change of one target's weight moves keys only to that target if
// it grew, and only away from it if it shrank.
func TestWeightedRankMoves(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		step := rapid.IntRange(1, 16)
		weights := make([]float64, rapid.IntRange(2, 40).Draw(rt, "targets"))
		for i := range weights {
			weights[i] = homeWeightStep * float64(step.Draw(rt, "weight"))
		}
		changed := append([]float64(nil), weights...)
		i := rapid.IntRange(0, len(weights)-1).Draw(rt, "target")
		changed[i] = homeWeightStep * float64(step.Draw(rt, "new weight"))
		for range 50 {
			key := rapid.Uint64().Draw(rt, "key")
			before, after := firstChoice(key, weights), firstChoice(key, changed)
			if before == after {
				continue
			}
			if grew := changed[i] > weights[i]; grew && after != i || !grew && before != i {
				rt.Fatalf("key %d moved from %d to %d as target %d changed from %g to %g", key, before, after, i, weights[i], changed[i])
			}
		}
	})
}

// TestWeightedRankShares checks that targets are the first choice in proportion to their weights.
func TestWeightedRankShares(t *testing.T) {
	t.Parallel()
	const keys = 100_000
	weights := []float64{0.5, 1, 1, 1.25, 4}
	counts := make([]float64, len(weights))
	for key := range uint64(keys) {
		counts[firstChoice(mixHash(key+1), weights)]++
	}
	for i, w := range weights {
		require.InEpsilon(t, w/7.75, counts[i]/keys, 0.05, "weight %g", w)
	}
	require.Equal(t, uint64(12345), weightedRank(12345, 1), "equal capacities leave the order as it is")
	require.Positive(t, weightedRank(math.MaxUint64, 4))
}

// TestHomeWeight checks that the weight of a target follows a lasting difference of its capacity, and
// neither noise nor a slow moment.
func TestHomeWeight(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		capacity, noise, slowMoment float64
		want                        float64
	}{
		"equal":              {capacity: 1, noise: 0.3, want: 1},
		"within the ratio":   {capacity: 1.2, want: 1},
		"faster":             {capacity: 1.3, want: 1.25},
		"slower":             {capacity: 0.7, want: 0.75},
		"about half":         {capacity: 0.46, noise: 0.1, want: 0.5},
		"four times slower":  {capacity: 0.25, want: 0.25},
		"beyond the bounds":  {capacity: 50, want: maxHomeWeight},
		"stopped":            {capacity: 0, want: minHomeWeight},
		"with a slow moment": {capacity: 1, slowMoment: 0.4, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			var w capacityWeight
			now, changes := epoch, 0
			for i := range 400 {
				capacity := c.capacity + c.noise*(2*rng.Float64()-1)
				if at := now.Sub(epoch); c.slowMoment > 0 && at > 20*time.Second && at <= 20*time.Second+slowTime+rateWindow {
					capacity = c.slowMoment
				}
				if w.update(now, capacity) {
					changes++
				}
				now = now.Add(fleetReport)
				if i > 200 {
					require.Equal(t, c.want, w.value())
				}
			}
			require.LessOrEqual(t, changes, int(math.Ceil(math.Abs(c.want-1)/homeWeightStep)), "no weight is left and entered again")
		})
	}
}
