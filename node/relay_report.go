package node

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// followedRelay is the state received from a relay.
type followedRelay struct {
	id     string
	cursor peer.RelayCursor
	// members and digest are the members last received.
	members    []fleet.Member
	digest     uint64
	entries    map[netip.AddrPort]*route.Entry
	heartbeats map[netip.AddrPort]int64
	// at is when the call with the last answer began; listAt and confirmedAt are the times of the
	// relay's readings of the list and the declaration.
	at, listAt, confirmedAt time.Time
	// steady is the time before listAt in which the list was read without an outage of the store.
	steady time.Duration
}

// reading describes the relay's reading of the list.
func (f *followedRelay) reading() listReading {
	return listReading{at: f.listAt, relayed: true, steady: f.steady}
}

// sharedCursor is the position up to which shared parts were sent to a relay that started at epoch.
type sharedCursor struct {
	epoch, next int64
}

// sharedSince returns the shared parts that this node found after a position.
func (n *Node) sharedSince(after int64) ([]uint64, int64) {
	n.Lock()
	defer n.Unlock()
	return n.Board().SharedSince(after)
}

// round reports to this node's relays, and queries one seed that is not a known member.
func (r *relays) round(ctx context.Context) {
	report, next := r.report()
	var calls sync.WaitGroup
	for _, m := range next {
		calls.Go(func() { r.call(ctx, m, report) })
	}
	if seed, ok := r.unknownSeed(); ok {
		calls.Go(func() { r.askSeed(ctx, seed) })
	}
	calls.Wait()
	r.logRole()
	r.n.gossip.Expire()
}

// report returns the report to send and its receivers.
func (r *relays) report() (peer.RelayReport, []fleet.Member) {
	own, status := r.n.relayState()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.n.now()
	if r.n.stopping() {
		r.roster.SetPower(0)
	}
	out := peer.RelayReport{Stamp: r.n.events.Clock().Now(), Config: status}
	var states []route.PeerState
	out.Word, states = r.roster.Report(now)
	out.Word.State = route.JoinStates(append(states, own))
	out.Word.State.Hot = route.TopRates(out.Word.State.Hot)
	out.List = r.n.list.offer(now)
	if was := r.acting; out.Word.Relay != was {
		r.acting = out.Word.Relay
		if r.acting && !r.listAt.IsZero() {
			r.publishEntries(r.n.list.asRead())
		}
	}
	out.Asks = !r.acting || r.n.list.isLarge() || now.Sub(r.listAt) > fraction(r.n.settings().Bounds.Drain, relayAskFraction)
	return out, r.roster.Next(now)
}

// unknownSeed returns a random seed that is the address of no known node.
func (r *relays) unknownSeed() (netip.AddrPort, bool) {
	r.mu.Lock()
	members := r.roster.Members(r.n.now())
	seeds := slices.DeleteFunc(slices.Clone(r.n.settings().Seeds), func(a netip.AddrPort) bool {
		return a == r.n.settings().Peers || slices.ContainsFunc(members, func(m fleet.Member) bool { return m.Addr == a })
	})
	r.mu.Unlock()
	if len(seeds) == 0 {
		return netip.AddrPort{}, false
	}
	r.n.Lock()
	defer r.n.Unlock()
	return seeds[r.n.rng.IntN(len(seeds))], true
}

// call reports to one relay and applies its answer.
func (r *relays) call(ctx context.Context, to fleet.Member, report peer.RelayReport) {
	report, sent := r.reportTo(to, report)
	report.Crashes = r.n.crashes.NewRequest(to.Addr)
	begun := r.n.now()
	answer, err := r.n.peers.Relay(ctx, to.Addr, report)
	if err != nil {
		r.n.log.Debug("reporting to a relay failed", "relay", to.ID, "error", err)
		r.n.crashes.HandleFailure(to.Addr)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.roster.Failed(r.n.now(), to.ID)
		return
	}
	r.n.events.Clock().Observe(answer.Stamp)
	r.n.crashes.HandleResponse(to.Addr, report.Crashes, answer.Crashes)
	r.n.peerZones.set(to.Addr, answer.Word.From.Zone)
	r.mu.Lock()
	r.sharedSent[to.ID] = sent
	r.mu.Unlock()
	r.applyAnswer(ctx, begun, to, answer)
	r.recordContact(begun, answer.KnowsReleases)
	r.n.applyConfigStatus(ctx, begun, to.Addr, answer.Config)
	r.n.receiveNewest(begun, "relay "+to.ID, answer.Newest)
}

