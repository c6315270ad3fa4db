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

// The parts of a stated bound that a router uses. ratioFraction leaves room for requests
// that the installation counts elsewhere than here, reserveFraction for what the last
// process of the same router spent, which this one does not know. A router's part of a
// large fleet's reserve may be below one: each rounds up by a part that it draws at
// its start, so that all together spend what they may.
//
// Until it has counted for a window a router uses only startupFraction of its part of the
// reserve, and before minCountingFraction of a window nothing, since it may not know yet how many
// share it; one whose settings name no other, and that heard of none, is alone. So at
// most 1/minCountingFraction starts of a router spend startupFraction in one window, which is what
// reserveFraction leaves, however often it is started anew. One that is alone may break
// that with more starts.
const (
	reserveFraction     = 0.65
	minCountingFraction = 0.25
	startupFraction     = (1 - reserveFraction) * minCountingFraction
	ratioFraction       = 0.8
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
	part := 0.0
	switch age := now.Sub(k.begun); {
	case age >= over:
		part = reserveFraction
	case b.soleRouter && b.recentRouters.value == 1, float64(age) >= minCountingFraction*float64(over):
		part = startupFraction
	}
	most := ratioFraction*q.RetryBudget*float64(k.sent.count(now, over)) + part*q.RetryReserve/float64(b.recentRouters.value)
	if float64(k.spent.count(now, over)+1) > most+b.reserveRounding {
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

// windowedMax is how many routers there were. Fewer count only once no more were seen for
// a window: those that are gone may have spent their part in it, and a router that
// was frozen or cut off has forgotten for a moment who else lives.
type windowedMax struct {
	value int
	// fewer is the most that were seen since a time, all below most; zero if none were.
	lower int
	since time.Time
}

// RecentRouters returns how many routers there were lately, this one among them.
func (b *Board) RecentRouters() int { return b.recentRouters.value }

// observe takes the number of routers known at a time.
func (c *windowedMax) observe(now time.Time, n int, over time.Duration) {
	switch {
	case n >= c.value:
		c.value, c.lower = n, 0
	case c.lower == 0:
		c.lower, c.since = n, now
	case now.Sub(c.since) >= over:
		c.value, c.lower = max(c.lower, n), 0
	default:
		c.lower = max(c.lower, n)
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
