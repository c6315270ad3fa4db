package route

import (
	"time"
)

// The bounds of fetching cached parts from another target: how many tokens it
// must save, and what it takes besides the transfer, which is the engines' set-up
// time of 3 to 5 ms on the users' sites. assumedEvictedFraction is the part of the fetched
// tokens that a copy is taken to displace and that will be wanted again, at an
// engine of which nothing better is known.
const (
	minFetchTokens         = 48
	fetchSetup             = 5 * time.Millisecond
	assumedEvictedFraction = 1.5
)

// evictedTokenCost is what a token costs that is wanted again and was displaced, in
// times that an engine takes to read it: the reading, and the wait of others.
const evictedTokenCost = 2

// evictionCost is what a request costs by displacing what the engine holds. All that
// it brings there takes room: what it reads, fetches and makes. The more of the
// engine's memory has parts that no other engine holds, the more of that is
// missed. So prompts with a long part of their own run where little is kept and
// fetch what they share, and what many share stays where it is kept.
func (b *Board) evictionCost(now time.Time, c *candidate, p *pool, r *request) time.Duration {
	if b.disabled.Has(Displacing) {
		return 0
	}
	if !c.target.parts.known(now) || p.compiled.CacheTokens == 0 {
		return seconds(assumedEvictedFraction * float64(max(0, c.fetchTokens-c.cachedTokens)) / c.target.rate() / b.expectedUses(r, p))
	}
	brought := float64(r.size() - c.cachedTokens)
	missed := min(1, float64(c.target.parts.soleTokens)/float64(p.compiled.CacheTokens))
	return seconds(evictedTokenCost * missed * brought / c.target.rate())
}

// considerFetches lets candidates fetch what the best holder has beyond their own.
func (b *Board) considerFetches(now time.Time, cs []candidate, p *pool, r *request) {
	if !p.compiled.Fetches || len(cs) == 0 || b.disabled.Has(Fetching) {
		return
	}
	stores := b.directStores(now, r.Model)
	if b.routers > p.compiled.CacheReaders {
		b.assumeHolders(now, cs)
	}
	for i := range cs {
		c := &cs[i]
		for j := range cs {
			if o := &cs[j]; c.betterSource(o) {
				c.fetchFrom, c.fetchTokens, c.pending = o.target.addr, o.cachedTokens, o.pending
				c.crossZone = !c.target.sameZone(o.target)
			}
		}
		for _, store := range stores {
			b.considerStore(now, c, store, p)
		}
		if c.fetchTokens > 0 && c.store == nil {
			fetched := float64(c.fetchTokens - c.cachedTokens)
			c.transfer = c.pending.remaining(now) + fetchSetup + seconds(c.linkFactor()*fetched/max(1, p.compiled.LinkRate))
		}
		c.penalty += b.evictionCost(now, c, p, r)
	}
}

// betterSource reports whether fetching from o brings more than what the candidate has or
// would fetch so far, or as much from its own failure domain.
func (c *candidate) betterSource(o *candidate) bool {
	switch {
	case o.chain != c.chain || o.cachedTokens < c.cachedTokens+minFetchTokens:
		return false
	case o.cachedTokens >= c.fetchTokens+minFetchTokens:
		return true
	}
	return c.crossZone && o.cachedTokens == c.fetchTokens && o.pending == c.pending && c.target.sameZone(o.target)
}

// crossZoneLinkFactor is how many times longer a copy takes between failure domains.
const crossZoneLinkFactor = 2

// linkFactor is how many times longer the candidate's copy takes than the link's rate says.
func (c *candidate) linkFactor() float64 {
	if c.crossZone {
		return crossZoneLinkFactor
	}
	return 1
}

// sameZone reports whether two targets stand in the same failure domain.
func (t *target) sameZone(o *target) bool { return t.labels[LabelZone] == o.labels[LabelZone] }

// expectedUses is how often a copy of a request's shared parts will be used at one engine
// while it counts as wanted: what a copy displaces is paid for by all its uses.
func (b *Board) expectedUses(r *request, p *pool) float64 {
	if r.homes.rate < hotRate {
		return 1
	}
	horizon := time.Duration(b.snap.Config.Placement.Horizon).Seconds()
	return max(1, r.homes.rate*horizon/float64(min(r.homes.spread, b.size(p))))
}

// assumeHolders stands in for events where there are more routers than an engine
// lets follow them: all routers send a prompt's shared parts first to the same
// engine in rendezvous order, so that one is taken to hold them, and the others to
// be able to fetch them there. Where it is wrong, a fetch that finds nothing
// costs a millisecond. Where all routers follow the events, a target whose events are
// not known has just started, and holds nothing.
func (b *Board) assumeHolders(now time.Time, cs []candidate) {
	first := make(map[*chain]*candidate, 2)
	for i := range cs {
		c := &cs[i]
		if best := first[c.chain]; len(c.chain.partKeys) > 1 && (best == nil || c.rank > best.rank) {
			first[c.chain] = c
		}
	}
	for _, best := range first {
		if best.target.parts.known(now) {
			continue
		}
		best.assumed = true
		best.cachedTokens = max(best.cachedTokens, best.chain.tokens[len(best.chain.tokens)-2])
	}
}

// storeLinkFraction is the part of the store's link that its moves may take: one that
// waits behind others costs more than what it brings.
const storeLinkFraction = 0.7

// considerStore lets a candidate fetch from the store what no engine holds, while
// the store's link has room.
func (b *Board) considerStore(now time.Time, c *candidate, store *target, p *pool) {
	held := store.parts.leadingTokens(c.chain)
	if held < max(c.cachedTokens, c.fetchTokens)+minFetchTokens || !b.storeHasRoom(now, store, p) {
		return
	}
	c.store, c.fetchFrom, c.fetchTokens, c.pending = store, store.addr, held, pendingFill{}
	c.crossZone = !c.target.sameZone(store)
	moved := float64(held - c.cachedTokens)
	c.transfer = fetchSetup + seconds(c.linkFactor()*moved/b.storeRate(p))
}

// storeRate is the rate of the link of each store that a pool's engines use, in tokens per second.
func (b *Board) storeRate(p *pool) float64 { return max(1, p.compiled.StoreRate) }

// storeHasRoom reports whether this router's part of a store's link has room.
func (b *Board) storeHasRoom(now time.Time, store *target, p *pool) bool {
	rate := storeLinkFraction * b.storeRate(p) / float64(b.routers)
	store.moves.refillTo(now, rate, rate)
	return store.moves.level > 0
}
