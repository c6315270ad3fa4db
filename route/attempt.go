package route

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/event"
)

// The bounds of trying again.
const (
	maxTries     = 5
	firstBackoff = 20 * time.Millisecond
	drainWindow  = 2 * time.Second
	// headTries is how many of an organisation's first requests, and maxScan how
	// many of a pool's, are tried for a target with room.
	headTries = 4
	maxScan   = 24
	// spillFactor was measured: 1 spread too early and computed more, see docs/design/queueing.md.
	spillFactor = 3
	// decodePrice is what one generated token costs in prefill tokens.
	decodePrice = 4
	minCost     = 64
)

// Arrive takes a new request: it is sent, queued or refused at once.
func (b *Board) Arrive(now time.Time, req Request) []Action {
	r := &request{Request: req, arrived: now, tried: make(map[netip.AddrPort]bool), index: -1, draw: b.rng.Float64()}
	if refusal := b.admit(now, r); refusal != nil {
		b.note(event.Event{
			Code: event.RequestRefused, Request: r.ID, Org: r.Org,
			Detail: refusal.Cause.String() + ", not-run: " + refusal.Detail,
		})
		b.GiveBack(now, r.Charge)
		return []Action{Refuse{Request: r.ID, Refusal: *refusal}}
	}
	b.requests[r.ID] = r
	b.note(event.Event{Code: event.RequestArrived, Request: r.ID, Org: r.Org, Revision: b.snap.Revision})
	r.queuedTo = now.Add(b.queueTime(r))
	r.cost = b.cost(r)
	b.pools[r.Pool].offered.add(now, 1)
	b.countParts(now, r)
	b.enqueue(now, r)
	out := b.dispatch(now)
	if r.attempt == nil {
		b.note(event.Event{Code: event.RequestQueued, Request: r.ID, Org: r.Org})
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
	if rests := b.restRefusal(now, p, r); rests != nil {
		return rests
	}
	wait := p.queue.wait(r.Org, b.weight(r.Org), p.drained.rate(now))
	if limit := b.queueTime(r); wait > limit {
		return &Refusal{
			Cause: CauseOverload, RetryAfter: max(wait-limit, b.minRetryAfter),
			Detail: fmt.Sprintf("the queue is %s long", wait.Round(time.Millisecond)),
		}
	}
	return b.admitOrg(now, r)
}

// cost is what a request takes of a pool, in prefill tokens.
func (b *Board) cost(r *request) float64 {
	return float64(max(minCost, r.promptTokens()+decodePrice*r.MaxTokens))
}

func (b *Board) enqueue(now time.Time, r *request) {
	p := b.pools[r.Pool]
	if p.queue.n == 0 {
		// What was sent before says nothing of how soon there will be room now.
		p.drained = newMeter(drainWindow)
		p.drained.at, p.drained.begun = now, now
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
		for _, r := range o.items[:min(headTries, len(o.items))] {
			if now.Before(r.notBefore) {
				continue
			}
			if seen++; seen > maxScan {
				break
			}
			r.held = false
			c, extra := b.choose(now, p, r)
			if c == nil {
				continue
			}
			if c, extra = b.settle(now, p, r, c, extra); c == nil {
				r.held = true
				r.waitOn(now.Add(lookAgain))
				continue
			}
			if extra <= tieWidth || b.off.Has(AwaitBest) {
				return b.send(now, p, r, c), true
			}
			if short := b.spillTime(r, c, extra) - now.Sub(r.arrived); short < least {
				spill, chosen, least = r, *c, short
			}
		}
	}
	if spill == nil || least > 0 {
		return Send{}, false
	}
	return b.send(now, p, spill, &chosen), true
}

// spillTime is how long after its arrival a request goes to a target that costs more
// than its best by extra, at the latest so that its answer can still begin in time.
func (b *Board) spillTime(r *request, c *candidate, extra time.Duration) time.Duration {
	if r.Aim == 0 {
		return min(spillFactor*extra, r.QueueTime/2)
	}
	return min(extra, r.Aim-c.first(r))
}

// send makes an attempt of a waiting request at the chosen target.
func (b *Board) send(now time.Time, p *pool, r *request, c *candidate) Send {
	p.queue.remove(r)
	p.queue.charge(r, b.weight(r.Org))
	if p.queue.n > 0 {
		p.drained.add(now, r.cost)
	}
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
		a.fetched = c.fetched > 0 || c.assumed
		a.Import = c.imported
		if c.store != nil {
			c.store.moves.level -= float64(c.fetched - c.trusted)
		}
		a.Save = b.considerSave(now, c, r)
		b.countShared(now, r)
		b.expectFill(now, c)
		b.beginFill(now, c, r, a)
	}
	r.attempt = a
	c.target.attempts[a.ID] = a
	c.target.prefill += a.uncached
	c.target.tokens += r.size()
	a.chargeLimit(now)
	b.note(event.Event{
		Code: event.RequestPlaced, Request: r.ID, Attempt: a.ID, Org: r.Org,
		Target: c.target.name(), Revision: b.snap.Revision, Detail: a.Reason,
	})
	return Send{Attempt: a.Attempt}
}

