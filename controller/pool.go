package controller

import (
	"context"
	"crypto/rand"
	"errors"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// readsPerLease is how many times per TTL a lease is read, and renewed by its holder.
const readsPerLease = 3

// maintainLease reads a pool's lease, and takes or renews it, if that is due or
// if the lease has been lost since the last call.
func (c *Controller) maintainLease(ctx context.Context, pool string, w *poolState) {
	now := time.Now()
	if now.Before(w.nextRead) && w.lease.Holds(now) == w.wasHeld {
		return
	}
	w.nextRead = now.Add(c.set.Lease / readsPerLease)
	c.readAndWriteLease(ctx, w)
	c.recordLeaseChange(pool, w)
}

// readAndWriteLease reads the lease's row and writes it if this process may take
// or renew the lease. The TTL starts before the write is sent, so the holder
// never considers the lease valid for longer than others do.
func (c *Controller) readAndWriteLease(ctx context.Context, w *poolState) {
	part, sort := w.lease.Key()
	row, ok, err := c.table.Get(ctx, part, sort)
	if err != nil {
		return
	}
	c.mu.Lock()
	if err := w.lease.HandleRead(time.Now(), row, ok); err != nil && !errors.Is(err, fleet.ErrLeaseInvalid) {
		c.mu.Unlock()
		return
	}
	token := rand.Text()
	write, ok := w.lease.Next(time.Now(), token)
	c.mu.Unlock()
	if !ok {
		return
	}
	rev, err := c.table.Commit(ctx, token, write)
	c.mu.Lock()
	defer c.mu.Unlock()
	w.lease.HandleWrite(time.Now(), rev, err)
}

// recordLeaseChange records an event if the lease was taken or lost. If it was
// lost, all changes in progress are discarded.
func (c *Controller) recordLeaseChange(pool string, w *poolState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	holds := w.lease.Holds(time.Now())
	if holds == w.wasHeld {
		return
	}
	w.wasHeld = holds
	detail := pool + " with fencing number " + strconv.FormatInt(w.lease.Fence(), 10)
	if holds {
		c.events.Record(event.Event{Code: event.LeaseTaken, Detail: detail})
		return
	}
	w.planner.Reset()
	w.steps = fleet.Steps{}
	c.events.Record(event.Event{Code: event.LeaseLost, Detail: detail})
}

func (c *Controller) leasesHeld() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, w := range c.pools {
		if w.lease.Holds(time.Now()) {
			n++
		}
	}
	return n
}

// releaseLeases releases the held leases, so that other processes do not have to
// wait until they expire.
func (c *Controller) releaseLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.pools {
		if write, ok := w.lease.Release(time.Now()); ok {
			if _, err := c.table.Commit(ctx, rand.Text(), write); err != nil {
				c.log.Warn("cannot release a lease; it will expire", "pool", w.lease.Name(), "error", err)
			}
		}
	}
}

// maxConcurrentPolls is the maximum number of engines polled at the same time.
const maxConcurrentPolls = 16

// pollEngines returns the states of the pool's engines. An engine that cannot be
// polled is included without a state.
func (c *Controller) pollEngines(ctx context.Context, p *policy.CompiledPool, list []route.ListedTarget) []fleet.Engine {
	var (
		mu  sync.Mutex
		wg  sync.WaitGroup
		out []fleet.Engine
		sem = make(chan struct{}, maxConcurrentPolls)
	)
	inFlight := c.inFlightAtRouters()
	for _, listed := range list {
		if !p.Matches(listed.Labels) {
			continue
		}
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			e, err := c.engines.State(ctx, listed.Addr)
			if err != nil {
				// The planner does not change an unreachable engine.
				c.log.Debug("cannot poll an engine", "engine", listed.Addr, "error", err)
			}
			e.Name = listed.Labels["name"]
			e.Leaving = e.Leaving || listed.Leaving
			e.Busy = max(e.Busy, inFlight[route.TargetKey{Target: listed.Addr, Incarnation: e.Incarnation}])
			mu.Lock()
			defer mu.Unlock()
			out = append(out, e)
		})
	}
	wg.Wait()
	return out
}

