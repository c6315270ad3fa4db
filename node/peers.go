package node

import (
	"context"
	"time"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// gossipLoop gossips with a few peers each round, or reports to relays in a large fleet, and passes
// the result to the board.
func (n *Node) gossipLoop(ctx context.Context) {
	every := gossipInterval
	for pause(ctx, n.jitter(every)) {
		if _, large := n.relays.size(); large {
			n.relays.round(ctx)
			every = reportInterval
		} else {
			n.gossip.Round(ctx)
			n.gossip.ExchangeWith(ctx, n.relays.partitionContacts())
			every = n.gossip.Period(gossipInterval)
		}
		n.borrowList(ctx)
		contacts, known := n.releases.contacts(), n.releases.othersKnow()
		n.updateBoard()
		n.releases.setContacts(contacts)
		n.releases.setKnown(known)
		n.probeLinks()
	}
}

// broadcastTimeout limits the wait for all other nodes to receive a broadcast, which live nodes
// answer within some milliseconds. An unreachable node never answers, and each change of a few
// targets' weights would wait for peerCallTimeout: with a third of the nodes unreachable, bringing 60
// targets to new weights took 6.9 s instead of 4.9 s.
const broadcastTimeout = 60 * time.Millisecond

// broadcast sends this node's state to all nodes at once.
func (n *Node) broadcast(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	if _, large := n.relays.size(); large {
		n.gossip.ExchangeWith(ctx, n.relays.otherAddrs())
		return
	}
	n.gossip.ExchangeWithAll(ctx)
}

// payload returns the state that this node gossips. In a large fleet most of it travels through
// relays instead.
func (n *Node) payload(now time.Time) peer.Payload {
	_, large := n.relays.size()
	n.Lock()
	defer n.Unlock()
	var state route.PeerState
	if !large {
		state = n.Board().State(now)
		// Peers learn cache contents from the cache events of the targets just as soon.
		state.Fills, state.Kept = nil, nil
	}
	state.Holds, state.Ordered, state.Loaded = n.weights.announcement()
	state.Ordered = state.Ordered[:min(len(state.Ordered), route.MaxTargetKeys)]
	return peer.Payload{
		Kind:     peer.KindRouter,
		Draining: n.stopping(),
		Door:     n.settings().Operators,
		Zone:     n.settings().Zone,
		Power:    n.settings().Power,
		Word:     n.adoption.Status(now),
		State:    state,

		TakesHandoffs: !n.disabled.Has(route.HandingOver),
		PinsReleases:  true,
		KnowsReleases: n.releases.known(),
		List:          n.list.offer(now),
	}
}

// receiveConfigStatus applies a peer's configuration status.
func (n *Node) receiveConfigStatus(begun time.Time, w fleet.ConfigStatus) {
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

// updateBoard passes the states of the live peers to the board: one for each peer, or in a large
// fleet the merged state that relays send. Held targets are only taken from the node that holds
// them.
func (n *Node) updateBoard() {
	_, large := n.relays.size()
	nodes := n.fleetSize()
	states := make(map[string]route.PeerState)
	held, ordered := make(map[route.TargetKey]bool), make(map[route.TargetKey]bool)
	var loaded []route.WeightsUpdate
	for _, e := range n.gossip.LiveWithAge() {
		n.peerZones.set(e.Addr, e.Payload.Zone)
		if !large {
			states[e.ID] = e.Payload.State.Aged(e.Age)
		}
		for _, m := range e.Payload.State.Holds {
			held[m] = true
		}
		for _, m := range e.Payload.State.Ordered {
			ordered[m] = true
		}
		loaded = append(loaded, e.Payload.State.Loaded...)
	}
	var (
		position route.Position
		others   route.PeerState
	)
	if large {
		position = route.PositionAmong(n.relays.names(), n.settings().Name)
		others = n.relays.othersState()
		states[allOthers] = others
		loaded = append(loaded, others.Loaded...)
	}
	takers := n.handoffPeers(large, others)
	n.Do(func(b *route.Board, now time.Time) []route.Action {
		b.SetHandoffPeers(now, takers)
		holds, pending, own := n.weights.announcement()
		for _, m := range holds {
			held[m] = true
		}
		for _, m := range pending {
			ordered[m] = true
		}
		var out []route.Action
		for _, w := range append(loaded, own...) {
			out = append(out, b.WeightsLoaded(now, w)...)
		}
		b.SetHeldTargets(held)
		b.SetOrderedTargets(ordered)
		b.SetPosition(position)
		return append(out, b.MergePeers(now, states, nodes)...)
	})
}

// fleetSize returns the number of nodes that share fleet-wide limits: the known nodes, but at least
// the number of seeds in the settings, since a node that starts knows no others. Until
// recordedSizeTTL after the start it is also at least the number that the lease holder recorded.
// Otherwise, with three seeds configured, each of 195 nodes that start together would take a third
// of the limits, the retry reserve and the targets' connections, 65 times its share, for some three
// seconds.
func (n *Node) fleetSize() int {
	nodes, _ := n.relays.size()
	nodes = max(nodes, len(n.settings().Seeds))
	if n.now.Since(n.startedAt) < recordedSizeTTL {
		nodes = max(nodes, int(n.recordedSize.Load()))
	}
	return nodes
}

// recordedSizeTTL is how long after its start a node uses the recorded fleet size as a lower bound:
// 195 nodes that start together all know each other after three seconds.
const recordedSizeTTL = 4 * time.Second

// maxRecordedSize is the largest recorded fleet size that is believed, 25 times the largest
// expected fleet. A wrong, larger one would leave each node almost nothing of the shared limits.
const maxRecordedSize = 10_000

// applyRecordedSize applies the fleet size recorded by the lease holder; zero means that none was
// recorded.
func (n *Node) applyRecordedSize(nodes int) {
	if nodes > 0 && nodes <= maxRecordedSize && n.recordedSize.Swap(int64(nodes)) != int64(nodes) {
		n.updateBoard()
	}
}

// allOthers is the key of the merged state of all other nodes.
const allOthers = "all others"

var (
	_ peer.Handler      = (*Node)(nil)
	_ peer.RelayHandler = (*Node)(nil)
)
