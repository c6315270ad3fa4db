package route

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/event"
)

// The bounds of waiting and of choosing who goes next.
const (
	throughputWindow = 2 * time.Second
	// headsPerOrg is how many of an organisation's first requests, and maxScan how
	// many of a pool's, are tried for a target with room.
	headsPerOrg = 4
	maxScan     = 24
	// spillFactor was measured: 1 spread too early and computed more, see docs/design/queueing.md.
	spillFactor = 3
	// decodeCost is what one generated token costs in prefill tokens.
	decodeCost = 4
	minCost    = 64
)

// Arrive takes a new request: it is sent, queued or refused at once.
func (b *Board) Arrive(now time.Time, req Request) []Action {
	r := &request{Request: req, arrived: now, tried: make(map[netip.AddrPort]bool), index: -1, sample: b.rng.Float64()}
	if refusal := b.admit(now, r); refusal != nil {
		b.emit(event.Event{
			Code: event.RequestRefused, Request: r.ID, Org: r.Org,
			Detail: refusal.Cause.String() + ", not-run: " + refusal.Detail,
		})
		b.RefundCharge(now, r.Charge)
		return []Action{Refuse{Request: r.ID, Refusal: *refusal}}
	}
	b.requests[r.ID] = r
	b.emit(event.Event{Code: event.RequestArrived, Request: r.ID, Org: r.Org, Revision: b.snap.Revision})
	r.queueDeadline = now.Add(b.maxQueueTime(r))
	r.cost = b.cost(r)
	b.pools[r.Pool].arrivals.add(now, 1)
	b.countParts(now, r)
	b.enqueue(now, r)
	out := b.dispatch(now)
	if r.attempt == nil {
		b.emit(event.Event{Code: event.RequestQueued, Request: r.ID, Org: r.Org})
	}
	return out
}

// admit checks everything that can refuse a request before it waits.
func (b *Board) admit(now time.Time, r *request) *Refusal {
	if b.closed != nil {
		return b.closed
	}
	if b.snap == nil {
		return &Refusal{Cause: CauseFenced, RetryAfter: b.minRetryAfter, Detail: "no configuration is known yet"}
	}
	if r.Revision != b.snap.Revision {
		return &Refusal{Cause: CauseChanged, RetryAfter: b.minRetryAfter, Detail: "the configuration changed while the request was checked"}
	}
	p, ok := b.pools[r.Pool]
	if !ok {
		return &Refusal{Cause: CauseNoTarget, RetryAfter: b.minRetryAfter, Detail: "no such pool"}
	}
	if held := b.heldRefusal(now, r); held != nil {
		return held
	}
	if rests := b.backoffRefusal(now, p, r); rests != nil {
		return rests
	}
	wait := p.queue.wait(r.Org, b.weight(r.Org), p.throughput.rate(now))
	if limit := b.maxQueueTime(r); wait > limit {
		return &Refusal{
			Cause: CauseOverload, RetryAfter: max(wait-limit, b.minRetryAfter),
			Detail: fmt.Sprintf("the queue is %s long", wait.Round(time.Millisecond)),
		}
	}
	return b.admitOrg(now, r)
}

// cost is what a request takes of a pool, in prefill tokens.
func (b *Board) cost(r *request) float64 {
	return float64(max(minCost, r.promptTokens()+decodeCost*r.MaxTokens))
}

func (b *Board) enqueue(now time.Time, r *request) {
	p := b.pools[r.Pool]
	if p.queue.n == 0 {
		// What was sent before says nothing of how soon there will be room now.
		p.throughput = newMeter(throughputWindow)
		p.throughput.at, p.throughput.begun = now, now
	}
	p.queue.push(r, b.weight(r.Org))
}

// dispatch sends waiting requests while targets have room.
func (b *Board) dispatch(now time.Time) []Action {
	if b.snap == nil {
		return nil
	}
	out := b.refuseHeld(now)
	for _, p := range b.pools {
		for p.queue.n > 0 {
			send, ok := b.sendNext(now, p)
			if !ok {
				break
			}
			out = append(out, send)
		}
	}
	return out
}

