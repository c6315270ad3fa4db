package route

import (
	"fmt"
	"time"

	"github.com/pathhead/pathhead/event"
)

// TargetHints are what an answer states about the target that gave it.
type TargetHints struct {
	// Draining is set if the target is draining.
	Draining bool
	Limit    LimitHint
	Brittle  BrittleHint
	// Backoff is how long the target, which rejected a request, wants no further requests from this
	// router.
	Backoff time.Duration
	// Model is the model of the request and Weights the weights of it that the target has; Weights
	// is empty if the answer states none.
	Model, Weights string
}

// LimitHint is the number of requests per second that a target accepts from all routers together,
// as stated by an answer. The zero value states no limit.
type LimitHint struct {
	Named     bool
	PerSecond float64
	// Invalid is set if the limit could not be parsed; the known limit then stays in force.
	Invalid bool
}

// ApplyHints applies the hints in an answer to a request that was sent at the given time. They
// apply to the incarnation that answered and are discarded with it.
func (b *Board) ApplyHints(now time.Time, m TargetKey, sent time.Time, hints TargetHints) {
	if hints.Draining {
		b.marks[m] = true
	}
	if t, ok := b.targets[m.Target]; ok && m.Incarnation.Same(t.incarnation) {
		if hints.Draining {
			// The target knows this before the list, which may be unavailable or outdated.
			b.setDraining(t, "its own answer")
		}
		b.applyLimitHint(now, t, sent, hints.Limit)
		b.applyBrittleHint(now, t, sent, hints.Brittle)
		b.applyBackoff(now, t, hints.Backoff)
		b.applyWeightsHint(now, t, hints)
	}
}

// unlistedHints are the hints of an incarnation that left the list.
type unlistedHints struct {
	incarnation  Incarnation
	limit        targetLimit
	brittle      brittleness
	backoffUntil time.Time
}

// retainHints keeps the hints of a target that leaves the list. Entries also expire while the store
// is unavailable.
func (b *Board) retainHints(t *target) {
	if t.limit.seq > 0 || t.brittle.seq > 0 || !t.backoffUntil.IsZero() {
		b.unlisted[t.addr] = unlistedHints{t.incarnation, t.limit, t.brittle, t.backoffUntil}
	}
}

// restoreHints restores the retained hints of a target that is listed again, unless another
// incarnation has its address.
func (b *Board) restoreHints(t *target) {
	if hints, ok := b.unlisted[t.addr]; ok && hints.incarnation.Same(t.incarnation) {
		t.limit, t.brittle, t.backoffUntil = hints.limit, hints.brittle, hints.backoffUntil
	}
	delete(b.unlisted, t.addr)
}

// applyBackoff applies a target's request to get no requests from this router for a while. A cost
// would not suffice: if the other targets of the pool fail, the target would soon be the cheapest
// again.
func (b *Board) applyBackoff(now time.Time, t *target, backoff time.Duration) {
	until := now.Add(backoff)
	if backoff <= 0 || !until.After(t.backoffUntil) {
		return
	}
	if !t.backingOff(now) {
		b.emit(event.Event{Code: event.TargetRests, Target: t.name(), Detail: "for " + backoff.String()})
	}
	t.backoffUntil = until
	if until.After(b.backoffUntil) {
		b.backoffUntil = until
	}
}

// backingOff reports whether the target wants no requests from this router now, or carries out an
// order and would refuse them.
func (t *target) backingOff(now time.Time) bool {
	return now.Before(t.backoffUntil) || now.Before(t.loadingUntil)
}

// withoutBackoff returns the servers that are not backing off.
func (b *Board) withoutBackoff(now time.Time, list []server) []server {
	if !now.Before(b.backoffUntil) {
		return list
	}
	var out []server
	for _, s := range list {
		if !s.target.backingOff(now) {
			out = append(out, s)
		}
	}
	return out
}

// backoffRemaining returns the time until a target of the pool accepts requests again, or zero if
// one does so now.
func (b *Board) backoffRemaining(now time.Time, p *pool) time.Duration {
	if !now.Before(b.backoffUntil) {
		return 0
	}
	shortest := time.Duration(0)
	for _, t := range p.members {
		if !t.usable() {
			continue
		}
		left := later(t.backoffUntil, t.loadingUntil).Sub(now)
		if left <= 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// backoffRefusal refuses a request immediately if no target of its pool accepts requests within its
// queue time.
func (b *Board) backoffRefusal(now time.Time, p *pool, r *request) *Refusal {
	remaining := b.backoffRemaining(now, p)
	if remaining <= b.maxQueueTime(r) {
		return nil
	}
	return &Refusal{
		Cause: CauseOverload, RetryAfter: max(remaining, b.minRetryAfter),
		Detail: fmt.Sprintf("all targets of the pool rest, the first for %s more", remaining.Round(time.Millisecond)),
	}
}

// noTargetReason describes why a request found no target, including how many targets announced a
// limit, back off or are brittle.
func (p *pool) noTargetReason(now time.Time) string {
	limits, backoffs, brittle := 0, 0, 0
	for _, t := range p.members {
		switch {
		case t.backingOff(now):
			backoffs++
		case t.limit.named:
			limits++
		case t.brittle.named:
			brittle++
		}
	}
	text := "no target had room in time"
	if limits+backoffs > 0 {
		text += fmt.Sprintf("; of %d targets %d name a limit and %d rest", len(p.members), limits, backoffs)
	}
	if brittle > 0 {
		text += fmt.Sprintf("; %d of %d targets are brittle", brittle, len(p.members))
	}
	return text
}
