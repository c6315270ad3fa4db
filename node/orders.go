package node

import (
	"context"
	"fmt"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// runSteps does one round under the lease.
func (d *weightsUpdater) runSteps(ctx context.Context, named map[string]string, targets []fleet.UpdateTarget) {
	steps := d.roll.Next(d.n.now(), named, targets, route.OlderWeights)
	if d.setHolds(steps.Holds) {
		d.n.updateBoard()
		d.n.broadcast(ctx)
	}
	// A target that does not answer keeps neither the others nor the lease waiting.
	for _, o := range steps.Orders {
		d.calls.Go(func() { d.order(ctx, o) })
	}
	for _, t := range steps.Polls {
		d.calls.Go(func() { d.readState(ctx, t) })
	}
}

// setHolds takes the targets that get no new work and reports whether they changed.
func (d *weightsUpdater) setHolds(ts []fleet.UpdateTarget) bool {
	marks := make([]route.TargetKey, 0, len(ts))
	set := make(map[route.TargetKey]bool, len(ts))
	for _, t := range ts {
		m := route.TargetKey{Target: t.Addr, Incarnation: t.Incarnation}
		marks = append(marks, m)
		set[m] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := len(marks) != len(d.holds)
	for _, m := range d.holds {
		changed = changed || !set[m]
	}
	d.holds = marks
	return changed
}

// order sends one order if the lease lasts for long enough.
func (d *weightsUpdater) order(ctx context.Context, o fleet.UpdateOrder) {
	mark := route.TargetKey{Target: o.Target.Addr, Incarnation: o.Target.Incarnation}
	detail := fmt.Sprintf("%s %s in place of %s, after %d orders", o.Target.Model, o.Weights, o.Target.Weights, o.Target.Orders)
	d.mu.Lock()
	holds, fence := d.lease.HoldsFor(d.n.now(), orderMargin), d.lease.Fence()
	d.mu.Unlock()
	if !holds {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderMargin)
	defer cancel()
	answer, err := d.n.engines.Order(ctx, Order{
		Target: mark, Model: o.Target.Model, Weights: o.Weights, Orders: o.Target.Orders,
		Holder: d.n.settings().Name, Fence: fence,
	})
	if err != nil {
		d.n.events.Record(event.Event{Code: event.OrderFailed, Target: o.Target.Addr.String(), Detail: detail + ": " + err.Error()})
		d.readState(ctx, o.Target)
		return
	}
	if answer == OrderTaken {
		d.mu.Lock()
		if state, ok := d.states[mark]; ok {
			state.Busy = true
			d.states[mark] = state
		}
		d.mu.Unlock()
	}
	d.n.counters.orders.Inc()
	d.n.events.Record(event.Event{Code: event.OrderSent, Target: o.Target.Addr.String(), Detail: detail + ": " + answer.String()})
}

var errOtherStart = errs.Tag("another start answered than the list names")

// readState reads a target back and tells everyone of new weights.
func (d *weightsUpdater) readState(ctx context.Context, t fleet.UpdateTarget) {
	mark := route.TargetKey{Target: t.Addr, Incarnation: t.Incarnation}
	d.mu.Lock()
	under := d.reading[mark]
	d.reading[mark] = true
	d.mu.Unlock()
	if under {
		return
	}
	state, err := d.n.engines.State(ctx, t.Addr)
	if err == nil && t.Incarnation.OtherStart(state.Start) {
		// Its count of orders is another start's, which the list will name.
		err = errOtherStart.Errorf("target %s", t.Addr)
	}
	d.mu.Lock()
	delete(d.reading, mark)
	if err != nil {
		// What it said before need not hold any more.
		delete(d.states, mark)
	}
	d.mu.Unlock()
	if err != nil {
		d.n.log.Debug("a target was not read back", "target", t.Addr, "error", err)
		return
	}
	d.mu.Lock()
	if _, asked := d.states[mark]; !asked {
		d.notify()
	}
	d.states[mark] = state
	loaded := !state.Busy && route.OlderWeights(t.Weights, state.Weights[t.Model])
	if loaded {
		d.loaded = append(d.loaded, loadedNotice{route.WeightsUpdate{Target: mark, Model: t.Model, Weights: state.Weights[t.Model]}, d.n.now()})
		d.loaded = d.loaded[max(0, len(d.loaded)-maxLoadedAnnounced):]
	}
	d.mu.Unlock()
	if loaded {
		d.n.events.Record(event.Event{Code: event.OrderDone, Target: t.Addr.String(), Detail: t.Model + " " + state.Weights[t.Model]})
		d.n.updateBoard()
	}
}

// maxLoadedAnnounced bounds the words on weights in one message, some 45 bytes each. All
// targets that changed within loadedTTL are to be told of, a fifth of a pool a second:
// with 16 words, most of a pool of 117 was known to have new weights only by the list,
// seconds later.
const maxLoadedAnnounced = 256
