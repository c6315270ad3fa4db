package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
)

// refusalFleet is a few routers in front of the same engines. Their notices reach the others at
// once.
type refusalFleet struct {
	routers []*partsBoard
	sent    []TargetNotice
}

func newRefusalFleet(t *testing.T, routers, engines int, off Mechanisms) *refusalFleet {
	f := &refusalFleet{}
	for i := range routers {
		p := newPartsBoard(t, engines, WithReusedAddresses(), WithoutMechanisms(off),
			WithTargetNotices(fmt.Sprint("r", i), func(n TargetNotice) { f.sent = append(f.sent, n) }))
		p.b.snap.Config.Requests.RetryReserve = 50
		p.b.snap.Config.Requests.RetryWindow = policy.Duration(10 * time.Second)
		p.b.pools["e"].retries.startedAt = p.now.Add(-time.Minute)
		f.routers = append(f.routers, p)
	}
	return f
}

// exchange passes the notices on.
func (f *refusalFleet) exchange() {
	sent := f.sent
	f.sent = nil
	for _, p := range f.routers {
		p.b.ApplyNotices(p.now, sent)
	}
}

// settle spends a while after which a target's report cannot be from before.
func (f *refusalFleet) pass(d time.Duration) {
	for _, p := range f.routers {
		p.now = p.now.Add(d)
	}
}

// lost places one request at each router, has the engine answer it, and returns how many requests
// were refused.
func (f *refusalFleet) lost(t *testing.T, answer func(a Attempt) Outcome) (lost int) {
	for i, p := range f.routers {
		r := p.request("a", Part{fmt.Sprint("part", i), 100})
		queue := p.b.Arrive(p.now, r)
		for len(queue) > 0 {
			act := queue[0]
			queue = queue[1:]
			switch act := act.(type) {
			case Send:
				o := answer(act.Attempt)
				o.Request, o.Attempt = act.Attempt.Request, act.Attempt.ID
				queue = append(queue, p.b.Ended(p.now, o)...)
			case Refuse:
				lost++
			}
		}
		f.exchange()
	}
	return lost
}

// engineWith answers as an engine of an incarnation and weights.
func engineWith(incarnation Incarnation, weights string) func(a Attempt) Outcome {
	return func(a Attempt) Outcome {
		switch {
		case !a.Incarnation.Same(incarnation):
			return Outcome{Kind: OutcomeRefused, Incarnation: incarnation}
		case a.Weights != weights:
			return Outcome{Kind: OutcomeRefused, Incarnation: incarnation}
		}
		return Outcome{Kind: OutcomeDone}
	}
}

// An engine has loaded new weights, and the list and the lease holder are late to say so. The
// routers send it a request each: without notices and a second send each of them loses it.
func TestWeightsChangedUnseen(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		off  Mechanisms
		lost int
	}{
		"as built":         {0, 0},
		"no second send":   {ResendSameTarget, 1},
		"no notices":       {WeightsNotices, 0},
		"neither":          {ResendSameTarget | WeightsNotices, 8},
		"retries disabled": {Retrying, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRefusalFleet(t, 8, 1, c.off)
			for _, p := range f.routers {
				p.announceWeights("2")
			}
			require.Equal(t, c.lost, f.lost(t, engineWith("0", "2")))
			require.Zero(t, f.lost(t, engineWith("0", "2")), "every router knows by now")
		})
	}
}

// A router that is cut off does not know that newer weights were named. It expects the next ones of
// an engine that refuses the newest that it knows, which no other router is told.
func TestWeightsChangedCutOff(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		off    Mechanisms
		has    string
		lost   int
		usable bool
	}{
		"the next ones":           {0, "2", 0, true},
		"later ones":              {0, "3", 1, false},
		"without the second send": {ResendSameTarget, "2", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRefusalFleet(t, 1, 1, c.off)
			require.Equal(t, c.lost, f.lost(t, engineWith("0", c.has)))
			require.Equal(t, c.usable, f.routers[0].b.targets[testAddr(0)].usable())
			for _, n := range f.sent {
				require.NotEqual(t, NoticeWeights, n.Kind)
			}
		})
	}
}

