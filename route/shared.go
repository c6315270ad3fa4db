package route

import (
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// sharedParts are the parts that prompts share, as far as this router and its
// peers have seen, with the targets that hold them. In a large fleet a few routers
// read the targets' events and pass these on; the parts that end a prompt are of
// no use to any other request, and there are many more of them. A part is known
// to be shared by its id alone: new weights change what it is kept under.
type sharedParts struct {
	ids *generationalMap[partID, sharedPart]
	// fresh are those that this router saw first itself or tells for another, in the
	// order in which it did; dropped is how many came before them.
	recent  []recentPart
	dropped int64
	feed    *Feed[heldPart, int]
	// counted are the keys of shared parts that some target was said to hold.
	counted map[partKey]bool
}

// recentPart is a part that was seen to be shared at a time.
type recentPart struct {
	id partID
	at time.Time
}

// partID names a part under whatever salt.
type partID uint64

func hashPartID(id string) partID { return partID(xxh3.HashString(id)) }

// sharedPart is what is known of the parts of one id.
type sharedPart struct {
	shared bool
	// keys are those that targets' events named lately.
	keys []partKey
}

// heldPart is a part at a target.
type heldPart struct {
	target netip.AddrPort
	key    partKey
}

// The bounds of what is remembered of parts: how many ids, under how many salts
// each, and how many of the new shared ones. In a small fleet so many of those are
// told of for so long, in which all peers hear of them; in a large one, so many with
// each report, some 5 KB.
const (
	sharedKept        = 1 << 14
	keysKept          = 32
	maxRecentParts    = 1 << 12
	maxSharedPerState = 64
	sharedTellTime    = 2 * time.Second
	maxReported       = 512
)

func newSharedParts() sharedParts {
	return sharedParts{
		ids:  newGenerationalMap[partID, sharedPart](sharedKept),
		feed: NewFeed[heldPart](func(a, b int) bool { return a == b }),

		counted: make(map[partKey]bool),
	}
}

// has reports whether a part was counted as shared.
func (s *sharedParts) has(key partKey) bool { return s.counted[key] }

// recordKey notes that an event named a part, and reports whether the part is shared.
func (s *sharedParts) recordKey(id string, key partKey) bool {
	p := s.ids.getOrCreate(hashPartID(id))
	if !slices.Contains(p.keys, key) {
		p.keys = append(p.keys, key)
		p.keys = p.keys[max(0, len(p.keys)-keysKept):]
	}
	if p.shared {
		s.counted[key] = true
	}
	return p.shared
}

// recordHolder tells what a target holds of a shared part.
func (s *sharedParts) recordHolder(t *target, key partKey, tokens int) {
	if tokens > 0 {
		s.feed.Set(heldPart{t.addr, key}, tokens)
		return
	}
	s.feed.Drop(heldPart{t.addr, key})
}

// markPartShared notes that parts of an id are shared, and who holds them. It reports
// whether that is new.
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

// markKeyShared counts a key as that of a shared part, if it is not yet.
func (b *Board) markKeyShared(key partKey) {
	if !b.shared.has(key) {
		b.shared.counted[key] = true
		b.adjustSoleTokens(key, 1)
	}
}

// recordSharedParts notes the shared parts of a prompt.
func (b *Board) recordSharedParts(now time.Time, r *request) {
	for _, part := range r.Parts[:max(0, len(r.Parts)-1)] {
		if id := hashPartID(part.ID); b.markPartShared(id) {
			b.shared.queueForPeers(now, id)
		}
	}
}

// queueForPeers has peers told of a part.
func (s *sharedParts) queueForPeers(now time.Time, id partID) {
	s.recent = append(s.recent, recentPart{id, now})
	if old := len(s.recent) - maxRecentParts; old > 0 {
		s.recent = s.recent[old:]
		s.dropped += int64(old)
	}
}

// SharedSince returns the hashed ids of the parts that this router saw to be shared
// after so many others, and how many there were up to the last of them. A relay that
// is told each id once takes a few bytes for each in the whole fleet. Told for two
// seconds by everyone to everyone, as in a small fleet, the ids of 3,200 parts that
// 195 routers see anew at a common start made answers of 300 KB, four to each router
// and second.
func (b *Board) SharedSince(after int64) (ids []uint64, next int64) {
	s := &b.shared
	from := min(max(0, after-s.dropped), int64(len(s.recent)))
	to := min(from+maxReported, int64(len(s.recent)))
	for _, f := range s.recent[from:to] {
		ids = append(ids, uint64(f.id))
	}
	return ids, s.dropped + to
}

// TakeShared takes the ids of parts that another router saw to be shared; onward says
// that this one is to tell of them in its turn.
func (b *Board) TakeShared(now time.Time, ids []uint64, onward bool) {
	for _, id := range ids {
		if b.markPartShared(partID(id)) && onward {
			b.shared.queueForPeers(now, partID(id))
		}
	}
}

// recentIDs returns the hashed ids of the shared parts that peers may not know yet.
func (s *sharedParts) recentIDs(now time.Time) []uint64 {
	var out []uint64
	for _, f := range s.recent[max(0, len(s.recent)-maxSharedPerState):] {
		if now.Sub(f.at) <= sharedTellTime {
			out = append(out, uint64(f.id))
		}
	}
	return out
}

// mergeShared takes the parts that peers saw to be shared.
func (b *Board) mergeShared(states map[string]PeerState) {
	for _, s := range states {
		for _, id := range s.Shared {
			b.markPartShared(partID(id))
		}
	}
}

// PartsUpdate is what changed of the shared parts that targets hold.
type PartsUpdate struct {
	// Next is the version to ask for next.
	Next int64
	// Full says that the news replaces everything told before.
	Full    bool
	Targets []TargetParts
	// Unread are targets whose events the teller does not read now.
	Unread []netip.AddrPort
}

// TargetParts is what changed at one target: keys of parts, and for each the tokens held now.
type TargetParts struct {
	Target TargetKey
	Keys   []uint64
	Tokens []int
}

// PartsSince tells what changed after a version of what was told before.
func (b *Board) PartsSince(now time.Time, after int64) PartsUpdate {
	changes, full := b.shared.feed.Since(after)
	out := PartsUpdate{Next: b.shared.feed.Version(), Full: full}
	byTarget := make(map[netip.AddrPort]*TargetParts)
	for _, c := range changes {
		t, ok := b.targets[c.Key.target]
		if !ok {
			continue
		}
		told := byTarget[t.addr]
		if told == nil {
			told = &TargetParts{Target: t.key()}
			byTarget[t.addr] = told
		}
		told.Keys = append(told.Keys, uint64(c.Key.key))
		told.Tokens = append(told.Tokens, c.Value)
	}
	for _, told := range byTarget {
		out.Targets = append(out.Targets, *told)
	}
	for _, t := range b.targets {
		if !t.parts.known(now) && b.readsCacheEvents(t) {
			out.Unread = append(out.Unread, t.addr)
		}
	}
	return out
}

// TakeParts takes the news of another router that reads the targets' events.
func (b *Board) TakeParts(now time.Time, news PartsUpdate) {
	if b.disabled.Has(CacheEvents) {
		return
	}
	unread := make(map[netip.AddrPort]bool, len(news.Unread))
	for _, addr := range news.Unread {
		unread[addr] = true
	}
	for addr, t := range b.targets {
		if !b.readsCacheEvents(t) {
			continue
		}
		if unread[addr] || news.Full {
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
	for _, told := range news.Targets {
		t, ok := b.targetByKey(told.Target)
		if !ok || t.parts.tokens == nil || len(told.Keys) != len(told.Tokens) {
			continue
		}
		for i, key := range told.Keys {
			b.applyPart(t, partKey(key), told.Tokens[i])
		}
	}
}

// applyFraction notes what another router said that a target holds of a shared part.
func (b *Board) applyPart(t *target, key partKey, tokens int) {
	b.markKeyShared(key)
	b.setPart(t, key, tokens, true)
	b.shared.recordHolder(t, key, tokens)
}
