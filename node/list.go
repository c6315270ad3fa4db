package node

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// targetList is the list of targets as of the last reading.
type targetList struct {
	mu      sync.Mutex
	targets map[netip.AddrPort]listedTarget
	// reserves are the targets of large pools, by service.
	reserves map[string][]listedTarget
	// interned holds one copy of each distinct map of labels or weights, by its encoding.
	interned map[string]map[string]string
	// partial is set if the list has more targets than the store returns in one page.
	partial bool
	// failedAt is when a read of this node last failed.
	failedAt time.Time
	// backAt is when the store became available again after a failure.
	backAt time.Time
	// readAt is when the newest reading began, relayedAt when the newest one of another node began.
	readAt, relayedAt time.Time
	// steadyFrom is since when the list has been read, by this or other nodes, without an outage.
	steadyFrom time.Time
	// missing maps targets that are kept although the readings lack them to the time of the first
	// reading without them.
	missing map[netip.AddrPort]time.Time
	// conns is the number of connections that this node may open to one target, by service.
	conns map[string]int
	// fixed are the targets named in the configuration.
	fixed []*route.Entry
	// borrowed is set from the first list taken from another node until this node reads it itself.
	borrowed bool
	// heartbeats are the entry revisions last reported to the board.
	heartbeats map[netip.AddrPort]int64
}

// setFixed sets the targets named in the configuration.
func (l *targetList) setFixed(ts []route.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fixed = nil
	for _, t := range ts {
		l.fixed = append(l.fixed, &t)
	}
}

// relistGrace is how long after the store became available again the entries of live targets may be
// missing: entries that expired are back within two seconds.
const relistGrace = 2200 * time.Millisecond

// outageGap is the time between two readings from relays that counts as an outage of the store,
// since an entry expires after three missed heartbeats. Failed reads of this node do not count
// then: they only show that its own path to the store failed.
const outageGap = 2400 * time.Millisecond

// listReading describes a reading of the list.
type listReading struct {
	// at is when it began.
	at time.Time
	// relayed is set if another node read it.
	relayed bool
	// steady is the time before this reading in which other nodes read the list without an outage of
	// the store.
	steady time.Duration
}

// settled reports whether all entries that expired in an outage of the store are back.
func (r listReading) settled() bool { return r.relayed && r.steady >= relistGrace }

// merge applies a reading. Of two entries with the same address or id the one with the higher
// revision of the list counts. After an outage of the store, targets that the reading lacks are kept
// for a while, unless their entry exists but is invalid; merge returns those that the reading before
// had. A reading that began before the newest one is ignored.
func (l *targetList) merge(r listReading, read Listing) (retained []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.at.Before(l.readAt) {
		return nil
	}
	known := l.missing
	longGap := l.gapBefore(r.at)
	l.observeOutage(r, longGap)
	l.advance(r)
	fresh := make(map[netip.AddrPort]listedTarget, len(read.Targets))
	present := make(map[string]bool, len(read.Targets))
	for _, t := range append(l.newest(read.Targets), l.fixed...) {
		present[t.Report.Incarnation.ID()] = true
		if other, ok := fresh[t.Seen.Addr]; !ok || other.Revision < t.Revision {
			fresh[t.Seen.Addr] = l.listed(t)
		}
	}
	for _, f := range read.Invalid {
		present[f.ID] = true
	}
	l.retainMissing(r.at, longGap, fresh, present)
	l.targets = fresh
	l.groupReserves()
	for addr := range l.missing {
		if _, ok := known[addr]; !ok {
			retained = append(retained, addr)
		}
	}
	return retained
}

// gapBefore reports whether entries may have expired in an outage between the newest reading and one
// that begins at the time at. The caller holds l.mu.
func (l *targetList) gapBefore(at time.Time) bool {
	return !l.readAt.IsZero() && at.Sub(l.readAt) > outageGap
}

// observeOutage records whether a reading follows an outage of the store. A failed read of this node
// only shows that its own path to the store failed if another node read the list meanwhile. The
// caller holds l.mu.
func (l *targetList) observeOutage(r listReading, longGap bool) {
	outage := l.readFailing() && r.at.Sub(l.relayedAt) > outageGap
	if r.relayed {
		outage = longGap
	}
	switch {
	case r.settled():
		l.backAt = time.Time{}
	case outage:
		l.backAt = r.at
	}
	if steadyFrom := r.at.Add(-r.steady); outage || longGap || steadyFrom.Before(l.steadyFrom) || l.steadyFrom.IsZero() {
		l.steadyFrom = steadyFrom
	}
}

// readFailing reports whether a read of this node failed since the newest reading began. The caller
// holds l.mu.
func (l *targetList) readFailing() bool {
	return !l.failedAt.IsZero() && !l.failedAt.Before(l.readAt)
}

