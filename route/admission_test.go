package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAdmissionOfOneRequest checks what becomes of a request that arrives while an engine computes
// a prompt of 400 ms, and of one that takes longer than its aim at an idle engine.
func TestAdmissionOfOneRequest(t *testing.T) {
	t.Parallel()
	const sent, refused = "sent", "refused"
	cases := map[string]struct {
		aim     time.Duration
		tokens  int
		idle    bool
		assumed bool
		off     Mechanisms
		want    string
		late    int
	}{
		"in time":                     {aim: time.Second, tokens: 1000, want: sent},
		"late":                        {aim: 300 * time.Millisecond, tokens: 1000, want: refused},
		"late, without admission":     {aim: 300 * time.Millisecond, tokens: 1000, off: AimAdmission, want: sent},
		"late for a default aim":      {aim: 300 * time.Millisecond, tokens: 1000, assumed: true, want: sent},
		"no aim":                      {tokens: 1000, want: sent},
		"too long for an idle engine": {aim: 100 * time.Millisecond, tokens: 10000, idle: true, want: sent, late: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newPartsBoard(t, 1, WithoutMechanisms(c.off))
			if !c.idle {
				require.NotNil(t, f.place(f.requestWithAim(time.Second, Part{"ahead", 20000})))
				f.now = f.now.Add(poolLoadInterval)
			}
			r := f.requestWithAim(c.aim, Part{"own", c.tokens})
			r.AimAssumed = c.assumed
			actions := f.b.Arrive(f.now, r)
			switch c.want {
			case sent:
				require.Equal(t, []string{r.ID}, f.sentRequests(actions))
			case refused:
				got := refusals(actions)
				require.Contains(t, got, r.ID)
				require.Equal(t, CauseOverload, got[r.ID].Cause)
				require.Equal(t, NotRun, got[r.ID].Verdict)
				require.Contains(t, got[r.ID].Detail, " tokens ahead at 10.0.0.0")
				require.Equal(t, 1, f.b.Admissions().Refused)
			}
			require.Equal(t, c.late, f.b.Admissions().SentLate)
		})
	}
}

// TestBegunAnswerNotRefused checks that a request whose answer has begun is continued although it
// will be late.
func TestBegunAnswerNotRefused(t *testing.T) {
	t.Parallel()
	f := newPartsBoard(t, 2)
	r := f.requestWithAim(300*time.Millisecond, Part{"own", 1000})
	r.Resumable, r.Repeatable, r.MaxTries = true, true, 3
	a := f.place(r)
	f.b.FirstToken(f.now, a.Request, a.ID)
	f.b.Progress(f.now, a.Request, a.ID)
	for _, id := range []string{"x", "y"} {
		require.NotNil(t, f.place(f.requestWithAim(2*time.Second, Part{id, 20000})))
	}
	actions := f.b.Ended(f.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken, Delivered: true})
	require.Empty(t, refusals(actions))
	require.Equal(t, []string{r.ID}, f.sentRequests(actions))
}

// Guards against a stream that its caller resumes and that is refused where new ones begin: it was judged by the aim of
// its first part, which had come, and new requests took the memory left at the targets of its release.
func TestResumedBeforeNew(t *testing.T) {
	t.Parallel()
	const aim = 300 * time.Millisecond
	resumed := func(f *partsBoard) Request {
		r := f.requestWithAim(aim, Part{"resumed", 1000})
		r.Resumable, r.Repeatable, r.Continues = true, true, true
		return r
	}
	// occupy has a peer's requests take a fraction of the engine's memory.
	occupy := func(f *partsBoard, fraction float64) []Action {
		return f.b.MergePeers(f.now, map[string]PeerState{"x": {Loads: []Load{{Target: f.b.targets[testAddr(0)].key(), InFlight: 9, Tokens: int(fraction * partsMemory)}}}}, 2)
	}
	t.Run("late", func(t *testing.T) {
		t.Parallel()
		f := newPartsBoard(t, 1)
		require.NotNil(t, f.place(f.requestWithAim(time.Second, Part{"ahead", 20000})))
		f.now = f.now.Add(poolLoadInterval)
		r := resumed(f)
		require.Equal(t, []string{r.ID}, f.sentRequests(f.b.Arrive(f.now, r)))
	})
	t.Run("memory", func(t *testing.T) {
		t.Parallel()
		f := newPartsBoard(t, 1)
		occupy(f, memoryFraction)
		require.Empty(t, f.sentRequests(f.b.Arrive(f.now, f.requestWithAim(time.Second, Part{"new", 1000}))))
		r := resumed(f)
		require.Equal(t, []string{r.ID}, f.sentRequests(f.b.Arrive(f.now, r)))
	})
	t.Run("order and patience", func(t *testing.T) {
		t.Parallel()
		f := newPartsBoard(t, 1)
		occupy(f, continuedMemoryFraction)
		other := f.requestWithAim(2*aim, Part{"new", 1000})
		require.Empty(t, f.sentRequests(f.b.Arrive(f.now, other)))
		r := resumed(f)
		require.Empty(t, f.sentRequests(f.b.Arrive(f.now, r)))
		f.now = f.now.Add(aim + 50*time.Millisecond)
		require.Empty(t, refusals(f.b.Tick(f.now)), "the aim of its first part is over")
		sent := f.sentRequests(occupy(f, 0))
		require.NotEmpty(t, sent)
		require.Equal(t, r.ID, sent[0])
	})
	t.Run("no room", func(t *testing.T) {
		t.Parallel()
		f := newPartsBoard(t, 1)
		occupy(f, continuedMemoryFraction)
		r := resumed(f)
		f.b.Arrive(f.now, r)
		f.now = f.now.Add(releasePatience)
		got := refusals(f.b.Tick(f.now))
		require.Contains(t, got, r.ID)
		require.Equal(t, NotRun, got[r.ID].Verdict)
		require.Positive(t, got[r.ID].RetryAfter)
	})
}

