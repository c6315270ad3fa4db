package route

import (
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// PartChange is one change of the named parts that a target's cache holds.
type PartChange struct {
	Salt string
	ID   string
	// Tokens is how much of the part is held now, zero once it is gone.
	Tokens int
}

// partKey names a part under a salt.
type partKey uint64

func keyOfPart(salt, id string) partKey {
	return partKey(xxh3.HashStringSeed(id, xxh3.HashString(salt)))
}

// heldParts is what a target's own events say that its cache holds.
type heldParts struct {
	tokens map[partKey]int
	// at is when the events were last read; without that they are no news.
	at time.Time
	// relayed says that another router read them.
	relayed bool
	// only counts the tokens of shared parts that no other target holds.
	soleTokens int
}

// The times of a target's events about its cache.
const (
	// eventsValidFor is how long after the last reading events are relied on alone:
	// readings are held for a second at most.
	eventsValidFor = 3 * time.Second
	// eventsLag is how long it may take until an event tells of what was sent. On
	// the users' sites they are told up to 0.2 s late, after the prefill itself.
	eventsLag = 700 * time.Millisecond
	// relayedLag is the same for events that another router passed on, which takes
	// a pause of its reading and one between reports longer.
	relayedLag = 1700 * time.Millisecond
)

// PartChanges takes a target's events in their order; anew says that they begin
// with an empty cache, or after a gap, so that what was known before is dropped. Events of
// another start than the target's incarnation names are not taken, and nothing that it held
// is relied on any more: either they are of the start before, or the list does not tell of
// the new one yet. ok is false then.
func (b *Board) PartChanges(now time.Time, addr netip.AddrPort, start time.Time, anew bool, changes []PartChange) (ok bool) {
	t, ok := b.targets[addr]
	if !ok || b.disabled.Has(CacheEvents) {
		return true
	}
	if t.incarnation.OtherStart(start) {
		b.renewSlot(now, t)
		b.dropParts(t)
		return false
	}
	if anew || t.parts.tokens == nil {
		b.dropParts(t)
		t.parts.tokens = make(map[partKey]int)
	}
	t.parts.at, t.parts.relayed = now, false
	for _, c := range changes {
		key := keyOfPart(c.Salt, c.ID)
		shared := b.shared.recordKey(c.ID, key)
		b.setPart(t, key, c.Tokens, shared)
		if shared || c.Tokens == 0 {
			b.shared.recordHolder(t, key, c.Tokens)
		}
	}
	return true
}

// setPart notes how many tokens of a part a target holds. A shared part that nobody
// holds any more is not counted as one until it is named again.
func (b *Board) setPart(t *target, key partKey, tokens int, shared bool) {
	if shared {
		b.adjustSoleTokens(key, -1)
		defer b.adjustSoleTokens(key, 1)
	}
	if tokens > 0 {
		t.parts.tokens[key] = tokens
		b.partHolders.add(key, t)
		return
	}
	delete(t.parts.tokens, key)
	b.partHolders.remove(key, t)
	if len(b.partHolders[key]) == 0 {
		delete(b.shared.counted, key)
	}
}

// adjustSoleTokens adds a shared part to, or takes it from, what its only holder alone holds.
func (b *Board) adjustSoleTokens(key partKey, sign int) {
	if holders := b.partHolders[key]; len(holders) == 1 {
		holders[0].parts.soleTokens += sign * holders[0].parts.tokens[key]
	}
}

// dropParts forgets what a target's events said.
func (b *Board) dropParts(t *target) {
	for key := range t.parts.tokens {
		b.setPart(t, key, 0, b.shared.has(key))
		b.shared.recordHolder(t, key, 0)
	}
	t.parts = heldParts{}
}

// partIndex finds the targets that hold a part, for pools that are too large to look at each.
type partIndex map[partKey][]*target

func (x partIndex) add(key partKey, t *target) {
	if !slices.Contains(x[key], t) {
		x[key] = append(x[key], t)
	}
}

func (x partIndex) remove(key partKey, t *target) {
	list := x[key]
	i := slices.Index(list, t)
	if i < 0 {
		return
	}
	list[i] = list[len(list)-1]
	if list = list[:len(list)-1]; len(list) == 0 {
		delete(x, key)
		return
	}
	x[key] = list
}

// markHolders marks, for this round, some holders of a chain's last shared parts.
func (b *Board) markHolders(c *chain) {
	for i := len(c.partKeys) - 2; i >= 0 && i >= len(c.partKeys)-1-partLevels; i-- {
		list := b.partHolders[c.partKeys[i]]
		for _, t := range list[:min(len(list), holdersPerPart)] {
			t.round = b.round
		}
	}
}

// partLevels is how many of a prompt's last shared parts are looked up, and
// holdersPerPart how many holders of each are candidates.
const (
	partLevels     = 2
	holdersPerPart = 4
)

// known reports whether the target's events are read.
func (h *heldParts) known(now time.Time) bool {
	return h.tokens != nil && now.Sub(h.at) < eventsValidFor
}

// leadingTokens returns how many tokens of a chain's leading parts the target holds.
func (h *heldParts) leadingTokens(c *chain) int {
	total := 0
	for i, key := range c.partKeys {
		size := c.tokens[i]
		if i > 0 {
			size -= c.tokens[i-1]
		}
		held := h.tokens[key]
		total += min(held, size)
		if held < size {
			break
		}
	}
	return total
}

// Holds reports whether a target's events say that its cache holds a part under a salt.
func (b *Board) Holds(addr netip.AddrPort, salt, id string) bool {
	t, ok := b.targets[addr]
	return ok && t.parts.tokens[keyOfPart(salt, id)] > 0
}
