package fleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// testSnapshot declares one pool with one model.
func testSnapshot(t require.TestingT, revision int64, weights string, replicas, floor int) *policy.Snapshot {
	text := fmt.Sprintf(`
version: pathhead/v1
organisations: []
pools: [{name: p, kind: engine, selector: s=p, replicas: %d}]
models: [{name: m, weights: %s, pool: p, floor: %d}]
`, replicas, weights, floor)
	cfg, err := policy.Parse("test", []byte(text))
	require.NoError(t, err)
	snap, err := policy.Compile(cfg, revision)
	require.NoError(t, err)
	return snap
}

// fakeEngine is an engine as simulated by the test.
type fakeEngine struct {
	Engine
	loadEnds time.Time
	loadTo   string
	refuses  bool
}

// fleetSim simulates engines under a planner that may be replaced when the lease changes hands.
type fleetSim struct {
	now      time.Time
	snap     *policy.Snapshot
	planner  *Planner
	engines  []*fakeEngine
	floor    int
	restarts int
}

func newFleetSim(t require.TestingT, n, floor int) *fleetSim {
	w := &fleetSim{now: epoch, floor: floor, snap: testSnapshot(t, 1, "w1", 0, floor)}
	w.planner = NewPlanner("p", DefaultPlannerSettings())
	for i := range n {
		w.engines = append(w.engines, &fakeEngine{Engine: Engine{
			Addr: testAddr(i), Incarnation: "i0", Weights: map[string]string{"m": "w1"}, Reachable: true,
		}})
	}
	return w
}

const testLoad = 3 * time.Second

// round runs one planning round and carries out its orders. It returns an error if an invariant is
// violated.
func (w *fleetSim) round() error {
	w.now = w.now.Add(500 * time.Millisecond)
	var engines []Engine
	for _, e := range w.engines {
		if e.Loading && !w.now.Before(e.loadEnds) {
			e.Loading = false
			e.Weights["m"] = e.loadTo
		}
		engines = append(engines, e.Engine)
	}
	steps := w.planner.Plan(w.now, w.snap, engines)
	for _, s := range steps.Orders {
		if err := w.order(s); err != nil {
			return err
		}
	}
	for _, s := range steps.Probes {
		w.planner.Probed(w.now, s.Change.Engine, nil)
	}
	return w.check()
}

func (w *fleetSim) order(s Step) error {
	for _, e := range w.engines {
		if e.Addr != s.Change.Engine {
			continue
		}
		if e.Busy > 0 {
			return fmt.Errorf("engine %s got an order while running %d requests", e.Addr, e.Busy)
		}
		if e.refuses {
			w.planner.Ordered(w.now, e.Addr, errors.New("refused"))
			return nil
		}
		delete(e.Weights, "m")
		e.Loading, e.loadEnds, e.loadTo = true, w.now.Add(testLoad), s.Change.Want.Weights
		w.planner.Ordered(w.now, e.Addr, nil)
	}
	return nil
}

// check is the oracle: at most two engines load at the same time, and the planner itself never
// takes the pool below its floor.
func (w *fleetSim) check() error {
	loading, serving := 0, 0
	for _, e := range w.engines {
		if e.Loading {
			loading++
		}
		if _, ok := e.Weights["m"]; ok {
			serving++
		}
	}
	if loading > 2 {
		return fmt.Errorf("%d engines load at once", loading)
	}
	if serving < w.floor && w.restarts == 0 {
		return fmt.Errorf("%d engines serve, the floor is %d", serving, w.floor)
	}
	return nil
}

func (w *fleetSim) converged() bool {
	m, _, _ := w.snap.Model("m")
	for _, e := range w.engines {
		if e.Weights["m"] != m.Weights {
			return false
		}
	}
	return true
}

func TestPlannerFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newFleetSim(rt, 5, rapid.IntRange(1, 4).Draw(rt, "floor"))
		pick := func() *fakeEngine { return w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(rt, "engine")] }
		must := func(err error) {
			if err != nil {
				rt.Fatal(err)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"round": func(*rapid.T) { must(w.round()) },
			"apply": func(rt *rapid.T) {
				weights := rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(rt, "weights")
				w.snap = testSnapshot(rt, w.snap.Revision+1, weights, 0, w.floor)
			},
			"new holder": func(*rapid.T) { w.planner = NewPlanner("p", DefaultPlannerSettings()) },
			"busy":       func(rt *rapid.T) { pick().Busy = rapid.IntRange(0, 3).Draw(rt, "requests") },
			"restart": func(*rapid.T) {
				e := pick()
				w.restarts++
				e.Incarnation = route.Incarnation(fmt.Sprint("i", w.restarts))
				e.Weights = map[string]string{}
				e.Loading, e.Busy = false, 0
			},
			"unreachable": func(*rapid.T) {
				e := pick()
				e.Reachable = !e.Reachable
			},
		})
		for _, e := range w.engines {
			e.Busy, e.Reachable, e.refuses = 0, true, false
		}
		for i := 0; i < 400 && !w.converged(); i++ {
			must(w.round())
		}
		if !w.converged() {
			rt.Fatalf("the pool did not converge: %v", w.planner.Changes())
		}
	})
}

func TestPlannerStopsRollout(t *testing.T) {
	w := newFleetSim(t, 4, 2)
	w.snap = testSnapshot(t, 2, "w2", 0, 2)
	for _, e := range w.engines {
		e.refuses = true
	}
	for range 60 {
		require.NoError(t, w.round())
	}
	stops := w.planner.StoppedRollouts()
	require.Contains(t, stops[Rollout{"m", "w2"}], "refused the order")
	require.Empty(t, w.planner.Changes())

	for _, e := range w.engines {
		e.refuses = false
	}
	w.snap = testSnapshot(t, 3, "w1", 0, 2)
	for range 10 {
		require.NoError(t, w.round())
	}
	require.True(t, w.converged(), "a rollback is a new revision")
}

func TestPlannerReportsBlocked(t *testing.T) {
	w := newFleetSim(t, 2, 2)
	w.snap = testSnapshot(t, 2, "w2", 0, 2)
	require.NoError(t, w.round())
	require.Contains(t, w.planner.Blocked(), "floor")
	w.snap = testSnapshot(t, 3, "w2", 0, 1)
	require.NoError(t, w.round())
	require.Len(t, w.planner.Changes(), 1)
}

func TestPlannerCountsFailuresBetweenSuccesses(t *testing.T) {
	w := newFleetSim(t, 4, 1)
	w.snap = testSnapshot(t, 2, "w2", 0, 1)
	w.engines[0].refuses, w.engines[3].refuses = true, true
	for range 60 {
		require.NoError(t, w.round())
	}
	require.Contains(t, w.planner.StoppedRollouts(), Rollout{"m", "w2"})
}

func TestPlannerReplicas(t *testing.T) {
	w := newFleetSim(t, 4, 1)
	w.snap = testSnapshot(t, 2, "w1", 3, 1)
	for range 40 {
		require.NoError(t, w.round())
	}
	serving := 0
	for _, e := range w.engines {
		if e.Weights["m"] == "w1" {
			serving++
		}
	}
	require.Equal(t, 3, serving)
}
