package route

import "time"

// Placed tells of a request that takes its target long: what the router has in
// flight there now, and the shared parts that are read.
type Placed struct {
	Load  Load
	Fills []Fill
	// Takes is how long it will take until the parts are read, as predicted.
	Takes time.Duration
}

// placedLeast is the prefill from which a request is told of at once, in tokens.
const placedLeast = 512

// fillKey is a block that a target reads.
type fillKey struct {
	slot  uint32
	block Block
}

// fill is the reading of a block. Engines keep the parts of a prompt only once they
// have read all of it, so until then a block can be neither used nor fetched.
type fill struct {
	begun time.Time
	// due is when the block will be read, as predicted.
	due time.Time
	// own says that this router will see the end; a peer's is taken to end when it is due.
	own bool
}

// left is how much longer a reading takes, as predicted.
func (f fill) left(now time.Time) time.Duration {
	if f.due.IsZero() {
		return 0
	}
	return max(0, f.due.Sub(now))
}

// beginFill notes the shared parts that the target will read, and tells of them.
func (b *Board) beginFill(now time.Time, c *candidate, a *attempt) {
	t := c.target
	mark := Mark{t.addr, t.incarnation}
	takes := c.wait + c.transfer + seconds(float64(a.uncached)/t.rate())
	out := Placed{Takes: takes}
	have := max(c.ready, c.imported.Tokens, c.fetched)
	for _, n := range c.chain.bounds[:max(0, len(c.chain.bounds)-1)] {
		if c.chain.tokens[n] < have+fetchLeast {
			continue
		}
		block := c.chain.blocks[n]
		out.Fills = append(out.Fills, Fill{Target: mark, Block: block})
		key := fillKey{t.slot, block}
		if _, ok := b.filling[key]; !ok {
			b.filling[key] = fill{begun: now, due: now.Add(takes), own: true}
			a.fills = append(a.fills, key)
		}
	}
	if a.uncached >= placedLeast {
		out.Load = Load{mark, len(t.attempts) + 1, t.prefill + a.uncached, t.tokens}
		b.placed(out)
	}
}

// endFill notes that what an attempt's target read is kept, or never will be.
func (b *Board) endFill(a *attempt) {
	for _, key := range a.fills {
		delete(b.filling, key)
	}
	a.fills = nil
}

// Filling takes a peer's word on shared parts that a target is reading.
func (b *Board) Filling(now time.Time, p Placed) {
	b.mergeFills(now, map[string]PeerState{"": {Fills: p.Fills}})
	for _, f := range p.Fills {
		t, ok := b.targets[f.Target.Target]
		if !ok || t.incarnation != f.Target.Incarnation {
			continue
		}
		key := fillKey{t.slot, f.Block}
		if _, ok := b.filling[key]; !ok {
			b.filling[key] = fill{begun: now, due: now.Add(p.Takes)}
		}
	}
}

// dropFills forgets the readings of peers that are over.
func (b *Board) dropFills(now time.Time) {
	for key, f := range b.filling {
		if !f.own && now.After(f.due) {
			delete(b.filling, key)
		}
	}
}

// reading returns the reading of a block that a target is believed to hold, if it is not over.
func (b *Board) reading(now time.Time, slot uint32, block Block) (f fill, ok bool) {
	f, ok = b.filling[fillKey{slot, block}]
	return f, ok && (f.own || !now.After(f.due))
}

// settle decides what becomes of a request whose candidate was chosen for what is
// still being read. Reading that again would take an engine's time for nothing, so
// the request is held until it is read, and settle returns nil. It goes to another
// candidate where only reading again lets its answer begin in time, and is not held
// for a reading that takes over twice as long as was predicted.
func (b *Board) settle(now time.Time, p *pool, r *request, c *candidate, extra time.Duration) (*candidate, time.Duration) {
	f := c.unread
	if f.due.IsZero() || now.After(f.due.Add(f.due.Sub(f.begun))) {
		return c, extra
	}
	if c.inTime(now, r) {
		return nil, 0
	}
	r.anew = true
	defer func() { r.anew = false }()
	if c, extra = b.choose(now, p, r); c != nil && c.inTime(now, r) {
		return c, extra
	}
	return nil, 0
}

// inTime reports whether the answer is predicted to begin in time.
func (c *candidate) inTime(now time.Time, r *request) bool {
	first := c.wait + c.transfer + seconds(float64(c.uncached(r))/c.target.rate())
	return !now.Add(first).After(r.arrived.Add(r.Aim))
}
