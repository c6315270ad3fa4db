package node

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// Intervals and timeouts of the weights updater.
const (
	// leaseTime is the duration of the lease after each write; it is renewed at half of it.
	leaseTime = 1200 * time.Millisecond
	// orderMargin is the remaining lease time required to send an order.
	orderMargin = 300 * time.Millisecond
	// weightsInterval is the time between two rounds while an update is in progress.
	weightsInterval = 30 * time.Millisecond
	// idleInterval is the time between two rounds while there is nothing to do.
	idleInterval = time.Second
	// deferToLastHolder is how long other nodes leave new work to the last holder of the lease.
	deferToLastHolder = 700 * time.Millisecond
	// leaseReadInterval is the time between two reads of the lease while another node holds it.
	leaseReadInterval = time.Second
	// loadedTTL is how long a target's new weights are announced to peers; after that the list has
	// them.
	loadedTTL = 5 * time.Second
)

// leaseName is the key of the lease in the store.
const leaseName = "weights"

// weightsUpdater brings targets to newly named weights while this node holds the lease.
type weightsUpdater struct {
	n    *Node
	wake chan struct{}
	// calls tracks the orders and state reads in progress.
	calls sync.WaitGroup

	// mu guards the fields below. It may be acquired while the node's lock is held, but not the
	// other way round.
	mu     sync.Mutex
	lease  *fleet.Lease
	update *fleet.RollingUpdate
	states map[route.TargetKey]TargetState
	// reading is the set of targets whose state is being read.
	reading     map[route.TargetKey]bool
	heldTargets []route.TargetKey
	// orderedTargets may still carry out an order that they did not answer.
	orderedTargets []route.TargetKey
	loaded         []loadedNotice
	// workSince is when outdated targets were first seen; zero while there are none.
	workSince time.Time
	// waitLogged is set once the wait for another lease holder has been logged.
	waitLogged bool
	readAt     time.Time
	holdsLease bool
}

// loadedNotice is an update on a target's weights and the time it was first sent.
type loadedNotice struct {
	route.WeightsUpdate
	at time.Time
}

func newWeightsUpdater(n *Node) *weightsUpdater {
	return &weightsUpdater{
		n:    n,
		wake: make(chan struct{}, 1),
		// The next holder waits for longer than the lease bound, the minimum time between the
		// orders of two holders.
		lease:   fleet.NewLease(leaseName, n.settings().Name+"@"+n.settings().Peers.Addr().String(), leaseTime, n.settings().Bounds.Lease+orderMargin),
		update:  fleet.NewRollingUpdate(n.updateSettings()),
		states:  make(map[route.TargetKey]TargetState),
		reading: make(map[route.TargetKey]bool),
	}
}

func (n *Node) updateSettings() fleet.UpdateSettings {
	s := fleet.DefaultUpdateSettings()
	if n.disabled.Has(route.Pairs) {
		s.MaxConcurrent, s.MaxConcurrentFraction = 1, 0
	}
	return s
}

// notify wakes the loop.
func (d *weightsUpdater) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// announcement returns what the node announces to peers: the held targets, which get no new work,
// those that may still carry out an order, and recently loaded weights.
func (d *weightsUpdater) announcement() (held, ordered []route.TargetKey, loaded []route.WeightsUpdate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.n.now()
	for _, w := range d.loaded {
		if now.Sub(w.at) < loadedTTL {
			loaded = append(loaded, w.WeightsUpdate)
		}
	}
	return d.heldTargets, d.orderedTargets, loaded
}

// loop reads the record of the last lease holder. It then updates targets whenever some are
// outdated and this node holds the lease.
func (d *weightsUpdater) loop(ctx context.Context) {
	defer d.calls.Wait()
	var retry backoff
	// A relay passes on the contents of the record and newer data.
	for !d.n.relays.followsRelay() && !d.readLease(ctx) {
		if !pause(ctx, d.n.jitter(retry.failed(d.n.relays.relayResponds()))) {
			return
		}
	}
	for ctx.Err() == nil {
		wait := idleInterval
		if !d.leftToRelays() {
			if newest, targets := d.pendingWork(); len(targets) > 0 && d.hasOutdated(newest, targets) {
				wait = d.round(ctx, newest, targets)
			} else {
				d.finish(ctx)
			}
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-d.wake:
		}
		t.Stop()
	}
}

