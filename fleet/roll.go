package fleet

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// RollTarget is what a [Roll] is told of one target that serves a model with numbered weights.
type RollTarget struct {
	Addr        netip.AddrPort
	Incarnation string
	Model       string
	Weights     string
	// Orders is the number of orders that the incarnation has taken, or
	// [OrdersUnknown] before it was asked.
	Orders int64
	// Load is the number of requests in flight there.
	Load int
}

// OrdersUnknown stands for an order count that was not read yet.
const OrdersUnknown = -1

// rollID names one incarnation of a target.
type rollID struct {
	addr        netip.AddrPort
	incarnation string
}

func (t RollTarget) id() rollID { return rollID{t.Addr, t.Incarnation} }

// RollSettings bound a [Roll].
type RollSettings struct {
	// AtOnce and AtOncePart are the number of targets of a model that change at
	// the same time, and that number as a part of its targets; the greater counts.
	AtOnce     int
	AtOncePart float64
	// HoldTime is how long a target gets no new work before its order, which
	// covers the time in which all routers hear of the hold.
	HoldTime time.Duration
	// FirstLook is how long after an order a target is first read back, LookEvery the pause between looks.
	FirstLook time.Duration
	LookEvery time.Duration
	// AnswerTime is how long an order without effect is waited for before it is repeated.
	AnswerTime time.Duration
	// GiveUp is how long one target may take before others go first.
	GiveUp time.Duration
}

// DefaultRollSettings returns the bounds that the programs use.
func DefaultRollSettings() RollSettings {
	return RollSettings{
		AtOnce:     2,
		AtOncePart: 0.2,
		HoldTime:   40 * time.Millisecond,
		FirstLook:  500 * time.Millisecond,
		LookEvery:  120 * time.Millisecond,
		AnswerTime: time.Second,
		GiveUp:     6 * time.Second,
	}
}

// atOnce is the number of targets that change at the same time among n.
func (s RollSettings) atOnce(n int) int {
	return max(s.AtOnce, int(math.Ceil(s.AtOncePart*float64(n))))
}

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
type Roll struct {
	settings RollSettings
	changes  map[rollID]*rollChange
	// skipped are targets that took too long, with the time until which others go first.
	skipped map[rollID]time.Time
}

// rollChange is the change of one target.
type rollChange struct {
	target  RollTarget
	weights string
	begun   time.Time
	ordered time.Time
	looked  time.Time
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
	present := make(map[rollID]RollTarget, len(targets))
	for _, t := range targets {
		present[t.id()] = t
	}
	r.drop(now, present, older)
	r.begin(now, named, targets, older)
	var out RollSteps
	for _, c := range r.changes {
		out.Holds = append(out.Holds, c.target)
		r.step(now, c, &out)
	}
	return out
}

// drop ends the changes that are done, whose target is gone, or that take too long.
func (r *Roll) drop(now time.Time, present map[rollID]RollTarget, older func(a, b string) bool) {
	for id, c := range r.changes {
		t, ok := present[id]
		switch {
		case !ok, !older(t.Weights, c.weights):
			delete(r.changes, id)
		case now.Sub(c.begun) > r.settings.GiveUp:
			delete(r.changes, id)
			r.skipped[id] = now.Add(r.settings.GiveUp)
		default:
			c.target = t
		}
	}
	for id, until := range r.skipped {
		if now.After(until) {
			delete(r.skipped, id)
		}
	}
}

// begin starts changes of the targets with the least load while there is room.
func (r *Roll) begin(now time.Time, named map[string]string, targets []RollTarget, older func(a, b string) bool) {
	busy, all := make(map[string]int), make(map[string]int)
	for _, t := range targets {
		all[t.Model]++
	}
	for _, c := range r.changes {
		busy[c.target.Model]++
	}
	var due []RollTarget
	for _, t := range targets {
		if _, ok := r.changes[t.id()]; !ok && older(t.Weights, named[t.Model]) {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b RollTarget) int {
		// The oldest weights go first: else one target is passed over by each
		// newer naming until its weights are too old to be used.
		return cmp.Or(
			r.skipped[a.id()].Compare(r.skipped[b.id()]),
			compareWeights(a.Weights, b.Weights, older),
			cmp.Compare(a.Load, b.Load),
			a.Addr.Compare(b.Addr),
		)
	})
	for _, t := range due {
		if busy[t.Model] >= r.settings.atOnce(all[t.Model]) {
			continue
		}
		busy[t.Model]++
		r.changes[t.id()] = &rollChange{target: t, weights: named[t.Model], begun: now}
	}
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
func (r *Roll) step(now time.Time, c *rollChange, out *RollSteps) {
	switch {
	case c.target.Orders == OrdersUnknown:
		if now.Sub(c.looked) >= r.settings.LookEvery {
			c.looked = now
			out.Looks = append(out.Looks, c.target)
		}
	case c.ordered.IsZero():
		if now.Sub(c.begun) >= r.settings.HoldTime {
			r.order(now, c, out)
		}
	case c.target.Orders == c.orders && now.Sub(c.ordered) > r.settings.AnswerTime && c.looked.After(c.ordered):
		// The target was read after the order and has not taken it: it is sent
		// again, and at most one of the two takes effect.
		r.order(now, c, out)
	case now.Sub(c.ordered) >= r.settings.FirstLook && now.Sub(c.looked) >= r.settings.LookEvery:
		c.looked = now
		out.Looks = append(out.Looks, c.target)
	}
}

func (r *Roll) order(now time.Time, c *rollChange, out *RollSteps) {
	c.ordered = now
	c.orders = c.target.Orders
	out.Orders = append(out.Orders, RollOrder{Target: c.target, Weights: c.weights})
}
