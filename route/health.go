package route

import (
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/event"
)

// failureWindow is the time over which failures count against a target, and
// maxFailurePenalty what a target that fails every attempt costs.
const (
	failureWindow     = 4 * time.Second
	maxFailurePenalty = 2 * time.Second
)

// failurePenalty is what the failures seen lately cost a placement here. One more send
// than there were is counted, so that a single failure among few is no verdict.
func (b *Board) failurePenalty(now time.Time, t *target) time.Duration {
	t.failedSends.decay(now)
	if t.failedSends.value < 0.1 || b.disabled.Has(FailurePrice) {
		return 0
	}
	t.sends.decay(now)
	return time.Duration(t.failedSends.value / (t.sends.value + 1) * float64(maxFailurePenalty))
}

// markSilent takes a target out at once that this router found silent.
func (b *Board) markSilent(now time.Time, t *target) {
	t.silentAt = now
	b.markFailing(now, t, "it gave no sign of life")
}

// Reached takes the news that a target's machine took a new connection: what was
// silent was an old one.
func (b *Board) Reached(now time.Time, addr netip.AddrPort) []Action {
	t, ok := b.targets[addr]
	if !ok || t.silentAt.IsZero() || t.suspectedAt.After(t.silentAt) {
		return nil
	}
	t.silentAt = time.Time{}
	t.answeredAt = now
	b.recordRecovery(t)
	return b.dispatch(now)
}

// markFailing takes a target out that seems to be dark; its next sign of life brings it back.
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

// Unreachable takes the failure of a poll.
func (b *Board) Unreachable(now time.Time, addr netip.AddrPort) []Action {
	t, ok := b.targets[addr]
	if !ok {
		return nil
	}
	b.recordTargetFailure(t)
	return b.cancelStalled(now, t)
}

// recordTargetFailure counts a failure; several in a row take the target out until a poll succeeds.
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

// stallTime is how long an attempt at a failing target may show no progress.
const stallTime = 2 * time.Second

// cancelStalled ends the attempts at a failing target that no longer progress, so that they go elsewhere.
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
