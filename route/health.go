package route

import (
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/event"
)

// failureWindow is the time over which failures count against a target, and maxFailurePenalty the
// penalty of a target that fails every attempt.
const (
	failureWindow     = 4 * time.Second
	maxFailurePenalty = 2 * time.Second
)

// failurePenalty returns the placement cost of a target's recent failures. One more send than
// observed is counted, so that a single failure among few sends has little weight.
func (b *Board) failurePenalty(now time.Time, t *target) time.Duration {
	t.failedSends.decay(now)
	if t.failedSends.value < 0.1 || b.disabled.Has(FailurePrice) {
		return 0
	}
	t.sends.decay(now)
	return time.Duration(t.failedSends.value / (t.sends.value + 1) * float64(maxFailurePenalty))
}

// Unresponsive records that a target's machine accepts no new connection although no failure is
// known.
func (b *Board) Unresponsive(now time.Time, addr netip.AddrPort) []Action {
	if t, ok := b.targets[addr]; ok {
		b.markUnresponsive(now, t)
	}
	return nil
}

// markUnresponsive marks a target as failing because it did not respond to this router.
func (b *Board) markUnresponsive(now time.Time, t *target) {
	t.unresponsiveAt = now
	b.markFailing(now, t, "it did not respond")
}

// Reached records that a target's machine accepted a new connection, so only the earlier connection
// was unresponsive.
func (b *Board) Reached(now time.Time, addr netip.AddrPort) []Action {
	t, ok := b.targets[addr]
	if !ok || t.unresponsiveAt.IsZero() || t.suspectedAt.After(t.unresponsiveAt) {
		return nil
	}
	t.unresponsiveAt = time.Time{}
	t.answeredAt = now
	b.recordRecovery(t)
	return b.dispatch(now)
}

// markFailing marks a target that appears to be down as failing until it responds again.
func (b *Board) markFailing(now time.Time, t *target, why string) {
	t.suspectedAt = now
	t.failures = max(t.failures, failuresToFail)
	if t.failing {
		return
	}
	b.version++
	t.failing = true
	b.emit(event.Event{Code: event.TargetFailing, Target: t.name(), Detail: why})
}

// Unreachable records a failed poll.
func (b *Board) Unreachable(now time.Time, addr netip.AddrPort) []Action {
	t, ok := b.targets[addr]
	if !ok {
		return nil
	}
	b.recordTargetFailure(t)
	return b.cancelStalled(now, t)
}

// recordTargetFailure counts a failure. Several in a row mark the target as failing until a poll
// succeeds.
func (b *Board) recordTargetFailure(t *target) {
	t.failures++
	if t.failures < failuresToFail || t.failing {
		return
	}
	b.version++
	t.failing = true
	b.emit(event.Event{Code: event.TargetFailing, Target: t.name()})
}

func (b *Board) recordRecovery(t *target) {
	t.failures = 0
	if !t.failing {
		return
	}
	b.version++
	t.failing = false
	b.emit(event.Event{Code: event.TargetHealthy, Target: t.name()})
}

// stallTime is how long an attempt at a failing target may go without progress.
const stallTime = 2 * time.Second

// cancelStalled cancels stalled attempts at a failing target that are to be retried elsewhere, and
// those at an incarnation that has ended.
func (b *Board) cancelStalled(now time.Time, t *target) []Action {
	var out []Action
	for _, a := range t.attempts {
		if a.cancelled || now.Sub(a.progress) <= stallTime {
			continue
		}
		if ended := !t.incarnation.Same(a.Incarnation); ended || t.failing && b.GiveUp(now, a.Request, a.ID) {
			a.cancelled = true
			out = append(out, Cancel{Request: a.Request, Attempt: a.ID})
		}
	}
	return out
}

// GiveUp reports whether an attempt whose target is silent is to be given up, and takes the retry
// that follows from the budget. A sound target may be silent for a while and then complete its
// answer. If the request cannot go to another target now, giving the attempt up would only end its
// answer sooner.
func (b *Board) GiveUp(now time.Time, requestID, attemptID string) bool {
	r, a := b.current(requestID, attemptID)
	switch {
	case a == nil, r.retryPaid:
		return true
	case !b.retryable(now, r), !b.hasOther(r, a.target), !b.spendRetry(now, &b.pools[r.Pool].retries):
		return false
	}
	r.retryPaid = true
	return true
}

// retryable reports whether a request may be sent again after an attempt that may have run.
func (b *Board) retryable(now time.Time, r *request) bool {
	return r.Repeatable && (!r.delivered || r.Resumable) && now.Before(r.Deadline) &&
		r.countedTries(Outcome{Kind: OutcomeBroken}) < r.maxAllowedTries() &&
		!b.disabled.Has(Retrying) && !b.crashes.holds(now, r.Print)
}

// hasOther reports whether another target than t, which the request was not sent to yet, has capacity.
func (b *Board) hasOther(r *request, t *target) bool {
	p := b.pools[r.Pool]
	return p.hasUsable(func(o *target) bool { return o != t && !r.tried[o.addr] && b.hasCapacity(o, p) })
}
