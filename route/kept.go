package route

import (
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/policy"
)

// Export instructs to copy a hot prefix from a target to the external KV store.
type Export struct {
	Target  TargetKey
	Pool    string
	Key     Block
	Salt    string
	Text    []byte
	Request string
}

func (Export) isAction() {}

// Import describes a prefix to load from the external KV store into a target's cache before an
// attempt is sent.
type Import struct {
	Pool   string
	Key    Block
	Tokens int
}

// Kept reports that a prefix is in an external KV store. Its key is the block of the prefix,
// which depends on the organisation, model, adapter and weights.
type Kept struct {
	Key    Block
	Tokens int
}

// keptPrefix is the state of a prefix that ends at a message end.
type keptPrefix struct {
	uses    meter
	tokens  int
	stored  bool
	askedAt time.Time
}

// Constants of exports and imports. A prefix is exported if it is requested at least
// minExportRate times per second at one router, measured over exportRateWindow, and has at
// least minKeptTokens. A failed export is repeated after exportRetryDelay at the earliest, and
// a router has at most exportsAtOnce exports in progress. It remembers about maxKeptPrefixes
// prefixes and reports at most maxKeptReported of them to its peers.
//
// An import is predicted to be importFactor times as fast as the prefill, plus importOverhead.
// It is considered for importWindow after a target's cache was emptied.
const (
	minExportRate    = 0.2
	minKeptTokens    = 512
	exportRetryDelay = 30 * time.Second
	exportRateWindow = 10 * time.Second
	exportsAtOnce    = 2
	maxKeptPrefixes  = 4096
	importFactor     = 4
	importOverhead   = 5 * time.Millisecond
	importWindow     = 15 * time.Second
	maxKeptReported  = 16
)

// keptPool returns the pool that stores a model's KV cache, if it has a usable target.
func (b *Board) keptPool(m *policy.Model) (string, bool) {
	p, ok := b.pools[m.KeptPool]
	if m.KeptPool == "" || !ok {
		return "", false
	}
	if p.compiled.Fetches {
		// The engines save and fetch on their own.
		return "", false
	}
	for _, t := range p.members {
		if t.usable() {
			return m.KeptPool, true
		}
	}
	return "", false
}

// directStores returns the responding stores that a model's engines save to and fetch from on
// their own. An installation may have several, each with its own link and capacity. All are
// used: with one of three stores in use, 60 engines recomputed 6.4 million tokens of shared
// parts on a busy day, with all three 4.9 million (one run each).
func (b *Board) directStores(now time.Time, m *policy.Model) []*target {
	p, ok := b.pools[m.KeptPool]
	if m.KeptPool == "" || !ok || !p.compiled.Fetches || b.disabled.Has(KeptStore) {
		return nil
	}
	var out []*target
	for _, t := range p.members {
		if t.usable() && t.parts.known(now) {
			out = append(out, t)
		}
	}
	return out
}

// minSaveTokens is the least number of shared tokens to compute for which a prompt is saved.
// Computing fewer tokens again is faster than transferring them.
const minSaveTokens = 512

// chooseSaveStore returns the store to which the engine saves the prompt's parts, or the zero
// value if they are not saved. All routers together save no more than the capacity of a store
// within the time in which a part is used again, since the store would otherwise evict parts
// before their next use.
func (b *Board) chooseSaveStore(now time.Time, c *candidate, r *request) netip.AddrPort {
	stores := b.directStores(now, r.Model)
	if len(stores) == 0 || len(c.chain.tokens) < 2 {
		return netip.AddrPort{}
	}
	shared := c.chain.tokens[len(c.chain.tokens)-2]
	if shared-max(c.cachedTokens, c.fetchTokens) < minSaveTokens {
		return netip.AddrPort{}
	}
	home := stores[0]
	for _, t := range stores {
		if t.parts.leadingTokens(c.chain) >= shared {
			return netip.AddrPort{}
		}
		if mixHash(r.homes.lastPartHash^t.hash) > mixHash(r.homes.lastPartHash^home.hash) {
			home = t
		}
	}
	// The part of the prompt that the store holds is not transferred again.
	p := b.pools[r.Model.KeptPool]
	held := home.parts.leadingTokens(c.chain)
	moved, gained := float64(r.promptTokens()-held), float64(shared-held)
	if !b.storeHasRoom(now, home, b.pools[r.Pool]) || !b.worthSaving(now, home, p, gained/moved) {
		return netip.AddrPort{}
	}
	home.saves.level -= moved
	home.moves.level -= moved
	return home.addr
}

// saveBurst is the part of a store's capacity that a router may fill at once, as the time in
// which it accrues. In a fleet of 195 routers a router's share is one prompt in five seconds.
// With a burst of one second, the share that accrues after that is lost until the next prompt
// to save, which is an estimated two fifths of the total.
const saveBurst = 5 * time.Second

