package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
)

// brittleTarget is a simulated target that fails if it has to reject too many requests.
type brittleTarget struct {
	slots, queue int
	service      time.Duration
	running      []brittleCall
	waiting      []brittleCall
	rejected     []time.Time
	life         int
	downUntil    time.Time
	falls        int
}

// brittleCall is a request at a target, which ends at a time.
type brittleCall struct {
	router  int
	attempt Attempt
	sent    time.Time
	ends    time.Time
}

// brittleReply is an outcome on its way to a router.
type brittleReply struct {
	at     time.Time
	router int
	key    TargetKey
	sent   time.Time
	out    Outcome
}

// brittleFleet is the routers of a fleet and the targets of a service, which at a time all announce
// that they are brittle and later let fewer requests wait.
type brittleFleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	boards  []*Board
	weights []float64
	targets []*brittleTarget
	// bearable is the number of rejections per second that a target survives; zero means that none is
	// brittle.
	bearable int
	large    bool
	reports  lateReports
	replies  []brittleReply
	learns   []brittleLearn
	asks     int
	served   int
	// servedBy is the number of requests served in the surge, by router.
	servedBy   []int
	rejections int
	opts       []Option
	// alone are the routers that receive nothing from others, nor others from them.
	alone map[int]bool
}

// brittleLearn is when a router learns of a target's new incarnation.
type brittleLearn struct {
	at             time.Time
	router, target int
}

// Times of the simulated targets.
const (
	brittleDelay   = 10 * time.Millisecond
	brittleDown    = 3 * time.Second
	brittleListLag = 500 * time.Millisecond
	brittleContact = 4 * time.Second
)

func newBrittleFleet(t *testing.T, routers, targets int, seed uint64, opts ...Option) *brittleFleet {
	f := &brittleFleet{t: t, rng: rand.New(rand.NewPCG(seed, seed)), now: epoch, large: routers > 12, opts: opts}
	for range targets {
		f.targets = append(f.targets, &brittleTarget{
			slots: 3 + f.rng.IntN(6), queue: 4 + f.rng.IntN(4), service: time.Duration(200+f.rng.IntN(300)) * time.Millisecond,
		})
	}
	total := 0.0
	for range routers {
		w := 0.5 + f.rng.Float64()
		f.weights, total = append(f.weights, w), total+w
	}
	for i := range f.weights {
		f.weights[i] /= total
	}
	f.boards, f.servedBy = make([]*Board, routers), make([]int, routers)
	for i := range routers {
		f.start(i)
	}
	return f
}

func (f *brittleFleet) incarnation(k int) Incarnation {
	return Incarnation(fmt.Sprintf("i%d", f.targets[k].life))
}

// start restarts a router.
func (f *brittleFleet) start(i int) {
	b := NewBoard(append([]Option{
		WithSeed(f.rng.Uint64()), WithRouters(min(3, len(f.boards))), WithPartialPeerList(),
		WithTargetNotices(fmt.Sprintf("n%d", i), nil),
	}, f.opts...)...)
	b.Adopt(f.now, brittleSnapshot(f.t))
	var seen []ListedTarget
	for k := range f.targets {
		seen = append(seen, ListedTarget{Addr: testAddr(k), Labels: map[string]string{"s": "s"}})
	}
	b.SetTargets(f.now, seen)
	for k, g := range f.targets {
		b.Report(f.now, testAddr(k), Report{Incarnation: f.incarnation(k), Slots: g.slots})
	}
	f.boards[i] = b
}

// restart restarts a router. Its requests at targets end, since its connections are closed.
func (f *brittleFleet) restart(i int) {
	of := func(c brittleCall) bool { return c.router == i }
	for _, g := range f.targets {
		g.running, g.waiting = slices.DeleteFunc(g.running, of), slices.DeleteFunc(g.waiting, of)
	}
	f.replies = slices.DeleteFunc(f.replies, func(r brittleReply) bool { return r.router == i })
	f.start(i)
}

