package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pathhead/pathhead/route"
)

// UpdateTarget is what a [Roll] is told of one target that serves a model with numbered weights.
type UpdateTarget struct {
	Addr        netip.AddrPort
	Incarnation route.Incarnation
	Model       string
	Weights     string
	// Orders is the number of orders that the incarnation has taken, or
	// [OrdersUnknown] before it was asked.
	Orders int64
	// Busy is true while an order is known to be carried out there.
	Busy bool
	// Load is the number of requests in flight there.
	Load int
}

// OrdersUnknown stands for an order count that was not read yet.
const OrdersUnknown = -1

// updateID names one model of one incarnation of a target.
type updateID struct {
	addr        netip.AddrPort
	incarnation route.Incarnation
	model       string
}

func (t UpdateTarget) id() updateID { return updateID{t.Addr, t.Incarnation, t.Model} }

// UpdateSettings bound a [Roll].
type UpdateSettings struct {
	// MaxConcurrent and MaxConcurrentFraction are the number of targets of a model that change at
	// the same time, and that number as a part of its targets; the greater counts.
	MaxConcurrent         int
	MaxConcurrentFraction float64
	// Spread is the time within which at most half of those places are given to
	// targets that are ordered for the first time: all would drop what they keep at once.
	FirstOrderSpread time.Duration
	// HoldTime is how long a target gets no new work before its first order,
	// which covers the time in which all routers hear of the hold.
	HoldTime time.Duration
	// AnswerTimeout is how long an order's answer is waited for. A target that gave
	// none by then is not known to load: it serves on, and others are ordered.
	AnswerTimeout time.Duration
	// OrderInterval is the pause between two orders to one target that has taken neither.
	OrderInterval time.Duration
	// FirstPollDelay is how long after an order a target is first read back, which
	// covers the age of what targets say of themselves; LoadingPollInterval the pause between
	// looks at one that loads, PendingPollInterval at one that may load at some time.
	FirstPollDelay      time.Duration
	LoadingPollInterval time.Duration
	PendingPollInterval time.Duration
	// LoadTimeout is how long one target may load before others go first.
	LoadTimeout time.Duration
}

// DefaultUpdateSettings returns the bounds that the programs use. The pauses were
// chosen on pools of nine whose orders are answered late and in time.
func DefaultUpdateSettings() UpdateSettings {
	return UpdateSettings{
		MaxConcurrent:         2,
		MaxConcurrentFraction: 0.2,
		// Somewhat less than half of a load, which takes 0.8 s.
		FirstOrderSpread: 300 * time.Millisecond,
		HoldTime:         40 * time.Millisecond,
		// Targets answer in a few milliseconds; 300 ms left targets unusable for five times as long.
		AnswerTimeout: 100 * time.Millisecond,
		// Two seconds left targets unusable for five times as long; 200 ms gained little more.
		OrderInterval: 500 * time.Millisecond,
		// Reports are some 200 ms old.
		FirstPollDelay: 500 * time.Millisecond,
		// A look costs a two-hundredth of what a target's second on old weights does.
		LoadingPollInterval: 60 * time.Millisecond,
		PendingPollInterval: 120 * time.Millisecond,
		LoadTimeout:         6 * time.Second,
	}
}

// maxConcurrent is the number of targets that change at the same time among n. It is rounded
// down: one more than the part, 24 of 117, made each of them load for longer on an
// installation that loads a fifth at once in its usual time.
func (s UpdateSettings) maxConcurrent(n int) int {
	return max(s.MaxConcurrent, int(s.MaxConcurrentFraction*float64(n)+roundingEpsilon))
}

// roundingEpsilon keeps a product that is whole but for rounding from being rounded down.
const roundingEpsilon = 1e-9

// UpdateOrder asks a target to load weights. It is conditional on the number of
// orders that the incarnation has taken, so that a late or repeated one has no effect.
type UpdateOrder struct {
	Target  UpdateTarget
	Weights string
}

// UpdateSteps is what a shell is to do after one round of a [Roll].
type UpdateSteps struct {
	// Holds are the targets that must get no new work.
	Holds  []UpdateTarget
	Orders []UpdateOrder
	// Looks are the targets whose state is to be read.
	Polls []UpdateTarget
}

// RollingUpdate brings the targets of a pool to the newest named weights, a few at a
// time. It keeps no promise in its memory: the next holder of the lease starts
// from what the targets say.
//
// An order without an answer may still be carried out, seconds later. Its
// target serves on meanwhile, is looked at, and is ordered again under the same
// order count, so that the first of its orders that is carried out ends the others.
type RollingUpdate struct {
	settings UpdateSettings
	changes  map[updateID]*targetUpdate
	// skipped are targets that took too long, with the time until which others go first.
	skipped map[updateID]time.Time
}

