package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"
)

// What a router that reads the engines' events tells of shared parts lets another
// place as if it read them itself; parts that end a prompt are not told.
func TestPartsRelayed(t *testing.T) {
	reader, other := newPartsBoard(t, 3), newPartsBoard(t, 3)
	r := other.request("a", append(shared, own)...)
	salt := r.Salt("1").String()
	for i := range 3 {
		reader.reportParts(testAddr(i), salt)
	}
	reader.reportParts(testAddr(1), salt, append(shared, own)...)
	other.finish(other.place(r))
	told := other.b.State(other.now)
	require.Len(t, told.Shared, len(shared))
	require.Empty(t, other.b.State(other.now.Add(2*sharedTellTime)).Shared, "all have heard of it")

	news := reader.b.PartsSince(reader.now, 0)
	require.Empty(t, news.Targets, "nobody said that these are shared")
	reader.b.MergePeers(reader.now, map[string]PeerState{"other": told}, 2)
	news = reader.b.PartsSince(reader.now, news.Next)
	require.Len(t, news.Targets, 1)
	require.Len(t, news.Targets[0].Keys, len(shared))
	other.now = other.now.Add(time.Minute)
	other.b.TakeParts(other.now, news)
	a := other.place(other.request("a", append(shared, Part{"own2", 500})...))
	require.Equal(t, testAddr(1), a.Target, a.Reason)
	other.finish(a)

	// What the engine drops is told too, and so is an engine that nobody reads any more.
	reader.reportParts(testAddr(1), salt, Part{shared[1].ID, 0})
	news = reader.b.PartsSince(reader.now, news.Next)
	require.Equal(t, []int{0}, news.Targets[0].Tokens)
	other.b.TakeParts(other.now, news)
	require.Equal(t, shared[0].Tokens, other.b.targets[testAddr(1)].parts.leadingTokens(newPartsChain(salt, shared)))
	news.Unread = append(news.Unread, testAddr(1))
	other.b.TakeParts(other.now, news)
	require.False(t, other.b.targets[testAddr(1)].parts.known(other.now))
}

// Joined states say what the single ones say together.
func TestJoin(t *testing.T) {
	m := TargetKey{testAddr(1), "x"}
	joined := JoinStates([]PeerState{
		{Loads: []Load{{m, 1, 20, 300}}, Counted: 1, Demands: []Demand{{"a", 1, 0.5, 100, 50, 4, 400, 1}}, Revision: 3},
		{Speaks: 4, Loads: []Load{{m, 2, 30, 400}}, Counted: 3, Demands: []Demand{{"a", 2, 1.5, 300, 30, 7, 800, 3}}, Leaving: []TargetKey{m}, Revision: 5},
	})
	require.Equal(t, PeerState{
		Speaks: 5, Revision: 5, Loads: []Load{{m, 3, 50, 700}}, Counted: 4, Demands: []Demand{{"a", 3, 2, 400, 80, 11, 1200, 4}}, Leaving: []TargetKey{m},
	}, joined)
}

// A part that is asked about far more often than one engine should serve is spread
// over several, whichever routers its requests come to; the others keep one home.
func TestHotPartSpreads(t *testing.T) {
	p := newPartsBoard(t, 40)
	placed := func(last string) map[string]int {
		places := make(map[string]int)
		for range 60 {
			a := p.place(p.request("a", shared[0], Part{last, 4000}, own))
			places[a.Target.String()]++
			p.finish(a)
			p.now = p.now.Add(time.Second)
		}
		return places
	}
	require.Len(t, placed("calm"), 1)
	r := p.request("a", shared[0], Part{"hot", 4000}, own)
	told := newHotParts()
	require.Positive(t, told.count(p.now, Block(xxh3.HashStringSeed("hot", xxh3.HashString(r.Salt("").String())))))
	state := PeerState{Hot: told.report(p.now)}
	require.Len(t, state.Hot, 1)
	state.Hot[0].Rate = 60
	p.b.MergePeers(p.now, map[string]PeerState{"peer": state}, 2)
	require.GreaterOrEqual(t, len(placed("hot")), 3)
	require.Len(t, placed("calm2"), 1)
}

