package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// The pauses after a failed call to the store, which grow from the first to the last.
const (
	firstRetry = 60 * time.Millisecond
	lastRetry  = 600 * time.Millisecond
)

// backoff grows the pause after failures.
type backoff struct{ next time.Duration }

func (b *backoff) failed() time.Duration {
	b.next = min(max(2*b.next, firstRetry), lastRetry)
	return b.next
}

func (b *backoff) ok() { b.next = 0 }

// watchLoop follows the declaration: each answer brings what changed or confirms
// that nothing did.
func (n *Node) watchLoop(ctx context.Context) {
	var (
		cursor int64
		retry  backoff
	)
	hold := part(n.settings().Bounds.Revoke, watchPart)
	for ctx.Err() == nil {
		begun := time.Now()
		changes, err := n.store.Watch(ctx, cursor, hold)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			cursor = 0
			n.events.Record(event.Event{Code: event.StoreHistoryGone, Detail: err.Error()})
			continue
		case err != nil:
			n.storeState(err)
			n.fetchFromPeers(ctx)
			if !pause(ctx, n.jitter(retry.failed())) {
				return
			}
			continue
		}
		retry.ok()
		n.storeState(nil)
		n.take(begun, changes)
		if cursor == changes.Cursor && time.Since(begun) < hold/2 {
			// The store did not hold the call; without a pause it would be asked without end.
			pause(ctx, n.jitter(hold/2))
		}
		cursor = changes.Cursor
	}
}

// take puts what a watch brought in force.
func (n *Node) take(begun time.Time, c Changes) {
	if c.Rejected != nil {
		n.events.Record(event.Event{Code: event.ConfigRejected, Detail: c.Rejected.Error()})
	}
	if c.Declared != nil {
		n.adopt(*c.Declared, "the store")
	}
	n.Lock()
	// A configuration that could not be read is not confirmed as known.
	if c.Rejected == nil {
		n.adoption.Confirm(begun, n.adoption.Revision())
	}
	n.Unlock()
	for _, name := range c.Named {
		n.named(name)
	}
}

func (n *Node) named(name Naming) {
	fresh := false
	n.Do(func(b *route.Board, now time.Time) []route.Action {
		before := b.NewestWeights(name.Model)
		b.Name(now, name.Model, name.Weights)
		fresh = b.NewestWeights(name.Model) != before
		return nil
	})
	if fresh {
		n.events.Record(event.Event{Code: event.WeightsNamed, Detail: name.Model + " " + name.Weights})
		n.duty.poke()
	}
}

// adopt serves under a configuration if it is newer than the present one and compiles.
func (n *Node) adopt(d Declared, source string) {
	d.Config.Requests.RetryBudget = n.settings().Bounds.RetryRatio
	d.Config.Requests.RetryReserve = n.settings().Bounds.RetryReserve
	d.Config.Requests.RetryWindow = policy.Duration(n.settings().Bounds.RetryWindow)
	d.Config.Requests.MaxBody = policy.Bytes(d.Limits.MaxBody)
	d.Config.Placement = policy.Placement{RecomputeWeight: recomputeWeight, Horizon: policy.Duration(n.settings().Bounds.Again)}
	snap, err := policy.Compile(d.Config, d.Revision)
	if err != nil {
		n.events.Record(event.Event{Code: event.ConfigRejected, Revision: d.Revision, Detail: err.Error()})
		return
	}
	adopted := false
	n.Do(func(b *route.Board, now time.Time) []route.Action {
		if d.Revision <= n.adoption.Revision() {
			return nil
		}
		adopted = true
		n.adoption.Adopted(d.Revision)
		n.document = fleet.Document{Revision: d.Revision, Text: d.Text, Author: source}
		n.limits = d.Limits.orDefault()
		n.list.setFixed(d.Fixed)
		return b.Adopt(now, snap)
	})
	if adopted {
		n.events.Record(event.Event{Code: event.ConfigAdopted, Revision: d.Revision, Detail: "from " + source})
	}
}

// The policy that the installation's configuration leaves to the system.
const (
	// recomputeWeight is the price of a prefill second in seconds of waiting. A
	// thousand tokens read again cost a third of a request's benefit, and an engine
	// reads them in some 18 ms, while an answer 300 ms late loses two thirds.
	recomputeWeight = 1.0
)

// fetchFromPeers asks peers for a newer configuration while the store does not answer.
func (n *Node) fetchFromPeers(ctx context.Context) {
	n.Lock()
	behind := n.adoption.Revision() == 0 || n.adoption.Wanted() > n.adoption.Revision()
	n.Unlock()
	if !behind {
		return
	}
	for _, addr := range n.gossip.Sweep(ctx) {
		d, err := n.peers.Config(ctx, addr, n.settings().Name)
		if err != nil {
			continue
		}
		declared, err := n.store.Parse(d.Revision, d.Text)
		if err != nil {
			n.events.Record(event.Event{Code: event.ConfigRejected, Revision: d.Revision, Detail: err.Error()})
			continue
		}
		n.adopt(*declared, "peer "+addr.String())
	}
}

// storeState notes whether the store answers.
func (n *Node) storeState(err error) {
	n.Lock()
	defer n.Unlock()
	was := n.adoption.Word(time.Now()).TableDown
	switch {
	case err != nil && !was:
		n.adoption.TableDown()
		n.events.Record(event.Event{Code: event.StoreDown, Detail: err.Error()})
	case err == nil && was:
		n.adoption.TableUp()
		n.events.Record(event.Event{Code: event.StoreBack})
	}
}

