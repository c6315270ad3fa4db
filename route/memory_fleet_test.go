package route

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The engines of these tests, as large as those of the users' sites.
const (
	herdMemory = 105_764
	herdRate   = 56_600
	herdStep   = 5 * time.Millisecond
	// herdDecode is the time from a prompt's prefill to the end of its answer.
	herdDecode = 150 * time.Millisecond
	// herdNotice is how long the notice of a long prompt takes to reach all routers.
	herdNotice = 30 * time.Millisecond
	herdAim    = 1200 * time.Millisecond
)

// herdEngine is an engine's memory as it is, against which the routers' decisions are checked.
type herdEngine struct {
	held, peak int
	// freeAt is when it has read all prompts that were sent to it.
	freeAt time.Time
}

// herdRun is a request that an engine runs.
type herdRun struct {
	router  int
	attempt Attempt
	tokens  int
	endAt   time.Time
}

// herdFleet is the routers of a fleet and the engines that they share.
type herdFleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	boards  []*partsBoard
	plain   []*Board
	engines map[netip.AddrPort]*herdEngine
	running []herdRun
	reports lateReports
	// notices are the placements that have yet to be announced to the other routers.
	notices []herdNotices
	// sizes are the tokens of the prompts, arrivals their times of arrival, by request.
	sizes    map[string]int
	arrivals map[string]time.Time
	// sent counts the attempts, over those that exceeded the memory of their engine, answered and
	// refused the ends of requests. Of the answers, inTime began within the aim and fitted into
	// memory.
	sent, over, answered, inTime, refused int
}

type herdNotices struct {
	at     time.Time
	router int
	sent   SentRequest
}

func newHerdFleet(t *testing.T, routers, engines int) *herdFleet {
	f := &herdFleet{t: t, rng: rand.New(rand.NewPCG(7, 7)), now: epoch, engines: make(map[netip.AddrPort]*herdEngine), sizes: make(map[string]int), arrivals: make(map[string]time.Time)}
	for i := range engines {
		f.engines[testAddr(i)] = &herdEngine{freeAt: epoch}
	}
	for i := range routers {
		placed := func(p PlacementReport) {
			f.notices = append(f.notices, herdNotices{f.now.Add(herdNotice), i, SentRequest{Target: p.Load.Target.Hash(), Prefill: p.Prefill}})
		}
		p := newPartsBoard(t, engines, WithSeed(uint64(i)), WithRouters(routers), WithPlaced(placed))
		p.b.pools["e"].compiled.CacheTokens = herdMemory
		for k := range engines {
			p.b.Report(p.now, testAddr(k), Report{Incarnation: Incarnation(fmt.Sprint(k)), Weights: map[string]string{"m": "1"}, PrefillRate: herdRate, Slots: 64})
		}
		f.boards = append(f.boards, p)
		f.plain = append(f.plain, p.b)
	}
	return f
}

// execute carries out a router's actions.
func (f *herdFleet) execute(router int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			e, tokens := f.engines[a.Attempt.Target], f.sizes[a.Attempt.Request]
			f.sent++
			e.held += tokens
			e.peak = max(e.peak, e.held)
			if e.held > herdMemory {
				f.over++
			}
			if e.freeAt.Before(f.now) {
				e.freeAt = f.now
			}
			e.freeAt = e.freeAt.Add(seconds(float64(tokens) / herdRate))
			if e.held <= herdMemory && e.freeAt.Sub(f.arrivals[a.Attempt.Request]) <= herdAim {
				f.inTime++
			}
			f.running = append(f.running, herdRun{router, a.Attempt, tokens, e.freeAt.Add(herdDecode)})
		case Refuse:
			f.refused++
		case Finish:
			f.answered++
		}
	}
}

// step advances the fleet.
func (f *herdFleet) step() {
	f.now = f.now.Add(herdStep)
	left := f.running[:0]
	var ended []herdRun
	for _, r := range f.running {
		if r.endAt.After(f.now) {
			left = append(left, r)
			continue
		}
		ended = append(ended, r)
	}
	f.running = left
	for _, r := range ended {
		f.engines[r.attempt.Target].held -= r.tokens
		f.execute(r.router, f.plain[r.router].Ended(f.now, Outcome{Request: r.attempt.Request, Attempt: r.attempt.ID, Kind: OutcomeDone}))
	}
	for len(f.notices) > 0 && !f.notices[0].at.After(f.now) {
		n := f.notices[0]
		f.notices = f.notices[1:]
		for i, b := range f.plain {
			if i != n.router {
				b.AddPeerSends(f.now, []SentRequest{n.sent})
			}
		}
	}
	if f.now.Sub(epoch)%fleetReport == 0 && f.reports.add(f.now, f.plain) {
		for i, b := range f.plain {
			var others []PeerState
			for k, s := range f.reports[0] {
				if k != i {
					others = append(others, s)
				}
			}
			if len(others) > 0 {
				f.execute(i, b.MergePeers(f.now, map[string]PeerState{"relay": JoinStates(others)}, len(f.plain)))
			}
		}
	}
	for i, b := range f.plain {
		f.execute(i, b.Tick(f.now))
	}
}

// arrive submits a prompt of its own at a random router.
func (f *herdFleet) arrive(tokens int) {
	i := f.rng.IntN(len(f.boards))
	p := f.boards[i]
	p.now = f.now
	id := fmt.Sprintf("%d-%d", i, p.next+1)
	r := p.request("a", Part{id, tokens})
	r.ID, r.Aim = id, herdAim
	f.sizes[id], f.arrivals[id] = tokens+r.MaxTokens, f.now
	f.execute(i, p.b.Arrive(f.now, r))
}

// A herd of long prompts arrives within a second at all routers of a fleet, more than the engines
// have memory for at once. Long prompts are spread over the engines, wait or are refused, but are
// not piled onto one engine, which would preempt what it runs.
func TestMemoryHerd(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		routers, engines int
		// over is the maximum fraction of attempts that may exceed an engine's memory: routers that
		// do not know of each other's sends for herdNotice may choose the same engine.
		over float64
	}{
		"1 router":   {1, 6, 0},
		"8 routers":  {8, 6, 0.05},
		"84 routers": {84, 60, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			skipLargeFleet(t, c.routers)
			f := newHerdFleet(t, c.routers, c.engines)
			prompts := 4 * c.engines
			for arrived := 0; f.now.Sub(epoch) < 5*time.Second; {
				for due := int(float64(prompts) * min(1, f.now.Sub(epoch).Seconds())); arrived < due; arrived++ {
					f.arrive(39_600)
				}
				f.step()
			}
			peak := 0
			for _, e := range f.engines {
				peak = max(peak, e.peak)
			}
			t.Logf("%d prompts: %d sent, %d of them beyond the memory of their engine, at most %.2f of it; %d answered, %d in time, %d refused",
				prompts, f.sent, f.over, float64(peak)/herdMemory, f.answered, f.inTime, f.refused)
			require.LessOrEqual(t, float64(f.over)/float64(f.sent), c.over)
			require.Equal(t, prompts, f.answered+f.refused)
		})
	}
}
