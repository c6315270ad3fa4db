package controller

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/wire"
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
	if err := w.lease.Read(time.Now(), row, ok); err != nil {
		c.mu.Unlock()
		return
	}
	write, ok := w.lease.Next(time.Now())
	c.mu.Unlock()
	if !ok {
		return
	}
	rev, err := c.table.Commit(ctx, rand.Text(), write)
	c.mu.Lock()
	defer c.mu.Unlock()
	w.lease.Wrote(time.Now(), rev, err)
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
	w.planner.Forget()
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
		if write, ok := w.lease.Free(time.Now()); ok {
			if _, err := c.table.Commit(ctx, rand.Text(), write); err != nil {
				c.log.Warn("a lease was not given up; it runs out by itself", "pool", w.lease.Name(), "error", err)
			}
		}
	}
}

// pollWidth bounds the engines polled at once.
const pollWidth = 16

// see polls the pool's engines.
func (c *Controller) see(ctx context.Context, p *policy.CompiledPool, vms []wire.VM) []fleet.Engine {
	var (
		mu  sync.Mutex
		wg  sync.WaitGroup
		out []fleet.Engine
		sem = make(chan struct{}, pollWidth)
	)
	busy := c.routersWord()
	for _, vm := range vms {
		if !p.Matches(vm.Labels) {
			continue
		}
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			state, err := c.engines.State(ctx, vm.Addr)
			mu.Lock()
			defer mu.Unlock()
			e := engineOf(vm, state)
			e.Busy = max(e.Busy, busy[route.Mark{Target: vm.Addr, Incarnation: state.Incarnation}])
			e.Reachable = err == nil
			out = append(out, e)
		})
	}
	wg.Wait()
	return out
}

func engineOf(vm wire.VM, s wire.State) fleet.Engine {
	e := fleet.Engine{
		Addr:        vm.Addr,
		Name:        vm.Labels["name"],
		Incarnation: s.Incarnation,
		Weights:     make(map[string]string, len(s.Models)),
		Loading:     s.Loading > 0,
		Leaving:     s.Leaving || vm.Leaving(),
		Busy:        s.Running + s.Waiting,
	}
	for name, m := range s.Models {
		e.Weights[name] = m.Weights
	}
	return e
}

// routersWord sums what the routers say they have in flight at each engine.
func (c *Controller) routersWord() map[route.Mark]int {
	out := make(map[route.Mark]int)
	for _, e := range c.gossip.Live() {
		for _, l := range e.Payload.State.Loads {
			out[l.Target] += l.InFlight
		}
	}
	return out
}

func marksOf(changes []fleet.Change) []route.Mark {
	out := make([]route.Mark, 0, len(changes))
	for _, ch := range changes {
		out = append(out, route.Mark{Target: ch.Engine, Incarnation: ch.Incarnation})
	}
	return out
}

// order sends one order if the lease lasts for as long as the order may take.
func (c *Controller) order(ctx context.Context, w *poolWork, s fleet.Step) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ch := s.Change
	action := wire.OrderLoad
	if ch.Want.Weights == "" {
		action = wire.OrderUnload
	}
	c.mu.Lock()
	o := wire.Order{
		Action: action, Model: ch.Want.Model, Weights: ch.Want.Weights, Adapters: ch.Want.Adapters,
		IfWeights: ch.Want.From, Incarnation: ch.Incarnation, Fence: w.lease.Fence(), Holder: c.id,
	}
	// The last look at the lease stands as close to the sending as it can. What
	// a pause between the two can do is written in docs/OPERATIONS.md.
	holds := w.lease.HoldsFor(time.Now(), orderTimeout)
	c.mu.Unlock()
	if !holds {
		return
	}
	c.events.Record(event.Event{
		Code: event.OrderSent, Target: s.Engine.Name, Revision: c.revision(),
		Detail: action + " " + o.Model + " " + o.Weights + " if " + o.IfWeights + ", fencing number " + strconv.FormatInt(o.Fence, 10),
	})
	err := c.engines.Order(ctx, ch.Engine, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	w.planner.Ordered(time.Now(), ch.Engine, err)
	if err != nil {
		c.events.Record(event.Event{Code: event.OrderFailed, Target: s.Engine.Name, Detail: err.Error()})
	}
}

// The bounds of a probe: its length, and how slow beside the pool's median it may be.
const (
	probeTokens = 2
	slowFactor  = 4
	slowFloor   = 250 * time.Millisecond
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
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		CacheSalt string `json:"cache_salt"`
	}{w.Model, "Say that you are ready.", probeTokens, "pathhead-probe"})
	if err != nil {
		return 0, errs.Wrap(err)
	}
	url := "http://" + addr.String() + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, errs.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderRequest, "probe-"+rand.Text()[:8])
	req.Header.Set(wire.HeaderWeights, w.Weights)
	begun := time.Now()
	resp, err := c.prober.Do(req)
	if err != nil {
		return 0, errs.Errorf("probe: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, errs.Errorf("probe: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errs.Errorf("probe: status %d", resp.StatusCode)
	}
	return time.Since(begun), nil
}
