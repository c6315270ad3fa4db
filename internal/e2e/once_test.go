package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/internal/standin"
)

// Guarantee 6: a call runs at most once.

func TestSameKeyAtTwoRouters(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{services: 2, routers: 2})
	s.setFaults(s.table, standin.Faults{LoseReplies: 30})
	var wg sync.WaitGroup
	for k := range 6 {
		for i := range 4 {
			wg.Go(func() {
				key := fmt.Sprint("key", k)
				for range 3 {
					r := s.call(s.routers[i%2], "/checkin/seat", key, "seat 4A")
					if r.status == http.StatusOK {
						return
					}
				}
			})
		}
	}
	wg.Wait()
	s.checkAtMostOnce()
	for k := range 6 {
		r := s.call(s.routers[0], "/checkin/seat", fmt.Sprint("key", k), "seat 4A")
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.True(t, r.replayed, "the recorded outcome is replayed")
		r = s.call(s.routers[1], "/checkin/seat", fmt.Sprint("key", k), "seat 9F")
		require.Equal(t, http.StatusUnprocessableEntity, r.status)
		require.Equal(t, "idempotency_key_reused", r.code)
	}
	s.checkAtMostOnce()
}

// checkAtMostOnce checks that no key occurs twice in the run logs of the services.
func (s *system) checkAtMostOnce() {
	s.t.Helper()
	runs := make(map[string]int)
	for _, e := range s.services {
		for _, r := range s.runs(e) {
			runs[r.Key]++
			require.LessOrEqual(s.t, runs[r.Key], 1, "key %s ran twice", r.Key)
		}
	}
}

func TestOnceUnderFaults(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{services: 1, routers: 2})
	seat := func(r *routerProc, key string) reply { return s.call(r, "/checkin/seat", key, "seat 4A") }

	t.Run("table unavailable", func(t *testing.T) {
		s.setFaults(s.table, standin.Faults{Down: true})
		defer s.setFaults(s.table, standin.Faults{})
		r := seat(s.routers[0], "out")
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Equal(t, "not-run", r.verdict)
		require.NotEmpty(t, r.header.Get("Retry-After"))
	})
	t.Run("answer cut after the call ran", func(t *testing.T) {
		s.setFaults(s.services[0], standin.Faults{BreakAt: 1, BreakCount: 1})
		defer s.setFaults(s.services[0], standin.Faults{})
		r := seat(s.routers[0], "cut")
		require.Equal(t, "may-have-run", r.verdict)
		for _, router := range s.routers {
			r := seat(router, "cut")
			require.Equal(t, http.StatusConflict, r.status, r.body)
			require.Equal(t, "may-have-run", r.verdict, "a claim without a recorded outcome remains may-have-run")
		}
	})
	t.Run("refused before the call ran", func(t *testing.T) {
		s.setFaults(s.services[0], standin.Faults{RefuseAll: true})
		r := seat(s.routers[0], "refused")
		require.Equal(t, "not-run", r.verdict, r.body)
		s.setFaults(s.services[0], standin.Faults{})
		s.eventually(func() bool { return seat(s.routers[1], "refused").status == http.StatusOK }, "the released key can be used again")
	})
	t.Run("error of the service is recorded as outcome", func(t *testing.T) {
		s.setFaults(s.services[0], standin.Faults{FailAfterRun: true})
		r := seat(s.routers[0], "failed")
		require.Equal(t, http.StatusInternalServerError, r.status)
		s.setFaults(s.services[0], standin.Faults{})
		r = seat(s.routers[1], "failed")
		require.Equal(t, http.StatusInternalServerError, r.status)
		require.True(t, r.replayed)
	})
	s.checkAtMostOnce()
}

func TestOnceWithRouterKilled(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{services: 1, routers: 2})
	stop := repeatUntilStopped(4, func(i, n int) {
		// Each key is sent to the router that fails and then to the other one, as a balancer
		// would.
		key := fmt.Sprintf("k%d-%d", i, n)
		s.call(s.routers[0], "/checkin/seat", key, "x")
		s.call(s.routers[1], "/checkin/seat", key, "x")
	})
	for i := range 6 {
		time.Sleep(150 * time.Millisecond)
		if i%2 == 0 {
			s.routers[0].restart()
			continue
		}
		s.routers[0].signal(syscall.SIGSTOP)
		time.Sleep(150 * time.Millisecond)
		s.routers[0].signal(syscall.SIGCONT)
	}
	stop()
	require.NotEmpty(t, s.runs(s.services[0]))
	s.checkAtMostOnce()
}