// An engine crashes and another one starts at its address before the list says so. Without notices
// each router loses a request to learn it; with them one does.
func TestSuccessorUnseen(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		off  Mechanisms
		lost int
	}{
		"as built":   {ResendSameTarget, 1},
		"no notices": {ResendSameTarget | WeightsNotices, 8},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRefusalFleet(t, 8, 2, c.off)
			for _, p := range f.routers {
				// The second engine is held, so that all requests go to the first one.
				p.b.SetHeldTargets(map[TargetKey]bool{{testAddr(1), "1"}: true})
			}
			require.Equal(t, c.lost, f.lost(t, engineWith("new", "1")))
		})
	}
}

// While the list still names the engine that was succeeded, its late heartbeats do not bring it
// back. The successor gets requests once the list names it.
func TestSuccessorOutlivesOldEntry(t *testing.T) {
	t.Parallel()
	f := newRefusalFleet(t, 2, 1, 0)
	f.lost(t, engineWith("new", "1"))
	for _, p := range f.routers {
		p.report(0, "1")
		p.b.SetTargets(p.now, []ListedTarget{{Addr: testAddr(0), Labels: map[string]string{"s": "e"}, Incarnation: "0"}})
		require.EqualValues(t, "new", p.b.IncarnationOf(testAddr(0)))
		require.False(t, p.b.targets[testAddr(0)].usable())
		p.b.Report(p.now, testAddr(0), Report{Incarnation: "new", Weights: map[string]string{"m": "1"}, PrefillRate: 50000, Slots: 64})
		require.True(t, p.b.targets[testAddr(0)].usable())
	}
}

// A request that another incarnation refused waits for the list to name that one and then goes
// there, since no other engine has received it. It is refused when its aim has passed.
func TestResendToSuccessor(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		listed bool
		aim    time.Duration
	}{
		"the list names it":          {true, time.Second},
		"the list does not name it":  {false, time.Second},
		"the aim has passed already": {false, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRefusalFleet(t, 1, 2, 0)
			p := f.routers[0]
			p.announceWeights("2")
			p.b.SetHeldTargets(map[TargetKey]bool{{testAddr(1), "1"}: true})
			r := p.request("a", Part{"x", 10})
			r.Aim = c.aim
			a := p.place(r)
			require.Equal(t, testAddr(0), a.Target)
			p.now = p.now.Add(10 * time.Millisecond)
			require.Empty(t, refuseActions(p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeRefused, Incarnation: "new"})))
			p.b.SetHeldTargets(nil)
			p.now = p.now.Add(300 * time.Millisecond)
			if c.listed {
				p.b.Report(p.now, testAddr(0), Report{Incarnation: "new", Weights: map[string]string{"m": "2"}, PrefillRate: 50000, Slots: 64})
				acts := p.b.Tick(p.now)
				require.Len(t, acts, 1)
				again := acts[0].(Send).Attempt
				require.Equal(t, Attempt{
					ID: r.ID + "-2", Request: r.ID, Target: a.Target, Incarnation: "new", Weights: "2",
					Salt: r.Salt("2").String(), Number: 2, FirstToken: again.FirstToken, Reason: again.Reason,
				}, again)
				out := p.b.Ended(p.now, Outcome{Request: r.ID, Attempt: again.ID, Kind: OutcomeRefused})
				require.Len(t, refuseActions(out), 1, "the engine may not be sent it a third time")
				return
			}
			p.now = p.now.Add(time.Second)
			require.Len(t, refuseActions(p.b.Tick(p.now)), 1)
			require.Zero(t, p.b.Requests())
		})
	}
}

func refuseActions(acts []Action) (out []Refuse) {
	for _, a := range acts {
		if r, ok := a.(Refuse); ok {
			out = append(out, r)
		}
	}
	return out
}