// expectFill believes at once what the target will have prefilled, so that
// requests with the same cold prefix follow the first instead of filling another cache.
func (b *Board) expectFill(now time.Time, c *candidate) {
	if len(c.chain.bounds) < 2 {
		b.beliefs.count(c.chain)
	}
	b.beliefs.learn(c.chain, len(c.chain.blocks), c.target.slot, now)
}

// FirstToken notes that an attempt's prefill is over, which makes room for the next.
func (b *Board) FirstToken(now time.Time, requestID, attemptID string) []Action {
	r, a := b.current(requestID, attemptID)
	if a == nil || a.first {
		return nil
	}
	a.first, a.firstAt = true, now
	a.progress = now
	a.target.answeredAt = now
	if r.Model != nil {
		b.pools[r.Pool].firsts.add(now.Sub(a.sent), a.target.leastFirst(r))
	}
	b.learnRate(a.target, a.uncached, now.Sub(a.sent), a.fetched)
	b.endFill(a)
	a.target.prefill -= a.uncached
	b.recovered(a.target)
	if a.Salt != "" {
		b.tellFill(now, r, a)
		return append(b.offerExport(now, r, a), b.dispatch(now)...)
	}
	return b.dispatch(now)
}

// tellFill keeps the ends of the prompt's messages for the peers.
func (b *Board) tellFill(now time.Time, r *request, a *attempt) {
	c := r.chain(a.Weights)
	for i, n := range c.bounds {
		if i < len(c.bounds)-1 && a.uncached > 0 {
			b.fills = append(b.fills, Fill{Target: Mark{a.Target, a.Incarnation}, Block: c.blocks[n], at: now})
		}
	}
	b.trimFills(now)
	if extra := len(b.fills) - 4*maxFills; extra > 0 {
		b.fills = b.fills[extra:]
	}
}

// Progress notes that an attempt's answer goes on, and whether part of it reached the caller.
func (b *Board) Progress(now time.Time, requestID, attemptID string) {
	r, a := b.current(requestID, attemptID)
	if a == nil {
		return
	}
	a.progress = now
	a.target.answeredAt = now
	r.delivered = true
	r.weights = a.Weights
}

func (b *Board) current(requestID, attemptID string) (*request, *attempt) {
	r, ok := b.requests[requestID]
	if !ok || r.attempt == nil || r.attempt.ID != attemptID {
		return r, nil
	}
	return r, r.attempt
}

// Ended takes the end of an attempt and decides what becomes of its request.
func (b *Board) Ended(now time.Time, o Outcome) []Action {
	r, a := b.current(o.Request, o.Attempt)
	if a == nil {
		return nil
	}
	b.release(now, r, a)
	if o.Delivered {
		r.delivered = true
		r.weights = a.Weights
	}
	a.target.sends.add(now, 1)
	if o.Kind == OutcomeUnsent {
		a.giveBackLimit(now)
	}
	if o.Kind == OutcomeDone {
		a.target.answeredAt = now
		if o.TargetError {
			a.target.misses.add(now, 1)
		} else {
			b.bore(now, r, a)
		}
		b.observe(now, r, a, o.Usage)
		b.refund(now, r, o.Usage)
		b.forget(r)
		b.note(event.Event{Code: event.RequestAnswered, Request: r.ID, Attempt: a.ID, Org: r.Org, Target: a.target.name(), Detail: usageText(o.Usage)})
		return append([]Action{Finish{Request: r.ID}}, b.dispatch(now)...)
	}
	b.brokeOff(now, r, a, o)
	b.blame(now, a, o)
	r.verdict = max(r.verdict, b.verdictOf(r, o.Kind))
	return append(b.again(now, r, a, o), b.dispatch(now)...)
}

