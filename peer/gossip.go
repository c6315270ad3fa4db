package peer

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/internal/clock"
	"github.com/pathhead/pathhead/route"
)

// The parameters of gossip: the share of its live peers that a round exchanges with, the
// minimum number of them, and the maximum number of entries of other processes in an answer.
// A process with largeFleetSize live peers or more uses the lower values and half as many
// rounds, which keeps its gossip traffic under 10 KB/s.
const (
	largeFleetSize           = 16
	fanoutRatio              = 0.4
	minFanout                = 2
	largeFleetFanout         = 1
	forwardEntries           = 8
	largeFleetForwardEntries = 3
)

// recentWindow is how long a peer counts as recently updated after the last entry of it. In a
// small fleet any two processes exchange within this time with a probability of 0.998.
const recentWindow = 1500 * time.Millisecond

// Gossip maintains a process's view of its peers by exchanging state with a few at a time.
type Gossip struct {
	id             string
	client         *Client
	rec            *event.Recorder
	payload        func(now time.Time) Payload
	onConfigStatus func(begun time.Time, w fleet.ConfigStatus)
	newestWeights  func(now time.Time) []route.NewestUpdate
	// onNewestWeights receives what a peer knows of the newest weights.
	onNewestWeights func(begun time.Time, peer string, updates []route.NewestUpdate)
	relays          func() []fleet.Member
	ownEntryOnly    bool
	onRelays        func([]fleet.Member)
	crashes         *CrashGossip

	mu   sync.Mutex
	view *fleet.View[Payload]
	rng  *rand.Rand
	last time.Time
	now  clock.Clock
	// answered is when the last call to each address began that was answered.
	answered map[netip.AddrPort]time.Time
	// suppressEvents turns off the events for peers that appear and disappear.
	suppressEvents bool
}

// GossipConfig configures the gossip of a process.
type GossipConfig struct {
	ID      string
	Addr    netip.AddrPort
	Seeds   []netip.AddrPort
	Timeout time.Duration
	Seed    uint64
	// Clock is the clock by which peers expire; nil means [clock.Monotonic].
	Clock clock.Clock
	// Payload returns the state that the process publishes about itself.
	Payload func(now time.Time) Payload
	// OnConfigStatus receives a peer's configuration status from the answer to a call that began at
	// begun, or from the peer's own call if begun is zero.
	OnConfigStatus func(begun time.Time, w fleet.ConfigStatus)
	// NewestWeights returns what the process knows of the newest weights of models, and
	// OnNewestWeights receives what a peer knows; begun is as in OnConfigStatus. Both may be nil.
	NewestWeights   func(now time.Time) []route.NewestUpdate
	OnNewestWeights func(begun time.Time, peer string, updates []route.NewestUpdate)
	// OwnEntryOnly omits the entries of other processes from answers.
	OwnEntryOnly bool
	// Relays returns the relays of a large fleet, and OnRelays receives those that a
	// peer knows. Both may be nil.
	Relays   func() []fleet.Member
	OnRelays func(relays []fleet.Member)
	// Crashes exchanges updates on crashed targets; it may be nil.
	Crashes *CrashGossip
}

// NewGossip returns the gossip of a process that calls its peers through client and records events in rec.
func NewGossip(cfg GossipConfig, client *Client, rec *event.Recorder) *Gossip {
	if cfg.Relays == nil {
		cfg.Relays = func() []fleet.Member { return nil }
		cfg.OnRelays = func([]fleet.Member) {}
	}
	if cfg.NewestWeights == nil {
		cfg.NewestWeights = func(time.Time) []route.NewestUpdate { return nil }
		cfg.OnNewestWeights = func(time.Time, string, []route.NewestUpdate) {}
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.Monotonic
	}
	epoch := time.Now().UnixNano()
	return &Gossip{
		id:             cfg.ID,
		answered:       make(map[netip.AddrPort]time.Time),
		client:         client,
		rec:            rec,
		payload:        cfg.Payload,
		onConfigStatus: cfg.OnConfigStatus,
		newestWeights:  cfg.NewestWeights,

		onNewestWeights: cfg.OnNewestWeights,

		relays:       cfg.Relays,
		ownEntryOnly: cfg.OwnEntryOnly,
		onRelays:     cfg.OnRelays,
		crashes:      cfg.Crashes,
		view:         fleet.NewView[Payload](cfg.ID, cfg.Addr, epoch, cfg.Seeds, cfg.Timeout),
		rng:          rand.New(rand.NewPCG(cfg.Seed, uint64(epoch))),
		last:         cfg.Clock(),
		now:          cfg.Clock,
	}
}

