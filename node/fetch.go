package node

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
)

// applyConfigStatus applies a relay's configuration status and fetches a newer configuration.
func (n *Node) applyConfigStatus(ctx context.Context, begun time.Time, addr netip.AddrPort, w fleet.ConfigStatus) {
	n.receiveConfigStatus(begun, w)
	n.Lock()
	behind := w.Revision > n.adoption.Revision()
	n.Unlock()
	if behind {
		n.logBehind(w.Revision, addr)
		n.fetchAsync(ctx, addr)
	}
}

// fetchAsync fetches the configuration of a peer in the background, unless a fetch is in progress.
// If reports waited for the fetch, the node would be off the roster after 2.5 s, which a large
// document takes on a slow link.
func (n *Node) fetchAsync(ctx context.Context, addr netip.AddrPort) {
	if !n.fetching.CompareAndSwap(false, true) {
		return
	}
	n.loops.Go(func() {
		defer n.fetching.Store(false)
		n.fetchFrom(ctx, addr)
	})
}

// logBehind logs each newer revision that is known but not in force, once.
func (n *Node) logBehind(revision int64, addr netip.AddrPort) {
	n.Lock()
	known := revision <= n.loggedBehind
	n.loggedBehind = max(n.loggedBehind, revision)
	n.Unlock()
	if !known {
		n.events.Record(event.Event{Code: event.ConfigBehind, Revision: revision, Detail: "known from peer " + addr.String()})
	}
}

// fetchFromPeers asks peers for a newer configuration while the store is unavailable.
func (n *Node) fetchFromPeers(ctx context.Context) {
	n.Lock()
	behind := n.adoption.Revision() == 0 || n.adoption.Behind()
	n.Unlock()
	if !behind {
		return
	}
	for _, addr := range n.gossip.ExchangeWithAll(ctx) {
		n.fetchFrom(ctx, addr)
	}
}

// fetchFrom fetches the configuration of a peer and adopts it if it is newer.
func (n *Node) fetchFrom(ctx context.Context, addr netip.AddrPort) {
	begun := n.now()
	n.Lock()
	have := n.adoption.Revision()
	n.Unlock()
	d, newer, err := n.peers.Config(ctx, addr, n.settings().Name, have)
	if err != nil {
		n.counters.fetched("failed")
		n.events.Record(event.Event{
			Code: event.ConfigUnfetched, Detail: fmt.Sprintf("from peer %s, after %s: %v", addr, n.now.Since(begun).Round(time.Millisecond), err),
		})
		return
	}
	if !newer {
		return
	}
	n.counters.fetched("done")
	declared, err := n.store.Parse(d.Revision, d.Text)
	if err != nil {
		n.events.Record(event.Event{Code: event.ConfigRejected, Revision: d.Revision, Detail: err.Error()})
		return
	}
	n.adopt(*declared, "peer "+addr.String())
}
