package route

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// heldPrefix is the longest prefix of a prompt that a target was ever known to hold, with the
// age of that information.
type heldPrefix struct {
	tokens int
	age    time.Duration
}

// candidate is a target that could serve a request, with the predictions for it.
type candidate struct {
	target  *target
	weights string
	chain   *chain
	// cachedTokens is the length of the prompt's prefix that is assumed to be cached. held is
	// the longest prefix that was ever known to be cached.
	cachedTokens int
	// readyTokens is the part of cachedTokens that is already computed. pending is the fill
	// that the rest, or a fetch, has to wait for; it is zero if there is none.
	readyTokens int
	pending     pendingFill
	held        heldPrefix
	// rank orders candidates of equal cost in the same way on every router.
	rank uint64
	wait time.Duration
	cost time.Duration
	// imported is a kept prefix that is worth importing first, and transfer the time that this
	// takes.
	imported Import
	transfer time.Duration
	// fetchFrom is a target that holds a longer prefix of the prompt, and fetchTokens the
	// length of that prefix.
	fetchFrom   netip.AddrPort
	fetchTokens int
	// store is that target if it is a KV cache store.
	store *target
	// crossZone is set if that target is in another failure domain.
	crossZone bool
	// assumed is set if the cached prefix is inferred and not reported by cache events.
	assumed bool
	// penalty is the additional cost of older weights, recent failures and distance.
	penalty time.Duration
}

// uncached returns the number of prompt tokens that the candidate would have to compute.
func (c *candidate) uncached(r *request) int {
	have := max(c.cachedTokens, c.imported.Tokens, c.fetchTokens)
	return r.promptTokens() - min(have, r.promptTokens())
}

func sortTargets(ts []*target) {
	slices.SortFunc(ts, func(a, b *target) int { return a.addr.Compare(b.addr) })
}

// maxFullScan is the largest pool in which every member is a candidate. In larger pools the
// candidates are known holders, the first rendezvousTop members in rendezvous order and
// randomExtra random members.
const (
	maxFullScan   = 24
	rendezvousTop = 4
	randomExtra   = 6
	retryPenalty  = 2 * time.Second
)

// choose places a request. It returns the best candidate that has capacity, and by how much its
// cost exceeds that of the best candidate overall, which may be full. It returns nil if no
// candidate has capacity.
func (b *Board) choose(now time.Time, p *pool, r *request) (best *candidate, extra time.Duration) {
	r.outlook = outlook{}
	if b.pinHolds(p, r) {
		return nil, 0
	}
	for _, r.side = range b.releaseSides(now, p, r) {
		if best, extra = b.chooseOnSide(now, p, r); best != nil {
			break
		}
	}
	return best, extra
}

// chooseOnSide is choose restricted to the targets on the request's side of a roll-out.
func (b *Board) chooseOnSide(now time.Time, p *pool, r *request) (best *candidate, extra time.Duration) {
	cs := b.candidates(now, p, r)
	for {
		best, extra = b.bestOf(now, cs, p, r)
		if best == nil || b.withinLimit(now, best.target, r) {
			return best, extra
		}
		// Waiting does not free capacity at a target that has reached its limit, so the request
		// goes to another one.
		full := best.target
		cs = slices.DeleteFunc(cs, func(c candidate) bool { return c.target == full })
	}
}

// bestOf is choose restricted to the given candidates, which it reorders. Where admission applies,
// a candidate that is predicted to answer late counts as full, and is not worth waiting for.
func (b *Board) bestOf(now time.Time, cs []candidate, p *pool, r *request) (best *candidate, extra time.Duration) {
	least := time.Duration(math.MaxInt64)
	free := 0
	judged := b.judgesAim(r)
	for i := range cs {
		c := &cs[i]
		if c.target.onTrial() {
			continue
		}
		memory := b.disabled.Has(MemoryBound) || c.target.hasMemory(now, p, r)
		inTime := true
		if judged {
			first := b.firstTokenIn(now, p, c, r)
			inTime = r.inTime(now, first)
			r.outlook.note(c, first, memory, inTime)
			inTime = inTime && b.leavesRoom(now, p, c, r)
		}
		if !inTime && !r.lateAllowed || r.idleOnly && c.wait > 0 {
			continue
		}
		room, soon := b.brittleRoom(now, c.target, p, r)
		if !room && !soon {
			continue
		}
		least = min(least, c.cost)
		if memory && room && b.hasCapacity(c.target, p) {
			cs[free], cs[i] = cs[i], cs[free]
			free++
		}
	}
	if free == 0 {
		return nil, 0
	}
	best = b.place(b.rng, cs[:free])
	if judged && b.crowded(now, p) {
		best = b.spread(cs[:free], best, r)
	}
	return best, best.cost - least
}

