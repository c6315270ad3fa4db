package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The bound on the requests to a target that announces a limit: in each window, a multiple of what
// the limit allows plus a constant.
const (
	targetLimitWindow  = 4 * time.Second
	targetLimitOverage = 1.5
	targetLimitSlack   = 5
)

func targetLimitBound(limit float64) float64 {
	return targetLimitOverage*limit*targetLimitWindow.Seconds() + targetLimitSlack
}

// targetLimitFleet is the routers of one fleet and the targets of a service, of which the first
// announces a limit. Routers report four times a second, and receive the reports of two rounds ago,
// as over relays.
type targetLimitFleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	targets int
	// limit is the limit that the first target announces, or nil.
	limit *float64
	// limitSetAt is when it was set.
	limitSetAt time.Time
	boards     []*Board
	// side is the network partition that a router is in. frozen routers neither serve nor report.
	side   []int
	frozen map[int]bool
	// opts are the options of the routers. single is set if only the first router uses the first
	// target.
	opts    []Option
	single  bool
	reports lateReports
	asks    int
	// sent are the times of the requests to the first target, informed those from routers that knew
	// its limit.
	sent, informed []time.Time
	// pending are answers that have not arrived yet.
	pending []lateAnswer
}

// lateAnswer is an answer in flight.
type lateAnswer struct {
	at, sent time.Time
	router   int
	attempt  Attempt
	said     TargetHints
}

// answerTime is the time that a target takes for a request.
const answerTime = 50 * time.Millisecond

func newTargetLimitFleet(t *testing.T, n, targets int, seed uint64, changes ...func(f *targetLimitFleet)) *targetLimitFleet {
	f := &targetLimitFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), now: epoch, targets: targets,
		side: make([]int, n), frozen: make(map[int]bool), boards: make([]*Board, n),
	}
	for _, change := range changes {
		change(f)
	}
	for i := range n {
		f.start(i)
	}
	f.play(2*time.Second, 5)
	return f
}

// start restarts a router.
func (f *targetLimitFleet) start(i int) {
	b := NewBoard(append([]Option{WithSeed(f.rng.Uint64()), WithRouters(min(3, len(f.boards))), WithPartialPeerList()}, f.opts...)...)
	b.Adopt(f.now, testSetup{}.snapshot(f.t))
	var seen []ListedTarget
	for k := range f.targets {
		if f.single && k == 0 && i > 0 {
			continue
		}
		seen = append(seen, ListedTarget{Addr: testAddr(k), Labels: map[string]string{"s": "s"}})
	}
	b.SetTargets(f.now, seen)
	for k := range f.targets {
		b.Report(f.now, testAddr(k), Report{Incarnation: "i", Slots: 64})
	}
	f.boards[i] = b
}

// setLimit sets the limit that the first target announces from now on.
func (f *targetLimitFleet) setLimit(limit float64) { f.limit, f.limitSetAt = &limit, f.now }

// report delivers the reports of all routers.
func (f *targetLimitFleet) report() {
	if !f.reports.add(f.now, f.boards) {
		return
	}
	bySide := make(map[int][]PeerState)
	for i, s := range f.reports[0] {
		if !f.frozen[i] {
			bySide[f.side[i]] = append(bySide[f.side[i]], s)
		}
	}
	sums := make(map[int]PeerState)
	for side, states := range bySide {
		sums[side] = JoinStates(states)
	}
	for i, b := range f.boards {
		if f.frozen[i] {
			continue
		}
		sum := sums[f.side[i]]
		if f.single {
			// A router that alone uses the target shares the limit with no other.
			sum.Speaks = 1
		}
		if sum.Speaks < 2 {
			routers := len(f.boards)
			if f.single {
				routers = 1
			}
			b.MergePeers(f.now, nil, routers)
			continue
		}
		b.MergePeers(f.now, map[string]PeerState{"others": withoutOwn(sum, f.reports[0][i])}, len(f.boards))
	}
}

// withoutOwn returns a merged state without the part of one router.
func withoutOwn(sum, own PeerState) PeerState {
	out := PeerState{Speaks: sum.Speaks - 1, Counted: sum.Counted - 1}
	for _, w := range sum.Limits {
		for _, o := range own.Limits {
			if o.Target == w.Target {
				w.Asked, w.Used, w.Routers = w.Asked-o.Asked, w.Used-o.Used, w.Routers-o.Routers
				w.Level, w.Levels = w.Level-o.Level, w.Levels-o.Levels
			}
		}
		out.Limits = append(out.Limits, w)
	}
	return out
}