// The second send is an arrival at the pool's targets, so it draws on the retry budget.
func TestResendBudget(t *testing.T) {
	t.Parallel()
	f := newRefusalFleet(t, 1, 1, 0)
	p := f.routers[0]
	refused, sent := 0, 0
	for i := range 40 {
		p.announceWeights(fmt.Sprint(i + 2))
		sent++
		refused += f.lost(t, engineWith("0", fmt.Sprint(i+2)))
	}
	require.Positive(t, refused, "the budget bounds the second sends")
	again := sent - refused
	require.LessOrEqual(t, float64(again), 0.2*float64(sent)+50)
}

// Two routers find connections to an engine refused. The other routers send it nothing either, a
// report from before its end changes nothing, and a later one does. A router alone may have lost its
// path to the engine.
func TestEndedTarget(t *testing.T) {
	t.Parallel()
	f := newRefusalFleet(t, 4, 4, 0)
	f.pass(2 * answerValidTime)
	usable := func() (n int) {
		for _, p := range f.routers {
			if p.b.targets[testAddr(2)].usable() {
				n++
			}
		}
		return n
	}
	for i, want := range []int{3, 0} {
		f.routers[i].b.TargetCrashed(f.routers[i].now, testAddr(2))
		f.exchange()
		require.Equal(t, want, usable())
	}
	for _, p := range f.routers {
		p.report(2, "1")
	}
	require.Zero(t, usable(), "it wrote the report before its end")
	f.pass(endedReportLag)
	for _, p := range f.routers {
		p.report(2, "1")
	}
	require.Equal(t, 4, usable())
}

// One router finds connections to an engine refused, and the others learn it over several ways and
// again later. It stays one router's observation.
func TestEndedTargetOneRouter(t *testing.T) {
	t.Parallel()
	f := newRefusalFleet(t, 3, 4, 0)
	f.pass(2 * answerValidTime)
	for range 4 {
		p := f.routers[0]
		p.b.TargetCrashed(p.now, testAddr(2))
		sent := f.sent
		f.exchange()
		f.sent = sent
		f.exchange()
		f.pass(noticeTTL)
	}
	for _, p := range f.routers[1:] {
		require.True(t, p.b.targets[testAddr(2)].usable())
	}
}

// Routers to which most targets refuse connections have lost their own path, and do not make the
// others give the targets up. Nor does a target that answered the others in the meantime.
func TestEndedTargetsOwnPath(t *testing.T) {
	t.Parallel()
	f := newRefusalFleet(t, 3, 10, 0)
	f.pass(2 * answerValidTime)
	other := f.routers[2]
	other.b.targets[testAddr(0)].answeredAt = other.now
	for _, p := range f.routers[:2] {
		for i := range 10 {
			p.b.TargetCrashed(p.now, testAddr(i))
		}
		f.exchange()
	}
	given := 0
	for i := range 10 {
		if !other.b.targets[testAddr(i)].usable() {
			given++
		}
	}
	require.True(t, other.b.targets[testAddr(0)].usable())
	require.Positive(t, given)
	require.LessOrEqual(t, float64(given), maxUnresponsiveShare*11)
}

// An engine with old weights and free slots refuses a request without a reason: it carries out an
// order. It gets nothing for as long as the lease holder takes to see that. A full engine is not
// taken for one.
func TestLoadingTarget(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		newest string
		// peers is the number of requests of other routers at the engine, which has four slots.
		peers   int
		ordered bool
		loading bool
		backoff time.Duration
	}{
		"old weights, free slots":          {"2", 3, false, true, 0},
		"old weights, full":                {"2", 4, false, false, 0},
		"old weights, full, order pending": {"2", 4, true, true, 0},
		"the same, and requests wait":      {"2", 6, true, false, 0},
		"newest weights, free slots":       {"1", 0, false, false, 0},
		"old weights, asks for rest":       {"2", 3, false, false, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRefusalFleet(t, 2, 1, 0)
			for _, p := range f.routers {
				p.announceWeights(c.newest)
				p.b.Report(p.now, testAddr(0), Report{Incarnation: "0", Weights: map[string]string{"m": "1"}, PrefillRate: 50000, Slots: 4})
				p.b.pools["e"].compiled.Window = 0
				p.b.SetOrderedTargets(map[TargetKey]bool{{testAddr(0), "0"}: c.ordered})
			}
			p, other := f.routers[0], f.routers[1]
			a := p.place(p.request("a", Part{"x", 10}))
			// The peers have as many requests there as it has slots.
			p.b.targets[testAddr(0)].peerInFlight = c.peers
			p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeRefused, Unavailable: true, Backoff: c.backoff})
			f.exchange()
			require.Equal(t, c.loading, other.b.targets[testAddr(0)].backingOff(other.now))
			f.pass(loadingTime)
			require.False(t, other.b.targets[testAddr(0)].backingOff(other.now))
		})
	}
}