func usageText(u *Usage) string {
	if u == nil {
		return ""
	}
	return fmt.Sprintf("%d of %d prompt tokens cached, %d generated", u.Cached, u.Prompt, u.Completion)
}

// release takes an attempt off its target.
func (b *Board) release(now time.Time, r *request, a *attempt) {
	t := a.target
	delete(t.attempts, a.ID)
	b.endFill(a)
	t.tokens -= r.size()
	if !a.first {
		t.prefill -= a.uncached
	}
	held := now.Sub(a.sent)
	t.service += (held - t.service) / 8
	r.attempt = nil
}

// observe corrects beliefs by the engine's own count of cached tokens.
func (b *Board) observe(now time.Time, r *request, a *attempt, u *Usage) {
	b.recovered(a.target)
	if u == nil || a.Salt == "" || a.Resume {
		return
	}
	if a.heldTokens == 0 {
		return
	}
	if u.Cached+chainTokens > min(a.heldTokens, u.Prompt) {
		a.target.horizon.hit(a.heldAge)
		return
	}
	a.target.horizon.miss(a.heldAge)
}

// verdictOf says what an attempt's end means for whether its request ran.
func (b *Board) verdictOf(r *request, k OutcomeKind) Verdict {
	switch k {
	case OutcomeUnsent:
		return NotRun
	case OutcomeRefused:
		if p, ok := b.snap.Pool(r.Pool); ok && p.TrustRefusals {
			return NotRun
		}
		return MayHaveRun
	case OutcomeBroken, OutcomeMismatch:
		return MayHaveRun
	case OutcomeDone:
		return Ran
	}
	panic("route: unknown outcome")
}

// blame counts a failure against the target and drops what was believed of it.
func (b *Board) blame(now time.Time, a *attempt, o Outcome) {
	code := event.AttemptBroken
	if o.Kind == OutcomeRefused || o.Kind == OutcomeUnsent {
		code = event.AttemptRefused
	}
	detail := o.Kind.String() + ": " + o.Detail
	if r, ok := b.requests[o.Request]; ok && o.Kind == OutcomeBroken && r.Print.Known() {
		detail += fmt.Sprintf("; incarnation %s, fingerprint %s", a.Incarnation, r.Print)
	}
	b.note(event.Event{Code: code, Request: o.Request, Attempt: o.Attempt, Target: a.target.name(), Detail: detail})
	if o.Incarnation != "" && !o.Incarnation.Same(a.target.incarnation) {
		b.identify(now, a.target, o.Incarnation)
		a.target.stranger = b.reused
	}
	if o.Kind == OutcomeRefused && o.Incarnation.Same(a.Incarnation) && a.Salt != "" {
		b.misjudged(now, a)
	}
	if a.withdrawn {
		return
	}
	a.target.misses.add(now, 1)
	if r, ok := b.requests[o.Request]; ok && a.Salt != "" {
		b.beliefs.unlearn(r.chain(a.Weights), a.target.slot)
	}
	if o.Kind != OutcomeRefused && !a.cancelled && !o.TargetError {
		b.failed(a.target)
		if o.Silent {
			b.suspect(now, a.target)
		}
	}
}

