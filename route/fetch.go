package route

import (
	"time"
)

// Constants of fetching cached parts from another target. minFetchTokens is the least number of
// tokens that a fetch must save. fetchSetup is the time that it takes in addition to the
// transfer; the engines' setup takes 3 to 5 ms at the users' sites. assumedEvictedFraction is
// the number of tokens that a fetched token is assumed to evict and that will be needed again,
// for an engine whose cache contents are unknown.
const (
	minFetchTokens         = 48
	fetchSetup             = 5 * time.Millisecond
	assumedEvictedFraction = 1.5
)

// evictedTokenCost is the cost of evicting a token that is needed again, as a multiple of its
// prefill time. It covers the prefill and the wait of other requests.
const evictedTokenCost = 2

// evictionCost returns the cost of the cached parts that the request evicts from the engine.
// Everything that it computes, fetches and generates occupies memory. The evicted parts are
// needed again in proportion to the fraction of the engine's memory that holds parts that no
// other engine holds. Prompts with a long unshared part therefore run at engines that hold
// little and fetch their shared parts, and widely shared parts stay where they are.
func (b *Board) evictionCost(now time.Time, c *candidate, p *pool, r *request) time.Duration {
	if b.disabled.Has(Displacing) {
		return 0
	}
	if !c.target.parts.known(now) || p.compiled.CacheTokens == 0 {
		return seconds(assumedEvictedFraction * float64(max(0, c.fetchTokens-c.cachedTokens)) / c.target.rate() / b.expectedUses(r, p))
	}
	added := float64(r.size() - c.cachedTokens)
	soleFraction := min(1, float64(c.target.parts.soleTokens)/float64(p.compiled.CacheTokens))
	return seconds(evictedTokenCost * soleFraction * added / c.target.rate())
}

// considerFetches lets each candidate fetch the longer prefix that another candidate or a store
// holds.
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

// betterSource reports whether fetching from o yields a longer prefix than the candidate holds
// or would fetch so far, or an equal one from its own failure domain.
func (c *candidate) betterSource(o *candidate) bool {
	switch {
	case o.chain != c.chain || o.cachedTokens < c.cachedTokens+minFetchTokens:
		return false
	case o.cachedTokens >= c.fetchTokens+minFetchTokens:
		return true
	}
	return c.crossZone && o.cachedTokens == c.fetchTokens && o.pending == c.pending && c.target.sameZone(o.target)
}

// crossZoneLinkFactor is how many times longer a transfer between failure domains takes.
const crossZoneLinkFactor = 2

// linkFactor returns how many times longer the candidate's transfer takes than the link's rate
// implies.
func (c *candidate) linkFactor() float64 {
	if c.crossZone {
		return crossZoneLinkFactor
	}
	return 1
}

// sameZone reports whether two targets are in the same failure domain.
func (t *target) sameZone(o *target) bool { return t.labels[LabelZone] == o.labels[LabelZone] }

// expectedUses returns how often a copy of the request's shared parts will be used at one
// engine within the eviction horizon. The cost of the evictions that the copy causes is divided
// by this number.
func (b *Board) expectedUses(r *request, p *pool) float64 {
	if r.homes.rate < hotRate {
		return 1
	}
	horizon := time.Duration(b.snap.Config.Placement.Horizon).Seconds()
	return max(1, r.homes.rate*horizon/float64(min(r.homes.spread, b.size(p))))
}

// assumeHolders substitutes for cache events if there are more routers than may follow the
// events of an engine. All routers send a prompt's shared parts to the same engine in
// rendezvous order first, so this engine is assumed to hold them and the others to be able to
// fetch them from there. A wrong assumption costs a millisecond for a fetch that finds nothing.
// If all routers follow the events, a target with unknown events has just started and holds
// nothing.
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

// storeLinkFraction is the fraction of the store's link that transfers may use. A transfer that
// queues behind others costs more than it saves.
const storeLinkFraction = 0.7

// considerStore lets a candidate fetch from the store a longer prefix than any engine holds,
// while the store's link has capacity.
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

// storeRate returns the rate of the link of each store that a pool's engines use, in tokens per
// second.
func (b *Board) storeRate(p *pool) float64 { return max(1, p.compiled.StoreRate) }

// storeHasRoom reports whether this router's share of a store's link has capacity.
func (b *Board) storeHasRoom(now time.Time, store *target, p *pool) bool {
	rate := storeLinkFraction * b.storeRate(p) / float64(b.routers)
	store.moves.refillTo(now, rate, rate)
	return store.moves.level > 0
}