// recordContact records an answered call to a relay, which may know the splits of releases.
func (r *relays) recordContact(begun time.Time, knowsReleases bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.knowsReleases = r.knowsReleases || knowsReleases
	if begun.After(r.contactAt) {
		r.contactAt = begun
	}
}

// reportTo adds the parts of a report that depend on the relay, and returns the position of shared
// parts after it.
func (r *relays) reportTo(to fleet.Member, report peer.RelayReport) (peer.RelayReport, sharedCursor) {
	r.mu.Lock()
	if r.acting && r.n.list.isLarge() {
		report.Asks = to.ID == r.listSource()
	}
	if r.followed.id == to.ID {
		report.Known, report.Digest = r.followed.cursor, r.followed.digest
	}
	sent := r.sharedSent[to.ID]
	r.mu.Unlock()
	if sent.epoch != to.Epoch {
		sent = sharedCursor{epoch: to.Epoch}
	}
	report.Word.State.Shared, sent.next = r.n.sharedSince(sent.next)
	return report, sent
}

// reportCrashes sends only the crash updates to this node's relays. A full report has some KB and
// its answer carries the merged state of all nodes: while 54 targets crashed in groups, nodes sent
// up to 20 full reports a second instead of four.
func (r *relays) reportCrashes(ctx context.Context) {
	r.mu.Lock()
	next := r.roster.Next(r.n.now())
	r.mu.Unlock()
	var calls sync.WaitGroup
	for _, m := range next {
		asked := r.n.crashes.NewRequest(m.Addr)
		if asked == nil {
			continue
		}
		calls.Go(func() {
			report := peer.RelayReport{Stamp: r.n.events.Clock().Now(), Brief: true, Crashes: asked}
			answer, err := r.n.peers.Relay(ctx, m.Addr, report)
			if err != nil || answer.Crashes == nil {
				r.n.crashes.HandleFailure(m.Addr)
				return
			}
			r.n.crashes.HandleResponse(m.Addr, asked, answer.Crashes)
		})
	}
	calls.Wait()
}

