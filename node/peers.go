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
	every := gossipInterval
	for pause(ctx, n.jitter(every)) {
		if _, large := n.relays.size(); large {
			n.relays.round(ctx)
			every = reportInterval
		} else {
			n.gossip.Round(ctx)
			every = n.gossip.Period(gossipInterval)
		}
		n.updateBoard()
	}
}

// broadcastTimeout bounds how long a node waits for all others to have heard what it tells:
// those that answer do so within some milliseconds. A node that is cut off never does,
// and each change of a few targets' weights would wait for it for peerCallTime: bringing
// 60 targets to new weights took 6.9 s in place of 4.9 with a third of the nodes silent.
const broadcastTimeout = 60 * time.Millisecond

// broadcast tells all nodes at once what this one says of itself.
func (n *Node) broadcast(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	if _, large := n.relays.size(); large {
		n.gossip.ExchangeWith(ctx, n.relays.otherAddrs())
		return
	}
	n.gossip.ExchangeWithAll(ctx)
}

// payload is what the node says of itself. In a large fleet relays tell the most of it.
func (n *Node) payload(now time.Time) peer.Payload {
	_, large := n.relays.size()
	n.Lock()
	defer n.Unlock()
	var state route.PeerState
	if !large {
		state = n.Board().State(now)
		// What targets hold is told by their events, which come as soon.
		state.Fills, state.Kept = nil, nil
	}
	state.Holds, state.Loaded = n.weights.announcement()
	return peer.Payload{
		Kind:     peer.KindRouter,
		Draining: n.stopping.Load(),
		Door:     n.settings().Operators,
		Zone:     n.settings().Zone,
		Power:    n.settings().Power,
		Word:     n.adoption.Status(now),
		State:    state,
	}
}

// receiveConfigReport takes a peer's word on configuration.
func (n *Node) receiveConfigReport(begun time.Time, w fleet.ConfigStatus) {
	n.Lock()
	defer n.Unlock()
	n.adoption.ObservePeer(begun, w)
}

// Exchange implements [peer.Handler].
func (n *Node) Exchange(in peer.Exchange) peer.Exchange {
	out := n.gossip.Exchange(in)
	n.updateBoard()
	return out
}

// Config implements [peer.Handler].
func (n *Node) Config() (fleet.Document, bool) {
	n.Lock()
	defer n.Unlock()
	return n.document, n.document.Revision > 0
}

// updateBoard gives the board the states of the live peers: each one's own, or in a
// large fleet the joined one that relays tell. Holds come from their holder alone.
func (n *Node) updateBoard() {
	_, large := n.relays.size()
	nodes := n.fleetSize()
	states := make(map[string]route.PeerState)
	held := make(map[route.TargetKey]bool)
	var loaded []route.WeightsUpdate
	for _, e := range n.gossip.LiveWithAge() {
		n.peerZones.set(e.Addr, e.Payload.Zone)
		if !large {
			states[e.ID] = e.Payload.State.Aged(e.Age)
		}
		for _, m := range e.Payload.State.Holds {
			held[m] = true
		}
		loaded = append(loaded, e.Payload.State.Loaded...)
	}
	if large {
		others := n.relays.othersState()
		states[allOthers] = others
		loaded = append(loaded, others.Loaded...)
	}
	n.Do(func(b *route.Board, now time.Time) []route.Action {
		holds, own := n.weights.announcement()
		for _, m := range holds {
			held[m] = true
		}
		var out []route.Action
		for _, w := range append(loaded, own...) {
			out = append(out, b.WeightsLoaded(now, w)...)
		}
		b.SetHeldTargets(held)
		return append(out, b.MergePeers(now, states, nodes)...)
	})
}

// fleetSize is how many nodes share what is bounded for all: those that are known, and
// at least as many as the settings name, since a node that starts knows nobody yet.
// Until it may know all of them it also takes the number that the holder of the lease
// recorded. Nodes that are started together would otherwise each take a third of the
// limits, of the reserve of repeats and of the targets' connections, where three seeds
// are named: 65 times their part among 195, for some three seconds.
func (n *Node) fleetSize() int {
	nodes, _ := n.relays.size()
	nodes = max(nodes, len(n.settings().Seeds))
	if n.now.Since(n.startedAt) < recordedSizeTTL {
		nodes = max(nodes, int(n.recordedSize.Load()))
	}
	return nodes
}

// recordedSizeTTL is how long after its start a node takes the fleet for as large as was
// recorded, unless it knows of more: 195 nodes that start together all know each other
// after three seconds.
const recordedSizeTTL = 4 * time.Second

// maxRecordedSize is the largest fleet that a record is believed of, 25 times the largest
// expected: one that is not so would give each node next to nothing of what is shared.
const maxRecordedSize = 10_000

// applyRecordedSize takes the size of the fleet that the holder of the lease recorded;
// zero says that it recorded none.
func (n *Node) applyRecordedSize(nodes int) {
	if nodes > 0 && nodes <= maxRecordedSize && n.recordedSize.Swap(int64(nodes)) != int64(nodes) {
		n.updateBoard()
	}
}

// allOthers names the joined state of all other nodes among those of single ones.
const allOthers = "all others"

var (
	_ peer.Handler      = (*Node)(nil)
	_ peer.RelayHandler = (*Node)(nil)
)