// again sends a failed request once more, or refuses it where that is not allowed.
func (b *Board) again(now time.Time, r *request, a *attempt, o Outcome) []Action {
	r.tried[a.Target] = true
	switch {
	case !r.Repeatable && r.verdict != NotRun:
		return b.refuse(now, r, CauseBroken, "the call may not be repeated; "+o.Detail)
	case r.delivered && !r.Resumable:
		return b.refuse(now, r, CauseBroken, "part of the answer was delivered and it cannot be resumed; "+o.Detail)
	case b.crashes.holds(now, r.Print):
		return b.refuse(now, r, CauseCrashes, b.heldRefusal(now, r).Detail)
	case !now.Before(r.Deadline):
		return b.refuse(now, r, CauseDeadline, "the request's time is over")
	case r.sends(o) >= r.triesAllowed() || b.off.Has(Retrying):
		return b.refuse(now, r, CauseRetries, "tried too often; "+o.Detail)
	case !b.freeRetry(o) && !b.spendRetry(now, &b.pools[r.Pool].retries):
		return b.refuse(now, r, CauseRetries, "the pool's retry budget is used up; "+o.Detail)
	}
	code := event.RequestRetried
	if r.delivered {
		code = event.RequestResumed
	}
	b.note(event.Event{Code: code, Request: r.ID, Attempt: a.ID, Org: r.Org})
	r.notBefore = now.Add(b.backoff(r))
	r.queuedTo = b.queuedAgain(now, r)
	b.enqueue(now, r)
	return nil
}

// sends counts the targets that the request was sent to. With a bound of its own,
// an attempt of which no byte left is none, up to the board's bound on tries.
func (r *request) sends(o Outcome) int {
	if o.Kind == OutcomeUnsent {
		r.unsent++
	}
	if r.MaxTries == 0 || r.tries >= maxTries {
		return r.tries
	}
	return r.tries - r.unsent
}

// triesAllowed is how many targets the request may be sent to.
func (r *request) triesAllowed() int {
	if r.MaxTries > 0 {
		return r.MaxTries
	}
	return maxTries
}

// backoff holds a retry back: not at all the first time, since another target
// takes it, then for a doubled and jittered time.
func (b *Board) backoff(r *request) time.Duration {
	if r.tries < 2 {
		return 0
	}
	d := firstBackoff << (r.tries - 2)
	return d/2 + time.Duration(b.rng.Int64N(int64(d)))
}

// refuse gives a request its final answer at once.
func (b *Board) refuse(now time.Time, r *request, cause Cause, detail string) []Action {
	if r.index >= 0 {
		b.pools[r.Pool].queue.remove(r)
	}
	b.uncharge(now, r)
	if r.attempt != nil {
		b.release(now, r, r.attempt)
	}
	b.forget(r)
	code := event.RequestRefused
	if r.delivered {
		code = event.AnswerUnfinished
	}
	b.note(event.Event{Code: code, Request: r.ID, Org: r.Org, Detail: cause.String() + ", " + r.verdict.String() + ": " + detail})
	return []Action{Refuse{Request: r.ID, Refusal: Refusal{
		Cause: cause, Verdict: r.verdict, RetryAfter: b.retryAfter(now, r), Detail: detail,
	}}}
}

// retryAfter works out from the queue when a repeat would be served.
func (b *Board) retryAfter(now time.Time, r *request) time.Duration {
	if held := b.heldRefusal(now, r); held != nil {
		return held.RetryAfter
	}
	p, ok := b.pools[r.Pool]
	if !ok {
		return b.minRetryAfter
	}
	return max(b.minRetryAfter, b.restOver(now, p), p.queue.wait(r.Org, b.weight(r.Org), p.drained.rate(now)))
}

// uncharge gives back the charge of a request that ends without having run anywhere.
func (b *Board) uncharge(now time.Time, r *request) {
	if r.verdict == NotRun && r.attempt == nil && !r.delivered {
		b.GiveBack(now, r.Charge)
	}
}

// forget takes a request off the board and gives its place in the limits back.
func (b *Board) forget(r *request) {
	delete(b.requests, r.ID)
	if o, ok := b.orgs[r.Org]; ok && o.inFlight > 0 {
		o.inFlight--
	}
}

// Gone takes the news that a caller left.
func (b *Board) Gone(now time.Time, requestID string) []Action {
	r, ok := b.requests[requestID]
	if !ok {
		return nil
	}
	var out []Action
	b.uncharge(now, r)
	if r.index >= 0 {
		b.pools[r.Pool].queue.remove(r)
	}
	if a := r.attempt; a != nil {
		b.release(now, r, a)
		out = append(out, Cancel{Request: r.ID, Attempt: a.ID})
	}
	b.forget(r)
	b.note(event.Event{Code: event.CallerGone, Request: r.ID, Org: r.Org})
	return append(out, b.dispatch(now)...)
}
