package route

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/event"
)

// Constants of queueing and of selecting the next request.
const (
	throughputWindow = 2 * time.Second
	// headsPerOrg is the number of requests at the head of each organisation's queue, and
	// maxScan the number per pool, that are tried for a target with capacity.
	headsPerOrg = 4
	maxScan     = 24
	// scanFraction is the part of the remaining tries that one priority takes while the more urgent
	// ones go first, so that the less urgent are tried too.
	scanFraction = 0.75
	// spillFactor bounds the wait for the best target as a multiple of the extra cost of the
	// next one. A factor of 1 spread prefixes too early and increased the recomputed prefill;
	// see docs/design/queueing.md.
	spillFactor = 3
	// decodeCost is the cost of a generated token in prefill tokens.
	decodeCost = 4
	minCost    = 64
)

// Arrive accepts a new request, which is sent, queued or refused immediately.
func (b *Board) Arrive(now time.Time, req Request) []Action {
	r := &request{Request: req, arrived: now.Add(-req.Waited), tried: make(map[netip.AddrPort]bool), index: -1, sample: b.rng.Float64()}
	if p, ok := b.pools[r.Pool]; ok {
		p.askedAt = now
	}
	b.countPartRequests(now, r)
	if refusal := b.admit(now, r); refusal != nil {
		b.emit(event.Event{
			Code: event.RequestRefused, Request: r.ID, Org: r.Org, Route: r.Route, Tokens: r.promptTokens(),
			Detail: refusal.Cause.String() + ", not-run: " + refusal.Detail,
		})
		b.RefundCharge(now, r.Charge)
		return []Action{Refuse{Request: r.ID, Refusal: *refusal}}
	}
	b.requests[r.ID] = r
	b.emit(event.Event{Code: event.RequestArrived, Request: r.ID, Org: r.Org, Route: r.Route, Tokens: r.promptTokens(), Revision: b.snap.Revision})
	r.queueDeadline = now.Add(b.maxQueueTime(r))
	if r.HandedOver || r.Continues {
		r.queueDeadline = b.retryQueueDeadline(now, r)
	}
	r.urgent = b.Urgent(r.Pool, r.Aim) && !r.AimAssumed
	r.cost = b.cost(r)
	b.pools[r.Pool].arrivals.add(now, 1)
	b.countParts(now, r)
	b.enqueue(now, r)
	out := b.dispatch(now)
	if r.attempt == nil && r.index >= 0 {
		b.emit(event.Event{Code: event.RequestQueued, Request: r.ID, Org: r.Org})
	}
	return out
}

// admit returns a refusal if the request must not be queued.
func (b *Board) admit(now time.Time, r *request) *Refusal {
	if b.closed != nil {
		return b.closed
	}
	if refusal := b.drainRefusal(now, r); refusal != nil {
		return refusal
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
		// The request was counted for its parts, which may show that another one is rarer.
		b.crashes.partsChanged = true
		return held
	}
	if oversized := b.oversizedRefusal(p, r); oversized != nil {
		return oversized
	}
	if refusal := b.cutOffRefusal(now, p, r); refusal != nil {
		return refusal
	}
	if !b.cutOff(now, p) {
		if backoff := b.backoffRefusal(now, p, r); backoff != nil {
			return backoff
		}
		if refusal := b.queueRefusal(now, p, r); refusal != nil {
			return refusal
		}
	}
	if refusal := b.admitOrg(now, r); refusal != nil {
		return refusal
	}
	b.takeReturn(now, p, r)
	return nil
}

// queueRefusal returns a refusal if this router's queue does not reach the request in time. It is
// for pools whose capacity is not divided jointly.
func (b *Board) queueRefusal(now time.Time, p *pool, r *request) *Refusal {
	if b.judgesAim(r) && p.urgentAim > 0 || r.Continues {
		return nil
	}
	wait := p.queue.wait(r.Org, b.weight(r.Org), p.throughput.rate(now))
	if limit := b.maxQueueTime(r); wait > limit {
		return &Refusal{
			Cause: CauseOverload, RetryAfter: max(wait-limit, b.minRetryAfter),
			Detail: fmt.Sprintf("the queue is %s long", wait.Round(time.Millisecond)),
		}
	}
	return nil
}

// cost returns the share of the pool's capacity that the request uses, in prefill tokens.
func (b *Board) cost(r *request) float64 {
	return float64(max(minCost, r.promptTokens()+decodeCost*r.MaxTokens))
}

func (b *Board) enqueue(now time.Time, r *request) {
	p := b.pools[r.Pool]
	if p.queue.n == 0 {
		// Throughput before this moment does not predict when capacity becomes free.
		p.throughput = newMeter(throughputWindow)
		p.throughput.at, p.throughput.begun = now, now
	}
	p.queue.push(r, b.weight(r.Org))
}

// dispatch sends queued requests while targets have capacity.
func (b *Board) dispatch(now time.Time) []Action {
	if b.snap == nil {
		return nil
	}
	out := b.refuseHeld(now)
	for _, p := range b.pools {
		if p.queue.n > 0 {
			b.saturated(now, p)
			if b.cutOff(now, p) {
				out = append(out, b.handOver(now, p)...)
			}
		}
		for p.queue.n > 0 {
			actions := b.sendNext(now, p)
			if len(actions) == 0 {
				break
			}
			out = append(out, actions...)
		}
	}
	return out
}