// targetUpdate is the change of one target.
type targetUpdate struct {
	target UpdateTarget
	// weights are those of the last order.
	weights string
	// found is when the target was found to have old weights, first when it was first
	// chosen, begun when it was last chosen, ordered when it was last ordered.
	foundAt         time.Time
	firstSelectedAt time.Time
	selectedAt      time.Time
	orderedAt       time.Time
	polledAt        time.Time
	// loading is since when the target is known to load, by its answer, its report
	// or its order count; zero if it is not.
	loadingSince time.Time
	// orders is the count that the last order was conditional on.
	orderCount int64
}

// NewRollingUpdate returns a roll that has changed nothing yet.
func NewRollingUpdate(s UpdateSettings) *RollingUpdate {
	return &RollingUpdate{settings: s, changes: make(map[updateID]*targetUpdate), skipped: make(map[updateID]time.Time)}
}

// Active reports whether some change is under way.
func (r *RollingUpdate) Active() bool { return len(r.changes) > 0 }

// Reset forgets all changes under way, because the lease was lost.
func (r *RollingUpdate) Reset() { clear(r.changes) }

// Next decides what to do now. The targets are those that are in use; older
// reports whether the first weights came before the second.
func (r *RollingUpdate) Next(now time.Time, newest map[string]string, targets []UpdateTarget, older func(a, b string) bool) UpdateSteps {
	r.observe(now, newest, targets, older)
	r.selectTargets(now, targets, older)
	var out UpdateSteps
	for _, c := range r.sorted() {
		r.step(now, newest[c.target.Model], c, &out)
		if r.occupiesSlot(now, c) {
			out.Holds = append(out.Holds, c.target)
		}
	}
	return out
}

// sorted returns the changes, always in the same order.
func (r *RollingUpdate) sorted() []*targetUpdate {
	return slices.SortedFunc(maps.Values(r.changes), func(a, b *targetUpdate) int {
		return cmp.Or(a.target.Addr.Compare(b.target.Addr), cmp.Compare(a.target.Model, b.target.Model))
	})
}

// observe takes what is known of the targets. It ends the changes that are done or
// whose target is gone, and gives up those whose load takes too long.
func (r *RollingUpdate) observe(now time.Time, newest map[string]string, targets []UpdateTarget, older func(a, b string) bool) {
	due := make(map[updateID]bool, len(targets))
	for _, t := range targets {
		id := t.id()
		c := r.changes[id]
		if !older(t.Weights, newest[t.Model]) || c != nil && !c.orderedAt.IsZero() && !older(t.Weights, c.weights) {
			// What was ordered has come; newer weights are a change of their own.
			delete(r.changes, id)
		}
		if !older(t.Weights, newest[t.Model]) {
			continue
		}
		due[id] = true
		if r.changes[id] == nil {
			r.changes[id] = &targetUpdate{foundAt: now}
		}
		r.changes[id].observe(now, t, r.settings.FirstPollDelay)
	}
	for id, c := range r.changes {
		switch {
		case !due[id]:
			delete(r.changes, id)
		case !c.loadingSince.IsZero() && now.Sub(c.loadingSince) > r.settings.LoadTimeout:
			r.skipped[id] = now.Add(r.settings.LoadTimeout)
		}
	}
	for id, until := range r.skipped {
		if now.After(until) {
			delete(r.skipped, id)
		}
	}
}

// observe takes what is known of the target. A report may be as old as lag, and
// does not take back an answer to an order that was sent since.
func (c *targetUpdate) observe(now time.Time, t UpdateTarget, lag time.Duration) {
	took := !c.orderedAt.IsZero() && c.target.Orders != OrdersUnknown && t.Orders > c.target.Orders
	c.target = t
	if t.Orders == OrdersUnknown {
		c.selectedAt = time.Time{}
	}
	switch {
	case (t.Busy || took) && c.loadingSince.IsZero():
		// It needs no order now, whether it was chosen or not.
		c.loadingSince, c.selectedAt = now, time.Time{}
	case !t.Busy && now.Sub(c.orderedAt) > lag:
		c.loadingSince = time.Time{}
	}
}

// occupiesSlot reports whether the target takes one of the places of those that change
// at once: it is about to be ordered, may be about to answer, or is known to load.
func (r *RollingUpdate) occupiesSlot(now time.Time, c *targetUpdate) bool {
	if !c.loadingSince.IsZero() {
		return now.Sub(c.loadingSince) <= r.settings.LoadTimeout
	}
	return c.selected() || now.Sub(c.orderedAt) < r.settings.AnswerTimeout
}

