package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
)

// Parameters of the fleet of [retrySim] and the bound in its configuration.
const (
	retryRouters = 6
	// retrySeeds is the number of routers that the settings of each one name.
	retrySeeds   = 3
	retryRatio   = 0.2
	retryReserve = 52
	retryWindow  = 10 * time.Second
	// retryStep is the time step of the simulation, and retryRate the requests per second at
	// each router.
	retryStep = 50 * time.Millisecond
	retryRate = 2
	// meetTime is how long a router that starts or resumes knows only the routers in its
	// settings, and lostTime the silence after which it counts a peer as lost.
	meetTime = 500 * time.Millisecond
	lostTime = 2500 * time.Millisecond
)

// retrySim simulates a fleet whose routers retry as often as they may.
type retrySim struct {
	now    time.Time
	boards []*Board
	// upAt is when each router last started or resumed, or zero while it is down or suspended.
	// stoppedAt is when it was stopped.
	upAt      []time.Time
	stoppedAt []time.Time
	// requests and retries hold the totals of all routers in each step.
	requests, retries []int
}

func newRetrySim() *retrySim {
	w := &retrySim{
		now: epoch, boards: make([]*Board, retryRouters),
		upAt: make([]time.Time, retryRouters), stoppedAt: make([]time.Time, retryRouters),
	}
	for i := range retryRouters {
		w.start(i)
	}
	return w
}

// start starts a router without the state of its previous process.
func (w *retrySim) start(i int) {
	b := NewBoard(WithSeed(uint64(len(w.requests)*retryRouters+i)), WithRouters(retrySeeds))
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

// resume resumes a suspended router.
func (w *retrySim) resume(i int) { w.upAt[i], w.stoppedAt[i] = w.now, time.Time{} }

// stop stops or suspends a router.
func (w *retrySim) stop(i int) { w.upAt[i], w.stoppedAt[i] = time.Time{}, w.now }

func (w *retrySim) all(do func(i int)) {
	for i := range retryRouters {
		do(i)
	}
}

// visiblePeers returns the number of routers that one knows, including itself.
func (w *retrySim) visiblePeers(i int) int {
	if w.now.Sub(w.upAt[i]) < meetTime {
		return retrySeeds
	}
	n := 0
	for j := range retryRouters {
		if w.stoppedAt[j].IsZero() || w.now.Sub(w.stoppedAt[j]) < lostTime {
			n++
		}
	}
	return max(n, retrySeeds)
}

// run advances the time. Every running router receives its requests and makes all retries that
// it may.
func (w *retrySim) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(retryStep) {
		requests, retries := 0, 0
		for i, b := range w.boards {
			if w.upAt[i].IsZero() {
				continue
			}
			if w.now.Sub(w.upAt[i]) >= 5*retryStep {
				b.MergePeers(w.now, nil, w.visiblePeers(i))
			}
			if len(w.requests)%int(time.Second/retryStep/retryRate) == i {
				b.earnRetry(w.now, &b.pools["s"].retries)
				requests++
			}
			for b.spendRetry(w.now, &b.pools["s"].retries) {
				retries++
			}
		}
		w.requests, w.retries = append(w.requests, requests), append(w.retries, retries)
	}
}

// sum returns the total over the window that begins at a step.
func (w *retrySim) sum(counts []int, from int) int {
	steps, n := int(retryWindow/retryStep), 0
	for i := max(0, from); i < min(len(counts), from+steps); i++ {
		n += counts[i]
	}
	return n
}

// worst returns the retries and the bound of the window in which the retries exceed the bound
// by the most, or come closest to it. The bound uses the requests of that window, of the one
// before or of the one half a window before, whichever has the most.
func (w *retrySim) worst() (retries int, bound float64) {
	steps := int(retryWindow / retryStep)
	bound = 1e9
	for from := range w.retries {
		most := max(w.sum(w.requests, from), w.sum(w.requests, from-steps), w.sum(w.requests, from-steps/2))
		n, allowed := w.sum(w.retries, from), retryRatio*float64(most)+retryReserve
		if allowed-float64(n) < bound-float64(retries) {
			retries, bound = n, allowed
		}
	}
	return retries, bound
}

// TestRetryBoundRestarts checks that the retries of all routers in any window stay within the
// bound, whichever routers restart, are suspended or are lost, and however often.
func TestRetryBoundRestarts(t *testing.T) {
	t.Parallel()
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
		"all soon after they know their peers": func(w *retrySim) {
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
		"all suspended for longer than the peer timeout": func(w *retrySim) {
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
		"all but one are lost and return": func(w *retrySim) {
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
			retries, bound := w.worst()
			t.Logf("%d retries, at most %.0f allowed", retries, bound)
			require.LessOrEqual(t, float64(retries), bound)
		})
	}
}

// TestRetryBoundSoleRouter checks that a router whose settings name no other router may retry
// from its start, as if it had been running before, and stays within the bound over four starts
// in one window.
func TestRetryBoundSoleRouter(t *testing.T) {
	t.Parallel()
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
