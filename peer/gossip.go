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
// of more than smallFleet processes takes the lower ones and half as many rounds,
// which keeps a process under 10 KB/s.
const (
	smallFleet   = 16
	fanoutPart   = 0.4
	leastFanout  = 2
	largeFanout  = 1
	relayEntries = 8
	largeRelay   = 3
)

// freshTime is how long after a peer's last word it counts as heard of lately. In a
// small fleet any two processes exchange within it in 998 of 1,000 cases.
const freshTime = 1500 * time.Millisecond

// Gossip keeps a process's view of its peers by exchanging with a few at a time.
type Gossip struct {
	id      string
	peers   *Client
	rec     *event.Recorder
	payload func(now time.Time) Payload
	heard   func(begun time.Time, w fleet.PeerWord)
	newest  func(now time.Time) []route.NewestWord
	// heardNewest takes what a peer told of the newest weights.
	heardNewest func(begun time.Time, peer string, words []route.NewestWord)
	relays      func() []fleet.Member
	alone       bool
	told        func([]fleet.Member)
	crashes     *CrashTalk

	mu   sync.Mutex
	view *fleet.View[Payload]
	rng  *rand.Rand
	last time.Time
	now  clock.Clock
	// quiet says that peers seen and lost are no events.
	quiet bool
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
	Heard func(begun time.Time, w fleet.PeerWord)
	// Newest returns what the process knows of the newest weights of models, and
	// HeardNewest takes what a peer told, as Heard does. Both may be nil.
	Newest      func(now time.Time) []route.NewestWord
	HeardNewest func(begun time.Time, peer string, words []route.NewestWord)
	// Alone says that messages have no entries of others.
	Alone bool
	// Relays returns the relays of the fleet, where it is large, and HeardRelays
	// takes those that a peer told of. Both may be nil.
	Relays      func() []fleet.Member
	HeardRelays func(relays []fleet.Member)
	// Crashes are the words on targets that ended under requests; it may be nil.
	Crashes *CrashTalk
}

// NewGossip returns the gossip of a process that calls its peers through p.
func NewGossip(cfg GossipConfig, p *Client, rec *event.Recorder) *Gossip {
	if cfg.Relays == nil {
		cfg.Relays = func() []fleet.Member { return nil }
		cfg.HeardRelays = func([]fleet.Member) {}
	}
	if cfg.Newest == nil {
		cfg.Newest = func(time.Time) []route.NewestWord { return nil }
		cfg.HeardNewest = func(time.Time, string, []route.NewestWord) {}
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.Steady
	}
	epoch := time.Now().UnixNano()
	return &Gossip{
		id:      cfg.ID,
		peers:   p,
		rec:     rec,
		payload: cfg.Payload,
		heard:   cfg.Heard,
		newest:  cfg.Newest,

		heardNewest: cfg.HeardNewest,

		relays:  cfg.Relays,
		alone:   cfg.Alone,
		told:    cfg.HeardRelays,
		crashes: cfg.Crashes,
		view:    fleet.NewView[Payload](cfg.ID, cfg.Addr, epoch, cfg.Seeds, cfg.Timeout),
		rng:     rand.New(rand.NewPCG(cfg.Seed, uint64(epoch))),
		last:    cfg.Clock(),
		now:     cfg.Clock,
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
		return largeFanout
	}
	return max(leastFanout, int(math.Ceil(fanoutPart*float64(len(g.Live())))))
}

// Period returns the time between rounds for a small fleet's period.
func (g *Gossip) Period(small time.Duration) time.Duration {
	if g.large() {
		return 2 * small
	}
	return small
}

func (g *Gossip) large() bool { return len(g.Live()) >= smallFleet }

// SetSeeds replaces the addresses that are tried besides those of live peers.
func (g *Gossip) SetSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SetSeeds(seeds)
}

// SetQuiet makes peers that are seen and lost no events: in a fleet whose processes
// do not all talk to each other that says nothing.
func (g *Gossip) SetQuiet(quiet bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quiet = quiet
}

// Tell exchanges with the processes at the addresses.
func (g *Gossip) Tell(ctx context.Context, addrs []netip.AddrPort) { g.exchangeAll(ctx, addrs) }

// Expire notes which peers were lost, where no rounds do.
func (g *Gossip) Expire() { g.expire() }