// inFlightAtRouters returns, for each engine, the number of requests in flight
// that the routers report.
func (c *Controller) inFlightAtRouters() map[route.TargetKey]int {
	out := make(map[route.TargetKey]int)
	for _, e := range c.gossip.Live() {
		for _, l := range e.Payload.State.Loads {
			out[l.Target] += l.InFlight
		}
	}
	return out
}

func targetKeys(changes []fleet.Change) []route.TargetKey {
	out := make([]route.TargetKey, 0, len(changes))
	for _, ch := range changes {
		out = append(out, route.TargetKey{Target: ch.Engine, Incarnation: ch.Incarnation})
	}
	return out
}

// sendOrder sends one order if the lease is valid for as long as the order may take.
func (c *Controller) sendOrder(ctx context.Context, w *poolState, s fleet.Step) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ch := s.Change
	c.mu.Lock()
	o := fleet.Order{Change: ch, Fence: w.lease.Fence(), Holder: c.id}
	// The lease is checked as late as possible before the order is sent.
	// docs/OPERATIONS.md describes what a pause between the two can cause.
	holds := w.lease.HoldsFor(time.Now(), orderTimeout)
	c.mu.Unlock()
	if !holds {
		return
	}
	c.events.Record(event.Event{
		Code: event.OrderSent, Target: s.Engine.Name, Revision: c.revision(),
		Detail: ch.Want.String() + ", fencing number " + strconv.FormatInt(o.Fence, 10),
	})
	err := c.engines.Order(ctx, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	w.planner.Ordered(time.Now(), ch.Engine, err)
	if err != nil {
		c.events.Record(event.Event{Code: event.OrderFailed, Target: s.Engine.Name, Detail: err.Error()})
	}
}

// A probe fails if it takes longer than slowFactor times that of another engine
// and longer than slowFloor.
const (
	slowFactor = 4
	slowFloor  = 250 * time.Millisecond
)

// probeEngine probes a changed engine, compares its latency with that of another
// engine and reports the result to the planner.
func (c *Controller) probeEngine(ctx context.Context, w *poolState, s fleet.Step) {
	took, err := c.timeProbe(ctx, s.Change.Engine, s.Change.Want)
	if err == nil {
		err = c.checkProbeTime(ctx, w, s, took)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w.planner.Probed(time.Now(), s.Change.Engine, err)
	if err != nil {
		c.events.Record(event.Event{Code: event.OrderFailed, Target: s.Engine.Name, Detail: err.Error()})
		return
	}
	c.events.Record(event.Event{Code: event.OrderDone, Target: s.Engine.Name, Detail: s.Change.Want.Model + " " + s.Change.Want.Weights})
}

// checkProbeTime returns an error if the probe took much longer than that of
// another idle engine that serves the model. Without such an engine there is no check.
func (c *Controller) checkProbeTime(ctx context.Context, w *poolState, s fleet.Step, took time.Duration) error {
	for _, e := range w.engines {
		weights, ok := e.Weights[s.Change.Want.Model]
		if !ok || !e.Reachable || e.Addr == s.Change.Engine || e.Busy > 0 {
			continue
		}
		other, err := c.timeProbe(ctx, e.Addr, fleet.Want{Model: s.Change.Want.Model, Weights: weights})
		if err != nil {
			continue
		}
		if limit := max(slowFactor*other, slowFloor); took > limit {
			return errs.Errorf("the probe took %s, that of engine %s %s, the limit is %s", took, e.Name, other, limit)
		}
		return nil
	}
	return nil
}

// timeProbe requests a few tokens from an engine and returns how long that took.
func (c *Controller) timeProbe(ctx context.Context, addr netip.AddrPort, w fleet.Want) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	startedAt := time.Now()
	err := c.engines.Probe(ctx, addr, w)
	return time.Since(startedAt), err
}