// brittleSnapshot is the configuration of the tests with a service that has no stated window.
func brittleSnapshot(t require.TestingT) *policy.Snapshot {
	text := strings.Replace(fmt.Sprintf(testConfig, 0.0, 0, 3, true, "w1"), "window: 4, ", "", 1)
	cfg, err := policy.Parse("test", []byte(text))
	require.NoError(t, err)
	snap, err := policy.Compile(cfg, 1)
	require.NoError(t, err)
	return snap
}

// capacity returns the requests per second that the targets can serve.
func (f *brittleFleet) capacity() float64 {
	sum := 0.0
	for _, g := range f.targets {
		sum += float64(g.slots) / g.service.Seconds()
	}
	return sum
}

// falls returns how often targets failed.
func (f *brittleFleet) falls() int {
	n := 0
	for _, g := range f.targets {
		n += g.falls
	}
	return n
}

// play submits requests at a rate for a duration.
func (f *brittleFleet) play(d time.Duration, perSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		if f.now.Sub(epoch)%fleetReport == 0 {
			f.report()
		}
		f.step()
		for i, w := range f.weights {
			for n := poisson(f.rng, perSecond*w*fleetStep.Seconds()); n > 0; n-- {
				f.asks++
				req := Request{
					ID: fmt.Sprint(f.asks), Revision: 1, Pool: "s", Deadline: f.now.Add(3 * time.Second), QueueTime: time.Second,
					Repeatable: true, MaxTries: 3,
				}
				f.take(i, f.boards[i].Arrive(f.now, req))
			}
			if f.now.Sub(epoch)%(2*fleetStep) == 0 {
				f.take(i, f.boards[i].Tick(f.now))
			}
		}
	}
}

// report delivers the reports of all routers: each by itself in a small fleet, merged in a large one.
func (f *brittleFleet) report() {
	if !f.reports.add(f.now, f.boards) {
		return
	}
	states := f.reports[0]
	sum := JoinStates(states)
	for i, b := range f.boards {
		if f.alone[i] {
			b.SetPosition(Position{Of: 1})
			f.take(i, b.MergePeers(f.now, nil, len(f.boards)))
			continue
		}
		others := make(map[string]PeerState)
		if f.large {
			b.SetPosition(Position{Index: i, Of: len(f.boards)})
			others["others"] = withoutOwnBrittle(sum, states[i])
		} else {
			for k, s := range states {
				if k != i && !f.alone[k] {
					others[fmt.Sprintf("n%d", k)] = s
				}
			}
		}
		f.take(i, b.MergePeers(f.now, others, len(f.boards)))
	}
}

// withoutOwnBrittle returns the part of a merged state that matters here without that of one router.
func withoutOwnBrittle(sum, own PeerState) PeerState {
	out := PeerState{Speaks: sum.Speaks - 1, Counted: sum.Counted - 1}
	for _, u := range sum.Brittle {
		for _, o := range own.Brittle {
			if o.Target == u.Target {
				u.Rejected -= o.Rejected
			}
		}
		out.Brittle = append(out.Brittle, u)
	}
	for _, l := range sum.Loads {
		for _, o := range own.Loads {
			if o.Target == l.Target {
				l.InFlight -= o.InFlight
			}
		}
		out.Loads = append(out.Loads, l)
	}
	return out
}

// take carries out a router's sends.
func (f *brittleFleet) take(i int, actions []Action) {
	for _, a := range actions {
		if send, ok := a.(Send); ok {
			f.arrive(brittleCall{router: i, attempt: send.Attempt, sent: f.now})
		}
	}
}

// arrive lets a request arrive at its target.
func (f *brittleFleet) arrive(c brittleCall) {
	k := int(c.attempt.Target.Addr().As4()[2])<<8 | int(c.attempt.Target.Addr().As4()[3])
	g := f.targets[k]
	switch {
	case f.now.Before(g.downUntil):
		f.reply(c, k, Outcome{Kind: OutcomeUnsent, Detail: "connection refused"})
	case c.attempt.Incarnation != f.incarnation(k):
		f.reply(c, k, Outcome{Kind: OutcomeRefused, Incarnation: f.incarnation(k), Detail: "another incarnation"})
	case len(g.running) < g.slots:
		f.run(g, c)
	case len(g.waiting) < g.queue:
		g.waiting = append(g.waiting, c)
	default:
		f.reject(g, k, c)
	}
}