// A prompt with a long part of its own runs where it displaces nothing that is
// held there alone, and fetches what it shares; a short one runs where that is held.
func TestPartsDisplaced(t *testing.T) {
	p := newPartsBoard(t, 2)
	r := p.request("a", append(shared, own)...)
	salt := r.Salt("1").String()
	kept := append([]Part{{"k1", 9000}, {"k2", 9000}, {"k3", 9000}}, shared...)
	p.b.MergePeers(p.now, map[string]PeerState{"peer": {Shared: sharedIDs(kept)}}, 2)
	p.reportParts(testAddr(0), salt, kept...)
	p.reportParts(testAddr(1), salt)
	require.Equal(t, 33000, p.b.targets[testAddr(0)].parts.soleTokens)

	a := p.place(p.request("a", append(shared, Part{"long", 9000})...))
	require.Equal(t, testAddr(1), a.Target, a.Reason)
	require.Equal(t, testAddr(0), a.Fetch)
	p.finish(a)
	p.now = p.now.Add(time.Minute)
	p.reportParts(testAddr(0), salt)
	p.reportParts(testAddr(1), salt)
	a = p.place(p.request("a", append(shared, Part{"short", 50})...))
	require.Equal(t, testAddr(0), a.Target, a.Reason)
	p.finish(a)

	// What two engines hold is not missed at one of them.
	p.reportParts(testAddr(1), salt, kept[:3]...)
	require.Equal(t, 6000, p.b.targets[testAddr(0)].parts.soleTokens)
	p.reportParts(testAddr(1), salt, Part{"k1", 0})
	require.Equal(t, 15000, p.b.targets[testAddr(0)].parts.soleTokens)
}

func sharedIDs(parts []Part) []uint64 {
	var out []uint64
	for _, part := range parts {
		out = append(out, uint64(hashPartID(part.ID)))
	}
	return out
}

// A target that several peers found silent gets nothing until it shows a sign of
// life, unless it answers here; what one peer alone says is its own path's matter.
func TestSilentByPeers(t *testing.T) {
	p := newPartsBoard(t, 2)
	mark := TargetKey{testAddr(0), "0"}
	told := func(routers int) {
		p.b.MergePeers(p.now, map[string]PeerState{"others": {Speaks: 9, Silent: []SilentUpdate{{mark, routers}}}}, 10)
	}
	usable := func() bool { return p.b.targets[testAddr(0)].usable() }
	told(1)
	require.True(t, usable())
	told(2)
	require.False(t, usable())
	p.report(0, "1")
	require.True(t, usable(), "its entry showed a sign of life")
	p.b.targets[testAddr(0)].answeredAt = p.now
	told(2)
	require.True(t, usable(), "it answered here just now")

	p.now = p.now.Add(time.Minute)
	p.b.markSilent(p.now, p.b.targets[testAddr(0)])
	require.Equal(t, []SilentUpdate{{mark, 1}}, p.b.State(p.now).Silent)
	p.b.markSilent(p.now, p.b.targets[testAddr(1)])
	require.Empty(t, p.b.State(p.now).Silent, "to whom all are silent, that one's path is at fault")
	require.Empty(t, p.b.State(p.now.Add(2*silentTellTime)).Silent)
}

// A key of a shared part is forgotten once no target holds it, however that came:
// new weights give every part a new key.
func TestSharedKeysForgotten(t *testing.T) {
	p := newPartsBoard(t, 1)
	a := p.place(p.request("a", append(shared, own)...))
	p.reportParts(testAddr(0), a.Salt, shared...)
	require.Len(t, p.b.shared.counted, len(shared))
	p.b.PartChanges(p.now, testAddr(0), time.Time{}, true, nil)
	require.Empty(t, p.b.shared.counted)
}

// Each id is told a reader once, in runs of a bounded size, whoever saw it; what a
// relay heard from another relay it does not tell again.
func TestSharedSince(t *testing.T) {
	now := time.Unix(100, 0)
	own, relay := NewBoard(), NewBoard()
	const seen = maxReported + 10
	for i := range seen {
		own.shared.queueForPeers(now, partID(i+1))
	}
	first, next := own.SharedSince(0)
	require.Len(t, first, maxReported)
	rest, next := own.SharedSince(next)
	require.Len(t, rest, seen-maxReported)
	none, end := own.SharedSince(next)
	require.Empty(t, none)
	require.Equal(t, next, end)

	relay.TakeShared(now, first, true)
	relay.TakeShared(now, first, true)
	relay.TakeShared(now, rest, false)
	told, end := relay.SharedSince(0)
	require.Equal(t, first, told, "once each")
	told, _ = relay.SharedSince(end)
	require.Empty(t, told, "what another relay tells is not told again")

	for i := range maxRecentParts {
		own.shared.queueForPeers(now, partID(seen+i+1))
	}
	late, next := own.SharedSince(0)
	require.Len(t, late, maxReported)
	require.EqualValues(t, seen+1, late[0], "the oldest are forgotten")
	require.EqualValues(t, seen+maxReported, next)
}