// play submits requests to the routers at a rate for a duration.
func (f *targetLimitFleet) play(d time.Duration, perSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		if f.now.Sub(epoch)%fleetReport == 0 {
			f.report()
		}
		f.answer()
		for n := poisson(f.rng, perSecond*fleetStep.Seconds()); n > 0; n-- {
			if i := f.rng.IntN(len(f.boards)); !f.frozen[i] {
				f.ask(i)
			}
		}
	}
}

// ask submits a request to a router, which sends it to a target.
func (f *targetLimitFleet) ask(i int) {
	f.asks++
	req := Request{ID: fmt.Sprint(f.asks), Revision: 1, Pool: "s", Deadline: f.now.Add(4 * time.Second), QueueTime: time.Second}
	f.take(i, f.boards[i].Arrive(f.now, req))
}

// take carries out a router's sends.
func (f *targetLimitFleet) take(i int, actions []Action) {
	for _, a := range actions {
		send, ok := a.(Send)
		if !ok {
			continue
		}
		late := lateAnswer{at: f.now.Add(answerTime), sent: f.now, router: i, attempt: send.Attempt}
		if send.Attempt.Target == testAddr(0) {
			f.sent = append(f.sent, f.now)
			if f.boards[i].targets[testAddr(0)].limit.named {
				f.informed = append(f.informed, f.now)
			}
			if f.limit != nil {
				late.said.Limit = LimitHint{Named: true, PerSecond: *f.limit}
			}
		}
		f.pending = append(f.pending, late)
	}
}

// answer delivers the answers that are due.
func (f *targetLimitFleet) answer() {
	for len(f.pending) > 0 && !f.pending[0].at.After(f.now) {
		l := f.pending[0]
		f.pending = f.pending[1:]
		b := f.boards[l.router]
		b.ApplyHints(f.now, TargetKey{l.attempt.Target, "i"}, l.sent, l.said)
		f.take(l.router, b.Ended(f.now, Outcome{Request: l.attempt.Request, Attempt: l.attempt.ID, Kind: OutcomeDone}))
	}
}

// maxSent returns the largest number of requests to the first target in one window that begins at
// from or later.
func (f *targetLimitFleet) maxSent(from time.Time) int { return maxInWindow(f.sent, from) }

