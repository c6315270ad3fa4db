package peer

import (
	"context"
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

// The bounds of gossip: which part of its live peers a round exchanges with, at
// least how many, and how many entries of others an answer carries at most. A fleet
// of more than largeFleetSize processes takes the lower ones and half as many rounds,
// which keeps a process under 10 KB/s.
const (
	largeFleetSize           = 16
	fanoutRatio              = 0.4
	minFanout                = 2
	largeFleetFanout         = 1
	forwardEntries           = 8
	largeFleetForwardEntries = 3
)

// recentWindow is how long after a peer's last word it counts as heard of lately. In a
// small fleet any two processes exchange within it in 998 of 1,000 cases.
const recentWindow = 1500 * time.Millisecond

// Gossip keeps a process's view of its peers by exchanging with a few at a time.
type Gossip struct {
	id             string
	client         *Client
	rec            *event.Recorder
	payload        func(now time.Time) Payload
	onConfigStatus func(begun time.Time, w fleet.ConfigStatus)
	newestWeights  func(now time.Time) []route.NewestUpdate
	// receivedNewest takes what a peer told of the newest weights.
	onNewestWeights func(begun time.Time, peer string, words []route.NewestUpdate)
	relays          func() []fleet.Member
	ownEntryOnly    bool
	onRelays        func([]fleet.Member)
	crashes         *CrashGossip

	mu   sync.Mutex
	view *fleet.View[Payload]
	rng  *rand.Rand
	last time.Time
	now  clock.Clock
	// quiet says that peers seen and lost are no events.
	suppressEvents bool
}

// GossipConfig describes a process that gossips.
type GossipConfig struct {
	ID      string
	Addr    netip.AddrPort
	Seeds   []netip.AddrPort
	Timeout time.Duration
	Seed    uint64
	// Clock tells the time by which peers count as heard; nil is the steady one.
	Clock clock.Clock
	// Payload returns what the process says of itself.
	Payload func(now time.Time) Payload
	// Heard takes a peer's word on configuration, got by a call that began at begun.
	OnConfigStatus func(begun time.Time, w fleet.ConfigStatus)
	// Newest returns what the process knows of the newest weights of models, and
	// OnNewestWeights takes what a peer told, as Heard does. Both may be nil.
	NewestWeights   func(now time.Time) []route.NewestUpdate
	OnNewestWeights func(begun time.Time, peer string, words []route.NewestUpdate)
	// Alone says that messages have no entries of others.
	OwnEntryOnly bool
	// Relays returns the relays of the fleet, where it is large, and OnRelays
	// takes those that a peer told of. Both may be nil.
	Relays   func() []fleet.Member
	OnRelays func(relays []fleet.Member)
	// Crashes are the words on targets that ended under requests; it may be nil.
	Crashes *CrashGossip
}

// NewGossip returns the gossip of a process that calls its peers through p.
func NewGossip(cfg GossipConfig, p *Client, rec *event.Recorder) *Gossip {
	if cfg.Relays == nil {
		cfg.Relays = func() []fleet.Member { return nil }
		cfg.OnRelays = func([]fleet.Member) {}
	}
	if cfg.NewestWeights == nil {
		cfg.NewestWeights = func(time.Time) []route.NewestUpdate { return nil }
		cfg.OnNewestWeights = func(time.Time, string, []route.NewestUpdate) {}
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.Steady
	}
	epoch := time.Now().UnixNano()
	return &Gossip{
		id:             cfg.ID,
		client:         p,
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

// Round exchanges with a few peers at once and notes which were lost.
func (g *Gossip) Round(ctx context.Context) {
	n := g.fanout()
	g.mu.Lock()
	addrs := g.view.Pick(g.now(), g.rng, n)
	g.mu.Unlock()
	g.exchangeAll(ctx, addrs)
	g.expire()
}

// fanout is how many peers a round exchanges with.
func (g *Gossip) fanout() int {
	if g.large() {
		return largeFleetFanout
	}
	return max(minFanout, int(math.Ceil(fanoutRatio*float64(len(g.Live())))))
}

// Period returns the time between rounds for a small fleet's period.
func (g *Gossip) Period(small time.Duration) time.Duration {
	if g.large() {
		return 2 * small
	}
	return small
}

func (g *Gossip) large() bool { return len(g.Live()) >= largeFleetSize }

// SetSeeds replaces the addresses that are tried besides those of live peers.
func (g *Gossip) SetSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SetSeeds(seeds)
}

// SuppressPeerEvents makes peers that are seen and lost no events: in a fleet whose processes
// do not all talk to each other that says nothing.
func (g *Gossip) SuppressPeerEvents(quiet bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suppressEvents = quiet
}

// ExchangeWith exchanges with the processes at the addresses.
func (g *Gossip) ExchangeWith(ctx context.Context, addrs []netip.AddrPort) { g.exchangeAll(ctx, addrs) }

// Expire notes which peers were lost, where no rounds do.
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
	begun := g.now()
	half := g.localMessage("", 0)
	half.Crashes = g.crashes.NewRequest(addr)
	out, err := g.client.Exchange(ctx, addr, half)
	if err != nil {
		g.crashes.HandleFailure(addr)
		return
	}
	g.crashes.HandleResponse(addr, half.Crashes, out.Crashes)
	g.merge(out)
	g.onConfigStatus(begun, out.Word)
	g.onNewestWeights(begun, out.From, out.Newest)
}

// Exchange answers a peer's half with the own, and with what others said where the
// two have not heard of the same processes lately. What the peer says of newer
// configuration and weights is heard as unconfirmed, since it is not known how long it
// was on its way.
func (g *Gossip) Exchange(in Exchange) Exchange {
	g.merge(in)
	g.onConfigStatus(time.Time{}, fleet.ConfigStatus{Revision: in.Word.Revision, ConfirmedAge: -1})
	g.onNewestWeights(time.Time{}, in.From, in.Newest)
	out := g.localMessage(in.From, g.forwardLimit(in.Fresh))
	out.Crashes = g.crashes.HandleRequest(in.Crashes)
	if later, ok := g.supersedingEntry(in); ok {
		out.Entries = append(out.Entries, later)
	}
	return out
}

// supersedingEntry returns the life of a peer that keeps its present one from being heard.
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

// forwardLimit is how many entries of others a peer gets that heard of the processes
// that fresh names. Among those that all talk to each other that is none, since
// each one's own word is newer.
func (g *Gossip) forwardLimit(fresh uint64) int {
	g.mu.Lock()
	own := g.view.Digest(g.now(), recentWindow)
	g.mu.Unlock()
	switch {
	case fresh == own, g.ownEntryOnly:
		return 0
	case len(g.relays()) > 0:
		// What others say of themselves is the relays' to tell.
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
	joined := g.view.Merge(g.now(), in.Entries)
	if g.suppressEvents {
		joined = nil
	}
	g.mu.Unlock()
	for _, id := range joined {
		g.rec.Record(event.Event{Code: event.PeerSeen, Detail: id})
	}
}

// localMessage is what this process tells a peer: its own entry, and at most relay of those
// of processes other than the two.
func (g *Gossip) localMessage(to string, relay int) Exchange {
	stamp := g.rec.Clock().Now()
	now := g.now()
	payload := g.payload(now)
	relays := g.relays()
	newest := g.newestWeights(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := g.view.Message(now, g.rng, payload, relay)
	return Exchange{
		From: g.id, Stamp: stamp, Word: payload.Word, Newest: newest, Relays: relays, Fresh: g.view.Digest(now, recentWindow),
		Entries: slices.DeleteFunc(entries, func(e Entry) bool { return e.ID == to }),
	}
}

// BroadcastPlaced tells all live peers at once of a request that takes a target long. One
// that does not hear of it hears of the load with the next exchange.
func (g *Gossip) BroadcastPlaced(ctx context.Context, p route.PlacementReport) {
	var wg sync.WaitGroup
	for _, e := range g.Live() {
		wg.Go(func() { g.SendPlaced(ctx, e.Addr, p) })
	}
	wg.Wait()
}

// SendPlaced tells one process of a request that takes a target long.
func (g *Gossip) SendPlaced(ctx context.Context, addr netip.AddrPort, p route.PlacementReport) {
	// An error is seen in the next round too, which tells the same.
	_ = g.client.Placed(ctx, addr, PlacedNotice{From: g.id, Epoch: g.view.Epoch(), Placed: p})
}

// Placed takes a peer's word on a request.
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

// Status is a live peer as operators see it.
type Status struct {
	Name     string         `json:"name"`
	Kind     string         `json:"kind"`
	Door     netip.AddrPort `json:"door"`
	Revision int64          `json:"revision"`
	Draining bool           `json:"draining"`
}

// Status returns the live peers as operators see them.
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

// Live returns the entries of the peers heard of lately.
func (g *Gossip) Live() []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Live(g.now())
}

// LiveWithAge returns the same entries, each with its age here.
func (g *Gossip) LiveWithAge() []fleet.AgedEntry[Payload] {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.LiveWithAge(g.now())
}
