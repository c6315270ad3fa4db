package node

import (
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"time"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// publish sets the list that is passed on to other nodes, unless a newer reading was published.
func (r *relays) publish(at time.Time, list []*route.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.large || at.Before(r.listAt) {
		return
	}
	r.listAt = at
	if !r.acting {
		r.entries.Clear()
		r.heartbeats.Clear()
		return
	}
	r.publishEntries(list)
}

// publishEntries updates the published feeds with the list. The caller holds r.mu. Heartbeats of a
// long list are left out: a node uses only a few of many targets, and if one of them fails another
// takes its place.
func (r *relays) publishEntries(list []*route.Entry) {
	withHeartbeats := len(list) <= largePoolSize
	gone := make(map[netip.AddrPort]bool)
	for _, addr := range r.entries.Keys() {
		gone[addr] = true
	}
	for _, e := range list {
		addr := e.Seen.Addr
		delete(gone, addr)
		if withHeartbeats {
			r.heartbeats.Set(addr, e.Revision)
			withoutHeartbeat := *e
			withoutHeartbeat.Revision = 0
			e = &withoutHeartbeat
		}
		r.entries.Set(addr, e)
	}
	for addr := range gone {
		r.entries.Drop(addr)
		r.heartbeats.Drop(addr)
	}
}

// sameEntry reports whether two entries are equal except for their heartbeat revision.
func sameEntry(a, b *route.Entry) bool {
	x, y := *a, *b
	x.Revision, y.Revision = 0, 0
	return a == b || reflect.DeepEqual(x, y)
}

// Relay implements [peer.RelayHandler].
func (n *Node) Relay(in peer.RelayReport) peer.RelayAnswer {
	n.events.Clock().Observe(in.Stamp)
	n.relays.recordPartition(in.Word.From)
	if in.Brief {
		out := n.relays.brief()
		if in.Crashes != nil {
			out.Crashes = n.crashes.HandleDirectRequest(in.Crashes)
		}
		return out
	}
	// The age of the reporter's confirmation was measured on another clock, so it counts as
	// unconfirmed.
	n.receiveConfigStatus(time.Time{}, fleet.ConfigStatus{Revision: in.Config.Revision, ConfirmedAge: -1})
	n.peerZones.set(in.Word.From.Addr, in.Word.From.Zone)
	n.relays.addLender(in.Word.From, in.List)
	n.Lock()
	// Other relays send shared parts to each other themselves.
	n.Board().TakeShared(n.now(), in.Word.State.Shared, !in.Word.Relay)
	n.Unlock()
	in.Word.State.Shared = nil
	own, status := n.relayState()
	out := n.relays.answer(in, own)
	out.Config = status
	out.KnowsReleases = n.releases.known()
	out.Newest = n.newestUpdates(n.now())
	out.Crashes = n.crashes.HandleRequest(in.Crashes)
	n.Lock()
	defer n.Unlock()
	now := n.now()
	b := n.Board()
	if out.News != nil {
		after := int64(0)
		if in.Known.Epoch == out.News.Cursor.Epoch {
			after = in.Known.Parts
		}
		out.News.Parts = b.PartsSince(now, after)
		out.News.Cursor.Parts = out.News.Parts.Next
	}
	return out
}

// recordPartition records a node of a large fleet that reports to this one, whose own fleet is small:
// the two are partitions of one fleet, which merge once this node gossips with the other.
func (r *relays) recordPartition(from fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.large && from.Addr.IsValid() && len(r.otherPartition) < maxPartitionContacts {
		r.otherPartition[from.Addr] = true
	}
}

// maxPartitionContacts bounds the nodes of another partition that are recorded between two rounds of
// gossip.
const maxPartitionContacts = 4

// partitionContacts returns the nodes of another partition that reported since the last call.
func (r *relays) partitionContacts() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Collect(maps.Keys(r.otherPartition))
	clear(r.otherPartition)
	return out
}

// brief answers with the relays only.
func (r *relays) brief() peer.RelayAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return peer.RelayAnswer{Stamp: r.n.events.Clock().Now(), Word: r.roster.RelayMessage(r.n.now())}
}

// answer builds the answer to a report, except for the parts that come from the board.
func (r *relays) answer(in peer.RelayReport, own route.PeerState) peer.RelayAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.n.now()
	out := peer.RelayAnswer{Stamp: r.n.events.Clock().Now()}
	r.roster.HandleReport(now, in.Word)
	answer := r.roster.Answer(now, in.Word, in.Digest)
	out.Word, out.Whole, out.Digest, out.Same = answer.Word, answer.Whole, answer.Digest, answer.Same
	if out.Whole {
		r.changeMembers(now, in, &out)
	}
	out.Word.State = route.JoinStates(append(answer.States, own))
	if out.Whole {
		out.Word.State.Hot = route.Hottest(out.Word.State.Hot)
	} else {
		out.Word.State.Hot = route.TopRates(out.Word.State.Hot)
	}
	// A node that others have just selected as a relay has no list to pass on until its own next
	// report.
	if in.Asks && out.Word.Relay && r.acting && !r.listAt.IsZero() {
		out.News = r.updates(now, in.Known)
	}
	return out
}

// changeMembers replaces the member list in the answer with the changes since the reporter's
// cursor, if they are known. With the whole list sent after each join and leave, a thousand nodes
// would be sent a thousand members again and again. The caller holds r.mu.
func (r *relays) changeMembers(now time.Time, in peer.RelayReport, out *peer.RelayAnswer) {
	if announced, digest := r.roster.Announced(now); digest != r.membersOf {
		r.membersOf = digest
		gone := make(map[string]bool, len(announced))
		for _, id := range r.members.Keys() {
			gone[id] = true
		}
		for _, m := range announced {
			delete(gone, m.ID)
			r.members.Set(m.ID, m)
		}
		for id := range gone {
			r.members.Drop(id)
		}
	}
	out.MembersNext = r.members.Version()
	if out.Same || in.Known.Epoch != r.roster.Self().Epoch || !r.members.Covers(in.Known.Members) {
		return
	}
	out.Members, _ = r.members.Since(in.Known.Members)
	out.Changed, out.Word.Members = true, nil
}

// updates returns the changes to the list since a cursor. The caller holds r.mu.
func (r *relays) updates(now time.Time, known peer.RelayCursor) *peer.RelayUpdate {
	epoch := r.roster.Self().Epoch
	if known.Epoch != epoch {
		known = peer.RelayCursor{}
	}
	out := &peer.RelayUpdate{ListAge: now.Sub(r.listAt), Steady: r.n.list.steady(r.listAt)}
	if out.Paged = r.entries.Len() > listPageEntries && !r.entries.Covers(known.Entries); out.Paged {
		return out
	}
	out.Entries, out.EntriesFull = r.entries.Since(known.Entries)
	out.Beats, out.BeatsFull = r.heartbeats.Since(known.Beats)
	out.Cursor = r.cursor()
	return out
}
