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

// A list of more than largePoolSize targets is read from the store by one relay. The other relays
// take it from that one, and all other nodes from their relay, first in pages and then as changes,
// so that the number of store calls does not grow with the number of nodes.

// Age limits and timeouts for large lists.
const (
	// listStaleFraction is the age of the list, as a fraction of the drain bound, at which a node
	// without answers from a relay reads the store itself.
	listStaleFraction = 0.9
	// secondRelayListFraction plus perRankListFraction for each rank above zero is that age at the
	// relays other than the first, whose rank is zero.
	secondRelayListFraction = 0.4
	perRankListFraction     = 0.06
	// After its start a node without a list leaves reading it to relays: for unknownFleetWait while
	// it knows of no large fleet, for noRelayWait while no relay has answered, which covers the
	// selection of relays when all nodes start together, and for relayAnsweredWait once one has
	// answered.
	unknownFleetWait  = time.Second
	noRelayWait       = 4 * time.Second
	relayAnsweredWait = 8 * time.Second
	// listPageEntries is the number of entries in a page, some 60 KB.
	listPageEntries = 400
)

// isLarge reports whether the list has more than largePoolSize targets or more than the store
// returns in one page.
func (l *targetList) isLarge() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partial || len(l.targets) > largePoolSize
}

// sawPartial records that the list has more targets than were read.
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

// listWait returns how long after its start a node without a list waits for relays, given whether
// it knows the fleet to be large.
func (r *relays) listWait(large bool) time.Duration {
	if !large {
		return unknownFleetWait
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if heard := r.roster.LastRelayContact(); heard.IsZero() || r.n.now.Since(heard) > rosterTimeout {
		return noRelayWait
	}
	return relayAnsweredWait
}

// rank returns this node's rank among the relays; leads is false if it is not a relay.
func (r *relays) rank() (rank int, leads bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.large || !r.acting {
		return 0, false
	}
	rank = slices.IndexFunc(r.roster.Relays(r.n.now()), func(m fleet.Member) bool { return m.ID == r.roster.Self().ID })
	return rank, rank >= 0
}

// listSource returns the id of the relay from which a relay takes a large list: the first of the
// others. The caller holds r.mu.
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
	if q.Complete {
		return n.list.lend(n.now())
	}
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
	p := peer.ListPage{More: to < len(keys), News: peer.RelayUpdate{ListAge: n.now.Since(r.listAt), Steady: n.list.steady(r.listAt), Cursor: r.cursor()}}
	for _, addr := range keys[from:to] {
		if e, ok := r.entries.Get(addr); ok {
			p.Entries = append(p.Entries, e)
		}
	}
	return p, true
}

// pageKeys returns the addresses of the list in order. They are sorted again only after a change.
// The caller holds r.mu.
func (r *relays) pageKeys() []netip.AddrPort {
	if v := r.entries.Version(); r.pagesOf != v || r.pages == nil {
		r.pages, r.pagesOf = r.entries.Keys(), v
		slices.SortFunc(r.pages, func(a, b netip.AddrPort) int { return a.Compare(b) })
	}
	return r.pages
}

// cursor returns the current version of the published list. The caller holds r.mu.
func (r *relays) cursor() peer.RelayCursor {
	return peer.RelayCursor{Epoch: r.roster.Self().Epoch, Entries: r.entries.Version(), Beats: r.heartbeats.Version()}
}

// fetchList fetches the whole list from a relay in pages, in the background.
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
				r.n.log.Debug("fetching a page of the list failed", "relay", from.ID, "error", err)
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

// applyPages applies a list fetched in pages. Changes since the first page arrive with the next
// report.
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
		steady: first.Steady,
	}
	newer, reading := listAt.After(r.listAt), r.followed.reading()
	list := r.followed.list()
	r.mu.Unlock()
	if newer {
		r.n.applyListing(reading, Listing{Targets: list})
	}
}

var _ peer.ListHandler = (*Node)(nil)
