package main

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// model is the model of the engines.
const model = "daka510000"

// engines is the number of replicas of lm-desk on the sheet, which change their weights in turn.
const engines = 9

// longerLease is the lease bound of the changed settings.
const longerLease = 6 * time.Second

// settingsTime is more than the time in which a node notices that its settings file has changed.
const settingsTime = 5 * time.Second

// reloadedLease raises leaseMs in the settings files of running nodes, and then kills the node that gives orders. The
// orders of its successor must come at least leaseMs later. Without the disruption, the nodes are started
// with the same bound.
func reloadedLease(ctx context.Context, r *rig) error {
	if !r.trouble {
		r.bounds.lease = longerLease
	}
	if err := r.startEngines(ctx); err != nil {
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
	if err := waitFor(ctx, 20*time.Second, func() bool { return len(r.runs.Orders()) >= 2 }); err != nil {
		return fmt.Errorf("no orders: %w", err)
	}
	holder := r.runs.Orders()[0].Holder
	for _, n := range r.nodes {
		if n.name == holder {
			if err := n.signal(syscall.SIGKILL); err != nil {
				return err
			}
		}
	}
	taken := func() bool {
		orders := r.runs.Orders()
		return orders[len(orders)-1].Holder != holder
	}
	if err := waitFor(ctx, 40*time.Second, taken); err != nil {
		return fmt.Errorf("no other node took over: %w", err)
	}
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	return r.judgeOrders(longerLease)
}

// startEngines starts engines, a configuration that names them, and three nodes.
func (r *rig) startEngines(ctx context.Context) error {
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

// judgeOrders records the orders that replicas received and checks the rule ONE.
func (r *rig) judgeOrders(lease time.Duration) error {
	var (
		broken error
		before platformtest.ReceivedOrder
	)
	for i, o := range r.runs.Orders() {
		r.note("order at %8.3f to %s: holder %s, fence %d, version %d, status %d", r.seconds(o.Arrived), o.Replica, o.Holder, o.Fence, o.Version, o.Status)
		if i > 0 && o.Holder != before.Holder {
			gap := o.Arrived.Sub(before.Arrived)
			r.note("the holder changes from %s to %s after %.3f s, leaseMs is %d", before.Holder, o.Holder, gap.Seconds(), lease.Milliseconds())
			if gap < lease || o.Fence <= before.Fence {
				broken = errors.Join(broken, errBroken)
			}
		}
		before = o
	}
	return broken
}
