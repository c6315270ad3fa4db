package route

import (
	"net/netip"
	"time"
)

// TargetIndex is the process's compact list of all targets. The board itself holds only those
// targets of a large pool that its requests use: a router in a fleet of a thousand sends about one
// request per second, and must not pay for state and computation on each of ten thousand targets.
type TargetIndex interface {
	// Size returns the number of targets in a large pool, or zero if the board holds the whole
	// pool.
	Size(pool string) int
	// Best returns up to k targets of a large pool that are not draining and of a release that the pin
	// allows, those with the highest rank.
	Best(pool string, k int, pin ReleasePin, rank func(hash uint64) uint64) []*Entry
	// Releases returns the number of targets of a large pool that are not draining, by release, or nil if
	// the board holds the whole pool.
	Releases(pool string) map[string]int
	// Get returns the entry at an address, or nil if there is none.
	Get(addr netip.AddrPort) *Entry
}

// WithTargetIndex sets the index from which the board loads targets of large pools.
func WithTargetIndex(r TargetIndex) Option {
	return func(b *Board) { b.reserve = r }
}

// noTargetIndex is the index of a board that holds all targets.
type noTargetIndex struct{}

func (noTargetIndex) Size(string) int                                            { return 0 }
func (noTargetIndex) Releases(string) map[string]int                             { return nil }
func (noTargetIndex) Best(string, int, ReleasePin, func(uint64) uint64) []*Entry { return nil }
func (noTargetIndex) Get(netip.AddrPort) *Entry                                  { return nil }

// HashAddr returns the hash of a target that [TargetIndex.Best] passes to rank.
func HashAddr(addr netip.AddrPort) uint64 { return hashAddr(addr) }

// Bounds of the loaded targets of a large pool. At least minLoadedTargets are loaded, some of them
// at random so that an alternative always exists. Each stays for loadedTargetTTL after its last
// use; a failing one stays for failingTargetTTL, after which it may be loaded again like any other.
const (
	minLoadedTargets = 48
	loadedTargetTTL  = 30 * time.Second
	failingTargetTTL = 5 * time.Second
	unloadInterval   = time.Second
)

// size returns the number of targets that the list has for a pool.
func (b *Board) size(p *pool) int { return max(len(p.members), b.reserve.Size(p.compiled.Name)) }

// loadTargets loads the targets of a large pool that rank highest for a request, once per request.
// It reports whether any were new.
func (b *Board) loadTargets(now time.Time, p *pool, r *request) bool {
	n := b.reserve.Size(p.compiled.Name)
	if n == 0 || r.recruited {
		return false
	}
	r.recruited = true
	var picks []*Entry
	if r.homes.setSize > 0 {
		picks = b.reserve.Best(p.compiled.Name, rendezvousTop, r.Pin, func(hash uint64) uint64 { return r.homes.rank(n, hash, 1) })
	}
	if more := minLoadedTargets - p.loadedFor(r.Pin); more > 0 {
		seed := b.rng.Uint64()
		picks = append(picks, b.reserve.Best(p.compiled.Name, more, r.Pin, func(hash uint64) uint64 { return mixHash(seed ^ hash) })...)
	}
	return b.addListed(now, picks)
}

// loadedFor returns the number of loaded targets that a pin allows.
func (p *pool) loadedFor(pin ReleasePin) int {
	if !pin.Set {
		return len(p.members)
	}
	n := 0
	for _, t := range p.members {
		if pin.allows(t) {
			n++
		}
	}
	return n
}

// loadTarget returns the target with the given key, loading it from the index if necessary.
func (b *Board) loadTarget(now time.Time, m TargetKey) (*target, bool) {
	if t, ok := b.targetByKey(m); ok {
		t.usedAt = now
		return t, true
	}
	e := b.reserve.Get(m.Target)
	if e == nil || e.Seen.Leaving || e.Report.Incarnation != m.Incarnation {
		return nil, false
	}
	b.addListed(now, []*Entry{e})
	return b.targetByKey(m)
}

// addListed adds listed targets to the board and reports whether any were new.
func (b *Board) addListed(now time.Time, entries []*Entry) bool {
	added := false
	for _, e := range entries {
		if t, ok := b.targets[e.Seen.Addr]; ok {
			t.usedAt = now
			continue
		}
		added = true
		t := b.addTarget(now, e.Seen.Addr)
		t.usedAt = now
		t.labels, t.release, t.listed = e.Seen.Labels, e.Seen.Release, true
		t.listNames = e.Report.Incarnation != ""
		b.identify(now, t, e.Report.Incarnation)
		t.held = b.holding[t.key()]
		b.setListDraining(now, t, e.Seen.Leaving)
		b.applyReport(now, t, e.Report)
	}
	if added {
		b.assignPools()
	}
	return added
}

// HasTarget reports whether the board holds a target.
func (b *Board) HasTarget(addr netip.AddrPort) bool {
	_, ok := b.targets[addr]
	return ok
}

// unloadIdle removes targets of large pools that have not been used for a while.
func (b *Board) unloadIdle(now time.Time) {
	if now.Sub(b.retiredAt) < unloadInterval {
		return
	}
	b.retiredAt = now
	removed := false
	for _, p := range b.pools {
		if b.reserve.Size(p.compiled.Name) == 0 {
			continue
		}
		for _, t := range p.members {
			ttl := loadedTargetTTL
			if t.failing {
				ttl = failingTargetTTL
			}
			if len(t.attempts) == 0 && now.Sub(t.usedAt) > ttl {
				b.dropTarget(t.addr, t)
				removed = true
			}
		}
	}
	if removed {
		b.assignPools()
	}
}

// readsCacheEvents reports whether the cache events of a target are read. They are for pools that
// the board holds as a whole; in a large pool, the homes of a prompt's parts know who was sent
// them.
func (b *Board) readsCacheEvents(t *target) bool {
	for _, p := range t.pools {
		if b.reserve.Size(p.compiled.Name) > 0 {
			return false
		}
	}
	return true
}
