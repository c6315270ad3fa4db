package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pathhead/pathhead/route"
)

// UpdateTarget describes one target that serves a model with numbered weights to a [RollingUpdate].
type UpdateTarget struct {
	Addr        netip.AddrPort
	Incarnation route.Incarnation
	// Pool is the pool of the target; targets of several pools may serve one model.
	Pool    string
	Model   string
	Weights string
	// Orders is the number of orders that the incarnation has accepted, or [OrdersUnknown] before
	// it was read.
	Orders int64
	// Busy is true while the target is known to be carrying out an order.
	Busy bool
	// Load is the number of requests in flight at the target.
	Load int
	// Pending is the time until the requests that wait at the target have begun, as far as known.
	// Those that have not begun when an order is carried out are rejected.
	Pending time.Duration
	// MaxHold bounds the hold of this target for what waits there, in addition to
	// [UpdateSettings.MaxHoldTime]. Zero stands for no such bound.
	MaxHold time.Duration
}

// OrdersUnknown stands for an order count that was not read yet.
const OrdersUnknown = -1

// updateID identifies one model of one incarnation of a target.
type updateID struct {
	addr        netip.AddrPort
	incarnation route.Incarnation
	model       string
}

func (t UpdateTarget) id() updateID { return updateID{t.Addr, t.Incarnation, t.Model} }

// pooledModel identifies a model in a pool. The targets of each change independently of those of others.
type pooledModel struct{ pool, model string }

func (t UpdateTarget) pooledModel() pooledModel { return pooledModel{t.Pool, t.Model} }

// UpdateSettings configures a [RollingUpdate].
type UpdateSettings struct {
	// MaxConcurrent and MaxConcurrentFraction limit how many targets of a model in a pool change at
	// the same time, as a number and as a fraction of its targets; the greater limit applies.
	MaxConcurrent         int
	MaxConcurrentFraction float64
	// FirstOrderSpread is the time within which at most half of those slots go to targets that are
	// ordered for the first time. Otherwise all slots would drop their caches at the same time.
	FirstOrderSpread time.Duration
	// HoldTime is how long a target receives no new requests before its first order. It covers the
	// time until all routers have learned of the hold.
	HoldTime time.Duration
	// MaxHoldTime is how long the hold may last for requests that wait at the target to begin.
	// Below HoldTime it has no effect.
	MaxHoldTime time.Duration
	// AnswerTimeout is how long to wait for the answer to an order. A target that has not answered
	// by then is not known to be loading: it keeps serving, and other targets are ordered.
	AnswerTimeout time.Duration
	// OrderInterval is the time between two orders to a target that has accepted neither.
	OrderInterval time.Duration
	// FirstPollDelay is the time after an order until the target is first polled; it covers the age
	// of the targets' reports. LoadingPollInterval is the time between polls of a target that is
	// loading, PendingPollInterval that of a target that may start loading at any time.
	FirstPollDelay      time.Duration
	LoadingPollInterval time.Duration
	PendingPollInterval time.Duration
	// LoadTimeout is how long one target may load before other targets take precedence.
	LoadTimeout time.Duration
}

// DefaultUpdateSettings returns the settings that the programs use. The intervals were tuned on
// pools of nine targets that answer orders both late and in time.
func DefaultUpdateSettings() UpdateSettings {
	return UpdateSettings{
		MaxConcurrent:         2,
		MaxConcurrentFraction: 0.2,
		// Somewhat less than half of a load, which takes 0.8 s.
		FirstOrderSpread: 300 * time.Millisecond,
		HoldTime:         40 * time.Millisecond,
		// Targets answer within a few milliseconds. With 300 ms, targets were unusable for five
		// times as long.
		AnswerTimeout: 100 * time.Millisecond,
		// With 2 s, targets were unusable for five times as long; 200 ms brought little further
		// gain.
		OrderInterval: 500 * time.Millisecond,
		// Reports are about 200 ms old.
		FirstPollDelay: 500 * time.Millisecond,
		// A poll costs one two-hundredth of what a target costs per second on old weights.
		LoadingPollInterval: 60 * time.Millisecond,
		PendingPollInterval: 120 * time.Millisecond,
		LoadTimeout:         6 * time.Second,
	}
}

// maxConcurrent returns the number of targets out of n that may change at the same time. It rounds
// down: on an installation that loads a fifth of its targets at once at normal speed, one more than
// the fraction, 24 of 117, slowed down every load.
func (s UpdateSettings) maxConcurrent(n int) int {
	return max(s.MaxConcurrent, int(s.MaxConcurrentFraction*float64(n)+roundingEpsilon))
}

// roundingEpsilon keeps a product that is a whole number apart from floating-point error from being
// rounded down.
const roundingEpsilon = 1e-9

// UpdateOrder asks a target to load weights. It is conditional on the number of orders that the
// incarnation has accepted, so that a delayed or repeated order has no effect.
type UpdateOrder struct {
	Target  UpdateTarget
	Weights string
}

