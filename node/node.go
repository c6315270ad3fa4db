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
	// now is the clock for everything that expires.
	now      clock.Clock
	events   *event.Recorder
	metrics  *metrics.Set
	counters counters
	store    Store
	protocol Protocol
	engines  Engines
	conns    *transport.Pool
	// handoffs holds the connections to other nodes for requests that are handed over, handed serves
	// those that other nodes hand over.
	handoffs *transport.Pool
	handed   *handoffServer
	peers    *peer.Client
	gossip   *peer.Gossip
	crashes  *peer.CrashGossip
	// crashWake wakes crashLoop after a target crashed under a request.
	crashWake waker
	// era is the newest era of the store that this node has handled.
	era atomic.Int64
	// recordWake wakes recordLoop.
	recordWake waker
	callers    callerConns
	memory     *memoryBudget
	classes    atomic.Pointer[callerClasses]
	probes     probeSet
	peerZones  peerZones
	// stop is the planned stop, once it has begun.
	stop atomic.Pointer[plannedStop]
	// fetching is set while a configuration is being fetched from a peer.
	fetching atomic.Bool
	// borrowing is set while the list is being taken from another node.
	borrowing atomic.Bool
	loops     sync.WaitGroup
	// startedAt is when the process started; recordedSize is the fleet size recorded by the lease
	// holder.
	startedAt    time.Time
	recordedSize atomic.Int64

	// The lock of the embedded Driver guards the board and the fields below.
	*dispatch.Driver
	rng      *rand.Rand
	adoption *fleet.Adoption
	document fleet.Document
	// adoptedAt is when the configuration in use was adopted.
	adoptedAt time.Time
	// unreadEntries is the number of entries of that configuration that could not be read.
	unreadEntries int
	// loggedBehind is the newest revision logged as known but not in force.
	loggedBehind int64
	limits       Limits
	list         targetList
	// invalidEntries are the invalid entries in the newest reading of the list.
	invalidEntries map[InvalidEntry]bool
	weights        *weightsUpdater
	relays         *relays
	rollouts       *rollouts
	releases       *releases
	// smallFleet is the maximum number of nodes that all talk to each other.
	smallFleet int
	// metricsAddr is the address of the metrics server; it is invalid if there is none.
	metricsAddr netip.AddrPort
	metricsPath string
	placement   route.Placer
	// crashSettings limit the damage that a request may do to targets.
	crashSettings route.CrashSettings
	// disabled are the mechanisms that an experiment switches off.
	disabled route.Mechanisms
	// connOptions are further options of conns.
	connOptions []transport.Option
	// placed queues placements to announce to peers.
	placed chan route.PlacementReport
	// notices queues notices about targets for other nodes.
	notices chan route.TargetNotice
}

// Option configures a [Node].
type Option func(*Node)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(n *Node) { n.log = l }
}

// WithClock sets the clock for everything that expires. The default is the monotonic clock, which
// stops while the machine is suspended.
func WithClock(c clock.Clock) Option {
	return func(n *Node) { n.now = c }
}

// WithMetrics sets the address and path of the metrics.
func WithMetrics(addr netip.AddrPort, path string) Option {
	return func(n *Node) { n.metricsAddr, n.metricsPath = addr, path }
}

// WithMetricSet sets the metric set in which the node registers its metrics.
func WithMetricSet(set *metrics.Set) Option {
	return func(n *Node) { n.metrics = set }
}

// WithPeers sets the client for calls to other nodes.
func WithPeers(p *peer.Client) Option {
	return func(n *Node) { n.peers = p }
}

// WithTargetDial sets how connections to targets are opened, in place of TCP.
func WithTargetDial(dial transport.DialFunc) Option {
	return func(n *Node) { n.connOptions = append(n.connOptions, transport.WithDial(dial)) }
}

// WithPlacement sets the placement policy.
func WithPlacement(p route.Placer) Option {
	return func(n *Node) { n.placement = p }
}

// WithCrashSettings sets the limits on the damage that a request may do to targets.
func WithCrashSettings(s route.CrashSettings) Option {
	return func(n *Node) { n.crashSettings = s }
}

// WithoutMechanisms disables mechanisms for an experiment.
func WithoutMechanisms(off route.Mechanisms) Option {
	return func(n *Node) { n.disabled = off }
}

// DefaultSmallFleet is the default for [WithSmallFleet]: gossip with a few peers per round reaches
// 16 nodes within a second.
const DefaultSmallFleet = 16

// WithSmallFleet sets the fleet size up to which all nodes gossip with each other and read the
// store. In a larger fleet a few relays do so for the others.
func WithSmallFleet(nodes int) Option {
	return func(n *Node) { n.smallFleet = nodes }
}

