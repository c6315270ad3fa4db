package route

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathhead/pathhead/policy"
)

// partsBoard is a board with engines whose prompts are sequences of named parts, and a KV cache
// store.
type partsBoard struct {
	t    require.TestingT
	b    *Board
	now  time.Time
	next int
}

// Memory of an engine in tokens, and rates of the links of engines and stores in tokens per
// second.
const (
	partsMemory = 40000
	partsLink   = 1e6
	storeLink   = 1e5
)

// testBeginLimit is how long requests may begin on older weights after newer ones were
// announced.
const testBeginLimit = 9300 * time.Millisecond

// testGuessTime is how long an assumption about a target's weights takes precedence over its
// reports.
const testGuessTime = 3 * time.Second

func newPartsBoard(t require.TestingT, engines int, opts ...Option) *partsBoard {
	opts = append([]Option{WithMaxPendingPrefill(10 * time.Second), WithNumberedWeights(Staleness{
		Grace: time.Second, Price: 250 * time.Millisecond, Limit: 9 * time.Second, BeginLimit: testBeginLimit, GuessTime: testGuessTime,
	})}, opts...)
	p := &partsBoard{t: t, b: NewBoard(opts...), now: epoch}
	cfg := &policy.Config{
		Organisations: []policy.Organisation{{Name: "a", SharesCache: true}, {Name: "b", SharesCache: true}, {Name: "walled"}},
		Pools: []policy.Pool{
			{Name: "e", Kind: policy.KindEngine, Selector: "s=e", Window: 64, TrustRefusals: true, Fetches: true,
				LinkRate: partsLink, StoreRate: storeLink, CacheTokens: partsMemory},
			{Name: "k", Kind: policy.KindKept, Selector: "s=k", Fetches: true, CacheTokens: 200000},
		},
		Models:    []policy.Model{{Name: "m", Pool: "e", Weights: "0", KeptPool: "k"}},
		Placement: policy.Placement{RecomputeWeight: 1, Horizon: policy.Duration(10 * time.Second)},
	}
	snap, err := policy.Compile(cfg, 1)
	require.NoError(t, err)
	p.b.Adopt(p.now, snap)
	var seen []ListedTarget
	for i := range engines {
		seen = append(seen, ListedTarget{Addr: testAddr(i), Labels: map[string]string{"s": "e"}})
	}
	seen = append(seen, ListedTarget{Addr: storeTestAddr, Labels: map[string]string{"s": "k"}})
	p.b.SetTargets(p.now, seen)
	for i := range engines {
		p.report(i, "1")
	}
	p.b.Report(p.now, storeTestAddr, Report{Incarnation: "store"})
	p.announceWeights("1")
	return p
}

// announceWeights announces new weights to the board. The previous ones were the newest until
// now.
func (p *partsBoard) announceWeights(weights string) {
	if before := p.b.NewestWeights("m"); before != "" {
		p.b.AddNewestSpan(p.now, NewestAt(p.now, p.now, "m", before))
	}
	p.b.AddNewestSpan(p.now, NewestAt(p.now, p.now, "m", weights))
}

var storeTestAddr = testAddr(999)

func (p *partsBoard) report(i int, weights string) {
	p.b.Report(p.now, testAddr(i), Report{
		Incarnation: Incarnation(fmt.Sprint(i)), Weights: map[string]string{"m": weights}, PrefillRate: 50000, Slots: 64,
	})
}

// reportParts reports by a cache event that an engine holds parts under a salt.
func (p *partsBoard) reportParts(addr netip.AddrPort, salt string, parts ...Part) {
	var changes []PartChange
	for _, part := range parts {
		changes = append(changes, PartChange{Salt: salt, ID: part.ID, Tokens: part.Tokens})
	}
	p.b.PartChanges(p.now, addr, time.Time{}, false, changes)
}

func (p *partsBoard) request(org string, parts ...Part) Request {
	p.next++
	m, _, ok := p.b.snap.Model("m")
	require.True(p.t, ok)
	return Request{
		ID: fmt.Sprint("r", p.next), Org: org, Revision: 1, Pool: "e", Model: m, Parts: parts, MaxTokens: 10,
		Deadline: p.now.Add(5 * time.Second), QueueTime: time.Second, MaxTries: 1, SharesCache: org != "walled",
	}
}

// place submits a request and returns its attempt, or nil if it was queued or refused.
func (p *partsBoard) place(r Request) *Attempt {
	for _, a := range p.b.Arrive(p.now, r) {
		if s, ok := a.(Send); ok && s.Attempt.Request == r.ID {
			return &s.Attempt
		}
	}
	return nil
}