// UpdateSteps lists what the caller must do after one round of a [RollingUpdate].
type UpdateSteps struct {
	// Holds are the targets that must not receive new requests.
	Holds []UpdateTarget
	// Pending are the targets that did not answer an order and may carry it out at any time.
	Pending []UpdateTarget
	Orders  []UpdateOrder
	// Polls are the targets whose state must be read.
	Polls []UpdateTarget
}

// RollingUpdate brings the targets of a pool to the newest named weights, a few at a time. It keeps
// no state that must survive: the next holder of the lease starts from what the targets report.
//
// An order without an answer may still be carried out seconds later. Meanwhile its target keeps
// serving, is polled, and is ordered again with the same order count, so that the first of its
// orders to be carried out invalidates the others.
type RollingUpdate struct {
	settings UpdateSettings
	changes  map[updateID]*targetUpdate
	// skipped are targets whose load timed out, with the time until which other targets take
	// precedence.
	skipped map[updateID]time.Time
}

// targetUpdate is the change of one target.
type targetUpdate struct {
	target UpdateTarget
	// weights are those of the last order.
	weights string
	// foundAt is when the target was found to have old weights, firstSelectedAt and selectedAt when
	// it was selected for the first and for the last time, orderedAt when it was last ordered.
	foundAt         time.Time
	firstSelectedAt time.Time
	selectedAt      time.Time
	orderedAt       time.Time
	polledAt        time.Time
	// loadingSince is the time since which the target is known to be loading, from its answer, its
	// report or its order count; zero if it is not.
	loadingSince time.Time
	// orderCount is the order count that the last order was conditional on.
	orderCount int64
}

// NewRollingUpdate returns a rolling update without any changes in progress.
func NewRollingUpdate(s UpdateSettings) *RollingUpdate {
	return &RollingUpdate{settings: s, changes: make(map[updateID]*targetUpdate), skipped: make(map[updateID]time.Time)}
}

// SetMaxHoldTime changes the longest time for which a target is held before its first order.
func (r *RollingUpdate) SetMaxHoldTime(d time.Duration) { r.settings.MaxHoldTime = d }

// Active reports whether any change is in progress.
func (r *RollingUpdate) Active() bool { return len(r.changes) > 0 }

// Reset drops all changes in progress. It is called when the lease is lost.
func (r *RollingUpdate) Reset() { clear(r.changes) }

// Next returns what to do now. targets are the targets in use; older reports whether the first
// weights precede the second.
func (r *RollingUpdate) Next(now time.Time, newest map[string]string, targets []UpdateTarget, older func(a, b string) bool) UpdateSteps {
	r.observe(now, newest, targets, older)
	r.selectTargets(now, targets, older)
	var out UpdateSteps
	for _, c := range r.sorted() {
		r.step(now, newest[c.target.Model], c, &out)
		switch {
		case r.occupiesSlot(now, c):
			out.Holds = append(out.Holds, c.target)
		case !c.orderedAt.IsZero() && c.target.Orders == c.orderCount:
			out.Pending = append(out.Pending, c.target)
		}
	}
	return out
}

// sorted returns the changes in a fixed order.
func (r *RollingUpdate) sorted() []*targetUpdate {
	return slices.SortedFunc(maps.Values(r.changes), func(a, b *targetUpdate) int {
		return cmp.Or(a.target.Addr.Compare(b.target.Addr), cmp.Compare(a.target.Model, b.target.Model))
	})
}

