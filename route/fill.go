package route

import "time"

// PlacementReport describes a request that keeps its target busy for long: the router's current
// load at the target and the shared parts that are being prefilled.
type PlacementReport struct {
	Load Load
	// Prefill is the number of prompt tokens that the target has to compute.
	Prefill int
	Fills   []Fill
	// Home selects the process of a large fleet that stores the fills.
	Home uint64
}

// minReportedPrefill is the least prefill, in tokens, for which a request is reported to peers
// immediately.
const minReportedPrefill = 512

// fillKey identifies a block that a target is computing.
type fillKey struct {
	slot  uint32
	block Block
}

// pendingFill is the computation of a block. Engines keep the blocks of a prompt only after the
// whole prompt has been prefilled, so until then a block can be neither used nor fetched.
type pendingFill struct {
	startedAt time.Time
	// expectedAt is when the block is predicted to be computed.
	expectedAt time.Time
	// local is set if this router sends the request and therefore sees its end. A peer's fill
	// is assumed to end at expectedAt.
	local bool
}

// remaining returns the predicted time until the block is computed.
func (f pendingFill) remaining(now time.Time) time.Duration {
	if f.expectedAt.IsZero() {
		return 0
	}
	return max(0, f.expectedAt.Sub(now))
}

// beginFill records the shared parts that the target will compute, and reports them.
func (b *Board) beginFill(now time.Time, c *candidate, r *request, a *attempt) {
	t := c.target
	duration := c.timeToFirstToken(r)
	report := PlacementReport{Home: r.homes.lastPartHash}
	available := max(c.readyTokens, c.imported.Tokens, c.fetchTokens)
	for _, n := range c.chain.messageEnds[:max(0, len(c.chain.messageEnds)-1)] {
		if c.chain.tokens[n] < available+minFetchTokens {
			continue
		}
		block := c.chain.blocks[n]
		report.Fills = append(report.Fills, Fill{Target: t.key(), Block: block, Left: duration})
		key := fillKey{t.slot, block}
		if _, ok := b.pendingFills[key]; !ok {
			b.pendingFills[key] = pendingFill{startedAt: now, expectedAt: now.Add(duration), local: true}
			a.fills = append(a.fills, key)
		}
	}
	if a.uncached >= minReportedPrefill {
		report.Prefill = a.uncached
		report.Load = Load{t.key(), len(t.attempts) + 1, t.prefill + a.uncached, t.tokens + r.size()}
		b.onPlaced(report)
	}
}

// endFill removes the pending fills of an attempt, whose blocks are now either cached or not
// going to be.
func (b *Board) endFill(a *attempt) {
	for _, key := range a.fills {
		delete(b.pendingFills, key)
	}
	a.fills = nil
}

// MergeFills records shared parts that targets hold or are computing, as reported by a peer.
func (b *Board) MergeFills(now time.Time, fills []Fill) {
	for _, f := range fills {
		t, ok := b.loadTarget(now, f.Target)
		if !ok {
			continue
		}
		b.recordFill(now, t, f)
		if f.Left <= 0 {
			continue
		}
		key := fillKey{t.slot, f.Block}
		if _, ok := b.pendingFills[key]; !ok {
			b.pendingFills[key] = pendingFill{startedAt: now.Add(-f.Age), expectedAt: now.Add(f.Left)}
		}
	}
}

// Holders returns the targets to which the given blocks were sent recently. It answers a peer's
// query.
func (b *Board) Holders(now time.Time, blocks []Block) []Fill {
	var out []Fill
	for _, block := range blocks {
		e := b.prefixes.blocks.get(block)
		if e == nil {
			continue
		}
		for _, h := range e.holders {
			age := time.Duration(now.UnixMilli()-h.at) * time.Millisecond
			t, ok := b.slots[h.slot]
			if !ok || age > b.maxHolderAge(t) {
				continue
			}
			f, _ := b.pendingFillOf(now, h.slot, block)
			out = append(out, Fill{Target: t.key(), Block: block, Age: age, Left: f.remaining(now)})
		}
	}
	return out
}

// maxHolderAge returns the age up to which a sent prompt makes its target a holder. Beyond it,
// the target's cache events or its eviction horizon are more accurate.
func (b *Board) maxHolderAge(t *target) time.Duration {
	if b.readsCacheEvents(t) {
		return relayedLag
	}
	return t.horizon.age
}

// maxQueriedWeights bounds the number of a model's weights for which holders are queried. While
// engines switch weights there are two, or three if a second switch follows soon.
const maxQueriedWeights = 3

// HolderQuery returns the blocks of a request's shared parts under each of the weights that are
// served, and the hash that selects the process to query for their holders. It returns false if
// too little of the prompt is shared.
func (b *Board) HolderQuery(req Request) (home uint64, blocks []Block, ok bool) {
	p, found := b.pools[req.Pool]
	if req.Model == nil || len(req.Parts) < 2 || !found {
		return 0, nil, false
	}
	r := &request{Request: req}
	if r.sharedTokens() < minReportedPrefill {
		return 0, nil, false
	}
	seen := make(map[string]bool)
	for _, s := range b.servers(p, r) {
		if seen[s.weights] || len(seen) == maxQueriedWeights {
			continue
		}
		seen[s.weights] = true
		c := r.chain(s.weights)
		for _, n := range c.messageEnds[:len(c.messageEnds)-1] {
			blocks = append(blocks, c.blocks[n])
		}
	}
	return r.lastPartHash(), blocks, len(blocks) > 0
}

// expireFills removes peers' pending fills that are past their expected end.
func (b *Board) expireFills(now time.Time) {
	for key, f := range b.pendingFills {
		if !f.local && now.After(f.expectedAt) {
			delete(b.pendingFills, key)
		}
	}
}

// pendingFillOf returns the pending fill of a block at a target, if there is one.
func (b *Board) pendingFillOf(now time.Time, slot uint32, block Block) (f pendingFill, ok bool) {
	f, ok = b.pendingFills[fillKey{slot, block}]
	return f, ok && (f.local || !now.After(f.expectedAt))
}

// awaitPendingFill decides what to do with a request whose best candidate is still computing
// the prefix that it was chosen for. Computing the prefix twice wastes engine time, so the
// request waits for the fill, and awaitPendingFill returns nil. If only computing it again lets
// the answer begin in time, it returns another candidate. A fill that takes more than twice as
// long as predicted is not waited for.
func (b *Board) awaitPendingFill(now time.Time, p *pool, r *request, c *candidate, extra time.Duration) (*candidate, time.Duration) {
	f := c.pending
	if f.expectedAt.IsZero() || b.disabled.Has(AwaitReading) || now.After(f.expectedAt.Add(f.expectedAt.Sub(f.startedAt))) {
		return c, extra
	}
	if c.meetsAim(now, r) {
		return nil, 0
	}
	r.ignorePendingFills = true
	defer func() { r.ignorePendingFills = false }()
	if c, extra = b.choose(now, p, r); c != nil && c.meetsAim(now, r) {
		return c, extra
	}
	return nil, 0
}

// meetsAim reports whether the answer is predicted to begin in time. This is always true if the
// request states no aim.
func (c *candidate) meetsAim(now time.Time, r *request) bool {
	return r.Aim == 0 || !now.Add(c.timeToFirstToken(r)).After(r.arrived.Add(r.Aim))
}

// timeToFirstToken returns the predicted time until the answer begins.
func (c *candidate) timeToFirstToken(r *request) time.Duration {
	return c.wait + c.transfer + c.prefill(r)
}
