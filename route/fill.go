package route

import "time"

// PlacementReport tells of a request that takes its target long: what the router has in
// flight there now, and the shared parts that are read.
type PlacementReport struct {
	Load Load
	// Prefill is what the request has to read, in tokens.
	Prefill int
	Fills   []Fill
	// Home chooses the process of a large fleet that is told of the parts.
	Home uint64
}

// minReportedPrefill is the prefill from which a request is told of at once, in tokens.
const minReportedPrefill = 512

// fillKey is a block that a target reads.
type fillKey struct {
	slot  uint32
	block Block
}

// pendingFill is the reading of a block. Engines keep the parts of a prompt only once they
// have read all of it, so until then a block can be neither used nor fetched.
type pendingFill struct {
	begun time.Time
	// due is when the block will be read, as predicted.
	expectedAt time.Time
	// own says that this router will see the end; a peer's is taken to end when it is due.
	local bool
}

// remaining is how much longer a reading takes, as predicted.
func (f pendingFill) remaining(now time.Time) time.Duration {
	if f.expectedAt.IsZero() {
		return 0
	}
	return max(0, f.expectedAt.Sub(now))
}

// beginFill notes the shared parts that the target will read, and tells of them.
func (b *Board) beginFill(now time.Time, c *candidate, r *request, a *attempt) {
	t := c.target
	takes := c.timeToFirstToken(r)
	out := PlacementReport{Home: r.homes.lastPartHash}
	have := max(c.readyTokens, c.imported.Tokens, c.fetchTokens)
	for _, n := range c.chain.messageEnds[:max(0, len(c.chain.messageEnds)-1)] {
		if c.chain.tokens[n] < have+minFetchTokens {
			continue
		}
		block := c.chain.blocks[n]
		out.Fills = append(out.Fills, Fill{Target: t.key(), Block: block, Left: takes})
		key := fillKey{t.slot, block}
		if _, ok := b.pendingFills[key]; !ok {
			b.pendingFills[key] = pendingFill{begun: now, expectedAt: now.Add(takes), local: true}
			a.fills = append(a.fills, key)
		}
	}
	if a.uncached >= minReportedPrefill {
		out.Prefill = a.uncached
		out.Load = Load{t.key(), len(t.attempts) + 1, t.prefill + a.uncached, t.tokens}
		b.onPlaced(out)
	}
}

// endFill notes that what an attempt's target read is kept, or never will be.
func (b *Board) endFill(a *attempt) {
	for _, key := range a.fills {
		delete(b.pendingFills, key)
	}
	a.fills = nil
}

// MergeFills takes a peer's word on shared parts that targets hold or are reading.
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
			b.pendingFills[key] = pendingFill{begun: now.Add(-f.Age), expectedAt: now.Add(f.Left)}
		}
	}
}

// Holders returns the targets that lately were sent blocks of which a peer asks.
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

// maxHolderAge is how old a send may be by which a target is named as the holder of a block: for as long as its
// events, or what was last used there, do not tell better.
func (b *Board) maxHolderAge(t *target) time.Duration {
	if b.readsCacheEvents(t) {
		return relayedLag
	}
	return t.horizon.age
}

// maxQueriedWeights bounds the weights of a model under which holders are asked for:
// while engines are changed there are two, or three if namings follow each other.
const maxQueriedWeights = 3

// HolderQuery returns the blocks of a request's shared parts under the weights that
// are served, and the number by which the process that is asked for their holders is
// chosen; ok is false if the request shares too little for that.
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

// expireFills forgets the readings of peers that are over.
func (b *Board) expireFills(now time.Time) {
	for key, f := range b.pendingFills {
		if !f.local && now.After(f.expectedAt) {
			delete(b.pendingFills, key)
		}
	}
}

// pendingFillOf returns the reading of a block that a target is believed to hold, if it is not over.
func (b *Board) pendingFillOf(now time.Time, slot uint32, block Block) (f pendingFill, ok bool) {
	f, ok = b.pendingFills[fillKey{slot, block}]
	return f, ok && (f.local || !now.After(f.expectedAt))
}

// awaitPendingFill decides what becomes of a request whose candidate was chosen for what is
// still being read. Reading that again would take an engine's time for nothing, so
// the request is held until it is read, and settle returns nil. It goes to another
// candidate where only reading again lets its answer begin in time, and is not held
// for a reading that takes over twice as long as was predicted.
func (b *Board) awaitPendingFill(now time.Time, p *pool, r *request, c *candidate, extra time.Duration) (*candidate, time.Duration) {
	f := c.pending
	if f.expectedAt.IsZero() || b.disabled.Has(AwaitReading) || now.After(f.expectedAt.Add(f.expectedAt.Sub(f.begun))) {
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

// meetsAim reports whether the answer is predicted to begin in time, which it always
// does where no aim is stated.
func (c *candidate) meetsAim(now time.Time, r *request) bool {
	return r.Aim == 0 || !now.Add(c.timeToFirstToken(r)).After(r.arrived.Add(r.Aim))
}

// timeToFirstToken is the predicted time until the answer begins.
func (c *candidate) timeToFirstToken(r *request) time.Duration {
	return c.wait + c.transfer + c.prefill(r)
}
