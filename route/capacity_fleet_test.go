package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
)

// engineFleet is the routers and engines of one fleet. Engines read prompts one after the other, and
// keep their parts. Routers report four times a second, and receive the reports of two rounds ago, as
// over relays; reports of single requests arrive after sendReportDelay.
type engineFleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	boards  []*Board
	engines []*fakeEngine
	reports lateReports
	asks    int
	// pending are the first tokens and the ends of answers.
	pending []engineAnswer
	sends   []lateSend
	// observed are the attempts whose first token arrived, first are the times to it.
	observed []observedPrefill
	// slowUntil is when each engine's slow moment ends; slowShare is the share of engines that
	// have one.
	slowShare float64
	// alone is set if routers learn rates from their own observations only.
	alone bool
}

// fakeEngine is an engine that reads speed tokens a second when it is not slow.
type fakeEngine struct {
	speed     float64
	free      time.Time
	slowUntil time.Time
	cached    map[string]bool
}

// engineAnswer is the first token or the end of an answer.
type engineAnswer struct {
	at      time.Time
	router  int
	attempt Attempt
	end     bool
}

// lateSend is a report of a request to the other routers.
type lateSend struct {
	at     time.Time
	router int
	send   SentRequest
	fills  []Fill
}

// observedPrefill is what one router observed of one prompt.
type observedPrefill struct {
	at      time.Time
	engine  int
	attempt *attempt
}

// Times of the fleet: the round trip with the engine's first step, the time of an answer after its
// first token, the delay of a report of a single request, and the slow moments of engines.
const (
	engineLatency   = 18 * time.Millisecond
	decodeTime      = 300 * time.Millisecond
	sendReportDelay = 50 * time.Millisecond
	slowMoment      = 2.5
	slowTime        = 600 * time.Millisecond
	engineStep      = 5 * time.Millisecond
	engineSpeed     = 56_600
	// engineFleetRouters is the number of routers in the tests of engines' rates.
	engineFleetRouters = 17
	// promptRead is the mean number of tokens of a prompt that no other shares.
	promptRead = 0.95 * (2890*2 + 628) / 3
)

func newEngineFleet(t *testing.T, routers int, speeds []float64, seed uint64, opts ...Option) *engineFleet {
	f := &engineFleet{t: t, rng: rand.New(rand.NewPCG(seed, seed)), now: epoch}
	cfg := &policy.Config{
		Organisations: []policy.Organisation{{Name: "a", SharesCache: true}},
		Pools:         []policy.Pool{{Name: "e", Kind: policy.KindEngine, Selector: "s=e", Window: 64, TrustRefusals: true}},
		Models:        []policy.Model{{Name: "m", Pool: "e", Weights: "1"}},
		Placement:     policy.Placement{RecomputeWeight: 1, Horizon: policy.Duration(10 * time.Second)},
	}
	var list []ListedTarget
	for i, speed := range speeds {
		f.engines = append(f.engines, &fakeEngine{speed: speed, cached: make(map[string]bool)})
		list = append(list, ListedTarget{Addr: testAddr(i), Labels: map[string]string{"s": "e"}})
	}
	for i := range routers {
		placed := WithPlaced(func(p PlacementReport) {
			f.sends = append(f.sends, lateSend{f.now.Add(sendReportDelay), i, SentRequest{p.Load.Target.Hash(), p.Prefill}, p.Fills})
		})
		b := NewBoard(append([]Option{WithSeed(f.rng.Uint64()), WithRouters(routers), placed, WithMaxPendingPrefill(10 * time.Second)}, opts...)...)
		snap, err := policy.Compile(cfg, 1)
		require.NoError(t, err)
		b.Adopt(f.now, snap)
		b.SetTargets(f.now, list)
		for k := range speeds {
			b.Report(f.now, testAddr(k), Report{Incarnation: "i", Slots: 64, Weights: map[string]string{"m": "1"}})
		}
		f.boards = append(f.boards, b)
	}
	return f
}

// play submits prompts at a rate for a duration: two thirds have a long shared part.
func (f *engineFleet) play(d time.Duration, perSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(engineStep) {
		if f.now.Sub(epoch)%fleetReport == 0 {
			f.report()
		}
		f.slowDown()
		f.deliver()
		for range poisson(f.rng, perSecond*engineStep.Seconds()) {
			f.ask()
		}
		for i, b := range f.boards {
			f.take(i, b.Tick(f.now))
		}
	}
}

