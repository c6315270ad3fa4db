package route

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// refusals returns the refusals among actions by request ID.
func refusals(actions []Action) map[string]Refusal {
	out := make(map[string]Refusal)
	for _, a := range actions {
		if r, ok := a.(Refuse); ok {
			out[r.Request] = r.Refusal
		}
	}
	return out
}

// fullBoard returns a board whose only engine has no free memory.
func fullBoard(t *testing.T) *partsBoard {
	f := newFillBoard(t, 1)
	require.NotNil(t, f.place(f.requestWithAim(time.Second, Part{"big", partsMemory * 7 / 10})))
	return f
}

// TestWaitsWhileInTime checks that a request is queued as long as its answer can begin in time,
// judged by recent answers, and is refused immediately after that.
func TestWaitsWhileInTime(t *testing.T) {
	t.Parallel()
	f := fullBoard(t)
	// Recent answers took four times as long as the prefill of their unshared part alone.
	f.b.pools["e"].firstTokens.add(400*time.Millisecond, 100*time.Millisecond)
	r := f.requestWithAim(600*time.Millisecond, Part{"own", 5000})
	require.Empty(t, refusals(f.b.Arrive(f.now, r)))
	f.now = f.now.Add(190 * time.Millisecond)
	require.Empty(t, refusals(f.b.Tick(f.now)))
	f.now = f.now.Add(20 * time.Millisecond)
	got := refusals(f.b.Tick(f.now))
	require.Contains(t, got, r.ID)
	require.Equal(t, NotRun, got[r.ID].Verdict)
	require.Positive(t, got[r.ID].RetryAfter)
}

// TestRefusedAtOnce checks that a request is refused on arrival if the throughput of the queue
// implies that there will be no capacity for it in time, and that the refusal states when there
// will be.
func TestRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := fullBoard(t)
	require.Empty(t, refusals(f.b.Arrive(f.now, f.requestWithAim(time.Second, Part{"own", 8000}))))
	f.now = f.now.Add(500 * time.Millisecond)
	f.b.pools["e"].throughput.add(f.now, 400)
	late := f.requestWithAim(time.Second, Part{"own2", 8000})
	got := refusals(f.b.Arrive(f.now, late))
	require.Contains(t, got, late.ID)
	require.Greater(t, got[late.ID].RetryAfter, time.Second)
}

// TestFirstTokenStats checks that the averages follow new values, and that the excess over the
// minimum is never negative.
func TestFirstTokenStats(t *testing.T) {
	t.Parallel()
	var f firstTokenStats
	require.Zero(t, f.excess())
	f.add(50*time.Millisecond, 100*time.Millisecond)
	require.Zero(t, f.excess())
	for range 100 {
		f.add(300*time.Millisecond, 100*time.Millisecond)
	}
	require.InDelta(t, 200*time.Millisecond, f.excess(), float64(time.Millisecond))
}

// TestExpectedFirstTokenAdds checks that a long prompt is expected to wait as long as a short one
// does, and not by the same multiple of its own prefill.
func TestExpectedFirstTokenAdds(t *testing.T) {
	t.Parallel()
	f := newFillBoard(t, 1)
	p := f.b.pools["e"]
	p.firstTokens.add(60*time.Millisecond, 10*time.Millisecond)
	long := &request{Request: f.requestWithAim(time.Second, Part{"own", 10_000})}
	require.Equal(t, p.minFirstToken(long)+50*time.Millisecond, p.expectedFirstToken(long))
}

