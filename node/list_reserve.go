package node

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/pathhead/pathhead/route"
)

// listedTarget is a target of the list with the number by which it is ranked. Entries are
// shared with what a relay told, and not changed.
type listedTarget struct {
	*route.Entry
	hash uint64
}

// largePoolSize is the number of targets from which a pool is large, so that the board has only
// those that it uses.
const largePoolSize = 512

// listed returns an entry with its number; the caller holds the lock.
func (l *targetList) listed(e *route.Entry) listedTarget {
	if old, ok := l.targets[e.Seen.Addr]; ok {
		return listedTarget{e, old.hash}
	}
	return listedTarget{e, route.HashAddr(e.Seen.Addr)}
}

// intern takes new entries that nobody else has yet: labels and weights that many entries have
// alike are kept once.
func (l *targetList) intern(entries []*route.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		e.Seen.Labels, e.Report.Weights = l.internMap(e.Seen.Labels), l.internMap(e.Report.Weights)
	}
}

// asRead returns the targets of the last reading without those kept beside it.
func (l *targetList) asRead() []*route.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*route.Entry, 0, len(l.targets))
	for addr, t := range l.targets {
		if _, missing := l.missing[addr]; !missing && !slices.Contains(l.fixed, t.Entry) {
			out = append(out, t.Entry)
		}
	}
	return out
}

// maxInterned bounds the different labels and weights that are kept once: some for each failure
// domain and service, and for each of the weights that targets have at a time.
const maxInterned = 1024

// internMap returns the one copy of a map of an entry; the caller holds the lock.
func (l *targetList) internMap(m map[string]string) map[string]string {
	if len(m) == 0 {
		return nil
	}
	key := make([]byte, 0, 64)
	for _, k := range slices.Sorted(maps.Keys(m)) {
		key = append(append(append(append(key, k...), 0), m[k]...), 0)
	}
	if same, ok := l.interned[string(key)]; ok {
		return same
	}
	if l.interned == nil || len(l.interned) >= maxInterned {
		l.interned = make(map[string]map[string]string)
	}
	l.interned[string(key)] = m
	return m
}

// groupReserves sorts the targets of large pools out; the caller holds the lock.
func (l *targetList) groupReserves() {
	count := make(map[string]int)
	for _, t := range l.targets {
		count[t.Seen.Labels[LabelPool]]++
	}
	l.reserves = make(map[string][]listedTarget)
	for _, t := range l.targets {
		if pool := t.Seen.Labels[LabelPool]; count[pool] > largePoolSize {
			if l.reserves[pool] == nil {
				l.reserves[pool] = make([]listedTarget, 0, count[pool])
			}
			l.reserves[pool] = append(l.reserves[pool], t)
		}
	}
}

// Size implements [route.Reserve].
func (l *targetList) Size(pool string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.reserves[pool])
}

// Best implements [route.Reserve].
func (l *targetList) Best(pool string, k int, rank func(hash uint64) uint64) []*route.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := make([]*route.Entry, 0, k)
	ranks := make([]uint64, 0, k)
	for _, t := range l.reserves[pool] {
		if t.Seen.Leaving {
			continue
		}
		r := rank(t.hash)
		if len(best) == k && r <= ranks[k-1] {
			continue
		}
		i, _ := slices.BinarySearchFunc(ranks, r, func(a, b uint64) int { return cmp.Compare(b, a) })
		if len(best) == k {
			best, ranks = best[:k-1], ranks[:k-1]
		}
		best, ranks = slices.Insert(best, i, t.Entry), slices.Insert(ranks, i, r)
	}
	return best
}

// Get implements [route.Reserve].
func (l *targetList) Get(addr netip.AddrPort) *route.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.targets[addr].Entry
}

// forBoard returns the targets that the board has or is to have: all but those of large pools
// that it does not use.
func (l *targetList) forBoard(uses func(addr netip.AddrPort) bool) []*route.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*route.Entry
	for addr, t := range l.targets {
		if len(l.reserves[t.Seen.Labels[LabelPool]]) == 0 || uses(addr) {
			out = append(out, t.Entry)
		}
	}
	slices.SortFunc(out, func(a, b *route.Entry) int { return a.Seen.Addr.Compare(b.Seen.Addr) })
	return out
}

var _ route.TargetIndex = (*targetList)(nil)
