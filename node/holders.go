package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// Nodes inform each other which prompt parts targets were asked to prefill before the cache events
// of those targets report them. In a small fleet each node announces a request with a long prefill
// to all others. In a large fleet a node queries the owner of the prompt's last shared part before it
// places the prompt and informs it afterwards. The owner is chosen among the relays by rendezvous
// hashing, so all nodes choose the same one. With all nodes as owners, each of 195 nodes opened some four connections a second to nodes it had not
// asked before, and ended up with a connection to every other node.

// holdersTimeout is the timeout of a query to an owner, which takes one round trip of some
// milliseconds. Without an answer the prompt is placed by local knowledge.
const holdersTimeout = 25 * time.Millisecond

// announcePlaced queues the placement of a request for peers and drops it if the queue is full.
func (n *Node) announcePlaced(p route.PlacementReport) {
	select {
	case n.placed <- p:
	default:
	}
}

// placedLoop sends queued placements to peers.
func (n *Node) placedLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-n.placed:
			n.loops.Go(func() { n.sendPlaced(ctx, p) })
		}
	}
}

func (n *Node) sendPlaced(ctx context.Context, p route.PlacementReport) {
	if _, large := n.relays.size(); !large {
		if !n.disabled.Has(route.PlacedWords) {
			n.gossip.BroadcastPlaced(ctx, p)
		}
		return
	}
	if !n.disabled.Has(route.RecentWords) && !n.inLargePool(p.Load.Target.Target) {
		n.relays.announceRecent(ctx, route.SentRequest{Target: p.Load.Target.Hash(), Prefill: p.Prefill})
	}
	owner, ok := n.relays.owner(p.Home)
	if ok && len(p.Fills) > 0 && !n.disabled.Has(route.HolderHomes) {
		// In a large fleet relays report loads.
		p.Load = route.Load{}
		n.gossip.SendPlaced(ctx, owner.Addr, p)
	}
}

// inLargePool reports whether a target belongs to a large pool. A node that places a request there
// chose the target among so many that two nodes rarely pick the same one, and informing every node
// would cost more than such a collision.
func (n *Node) inLargePool(addr netip.AddrPort) bool {
	e := n.list.Get(addr)
	return e != nil && n.list.Size(e.Seen.Labels[LabelPool]) > 0
}

// Placed implements [peer.PlacedHandler].
func (n *Node) Placed(w peer.PlacedNotice) {
	n.Lock()
	n.Board().MergeFills(n.now(), w.Placed.Fills)
	n.Unlock()
	if w.Placed.Load.InFlight == 0 {
		return
	}
	n.gossip.Placed(w)
	n.updateBoard()
}

// owner returns the relay that tracks the holders of the parts hashed to part. It reports false in a
// small fleet, or if that node is this one.
func (r *relays) owner(part uint64) (fleet.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.large {
		return fleet.Member{}, false
	}
	m, ok := fleet.RendezvousOwner(r.roster.Relays(r.n.now()), part)
	return m, ok && m.ID != r.roster.Self().ID
}

// queryHolders asks the owner of a request's shared parts which targets hold them.
func (n *Node) queryHolders(ctx context.Context, req route.Request) {
	if _, large := n.relays.size(); !large || n.disabled.Has(route.HolderHomes) {
		return
	}
	n.Lock()
	part, blocks, ok := n.Board().HolderQuery(req)
	n.Unlock()
	if !ok {
		return
	}
	owner, ok := n.relays.owner(part)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, holdersTimeout)
	defer cancel()
	answer, err := n.peers.Holders(ctx, owner.Addr, peer.HoldersQuery{Blocks: blocks})
	if err != nil {
		n.counters.holdersUnanswered.Inc()
		n.log.Debug("querying the holders of prompt parts failed", "home", owner.ID, "error", err)
		return
	}
	n.Lock()
	defer n.Unlock()
	n.Board().MergeFills(n.now(), answer.Fills)
}

// Holders implements [peer.HoldersHandler].
func (n *Node) Holders(q peer.HoldersQuery) peer.HoldersAnswer {
	n.Lock()
	defer n.Unlock()
	return peer.HoldersAnswer{Fills: n.Board().Holders(n.now(), q.Blocks)}
}

var (
	_ peer.PlacedHandler  = (*Node)(nil)
	_ peer.HoldersHandler = (*Node)(nil)
)
