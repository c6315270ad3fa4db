package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pathhead/pathhead/route"
)

// RollTarget is what a [Roll] is told of one target that serves a model with numbered weights.
type RollTarget struct {
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

// rollID names one model of one incarnation of a target.
type rollID struct {
	addr        netip.AddrPort
	incarnation route.Incarnation
	model       string
}

func (t RollTarget) id() rollID { return rollID{t.Addr, t.Incarnation, t.Model} }

// RollSettings bound a [Roll].
type RollSettings struct {
	// AtOnce and AtOncePart are the number of targets of a model that change at
	// the same time, and that number as a part of its targets; the greater counts.
	AtOnce     int
	AtOncePart float64
	// Spread is the time within which at most half of those places are given to
	// targets that are ordered for the first time: all would drop what they keep at once.
	Spread time.Duration
	// HoldTime is how long a target gets no new work before its first order,
	// which covers the time in which all routers hear of the hold.
	HoldTime time.Duration
	// AnswerTime is how long an order's answer is waited for. A target that gave
	// none by then is not known to load: it serves on, and others are ordered.
	AnswerTime time.Duration
	// OrderEvery is the pause between two orders to one target that has taken neither.
	OrderEvery time.Duration
	// FirstLook is how long after an order a target is first read back, which
	// covers the age of what targets say of themselves; LookEvery the pause between
	// looks at one that loads, LookOpen at one that may load at some time.
	FirstLook time.Duration
	LookEvery time.Duration
	LookOpen  time.Duration
	// GiveUp is how long one target may load before others go first.
	GiveUp time.Duration
}

// DefaultRollSettings returns the bounds that the programs use. The pauses were
// chosen on pools of nine whose orders are answered late and in time.
func DefaultRollSettings() RollSettings {
	return RollSettings{
		AtOnce:     2,
		AtOncePart: 0.2,
		// Somewhat less than half of a load, which takes 0.8 s.
		Spread:   300 * time.Millisecond,
		HoldTime: 40 * time.Millisecond,
		// Targets answer in a few milliseconds; 300 ms left targets unusable for five times as long.
		AnswerTime: 100 * time.Millisecond,
		// Two seconds left targets unusable for five times as long; 200 ms gained little more.
		OrderEvery: 500 * time.Millisecond,
		// Reports are some 200 ms old.
		FirstLook: 500 * time.Millisecond,
		// A look costs a two-hundredth of what a target's second on old weights does.
		LookEvery: 60 * time.Millisecond,
		LookOpen:  120 * time.Millisecond,
		GiveUp:    6 * time.Second,
	}
}

// atOnce is the number of targets that change at the same time among n. It is rounded
// down: one more than the part, 24 of 117, made each of them load for longer on an
// installation that loads a fifth at once in its usual time.
func (s RollSettings) atOnce(n int) int {
	return max(s.AtOnce, int(s.AtOncePart*float64(n)+roundingSlack))
}

// roundingSlack keeps a product that is whole but for rounding from being rounded down.
const roundingSlack = 1e-9

// RollOrder asks a target to load weights. It is conditional on the number of
// orders that the incarnation has taken, so that a late or repeated one has no effect.
type RollOrder struct {
	Target  RollTarget
	Weights string
}

// RollSteps is what a shell is to do after one round of a [Roll].
type RollSteps struct {
	// Holds are the targets that must get no new work.
	Holds  []RollTarget
	Orders []RollOrder
	// Looks are the targets whose state is to be read.
	Looks []RollTarget
}

// Roll brings the targets of a pool to the newest named weights, a few at a
// time. It keeps no promise in its memory: the next holder of the lease starts
// from what the targets say.
//
// An order without an answer may still be carried out, seconds later. Its
// target serves on meanwhile, is looked at, and is ordered again under the same
// order count, so that the first of its orders that is carried out ends the others.
type Roll struct {
	settings RollSettings
	changes  map[rollID]*rollChange
	// skipped are targets that took too long, with the time until which others go first.
	skipped map[rollID]time.Time
}

// rollChange is the change of one target.
type rollChange struct {
	target RollTarget
	// weights are those of the last order.
	weights string
	// found is when the target was found to have old weights, first when it was first
	// chosen, begun when it was last chosen, ordered when it was last ordered.
	found   time.Time
	first   time.Time
	begun   time.Time
	ordered time.Time
	looked  time.Time
	// loading is since when the target is known to load, by its answer, its report
	// or its order count; zero if it is not.
	loading time.Time
	// orders is the count that the last order was conditional on.
	orders int64
}

// NewRoll returns a roll that has changed nothing yet.
func NewRoll(s RollSettings) *Roll {
	return &Roll{settings: s, changes: make(map[rollID]*rollChange), skipped: make(map[rollID]time.Time)}
}

// Active reports whether some change is under way.
func (r *Roll) Active() bool { return len(r.changes) > 0 }

// Reset forgets all changes under way, because the lease was lost.
func (r *Roll) Reset() { clear(r.changes) }

// Next decides what to do now. The targets are those that are in use; older
// reports whether the first weights came before the second.
func (r *Roll) Next(now time.Time, named map[string]string, targets []RollTarget, older func(a, b string) bool) RollSteps {
	r.take(now, named, targets, older)
	r.begin(now, targets, older)
	var out RollSteps
	for _, c := range r.sorted() {
		r.step(now, named[c.target.Model], c, &out)
		if r.busy(now, c) {
			out.Holds = append(out.Holds, c.target)
		}
	}
	return out
}

// sorted returns the changes, always in the same order.
func (r *Roll) sorted() []*rollChange {
	return slices.SortedFunc(maps.Values(r.changes), func(a, b *rollChange) int {
		return cmp.Or(a.target.Addr.Compare(b.target.Addr), cmp.Compare(a.target.Model, b.target.Model))
	})
}

// take takes what is known of the targets. It ends the changes that are done or
// whose target is gone, and gives up those whose load takes too long.
func (r *Roll) take(now time.Time, named map[string]string, targets []RollTarget, older func(a, b string) bool) {
	due := make(map[rollID]bool, len(targets))
	for _, t := range targets {
		id := t.id()
		c := r.changes[id]
		if !older(t.Weights, named[t.Model]) || c != nil && !c.ordered.IsZero() && !older(t.Weights, c.weights) {
			// What was ordered has come; newer weights are a change of their own.
			delete(r.changes, id)
		}
		if !older(t.Weights, named[t.Model]) {
			continue
		}
		due[id] = true
		if r.changes[id] == nil {
			r.changes[id] = &rollChange{found: now}
		}
		r.changes[id].take(now, t, r.settings.FirstLook)
	}
	for id, c := range r.changes {
		switch {
		case !due[id]:
			delete(r.changes, id)
		case !c.loading.IsZero() && now.Sub(c.loading) > r.settings.GiveUp:
			r.skipped[id] = now.Add(r.settings.GiveUp)
		}
	}
	for id, until := range r.skipped {
		if now.After(until) {
			delete(r.skipped, id)
		}
	}
}

// take takes what is known of the target. A report may be as old as lag, and
// does not take back an answer to an order that was sent since.
func (c *rollChange) take(now time.Time, t RollTarget, lag time.Duration) {
	took := !c.ordered.IsZero() && c.target.Orders != OrdersUnknown && t.Orders > c.target.Orders
	c.target = t
	if t.Orders == OrdersUnknown {
		c.begun = time.Time{}
	}
	switch {
	case (t.Busy || took) && c.loading.IsZero():
		// It needs no order now, whether it was chosen or not.
		c.loading, c.begun = now, time.Time{}
	case !t.Busy && now.Sub(c.ordered) > lag:
		c.loading = time.Time{}
	}
}

// busy reports whether the target takes one of the places of those that change
// at once: it is about to be ordered, may be about to answer, or is known to load.
func (r *Roll) busy(now time.Time, c *rollChange) bool {
	if !c.loading.IsZero() {
		return now.Sub(c.loading) <= r.settings.GiveUp
	}
	return c.chosen() || now.Sub(c.ordered) < r.settings.AnswerTime
}

// chosen reports whether the target was chosen and its order was not sent yet.
func (c *rollChange) chosen() bool { return c.begun.After(c.ordered) && c.loading.IsZero() }

// begin chooses the targets that are ordered next while there is room.
func (r *Roll) begin(now time.Time, targets []RollTarget, older func(a, b string) bool) {
	busy, all, silent := make(map[string]int), make(map[string]int), make(map[string]int)
	for _, t := range targets {
		all[t.Model]++
	}
	fresh := make(map[string]int)
	var due, chosen []*rollChange
	for _, c := range r.sorted() {
		if now.Sub(c.first) < r.settings.Spread {
			fresh[c.target.Model]++
		}
		switch {
		case r.busy(now, c):
			busy[c.target.Model]++
			if c.chosen() {
				chosen = append(chosen, c)
			}
		case c.target.Orders == OrdersUnknown && now.Sub(c.found) > r.settings.AnswerTime:
			silent[c.target.Model]++
		case c.target.Orders != OrdersUnknown && c.loading.IsZero() && r.again(now, c):
			due = append(due, c)
		}
	}
	places := func(model string) int {
		// A target that can't be read serves nothing either: it takes a place, but
		// all that can't leave half of the places to the others.
		n := r.settings.atOnce(all[model])
		return n - min(silent[model], n/2)
	}
	for _, c := range chosen {
		if busy[c.target.Model] > places(c.target.Model) {
			// Late orders were carried out meanwhile.
			busy[c.target.Model]--
			c.begun = time.Time{}
		}
	}
	slices.SortFunc(due, func(a, b *rollChange) int {
		// The oldest weights go first: else one target is passed over by each
		// newer naming until its weights are too old to be used.
		return cmp.Or(
			r.skipped[a.target.id()].Compare(r.skipped[b.target.id()]),
			compareWeights(a.target.Weights, b.target.Weights, older),
			a.ordered.Compare(b.ordered),
			cmp.Compare(a.target.Load, b.target.Load),
			a.target.Addr.Compare(b.target.Addr),
		)
	})
	for _, c := range due {
		model, n := c.target.Model, places(c.target.Model)
		if busy[model] >= n || c.first.IsZero() && fresh[model] >= (n+1)/2 {
			continue
		}
		if c.first.IsZero() {
			c.first = now
			fresh[model]++
		}
		busy[model]++
		c.begun = now
	}
}

// again reports whether the target may be ordered, for the first time or again:
// after a pause in which it was read, or at once if its count says that the last
// order has no effect any more.
func (r *Roll) again(now time.Time, c *rollChange) bool {
	return c.ordered.IsZero() || c.target.Orders != c.orders ||
		now.Sub(c.ordered) >= r.settings.OrderEvery && c.looked.After(c.ordered)
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
func (r *Roll) step(now time.Time, weights string, c *rollChange, out *RollSteps) {
	switch {
	case c.chosen():
		// Only the first order waits for the hold to spread: one that was sent
		// before may be carried out at any time, held or not.
		if !c.ordered.IsZero() || now.Sub(c.begun) >= r.settings.HoldTime {
			c.ordered, c.orders, c.weights = now, c.target.Orders, weights
			out.Orders = append(out.Orders, RollOrder{Target: c.target, Weights: weights})
		}
	case r.lookDue(now, c):
		c.looked = now
		out.Looks = append(out.Looks, c.target)
	}
}

// lookDue reports whether the target is to be read: until its count is known, and
// while an order may be carried out. One that was just taken is let alone for a while.
func (r *Roll) lookDue(now time.Time, c *rollChange) bool {
	known := c.target.Orders != OrdersUnknown && c.ordered.IsZero() && c.loading.IsZero()
	taken := r.busy(now, c) && now.Sub(c.ordered) < r.settings.FirstLook
	pause := r.settings.LookOpen
	if !c.loading.IsZero() {
		pause = r.settings.LookEvery
	}
	return !known && !taken && now.Sub(c.looked) >= pause
}
