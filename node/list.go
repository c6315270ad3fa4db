package node

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// targetList is the list of targets as it was last read.
type targetList struct {
	mu      sync.Mutex
	targets map[netip.AddrPort]listedTarget
	// reserves are the targets of large pools, by their service.
	reserves map[string][]listedTarget
	// maps are the labels and weights that entries have, each kept once.
	interned map[string]map[string]string
	// partial says that the list has more targets than the store gives at once.
	partial bool
	failing bool
	// backAt is when the store answered again after it had failed.
	backAt time.Time
	// readAt is when the newest reading began.
	readAt time.Time
	// missing says since when targets are kept that the readings lack.
	missing map[netip.AddrPort]time.Time
	// conns is how many connections this node may open to one target of a service.
	conns map[string]int
	// fixed are targets that stand in the configuration.
	fixed []*route.Entry
	// beats are the revisions of the targets' entries that the board was told of.
	heartbeats map[netip.AddrPort]int64
}

// setFixed takes the targets that stand in the configuration.
func (l *targetList) setFixed(ts []route.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fixed = nil
	for _, t := range ts {
		l.fixed = append(l.fixed, &t)
	}
}

// relistGrace is how long after the store's return targets' entries may still be
// missing although the targets live: those that lapsed are back within two seconds.
const relistGrace = 2200 * time.Millisecond

// outageGap is the time between two readings from which the store counts as having
// been away for a node that a relay tells: entries lapse after three signs of life
// are missing. That its own readings failed says no more than that its path did.
const outageGap = 2400 * time.Millisecond

// merge takes a new reading that began at a time. Of two entries with one address or one
// id the newer counts, by the list's own counter. Targets that are gone stay for a while after an
// outage of the store, but not those whose entry is there and names no target any more. A
// reading that began before the newest one changes nothing.
func (l *targetList) merge(now, at time.Time, read Listing, relayed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.Before(l.readAt) {
		return
	}
	long := !l.readAt.IsZero() && at.Sub(l.readAt) > outageGap
	away := l.failing
	if relayed {
		away = long
	}
	if away {
		l.backAt = now
	}
	l.failing = false
	l.readAt = at
	fresh := make(map[netip.AddrPort]listedTarget, len(read.Targets))
	there := make(map[string]bool, len(read.Targets))
	for _, t := range append(l.newest(read.Targets), l.fixed...) {
		there[t.Report.Incarnation.ID()] = true
		if other, ok := fresh[t.Seen.Addr]; !ok || other.Revision < t.Revision {
			fresh[t.Seen.Addr] = l.listed(t)
		}
	}
	for _, f := range read.Invalid {
		there[f.ID] = true
	}
	l.retainMissing(now, long, fresh, there)
	l.targets = fresh
	l.groupReserves()
}

// touch takes a later reading that a relay told as unchanged, and reports whether it is to be
// merged all the same, since what is kept beside it may be over.
func (l *targetList) touch(now, at time.Time) (merge bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readAt.IsZero() || len(l.missing) > 0 || l.failing || at.Sub(l.readAt) > outageGap {
		return true
	}
	if at.After(l.readAt) {
		l.readAt = at
	}
	return false
}

// retainMissing adds to a reading the targets that it lacks and that may still come back
// after an outage. Each stays from the first reading without it, so that readings that
// fail again and again do not keep it for ever. In an outage that is longer than
// entries last none can come back, and that time begins after it. Nor can those come back whose
// id is there, at another address or in an entry that names no target. The caller holds the lock.
func (l *targetList) retainMissing(now time.Time, long bool, fresh map[netip.AddrPort]listedTarget, there map[string]bool) {
	missing := make(map[netip.AddrPort]time.Time)
	for addr, t := range l.targets {
		_, ok := fresh[addr]
		if ok || there[t.Report.Incarnation.ID()] || now.Sub(l.backAt) >= relistGrace {
			continue
		}
		since, ok := l.missing[addr]
		if !ok || long {
			since = now
		}
		if now.Sub(since) < relistGrace {
			fresh[addr], missing[addr] = t, since
		}
	}
	l.missing = missing
}

// newest replaces the entries of a reading that are older than what is known under the same
// id: of two readings under way at once the one that began later may tell the earlier state. The
// caller holds the lock.
func (l *targetList) newest(read []*route.Entry) []*route.Entry {
	known := make(map[string]*route.Entry, len(l.targets))
	for _, t := range l.targets {
		known[t.Report.Incarnation.ID()] = t.Entry
	}
	out := slices.Clone(read)
	for i, t := range out {
		if k, ok := known[t.Report.Incarnation.ID()]; ok && k.Revision > t.Revision {
			out[i] = k
		}
	}
	return out
}

