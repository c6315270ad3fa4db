package route

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// RateUpdate is the prefill rate of a target as observed by one or more routers within the last
// second.
type RateUpdate struct {
	// Target is the lower half of [TargetKey.Hash].
	Target uint32
	// Rate is the binary logarithm of the rate in tokens per second, times rateSteps.
	Rate uint16
	// Weight is the sum of the observations' weights, times weightSteps.
	Weight uint16
}

// Constants of reported rates. A step of the rate is 2%.
const (
	rateSteps      = 32
	weightSteps    = 16
	maxRateUpdates = 64
)

func newRateUpdate(target uint32, w weightedRate) RateUpdate {
	return RateUpdate{
		target, uint16(math.Round(rateSteps * math.Log2(max(1, w.rate)))),
		uint16(min(math.Round(weightSteps*w.weight), math.MaxUint16)),
	}
}

func (u RateUpdate) mean() weightedRate {
	return weightedRate{math.Exp2(float64(u.Rate) / rateSteps), float64(u.Weight) / weightSteps}
}

// rateUpdates returns what this router observed of targets, most recent first, and the number of
// targets that are left out.
func (b *Board) rateUpdates(now time.Time) (updates []RateUpdate, dropped int) {
	var observed []*target
	for _, t := range b.targets {
		if t.rates = t.rates.expire(now); len(t.rates) > 0 {
			observed = append(observed, t)
		}
	}
	slices.SortFunc(observed, func(x, y *target) int {
		return cmp.Or(y.rates[len(y.rates)-1].at.Compare(x.rates[len(x.rates)-1].at), x.addr.Compare(y.addr))
	})
	for _, t := range observed[:min(len(observed), maxRateUpdates)] {
		updates = append(updates, newRateUpdate(uint32(t.key().Hash()), t.rates.mean()))
	}
	b.ratesDropped = len(observed) - len(updates)
	return updates, b.ratesDropped
}

// rateSums merges rate updates by target.
type rateSums map[uint32]weightedRate

func (s rateSums) add(updates []RateUpdate) {
	for _, u := range updates {
		s[u.Target] = s[u.Target].plus(u.mean())
	}
}

// updates returns the merged updates and the number of those that are left out. Which ones these are
// varies with the observations, so that each target is reported again and again.
func (s rateSums) updates() (updates []RateUpdate, dropped int) {
	for target, w := range s {
		updates = append(updates, newRateUpdate(target, w))
	}
	slices.SortFunc(updates, func(x, y RateUpdate) int { return cmp.Compare(x.order(), y.order()) })
	n := min(len(updates), maxRateUpdates)
	return updates[:n], len(updates) - n
}

func (u RateUpdate) order() uint64 {
	return mixHash(uint64(u.Target)<<32 | uint64(u.Rate)<<16 | uint64(u.Weight))
}

// mergeRates applies the rates that peers observed.
func (b *Board) mergeRates(now time.Time) {
	for _, p := range b.pools {
		p.middle = 0
	}
	if b.disabled.Has(Capacity) {
		return
	}
	sums := make(rateSums)
	b.peerRatesDropped = 0
	for _, s := range b.peers {
		sums.add(s.Rates)
		b.peerRatesDropped += s.RatesDropped
	}
	for _, t := range b.targets {
		t.peerRate = sums[uint32(t.key().Hash())]
		t.updateRate(now)
	}
	for _, p := range b.pools {
		b.updatePoolRate(now, p)
		b.updateHomeWeights(now, p)
	}
}

// RatesDropped returns the number of targets whose observed rates did not fit into the last reports
// of this router and its peers.
func (b *Board) RatesDropped() int { return b.ratesDropped + b.peerRatesDropped }