func (f *brittleFleet) run(g *brittleTarget, c brittleCall) {
	c.ends = f.now.Add(time.Duration((0.5 + f.rng.Float64()) * float64(g.service)))
	g.running = append(g.running, c)
}

// reject rejects a request because the target is full, which may be more than the target can bear.
func (f *brittleFleet) reject(g *brittleTarget, k int, c brittleCall) {
	f.rejections++
	f.reply(c, k, Outcome{Kind: OutcomeRefused, Unavailable: true, Detail: "full"})
	g.rejected = slices.DeleteFunc(g.rejected, func(at time.Time) bool { return f.now.Sub(at) >= time.Second })
	g.rejected = append(g.rejected, f.now)
	if f.bearable == 0 || len(g.rejected) <= f.bearable {
		return
	}
	g.falls++
	for _, c := range append(g.running, g.waiting...) {
		f.reply(c, k, Outcome{Kind: OutcomeBroken, Closed: true, Detail: "reset"})
	}
	g.running, g.waiting, g.rejected = nil, nil, nil
	g.downUntil = f.now.Add(brittleDown)
	g.life++
	for i := range f.boards {
		lag := time.Duration(f.rng.Int64N(int64(brittleListLag)))
		f.learns = append(f.learns, brittleLearn{g.downUntil.Add(lag), i, k})
	}
}

func (f *brittleFleet) reply(c brittleCall, k int, out Outcome) {
	out.Request, out.Attempt = c.attempt.Request, c.attempt.ID
	f.replies = append(f.replies, brittleReply{f.now.Add(brittleDelay), c.router, TargetKey{c.attempt.Target, f.incarnation(k)}, c.sent, out})
}

// step ends what is done at the targets, starts what waits there and delivers what is due.
func (f *brittleFleet) step() {
	for k, g := range f.targets {
		g.running = slices.DeleteFunc(g.running, func(c brittleCall) bool {
			if c.ends.After(f.now) {
				return false
			}
			f.served++
			f.servedBy[c.router]++
			f.reply(c, k, Outcome{Kind: OutcomeDone})
			return true
		})
		for len(g.waiting) > 0 && len(g.running) < g.slots {
			c := g.waiting[0]
			g.waiting = g.waiting[1:]
			f.run(g, c)
		}
	}
	f.learns = slices.DeleteFunc(f.learns, func(l brittleLearn) bool {
		if l.at.After(f.now) {
			return false
		}
		f.take(l.router, f.boards[l.router].Report(f.now, testAddr(l.target), Report{Incarnation: f.incarnation(l.target), Slots: f.targets[l.target].slots}))
		return true
	})
	due := f.replies
	f.replies = nil
	for n, r := range due {
		if r.at.After(f.now) {
			f.replies = append(due[n:len(due):len(due)], f.replies...)
			break
		}
		b, hints := f.boards[r.router], TargetHints{}
		if f.bearable > 0 {
			hints.Brittle = BrittleHint{Named: true, MaxRejected: float64(f.bearable)}
		}
		if r.out.Kind == OutcomeDone || r.out.Kind == OutcomeRefused {
			b.ApplyHints(f.now, r.key, r.sent, hints)
		}
		f.take(r.router, b.Ended(f.now, r.out))
	}
}

// shrink lets the targets let fewer requests wait.
func (f *brittleFleet) shrink(queue int) {
	for _, g := range f.targets {
		g.queue = min(g.queue, queue)
	}
}

// surge announces brittleness under little load, lets the targets shrink their queues after the
// contact time, and plays a surge of twice the capacity, during which event happens. It returns the
// part of the capacity that was served in the surge.
func (f *brittleFleet) surge(bearable, queue int, event func(f *brittleFleet)) float64 {
	f.play(3*time.Second, 0.4*f.capacity())
	f.bearable = bearable
	f.play(brittleContact, 0.4*f.capacity())
	f.shrink(queue)
	f.play(2*time.Second, 0.4*f.capacity())
	const part = 5 * time.Second
	before := f.served
	clear(f.servedBy)
	f.play(part, 2*f.capacity())
	if event != nil {
		event(f)
	}
	f.play(2*part, 2*f.capacity())
	return float64(f.served-before) / (3 * part.Seconds() * f.capacity())
}

