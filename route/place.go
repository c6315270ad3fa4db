package route

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// heldPrefix is the deepest block a target was ever known to hold of a prompt, and how long ago.
type heldPrefix struct {
	tokens int
	age    time.Duration
}

// candidate is a target that could take a request, with what is predicted of it.
type candidate struct {
	target  *target
	weights string
	chain   *chain
	// trusted is the cached part of the prompt that is believed, in tokens;
	// held is the deepest block ever known there.
	cachedTokens int
	// ready is the part of trusted that the target has read, in tokens, and unread the
	// reading that the rest, or what is to be fetched, waits for; it is zero for none.
	readyTokens int
	pending     pendingFill
	held        heldPrefix
	// rank orders equal candidates the same way on every router.
	rank uint64
	wait time.Duration
	cost time.Duration
	// imported is a kept prefix that is worth importing first, and transfer the time that takes.
	imported Import
	transfer time.Duration
	// fetchFrom is a target that holds more of the prompt, and fetched how far, in tokens.
	fetchFrom   netip.AddrPort
	fetchTokens int
	// store is that target where it is a store of KV cache.
	store *target
	// far says that it stands in another failure domain.
	crossZone bool
	// assumed says that what the candidate holds was not told by events.
	assumed bool
	// extra is the cost of older weights, of failures and of distance.
	penalty time.Duration
}

// uncached is the part of the prompt that the candidate would compute, in tokens.
func (c *candidate) uncached(r *request) int {
	have := max(c.cachedTokens, c.imported.Tokens, c.fetchTokens)
	return r.promptTokens() - min(have, r.promptTokens())
}

func sortTargets(ts []*target) {
	slices.SortFunc(ts, func(a, b *target) int { return a.addr.Compare(b.addr) })
}

// maxFullScan is the pool size up to which every member is a candidate; of larger
// pools only known holders, the first in rendezvous order and a random few are.
const (
	maxFullScan   = 24
	rendezvousTop = 4
	randomExtra   = 6
	retryPenalty  = 2 * time.Second
)

// choose places a request: it returns the best candidate that has room, and how
// much more that one costs than the best of all, which may be full. It returns
// nil if none has room.
func (b *Board) choose(now time.Time, p *pool, r *request) (best *candidate, extra time.Duration) {
	for _, r.side = range b.releaseSides(now, p, r) {
		if best, extra = b.chooseOnSide(now, p, r); best != nil {
			break
		}
	}
	return best, extra
}

// chooseOnSide is choose among the targets on the request's side of a roll-out.
func (b *Board) chooseOnSide(now time.Time, p *pool, r *request) (best *candidate, extra time.Duration) {
	cs := b.candidates(now, p, r)
	for {
		best, extra = b.bestOf(cs, p, r)
		if best == nil || b.withinLimit(now, best.target, r) {
			return best, extra
		}
		// Waiting for one that is at its limit would not bring room there: others take the request.
		full := best.target
		cs = slices.DeleteFunc(cs, func(c candidate) bool { return c.target == full })
	}
}

// bestOf is choose among some candidates, whose order it changes.
func (b *Board) bestOf(cs []candidate, p *pool, r *request) (best *candidate, extra time.Duration) {
	if len(cs) == 0 {
		return nil, 0
	}
	least := cs[0].cost
	room := 0
	for i := range cs {
		least = min(least, cs[i].cost)
		if b.hasCapacity(cs[i].target, p, r) {
			cs[room], cs[i] = cs[i], cs[room]
			room++
		}
	}
	if room == 0 {
		return nil, 0
	}
	best = b.place(b.rng, cs[:room])
	return best, best.cost - least
}

// maxPrefillWait is the longest wait, for prefills that all routers sent to an engine,
// at which it gets one more request. What waits longer waits here, in its
// organisation's queue, and keeps its choice. Each router keeps to its part by
// what it sent itself: what peers sent is known too late to hold anything back.
const maxPrefillWait = 200 * time.Millisecond

// windowFactor is the room that a target without a declared window has, as a
// multiple of its slots: those and a queue half as long again.
const windowFactor = 1.5

// window is the number of requests that all routers together send to the target.
func (t *target) window(p *pool) int {
	if p.compiled.Window > 0 {
		return p.compiled.Window
	}
	return int(windowFactor * float64(t.slots()))
}

// pendingPrefillLimit is the prefill that this router may have waiting at one engine.
func (b *Board) pendingPrefillLimit() time.Duration {
	if b.maxPendingPrefill > 0 {
		return b.maxPendingPrefill
	}
	return maxPrefillWait / time.Duration(b.routers)
}

// memoryFraction is the part of an engine's cache that running requests may take. With
// all of it, what they share is displaced and read again, so that they run longer and
// take yet more; with half, requests wait for room that their engine has. Measured in
// docs/design/measures.md.
const memoryFraction = 0.7

// hasMemory reports whether the engine can hold one more request beside what it keeps.
func (t *target) hasMemory(p *pool, r *request) bool {
	most := memoryFraction * float64(p.compiled.CacheTokens)
	held := t.tokens + t.peerTokens
	return most == 0 || held == 0 || float64(held+r.size()) <= most
}

