package route

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
)

// The fleets of these tests: engines that prefill one prompt after the other, and routers that
// receive each other's loads late, as over relays, and each other's sends after admitSendDelay.
const (
	admitEngines   = 60
	admitRate      = 12_000
	admitSendDelay = 50 * time.Millisecond
	admitDecode    = 100 * time.Millisecond
	// admitCalm is the load before and after a surge, in parts of what the engines can prefill, and
	// admitSurge its multiple in a surge.
	admitCalm  = 0.56
	admitSurge = 2.5
	// admitLateWorth is what a late answer is worth, in parts of one in time.
	admitLateWorth = 0.3
)

// admitKind is a kind of requests.
type admitKind struct {
	tokens   int
	aim      time.Duration
	priority int
}

// admitKinds are small urgent and large less urgent prompts, in equal numbers. The shared part of a
// large one is cached everywhere and left out.
var admitKinds = [...]admitKind{
	{tokens: 826, aim: 400 * time.Millisecond, priority: 9},
	{tokens: 2890, aim: 1200 * time.Millisecond, priority: 7},
}

const admitMeanTokens = (826 + 2890) / 2

// admitEngine prefills prompts in the order of their arrival.
type admitEngine struct {
	queue []*admitCall
	// done is how many tokens of the first prompt are computed.
	done float64
	down bool
}

func (e *admitEngine) pending() (tokens float64) {
	for _, c := range e.queue {
		tokens += float64(c.kind.tokens)
	}
	return tokens - e.done
}

// admitCall is a request.
type admitCall struct {
	kind    *admitKind
	router  int
	arrived time.Time
	attempt Attempt
	ended   time.Time
	// result is that of the phase in which it arrived.
	result *admitResult
}

// admitResult counts how the requests of one phase ended.
type admitResult struct {
	offered, inTime, late, refused [len(admitKinds)]int
	// heldRefusals counts refusals later than a quarter of the aim, idleRefusals those while more
	// than a tenth of the engines were idle.
	heldRefusals, idleRefusals int
	lastRefusal                time.Time
	// mostPending is the longest prefill that was pending at an engine.
	mostPending time.Duration
}

func (r *admitResult) worth() float64 {
	sum, offered := 0.0, 0
	for k := range admitKinds {
		sum += float64(r.inTime[k]) + admitLateWorth*float64(r.late[k])
		offered += r.offered[k]
	}
	return sum / float64(max(1, offered))
}

// admitFleet is a fleet of routers and engines.
type admitFleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	boards  []*Board
	engines []*admitEngine
	opts    []Option
	cfg     *policy.Config
	snap    *policy.Snapshot
	side    []int
	cutAt   time.Time
	reports lateReports
	calls   map[string]*admitCall
	decodes []*admitCall
	sends   []admitSend
	next    int
	result  *admitResult
	// reportedRate is the prefill rate that engines report.
	reportedRate float64
}

type admitSend struct {
	at     time.Time
	router int
	sent   SentRequest
}

func newAdmitFleet(t *testing.T, routers int, opts ...Option) *admitFleet {
	f := &admitFleet{
		t: t, rng: rand.New(rand.NewPCG(1, 1)), now: epoch, opts: opts, side: make([]int, routers),
		calls: make(map[string]*admitCall), reportedRate: admitRate, result: &admitResult{},
	}
	f.cfg = &policy.Config{
		Organisations: []policy.Organisation{{Name: "a"}},
		Pools:         []policy.Pool{{Name: "e", Kind: policy.KindEngine, Selector: "s=e", Window: 64, TrustRefusals: true}},
		Models:        []policy.Model{{Name: "m", Pool: "e", Weights: "1"}},
		Placement:     policy.Placement{RecomputeWeight: 1, Horizon: policy.Duration(10 * time.Second)},
	}
	for i, k := range admitKinds {
		f.cfg.Routes = append(f.cfg.Routes, policy.Route{Name: fmt.Sprint(i), Pool: "e", Aim: policy.Duration(k.aim), Priority: k.priority})
	}
	snap, err := policy.Compile(f.cfg, 1)
	require.NoError(t, err)
	f.snap = snap
	for range admitEngines {
		f.engines = append(f.engines, &admitEngine{})
	}
	f.boards = make([]*Board, routers)
	for i := range f.boards {
		f.start(i)
	}
	return f
}