// Intervals and timeouts of gossip.
const (
	// gossipInterval is the time between two rounds with a few peers.
	gossipInterval = 250 * time.Millisecond
	// peerTimeout is the time without contact after which a peer counts as lost.
	peerTimeout = 2500 * time.Millisecond
	// peerCallTimeout is the timeout of one exchange; peers are a few milliseconds away.
	peerCallTimeout = 600 * time.Millisecond
	// minRetryAfter is the minimum Retry-After of a refusal: most causes of refusals are over by
	// then.
	minRetryAfter = 150 * time.Millisecond
)

// New returns a node with the given settings. It does nothing until [Node.Run] is called.
func New(s Settings, store Store, protocol Protocol, engines Engines, opts ...Option) (*Node, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	seed := uint64(time.Now().UnixNano())
	n := &Node{
		store: store, protocol: protocol, engines: engines,
		log:       slog.New(slog.DiscardHandler),
		now:       clock.Monotonic,
		metrics:   metrics.NewSet(),
		rng:       rand.New(rand.NewPCG(seed, 1)),
		adoption:  fleet.NewAdoption(fraction(s.Bounds.Revoke, revokeFraction), false, fleet.WithGrace(fraction(s.Bounds.Apply, applyFraction))),
		placement: route.Predict,

		crashSettings: route.DefaultCrashSettings(),
		limits:        defaultLimits,
		memory:        newMemoryBudget(callerMemory(s.Memory)),
		callers:       callerConns{maxOpen: maxCallerConns(s.Memory)},

		smallFleet: DefaultSmallFleet,
		placed:     make(chan route.PlacementReport, placedQueueSize),
		notices:    make(chan route.TargetNotice, noticeQueueSize),
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
	n.callers.closedHook, n.callers.keptHook = n.counters.connClosed, n.counters.connKept
	if n.peers == nil {
		n.peers = peer.NewClient(peerCallTimeout, nil, peer.WithObserver(n.countPeerBytes))
	}
	n.conns = transport.NewPool(append(n.connOptions, transport.WithOpened(n.counters.opened.Inc), transport.WithMaxConns(n.maxConns), transport.WithClock(n.now))...)
	n.handoffs = transport.NewPool(transport.WithDial(dialHandoff), transport.WithClock(n.now))
	n.handed = newHandoffServer()
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
		route.WithoutMechanisms(n.disabled),
		route.WithPlaced(n.announcePlaced),
		route.WithNumberedWeights(stalenessOf(s, n.now())),
		route.WithTargetIndex(&n.list),
		route.WithExposure(s.Bounds.Exposure),
		route.WithCrashes(n.crashSettingsWithin(s.Bounds.Contact), n.crashWake.wake),
		route.WithTargetNotices(s.Name, n.announceNotice),
	)
	n.Driver = dispatch.New(board, dispatch.WithAttemptEndHook(n.counters.attempt), dispatch.WithClock(n.now))
	n.crashes = peer.NewCrashGossip(n.CrashesSince, n.receiveCrashes)
	n.gossip = peer.NewGossip(peer.GossipConfig{
		ID: s.Name, Addr: s.Peers, Seeds: s.Seeds, Timeout: peerTimeout, Seed: seed, Clock: n.now,
		Payload: n.payload, OnConfigStatus: n.receiveConfigStatus, NewestWeights: n.newestUpdates, OnNewestWeights: n.receiveNewest,
		OwnEntryOnly: n.disabled.Has(route.OthersEntries),
		Relays:       func() []fleet.Member { return n.relays.known() },
		OnRelays:     func(relays []fleet.Member) { n.relays.learnRelays(relays) },
		Crashes:      n.crashes,
	}, n.peers, n.events)
	n.weights = newWeightsUpdater(n)
	n.relays = newRelays(n)
	n.rollouts = &rollouts{n: n, recorded: make(map[string]RolloutStatus)}
	n.releases = newReleases(n)
	n.gauges()
	return n, nil
}

// stalenessOf returns the rules for outdated weights in a process that starts now.
func stalenessOf(s Settings, now time.Time) route.Staleness {
	return route.Staleness{
		Grace: staleGrace, Price: stalePenalty,
		Limit:        fraction(s.Bounds.Weights, weightsFraction),
		BeginLimit:   fraction(s.Bounds.Weights, beginFraction),
		UnknownUntil: now.Add(fraction(s.Bounds.Contact, weightsFraction)),
		// A target's entry is up to one heartbeat old, and is read up to one list interval later.
		GuessTime: 2*s.Heartbeat + fraction(s.Bounds.Drain, listFraction),
	}
}

// settings returns the current settings.
func (n *Node) settings() *Settings { return n.set.Load() }

// Reload replaces the seeds and the bounds that are looked up on use. Addresses and the node's name
// stay fixed while the process runs.
func (n *Node) Reload(s Settings) error {
	old := n.settings()
	s.Name, s.Zone, s.Store = old.Name, old.Zone, old.Store
	s.Callers, s.Readiness, s.Peers, s.Operators = old.Callers, old.Readiness, old.Peers, old.Operators
	if err := s.Check(); err != nil {
		return err
	}
	n.set.Store(&s)
	n.memory.setLimit(callerMemory(s.Memory))
	n.callers.setMaxOpen(maxCallerConns(s.Memory))
	n.gossip.SetSeeds(s.Seeds)
	n.events.Record(event.Event{Code: event.SettingsReloaded, Detail: fmt.Sprintf("%d seeds", len(s.Seeds))})
	return nil
}

