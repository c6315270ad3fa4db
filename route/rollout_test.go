package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The bounds of a roll-out: the share of a service's requests that a bad release may get, with a
// tolerance, and how soon after its 50th bad answer it must get none.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rollbackAfter = 50
	rollbackTime  = 5 * time.Second
	rolloutTime   = 12 * time.Second
	oldRel        = "v1"
	newRel        = "v2"
)

// releaseFault describes a fault of a release by the time since the order.
type releaseFault struct {
	// failing is the share of its answers that fail, slow the factor on its latency, both from a
	// given time on.
	failing float64
	slow    float64
	from    time.Duration
	// route is the only one of four routes that has the fault, or -1 for all.
	route int
	// load is the number of concurrent requests from which the fault shows.
	load int
}

// rolloutFleet simulates the routers of a fleet that move a service to another release. They report
// to each other four times a second, with a delay of two reports.
type rolloutFleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	boards  []*Board
	targets int
	fault   releaseFault
	// usual is the share of the old release's answers that fail.
	usual float64
	// side is the network partition that a router is in.
	side    []int
	reports lateReports
	flying  []rolloutAnswer
	running map[int]int
	ordered time.Time
	asked   int
	// sent are the times of the requests to each release since the order.
	sent [2][]time.Time
	// bad are the times of the new release's bad answers, ended the times at which roll-outs ended.
	bad   []time.Time
	phase RolloutPhase
	ended time.Time
}

type rolloutAnswer struct {
	at, sent time.Time
	router   int
	target   int
	attempt  Attempt
	failed   bool
	bad      bool
}

// baseTime is the latency of an answer from a healthy target.
const baseTime = 30 * time.Millisecond

func newRolloutFleet(t *testing.T, n int, seed uint64, fault releaseFault) *rolloutFleet {
	f := &rolloutFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), now: epoch, targets: 16, fault: fault, usual: 0.02,
		side: make([]int, n), boards: make([]*Board, n), running: make(map[int]int),
	}
	for i := range n {
		f.start(i)
	}
	return f
}

// isNew reports whether a target has the new release, which is the second half of the targets.
func (f *rolloutFleet) isNew(target int) bool { return target >= f.targets/2 }

// start restarts a router. It knows the list, and learns of orders only from other routers.
func (f *rolloutFleet) start(i int) {
	b := NewBoard(WithSeed(f.rng.Uint64()), WithRouters(len(f.boards)), WithExposure(exposureShare))
	b.Adopt(f.now, testSetup{window: 400}.snapshot(f.t))
	f.boards[i] = b
	f.list(i)
}

// list passes a router the list, which contains the new targets once they are ordered.
func (f *rolloutFleet) list(i int) {
	b := f.boards[i]
	var seen []ListedTarget
	for k := range f.targets {
		release := oldRel
		if f.isNew(k) {
			release = newRel
		}
		if !f.isNew(k) || !f.ordered.IsZero() {
			seen = append(seen, ListedTarget{Addr: testAddr(k), Labels: map[string]string{"s": "s"}, Release: release})
		}
	}
	f.take(i, b.SetTargets(f.now, seen))
	for _, s := range seen {
		f.take(i, b.Report(f.now, s.Addr, Report{Incarnation: "i", Slots: 400}))
	}
}

func (f *rolloutFleet) order() RolloutOrder {
	return RolloutOrder{Pool: "s", Release: newRel, Revision: 7, Duration: rolloutTime}
}

// begin starts the new targets, passes the order to the routers that read the store, and records
// the start of the roll-out.
func (f *rolloutFleet) begin(readers ...int) {
	f.ordered = f.now
	for i := range f.boards {
		f.list(i)
	}
	for _, i := range readers {
		f.boards[i].StartRollout(f.now, f.order())
		f.boards[i].SetRollout(f.now, f.order(), RolloutTrial, "")
	}
}

