package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The bound on what a target that names a limit gets: in each such window so many times what the
// limit allows, and some more.
const (
	targetLimitWindow  = 4 * time.Second
	targetLimitOverage = 1.5
	namedMore          = 5
)

func targetLimitBound(limit float64) float64 {
	return targetLimitOverage*limit*targetLimitWindow.Seconds() + namedMore
}

// targetLimitFleet is the routers of one fleet before some targets of a service, of which the first
// names a limit. They report four times a second and hear of the others what these said two
// reports before, as over relays.
type targetLimitFleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	targets int
	// limit is what the first target names, nil for none.
	limit *float64
	// limitSetAt is when it began to.
	limitSetAt time.Time
	boards     []*Board
	// side is the part of the fleet that a router reaches; frozen ones neither serve nor report.
	side   []int
	frozen map[int]bool
	// opts are those of the routers, single says that the first router alone uses the first target.
	opts   []Option
	single bool
	told   lateReports
	asks   int
	// sent are the times at which requests came to the first target, knowing those from routers that knew its limit.
	sent, knowing []time.Time
	// late are answers that are yet to come.
	late []lateAnswer
}

// lateAnswer is an answer under way.
type lateAnswer struct {
	at, sent time.Time
	router   int
	attempt  Attempt
	said     TargetHints
}

// answerTime is how long a request takes at a target.
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

// start starts a router anew.
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

// setLimit has the first target name a limit from now on.
func (f *targetLimitFleet) setLimit(limit float64) { f.limit, f.limitSetAt = &limit, f.now }

// report lets all routers hear of each other.
func (f *targetLimitFleet) report() {
	if !f.told.add(f.now, f.boards) {
		return
	}
	bySide := make(map[int][]PeerState)
	for i, s := range f.told[0] {
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
			// One that alone uses the target shares its limit with nobody.
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
		b.MergePeers(f.now, map[string]PeerState{"others": withoutOwn(sum, f.told[0][i])}, len(f.boards))
	}
}

// withoutOwn is a joined state less what one router told.
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

// play has so many requests a second come to the routers for a time.
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

// ask sends a request to a router, and on to the target that it chooses.
func (f *targetLimitFleet) ask(i int) {
	f.asks++
	req := Request{ID: fmt.Sprint(f.asks), Revision: 1, Pool: "s", Deadline: f.now.Add(4 * time.Second), QueueTime: time.Second}
	f.take(i, f.boards[i].Arrive(f.now, req))
}

// take plays a router's sends.
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
				f.knowing = append(f.knowing, f.now)
			}
			if f.limit != nil {
				late.said.Limit = LimitHint{Named: true, PerSecond: *f.limit}
			}
		}
		f.late = append(f.late, late)
	}
}

// answer plays the answers that come now.
func (f *targetLimitFleet) answer() {
	for len(f.late) > 0 && !f.late[0].at.After(f.now) {
		l := f.late[0]
		f.late = f.late[1:]
		b := f.boards[l.router]
		b.ApplyHints(f.now, TargetKey{l.attempt.Target, "i"}, l.sent, l.said)
		f.take(l.router, b.Ended(f.now, Outcome{Request: l.attempt.Request, Attempt: l.attempt.ID, Kind: OutcomeDone}))
	}
}

// maxSent returns the most requests that came to the first target in one window that begins from a time on.
func (f *targetLimitFleet) maxSent(from time.Time) int { return maxInWindow(f.sent, from) }

// maxInWindow returns the most times in one window that begins from a time on.
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