// maxInWindow returns the largest number of times in one window that begins at from or later.
func maxInWindow(times []time.Time, from time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(times[first]) > targetLimitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// since returns the number of requests at from or later.
func (f *targetLimitFleet) since(from time.Time) int {
	n := 0
	for _, at := range f.sent {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// limitKnownDelay is the time after a target's first announcement from which its limit is enforced
// on the requests it gets.
const limitKnownDelay = 500 * time.Millisecond

// targetLimitScenarios are scenarios with more demand for a target than its limit allows. Each
// returns the limit in force at its end.
func targetLimitScenarios() map[string]func(f *targetLimitFleet, limit, perSecond float64) {
	return map[string]func(f *targetLimitFleet, limit, perSecond float64){
		"announced under load": func(f *targetLimitFleet, limit, perSecond float64) {
			f.play(4*time.Second, perSecond)
			f.setLimit(limit)
			f.play(20*time.Second, perSecond)
		},
		"load after an idle time": func(f *targetLimitFleet, limit, perSecond float64) {
			f.setLimit(limit)
			f.play(10*time.Second, 2)
			f.play(15*time.Second, perSecond)
		},
		"a third restart": func(f *targetLimitFleet, limit, perSecond float64) {
			f.setLimit(limit)
			f.play(8*time.Second, perSecond)
			for i := 0; i < len(f.boards); i += 3 {
				f.start(i)
			}
			f.play(10*time.Second, perSecond)
		},
		"one after the other restarts": func(f *targetLimitFleet, limit, perSecond float64) {
			f.setLimit(limit)
			f.play(5*time.Second, perSecond)
			for i := range min(20, len(f.boards)) {
				f.start(i)
				f.play(300*time.Millisecond, perSecond)
			}
		},
		"a sixth is cut off": func(f *targetLimitFleet, limit, perSecond float64) {
			f.setLimit(limit)
			f.play(8*time.Second, perSecond)
			for i := range f.side {
				f.side[i] = cutOff(i, 6)
			}
			f.play(10*time.Second, perSecond)
		},
	}
}

// testTargetLimits returns the limits to test, in requests per second. The largest fleet is tested
// with one limit, to bound the duration of the test.
func testTargetLimits(routers int) []float64 {
	if routers > 100 {
		return []float64{2}
	}
	return []float64{0.5, 2, 10}
}

// A target that announces a limit never gets more than the limit allows in any window over all
// routers together, however few requests per second that is for each router, and nearly as much if
// the demand exceeds it.
func TestTargetLimitBound(t *testing.T) {
	t.Parallel()
	for name, play := range targetLimitScenarios() {
		for _, n := range fleetSizes(1, 8, 90, 390) {
			for _, limit := range testTargetLimits(n) {
				t.Run(fmt.Sprintf("%s/%d routers/%g", name, n, limit), func(t *testing.T) {
					t.Parallel()
					f := newTargetLimitFleet(t, n, 4, 1)
					// Each of the four targets would get three times the limit.
					play(f, limit, 4*3*limit)
					most := f.maxSent(f.limitSetAt.Add(limitKnownDelay))
					used := float64(f.since(f.now.Add(-8*time.Second))) / (8 * limit)
					t.Logf("%d in one window, allowed %.0f; %.2f of the limit used at the end", most, targetLimitBound(limit), used)
					require.LessOrEqual(t, float64(most), targetLimitBound(limit))
				})
			}
		}
	}
}

// surge starts a load of 15 times the limit at once, after a time without demand, at a target whose
// limit all routers know.
func surge(t *testing.T, routers int, limit float64) {
	f := newTargetLimitFleet(t, routers, 4, 1)
	f.setLimit(limit)
	f.play(4*time.Second, 4*3*limit)
	f.play(10*time.Second, 0)
	f.play(3*time.Second, 4*15*limit)
	f.play(5*time.Second, 4*3*limit)
	most := f.maxSent(f.limitSetAt.Add(limitKnownDelay))
	t.Logf("%d in one window, allowed %.0f", most, targetLimitBound(limit))
	require.LessOrEqual(t, float64(most), targetLimitBound(limit))
}

// Routers that cannot yet know the demand at the others must not each treat the limit as unused,
// however many routers there are.
func TestTargetLimitSurge(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes(1, 4, 8, 12, 90, 390) {
		for _, limit := range testTargetLimits(n) {
			t.Run(fmt.Sprintf("%d routers/%g", n, limit), func(t *testing.T) { surge(t, n, limit) })
		}
	}
}

// usedRequests is the number of requests that a limit allows in the time over which its usage is
// measured.
const usedRequests = 80

// At least four fifths of a target's limit are used while the demand exceeds it.
func TestTargetLimitUsed(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes(1, 8, 90, 390) {
		for _, limit := range testTargetLimits(n) {
			t.Run(fmt.Sprintf("%d routers/%g", n, limit), func(t *testing.T) {
				t.Parallel()
				f := newTargetLimitFleet(t, n, 4, 2)
				f.setLimit(limit)
				f.play(10*time.Second, 4*3*limit)
				begun, play := f.now, time.Duration(usedRequests/limit*float64(time.Second))
				f.play(play, 4*3*limit)
				used := float64(f.since(begun)) / usedRequests
				t.Logf("%.2f of the limit used, %d in one window, allowed %.0f", used, f.maxSent(begun), targetLimitBound(limit))
				require.GreaterOrEqual(t, used, 0.8)
			})
		}
	}
}

// A raised, lowered or removed limit is known to all routers once one of them received it. An
// answer to a request that was sent before the limit became known does not remove it.
func TestTargetLimitChanges(t *testing.T) {
	t.Parallel()
	f := newTargetLimitFleet(t, 8, 4, 3)
	knows := func(limit float64) {
		t.Helper()
		for i, b := range f.boards {
			l := b.targets[testAddr(0)].limit
			require.True(t, l.named && l.perSecond == limit || !l.named && limit == 0, "router %d knows %+v, not %g", i, l, limit)
		}
	}
	for _, limit := range []float64{2, 1, 4} {
		f.setLimit(limit)
		f.play(6*time.Second, 40)
		knows(limit)
	}
	before := f.now.Add(-10 * time.Second)
	f.boards[0].ApplyHints(f.now, TargetKey{testAddr(0), "i"}, before, TargetHints{})
	f.boards[1].ApplyHints(f.now, TargetKey{testAddr(0), "other"}, f.now, TargetHints{})
	f.boards[2].ApplyHints(f.now, TargetKey{testAddr(0), "i"}, f.now, TargetHints{Limit: LimitHint{Invalid: true}})
	f.play(time.Second, 0)
	knows(4)
	f.limit = nil
	f.play(6*time.Second, 40)
	knows(0)
	begun := f.now
	f.play(8*time.Second, 40)
	require.Greater(t, f.since(begun), 60, "requests once the limit has ended, instead of about 30")
}

// A limit ends with the incarnation that announced it.
func TestTargetLimitEndsWithIncarnation(t *testing.T) {
	t.Parallel()
	f := newTargetLimitFleet(t, 1, 4, 4)
	b := f.boards[0]
	b.ApplyHints(f.now, TargetKey{testAddr(0), "i"}, f.now, TargetHints{Limit: LimitHint{Named: true, PerSecond: 2}})
	require.True(t, b.targets[testAddr(0)].limit.named)
	b.Report(f.now, testAddr(0), Report{Incarnation: "next", Slots: 64})
	require.False(t, b.targets[testAddr(0)].limit.named)
	b.MergePeers(f.now, map[string]PeerState{"p": {Limits: []LimitUpdate{{Target: TargetKey{testAddr(0), "i"}, Seq: 9, Named: true, PerSecond: 2}}}}, 2)
	require.False(t, b.targets[testAddr(0)].limit.named, "what others reported about the previous incarnation does not apply")
}

// If the only target of a pool is at its limit, requests wait for it and are checked repeatedly.
// The repeated checks give none of them a further chance, and the usage is the same as with a
// single check.
func TestTargetLimitAlone(t *testing.T) {
	t.Parallel()
	for _, limit := range []float64{2, 10} {
		f := newTargetLimitFleet(t, 3, 1, 5)
		f.setLimit(limit)
		begun := f.now
		for range 3000 {
			f.play(2*fleetStep, 3*limit)
			for i, b := range f.boards {
				f.take(i, b.Tick(f.now))
			}
		}
		used := float64(f.since(begun)) / (f.now.Sub(begun).Seconds() * limit)
		t.Logf("%.2f of the limit used, %d in one window, allowed %.0f", used, f.maxSent(begun.Add(limitKnownDelay)), targetLimitBound(limit))
		require.GreaterOrEqual(t, used, 0.8)
		require.LessOrEqual(t, float64(f.maxSent(begun.Add(limitKnownDelay))), targetLimitBound(limit))
	}
}

// A limit is enforced in any sequence of restarts, partitions and freezes of routers, singly or
// many at once, under any load. A restarted router that has not received the limit yet cannot
// enforce it; what it sends until then does not count.
func TestTargetLimitFuzz(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "routers")
		limit := rapid.Float64Range(0.2, 8).Draw(rt, "limit")
		f := newTargetLimitFleet(t, n, 3, rapid.Uint64().Draw(rt, "seed"))
		f.setLimit(limit)
		pick := func() int { return rapid.IntRange(0, n-1).Draw(rt, "router") }
		for range rapid.IntRange(1, 10).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"start", "start many", "cut", "part", "heal", "freeze", "wake", "play"}).Draw(rt, "step") {
			case "start":
				f.start(pick())
			case "start many":
				for i := pick(); i >= 0; i-- {
					f.start(i)
				}
			case "cut":
				i := pick()
				f.side[i] = i + 1
			case "part":
				for i := range f.side {
					f.side[i] = i % 2
				}
			case "heal":
				clear(f.side)
			case "freeze":
				f.frozen[pick()] = true
			case "wake":
				clear(f.frozen)
			case "play":
			}
			load := rapid.Float64Range(0, 8).Draw(rt, "load")
			f.play(time.Duration(rapid.IntRange(100, 4000).Draw(rt, "ms"))*time.Millisecond, 3*load*limit)
		}
		if most := maxInWindow(f.informed, f.limitSetAt); float64(most) > targetLimitBound(limit) {
			rt.Fatalf("%d in one window, allowed %.1f", most, targetLimitBound(limit))
		}
	})
}