// allowedFalls returns how often the targets may fail in one time of brittleness.
func (f *brittleFleet) allowedFalls() int { return 2 + len(f.targets)/10 }

// Guards against targets that say that they are brittle and fall over since all routers together send
// them more than they have room for: they fall no more often than 2 + a tenth of their number, and at
// least 0.8 of what they can serve is served.
func TestBrittleTargets(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		routers, targets, bearable, queue int
		seeds                             uint64
	}{
		"6 routers":                 {6, 20, 5, 2, 3},
		"6 routers, no queue":       {6, 20, 5, 0, 3},
		"6 routers, one rejection":  {6, 20, 1, 0, 3},
		"84 routers":                {84, 40, 5, 2, 1},
		"84 routers, no queue":      {84, 40, 5, 0, 1},
		"84 routers, one rejection": {84, 40, 1, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			skipLargeFleet(t, c.routers)
			for seed := range c.seeds {
				f := newBrittleFleet(t, c.routers, c.targets, seed+1)
				served := f.surge(c.bearable, c.queue, nil)
				t.Logf("seed %d: %.2f of the capacity served, %d rejections, %d falls of %d allowed", seed+1, served, f.rejections, f.falls(), f.allowedFalls())
				require.LessOrEqual(t, f.falls(), f.allowedFalls())
				require.GreaterOrEqual(t, served, 0.8)
			}
		})
	}
}

// Without the division of their slots, the targets fall more often than allowed.
func TestBrittleTargetsUndivided(t *testing.T) {
	t.Parallel()
	for routers, targets := range map[int]int{6: 20, 84: 40} {
		for _, queue := range []int{2, 0} {
			t.Run(fmt.Sprintf("%d routers, queue %d", routers, queue), func(t *testing.T) {
				t.Parallel()
				skipLargeFleet(t, routers)
				f := newBrittleFleet(t, routers, targets, 1, WithoutMechanisms(BrittleTargets))
				served := f.surge(5, queue, nil)
				t.Logf("%.2f of the capacity served, %d rejections, %d falls of %d allowed", served, f.rejections, f.falls(), f.allowedFalls())
				require.Greater(t, f.falls(), f.allowedFalls())
			})
		}
	}
}

// With fewer slots than routers, no router is left without any answer for half a minute, and the
// targets do not fall.
func TestBrittleTargetsFewSlots(t *testing.T) {
	t.Parallel()
	for _, bearable := range []int{1, 3} {
		t.Run(fmt.Sprint(bearable), func(t *testing.T) {
			t.Parallel()
			skipLargeFleet(t, 84)
			f := newBrittleFleet(t, 84, 10, 1)
			served := f.surge(bearable, 0, nil)
			f.play(15*time.Second, 2*f.capacity())
			unserved := 0
			for _, n := range f.servedBy {
				if n == 0 {
					unserved++
				}
			}
			t.Logf("%.2f of the capacity served, %d rejections, %d falls of %d allowed, %d routers unserved", served, f.rejections, f.falls(), f.allowedFalls(), unserved)
			require.LessOrEqual(t, f.falls(), f.allowedFalls())
			require.GreaterOrEqual(t, served, 0.8)
			require.Zero(t, unserved)
		})
	}
}

// Restarts of routers during a surge, one or a third of them at once, let few targets fall.
func TestBrittleTargetsRestart(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ routers, targets, every int }{
		"one of 6":      {6, 20, 6},
		"a third of 6":  {6, 20, 3},
		"one of 84":     {84, 40, 84},
		"a third of 84": {84, 40, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			skipLargeFleet(t, c.routers)
			f := newBrittleFleet(t, c.routers, c.targets, 1)
			served := f.surge(5, 0, func(f *brittleFleet) {
				for i := 0; i < len(f.boards); i += c.every {
					f.restart(i)
				}
			})
			t.Logf("%.2f of the capacity served, %d rejections, %d falls of %d allowed", served, f.rejections, f.falls(), f.allowedFalls())
			require.LessOrEqual(t, f.falls(), f.allowedFalls())
			require.GreaterOrEqual(t, served, 0.8)
		})
	}
}