// play advances the time at a rate of requests per second while one router advances the roll-out.
func (f *rolloutFleet) play(d time.Duration, perSecond float64, holder int) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.answer()
		for i, b := range f.boards {
			f.take(i, b.Tick(f.now))
		}
		for range int(perSecond * step.Seconds()) {
			f.ask()
		}
		if f.now.UnixMilli()%250 == 0 {
			f.report()
			f.advance(holder)
		}
	}
}

func (f *rolloutFleet) ask() {
	f.asked++
	i := f.rng.IntN(len(f.boards))
	req := Request{
		ID: fmt.Sprint("r", f.asked), Revision: 1, Pool: "s", Deadline: f.now.Add(4 * time.Second), QueueTime: time.Second,
		Repeatable: true, MaxTries: 2,
	}
	f.take(i, f.boards[i].Arrive(f.now, req))
}

// take carries out the actions of a router's board.
func (f *rolloutFleet) take(router int, actions []Action) {
	for _, a := range actions {
		if send, ok := a.(Send); ok {
			f.send(router, send.Attempt)
		}
	}
}

func (f *rolloutFleet) send(router int, a Attempt) {
	target := int(a.Target.Addr().As4()[3])
	f.running[target]++
	answer := rolloutAnswer{sent: f.now, router: router, target: target, attempt: a}
	took := time.Duration(float64(baseTime) * (0.7 + 0.6*f.rng.Float64()))
	answer.failed = f.rng.Float64() < f.usual
	side := 0
	if f.isNew(target) {
		side = 1
		if f.isFaulty(target) {
			switch {
			case f.fault.slow > 0:
				took, answer.bad = time.Duration(float64(took)*f.fault.slow), true
			case f.rng.Float64() < f.fault.failing:
				answer.failed, answer.bad = true, true
			}
		}
	}
	if !f.ordered.IsZero() {
		f.sent[side] = append(f.sent[side], f.now)
	}
	answer.at = f.now.Add(took)
	f.flying = append(f.flying, answer)
}

// isFaulty reports whether the new release's fault shows in a request at a target now.
func (f *rolloutFleet) isFaulty(target int) bool {
	switch {
	case f.now.Sub(f.ordered) < f.fault.from, f.running[target] < f.fault.load:
		return false
	}
	return f.fault.route < 0 || f.rng.IntN(4) == f.fault.route
}

func (f *rolloutFleet) answer() {
	due := f.flying
	f.flying = nil
	for _, a := range due {
		if a.at.After(f.now) {
			f.flying = append(f.flying, a)
			continue
		}
		f.running[a.target]--
		if a.bad {
			f.bad = append(f.bad, f.now)
		}
		f.take(a.router, f.boards[a.router].Ended(f.now, Outcome{
			Request: a.attempt.Request, Attempt: a.attempt.ID, Kind: OutcomeDone, TargetError: a.failed,
		}))
	}
}

func (f *rolloutFleet) report() {
	if !f.reports.add(f.now, f.boards) {
		return
	}
	for i, b := range f.boards {
		var others []PeerState
		for k, s := range f.reports[0] {
			if k != i && f.side[k] == f.side[i] {
				others = append(others, s)
			}
		}
		received := make(map[string]PeerState)
		if len(others) > 0 {
			received["others"] = JoinStates(others)
		}
		b.MergePeers(f.now, received, len(f.boards))
	}
}

// advance enters the next phase of the roll-out, as the process of the lease holder does.
func (f *rolloutFleet) advance(holder int) {
	b := f.boards[holder]
	o, next, why := b.NextPhase(f.now, "s")
	b.SetRollout(f.now, o, next, why)
	if next > f.phase {
		f.phase = next
		if next.Ended() {
			f.ended = f.now
		}
	}
}

