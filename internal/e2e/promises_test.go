package e2e

import (
	"context"
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

	"github.com/pathhead/pathhead/internal/load"
	"github.com/pathhead/pathhead/internal/standin"
	"github.com/pathhead/pathhead/wire"
)

// rarely keeps routers from polling within a test, so that what they believe is stale.
var rarely = []string{"--poll-every", "10s"}

// Promise 1: cached entries.

func TestEngineRestartsUnderSameAddress(t *testing.T) {
	t.Parallel()
	cases := map[string]struct{ engineFlags []string }{
		"engine checks what is expected":    {},
		"engine checks nothing, but echoes": {engineFlags: []string{"--no-checks-expect"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, setup{engines: 2, routers: 1, engineFlags: c.engineFlags, routerFlags: rarely})
			client := s.client(s.routers[0])
			for i := range 4 {
				require.True(t, s.ask(client, question("formosa-air", "rules", fmt.Sprint(i), 4)).OK())
			}
			for _, e := range s.engines {
				e.restart()
				s.await(e.addr, "/engine/state")
			}
			for i := range 4 {
				r := s.ask(client, question("formosa-air", "rules", fmt.Sprint("again", i), 4))
				require.True(t, r.OK(), "%+v", r)
			}
			s.checkUses()
		})
	}
}

// checkUses is the oracle of promise 1: an answer that was passed on used no
// block that another organisation or other weights filled.
func (s *system) checkUses() {
	s.t.Helper()
	filled := make(map[string]standin.Run)
	runs := s.allRuns()
	for _, r := range runs {
		filled[r.Incarnation+r.Request] = r
	}
	for _, r := range runs {
		for _, from := range r.UsedFrom {
			other, ok := filled[r.Incarnation+from]
			require.True(s.t, ok, "run %s used blocks of %s, which is not in the log", r.Request, from)
			require.Equal(s.t, r.Salt, other.Salt, "run %s used blocks of %s", r.Request, from)
			require.Equal(s.t, r.Weights, other.Weights)
		}
	}
}

func TestOrganisationsShareNoBlocks(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 1, routers: 1})
	c := s.client(s.routers[0])
	for i := range 3 {
		for _, org := range []string{"formosa-air", "jade-wings"} {
			require.True(t, s.ask(c, question(org, "rules", fmt.Sprint(i), 4)).OK())
		}
	}
	s.checkUses()
	cached := 0
	for _, r := range s.allRuns() {
		if r.Cached > 0 {
			cached++
		}
	}
	require.Equal(t, 4, cached, "each organisation's later requests hit its own blocks, and only the first of each is cold")
}

func TestWeightsChangedUnderRouter(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 1, routerFlags: rarely})
	c := s.client(s.routers[0])
	first := s.ask(c, question("formosa-air", "rules", "a", 4))
	require.True(t, first.OK())
	e := s.engineOf(first.Request)
	s.post(e.addr, "/engine/order", wire.Order{Action: wire.OrderLoad, Model: "desk-7b", Weights: "w2", IfWeights: "w1"})
	s.eventually(func() bool {
		var st wire.State
		return s.getJSON(e.addr, "/engine/state", &st) == nil && st.Models["desk-7b"].Weights == "w2"
	}, "the engine has new weights")
	for i := range 4 {
		r := s.ask(c, question("formosa-air", "rules", fmt.Sprint(i), 4))
		require.True(t, r.OK(), "an answer is of the weights that the router declared: %+v", r)
	}
	s.checkUses()
}

func (s *system) engineOf(request string) *targetProc {
	s.t.Helper()
	for _, e := range s.engines {
		for _, r := range s.runs(e) {
			if r.Request == request {
				return e
			}
		}
	}
	s.t.Fatalf("no engine ran %s", request)
	return nil
}

func TestForgedCacheEvents(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 1, routerFlags: []string{"--cache-events"}})
	for _, e := range s.engines {
		s.faults(e, standin.Faults{Forge: true, EventLoss: 0.5})
	}
	c := s.client(s.routers[0])
	for i := range 8 {
		require.True(t, s.ask(c, question("formosa-air", "rules", fmt.Sprint(i), 4)).OK())
	}
	s.checkUses()
}

