package route

import (
	"math"
	"time"
)

// retryBudget bounds the retries to one pool. Without a stated reserve it is a
// bucket that requests fill; with one, the retries of a sliding window are held
// against its requests and this router's part of the reserve.
type retryBudget struct {
	tokens float64

	sent  window
	spent window
	// begun is when the counting began.
	begun time.Time
}

// defaultRetryReserve is the number of retries that a pool may make at one
// router beyond its share of requests, where the configuration states no reserve
// for all routers; a pool that has seen no request yet starts with it.
const defaultRetryReserve = 10

// The parts of a stated bound that a router uses. A router that was restarted has
// forgotten what it spent: until it has counted for a window it uses nothing of its
// part of the reserve, only its share of the requests that it counted itself. So it
// does not matter how often or how many routers are started anew in one window.
// ratioPart leaves room for requests that the installation counts elsewhere than
// here, reservePart for routers that were lost and may have spent their part in the
// window. A router's part of a large fleet's reserve may be below one: each rounds up
// by a part that it draws at its start, so that all together spend what they may.
const (
	reservePart = 0.65
	ratioPart   = 0.8
)

func newRetryBudget(now time.Time) retryBudget {
	return retryBudget{tokens: defaultRetryReserve, begun: now}
}

// earnRetry counts a request that is sent for the first time.
func (b *Board) earnRetry(now time.Time, k *retryBudget) {
	q := b.snap.Config.Requests
	k.tokens = math.Min(k.tokens+q.RetryBudget, defaultRetryReserve)
	k.sent.add(now, time.Duration(q.RetryWindow))
}

// spendRetry takes one retry from a budget, if there is one.
func (b *Board) spendRetry(now time.Time, k *retryBudget) bool {
	q := b.snap.Config.Requests
	if q.RetryReserve == 0 {
		if k.tokens < 1 {
			return false
		}
		k.tokens--
		return true
	}
	over := time.Duration(q.RetryWindow)
	most := ratioPart * q.RetryBudget * float64(k.sent.count(now, over))
	if now.Sub(k.begun) >= over {
		most += reservePart * q.RetryReserve / float64(b.crowd.most)
	}
	if float64(k.spent.count(now, over)+1) > most+b.rounding {
		return false
	}
	k.spent.add(now, over)
	return true
}

// freeRetry reports whether sending again after an outcome costs no retry: a stated
// bound counts what arrives at targets, and nothing arrived.
func (b *Board) freeRetry(o Outcome) bool {
	return o.Kind == OutcomeUnsent && b.snap.Config.Requests.RetryReserve > 0
}

// crowd is how many routers there were. Fewer count only once no more were seen for
// a window: those that are gone may have spent their part in it, and a router that
// was frozen or cut off has forgotten for a moment who else lives.
type crowd struct {
	most int
	// fewer is the most that were seen since a time, all below most; zero if none were.
	fewer int
	since time.Time
}

// see takes the number of routers known at a time.
func (c *crowd) see(now time.Time, n int, over time.Duration) {
	switch {
	case n >= c.most:
		c.most, c.fewer = n, 0
	case c.fewer == 0:
		c.fewer, c.since = n, now
	case now.Sub(c.since) >= over:
		c.most, c.fewer = max(c.fewer, n), 0
	default:
		c.fewer = max(c.fewer, n)
	}
}

// windowSlots is the resolution of a sliding window.
const windowSlots = 20

// window counts events over a sliding time.
type window struct {
	slots [windowSlots]int
	// width is the length of one slot. Slots are numbered from begun, by the process's
	// own clock: the time of day may be set forward or back.
	width time.Duration
	begun time.Time
	// at is the number of the newest slot.
	at int64
}

func (w *window) slide(now time.Time, over time.Duration) {
	if width := max(over, time.Second) / windowSlots; width != w.width {
		// What was counted over another length counts as if it were new.
		n := w.sum()
		*w = window{width: width, begun: now}
		w.slots[0] = n
	}
	at := int64(now.Sub(w.begun) / w.width)
	for n := min(at-w.at, windowSlots); n > 0; n-- {
		w.slots[(at-n+1)%windowSlots] = 0
	}
	w.at = max(w.at, at)
}

func (w *window) add(now time.Time, over time.Duration) {
	w.slide(now, over)
	w.slots[w.at%windowSlots]++
}

func (w *window) count(now time.Time, over time.Duration) int {
	w.slide(now, over)
	return w.sum()
}

func (w *window) sum() int {
	n := 0
	for _, s := range w.slots {
		n += s
	}
	return n
}