func (p *partsBoard) finish(a *Attempt) {
	p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeDone})
}

var (
	shared = []Part{{"aa", 2000}, {"bb", 4000}}
	own    = Part{"own", 500}
)

// TestPartsFollowEvents checks that a request is sent to the engine whose events report its
// parts, until an event reports their eviction.
func TestPartsFollowEvents(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 4)
	first := p.place(p.request("a", append(shared, own)...))
	require.NotNil(t, first)
	p.finish(first)
	p.now = p.now.Add(2 * time.Second)
	for i := range 4 {
		p.reportParts(testAddr(i), first.Salt)
	}
	p.reportParts(testAddr(2), first.Salt, shared...)
	next := p.place(p.request("b", append(shared, Part{"other", 500})...))
	require.Equal(t, testAddr(2), next.Target, "cache events take precedence over old requests")
	require.Equal(t, first.Salt, next.Salt, "both organisations share their cache")
	p.finish(next)
	walled := p.place(p.request("walled", append(shared, own)...))
	require.NotEqual(t, first.Salt, walled.Salt)
	p.finish(walled)
	p.now = p.now.Add(time.Second)
	p.reportParts(testAddr(2), first.Salt, Part{"bb", 0})
	c := newPartsChain(first.Salt, append(shared, own))
	require.Equal(t, 2000, p.b.targets[testAddr(2)].parts.leadingTokens(c), "parts before the evicted one remain")
}

// TestPartsFetch checks that another engine fetches the parts of a busy holder, under the same
// salt.
func TestPartsFetch(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 2)
	salt := p.request("a", shared...).saltOf("1")
	p.reportParts(testAddr(0), salt, shared...)
	p.reportParts(testAddr(1), salt)
	for i := 0; ; i++ {
		require.Less(t, i, 200, "all requests were sent to the holder")
		a := p.place(p.request("a", append(shared, Part{fmt.Sprint("own", i), 2000})...))
		if a == nil {
			return // the memory is full before the other engine costs less
		}
		if a.Target == testAddr(1) {
			require.Equal(t, testAddr(0), a.Fetch)
			return
		}
		require.False(t, a.Fetch.IsValid())
	}
}

func (r Request) saltOf(weights string) string { return r.Salt(weights).String() }

// TestPartsStore checks that parts that no engine holds are fetched from the store, that newly
// computed parts are saved to it, and that the use of its link is bounded.
func TestPartsStore(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 2)
	salt := p.request("a", shared...).saltOf("1")
	p.b.PartChanges(p.now, storeTestAddr, time.Time{}, true, nil)
	p.reportParts(testAddr(0), salt)
	p.reportParts(testAddr(1), salt)
	cold := p.place(p.request("a", append(shared, own)...))
	require.Equal(t, storeTestAddr, cold.Save, "newly computed shared parts are saved")
	require.False(t, cold.Fetch.IsValid())
	p.finish(cold)
	p.now = p.now.Add(3 * time.Second)
	p.reportParts(testAddr(0), salt)
	p.reportParts(testAddr(1), salt)
	p.b.PartChanges(p.now, storeTestAddr, time.Time{}, false, []PartChange{{salt, "aa", 2000}, {salt, "bb", 4000}})
	again := p.place(p.request("a", append(shared, Part{"own2", 500})...))
	require.Equal(t, storeTestAddr, again.Fetch)
	require.False(t, again.Save.IsValid(), "the store already holds the parts")
	moved := 0
	for i := range 200 {
		kept := Part{fmt.Sprint("kept", i), 6000}
		p.b.PartChanges(p.now, storeTestAddr, time.Time{}, false, []PartChange{{salt, kept.ID, kept.Tokens}})
		if a := p.place(p.request("a", kept, Part{fmt.Sprint("x", i), 1})); a != nil {
			if a.Fetch == storeTestAddr {
				moved += 6000
			}
			p.finish(a)
		}
	}
	require.Positive(t, moved)
	require.LessOrEqual(t, float64(moved), 2*storeLink, "the use of the link is bounded")
}