// TestUrgentRoom checks that a less urgent prompt is not sent behind another one where an urgent
// one would then be late, while an urgent one is.
func TestUrgentRoom(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		aim  time.Duration
		off  Mechanisms
		sent bool
	}{
		"less urgent":               {aim: 1200 * time.Millisecond},
		"less urgent, without room": {aim: 1200 * time.Millisecond, off: UrgentRoom, sent: true},
		"urgent":                    {aim: 400 * time.Millisecond, sent: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newPartsBoard(t, 1, WithoutMechanisms(c.off|JointAdmission))
			f.b.pools["e"].urgentAim = 400 * time.Millisecond
			require.NotNil(t, f.place(f.requestWithAim(1200*time.Millisecond, Part{"ahead", 15000})))
			r := f.requestWithAim(c.aim, Part{"own", 7000})
			actions := f.b.Arrive(f.now, r)
			require.Empty(t, refusals(actions))
			require.Equal(t, c.sent, len(f.sentRequests(actions)) == 1)
		})
	}
}

// TestForecasts checks the correction of predictions.
func TestForecasts(t *testing.T) {
	t.Parallel()
	var f forecasts
	now := epoch
	observe := func(n int, ratio float64) {
		for range n {
			f.observe(now, 100*time.Millisecond, time.Duration(ratio*float64(100*time.Millisecond)))
		}
	}
	observe(minForecastSamples-1, 0.5)
	require.EqualValues(t, 1, f.factor(now), "too few answers")
	observe(1, 0.5)
	require.InDelta(t, 0.5, f.factor(now), 0.01)
	observe(3, 50)
	require.InDelta(t, 0.5, f.factor(now), 0.01, "outliers do not count")
	observe(forecastSamples, 50)
	require.EqualValues(t, maxCorrection, f.factor(now))
	observe(forecastSamples, 0.01)
	require.EqualValues(t, minCorrection, f.factor(now))
	require.EqualValues(t, 1, f.factor(now.Add(forecastMaxAge+1)))
	f.observe(now, minForecast-1, time.Hour)
	require.EqualValues(t, minCorrection, f.factor(now), "short predictions do not count")
}

// TestBoundedPrice checks that a long queue raises the price of prefill only up to the requests
// that can still be delayed within the aim.
func TestBoundedPrice(t *testing.T) {
	t.Parallel()
	price := func(off Mechanisms, aim time.Duration) float64 {
		f := newPartsBoard(t, 1, WithoutMechanisms(off))
		p := f.b.pools["e"]
		p.firstTokens.add(100*time.Millisecond, 100*time.Millisecond)
		p.queue.n = 60
		return f.b.delayedRequests(f.now, p, []candidate{{wait: time.Second}}, &request{Request: Request{Aim: aim}})
	}
	require.EqualValues(t, 4, price(0, 400*time.Millisecond))
	require.GreaterOrEqual(t, price(BoundedPrice, 400*time.Millisecond), 60.0)
	require.GreaterOrEqual(t, price(0, 0), 60.0)
}

// TestSpread checks that routers that know the same loads choose different targets, of those that
// have as much of the prompt cached as the best one.
func TestSpread(t *testing.T) {
	t.Parallel()
	f := newPartsBoard(t, 8)
	r := &request{Request: f.request("a", Part{"p", 1000})}
	chosen := make(map[*target]int)
	for range 200 {
		var cs []candidate
		for i := range 8 {
			c := candidate{target: f.b.targets[testAddr(i)], cost: time.Duration(i) * 10 * time.Millisecond}
			if i < 5 {
				c.cachedTokens = 600
			}
			cs = append(cs, c)
		}
		chosen[f.b.spread(cs, &cs[0], r).target]++
	}
	require.Greater(t, len(chosen), 1)
	for i := 5; i < 8; i++ {
		require.Zero(t, chosen[f.b.targets[testAddr(i)]], "less of the prompt is cached")
	}
	require.Less(t, chosen[f.b.targets[testAddr(0)]], 180)
}
