package route

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// PartRate is how often prompts end their shared parts with one part, in requests per second.
type PartRate struct {
	// Part names the part and who shares it, whatever the weights.
	Part uint64
	Rate float64
}

// hotParts measures how often prompts are about the same thing: the last part that
// they share. One that is asked for more often than one engine should serve is
// spread over several, the same way on every router.
type hotParts struct {
	local *generationalMap[Block, meter]
	// others are the rates at the peers, of the parts that are hot there together.
	peerRates map[Block]float64
}

// The bounds of hot parts: the time over which a rate is measured, the number of
// parts measured and of those told of, the rate from which a part is hot, and the
// part of an engine's time that the prefills of one may take.
const (
	hotWindow       = 4 * time.Second
	maxTrackedParts = 1 << 12
	maxHot          = 32
	// maxMergedHot is the same for what several routers tell together.
	maxMergedHot = 4 * maxHot
	hotRate      = 1.5
	hotShare     = 0.2
	// minReportedRate is the rate below which a router tells nothing: one request a window ago.
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

// report returns the rates to tell peers of.
func (h *hotParts) report(now time.Time) []PartRate {
	var out []PartRate
	for part, m := range h.local.recent {
		if rate := m.windowRate(now); rate > minReportedRate {
			out = append(out, PartRate{uint64(part), rate})
		}
	}
	return topRates(out, maxHot)
}

func topRates(rates []PartRate, most int) []PartRate {
	slices.SortFunc(rates, func(a, b PartRate) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Part, b.Part))
	})
	return rates[:min(len(rates), most)]
}

// TopRates returns those of several routers' joined rates that are told on, before it
// is known which are hot in the whole fleet. A part that is hot there stands far above
// what one request in the window makes of a part, which is nearly all that is left out:
// 800 rates where 28 routers report, 16 KB to each other relay four times a second.
func TopRates(rates []PartRate) []PartRate { return topRates(slices.Clone(rates), maxMergedHot) }

// Hottest returns those of a fleet's joined rates that are hot.
func Hottest(rates []PartRate) []PartRate {
	return topRates(slices.DeleteFunc(slices.Clone(rates), func(r PartRate) bool { return r.Rate < hotRate/2 }), maxHot)
}

// merge takes the rates that peers told.
func (h *hotParts) merge(states map[string]PeerState) {
	clear(h.peerRates)
	for _, s := range states {
		for _, r := range s.Hot {
			h.peerRates[Block(r.Part)] += r.Rate
		}
	}
}

// spreadFor returns over how many engines a part of this rate is spread, where a
// request's own part takes an engine so long.
func spreadFor(rate float64, prefill time.Duration) int {
	if rate < hotRate {
		return 1
	}
	return max(1, int(math.Ceil(rate*prefill.Seconds()/hotShare)))
}

// nonHomePenalty is what a request about a hot part pays for any engine but its home.
// The loads that are told of are old: without it, all routers would send what they
// get in the meantime to the engine that was the least loaded.
const nonHomePenalty = 40 * time.Millisecond

// penalizeNonHome prices the candidates that are not the home of a request about a hot part.
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

// homeRank is the rank of the request's home among its candidates.
func homeRank(cs []candidate) uint64 {
	return slices.MaxFunc(cs, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) }).rank
}