// checkBad checks the bounds for a bad release.
func (f *rolloutFleet) checkBad() {
	b := f.boards[0]
	require.Equal(f.t, RolloutRolledBack, f.phase, b.rollouts["s"].detector.String())
	most := exposureShare*float64(len(f.sent[0])+len(f.sent[1])) + exposureSlack
	require.LessOrEqual(f.t, float64(len(f.sent[1])), most, "requests that the bad release got")
	if len(f.bad) >= rollbackAfter && len(f.sent[1]) > 0 {
		last := f.sent[1][len(f.sent[1])-1]
		require.LessOrEqual(f.t, last.Sub(f.bad[rollbackAfter-1]), rollbackTime, "from the 50th bad answer to the last request")
	}
}

// A bad release is detected by all routers together, whatever its fault is, and gets no more than
// its share of the requests.
func TestRolloutBad(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]releaseFault{
		"fails at once":      {failing: 0.4, route: -1},
		"fails rarely":       {failing: 0.2, route: -1},
		"slow":               {slow: 5, route: -1},
		"fails later":        {failing: 0.4, from: 4 * time.Second, route: -1},
		"slow later":         {slow: 5, from: 4 * time.Second, route: -1},
		"fails on one route": {failing: 0.8, route: 2},
		"slow on one route":  {slow: 6, route: 1},
		"fails under load":   {failing: 0.5, route: -1, load: 3},
	} {
		for _, nodes := range fleetSizes(1, 8, 40) {
			t.Run(fmt.Sprint(name, " at ", nodes), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(4) {
					f := newRolloutFleet(t, nodes, seed+1, fault)
					f.play(3*time.Second, 400, 0)
					f.begin(0)
					f.play(rolloutTime, 400, 0)
					f.checkBad()
				}
			})
		}
	}
}

// A good release is completed in time, after every router has stopped sending to the old one.
func TestRolloutGood(t *testing.T) {
	t.Parallel()
	for _, nodes := range fleetSizes(1, 8, 40) {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(8) {
				f := newRolloutFleet(t, nodes, seed+1, releaseFault{})
				f.play(3*time.Second, 400, 0)
				f.begin(0)
				f.play(rolloutTime, 400, 0)
				require.Equal(t, RolloutCompleted, f.phase, "seed %d: %s", seed+1, f.boards[0].rollouts["s"].detector.String())
				require.Less(t, f.ended.Sub(f.ordered), rolloutTime)
				last := f.sent[0][len(f.sent[0])-1]
				require.Less(t, last, f.ended, "the last request to the old release")
				for _, a := range f.flying {
					require.True(t, a.sent.After(f.ended) || f.isNew(a.target))
				}
			}
		})
	}
}

// Routers that reach no others also keep to the share, and act on their own observations.
func TestRolloutPartition(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 12, 5, releaseFault{failing: 0.5, route: -1})
	f.play(3*time.Second, 400, 0)
	f.begin(0, 5, 10)
	f.play(time.Second, 400, 0)
	for i := range f.side {
		f.side[i] = i % 4
	}
	f.play(rolloutTime, 400, 0)
	f.checkBad()
}

// A router that starts knows no phase. It sends nothing to a release that was rolled back, and uses
// the new release if the old targets are gone.
func TestRolloutPending(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 1, 1, releaseFault{failing: 1, route: -1})
	f.ordered = f.now
	f.list(0)
	f.boards[0].StartRollout(f.now, f.order())
	f.play(2*time.Second, 100, 0)
	require.Empty(t, f.sent[1], "requests to a release whose recorded phase is unknown")
	f.boards[0].SetRollout(f.now, f.order(), RolloutRolledBack, "")
	f.play(2*time.Second, 100, 0)
	require.Empty(t, f.sent[1])
	again := f.order()
	again.Revision += 1 << 40
	f.boards[0].StartRollout(f.now, again)
	f.play(2*time.Second, 100, 0)
	require.Empty(t, f.sent[1], "the same order, from a store that came back from an older copy")

	f = newRolloutFleet(t, 1, 1, releaseFault{})
	var seen []ListedTarget
	for k := f.targets / 2; k < f.targets; k++ {
		seen = append(seen, ListedTarget{Addr: testAddr(k), Labels: map[string]string{"s": "s"}, Release: newRel})
	}
	f.boards[0].SetTargets(f.now, seen)
	for _, s := range seen {
		f.boards[0].Report(f.now, s.Addr, Report{Incarnation: "i", Slots: 400})
	}
	f.boards[0].StartRollout(f.now, f.order())
	f.ordered = f.now
	f.play(time.Second, 100, 0)
	require.NotEmpty(t, f.sent[1], "requests where the old targets are gone")
}

