package router

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/wire"
)

// fanout is the number of peers that each round of gossip exchanges with.
const fanout = 2

// gossipLoop exchanges with a few peers each round and gives the board what they told.
func (r *Router) gossipLoop(ctx context.Context) {
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.jitter(r.set.GossipEvery)):
		}
		r.mu.Lock()
		addrs := r.view.Pick(time.Now(), r.rng, fanout)
		r.mu.Unlock()
		var wg sync.WaitGroup
		for _, addr := range addrs {
			wg.Go(func() { r.exchange(ctx, addr) })
		}
		wg.Wait()
		last = r.expirePeers(last)
		r.tellBoard()
	}
}

// exchange gossips with one peer.
func (r *Router) exchange(ctx context.Context, addr netip.AddrPort) {
	begun := time.Now()
	out, err := r.peers.Exchange(ctx, addr, r.half())
	if err != nil {
		return
	}
	r.events.Clock().Observe(out.Stamp)
	r.mu.Lock()
	r.adoption.Peer(begun, out.Word)
	r.merge(out.Entries)
	behind := r.adoption.Wanted() > r.adoption.Revision()
	r.mu.Unlock()
	if behind {
		r.poke()
	}
}

// Exchange implements [wire.PeerHandler].
func (r *Router) Exchange(in wire.Exchange) wire.Exchange {
	r.events.Clock().Observe(in.Stamp)
	r.mu.Lock()
	r.merge(in.Entries)
	behind := in.Word.Revision > r.adoption.Revision()
	r.mu.Unlock()
	if behind {
		r.poke()
	}
	return r.half()
}

// half is the router's half of an exchange.
func (r *Router) half() wire.Exchange {
	stamp := r.events.Clock().Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	payload := wire.Payload{
		Kind:     wire.KindRouter,
		Draining: r.draining.Load(),
		Door:     r.set.Operators,
		Word:     r.adoption.Word(now),
		State:    r.board.State(now),
	}
	return wire.Exchange{From: r.id, Stamp: stamp, Word: payload.Word, Entries: r.view.Message(now, payload)}
}

// merge takes entries into the view; the caller holds the lock.
func (r *Router) merge(entries []wire.Entry) {
	for _, id := range r.view.Merge(time.Now(), entries) {
		r.events.Record(event.Event{Code: event.PeerSeen, Detail: id})
	}
}

func (r *Router) expirePeers(last time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, id := range r.view.Expire(last, now) {
		r.events.Record(event.Event{Code: event.PeerLost, Detail: id})
	}
	return now
}

// tellBoard gives the board the states of the live routers.
func (r *Router) tellBoard() {
	r.do(func(b *route.Board, now time.Time) []route.Action {
		states := make(map[string]route.PeerState)
		for _, e := range r.view.Live(now) {
			if e.Payload.Kind == wire.KindRouter {
				states[e.ID] = e.Payload.State
			}
		}
		return b.Peers(now, states, r.routers(now))
	})
}

// routers is how many routers there are by settings and gossip; the caller holds the lock.
func (r *Router) routers(now time.Time) int {
	n := 1
	for _, e := range r.view.Live(now) {
		if e.Payload.Kind == wire.KindRouter {
			n++
		}
	}
	return max(n, 1+len(r.set.Seeds))
}
