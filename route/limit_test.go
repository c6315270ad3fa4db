package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limitWorld is several boards of one fleet without targets: every admitted request ends at once.
type limitWorld struct {
	now      time.Time
	boards   []*Board
	cut      map[int]bool
	admitted int
	seq      int
}

func newLimitWorld(t *testing.T, n int, rate float64) *limitWorld {
	w := &limitWorld{now: epoch, cut: make(map[int]bool)}
	snap := testSetup{rate: rate}.snapshot(t)
	for range n {
		b := NewBoard(WithSeed(1))
		b.Adopt(w.now, snap)
		b.routers = n
		w.boards = append(w.boards, b)
	}
	return w
}

func (w *limitWorld) gossip() {
	for i, b := range w.boards {
		states := make(map[string]PeerState)
		for j, o := range w.boards {
			if i != j && !w.cut[i] && !w.cut[j] {
				states[fmt.Sprint(j)] = o.State(w.now)
			}
		}
		b.MergePeers(w.now, states, len(w.boards))
	}
}

func (w *limitWorld) ask(board int) {
	w.seq++
	b := w.boards[board]
	r := Request{ID: fmt.Sprint(w.seq), Org: "a", Pool: "s", Deadline: w.now.Add(time.Second), QueueTime: time.Second}
	if b.admitOrg(w.now, &request{Request: r}) == nil {
		w.admitted++
	}
}

// play offers rate requests per second for a duration, spread by weight over the boards.
func (w *limitWorld) play(rng *rand.Rand, d time.Duration, rate float64, weight func(board int) float64) {
	const step = 5 * time.Millisecond
	sum := 0.0
	for i := range w.boards {
		sum += weight(i)
	}
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for i := range w.boards {
			mean := rate * step.Seconds() * weight(i) / sum
			for n := rng.Float64(); n < mean; n++ {
				w.ask(i)
			}
		}
		if w.now.Sub(epoch)%(200*time.Millisecond) == 0 {
			w.gossip()
		}
	}
}

func TestLimitOverRouters(t *testing.T) {
	t.Parallel()
	const limit = 400
	even := func(int) float64 { return 1 }
	skewed := func(i int) float64 { return float64(1 + 20*(i%2)) }
	cases := map[string]struct {
		weight func(int) float64
		cut    []int
		// least is the least share of the limit that must be used, not counting a burst of one
		// second.
		least float64
	}{
		"even":                 {weight: even, least: 0.85},
		"skewed":               {weight: skewed, least: 0.8},
		"two cut off":          {weight: even, cut: []int{0, 1}, least: 0.75},
		"two cut off, skewed":  {weight: skewed, cut: []int{0, 1}, least: 0.5},
		"all cut off":          {weight: even, cut: []int{0, 1, 2, 3, 4, 5, 6, 7}, least: 0.75},
		"all cut off, skewed":  {weight: skewed, cut: []int{0, 1, 2, 3, 4, 5, 6, 7}, least: 0.4},
		"one cut off, no load": {weight: func(i int) float64 { return float64(min(i, 1)) }, cut: []int{0}, least: 0.7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			w := newLimitWorld(t, 8, limit)
			w.play(rng, 5*time.Second, 2*limit, c.weight)
			for _, i := range c.cut {
				w.cut[i] = true
			}
			w.play(rng, 2*time.Second, 2*limit, c.weight)
			w.admitted = 0
			const seconds = 20
			w.play(rng, seconds*time.Second, 2*limit, c.weight)
			used := float64(w.admitted) / (limit * seconds)
			require.LessOrEqual(t, used, 1.1, "the limit is overshot")
			require.GreaterOrEqual(t, used, c.least, "the limit is left unused")
		})
	}
}

// TestLimitDemandMoves checks the overshoot while all demand moves from router to router.
func TestLimitDemandMoves(t *testing.T) {
	t.Parallel()
	const limit, seconds = 400, 20
	rng := rand.New(rand.NewPCG(1, 1))
	w := newLimitWorld(t, 8, limit)
	for s := range seconds {
		w.play(rng, time.Second, 2*limit, func(i int) float64 {
			if i == s%8 {
				return 20
			}
			return 1
		})
	}
	require.LessOrEqual(t, float64(w.admitted)/(limit*seconds), 1.1)
}

// TestFairness lets one organisation offer ten times its previous load, and checks that the other
// is served as before and that no capacity stays idle.
func TestFairness(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 0, testSetup{window: 4})
	served := make(map[string]int)
	const rounds = 400
	for range rounds {
		for range 10 {
			w.request("a", "x", false, true)
		}
		w.request("b", "y", false, true)
		w.now = w.now.Add(50 * time.Millisecond)
		// In each round the engines finish two requests: a tenth of the offered load, and twice
		// what b requests.
		for range 2 {
			if len(w.inFlight) > 0 {
				a := w.takeInFlight(0)
				served[w.asked[a.Request].Org]++
				w.end(a, OutcomeDone, true, true)
			}
		}
		w.execute(w.board.Tick(w.now))
	}
	require.GreaterOrEqual(t, served["b"], rounds*95/100, "b gets all it asks for")
	require.GreaterOrEqual(t, served["a"]+served["b"], 2*rounds*95/100, "a gets all that is left over")
}

func TestRetryBudget(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3, 0, testSetup{window: 16})
	const requests = 500
	for range requests {
		w.request("b", "x", false, true)
		for len(w.inFlight) > 0 {
			w.end(w.takeInFlight(0), OutcomeUnsent, false, false)
			for _, f := range w.targets {
				w.report(f)
			}
			w.now = w.now.Add(time.Second)
			w.execute(w.board.Tick(w.now))
		}
	}
	sends := 0
	for _, n := range w.sends {
		sends += n
	}
	require.LessOrEqual(t, sends, requests*110/100+defaultRetryReserve, "retries add at most a tenth")
}