// Answers state the weights that they ran under. A later answer on another connection may be older.
func TestWeightsHint(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		hints []string
		want  string
	}{
		"newer":              {[]string{"2"}, "2"},
		"overtaken":          {[]string{"3", "2"}, "3"},
		"not named here":     {[]string{"9"}, "1"},
		"none":               {[]string{""}, "1"},
		"those it has":       {[]string{"1"}, "1"},
		"newer and then not": {[]string{"2", "9"}, "2"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPartsBoard(t, 1)
			p.announceWeights("2")
			p.announceWeights("3")
			for _, weights := range c.hints {
				p.b.ApplyHints(p.now, TargetKey{testAddr(0), "0"}, p.now, TargetHints{Model: "m", Weights: weights})
			}
			require.Equal(t, c.want, p.b.WeightsOf(TargetKey{testAddr(0), "0"}, "m"))
		})
	}
}

// Relays join the notices of many routers into a bounded list of the newest.
func TestNoticesJoined(t *testing.T) {
	t.Parallel()
	var states []PeerState
	for router := range 20 {
		var s PeerState
		for i := range maxNotices {
			s.Notices = append(s.Notices, TargetNotice{Kind: NoticeWeights, Target: TargetKey{testAddr(i), "x"}, Model: "m", Weights: "2", Age: time.Duration(router+i) * time.Millisecond})
			s.Notices = append(s.Notices, TargetNotice{Kind: NoticeEnded, Target: TargetKey{testAddr(i), Incarnation(fmt.Sprint(router))}, Age: time.Second})
		}
		states = append(states, s)
	}
	out := JoinStates(states).Notices
	require.Len(t, out, maxNotices)
	for i, n := range out {
		require.Equal(t, NoticeWeights, n.Kind)
		require.Equal(t, time.Duration(i)*time.Millisecond, n.Age, "the newest observation of each counts")
	}
}

// A refusal's detail names what was expected, what was found and how old the knowledge was.
func TestRefusalDetail(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		o    Outcome
		want string
	}{
		"another incarnation": {
			Outcome{Kind: OutcomeRefused, Incarnation: "new", Detail: "Misdirected Request"},
			"Misdirected Request; incarnation 0 was expected and new answered, last report 70ms old",
		},
		"other weights": {
			Outcome{Kind: OutcomeRefused, Incarnation: "0", Detail: "Misdirected Request", Weights: "3"},
			"Misdirected Request; weights 1 were expected, last report 70ms old, the newest are 3, it has 3, an order there is unanswered",
		},
		"unavailable": {
			Outcome{Kind: OutcomeRefused, Unavailable: true, Detail: "Service Unavailable"},
			"Service Unavailable; weights 1 were expected, last report 70ms old, the newest are 3, an order there is unanswered",
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRefusalFleet(t, 1, 1, ResendSameTarget)
			p := f.routers[0]
			p.announceWeights("3")
			a := p.place(p.request("a", Part{"x", 10}))
			p.b.SetOrderedTargets(map[TargetKey]bool{{testAddr(0), "0"}: true})
			p.now = p.now.Add(70 * time.Millisecond)
			c.o.Request, c.o.Attempt = a.Request, a.ID
			out := refuseActions(p.b.Ended(p.now, c.o))
			require.Len(t, out, 1)
			require.Equal(t, "tried too often; "+c.want, out[0].Refusal.Detail)
		})
	}
}

