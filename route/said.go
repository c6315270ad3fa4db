package route

import (
	"fmt"
	"time"

	"github.com/pathhead/pathhead/event"
)

// Said is what an answer says of the target that gave it.
type Said struct {
	Limit SaidLimit
}

// SaidLimit is an answer's word on how many requests a second its target takes from all
// routers together. The zero one says that it names no limit.
type SaidLimit struct {
	Named     bool
	PerSecond float64
	// Unread says that the word has no meaning, so that what was known before stands.
	Unread bool
}

// Said takes what an answer to a request that was sent at a time says of its target.
func (b *Board) Said(now time.Time, m Mark, sent time.Time, s Said) {
	if t, ok := b.targets[m.Target]; ok && m.Incarnation.Same(t.incarnation) {
		b.saidLimit(now, t, sent, s.Limit)
	}
}

// targetLimit is a target's word on the requests a second that it takes from all routers.
type targetLimit struct {
	named     bool
	perSecond float64
	// at is when it was said, as far as this router knows.
	at time.Time
}

// saidLimit takes an answer's word on the target's limit. One that names none lifts the limit
// only if its request was sent after the limit was heard of: answers overtake each other.
func (b *Board) saidLimit(now time.Time, t *target, sent time.Time, l SaidLimit) {
	switch {
	case l.Unread:
	case l.Named, t.limit.named && sent.After(t.limit.at):
		b.setLimit(t, targetLimit{named: l.Named, perSecond: l.PerSecond, at: now}, "an answer")
	}
}

// setLimit notes a target's newest word on its limit.
func (b *Board) setLimit(t *target, l targetLimit, source string) {
	if l.named != t.limit.named || l.perSecond != t.limit.perSecond {
		text := "none any more"
		if l.named {
			text = fmt.Sprintf("%g requests a second from all routers", l.perSecond)
		}
		b.note(event.Event{Code: event.TargetLimit, Target: t.name(), Detail: text + ", says " + source})
	}
	t.limit = l
}