// TestStartedAnswerKeepsWaiting checks that a request whose answer has begun and was
// interrupted stays queued while no target is available, unlike a request that can no longer be
// answered in time.
func TestStartedAnswerKeepsWaiting(t *testing.T) {
	t.Parallel()
	f := newFillBoard(t, 1)
	started := f.requestWithAim(300*time.Millisecond, own)
	started.Resumable, started.Repeatable, started.MaxTries = true, true, 3
	a := f.place(started)
	f.b.FirstToken(f.now, a.Request, a.ID)
	f.b.Progress(f.now, a.Request, a.ID)
	f.b.Ended(f.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken, Delivered: true, Silent: true})
	other := f.requestWithAim(300*time.Millisecond, own)
	require.Nil(t, f.place(other))
	got := make(map[string]Refusal)
	for range 20 {
		f.now = f.now.Add(50 * time.Millisecond)
		maps.Copy(got, refusals(f.b.Tick(f.now)))
	}
	require.Contains(t, got, other.ID)
	require.NotContains(t, got, started.ID)
	require.Equal(t, []string{started.ID}, f.sentRequests(f.b.Reached(f.now, testAddr(0), f.now)))
}

// TestUrgentFirst checks with seeded overloads that requests of higher priority are served at
// most 5 percentage points less often than others of their organisation, and that the others
// are served at least a quarter as often as the average.
func TestUrgentFirst(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			served := runOverload(t, rand.New(rand.NewPCG(seed, 1)))
			require.GreaterOrEqual(t, served[1], served[0]-0.05)
			require.GreaterOrEqual(t, served[0], (served[0]+served[1])/8)
		})
	}
}

// overloadRequests is the number of requests in an overload, half of each priority.
const overloadRequests = 800

// runOverload sends two engines about twice the load that they can serve, and returns the
// served fraction of each priority.
func runOverload(t *testing.T, rng *rand.Rand) map[int]float64 {
	f := newPartsBoard(t, 2)
	served := make(map[int]float64)
	priority := make(map[string]int)
	var started, running []Attempt
	take := func(actions []Action) {
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				started = append(started, s.Attempt)
				served[priority[s.Attempt.Request]] += 2.0 / overloadRequests
			}
		}
	}
	for i := range overloadRequests {
		for _, a := range started {
			take(f.b.FirstToken(f.now, a.Request, a.ID))
		}
		running, started = append(running, started...), nil
		r := f.requestWithAim(300*time.Millisecond, Part{fmt.Sprint("p", i), 500 + rng.IntN(3500)})
		r.Priority = i % 2
		priority[r.ID] = r.Priority
		take(f.b.Arrive(f.now, r))
		f.now = f.now.Add(10 * time.Millisecond)
		if len(running) > 0 && rng.IntN(2) == 0 {
			a := running[0]
			running = running[1:]
			take(f.b.Ended(f.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeDone}))
		}
		take(f.b.Tick(f.now))
	}
	return served
}

// TestAwaitingFillNotCountedAsQueue checks that requests that wait for a pending fill, and not
// for capacity, cause no refusal of others, whatever the earlier throughput was.
func TestAwaitingFillNotCountedAsQueue(t *testing.T) {
	t.Parallel()
	f := newFillBoard(t, 3)
	f.place(f.requestWithAim(time.Second, append(shared, own)...))
	for i := range 3 {
		require.Nil(t, f.place(f.requestWithAim(time.Second, append(shared, Part{fmt.Sprint("own", i), 500})...)))
	}
	f.b.pools["e"].throughput.add(f.now, 1)
	f.now = f.now.Add(20 * time.Millisecond)
	last := f.requestWithAim(time.Second, append(shared, Part{"last", 500})...)
	require.Empty(t, refusals(f.b.Arrive(f.now, last)))
}

// TestThroughputFromFirstWait checks that requests sent long before the queue formed do not
// count towards the throughput.
func TestThroughputFromFirstWait(t *testing.T) {
	t.Parallel()
	f := fullBoard(t)
	f.b.pools["e"].throughput.add(f.now, 1000)
	f.now = f.now.Add(30 * time.Second)
	require.Empty(t, refusals(f.b.Arrive(f.now, f.requestWithAim(time.Second, Part{"own", 8000}))))
	f.now = f.now.Add(time.Millisecond)
	require.Empty(t, refusals(f.b.Arrive(f.now, f.requestWithAim(time.Second, Part{"own2", 8000}))))
}