// sendNext sends one waiting request. The first in fair order whose best target
// has room goes at once. Else one may go to a worse target, if it has waited for
// spillFactor times what that costs more: so a hot prefix spreads to further
// targets only when waiting for its own has become dear.
func (b *Board) sendNext(now time.Time, p *pool) (Send, bool) {
	var (
		spill *request
		// chosen is the spilling request's candidate: among a few of a large pool,
		// another choice may find none with room.
		chosen candidate
		least  = time.Duration(math.MaxInt64)
		seen   int
	)
	for _, o := range p.queue.next() {
		for _, r := range o.items[:min(headsPerOrg, len(o.items))] {
			if now.Before(r.notBefore) {
				continue
			}
			if seen++; seen > maxScan {
				break
			}
			r.awaitingFill = false
			c, extra := b.choose(now, p, r)
			if c == nil {
				continue
			}
			if c, extra = b.awaitPendingFill(now, p, r, c, extra); c == nil {
				r.awaitingFill = true
				r.extendQueueDeadline(now.Add(fillRecheckInterval))
				continue
			}
			if extra <= tieWidth || b.disabled.Has(AwaitBest) {
				return b.send(now, p, r, c), true
			}
			if short := b.spillDelay(r, c, extra) - now.Sub(r.arrived); short < least {
				spill, chosen, least = r, *c, short
			}
		}
	}
	if spill == nil || least > 0 {
		return Send{}, false
	}
	return b.send(now, p, spill, &chosen), true
}

// spillDelay is how long after its arrival a request goes to a target that costs more
// than its best by extra, at the latest so that its answer can still begin in time.
func (b *Board) spillDelay(r *request, c *candidate, extra time.Duration) time.Duration {
	if r.Aim == 0 {
		return min(spillFactor*extra, r.QueueTime/2)
	}
	return min(extra, r.Aim-c.timeToFirstToken(r))
}

// send makes an attempt of a waiting request at the chosen target.
func (b *Board) send(now time.Time, p *pool, r *request, c *candidate) Send {
	p.queue.remove(r)
	p.queue.charge(r, b.weight(r.Org))
	if p.queue.n > 0 {
		p.throughput.add(now, r.cost)
	}
	b.countRelease(p, c.target)
	if r.tries == 0 {
		b.earnRetry(now, &p.retries)
	}
	a := &attempt{target: c.target, sent: now, progress: now, heldTokens: c.held.tokens, heldAge: c.held.age}
	a.Attempt = Attempt{
		ID: r.newAttempt(), Request: r.ID, Target: c.target.addr, Incarnation: c.target.incarnation,
		Weights: c.weights, Resume: r.delivered, Fetch: c.fetchFrom, Number: r.tries, Reason: c.reason(r, len(b.scratch)),
	}
	if c.chain != nil {
		a.Salt = c.chain.salt
		a.uncached = c.uncached(r)
		a.fetched = c.fetchTokens > 0 || c.assumed
		a.Import = c.imported
		if c.store != nil {
			c.store.moves.level -= float64(c.fetchTokens - c.cachedTokens)
		}
		a.Save = b.chooseSaveStore(now, c, r)
		b.recordSharedParts(now, r)
		b.recordExpectedFill(now, c)
		b.beginFill(now, c, r, a)
	}
	r.attempt = a
	if c.target.attempts == nil {
		c.target.attempts = make(map[string]*attempt)
	}
	c.target.attempts[a.ID] = a
	c.target.usedAt = now
	c.target.prefill += a.uncached
	c.target.tokens += r.size()
	a.chargeLimit(now)
	b.emit(event.Event{
		Code: event.RequestPlaced, Request: r.ID, Attempt: a.ID, Org: r.Org,
		Target: c.target.name(), Revision: b.snap.Revision, Detail: a.Reason,
	})
	return Send{Attempt: a.Attempt}
}

// recordExpectedFill believes at once what the target will have prefilled, so that
// requests with the same cold prefix follow the first instead of filling another cache.
func (b *Board) recordExpectedFill(now time.Time, c *candidate) {
	if len(c.chain.messageEnds) < 2 {
		b.prefixes.countRequest(c.chain)
	}
	b.prefixes.record(c.chain, len(c.chain.blocks), c.target.slot, now)
}
