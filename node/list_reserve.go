package node

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/pathhead/pathhead/route"
)

// listedTarget is a target of the list with the hash by which it is ranked. Entries are shared with
// those received from a relay and are not modified.
type listedTarget struct {
	*route.Entry
	hash uint64
}

// largePoolSize is the number of targets above which a pool is large. The board holds only those
// targets of a large pool that it uses.
const largePoolSize = 512

// listed returns an entry with its hash. The caller holds l.mu.
func (l *targetList) listed(e *route.Entry) listedTarget {
	if old, ok := l.targets[e.Seen.Addr]; ok {
		return listedTarget{e, old.hash}
	}
	return listedTarget{e, route.HashAddr(e.Seen.Addr)}
}

// intern replaces the label and weight maps of new, unshared entries with shared copies, since many
// entries have equal maps.
func (l *targetList) intern(entries []*route.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		e.Seen.Labels, e.Report.Weights = l.internMap(e.Seen.Labels), l.internMap(e.Report.Weights)
	}
}

// asRead returns the targets of the last reading, without retained and fixed ones.
func (l *targetList) asRead() []*route.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.withoutRetained()
}

// withoutRetained is asRead for a caller that holds l.mu.
func (l *targetList) withoutRetained() []*route.Entry {
	out := make([]*route.Entry, 0, len(l.targets))
	for addr, t := range l.targets {
		if _, missing := l.missing[addr]; !missing && !slices.Contains(l.fixed, t.Entry) {
			out = append(out, t.Entry)
		}
	}
	return out
}

// maxInterned limits the interned maps: a few for each failure domain and service, and for each set
// of weights in use at a time.
const maxInterned = 1024

// internMap returns the shared copy of a map. The caller holds l.mu.
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

// groupReserves collects the targets of large pools. The caller holds l.mu.
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

// Size implements [route.TargetIndex].
func (l *targetList) Size(pool string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.reserves[pool])
}

// Releases implements [route.TargetIndex].
func (l *targetList) Releases(pool string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.reserves[pool]) == 0 {
		return nil
	}
	out := make(map[string]int)
	for _, t := range l.reserves[pool] {
		if !t.Seen.Leaving {
			out[t.Seen.Release]++
		}
	}
	return out
}

// Best implements [route.TargetIndex].
func (l *targetList) Best(pool string, k int, pin route.ReleasePin, rank func(hash uint64) uint64) []*route.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := make([]*route.Entry, 0, k)
	ranks := make([]uint64, 0, k)
	for _, t := range l.reserves[pool] {
		if t.Seen.Leaving || pin.Set && t.Seen.Release != pin.Release {
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

// Get implements [route.TargetIndex].
func (l *targetList) Get(addr netip.AddrPort) *route.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.targets[addr].Entry
}

// forBoard returns the targets that the board is to hold: all except those of large pools that it
// does not use.
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