// report delivers the reports of all routers to the others.
func (f *engineFleet) report() {
	if !f.reports.add(f.now, f.boards) {
		return
	}
	for i, b := range f.boards {
		others := JoinStates(slices.Delete(slices.Clone(f.reports[0]), i, i+1))
		if f.alone {
			others.Rates = nil
		}
		f.take(i, b.MergePeers(f.now, map[string]PeerState{"others": others}, len(f.boards)))
	}
}

// slowDown begins slow moments, so that the share of engines that have one is slowShare.
func (f *engineFleet) slowDown() {
	for _, e := range f.engines {
		if f.now.After(e.slowUntil) && f.rng.Float64() < f.slowShare*engineStep.Seconds()/slowTime.Seconds() {
			e.slowUntil = f.now.Add(slowTime)
		}
	}
}

func (f *engineFleet) ask() {
	f.asks++
	spread := math.Exp(f.rng.NormFloat64() - 0.5)
	parts := []Part{{"checklist", 198}, {fmt.Sprint("own", f.asks), int(min(628*spread, 3800))}}
	if f.rng.IntN(3) > 0 {
		parts = []Part{{fmt.Sprint("dossier", f.rng.IntN(2*len(f.engines))), 6300}, {parts[1].ID, int(min(2890*spread, 50_000))}}
	}
	i := f.rng.IntN(len(f.boards))
	m, _, _ := f.boards[i].snap.Model("m")
	f.take(i, f.boards[i].Arrive(f.now, Request{
		ID: fmt.Sprint(f.asks), Org: "a", Revision: 1, Pool: "e", Model: m, Parts: parts, MaxTokens: 10,
		Aim: time.Second, Deadline: f.now.Add(5 * time.Second), QueueTime: time.Second, SharesCache: true,
	}))
}

// take carries out a router's sends.
func (f *engineFleet) take(i int, actions []Action) {
	for _, a := range actions {
		send, ok := a.(Send)
		if !ok {
			continue
		}
		engine := int(send.Attempt.Target.Addr().As4()[3])
		done := f.engines[engine].read(f.now, f.boards[i].requests[send.Attempt.Request].Parts).Add(engineLatency)
		f.pending = append(f.pending,
			engineAnswer{done, i, send.Attempt, false}, engineAnswer{done.Add(decodeTime), i, send.Attempt, true})
	}
}

// read returns when the engine has read a prompt, of which it keeps the parts.
func (e *fakeEngine) read(now time.Time, parts []Part) time.Time {
	tokens := 0
	for _, p := range parts {
		if !e.cached[p.ID] {
			tokens += p.Tokens
		}
		e.cached[p.ID] = true
	}
	if e.free.Before(now) {
		e.free = now
	}
	speed := e.speed
	if e.free.Before(e.slowUntil) {
		speed /= slowMoment
	}
	e.free = e.free.Add(seconds(float64(tokens) / speed))
	return e.free
}

// deliver delivers what is due.
func (f *engineFleet) deliver() {
	due := 0
	slices.SortStableFunc(f.pending, func(a, b engineAnswer) int { return a.at.Compare(b.at) })
	for due < len(f.pending) && !f.pending[due].at.After(f.now) {
		due++
	}
	for _, a := range slices.Clone(f.pending[:due]) {
		b := f.boards[a.router]
		if a.end {
			f.take(a.router, b.Ended(f.now, Outcome{Request: a.attempt.Request, Attempt: a.attempt.ID, Kind: OutcomeDone}))
			continue
		}
		if _, own := b.current(a.attempt.Request, a.attempt.ID); own != nil {
			f.observed = append(f.observed, observedPrefill{a.at, int(a.attempt.Target.Addr().As4()[3]), own})
			f.take(a.router, b.FirstToken(a.at, a.attempt.Request, a.attempt.ID))
		}
	}
	f.pending = f.pending[due:]
	for len(f.sends) > 0 && !f.sends[0].at.After(f.now) {
		for i, b := range f.boards {
			if i != f.sends[0].router {
				b.AddPeerSends(f.now, []SentRequest{f.sends[0].send})
				b.MergeFills(f.now, f.sends[0].fills)
			}
		}
		f.sends = f.sends[1:]
	}
}
