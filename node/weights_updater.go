package node

import (
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

// The times of the duty.
const (
	// leaseTime is how long one write of the lease lasts; it is renewed at half of it.
	leaseTime = 1200 * time.Millisecond
	// orderMargin is how much of the lease must be left for an order to be sent.
	orderMargin = 300 * time.Millisecond
	// weightsInterval is the time between two rounds while targets are being changed.
	weightsInterval = 30 * time.Millisecond
	// idleInterval is the time between two rounds while nothing is to do.
	idleInterval = time.Second
	// deferToLastHolder is how long a node that did not hold the lease last leaves new work to the one that did.
	deferToLastHolder = 700 * time.Millisecond
	// leaseReadInterval is the time between two reads of the lease while another works under it.
	leaseReadInterval = time.Second
	// loadedTTL is how long peers are told of a target's new weights; by then the list says so.
	loadedTTL = 5 * time.Second
)

// leaseName is the lease's key in the store.
const leaseName = "weights"

// weightsUpdater is the node's part in bringing targets to newly named weights.
type weightsUpdater struct {
	n    *Node
	wake chan struct{}
	// calls are the orders and looks under way.
	calls sync.WaitGroup

	// mu guards the fields below; it is taken inside the node's lock, never around it.
	mu     sync.Mutex
	lease  *fleet.Lease
	roll   *fleet.RollingUpdate
	states map[route.TargetKey]TargetState
	// looking are the targets that are being read.
	reading map[route.TargetKey]bool
	holds   []route.TargetKey
	loaded  []loadedNotice
	// workSince is when work was first seen that nobody has done.
	workSince time.Time
	// awaited is true once it was logged that another holds the lease.
	waitLogged bool
	readAt     time.Time
	held       bool
}

// loadedNotice is a word on a target's weights and when it was first said.
type loadedNotice struct {
	route.WeightsUpdate
	at time.Time
}

func newWeightsUpdater(n *Node) *weightsUpdater {
	return &weightsUpdater{
		n:    n,
		wake: make(chan struct{}, 1),
		// The next holder waits for longer than the bound between two holders' orders.
		lease:   fleet.NewLease(leaseName, n.settings().Name+"@"+n.settings().Peers.Addr().String(), leaseTime, n.settings().Bounds.Lease+orderMargin),
		roll:    fleet.NewRollingUpdate(n.rollSettings()),
		states:  make(map[route.TargetKey]TargetState),
		reading: make(map[route.TargetKey]bool),
	}
}

func (n *Node) rollSettings() fleet.UpdateSettings {
	s := fleet.DefaultUpdateSettings()
	if n.off.Has(route.Pairs) {
		s.MaxConcurrent, s.MaxConcurrentFraction = 1, 0
	}
	return s
}

// notify makes the loop look at once.
func (d *weightsUpdater) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// announcement returns what peers are to hear of the duty.
func (d *weightsUpdater) announcement() ([]route.TargetKey, []route.WeightsUpdate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.n.now()
	var words []route.WeightsUpdate
	for _, w := range d.loaded {
		if now.Sub(w.at) < loadedTTL {
			words = append(words, w.WeightsUpdate)
		}
	}
	return d.holds, words
}

// loop reads what the last holder of the lease recorded, and then does the duty while
// there is work and this node holds the lease.
func (d *weightsUpdater) loop(ctx context.Context) {
	defer d.calls.Wait()
	var retry backoff
	// A relay tells what the record says, and more.
	for !d.n.relays.followsRelay() && !d.readLease(ctx) {
		if !pause(ctx, d.n.jitter(retry.failed(d.n.relays.hearsRelay()))) {
			return
		}
	}
	for ctx.Err() == nil {
		wait := idleInterval
		if !d.leftToRelays() {
			if named, targets := d.pendingWork(); len(targets) > 0 && d.hasOutdated(named, targets) {
				wait = d.round(ctx, named, targets)
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

// leftToRelays reports whether the work is left to the relays of a large fleet: each try
// for the lease is a call to the store.
func (d *weightsUpdater) leftToRelays() bool {
	if !d.n.relays.followsRelay() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.held
}

// upToDate reports whether nothing is under way and the list has the newest weights everywhere, so that the
// targets need not be gone through one by one.
func (d *weightsUpdater) upToDate() bool {
	newest := d.n.newestWeights()
	d.mu.Lock()
	under := d.roll.Active() || !d.workSince.IsZero()
	d.mu.Unlock()
	return !under && !d.n.list.anyWeights(func(model, weights string) bool { return route.OlderWeights(weights, newest[model]) })
}

// anyWeights reports whether some target has weights of a kind.
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

// pendingWork returns the newest weights of each model and the targets that serve one; there are none
// while all is quiet.
func (d *weightsUpdater) pendingWork() (map[string]string, []fleet.UpdateTarget) {
	named := make(map[string]string)
	if d.upToDate() {
		return named, nil
	}
	var out []fleet.UpdateTarget
	list := d.n.list.get()
	d.n.Lock()
	defer d.n.Unlock()
	b := d.n.Board()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range list {
		mark := route.TargetKey{Target: t.Seen.Addr, Incarnation: t.Report.Incarnation}
		if t.Report.Leaving {
			continue
		}
		state, asked := d.states[mark]
		for model, weights := range t.Report.Weights {
			named[model] = b.NewestWeights(model)
			rt := fleet.UpdateTarget{
				Addr: t.Seen.Addr, Incarnation: t.Report.Incarnation, Model: model, Weights: weights,
				Orders: fleet.OrdersUnknown,
			}
			if !d.n.off.Has(route.LeastLoaded) {
				rt.Load = b.InFlight(t.Seen.Addr)
			}
			if asked {
				rt.Orders, rt.Busy = state.Orders, state.Busy
				if route.OlderWeights(rt.Weights, state.Weights[model]) {
					rt.Weights = state.Weights[model]
				}
			}
			if w := b.WeightsOf(mark, model); route.OlderWeights(rt.Weights, w) {
				rt.Weights = w
			}
			out = append(out, rt)
		}
	}
	return named, out
}

// hasOutdated reports whether some target has older weights than are named.
func (d *weightsUpdater) hasOutdated(named map[string]string, targets []fleet.UpdateTarget) bool {
	for _, t := range targets {
		if route.OlderWeights(t.Weights, named[t.Model]) {
			return true
		}
	}
	return d.roll.Active()
}

// finish ends the work; each node reads the lease once after it, so that it knows
// from when to count should the holder be lost before the next work.
func (d *weightsUpdater) finish(ctx context.Context) {
	d.mu.Lock()
	was := !d.workSince.IsZero()
	d.workSince = time.Time{}
	d.waitLogged = false
	d.holds = nil
	clear(d.states)
	d.mu.Unlock()
	if was && d.readLease(ctx) {
		d.n.updateBoard()
	}
}

// round takes or renews the lease and does what is due. It returns the pause until the next.
func (d *weightsUpdater) round(ctx context.Context, named map[string]string, targets []fleet.UpdateTarget) time.Duration {
	now := d.n.now()
	d.mu.Lock()
	if d.workSince.IsZero() {
		d.workSince = now
	}
	mine := d.held
	waiting := !mine && now.Sub(d.workSince) < deferToLastHolder && d.heldByOther()
	watching := !mine && now.Sub(d.readAt) < leaseReadInterval
	holds := d.lease.HoldsFor(now, leaseTime/2)
	d.mu.Unlock()
	switch {
	case d.n.stopping.Load() && !d.roll.Active():
		return idleInterval
	case waiting:
		return deferToLastHolder / 4
	case watching:
		return leaseReadInterval / 4
	case !holds && !d.acquireLease(ctx):
		d.logWaiting()
		return leaseReadInterval / 4
	}
	d.runSteps(ctx, named, targets)
	return weightsInterval
}

// logWaiting logs once for each piece of work which holder this node waits for.
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

// heldByOther reports whether another node held the lease last; the caller holds the lock.
func (d *weightsUpdater) heldByOther() bool {
	id, _ := d.lease.Holder()
	return id != "" || d.readAt.IsZero()
}

// readLease reads the lease's row, and takes what its holder recorded of the newest weights.
func (d *weightsUpdater) readLease(ctx context.Context) bool {
	part, sort := d.lease.Key()
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
	var unread error
	if err == nil {
		unread = d.lease.HandleRead(d.n.now(), row, ok)
	}
	note, nodes := d.lease.Note(), d.lease.Processes()
	d.mu.Unlock()
	if err != nil {
		d.n.log.Debug("the lease was not read", "error", err)
		return false
	}
	if unread != nil {
		d.n.log.Warn("the lease's row counts as another's", "error", unread)
	}
	d.applyRecord(note)
	d.n.applyRecordedSize(nodes)
	if held, ok := rowOf(rows, heldRequestsRow); ok {
		d.n.applyHeldRecord(held)
	}
	return true
}

// leaseRowLimit is how many rows stand beside the lease, itself among them: one call reads them all.
const leaseRowLimit = 4

// decodeRow returns the row with a key.
func rowOf(rows []fleet.Row, sort string) (fleet.Row, bool) {
	i := slices.IndexFunc(rows, func(r fleet.Row) bool { return r.Sort == sort })
	if i < 0 {
		return fleet.Row{}, false
	}
	return rows[i], true
}

// acquireLease takes or renews the lease and reports whether it is held.
func (d *weightsUpdater) acquireLease(ctx context.Context) bool {
	d.mu.Lock()
	known := d.lease.Settled()
	d.mu.Unlock()
	if !known || !d.held {
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
			// The answer was lost: reading back at once tells what became of the
			// write while the lease it took still lasts.
			d.readLease(ctx)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	holds := d.lease.HoldsFor(d.n.now(), orderMargin)
	if holds == d.held {
		return holds
	}
	d.held = holds
	if holds {
		d.n.events.Record(event.Event{Code: event.LeaseTaken, Detail: fmt.Sprintf("%s, fence %d", leaseName, d.lease.Fence())})
		return true
	}
	d.roll.Reset()
	d.holds = nil
	d.n.events.Record(event.Event{Code: event.LeaseLost, Detail: leaseName})
	return false
}