// advance records a reading as the newest one. The caller holds l.mu.
func (l *targetList) advance(r listReading) {
	l.readAt = r.at
	if r.relayed {
		l.relayedAt = r.at
	} else {
		l.borrowed = false
	}
}

// touch records a later reading that a relay reported as unchanged. It reports whether the reading
// must be merged nevertheless, because targets missing from it may have to be removed.
func (l *targetList) touch(r listReading) (merge bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readAt.IsZero() || len(l.missing) > 0 || l.gapBefore(r.at) {
		return true
	}
	if r.at.After(l.readAt) {
		l.advance(r)
	}
	return false
}

// retainMissing adds to a reading that began at the time at the targets that it lacks and that may
// still come back after an outage. Each is kept up to the first reading that begins relistGrace after
// the first one without it, so that repeated failures do not keep it forever. During an outage longer
// than the lifetime of entries none can come back, so the time starts after it. A target whose id is
// present, at another address or in an invalid entry, is not kept. The caller holds l.mu.
func (l *targetList) retainMissing(at time.Time, longGap bool, fresh map[netip.AddrPort]listedTarget, present map[string]bool) {
	missing := make(map[netip.AddrPort]time.Time)
	for addr, t := range l.targets {
		_, ok := fresh[addr]
		if ok || present[t.Report.Incarnation.ID()] || at.Sub(l.backAt) >= relistGrace {
			continue
		}
		since, ok := l.missing[addr]
		if !ok || longGap {
			since = at
		}
		if at.Sub(since) < relistGrace {
			fresh[addr], missing[addr] = t, since
		}
	}
	l.missing = missing
}

// newest replaces entries of a reading that are older than the known entry with the same id: of two
// concurrent readings the one that began later may return the earlier state. The caller holds l.mu.
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

// storeRestored records that the store was restored from an older copy, which may lack entries.
func (l *targetList) storeRestored(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backAt, l.steadyFrom = now, now
}

// readFailed records that the list could not be read.
func (l *targetList) readFailed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedAt = now
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

// count returns the number of targets in the last reading.
func (l *targetList) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.targets)
}

// LabelPool is the label that names a target's service.
const LabelPool = "service"

func (l *targetList) maxConns(target netip.AddrPort) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.targets[target]; ok {
		return l.conns[t.Seen.Labels[LabelPool]]
	}
	return 0
}

// setConns sets the number of connections that this node may open to one target of each service.
func (l *targetList) setConns(conns map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = conns
}

// nonEmpty reports whether the list has any targets.
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

// listLoop reads the list of targets unless a relay provides it.
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
			n.list.readFailed(n.now())
			n.setStoreState(err)
			if !pause(ctx, n.jitter(retry.failed(n.relays.relayResponds()))) {
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
		n.applyListing(listReading{at: begun}, read)
		if !pause(ctx, n.jitter(n.listInterval())) {
			return
		}
	}
}

// listInterval returns the time between two reads of the list.
func (n *Node) listInterval() time.Duration {
	if n.relays.isRelay() {
		return fraction(n.settings().Bounds.Drain, relayListFraction)
	}
	return fraction(n.settings().Bounds.Drain, listFraction)
}

// applyListing applies a reading of the list by this or another node. It passes the targets to the
// board, with the reports of those that sent a heartbeat since. Other nodes receive the reading
// itself, without the targets that this node retains.
func (n *Node) applyListing(r listReading, read Listing) {
	read.Targets = n.withoutStores(read.Targets)
	age := n.list.age(r.at)
	for _, target := range n.list.merge(r, read) {
		n.events.Record(event.Event{Code: event.TargetRetained, Target: target.String(), Detail: "the reading before is " + age.Round(time.Millisecond).String() + " older"})
	}
	n.relays.publish(r.at, read.Targets)
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
	n.releases.setListed(r.at)
	n.divideConns()
	n.weights.notify()
}

// withoutStores drops entries that name a KV cache store as their service. Such stores are never on
// the list, so another writer made the entry, and parts would be exported to it.
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

// withNewHeartbeat returns the targets that sent a heartbeat since the last call.
func (l *targetList) withNewHeartbeat(list []*route.Entry) []*route.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*route.Entry
	heartbeats := make(map[netip.AddrPort]int64, len(list))
	for _, t := range list {
		if l.heartbeats[t.Seen.Addr] != t.Revision {
			out = append(out, t)
		}
		heartbeats[t.Seen.Addr] = t.Revision
	}
	l.heartbeats = heartbeats
	return out
}

// divideConns divides the connections that each target accepts among the nodes.
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