// Promise 2: complete and in order.

func TestEngineBreaksAtEveryChunk(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 1})
	c := s.client(s.routers[0])
	const tokens = 6
	// Six texts, the finish mark and the usage.
	for at := 1; at <= tokens+2; at++ {
		for _, e := range s.engines {
			s.faults(e, standin.Faults{BreakAt: at, BreakCount: 1})
		}
		r := s.ask(c, question("formosa-air", "rules", fmt.Sprint(at), tokens))
		for _, e := range s.engines {
			s.faults(e, standin.Faults{})
		}
		if r.Cut {
			require.NotEqual(t, 0, at, "an answer that is cut says so")
		} else {
			require.True(t, r.OK(), "break at %d: %+v", at, r)
		}
		require.False(t, r.Wrong)
	}
	s.checkNoRepeatedDecode()
}

// checkNoRepeatedDecode is the oracle for paid work: what was delivered is not decoded again.
func (s *system) checkNoRepeatedDecode() {
	s.t.Helper()
	for _, r := range s.allRuns() {
		if strings.HasSuffix(r.Attempt, "-1") {
			continue
		}
		for _, other := range s.allRuns() {
			if other.Request == r.Request && strings.HasSuffix(other.Attempt, "-1") {
				require.GreaterOrEqual(s.t, r.ResumedAt, other.Emitted-1, "run %s begins again at %d after %d", r.Attempt, r.ResumedAt, other.Emitted)
			}
		}
	}
}

func TestChunkFaults(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 1})
	c := s.client(s.routers[0])
	cases := map[string]standin.Faults{
		"repeated":       {DupAt: 3},
		"exchanged":      {SwapAt: 3},
		"lost":           {DropAt: 3},
		"last text lost": {DropAt: 6},
		"no finish mark": {HideFinish: true},
		"crossed":        {CrossReplies: true},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			s.faults(s.engines[0], f)
			defer s.faults(s.engines[0], standin.Faults{})
			whole := 0
			for i := range 6 {
				r := s.ask(c, question("formosa-air", name, fmt.Sprint(i), 6))
				require.False(t, r.Wrong, "%+v", r)
				if r.OK() {
					whole++
				}
			}
			require.Positive(t, whole)
		})
	}
}