func (b *Board) hasCapacity(t *target, p *pool, r *request) bool {
	if !b.disabled.Has(MemoryBound) && !t.hasMemory(p, r) {
		return false
	}
	n := t.inFlight()
	own := seconds(float64(t.prefill) / t.rate())
	return len(t.attempts) == 0 || n < t.window(p) && own <= b.pendingPrefillLimit()
}

// candidates lists the targets that serve the request, with predictions.
func (b *Board) candidates(now time.Time, p *pool, r *request) []candidate {
	cs := b.scratch[:0]
	if r.Model == nil {
		cs = b.serviceCandidates(cs, now, p, r)
	} else {
		cs = b.engineCandidates(cs, now, p, r)
	}
	b.scratch = cs
	price := b.snap.Config.Placement.RecomputeWeight
	for i := range cs {
		cs[i].wait = cs[i].target.queueWait(now)
	}
	price *= 1 + b.delayedRequests(now, p, cs)
	for i := range cs {
		b.predict(&cs[i], r, price)
	}
	return slices.DeleteFunc(cs, func(c candidate) bool {
		return r.Model != nil && b.tooOldToBegin(now.Add(c.timeToFirstToken(r)), r.Model.Name, c.weights)
	})
}

// delayedRequests is the mean number of requests that wait for one target here or arrive
// while its queue drains: each second of prefill that could have been spared is a second
// that all of them wait, so the busier the pool, the more it costs.
func (b *Board) delayedRequests(now time.Time, p *pool, cs []candidate) float64 {
	if len(cs) == 0 {
		return 0
	}
	wait := time.Duration(0)
	for _, c := range cs {
		wait += c.wait
	}
	fleet := float64(b.routers) / float64(b.size(p))
	arriving := p.arrivals.rate(now) * (wait / time.Duration(len(cs))).Seconds()
	return fleet * (arriving + float64(p.queue.n))
}

// LabelZone is the label with a target's failure domain, and crossZoneRoundTrip what one in
// another costs: a round trip between domains takes 2 to 3 ms on the users' sites.
const (
	LabelZone          = "zone"
	crossZoneRoundTrip = 3 * time.Millisecond
)

// crossZoneByteCost is what a byte to or from another failure domain costs: by the users'
// prices 100 KB cost as much as reading 1,000 tokens again, for which an engine takes
// some 25 ms, whose price is as much again.
const crossZoneByteCost = 500 * time.Nanosecond

// distanceCost prices a target in another failure domain for a request of some bytes.
func (b *Board) distanceCost(t *target, bytes int) time.Duration {
	if b.zone == "" || b.disabled.Has(Distance) || t.labels[LabelZone] == b.zone {
		return 0
	}
	return time.Duration(bytes) * crossZoneByteCost
}

// serviceDistanceCost prices a target of a plain service, whose answers a round trip delays.
func (b *Board) serviceDistanceCost(t *target, r *request) time.Duration {
	far := b.distanceCost(t, r.Bytes)
	if far == 0 {
		return 0
	}
	return far + crossZoneRoundTrip
}

func (b *Board) serviceCandidates(cs []candidate, now time.Time, p *pool, r *request) []candidate {
	b.loadTargets(now, p, r)
	for _, t := range p.members {
		if t.usable() && !t.backingOff(now) && b.onSide(now, p, r.side, t) {
			cs = append(cs, candidate{target: t, rank: b.rng.Uint64(), penalty: b.failurePenalty(now, t) + b.serviceDistanceCost(t, r)})
		}
	}
	return cs
}

// engineCandidates lists the engines that serve the request's model; of a large
// pool only those worth predicting for.
func (b *Board) engineCandidates(cs []candidate, now time.Time, p *pool, r *request) []candidate {
	b.loadTargets(now, p, r)
	list := b.filterSide(now, p, r, b.withoutBackoff(now, b.servers(p, r)))
	n := max(len(list), b.reserve.Size(p.compiled.Name))
	if len(list) > maxFullScan {
		cs = b.narrow(cs, list, n, r)
	} else {
		for _, s := range list {
			cs = append(cs, candidate{target: s.target, weights: s.weights, chain: r.chain(s.weights)})
		}
	}
	cs = b.applyPenalties(cs, now, r, list)
	b.estimateCached(cs, now, r, n)
	penalizeNonHome(cs, r)
	b.considerImports(now, cs, r)
	b.considerFetches(now, cs, p, r)
	return cs
}

// applyPenalties drops candidates whose weights are too old and prices what speaks against the others.
func (b *Board) applyPenalties(cs []candidate, now time.Time, r *request, list []server) []candidate {
	kept := cs[:0]
	prefers := b.prefersNewest(r, list)
	for _, c := range cs {
		u := b.weightsUseOf(now, r.Model.Name, c.weights)
		price := time.Duration(0)
		switch {
		case u == useNever:
			b.noteUnused(now, c.target, r.Model.Name, c.weights)
			continue
		case u == usePenalised && prefers:
			price = b.staleness.Price
		}
		c.penalty = price + b.failurePenalty(now, c.target) + b.distanceCost(c.target, r.Bytes)
		kept = append(kept, c)
	}
	return kept
}