// confirmed returns how old the newest confirmation of the configuration is, and
// whether the node may serve requests with a key.
func (n *Node) confirmed() (age time.Duration, current bool) {
	n.Lock()
	defer n.Unlock()
	now := time.Now()
	at := n.adoption.Confirmed()
	if at.IsZero() {
		return time.Hour, false
	}
	return now.Sub(at), n.adoption.Serving(now)
}

// targetList is the list of targets as it was last read.
type targetList struct {
	mu      sync.Mutex
	targets map[netip.AddrPort]Target
	// missing are targets that are on the list no more, with the time since which they are not.
	missing map[netip.AddrPort]time.Time
	failing bool
	// backAt is when the store answered again after it had failed.
	backAt time.Time
	readAt time.Time
	conns  map[netip.AddrPort]int
	// fixed are targets that stand in the configuration.
	fixed []Target
}

// setFixed takes the targets that stand in the configuration.
func (l *targetList) setFixed(ts []Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fixed = ts
}

// relistTime is how long after the store's return targets' entries may still be
// missing although the targets live: those that lapsed are back within two seconds.
const relistTime = 2200 * time.Millisecond

// merge takes a new reading. Of two entries with one address the newer counts.
// Targets that are gone stay for a while after an outage of the store.
func (l *targetList) merge(now time.Time, read []Target) []Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		l.failing = false
		l.backAt = now
	}
	l.readAt = now
	fresh := make(map[netip.AddrPort]Target, len(read))
	for _, t := range append(read, l.fixed...) {
		if other, ok := fresh[t.Seen.Addr]; !ok || other.Revision < t.Revision {
			fresh[t.Seen.Addr] = t
		}
	}
	if now.Sub(l.backAt) < relistTime {
		for addr, t := range l.targets {
			if _, ok := fresh[addr]; !ok {
				fresh[addr] = t
			}
		}
	}
	l.targets = fresh
	out := make([]Target, 0, len(fresh))
	for _, t := range fresh {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b Target) int { return a.Seen.Addr.Compare(b.Seen.Addr) })
	return out
}

// failed notes that the list could not be read.
func (l *targetList) failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = true
}

// get returns the targets of the last reading.
func (l *targetList) get() []Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Target, 0, len(l.targets))
	for _, t := range l.targets {
		out = append(out, t)
	}
	return out
}

// labelPool is the label with the name of a target's service.
const labelPool = "service"

func (l *targetList) maxConns(target netip.AddrPort) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[target]
}

// setConns takes each target's bound of connections from this node.
func (l *targetList) setConns(conns map[netip.AddrPort]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = conns
}

// has reports whether a target is on the list.
func (l *targetList) has(target netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.targets[target]
	return ok
}

// listLoop reads the list of targets.
func (n *Node) listLoop(ctx context.Context) {
	var (
		retry   backoff
		readers cacheReaders
	)
	every := part(n.settings().Bounds.Drain, listPart)
	seen := make(map[netip.AddrPort]int64)
	for ctx.Err() == nil {
		read, err := n.store.Targets(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.list.failed()
			n.storeState(err)
			if !pause(ctx, n.jitter(retry.failed())) {
				return
			}
			continue
		}
		retry.ok()
		list := n.list.merge(time.Now(), read)
		n.takeList(list, seen)
		readers.follow(ctx, n, list)
		if !pause(ctx, n.jitter(every)) {
			return
		}
	}
}

// takeList gives the board the targets, and what those said that showed a sign of life since.
func (n *Node) takeList(list []Target, seen map[netip.AddrPort]int64) {
	n.Do(func(b *route.Board, now time.Time) []route.Action {
		all := make([]route.Seen, 0, len(list))
		for _, t := range list {
			all = append(all, t.Seen)
		}
		out := b.Targets(now, all)
		for _, t := range list {
			if seen[t.Seen.Addr] != t.Revision {
				seen[t.Seen.Addr] = t.Revision
				out = append(out, b.Report(now, t.Seen.Addr, t.Report)...)
			}
		}
		return out
	})
	n.shareConns(list)
	n.duty.poke()
}

// shareConns divides the connections that each target takes by the nodes.
func (n *Node) shareConns(list []Target) {
	snap := n.snapshot()
	if snap == nil {
		return
	}
	nodes := 1 + len(n.gossip.Live())
	conns := make(map[netip.AddrPort]int, len(list))
	for _, t := range list {
		if p, ok := snap.Pool(t.Seen.Labels[labelPool]); ok && p.MaxConns > 0 {
			conns[t.Seen.Addr] = max(1, p.MaxConns/nodes)
		}
	}
	n.list.setConns(conns)
}

// sweepLoop closes connections that are of no more use.
func (n *Node) sweepLoop(ctx context.Context) {
	for pause(ctx, sweepEvery) {
		n.conns.Sweep(n.list.has)
		n.Lock()
		idle := n.limits.IdleTime
		n.Unlock()
		n.callers.closeIdle(time.Now().Add(-idle))
	}
}

// sweepEvery is the time between two looks for idle connections.
const sweepEvery = 2 * time.Second

// describe renders marks for a log line.
func describe(ts []fleet.RollTarget) string {
	names := make([]string, 0, len(ts))
	for _, t := range ts {
		names = append(names, t.Addr.String())
	}
	return fmt.Sprintf("%d: %s", len(ts), strings.Join(names, ", "))
}