// TestPartsTwoStores checks that two stores provide twice the capacity and twice the link rate:
// each prompt is saved to one of them and fetched from the one that holds it. The engines' own
// caches hold their contents for only a few seconds, so most shared parts are computed again.
func TestPartsTwoStores(t *testing.T) {
	t.Parallel()
	second := testAddr(998)
	p := newPartsBoard(t, 2)
	seen := []ListedTarget{{Addr: storeTestAddr, Labels: map[string]string{"s": "k"}}, {Addr: second, Labels: map[string]string{"s": "k"}}}
	for i := range 2 {
		seen = append(seen, ListedTarget{Addr: testAddr(i), Labels: map[string]string{"s": "e"}})
	}
	p.b.SetTargets(p.now, seen)
	p.b.Report(p.now, second, Report{Incarnation: "second"})
	salt := p.request("a", shared...).saltOf("1")
	stores := []netip.AddrPort{storeTestAddr, second}
	read := func() {
		for i := range 2 {
			p.b.PartChanges(p.now, testAddr(i), time.Time{}, true, nil)
		}
		for _, addr := range stores {
			p.b.PartChanges(p.now, addr, time.Time{}, false, nil)
		}
	}
	saved := make(map[netip.AddrPort]int)
	homes := make(map[string]netip.AddrPort)
	for i := range 100 {
		read()
		part := fmt.Sprint("part", i%50)
		a := p.place(p.request("a", Part{part, 6000}, Part{fmt.Sprint("own", i), 500}))
		if a.Save.IsValid() {
			saved[a.Save] += 6500
			if home, ok := homes[part]; ok {
				require.Equal(t, home, a.Save, "each part has one home")
			}
			homes[part] = a.Save
		}
		p.finish(a)
		p.now = p.now.Add(200 * time.Millisecond)
	}
	for _, addr := range stores {
		// 200,000 tokens of capacity for parts that are used within 10 s: 20,000 per second.
		require.Greater(t, saved[addr], 80_000)
		require.LessOrEqual(t, saved[addr], 20*20_000+26_500)
	}
	p.now = p.now.Add(2 * eventsLag)
	for part, home := range homes {
		read()
		p.b.PartChanges(p.now, home, time.Time{}, false, []PartChange{{salt, part, 6000}})
		a := p.place(p.request("a", Part{part, 6000}, Part{"last" + part, 500}))
		require.Equal(t, home, a.Fetch)
		require.False(t, a.Save.IsValid())
		p.finish(a)
		p.now = p.now.Add(200 * time.Millisecond)
	}
}

// TestSavesPreferSharedParts checks that a store's capacity is used for prompts that are mostly
// shared. If engines compute far more than the store can hold, it then serves more requests
// with the same capacity than if every prompt were saved in turn.
func TestSavesPreferSharedParts(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 1)
	shares, room := 0, 0
	const every = 100 * time.Millisecond
	for i := range 600 {
		p.b.PartChanges(p.now, testAddr(0), time.Time{}, true, nil)
		p.b.PartChanges(p.now, storeTestAddr, time.Time{}, false, nil)
		last := []int{300, 1500, 6000}[i%3]
		a := p.place(p.request("a", Part{fmt.Sprint("part", i), 4000}, Part{fmt.Sprint("own", i), last}))
		if a.Save.IsValid() {
			shares += 4000
			room += 4000 + last
		}
		p.finish(a)
		p.now = p.now.Add(every)
	}
	t.Logf("%d of %d tokens saved are shared", shares, room)
	// 200,000 tokens per 10 s for 60 s, and the burst.
	require.InDelta(t, 1_200_000, room, 150_000, "the capacity is used and not exceeded")
	// Saving in turn would yield 12,000 of 19,800.
	require.Greater(t, float64(shares)/float64(room), 0.85)
}

// TestPartsMemory checks that running requests leave three tenths of an engine's memory for
// shared parts.
func TestPartsMemory(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		p := newPartsBoard(rt, 2)
		held := make(map[netip.AddrPort]int)
		for i := range 30 {
			size := rapid.IntRange(1, 9000).Draw(rt, "size")
			a := p.place(p.request("a", Part{fmt.Sprint("p", i), size}))
			if a == nil {
				continue
			}
			before := held[a.Target]
			held[a.Target] += size + 10
			if before > 0 && held[a.Target] > partsMemory*7/10 {
				rt.Fatalf("requests with %d tokens run at %s", held[a.Target], a.Target)
			}
		}
	})
}

// TestStaleWeights checks that older weights are used freely at first, then at a penalty, and
// not at all beyond the limit, which counts from the first announcement that replaced them.
func TestStaleWeights(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 2)
	p.announceWeights("2")
	p.report(1, "2")
	p.now = p.now.Add(5 * time.Second)
	p.announceWeights("3")
	for i := range 5 {
		a := p.place(p.request("a", Part{fmt.Sprint("n", i), 1000}))
		require.Equal(t, testAddr(1), a.Target, "newer weights are preferred")
		require.Equal(t, "2", a.Weights)
		p.finish(a)
	}
	p.now = p.now.Add(5 * time.Second)
	p.b.SetHeldTargets(map[TargetKey]bool{{testAddr(1), "1"}: true})
	require.Nil(t, p.place(p.request("a", Part{"late", 1000})), "the first weights are too old")
	p.b.SetHeldTargets(nil)
	require.Equal(t, "2", p.place(p.request("a", Part{"late2", 1000})).Weights)
}

