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

// partsBoard is a board before engines that take prompts as chains of named
// parts, with a store of KV cache beside them.
type partsBoard struct {
	t    require.TestingT
	b    *Board
	now  time.Time
	next int
}

// The engines' memory and links in tokens and tokens per second.
const (
	partsMemory = 40000
	partsLink   = 1e6
	storeLink   = 1e5
)

// testBeginLimit is how long after newer weights were named requests begin on older ones.
const testBeginLimit = 9300 * time.Millisecond

// testGuessTime is how long a guess of a target's weights goes before its reports.
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

// announceWeights tells the board that weights were named now; until now the former ones were the newest.
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

// reportParts says by an event that an engine holds parts under the salt of a request.
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

// place places a request and returns the attempt, or nil if it waits or was refused.
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

// A request goes where its parts are held, and an event that they are gone ends that.
func TestPartsFollowEvents(t *testing.T) {
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
	require.Equal(t, testAddr(2), next.Target, "what events tell goes before what was sent long ago")
	require.Equal(t, first.Salt, next.Salt, "both organisations share")
	p.finish(next)
	walled := p.place(p.request("walled", append(shared, own)...))
	require.NotEqual(t, first.Salt, walled.Salt)
	p.finish(walled)
	p.now = p.now.Add(time.Second)
	p.reportParts(testAddr(2), first.Salt, Part{"bb", 0})
	c := newPartsChain(first.Salt, append(shared, own))
	require.Equal(t, 2000, p.b.targets[testAddr(2)].parts.leadingTokens(c), "parts before the lost one stay")
}

// A busy holder's parts are fetched by another engine, under the same salt alone.
func TestPartsFetch(t *testing.T) {
	p := newPartsBoard(t, 2)
	salt := p.request("a", shared...).saltOf("1")
	p.reportParts(testAddr(0), salt, shared...)
	p.reportParts(testAddr(1), salt)
	for i := 0; ; i++ {
		require.Less(t, i, 200, "the holder was never left")
		a := p.place(p.request("a", append(shared, Part{fmt.Sprint("own", i), 2000})...))
		if a == nil {
			return // memory is full before the other engine is worth it
		}
		if a.Target == testAddr(1) {
			require.Equal(t, testAddr(0), a.Fetch)
			return
		}
		require.False(t, a.Fetch.IsValid())
	}
}

func (r Request) saltOf(weights string) string { return r.Salt(weights).String() }

// The store is fetched from where no engine holds the parts, and saved to where
// they are read anew, within the bound of its link.
func TestPartsStore(t *testing.T) {
	p := newPartsBoard(t, 2)
	salt := p.request("a", shared...).saltOf("1")
	p.b.PartChanges(p.now, storeTestAddr, time.Time{}, true, nil)
	p.reportParts(testAddr(0), salt)
	p.reportParts(testAddr(1), salt)
	cold := p.place(p.request("a", append(shared, own)...))
	require.Equal(t, storeTestAddr, cold.Save, "newly read shared parts are saved")
	require.False(t, cold.Fetch.IsValid())
	p.finish(cold)
	p.now = p.now.Add(3 * time.Second)
	p.reportParts(testAddr(0), salt)
	p.reportParts(testAddr(1), salt)
	p.b.PartChanges(p.now, storeTestAddr, time.Time{}, false, []PartChange{{salt, "aa", 2000}, {salt, "bb", 4000}})
	again := p.place(p.request("a", append(shared, Part{"own2", 500})...))
	require.Equal(t, storeTestAddr, again.Fetch)
	require.False(t, again.Save.IsValid(), "the store has them")
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
	require.LessOrEqual(t, float64(moved), 2*storeLink, "its link is bounded")
}

// An installation with two stores has twice the room and twice the link: prompts are
// saved to either, each to one of them, and fetched from the one that holds them. The
// load is that of engines whose own caches hold what they read for some seconds only,
// so that most shared parts are read anew.
func TestPartsTwoStores(t *testing.T) {
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
				require.Equal(t, home, a.Save, "one home for each part")
			}
			homes[part] = a.Save
		}
		p.finish(a)
		p.now = p.now.Add(200 * time.Millisecond)
	}
	for _, addr := range stores {
		// 200,000 tokens of room, for parts that are wanted for 10 s: 20,000 a second.
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

// A store's room goes to prompts that are shared for the most part: where engines read
// far more anew than the store can take, it gets more that serves others for the same
// room than if each prompt in turn were saved.
func TestSavesPreferSharedParts(t *testing.T) {
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
	// 200,000 tokens in 10 s for 60 s, and the burst.
	require.InDelta(t, 1_200_000, room, 150_000, "the room is used, and no more of it")
	// In turn it would be 12 of 19.8 thousand.
	require.Greater(t, float64(shares)/float64(room), 0.85)
}

// Running requests leave three tenths of an engine's memory to what is shared.
func TestPartsMemory(t *testing.T) {
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
				rt.Fatalf("%d tokens run at %s", held[a.Target], a.Target)
			}
		}
	})
}

