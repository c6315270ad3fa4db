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

// orderRecord is an order in the log of an engine.
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

// rollout applies the configuration with other weights, and does not wait for the engines.
func (s *system) rollout(weights string) {
	s.t.Helper()
	s.applyConfig(strings.Replace(s.setup.config, "weights: w1", "weights: "+weights, 1))
}

// serving returns the number of engines that have the given weights loaded, and the number
// that have any weights loaded.
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

// checkOrders checks fencing: no engine accepts an order with a lower fencing token after one
// with a higher token.
func (s *system) checkOrders() {
	s.t.Helper()
	for _, e := range s.engines {
		top := int64(0)
		for _, o := range s.orders(e) {
			if !o.Accepted {
				continue
			}
			require.GreaterOrEqual(s.t, o.Fence, top, "engine %s accepted an order with fence %d after one with %d", e.name, o.Fence, top)
			top = max(top, o.Fence)
		}
	}
}

// fleetStatus returns the status of a fleet process, and whether the process answered.
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
	// While engines with either weights serve, answers of both are correct.
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
			t.Errorf("request during the rolling update: %+v", r)
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
	require.Zero(t, cut, "a weights rolling update cuts or refuses no answer")
	require.GreaterOrEqual(t, least, 2, "at least as many engines as the floor requires serve throughout")
	s.checkOrders()
	s.checkCacheIsolation()
}

func TestLeaseHolderKilledAndSuspended(t *testing.T) {
	cases := map[string]struct {
		engineFlags []string
		fault       func(s *system, holder *routerProc)
	}{
		"killed, engines check fencing":    {engineFlags: []string{"--checks-fencing"}, fault: func(_ *system, h *routerProc) { h.kill() }},
		"killed, no fencing at engines":    {fault: func(_ *system, h *routerProc) { h.kill() }},
		"suspended, engines check fencing": {engineFlags: []string{"--checks-fencing"}, fault: suspendHolder},
		"suspended, no fencing at engines": {fault: suspendHolder},
		"table unavailable past the lease": {fault: tableOutage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, setup{engines: 3, routers: 1, fleets: 2, engineFlags: c.engineFlags})
			s.rollout("w2")
			holder := s.leaseHolder()
			s.eventually(func() bool { with, _ := s.serving("w2"); return with > 0 }, "the rolling update has begun")
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

// suspendHolder suspends the lease holder until another process holds the lease, and then
// resumes it.
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
	}, "another process acquires the lease")
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
				require.Contains(t, p.Stopped["desk-7b w2"], "probe failed")
				return true
			}
		}
		return false
	}, "the rolling update stops by itself and reports the reason")
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
	// The engine restarts with the weights from its flags, which are not the configured ones.
	s.engines[0].restart()
	s.await(s.engines[0].addr, "/engine/state")
	s.awaitWeights("w2")
	out, err := s.ctl("status")
	require.NoError(t, err, out)
	require.Contains(t, out, "f1")
}
