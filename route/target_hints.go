package route

import (
	"fmt"
	"time"

	"github.com/pathhead/pathhead/event"
)

// TargetHints is what an answer says of the target that gave it.
type TargetHints struct {
	// Leaving says that the target leaves.
	Draining bool
	Limit    LimitHint
	// Rest is for how long the target, which turned a request away, wants none of this router.
	Backoff time.Duration
}

// LimitHint is an answer's word on how many requests a second its target takes from all
// routers together. The zero one says that it names no limit.
type LimitHint struct {
	Named     bool
	PerSecond float64
	// Unread says that the word has no meaning, so that what was known before stands.
	Invalid bool
}

// ApplyHints takes what an answer to a request that was sent at a time says of its target. It is
// believed of the incarnation that answered, and ends with it.
func (b *Board) ApplyHints(now time.Time, m TargetKey, sent time.Time, s TargetHints) {
	if s.Draining {
		b.marks[m] = true
	}
	if t, ok := b.targets[m.Target]; ok && m.Incarnation.Same(t.incarnation) {
		if s.Draining {
			// The target knows it before the list does, which may be away or behind.
			b.setDraining(t, "its own answer")
		}
		b.applyLimitHint(now, t, sent, s.Limit)
		b.applyBackoff(now, t, s.Backoff)
	}
}

// unlistedHints are what an incarnation said of itself that left the list.
type unlistedHints struct {
	incarnation  Incarnation
	limit        targetLimit
	backoffUntil time.Time
}

// retainHints keeps a target's words as it leaves the list: an entry also goes while the store is away.
func (b *Board) retainHints(t *target) {
	if t.limit.seq > 0 || !t.backoffUntil.IsZero() {
		b.unlisted[t.addr] = unlistedHints{t.incarnation, t.limit, t.backoffUntil}
	}
}

// restoreHints gives a target that is listed again what it had said, unless another has its address.
func (b *Board) restoreHints(t *target) {
	if w, ok := b.unlisted[t.addr]; ok && w.incarnation.Same(t.incarnation) {
		t.limit, t.backoffUntil = w.limit, w.backoffUntil
	}
	delete(b.unlisted, t.addr)
}

// applyBackoff takes a target's word that it wants no requests of this router for a time. A price
// would not do: where the others of its pool fail, it is soon the cheapest again.
func (b *Board) applyBackoff(now time.Time, t *target, rest time.Duration) {
	until := now.Add(rest)
	if rest <= 0 || !until.After(t.backoffUntil) {
		return
	}
	if !t.backingOff(now) {
		b.emit(event.Event{Code: event.TargetRests, Target: t.name(), Detail: "for " + rest.String()})
	}
	t.backoffUntil = until
	if until.After(b.backoffUntil) {
		b.backoffUntil = until
	}
}

// backingOff reports whether the target wants no requests of this router now.
func (t *target) backingOff(now time.Time) bool { return now.Before(t.backoffUntil) }

// withoutBackoff returns the servers that do not rest.
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

// backoffRemaining is how long it takes until a target of the pool takes requests again, zero if one does.
func (b *Board) backoffRemaining(now time.Time, p *pool) time.Duration {
	if !now.Before(b.backoffUntil) {
		return 0
	}
	least := time.Duration(0)
	for _, t := range p.members {
		if !t.usable() {
			continue
		}
		left := t.backoffUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// backoffRefusal refuses a request at once that no target of its pool takes before its time is over.
func (b *Board) backoffRefusal(now time.Time, p *pool, r *request) *Refusal {
	over := b.backoffRemaining(now, p)
	if over <= b.maxQueueTime(r) {
		return nil
	}
	return &Refusal{
		Cause: CauseOverload, RetryAfter: max(over, b.minRetryAfter),
		Detail: fmt.Sprintf("all targets of the pool rest, the first for %s more", over.Round(time.Millisecond)),
	}
}

// noTargetReason says why a request found no target, and how many of them keep others out by their own word.
func (p *pool) noTargetReason(now time.Time) string {
	limits, rest := 0, 0
	for _, t := range p.members {
		switch {
		case t.backingOff(now):
			rest++
		case t.limit.named:
			limits++
		}
	}
	text := "no target had room in time"
	if limits+rest > 0 {
		text += fmt.Sprintf("; of %d targets %d name a limit and %d rest", len(p.members), limits, rest)
	}
	return text
}
