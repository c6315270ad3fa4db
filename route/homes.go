package route

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
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
	n := 0
	for _, p := range r.Parts[:len(r.Parts)-1] {
		n += p.Tokens
	}
	return n
}

// rank returns the rank of an engine of a pool of n for the prompt.
func (h homes) rank(n int, hash uint64) uint64 {
	rank := mixHash(h.orderHash ^ hash)
	if mixHash(h.setHash^hash) < h.setThreshold(n) {
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
