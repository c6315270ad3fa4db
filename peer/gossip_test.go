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

// gossipNode is a process that only gossips; it records its answers.
type gossipNode struct {
	*Gossip
	addr netip.AddrPort
	// state is the state of its requests that the process publishes.
	state route.PeerState
	// newest is what it knows of the newest weights, received what peers sent about them.
	newest   []route.NewestUpdate
	received []receivedNewest

	mu      sync.Mutex
	answers []Exchange
}

// receivedNewest is an update on the newest weights as it was received.
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

// last returns the last answer.
func (g *gossipNode) last() Exchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answers[len(g.answers)-1]
}

// startGossipNodes starts processes that know each other's addresses and
// exchange only when a test calls them.
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

// TestGossipSendsOwnEntryOnly checks that processes that have all received each
// other's entries send only their own, since each one's own entry is the newest.
func TestGossipSendsOwnEntryOnly(t *testing.T) {
	g := startGossipNodes(t, "a", "b", "c")
	a, b, c := g[0], g[1], g[2]
	a.exchangeWith(t.Context(), b, c)
	b.exchangeWith(t.Context(), c)
	a.exchangeWith(t.Context(), b)
	require.Len(t, b.last().Entries, 1)
	require.Equal(t, "b", b.last().Entries[0].ID)
}

// TestGossipForwardsUnknownEntry checks that a process without the entry of
// another one receives it from a third.
func TestGossipForwardsUnknownEntry(t *testing.T) {
	g := startGossipNodes(t, "a", "b", "c")
	a, b, c := g[0], g[1], g[2]
	b.exchangeWith(t.Context(), c)
	a.exchangeWith(t.Context(), b)
	require.Len(t, b.last().Entries, 2)
	var ids []string
	for _, e := range a.Live() {
		ids = append(ids, e.ID)
	}
	require.Equal(t, []string{"b", "c"}, ids)
}

// TestGossipPlacedNotice checks that a notice of a placed request changes only the sender's
// load at that target, and that a notice of an earlier epoch changes nothing.
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

// TestGossipNewestWeights checks that both sides of an exchange receive what the other knows
// of the newest weights, and that only the caller knows when the exchange began.
func TestGossipNewestWeights(t *testing.T) {
	g := startGossipNodes(t, "a", "b")
	a, b := g[0], g[1]
	a.newest = []route.NewestUpdate{{Model: "m", Weights: "2", FirstAge: time.Second, LastAge: -1}}
	b.newest = []route.NewestUpdate{{Model: "m", Weights: "1", FirstAge: time.Minute, LastAge: time.Second}}
	a.exchangeWith(t.Context(), b)
	require.Equal(t, []receivedNewest{{initiated: true, peer: "b", words: b.newest}}, a.received)
	require.Equal(t, []receivedNewest{{peer: "a", words: a.newest}}, b.received)
}

// TestGossipClockSetBack checks that peers accept a process that is restarted after its clock
// was set back: the order of its epochs does not depend on its clock.
func TestGossipClockSetBack(t *testing.T) {
	g := startGossipNodes(t, "a", "b", "c")
	a, b, c := g[0], g[1], g[2]
	a.state = route.PeerState{Revision: 1}
	a.exchangeWith(t.Context(), b, c)
	b.exchangeWith(t.Context(), c)
	// The restarted process shares only its name and address with the earlier one.
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
	require.EqualValues(t, 2, revision(b), "the second exchange after the restart is accepted")
	// A process that still has the old entry does not restore it.
	c.exchangeWith(t.Context(), b)
	require.EqualValues(t, 2, revision(b))
	b.exchangeWith(t.Context(), c)
	a.exchangeWith(t.Context(), c)
	require.EqualValues(t, 2, revision(c))
}
