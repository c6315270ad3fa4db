package node

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/internal/clock"
	"github.com/pathhead/pathhead/internal/door"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

// Node is the process of one VM.
type Node struct {
	set atomic.Pointer[Settings]
	log *slog.Logger
	// now tells the time by which all that holds for a while is judged.
	now      clock.Clock
	events   *event.Recorder
	metrics  *metrics.Set
	counters counters
	store    Store
	protocol Protocol
	engines  Engines
	conns    *transport.Pool
	peers    *peer.Client
	gossip   *peer.Gossip
	crashes  *peer.CrashGossip
	// crashWake wakes the loop that tells others at once of targets that ended under requests.
	crashWake waker
	// era is the store's newest life that this node acted on.
	era atomic.Int64
	// recording wakes the one that records what is held back.
	recordWake waker
	callers    callerConns
	probes     probeSet
	peerZones  peerZones
	stopping   atomic.Bool
	// fetching says that a configuration is being taken from a peer.
	fetching atomic.Bool
	loops    sync.WaitGroup
	// began is when the process started, recorded the size of the fleet that the
	// holder of the lease recorded.
	startedAt    time.Time
	recordedSize atomic.Int64

	// Driver's lock guards what follows besides the board.
	*dispatch.Driver
	rng      *rand.Rand
	adoption *fleet.Adoption
	document fleet.Document
	// loggedBehind is the newest revision that was logged as known and not served under.
	loggedBehind int64
	limits       Limits
	list         targetList
	// faulty are the entries of the newest reading of the list that name no target.
	invalidEntries map[InvalidEntry]bool
	weights        *weightsUpdater
	relays         *relays
	rollouts       *rollouts
	// largeFleetSize is the size of fleet up to which all nodes talk to each other.
	smallFleet int
	// metricsAddr is where the counters are served, invalid for nowhere.
	metricsAddr netip.AddrPort
	metricsPath string
	placement   route.Placer
	// crashSettings bound what requests may do to targets.
	crashSettings route.CrashSettings
	// off are the mechanisms that an experiment switched off.
	off route.Mechanisms
	// placed are the requests that peers are still to be told of.
	placed chan route.PlacementReport
}

// Option changes a [Node] at its construction.
type Option func(*Node)

// WithLogger sets the log.
func WithLogger(l *slog.Logger) Option {
	return func(n *Node) { n.log = l }
}

// WithClock sets the clock by which the node judges all that holds for a while; without it that is
// the steady one, which does not count the time that the machine is suspended.
func WithClock(c clock.Clock) Option {
	return func(n *Node) { n.now = c }
}

// WithMetrics sets where the counters are served.
func WithMetrics(addr netip.AddrPort, path string) Option {
	return func(n *Node) { n.metricsAddr, n.metricsPath = addr, path }
}

// WithMetricSet sets the counters that the node adds its own to.
func WithMetricSet(set *metrics.Set) Option {
	return func(n *Node) { n.metrics = set }
}

// WithPeers sets the client that calls the other nodes.
func WithPeers(p *peer.Client) Option {
	return func(n *Node) { n.peers = p }
}

// WithPlacement sets the placement policy.
func WithPlacement(p route.Placer) Option {
	return func(n *Node) { n.placement = p }
}

// WithCrashSettings sets the bounds of what requests may do to targets.
func WithCrashSettings(s route.CrashSettings) Option {
	return func(n *Node) { n.crashSettings = s }
}

// WithoutMechanisms switches mechanisms off for an experiment.
func WithoutMechanisms(off route.Mechanisms) Option {
	return func(n *Node) { n.off = off }
}

// DefaultSmallFleet is the size of fleet up to which all nodes talk to each other
// and read the store: gossip with a few peers at a time tells of 16 within a second.
const DefaultSmallFleet = 16

// WithSmallFleet sets the size of fleet up to which all nodes talk to each other
// and read the store; in a larger one a few relay for the others.
func WithSmallFleet(nodes int) Option {
	return func(n *Node) { n.smallFleet = nodes }
}

// The times of gossip.
const (
	// gossipInterval is the time between two rounds with a few peers.
	gossipInterval = 250 * time.Millisecond
	// peerTimeout is the silence after which a peer is lost.
	peerTimeout = 2500 * time.Millisecond
	// peerCallTime bounds one exchange; peers are a few milliseconds away.
	peerCallTime = 600 * time.Millisecond
	// minRetryAfter is the least time a refused caller is told to stay away:
	// what holds requests up is mostly over by then.
	minRetryAfter = 150 * time.Millisecond
)