// worthSaving reports whether a prompt, of whose tokens the given fraction is shared, should
// use this router's share of a store's capacity. The prompt's unshared end also occupies the
// store but serves no other request, so the required fraction grows as the remaining capacity
// shrinks.
func (b *Board) worthSaving(now time.Time, store *target, p *pool, sharedFraction float64) bool {
	capacity := float64(p.compiled.CacheTokens)
	rate := capacity / time.Duration(b.snap.Config.Placement.Horizon).Seconds() / float64(b.routers)
	burst := rate * saveBurst.Seconds()
	store.saves.refillTo(now, rate, burst)
	return store.saves.level > 0 && sharedFraction >= 1-store.saves.level/burst
}

// keptEntry returns the entry of a prefix with the given number of tokens, which it creates if
// there is none.
func (b *Board) keptEntry(key Block, tokens int) *keptPrefix {
	k := b.kept.getOrCreate(key)
	if k.tokens == 0 {
		k.uses = newMeter(exportRateWindow)
		k.tokens = tokens
	}
	return k
}

// offerExport counts the use of a prefix that a target has just computed and returns an export
// if the prefix is hot. The prefix ends with the last but one message.
func (b *Board) offerExport(now time.Time, r *request, a *attempt) []Action {
	pool, ok := b.keptPool(r.Model)
	c := r.chain(a.Weights)
	if !ok || len(c.messageEnds) < 2 {
		return nil
	}
	end := c.messageEnds[len(c.messageEnds)-2]
	k := b.keptEntry(c.blocks[end], c.tokens[end])
	k.uses.add(now, 1)
	switch {
	case k.stored || k.tokens < minKeptTokens || k.uses.rate(now) < minExportRate:
		return nil
	case now.Sub(k.askedAt) < exportRetryDelay || b.exporting >= exportsAtOnce:
		return nil
	}
	k.askedAt = now
	b.exporting++
	return []Action{Export{
		Target: TargetKey{a.Target, a.Incarnation}, Pool: pool, Key: c.blocks[end], Salt: c.salt,
		Text: r.Text[:(end+1)*BlockBytes*ChainEvery], Request: r.ID,
	}}
}

// Exported records the end of an export.
func (b *Board) Exported(e Export, stored bool) {
	b.exporting--
	if k := b.kept.get(e.Key); k != nil && stored {
		k.stored = true
		b.newlyKept = append(b.newlyKept, Kept{e.Key, k.tokens})
		b.newlyKept = b.newlyKept[max(0, len(b.newlyKept)-maxKeptReported):]
	}
}

// ImportFailed records that the store no longer has a prefix.
func (b *Board) ImportFailed(key Block) {
	if k := b.kept.get(key); k != nil {
		k.stored = false
	}
}

// mergeKept records the prefixes that peers have stored.
func (b *Board) mergeKept(states map[string]PeerState) {
	for _, s := range states {
		for _, kept := range s.Kept {
			b.keptEntry(kept.Key, kept.Tokens).stored = true
		}
	}
}

// keptFor returns the longest kept prefix of a chain.
func (b *Board) keptFor(c *chain, m *policy.Model) (Import, bool) {
	pool, ok := b.keptPool(m)
	if !ok {
		return Import{}, false
	}
	for i := len(c.messageEnds) - 1; i >= 0; i-- {
		key := c.blocks[c.messageEnds[i]]
		if k := b.kept.get(key); k != nil && k.stored {
			return Import{Pool: pool, Key: key, Tokens: k.tokens}, true
		}
	}
	return Import{}, false
}

// considerImports lets candidates import a kept prefix in place of computing it, if that is
// faster and no candidate holds the prefix. An import to another engine evicts blocks that will
// be missed there, as spreading does. Imports are for engines whose caches were emptied
// recently; an engine that evicted the prefix needs the memory for other blocks.
func (b *Board) considerImports(now time.Time, cs []candidate, r *request) {
	if len(cs) == 0 {
		return
	}
	kept, ok := b.keptFor(cs[0].chain, r.Model)
	if !ok {
		return
	}
	for i := range cs {
		if cs[i].cachedTokens >= kept.Tokens {
			return
		}
	}
	for i := range cs {
		if cs[i].chain == cs[0].chain && now.Sub(cs[i].target.emptied) < importWindow {
			cs[i].considerImport(kept)
		}
	}
}

func (c *candidate) considerImport(kept Import) {
	rate := c.target.rate()
	transfer := importOverhead + seconds(float64(kept.Tokens)/(importFactor*rate))
	if transfer < seconds(float64(kept.Tokens-c.cachedTokens)/rate) {
		c.imported = kept
		c.transfer = transfer
	}
}

// KeptStore returns the target of a pool of stores that a key belongs to. All routers choose
// the same one.
func (b *Board) KeptStore(pool string, key Block) (addr netip.AddrPort, ok bool) {
	p, ok := b.pools[pool]
	if !ok {
		return netip.AddrPort{}, false
	}
	best := uint64(0)
	for _, t := range p.members {
		if rank := mixHash(uint64(key) ^ t.hash); t.usable() && rank >= best {
			best, addr = rank, t.addr
		}
	}
	return addr, addr.IsValid()
}
