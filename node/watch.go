package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// The pauses after a failed call to the store, which grow from the first to the last.
// A node that hears a relay makes the long one at once: relays try for it, and take what
// they can't read from each other, so that it hears of the store's return from them.
const (
	minRetry     = 60 * time.Millisecond
	maxRetry     = 600 * time.Millisecond
	relayedRetry = 2400 * time.Millisecond
)

// backoff grows the pause after failures.
type backoff struct{ next time.Duration }

// failed returns the pause after a failure of a node that hears a relay or does not.
func (b *backoff) failed(relayed bool) time.Duration {
	if relayed {
		b.next = maxRetry
		return relayedRetry
	}
	b.next = min(max(2*b.next, minRetry), maxRetry)
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
	for ctx.Err() == nil {
		if n.relays.followsRelay() && !n.overdue() {
			pause(ctx, followCheckInterval)
			continue
		}
		hold := n.watchHold()
		before := n.newestWeights()
		begun := n.now()
		changes, err := n.store.Watch(ctx, cursor, hold)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			cursor = 0
			n.events.Record(event.Event{Code: event.StoreHistoryGone, Detail: err.Error()})
			continue
		case err != nil:
			n.setStoreState(err)
			n.fetchFromPeers(ctx)
			if !pause(ctx, n.jitter(retry.failed(n.relays.hearsRelay()))) {
				return
			}
			continue
		}
		retry.ok()
		n.setStoreState(nil)
		n.checkEra()
		n.applyChanges(begun, changes)
		n.applyNewestFromWatch(begun, before, cursor == 0, changes)
		if changes.Rejected != nil {
			// Others may have a valid one that this node was too late for.
			n.fetchFromPeers(ctx)
		}
		if cursor == changes.Cursor && n.now.Since(begun) < hold/2 {
			// The store did not hold the call; without a pause it would be asked without end.
			pause(ctx, n.jitter(hold/2))
		}
		cursor = changes.Cursor
	}
}

// checkEra looks whether the store came back from an older copy since the last look. What this
// node wrote there may be gone: the lease is read before it is relied on, since its position is
// of another era; what is held back is recorded again here, and notes of the lease with its next
// renewal. Targets' entries may lack as after any other outage.
func (n *Node) checkEra() {
	era := n.store.Era()
	old := n.era.Swap(era)
	if old == unknownEra || era <= old {
		return
	}
	n.events.Record(event.Event{Code: event.StoreReturned, Detail: fmt.Sprintf("era %d after %d", era, old)})
	n.list.storeRestored(n.now())
	n.recordWake.wake()
}

// unknownEra is the era of the store before its first answer.
const unknownEra = -1

// followCheckInterval is how often a node to which a relay tells what the store says looks
// whether it still does: that changes with reports to relays alone.
const followCheckInterval = reportInterval

// watchHold is how long a watch is held.
func (n *Node) watchHold() time.Duration {
	if n.relays.isRelay() {
		return fraction(n.settings().Bounds.Revoke, relayWatchFraction)
	}
	return fraction(n.settings().Bounds.Revoke, watchFraction)
}

// applyChanges puts the configuration in force that a watch brought, which began at begun.
func (n *Node) applyChanges(begun time.Time, c Changes) {
	if c.Rejected != nil {
		n.events.Record(event.Event{Code: event.ConfigRejected, Detail: c.Rejected.Error()})
	}
	if c.Declared != nil {
		n.adopt(*c.Declared, "the store")
	}
	n.Lock()
	for _, o := range c.Rollouts {
		n.Board().StartRollout(n.now(), o)
	}
	// What could not be read is none: the last valid configuration stays in force.
	n.adoption.Confirm(begun, n.adoption.Revision())
	n.Unlock()
}

// adopt serves under a configuration if it is newer than the present one and compiles.
func (n *Node) adopt(d Declared, source string) {
	d.Config.Requests.RetryBudget = n.settings().Bounds.RetryRatio
	d.Config.Requests.RetryReserve = n.settings().Bounds.RetryReserve
	d.Config.Requests.RetryWindow = policy.Duration(n.settings().Bounds.RetryWindow)
	d.Config.Requests.LimitOverage = n.settings().Bounds.LimitOverage
	d.Config.Requests.LimitSlack = n.settings().Bounds.LimitSlack
	d.Config.Requests.MaxBody = policy.Bytes(d.Limits.MaxBody)
	d.Config.Placement = policy.Placement{RecomputeWeight: recomputeWeight, Horizon: policy.Duration(n.settings().Bounds.ReuseWindow)}
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

// setStoreState notes whether the store answers.
func (n *Node) setStoreState(err error) {
	n.Lock()
	defer n.Unlock()
	was := n.adoption.Status(n.now()).TableDown
	switch {
	case err != nil && !was:
		n.adoption.TableDown()
		n.events.Record(event.Event{Code: event.StoreDown, Detail: err.Error()})
	case err == nil && was:
		n.adoption.TableUp()
		n.events.Record(event.Event{Code: event.StoreBack})
	}
}

// overdue reports whether a newer configuration is known for so long that this node reads
// it from the store itself, also where a relay tells what the store says: whatever keeps
// the relays from passing it on, it has the rest of the apply bound for that.
func (n *Node) overdue() bool {
	s := n.configStatus()
	return s.behind && s.age > fraction(n.settings().Bounds.Apply, overdueFraction)
}

// configStatus is what a node may do under the configuration that it has.
type configStatus struct {
	// age is how long ago nothing newer was in force, as far as is known.
	age time.Duration
	// behind says that a newer one is known, outdated that it has been in force for so
	// long, as far as is known, that nothing may be served by this one.
	behind, outdated bool
	// keys says that requests with a key may be served.
	keysConfirmed bool
}

// configStatus returns what the node may do under its configuration now.
func (n *Node) configStatus() configStatus {
	n.Lock()
	defer n.Unlock()
	now := n.now()
	s := configStatus{
		age: time.Hour, behind: n.adoption.Behind(), outdated: n.adoption.Outdated(now), keysConfirmed: n.adoption.Serving(now),
	}
	if at := n.adoption.Current(); !at.IsZero() {
		s.age = now.Sub(at)
	}
	return s
}

// sweepLoop closes connections that are of no more use.
func (n *Node) sweepLoop(ctx context.Context) {
	began := n.suspendedTime()
	for pause(ctx, sweepInterval) {
		if d := n.suspendedTime() - began; d >= minSuspendedLogged {
			began += d
			n.events.Record(event.Event{Code: event.ProcessSuspended, Detail: "for " + d.Round(time.Millisecond).String()})
		}
		n.conns.Sweep(n.list.has)
		now, limits := time.Now(), n.callerLimits()
		n.callers.closeStale(now.Add(-limits.IdleTime), now.Add(-limits.HeaderTime))
	}
}

// suspendedTime is how far the node's clock is ahead of the steady one, which stands still while the VM is suspended.
func (n *Node) suspendedTime() time.Duration { return time.Until(n.now()) }

// minSuspendedLogged is the least time suspended that is logged.
const minSuspendedLogged = 50 * time.Millisecond

// sweepInterval is the time between two looks for idle and slow connections, which may
// stay longer by that.
const sweepInterval = time.Second
