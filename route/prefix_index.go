package route

import (
	"net/netip"
	"slices"
	"time"
)

// holder says that a target was known to hold a block at a time.
type holder struct {
	slot uint32
	at   int64
}

// holdersPerBlock bounds the targets remembered for one block: enough for a
// prefix so hot that it spreads over a third of today's ten engines.
const holdersPerBlock = 4

// blockEntry is what is known of one block.
type blockEntry struct {
	holders [holdersPerBlock]holder
	// seen counts the requests whose prompt had the block.
	seen uint32
}

// addHolder notes a holder; the one not heard of for longest makes room.
func (e *blockEntry) addHolder(slot uint32, at int64) {
	oldest := 0
	for i := range e.holders {
		h := &e.holders[i]
		if h.slot == slot {
			h.at = max(h.at, at)
			return
		}
		if h.at < e.holders[oldest].at {
			oldest = i
		}
	}
	e.holders[oldest] = holder{slot: slot, at: at}
}

// removeHolder forgets a holder.
func (e *blockEntry) removeHolder(slot uint32) {
	for i := range e.holders {
		if e.holders[i].slot == slot {
			e.holders[i] = holder{}
		}
	}
}

// generationalMap is a bounded map that forgets entries unused for a whole generation.
type generationalMap[K comparable, V any] struct {
	size   int
	recent map[K]*V
	old    map[K]*V
}

func newGenerationalMap[K comparable, V any](size int) *generationalMap[K, V] {
	return &generationalMap[K, V]{size: size, recent: make(map[K]*V), old: make(map[K]*V)}
}

// get returns an entry, or nil if there is none.
func (g *generationalMap[K, V]) get(k K) *V {
	if v, ok := g.recent[k]; ok {
		return v
	}
	return g.old[k]
}

// getOrCreate returns an entry, made if there is none, and keeps it for another generation.
func (g *generationalMap[K, V]) getOrCreate(k K) *V {
	if v, ok := g.recent[k]; ok {
		return v
	}
	if len(g.recent) >= g.size {
		g.old = g.recent
		g.recent = make(map[K]*V, g.size)
	}
	v, ok := g.old[k]
	if !ok {
		v = new(V)
	}
	g.recent[k] = v
	return v
}

// The spacing of the chain blocks that beliefs are kept for: every one at the
// beginning, then fewer, which keeps a prompt of 32k tokens to some sixty entries.
const (
	denseBlocks  = 16
	middleBlocks = 64
	middleEvery  = 4
	sparseEvery  = 16
)

// tracked reports whether beliefs are kept for the chain's i-th block. The ends of
// messages are kept besides.
func tracked(i int) bool {
	switch {
	case i < denseBlocks:
		return true
	case i < middleBlocks:
		return i%middleEvery == middleEvery-1
	}
	return i%sparseEvery == sparseEvery-1
}

// prefixIndex is what the router thinks the targets' caches hold.
type prefixIndex struct {
	blocks *generationalMap[Block, blockEntry]
}

// maxIndexEntries bounds the entries of one generation, some 64 bytes each.
const maxIndexEntries = 1 << 16

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{blocks: newGenerationalMap[Block, blockEntry](maxIndexEntries)}
}

// record notes that a target holds the first n blocks of a chain.
func (b *prefixIndex) record(c *chain, n int, slot uint32, at time.Time) {
	ms := at.UnixMilli()
	for _, i := range c.trackedBlocks {
		if i >= n {
			return
		}
		b.blocks.getOrCreate(c.blocks[i]).addHolder(slot, ms)
	}
}

// forget forgets that a target holds any block of a chain.
func (b *prefixIndex) forget(c *chain, slot uint32) {
	for _, i := range c.trackedBlocks {
		if e := b.blocks.get(c.blocks[i]); e != nil {
			e.removeHolder(slot)
		}
	}
}

// countRequest notes that a request had the chain, for the choice of an anchor.
func (b *prefixIndex) countRequest(c *chain) {
	for _, i := range c.trackedBlocks {
		e := b.blocks.get(c.blocks[i])
		if e == nil {
			return
		}
		e.seen++
	}
}

