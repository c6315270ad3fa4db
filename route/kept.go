package route

import (
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/policy"
)

// Export asks to copy a hot prefix from a target to the kept KV store.
type Export struct {
	Target  TargetKey
	Pool    string
	Key     Block
	Salt    string
	Text    []byte
	Request string
}

func (Export) isAction() {}

// Import asks to fill a target's cache from the kept KV store before an attempt is sent.
type Import struct {
	Pool   string
	Key    Block
	Tokens int
}

// Kept says that a prefix is in a kept KV store; its key names organisation,
// model, adapter and weights, since it is the prefix's block.
type Kept struct {
	Key    Block
	Tokens int
}

// keptPrefix is what a board knows of one prefix at the end of a message.
type keptPrefix struct {
	uses    meter
	tokens  int
	stored  bool
	askedAt time.Time
}

// The bounds of exporting: how often a prefix must be asked for at one router to
// be worth it, how long it must be, how soon it is tried again, how many exports
// a router makes in a second, and how many prefixes it remembers.
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

// keptPool returns the pool that keeps a model's KV cache and has a usable target.
func (b *Board) keptPool(m *policy.Model) (string, bool) {
	p, ok := b.pools[m.KeptPool]
	if m.KeptPool == "" || !ok {
		return "", false
	}
	if p.compiled.Fetches {
		// The engines save and fetch by themselves.
		return "", false
	}
	for _, t := range p.members {
		if t.usable() {
			return m.KeptPool, true
		}
	}
	return "", false
}

// directStores returns the stores that a model's engines save to and fetch from by
// themselves and that answer. An installation may have several, each with a link and
// room of its own: with one of three in use, 60 engines read 6.4 million tokens of shared
// parts again on a busy day, with all three 4.9 million (one play of each).
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

// minSaveTokens is the number of shared tokens that an engine must read anew for a
// prompt to be worth saving: less is sooner read again than moved.
const minSaveTokens = 512

// chooseSaveStore decides whether the engine sends the prompt's parts to the store that is
// their home. All routers together save no more in the time of a part's last use than
// a store holds: else it would drop each part before it is asked for again.
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
	// What the store has is not sent to it again.
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

// saveBurst is how much of a store's room a router may fill at once, as the time in
// which its part of the room comes in. In a fleet of 195 a router's part is one prompt
// in five seconds; with a burst of one second, what comes in after that is lost until the
// next prompt to be saved, by reckoning two fifths of it.
const saveBurst = 5 * time.Second

// worthSaving reports whether this router's part of a store's room is well spent on a
// prompt of whose tokens a part is shared. A prompt's own end takes room too and serves
// nobody, so the less room is left, the more of the prompt must be shared.
func (b *Board) worthSaving(now time.Time, store *target, p *pool, shared float64) bool {
	room := float64(p.compiled.CacheTokens)
	rate := room / time.Duration(b.snap.Config.Placement.Horizon).Seconds() / float64(b.routers)
	burst := rate * saveBurst.Seconds()
	store.saves.refillTo(now, rate, burst)
	return store.saves.level > 0 && shared >= 1-store.saves.level/burst
}

// keptEntry returns what is known of a prefix with so many tokens.
func (b *Board) keptEntry(key Block, tokens int) *keptPrefix {
	k := b.kept.getOrCreate(key)
	if k.tokens == 0 {
		k.uses = newMeter(exportRateWindow)
		k.tokens = tokens
	}
	return k
}

// offerExport counts a prefix that a target has just computed and asks for its
// export once it is hot. The prefix ends with the last message but one.
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

// Exported takes the end of an export.
func (b *Board) Exported(e Export, stored bool) {
	b.exporting--
	if k := b.kept.get(e.Key); k != nil && stored {
		k.stored = true
		b.newlyKept = append(b.newlyKept, Kept{e.Key, k.tokens})
		b.newlyKept = b.newlyKept[max(0, len(b.newlyKept)-maxKeptReported):]
	}
}

// ImportFailed forgets a kept prefix that the store no longer has.
func (b *Board) ImportFailed(key Block) {
	if k := b.kept.get(key); k != nil {
		k.stored = false
	}
}

// mergeKept takes the prefixes that peers have stored.
func (b *Board) mergeKept(states map[string]PeerState) {
	for _, s := range states {
		for _, told := range s.Kept {
			b.keptEntry(told.Key, told.Tokens).stored = true
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

// considerImports lets candidates take a kept prefix in place of computing it,
// where that is quicker and no candidate holds it: an import to a further engine
// displaces what others will miss there, as spreading does. It is for engines
// whose caches were emptied lately; an engine that evicted a prefix needs the room.
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

// KeptStore returns the target of a kept pool that a key belongs to; all routers agree on it.
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