// Older weights are as good at first, then dearer, and unused past the limit,
// which counts from the first naming that replaced them.
func TestStaleWeights(t *testing.T) {
	p := newPartsBoard(t, 2)
	p.announceWeights("2")
	p.report(1, "2")
	p.now = p.now.Add(5 * time.Second)
	p.announceWeights("3")
	for i := range 5 {
		a := p.place(p.request("a", Part{fmt.Sprint("n", i), 1000}))
		require.Equal(t, testAddr(1), a.Target, "newer weights go first")
		require.Equal(t, "2", a.Weights)
		p.finish(a)
	}
	p.now = p.now.Add(5 * time.Second)
	p.b.SetHeldTargets(map[TargetKey]bool{{testAddr(1), "1"}: true})
	require.Nil(t, p.place(p.request("a", Part{"late", 1000})), "the first weights are too old")
	p.b.SetHeldTargets(nil)
	require.Equal(t, "2", p.place(p.request("a", Part{"late2", 1000})).Weights)
}

// An address at which another incarnation answers may be another pool's by now. It
// gets no work until the incarnation is reported.
func TestUnknownIncarnationAtAddress(t *testing.T) {
	p := newPartsBoard(t, 1, WithReusedAddresses())
	a := p.place(p.request("a", Part{"x", 10}))
	p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeRefused, Incarnation: "new"})
	require.Nil(t, p.place(p.request("a", Part{"y", 10})), "nobody said whose the address is now")
	for _, act := range p.b.Report(p.now, testAddr(0), Report{
		Incarnation: "new", Weights: map[string]string{"m": "1"}, PrefillRate: 50000, Slots: 64,
	}) {
		if s, ok := act.(Send); ok {
			require.EqualValues(t, "new", s.Attempt.Incarnation)
			return
		}
	}
	require.Fail(t, "what waited was not sent")
}

// A silent target is left at once and comes back with its next sign of life.
func TestSilentTarget(t *testing.T) {
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

// With a bound on attempts, one of which no byte left is none; one that was sent counts.
func TestUnsentIsNoAttempt(t *testing.T) {
	p := newPartsBoard(t, 2)
	p.b.snap.Config.Requests.RetryReserve = 50
	p.b.snap.Config.Requests.RetryWindow = policy.Duration(10 * time.Second)
	a := p.place(p.request("a", Part{"x", 10}))
	out := p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeUnsent})
	require.Len(t, out, 1)
	again, ok := out[0].(Send)
	require.True(t, ok, "it goes elsewhere at once")
	out = p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: again.Attempt.ID, Kind: OutcomeRefused})
	refuse, ok := out[0].(Refuse)
	require.True(t, ok)
	require.Equal(t, NotRun, refuse.Refusal.Verdict)
}

// Where no events are followed, routers that know nothing of each other send a
// prompt to the same engine, and fetch its shared parts there from elsewhere.
func TestAssumedHolder(t *testing.T) {
	one, two := newPartsBoard(t, 6), newPartsBoard(t, 6, WithSeed(7))
	a := one.place(one.request("a", append(shared, own)...))
	require.Equal(t, a.Target, two.place(two.request("b", append(shared, Part{"x", 700})...)).Target)
	two.b.SetHeldTargets(map[TargetKey]bool{{a.Target, "0"}: true, {a.Target, "1"}: true, {a.Target, "2"}: true,
		{a.Target, "3"}: true, {a.Target, "4"}: true, {a.Target, "5"}: true})
	next := two.place(two.request("b", append(shared, Part{"y", 700})...))
	require.NotEqual(t, a.Target, next.Target)
	require.NotEqual(t, a.Target, next.Fetch, "a held target is no candidate; the next in order is")
}

// A request that spills in a large pool goes to the engine that was found for it:
// another look at a few engines by chance need not find one with room.
func TestLargePoolSpill(t *testing.T) {
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
