package route

import (
	"math"
	"time"
)

// retryBudget limits the retries to one pool. If the configuration states no reserve, it is a
// token bucket that is filled by requests. Otherwise the retries in a sliding window are
// limited by the requests in the window and this router's share of the reserve.
type retryBudget struct {
	tokens float64

	sent  window
	spent window
	// startedAt is when counting began.
	startedAt time.Time
}

// defaultRetryReserve is the number of retries to a pool that a router may make in addition to
// its share of the requests, if the configuration states no reserve for all routers. A pool
// without requests starts with it.
const defaultRetryReserve = 10

// Fractions of the configured bounds that a router uses. ratioFraction leaves a margin for
// requests that the operator counts at another point than the router does. reserveFraction
// leaves a margin for the retries of the router's previous process, which this one does not
// know. In a large fleet a router's share of the reserve may be less than one retry, so each
// router rounds up by a random fraction chosen at its start, which makes the total of all
// routers correct on average.
//
// Until it has counted for one window, a router uses only startupFraction of its share of the
// reserve. Before minCountingFraction of a window it uses none of it, since it may not know yet
// how many routers share the reserve; a router whose settings name no other router, and that
// knows of none, does not have to wait. A router can thus spend startupFraction at most
// 1/minCountingFraction times in one window, however often it restarts, which is within the
// margin that reserveFraction leaves. A sole router can exceed this with more restarts.
const (
	reserveFraction     = 0.65
	minCountingFraction = 0.25
	startupFraction     = (1 - reserveFraction) * minCountingFraction
	ratioFraction       = 0.8
)

func newRetryBudget(now time.Time) retryBudget {
	return retryBudget{tokens: defaultRetryReserve, startedAt: now}
}

// earnRetry counts a request that is sent for the first time.
func (b *Board) earnRetry(now time.Time, budget *retryBudget) {
	q := b.snap.Config.Requests
	budget.tokens = math.Min(budget.tokens+q.RetryBudget, defaultRetryReserve)
	budget.sent.add(now, time.Duration(q.RetryWindow))
}

// spendRetry takes one retry from the budget and reports whether there was one.
func (b *Board) spendRetry(now time.Time, budget *retryBudget) bool {
	if !b.retryAvailable(now, budget) {
		return false
	}
	if q := b.snap.Config.Requests; q.RetryReserve > 0 {
		budget.spent.add(now, time.Duration(q.RetryWindow))
	} else {
		budget.tokens--
	}
	return true
}

// retryAvailable reports whether the budget has a retry.
func (b *Board) retryAvailable(now time.Time, budget *retryBudget) bool {
	q := b.snap.Config.Requests
	if q.RetryReserve == 0 {
		return budget.tokens >= 1
	}
	windowLength := time.Duration(q.RetryWindow)
	fraction := 0.0
	switch age := now.Sub(budget.startedAt); {
	case age >= windowLength:
		fraction = reserveFraction
	case b.soleRouter && b.recentRouters.value == 1, float64(age) >= minCountingFraction*float64(windowLength):
		fraction = startupFraction
	}
	limit := ratioFraction*q.RetryBudget*float64(budget.sent.count(now, windowLength)) + fraction*q.RetryReserve/float64(b.recentRouters.value)
	return float64(budget.spent.count(now, windowLength)+1) <= limit+b.reserveRounding
}

// freeRetry reports whether a retry after this outcome is not charged. A configured reserve
// counts the requests that arrive at targets, and this one did not arrive.
func (b *Board) freeRetry(o Outcome) bool {
	return o.Kind == OutcomeUnsent && b.snap.Config.Requests.RetryReserve > 0
}

// windowedMax is the largest number of routers seen recently. A lower number takes effect only
// after no higher one was seen for a whole window: routers that disappeared may have spent
// their share in it, and a router that was suspended or partitioned temporarily does not know
// the others.
type windowedMax struct {
	value int
	// lower is the largest number below value that was observed after since, or zero if there
	// was none.
	lower int
	since time.Time
}

// RecentRouters returns the number of routers seen recently, including this one.
func (b *Board) RecentRouters() int { return b.recentRouters.value }

// observe records the number of routers that are currently known.
func (c *windowedMax) observe(now time.Time, n int, windowLength time.Duration) {
	switch {
	case n >= c.value:
		c.value, c.lower = n, 0
	case c.lower == 0:
		c.lower, c.since = n, now
	case now.Sub(c.since) >= windowLength:
		c.value, c.lower = max(c.lower, n), 0
	default:
		c.lower = max(c.lower, n)
	}
}

// windowSlots is the number of slots of a sliding window.
const windowSlots = 20

// window counts events in a sliding time window.
type window struct {
	slots [windowSlots]int
	// width is the duration of a slot. Slots are numbered from startedAt by the monotonic clock,
	// because the wall clock may be set forward or back.
	width     time.Duration
	startedAt time.Time
	// at is the number of the newest slot.
	at int64
}

func (w *window) slide(now time.Time, length time.Duration) {
	if width := max(length, time.Second) / windowSlots; width != w.width {
		// Events counted with another window length are counted as new.
		n := w.sum()
		*w = window{width: width, startedAt: now}
		w.slots[0] = n
	}
	at := int64(now.Sub(w.startedAt) / w.width)
	for n := min(at-w.at, windowSlots); n > 0; n-- {
		w.slots[(at-n+1)%windowSlots] = 0
	}
	w.at = max(w.at, at)
}

func (w *window) add(now time.Time, length time.Duration) {
	w.slide(now, length)
	w.slots[w.at%windowSlots]++
}

func (w *window) count(now time.Time, length time.Duration) int {
	w.slide(now, length)
	return w.sum()
}

func (w *window) sum() int {
	n := 0
	for _, s := range w.slots {
		n += s
	}
	return n
}
