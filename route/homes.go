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
	setHash   uint64
	orderHash uint64
	// part is the last shared part itself, before it is spread.
	lastPartHash uint64
	// size is how many engines the first part's set has; it is 0 for a prompt
	// without shared parts, which has no homes.
	setSize float64
	// rate is how often all routers together get requests with this last shared
	// part, engines over how many engines it is spread for that.
	rate   float64
	spread int
}

// The size of a first part's set: how many requests a second one engine is to get
// of it, which leaves an engine's time to several sets, and the least number of
// engines, so that one may be lost or busy. The rate is measured over homeWindow.
const (
	requestsPerHome = 1.5
	minHomeEngines  = 3
	homeWindow      = 10 * time.Second
	maxFirstParts   = 1 << 14
)

// rankOutside is how far the rank of an engine outside of a first part's set is
// shifted down, so that it counts behind those that are in it.
const rankOutside = 8

// countParts counts a request for its first part and works its homes out.
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
		// Each of the requests has one of n engines as its home.
		r.homes.orderHash = mixHash(r.homes.orderHash + uint64(b.rng.IntN(n)))
	}
	m := meterOf(b.firstParts, Block(r.homes.setHash), homeWindow)
	m.add(now, 1)
	rate := m.windowRate(now) * float64(b.routers)
	r.homes.setSize = minHomeEngines + rate/requestsPerHome
}

// lastPartHash is a number of the request's last shared part that is the same under all weights.
func (r *request) lastPartHash() uint64 {
	return xxh3.HashStringSeed(r.Parts[len(r.Parts)-2].ID, xxh3.HashString(r.Salt("").String()))
}

// sharedTokens is the length of the request's shared parts.
func (r *request) sharedTokens() int {
	n := 0
	for _, p := range r.Parts[:len(r.Parts)-1] {
		n += p.Tokens
	}
	return n
}

// rank orders an engine of a pool of n for the prompt.
func (h homes) rank(n int, hash uint64) uint64 {
	rank := mixHash(h.orderHash ^ hash)
	if mixHash(h.setHash^hash) < h.setThreshold(n) {
		rank >>= rankOutside
	}
	return rank
}

// setThreshold is the rank for the first part from which an engine of a pool of n is in
// the part's set; all of a small pool are.
func (h homes) setThreshold(n int) uint64 {
	if n <= maxFullScan || h.setSize >= float64(n) {
		return 0
	}
	return uint64((1 - h.setSize/float64(n)) * math.MaxUint64)
}
