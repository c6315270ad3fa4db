package node

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// Intervals and limits of a large fleet, whose nodes report to a few relays.
const (
	// reportInterval is the time between two reports, and so the age of reported loads.
	reportInterval = 250 * time.Millisecond
	// rosterTimeout is the time without contact after which a node is removed from the roster.
	rosterTimeout = 2500 * time.Millisecond
	// followTimeout is the maximum age of the last relay answer for relying on it; it allows for
	// some failed reports.
	followTimeout = 1500 * time.Millisecond
	// followListFraction and followKeysFraction are the maximum ages of a relay's reading of the
	// list and of the declaration, as fractions of the drain and revocation bounds.
	followListFraction = 0.6
	followKeysFraction = 0.5
	// relayListFraction and relayWatchFraction are a relay's own reading intervals as fractions of
	// the same bounds. Only a few nodes read, so they may read often.
	relayListFraction  = 0.25
	relayWatchFraction = 0.15
	// relayAskFraction is the age of a relay's list, as a fraction of the drain bound, at which the
	// relay asks other relays for theirs. It leaves time for two reports before followListFraction,
	// at which all its reporters would turn to the store.
	relayAskFraction = 0.4
	// smallFleetHysteresis is the fraction of the small-fleet size below which a large fleet counts
	// as small again, so that a fleet near the limit does not flap.
	smallFleetHysteresis = 0.75
)

// relays is the node's role in a large fleet. A few nodes, the relays, read the store and the
// engines' events and pass them on, and merge the states that all nodes report. A node without an
// answer from a relay reads the store itself.
type relays struct {
	n *Node

	// mu guards the fields below. It may be acquired while the node's lock is held, but not the
	// other way round.
	mu     sync.Mutex
	roster *fleet.Roster[route.PeerState]
	large  bool
	acting bool
	// largeAt is when the fleet became large.
	largeAt time.Time
	// contactAt is when the last call to a relay began that was answered.
	contactAt time.Time
	// knowsReleases is set once a relay that knew the splits of releases answered.
	knowsReleases bool
	// entries and heartbeats are the published list, read at listAt. Only relays have them.
	entries    *route.Feed[netip.AddrPort, *route.Entry]
	heartbeats *route.Feed[netip.AddrPort, int64]
	listAt     time.Time
	// members are the published members, as of the digest membersOf.
	members   *route.Feed[string, fleet.Member]
	membersOf uint64
	// pages are the sorted addresses of the list, as of version pagesOf of entries.
	pages   []netip.AddrPort
	pagesOf int64
	// fetchingList is set while the whole list is being fetched from a relay.
	fetchingList atomic.Bool
	// followed is the state received from the relay that this node follows.
	followed followedRelay
	outbox   outbox
	// otherPartition are nodes of a large fleet that reported to this one, whose own fleet is small.
	otherPartition map[netip.AddrPort]bool
	// offers are the lists that reporters offered to this relay, by the reporter's id.
	offers map[string]listLender
	// echoes counts the requests of this node that relays will send back to it.
	echoes map[route.SentRequest]int
	// sharedSent is the position up to which shared parts were sent to each relay.
	sharedSent map[string]sharedCursor
	// loggedRole is this node's role as last logged.
	loggedRole relayRole
}

func newRelays(n *Node) *relays {
	s := n.settings()
	now := n.now()
	self := fleet.Member{ID: s.Name, Addr: s.Peers, Zone: s.Zone, Epoch: now.UnixNano(), Power: s.Power, TakesHandoffs: !n.disabled.Has(route.HandingOver)}
	return &relays{
		n:              n,
		roster:         fleet.NewRoster(now, self, rosterTimeout, fleet.WithStateAging(route.PeerState.Aged)),
		entries:        route.NewFeed[netip.AddrPort](sameEntry),
		members:        route.NewFeed[string](func(a, b fleet.Member) bool { return a == b }),
		outbox:         newOutbox(),
		echoes:         make(map[route.SentRequest]int),
		offers:         make(map[string]listLender),
		otherPartition: make(map[netip.AddrPort]bool),

		sharedSent: make(map[string]sharedCursor),
		heartbeats: route.NewFeed[netip.AddrPort](func(a, b int64) bool { return a == b }),
	}
}