// Compares strategies on the same scenario: the share of the limit that is used, and the largest
// number of requests in one window. With equal shares even a small limit gets used, by chance, but
// no router can use what another leaves unused. With one router per target only the demand at that
// router is used.
func TestTargetLimitStrategies(t *testing.T) {
	t.Parallel()
	strategies := map[string]func(f *targetLimitFleet){
		"shared bucket": func(*targetLimitFleet) {},
		"equal shares":  func(f *targetLimitFleet) { f.opts = []Option{WithoutMechanisms(LimitAccount)} },
		"one router":    func(f *targetLimitFleet) { f.single = true },
	}
	for name, strategy := range strategies {
		for _, n := range fleetSizes(6, 90) {
			for _, limit := range []float64{2, 10} {
				f := newTargetLimitFleet(t, n, 4, 7, strategy)
				f.setLimit(limit)
				f.play(5*time.Second, 12*limit)
				begun, play := f.now, time.Duration(usedRequests/limit*float64(time.Second))
				f.play(play, 12*limit)
				used := float64(f.since(begun)) / usedRequests
				t.Logf("%s, %d routers, limit %g: %.2f used, %d of %.0f in one window", name, n, limit, used, f.maxSent(begun), targetLimitBound(limit))
				if name == "shared bucket" {
					require.GreaterOrEqual(t, used, 0.8)
				}
			}
		}
	}
}
