package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// The backoff after failed store calls. A node whose relay responds uses the long pause at once:
// the relays keep trying and share what they read, so such a node learns of the store's return from
// them.
const (
	minRetry     = 60 * time.Millisecond
	maxRetry     = 600 * time.Millisecond
	relayedRetry = 2400 * time.Millisecond
)

// backoff computes growing pauses after failures.
type backoff struct{ next time.Duration }

// failed returns the pause after a failure; relayed is set if a relay responds to the node.
func (b *backoff) failed(relayed bool) time.Duration {
	if relayed {
		b.next = maxRetry
		return relayedRetry
	}
	b.next = min(max(2*b.next, minRetry), maxRetry)
	return b.next
}

func (b *backoff) ok() { b.next = 0 }

// watchLoop watches the declaration. Each answer brings changes or confirms that there are none.
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
			if !pause(ctx, n.jitter(retry.failed(n.relays.relayResponds()))) {
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
			// This node may have been too late for a valid one that others have.
			n.fetchFromPeers(ctx)
		}
		if cursor == changes.Cursor && n.now.Since(begun) < hold/2 {
			// The store did not hold the call; without a pause this loop would spin.
			pause(ctx, n.jitter(hold/2))
		}
		cursor = changes.Cursor
	}
}

// checkEra handles the restore of the store from an older copy since the last call. What this node
// wrote may be lost. The lease is read again before use, since its revision is of another era. Held
// requests are recorded again here, and the record in the lease with its next renewal. Entries of
// targets may be missing as after any other outage.
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

// unknownEra is the era before the store's first answer.
const unknownEra = -1

// followCheckInterval is how often a node that follows a relay checks whether it still does, which
// changes only with reports to relays.
const followCheckInterval = reportInterval

// watchHold returns the long-poll duration of a watch.
func (n *Node) watchHold() time.Duration {
	if n.relays.isRelay() {
		return fraction(n.settings().Bounds.Revoke, relayWatchFraction)
	}
	return fraction(n.settings().Bounds.Revoke, watchFraction)
}

// applyChanges applies the result of a watch that began at begun.
func (n *Node) applyChanges(begun time.Time, c Changes) {
	if c.Rejected != nil {
		n.events.Record(event.Event{Code: event.ConfigRejected, Revision: c.Unreadable, Detail: c.Rejected.Error()})
	}
	unreadable := c.Unreadable
	if c.Declared != nil && !n.adopt(*c.Declared, "the store") {
		unreadable = c.Declared.Revision
	}
	n.Lock()
	defer n.Unlock()
	for _, o := range c.Rollouts {
		n.Board().StartRollout(n.now(), o)
	}
	switch {
	case unreadable > 0:
		n.adoption.Unreadable(unreadable)
	case c.Declared != nil:
		n.adoption.Readable()
	}
	n.adoption.Confirm(begun, n.adoption.Revision())
}

// adopt puts a configuration in force if it is newer than the present one. It returns false if the
// configuration does not compile.
func (n *Node) adopt(d Declared, source string) bool {
	d.Config.Requests.RetryBudget = n.settings().Bounds.RetryRatio
	d.Config.Requests.RetryReserve = n.settings().Bounds.RetryReserve
	d.Config.Requests.RetryWindow = policy.Duration(n.settings().Bounds.RetryWindow)
	d.Config.Requests.LimitOverage = n.settings().Bounds.LimitOverage
	d.Config.Requests.LimitSlack = n.settings().Bounds.LimitSlack
	d.Limits = d.Limits.orDefault()
	d.Config.Requests.MaxBody = policy.Bytes(d.Limits.MaxBody)
	d.Config.Placement = policy.Placement{RecomputeWeight: recomputeWeight, Horizon: policy.Duration(n.settings().Bounds.ReuseWindow)}
	snap, err := policy.Compile(d.Config, d.Revision)
	if err != nil {
		n.events.Record(event.Event{Code: event.ConfigRejected, Revision: d.Revision, Detail: err.Error()})
		return false
	}
	adopted := false
	n.Do(func(b *route.Board, now time.Time) []route.Action {
		if d.Revision <= n.adoption.Revision() {
			return nil
		}
		adopted = true
		n.adoption.Adopted(d.Revision)
		n.adoptedAt = now
		n.document = fleet.Document{Revision: d.Revision, Text: d.Text, Author: source}
		n.limits = d.Limits
		n.unreadEntries = len(d.Invalid)
		n.list.setFixed(d.Fixed)
		return b.Adopt(now, snap)
	})
	if adopted {
		n.events.Record(event.Event{Code: event.ConfigAdopted, Revision: d.Revision, Detail: "from " + source})
		n.logInvalidConfig(d)
	}
	return true
}

// logInvalidConfig logs the first entries of a configuration that could not be read.
func (n *Node) logInvalidConfig(d Declared) {
	for _, err := range d.Invalid[:min(len(d.Invalid), maxInvalidLogged)] {
		n.events.Record(event.Event{Code: event.ConfigEntryInvalid, Revision: d.Revision, Detail: err.Error()})
	}
}

// Placement settings that the installation's configuration leaves to the node.
const (
	// recomputeWeight is the cost of a second of prefill in seconds of waiting. Recomputing a
	// thousand tokens costs a third of a request's benefit, and an engine does it in some 18 ms,
	// while an answer that is 300 ms late loses two thirds.
	recomputeWeight = 1.0
)

// setStoreState records whether the store answers.
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

// overdue reports whether a newer configuration has been known for so long that this node reads it
// from the store itself, even if it follows a relay. If something keeps the relays from passing it
// on, the rest of the apply bound is left for reading it.
func (n *Node) overdue() bool {
	s := n.configStatus()
	return s.behind && s.age > fraction(n.settings().Bounds.Apply, overdueFraction)
}

// configStatus is what the node may do under its present configuration.
type configStatus struct {
	// age is the time since the configuration was last known to be the newest.
	age time.Duration
	// behind is set if a newer configuration is known. outdated is set if it may have been in force
	// for so long that nothing may be served under the present one.
	behind, outdated bool
	// keysConfirmed is set if requests with a key may be served.
	keysConfirmed bool
}

// configStatus returns the current status of the configuration.
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

// sweepLoop closes connections that are idle, slow or no longer needed, and logs suspensions of the
// VM.
func (n *Node) sweepLoop(ctx context.Context) {
	began := n.suspendedTime()
	for pause(ctx, sweepInterval) {
		if d := n.suspendedTime() - began; d >= minSuspendedLogged {
			began += d
			n.events.Record(event.Event{Code: event.ProcessSuspended, Detail: "for " + d.Round(time.Millisecond).String()})
		}
		n.conns.Sweep(n.list.has)
		n.handoffs.Sweep(func(netip.AddrPort) bool { return true })
		now, limits := time.Now(), n.callerLimits()
		n.callers.closeIdle(now.Add(-limits.IdleTime), closedIdle)
		n.callers.closeSlowHeaders(now.Add(-limits.HeaderTime))
		n.counters.idleClosed.Add(n.callers.closeExcessIdle(now, n.memory.idleConns()))
	}
}

// suspendedTime returns how far the node's clock is ahead of the monotonic clock, which stops while
// the VM is suspended.
func (n *Node) suspendedTime() time.Duration { return time.Until(n.now()) }

// minSuspendedLogged is the shortest suspension that is logged.
const minSuspendedLogged = 50 * time.Millisecond

// sweepInterval is the time between two checks for idle and slow connections, which may stay open
// longer by that.
const sweepInterval = time.Second
