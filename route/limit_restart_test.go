package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limitRestarts is a limitWorld whose routers are restarted. It records what is admitted in each
// step.
type limitRestarts struct {
	*limitWorld
	t        *testing.T
	rng      *rand.Rand
	admitted []int
}

// The fleet of the test: the limit in requests per second, the load offered, and the window over
// which the limit is checked.
const (
	limitRouters = 8
	limitRate    = 400
	limitOffered = 800
	limitWindow  = 8 * time.Second
	limitStep    = 100 * time.Millisecond
)

func newLimitRestarts(t *testing.T) *limitRestarts {
	return &limitRestarts{limitWorld: newLimitWorld(t, limitRouters, limitRate), t: t, rng: rand.New(rand.NewPCG(1, 1))}
}

// restart restarts a router, which then knows the others only by its settings.
func (w *limitRestarts) restart(i int) {
	b := NewBoard(WithSeed(1), WithRouters(limitRouters))
	b.Adopt(w.now, testSetup{rate: limitRate}.snapshot(w.t))
	w.boards[i] = b
}

func (w *limitRestarts) restartAll() {
	for i := range limitRouters {
		w.restart(i)
	}
}

// advance advances the time while more is offered than the limit allows.
func (w *limitRestarts) advance(d time.Duration) {
	for ; d > 0; d -= limitStep {
		w.limitWorld.admitted = 0
		w.play(w.rng, limitStep, limitOffered, func(int) float64 { return 1 })
		w.admitted = append(w.admitted, w.limitWorld.admitted)
	}
}

// maxUsed returns the largest number of requests admitted in one window.
func (w *limitRestarts) maxUsed() int {
	n, most := 0, 0
	for i, a := range w.admitted {
		if n += a; i >= int(limitWindow/limitStep) {
			n -= w.admitted[i-int(limitWindow/limitStep)]
		}
		most = max(most, n)
	}
	return most
}

// An organisation's limit holds over all routers and in any window, however often they restart. A
// new process does not know what its predecessor admitted, so it must not start with a burst.
func TestLimitOverRestarts(t *testing.T) {
	t.Parallel()
	cases := map[string]func(w *limitRestarts){
		"none restarts": func(w *limitRestarts) { w.advance(2 * limitWindow) },
		"all restart once": func(w *limitRestarts) {
			w.advance(limitWindow)
			w.restartAll()
			w.advance(limitWindow)
		},
		"all restart repeatedly": func(w *limitRestarts) {
			w.advance(limitWindow)
			for range 8 {
				w.restartAll()
				w.advance(time.Second)
			}
		},
		"one after the other restarts": func(w *limitRestarts) {
			w.advance(limitWindow)
			for i := range 3 * limitRouters {
				w.restart(i % limitRouters)
				w.advance(500 * time.Millisecond)
			}
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			w := newLimitRestarts(t)
			play(w)
			t.Logf("%d admitted", w.maxUsed())
			// One burst, worth one second of the limit, is allowed per window.
			require.LessOrEqual(t, float64(w.maxUsed()), 1.1*limitRate*(limitWindow.Seconds()+1))
		})
	}
}