// Sweep exchanges with every seed and live peer, and returns their addresses.
func (g *Gossip) Sweep(ctx context.Context) []netip.AddrPort {
	g.mu.Lock()
	addrs := g.view.Everyone(g.now())
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
	half := g.half("", 0)
	half.Crashes = g.crashes.Ask(addr)
	out, err := g.peers.Exchange(ctx, addr, half)
	if err != nil {
		g.crashes.Failed(addr)
		return
	}
	g.crashes.Answered(addr, half.Crashes, out.Crashes)
	g.take(out)
	g.heard(begun, out.Word)
	g.heardNewest(begun, out.From, out.Newest)
}

// Exchange answers a peer's half with the own, and with what others said where the
// two have not heard of the same processes lately. What the peer says of newer
// configuration and weights is heard as unconfirmed, since it is not known how long it
// was on its way.
func (g *Gossip) Exchange(in Exchange) Exchange {
	g.take(in)
	g.heard(time.Time{}, fleet.PeerWord{Revision: in.Word.Revision, ConfirmedAge: -1})
	g.heardNewest(time.Time{}, in.From, in.Newest)
	out := g.half(in.From, g.relayed(in.Fresh))
	out.Crashes = g.crashes.Asked(in.Crashes)
	if later, ok := g.later(in); ok {
		out.Entries = append(out.Entries, later)
	}
	return out
}

// later returns the life of a peer that keeps its present one from being heard.
func (g *Gossip) later(in Exchange) (Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range in.Entries {
		if e.ID == in.From {
			return g.view.Later(e.ID, e.Epoch)
		}
	}
	return Entry{}, false
}

// relayed is how many entries of others a peer gets that heard of the processes
// that fresh names. Among those that all talk to each other that is none, since
// each one's own word is newer.
func (g *Gossip) relayed(fresh uint64) int {
	g.mu.Lock()
	own := g.view.Digest(g.now(), freshTime)
	g.mu.Unlock()
	switch {
	case fresh == own, g.alone:
		return 0
	case len(g.relays()) > 0:
		// What others say of themselves is the relays' to tell.
		return 0
	case g.large():
		return largeRelay
	}
	return relayEntries
}

func (g *Gossip) take(in Exchange) {
	g.rec.Clock().Observe(in.Stamp)
	if len(in.Relays) > 0 {
		g.told(in.Relays)
	}
	g.mu.Lock()
	joined := g.view.Merge(g.now(), in.Entries)
	if g.quiet {
		joined = nil
	}
	g.mu.Unlock()
	for _, id := range joined {
		g.rec.Record(event.Event{Code: event.PeerSeen, Detail: id})
	}
}

// half is what this process tells a peer: its own entry, and at most relay of those
// of processes other than the two.
func (g *Gossip) half(to string, relay int) Exchange {
	stamp := g.rec.Clock().Now()
	now := g.now()
	payload := g.payload(now)
	relays := g.relays()
	newest := g.newest(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := g.view.Message(now, g.rng, payload, relay)
	return Exchange{
		From: g.id, Stamp: stamp, Word: payload.Word, Newest: newest, Relays: relays, Fresh: g.view.Digest(now, freshTime),
		Entries: slices.DeleteFunc(entries, func(e Entry) bool { return e.ID == to }),
	}
}

// TellPlaced tells all live peers at once of a request that takes a target long. One
// that does not hear of it hears of the load with the next exchange.
func (g *Gossip) TellPlaced(ctx context.Context, p route.PlacementReport) {
	var wg sync.WaitGroup
	for _, e := range g.Live() {
		wg.Go(func() { g.TellPlacedTo(ctx, e.Addr, p) })
	}
	wg.Wait()
}

// TellPlacedTo tells one process of a request that takes a target long.
func (g *Gossip) TellPlacedTo(ctx context.Context, addr netip.AddrPort, p route.PlacementReport) {
	// An error is seen in the next round too, which tells the same.
	_ = g.peers.Placed(ctx, addr, PlacedWord{From: g.id, Epoch: g.view.Epoch(), Placed: p})
}

// Placed takes a peer's word on a request.
func (g *Gossip) Placed(w PlacedWord) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.Amend(w.From, w.Epoch, func(p *Payload) {
		loads := slices.DeleteFunc(slices.Clone(p.State.Loads), func(l route.Load) bool { return l.Target == w.Placed.Load.Target })
		p.State.Loads = append(loads, w.Placed.Load)
	})
}

func (g *Gossip) expire() {
	g.mu.Lock()
	now := g.now()
	lost := g.view.Expire(g.last, now)
	if g.quiet {
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

// Heard returns the same entries, each with its age here.
func (g *Gossip) Heard() []fleet.Heard[Payload] {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Heard(g.now())
}