// since returns how many came from a time on.
func (f *targetLimitFleet) since(from time.Time) int {
	n := 0
	for _, at := range f.sent {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// told is how long after its first word a target's limit is held against what it gets.
const toldTime = 500 * time.Millisecond

// targetLimitScenarios are histories of a fleet in which a target gets more than the limit that it names, and
// the limit that holds at their end.
func targetLimitScenarios() map[string]func(f *targetLimitFleet, limit, perSecond float64) {
	return map[string]func(f *targetLimitFleet, limit, perSecond float64){
		"named under load": func(f *targetLimitFleet, limit, perSecond float64) {
			f.play(4*time.Second, perSecond)
			f.setLimit(limit)
			f.play(20*time.Second, perSecond)
		},
		"load comes after a rest": func(f *targetLimitFleet, limit, perSecond float64) {
			f.setLimit(limit)
			f.play(10*time.Second, 2)
			f.play(15*time.Second, perSecond)
		},
		"a third start again": func(f *targetLimitFleet, limit, perSecond float64) {
			f.setLimit(limit)
			f.play(8*time.Second, perSecond)
			for i := 0; i < len(f.boards); i += 3 {
				f.start(i)
			}
			f.play(10*time.Second, perSecond)
		},
		"one after the other starts again": func(f *targetLimitFleet, limit, perSecond float64) {
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

// testTargetLimits are the limits that fleets are played with, in requests a second; the largest fleet
// with one, for the time that it takes.
func testTargetLimits(routers int) []float64 {
	if routers > 100 {
		return []float64{2}
	}
	return []float64{0.5, 2, 10}
}

// A target that names a limit gets no more than it allows in any window, over all routers together
// and however few requests a second that is for each, and nearly as much where more is asked.
func TestTargetLimitBound(t *testing.T) {
	for name, play := range targetLimitScenarios() {
		for _, n := range []int{1, 8, 90, 390} {
			for _, limit := range testTargetLimits(n) {
				t.Run(fmt.Sprintf("%s/%d routers/%g", name, n, limit), func(t *testing.T) {
					t.Parallel()
					f := newTargetLimitFleet(t, n, 4, 1)
					// Each of the four targets would get three times the limit.
					play(f, limit, 4*3*limit)
					most := f.maxSent(f.limitSetAt.Add(toldTime))
					used := float64(f.since(f.now.Add(-8*time.Second))) / (8 * limit)
					t.Logf("%d in one window, allowed %.0f; %.2f of the limit used at the end", most, targetLimitBound(limit), used)
					require.LessOrEqual(t, float64(most), targetLimitBound(limit))
				})
			}
		}
	}
}

// surge has a load of 15 times the limit come at once to a target that names it, as all know, after a rest in
// which nobody asked for anything.
func surge(t *testing.T, routers int, limit float64) {
	f := newTargetLimitFleet(t, routers, 4, 1)
	f.setLimit(limit)
	f.play(4*time.Second, 4*3*limit)
	f.play(10*time.Second, 0)
	f.play(3*time.Second, 4*15*limit)
	f.play(5*time.Second, 4*3*limit)
	most := f.maxSent(f.limitSetAt.Add(toldTime))
	t.Logf("%d in one window, allowed %.0f", most, targetLimitBound(limit))
	require.LessOrEqual(t, float64(most), targetLimitBound(limit))
}

// Routers that cannot know yet what the others are asked do not each take a limit for unused, however many they are.
func TestTargetLimitSurge(t *testing.T) {
	for _, n := range []int{1, 4, 8, 12, 90, 390} {
		for _, limit := range testTargetLimits(n) {
			t.Run(fmt.Sprintf("%d routers/%g", n, limit), func(t *testing.T) { surge(t, n, limit) })
		}
	}
}

// usedRequests is how many requests a limit allows in the time over which its use is measured.
const usedRequests = 80

// What a target takes under its limit is used to four fifths at the least, while more is asked.
func TestTargetLimitUsed(t *testing.T) {
	for _, n := range []int{1, 8, 90, 390} {
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

// A limit that is raised, lowered or ended is known to all routers once one of them was told, and
// an answer to a request from before the limit was heard of does not end it.
func TestTargetLimitChanges(t *testing.T) {
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
	require.Greater(t, f.since(begun), 60, "requests once the limit has ended, in place of some 30")
}

// A limit ends with the incarnation that named it.
func TestTargetLimitEndsWithIncarnation(t *testing.T) {
	f := newTargetLimitFleet(t, 1, 4, 4)
	b := f.boards[0]
	b.ApplyHints(f.now, TargetKey{testAddr(0), "i"}, f.now, TargetHints{Limit: LimitHint{Named: true, PerSecond: 2}})
	require.True(t, b.targets[testAddr(0)].limit.named)
	b.Report(f.now, testAddr(0), Report{Incarnation: "next", Slots: 64})
	require.False(t, b.targets[testAddr(0)].limit.named)
	b.MergePeers(f.now, map[string]PeerState{"p": {Limits: []LimitUpdate{{Target: TargetKey{testAddr(0), "i"}, Seq: 9, Named: true, PerSecond: 2}}}}, 2)
	require.False(t, b.targets[testAddr(0)].limit.named, "what others told of the one before says nothing of this one")
}

// Where a pool's only target is at its limit, requests wait for it and are looked at again and again: none
// has a second try by that, and the limit is used as if each were looked at once.
func TestTargetLimitAlone(t *testing.T) {
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
		t.Logf("%.2f of the limit used, %d in one window, allowed %.0f", used, f.maxSent(begun.Add(toldTime)), targetLimitBound(limit))
		require.GreaterOrEqual(t, used, 0.8)
		require.LessOrEqual(t, float64(f.maxSent(begun.Add(toldTime))), targetLimitBound(limit))
	}
}

// A limit is kept over any history of a fleet: routers that start anew, are cut off, freeze and wake, singly and
// many at once, under any load. One that was started anew and has not heard of the limit yet cannot keep it; what
// it sends meanwhile is not counted.
func TestTargetLimitFuzz(t *testing.T) {
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
		if most := maxInWindow(f.knowing, f.limitSetAt); float64(most) > targetLimitBound(limit) {
			rt.Fatalf("%d in one window, allowed %.1f", most, targetLimitBound(limit))
		}
	})
}

// The ways that were weighed, on the same history: how much of the limit is used, and the most in one window.
// Equal parts use a small limit too, by chance, but what one router is not asked for no other takes; one
// router for each target uses no more than what comes to it.
func TestTargetLimitStrategies(t *testing.T) {
	ways := map[string]func(f *targetLimitFleet){
		"one account": func(*targetLimitFleet) {},
		"equal parts": func(f *targetLimitFleet) { f.opts = []Option{WithoutMechanisms(LimitAccount)} },
		"one router":  func(f *targetLimitFleet) { f.single = true },
	}
	for name, way := range ways {
		for _, n := range []int{6, 90} {
			for _, limit := range []float64{2, 10} {
				f := newTargetLimitFleet(t, n, 4, 7, way)
				f.setLimit(limit)
				f.play(5*time.Second, 12*limit)
				begun, play := f.now, time.Duration(usedRequests/limit*float64(time.Second))
				f.play(play, 12*limit)
				used := float64(f.since(begun)) / usedRequests
				t.Logf("%s, %d routers, limit %g: %.2f used, %d of %.0f in one window", name, n, limit, used, f.maxSent(begun), targetLimitBound(limit))
				if name == "one account" {
					require.GreaterOrEqual(t, used, 0.8)
				}
			}
		}
	}
}
