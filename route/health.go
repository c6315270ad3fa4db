package route

import (
	"net/netip"
	"slices"
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

// Unresponsive records that a target's machine accepted no connection that was tried since the given
// time. It has no effect if the target answered meanwhile.
func (b *Board) Unresponsive(now time.Time, addr netip.AddrPort, since time.Time) []Action {
	if t, ok := b.targets[addr]; ok && !t.answeredAt.After(since) {
		b.targetDark(now, t, now)
		b.markUnresponsive(now, t)
	}
	return nil
}

// Responds reports whether a target answered this router, or accepted a connection, a moment ago.
func (b *Board) Responds(now time.Time, addr netip.AddrPort) bool {
	t, ok := b.targets[addr]
	return ok && now.Sub(t.answeredAt) < answerValidTime
}

// markUnresponsive marks a target as failing because it did not respond to this router.
func (b *Board) markUnresponsive(now time.Time, t *target) {
	t.unresponsiveAt = now
	b.markFailing(now, t, "it did not respond")
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

// recordTargetFailure counts a failure. Several in a row mark the target as failing until a poll or
// a probe succeeds.
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
	t.reprobe.recovered()
	if !t.failing {
		return
	}
	b.version++
	t.failing = false
	b.emit(event.Event{Code: event.TargetHealthy, Target: t.name()})
}

// stallTime is how long an attempt at a failing target may go without progress.
const stallTime = 2 * time.Second

// cancelStalled cancels stalled attempts that are to be retried elsewhere than at a failing target, and
// those at an incarnation that another one has replaced.
func (b *Board) cancelStalled(now time.Time, t *target) []Action {
	var out []Action
	for _, a := range t.attempts {
		if a.cancelled || now.Sub(a.progress) <= stallTime {
			continue
		}
		if t.replaced(a) || t.failing && b.GiveUp(now, a.Request, a.ID) {
			b.recordSilence(now, a)
			a.cancelled = true
			out = append(out, Cancel{Request: a.Request, Attempt: a.ID})
		}
	}
	return out
}

// replaced reports whether another incarnation is known to have replaced the one of an attempt.
func (t *target) replaced(a *attempt) bool {
	return t.incarnation != "" && a.Incarnation != "" && !t.incarnation.Same(a.Incarnation)
}

// silentSince reports whether the machine of an attempt's target stopped responding after the attempt
// was sent, as far as this router found itself.
func (a *attempt) silentSince() bool {
	return a.target.unresponsiveAt.After(a.sent) && !a.target.answeredAt.After(a.target.unresponsiveAt)
}

// recordSilence records that an attempt ends at a target whose machine stopped responding or was
// replaced: the request may have crashed it.
func (b *Board) recordSilence(now time.Time, a *attempt) {
	r, ok := b.requests[a.Request]
	if ok && (a.silentSince() || a.target.replaced(a)) {
		b.recordBroken(now, r, a, Outcome{Kind: OutcomeBroken, Silent: true})
	}
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
	case !b.retryable(now, r), !b.hasOther(now, r, a.target), !b.spendRetry(now, &b.pools[r.Pool].retries):
		return false
	}
	r.retryPaid = true
	return true
}

// retryable reports whether a request may be sent again after an attempt that may have run.
func (b *Board) retryable(now time.Time, r *request) bool {
	return r.Repeatable && (!r.delivered || r.Resumable) && now.Before(r.Deadline) &&
		r.countedTries(Outcome{Kind: OutcomeBroken}) < r.maxAllowedTries() &&
		!b.disabled.Has(Retrying) && b.heldRefusal(now, r) == nil
}

// hasOther reports whether another target than t, which the request was not sent to yet, can take it,
// or another router if this one is cut off.
func (b *Board) hasOther(now time.Time, r *request, t *target) bool {
	p := b.pools[r.Pool]
	if b.cutOff(now, p) {
		_, ok := b.chooseHandoffPeer(now, p)
		return ok && r.mayBeHandedOver()
	}
	return slices.ContainsFunc(b.candidates(now, p, r), func(c candidate) bool {
		return c.target != t && !r.tried[c.target.addr] && b.hasCapacity(c.target, p)
	})
}