// sendNext sends or refuses one queued request. The first request in fair order whose best target has
// capacity is sent immediately. Otherwise a request may be sent to a worse target once it has
// waited for spillFactor times the extra cost, so a hot prefix spreads to more targets only
// when waiting for its own target costs more. A request that will be answered late is sent only if
// no other one is.
func (b *Board) sendNext(now time.Time, p *pool) []Action {
	var (
		spill, late *request
		// chosen is a copy of the candidate of the spilling request. Choosing again in a large
		// pool samples other members, none of which may have capacity.
		chosen         candidate
		leastRemaining = time.Duration(math.MaxInt64)
	)
	for _, r := range p.queue.heads(now) {
		if !b.pinAtPlacing(now, p, r) {
			continue
		}
		if p.releaseUnlisted(r) {
			return b.refuse(now, r, CauseNoTarget, "no target of release "+r.Pin.Release+" is left, at which the answer has to run")
		}
		if b.pinHolds(p, r) && b.rollouts[p.compiled.Name].phase == RolloutRolledBack {
			return b.refuse(now, r, CauseNoTarget, "release "+r.Pin.Release+", at which the answer has to begin, was rolled back")
		}
		if r.retryOwed && !b.retryAvailable(now, &p.retries) {
			continue
		}
		r.awaitingFill = false
		c, extra, admission := b.chooseAdmitted(now, p, r)
		if c == nil {
			switch {
			case admission == admitUnshared:
				return b.refuseUnshared(now, p, r)
			case admission == admitNever:
				return b.refuseLate(now, p, r)
			case admission == admitLate && late == nil:
				late = r
			}
			continue
		}
		if c, extra = b.awaitPendingFill(now, p, r, c, extra); c == nil {
			r.awaitingFill = true
			r.extendQueueDeadline(now.Add(fillRecheckInterval))
			continue
		}
		if extra <= tieWidth || b.disabled.Has(AwaitBest) {
			return []Action{b.send(now, p, r, c)}
		}
		if remaining := b.spillDelay(now, p, r, c, extra) - now.Sub(r.arrived); remaining < leastRemaining {
			spill, chosen, leastRemaining = r, *c, remaining
		}
	}
	if spill != nil && leastRemaining <= 0 {
		return []Action{b.send(now, p, spill, &chosen)}
	}
	if late == nil {
		return nil
	}
	c := b.chooseLate(now, p, late)
	if c == nil {
		return nil
	}
	b.noteSentLate(late)
	return []Action{b.send(now, p, late, c)}
}

// spillDelay returns how long after its arrival a request is sent to a target that costs extra
// more than its best one. With a stated aim this is early enough for the answer to begin in
// time.
func (b *Board) spillDelay(now time.Time, p *pool, r *request, c *candidate, extra time.Duration) time.Duration {
	switch {
	case r.Aim == 0:
		return min(spillFactor*extra, r.QueueTime/2)
	case b.judgesAim(r):
		return min(extra, r.Aim-b.firstTokenIn(now, p, c, r)-admitInterval)
	}
	return min(extra, r.Aim-c.timeToFirstToken(r))
}

// send creates an attempt of a queued request at the chosen target.
func (b *Board) send(now time.Time, p *pool, r *request, c *candidate) Send {
	p.queue.remove(r)
	p.queue.charge(r, b.weight(r.Org))
	if p.queue.n > 0 {
		p.throughput.add(now, r.cost)
	}
	b.countRelease(p, c.target)
	if r.tries == r.handoffs && r.peerTries == 0 && !r.Sent {
		b.earnRetry(now, &p.retries)
	}
	if r.retryOwed {
		r.retryOwed = false
		b.spendRetry(now, &p.retries)
	}
	a := &attempt{
		target: c.target, release: c.target.release, sent: now, progress: now, heldTokens: c.held.tokens, heldAge: c.held.age,
		predicted: c.timeToFirstToken(r),
	}
	id := r.newAttempt()
	a.Attempt = Attempt{
		ID: id, Request: r.ID, Target: c.target.addr, Incarnation: c.target.incarnation,
		Weights: c.weights, Salt: r.salt(c, id), Resume: r.delivered, Fetch: c.fetchFrom, Number: r.tries, Reason: c.reason(now, r, len(b.scratch)),
	}
	if c.chain != nil {
		a.FirstToken = b.firstTokenIn(now, p, c, r)
		a.uncached = c.uncached(r)
		a.ahead, a.crowded = c.target.tokensAhead(now), c.target.inFlight() >= c.target.slots()
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
	a.risky = b.lacksPlace(now, c.target, p)
	r.attempt = a
	if c.target.attempts == nil {
		c.target.attempts = make(map[string]*attempt)
	}
	c.target.attempts[a.ID] = a
	c.target.usedAt = now
	c.target.addPrefill(now, a.uncached)
	c.target.tokens += r.size()
	a.chargeLimit(now)
	b.emit(event.Event{
		Code: event.RequestPlaced, Request: r.ID, Attempt: a.ID, Org: r.Org,
		Target: c.target.name(), Revision: b.snap.Revision, Detail: a.Reason,
	})
	return Send{Attempt: a.Attempt}
}

// salt returns the salt for an attempt at a candidate.
func (r *request) salt(c *candidate, attempt string) string {
	if c.chain != nil {
		return c.chain.salt
	}
	return r.privateSalt(attempt).String()
}

// recordExpectedFill records immediately what the target will have cached, so that requests
// with the same uncached prefix are sent there instead of filling another cache.
func (b *Board) recordExpectedFill(now time.Time, c *candidate) {
	if len(c.chain.messageEnds) < 2 {
		b.prefixes.countRequest(c.chain)
	}
	b.prefixes.record(c.chain, len(c.chain.blocks), c.target.slot, now)
}
