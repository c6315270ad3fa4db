package fleet

import (
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathhead/pathhead/route"
)

// updateEngine is a simulated target.
type updateEngine struct {
	addr        netip.AddrPort
	incarnation int
	weights     int
	orders      int64
	busyUntil   time.Time
	loading     int
	listed      bool
}

// sentOrder is an order in flight that is carried out later.
type sentOrder struct {
	to          *updateEngine
	incarnation int
	orders      int64
	weights     int
	at          time.Time
}

// updateSim simulates a pool under successive holders of the lease.
type updateSim struct {
	t       *rapid.T
	now     time.Time
	engines []*updateEngine
	newest  int
	update  *RollingUpdate
	// asked holds the order counts that the current holder has read; busy marks the targets that it
	// read as loading or that accepted its order.
	asked map[updateID]int64
	busy  map[updateID]bool
	late  []sentOrder
}

func (w *updateSim) targets() []UpdateTarget {
	var out []UpdateTarget
	for _, e := range w.engines {
		if !e.listed {
			continue
		}
		rt := UpdateTarget{
			Addr: e.addr, Incarnation: route.Incarnation(strconv.Itoa(e.incarnation)), Model: "m",
			Weights: strconv.Itoa(e.weights), Orders: OrdersUnknown,
		}
		if n, ok := w.asked[rt.id()]; ok {
			rt.Orders, rt.Busy = n, w.busy[rt.id()]
		}
		out = append(out, rt)
	}
	return out
}

func (w *updateSim) engine(t UpdateTarget) *updateEngine {
	for _, e := range w.engines {
		if e.addr == t.Addr {
			return e
		}
	}
	return nil
}

// settle applies the loads and delayed orders that are due.
func (w *updateSim) settle() {
	var still []sentOrder
	for _, o := range w.late {
		if o.at.After(w.now) {
			still = append(still, o)
			continue
		}
		w.carryOut(o)
	}
	w.late = still
	for _, e := range w.engines {
		if e.loading > 0 && !e.busyUntil.After(w.now) {
			require.Greater(w.t, e.loading, e.weights, "weights decreased at %s", e.addr)
			e.weights, e.loading = e.loading, 0
		}
	}
}

// carryOut carries out an order if its conditions on the engine hold.
func (w *updateSim) carryOut(o sentOrder) bool {
	e := o.to
	if e.incarnation != o.incarnation || e.orders != o.orders || e.loading > 0 || e.weights == o.weights {
		return false
	}
	e.orders++
	e.loading = o.weights
	e.busyUntil = w.now.Add(800 * time.Millisecond)
	return true
}

// round runs one round of the holder; lost and late decide what happens to its orders.
func (w *updateSim) round(lost, late func() bool) {
	w.settle()
	targets := w.targets()
	steps := w.update.Next(w.now, map[string]string{"m": strconv.Itoa(w.newest)}, targets, shorter)
	// Targets that left the list do not end the changes of other targets. A delayed load that has
	// started is held even beyond the limit, but then no further orders are sent.
	limit, loading, held := w.update.settings.maxConcurrent(len(w.engines)), 0, 0
	for _, t := range targets {
		if t.Busy && shorter(t.Weights, strconv.Itoa(w.newest)) {
			loading++
		}
	}
	for _, t := range steps.Holds {
		if !t.Busy {
			held++
		}
	}
	require.LessOrEqual(w.t, held, limit)
	if len(steps.Orders) > 0 {
		require.LessOrEqual(w.t, loading+len(steps.Orders), limit)
	}
	for _, t := range steps.Polls {
		if e := w.engine(t); strconv.Itoa(e.incarnation) == string(t.Incarnation) {
			w.asked[t.id()], w.busy[t.id()] = e.orders, e.loading > 0
		}
	}
	for _, o := range steps.Orders {
		weights, err := strconv.Atoi(o.Weights)
		require.NoError(w.t, err)
		e := w.engine(o.Target)
		sent := sentOrder{to: e, orders: o.Target.Orders, weights: weights, at: w.now}
		_, err = fmt.Sscan(string(o.Target.Incarnation), &sent.incarnation)
		require.NoError(w.t, err)
		switch {
		case late():
			sent.at = w.now.Add(time.Duration(rapid.IntRange(2000, 12000).Draw(w.t, "late")) * time.Millisecond)
			w.late = append(w.late, sent)
		case !lost():
			if w.carryOut(sent) {
				w.busy[o.Target.id()] = true
			}
		}
	}
	w.now = w.now.Add(30 * time.Millisecond)
}

// Whatever happens to orders, holders and targets, weights only increase within an incarnation, the
// number of concurrent changes stays within its limit, and without further faults all targets reach
// the newest weights.
func TestRollFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &updateSim{t: t, now: time.Unix(1000, 0), newest: 1, asked: make(map[updateID]int64), busy: make(map[updateID]bool)}
		newHolder := func() {
			w.update = NewRollingUpdate(DefaultUpdateSettings())
			clear(w.asked)
			clear(w.busy)
		}
		newHolder()
		for i := range rapid.IntRange(1, 12).Draw(t, "engines") {
			w.engines = append(w.engines, &updateEngine{
				addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), incarnation: 1, weights: 1, listed: true,
			})
		}
		pick := func() *updateEngine { return rapid.SampledFrom(w.engines).Draw(t, "engine") }
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				w.newest++
			case 1:
				e := pick()
				e.incarnation, e.orders, e.loading = e.incarnation+1, 0, 0
			case 2:
				newHolder()
			case 3:
				e := pick()
				e.listed = !e.listed
			default:
				for range rapid.IntRange(1, 25).Draw(t, "rounds") {
					w.round(
						func() bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 },
						func() bool { return rapid.IntRange(0, 3).Draw(t, "late") == 0 },
					)
				}
			}
		}
		for _, e := range w.engines {
			e.listed = true
		}
		never := func() bool { return false }
		for range 1000 {
			w.round(never, never)
		}
		for _, e := range w.engines {
			require.Equal(t, w.newest, e.weights, "%s", e.addr)
		}
	})
}