// maxPrefillWait bounds the pending prefill that all routers together keep at an engine before
// they stop sending to it. Further requests wait in the router, in their organisation's queue,
// where they can still go to any target. Each router bounds only the prefill that it sent
// itself, as a share of the total, because the load of its peers is known too late to hold back
// requests.
const maxPrefillWait = 200 * time.Millisecond

// windowFactor is the number of requests per slot that a target without a configured window may
// have: one running and half a request queued.
const windowFactor = 1.5

// window returns the number of requests that all routers together may have in flight at the
// target.
func (t *target) window(p *pool) int {
	if p.compiled.Window > 0 {
		return p.compiled.Window
	}
	return int(windowFactor * float64(t.slots()))
}

// pendingPrefillLimit returns the prefill that this router may have pending at one engine.
func (b *Board) pendingPrefillLimit() time.Duration {
	if b.maxPendingPrefill > 0 {
		return b.maxPendingPrefill
	}
	return maxPrefillWait / time.Duration(b.routers)
}

// hasCapacity reports whether this router may have another request at the target, apart from its
// memory.
func (b *Board) hasCapacity(t *target, p *pool) bool {
	n := t.inFlight()
	pending := seconds(float64(t.prefill) / t.rate())
	return len(t.attempts) == 0 || n < t.window(p) && pending <= b.pendingPrefillLimit()
}

// candidates returns the targets that can serve the request, with their predicted costs.
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
		cs[i].wait = b.jointWait(now, cs[i].target)
	}
	price *= 1 + b.delayedRequests(now, p, cs, r)
	for i := range cs {
		b.predict(&cs[i], r, price)
	}
	return slices.DeleteFunc(cs, func(c candidate) bool {
		return r.Model != nil && b.tooOldToBegin(now.Add(c.timeToFirstToken(r)), r.Model.Name, c.weights)
	})
}

// delayedRequests returns the mean number of requests per target that are queued, or that
// arrive while the target's queue drains. Each second of avoidable prefill delays all of them,
// so the price of prefill grows with the load of the pool. Of requests with an aim, it delays those
// that are served within the aim: later ones are lost in any case, and pricing them would let
// requests wait for their own engine while others are free.
func (b *Board) delayedRequests(now time.Time, p *pool, cs []candidate, r *request) float64 {
	if len(cs) == 0 {
		return 0
	}
	wait := time.Duration(0)
	for _, c := range cs {
		wait += c.wait
	}
	fleet := float64(b.routers) / float64(b.size(p))
	arriving := p.arrivals.rate(now) * (wait / time.Duration(len(cs))).Seconds()
	delayed := fleet * (arriving + float64(p.queue.n))
	if usual := p.firstTokens.minimum; usual > 0 && r.hasAim() && !b.disabled.Has(BoundedPrice) {
		return min(delayed, max(1, r.Aim.Seconds()/usual.Seconds()))
	}
	return delayed
}

// LabelZone is the label that holds a target's failure domain. crossZoneRoundTrip is the cost
// of a target in another failure domain; a round trip between failure domains takes 2 to 3 ms
// at the users' sites.
const (
	LabelZone          = "zone"
	crossZoneRoundTrip = 3 * time.Millisecond
)

// crossZoneByteCost is the cost of a byte sent to or from another failure domain. At the users'
// prices 100 KB cost as much as prefilling 1,000 tokens. That takes an engine about 25 ms, and
// its price is the same amount again.
const crossZoneByteCost = 500 * time.Nanosecond

// distanceCost returns the cost of transferring bytes to or from a target, which is zero within
// the router's failure domain.
func (b *Board) distanceCost(t *target, bytes int) time.Duration {
	if b.zone == "" || b.disabled.Has(Distance) || t.labels[LabelZone] == b.zone {
		return 0
	}
	return time.Duration(bytes) * crossZoneByteCost
}

// serviceDistanceCost returns the distance cost of a target of a service pool, which includes
// the round trip that delays its answer.
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
		if t.usable() && r.Pin.allows(t) && !t.backingOff(now) && b.onSide(now, p, r.side, t) {
			cs = append(cs, candidate{target: t, rank: b.rng.Uint64(), penalty: b.failurePenalty(now, t) + b.serviceDistanceCost(t, r)})
		}
	}
	return cs
}