// RejectSettings logs that changed settings were rejected.
func (n *Node) RejectSettings(err error) {
	n.events.Record(event.Event{Code: event.SettingsRejected, Detail: err.Error()})
}

// sampleEvery is the number of successful requests per logged one. At 36 requests/s, the share of
// one node at the largest expected size, one per second is logged.
const sampleEvery = 32

// ownPrefillBudget is the prefill time that one node may have waiting at an engine. A zone with a
// single node has a quarter of the callers and an eighth of the nodes; with an even share of 200 ms
// it refused 6% of its requests while engines were a third busy.
const ownPrefillBudget = 400 * time.Millisecond

// eventBufferSize is the number of events kept in memory for operators, some 200 bytes each.
const eventBufferSize = 1024

// The cost of older weights is zero for the first 1.25 s: a request that begins on them at 1.5 s
// loses a fifth of its benefit.
const (
	staleGrace   = 1250 * time.Millisecond
	stalePenalty = 250 * time.Millisecond
)

// placedQueueSize is the number of queued placements, some seconds' worth for one node. A placement
// that does not fit is sent with the next exchange.
const placedQueueSize = 64

// tickInterval is the resolution of the board's timers.
const tickInterval = 20 * time.Millisecond

// Run serves until ctx ends and then drains.
func (n *Node) Run(ctx context.Context) error {
	if memory := n.settings().Memory; memory > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(memory)))
	}
	doors, err := n.listen()
	if err != nil {
		return err
	}
	n.events.Record(event.Event{Code: event.ProcessStarted, Detail: n.startDetail()})
	// The loops outlive ctx because requests in flight need them while draining.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	for _, loop := range []func(context.Context){n.watchLoop, n.listLoop, n.gossipLoop, n.weights.loop, n.rollouts.loop, n.releases.loop, n.releases.record.loop, n.sweepLoop, n.placedLoop, n.recentLoop, n.noticeLoop, n.crashLoop, n.recordLoop, n.reprobeLoop} {
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
	left := fmt.Sprintf("%d requests, %d handed over by other nodes and %d connections of callers were left", n.Calls(), n.handed.inFlight.Load(), n.callers.count())
	door.CloseAll(doors)
	stop()
	n.loops.Wait()
	servers.Wait()
	n.peers.Close()
	n.conns.Close()
	n.handoffs.Close()
	n.events.Record(event.Event{Code: event.ProcessStopped, Detail: left})
	return err
}

// startDetail returns the detail of the start event.
func (n *Node) startDetail() string {
	text := "callers at " + n.settings().Callers.String()
	if n.disabled != 0 {
		text += ", without " + n.disabled.String()
	}
	return text
}

// listen opens all listeners or none.
func (n *Node) listen() ([]door.Listener, error) {
	set := n.settings()
	openers := []func() (door.Listener, error){
		func() (door.Listener, error) {
			return door.HTTP(set.Callers, n.callersServer(), nil, n.log, door.WithConnWrapper(n.callers.track))
		},
		func() (door.Listener, error) { return n.internalDoor(set.Readiness, http.HandlerFunc(n.handleReady)) },
		func() (door.Listener, error) {
			return peer.Open(set.Peers, nil, n.log, n, peer.WithHandoffs(n.handed.take))
		},
		n.handoffDoor,
	}
	if n.metricsAddr.IsValid() {
		openers = append(openers, func() (door.Listener, error) { return n.internalDoor(n.metricsAddr, n.operatorsHandler()) })
	}
	return door.OpenAll(openers...)
}

// internalHeaderTimeout limits the time to read a request header on servers that are not for
// callers.
const internalHeaderTimeout = 3 * time.Second

// internalDoor opens an HTTP server that is not for callers.
func (n *Node) internalDoor(addr netip.AddrPort, h http.Handler) (door.Listener, error) {
	return door.HTTP(addr, &http.Server{Handler: h, ReadHeaderTimeout: internalHeaderTimeout}, nil, n.log)
}

// jitter varies d by up to 10% in either direction.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.Lock()
	defer n.Unlock()
	return d*9/10 + time.Duration(n.rng.Int64N(int64(d)/5+1))
}

// pause waits for d. It reports false if ctx ended first.
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

// maxConns returns this node's share of the connections that a target accepts.
func (n *Node) maxConns(target netip.AddrPort) int {
	// The pool calls this under its own lock, so the board's lock must not be taken here. The list
	// therefore keeps the limits itself.
	return n.list.maxConns(target)
}

// snapshot returns the configuration in force, or nil.
func (n *Node) snapshot() *policy.Snapshot {
	n.Lock()
	defer n.Unlock()
	return n.Board().Snapshot()
}
