package route

import (
	"fmt"
	"time"

	"github.com/pathhead/pathhead/event"
)

// Constants of retrying.
const (
	maxTries     = 5
	firstBackoff = 20 * time.Millisecond
)

// FirstToken records that the prefill of an attempt is complete, which frees capacity at its
// target.
func (b *Board) FirstToken(now time.Time, requestID, attemptID string) []Action {
	r, a := b.current(requestID, attemptID)
	if a == nil || a.firstToken {
		return nil
	}
	a.firstToken, a.firstTokenAt = true, now
	a.progress = now
	a.target.answeredAt = now
	if a.Via.IsValid() {
		return nil
	}
	a.target.reprobe.answerBegun()
	b.targetAnswered(now, a.target, a.sent)
	if r.Model != nil {
		b.pools[r.Pool].firstTokens.add(now.Sub(a.sent), a.target.minFirstToken(r))
		b.pools[r.Pool].forecasts.observe(now, a.predicted, now.Sub(a.sent))
	}
	b.observePrefill(now, a)
	b.endFill(a)
	a.target.prefill -= a.uncached
	b.recordRecovery(a.target)
	if r.Model != nil {
		b.recordFills(now, r, a)
		return append(b.offerExport(now, r, a), b.dispatch(now)...)
	}
	return b.dispatch(now)
}

// recordFills stores the message ends of the prompt for the next report to peers.
func (b *Board) recordFills(now time.Time, r *request, a *attempt) {
	c := r.chain(a.Weights)
	for i, n := range c.messageEnds {
		if i < len(c.messageEnds)-1 && a.uncached > 0 {
			b.fills = append(b.fills, Fill{Target: TargetKey{a.Target, a.Incarnation}, Block: c.blocks[n], at: now})
		}
	}
	b.trimFills(now)
	if extra := len(b.fills) - 4*maxFills; extra > 0 {
		b.fills = b.fills[extra:]
	}
}

// Progress records that an attempt's answer is progressing, and that a part of it reached the
// caller.
func (b *Board) Progress(now time.Time, requestID, attemptID string) {
	r, a := b.current(requestID, attemptID)
	if a == nil {
		return
	}
	a.progress = now
	a.target.answeredAt = now
	b.vouchWhileStreaming(now, r, a)
	r.continueBy = time.Time{}
	r.noteDelivered(a)
}

// noteDelivered records that the caller has a part of the answer, which goes on only at the release that
// began it.
func (r *request) noteDelivered(a *attempt) {
	r.delivered = true
	r.weights = a.Weights
	if !r.Pin.Set && !a.Via.IsValid() {
		r.Pin = PinTo(a.release)
	}
}

func (b *Board) current(requestID, attemptID string) (*request, *attempt) {
	r, ok := b.requests[requestID]
	if !ok || r.attempt == nil || r.attempt.ID != attemptID {
		return r, nil
	}
	return r, r.attempt
}

// Ended records the end of an attempt and then finishes, retries or refuses its request.
func (b *Board) Ended(now time.Time, o Outcome) []Action {
	r, a := b.current(o.Request, o.Attempt)
	if a == nil {
		return nil
	}
	if a.Via.IsValid() {
		return append(b.handoffEnded(now, r, a, o), b.dispatch(now)...)
	}
	b.detachAttempt(now, r, a)
	b.observeLink(now, a, o)
	if o.Delivered {
		r.noteDelivered(a)
	}
	a.target.sends.add(now, 1)
	if o.Kind == OutcomeUnsent {
		a.refundLimit(now)
	}
	if o.Kind == OutcomeDone {
		a.target.answeredAt = now
		a.target.reprobe.answered()
		if o.TargetError {
			a.target.failedSends.add(now, 1)
		} else {
			b.recordCompleted(now, r, a)
		}
		b.recordReleaseResult(now, r, a, o.TargetError)
		b.learnFromUsage(now, r, a, o.Usage)
		b.refundUnusedTokens(now, r, o.Usage)
		b.removeRequest(r)
		b.emit(event.Event{Code: event.RequestAnswered, Request: r.ID, Attempt: a.ID, Org: r.Org, Target: a.target.name(), Detail: usageText(o.Usage)})
		return append([]Action{Finish{Request: r.ID}}, b.dispatch(now)...)
	}
	if o.Local {
		return append(b.endLocally(now, r, a, o), b.dispatch(now)...)
	}
	if o.Kind == OutcomeBroken {
		o.Silent = o.Silent || !o.Closed && a.silentSince()
		b.recordReleaseResult(now, r, a, true)
	}
	b.recordBroken(now, r, a, o)
	o.Detail += b.refusalText(now, r, a, o)
	b.recordFailure(now, a, o)
	r.verdict = max(r.verdict, b.verdictOf(r, o.Kind))
	return append(b.retryOrRefuse(now, r, a, o), b.dispatch(now)...)
}