// start starts a router anew. It knows how many routers there are, but no loads.
func (f *admitFleet) start(i int) {
	b := NewBoard(append([]Option{WithSeed(f.rng.Uint64()), WithRouters(len(f.boards)), WithPlaced(func(p PlacementReport) {
		f.sends = append(f.sends, admitSend{f.now, i, SentRequest{p.Load.Target.Hash(), p.Prefill}})
	})}, f.opts...)...)
	f.boards[i] = b
	b.Adopt(f.now, f.snap)
	f.list(i)
	for e := range f.engines {
		b.Report(f.now, testAddr(e), Report{
			Incarnation: "1", Weights: map[string]string{"m": "1"}, PrefillRate: f.reportedRate, Slots: 64,
		})
	}
}

// list passes the engines that are up to a router.
func (f *admitFleet) list(i int) {
	var list []ListedTarget
	for e, engine := range f.engines {
		if !engine.down {
			list = append(list, ListedTarget{Addr: testAddr(e), Labels: map[string]string{"s": "e"}})
		}
	}
	f.execute(i, f.boards[i].SetTargets(f.now, list))
}

// restart starts all routers anew. Their requests are lost.
func (f *admitFleet) restart() {
	f.reports = nil
	for i := range f.boards {
		f.start(i)
	}
}

// setDown takes engines away or brings them back empty; their requests break off.
func (f *admitFleet) setDown(down func(e int) bool) {
	for e, engine := range f.engines {
		engine.down = down(e)
	}
	for i := range f.boards {
		f.list(i)
	}
	for _, engine := range f.engines {
		if engine.down {
			lost := engine.queue
			engine.queue, engine.done = nil, 0
			for _, c := range lost {
				f.execute(c.router, f.boards[c.router].Ended(f.now, Outcome{Request: c.attempt.Request, Attempt: c.attempt.ID, Kind: OutcomeBroken}))
			}
		}
	}
	for i, b := range f.boards {
		for e, engine := range f.engines {
			if !engine.down {
				f.execute(i, b.Report(f.now, testAddr(e), Report{Incarnation: "1", Weights: map[string]string{"m": "1"}, PrefillRate: f.reportedRate, Slots: 64}))
			}
		}
	}
}

func (f *admitFleet) engine(a netip.AddrPort) *admitEngine {
	for e, engine := range f.engines {
		if testAddr(e) == a {
			return engine
		}
	}
	return nil
}

// execute executes a router's actions.
func (f *admitFleet) execute(router int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			c := f.calls[a.Attempt.Request]
			c.attempt = a.Attempt
			e := f.engine(a.Attempt.Target)
			e.queue = append(e.queue, c)
			f.result.mostPending = max(f.result.mostPending, seconds(e.pending()/admitRate))
		case Refuse:
			f.refused(f.calls[a.Request])
		}
	}
}

func (f *admitFleet) refused(c *admitCall) {
	c.result.refused[f.kindOf(c)]++
	f.result.lastRefusal = f.now
	if f.now.Sub(c.arrived) > c.kind.aim/4 {
		c.result.heldRefusals++
	}
	idle, up := 0, 0
	for _, e := range f.engines {
		if !e.down {
			up++
			if len(e.queue) == 0 {
				idle++
			}
		}
	}
	if idle*10 > up {
		c.result.idleRefusals++
	}
}

func (f *admitFleet) kindOf(c *admitCall) int {
	for k := range admitKinds {
		if &admitKinds[k] == c.kind {
			return k
		}
	}
	panic("unknown kind")
}

// play offers a load, in parts of what all engines can prefill, and returns how its requests ended.
func (f *admitFleet) play(d time.Duration, load float64) *admitResult {
	f.result = &admitResult{}
	mean := load * admitEngines * admitRate / admitMeanTokens * fleetStep.Seconds()
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		if f.now.Sub(epoch)%fleetReport == 0 {
			f.report()
		}
		f.deliverSends()
		f.prefill()
		for range poisson(f.rng, mean) {
			f.arrive()
		}
		for i, b := range f.boards {
			if (int(f.now.Sub(epoch)/fleetStep)+i)%2 == 0 {
				f.execute(i, b.Tick(f.now))
			}
		}
	}
	return f.result
}

