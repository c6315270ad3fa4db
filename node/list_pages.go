package node

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// A list of more than largePoolSize targets is read from the store by one relay, from which the other
// relays take it; all others take it from theirs, first in pages and then by its changes, so that the
// calls to the store do not grow with the nodes.

// The times of a large list.
const (
	// listStaleFraction is how old the list may be at a node that has heard no relay since, as a part of
	// the bound of draining, before it reads the store itself.
	listStaleFraction = 0.9
	// secondRelayListFraction and perRankListFraction are how old it may be at a relay that is not the first, for the
	// second and for each further one.
	secondRelayListFraction = 0.4
	perRankListFraction     = 0.06
	// A node without a list leaves it to relays after its start: for unknownFleetWait while it knows
	// of no large fleet, for noRelayWait while none answered, in which relays settle at a common
	// start, and for relayHeardWait once one did.
	unknownFleetWait = time.Second
	noRelayWait      = 4 * time.Second
	relayHeardWait   = 8 * time.Second
	// listPageEntries is the number of entries of a page, some 60 KB.
	listPageEntries = 400
)

// isLarge reports whether the list has more targets than the store gives at once, or than largePoolSize.
func (l *targetList) isLarge() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partial || len(l.targets) > largePoolSize
}

// sawPartial notes that the list has more targets than were read.
func (l *targetList) sawPartial() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial = true
}

// defersListRead reports whether this node leaves reading the list to others.
func (n *Node) defersListRead() bool {
	if n.relays.followsRelay() {
		return true
	}
	if !n.list.isLarge() {
		return false
	}
	_, large := n.relays.size()
	rank, leads := n.relays.rank()
	switch {
	case leads && rank == 0:
		return false
	case !n.list.nonEmpty():
		return n.now.Since(n.startedAt) < n.relays.listWait(large)
	case !large:
		return false
	}
	age, drain := n.list.age(n.now()), n.settings().Bounds.Drain
	if leads {
		return age < fraction(drain, secondRelayListFraction+perRankListFraction*float64(rank))
	}
	return age < fraction(drain, listStaleFraction)
}

// listWait is how long after its start a node without a list leaves it to relays, in a fleet that
// it knows to be large or not.
func (r *relays) listWait(large bool) time.Duration {
	if !large {
		return unknownFleetWait
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if heard := r.roster.LastRelayContact(); heard.IsZero() || r.n.now.Since(heard) > rosterTimeout {
		return noRelayWait
	}
	return relayHeardWait
}

// rank returns this node's place among the relays; leads is false if it is none.
func (r *relays) rank() (rank int, leads bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.large || !r.acting {
		return 0, false
	}
	rank = slices.IndexFunc(r.roster.Relays(r.n.now()), func(m fleet.Member) bool { return m.ID == r.roster.Self().ID })
	return rank, rank >= 0
}

// listSource returns the relay that a relay takes a large list from: the first of the others. The
// caller holds the lock.
func (r *relays) listSource() string {
	for _, m := range r.roster.Relays(r.n.now()) {
		if m.ID != r.roster.Self().ID {
			return m.ID
		}
	}
	return ""
}

// List implements [peer.ListHandler].
func (n *Node) List(q peer.ListQuery) (peer.ListPage, bool) {
	r := n.relays
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.acting || r.listAt.IsZero() {
		return peer.ListPage{}, false
	}
	keys := r.pageKeys()
	from, _ := slices.BinarySearchFunc(keys, q.After, func(a, b netip.AddrPort) int { return a.Compare(b) })
	for from < len(keys) && keys[from] == q.After {
		from++
	}
	to := min(from+listPageEntries, len(keys))
	p := peer.ListPage{More: to < len(keys), News: peer.RelayUpdate{ListAge: n.now.Since(r.listAt), Cursor: r.cursor()}}
	for _, addr := range keys[from:to] {
		if e, ok := r.entries.Get(addr); ok {
			p.Entries = append(p.Entries, e)
		}
	}
	return p, true
}

// pageKeys returns the addresses of the list in their order, sorted again only after a change; the
// caller holds the lock.
func (r *relays) pageKeys() []netip.AddrPort {
	if v := r.entries.Version(); r.pagesOf != v || r.pages == nil {
		r.pages, r.pagesOf = r.entries.Keys(), v
		slices.SortFunc(r.pages, func(a, b netip.AddrPort) int { return a.Compare(b) })
	}
	return r.pages
}

// cursor is how far the list is told to others now; the caller holds the lock.
func (r *relays) cursor() peer.RelayCursor {
	return peer.RelayCursor{Epoch: r.roster.Self().Epoch, Entries: r.entries.Version(), Beats: r.heartbeats.Version()}
}

// fetchList takes the whole list from a relay in pages, beside what the node goes on with.
func (r *relays) fetchList(ctx context.Context, from fleet.Member) {
	if !r.fetchingList.CompareAndSwap(false, true) {
		return
	}
	r.n.loops.Go(func() {
		defer r.fetchingList.Store(false)
		var (
			q     peer.ListQuery
			first peer.RelayUpdate
			begun time.Time
		)
		entries := make(map[netip.AddrPort]*route.Entry)
		for {
			asked := r.n.now()
			p, err := r.n.peers.List(ctx, from.Addr, q)
			if err != nil {
				r.n.log.Debug("a page of the list was not taken", "relay", from.ID, "error", err)
				return
			}
			if first.Cursor.Epoch == 0 {
				first, begun = p.News, asked
			}
			r.n.list.intern(p.Entries)
			for _, e := range p.Entries {
				entries[e.Seen.Addr] = e
				q.After = e.Seen.Addr
			}
			if !p.More || len(p.Entries) == 0 {
				break
			}
		}
		r.applyPages(begun, from, first, entries)
	})
}

// applyPages takes a list that was taken in pages; what changed since the first one is told with the
// next report.
func (r *relays) applyPages(begun time.Time, from fleet.Member, first peer.RelayUpdate, entries map[netip.AddrPort]*route.Entry) {
	r.mu.Lock()
	members, digest := r.followed.members, r.followed.digest
	if r.followed.id != from.ID {
		members, digest = nil, 0
	}
	listAt := begun.Add(-first.ListAge)
	r.followed = followedRelay{
		id: from.ID, cursor: first.Cursor, members: members, digest: digest, entries: entries,
		heartbeats: make(map[netip.AddrPort]int64), at: begun, listAt: listAt,
	}
	newer := listAt.After(r.listAt)
	list := r.followed.list()
	r.mu.Unlock()
	if newer {
		r.n.applyListing(listAt, Listing{Targets: list}, true)
	}
}

var _ peer.ListHandler = (*Node)(nil)