// deepest returns the position in the chain's levels of the deepest known block,
// or -1. Known blocks are nearly always a leading run, so it is searched by
// halves; message ends beyond the run are tried too, since peers tell of those alone.
func (b *prefixIndex) deepest(c *chain) int {
	lo, hi := -1, len(c.trackedBlocks)
	for lo+1 < hi {
		mid := (lo + hi) / 2
		if b.known(c, mid) {
			lo = mid
		} else {
			hi = mid
		}
	}
	for i := len(c.messageEnds) - 1; i >= 0; i-- {
		at, ok := slices.BinarySearch(c.trackedBlocks, c.messageEnds[i])
		if !ok || at <= lo {
			break
		}
		if b.known(c, at) {
			return at
		}
	}
	return lo
}

func (b *prefixIndex) known(c *chain, level int) bool {
	return b.blocks.get(c.blocks[c.trackedBlocks[level]]) != nil
}

// affinityBlock returns the block whose hash orders the targets: the end of the last
// message but one, where the prompt has messages, so that all routers agree
// without talking; else the deepest block that two requests shared.
func (b *prefixIndex) affinityBlock(c *chain) Block {
	if n := len(c.messageEnds); n >= 2 && c.messageEnds[n-2] < len(c.blocks) {
		return c.blocks[c.messageEnds[n-2]]
	}
	best := Block(0)
	for _, i := range c.trackedBlocks {
		e := b.blocks.get(c.blocks[i])
		if e == nil || e.seen < 2 {
			break
		}
		best = c.blocks[i]
	}
	if best == 0 && len(c.blocks) > 0 {
		best = c.blocks[0]
	}
	return best
}

// horizon is the learned age up to which a target still holds a block.
type horizon struct {
	age time.Duration
	// learned is false until an answer told something.
	learned bool
}

// The bounds of a horizon, and how far one observation moves it.
const (
	minHorizon  = 200 * time.Millisecond
	maxHorizon  = 10 * time.Minute
	horizonStep = 0.25
)

func newHorizon(base time.Duration) horizon { return horizon{age: base} }

// trusts reports whether a block of this age is believed to be held.
func (h *horizon) trusts(age time.Duration) bool { return age <= h.age }

// hit notes that a block of this age was still held.
func (h *horizon) hit(age time.Duration) {
	h.learned = true
	if age > h.age/2 {
		h.age = min(maxHorizon, max(age, h.age+time.Duration(float64(age)*horizonStep)))
	}
}

// miss notes that a block of this age had been evicted.
func (h *horizon) miss(age time.Duration) {
	h.learned = true
	if age < h.age {
		h.age = max(minHorizon, h.age-time.Duration(float64(h.age-age)*horizonStep))
	}
}

// recordFill notes what a peer told that a target's cache got.
func (b *Board) recordFill(now time.Time, t *target, f Fill) {
	b.prefixes.blocks.getOrCreate(f.Block).addHolder(t.slot, now.Add(-f.Age).UnixMilli())
}

// CacheChange is one cache event of an engine.
type CacheChange struct {
	Seq     int64
	Evicted bool
	Block   Block
}

// CacheEvents takes the events of one incarnation after a sequence number and
// returns the last number taken. Events of another incarnation than the
// present are ignored. Only blocks that some request had are noted: an engine
// has many more, and a router could not hold them.
func (b *Board) CacheEvents(now time.Time, addr netip.AddrPort, incarnation Incarnation, after int64, changes []CacheChange) int64 {
	t, ok := b.targets[addr]
	if !ok || incarnation != t.incarnation {
		return after
	}
	for _, c := range changes {
		if c.Seq <= after {
			continue
		}
		after = c.Seq
		e := b.prefixes.blocks.get(c.Block)
		switch {
		case e == nil:
		case c.Evicted:
			e.removeHolder(t.slot)
		default:
			e.addHolder(t.slot, now.UnixMilli())
		}
	}
	return after
}
