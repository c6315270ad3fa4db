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

// followedRelay is what a relay told.
type followedRelay struct {
	id     string
	cursor peer.RelayCursor
	// members and digest are those that the relay told last.
	members    []fleet.Member
	digest     uint64
	entries    map[netip.AddrPort]*route.Entry
	heartbeats map[netip.AddrPort]int64
	// at is when the last answer was asked for, listAt and confirmedAt as of when it
	// told of the list and of the declaration.
	at, listAt, confirmedAt time.Time
}

// sharedCursor is how far a relay that was started at an epoch was told of the parts
// that this node saw to be shared.
type sharedCursor struct {
	epoch, next int64
}

// sharedSince returns the parts that this node saw to be shared after so many others.
func (n *Node) sharedSince(after int64) ([]uint64, int64) {
	n.Lock()
	defer n.Unlock()
	return n.Board().SharedSince(after)
}

// round reports to the relays that are this node's, and to one seed that it knows nothing of.
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

// report returns what is to be told, and to whom.
func (r *relays) report() (peer.RelayReport, []fleet.Member) {
	own, word := r.n.relayState()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.n.now()
	if r.n.stopping.Load() {
		r.roster.SetPower(0)
	}
	out := peer.RelayReport{Stamp: r.n.events.Clock().Now(), Config: word}
	var states []route.PeerState
	out.Word, states = r.roster.Report(now)
	out.Word.State = route.JoinStates(append(states, own))
	out.Word.State.Hot = route.TopRates(out.Word.State.Hot)
	if was := r.acting; out.Word.Relay != was {
		r.acting = out.Word.Relay
		if r.acting && !r.listAt.IsZero() {
			r.publishEntries(r.n.list.asRead())
		}
	}
	out.Asks = !r.acting || r.n.list.isLarge() || now.Sub(r.listAt) > fraction(r.n.settings().Bounds.Drain, relayAskFraction)
	return out, r.roster.Next(now)
}

// unknownSeed returns a seed that no known node has the address of.
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

// call reports to one relay and takes its answer.
func (r *relays) call(ctx context.Context, to fleet.Member, report peer.RelayReport) {
	report, told := r.reportTo(to, report)
	report.Crashes = r.n.crashes.NewRequest(to.Addr)
	begun := r.n.now()
	answer, err := r.n.peers.Relay(ctx, to.Addr, report)
	if err != nil {
		r.n.log.Debug("a relay did not answer", "relay", to.ID, "error", err)
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
	r.sharedSent[to.ID] = told
	r.mu.Unlock()
	r.applyAnswer(ctx, begun, to, answer)
	r.n.applyConfigReport(ctx, begun, to.Addr, answer.Config)
	r.n.receiveNewest(begun, "relay "+to.ID, answer.Newest)
}

// reportTo completes a report by what one relay was told and told itself before, and
// returns how far that relay will have been told of shared parts by it.
func (r *relays) reportTo(to fleet.Member, report peer.RelayReport) (peer.RelayReport, sharedCursor) {
	r.mu.Lock()
	if r.acting && r.n.list.isLarge() {
		report.Asks = to.ID == r.listSource()
	}
	if r.followed.id == to.ID {
		report.Known, report.Digest = r.followed.cursor, r.followed.digest
	}
	told := r.sharedSent[to.ID]
	r.mu.Unlock()
	if told.epoch != to.Epoch {
		told = sharedCursor{epoch: to.Epoch}
	}
	report.Word.State.Shared, told.next = r.n.sharedSince(told.next)
	return report, told
}

// reportCrashes tells the relays that are this node's of targets that ended under requests, and
// nothing else. A whole report has some KB, and its answer the joined state of all: as 54 targets
// ended in herds, nodes reported up to 20 times a second in place of four.
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

// askSeed asks a process of which only the address is known who relays. Whole reports
// and answers would be too much for a seed that many ask at once.
func (r *relays) askSeed(ctx context.Context, addr netip.AddrPort) {
	answer, err := r.n.peers.Relay(ctx, addr, peer.RelayReport{Stamp: r.n.events.Clock().Now(), Brief: true})
	if err != nil {
		r.n.log.Debug("a seed did not answer", "seed", addr, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.Hint(r.n.now(), append(answer.Word.Relays, answer.Word.From)...)
}

// applyAnswer takes a relay's answer to a report that was sent at begun.
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
		// It was taken for a relay by mistake; whom it knows may mend that.
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
	if a.News == nil || !r.applyNews(begun, from.ID, a) {
		r.mu.Unlock()
		return
	}
	acting, listAt := r.acting, r.followed.listAt
	// After a change of relay its reading may be older than what is known here.
	newer := listAt.After(r.listAt)
	changed := a.News.EntriesFull || len(a.News.Entries)+len(a.News.Beats) > 0
	var list []*route.Entry
	if newer && (changed || r.n.list.touch(now, listAt)) {
		list = r.followed.list()
	} else if newer {
		r.listAt = listAt
	}
	r.mu.Unlock()
	if list != nil {
		r.n.applyListing(listAt, Listing{Targets: list}, true)
	}
	if !acting {
		r.n.Lock()
		defer r.n.Unlock()
		r.n.Board().TakeParts(r.n.now(), a.News.Parts)
	}
}

// applyMemberChanges returns members after some changes, in the order of their ids and without some.
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

// applyNews notes what a relay told and reports whether it is news; the caller holds the lock.
func (r *relays) applyNews(begun time.Time, id string, a peer.RelayAnswer) bool {
	f := &r.followed
	listAt := begun.Add(-a.News.ListAge)
	if r.acting && !listAt.After(r.listAt) {
		return false
	}
	if f.id != id || f.cursor.Epoch != a.News.Cursor.Epoch {
		if !a.News.EntriesFull || !a.News.BeatsFull {
			// It was asked for changes of a list that another's has replaced since.
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
	if a.Config.ConfirmedAge >= 0 {
		f.confirmedAt = begun.Add(-a.Config.ConfirmedAge)
	}
	return true
}

// internChanges keeps once what the entries of some changes have alike.
func (n *Node) internChanges(changes []route.Change[netip.AddrPort, *route.Entry]) {
	entries := make([]*route.Entry, 0, len(changes))
	for _, c := range changes {
		if c.Value != nil {
			entries = append(entries, c.Value)
		}
	}
	n.list.intern(entries)
}

// apply puts changes into a map.
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

// list returns the list of targets as the relay told it.
func (f *followedRelay) list() []*route.Entry {
	out := make([]*route.Entry, 0, len(f.entries))
	for addr, e := range f.entries {
		if beat, ok := f.heartbeats[addr]; ok && beat != e.Revision {
			beaten := *e
			beaten.Revision = beat
			e = &beaten
			f.entries[addr] = e
		}
		out = append(out, e)
	}
	return out
}

// relayState returns what the node says of itself to relays: its state, and its word
// on the configuration. Holds go from the holder of the lease to everyone at once,
// and what engines hold is told by their events.
func (n *Node) relayState() (route.PeerState, fleet.ConfigStatus) {
	n.Lock()
	defer n.Unlock()
	now := n.now()
	state := n.Board().State(now)
	// Each relay is told of shared parts once.
	state.Fills, state.Kept, state.Shared = nil, nil, nil
	_, state.Loaded = n.weights.announcement()
	return state, n.adoption.Status(now)
}
