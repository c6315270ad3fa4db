package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Times of the pools that these tests play.
const (
	// lateStep is the time between two rounds, as under the lease.
	lateStep = 30 * time.Millisecond
	// lateLoad is how long a load takes while no more than two run; more run slower.
	lateLoad = 830 * time.Millisecond
	// lateReport is how old a target's report is, and lateList what the list says.
	lateReport = 200 * time.Millisecond
	lateList   = 1500 * time.Millisecond
	// lateBound is the age from which replaced weights serve no more.
	lateBound = 10 * time.Second
)

// lateEngineState is what a target was at a moment.
type lateEngineState struct {
	at      time.Time
	weights int
	orders  int64
	busy    bool
}

// lateEngine is a target that carries out some orders late and answers them never.
type lateEngine struct {
	addr    netip.AddrPort
	weights int
	orders  int64
	loading int
	// left is the work that remains of the load.
	left    time.Duration
	history []lateEngineState
	// seen is the last report that the holder read, and told when it heard an answer.
	seen     *lateEngineState
	answered bool
}

// at is what the target was then.
func (e *lateEngine) at(then time.Time) lateEngineState {
	out := e.history[0]
	for _, w := range e.history {
		if w.at.After(then) {
			break
		}
		out = w
	}
	return out
}

// latePool is a pool whose orders are late by chance.
type latePool struct {
	now      time.Time
	rand     *rand.Rand
	fraction float64
	roll     *RollingUpdate
	engines  []*lateEngine
	named    []time.Time
	late     []lateOrder

	// What came of it: the orders, the most loads at once, and how long targets
	// spent on replaced weights, and on weights that serve no more.
	orders, maxLoads int
	old, unusable    time.Duration
}

type lateOrder struct {
	to      *lateEngine
	orders  int64
	weights int
	at      time.Time
}

func newLatePool(seed uint64, n int, fraction float64) *latePool {
	p := &latePool{
		now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, seed)), fraction: fraction, roll: NewRollingUpdate(DefaultUpdateSettings()),
	}
	for i := range n {
		p.engines = append(p.engines, &lateEngine{
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), weights: 1,
		})
	}
	p.named = []time.Time{p.now}
	return p
}

// settle carries out what is due and lets loads go on.
func (p *latePool) settle() {
	var still []lateOrder
	for _, o := range p.late {
		if o.at.After(p.now) {
			still = append(still, o)
		} else {
			p.carryOut(o)
		}
	}
	p.late = still
	loading := 0
	for _, e := range p.engines {
		if e.loading > 0 {
			loading++
		}
	}
	p.maxLoads = max(p.maxLoads, loading)
	atOnce := p.roll.settings.maxConcurrent(len(p.engines))
	for _, e := range p.engines {
		if e.loading > 0 {
			e.left -= lateStep * time.Duration(atOnce) / time.Duration(max(loading, atOnce))
			if e.left <= 0 {
				e.weights, e.loading = e.loading, 0
			}
		}
		e.history = append(e.history, lateEngineState{p.now, e.weights, e.orders, e.loading > 0})
		if e.weights < len(p.named) {
			p.old += lateStep
			if p.now.Sub(p.named[e.weights]) > lateBound {
				p.unusable += lateStep
			}
		}
	}
}

func (p *latePool) carryOut(o lateOrder) bool {
	if o.to.orders != o.orders || o.to.loading > 0 || o.to.weights == o.weights {
		return false
	}
	o.to.orders++
	o.to.loading, o.to.left = o.weights, lateLoad
	return true
}

func (p *latePool) targets() []UpdateTarget {
	var out []UpdateTarget
	for _, e := range p.engines {
		t := UpdateTarget{Addr: e.addr, Incarnation: "1", Model: "m", Orders: OrdersUnknown}
		weights := e.at(p.now.Add(-lateList)).weights
		if e.seen != nil {
			weights = max(weights, e.seen.weights)
			t.Orders, t.Busy = e.seen.orders, e.seen.busy || e.answered
		}
		t.Weights = strconv.Itoa(weights)
		out = append(out, t)
	}
	return out
}

// run plays the pool for so long.
func (p *latePool) run(t *testing.T, d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(lateStep) {
		p.settle()
		steps := p.roll.Next(p.now, map[string]string{"m": strconv.Itoa(len(p.named))}, p.targets(), shorter)
		byAddr := func(a UpdateTarget) *lateEngine { return p.engines[a.Addr.Addr().As4()[3]] }
		for _, l := range steps.Polls {
			e := byAddr(l)
			was := e.at(p.now.Add(-lateReport))
			e.seen, e.answered = &was, false
		}
		for _, o := range steps.Orders {
			p.orders++
			weights, err := strconv.Atoi(o.Weights)
			require.NoError(t, err)
			sent := lateOrder{to: byAddr(o.Target), orders: o.Target.Orders, weights: weights, at: p.now}
			if p.rand.Float64() < p.fraction {
				sent.at = p.now.Add(2*time.Second + time.Duration(p.rand.Int64N(int64(10*time.Second))))
				p.late = append(p.late, sent)
			} else if p.carryOut(sent) {
				sent.to.answered = true
			}
		}
	}
}

// Where nine in ten orders are carried out late, targets come to weights that are
// named every 5 s before the weights that they have serve no more.
func TestRollLate(t *testing.T) {
	var old, refused time.Duration
	var orders, most int
	const seeds = 20
	for seed := range uint64(seeds) {
		p := newLatePool(seed, 9, 0.9)
		for range 4 {
			p.named = append(p.named, p.now)
			p.run(t, 5*time.Second)
		}
		p.run(t, 10*time.Second)
		old, refused = old+p.old, refused+p.unusable
		orders, most = orders+p.orders, most+p.maxLoads
		for _, e := range p.engines {
			require.Equal(t, 5, e.weights, "seed %d, %s", seed, e.addr)
		}
	}
	t.Logf("in a mean day nine targets have old weights for %v in all, too old ones for %v; %d orders, %.1f loads at once at most",
		old/seeds, refused/seeds, orders/seeds, float64(most)/seeds)
	// Before orders were repeated apart from the places it was 245 s, 106 s and 53 orders.
	require.Less(t, refused/seeds, 6*time.Second, "of 270 s")
	require.Less(t, old/seeds, 190*time.Second, "of 270 s")
	require.Less(t, orders/seeds, 200)
	require.LessOrEqual(t, most, 5*seeds, "loads at once in a mean day")
}

// Where orders are in time, the whole pool comes to the newest weights well within
// the bound, and no more targets load at once than may.
func TestRollInTime(t *testing.T) {
	for n, atOnce := range map[int]int{9: 2, 117: 23, 140: 28} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			p := newLatePool(1, n, 0)
			p.named = append(p.named, p.now)
			p.run(t, 7*time.Second)
			for _, e := range p.engines {
				require.Equal(t, 2, e.weights, "%s", e.addr)
			}
			t.Logf("%d targets: %v of old weights, %d orders", n, p.old, p.orders)
			require.LessOrEqual(t, p.maxLoads, atOnce)
			require.Equal(t, n, p.orders)
		})
	}
}
