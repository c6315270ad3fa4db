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
}

// defaultRetryReserve is the number of retries that a pool may make at one
// router beyond its share of requests, where the configuration states no reserve
// for all routers; a pool that has seen no request yet starts with it.
const defaultRetryReserve = 10

// The parts of a stated bound that a router uses. A router that was restarted has
// forgotten what it spent: until it has lived for a window it uses startPart of
// its part of the reserve, and reservePart leaves room for that. ratioPart leaves
// room for requests that the installation counts elsewhere than here. A router's
// part of a large fleet's reserve may be below one: each rounds up by a part that
// it draws at its start, so that all together spend what they may.
const (
	reservePart = 0.65
	startPart   = 0.3
	ratioPart   = 0.8
)

func newRetryBudget() retryBudget { return retryBudget{tokens: defaultRetryReserve} }

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
	part := reservePart
	if now.Sub(b.begun) < over {
		part = startPart
	}
	most := ratioPart*q.RetryBudget*float64(k.sent.count(now, over)) + part*q.RetryReserve/float64(b.routers)
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

// windowSlots is the resolution of a sliding window.
const windowSlots = 20

// window counts events over a sliding time.
type window struct {
	slots [windowSlots]int
	// at is the number of the newest slot since the epoch of time.
	at int64
}

func (w *window) slide(now time.Time, over time.Duration) {
	width := max(over, time.Second) / windowSlots
	at := now.UnixNano() / int64(width)
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
	n := 0
	for _, s := range w.slots {
		n += s
	}
	return n
}