// askSeed asks a process of which only the address is known for the relays. Full reports and
// answers would overload a seed that many nodes ask at once.
func (r *relays) askSeed(ctx context.Context, addr netip.AddrPort) {
	answer, err := r.n.peers.Relay(ctx, addr, r.briefReport())
	if err != nil {
		r.n.log.Debug("querying a seed failed", "seed", addr, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.Hint(r.n.now(), append(answer.Word.Relays, answer.Word.From)...)
}

// briefReport returns a message that contains only the sender and the relays it knows.
func (r *relays) briefReport() peer.RelayReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return peer.RelayReport{Stamp: r.n.events.Clock().Now(), Brief: true, Word: r.roster.RelayMessage(r.n.now())}
}

// applyAnswer applies a relay's answer to a report that was sent at begun.
func (r *relays) applyAnswer(ctx context.Context, begun time.Time, from fleet.Member, a peer.RelayAnswer) {
	if a.News != nil {
		r.n.internChanges(a.News.Entries)
	}
	r.mu.Lock()
	now := r.n.now()
	switch {
	case a.Same:
		a.Word.Members = r.followed.members
	case a.Changed:
		a.Word.Members = applyMemberChanges(r.followed.members, a.Members, r.roster.Self().ID, a.Word.From.ID)
	}
	if !a.Word.Relay {
		// The sender is not a relay; the members it knows may lead to one.
		r.roster.Hint(now, append(a.Word.Members, a.Word.From)...)
		r.mu.Unlock()
		return
	}
	r.roster.HandleAnswer(now, a.Word, a.Whole)
	if a.News != nil && a.News.Paged {
		r.mu.Unlock()
		r.fetchList(ctx, from)
		return
	}
	if a.News == nil || !r.applyUpdate(begun, from.ID, a) {
		r.mu.Unlock()
		return
	}
	acting, reading := r.acting, r.followed.reading()
	// After a change of relay its list may be older than the known one.
	newer := reading.at.After(r.listAt)
	changed := a.News.EntriesFull || len(a.News.Entries)+len(a.News.Beats) > 0
	var list []*route.Entry
	if newer && (changed || r.n.list.touch(reading)) {
		list = r.followed.list()
	} else if newer {
		r.listAt = reading.at
	}
	r.mu.Unlock()
	if list != nil {
		r.n.applyListing(reading, Listing{Targets: list})
	} else if newer {
		r.n.releases.setListed(reading.at)
	}
	if !acting {
		r.n.Lock()
		defer r.n.Unlock()
		r.n.Board().TakeParts(r.n.now(), a.News.Parts)
	}
}

// applyMemberChanges returns members with changes applied, sorted by id and without the ids in
// except.
func applyMemberChanges(members []fleet.Member, changes []route.Change[string, fleet.Member], except ...string) []fleet.Member {
	out := slices.Clone(members)
	for _, c := range changes {
		i, known := slices.BinarySearchFunc(out, c.Key, func(m fleet.Member, id string) int { return cmp.Compare(m.ID, id) })
		switch {
		case c.Gone && known:
			out = slices.Delete(out, i, i+1)
		case c.Gone || slices.Contains(except, c.Key):
		case known:
			out[i] = c.Value
		default:
			out = slices.Insert(out, i, c.Value)
		}
	}
	return out
}

// applyUpdate applies the list changes in an answer and reports whether they are newer. The caller
// holds r.mu.
func (r *relays) applyUpdate(begun time.Time, id string, a peer.RelayAnswer) bool {
	f := &r.followed
	listAt := begun.Add(-a.News.ListAge)
	if r.acting && !listAt.After(r.listAt) {
		return false
	}
	if f.id != id || f.cursor.Epoch != a.News.Cursor.Epoch {
		if !a.News.EntriesFull || !a.News.BeatsFull {
			// These are changes to a list that another relay's list has since replaced.
			return false
		}
		*f = followedRelay{id: id, entries: make(map[netip.AddrPort]*route.Entry), heartbeats: make(map[netip.AddrPort]int64)}
	}
	apply(f.entries, a.News.Entries, a.News.EntriesFull)
	apply(f.heartbeats, a.News.Beats, a.News.BeatsFull)
	f.cursor, f.digest = a.News.Cursor, a.Digest
	if f.cursor.Members = a.MembersNext; a.Whole {
		f.members = a.Word.Members
	}
	f.at, f.listAt, f.confirmedAt = begun, listAt, time.Time{}
	f.steady = a.News.Steady
	if a.Config.ConfirmedAge >= 0 && !a.Config.Unreadable {
		f.confirmedAt = begun.Add(-a.Config.ConfirmedAge)
	}
	return true
}

// internChanges interns the maps of changed entries.
func (n *Node) internChanges(changes []route.Change[netip.AddrPort, *route.Entry]) {
	entries := make([]*route.Entry, 0, len(changes))
	for _, c := range changes {
		if c.Value != nil {
			entries = append(entries, c.Value)
		}
	}
	n.list.intern(entries)
}

// apply applies changes to a map.
func apply[K comparable, V any](m map[K]V, changes []route.Change[K, V], full bool) {
	if full {
		clear(m)
	}
	for _, c := range changes {
		if c.Gone {
			delete(m, c.Key)
			continue
		}
		m[c.Key] = c.Value
	}
}

// list returns the list of targets as received from the relay.
func (f *followedRelay) list() []*route.Entry {
	out := make([]*route.Entry, 0, len(f.entries))
	for addr, e := range f.entries {
		if revision, ok := f.heartbeats[addr]; ok && revision != e.Revision {
			updated := *e
			updated.Revision = revision
			e = &updated
			f.entries[addr] = e
		}
		out = append(out, e)
	}
	return out
}

// relayState returns what the node reports to relays: its state and its configuration status. Held
// targets are broadcast by the lease holder, and cache contents come from the engines' events.
func (n *Node) relayState() (route.PeerState, fleet.ConfigStatus) {
	n.Lock()
	defer n.Unlock()
	now := n.now()
	state := n.Board().State(now)
	// Shared parts are sent to each relay once; see reportTo.
	state.Fills, state.Kept, state.Shared = nil, nil, nil
	state.ReportCutOff(n.settings().Peers)
	_, _, state.Loaded = n.weights.announcement()
	return state, n.adoption.Status(now)
}
