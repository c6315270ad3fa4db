package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Placer chooses among the candidates of a request; it may order the slice.
// Each candidate's wait and cost are already predicted.
type Placer func(rng *rand.Rand, cs []candidate) *candidate

// Predict takes the candidate with the least predicted time to first token plus
// the price of wasted prefill; near equals are ordered by rendezvous hashing.
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

// tieWidth is the difference of cost that counts as none.
const tieWidth = time.Millisecond

// Random takes any candidate; it is a baseline for measurements.
func Random(rng *rand.Rand, cs []candidate) *candidate { return &cs[rng.IntN(len(cs))] }

// RoundRobin takes the candidates in turn; it is a baseline for measurements.
func RoundRobin() Placer {
	n := -1
	return func(_ *rand.Rand, cs []candidate) *candidate {
		slices.SortFunc(cs, func(a, b candidate) int { return a.target.addr.Compare(b.target.addr) })
		n++
		return &cs[n%len(cs)]
	}
}

// LeastLoad takes the candidate with the fewest requests in flight; it is a baseline for measurements.
func LeastLoad(rng *rand.Rand, cs []candidate) *candidate {
	rng.Shuffle(len(cs), func(i, j int) { cs[i], cs[j] = cs[j], cs[i] })
	return ref(cs, slices.MinFunc(cs, func(a, b candidate) int {
		return cmp.Compare(a.target.inFlight(), b.target.inFlight())
	}))
}

// PrefixHash takes the first candidate in rendezvous order; it is a baseline for measurements.
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

// Placers returns the placement policies by the names that settings use.
func Placers() map[string]Placer {
	return map[string]Placer{
		"predict":     Predict,
		"random":      Random,
		"round-robin": RoundRobin(),
		"least-load":  LeastLoad,
		"prefix-hash": PrefixHash,
	}
}
