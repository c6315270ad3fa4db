package router

import (
	"context"
	"time"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// gossipLoop exchanges state with a few peers each round and then updates the board.
func (r *Router) gossipLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.jitter(r.gossip.Period(r.set.GossipEvery))):
		}
		r.gossip.Round(ctx)
		r.updateBoard()
	}
}

// payload returns the state that the router sends to its peers.
func (r *Router) payload(now time.Time) peer.Payload {
	r.Lock()
	defer r.Unlock()
	return peer.Payload{
		Kind:     peer.KindRouter,
		Draining: r.draining.Load(),
		Door:     r.set.Operators,
		Word:     r.adoption.Status(now),
		State:    r.Board().State(now),
	}
}

// receiveConfigReport applies a peer's configuration status and wakes the
// configuration loop if the peer has a newer revision.
func (r *Router) receiveConfigReport(startedAt time.Time, status fleet.ConfigStatus) {
	r.Lock()
	r.adoption.ObservePeer(startedAt, status)
	behind := r.adoption.Behind()
	r.Unlock()
	if behind {
		r.wakeConfig()
	}
}

// Exchange implements [peer.Handler].
func (r *Router) Exchange(in peer.Exchange) peer.Exchange { return r.gossip.Exchange(in) }

// updateBoard passes the states of the live peers to the board: those of
// routers, and the targets that fleet processes keep empty.
func (r *Router) updateBoard() {
	states := make(map[string]route.PeerState)
	held := make(map[route.TargetKey]bool)
	for _, e := range r.gossip.Live() {
		switch e.Payload.Kind {
		case peer.KindRouter:
			states[e.ID] = e.Payload.State
		case peer.KindFleet:
			for _, m := range e.Payload.State.Holds {
				held[m] = true
			}
		}
	}
	r.Do(func(b *route.Board, now time.Time) []route.Action {
		b.SetHeldTargets(held)
		return b.MergePeers(now, states, 1+max(len(states), r.seedRouters))
	})
}
