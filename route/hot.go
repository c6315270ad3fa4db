package route

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// PartRate is the rate of requests whose shared parts end with a given part, in requests per
// second.
type PartRate struct {
	// Part is a hash of the part and of who shares it, independent of the weights.
	Part uint64
	Rate float64
}

// hotParts measures the request rate of the last shared part of prompts. A part that is
// requested too often for one engine is spread over several, in the same way on every router.
type hotParts struct {
	local *generationalMap[Block, meter]
	// peerRates are the total rates at the peers, for the parts that are hot there.
	peerRates map[Block]float64
}

// Constants of hot parts. Rates are measured over hotWindow for at most maxTrackedParts parts,
// of which at most maxHot are reported to peers. A part is hot from hotRate on. Its prefills
// may take the fraction hotShare of an engine's time.
const (
	hotWindow       = 4 * time.Second
	maxTrackedParts = 1 << 12
	maxHot          = 32
	// maxMergedHot is the corresponding bound for the merged rates of several routers.
	maxMergedHot = 4 * maxHot
	hotRate      = 1.5
	hotShare     = 0.2
	// minReportedRate is the least rate that is reported. It corresponds to one request a
	// window ago.
	minReportedRate = 0.09
)

func newHotParts() hotParts {
	return hotParts{local: newGenerationalMap[Block, meter](maxTrackedParts), peerRates: make(map[Block]float64)}
}

// count counts a request and returns the rate of its last shared part over all routers.
func (h *hotParts) count(now time.Time, part Block) float64 {
	m := meterOf(h.local, part, hotWindow)
	m.add(now, 1)
	return m.windowRate(now) + h.peerRates[part]
}

// report returns the rates to report to peers.
func (h *hotParts) report(now time.Time) []PartRate {
	var rates []PartRate
	for part, m := range h.local.recent {
		if rate := m.windowRate(now); rate > minReportedRate {
			rates = append(rates, PartRate{uint64(part), rate})
		}
	}
	return topRates(rates, maxHot)
}

func topRates(rates []PartRate, limit int) []PartRate {
	slices.SortFunc(rates, func(a, b PartRate) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Part, b.Part))
	})
	return rates[:min(len(rates), limit)]
}

// TopRates returns the highest of the merged rates of several routers, to be forwarded before
// it is known which parts are hot in the whole fleet. Nearly all of the omitted parts had a
// single request in the window, far below the rate of a hot part. With 28 reporting routers
// there are 800 rates, which are 16 KB to each other relay four times per second.
func TopRates(rates []PartRate) []PartRate { return topRates(slices.Clone(rates), maxMergedHot) }

// Hottest returns the hot parts among the merged rates of a fleet.
func Hottest(rates []PartRate) []PartRate {
	return topRates(slices.DeleteFunc(slices.Clone(rates), func(r PartRate) bool { return r.Rate < hotRate/2 }), maxHot)
}

// merge replaces the peers' rates by those in their latest states.
func (h *hotParts) merge(states map[string]PeerState) {
	clear(h.peerRates)
	for _, s := range states {
		for _, r := range s.Hot {
			h.peerRates[Block(r.Part)] += r.Rate
		}
	}
}

// spreadFor returns the number of engines over which a part with this rate is spread, given the
// prefill time of a request's own part.
func spreadFor(rate float64, prefill time.Duration) int {
	if rate < hotRate {
		return 1
	}
	return max(1, int(math.Ceil(rate*prefill.Seconds()/hotShare)))
}

// nonHomePenalty is the cost of sending a request for a hot part to an engine other than its
// home. The known loads of the engines are outdated; without the penalty, all routers would
// send the requests that arrive in the meantime to the engine that was least loaded.
const nonHomePenalty = 40 * time.Millisecond

// penalizeNonHome adds the penalty to the candidates that are not the home of a request for a
// hot part.
func penalizeNonHome(cs []candidate, r *request) {
	if r.homes.spread <= 1 || len(cs) == 0 {
		return
	}
	home := homeRank(cs)
	for i := range cs {
		if cs[i].rank != home {
			cs[i].penalty += nonHomePenalty
		}
	}
}

// homeRank returns the rank of the request's home among its candidates.
func homeRank(cs []candidate) uint64 {
	return slices.MaxFunc(cs, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) }).rank
}
