package route

import "time"

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
		// The target knows it before the list does, which may be away or behind.
		b.mark(m, "its own answer")
	}
	if t, ok := b.targets[m.Target]; ok && m.Incarnation.Same(t.incarnation) {
		b.saidLimit(now, t, sent, s.Limit)
	}
}
