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

// readsPerLease is how many times a lease is renewed, and read by others, in its length.
const readsPerLease = 3

// maintainLease takes or renews a pool's lease when it is time to.
func (c *Controller) maintainLease(ctx context.Context, pool string, w *poolState) {
	now := time.Now()
	if now.Before(w.nextRead) && w.lease.Holds(now) == w.wasHeld {
		return
	}
	w.nextRead = now.Add(c.set.Lease / readsPerLease)
	c.readAndWriteLease(ctx, w)
	c.recordLeaseChange(pool, w)
}

// readAndWriteLease reads the lease's row and writes it where it may; the time of a
// renewal counts from before the write is sent.
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

// recordLeaseChange records a change of holding; a lost lease ends all changes under way.
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

// releaseLeases gives the held leases up, so that others need not wait them out.
func (c *Controller) releaseLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.pools {
		if write, ok := w.lease.Release(time.Now()); ok {
			if _, err := c.table.Commit(ctx, rand.Text(), write); err != nil {
				c.log.Warn("a lease was not given up; it runs out by itself", "pool", w.lease.Name(), "error", err)
			}
		}
	}
}

// maxConcurrentPolls bounds the engines polled at once.
const maxConcurrentPolls = 16

// pollEngines polls the pool's engines.
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
				// The planner leaves an engine alone that can't be reached.
				c.log.Debug("an engine was not polled", "engine", listed.Addr, "error", err)
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

// inFlightAtRouters sums what the routers say they have in flight at each engine.
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

// sendOrder sends one order if the lease lasts for as long as the order may take.
func (c *Controller) sendOrder(ctx context.Context, w *poolState, s fleet.Step) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ch := s.Change
	c.mu.Lock()
	o := fleet.Order{Change: ch, Fence: w.lease.Fence(), Holder: c.id}
	// The last look at the lease stands as close to the sending as it can. What
	// a pause between the two can do is written in docs/OPERATIONS.md.
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

// The bounds of a probe: how slow beside another engine's it may be.
const (
	slowFactor = 4
	slowFloor  = 250 * time.Millisecond
)

// probeEngine tries a changed engine, and one that was not changed for comparison.
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

// checkProbeTime fails if an engine took much longer than another that serves the model.
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
			return errs.Errorf("its answer took %s, that of %s %s", took, e.Name, other)
		}
		return nil
	}
	return nil
}

// timeProbe asks an engine for a few tokens and returns how long they took.
func (c *Controller) timeProbe(ctx context.Context, addr netip.AddrPort, w fleet.Want) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	startedAt := time.Now()
	err := c.engines.Probe(ctx, addr, w)
	return time.Since(startedAt), err
}