// estimateCached fills in the ranks in a pool of n and what each candidate is known to hold.
func (b *Board) estimateCached(cs []candidate, now time.Time, r *request, n int) {
	for i := range cs {
		c := &cs[i]
		if i == 0 || c.chain != cs[i-1].chain {
			b.lookUpHolders(cs, c.chain, now)
		}
		c.rank = mixHash(uint64(b.prefixes.affinityBlock(c.chain)) ^ c.target.hash)
		if r.homes.setSize > 0 {
			c.rank = r.homes.rank(n, c.target.hash)
		}
		if c.target.parts.known(now) {
			held := c.target.parts.leadingTokens(c.chain)
			c.cachedTokens, c.readyTokens = max(c.cachedTokens, held), max(c.readyTokens, held)
		}
		if r.ignorePendingFills {
			c.cachedTokens = c.readyTokens
		}
		if c.readyTokens == c.cachedTokens {
			c.pending = pendingFill{}
		}
	}
}

// lookUpHolders walks a chain from its deepest known block up until every candidate
// with that chain has a block that is trusted.
func (b *Board) lookUpHolders(cs []candidate, c *chain, now time.Time) {
	b.round++
	open := 0
	for i := range cs {
		if cs[i].chain == c {
			cs[i].target.round, cs[i].target.candidate = b.round, i
			open++
		}
	}
	ms := now.UnixMilli()
	for l := b.prefixes.deepest(c); l >= 0 && open > 0; l-- {
		i := c.trackedBlocks[l]
		e := b.prefixes.blocks.get(c.blocks[i])
		if e == nil {
			continue
		}
		for _, h := range e.holders {
			t, ok := b.slots[h.slot]
			if !ok || t.round != b.round {
				continue
			}
			f, reading := b.pendingFillOf(now, h.slot, c.blocks[i])
			if cs[t.candidate].observeBlock(now, c.tokens[i], time.Duration(ms-h.at)*time.Millisecond, f, reading) {
				open--
			}
		}
	}
}

// observeBlock takes a block known at the candidate, whose reading may be under way, and
// reports whether it is the first trusted one that is read.
func (c *candidate) observeBlock(now time.Time, tokens int, age time.Duration, f pendingFill, reading bool) bool {
	if c.held.tokens == 0 {
		c.held = heldPrefix{tokens: tokens, age: age}
	}
	if c.readyTokens > 0 || !c.target.trusts(now, age) {
		return false
	}
	if c.cachedTokens == 0 {
		c.cachedTokens = tokens
		c.pending = f
	}
	if reading {
		return false
	}
	c.readyTokens = tokens
	return true
}

// trusts reports whether a belief of this age is relied on: only while no event
// can have told of it, where the target's events are read.
func (t *target) trusts(now time.Time, age time.Duration) bool {
	switch {
	case t.parts.known(now) && t.parts.relayed:
		return age <= relayedLag
	case t.parts.known(now):
		return age <= eventsLag
	}
	return t.horizon.trusts(age)
}

// mixHash scrambles a number so that its bits can order targets.
func mixHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// prefill is how long the candidate computes for the prompt.
func (c *candidate) prefill(r *request) time.Duration {
	return seconds(float64(c.uncached(r)) / c.target.rate())
}

// predict fills in the cost of a candidate whose wait is known; price is what a
// second of prefill costs in seconds of waiting.
func (b *Board) predict(c *candidate, r *request, price float64) {
	t := c.target
	c.cost = c.penalty + c.timeToFirstToken(r) + seconds(c.prefill(r).Seconds()*price)
	if r.tried[t.addr] {
		c.cost += retryPenalty
	}
}

// queueWait predicts how long a new request waits at the target before its own
// prefill. What peers told is taken to have gone on since.
func (t *target) queueWait(now time.Time) time.Duration {
	pending := float64(t.prefill) + max(0, float64(t.peerPrefill)-now.Sub(t.peersAt).Seconds()*t.rate()) + t.peerSendPrefill(now)
	wait := seconds(pending / t.rate())
	if over := t.inFlight() - t.slots() + 1; over > 0 {
		wait += time.Duration(float64(over) / float64(t.slots()) * float64(t.service))
	}
	return wait
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxHorizon.Seconds()) * float64(time.Second))
}

// reason explains a placement to operators.
func (c *candidate) reason(r *request, n int) string {
	text := fmt.Sprintf("predicted cost %s: wait %s, %d of %d prompt tokens believed cached, best of %d",
		c.cost.Round(time.Microsecond), c.wait.Round(time.Microsecond), c.cachedTokens, r.promptTokens(), n)
	if c.imported.Tokens > 0 {
		text += fmt.Sprintf(", %d imported in %s", c.imported.Tokens, c.transfer.Round(time.Microsecond))
	}
	if c.fetchFrom.IsValid() {
		text += fmt.Sprintf(", up to %d fetched from %s", c.fetchTokens, c.fetchFrom)
	}
	if c.weights != "" {
		text += ", weights " + c.weights
	}
	return text
}
