package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// In a large fleet loads are told with reports, which are some 0.4 s old. So requests
// that take a target long are told of besides: each node tells its relay at once, and
// relays tell all others in batches.

// recentInterval is the time between two batches: a tenth of what reports take, at a
// message each for every node.
const recentInterval = 25 * time.Millisecond

// outbox are the requests that a relay has yet to tell of.
type outbox struct {
	// own are to go to everyone, relayed to this relay's own reporters alone.
	own, relayed []route.SentRequest
	// ready wakes the loop that tells them.
	ready chan struct{}
}

func newOutbox() outbox { return outbox{ready: make(chan struct{}, 1)} }

// add takes what is to be told.
func (o *outbox) add(w peer.RecentNotice) {
	if w.Relayed {
		o.relayed = append(o.relayed, w.Recent...)
	} else {
		o.own = append(o.own, w.Recent...)
	}
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// take empties the outbox.
func (o *outbox) take() (own, relayed []route.SentRequest) {
	own, relayed = o.own, o.relayed
	o.own, o.relayed = nil, nil
	return own, relayed
}

// announceRecent tells of a request of this node's own.
func (r *relays) announceRecent(ctx context.Context, s route.SentRequest) {
	word := peer.RecentNotice{Recent: []route.SentRequest{s}}
	r.mu.Lock()
	acting := r.acting
	if acting {
		r.outbox.add(word)
	} else {
		r.expectEcho(s)
	}
	next := r.roster.Next(r.n.now())
	r.mu.Unlock()
	if acting || len(next) == 0 {
		return
	}
	if err := r.n.peers.Recent(ctx, next[0].Addr, word); err != nil {
		r.n.log.Debug("the relay was not told of a request", "relay", next[0].ID, "error", err)
	}
}

// maxEchoes bounds the requests of this node's own that relays have yet to tell it
// of. More stand there only after relays were lost.
const maxEchoes = 256

// expectEcho notes a request of this node's own; the caller holds the lock.
func (r *relays) expectEcho(s route.SentRequest) {
	if len(r.echoes) >= maxEchoes {
		clear(r.echoes)
	}
	r.echoes[s]++
}

// Recent implements [peer.RecentHandler].
func (n *Node) Recent(w peer.RecentNotice) {
	others := n.relays.receiveRecent(w)
	n.Lock()
	defer n.Unlock()
	n.Board().AddPeerSends(n.now(), others)
}

// receiveRecent notes what a relay has to tell others, and returns the requests that
// are not this node's own.
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

// recentLoop tells others in batches while this node relays.
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
					n.log.Debug("a node was not told of requests", "node", addr, "error", err)
				}
			})
		}
	}
}

// batches empties the outbox into what each node is to be told.
func (r *relays) batches() map[netip.AddrPort]peer.RecentNotice {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, relayed := r.outbox.take()
	out := make(map[netip.AddrPort]peer.RecentNotice)
	everything := peer.RecentNotice{Recent: append(relayed, own...), Relayed: true}
	for _, m := range r.roster.Reporters() {
		out[m.Addr] = everything
	}
	for _, m := range r.roster.Next(r.n.now()) {
		if delete(out, m.Addr); len(own) > 0 {
			out[m.Addr] = peer.RecentNotice{Recent: own, Relayed: true}
		}
	}
	return out
}

var _ peer.RecentHandler = (*Node)(nil)
