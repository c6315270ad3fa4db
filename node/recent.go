package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// In a large fleet the loads in reports are some 0.4 s old. Requests with a long prefill are
// therefore announced separately: each node sends them to its relay at once, and relays send them
// to all others in batches.

// recentInterval is the time between two batches: a tenth of the delay of reports, at one message
// per batch to every node.
const recentInterval = 25 * time.Millisecond

// outbox holds the requests that a relay has yet to announce.
type outbox struct {
	// own go to every node, relayed only to this relay's own reporters.
	own, relayed []route.SentRequest
	// ownNotices and relayedNotices are notices about targets, likewise.
	ownNotices, relayedNotices []route.TargetNotice
	// ready wakes the loop that sends them.
	ready chan struct{}
}

func newOutbox() outbox { return outbox{ready: make(chan struct{}, 1)} }

// add queues requests.
func (o *outbox) add(w peer.RecentNotice) {
	if w.Relayed {
		o.relayed = append(o.relayed, w.Recent...)
		o.relayedNotices = append(o.relayedNotices, w.Targets...)
	} else {
		o.own = append(o.own, w.Recent...)
		o.ownNotices = append(o.ownNotices, w.Targets...)
	}
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// take empties the outbox of requests.
func (o *outbox) take() (own, relayed []route.SentRequest) {
	own, relayed = o.own, o.relayed
	o.own, o.relayed = nil, nil
	return own, relayed
}

// takeNotices empties the outbox of notices about targets.
func (o *outbox) takeNotices() (own, relayed []route.TargetNotice) {
	own, relayed = o.ownNotices, o.relayedNotices
	o.ownNotices, o.relayedNotices = nil, nil
	return own, relayed
}

// announceRecent announces a request that this node sent.
func (r *relays) announceRecent(ctx context.Context, s route.SentRequest) {
	r.announce(ctx, peer.RecentNotice{Recent: []route.SentRequest{s}})
}

// announce sends a notice to the relay, or queues it for all nodes if this node is one.
func (r *relays) announce(ctx context.Context, notice peer.RecentNotice) {
	r.mu.Lock()
	acting := r.acting
	if acting {
		r.outbox.add(notice)
	} else {
		for _, s := range notice.Recent {
			r.expectEcho(s)
		}
	}
	next := r.roster.Next(r.n.now())
	r.mu.Unlock()
	if acting || len(next) == 0 {
		return
	}
	if err := r.n.peers.Recent(ctx, next[0].Addr, notice); err != nil {
		r.n.log.Debug("sending a notice to the relay failed", "relay", next[0].ID, "error", err)
	}
}

// maxEchoes limits the requests of this node that relays have yet to echo. There are more only
// after relays were lost.
const maxEchoes = 256

// expectEcho records a request of this node. The caller holds r.mu.
func (r *relays) expectEcho(s route.SentRequest) {
	if len(r.echoes) >= maxEchoes {
		clear(r.echoes)
	}
	r.echoes[s]++
}

// Recent implements [peer.RecentHandler].
func (n *Node) Recent(w peer.RecentNotice) {
	others := n.relays.receiveRecent(w)
	n.Do(func(b *route.Board, now time.Time) []route.Action {
		b.AddPeerSends(now, others)
		if len(w.Targets) == 0 {
			return nil
		}
		return b.ApplyNotices(now, w.Targets)
	})
}

// receiveRecent queues the requests if this node is a relay, and returns those that are not this
// node's own.
func (r *relays) receiveRecent(w peer.RecentNotice) []route.SentRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acting {
		r.outbox.add(w)
		return w.Recent
	}
	var others []route.SentRequest
	for _, s := range w.Recent {
		switch r.echoes[s] {
		case 0:
			others = append(others, s)
		case 1:
			delete(r.echoes, s)
		default:
			r.echoes[s]--
		}
	}
	return others
}

// recentLoop sends batches to other nodes while this node is a relay.
func (n *Node) recentLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.relays.outbox.ready:
		}
		if !pause(ctx, recentInterval) {
			return
		}
		for addr, w := range n.relays.batches() {
			n.loops.Go(func() {
				if err := n.peers.Recent(ctx, addr, w); err != nil {
					n.log.Debug("sending notices to a node failed", "node", addr, "error", err)
				}
			})
		}
	}
}

// batches empties the outbox and returns the message for each node.
func (r *relays) batches() map[netip.AddrPort]peer.RecentNotice {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent, relayedRecent := r.outbox.take()
	targets, relayedTargets := r.outbox.takeNotices()
	own := peer.RecentNotice{Recent: recent, Targets: targets, Relayed: true}
	everything := peer.RecentNotice{Recent: append(relayedRecent, recent...), Targets: append(relayedTargets, targets...), Relayed: true}
	out := make(map[netip.AddrPort]peer.RecentNotice)
	for _, m := range r.roster.Reporters() {
		out[m.Addr] = everything
	}
	for _, m := range r.roster.Next(r.n.now()) {
		if delete(out, m.Addr); len(own.Recent)+len(own.Targets) > 0 {
			out[m.Addr] = own
		}
	}
	return out
}

var _ peer.RecentHandler = (*Node)(nil)
