package node

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"sync"
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
	// smallAgain is the part of the size of a large fleet at which it counts as small
	// again, so that one at the border does not change to and fro.
	smallAgain = 0.75
)

// relays is the node's part in a large fleet. There, a few nodes read the store
// and the engines' events and tell the others, and join what all say of
// themselves. A node to which no relay tells anything reads the store itself.
type relays struct {
	n     *Node
	epoch int64
	// small is the size of fleet up to which all nodes talk to each other.
	small int

	// mu guards what follows; it is taken inside the node's lock, never around it.
	mu     sync.Mutex
	roster *fleet.Roster[route.PeerState]
	large  bool
	acting bool
	// largeAt is when the fleet became large.
	largeAt time.Time
	// entries and beats are the list as it is told to others, read at listAt.
	entries *route.Feed[netip.AddrPort, route.Entry]
	beats   *route.Feed[netip.AddrPort, int64]
	listAt  time.Time
	// from is what this node was told, by the relay that it names.
	from followed
	// noted is this node's part as it was logged last.
	noted relayPart
}

// followed is what a relay told.
type followed struct {
	id     string
	cursor peer.RelayCursor
	// members and digest are those that the relay told last.
	members []fleet.Member
	digest  uint64
	entries map[netip.AddrPort]route.Entry
	beats   map[netip.AddrPort]int64
	// at is when the last answer was asked for, listAt and confirmedAt as of when it
	// told of the list and of the declaration.
	at, listAt, confirmedAt time.Time
}

func newRelays(n *Node, small int) *relays {
	s := n.settings()
	now := time.Now()
	self := fleet.Member{ID: s.Name, Addr: s.Peers, Zone: s.Zone, Epoch: now.UnixNano(), Power: s.Power}
	return &relays{
		n: n, epoch: self.Epoch, small: small,
		roster: fleet.NewRoster[route.PeerState](now, self, rosterTimeout),
		entries: route.NewFeed[netip.AddrPort](func(a, b route.Entry) bool {
			return reflect.DeepEqual(a, b)
		}),
		beats: route.NewFeed[netip.AddrPort](func(a, b int64) bool { return a == b }),
	}
}

// size returns how many nodes there are, and whether they are too many to talk to
// each other directly.
func (r *relays) size() (nodes int, large bool) {
	live := r.n.gossip.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.large {
		nodes = 1 + len(live)
		if nodes <= r.small {
			return nodes, false
		}
		r.begin(now, live)
	}
	nodes = len(r.roster.Members(now))
	if now.Sub(r.largeAt) > rosterTimeout && float64(max(nodes, 1+len(live))) < smallAgain*float64(r.small) {
		r.large = false
		r.n.gossip.SetQuiet(false)
	}
	return nodes, r.large
}

// begin begins to report to relays; the caller holds the lock.
func (r *relays) begin(now time.Time, live []peer.Entry) {
	r.large, r.largeAt = true, now
	r.n.gossip.SetQuiet(true)
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
	return r.roster.Relays(time.Now())
}

