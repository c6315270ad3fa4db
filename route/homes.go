package route

import (
	"fmt"
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/pathhead/pathhead/event"
)

// homes orders the engines of a large pool for a prompt of named parts, in the same way on
// every router and under all weights.
//
// The first part, which many prompts share, determines a set of engines, and the last shared
// part orders the engines of this set. A first part is therefore held by few engines, even if
// the parts that follow it are rarely requested twice.
type homes struct {
	setHash   uint64
	orderHash uint64
	// lastPartHash identifies the last shared part. orderHash differs from it if the part is
	// spread over several engines.
	lastPartHash uint64
	// setSize is the number of engines in the first part's set. It is 0 for a prompt without
	// shared parts, which has no home.
	setSize float64
	// rate is the rate of requests with this last shared part at all routers, and spread the
	// number of engines over which the part is spread.
	rate   float64
	spread int
}

// Constants of the set of a first part. The set has one engine for every requestsPerHome
// requests per second, which leaves engine time for other sets, in addition to minHomeEngines,
// so that one engine may be lost or busy. The rate is measured over homeWindow, and
// maxFirstParts bounds the measured parts.
const (
	requestsPerHome = 1.5
	minHomeEngines  = 3
	homeWindow      = 10 * time.Second
	maxFirstParts   = 1 << 14
)

// rankOutside is the shift that reduces the rank of an engine outside the first part's set, so
// that it comes after the engines of the set.
const rankOutside = 8

// countParts counts the request's first and last shared parts and determines its homes.
func (b *Board) countParts(now time.Time, r *request) {
	if r.Model == nil || len(r.Parts) < 2 {
		return
	}
	seed := xxh3.HashString(r.Salt("").String())
	r.homes.setHash = xxh3.HashStringSeed(r.Parts[0].ID, seed)
	r.homes.lastPartHash = r.lastPartHash()
	r.homes.orderHash = r.homes.lastPartHash
	r.homes.rate = b.hot.count(now, Block(r.homes.orderHash))
	r.homes.spread = spreadFor(r.homes.rate, b.pools[r.Pool].minFirstToken(r))
	if b.disabled.Has(Spreading) {
		r.homes.spread = 1
	}
	if n := r.homes.spread; n > 1 {
		// Each request has one of the n engines as its home.
		r.homes.orderHash = mixHash(r.homes.orderHash + uint64(b.rng.IntN(n)))
	}
	m := meterOf(b.firstParts, Block(r.homes.setHash), homeWindow)
	m.add(now, 1)
	rate := m.windowRate(now) * float64(b.routers)
	r.homes.setSize = minHomeEngines + rate/requestsPerHome
}

// lastPartHash returns a hash of the request's last shared part that does not depend on the
// weights.
func (r *request) lastPartHash() uint64 {
	return xxh3.HashStringSeed(r.Parts[len(r.Parts)-2].ID, xxh3.HashString(r.Salt("").String()))
}

// sharedTokens returns the length of the request's shared parts in tokens.
func (r *request) sharedTokens() int {
	return PartTokens(r.Parts[:len(r.Parts)-1])
}

// rank returns the rank of an engine of a pool of n for the prompt. Engines with a higher weight have
// the highest rank for more prompts, in proportion.
func (h homes) rank(n int, hash uint64, weight float64) uint64 {
	rank := weightedRank(mixHash(h.orderHash^hash), weight)
	if weightedRank(mixHash(h.setHash^hash), weight) < h.setThreshold(n) {
		rank >>= rankOutside
	}
	return rank
}

// setThreshold returns the least hash with which an engine of a pool of n is in the first
// part's set. In a small pool all engines are.
func (h homes) setThreshold(n int) uint64 {
	if n <= maxFullScan || h.setSize >= float64(n) {
		return 0
	}
	return uint64((1 - h.setSize/float64(n)) * math.MaxUint64)
}

// weightedRank returns the rank of a target with a weight, given the rank that it has with a weight
// of 1. It orders targets as weighted rendezvous hashing does: a target has the highest rank for a
// share of the keys in proportion to its weight, and a change of its weight moves only keys to it or
// away from it.
func weightedRank(rank uint64, weight float64) uint64 {
	if weight == 1 {
		return rank
	}
	const span = 1 << 64
	u := math.Pow((float64(rank)+1)/span, 1/weight)
	return uint64(min(u, math.Nextafter(1, 0)) * span)
}

// capacityWeight is the capacity of a target relative to its pool's median, smoothed and in steps, so
// that noise doesn't change it.
type capacityWeight struct {
	// smoothed is the relative capacity less 1, as of at. steps is the weight less 1, in steps.
	smoothed float64
	at       time.Time
	steps    int
}

// Constants of weights. Moving a home costs reading its parts again, so a weight follows slowly, and
// differs from 1 only if the capacity differs from the median by more than minCapacityRatio.
// homeWeightMargin is the distance beyond the middle between two steps at which a weight changes.
const (
	homeWeightTime   = 5 * time.Second
	homeWeightStep   = 0.25
	homeWeightMargin = 0.05
	minHomeWeight    = 0.25
	maxHomeWeight    = 4
	minCapacityRatio = 1.25
)

func (w capacityWeight) value() float64 { return 1 + homeWeightStep*float64(w.steps) }

// update follows the target's relative capacity. It reports whether the weight changed.
func (w *capacityWeight) update(now time.Time, capacity float64) bool {
	if !w.at.IsZero() {
		w.smoothed += (1 - math.Exp(-float64(now.Sub(w.at))/float64(homeWeightTime))) * (capacity - 1 - w.smoothed)
	}
	w.at = now
	previous := w.steps
	relative := min(max(minHomeWeight, 1+w.smoothed), maxHomeWeight)
	switch {
	case relative < minCapacityRatio && relative > 1/minCapacityRatio:
		if math.Abs(w.smoothed) <= homeWeightStep/2 {
			w.steps = 0
		}
	case math.Abs(relative-w.value()) > homeWeightStep/2+homeWeightMargin:
		w.steps = int(math.Round((relative - 1) / homeWeightStep))
	}
	return w.steps != previous
}

// jump sets the weight to a capacity.
func (w *capacityWeight) jump(now time.Time, capacity float64) {
	*w = capacityWeight{smoothed: capacity - 1, at: now, steps: int(math.Round((min(max(minHomeWeight, capacity), maxHomeWeight) - 1) / homeWeightStep))}
}

// relativeRate returns the target's reported rate relative to that of its pool, or 1 if it reports
// none. Learned rates differ between routers, which would choose other homes for the same prompt.
func (t *target) relativeRate(middle float64) float64 {
	if t.report.PrefillRate > 0 {
		return t.report.PrefillRate / middle
	}
	return 1
}

// updateHomeWeights updates the weights of the targets of the pool.
func (b *Board) updateHomeWeights(now time.Time, p *pool) {
	middle := p.middleRate()
	for _, t := range p.members {
		if t.home.update(now, t.relativeRate(middle)) {
			b.emit(event.Event{Code: event.TargetCapacity, Target: t.name(), Detail: fmt.Sprintf("weight %g in its pool, at %.0f tokens/s", t.home.value(), t.rate())})
		}
	}
}