// A router notices that an engine carries out an order and falls silent. The other routers merge its
// last state again and again, in a small fleet its own and in a large one that of a relay, and give
// the engine requests again once the time since the observation has passed.
func TestLoadingNoticeAges(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		join func(PeerState) PeerState
		// delay is how long a state is under way at each merge, which its age does not contain.
		delay time.Duration
	}{
		"its own state":              {func(s PeerState) PeerState { return s }, 0},
		"its own state, under way":   {func(s PeerState) PeerState { return s }, 20 * time.Millisecond},
		"a relay's state":            {func(s PeerState) PeerState { return JoinStates([]PeerState{s}) }, 0},
		"a relay's state, under way": {func(s PeerState) PeerState { return JoinStates([]PeerState{s}) }, 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRefusalFleet(t, 2, 1, 0)
			for _, p := range f.routers {
				p.announceWeights("2")
			}
			p, other := f.routers[0], f.routers[1]
			a := p.place(p.request("a", Part{"x", 10}))
			p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeRefused, Unavailable: true})
			last := p.b.State(p.now)
			require.Len(t, last.Notices, 1)
			for age := time.Duration(0); age < 3*loadingTime; age += 50 * time.Millisecond {
				state := last.Aged(age)
				f.pass(min(age, c.delay))
				other.b.MergePeers(other.now, map[string]PeerState{"p": c.join(state)}, 2)
				f.pass(50*time.Millisecond - min(age, c.delay))
				require.Equal(t, age+50*time.Millisecond < loadingTime, other.b.targets[testAddr(0)].backingOff(other.now), age)
			}
			require.Zero(t, last.Notices[0].Age, "the merged state is shared")
		})
	}
}

// An engine that was taken for loading gets requests as soon as it is known to have the weights of
// the order, and a late notice from before changes nothing.
func TestLoadingEnds(t *testing.T) {
	t.Parallel()
	key := TargetKey{testAddr(0), "0"}
	for name, c := range map[string]struct {
		learn func(p *partsBoard)
		ends  bool
	}{
		"from the lease holder": {func(p *partsBoard) { p.b.WeightsLoaded(p.now, WeightsUpdate{key, "m", "2"}) }, true},
		"from an answer":        {func(p *partsBoard) { p.b.ApplyHints(p.now, key, p.now, TargetHints{Model: "m", Weights: "2"}) }, true},
		"from its report":       {func(p *partsBoard) { p.report(0, "2") }, true},
		"an old report":         {func(p *partsBoard) { p.report(0, "1") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRefusalFleet(t, 2, 1, 0)
			for _, p := range f.routers {
				p.announceWeights("2")
			}
			p, other := f.routers[0], f.routers[1]
			a := p.place(p.request("a", Part{"x", 10}))
			p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeRefused, Unavailable: true})
			sent := f.sent
			f.exchange()
			require.True(t, other.b.targets[testAddr(0)].backingOff(other.now))
			c.learn(other)
			require.Equal(t, !c.ends, other.b.targets[testAddr(0)].backingOff(other.now))
			f.pass(10 * time.Millisecond)
			sent[0].Sender++
			other.b.ApplyNotices(other.now, sent)
			require.Equal(t, !c.ends, other.b.targets[testAddr(0)].backingOff(other.now), "another router's late notice")
		})
	}
}

// A router that is cut off has guessed an engine's weights when a second request that was under way
// is refused as well. The other routers are told no guess, only what the engine states or what was
// named.
func TestGuessedWeightsNotTold(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		stated, named string
		told          []string
	}{
		"nothing known":   {"", "", nil},
		"the engine says": {"3", "", []string{"3"}},
		"named meanwhile": {"", "3", []string{"3"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRefusalFleet(t, 1, 1, 0)
			p := f.routers[0]
			a, second := p.place(p.request("a", Part{"x", 10})), p.place(p.request("a", Part{"y", 10}))
			p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeRefused, Incarnation: "0"})
			if c.named != "" {
				p.announceWeights(c.named)
			}
			p.b.Ended(p.now, Outcome{Request: second.Request, Attempt: second.ID, Kind: OutcomeRefused, Incarnation: "0", Weights: c.stated})
			var told []string
			for _, n := range f.sent {
				told = append(told, n.Weights)
			}
			require.Equal(t, c.told, told)
		})
	}
}

