package route

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

// homes orders the engines of a large pool for a prompt of named parts, the same
// way on every router and under all weights.
//
// The first part, which many prompts share, decides over a set of engines; the
// last shared part orders the engines of that set. So a first part is held by a
// few engines only, also where what follows it is seldom asked for twice.
type homes struct {
	first uint64
	last  uint64
}

// homesOf returns the homes of a prompt, and whether it has shared parts at all.
func homesOf(r *Request) (homes, bool) {
	if len(r.Parts) < 2 {
		return homes{}, false
	}
	seed := xxh3.HashString(r.Salt("").String())
	return homes{
		first: xxh3.HashStringSeed(r.Parts[0].ID, seed),
		last:  xxh3.HashStringSeed(r.Parts[len(r.Parts)-2].ID, seed),
	}, true
}

// The size of a first part's set: how many requests a second one engine is to get
// of it, which leaves an engine's time to several sets, and the least number of
// engines, so that one may be lost or busy. The rate is measured over homeWindow.
const (
	homeRate   = 1.5
	homeLeast  = 3
	homeWindow = 10 * time.Second
	homeKept   = 1 << 14
)

// rankOutside is how far the rank of an engine outside of a first part's set is
// shifted down, so that it counts behind those that are in it.
const rankOutside = 8

// rank orders an engine for the prompt.
func (h homes) rank(limit uint64, t *target) uint64 {
	rank := mix(h.last ^ t.hash)
	if mix(h.first^t.hash) < limit {
		rank >>= rankOutside
	}
	return rank
}

// homeLimit counts a request for a first part and returns the rank from which an
// engine of a pool of n is in the part's set.
func (b *Board) homeLimit(now time.Time, r *request, n int) uint64 {
	h, ok := homesOf(&r.Request)
	if !ok {
		return 0
	}
	m := b.firstParts.use(Block(h.first))
	if m.over == 0 {
		*m = newMeter(homeWindow)
	}
	m.add(now, 1)
	rate := m.value / homeWindow.Seconds() * float64(b.routers)
	size := homeLeast + rate/homeRate
	if size >= float64(n) {
		return 0
	}
	return uint64((1 - size/float64(n)) * math.MaxUint64)
}