// Routers that hear no others during a surge keep to a part of the slots, and let few targets fall.
func TestBrittleTargetsCutOff(t *testing.T) {
	t.Parallel()
	for routers, targets := range map[int]int{6: 20, 84: 40} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			skipLargeFleet(t, routers)
			f := newBrittleFleet(t, routers, targets, 1)
			served := f.surge(5, 0, func(f *brittleFleet) {
				f.alone = make(map[int]bool)
				for i := 0; i < len(f.boards); i += 6 {
					f.alone[i] = true
				}
			})
			t.Logf("%.2f of the capacity served, %d rejections, %d falls of %d allowed", served, f.rejections, f.falls(), f.allowedFalls())
			require.LessOrEqual(t, f.falls(), f.allowedFalls())
			require.GreaterOrEqual(t, served, 0.7)
		})
	}
}

// A target that no longer announces that it is brittle gets as many requests as before, once one
// router knows it. An older answer changes nothing.
func TestBrittleEnds(t *testing.T) {
	t.Parallel()
	f := newBrittleFleet(t, 6, 4, 1)
	f.bearable = 3
	f.play(4*time.Second, 0.5*f.capacity())
	brittle := func() (n int) {
		for _, b := range f.boards {
			for k := range f.targets {
				if _, is := b.maxRejectedBy(f.now, b.targets[testAddr(k)], b.pools["s"]); is {
					n++
				}
			}
		}
		return n
	}
	require.Equal(t, 24, brittle())
	f.boards[0].ApplyHints(f.now, TargetKey{testAddr(0), "i0"}, f.now.Add(-10*time.Second), TargetHints{})
	f.boards[1].ApplyHints(f.now, TargetKey{testAddr(0), "other"}, f.now, TargetHints{})
	f.boards[2].ApplyHints(f.now, TargetKey{testAddr(0), "i0"}, f.now, TargetHints{Brittle: BrittleHint{Invalid: true}})
	require.Equal(t, 24, brittle())
	f.bearable = 0
	f.play(4*time.Second, 0.5*f.capacity())
	require.Zero(t, brittle())
}

// The places of routers that agree on each other are as many as the slots, in each fleet and at each
// time, and a slot that a target lacks takes one place from one router.
func TestBrittlePlaces(t *testing.T) {
	t.Parallel()
	for _, routers := range fleetSizes(1, 6, 84, 390) {
		boards := make([]*Board, routers)
		for i := range boards {
			b := NewBoard(WithRouters(routers), WithTargetNotices(fmt.Sprintf("n%d", i), nil))
			b.Adopt(epoch, brittleSnapshot(t))
			b.SetTargets(epoch, []ListedTarget{{Addr: testAddr(0), Labels: map[string]string{"s": "s"}}})
			b.Report(epoch, testAddr(0), Report{Incarnation: "i", Slots: 8})
			b.SetPosition(Position{Index: i, Of: routers})
			var others map[string]PeerState
			if routers > 1 {
				others = map[string]PeerState{"others": {Speaks: routers - 1}}
			}
			b.MergePeers(epoch, others, routers)
			boards[i] = b
		}
		placesAt := func(now time.Time) (each []int, sum int) {
			for _, b := range boards {
				n := b.placesAt(now, now, b.targets[testAddr(0)], b.pools["s"])
				each, sum = append(each, n), sum+n
			}
			return each, sum
		}
		for s := range 50 {
			now := epoch.Add(time.Duration(s) * 777 * time.Millisecond)
			for _, b := range boards {
				b.targets[testAddr(0)].brittle.lost = 0
			}
			all, sum := placesAt(now)
			require.Equal(t, 8, sum, "%d routers", routers)
			for _, b := range boards {
				k := &b.targets[testAddr(0)].brittle
				k.lost, k.lostAt = 1, now
			}
			less, sum := placesAt(now)
			require.Equal(t, 7, sum, "%d routers", routers)
			moved := 0
			for i := range all {
				moved += max(all[i]-less[i], less[i]-all[i])
			}
			require.Equal(t, 1, moved)
		}
	}
}