// heardOf takes the relays that a peer told of: the fleet is large, whatever this
// node has seen of it.
func (r *relays) heardOf(members []fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
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
	now := time.Now()
	return r.large && !r.acting && now.Sub(r.from.at) <= followGood &&
		now.Sub(r.from.listAt) <= part(b.Drain, followListPart) &&
		now.Sub(r.from.confirmedAt) <= part(b.Revoke, followKeysPart)
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
	for _, m := range r.roster.Members(time.Now()) {
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
	return route.Join(r.roster.Others(time.Now(), ""))
}

// round reports to the relays that are this node's, and to one seed that it knows nothing of.
func (r *relays) round(ctx context.Context) {
	report, next := r.report()
	var calls sync.WaitGroup
	for _, m := range next {
		calls.Go(func() { r.call(ctx, m, report) })
	}
	if seed, ok := r.stranger(); ok {
		calls.Go(func() { r.ask(ctx, seed) })
	}
	calls.Wait()
	r.note()
	r.n.gossip.Expire()
}

// report returns what is to be told, and to whom.
func (r *relays) report() (peer.RelayReport, []fleet.Member) {
	own, word := r.n.relayState()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.n.stopping.Load() {
		r.roster.SetPower(0)
	}
	out := peer.RelayReport{Stamp: r.n.events.Clock().Now(), Config: word}
	var states []route.PeerState
	out.Word, states = r.roster.Report(now)
	out.Word.State = route.Join(append(states, own))
	r.acting = out.Word.Relay
	out.Asks = !r.acting || now.Sub(r.listAt) > part(r.n.settings().Bounds.Drain, followListPart)
	return out, r.roster.Next(now)
}

// stranger returns a seed that no known node has the address of.
func (r *relays) stranger() (netip.AddrPort, bool) {
	known := map[netip.AddrPort]bool{r.n.settings().Peers: true}
	for _, addr := range r.everyone() {
		known[addr] = true
	}
	seeds := slices.DeleteFunc(slices.Clone(r.n.settings().Seeds), func(a netip.AddrPort) bool { return known[a] })
	if len(seeds) == 0 {
		return netip.AddrPort{}, false
	}
	r.n.Lock()
	defer r.n.Unlock()
	return seeds[r.n.rng.IntN(len(seeds))], true
}

// call reports to one relay and takes its answer.
func (r *relays) call(ctx context.Context, to fleet.Member, report peer.RelayReport) {
	r.mu.Lock()
	if r.from.id == to.ID {
		report.Known, report.Digest = r.from.cursor, r.from.digest
	}
	r.mu.Unlock()
	begun := time.Now()
	answer, err := r.n.peers.Relay(ctx, to.Addr, report)
	if err != nil {
		r.n.log.Debug("a relay did not answer", "relay", to.ID, "error", err)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.roster.Failed(time.Now(), to.ID)
		return
	}
	r.n.events.Clock().Observe(answer.Stamp)
	r.take(begun, to, answer)
	r.n.takeWord(ctx, begun, to.Addr, answer.Config)
	for _, named := range answer.Named {
		r.n.named(begun.Add(-named.Age), Naming{Model: named.Model, Weights: named.Weights})
	}
}

// ask asks a process of which only the address is known who relays. Whole reports
// and answers would be too much for a seed that many ask at once.
func (r *relays) ask(ctx context.Context, addr netip.AddrPort) {
	answer, err := r.n.peers.Relay(ctx, addr, peer.RelayReport{Stamp: r.n.events.Clock().Now(), Brief: true})
	if err != nil {
		r.n.log.Debug("a seed did not answer", "seed", addr, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.Hint(time.Now(), append(answer.Word.Relays, answer.Word.From)...)
}

// take takes a relay's answer to a report that was sent at begun.
func (r *relays) take(begun time.Time, from fleet.Member, a peer.RelayAnswer) {
	r.mu.Lock()
	now := time.Now()
	if a.Same {
		a.Word.Members = r.from.members
	}
	if !a.Word.Relay {
		// It was taken for a relay by mistake; whom it knows may mend that.
		r.roster.Hint(now, append(a.Word.Members, a.Word.From)...)
		r.mu.Unlock()
		return
	}
	r.roster.Answered(now, a.Word, a.Whole)
	if a.News == nil || !r.takeNews(begun, from.ID, a) {
		r.mu.Unlock()
		return
	}
	list, acting, listAt := r.from.list(), r.acting, r.from.listAt
	// After a change of relay its reading may be older than what is known here.
	newer := listAt.After(r.listAt)
	r.mu.Unlock()
	if newer {
		r.n.takeEntries(listAt, list, true)
	}
	if !acting {
		r.n.Lock()
		defer r.n.Unlock()
		r.n.Board().TakeParts(time.Now(), a.News.Parts)
	}
}

// takeNews notes what a relay told and reports whether it is news; the caller holds the lock.
func (r *relays) takeNews(begun time.Time, id string, a peer.RelayAnswer) bool {
	f := &r.from
	listAt := begun.Add(-a.News.ListAge)
	if r.acting && !listAt.After(r.listAt) {
		return false
	}
	if f.id != id || f.cursor.Epoch != a.News.Cursor.Epoch {
		*f = followed{id: id, entries: make(map[netip.AddrPort]route.Entry), beats: make(map[netip.AddrPort]int64)}
	}
	apply(f.entries, a.News.Entries, a.News.EntriesFull)
	apply(f.beats, a.News.Beats, a.News.BeatsFull)
	f.cursor, f.digest = a.News.Cursor, a.Digest
	if a.Whole {
		f.members = a.Word.Members
	}
	f.at, f.listAt, f.confirmedAt = begun, listAt, time.Time{}
	if a.Config.ConfirmedAge >= 0 {
		f.confirmedAt = begun.Add(-a.Config.ConfirmedAge)
	}
	return true
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
func (f *followed) list() []route.Entry {
	out := make([]route.Entry, 0, len(f.entries))
	for addr, e := range f.entries {
		e.Revision = f.beats[addr]
		out = append(out, e)
	}
	return out
}

// note logs a change of this node's part.
func (r *relays) note() {
	follows := r.follows()
	r.mu.Lock()
	acting, id, nodes := r.acting, r.from.id, len(r.roster.Members(time.Now()))
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

// told notes the list as it is told to others.
func (r *relays) told(at time.Time, list []route.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.large {
		return
	}
	r.listAt = at
	gone := make(map[netip.AddrPort]bool)
	for _, addr := range r.entries.Keys() {
		gone[addr] = true
	}
	for _, e := range list {
		addr := e.Seen.Addr
		delete(gone, addr)
		r.beats.Set(addr, e.Revision)
		e.Revision = 0
		r.entries.Set(addr, e)
	}
	for addr := range maps.Keys(gone) {
		r.entries.Drop(addr)
		r.beats.Drop(addr)
	}
}

// Relay implements [peer.RelayHandler].
func (n *Node) Relay(in peer.RelayReport) peer.RelayAnswer {
	n.events.Clock().Observe(in.Stamp)
	if in.Brief {
		return n.relays.brief()
	}
	// What a reporter says of newer configuration is unconfirmed, since its clock for it is not ours.
	n.heard(time.Time{}, fleet.PeerWord{Revision: in.Config.Revision, ConfirmedAge: -1})
	own, word := n.relayState()
	out := n.relays.answer(in, own)
	out.Config = word
	n.Lock()
	defer n.Unlock()
	now := time.Now()
	b := n.Board()
	for model, named := range b.Namings() {
		out.Named = append(out.Named, peer.Named{Model: model, Weights: named.Weights, Age: now.Sub(named.At)})
	}
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

// brief answers who relays.
func (r *relays) brief() peer.RelayAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return peer.RelayAnswer{Stamp: r.n.events.Clock().Now(), Word: r.roster.Brief(time.Now())}
}

// answer answers a report but for what is on the board.
func (r *relays) answer(in peer.RelayReport, own route.PeerState) peer.RelayAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	out := peer.RelayAnswer{Stamp: r.n.events.Clock().Now()}
	r.roster.Reported(now, in.Word)
	var states []route.PeerState
	out.Word, states, out.Whole = r.roster.Answer(now, in.Word)
	out.Word.State = route.Join(append(states, own))
	if out.Whole {
		out.Word.State.Hot = route.Hottest(out.Word.State.Hot)
		out.Digest = fleet.Digest(out.Word.Members)
		if out.Same = out.Digest == in.Digest; out.Same {
			out.Word.Members = nil
		}
	}
	if in.Asks && out.Word.Relay && !r.listAt.IsZero() {
		out.News = r.news(now, in.Known)
	}
	return out
}

// news returns what changed of the list since a cursor; the caller holds the lock.
func (r *relays) news(now time.Time, known peer.RelayCursor) *peer.RelayNews {
	if known.Epoch != r.epoch {
		known = peer.RelayCursor{}
	}
	out := &peer.RelayNews{ListAge: now.Sub(r.listAt)}
	out.Entries, out.EntriesFull = r.entries.Since(known.Entries)
	out.Beats, out.BeatsFull = r.beats.Since(known.Beats)
	out.Cursor = peer.RelayCursor{Epoch: r.epoch, Entries: r.entries.Version(), Beats: r.beats.Version()}
	return out
}

// relayState returns what the node says of itself to relays: its state, and its word
// on the configuration. Holds go from the holder of the lease to everyone at once,
// and what engines hold is told by their events.
func (n *Node) relayState() (route.PeerState, fleet.PeerWord) {
	n.Lock()
	defer n.Unlock()
	now := time.Now()
	state := n.Board().State(now)
	state.Fills, state.Kept = nil, nil
	_, state.Loaded = n.duty.told()
	return state, n.adoption.Word(now)
}

// takeWord takes a relay's word on the configuration and fetches a newer one.
func (n *Node) takeWord(ctx context.Context, begun time.Time, addr netip.AddrPort, w fleet.PeerWord) {
	n.heard(begun, w)
	n.Lock()
	behind := w.Revision > n.adoption.Revision()
	n.Unlock()
	if behind {
		n.fetchFrom(ctx, addr)
	}
}
