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

// markUnresponsive marks a target as failing because it did not respond to this router.
func (b *Board) markUnresponsive(now time.Time, t *target) {
	t.unresponsiveAt = now
	b.markFailing(now, t, "it did not respond")
}

// Reached records that a target's machine accepted a new connection, so only the earlier connection
// was unresponsive.
func (b *Board) Reached(now time.Time, addr netip.AddrPort) []Action {
	t, ok := b.targets[addr]
	if ok {
		b.targetAnswered(now, t, now)
	}
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

// cancelStalled cancels stalled attempts at a failing target, so that they are retried elsewhere.
func (b *Board) cancelStalled(now time.Time, t *target) []Action {
	if !t.failing {
		return nil
	}
	var out []Action
	for _, a := range t.attempts {
		if !a.cancelled && now.Sub(a.progress) > stallTime {
			a.cancelled = true
			out = append(out, Cancel{Request: a.Request, Attempt: a.ID})
		}
	}
	return out
}