// storeRestored notes that the store came back from an older copy, which may lack entries.
func (l *targetList) storeRestored(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backAt = now
}

// readFailed notes that the list could not be read.
func (l *targetList) readFailed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = true
}

// get returns the targets of the last reading.
func (l *targetList) get() []*route.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*route.Entry, 0, len(l.targets))
	for _, t := range l.targets {
		out = append(out, t.Entry)
	}
	return out
}

// count returns how many targets the last reading had.
func (l *targetList) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.targets)
}

// LabelPool is the label with the name of a target's service.
const LabelPool = "service"

func (l *targetList) maxConns(target netip.AddrPort) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.targets[target]; ok {
		return l.conns[t.Seen.Labels[LabelPool]]
	}
	return 0
}

// setConns takes the bound of connections from this node to one target of each service.
func (l *targetList) setConns(conns map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = conns
}

// nonEmpty reports whether the list was read.
func (l *targetList) nonEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.targets) > 0
}

// has reports whether a target is on the list.
func (l *targetList) has(target netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.targets[target]
	return ok
}

// listLoop reads the list of targets, unless a relay tells it.
func (n *Node) listLoop(ctx context.Context) {
	var (
		retry   backoff
		readers cacheReaders
	)
	for ctx.Err() == nil {
		readers.update(ctx, n)
		if n.defersListRead() {
			pause(ctx, followCheckInterval)
			continue
		}
		begun := n.now()
		read, err := n.store.Targets(ctx, n.list.isLarge())
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.list.readFailed()
			n.setStoreState(err)
			if !pause(ctx, n.jitter(retry.failed(n.relays.hearsRelay()))) {
				return
			}
			continue
		}
		retry.ok()
		if read.Partial {
			n.list.sawPartial()
			continue
		}
		n.logInvalidEntries(read.Invalid)
		n.list.intern(read.Targets)
		n.applyListing(begun, read, false)
		if !pause(ctx, n.jitter(n.listInterval())) {
			return
		}
	}
}

// listInterval is the time between two reads of the list.
func (n *Node) listInterval() time.Duration {
	if n.relays.isRelay() {
		return fraction(n.settings().Bounds.Drain, relayListFraction)
	}
	return fraction(n.settings().Bounds.Drain, listFraction)
}

// applyListing takes a reading of the list that began at a time, by this node or by a
// relay, and gives the board the targets and what those said that showed a sign of
// life since. Others are told what was read, not what this node keeps beside it.
func (n *Node) applyListing(at time.Time, read Listing, relayed bool) {
	read.Targets = n.withoutStores(read.Targets)
	n.list.merge(n.now(), at, read, relayed)
	n.relays.publish(at, read.Targets)
	n.Do(func(b *route.Board, now time.Time) []route.Action {
		list := n.list.forBoard(b.HasTarget)
		all := make([]route.ListedTarget, 0, len(list))
		for _, t := range list {
			seen := t.Seen
			seen.Incarnation = t.Report.Incarnation
			all = append(all, seen)
		}
		out := b.SetTargets(now, all)
		for _, t := range n.list.withNewHeartbeat(list) {
			out = append(out, b.Report(now, t.Seen.Addr, t.Report)...)
		}
		return out
	})
	n.divideConns()
	n.weights.notify()
}

// withoutStores drops the entries that name a store of KV cache as their service: such
// stores are on no list, so that another writer made them, and parts would be saved there.
func (n *Node) withoutStores(read []*route.Entry) []*route.Entry {
	snap := n.snapshot()
	if snap == nil {
		return read
	}
	return slices.DeleteFunc(slices.Clone(read), func(t *route.Entry) bool {
		p, ok := snap.Pool(t.Seen.Labels[LabelPool])
		return ok && p.Kind == policy.KindKept
	})
}

// withNewHeartbeat returns the targets that showed a sign of life since the last call.
func (l *targetList) withNewHeartbeat(list []*route.Entry) []*route.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*route.Entry
	beats := make(map[netip.AddrPort]int64, len(list))
	for _, t := range list {
		if l.heartbeats[t.Seen.Addr] != t.Revision {
			out = append(out, t)
		}
		beats[t.Seen.Addr] = t.Revision
	}
	l.heartbeats = beats
	return out
}

// divideConns divides the connections that each target takes by the nodes.
func (n *Node) divideConns() {
	snap := n.snapshot()
	if snap == nil {
		return
	}
	nodes := n.fleetSize()
	conns := make(map[string]int)
	for _, p := range snap.Pools() {
		if p.MaxConns > 0 {
			conns[p.Name] = max(1, p.MaxConns/nodes)
		}
	}
	n.list.setConns(conns)
}
