package node

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// The times and bounds of a large fleet, whose nodes report to a few relays.
const (
	// reportInterval is the time between two reports: loads that are told of are as old.
	reportInterval = 250 * time.Millisecond
	// rosterTimeout is the silence after which a node is off the roster.
	rosterTimeout = 2500 * time.Millisecond
	// followTimeout is how old the last answer of a relay may be to rely on it: some
	// reports may fail.
	followTimeout = 1500 * time.Millisecond
	// followListFraction and followKeysFraction are how old what a relay read of the list and
	// of the declaration may be, as parts of the bounds of draining and revocation.
	followListFraction = 0.6
	followKeysFraction = 0.5
	// relayListFraction and relayWatchFraction are a relay's own times between readings, as
	// parts of the same bounds: few read, so they may read often.
	relayListFraction  = 0.25
	relayWatchFraction = 0.15
	// relayAskFraction is how old a relay's list may be, as a part of the bound of draining,
	// before it asks other relays for theirs. It leaves time for two reports on the way
	// until followListFraction, at which its reporters would all turn to the store.
	relayAskFraction = 0.4
	// smallFleetHysteresis is the part of the size of a large fleet at which it counts as small
	// again, so that one at the border does not change to and fro.
	smallFleetHysteresis = 0.75
)

// relays is the node's part in a large fleet. There, a few nodes read the store
// and the engines' events and tell the others, and join what all say of
// themselves. A node to which no relay tells anything reads the store itself.
type relays struct {
	n *Node

	// mu guards what follows; it is taken inside the node's lock, never around it.
	mu     sync.Mutex
	roster *fleet.Roster[route.PeerState]
	large  bool
	acting bool
	// largeAt is when the fleet became large.
	largeAt time.Time
	// entries and beats are the list as it is told to others, read at listAt; only a relay has them.
	entries    *route.Feed[netip.AddrPort, *route.Entry]
	heartbeats *route.Feed[netip.AddrPort, int64]
	listAt     time.Time
	// members are the members as they are told to others, as of a digest.
	members   *route.Feed[string, fleet.Member]
	membersOf uint64
	// pages are the addresses of the list in order, as of a version of entries.
	pages   []netip.AddrPort
	pagesOf int64
	// paging says that the whole list is being taken from a relay.
	fetchingList atomic.Bool
	// from is what this node was told, by the relay that it names.
	followed followedRelay
	outbox   outbox
	// echoes counts the requests of this node's own that relays will tell it of too.
	echoes map[route.SentRequest]int
	// sharedSent is how far each relay was told of the parts that prompts share.
	sharedSent map[string]sharedCursor
	// noted is this node's part as it was logged last.
	loggedRole relayRole
}

func newRelays(n *Node) *relays {
	s := n.settings()
	now := n.now()
	self := fleet.Member{ID: s.Name, Addr: s.Peers, Zone: s.Zone, Epoch: now.UnixNano(), Power: s.Power}
	return &relays{
		n:       n,
		roster:  fleet.NewRoster(now, self, rosterTimeout, fleet.WithStateAging(route.PeerState.Aged)),
		entries: route.NewFeed[netip.AddrPort](sameEntry),
		members: route.NewFeed[string](func(a, b fleet.Member) bool { return a == b }),
		outbox:  newOutbox(),
		echoes:  make(map[route.SentRequest]int),

		sharedSent: make(map[string]sharedCursor),
		heartbeats: route.NewFeed[netip.AddrPort](func(a, b int64) bool { return a == b }),
	}
}

// size returns how many nodes there are, and whether they are too many to talk to
// each other directly.
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
		r.begin(now, live)
	}
	nodes = len(r.roster.Members(now))
	if now.Sub(r.largeAt) > rosterTimeout && float64(max(nodes, 1+len(live))) < smallFleetHysteresis*float64(r.n.smallFleet) {
		r.large = false
		r.n.gossip.SuppressPeerEvents(false)
	}
	return nodes, r.large
}

// begin begins to report to relays; the caller holds the lock.
func (r *relays) begin(now time.Time, live []peer.Entry) {
	r.large, r.largeAt = true, now
	r.n.gossip.SuppressPeerEvents(true)
	for _, e := range live {
		r.roster.Hint(now, fleet.Member{ID: e.ID, Addr: e.Addr, Zone: e.Payload.Zone, Epoch: e.Epoch, Power: e.Payload.Power})
	}
}

// known returns the relays, if the fleet is large.
func (r *relays) known() []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.large {
		return nil
	}
	return r.roster.Relays(r.n.now())
}

// learnRelays takes the relays that a peer told of: the fleet is large, whatever this
// node has seen of it.
func (r *relays) learnRelays(members []fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.n.now()
	if !r.large {
		r.begin(now, nil)
	}
	r.roster.Hint(now, members...)
}

// followsRelay reports whether a relay tells this node what the store says.
func (r *relays) followsRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.n.settings().Bounds
	now := r.n.now()
	return r.large && !r.acting && now.Sub(r.followed.at) <= followTimeout &&
		now.Sub(r.followed.listAt) <= fraction(b.Drain, followListFraction) &&
		now.Sub(r.followed.confirmedAt) <= fraction(b.Revoke, followKeysFraction)
}

// hearsRelay reports whether a relay answers this node, whatever it knows of the store.
func (r *relays) hearsRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.large && !r.acting && r.n.now.Since(r.followed.at) <= followTimeout
}

// isRelay reports whether this node relays for others.
func (r *relays) isRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.large && r.acting
}

// otherAddrs returns the addresses of all other nodes known.
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

// othersState returns the joined state of all other nodes.
func (r *relays) othersState() route.PeerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return route.JoinStates(r.roster.OtherStates(r.n.now(), ""))
}

// logRole logs a change of this node's part.
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
		r.n.events.Record(event.Event{Code: event.RelayLost, Detail: fmt.Sprintf("the last was %s", was.relay)})
	}
}

// relayRole is this node's part among the relays, as it was logged last.
type relayRole struct {
	acting, follows bool
	relay           string
}