// engineCandidates returns the engines that serve the request's model. In a large pool it
// returns only those that are likely to be the best.
func (b *Board) engineCandidates(cs []candidate, now time.Time, p *pool, r *request) []candidate {
	b.loadTargets(now, p, r)
	list := b.filterSide(now, p, r, b.withoutBackoff(now, b.servers(p, r)))
	n := max(len(list), b.reserve.Size(p.compiled.Name))
	if len(list) > maxFullScan && !r.scanAll {
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

// applyPenalties removes candidates whose weights are too old, and sets the penalties of the
// others.
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

// estimateCached sets the rank of each candidate, in a pool of n members, and the prefix that
// it is assumed to have cached.
func (b *Board) estimateCached(cs []candidate, now time.Time, r *request, n int) {
	for i := range cs {
		c := &cs[i]
		if i == 0 || c.chain != cs[i-1].chain {
			b.lookUpHolders(cs, c.chain, now)
		}
		weight := c.target.home.value()
		c.rank = weightedRank(mixHash(uint64(b.prefixes.affinityBlock(c.chain))^c.target.hash), weight)
		if r.homes.setSize > 0 {
			c.rank = r.homes.rank(n, c.target.hash, weight)
		}
		if c.target.parts.known(now) {
			leading := c.target.parts.leadingTokens(c.chain)
			c.cachedTokens, c.readyTokens = max(c.cachedTokens, leading), max(c.readyTokens, leading)
		}
		if r.ignorePendingFills {
			c.cachedTokens = c.readyTokens
		}
		if c.readyTokens == c.cachedTokens {
			c.pending = pendingFill{}
		}
	}
}

// lookUpHolders walks a chain from its deepest known block to the first one, until every
// candidate with this chain has a computed block that is assumed to be cached.
func (b *Board) lookUpHolders(cs []candidate, c *chain, now time.Time) {
	b.round++
	unresolved := 0
	for i := range cs {
		if cs[i].chain == c {
			cs[i].target.round, cs[i].target.candidate = b.round, i
			unresolved++
		}
	}
	ms := now.UnixMilli()
	for l := b.prefixes.deepest(c); l >= 0 && unresolved > 0; l-- {
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
				unresolved--
			}
		}
	}
}

// observeBlock records a block that is known at the candidate, and whose fill may be pending.
// It reports whether this is the first block that is both assumed to be cached and computed.
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

// trusts reports whether an entry of this age is used. For a target whose cache events are
// received, an entry is used only while its event may still be outstanding.
func (t *target) trusts(now time.Time, age time.Duration) bool {
	switch {
	case t.parts.known(now) && t.parts.relayed:
		return age <= relayedLag
	case t.parts.known(now):
		return age <= eventsLag
	}
	return t.horizon.trusts(age)
}

// mixHash is the 64-bit finalizer of MurmurHash3, which spreads the input over all bits.
func mixHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// prefill returns the predicted duration of the candidate's prefill.
func (c *candidate) prefill(r *request) time.Duration {
	return seconds(float64(c.uncached(r)) / c.target.rate())
}

// predict sets the cost of a candidate whose wait is known. Price is the cost of a second of
// prefill in seconds of waiting.
func (b *Board) predict(c *candidate, r *request, price float64) {
	t := c.target
	c.cost = c.penalty + c.timeToFirstToken(r) + seconds(c.prefill(r).Seconds()*price)
	if r.tried[t.addr] {
		c.cost += retryPenalty
	}
}

// queueWait predicts how long a new request waits at the target before its prefill begins.
// Prefill that peers reported is assumed to have progressed since.
func (t *target) queueWait(now time.Time) time.Duration {
	return seconds(t.pendingPrefill(now)/t.rate()) + t.slotWait()
}

// slotWait predicts how long a new request waits for a slot.
func (t *target) slotWait() time.Duration {
	over := t.inFlight() - t.slots() + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(float64(over) / float64(t.slots()) * float64(t.service))
}

// pendingPrefill returns the prompt tokens that the target has still to compute for the requests
// of all routers.
func (t *target) pendingPrefill(now time.Time) float64 {
	peers := max(0, float64(t.peerPrefill)-now.Sub(t.peersAt).Seconds()*t.rate())
	return float64(t.prefill) + peers + t.peerSendPrefill(now)
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxHorizon.Seconds()) * float64(time.Second))
}

// reason describes the placement to operators.
func (c *candidate) reason(now time.Time, r *request, n int) string {
	text := fmt.Sprintf("predicted cost %s: wait %s, %d of %d prompt tokens believed cached, best of %d",
		c.cost.Round(time.Microsecond), c.wait.Round(time.Microsecond), c.cachedTokens, r.promptTokens(), n)
	if r.Model != nil {
		text += ", " + c.ahead(now)
	}
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
