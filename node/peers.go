package node

import (
	"context"
	"time"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// gossipLoop exchanges with a few peers each round and gives the board what they told.
func (n *Node) gossipLoop(ctx context.Context) {
	for pause(ctx, n.jitter(n.gossip.Period(gossipEvery))) {
		n.gossip.Round(ctx)
		n.tellBoard()
	}
}

// payload is what the node says of itself.
func (n *Node) payload(now time.Time) peer.Payload {
	n.Lock()
	defer n.Unlock()
	state := n.Board().State(now)
	state.Holds, state.Loaded = n.duty.told()
	return peer.Payload{
		Kind:     peer.KindRouter,
		Draining: n.stopping.Load(),
		Door:     n.settings().Operators,
		Word:     n.adoption.Word(now),
		State:    state,
	}
}

// heard takes a peer's word on configuration.
func (n *Node) heard(begun time.Time, w fleet.PeerWord) {
	n.Lock()
	defer n.Unlock()
	n.adoption.Peer(begun, w)
}

// Exchange implements [peer.Handler].
func (n *Node) Exchange(in peer.Exchange) peer.Exchange {
	out := n.gossip.Exchange(in)
	n.tellBoard()
	return out
}

// Config implements [peer.Handler].
func (n *Node) Config() (fleet.Document, bool) {
	n.Lock()
	defer n.Unlock()
	return n.document, n.document.Revision > 0
}

// tellBoard gives the board the states of the live peers.
func (n *Node) tellBoard() {
	states := make(map[string]route.PeerState)
	held := make(map[route.Mark]bool)
	var loaded []route.WeightsWord
	for _, e := range n.gossip.Live() {
		states[e.ID] = e.Payload.State
		for _, m := range e.Payload.State.Holds {
			held[m] = true
		}
		loaded = append(loaded, e.Payload.State.Loaded...)
	}
	n.Do(func(b *route.Board, now time.Time) []route.Action {
		holds, own := n.duty.told()
		for _, m := range holds {
			held[m] = true
		}
		var out []route.Action
		for _, w := range append(loaded, own...) {
			out = append(out, b.Loaded(now, w)...)
		}
		b.Hold(held)
		return append(out, b.Peers(now, states, 1+max(len(states), len(n.settings().Seeds)-1))...)
	})
}

var _ peer.Handler = (*Node)(nil)