func (f *admitFleet) arrive() {
	f.next++
	k := f.rng.IntN(len(admitKinds))
	c := &admitCall{kind: &admitKinds[k], router: f.rng.IntN(len(f.boards)), arrived: f.now, result: f.result}
	m, _, _ := f.snap.Model("m")
	r := Request{
		ID: fmt.Sprint("r", f.next), Org: "a", Revision: 1, Pool: "e", Model: m, MaxTokens: 10, Deadline: f.now.Add(4 * c.kind.aim),
		Aim: c.kind.aim, Priority: c.kind.priority, QueueTime: time.Second, MaxTries: 3, Repeatable: true, Streams: true,
		Parts: []Part{{fmt.Sprint("p", f.next), c.kind.tokens}},
	}
	f.calls[r.ID] = c
	f.result.offered[k]++
	f.execute(c.router, f.boards[c.router].Arrive(f.now, r))
}

// prefill advances the engines by one step.
func (f *admitFleet) prefill() {
	for _, e := range f.engines {
		e.done += admitRate * fleetStep.Seconds()
		for len(e.queue) > 0 && e.done >= float64(e.queue[0].kind.tokens) {
			c := e.queue[0]
			e.done -= float64(c.kind.tokens)
			e.queue = e.queue[1:]
			f.begin(c)
		}
		if len(e.queue) == 0 {
			e.done = 0
		}
	}
	for len(f.decodes) > 0 && !f.now.Before(f.decodes[0].ended) {
		c := f.decodes[0]
		f.decodes = f.decodes[1:]
		f.execute(c.router, f.boards[c.router].Ended(f.now, Outcome{Request: c.attempt.Request, Attempt: c.attempt.ID, Kind: OutcomeDone}))
	}
}

// begin reports the first token of a request.
func (f *admitFleet) begin(c *admitCall) {
	if f.now.Sub(c.arrived) <= c.kind.aim {
		c.result.inTime[f.kindOf(c)]++
	} else {
		c.result.late[f.kindOf(c)]++
	}
	b := f.boards[c.router]
	f.execute(c.router, b.FirstToken(f.now, c.attempt.Request, c.attempt.ID))
	b.Progress(f.now, c.attempt.Request, c.attempt.ID)
	c.ended = f.now.Add(admitDecode)
	f.decodes = append(f.decodes, c)
}

// deliverSends tells routers of each other's sends.
func (f *admitFleet) deliverSends() {
	n := 0
	for n < len(f.sends) && f.now.Sub(f.sends[n].at) >= admitSendDelay {
		n++
	}
	if n == 0 {
		return
	}
	due := f.sends[:n]
	f.sends = f.sends[n:]
	for i, b := range f.boards {
		var others []SentRequest
		for _, s := range due {
			if s.router != i && f.side[s.router] == f.side[i] {
				others = append(others, s.sent)
			}
		}
		b.AddPeerSends(f.now, others)
	}
}

// report delivers the reports of all routers.
func (f *admitFleet) report() {
	if !f.reports.add(f.now, f.boards) {
		return
	}
	bySide := make(map[int][]PeerState)
	for i, s := range f.reports[1] {
		bySide[f.side[i]] = append(bySide[f.side[i]], s)
	}
	sums := make(map[int]PeerState)
	for side, states := range bySide {
		sums[side] = JoinStates(states)
	}
	for i, b := range f.boards {
		sum := sums[f.side[i]]
		routers := sum.Speaks
		if f.now.Sub(f.cutAt) < fleetPeerTimeout {
			routers = len(f.boards)
		}
		others := make(map[string]PeerState)
		if sum.Speaks > 1 {
			others["others"] = f.others(i, sum)
		}
		f.execute(i, b.MergePeers(f.now, others, routers))
	}
}