// Round exchanges with a few peers in parallel and expires those that timed out.
func (g *Gossip) Round(ctx context.Context) {
	n := g.fanout()
	g.mu.Lock()
	addrs := g.view.Pick(g.now(), g.rng, n)
	if n > 1 {
		g.includeLeastRecent(addrs)
	}
	g.mu.Unlock()
	g.exchangeAll(ctx, addrs)
	g.expire()
}

// includeLeastRecent replaces the first of the picked peers by the live one that has not answered for
// longest, so that no peer is left out for many rounds by chance. The caller holds the lock.
func (g *Gossip) includeLeastRecent(picked []netip.AddrPort) {
	for _, e := range g.view.Live(g.now()) {
		if g.answered[e.Addr].Before(g.answered[picked[0]]) && !slices.Contains(picked, e.Addr) {
			picked[0] = e.Addr
		}
	}
}

// fanout returns the number of peers that a round exchanges with.
func (g *Gossip) fanout() int {
	if g.large() {
		return largeFleetFanout
	}
	return max(minFanout, int(math.Ceil(fanoutRatio*float64(len(g.Live())))))
}

// Period returns the time between rounds, given the one for a small fleet.
func (g *Gossip) Period(small time.Duration) time.Duration {
	if g.large() {
		return 2 * small
	}
	return small
}

func (g *Gossip) large() bool { return len(g.Live()) >= largeFleetSize }

// SetSeeds replaces the addresses that are tried in addition to those of live peers.
func (g *Gossip) SetSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SetSeeds(seeds)
}

// SuppressPeerEvents turns the events for peers that appear and disappear off or on. In a fleet
// whose processes do not all exchange with each other these events carry no information.
func (g *Gossip) SuppressPeerEvents(suppress bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suppressEvents = suppress
}

// ExchangeWith exchanges with the processes at the given addresses.
func (g *Gossip) ExchangeWith(ctx context.Context, addrs []netip.AddrPort) { g.exchangeAll(ctx, addrs) }

// Expire expires the peers that timed out, for processes that run no rounds.
func (g *Gossip) Expire() { g.expire() }

// ExchangeWithAll exchanges with every seed and live peer, and returns their addresses.
func (g *Gossip) ExchangeWithAll(ctx context.Context) []netip.AddrPort {
	g.mu.Lock()
	addrs := g.view.AllAddresses(g.now())
	g.mu.Unlock()
	g.exchangeAll(ctx, addrs)
	return addrs
}

func (g *Gossip) exchangeAll(ctx context.Context, addrs []netip.AddrPort) {
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() { g.exchange(ctx, addr) })
	}
	wg.Wait()
}

func (g *Gossip) exchange(ctx context.Context, addr netip.AddrPort) {
	start := g.now()
	message := g.localMessage("", 0)
	message.Crashes = g.crashes.NewRequest(addr)
	out, err := g.client.Exchange(ctx, addr, message)
	if err != nil {
		g.crashes.HandleFailure(addr)
		return
	}
	g.crashes.HandleResponse(addr, message.Crashes, out.Crashes)
	g.merge(out)
	g.recordAnswer(addr, start)
	g.onConfigStatus(start, out.Word)
	g.onNewestWeights(start, out.From, out.Newest)
}

// recordAnswer records an answered call.
func (g *Gossip) recordAnswer(addr netip.AddrPort, begun time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if begun.After(g.answered[addr]) {
		g.answered[addr] = begun
	}
}

// Answered returns the peers that answered this process since a time, each with the beginning of its last
// answered call. Unlike the age of an entry, it does not depend on how long a message was in transit.
func (g *Gossip) Answered(since time.Time) map[netip.AddrPort]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.answered, func(_ netip.AddrPort, at time.Time) bool { return at.Before(since) })
	return maps.Clone(g.answered)
}

// Exchange answers a peer's message with the local one. The answer has entries of other
// processes if the two have not received entries of the same ones recently. Newer configuration
// and weights that the peer reports count as unconfirmed, since it is unknown how long the
// message was in transit.
func (g *Gossip) Exchange(in Exchange) Exchange {
	g.merge(in)
	g.onConfigStatus(time.Time{}, fleet.ConfigStatus{Revision: in.Word.Revision, ConfirmedAge: -1})
	g.onNewestWeights(time.Time{}, in.From, in.Newest)
	out := g.localMessage(in.From, g.forwardLimit(in.Fresh))
	out.Crashes = g.crashes.HandleRequest(in.Crashes)
	if superseding, ok := g.supersedingEntry(in); ok {
		out.Entries = append(out.Entries, superseding)
	}
	return out
}

