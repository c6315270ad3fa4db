package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/internal/standin"
	"github.com/pathhead/pathhead/wire"
)

// Guarantee 2: answers are complete and in order.

func TestEngineBreaksAtEveryChunk(t *testing.T) {
	t.Parallel()
	// The stream of each request breaks twice, which exceeds the default retry budget.
	config := strings.Replace(exampleConfig(t), "retryBudget: 0.1", "retryBudget: 1", 1)
	s := newSystem(t, setup{engines: 2, routers: 1, config: config})
	c := s.client(s.routers[0])
	const tokens = 6
	// The stream has one chunk per token, one with the finish reason and one with the usage.
	for at := 1; at <= tokens+2; at++ {
		for _, e := range s.engines {
			s.setFaults(e, standin.Faults{BreakAt: at, BreakCount: 1})
		}
		r := s.send(c, promptRequest("formosa-air", "rules", fmt.Sprint(at), tokens))
		for _, e := range s.engines {
			s.setFaults(e, standin.Faults{})
		}
		require.True(t, r.OK(), "break at %d: %+v", at, r)
	}
	s.checkNoRepeatedDecode()
}

// checkNoRepeatedDecode checks that a second attempt does not decode tokens that the first one
// had already delivered, since callers pay for decoded tokens.
func (s *system) checkNoRepeatedDecode() {
	s.t.Helper()
	for _, r := range s.allRuns() {
		if strings.HasSuffix(r.Attempt, "-1") {
			continue
		}
		for _, other := range s.allRuns() {
			if other.Request == r.Request && strings.HasSuffix(other.Attempt, "-1") {
				require.GreaterOrEqual(s.t, r.ResumedAt, other.Emitted-1, "run %s resumes at token %d although %d were emitted", r.Attempt, r.ResumedAt, other.Emitted)
			}
		}
	}
}

func TestChunkFaults(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 1})
	c := s.client(s.routers[0])
	// The names are part of the prompts.
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
			s.setFaults(s.engines[0], f)
			defer s.setFaults(s.engines[0], standin.Faults{})
			whole := 0
			for i := range 6 {
				r := s.send(c, promptRequest("formosa-air", name, fmt.Sprint(i), 6))
				require.False(t, r.Wrong, "%+v", r)
				if r.OK() {
					whole++
				}
			}
			require.Positive(t, whole)
		})
	}
}

func TestBrokenStreamIsCut(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 1})
	for _, e := range s.engines {
		s.setFaults(e, standin.Faults{BreakAt: 3})
	}
	body := `{"model":"desk-7b","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"x"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+s.routers[0].callerAddr.String()+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer demo-formosa-air")
	r := s.doRequest(req)
	require.Zero(t, r.status, "the router closes the connection of a broken stream early, so that reading it fails: %s", r.body)

	res := s.send(s.client(s.routers[0]), promptRequest("formosa-air", "t", "x", 200))
	require.True(t, res.Cut)
	require.False(t, res.OK())
}

func TestWeightsChangeBetweenBreakAndResume(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 1, config: strings.Replace(exampleConfig(t), "floor: 2", "floor: 1", 1)})
	c := s.client(s.routers[0])
	first := s.send(c, promptRequest("formosa-air", "rules", "a", 4))
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
	s.setFaults(e, standin.Faults{BreakAt: 3})
	r := s.send(c, promptRequest("formosa-air", "rules", "b", 200))
	require.False(t, r.OK(), "the answer is not continued under other weights")
	require.True(t, r.Cut)
	for _, run := range s.allRuns() {
		require.False(t, run.ResumedAt > 0 && run.Weights == "w2", "an engine with other weights continued %s", run.Request)
	}
}

// Guarantee 4: callers receive the answers to their own requests only.

func TestAnswersMatchRequests(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 2})
	s.setFaults(s.engines[0], standin.Faults{CrossReplies: true})
	c := s.client(s.routers...)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%4 == 0 {
				// A caller that disconnects in the middle of an answer returns connections for
				// reuse.
				time.AfterFunc(15*time.Millisecond, cancel)
			}
			r := c.Do(ctx, promptRequest("formosa-air", "rules", fmt.Sprint(i), 12))
			if r.Wrong {
				t.Errorf("request %s received the answer to another request: %q", r.Request, r.Text)
			}
			if i%4 != 0 && !r.OK() && r.Verdict == "" && !r.Cut {
				t.Errorf("request %d: %+v", i, r)
			}
		})
	}
	wg.Wait()
}

// The router does not forward an answer whose header names another incarnation, other weights
// or another attempt, even if the answer is correct otherwise.
func TestAnswerOfAnotherIsDropped(t *testing.T) {
	t.Parallel()
	cases := map[string]standin.Faults{
		"another incarnation": {Misreport: standin.MisreportIncarnation},
		"other weights":       {Misreport: standin.MisreportWeights},
		"another attempt":     {CrossReplies: true},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, setup{engines: 1, routers: 1})
			c := s.client(s.routers...)
			s.setFaults(s.engines[0], fault)
			r := s.send(c, promptRequest("formosa-air", "rules", "posed", 6))
			require.False(t, r.OK(), "%+v", r)
			require.Empty(t, r.Text)
			s.setFaults(s.engines[0], standin.Faults{})
			s.eventually(func() bool {
				return s.send(c, promptRequest("formosa-air", "rules", "sound", 6)).OK()
			}, "the engine serves again")
		})
	}
}

// Guarantee 5: a request that is answered as not run has not run.

func TestNotRunVerdictIsTrue(t *testing.T) {
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
	stop := repeatUntilStopped(6, func(i, n int) {
		if i%2 == 0 {
			r := s.send(c, promptRequest("formosa-air", fmt.Sprint(n%3), fmt.Sprint(i, n), 5))
			note(r.Request, r.Verdict, r.Code)
			return
		}
		r := s.call(s.routers[n%2], "/checkin/seat", fmt.Sprintf("k-%d-%d", i, n), "{}")
		if r.header != nil {
			note(r.header.Get("X-Request-Id"), r.verdict, r.code)
		}
	})
	for _, f := range []standin.Faults{{RefuseAll: true}, {BreakAt: 1}, {BreakAt: 2}, {CrossReplies: true}, {FailAfterRun: true}, {Down: true}} {
		for _, e := range append(s.engines, s.services...) {
			s.setFaults(e, f)
		}
		time.Sleep(300 * time.Millisecond)
	}
	for _, e := range append(s.engines, s.services...) {
		s.setFaults(e, standin.Faults{})
	}
	stop()
	t.Logf("verdicts: %v", counts)
	require.Positive(t, counts["not-run"])
	for _, e := range append(s.engines, s.services...) {
		for _, run := range s.runs(e) {
			require.NotContains(t, notRun, run.Request, "request %s ran although it was answered as not-run", run.Request)
		}
	}
}
