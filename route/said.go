package route

import (
	"fmt"
	"time"

	"github.com/pathhead/pathhead/event"
)

// Said is what an answer says of the target that gave it.
type Said struct {
	// Leaving says that the target leaves.
	Leaving bool
	Limit   SaidLimit
	// Rest is for how long the target, which turned a request away, wants none of this router.
	Rest time.Duration
}

// SaidLimit is an answer's word on how many requests a second its target takes from all
// routers together. The zero one says that it names no limit.
type SaidLimit struct {
	Named     bool
	PerSecond float64
	// Unread says that the word has no meaning, so that what was known before stands.
	Unread bool
}

// Said takes what an answer to a request that was sent at a time says of its target. It is
// believed of the incarnation that answered, and ends with it.
func (b *Board) Said(now time.Time, m Mark, sent time.Time, s Said) {
	if s.Leaving {
		b.marks[m] = true
	}
	if t, ok := b.targets[m.Target]; ok && m.Incarnation.Same(t.incarnation) {
		if s.Leaving {
			// The target knows it before the list does, which may be away or behind.
			b.markLeaving(t, "its own answer")
		}
		b.saidLimit(now, t, sent, s.Limit)
		b.saidRest(now, t, s.Rest)
	}
}

// unlistedWords are what an incarnation said of itself that left the list.
type unlistedWords struct {
	incarnation Incarnation
	limit       targetLimit
	restsTo     time.Time
}

// keepWords keeps a target's words as it leaves the list: an entry also goes while the store is away.
func (b *Board) keepWords(t *target) {
	if t.limit.seq > 0 || !t.restsTo.IsZero() {
		b.unlisted[t.addr] = unlistedWords{t.incarnation, t.limit, t.restsTo}
	}
}

// takeWordsUp gives a target that is listed again what it had said, unless another has its address.
func (b *Board) takeWordsUp(t *target) {
	if w, ok := b.unlisted[t.addr]; ok && w.incarnation.Same(t.incarnation) {
		t.limit, t.restsTo = w.limit, w.restsTo
	}
	delete(b.unlisted, t.addr)
}

// saidRest takes a target's word that it wants no requests of this router for a time. A price
// would not do: where the others of its pool fail, it is soon the cheapest again.
func (b *Board) saidRest(now time.Time, t *target, rest time.Duration) {
	until := now.Add(rest)
	if rest <= 0 || !until.After(t.restsTo) {
		return
	}
	if !t.rests(now) {
		b.emit(event.Event{Code: event.TargetRests, Target: t.name(), Detail: "for " + rest.String()})
	}
	t.restsTo = until
	if until.After(b.restsTo) {
		b.restsTo = until
	}
}

// rests reports whether the target wants no requests of this router now.
func (t *target) rests(now time.Time) bool { return now.Before(t.restsTo) }

// awake returns the servers that do not rest.
func (b *Board) awake(now time.Time, list []server) []server {
	if !now.Before(b.restsTo) {
		return list
	}
	var out []server
	for _, s := range list {
		if !s.target.rests(now) {
			out = append(out, s)
		}
	}
	return out
}

// restOver is how long it takes until a target of the pool takes requests again, zero if one does.
func (b *Board) restOver(now time.Time, p *pool) time.Duration {
	if !now.Before(b.restsTo) {
		return 0
	}
	least := time.Duration(0)
	for _, t := range p.members {
		if !t.usable() {
			continue
		}
		left := t.restsTo.Sub(now)
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// restRefusal refuses a request at once that no target of its pool takes before its time is over.
func (b *Board) restRefusal(now time.Time, p *pool, r *request) *Refusal {
	over := b.restOver(now, p)
	if over <= b.maxQueueTime(r) {
		return nil
	}
	return &Refusal{
		Cause: CauseOverload, RetryAfter: max(over, b.minRetryAfter),
		Detail: fmt.Sprintf("all targets of the pool rest, the first for %s more", over.Round(time.Millisecond)),
	}
}

// noRoom says why a request found no target, and how many of them keep others out by their own word.
func (p *pool) noRoom(now time.Time) string {
	limits, rest := 0, 0
	for _, t := range p.members {
		switch {
		case t.rests(now):
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
