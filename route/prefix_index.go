package route

import (
	"net/netip"
	"slices"
	"time"
)

// holder is a target that was known to hold a block at a point in time.
type holder struct {
	slot uint32
	at   int64
}

// holdersPerBlock bounds the targets that are remembered for a block. It is enough for a hot
// prefix that is spread over a third of ten engines.
const holdersPerBlock = 4

// blockEntry is what the index knows about one block.
type blockEntry struct {
	holders [holdersPerBlock]holder
	// seen counts the requests whose prompt contained the block.
	seen uint32
}

// addHolder records a holder, replacing the one that was confirmed least recently if the entry
// is full.
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

// removeHolder removes a holder.
func (e *blockEntry) removeHolder(slot uint32) {
	for i := range e.holders {
		if e.holders[i].slot == slot {
			e.holders[i] = holder{}
		}
	}
}

// generationalMap is a bounded map that evicts the entries that were not used during a whole
// generation.
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

// getOrCreate returns an entry, which it creates if there is none, and keeps it for another
// generation.
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

// Spacing of the tracked blocks of a chain: every block at the beginning, then fewer, which
// limits a prompt of 32,000 tokens to about sixty entries.
const (
	denseBlocks  = 16
	middleBlocks = 64
	middleEvery  = 4
	sparseEvery  = 16
)

// tracked reports whether the index has entries for the i-th block of a chain. Blocks that end
// messages are tracked as well.
func tracked(i int) bool {
	switch {
	case i < denseBlocks:
		return true
	case i < middleBlocks:
		return i%middleEvery == middleEvery-1
	}
	return i%sparseEvery == sparseEvery-1
}

// prefixIndex holds the assumed contents of the targets' caches.
type prefixIndex struct {
	blocks *generationalMap[Block, blockEntry]
}

// maxIndexEntries bounds the entries of one generation, each of which takes about 64 bytes.
const maxIndexEntries = 1 << 16

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{blocks: newGenerationalMap[Block, blockEntry](maxIndexEntries)}
}

// record records that a target holds the first n blocks of a chain.
func (b *prefixIndex) record(c *chain, n int, slot uint32, at time.Time) {
	ms := at.UnixMilli()
	for _, i := range c.trackedBlocks {
		if i >= n {
			return
		}
		b.blocks.getOrCreate(c.blocks[i]).addHolder(slot, ms)
	}
}

// forget records that a target holds no block of a chain.
func (b *prefixIndex) forget(c *chain, slot uint32) {
	for _, i := range c.trackedBlocks {
		if e := b.blocks.get(c.blocks[i]); e != nil {
			e.removeHolder(slot)
		}
	}
}

// countRequest counts a request that has the chain, for the choice of affinityBlock.
func (b *prefixIndex) countRequest(c *chain) {
	for _, i := range c.trackedBlocks {
		e := b.blocks.get(c.blocks[i])
		if e == nil {
			return
		}
		e.seen++
	}
}

// deepest returns the position in trackedBlocks of the deepest known block, or -1. The known
// blocks are nearly always a prefix of the chain, so it uses binary search. Message ends beyond
// that prefix are checked as well, because peers report only those.
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
		level, ok := slices.BinarySearch(c.trackedBlocks, c.messageEnds[i])
		if !ok || level <= lo {
			break
		}
		if b.known(c, level) {
			return level
		}
	}
	return lo
}

func (b *prefixIndex) known(c *chain, level int) bool {
	return b.blocks.get(c.blocks[c.trackedBlocks[level]]) != nil
}

// affinityBlock returns the block whose hash orders the targets. In a prompt with messages this
// is the end of the last but one message, which all routers agree on without communication;
// otherwise it is the deepest block that two requests had in common.
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

// horizon is the estimated age up to which a target still holds a block.
type horizon struct {
	age time.Duration
	// learned is set after the first observation.
	learned bool
}

// Bounds of a horizon, and the fraction by which an observation moves it.
const (
	minHorizon  = 200 * time.Millisecond
	maxHorizon  = 10 * time.Minute
	horizonStep = 0.25
)

func newHorizon(base time.Duration) horizon { return horizon{age: base} }

// trusts reports whether a block of this age is assumed to be cached.
func (h *horizon) trusts(age time.Duration) bool { return age <= h.age }

// hit records that a block of this age was still cached.
func (h *horizon) hit(age time.Duration) {
	h.learned = true
	if age > h.age/2 {
		h.age = min(maxHorizon, max(age, h.age+time.Duration(float64(age)*horizonStep)))
	}
}

// miss records that a block of this age had been evicted.
func (h *horizon) miss(age time.Duration) {
	h.learned = true
	if age < h.age {
		h.age = max(minHorizon, h.age-time.Duration(float64(h.age-age)*horizonStep))
	}
}

// recordFill records a block in a target's cache that a peer reported.
func (b *Board) recordFill(now time.Time, t *target, f Fill) {
	b.prefixes.blocks.getOrCreate(f.Block).addHolder(t.slot, now.Add(-f.Age).UnixMilli())
}

// CacheChange is one cache event of an engine.
type CacheChange struct {
	Seq     int64
	Evicted bool
	Block   Block
}

// CacheEvents processes the cache events of an incarnation after a sequence number, and returns
// the last number processed. Events of an incarnation other than the current one are ignored.
// Only blocks that are already in the index are updated, because engines have far more blocks
// than a router can store.
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
