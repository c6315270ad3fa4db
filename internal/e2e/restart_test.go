package e2e

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/internal/standin"
)

// Guarantee 3: a restarted router serves again with the configuration that was in force.

func TestRouterRestart(t *testing.T) {
	t.Parallel()
	type outage struct{ table, objects bool }
	cases := map[string]struct {
		out     outage
		slow    int
		peers   bool
		all     bool
		serving bool
	}{
		"all up":                                     {peers: true, serving: true},
		"no peers":                                   {serving: true},
		"table slow":                                 {slow: 500, peers: true, serving: true},
		"table unavailable":                          {out: outage{table: true}, peers: true, serving: true},
		"table unavailable, no peers":                {out: outage{table: true}, serving: true},
		"table and objects unavailable, peers":       {out: outage{table: true, objects: true}, peers: true, serving: true},
		"table and objects unavailable, no peers":    {out: outage{table: true, objects: true}},
		"all restart, table unavailable":             {out: outage{table: true}, peers: true, all: true, serving: true},
		"all restart, table and objects unavailable": {out: outage{table: true, objects: true}, peers: true, all: true},
		"all restart, all up":                        {peers: true, all: true, serving: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			routers := 1
			if c.peers {
				routers = 3
			}
			s := newSystem(t, setup{engines: 2, routers: routers})
			s.applyConfig(exampleConfig(t) + "# second\n")
			s.setFaults(s.table, standin.Faults{Down: c.out.table, SlowMS: c.slow})
			s.setFaults(s.objects, standin.Faults{Down: c.out.objects})
			restarted := s.routers[:1]
			if c.all {
				restarted = s.routers
			}
			begun := time.Now()
			for _, r := range restarted {
				r.kill()
			}
			for _, r := range restarted {
				r.run()
			}
			if !c.serving {
				s.checkNotServing(restarted[0])
				return
			}
			s.await(restarted[0].callerAddr, "/readyz")
			t.Logf("ready after %s", time.Since(begun).Round(time.Millisecond))
			r := s.send(s.client(restarted[0]), promptRequest("formosa-air", "rules", "a", 4))
			require.True(t, r.OK(), "the first request is answered: %+v", r)
			st, _ := s.status(restarted[0])
			require.EqualValues(t, 2, st.Revision, "the revision in force does not revert")
		})
	}
}

// checkNotServing checks that a router that can't obtain a configuration answers health checks
// and refuses requests as not run.
func (s *system) checkNotServing(r *routerProc) {
	s.t.Helper()
	s.await(r.operatorAddr, "/healthz")
	for range 10 {
		got := s.send(s.client(r), promptRequest("formosa-air", "rules", "a", 4))
		require.Equal(s.t, http.StatusServiceUnavailable, got.Status)
		require.Equal(s.t, "not-run", got.Verdict)
		time.Sleep(100 * time.Millisecond)
	}
}

// Guarantee 9: configuration changes.

func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 1, routers: 2})
	s.setFaults(s.table, standin.Faults{LoseReplies: 6})
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		accepted int
		conflict int
	)
	for i := range 5 {
		wg.Go(func() {
			file := filepath.Join(t.TempDir(), "c.yaml")
			text := exampleConfig(t) + fmt.Sprintf("# operator %d\n", i)
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Error(err)
				return
			}
			out, err := s.ctl("apply", file, "--author", fmt.Sprint("op", i), "--base", "1")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				accepted++
			case strings.Contains(out, "changed this first"):
				conflict++
			default:
				t.Errorf("operator %d: %s", i, out)
			}
		})
	}
	wg.Wait()
	require.Equal(t, 1, accepted, "one of the racing operators is accepted")
	require.Equal(t, 4, conflict, "the others are informed that another change came first")
}

func TestSuspendedRouterServesNoOldRevision(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 1, routers: 2})
	suspended := s.routers[1]
	suspended.signal(syscall.SIGSTOP)
	// The next revision removes the organisation's key.
	old := "3f" + strings.Repeat("0", 62)
	config := exampleConfig(t)
	at := strings.Index(config, "sha256: ") + len("sha256: ")
	config = config[:at] + old + config[at+64:]
	file := filepath.Join(t.TempDir(), "c.yaml")
	require.NoError(t, os.WriteFile(file, []byte(config), 0o600))
	out, err := s.ctl("apply", file, "--wait", "4s")
	require.Error(t, err, "apply reports that a router was not seen in force")
	require.Contains(t, out, "was not seen in force")
	suspended.signal(syscall.SIGCONT)
	for range 50 {
		r := s.send(s.client(suspended), promptRequest("formosa-air", "t", "x", 2))
		require.NotEqual(t, http.StatusOK, r.Status, "a resumed router serves no request under an old revision")
	}
	s.await(suspended.callerAddr, "/readyz")
	st, _ := s.status(suspended)
	require.EqualValues(t, 2, st.Revision)
}

func TestRouterCutFromTableAndPeers(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 1, routers: 2})
	s.setFaults(s.table, standin.Faults{Down: true})
	s.setFaults(s.objects, standin.Faults{Down: true})
	time.Sleep(4 * time.Second)
	r := s.send(s.client(s.routers...), promptRequest("formosa-air", "t", "x", 2))
	require.True(t, r.OK(), "while the stores are unavailable to all, routers in contact with each other continue to serve: %+v", r)
	s.routers[0].kill()
	s.eventually(func() bool { return s.getJSON(s.routers[1].callerAddr, "/readyz", nil) != nil }, "a router without contact to the stores and all peers is not ready")
	got := s.send(s.client(s.routers[1]), promptRequest("formosa-air", "t", "y", 2))
	require.Equal(t, "not-run", got.Verdict)
	s.setFaults(s.table, standin.Faults{})
	s.await(s.routers[1].callerAddr, "/readyz")
}

// TestChangesUnderLoad applies several revisions while callers send requests, none of which
// may fail.
func TestChangesUnderLoad(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 3})
	c := s.client(s.routers...)
	stop := repeatUntilStopped(3, func(i, n int) {
		if r := s.send(c, promptRequest("formosa-air", "rules", fmt.Sprint(i, n), 2)); !r.OK() {
			t.Errorf("request failed during a configuration change: %+v", r)
		}
	})
	for i := range 6 {
		s.applyConfig(s.setup.config + fmt.Sprintf("# change %d\n", i))
	}
	stop()
}