// New returns a node with valid settings, which does nothing before [Node.Run].
func New(s Settings, store Store, protocol Protocol, engines Engines, opts ...Option) (*Node, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	seed := uint64(time.Now().UnixNano())
	n := &Node{
		store: store, protocol: protocol, engines: engines,
		log:       slog.New(slog.DiscardHandler),
		now:       clock.Steady,
		metrics:   metrics.NewSet(),
		rng:       rand.New(rand.NewPCG(seed, 1)),
		adoption:  fleet.NewAdoption(fraction(s.Bounds.Revoke, revokeFraction), false, fleet.WithGrace(fraction(s.Bounds.Apply, applyFraction))),
		placement: route.Predict,

		crashSettings: route.DefaultCrashSettings(),
		limits:        defaultLimits,

		smallFleet: DefaultSmallFleet,
		placed:     make(chan route.PlacementReport, placedQueueSize),
		crashWake:  newWaker(),
		recordWake: newWaker(),
	}
	n.set.Store(&s)
	n.era.Store(unknownEra)
	n.adoption.Strict()
	for _, opt := range opts {
		opt(n)
	}
	n.startedAt = n.now()
	if err := n.crashSettings.Check(); err != nil {
		return nil, err
	}
	n.events = event.New(s.Name, event.WithLogger(n.log), event.WithSize(eventBufferSize), event.WithSample(sampleEvery))
	n.counters = newCounters(n.metrics)
	if n.peers == nil {
		n.peers = peer.NewClient(peerCallTime, nil, peer.WithObserver(n.countPeerBytes))
	}
	n.conns = transport.NewPool(transport.WithOpened(n.counters.opened.Inc), transport.WithMaxConns(n.maxConns), transport.WithClock(n.now))
	board := route.NewBoard(
		route.WithSeed(seed),
		route.WithRouters(len(s.Seeds)),
		route.WithPartialPeerList(),
		route.WithPlacer(n.placement),
		route.WithEventHandler(n.events.Record),
		route.WithZone(s.Zone),
		route.WithMinRetryAfter(minRetryAfter),
		route.WithMaxPendingPrefill(ownPrefillBudget),
		route.WithReusedAddresses(),
		route.WithoutMechanisms(n.off),
		route.WithPlaced(n.announcePlaced),
		route.WithNumberedWeights(stalenessOf(s, n.now())),
		route.WithTargetIndex(&n.list),
		route.WithExposure(s.Bounds.Exposure),
		route.WithCrashes(n.crashSettings, n.crashWake.wake),
	)
	n.Driver = dispatch.New(board, dispatch.WithAttemptEndHook(n.counters.attempt), dispatch.WithClock(n.now))
	n.crashes = peer.NewCrashGossip(n.CrashesSince, n.receiveCrashes)
	n.gossip = peer.NewGossip(peer.GossipConfig{
		ID: s.Name, Addr: s.Peers, Seeds: s.Seeds, Timeout: peerTimeout, Seed: seed, Clock: n.now,
		Payload: n.payload, OnConfigStatus: n.receiveConfigReport, NewestWeights: n.newestReports, OnNewestWeights: n.receiveNewest,
		OwnEntryOnly: n.off.Has(route.OthersEntries),
		Relays:       func() []fleet.Member { return n.relays.known() },
		OnRelays:     func(relays []fleet.Member) { n.relays.learnRelays(relays) },
		Crashes:      n.crashes,
	}, n.peers, n.events)
	n.weights = newWeightsUpdater(n)
	n.relays = newRelays(n)
	n.rollouts = &rollouts{n: n, recorded: make(map[string]RolloutStatus)}
	n.gauges()
	return n, nil
}

// stalenessOf returns how weights are told apart by age in a process that starts now.
func stalenessOf(s Settings, now time.Time) route.Staleness {
	return route.Staleness{
		Grace: staleGrace, Price: stalePenalty,
		Limit:        fraction(s.Bounds.Weights, weightsFraction),
		BeginLimit:   fraction(s.Bounds.Weights, beginFraction),
		UnknownUntil: now.Add(fraction(s.Bounds.Contact, weightsFraction)),
		// A target's entry is up to a heartbeat old, and read after up to another pause.
		GuessTime: 2*s.Heartbeat + fraction(s.Bounds.Drain, listFraction),
	}
}

// settings returns the settings in effect.
func (n *Node) settings() *Settings { return n.set.Load() }

// Reload takes changed settings: seeds and the bounds that are looked up when
// they are used. Addresses and the node's name stay until the process ends.
func (n *Node) Reload(s Settings) error {
	old := n.settings()
	s.Name, s.Zone, s.Store = old.Name, old.Zone, old.Store
	s.Callers, s.Readiness, s.Peers, s.Operators = old.Callers, old.Readiness, old.Peers, old.Operators
	if err := s.Check(); err != nil {
		return err
	}
	n.set.Store(&s)
	n.gossip.SetSeeds(s.Seeds)
	n.events.Record(event.Event{Code: event.SettingsReloaded, Detail: fmt.Sprintf("%d seeds", len(s.Seeds))})
	return nil
}