// others returns a sum of reports without those of one router. The rates of the targets are left as
// they are, since they are means.
func (f *admitFleet) others(i int, sum PeerState) PeerState {
	own := f.reports[1][i]
	out := PeerState{Speaks: sum.Speaks - 1, Counted: sum.Counted - 1, PrefillReporters: sum.PrefillReporters - 1, Rates: sum.Rates}
	out.Loads = without(sum.Loads, own.Loads, func(l Load) any { return l.Target }, func(l, o Load) Load {
		return Load{l.Target, l.InFlight - o.InFlight, l.Prefill - o.Prefill, l.Tokens - o.Tokens}
	})
	out.Prefills = without(sum.Prefills, own.Prefills, func(d PrefillDemand) any { return d.Pool }, func(d, o PrefillDemand) PrefillDemand {
		return PrefillDemand{d.Pool, d.Urgent - o.Urgent, d.Other - o.Other}
	})
	out.Pools = without(sum.Pools, own.Pools, func(d PoolDemand) any { return [2]any{d.Org, d.Priority} }, func(d, o PoolDemand) PoolDemand {
		d.Asked -= o.Asked
		return d
	})
	return out
}

// without subtracts one router's entries from sums with the same key.
func without[T any](sums, own []T, key func(T) any, minus func(sum, own T) T) []T {
	mine := make(map[any]T)
	for _, o := range own {
		mine[key(o)] = o
	}
	var out []T
	for _, s := range sums {
		if o, ok := mine[key(s)]; ok {
			s = minus(s, o)
		}
		out = append(out, s)
	}
	return out
}

// enginesGo is the scenario in which every second engine is down for a while.
const enginesGo = "half of the engines go"

// admitScenarios bring about one trouble each during a surge, and return how its requests ended.
func admitScenarios() map[string]func(f *admitFleet) *admitResult {
	return map[string]func(f *admitFleet) *admitResult{
		"surge": func(f *admitFleet) *admitResult { return f.play(8*time.Second, admitCalm*admitSurge) },
		"all restart in a surge": func(f *admitFleet) *admitResult {
			f.play(2*time.Second, admitCalm*admitSurge)
			f.restart()
			return f.play(6*time.Second, admitCalm*admitSurge)
		},
		"partitioned in a surge": func(f *admitFleet) *admitResult {
			f.cutAt = f.now
			for i := range f.side {
				f.side[i] = i % 2
			}
			return f.play(8*time.Second, admitCalm*admitSurge)
		},
		enginesGo: func(f *admitFleet) *admitResult {
			f.setDown(func(e int) bool { return e%2 == 0 })
			r := f.play(6*time.Second, admitCalm)
			f.setDown(func(int) bool { return false })
			return r
		},
	}
}

// admitRecovery is the time after a surge within which refusals end: the largest aim, in which
// prompts from the surge may still be pending, and the time to learn that they are gone.
const admitRecovery = 1200*time.Millisecond + time.Second

// Prompts whose answers would be late are refused instead of being sent while the engines are
// overloaded, so these have no backlog when the overload ends.
func TestAdmission(t *testing.T) {
	t.Parallel()
	for name, play := range admitScenarios() {
		for _, n := range fleetSizes(1, 8, 84) {
			if n == 84 && name == enginesGo {
				// TestAdmissionLarge plays it.
				continue
			}
			t.Run(fmt.Sprintf("%s/%d routers", name, n), func(t *testing.T) { checkAdmission(t, n, play) })
		}
	}
}

// TestAdmissionLarge is TestAdmission for 84 routers of which half of the engines go.
func TestAdmissionLarge(t *testing.T) {
	t.Parallel()
	skipLargeFleet(t, 84)
	checkAdmission(t, 84, admitScenarios()[enginesGo])
}

func checkAdmission(t *testing.T, routers int, play func(f *admitFleet) *admitResult) {
	f := newAdmitFleet(t, routers)
	f.play(3*time.Second, admitCalm)
	during := play(f)
	end := f.now
	after := f.play(4*time.Second, admitCalm)
	f.logResult(t, "during", during)
	f.logResult(t, "after", after)
	require.Less(t, after.lastRefusal.Sub(end), admitRecovery)
}

func (f *admitFleet) logResult(t *testing.T, phase string, r *admitResult) {
	t.Logf("%s: worth %.3f; offered %v, in time %v, late %v, refused %v, of them %d after a quarter of the aim and %d beside idle engines; at most %s pending",
		phase, r.worth(), r.offered, r.inTime, r.late, r.refused, r.heldRefusals, r.idleRefusals, r.mostPending.Round(time.Millisecond))
}