// supersedingEntry returns the entry of an earlier start of a peer if its higher epoch keeps the
// peer's present entry from being accepted. The peer then continues with an epoch above it.
func (g *Gossip) supersedingEntry(in Exchange) (Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range in.Entries {
		if e.ID == in.From {
			return g.view.NewerEpoch(e.ID, e.Epoch)
		}
	}
	return Entry{}, false
}

// forwardLimit returns the number of entries of other processes for a peer, given the digest of
// the processes of which it recently received entries. It is zero if these are the same ones
// here, since those processes publish newer entries themselves.
func (g *Gossip) forwardLimit(fresh uint64) int {
	g.mu.Lock()
	own := g.view.Digest(g.now(), recentWindow)
	g.mu.Unlock()
	switch {
	case fresh == own, g.ownEntryOnly:
		return 0
	case len(g.relays()) > 0:
		// The relays distribute the states of the other processes.
		return 0
	case g.large():
		return largeFleetForwardEntries
	}
	return forwardEntries
}

func (g *Gossip) merge(in Exchange) {
	g.rec.Clock().Observe(in.Stamp)
	if len(in.Relays) > 0 {
		g.onRelays(in.Relays)
	}
	g.mu.Lock()
	appeared := g.view.Merge(g.now(), in.Entries)
	if g.suppressEvents {
		appeared = nil
	}
	g.mu.Unlock()
	for _, id := range appeared {
		g.rec.Record(event.Event{Code: event.PeerSeen, Detail: id})
	}
}

// localMessage returns the message to a peer: the local entry, and at most forward entries of
// processes other than the two.
func (g *Gossip) localMessage(to string, forward int) Exchange {
	stamp := g.rec.Clock().Now()
	now := g.now()
	payload := g.payload(now)
	relays := g.relays()
	newest := g.newestWeights(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := g.view.Message(now, g.rng, payload, forward)
	return Exchange{
		From: g.id, Stamp: stamp, Word: payload.Word, Newest: newest, Relays: relays, Fresh: g.view.Digest(now, recentWindow),
		Entries: slices.DeleteFunc(entries, func(e Entry) bool { return e.ID == to }),
	}
}

// BroadcastPlaced notifies all live peers in parallel of a request with a long prefill.
// A peer that misses the notice learns of the load with the next exchange.
func (g *Gossip) BroadcastPlaced(ctx context.Context, p route.PlacementReport) {
	var wg sync.WaitGroup
	for _, e := range g.Live() {
		wg.Go(func() { g.SendPlaced(ctx, e.Addr, p) })
	}
	wg.Wait()
}

// SendPlaced notifies one process of a request with a long prefill.
func (g *Gossip) SendPlaced(ctx context.Context, addr netip.AddrPort, p route.PlacementReport) {
	// The error is ignored: the next round sends the same load and meets the same fault.
	_ = g.client.Placed(ctx, addr, PlacedNotice{From: g.id, Epoch: g.view.Epoch(), Placed: p})
}

// Placed applies a peer's notice of a placed request.
func (g *Gossip) Placed(w PlacedNotice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.UpdatePayload(w.From, w.Epoch, func(p *Payload) {
		loads := slices.DeleteFunc(slices.Clone(p.State.Loads), func(l route.Load) bool { return l.Target == w.Placed.Load.Target })
		p.State.Loads = append(loads, w.Placed.Load)
	})
}

func (g *Gossip) expire() {
	g.mu.Lock()
	now := g.now()
	lost := g.view.Expire(g.last, now)
	if g.suppressEvents {
		lost = nil
	}
	g.last = now
	g.mu.Unlock()
	for _, id := range lost {
		g.rec.Record(event.Event{Code: event.PeerLost, Detail: id})
	}
}

// Status describes a live peer to operators.
type Status struct {
	Name     string         `json:"name"`
	Kind     string         `json:"kind"`
	Door     netip.AddrPort `json:"door"`
	Revision int64          `json:"revision"`
	Draining bool           `json:"draining"`
}

// Status describes the live peers to operators.
func (g *Gossip) Status() []Status {
	var out []Status
	for _, e := range g.Live() {
		out = append(out, Status{
			Name: e.ID, Kind: e.Payload.Kind, Door: e.Payload.Door,
			Revision: e.Payload.Word.Revision, Draining: e.Payload.Draining,
		})
	}
	return out
}

// Live returns the entries of the peers that have not timed out.
func (g *Gossip) Live() []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Live(g.now())
}

// LiveWithAge returns the entries of the live peers, each with the time since it was updated here.
func (g *Gossip) LiveWithAge() []fleet.AgedEntry[Payload] {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.LiveWithAge(g.now())
}
