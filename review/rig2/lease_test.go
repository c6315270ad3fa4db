package rig2

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// model is the model of the engines.
const model = "daka510000"

// Numbers of replicas. With two, both get orders at once; nine are those of the sheet, which change in turn.
const (
	fewEngines  = 2
	manyEngines = 9
)

// longerLease is the lease bound of the changed settings.
const longerLease = 6 * time.Second

// settingsTime is more than the time in which a node notices that its settings file has changed.
const settingsTime = 5 * time.Second

// reloadedLease raises leaseMs in the settings files of running nodes, and then kills the node that gives orders, as
// soon as each replica has one. Weights named then make its successor order the same replicas, which must be
// at least leaseMs later. Without the disruption, the nodes are started with the same bound.
func reloadedLease(ctx context.Context, r *rig) error {
	if !r.trouble {
		r.bounds.lease = longerLease
	}
	if err := r.startEngines(ctx, fewEngines); err != nil {
		return err
	}
	if r.trouble {
		if err := r.reloadLease(ctx); err != nil {
			return err
		}
	}
	// The bound of the rule has held for longer than contactMs.
	if err := pause(ctx, 4*time.Second); err != nil {
		return err
	}
	if err := r.nameWeights(2); err != nil {
		return err
	}
	if err := waitFor(ctx, 20*time.Second, func() bool { return r.orderedReplicas() == fewEngines }); err != nil {
		return fmt.Errorf("no orders: %w", err)
	}
	holder := r.lastHolder()
	if err := holder.signal(syscall.SIGKILL); err != nil {
		return err
	}
	if err := r.nameWeights(3); err != nil {
		return err
	}
	if err := waitFor(ctx, 40*time.Second, func() bool { return r.lastHolder() != holder }); err != nil {
		return fmt.Errorf("no other node took over: %w", err)
	}
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	return r.judgeOrders(longerLease, thaw{})
}

// orderedReplicas returns the number of replicas that got orders.
func (r *rig) orderedReplicas() int {
	ordered := make(map[string]bool)
	for _, o := range r.runs.Orders() {
		ordered[o.Replica] = true
	}
	return len(ordered)
}

// lastHolder returns the node that gave the last order, or nil.
func (r *rig) lastHolder() *node {
	orders := r.runs.Orders()
	if len(orders) == 0 {
		return nil
	}
	for _, n := range r.nodes {
		if n.name == orders[len(orders)-1].Holder {
			return n
		}
	}
	return nil
}

// startEngines starts engines, a configuration that names them, and three nodes.
func (r *rig) startEngines(ctx context.Context, engines int) error {
	for i := range engines {
		if err := r.startReplica(fmt.Sprintf("i-%d", i), "lm-desk", platformtest.WithModel(model, 1)); err != nil {
			return err
		}
	}
	if err := r.nameWeights(1); err != nil {
		return err
	}
	_, err := r.declare(configuration{
		Version: 7,
		Routes: []platformtest.Route{{
			Name: "fare", Host: host, Prefix: "/fare/", Kind: "streaming", TimeoutMS: 4000, AimMS: 600, Priority: 1, Service: "lm-desk", Attempts: 1, Sticky: true, GapMS: 500,
		}},
		Services: []platformtest.Service{{Name: "lm-desk", HealthPath: "/healthz", MaxConns: 370, Engine: &platformtest.Engine{
			Slots: 64, CacheTokens: 99487, TokenBytes: 18432, LinkMbps: 550000, CacheReaders: 12, Models: []platformtest.ModelName{{Name: model}},
		}}},
		Tenants: []tenant{{Name: "carrier-a", Keys: []string{"key-a"}}},
		Limits:  limits,
	})
	if err != nil {
		return err
	}
	if err := r.addNodes(3); err != nil {
		return err
	}
	return r.startNodes(ctx)
}

func (r *rig) nameWeights(version int64) error {
	r.note("operator: version %d of %s is named", version, model)
	return r.store.NameWeights(model, version)
}

// reloadLease changes the settings file of each node.
func (r *rig) reloadLease(ctx context.Context) error {
	r.bounds.lease = longerLease
	for _, n := range r.nodes {
		if err := n.writeSettings(); err != nil {
			return err
		}
		r.note("platform: the settings file of %s now has leaseMs = %d", n.name, longerLease.Milliseconds())
	}
	if err := pause(ctx, settingsTime); err != nil {
		return err
	}
	for _, n := range r.nodes {
		r.note("%s logged that changed settings are in effect: %t", n.name, n.logged("settings-reloaded"))
	}
	return nil
}

// thaw is the end of a freeze of a node.
type thaw struct {
	node string
	at   time.Time
}

// thawSlack is thawSlackMs of the bounds: orders that arrive so soon after the thaw of their sender don't count.
const thawSlack = 300 * time.Millisecond

// excuses reports whether an order doesn't count.
func (t thaw) excuses(o platformtest.ReceivedOrder) bool {
	return o.Holder == t.node && !o.Arrived.Before(t.at) && o.Arrived.Sub(t.at) <= thawSlack
}

// judgeOrders records the orders that replicas received and checks the rule ONE on those of each replica.
func (r *rig) judgeOrders(lease time.Duration, t thaw) error {
	var broken error
	last := make(map[string]platformtest.ReceivedOrder)
	for _, o := range r.runs.Orders() {
		excused := t.excuses(o)
		r.note("order at %8.3f to %s: holder %s, fence %d, version %d, status %d, excused %t", r.seconds(o.Arrived), o.Replica, o.Holder, o.Fence, o.Version, o.Status, excused)
		if excused {
			continue
		}
		before, ok := last[o.Replica]
		last[o.Replica] = o
		if !ok || o.Holder == before.Holder {
			continue
		}
		gap := o.Arrived.Sub(before.Arrived)
		r.note("at %s the holder changes from %s (fence %d) to %s (fence %d) after %.3f s, leaseMs is %d",
			o.Replica, before.Holder, before.Fence, o.Holder, o.Fence, gap.Seconds(), lease.Milliseconds())
		if gap < lease || o.Fence <= before.Fence {
			broken = errBroken
		}
	}
	return broken
}
