package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"
)

// A router that receives the shared parts known to another router, which reads the engines' cache
// events, places requests as if it read the events itself. Parts at the end of a prompt are not
// sent.
func TestPartsRelayed(t *testing.T) {
	t.Parallel()
	reader, other := newPartsBoard(t, 3), newPartsBoard(t, 3)
	r := other.request("a", append(shared, own)...)
	salt := r.Salt("1").String()
	for i := range 3 {
		reader.reportParts(testAddr(i), salt)
	}
	reader.reportParts(testAddr(1), salt, append(shared, own)...)
	other.finish(other.place(r))
	state := other.b.State(other.now)
	require.Len(t, state.Shared, len(shared))
	require.Empty(t, other.b.State(other.now.Add(2*sharedTellTime)).Shared, "all have received it")

	update := reader.b.PartsSince(reader.now, 0)
	require.Empty(t, update.Targets, "these are not known to be shared")
	reader.b.MergePeers(reader.now, map[string]PeerState{"other": state}, 2)
	update = reader.b.PartsSince(reader.now, update.Next)
	require.Len(t, update.Targets, 1)
	require.Len(t, update.Targets[0].Keys, len(shared))
	other.now = other.now.Add(time.Minute)
	other.b.TakeParts(other.now, update)
	a := other.place(other.request("a", append(shared, Part{"own2", 500})...))
	require.Equal(t, testAddr(1), a.Target, a.Reason)
	other.finish(a)

	// Parts that the engine drops are sent too, as are engines whose events are no longer read.
	reader.reportParts(testAddr(1), salt, Part{shared[1].ID, 0})
	update = reader.b.PartsSince(reader.now, update.Next)
	require.Equal(t, []int{0}, update.Targets[0].Tokens)
	other.b.TakeParts(other.now, update)
	require.Equal(t, shared[0].Tokens, other.b.targets[testAddr(1)].parts.leadingTokens(newPartsChain(salt, shared)))
	update.Unread = append(update.Unread, testAddr(1))
	other.b.TakeParts(other.now, update)
	require.False(t, other.b.targets[testAddr(1)].parts.known(other.now))
}

// Merged states contain the same information as the separate ones.
func TestJoin(t *testing.T) {
	t.Parallel()
	m := TargetKey{testAddr(1), "x"}
	joined := JoinStates([]PeerState{
		{Loads: []Load{{m, 1, 20, 300}}, Counted: 1, Demands: []Demand{{"a", 1, 0.5, 100, 50, 4, 400, 1, 10}}, Revision: 3},
		{Speaks: 4, Loads: []Load{{m, 2, 30, 400}}, Counted: 3, Demands: []Demand{{"a", 2, 1.5, 300, 30, 7, 800, 3, 20}}, Leaving: []TargetKey{m}, Revision: 5},
	})
	require.Equal(t, PeerState{
		Speaks: 5, Revision: 5, Loads: []Load{{m, 3, 50, 700}}, Counted: 4, Demands: []Demand{{"a", 3, 2, 400, 80, 11, 1200, 4, 30}}, Leaving: []TargetKey{m},
	}, joined)
}

// A part requested far more often than one engine should serve is spread over several engines,
// whichever routers its requests arrive at. Other parts keep one home.
func TestHotPartSpreads(t *testing.T) {
	t.Parallel()
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
	peerParts := newHotParts()
	require.Positive(t, peerParts.count(p.now, Block(xxh3.HashStringSeed("hot", xxh3.HashString(r.Salt("").String())))))
	state := PeerState{Hot: peerParts.report(p.now)}
	require.Len(t, state.Hot, 1)
	state.Hot[0].Rate = 60
	p.b.MergePeers(p.now, map[string]PeerState{"peer": state}, 2)
	require.GreaterOrEqual(t, len(placed("hot")), 3)
	require.Len(t, placed("calm2"), 1)
}

// A prompt with a long part of its own runs where it does not displace the only copy of cached
// parts, and fetches its shared parts. A short one runs where its shared parts are held.
func TestPartsDisplaced(t *testing.T) {
	t.Parallel()
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

	// Parts held by two engines are not missed when one of them loses its copy.
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

// A target that several peers found unresponsive gets nothing until it responds again, unless it
// answers this router. A report by a single peer is attributed to that peer's own path.
func TestUnresponsiveByPeers(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 2)
	mark := TargetKey{testAddr(0), "0"}
	report := func(routers int) {
		p.b.MergePeers(p.now, map[string]PeerState{"others": {Speaks: 9, Silent: []UnresponsiveUpdate{{mark, routers}}}}, 10)
	}
	usable := func() bool { return p.b.targets[testAddr(0)].usable() }
	report(1)
	require.True(t, usable())
	report(2)
	require.False(t, usable())
	p.report(0, "1")
	require.True(t, usable(), "its entry was updated")
	p.b.targets[testAddr(0)].answeredAt = p.now
	report(2)
	require.True(t, usable(), "it answered here just now")

	p.now = p.now.Add(time.Minute)
	p.b.markUnresponsive(p.now, p.b.targets[testAddr(0)])
	require.Equal(t, []UnresponsiveUpdate{{mark, 1}}, p.b.State(p.now).Silent)
	p.b.markUnresponsive(p.now, p.b.targets[testAddr(1)])
	require.Empty(t, p.b.State(p.now).Silent, "a router to which no target responds is at fault itself")
	require.Empty(t, p.b.State(p.now.Add(2*unresponsiveReportTime)).Silent)
}

// A key of a shared part is removed once no target holds it. New weights give every part a new key,
// so keys would otherwise accumulate.
func TestSharedKeysForgotten(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 1)
	a := p.place(p.request("a", append(shared, own)...))
	p.reportParts(testAddr(0), a.Salt, shared...)
	require.Len(t, p.b.shared.counted, len(shared))
	p.b.PartChanges(p.now, testAddr(0), time.Time{}, true, nil)
	require.Empty(t, p.b.shared.counted)
}

// Each id is returned once per reader, in batches of a bounded size, whichever router saw it. A
// relay does not report ids again that it received from another relay.
func TestSharedSince(t *testing.T) {
	t.Parallel()
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
	ids, end := relay.SharedSince(0)
	require.Equal(t, first, ids, "once each")
	ids, _ = relay.SharedSince(end)
	require.Empty(t, ids, "ids from another relay are not relayed again")

	for i := range maxRecentParts {
		own.shared.queueForPeers(now, partID(seen+i+1))
	}
	late, next := own.SharedSince(0)
	require.Len(t, late, maxReported)
	require.EqualValues(t, seen+1, late[0], "the oldest are forgotten")
	require.EqualValues(t, seen+maxReported, next)
}
