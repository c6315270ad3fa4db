package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// gossipNode is a process that only gossips; it notes the answers that it gave.
type gossipNode struct {
	*Gossip
	addr netip.AddrPort
	// state is what the process says of its requests.
	state route.PeerState
	// newest is what it knows of the newest weights, heard what it was told of them.
	newest   []route.NewestUpdate
	received []receivedNewest

	mu      sync.Mutex
	answers []Exchange
}

// receivedNewest is a word on the newest weights as it was heard.
type receivedNewest struct {
	initiated bool
	peer      string
	words     []route.NewestUpdate
}

// Exchange implements [Handler].
func (g *gossipNode) Exchange(in Exchange) Exchange {
	out := g.Gossip.Exchange(in)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers = append(g.answers, out)
	return out
}

// Config implements [Handler].
func (g *gossipNode) Config() (fleet.Document, bool) { return fleet.Document{}, false }

// last is the last answer given.
func (g *gossipNode) last() Exchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answers[len(g.answers)-1]
}

// startGossipNodes starts processes that know each other's addresses; none
// exchanges before it is told to.
func startGossipNodes(t *testing.T, names ...string) []*gossipNode {
	t.Helper()
	var (
		out       []*gossipNode
		listeners []net.Listener
		seeds     []netip.AddrPort
	)
	for range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		seeds = append(seeds, l.Addr().(*net.TCPAddr).AddrPort())
	}
	for i, name := range names {
		client := NewClient(time.Second, nil)
		g := &gossipNode{addr: seeds[i]}
		g.Gossip = NewGossip(GossipConfig{
			ID: name, Addr: seeds[i], Seeds: seeds, Timeout: time.Minute, Seed: uint64(i),
			Payload:        func(time.Time) Payload { return Payload{Kind: KindRouter, State: g.state} },
			OnConfigStatus: func(time.Time, fleet.ConfigStatus) {},
			NewestWeights:  func(time.Time) []route.NewestUpdate { return g.newest },
			OnNewestWeights: func(begun time.Time, peer string, words []route.NewestUpdate) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.received = append(g.received, receivedNewest{initiated: !begun.IsZero(), peer: peer, words: words})
			},
		}, client, event.New(name))
		done := make(chan error, 1)
		go func() { done <- Serve(listeners[i], g) }()
		t.Cleanup(func() {
			client.Close()
			require.NoError(t, listeners[i].Close())
			require.NoError(t, <-done)
		})
		out = append(out, g)
	}
	return out
}

func (g *gossipNode) exchangeWith(ctx context.Context, others ...*gossipNode) {
	for _, o := range others {
		g.ExchangeWith(ctx, []netip.AddrPort{o.addr})
	}
}

// TestGossipSendsOwnEntryOnly checks that processes which have all heard of each
// other tell only what they say of themselves: each one's own word is newer.
func TestGossipSendsOwnEntryOnly(t *testing.T) {
	g := startGossipNodes(t, "a", "b", "c")
	a, b, c := g[0], g[1], g[2]
	a.exchangeWith(t.Context(), b, c)
	b.exchangeWith(t.Context(), c)
	a.exchangeWith(t.Context(), b)
	require.Len(t, b.last().Entries, 1)
	require.Equal(t, "b", b.last().Entries[0].ID)
}

// TestGossipForwardsUnknownEntry checks that a process which has not heard of another
// gets that one's word from a third.
func TestGossipForwardsUnknownEntry(t *testing.T) {
	g := startGossipNodes(t, "a", "b", "c")
	a, b, c := g[0], g[1], g[2]
	b.exchangeWith(t.Context(), c)
	a.exchangeWith(t.Context(), b)
	require.Len(t, b.last().Entries, 2)
	var heard []string
	for _, e := range a.Live() {
		heard = append(heard, e.ID)
	}
	require.Equal(t, []string{"b", "c"}, heard)
}

// TestGossipPlacedNotice checks that a word on a request changes what a peer knows of
// the sender's load at that target alone, and that one of an earlier process does not.
func TestGossipPlacedNotice(t *testing.T) {
	g := startGossipNodes(t, "a", "b")
	a, b := g[0], g[1]
	x, y := route.TargetKey{Incarnation: "x"}, route.TargetKey{Incarnation: "y"}
	a.state = route.PeerState{Loads: []route.Load{{Target: x, InFlight: 1}, {Target: y, InFlight: 2}}}
	a.exchangeWith(t.Context(), b)
	a.BroadcastPlaced(t.Context(), route.PlacementReport{Load: route.Load{Target: x, InFlight: 2, Prefill: 9000}})
	loads := func() []route.Load { return b.Live()[0].Payload.State.Loads }
	require.ElementsMatch(t, []route.Load{{Target: x, InFlight: 2, Prefill: 9000}, {Target: y, InFlight: 2}}, loads())
	b.Placed(PlacedNotice{From: "a", Epoch: 1, Placed: route.PlacementReport{Load: route.Load{Target: x, InFlight: 7}}})
	require.ElementsMatch(t, []route.Load{{Target: x, InFlight: 2, Prefill: 9000}, {Target: y, InFlight: 2}}, loads())
}

// TestGossipNewestWeights checks that both sides of an exchange hear what the other knows
// of the newest weights, and that only the one who asked knows since when it was on its way.
func TestGossipNewestWeights(t *testing.T) {
	g := startGossipNodes(t, "a", "b")
	a, b := g[0], g[1]
	a.newest = []route.NewestUpdate{{Model: "m", Weights: "2", FirstAge: time.Second, LastAge: -1}}
	b.newest = []route.NewestUpdate{{Model: "m", Weights: "1", FirstAge: time.Minute, LastAge: time.Second}}
	a.exchangeWith(t.Context(), b)
	require.Equal(t, []receivedNewest{{initiated: true, peer: "b", words: b.newest}}, a.received)
	require.Equal(t, []receivedNewest{{peer: "a", words: a.newest}}, b.received)
}

// TestGossipClockSetBack checks that a process which is started anew after its clock
// was set back is heard at once: the order of its lives does not hang on its clock.
func TestGossipClockSetBack(t *testing.T) {
	g := startGossipNodes(t, "a", "b", "c")
	a, b, c := g[0], g[1], g[2]
	a.state = route.PeerState{Revision: 1}
	a.exchangeWith(t.Context(), b, c)
	b.exchangeWith(t.Context(), c)
	// The new life has nothing of the old one but its name and address.
	a.mu.Lock()
	a.state = route.PeerState{Revision: 2}
	a.mu.Unlock()
	a.Gossip.mu.Lock()
	a.view = fleet.NewView[Payload]("a", a.addr, 1, []netip.AddrPort{b.addr, c.addr}, time.Minute)
	a.Gossip.mu.Unlock()
	revision := func(of *gossipNode) int64 {
		for _, e := range of.Live() {
			if e.ID == "a" {
				return e.Payload.State.Revision
			}
		}
		return 0
	}
	a.exchangeWith(t.Context(), b)
	a.exchangeWith(t.Context(), b)
	require.EqualValues(t, 2, revision(b), "the second exchange of a new life is heard")
	// The one that still knows the old life does not bring it back.
	c.exchangeWith(t.Context(), b)
	require.EqualValues(t, 2, revision(b))
	b.exchangeWith(t.Context(), c)
	a.exchangeWith(t.Context(), c)
	require.EqualValues(t, 2, revision(c))
}