// observe updates the changes from the state of the targets. It ends changes that are complete or
// whose target is gone, and skips targets whose load timed out.
func (r *RollingUpdate) observe(now time.Time, newest map[string]string, targets []UpdateTarget, older func(a, b string) bool) {
	due := make(map[updateID]bool, len(targets))
	for _, t := range targets {
		id := t.id()
		c := r.changes[id]
		if !older(t.Weights, newest[t.Model]) || c != nil && !c.orderedAt.IsZero() && !older(t.Weights, c.weights) {
			// The ordered weights are loaded. Newer weights are a change of their own.
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

// observe updates the change from the state of its target. A report may be as old as lag, and does
// not override the answer to an order that was sent since.
func (c *targetUpdate) observe(now time.Time, t UpdateTarget, lag time.Duration) {
	accepted := !c.orderedAt.IsZero() && c.target.Orders != OrdersUnknown && t.Orders > c.target.Orders
	c.target = t
	if t.Orders == OrdersUnknown {
		c.selectedAt = time.Time{}
	}
	switch {
	case (t.Busy || accepted) && c.loadingSince.IsZero():
		// A target that is loading needs no order, whether it was selected or not.
		c.loadingSince, c.selectedAt = now, time.Time{}
	case !t.Busy && now.Sub(c.orderedAt) > lag:
		c.loadingSince = time.Time{}
	}
}

// occupiesSlot reports whether the target takes one of the slots for concurrent changes: it is
// about to be ordered, may still answer, or is known to be loading.
func (r *RollingUpdate) occupiesSlot(now time.Time, c *targetUpdate) bool {
	if !c.loadingSince.IsZero() {
		return now.Sub(c.loadingSince) <= r.settings.LoadTimeout
	}
	return c.selected() || now.Sub(c.orderedAt) < r.settings.AnswerTimeout
}

// selected reports whether the target was selected and its order was not sent yet.
func (c *targetUpdate) selected() bool {
	return c.selectedAt.After(c.orderedAt) && c.loadingSince.IsZero()
}

// selectTargets selects the targets that are ordered next while slots are free.
func (r *RollingUpdate) selectTargets(now time.Time, targets []UpdateTarget, older func(a, b string) bool) {
	occupied, total, unreadable := make(map[pooledModel]int), make(map[pooledModel]int), make(map[pooledModel]int)
	for _, t := range targets {
		total[t.pooledModel()]++
	}
	firstOrders := make(map[pooledModel]int)
	var due, alreadySelected []*targetUpdate
	for _, c := range r.sorted() {
		if now.Sub(c.firstSelectedAt) < r.settings.FirstOrderSpread {
			firstOrders[c.target.pooledModel()]++
		}
		switch {
		case r.occupiesSlot(now, c):
			occupied[c.target.pooledModel()]++
			if c.selected() {
				alreadySelected = append(alreadySelected, c)
			}
		case c.target.Orders == OrdersUnknown && now.Sub(c.foundAt) > r.settings.AnswerTimeout:
			unreadable[c.target.pooledModel()]++
		case c.target.Orders != OrdersUnknown && c.loadingSince.IsZero() && r.orderDue(now, c):
			due = append(due, c)
		}
	}
	slots := func(model pooledModel) int {
		// A target that cannot be read serves nothing either and takes a slot. Together such
		// targets take at most half of the slots, so that the rest can proceed.
		n := r.settings.maxConcurrent(total[model])
		return n - min(unreadable[model], n/2)
	}
	for _, c := range alreadySelected {
		if occupied[c.target.pooledModel()] > slots(c.target.pooledModel()) {
			// Delayed orders have taken the slots in the meantime.
			occupied[c.target.pooledModel()]--
			c.selectedAt = time.Time{}
		}
	}
	slices.SortFunc(due, func(a, b *targetUpdate) int {
		// Targets with the oldest weights go first. Otherwise a target could be passed over each
		// time newer weights are named, until its own weights are too old to be used.
		return cmp.Or(
			r.skipped[a.target.id()].Compare(r.skipped[b.target.id()]),
			compareWeights(a.target.Weights, b.target.Weights, older),
			a.orderedAt.Compare(b.orderedAt),
			cmp.Compare(a.target.Pending, b.target.Pending),
			cmp.Compare(a.target.Load, b.target.Load),
			a.target.Addr.Compare(b.target.Addr),
		)
	})
	for _, c := range due {
		model := c.target.pooledModel()
		n := slots(model)
		if occupied[model] >= n || c.firstSelectedAt.IsZero() && firstOrders[model] >= (n+1)/2 {
			continue
		}
		if c.firstSelectedAt.IsZero() {
			c.firstSelectedAt = now
			firstOrders[model]++
		}
		occupied[model]++
		c.selectedAt = now
	}
}

// orderDue reports whether the target may be ordered: for the first time, again after an interval
// in which it was polled, or at once if its order count shows that the last order can no longer
// take effect.
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

// step adds the actions that one change needs now.
func (r *RollingUpdate) step(now time.Time, weights string, c *targetUpdate, out *UpdateSteps) {
	switch {
	case c.selected():
		// Only the first order waits until all routers know of the hold and what waits at the target
		// has begun. An order that was already sent may be carried out at any time, held or not.
		if !c.orderedAt.IsZero() || r.emptied(now, c) {
			c.orderedAt, c.orderCount, c.weights = now, c.target.Orders, weights
			out.Orders = append(out.Orders, UpdateOrder{Target: c.target, Weights: weights})
		}
	case r.pollDue(now, c):
		c.polledAt = now
		out.Polls = append(out.Polls, c.target)
	}
}

// emptied reports whether a held target has run what it received before the hold, or was held for
// the longest time.
func (r *RollingUpdate) emptied(now time.Time, c *targetUpdate) bool {
	held, longest := now.Sub(c.selectedAt), r.settings.MaxHoldTime
	if c.target.MaxHold > 0 {
		longest = min(longest, c.target.MaxHold)
	}
	return held >= r.settings.HoldTime && (c.target.Pending == 0 || held >= longest)
}

// pollDue reports whether the target must be read: until its order count is known, and while an
// order may be carried out. A target that occupies a slot is not polled within FirstPollDelay of its
// last order.
func (r *RollingUpdate) pollDue(now time.Time, c *targetUpdate) bool {
	known := c.target.Orders != OrdersUnknown && c.orderedAt.IsZero() && c.loadingSince.IsZero()
	recentlyOrdered := r.occupiesSlot(now, c) && now.Sub(c.orderedAt) < r.settings.FirstPollDelay
	interval := r.settings.PendingPollInterval
	if !c.loadingSince.IsZero() {
		interval = r.settings.LoadingPollInterval
	}
	return !known && !recentlyOrdered && now.Sub(c.polledAt) >= interval
}
