package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// runSteps runs one round of the update under the lease.
func (d *weightsUpdater) runSteps(ctx context.Context, newest map[string]string, targets []fleet.UpdateTarget) {
	d.update.SetMaxHoldTime(d.n.maxHoldTime())
	steps := d.update.Next(d.n.now(), newest, targets, route.OlderWeights)
	if d.setHeldTargets(steps.Holds, steps.Pending) {
		d.n.updateBoard()
		d.n.broadcast(ctx)
	}
	// An unresponsive target must delay neither the other targets nor the lease.
	for _, o := range steps.Orders {
		d.calls.Go(func() { d.order(ctx, o) })
	}
	for _, t := range steps.Polls {
		d.calls.Go(func() { d.readState(ctx, t) })
	}
}

// holdFraction is the fraction of the most urgent aim at a target for which it may be held before an
// order. What waits there longer is late anyway.
const holdFraction = 0.4

// holdBoundFraction is the fraction of the weights bound for which any target may be held. A pool
// changes in five rounds or so, all of which have to fit into the bound with their loading.
const holdBoundFraction = 0.03

// maxHoldTime returns how long a target may be held for what waits there to begin.
func (n *Node) maxHoldTime() time.Duration {
	return fraction(n.settings().Bounds.Weights, holdBoundFraction)
}

// setHeldTargets sets the targets that get no new work and those that may still carry out an order
// without an answer, and reports whether either changed.
func (d *weightsUpdater) setHeldTargets(held, pending []fleet.UpdateTarget) bool {
	holds, ordered := targetKeys(held), targetKeys(pending)
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := !slices.Equal(holds, d.heldTargets) || !slices.Equal(ordered, d.orderedTargets)
	d.heldTargets, d.orderedTargets = holds, ordered
	return changed
}

func targetKeys(ts []fleet.UpdateTarget) []route.TargetKey {
	keys := make([]route.TargetKey, 0, len(ts))
	for _, t := range ts {
		keys = append(keys, route.TargetKey{Target: t.Addr, Incarnation: t.Incarnation})
	}
	return keys
}

// order sends one order if enough of the lease remains.
func (d *weightsUpdater) order(ctx context.Context, o fleet.UpdateOrder) {
	key := route.TargetKey{Target: o.Target.Addr, Incarnation: o.Target.Incarnation}
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
		Target: key, Model: o.Target.Model, Weights: o.Weights, Orders: o.Target.Orders,
		Holder: d.n.settings().Name, Fence: fence,
	})
	if err != nil {
		d.n.events.Record(event.Event{Code: event.OrderFailed, Target: o.Target.Addr.String(), Detail: detail + ": " + err.Error()})
		d.readState(ctx, o.Target)
		return
	}
	if answer == OrderTaken {
		d.mu.Lock()
		if state, ok := d.states[key]; ok {
			state.Busy = true
			d.states[key] = state
		}
		d.mu.Unlock()
	}
	d.n.counters.orders.Inc()
	d.n.events.Record(event.Event{Code: event.OrderSent, Target: o.Target.Addr.String(), Detail: detail + ": " + answer.String()})
}

var errOtherIncarnation = errs.Tag("another incarnation answered than the list names")

// readState reads the state of a target and announces new weights.
func (d *weightsUpdater) readState(ctx context.Context, t fleet.UpdateTarget) {
	key := route.TargetKey{Target: t.Addr, Incarnation: t.Incarnation}
	d.mu.Lock()
	reading := d.reading[key]
	d.reading[key] = true
	d.mu.Unlock()
	if reading {
		return
	}
	state, err := d.n.engines.State(ctx, t.Addr)
	if err == nil && t.Incarnation.OtherStart(state.Start) {
		// The order count belongs to another incarnation, which the list will name.
		err = errOtherIncarnation.Errorf("target %s", t.Addr)
	}
	d.mu.Lock()
	delete(d.reading, key)
	if err != nil {
		// The previous state may be outdated.
		delete(d.states, key)
	}
	d.mu.Unlock()
	if err != nil {
		d.n.log.Debug("reading the state of a target failed", "target", t.Addr, "error", err)
		return
	}
	d.mu.Lock()
	if _, known := d.states[key]; !known {
		d.notify()
	}
	d.states[key] = state
	loaded := !state.Busy && route.OlderWeights(t.Weights, state.Weights[t.Model])
	if loaded {
		d.loaded = append(d.loaded, loadedNotice{route.WeightsUpdate{Target: key, Model: t.Model, Weights: state.Weights[t.Model]}, d.n.now()})
		d.loaded = d.loaded[max(0, len(d.loaded)-maxLoadedAnnounced):]
	}
	d.mu.Unlock()
	if loaded {
		d.n.events.Record(event.Event{Code: event.OrderDone, Target: t.Addr.String(), Detail: t.Model + " " + state.Weights[t.Model]})
		d.n.updateBoard()
	}
}

// maxLoadedAnnounced limits the weights updates in one message, some 45 bytes each. It must cover
// all targets that change within loadedTTL, a fifth of a pool per second: with 16, most of a pool
// of 117 targets was known to have new weights only from the list, seconds later.
const maxLoadedAnnounced = 256