// size returns the number of nodes and whether they are too many to gossip directly.
func (r *relays) size() (nodes int, large bool) {
	live := r.n.gossip.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.n.now()
	if !r.large {
		nodes = 1 + len(live)
		if nodes <= r.n.smallFleet {
			return nodes, false
		}
		r.startReporting(now, live)
	}
	nodes = len(r.roster.Members(now))
	if now.Sub(r.largeAt) > rosterTimeout && float64(max(nodes, 1+len(live))) < smallFleetHysteresis*float64(r.n.smallFleet) {
		r.large = false
		r.n.gossip.SuppressPeerEvents(false)
	}
	return nodes, r.large
}

// startReporting switches to reporting to relays. The caller holds r.mu.
func (r *relays) startReporting(now time.Time, live []peer.Entry) {
	r.large, r.largeAt = true, now
	r.n.gossip.SuppressPeerEvents(true)
	for _, e := range live {
		r.roster.Hint(now, fleet.Member{ID: e.ID, Addr: e.Addr, Zone: e.Payload.Zone, Epoch: e.Epoch, Power: e.Payload.Power, TakesHandoffs: e.Payload.TakesHandoffs})
	}
}

// contact reports whether the fleet is large, and when the last call to a relay began that was answered.
func (r *relays) contact() (large bool, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.large, r.contactAt
}

// knowReleases reports whether a relay that knew the splits of releases answered this node.
func (r *relays) knowReleases() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knowsReleases
}

// known returns the relays, or nil in a small fleet.
func (r *relays) known() []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.large {
		return nil
	}
	return r.roster.Relays(r.n.now())
}

// learnRelays adds the relays that a peer named. That there are any means that the fleet is large,
// however many nodes this one has seen.
func (r *relays) learnRelays(members []fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.n.now()
	if !r.large {
		r.startReporting(now, nil)
	}
	r.roster.Hint(now, members...)
}

// followsRelay reports whether a relay provides this node with the contents of the store.
func (r *relays) followsRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.n.settings().Bounds
	now := r.n.now()
	return r.large && !r.acting && now.Sub(r.followed.at) <= followTimeout &&
		now.Sub(r.followed.listAt) <= fraction(b.Drain, followListFraction) &&
		now.Sub(r.followed.confirmedAt) <= fraction(b.Revoke, followKeysFraction)
}

// relayResponds reports whether a relay answers this node, even if that relay cannot read the store.
func (r *relays) relayResponds() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.large && !r.acting && r.n.now.Since(r.followed.at) <= followTimeout
}

// followedRelay returns the relay that this node follows.
func (r *relays) followedRelay() (relay fleet.Member, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	relays := r.roster.Relays(r.n.now())
	i := slices.IndexFunc(relays, func(m fleet.Member) bool { return m.ID == r.followed.id })
	if i < 0 {
		return fleet.Member{}, false
	}
	return relays[i], true
}

// isRelay reports whether this node is a relay.
func (r *relays) isRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.large && r.acting
}

// otherAddrs returns the addresses of all other known nodes.
func (r *relays) otherAddrs() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []netip.AddrPort
	for _, m := range r.roster.Members(r.n.now()) {
		if m.ID != r.roster.Self().ID {
			out = append(out, m.Addr)
		}
	}
	return out
}

// names returns the names of all known nodes, sorted.
func (r *relays) names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, m := range r.roster.Members(r.n.now()) {
		out = append(out, m.ID)
	}
	slices.Sort(out)
	return out
}

// othersState returns the merged state of all other nodes.
func (r *relays) othersState() route.PeerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return route.JoinStates(r.roster.OtherStates(r.n.now(), ""))
}

// logRole logs a change of this node's role.
func (r *relays) logRole() {
	follows := r.followsRelay()
	r.mu.Lock()
	acting, id, nodes := r.acting, r.followed.id, len(r.roster.Members(r.n.now()))
	was := r.loggedRole
	now := relayRole{acting: acting, follows: follows}
	if follows {
		now.relay = id
	}
	r.loggedRole = now
	r.mu.Unlock()
	switch {
	case now.acting && !was.acting:
		r.n.events.Record(event.Event{Code: event.RelayBegun, Detail: fmt.Sprintf("%d nodes", nodes)})
	case was.acting && !now.acting:
		r.n.events.Record(event.Event{Code: event.RelayEnded})
	}
	switch {
	case now.follows && now.relay != was.relay:
		r.n.events.Record(event.Event{Code: event.RelayTaken, Detail: id})
	case was.follows && !now.follows && !now.acting:
		r.n.events.Record(event.Event{Code: event.RelayLost, Detail: fmt.Sprintf("previous relay %s", was.relay)})
	}
}

// relayRole is a node's role among the relays.
type relayRole struct {
	acting, follows bool
	relay           string
}
