package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
)

// The fleet of [retrySim] and the bound that its configuration states.
const (
	retryRouters = 6
	// retrySeeds is how many routers the settings of each one name.
	retrySeeds   = 3
	retryRatio   = 0.2
	retryReserve = 52
	retryWindow  = 10 * time.Second
	// retryStep is the resolution of the test's time, retryRate the requests a second at each router.
	retryStep = 50 * time.Millisecond
	retryRate = 2
	// meetTime is how long a router that starts or wakes knows no more than its settings,
	// lostTime the silence after which it counts a peer as lost.
	meetTime = 500 * time.Millisecond
	lostTime = 2500 * time.Millisecond
)

// retrySim is a fleet whose routers repeat as often as they may.
type retrySim struct {
	now    time.Time
	boards []*Board
	// upAt is when each router started or woke last; it is zero while the router is down,
	// and goneAt says since when that is.
	upAt   []time.Time
	goneAt []time.Time
	// first and again count the requests and the repeats of all routers in each step.
	first, again []int
}

func newRetrySim() *retrySim {
	w := &retrySim{
		now: epoch, boards: make([]*Board, retryRouters),
		upAt: make([]time.Time, retryRouters), goneAt: make([]time.Time, retryRouters),
	}
	for i := range retryRouters {
		w.start(i)
	}
	return w
}

// start starts a router with nothing of what its last process knew.
func (w *retrySim) start(i int) {
	b := NewBoard(WithSeed(uint64(len(w.first)*retryRouters+i)), WithRouters(retrySeeds))
	cfg := &policy.Config{Version: policy.Version, Requests: policy.Requests{
		RetryBudget: retryRatio, RetryReserve: retryReserve, RetryWindow: policy.Duration(retryWindow),
	}, Pools: []policy.Pool{{Name: "s", Kind: policy.KindService, Selector: "s=s"}}}
	snap, err := policy.Compile(cfg, 1)
	if err != nil {
		panic(err)
	}
	b.Adopt(w.now, snap)
	w.boards[i] = b
	w.resume(i)
}

// resume lets a router go on that was frozen.
func (w *retrySim) resume(i int) { w.upAt[i], w.goneAt[i] = w.now, time.Time{} }

// stop ends or freezes a router.
func (w *retrySim) stop(i int) { w.upAt[i], w.goneAt[i] = time.Time{}, w.now }

func (w *retrySim) all(do func(i int)) {
	for i := range retryRouters {
		do(i)
	}
}

// visiblePeers is how many routers one knows of, itself included.
func (w *retrySim) visiblePeers(i int) int {
	if w.now.Sub(w.upAt[i]) < meetTime {
		return retrySeeds
	}
	n := 0
	for j := range retryRouters {
		if w.goneAt[j].IsZero() || w.now.Sub(w.goneAt[j]) < lostTime {
			n++
		}
	}
	return max(n, retrySeeds)
}

// run lets time pass: every router that runs gets its requests and repeats as much as it may.
func (w *retrySim) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(retryStep) {
		first, again := 0, 0
		for i, b := range w.boards {
			if w.upAt[i].IsZero() {
				continue
			}
			if w.now.Sub(w.upAt[i]) >= 5*retryStep {
				b.MergePeers(w.now, nil, w.visiblePeers(i))
			}
			if len(w.first)%int(time.Second/retryStep/retryRate) == i {
				b.earnRetry(w.now, &b.pools["s"].retries)
				first++
			}
			for b.spendRetry(w.now, &b.pools["s"].retries) {
				again++
			}
		}
		w.first, w.again = append(w.first, first), append(w.again, again)
	}
}

// sum counts over one window that begins at a step.
func (w *retrySim) sum(counts []int, from int) int {
	steps, n := int(retryWindow/retryStep), 0
	for i := max(0, from); i < min(len(counts), from+steps); i++ {
		n += counts[i]
	}
	return n
}

// worst returns the window whose repeats are the most above the bound, or the least
// below it: its repeats and the bound, by the requests of that window, of the one
// before and of the one half a window before, whichever has most.
func (w *retrySim) worst() (repeats int, bound float64) {
	steps := int(retryWindow / retryStep)
	bound = 1e9
	for from := range w.again {
		most := max(w.sum(w.first, from), w.sum(w.first, from-steps), w.sum(w.first, from-steps/2))
		n, may := w.sum(w.again, from), retryRatio*float64(most)+retryReserve
		if may-float64(n) < bound-float64(repeats) {
			repeats, bound = n, may
		}
	}
	return repeats, bound
}

// Over any window the repeats of all routers stay within the bound, whichever
// routers are started anew, freeze or are lost, and however often.
func TestRetryBoundRestarts(t *testing.T) {
	cases := map[string]func(w *retrySim){
		"nobody restarts": func(w *retrySim) { w.run(2 * retryWindow) },
		"all once": func(w *retrySim) {
			w.run(retryWindow + time.Second)
			w.all(w.start)
			w.run(retryWindow)
		},
		"all twice in one window": func(w *retrySim) {
			w.run(retryWindow + time.Second)
			for range 2 {
				w.all(w.start)
				w.run(retryWindow / 3)
			}
			w.run(retryWindow)
		},
		"all again and again": func(w *retrySim) {
			w.run(retryWindow + time.Second)
			for range 8 {
				w.all(w.start)
				w.run(retryWindow / 5)
			}
			w.run(retryWindow)
		},
		"all right after they met": func(w *retrySim) {
			w.run(retryWindow + time.Second)
			for range 8 {
				w.all(w.start)
				w.run(retryWindow/4 + 2*retryStep)
			}
			w.run(retryWindow)
		},
		"in turn": func(w *retrySim) {
			w.run(retryWindow + time.Second)
			for n := range 4 * retryRouters {
				w.start(n % retryRouters)
				w.run(time.Second)
			}
			w.run(retryWindow)
		},
		"all frozen for longer than peers are known": func(w *retrySim) {
			w.run(retryWindow + time.Second)
			w.all(w.stop)
			w.run(lostTime + time.Second)
			w.all(w.resume)
			w.run(retryWindow)
		},
		"all but one are lost": func(w *retrySim) {
			w.run(retryWindow + time.Second)
			for i := range retryRouters - 1 {
				w.stop(i)
			}
			w.run(2 * retryWindow)
		},
		"all but one are lost and come back": func(w *retrySim) {
			w.run(retryWindow + time.Second)
			for i := range retryRouters - 1 {
				w.stop(i)
			}
			w.run(lostTime + time.Second)
			for i := range retryRouters - 1 {
				w.start(i)
			}
			w.run(2 * retryWindow)
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			w := newRetrySim()
			play(w)
			repeats, bound := w.worst()
			t.Logf("%d repeats where %.0f may be", repeats, bound)
			require.LessOrEqual(t, float64(repeats), bound)
		})
	}
}

// A router that is alone by its settings repeats from its start, as if it had lived
// for a while, and stays within the bound over four starts in one window.
func TestRetryBoundSoleRouter(t *testing.T) {
	const starts = 4
	now := epoch
	spent := 0
	for start := range starts + 1 {
		b := newRetryBoard(1)
		b.soleRouter = true
		k := newRetryBudget(now)
		if start == 0 {
			k = newRetryBudget(now.Add(-time.Minute))
		}
		n := 0
		for b.spendRetry(now, &k) {
			n++
		}
		require.GreaterOrEqual(t, n, 4, "start %d", start)
		spent += n
		now = now.Add(time.Second)
	}
	require.LessOrEqual(t, spent, 50+starts, "each start may round up")
}
