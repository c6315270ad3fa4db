package e2e

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/controller"
	"github.com/pathhead/pathhead/internal/standin"
	"github.com/pathhead/pathhead/wire"
)

// orderRecord is an order as an engine logged it.
type orderRecord struct {
	wire.Order
	At       time.Time `json:"at"`
	Accepted bool      `json:"accepted"`
	Why      string    `json:"why"`
}

func (s *system) orders(e *targetProc) []orderRecord {
	var out []orderRecord
	_ = s.getJSON(e.addr, "/standin/orders", &out)
	return out
}

// rollout applies the configuration with other weights without waiting for the engines.
func (s *system) rollout(weights string) {
	s.t.Helper()
	s.applyConfig(strings.Replace(s.setup.config, "weights: w1", "weights: "+weights, 1))
}

// serving returns how many engines have the weights loaded, and how many any.
func (s *system) serving(weights string) (with, any int) {
	for _, e := range s.engines {
		var st wire.State
		if s.getJSON(e.addr, "/engine/state", &st) != nil {
			continue
		}
		if m, ok := st.Models["desk-7b"]; ok {
			any++
			if m.Weights == weights {
				with++
			}
		}
	}
	return with, any
}

func (s *system) awaitWeights(weights string) {
	s.t.Helper()
	s.eventually(func() bool {
		with, _ := s.serving(weights)
		return with == len(s.engines)
	}, "all engines have weights %s", weights)
}

// checkOrders is the oracle of fencing: at no engine does an order with an older
// number take effect after one with a newer, and none is sent to one that runs.
func (s *system) checkOrders() {
	s.t.Helper()
	for _, e := range s.engines {
		top := int64(0)
		for _, o := range s.orders(e) {
			if !o.Accepted {
				continue
			}
			require.GreaterOrEqual(s.t, o.Fence, top, "engine %s took an order of fence %d after %d", e.name, o.Fence, top)
			top = max(top, o.Fence)
		}
	}
}

// fleetStatus is the status of a fleet process.
func (s *system) fleetStatus(p *routerProc) (controller.Status, bool) {
	var st controller.Status
	err := s.getJSON(p.operatorAddr, "/v1/status", &st)
	return st, err == nil
}

// leaseHolder returns the fleet process that holds the engines' lease.
func (s *system) leaseHolder() *routerProc {
	s.t.Helper()
	var found *routerProc
	s.eventually(func() bool {
		for _, f := range s.fleets {
			st, ok := s.fleetStatus(f)
			for _, p := range st.Pools {
				if ok && p.Pool == "lm-desk" && p.Held {
					found = f
				}
			}
		}
		return found != nil
	}, "a fleet process holds the lease")
	return found
}

func TestRolloutUnderLoad(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 4, routers: 2, fleets: 2})
	s.leaseHolder()
	// Answers are right under either weights while both serve.
	c := s.client(s.routers...)
	var (
		mu         sync.Mutex
		cut, least = 0, len(s.engines)
	)
	stopAsking := repeatUntilStopped(3, func(i, n int) {
		r := s.send(c, promptRequest("formosa-air", "rules", fmt.Sprint(i, n), 6))
		mu.Lock()
		if r.Cut || r.Status != 200 {
			cut++
			t.Errorf("request during the rollout: %+v", r)
		}
		mu.Unlock()
	})
	stopCounting := repeatUntilStopped(1, func(int, int) {
		time.Sleep(20 * time.Millisecond)
		_, any := s.serving("w2")
		least = min(least, any)
	})
	s.rollout("w2")
	s.awaitWeights("w2")
	stopAsking()
	stopCounting()
	require.Zero(t, cut, "no answer is cut or refused by a rollout")
	require.GreaterOrEqual(t, least, 2, "the floor is kept")
	s.checkOrders()
	s.checkCacheIsolation()
}

func TestLeaseHolderKilledAndSuspended(t *testing.T) {
	cases := map[string]struct {
		engineFlags []string
		fault       func(s *system, holder *routerProc)
	}{
		"killed, engines check fencing":  {engineFlags: []string{"--checks-fencing"}, fault: func(_ *system, h *routerProc) { h.kill() }},
		"killed, engines check nothing":  {fault: func(_ *system, h *routerProc) { h.kill() }},
		"frozen, engines check fencing":  {engineFlags: []string{"--checks-fencing"}, fault: suspendHolder},
		"frozen, engines check nothing":  {fault: suspendHolder},
		"table out for longer than that": {fault: tableOutage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, setup{engines: 3, routers: 1, fleets: 2, engineFlags: c.engineFlags})
			s.rollout("w2")
			holder := s.leaseHolder()
			s.eventually(func() bool { with, _ := s.serving("w2"); return with > 0 }, "the rollout began")
			c.fault(s, holder)
			s.awaitWeights("w2")
			s.checkOrders()
			loading := 0
			for _, e := range s.engines {
				loading += len(s.orders(e))
			}
			require.GreaterOrEqual(t, loading, 3)
		})
	}
}

// suspendHolder stops the holder past its lease, with a rollout under way, and lets it wake.
func suspendHolder(s *system, holder *routerProc) {
	holder.signal(syscall.SIGSTOP)
	s.eventually(func() bool {
		for _, f := range s.fleets {
			if f == holder {
				continue
			}
			st, ok := s.fleetStatus(f)
			for _, p := range st.Pools {
				if ok && p.Held {
					return true
				}
			}
		}
		return false
	}, "the other process takes the lease")
	holder.signal(syscall.SIGCONT)
}

func tableOutage(s *system, _ *routerProc) {
	s.setFaults(s.table, standin.Faults{Down: true})
	time.Sleep(4 * time.Second)
	s.setFaults(s.table, standin.Faults{})
}

func TestRolloutStopsAndRollsBack(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 4, routers: 1, fleets: 1})
	s.leaseHolder()
	s.setFaults(s.engines[0], standin.Faults{RefuseAll: true})
	s.setFaults(s.engines[1], standin.Faults{RefuseAll: true})
	s.rollout("w2")
	s.eventually(func() bool {
		st, ok := s.fleetStatus(s.fleets[0])
		for _, p := range st.Pools {
			if ok && len(p.Stopped) > 0 {
				require.Contains(t, p.Stopped["desk-7b w2"], "failed its probe")
				return true
			}
		}
		return false
	}, "the rollout stops by itself and says why")
	for _, e := range s.engines {
		s.setFaults(e, standin.Faults{})
	}
	s.rollout("w1")
	s.awaitWeights("w1")
	s.checkOrders()
}

func TestEngineRestartIsLoadedAgain(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 3, routers: 1, fleets: 1})
	s.leaseHolder()
	s.rollout("w2")
	s.awaitWeights("w2")
	// It comes back with the weights of its flags, which are not the declared ones.
	s.engines[0].restart()
	s.await(s.engines[0].addr, "/engine/state")
	s.awaitWeights("w2")
	out, err := s.ctl("status")
	require.NoError(t, err, out)
	require.Contains(t, out, "f1")
}
