package route

import (
	"net/netip"
	"time"
)

// TargetIndex is the list of targets as the process keeps it, packed. Of a large pool the board
// has only those that its requests use: a router of a fleet of a thousand sends a request a
// second, and what it knows and works out of a target must not cost it for each of ten thousand.
type TargetIndex interface {
	// Size returns how many targets a large pool has, zero for one that the board has whole.
	Size(pool string) int
	// Best returns up to k targets of a large pool that do not leave, those that rank highest.
	Best(pool string, k int, rank func(hash uint64) uint64) []*Entry
	// Get returns the entry at an address, nil if there is none.
	Get(addr netip.AddrPort) *Entry
}

// WithTargetIndex sets where the board takes targets of large pools from.
func WithTargetIndex(r TargetIndex) Option {
	return func(b *Board) { b.reserve = r }
}

// noTargetIndex is the reserve of a board that has all targets.
type noTargetIndex struct{}

func (noTargetIndex) Size(string) int                                { return 0 }
func (noTargetIndex) Best(string, int, func(uint64) uint64) []*Entry { return nil }
func (noTargetIndex) Get(netip.AddrPort) *Entry                      { return nil }

// HashAddr returns the number of a target by which the ranks of [Reserve.Best] are worked out.
func HashAddr(addr netip.AddrPort) uint64 { return hashAddr(addr) }

// The targets of a large pool on the board: at least minLoadedTargets, some of which are drawn at
// random so that there is always another one; each stays for loadedTargetTTL after its last use, one
// that fails for failingTargetTTL, after which it is taken anew as any other.
const (
	minLoadedTargets = 48
	loadedTargetTTL  = 30 * time.Second
	failingTargetTTL = 5 * time.Second
	unloadInterval   = time.Second
)

// size returns how many targets a pool has on the list.
func (b *Board) size(p *pool) int { return max(len(p.members), b.reserve.Size(p.compiled.Name)) }

// loadTargets takes targets of a large pool from the reserve that rank highest for a request, once
// for each request, and reports whether there were new ones.
func (b *Board) loadTargets(now time.Time, p *pool, r *request) bool {
	n := b.reserve.Size(p.compiled.Name)
	if n == 0 || r.recruited {
		return false
	}
	r.recruited = true
	var picks []*Entry
	if r.homes.setSize > 0 {
		picks = b.reserve.Best(p.compiled.Name, rendezvousTop, func(hash uint64) uint64 { return r.homes.rank(n, hash) })
	}
	if more := minLoadedTargets - len(p.members); more > 0 {
		draw := b.rng.Uint64()
		picks = append(picks, b.reserve.Best(p.compiled.Name, more, func(hash uint64) uint64 { return mixHash(draw ^ hash) })...)
	}
	return b.addListed(now, picks)
}

// loadTarget takes the target of a mark from the reserve.
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

// addListed puts listed targets on the board and reports whether some were not there.
func (b *Board) addListed(now time.Time, entries []*Entry) bool {
	joined := false
	for _, e := range entries {
		if t, ok := b.targets[e.Seen.Addr]; ok {
			t.usedAt = now
			continue
		}
		joined = true
		t := b.addTarget(now, e.Seen.Addr)
		t.usedAt = now
		t.labels, t.release, t.listed = e.Seen.Labels, e.Seen.Release, true
		t.listNames = e.Report.Incarnation != ""
		b.identify(now, t, e.Report.Incarnation)
		t.held = b.holding[t.key()]
		b.setListDraining(now, t, e.Seen.Leaving)
		b.applyReport(now, t, e.Report)
	}
	if joined {
		b.assignPools()
	}
	return joined
}

// HasTarget reports whether the board has a target.
func (b *Board) HasTarget(addr netip.AddrPort) bool {
	_, ok := b.targets[addr]
	return ok
}

// unloadIdle takes the targets of large pools off the board that were not used for a while.
func (b *Board) unloadIdle(now time.Time) {
	if now.Sub(b.retiredAt) < unloadInterval {
		return
	}
	b.retiredAt = now
	retired := false
	for _, p := range b.pools {
		if b.reserve.Size(p.compiled.Name) == 0 {
			continue
		}
		for _, t := range p.members {
			kept := loadedTargetTTL
			if t.failing {
				kept = failingTargetTTL
			}
			if len(t.attempts) == 0 && now.Sub(t.usedAt) > kept {
				b.dropTarget(t.addr, t)
				retired = true
			}
		}
	}
	if retired {
		b.assignPools()
	}
}

// readsCacheEvents reports whether the events of a target's cache are read: those of a pool that the board
// has whole. Of a large one, the homes of prompts' parts know who was sent them.
func (b *Board) readsCacheEvents(t *target) bool {
	for _, p := range t.pools {
		if b.reserve.Size(p.compiled.Name) > 0 {
			return false
		}
	}
	return true
}
