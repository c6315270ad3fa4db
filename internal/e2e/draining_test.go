package e2e

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/internal/load"
)

// Guarantee 7: draining targets receive no new requests.

func TestDrainingGetsNoNewWork(t *testing.T) {
	t.Parallel()
	cases := map[string]func(s *system, e *targetProc){
		"announced by the target": func(s *system, e *targetProc) { s.post(e.addr, "/standin/leave", struct{}{}) },
		"marked in the list":      func(s *system, e *targetProc) { s.setVMList(e.addr) },
		"requested by an operator": func(s *system, e *targetProc) {
			s.post(s.routers[0].operatorAddr, "/v1/leave?target="+e.addr.String(), struct{}{})
		},
	}
	for name, startDraining := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, setup{engines: 3, routers: 3})
			c := s.client(s.routers...)
			draining := s.engines[0]
			begun := time.Now()
			startDraining(s, draining)
			s.eventually(func() bool { return s.seenDraining(draining) }, "every router marks the target as draining")
			t.Logf("every router marks the target as draining after %s", time.Since(begun).Round(time.Millisecond))
			// The list lags and still has the target as ready.
			s.setVMList()
			before := len(s.runs(draining))
			for i := range 24 {
				require.True(t, s.send(c, promptRequest("formosa-air", fmt.Sprint(i), fmt.Sprint(i), 2)).OK())
			}
			require.Len(t, s.runs(draining), before, "the draining target receives no new requests")
		})
	}
}

func (s *system) seenDraining(e *targetProc) bool {
	for _, r := range s.routers {
		st, ok := s.status(r)
		if !ok {
			return false
		}
		for _, v := range st.Targets {
			if v.Addr == e.addr && !v.Leaving {
				return false
			}
		}
	}
	return true
}

// Guarantee 8: a planned stop cuts no requests.

func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 2})
	var wg sync.WaitGroup
	results := make([]load.Result, 8)
	for i := range results {
		wg.Go(func() {
			results[i] = s.send(s.client(s.routers[0]), promptRequest("formosa-air", "t", fmt.Sprint(i), 700))
		})
	}
	s.eventually(func() bool { return len(s.allRuns()) == len(results) }, "all answers have begun")
	s.routers[0].signal(syscall.SIGTERM)
	s.eventually(func() bool { return s.getJSON(s.routers[0].callerAddr, "/readyz", nil) != nil }, "the router is not ready any more")
	late := s.send(s.client(s.routers...), promptRequest("formosa-air", "t", "late", 2))
	require.True(t, late.OK() || late.Verdict == "not-run", "a request that the balancer still sends to the stopping router is served or not run: %+v", late)
	engine := s.engines[0]
	engine.signal(syscall.SIGTERM)
	wg.Wait()
	for _, r := range results {
		require.True(t, r.OK(), "a planned stop cuts no answer: %+v", r)
	}
	for _, done := range []chan struct{}{s.routers[0].exited, engine.exited} {
		select {
		case <-done:
		case <-time.After(waitTimeout):
			t.Fatal("a process does not exit after SIGTERM")
		}
	}
}
