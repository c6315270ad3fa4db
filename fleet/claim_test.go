package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callerSim simulates callers that repeat one keyed call at several routers, over a table that
// loses commits and replies, with routers that crash at any point.
type callerSim struct {
	claims Claims
	key    CallKey

	mu   sync.Mutex
	runs int
	// answers are the outcomes that callers received; all must come from the same run.
	answers []string
	// notRun counts the callers whose own call was refused without running.
	notRun int
}

func TestClaimFuzz(t *testing.T) {
	checkRaces(t, "callers", 5, raceCallers)
}

func raceCallers(seed uint64, callers int) error {
	table := newFakeTable()
	table.plan = flaky(seed, 0.3)
	w := &callerSim{claims: Claims{Table: table}, key: CallKey{"org", "seat", "k"}}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)+3))
			for n := range 3 {
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				w.call(rng, fmt.Sprintf("c%d-%d", i, n))
			}
		})
	}
	wg.Wait()
	return w.check()
}

// call is one router's handling of the call; the router may crash before any step.
func (w *callerSim) call(rng *rand.Rand, owner string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	dies := rng.IntN(6)
	ticket, outcome, err := w.claims.Take(ctx, w.key, owner, "hash", time.Now())
	switch {
	case err != nil || dies == 1:
		return
	case outcome != nil:
		w.answer(string(outcome.Body))
		return
	}
	if dies == 2 {
		// The target refused the call before running it, so the claim is released.
		w.mu.Lock()
		w.notRun++
		w.mu.Unlock()
		_ = w.claims.Release(ctx, ticket)
		return
	}
	body := w.run(owner)
	if dies == 3 {
		return
	}
	if err := w.claims.Record(ctx, ticket, Outcome{Status: 200, Body: []byte(body)}); err == nil {
		w.answer(body)
	}
}

func (w *callerSim) run(owner string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs++
	return "run by " + owner
}

func (w *callerSim) answer(body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, body)
}

// check is the oracle: the call ran at most once, and every answer comes from that run.
func (w *callerSim) check() error {
	if w.runs > 1 {
		return fmt.Errorf("the call ran %d times", w.runs)
	}
	for _, a := range w.answers {
		if a != w.answers[0] {
			return fmt.Errorf("callers got %q and %q", w.answers[0], a)
		}
	}
	return nil
}

func TestClaimTake(t *testing.T) {
	key := CallKey{"org", "seat", "k"}
	cases := map[string]struct {
		before func(t *testing.T, c Claims)
		body   string
		want   error
		replay bool
		ticket bool
	}{
		"first": {body: "h", ticket: true},
		"open": {
			before: func(t *testing.T, c Claims) { take(t, c, key, "other") },
			body:   "h", want: ErrTaken,
		},
		"released": {
			before: func(t *testing.T, c Claims) {
				require.NoError(t, c.Release(t.Context(), take(t, c, key, "other")))
			},
			body: "h", ticket: true,
		},
		"done": {
			before: func(t *testing.T, c Claims) {
				require.NoError(t, c.Record(t.Context(), take(t, c, key, "other"), Outcome{Status: 201}))
			},
			body: "h", replay: true,
		},
		"another body": {
			before: func(t *testing.T, c Claims) { take(t, c, key, "other") },
			body:   "another", want: ErrBodyDiffers,
		},
		"abandoned": {
			before: func(t *testing.T, c Claims) {
				take(t, c, key, "other")
				require.NoError(t, c.Abandon(t.Context(), key, "other", "h"))
			},
			body: "h", ticket: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			claims := Claims{Table: newFakeTable()}
			if c.before != nil {
				c.before(t, claims)
			}
			ticket, outcome, err := claims.Take(t.Context(), key, "me", c.body, epoch)
			if c.want != nil {
				require.True(t, errors.Is(err, c.want), "got %v", err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.ticket, ticket != nil)
			require.Equal(t, c.replay, outcome != nil)
		})
	}
}

func take(t *testing.T, c Claims, key CallKey, owner string) *Ticket {
	t.Helper()
	ticket, _, err := c.Take(t.Context(), key, owner, "h", epoch)
	require.NoError(t, err)
	require.NotNil(t, ticket)
	return ticket
}