// leftToRelays reports whether the update is left to the relays of a large fleet, since each
// attempt to acquire the lease is a store call.
func (d *weightsUpdater) leftToRelays() bool {
	if !d.n.relays.followsRelay() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.holdsLease
}

// upToDate reports whether no update is in progress and every target on the list has the newest
// weights. It avoids building the target list.
func (d *weightsUpdater) upToDate() bool {
	newest := d.n.newestWeights()
	d.mu.Lock()
	updating := d.update.Active() || !d.workSince.IsZero()
	d.mu.Unlock()
	return !updating && !d.n.list.anyWeights(func(model, weights string) bool { return route.OlderWeights(weights, newest[model]) })
}

// anyWeights reports whether match holds for the weights of some target.
func (l *targetList) anyWeights(match func(model, weights string) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.targets {
		for model, weights := range t.Report.Weights {
			if match(model, weights) {
				return true
			}
		}
	}
	return false
}

// pendingWork returns the newest weights of each model and the targets that serve a model. Both are
// empty while all targets are up to date.
func (d *weightsUpdater) pendingWork() (map[string]string, []fleet.UpdateTarget) {
	newest := make(map[string]string)
	if d.upToDate() {
		return newest, nil
	}
	var out []fleet.UpdateTarget
	list := d.n.list.get()
	now := d.n.now()
	d.n.Lock()
	defer d.n.Unlock()
	b := d.n.Board()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range list {
		key := route.TargetKey{Target: t.Seen.Addr, Incarnation: t.Report.Incarnation}
		if t.Report.Leaving {
			continue
		}
		state, known := d.states[key]
		for model, weights := range t.Report.Weights {
			newest[model] = b.NewestWeights(model)
			target := fleet.UpdateTarget{
				Addr: t.Seen.Addr, Incarnation: t.Report.Incarnation, Pool: t.Seen.Labels[LabelPool], Model: model, Weights: weights,
				Orders: fleet.OrdersUnknown,
			}
			if !d.n.disabled.Has(route.LeastLoaded) {
				target.Load, target.Pending = b.WorkAt(now, t.Seen.Addr)
				target.MaxHold = fraction(cmp.Or(b.AimAt(t.Seen.Addr), defaultAim), holdFraction)
			}
			if known {
				target.Orders, target.Busy = state.Orders, state.Busy
				if route.OlderWeights(target.Weights, state.Weights[model]) {
					target.Weights = state.Weights[model]
				}
			}
			if w := b.WeightsOf(key, model); route.OlderWeights(target.Weights, w) {
				target.Weights = w
			}
			out = append(out, target)
		}
	}
	return newest, out
}

// hasOutdated reports whether some target has weights older than the newest, or an update is in
// progress.
func (d *weightsUpdater) hasOutdated(newest map[string]string, targets []fleet.UpdateTarget) bool {
	for _, t := range targets {
		if route.OlderWeights(t.Weights, newest[t.Model]) {
			return true
		}
	}
	return d.update.Active()
}

// finish ends an update. Every node then reads the lease once, so that it knows from when to count
// the takeover time if the holder is lost before the next update.
func (d *weightsUpdater) finish(ctx context.Context) {
	d.mu.Lock()
	updating := !d.workSince.IsZero()
	d.workSince = time.Time{}
	d.waitLogged = false
	d.heldTargets, d.orderedTargets = nil, nil
	clear(d.states)
	d.mu.Unlock()
	if updating && d.readLease(ctx) {
		d.n.updateBoard()
	}
}

// round acquires or renews the lease and runs the next update steps. It returns the pause until the
// next round.
func (d *weightsUpdater) round(ctx context.Context, newest map[string]string, targets []fleet.UpdateTarget) time.Duration {
	now := d.n.now()
	d.mu.Lock()
	if d.workSince.IsZero() {
		d.workSince = now
	}
	holdsLease := d.holdsLease
	waiting := !holdsLease && now.Sub(d.workSince) < deferToLastHolder && d.heldByOther()
	watching := !holdsLease && now.Sub(d.readAt) < leaseReadInterval
	holds := d.lease.HoldsFor(now, leaseTime/2)
	d.mu.Unlock()
	switch {
	case d.n.stopping() && !d.update.Active():
		return idleInterval
	case waiting:
		return deferToLastHolder / 4
	case watching:
		return leaseReadInterval / 4
	case !holds && !d.acquireLease(ctx):
		d.logWaiting()
		return leaseReadInterval / 4
	}
	d.runSteps(ctx, newest, targets)
	return weightsInterval
}