// selected reports whether the target was chosen and its order was not sent yet.
func (c *targetUpdate) selected() bool {
	return c.selectedAt.After(c.orderedAt) && c.loadingSince.IsZero()
}

// selectTargets chooses the targets that are ordered next while there is room.
func (r *RollingUpdate) selectTargets(now time.Time, targets []UpdateTarget, older func(a, b string) bool) {
	busy, all, silent := make(map[string]int), make(map[string]int), make(map[string]int)
	for _, t := range targets {
		all[t.Model]++
	}
	fresh := make(map[string]int)
	var due, chosen []*targetUpdate
	for _, c := range r.sorted() {
		if now.Sub(c.firstSelectedAt) < r.settings.FirstOrderSpread {
			fresh[c.target.Model]++
		}
		switch {
		case r.occupiesSlot(now, c):
			busy[c.target.Model]++
			if c.selected() {
				chosen = append(chosen, c)
			}
		case c.target.Orders == OrdersUnknown && now.Sub(c.foundAt) > r.settings.AnswerTimeout:
			silent[c.target.Model]++
		case c.target.Orders != OrdersUnknown && c.loadingSince.IsZero() && r.orderDue(now, c):
			due = append(due, c)
		}
	}
	places := func(model string) int {
		// A target that can't be read serves nothing either: it takes a place, but
		// all that can't leave half of the places to the others.
		n := r.settings.maxConcurrent(all[model])
		return n - min(silent[model], n/2)
	}
	for _, c := range chosen {
		if busy[c.target.Model] > places(c.target.Model) {
			// Late orders were carried out meanwhile.
			busy[c.target.Model]--
			c.selectedAt = time.Time{}
		}
	}
	slices.SortFunc(due, func(a, b *targetUpdate) int {
		// The oldest weights go first: else one target is passed over by each
		// newer naming until its weights are too old to be used.
		return cmp.Or(
			r.skipped[a.target.id()].Compare(r.skipped[b.target.id()]),
			compareWeights(a.target.Weights, b.target.Weights, older),
			a.orderedAt.Compare(b.orderedAt),
			cmp.Compare(a.target.Load, b.target.Load),
			a.target.Addr.Compare(b.target.Addr),
		)
	})
	for _, c := range due {
		model, n := c.target.Model, places(c.target.Model)
		if busy[model] >= n || c.firstSelectedAt.IsZero() && fresh[model] >= (n+1)/2 {
			continue
		}
		if c.firstSelectedAt.IsZero() {
			c.firstSelectedAt = now
			fresh[model]++
		}
		busy[model]++
		c.selectedAt = now
	}
}

// orderDue reports whether the target may be ordered, for the first time or again:
// after a pause in which it was read, or at once if its count says that the last
// order has no effect any more.
func (r *RollingUpdate) orderDue(now time.Time, c *targetUpdate) bool {
	return c.orderedAt.IsZero() || c.target.Orders != c.orderCount ||
		now.Sub(c.orderedAt) >= r.settings.OrderInterval && c.polledAt.After(c.orderedAt)
}

func compareWeights(a, b string, older func(a, b string) bool) int {
	switch {
	case older(a, b):
		return -1
	case older(b, a):
		return 1
	}
	return 0
}

// step adds what one change needs now.
func (r *RollingUpdate) step(now time.Time, weights string, c *targetUpdate, out *UpdateSteps) {
	switch {
	case c.selected():
		// Only the first order waits for the hold to spread: one that was sent
		// before may be carried out at any time, held or not.
		if !c.orderedAt.IsZero() || now.Sub(c.selectedAt) >= r.settings.HoldTime {
			c.orderedAt, c.orderCount, c.weights = now, c.target.Orders, weights
			out.Orders = append(out.Orders, UpdateOrder{Target: c.target, Weights: weights})
		}
	case r.pollDue(now, c):
		c.polledAt = now
		out.Polls = append(out.Polls, c.target)
	}
}

// pollDue reports whether the target is to be read: until its count is known, and
// while an order may be carried out. One that was just taken is let alone for a while.
func (r *RollingUpdate) pollDue(now time.Time, c *targetUpdate) bool {
	known := c.target.Orders != OrdersUnknown && c.orderedAt.IsZero() && c.loadingSince.IsZero()
	taken := r.occupiesSlot(now, c) && now.Sub(c.orderedAt) < r.settings.FirstPollDelay
	pause := r.settings.PendingPollInterval
	if !c.loadingSince.IsZero() {
		pause = r.settings.LoadingPollInterval
	}
	return !known && !taken && now.Sub(c.polledAt) >= pause
}
