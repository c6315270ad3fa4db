package route

import (
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// sharedParts tracks the prompt parts that several prompts share, as seen by this router and its
// peers, and the targets that hold them. In a large fleet only a few routers read the targets'
// cache events and relay those about shared parts. Parts at the end of a prompt are useless to
// other requests, and there are many more of them. Whether a part is shared is tracked by id alone,
// since its cache key changes with the weights.
type sharedParts struct {
	ids *generationalMap[partID, sharedPart]
	// recent are the parts that this router saw first or relays for another router, in order.
	// dropped is the number of entries removed before them.
	recent  []recentPart
	dropped int64
	feed    *Feed[heldPart, int]
	// counted are the cache keys of shared parts that a target was reported to hold.
	counted map[partKey]bool
}

// recentPart is a part that was found to be shared at a time.
type recentPart struct {
	id partID
	at time.Time
}

// partID identifies a part independently of its salt.
type partID uint64

func hashPartID(id string) partID { return partID(xxh3.HashString(id)) }

// sharedPart is what is known of the parts with one id.
type sharedPart struct {
	shared bool
	// keys are the cache keys that targets' events named recently.
	keys []partKey
}

// heldPart is a part held by a target.
type heldPart struct {
	target netip.AddrPort
	key    partKey
}

// Bounds of the remembered parts: maxSharedIDs ids, maxKeysPerPart cache keys for each, and
// maxRecentParts newly shared ids. In a small fleet a state reports up to maxSharedPerState ids for
// sharedTellTime, long enough for all peers to receive them. In a large fleet each report carries
// up to maxReported ids, about 5 KB.
const (
	maxSharedIDs      = 1 << 14
	maxKeysPerPart    = 32
	maxRecentParts    = 1 << 12
	maxSharedPerState = 64
	sharedTellTime    = 2 * time.Second
	maxReported       = 512
)

func newSharedParts() sharedParts {
	return sharedParts{
		ids:  newGenerationalMap[partID, sharedPart](maxSharedIDs),
		feed: NewFeed[heldPart](func(a, b int) bool { return a == b }),

		counted: make(map[partKey]bool),
	}
}

// has reports whether a key belongs to a shared part.
func (s *sharedParts) has(key partKey) bool { return s.counted[key] }

// recordKey records the cache key by which an event named a part, and reports whether the part is
// shared.
func (s *sharedParts) recordKey(id string, key partKey) bool {
	p := s.ids.getOrCreate(hashPartID(id))
	if !slices.Contains(p.keys, key) {
		p.keys = append(p.keys, key)
		p.keys = p.keys[max(0, len(p.keys)-maxKeysPerPart):]
	}
	if p.shared {
		s.counted[key] = true
	}
	return p.shared
}

// recordHolder publishes how much of a shared part a target holds.
func (s *sharedParts) recordHolder(t *target, key partKey, tokens int) {
	if tokens > 0 {
		s.feed.Set(heldPart{t.addr, key}, tokens)
		return
	}
	s.feed.Drop(heldPart{t.addr, key})
}

// markPartShared marks the parts of an id as shared and publishes their holders. It reports whether
// this is new.
func (b *Board) markPartShared(id partID) bool {
	p := b.shared.ids.getOrCreate(id)
	if p.shared {
		return false
	}
	p.shared = true
	for _, key := range p.keys {
		b.markKeyShared(key)
		for _, t := range b.partHolders[key] {
			b.shared.recordHolder(t, key, t.parts.tokens[key])
		}
	}
	return true
}

// markKeyShared marks a key as that of a shared part.
func (b *Board) markKeyShared(key partKey) {
	if !b.shared.has(key) {
		b.shared.counted[key] = true
		b.adjustSoleTokens(key, 1)
	}
}

// recordSharedParts records the parts that a prompt shares.
func (b *Board) recordSharedParts(now time.Time, r *request) {
	for _, part := range r.Parts[:max(0, len(r.Parts)-1)] {
		if id := hashPartID(part.ID); b.markPartShared(id) {
			b.shared.queueForPeers(now, id)
		}
	}
}

// queueForPeers queues a part to be reported to peers.
func (s *sharedParts) queueForPeers(now time.Time, id partID) {
	s.recent = append(s.recent, recentPart{id, now})
	if old := len(s.recent) - maxRecentParts; old > 0 {
		s.recent = s.recent[old:]
		s.dropped += int64(old)
	}
}

// SharedSince returns the hashed ids of shared parts that follow the first after ids, and the
// position up to which it returned them. A relay that receives each id once needs a few bytes for
// each in the whole fleet. When every router repeated its ids to every other for two seconds, as in
// a small fleet, 3,200 parts seen for the first time by 195 routers that started together led to
// answers of 300 KB, four per second to each router.
func (b *Board) SharedSince(after int64) (ids []uint64, next int64) {
	s := &b.shared
	from := min(max(0, after-s.dropped), int64(len(s.recent)))
	to := min(from+maxReported, int64(len(s.recent)))
	for _, f := range s.recent[from:to] {
		ids = append(ids, uint64(f.id))
	}
	return ids, s.dropped + to
}

// TakeShared records parts that another router found to be shared. onward is set if this router is
// to report them in turn.
func (b *Board) TakeShared(now time.Time, ids []uint64, onward bool) {
	for _, id := range ids {
		if b.markPartShared(partID(id)) && onward {
			b.shared.queueForPeers(now, partID(id))
		}
	}
}

// recentIDs returns the hashed ids of shared parts that peers may not know yet.
func (s *sharedParts) recentIDs(now time.Time) []uint64 {
	var out []uint64
	for _, f := range s.recent[max(0, len(s.recent)-maxSharedPerState):] {
		if now.Sub(f.at) <= sharedTellTime {
			out = append(out, uint64(f.id))
		}
	}
	return out
}

// mergeShared records the parts that peers found to be shared.
func (b *Board) mergeShared(states map[string]PeerState) {
	for _, s := range states {
		for _, id := range s.Shared {
			b.markPartShared(partID(id))
		}
	}
}

// PartsUpdate contains the changes of which targets hold which shared parts.
type PartsUpdate struct {
	// Next is the version from which to request the next update.
	Next int64
	// Full is set if the update replaces all previous ones.
	Full    bool
	Targets []TargetParts
	// Unread are targets whose cache events the sender does not currently read.
	Unread []netip.AddrPort
}

// TargetParts contains the changes at one target: the keys of parts and the number of tokens now
// held of each.
type TargetParts struct {
	Target TargetKey
	Keys   []uint64
	Tokens []int
}

// PartsSince returns the changes after a version.
func (b *Board) PartsSince(now time.Time, after int64) PartsUpdate {
	changes, full := b.shared.feed.Since(after)
	out := PartsUpdate{Next: b.shared.feed.Version(), Full: full}
	byTarget := make(map[netip.AddrPort]*TargetParts)
	for _, c := range changes {
		t, ok := b.targets[c.Key.target]
		if !ok {
			continue
		}
		parts := byTarget[t.addr]
		if parts == nil {
			parts = &TargetParts{Target: t.key()}
			byTarget[t.addr] = parts
		}
		parts.Keys = append(parts.Keys, uint64(c.Key.key))
		parts.Tokens = append(parts.Tokens, c.Value)
	}
	for _, parts := range byTarget {
		out.Targets = append(out.Targets, *parts)
	}
	for _, t := range b.targets {
		if !t.parts.known(now) && b.readsCacheEvents(t) {
			out.Unread = append(out.Unread, t.addr)
		}
	}
	return out
}

// TakeParts applies an update from another router, which reads the targets' cache events.
func (b *Board) TakeParts(now time.Time, update PartsUpdate) {
	if b.disabled.Has(CacheEvents) {
		return
	}
	unread := make(map[netip.AddrPort]bool, len(update.Unread))
	for _, addr := range update.Unread {
		unread[addr] = true
	}
	for addr, t := range b.targets {
		if !b.readsCacheEvents(t) {
			continue
		}
		if unread[addr] || update.Full {
			b.dropParts(t)
		}
		if unread[addr] {
			continue
		}
		if t.parts.tokens == nil {
			t.parts.tokens = make(map[partKey]int)
		}
		t.parts.at, t.parts.relayed = now, true
	}
	for _, parts := range update.Targets {
		t, ok := b.targetByKey(parts.Target)
		if !ok || t.parts.tokens == nil || len(parts.Keys) != len(parts.Tokens) {
			continue
		}
		for i, key := range parts.Keys {
			b.applyPart(t, partKey(key), parts.Tokens[i])
		}
	}
}

// applyPart records how much of a shared part a target holds, as reported by another router.
func (b *Board) applyPart(t *target, key partKey, tokens int) {
	b.markKeyShared(key)
	b.setPart(t, key, tokens, true)
	b.shared.recordHolder(t, key, tokens)
}
