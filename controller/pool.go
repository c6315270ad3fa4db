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

// leaseParts is how many times a lease is renewed, and read by others, in its length.
const leaseParts = 3

// keepLease takes or renews a pool's lease when it is time to.
func (c *Controller) keepLease(ctx context.Context, pool string, w *poolWork) {
	now := time.Now()
	if now.Before(w.readNext) && w.lease.Holds(now) == w.held {
		return
	}
	w.readNext = now.Add(c.set.Lease / leaseParts)
	c.tryLease(ctx, w)
	c.noteLease(pool, w)
}

// tryLease reads the lease's row and writes it where it may; the time of a
// renewal counts from before the write is sent.
func (c *Controller) tryLease(ctx context.Context, w *poolWork) {
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

// noteLease records a change of holding; a lost lease ends all changes under way.
func (c *Controller) noteLease(pool string, w *poolWork) {
	c.mu.Lock()
	defer c.mu.Unlock()
	holds := w.lease.Holds(time.Now())
	if holds == w.held {
		return
	}
	w.held = holds
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

// freeAll gives the held leases up, so that others need not wait them out.
func (c *Controller) freeAll() {
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

// pollWidth bounds the engines polled at once.
const pollWidth = 16

// see polls the pool's engines.
func (c *Controller) see(ctx context.Context, p *policy.CompiledPool, list []route.ListedTarget) []fleet.Engine {
	var (
		mu  sync.Mutex
		wg  sync.WaitGroup
		out []fleet.Engine
		sem = make(chan struct{}, pollWidth)
	)
	busy := c.routersWord()
	for _, seen := range list {
		if !p.Matches(seen.Labels) {
			continue
		}
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			e, err := c.engines.State(ctx, seen.Addr)
			if err != nil {
				// The planner leaves an engine alone that can't be reached.
				c.log.Debug("an engine was not polled", "engine", seen.Addr, "error", err)
			}
			e.Name = seen.Labels["name"]
			e.Leaving = e.Leaving || seen.Leaving
			e.Busy = max(e.Busy, busy[route.TargetKey{Target: seen.Addr, Incarnation: e.Incarnation}])
			mu.Lock()
			defer mu.Unlock()
			out = append(out, e)
		})
	}
	wg.Wait()
	return out
}

// routersWord sums what the routers say they have in flight at each engine.
func (c *Controller) routersWord() map[route.TargetKey]int {
	out := make(map[route.TargetKey]int)
	for _, e := range c.gossip.Live() {
		for _, l := range e.Payload.State.Loads {
			out[l.Target] += l.InFlight
		}
	}
	return out
}

func marksOf(changes []fleet.Change) []route.TargetKey {
	out := make([]route.TargetKey, 0, len(changes))
	for _, ch := range changes {
		out = append(out, route.TargetKey{Target: ch.Engine, Incarnation: ch.Incarnation})
	}
	return out
}

// order sends one order if the lease lasts for as long as the order may take.
func (c *Controller) order(ctx context.Context, w *poolWork, s fleet.Step) {
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

// probe tries a changed engine, and one that was not changed for comparison.
func (c *Controller) probe(ctx context.Context, w *poolWork, s fleet.Step) {
	took, err := c.try(ctx, s.Change.Engine, s.Change.Want)
	if err == nil {
		err = c.compare(ctx, w, s, took)
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

// compare fails if an engine took much longer than another that serves the model.
func (c *Controller) compare(ctx context.Context, w *poolWork, s fleet.Step, took time.Duration) error {
	for _, e := range w.engines {
		weights, ok := e.Weights[s.Change.Want.Model]
		if !ok || !e.Reachable || e.Addr == s.Change.Engine || e.Busy > 0 {
			continue
		}
		other, err := c.try(ctx, e.Addr, fleet.Want{Model: s.Change.Want.Model, Weights: weights})
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

// try asks an engine for a few tokens and returns how long they took.
func (c *Controller) try(ctx context.Context, addr netip.AddrPort, w fleet.Want) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	begun := time.Now()
	err := c.engines.Probe(ctx, addr, w)
	return time.Since(begun), err
}