// TestUnknownIncarnationAtAddress checks that an address that answers with another incarnation,
// and may therefore belong to another pool, receives no requests until the incarnation is
// reported.
func TestUnknownIncarnationAtAddress(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 1, WithReusedAddresses())
	a := p.place(p.request("a", Part{"x", 10}))
	p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeRefused, Incarnation: "new"})
	require.Nil(t, p.place(p.request("a", Part{"y", 10})), "the new incarnation was not reported yet")
	for _, act := range p.b.Report(p.now, testAddr(0), Report{
		Incarnation: "new", Weights: map[string]string{"m": "1"}, PrefillRate: 50000, Slots: 64,
	}) {
		if s, ok := act.(Send); ok {
			require.EqualValues(t, "new", s.Attempt.Incarnation)
			return
		}
	}
	require.Fail(t, "the queued request was not sent")
}

// TestSilentTarget checks that an unresponsive target is avoided immediately and used again
// after its next response.
func TestSilentTarget(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 2)
	a := p.place(p.request("a", Part{"x", 10}))
	p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken, Silent: true})
	for i := range 5 {
		b := p.place(p.request("a", Part{fmt.Sprint("y", i), 10}))
		require.NotEqual(t, a.Target, b.Target)
		p.finish(b)
	}
	for i := range 2 {
		p.report(i, "1")
	}
	require.False(t, p.b.targets[a.Target].failing)
}

// TestUnsentIsNoAttempt checks that, with a limit on attempts, an attempt of which no byte was
// sent does not count, and one that was sent does.
func TestUnsentIsNoAttempt(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 2)
	p.b.snap.Config.Requests.RetryReserve = 50
	p.b.snap.Config.Requests.RetryWindow = policy.Duration(10 * time.Second)
	a := p.place(p.request("a", Part{"x", 10}))
	out := p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeUnsent})
	require.Len(t, out, 1)
	again, ok := out[0].(Send)
	require.True(t, ok, "it is sent to another target immediately")
	out = p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: again.Attempt.ID, Kind: OutcomeRefused})
	refuse, ok := out[0].(Refuse)
	require.True(t, ok)
	require.Equal(t, NotRun, refuse.Refusal.Verdict)
}

// TestAssumedHolder checks that, without cache events, routers that know nothing of each other
// send a prompt to the same engine, and that other engines fetch its shared parts from there.
func TestAssumedHolder(t *testing.T) {
	t.Parallel()
	one, two := newPartsBoard(t, 6), newPartsBoard(t, 6, WithSeed(7))
	a := one.place(one.request("a", append(shared, own)...))
	require.Equal(t, a.Target, two.place(two.request("b", append(shared, Part{"x", 700})...)).Target)
	two.b.SetHeldTargets(map[TargetKey]bool{{a.Target, "0"}: true, {a.Target, "1"}: true, {a.Target, "2"}: true,
		{a.Target, "3"}: true, {a.Target, "4"}: true, {a.Target, "5"}: true})
	next := two.place(two.request("b", append(shared, Part{"y", 700})...))
	require.NotEqual(t, a.Target, next.Target)
	require.NotEqual(t, a.Target, next.Fetch, "a target that is held back is not a candidate, and the next one in rendezvous order is")
}

// TestLargePoolSpill checks that a request that spills in a large pool is sent to the engine
// that was found for it. Another random sample of engines may contain none with capacity.
func TestLargePoolSpill(t *testing.T) {
	t.Parallel()
	const engines = 60
	p := newPartsBoard(t, engines)
	full := PeerState{}
	for i := 1; i < engines; i++ {
		full.Loads = append(full.Loads, Load{Target: TargetKey{testAddr(i), Incarnation(fmt.Sprint(i))}, InFlight: 1, Tokens: partsMemory})
	}
	p.b.MergePeers(p.now, map[string]PeerState{"peer": full}, 2)
	a := p.place(p.request("a", append(shared, own)...))
	for range 200 {
		if a != nil {
			break
		}
		p.now = p.now.Add(5 * time.Millisecond)
		for _, action := range p.b.Tick(p.now) {
			if s, ok := action.(Send); ok {
				a = &s.Attempt
			}
		}
	}
	require.NotNil(t, a)
	require.Equal(t, testAddr(0), a.Target)
}
