package route

import (
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// PartChange is a change of one named part in a target's cache.
type PartChange struct {
	Salt string
	ID   string
	// Tokens is the cached length of the part, or zero after its eviction.
	Tokens int
}

// partKey identifies a part under a salt.
type partKey uint64

func keyOfPart(salt, id string) partKey {
	return partKey(xxh3.HashStringSeed(id, xxh3.HashString(salt)))
}

// heldParts holds the contents of a target's cache according to its own cache events.
type heldParts struct {
	tokens map[partKey]int
	// at is when the events were last received. They are outdated if that is too long ago.
	at time.Time
	// relayed is set if another router received the events and forwarded them.
	relayed bool
	// soleTokens is the length of the shared parts that no other target holds.
	soleTokens int
}

// Delays of a target's cache events.
const (
	// eventsValidFor is how long after the last poll the events alone are relied on. A poll
	// blocks for at most one second.
	eventsValidFor = 3 * time.Second
	// eventsLag is the longest time from sending a request to receiving its cache events. At
	// the users' sites events are sent up to 0.2 s after the end of the prefill.
	eventsLag = 700 * time.Millisecond
	// relayedLag is the same for events that another router forwards, which adds one of its
	// polling intervals and one interval between reports.
	relayedLag = 1700 * time.Millisecond
)

// PartChanges processes a target's cache events in order. If reset is set, the events begin
// with an empty cache or follow a gap, so the previous state is discarded. Events of another
// start than the one that the target's incarnation names are ignored, and the target's known
// cache contents are discarded: either the events are from the previous start, or the target
// list does not show the new one yet. PartChanges returns false in this case.
func (b *Board) PartChanges(now time.Time, addr netip.AddrPort, start time.Time, reset bool, changes []PartChange) (ok bool) {
	t, ok := b.targets[addr]
	if !ok || b.disabled.Has(CacheEvents) {
		return true
	}
	if t.incarnation.OtherStart(start) {
		b.renewSlot(now, t)
		b.dropParts(t)
		return false
	}
	if reset || t.parts.tokens == nil {
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

// setPart records how many tokens of a part a target holds. A shared part without holders is no
// longer counted as shared until it is named again.
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

// adjustSoleTokens adds a shared part to the soleTokens of its holder if it has only one, or
// subtracts it, according to sign.
func (b *Board) adjustSoleTokens(key partKey, sign int) {
	if holders := b.partHolders[key]; len(holders) == 1 {
		holders[0].parts.soleTokens += sign * holders[0].parts.tokens[key]
	}
}

// dropParts discards the state from a target's events.
func (b *Board) dropParts(t *target) {
	for key := range t.parts.tokens {
		b.setPart(t, key, 0, b.shared.has(key))
		b.shared.recordHolder(t, key, 0)
	}
	t.parts = heldParts{}
}

// partIndex maps parts to the targets that hold them, for pools that are too large for checking
// every member.
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

// markHolders marks some holders of a chain's last shared parts in the current round.
func (b *Board) markHolders(c *chain) {
	for i := len(c.partKeys) - 2; i >= 0 && i >= len(c.partKeys)-1-partLevels; i-- {
		list := b.partHolders[c.partKeys[i]]
		for _, t := range list[:min(len(list), holdersPerPart)] {
			t.round = b.round
		}
	}
}

// partLevels is the number of a prompt's last shared parts that are looked up, and
// holdersPerPart the number of holders of each that become candidates.
const (
	partLevels     = 2
	holdersPerPart = 4
)

// known reports whether the target's events are received and current.
func (h *heldParts) known(now time.Time) bool {
	return h.tokens != nil && now.Sub(h.at) < eventsValidFor
}

// leadingTokens returns the length of the prefix of a chain that the target holds, in tokens.
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

// Holds reports whether a target's cache holds a part under a salt, according to its events.
func (b *Board) Holds(addr netip.AddrPort, salt, id string) bool {
	t, ok := b.targets[addr]
	return ok && t.parts.tokens[keyOfPart(salt, id)] > 0
}