// An engine that refuses a request over its weights, and states those that were expected, is not
// assumed to have the next ones: it gets nothing until its next report.
func TestStatedWeightsNotGuessed(t *testing.T) {
	t.Parallel()
	f := newRefusalFleet(t, 1, 1, 0)
	p := f.routers[0]
	a := p.place(p.request("a", Part{"x", 10}))
	p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeRefused, Incarnation: "0", Weights: "1"})
	engine := p.b.targets[testAddr(0)]
	require.Empty(t, engine.assumed)
	require.False(t, engine.usable())
	require.Empty(t, f.sent)
}

// An engine was replaced twice while a request was under way, and the list named the first
// replacement meanwhile. The other routers, which know that one, are told what succeeded it.
func TestSecondSuccessor(t *testing.T) {
	t.Parallel()
	f := newRefusalFleet(t, 2, 1, 0)
	a := f.routers[0].place(f.routers[0].request("a", Part{"x", 10}))
	f.pass(time.Second)
	for _, p := range f.routers {
		p.b.Report(p.now, testAddr(0), Report{Incarnation: "1", Weights: map[string]string{"m": "1"}, PrefillRate: 50000, Slots: 64})
	}
	p, other := f.routers[0], f.routers[1]
	p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeRefused, Incarnation: "2"})
	f.exchange()
	require.EqualValues(t, "2", other.b.IncarnationOf(testAddr(0)))
}

// Requests that wait for a successor are sent there as it has capacity and memory, and one that is
// not sent in time says what held it.
func TestParkedRequests(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change func(p *partsBoard, engine *target)
		sent   int
		text   string
	}{
		"free":         {func(*partsBoard, *target) {}, 2, ""},
		"one slot":     {func(p *partsBoard, _ *target) { p.b.pools["e"].compiled.Window = 1 }, 1, "no capacity"},
		"memory taken": {func(p *partsBoard, _ *target) { p.b.pools["e"].compiled.CacheTokens = 1 }, 1, "no capacity"},
		"draining":     {func(p *partsBoard, _ *target) { p.b.MarkDraining(TargetKey{testAddr(0), "new"}) }, 0, "draining"},
		"failing":      {func(_ *partsBoard, engine *target) { engine.failing = true }, 0, "failing"},
		"not named":    {func(_ *partsBoard, engine *target) { engine.unconfirmed = true }, 0, "the list did not name it"},
		"gone":         {func(_ *partsBoard, engine *target) { engine.incarnation = "newer" }, 0, "gone"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRefusalFleet(t, 1, 1, 0)
			p := f.routers[0]
			var attempts []*Attempt
			for _, part := range []string{"x", "y"} {
				r := p.request("a", Part{part, 10})
				r.Aim = time.Second
				attempts = append(attempts, p.place(r))
			}
			for _, a := range attempts {
				require.Empty(t, refuseActions(p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeRefused, Incarnation: "new"})))
			}
			p.b.Report(p.now, testAddr(0), Report{Incarnation: "new", Weights: map[string]string{"m": "1"}, PrefillRate: 50000, Slots: 64})
			c.change(p, p.b.targets[testAddr(0)])
			acts := p.b.Tick(p.now)
			refused := refuseActions(acts)
			require.Equal(t, c.sent, len(acts)-len(refused))
			p.now = p.now.Add(250 * time.Millisecond)
			refused = append(refused, refuseActions(p.b.Tick(p.now))...)
			require.Len(t, refused, 2-c.sent)
			for _, r := range refused {
				require.Contains(t, r.Refusal.Detail, c.text)
			}
		})
	}
}