// logWaiting logs, once for each update, which lease holder this node waits for.
func (d *weightsUpdater) logWaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waitLogged {
		return
	}
	d.waitLogged = true
	id, fence := d.lease.Holder()
	d.n.events.Record(event.Event{Code: event.LeaseAwaited, Detail: fmt.Sprintf("%s, held last by %q with fence %d", leaseName, id, fence)})
}

// heldByOther reports whether another node held the lease last, or the lease has not been read. The
// caller holds d.mu.
func (d *weightsUpdater) heldByOther() bool {
	id, _ := d.lease.Holder()
	return id != "" || d.readAt.IsZero()
}

// readLease reads the lease row and the rows beside it, and applies the newest weights, the fleet
// size and the crashes recorded there.
func (d *weightsUpdater) readLease(ctx context.Context) bool {
	part, sort := d.lease.Key()
	begun := d.n.now()
	rows, err := d.n.store.Range(ctx, part, "", leaseRowLimit)
	row, ok := rowOf(rows, sort)
	if !ok {
		row.Rev = fleet.Position(d.n.store.Era(), 0)
	}
	if err == nil {
		d.n.checkEra()
	}
	d.mu.Lock()
	d.readAt = d.n.now()
	var invalid error
	if err == nil {
		invalid = d.lease.HandleRead(d.n.now(), row, ok)
	}
	note, nodes := d.lease.Note(), d.lease.Processes()
	d.mu.Unlock()
	if err != nil {
		d.n.log.Debug("reading the lease failed", "error", err)
		return false
	}
	if invalid != nil {
		d.n.log.Warn("invalid lease row, treated as held by another node", "error", invalid)
	}
	d.applyRecord(note)
	d.n.applyRecordedSize(nodes)
	if held, ok := rowOf(rows, heldRequestsRow); ok {
		d.n.applyHeldRecord(held)
	}
	d.n.releases.applyRead(begun, rows)
	return true
}

// leaseRowLimit is the maximum number of rows in the lease's partition; one call reads them all.
const leaseRowLimit = 6

// rowOf returns the row with a sort key.
func rowOf(rows []fleet.Row, sort string) (fleet.Row, bool) {
	i := slices.IndexFunc(rows, func(r fleet.Row) bool { return r.Sort == sort })
	if i < 0 {
		return fleet.Row{}, false
	}
	return rows[i], true
}

// acquireLease acquires or renews the lease and reports whether this node holds it.
func (d *weightsUpdater) acquireLease(ctx context.Context) bool {
	d.mu.Lock()
	known := d.lease.Settled()
	d.mu.Unlock()
	if !known || !d.holdsLease {
		if !d.readLease(ctx) {
			return false
		}
	}
	record, nodes := d.record(), d.n.fleetSize()
	d.mu.Lock()
	begun := d.n.now()
	token := rand.Text()
	d.lease.SetNote(record)
	d.lease.SetProcesses(nodes)
	w, ok := d.lease.Next(begun, token)
	d.mu.Unlock()
	if ok {
		rev, err := d.n.store.Commit(ctx, token, w)
		d.mu.Lock()
		d.lease.HandleWrite(d.n.now(), rev, err)
		settled := d.lease.Settled()
		d.mu.Unlock()
		if !settled {
			// The answer to the write was lost. Reading the row back at once shows whether it
			// succeeded while the lease still lasts.
			d.readLease(ctx)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	holds := d.lease.HoldsFor(d.n.now(), orderMargin)
	if holds == d.holdsLease {
		return holds
	}
	d.holdsLease = holds
	if holds {
		d.n.events.Record(event.Event{Code: event.LeaseTaken, Detail: fmt.Sprintf("%s, fence %d", leaseName, d.lease.Fence())})
		return true
	}
	d.update.Reset()
	d.heldTargets, d.orderedTargets = nil, nil
	d.n.events.Record(event.Event{Code: event.LeaseLost, Detail: leaseName})
	return false
}
