package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// What targets are asked to read is known to others before the targets' own events
// tell it. In a small fleet each node tells all others of a request that takes its
// target long. In a large one, a node asks the home of a prompt's last shared part,
// which all choose alike among the relays, before it places the prompt, and tells it
// after. With all nodes as homes each of 195 opened some four connections a second to
// one that it had not asked yet, and came to keep one to every other.

// holdersTimeout bounds the question to a home, which is one round trip of some
// milliseconds: without an answer the prompt is placed by what is known here.
const holdersTimeout = 25 * time.Millisecond

// announcePlaced has peers told of a request, unless too many others wait for that.
func (n *Node) announcePlaced(p route.PlacementReport) {
	select {
	case n.placed <- p:
	default:
	}
}

// placedLoop tells peers what targets were asked to read.
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
		if !n.off.Has(route.PlacedWords) {
			n.gossip.BroadcastPlaced(ctx, p)
		}
		return
	}
	if !n.off.Has(route.RecentWords) && !n.inLargePool(p.Load.Target.Target) {
		n.relays.announceRecent(ctx, route.SentRequest{Target: p.Load.Target.Hash(), Prefill: p.Prefill})
	}
	home, ok := n.relays.home(p.Home)
	if ok && len(p.Fills) > 0 && !n.off.Has(route.HolderHomes) {
		// Loads are the relays' to tell.
		p.Load = route.Load{}
		n.gossip.SendPlaced(ctx, home.Addr, p)
	}
}

// inLargePool reports whether a target is of a large pool: whoever places a request there chose it
// among so many that two rarely meet, and a word on each to every node would cost more than that does.
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

// home returns the node that is told who holds the parts that a number stands for,
// and whether that is another node of a large fleet.
func (r *relays) home(part uint64) (fleet.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.large {
		return fleet.Member{}, false
	}
	m, ok := fleet.RendezvousOwner(r.roster.Relays(r.n.now()), part)
	return m, ok && m.ID != r.roster.Self().ID
}

// queryHolders asks the home of a request's shared parts who holds them.
func (n *Node) queryHolders(ctx context.Context, req route.Request) {
	if _, large := n.relays.size(); !large || n.off.Has(route.HolderHomes) {
		return
	}
	n.Lock()
	part, blocks, ok := n.Board().HolderQuery(req)
	n.Unlock()
	if !ok {
		return
	}
	home, ok := n.relays.home(part)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, holdersTimeout)
	defer cancel()
	answer, err := n.peers.Holders(ctx, home.Addr, peer.HoldersQuery{Blocks: blocks})
	if err != nil {
		n.counters.holdersUnanswered.Inc()
		n.log.Debug("the home of a prompt's parts did not answer", "home", home.ID, "error", err)
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
