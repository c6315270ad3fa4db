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
	// dutyEvery is the time between two rounds while targets are being changed.
	dutyEvery = 30 * time.Millisecond
	// idleEvery is the time between two rounds while nothing is to do.
	idleEvery = time.Second
	// deferTime is how long a node that did not hold the lease last leaves new work to the one that did.
	deferTime = 700 * time.Millisecond
	// watchLease is the time between two reads of the lease while another works under it.
	watchLease = time.Second
	// loadedKept is how long peers are told of a target's new weights; by then the list says so.
	loadedKept = 5 * time.Second
)

// leaseName is the lease's key in the store.
const leaseName = "weights"

// duty is the node's part in bringing targets to newly named weights.
type duty struct {
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
	looking map[route.TargetKey]bool
	holds   []route.TargetKey
	loaded  []loadedWord
	// workSince is when work was first seen that nobody has done.
	workSince time.Time
	// awaited is true once it was logged that another holds the lease.
	awaited bool
	readAt  time.Time
	held    bool
}

// loadedWord is a word on a target's weights and when it was first said.
type loadedWord struct {
	route.WeightsUpdate
	at time.Time
}

func newDuty(n *Node) *duty {
	return &duty{
		n:    n,
		wake: make(chan struct{}, 1),
		// The next holder waits for longer than the bound between two holders' orders.
		lease:   fleet.NewLease(leaseName, n.settings().Name+"@"+n.settings().Peers.Addr().String(), leaseTime, n.settings().Bounds.Lease+orderMargin),
		roll:    fleet.NewRollingUpdate(n.rollSettings()),
		states:  make(map[route.TargetKey]TargetState),
		looking: make(map[route.TargetKey]bool),
	}
}

func (n *Node) rollSettings() fleet.UpdateSettings {
	s := fleet.DefaultUpdateSettings()
	if n.off.Has(route.Pairs) {
		s.MaxConcurrent, s.MaxConcurrentFraction = 1, 0
	}
	return s
}

// poke makes the loop look at once.
func (d *duty) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// told returns what peers are to hear of the duty.
func (d *duty) told() ([]route.TargetKey, []route.WeightsUpdate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.n.now()
	var words []route.WeightsUpdate
	for _, w := range d.loaded {
		if now.Sub(w.at) < loadedKept {
			words = append(words, w.WeightsUpdate)
		}
	}
	return d.holds, words
}

// loop reads what the last holder of the lease recorded, and then does the duty while
// there is work and this node holds the lease.
func (d *duty) loop(ctx context.Context) {
	defer d.calls.Wait()
	var retry backoff
	// A relay tells what the record says, and more.
	for !d.n.relays.follows() && !d.read(ctx) {
		if !pause(ctx, d.n.jitter(retry.failed(d.n.relays.hears()))) {
			return
		}
	}
	for ctx.Err() == nil {
		wait := idleEvery
		if !d.left() {
			if named, targets := d.work(); len(targets) > 0 && d.due(named, targets) {
				wait = d.round(ctx, named, targets)
			} else {
				d.rest(ctx)
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

// left reports whether the work is left to the relays of a large fleet: each try
// for the lease is a call to the store.
func (d *duty) left() bool {
	if !d.n.relays.follows() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.held
}

// quiet reports whether nothing is under way and the list has the newest weights everywhere, so that the
// targets need not be gone through one by one.
func (d *duty) quiet() bool {
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

// work returns the newest weights of each model and the targets that serve one; there are none
// while all is quiet.
func (d *duty) work() (map[string]string, []fleet.UpdateTarget) {
	named := make(map[string]string)
	if d.quiet() {
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

// due reports whether some target has older weights than are named.
func (d *duty) due(named map[string]string, targets []fleet.UpdateTarget) bool {
	for _, t := range targets {
		if route.OlderWeights(t.Weights, named[t.Model]) {
			return true
		}
	}
	return d.roll.Active()
}

// rest ends the work; each node reads the lease once after it, so that it knows
// from when to count should the holder be lost before the next work.
func (d *duty) rest(ctx context.Context) {
	d.mu.Lock()
	was := !d.workSince.IsZero()
	d.workSince = time.Time{}
	d.awaited = false
	d.holds = nil
	clear(d.states)
	d.mu.Unlock()
	if was && d.read(ctx) {
		d.n.tellBoard()
	}
}

// round takes or renews the lease and does what is due. It returns the pause until the next.
func (d *duty) round(ctx context.Context, named map[string]string, targets []fleet.UpdateTarget) time.Duration {
	now := d.n.now()
	d.mu.Lock()
	if d.workSince.IsZero() {
		d.workSince = now
	}
	mine := d.held
	waiting := !mine && now.Sub(d.workSince) < deferTime && d.others()
	watching := !mine && now.Sub(d.readAt) < watchLease
	holds := d.lease.HoldsFor(now, leaseTime/2)
	d.mu.Unlock()
	switch {
	case d.n.stopping.Load() && !d.roll.Active():
		return idleEvery
	case waiting:
		return deferTime / 4
	case watching:
		return watchLease / 4
	case !holds && !d.takeLease(ctx):
		d.noteAwaited()
		return watchLease / 4
	}
	d.act(ctx, named, targets)
	return dutyEvery
}

// noteAwaited logs once for each piece of work which holder this node waits for.
func (d *duty) noteAwaited() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.awaited {
		return
	}
	d.awaited = true
	id, fence := d.lease.Holder()
	d.n.events.Record(event.Event{Code: event.LeaseAwaited, Detail: fmt.Sprintf("%s, held last by %q with fence %d", leaseName, id, fence)})
}

// others reports whether another node held the lease last; the caller holds the lock.
func (d *duty) others() bool {
	id, _ := d.lease.Holder()
	return id != "" || d.readAt.IsZero()
}

// read reads the lease's row, and takes what its holder recorded of the newest weights.
func (d *duty) read(ctx context.Context) bool {
	part, sort := d.lease.Key()
	rows, err := d.n.store.Range(ctx, part, "", rowsBeside)
	row, ok := rowOf(rows, sort)
	if !ok {
		row.Rev = fleet.Position(d.n.store.Era(), 0)
	}
	if err == nil {
		d.n.noteEra()
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
	d.takeRecord(note)
	d.n.takeRecordedSize(nodes)
	if held, ok := rowOf(rows, heldRow); ok {
		d.n.takeHeldRecord(held)
	}
	return true
}

// rowsBeside is how many rows stand beside the lease, itself among them: one call reads them all.
const rowsBeside = 4

// decodeRow returns the row with a key.
func rowOf(rows []fleet.Row, sort string) (fleet.Row, bool) {
	i := slices.IndexFunc(rows, func(r fleet.Row) bool { return r.Sort == sort })
	if i < 0 {
		return fleet.Row{}, false
	}
	return rows[i], true
}

// takeLease takes or renews the lease and reports whether it is held.
func (d *duty) takeLease(ctx context.Context) bool {
	d.mu.Lock()
	known := d.lease.Settled()
	d.mu.Unlock()
	if !known || !d.held {
		if !d.read(ctx) {
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
			d.read(ctx)
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
