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
	// relayEvery is the time between two reports: loads that are told of are as old.
	relayEvery = 250 * time.Millisecond
	// rosterTimeout is the silence after which a node is off the roster.
	rosterTimeout = 2500 * time.Millisecond
	// followGood is how old the last answer of a relay may be to rely on it: some
	// reports may fail.
	followGood = 1500 * time.Millisecond
	// followListPart and followKeysPart are how old what a relay read of the list and
	// of the declaration may be, as parts of the bounds of draining and revocation.
	followListPart = 0.6
	followKeysPart = 0.5
	// relayListPart and relayWatchPart are a relay's own times between readings, as
	// parts of the same bounds: few read, so they may read often.
	relayListPart  = 0.25
	relayWatchPart = 0.15
	// relayAskPart is how old a relay's list may be, as a part of the bound of draining,
	// before it asks other relays for theirs. It leaves time for two reports on the way
	// until followListPart, at which its reporters would all turn to the store.
	relayAskPart = 0.4
	// smallAgain is the part of the size of a large fleet at which it counts as small
	// again, so that one at the border does not change to and fro.
	smallAgain = 0.75
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
	entries *route.Feed[netip.AddrPort, *route.Entry]
	beats   *route.Feed[netip.AddrPort, int64]
	listAt  time.Time
	// members are the members as they are told to others, as of a digest.
	members   *route.Feed[string, fleet.Member]
	membersOf uint64
	// pages are the addresses of the list in order, as of a version of entries.
	pages   []netip.AddrPort
	pagesOf int64
	// paging says that the whole list is being taken from a relay.
	paging atomic.Bool
	// from is what this node was told, by the relay that it names.
	from   followed
	outbox outbox
	// echoes counts the requests of this node's own that relays will tell it of too.
	echoes map[route.SentRequest]int
	// sharedTold is how far each relay was told of the parts that prompts share.
	sharedTold map[string]sharedCursor
	// noted is this node's part as it was logged last.
	noted relayPart
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

		sharedTold: make(map[string]sharedCursor),
		beats:      route.NewFeed[netip.AddrPort](func(a, b int64) bool { return a == b }),
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
	if now.Sub(r.largeAt) > rosterTimeout && float64(max(nodes, 1+len(live))) < smallAgain*float64(r.n.smallFleet) {
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

// heardOf takes the relays that a peer told of: the fleet is large, whatever this
// node has seen of it.
func (r *relays) heardOf(members []fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.n.now()
	if !r.large {
		r.begin(now, nil)
	}
	r.roster.Hint(now, members...)
}

// follows reports whether a relay tells this node what the store says.
func (r *relays) follows() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.n.settings().Bounds
	now := r.n.now()
	return r.large && !r.acting && now.Sub(r.from.at) <= followGood &&
		now.Sub(r.from.listAt) <= part(b.Drain, followListPart) &&
		now.Sub(r.from.confirmedAt) <= part(b.Revoke, followKeysPart)
}

// hears reports whether a relay answers this node, whatever it knows of the store.
func (r *relays) hears() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.large && !r.acting && r.n.now.Since(r.from.at) <= followGood
}

// leads reports whether this node relays for others.
func (r *relays) leads() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.large && r.acting
}

// everyone returns the addresses of all other nodes known.
func (r *relays) everyone() []netip.AddrPort {
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

// others returns the joined state of all other nodes.
func (r *relays) others() route.PeerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return route.JoinStates(r.roster.OtherStates(r.n.now(), ""))
}

// note logs a change of this node's part.
func (r *relays) note() {
	follows := r.follows()
	r.mu.Lock()
	acting, id, nodes := r.acting, r.from.id, len(r.roster.Members(r.n.now()))
	was := r.noted
	now := relayPart{acting: acting, follows: follows}
	if follows {
		now.relay = id
	}
	r.noted = now
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

// relayPart is this node's part among the relays, as it was logged last.
type relayPart struct {
	acting, follows bool
	relay           string
}