// A request that waits as a router starts must not go to the new release whose target reports before
// the old ones.
func TestRolloutPendingReports(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 1, 1, releaseFault{})
	b := NewBoard(WithExposure(exposureShare))
	f.boards[0] = b
	b.Adopt(f.now, testSetup{window: 400}.snapshot(t))
	b.StartRollout(f.now, f.order())
	f.ordered = f.now
	f.ask()
	var seen []ListedTarget
	for k, release := range []string{newRel, oldRel} {
		seen = append(seen, ListedTarget{Addr: testAddr(f.targets - 1 - k*(f.targets-1)), Labels: map[string]string{"s": "s"}, Release: release})
	}
	f.take(0, b.SetTargets(f.now, seen))
	for _, s := range seen {
		f.take(0, b.Report(f.now, s.Addr, Report{Incarnation: "i", Slots: 400}))
	}
	require.Empty(t, f.sent[1], "requests to a release whose recorded phase is unknown")
	require.Len(t, f.sent[0], 1)
}

// The retry of a request that failed at the new release goes to the old one.
func TestRolloutRetry(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 1, 3, releaseFault{})
	f.play(time.Second, 100, 0)
	f.begin(0)
	f.play(2*time.Second, 100, 0)
	tries := make(map[string][]bool)
	b := f.boards[0]
	for n := range 400 {
		f.now = f.now.Add(time.Millisecond)
		id := fmt.Sprint("again-", n)
		actions := b.Arrive(f.now, Request{
			ID: id, Revision: 1, Pool: "s", Deadline: f.now.Add(4 * time.Second), QueueTime: time.Second, Repeatable: true, MaxTries: 2,
		})
		for len(actions) > 0 {
			send, ok := actions[0].(Send)
			actions = actions[1:]
			if !ok {
				continue
			}
			fresh := f.isNew(int(send.Attempt.Target.Addr().As4()[3]))
			tries[id] = append(tries[id], fresh)
			kind := OutcomeDone
			if fresh {
				kind = OutcomeRefused
			}
			actions = append(actions, b.Ended(f.now, Outcome{Request: send.Attempt.Request, Attempt: send.Attempt.ID, Kind: kind, Incarnation: "i"})...)
		}
	}
	again := 0
	for id, sides := range tries {
		if sides[0] && len(sides) > 1 {
			again++
			require.False(t, sides[1], id)
		}
	}
	require.NotZero(t, again)
}

// None of a thousand good releases is rolled back, whatever the usual rate of bad answers.
func TestRegressionDetectorFalseAlarms(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(3, 3))
	answers := func(n int, rate float64) (out Tally) {
		out.Answers = n
		for range n {
			if rng.Float64() < rate {
				out.Bad++
			}
		}
		return out
	}
	alarms, unsound := 0, 0
	for run := range 1000 {
		rate := []float64{0, 0.01, 0.05, 0.14, 0.3}[run%5]
		j := newRegressionDetector()
		var sum RolloutCounts
		for range 48 {
			sum = sum.plus(RolloutCounts{New: answers(10, rate), Old: answers(90, rate)})
			j.observe(sum)
		}
		if j.regressed() {
			alarms++
		}
		if !j.passed() {
			unsound++
		}
	}
	require.Zero(t, alarms, "good releases that were rolled back")
	require.LessOrEqual(t, unsound, 20, "good releases that did not pass in time")
}
