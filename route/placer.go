package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Placer selects one of the candidates of a request. It may reorder the slice. The wait and the
// cost of each candidate are already predicted.
type Placer func(rng *rand.Rand, cs []candidate) *candidate

// Predict selects the candidate with the least predicted time to first token plus the price of
// avoidable prefill. Rendezvous hashing decides between candidates of nearly equal cost.
func Predict(_ *rand.Rand, cs []candidate) *candidate {
	best := &cs[0]
	for i := range cs[1:] {
		c := &cs[i+1]
		switch d := c.cost - best.cost; {
		case d < -tieWidth, d <= tieWidth && c.rank > best.rank:
			best = c
		}
	}
	return best
}

// tieWidth is the largest difference in cost that counts as a tie.
const tieWidth = time.Millisecond

// Random selects a random candidate. It is a baseline for measurements.
func Random(rng *rand.Rand, cs []candidate) *candidate { return &cs[rng.IntN(len(cs))] }

// RoundRobin selects the candidates in turn. It is a baseline for measurements.
func RoundRobin() Placer {
	n := -1
	return func(_ *rand.Rand, cs []candidate) *candidate {
		slices.SortFunc(cs, func(a, b candidate) int { return a.target.addr.Compare(b.target.addr) })
		n++
		return &cs[n%len(cs)]
	}
}

// LeastLoad selects the candidate with the fewest requests in flight. It is a baseline for
// measurements.
func LeastLoad(rng *rand.Rand, cs []candidate) *candidate {
	rng.Shuffle(len(cs), func(i, j int) { cs[i], cs[j] = cs[j], cs[i] })
	return ref(cs, slices.MinFunc(cs, func(a, b candidate) int {
		return cmp.Compare(a.target.inFlight(), b.target.inFlight())
	}))
}

// PrefixHash selects the first candidate in rendezvous order. It is a baseline for
// measurements.
func PrefixHash(_ *rand.Rand, cs []candidate) *candidate {
	return ref(cs, slices.MaxFunc(cs, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) }))
}

func ref(cs []candidate, c candidate) *candidate {
	for i := range cs {
		if cs[i].target == c.target {
			return &cs[i]
		}
	}
	panic("route: candidate is not in its slice")
}

// Placers returns the placement policies by their names in settings.
func Placers() map[string]Placer {
	return map[string]Placer{
		"predict":     Predict,
		"random":      Random,
		"round-robin": RoundRobin(),
		"least-load":  LeastLoad,
		"prefix-hash": PrefixHash,
	}
}
