package node

import (
	"context"
	"time"

	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// A request that a target did not run shows that the target was replaced, has ended, has other
// weights or is loading them. The node tells the others at once: reports are up to half a second
// old in a large fleet, in which each of the other nodes would lose a request as well.

const (
	// noticeQueueSize limits the notices that wait to be sent; the reports to peers repeat them.
	noticeQueueSize = 64
	// noticeInterval is the time between two messages with notices, so that targets that end
	// together take one message.
	noticeInterval = 10 * time.Millisecond
)

// announceNotice queues a notice for the other nodes and drops it if the queue is full.
func (n *Node) announceNotice(w route.TargetNotice) {
	select {
	case n.notices <- w:
	default:
	}
}

// noticeLoop sends queued notices to the other nodes.
func (n *Node) noticeLoop(ctx context.Context) {
	for {
		var batch []route.TargetNotice
		select {
		case <-ctx.Done():
			return
		case w := <-n.notices:
			batch = append(batch, w)
		}
		if !pause(ctx, noticeInterval) {
			return
		}
		for len(n.notices) > 0 {
			batch = append(batch, <-n.notices)
		}
		n.sendNotices(ctx, batch)
	}
}

// sendNotices sends notices to all nodes of a small fleet, or to the relay in a large one.
func (n *Node) sendNotices(ctx context.Context, batch []route.TargetNotice) {
	if _, large := n.relays.size(); large {
		n.relays.announce(ctx, peer.RecentNotice{Targets: batch})
		return
	}
	for _, e := range n.gossip.Live() {
		n.loops.Go(func() {
			if err := n.peers.Recent(ctx, e.Addr, peer.RecentNotice{Targets: batch, Relayed: true}); err != nil {
				n.log.Debug("sending notices to a node failed", "node", e.ID, "error", err)
			}
		})
	}
}