// endLocally refuses a request whose answer this node could not take.
func (b *Board) endLocally(now time.Time, r *request, a *attempt, o Outcome) []Action {
	b.emit(event.Event{Code: event.AttemptBroken, Request: r.ID, Attempt: a.ID, Target: a.target.name(), Detail: "this node: " + o.Detail})
	r.verdict = max(r.verdict, b.verdictOf(r, o.Kind))
	return b.refuse(now, r, CauseMemory, o.Detail)
}

func usageText(u *Usage) string {
	if u == nil {
		return ""
	}
	return fmt.Sprintf("%d of %d prompt tokens cached, %d generated", u.Cached, u.Prompt, u.Completion)
}

// detachAttempt removes an attempt from its target.
func (b *Board) detachAttempt(now time.Time, r *request, a *attempt) {
	t := a.target
	delete(t.attempts, a.ID)
	if a.Via.IsValid() {
		r.attempt = nil
		b.handoffs.detach(a.Via)
		return
	}
	b.endFill(a)
	t.tokens -= r.size()
	if !a.firstToken {
		t.prefill -= a.uncached
	}
	duration := now.Sub(a.sent) - a.callerWait
	t.service += (duration - t.service) / 8
	r.attempt = nil
}

// learnFromUsage adjusts the target's eviction horizon to the number of cached tokens that the
// engine reports.
func (b *Board) learnFromUsage(now time.Time, r *request, a *attempt, u *Usage) {
	b.recordRecovery(a.target)
	if u == nil || r.Model == nil || a.Resume {
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

// verdictOf returns what the outcome of an attempt implies about whether the request ran.
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

// recordFailure counts a failure against the target and removes the request's prefix from the
// target's assumed cache contents.
func (b *Board) recordFailure(now time.Time, a *attempt, o Outcome) {
	code := event.AttemptBroken
	if o.Kind == OutcomeRefused || o.Kind == OutcomeUnsent {
		code = event.AttemptRefused
	}
	detail := o.Kind.String() + ": " + o.Detail
	if r, ok := b.requests[o.Request]; ok && o.Kind == OutcomeBroken && r.Print.Known() {
		detail += brokenDetail(r, a)
	}
	b.emit(event.Event{Code: code, Request: o.Request, Attempt: o.Attempt, Target: a.target.name(), Detail: detail})
	if r, ok := b.requests[o.Request]; ok && o.Incarnation != "" {
		b.learnSuccessor(now, r, a, o)
	}
	b.learnFromRefusal(now, a, o)
	b.recordRejection(now, a, o)
	if a.withdrawn {
		return
	}
	a.target.failedSends.add(now, 1)
	if r, ok := b.requests[o.Request]; ok && r.Model != nil {
		b.prefixes.forget(r.chain(a.Weights), a.target.slot)
	}
	switch {
	case o.Kind == OutcomeRefused || o.TargetError:
		a.target.reprobe.answered()
	case o.Kind == OutcomeBroken:
		a.target.reprobe.lost(now, a.sent)
	}
	if o.Kind != OutcomeRefused && !a.cancelled && !o.TargetError {
		b.recordTargetFailure(a.target)
		if o.Silent {
			b.markUnresponsive(now, a.target)
		}
	}
}

// maxLoggedParts bounds the parts that an event names.
const maxLoggedParts = 8

// brokenDetail describes a broken attempt for the event: at which incarnation, whether the answer had
// begun, and the fingerprints of the request and its parts.
func brokenDetail(r *request, a *attempt) string {
	state := "before the first token"
	if a.firstToken {
		state = "after the first token"
	}
	out := fmt.Sprintf("; incarnation %s, %s, fingerprint %s", a.Incarnation, state, r.Print)
	if parts := r.crashParts(); len(parts) > 0 {
		out += fmt.Sprintf(", parts %v", parts[:min(len(parts), maxLoggedParts)])
	}
	return out
}

// finalFailure returns why a request must not be sent again after a failed attempt; ok is false if it
// may.
func (b *Board) finalFailure(now time.Time, r *request, o Outcome) (cause Cause, detail string, ok bool) {
	switch {
	case !r.Repeatable && r.verdict != NotRun:
		return CauseBroken, "the call may not be repeated; " + o.Detail, true
	case r.delivered && !r.Resumable:
		return CauseBroken, "part of the answer was delivered and it cannot be resumed; " + o.Detail, true
	}
	if held := b.heldRefusal(now, r); held != nil {
		return CauseCrashes, held.Detail, true
	}
	if !now.Before(r.Deadline) {
		return CauseDeadline, "the request's time is over", true
	}
	return cause, "", false
}

// retryOrRefuse queues a failed request for another attempt, or refuses it if it must not be
// retried.
func (b *Board) retryOrRefuse(now time.Time, r *request, a *attempt, o Outcome) []Action {
	r.tried[a.Target] = true
	why, detail, final := b.finalFailure(now, r, o)
	switch {
	case final:
		return b.refuse(now, r, why, detail)
	case b.mayResend(now, r, a, o):
		return b.resend(now, r, a)
	case r.delivered && (o.Kind == OutcomeRefused || o.Kind == OutcomeUnsent) && !b.disabled.Has(Retrying):
		b.continueLater(now, r, a, o)
		return nil
	case r.countedTries(o) >= r.maxAllowedTries() || b.disabled.Has(Retrying):
		return b.refuse(now, r, CauseRetries, "tried too often; "+o.Detail)
	case !r.retryPaid && !b.freeRetry(o) && !b.spendRetry(now, &b.pools[r.Pool].retries):
		return b.refuse(now, r, CauseRetries, "the pool's retry budget is used up; "+o.Detail)
	}
	code := event.RequestRetried
	if r.delivered {
		code = event.RequestResumed
	}
	b.emit(event.Event{Code: code, Request: r.ID, Attempt: a.ID, Org: r.Org})
	r.retryPaid = false
	r.notBefore = now.Add(b.backoff(r))
	r.queueDeadline = b.retryQueueDeadline(now, r)
	b.enqueue(now, r)
	return nil
}

// minContinueDelay and maxContinueDelay bound the time after which an answer whose continuation a
// target refused is tried again. It doubles with each refusal.
const (
	minContinueDelay = 50 * time.Millisecond
	maxContinueDelay = time.Second
)

// continueLater queues a request whose answer has begun and is to continue at another target, until
// one takes it or the request's time is over: only closing the caller's connection is left else. Each
// further attempt that reaches a target needs a retry from the budget.
func (b *Board) continueLater(now time.Time, r *request, a *attempt, o Outcome) {
	b.emit(event.Event{Code: event.RequestResumed, Request: r.ID, Attempt: a.ID, Org: r.Org})
	r.retryPaid, r.retryOwed = false, !b.freeRetry(o)
	delay := min(minContinueDelay<<min(r.continuations, 8), maxContinueDelay)
	r.continuations++
	r.notBefore = now.Add(delay/2 + time.Duration(b.rng.Int64N(int64(delay))))
	r.queueDeadline = b.continueDeadline(now, r)
	b.enqueue(now, r)
}

// releasePatience is how long an answer that has begun waits for a target of its release, where the pool
// has several, and how long one waits that its caller resumes. Callers abandon a stream that is silent for two seconds.
const releasePatience = 1500 * time.Millisecond

// continueDeadline returns until when an answer that has begun waits for a target that continues it.
func (b *Board) continueDeadline(now time.Time, r *request) time.Time {
	if !r.Pin.Set || !b.HasSeveralReleases(r.Pool) {
		return r.Deadline
	}
	if r.continueBy.IsZero() {
		r.continueBy = now.Add(releasePatience)
	}
	if r.continueBy.Before(r.Deadline) {
		return r.continueBy
	}
	return r.Deadline
}

// countedTries returns the number of attempts that count towards the request's limit. If the
// request states a limit, attempts of which no byte was sent and further ones at the same target do
// not count, until maxTries is reached.
func (r *request) countedTries(o Outcome) int {
	if o.Kind == OutcomeUnsent {
		r.unsent++
	}
	if r.MaxTries == 0 || r.tries >= maxTries {
		return r.tries
	}
	return r.countedSends()
}

// maxAllowedTries returns the number of attempts that the request may make.
func (r *request) maxAllowedTries() int {
	if r.MaxTries > 0 {
		return r.MaxTries
	}
	return maxTries
}

// backoff returns the delay before the next attempt. The first retry is immediate, since it
// goes to another target; further delays double and have jitter.
func (b *Board) backoff(r *request) time.Duration {
	if r.tries < 2 {
		return 0
	}
	d := firstBackoff << (r.tries - 2)
	return d/2 + time.Duration(b.rng.Int64N(int64(d)))
}

// refuse ends a request with a refusal.
func (b *Board) refuse(now time.Time, r *request, cause Cause, detail string) []Action {
	if r.index >= 0 {
		b.pools[r.Pool].queue.remove(r)
	}
	b.refundUnrun(now, r)
	if r.attempt != nil {
		b.detachAttempt(now, r, r.attempt)
	}
	b.removeRequest(r)
	code := event.RequestRefused
	if r.delivered {
		code = event.AnswerUnfinished
	}
	b.emit(event.Event{Code: code, Request: r.ID, Org: r.Org, Route: r.Route, Tokens: r.promptTokens(), Detail: cause.String() + ", " + r.verdict.String() + ": " + detail})
	return []Action{Refuse{Request: r.ID, Refusal: Refusal{
		Cause: cause, Verdict: r.verdict, RetryAfter: b.retryAfter(now, r), Detail: detail, Tries: r.countedSends(),
	}}}
}

// retryAfter estimates from the queue when the request could be served.
func (b *Board) retryAfter(now time.Time, r *request) time.Duration {
	if held := b.heldRefusal(now, r); held != nil {
		return held.RetryAfter
	}
	p, ok := b.pools[r.Pool]
	if !ok {
		return b.minRetryAfter
	}
	if p.urgentAim > 0 && r.Model != nil {
		return max(b.backoffRemaining(now, p), b.overloadRetryAfter(now, p, r))
	}
	return max(b.minRetryAfter, b.backoffRemaining(now, p), p.queue.wait(r.Org, b.weight(r.Org), p.throughput.rate(now)))
}

// refundUnrun refunds the charge of a request that ends without having run.
func (b *Board) refundUnrun(now time.Time, r *request) {
	if r.verdict == NotRun && r.attempt == nil && !r.delivered {
		b.RefundCharge(now, r.Charge)
	}
}

// removeRequest removes a request and releases its slot in the organisation's limit of
// concurrent requests.
func (b *Board) removeRequest(r *request) {
	delete(b.requests, r.ID)
	if o, ok := b.orgs[r.Org]; ok && o.inFlight > 0 {
		o.inFlight--
	}
}

// CallerGone ends a request whose caller disconnected.
func (b *Board) CallerGone(now time.Time, requestID string) []Action {
	r, ok := b.requests[requestID]
	if !ok {
		return nil
	}
	var out []Action
	b.refundUnrun(now, r)
	if r.index >= 0 {
		b.pools[r.Pool].queue.remove(r)
	}
	if a := r.attempt; a != nil {
		b.detachAttempt(now, r, a)
		out = append(out, Cancel{Request: r.ID, Attempt: a.ID})
	}
	b.removeRequest(r)
	b.emit(event.Event{Code: event.CallerGone, Request: r.ID, Org: r.Org})
	return append(out, b.dispatch(now)...)
}