// RejectSettings notes that changed settings could not be taken.
func (n *Node) RejectSettings(err error) {
	n.events.Record(event.Event{Code: event.SettingsRejected, Detail: err.Error()})
}

// sampleEvery is how many requests that go well there are to one that is logged: at
// 36 requests/s, the share of one node at the largest size expected, one each second.
const sampleEvery = 32

// maxPendingPrefill is the prefill that one node may have waiting at an engine. A zone with
// one node has a quarter of the callers at an eighth of the nodes: an even part of
// 200 ms refused 6 in 100 of its requests while engines were a third busy.
const ownPrefillBudget = 400 * time.Millisecond

// eventBufferSize is the number of events kept in memory for operators, some 200 bytes each.
const eventBufferSize = 1024

// The price of older weights: none for the first second and a quarter, after
// which each request that begins on them loses a fifth of its benefit at 1.5 s.
const (
	staleGrace   = 1250 * time.Millisecond
	stalePenalty = 250 * time.Millisecond
)

// placedQueueSize is how many requests may wait for peers to be told of them: some
// seconds' worth for one node; what does not fit is told with the next exchange.
const placedQueueSize = 64

// tickInterval is the board's resolution of time.
const tickInterval = 20 * time.Millisecond

// Run serves until ctx ends and then stops as planned.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryFraction * float64(n.settings().Memory)))
	doors, err := n.listen()
	if err != nil {
		return err
	}
	n.events.Record(event.Event{Code: event.ProcessStarted, Detail: n.startDetail()})
	// The loops outlive ctx, since answers in flight need them during the stop.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	for _, loop := range []func(context.Context){n.watchLoop, n.listLoop, n.gossipLoop, n.weights.loop, n.rollouts.loop, n.sweepLoop, n.placedLoop, n.recentLoop, n.crashLoop, n.recordLoop} {
		n.loops.Go(func() { loop(work) })
	}
	n.loops.Go(func() { n.Tick(work, tickInterval) })
	failed := make(chan error, len(doors))
	var servers sync.WaitGroup
	for _, d := range doors {
		servers.Go(func() { failed <- d.Serve() })
	}
	select {
	case <-ctx.Done():
		n.drain()
	case err = <-failed:
	}
	door.Close(doors)
	stop()
	n.loops.Wait()
	servers.Wait()
	n.peers.Close()
	n.conns.Close()
	n.events.Record(event.Event{Code: event.ProcessStopped})
	return err
}

// startDetail is what the log says at the start.
func (n *Node) startDetail() string {
	text := "callers at " + n.settings().Callers.String()
	if n.off != 0 {
		text += ", without " + n.off.String()
	}
	return text
}

// listen opens all doors or none.
func (n *Node) listen() ([]door.Door, error) {
	set := n.settings()
	openers := []func() (door.Door, error){
		func() (door.Door, error) {
			return door.HTTP(set.Callers, n.callersServer(), nil, n.log, door.WithConns(n.callers.track))
		},
		func() (door.Door, error) { return n.internalDoor(set.Readiness, http.HandlerFunc(n.handleReady)) },
		func() (door.Door, error) { return peer.Open(set.Peers, nil, n) },
	}
	if n.metricsAddr.IsValid() {
		openers = append(openers, func() (door.Door, error) { return n.internalDoor(n.metricsAddr, n.operatorsHandler()) })
	}
	return door.Open(openers...)
}

// internalHeaderTimeout bounds the head of a request at the doors that are not for callers.
const internalHeaderTimeout = 3 * time.Second

// internalDoor opens a door that is not for callers.
func (n *Node) internalDoor(addr netip.AddrPort, h http.Handler) (door.Door, error) {
	return door.HTTP(addr, &http.Server{Handler: h, ReadHeaderTimeout: internalHeaderTimeout}, nil, n.log)
}

// jitter spreads a period by a tenth to either side.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.Lock()
	defer n.Unlock()
	return d*9/10 + time.Duration(n.rng.Int64N(int64(d)/5+1))
}

// pause waits for d and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// maxConns is this node's part of the connections that a target takes from all.
func (n *Node) maxConns(target netip.AddrPort) int {
	// The pool calls it while it holds its own lock, so the board's is not taken:
	// the list keeps the bounds of its targets apart.
	return n.list.maxConns(target)
}

// snapshot returns the configuration in force, or nil.
func (n *Node) snapshot() *policy.Snapshot {
	n.Lock()
	defer n.Unlock()
	return n.Board().Snapshot()
}