func TestBrokenEverywhereIsNoEnd(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 1})
	for _, e := range s.engines {
		s.faults(e, standin.Faults{BreakAt: 3})
	}
	body := `{"model":"desk-7b","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"x"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+s.routers[0].callers.String()+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer demo-formosa-air")
	r := s.do(req)
	require.Zero(t, r.status, "the connection of a broken stream is cut, so that reading it fails: %s", r.body)

	res := s.ask(s.client(s.routers[0]), question("formosa-air", "t", "x", 200))
	require.True(t, res.Cut)
	require.False(t, res.OK())
}

func TestWeightsChangeBetweenBreakAndResume(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 1, config: strings.Replace(exampleConfig(t), "floor: 2", "floor: 1", 1)})
	c := s.client(s.routers[0])
	first := s.ask(c, question("formosa-air", "rules", "a", 4))
	e := s.engineOf(first.Request)
	for _, other := range s.engines {
		if other != e {
			s.post(other.addr, "/engine/order", wire.Order{Action: wire.OrderLoad, Model: "desk-7b", Weights: "w2", IfWeights: "w1"})
			s.eventually(func() bool {
				st, _ := s.status(s.routers[0])
				for _, v := range st.Targets {
					if v.Addr == other.addr {
						return v.Weights["desk-7b"] == "w2"
					}
				}
				return false
			}, "the router sees the new weights")
		}
	}
	s.faults(e, standin.Faults{BreakAt: 3})
	r := s.ask(c, question("formosa-air", "rules", "b", 200))
	require.False(t, r.OK(), "the answer is not continued under other weights")
	require.True(t, r.Cut)
	for _, run := range s.allRuns() {
		require.False(t, run.ResumedAt > 0 && run.Weights == "w2", "an engine with other weights continued %s", run.Request)
	}
}

// Promise 3: restart.

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
		"all up":                           {peers: true, serving: true},
		"no peers":                         {serving: true},
		"table slow":                       {slow: 500, peers: true, serving: true},
		"table out":                        {out: outage{table: true}, peers: true, serving: true},
		"table out, no peers":              {out: outage{table: true}, serving: true},
		"table and objects out, peers":     {out: outage{table: true, objects: true}, peers: true, serving: true},
		"table and objects out, no peers":  {out: outage{table: true, objects: true}},
		"all restart, table out":           {out: outage{table: true}, peers: true, all: true, serving: true},
		"all restart, both out":            {out: outage{table: true, objects: true}, peers: true, all: true},
		"all restart, everything is there": {peers: true, all: true, serving: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			routers := 1
			if c.peers {
				routers = 3
			}
			s := newSystem(t, setup{engines: 2, routers: routers})
			s.apply(exampleConfig(t) + "# second\n")
			s.faults(s.table, standin.Faults{Down: c.out.table, SlowMS: c.slow})
			s.faults(s.objects, standin.Faults{Down: c.out.objects})
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
				s.staysOut(restarted[0])
				return
			}
			s.await(restarted[0].callers, "/readyz")
			t.Logf("ready after %s", time.Since(begun).Round(time.Millisecond))
			r := s.ask(s.client(restarted[0]), question("formosa-air", "rules", "a", 4))
			require.True(t, r.OK(), "the first request is answered: %+v", r)
			st, _ := s.status(restarted[0])
			require.EqualValues(t, 2, st.Revision, "nothing that was in force reverts")
		})
	}
}

// staysOut checks that a router that can learn nothing answers, and that it refuses as not run.
func (s *system) staysOut(r *routerProc) {
	s.t.Helper()
	s.await(r.operators, "/healthz")
	for range 10 {
		got := s.ask(s.client(r), question("formosa-air", "rules", "a", 4))
		require.Equal(s.t, http.StatusServiceUnavailable, got.Status)
		require.Equal(s.t, "not-run", got.Verdict)
		time.Sleep(100 * time.Millisecond)
	}
}

// Promise 4: one's own answer.

func TestAnswersAreOnesOwn(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 2})
	s.faults(s.engines[0], standin.Faults{CrossReplies: true})
	c := s.client(s.routers...)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%4 == 0 {
				// A caller that leaves in the middle gives its connections back for reuse.
				time.AfterFunc(15*time.Millisecond, cancel)
			}
			r := c.Ask(ctx, question("formosa-air", "rules", fmt.Sprint(i), 12))
			if r.Wrong {
				t.Errorf("request %s got another's answer: %q", r.Request, r.Text)
			}
			if i%4 != 0 && !r.OK() && r.Verdict == "" && !r.Cut {
				t.Errorf("request %d: %+v", i, r)
			}
		})
	}
	wg.Wait()
}

// Promise 5: not run means not run.

func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 3, services: 2, routers: 2})
	c := s.client(s.routers...)
	var (
		mu     sync.Mutex
		notRun = make(map[string]string)
		counts = make(map[string]int)
	)
	note := func(id, verdict, code string) {
		mu.Lock()
		defer mu.Unlock()
		counts[verdict]++
		if verdict == "not-run" && id != "" {
			notRun[id] = code
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if i%2 == 0 {
					r := s.ask(c, question("formosa-air", fmt.Sprint(n%3), fmt.Sprint(i, n), 5))
					note(r.Request, r.Verdict, r.Code)
					continue
				}
				r := s.call(s.routers[n%2], "/checkin/seat", fmt.Sprintf("k-%d-%d", i, n), "{}")
				if r.header != nil {
					note(r.header.Get("X-Request-Id"), r.verdict, r.code)
				}
			}
		})
	}
	for _, f := range []standin.Faults{{RefuseAll: true}, {BreakAt: 1}, {BreakAt: 2}, {CrossReplies: true}, {FailAfterRun: true}, {Down: true}} {
		for _, e := range append(s.engines, s.service...) {
			s.faults(e, f)
		}
		time.Sleep(300 * time.Millisecond)
	}
	for _, e := range append(s.engines, s.service...) {
		s.faults(e, standin.Faults{})
	}
	close(stop)
	wg.Wait()
	t.Logf("verdicts: %v", counts)
	require.Positive(t, counts["not-run"])
	for _, e := range append(s.engines, s.service...) {
		for _, run := range s.runs(e) {
			require.NotContains(t, notRun, run.Request, "%s ran and was answered not-run", run.Request)
		}
	}
}

// Promise 6: at most once.

func TestSameKeyAtTwoRouters(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{services: 2, routers: 2})
	s.faults(s.table, standin.Faults{LoseReplies: 30})
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
	s.checkOnce()
	for k := range 6 {
		r := s.call(s.routers[0], "/checkin/seat", fmt.Sprint("key", k), "seat 4A")
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.True(t, r.replayed, "a recorded outcome is given again")
		r = s.call(s.routers[1], "/checkin/seat", fmt.Sprint("key", k), "seat 9F")
		require.Equal(t, http.StatusUnprocessableEntity, r.status)
		require.Equal(t, "idempotency_key_reused", r.code)
	}
	s.checkOnce()
}

// checkOnce is the oracle of promise 6: no key is twice in the services' run logs.
func (s *system) checkOnce() {
	s.t.Helper()
	runs := make(map[string]int)
	for _, e := range s.service {
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

	t.Run("table out", func(t *testing.T) {
		s.faults(s.table, standin.Faults{Down: true})
		defer s.faults(s.table, standin.Faults{})
		r := seat(s.routers[0], "out")
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Equal(t, "not-run", r.verdict)
		require.NotEmpty(t, r.header.Get("Retry-After"))
	})
	t.Run("reply cut after it ran", func(t *testing.T) {
		s.faults(s.service[0], standin.Faults{BreakAt: 1, BreakCount: 1})
		defer s.faults(s.service[0], standin.Faults{})
		r := seat(s.routers[0], "cut")
		require.Equal(t, "may-have-run", r.verdict)
		for _, router := range s.routers {
			r := seat(router, "cut")
			require.Equal(t, http.StatusConflict, r.status, r.body)
			require.Equal(t, "may-have-run", r.verdict, "a claim without an outcome says so for ever")
		}
	})
	t.Run("refused before it ran", func(t *testing.T) {
		s.faults(s.service[0], standin.Faults{RefuseAll: true})
		r := seat(s.routers[0], "refused")
		require.Equal(t, "not-run", r.verdict, r.body)
		s.faults(s.service[0], standin.Faults{})
		s.eventually(func() bool { return seat(s.routers[1], "refused").status == http.StatusOK }, "the released key can be used again")
	})
	t.Run("error of the service is its outcome", func(t *testing.T) {
		s.faults(s.service[0], standin.Faults{FailAfterRun: true})
		r := seat(s.routers[0], "failed")
		require.Equal(t, http.StatusInternalServerError, r.status)
		s.faults(s.service[0], standin.Faults{})
		r = seat(s.routers[1], "failed")
		require.Equal(t, http.StatusInternalServerError, r.status)
		require.True(t, r.replayed)
	})
	s.checkOnce()
}

func TestOnceWithRouterKilled(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{services: 1, routers: 2})
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				// A key is tried through the killed router and then, as the balancer does, through the other.
				key := fmt.Sprintf("k%d-%d", i, n)
				s.call(s.routers[0], "/checkin/seat", key, "x")
				s.call(s.routers[1], "/checkin/seat", key, "x")
			}
		})
	}
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
	close(stop)
	wg.Wait()
	require.NotEmpty(t, s.runs(s.service[0]))
	s.checkOnce()
}

// Promise 7: leaving.

func TestLeavingGetsNoNewWork(t *testing.T) {
	t.Parallel()
	cases := map[string]func(s *system, e *targetProc){
		"by its own word": func(s *system, e *targetProc) { s.post(e.addr, "/standin/leave", struct{}{}) },
		"by the list":     func(s *system, e *targetProc) { s.list(e.addr) },
		"by an operator": func(s *system, e *targetProc) {
			s.post(s.routers[0].operators, "/v1/leave?target="+e.addr.String(), struct{}{})
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, setup{engines: 3, routers: 3})
			c := s.client(s.routers...)
			leaving := s.engines[0]
			begun := time.Now()
			leave(s, leaving)
			s.eventually(func() bool { return s.seenLeaving(leaving) }, "every router knows")
			t.Logf("every router knows after %s", time.Since(begun).Round(time.Millisecond))
			s.list() // The list, lagging, says that it lives.
			before := len(s.runs(leaving))
			for i := range 24 {
				require.True(t, s.ask(c, question("formosa-air", fmt.Sprint(i), fmt.Sprint(i), 2)).OK())
			}
			require.Len(t, s.runs(leaving), before, "it gets no new work")
		})
	}
}

func (s *system) seenLeaving(e *targetProc) bool {
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

// Promise 8: a planned stop.

func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 2})
	var wg sync.WaitGroup
	results := make([]load.Result, 8)
	for i := range results {
		wg.Go(func() {
			results[i] = s.ask(s.client(s.routers[0]), question("formosa-air", "t", fmt.Sprint(i), 700))
		})
	}
	s.eventually(func() bool { return len(s.allRuns()) == len(results) }, "all answers began")
	s.routers[0].signal(syscall.SIGTERM)
	s.eventually(func() bool { return s.getJSON(s.routers[0].callers, "/readyz", nil) != nil }, "readiness is off")
	late := s.ask(s.client(s.routers...), question("formosa-air", "t", "late", 2))
	require.True(t, late.OK() || late.Verdict == "not-run", "while the balancer lags, a request is served or not run: %+v", late)
	engine := s.engines[0]
	engine.signal(syscall.SIGTERM)
	wg.Wait()
	for _, r := range results {
		require.True(t, r.OK(), "a planned stop cuts no answer: %+v", r)
	}
	for _, done := range []chan struct{}{s.routers[0].done, engine.done} {
		select {
		case <-done:
		case <-time.After(patience):
			t.Fatal("a stopped process does not end")
		}
	}
}

// Promise 9: configuration.

func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 1, routers: 2})
	s.faults(s.table, standin.Faults{LoseReplies: 6})
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
	require.Equal(t, 4, conflict, "the others are told whose change came first")
}

func TestFrozenRouterServesNothingOld(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 1, routers: 2})
	frozen := s.routers[1]
	frozen.signal(syscall.SIGSTOP)
	// The next revision takes the organisation's key away.
	old := "3f" + strings.Repeat("0", 62)
	config := exampleConfig(t)
	at := strings.Index(config, "sha256: ") + len("sha256: ")
	config = config[:at] + old + config[at+64:]
	file := filepath.Join(t.TempDir(), "c.yaml")
	require.NoError(t, os.WriteFile(file, []byte(config), 0o600))
	out, err := s.ctl("apply", file, "--wait", "4s")
	require.Error(t, err, "apply says that a router was not seen in force")
	require.Contains(t, out, "was not seen in force")
	frozen.signal(syscall.SIGCONT)
	for range 50 {
		r := s.ask(s.client(frozen), question("formosa-air", "t", "x", 2))
		require.NotEqual(t, http.StatusOK, r.Status, "a router that wakes serves nothing under an old revision")
	}
	s.await(frozen.callers, "/readyz")
	st, _ := s.status(frozen)
	require.EqualValues(t, 2, st.Revision)
}

func TestRouterCutFromTableAndPeers(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 1, routers: 2})
	s.faults(s.table, standin.Faults{Down: true})
	s.faults(s.objects, standin.Faults{Down: true})
	time.Sleep(4 * time.Second)
	r := s.ask(s.client(s.routers...), question("formosa-air", "t", "x", 2))
	require.True(t, r.OK(), "while the stores are out for all, routers that hear each other serve on: %+v", r)
	s.routers[0].kill()
	s.eventually(func() bool { return s.getJSON(s.routers[1].callers, "/readyz", nil) != nil }, "a router cut from the stores and all peers takes itself out")
	got := s.ask(s.client(s.routers[1]), question("formosa-air", "t", "y", 2))
	require.Equal(t, "not-run", got.Verdict)
	s.faults(s.table, standin.Faults{})
	s.await(s.routers[1].callers, "/readyz")
}
