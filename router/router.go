package router

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/internal/door"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// Settings are a router's settings. [Settings.Check] validates them.
type Settings struct {
	Name      string
	Hall      string
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
	// Seeds are the peer addresses of other processes, contacted until gossip
	// has learned of more peers.
	Seeds []netip.AddrPort
	// PollEvery is the time between polls of a target's state.
	PollEvery time.Duration
	// ConfigEvery is the time between reads of the configuration's head.
	ConfigEvery time.Duration
	// GossipEvery is the time between gossip rounds.
	GossipEvery time.Duration
	// PeerTimeout is the time without an update after which a peer counts as lost.
	PeerTimeout time.Duration
	// Validity is how long a confirmation of the configuration remains valid.
	Validity time.Duration
	// BalancerLag is how long the load balancer keeps sending requests after the
	// readiness check fails.
	BalancerLag time.Duration
	// DrainTime is the maximum time a graceful shutdown waits for requests in
	// flight, after BalancerLag.
	DrainTime time.Duration
	// Placement is the name of the placement policy.
	Placement string
	// CacheEvents makes the router read the engines' cache events.
	CacheEvents bool
	CallerTLS   *tls.Config
	PeerServer  *tls.Config
	PeerClient  *tls.Config
	Seed        uint64
	// Crashes limits how many targets one request may crash.
	Crashes route.CrashSettings
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Name:        "router",
		PollEvery:   500 * time.Millisecond,
		ConfigEvery: time.Second,
		GossipEvery: 200 * time.Millisecond,
		PeerTimeout: 2 * time.Second,
		Validity:    3 * time.Second,
		BalancerLag: 3 * time.Second,
		DrainTime:   2 * time.Minute,
		Placement:   "predict",
		Crashes:     route.DefaultCrashSettings(),
	}
}

// Check returns one error that lists all invalid settings.
func (s Settings) Check() error {
	var problems []error
	addf := func(format string, args ...any) { problems = append(problems, errs.Errorf(format, args...)) }
	if s.Name == "" {
		addf("name is missing")
	}
	for what, addr := range map[string]netip.AddrPort{"callers": s.Callers, "operators": s.Operators, "peers": s.Peers} {
		if !addr.IsValid() {
			addf("the address of the %s' door is missing", what)
		}
	}
	if _, ok := route.Placers()[s.Placement]; !ok {
		addf("placement %q is not known", s.Placement)
	}
	for _, r := range s.ranges() {
		if r.value < r.min || r.value > r.max {
			addf("%s is %s, must be from %s to %s", r.name, r.value, r.min, r.max)
		}
	}
	if err := s.Crashes.Check(); err != nil {
		addf("%w", err)
	}
	if s.Validity <= s.ConfigEvery {
		addf("validity must be longer than config-every")
	}
	if s.PeerTimeout <= s.GossipEvery {
		addf("peer-timeout must be longer than gossip-every")
	}
	return errors.Join(problems...)
}

// durationRange is a duration setting with its minimum and maximum.
type durationRange struct {
	name            string
	value, min, max time.Duration
}

func (s Settings) ranges() []durationRange {
	return []durationRange{
		{"poll-every", s.PollEvery, 50 * time.Millisecond, 10 * time.Second},
		{"config-every", s.ConfigEvery, 100 * time.Millisecond, 10 * time.Second},
		{"gossip-every", s.GossipEvery, 50 * time.Millisecond, 10 * time.Second},
		{"peer-timeout", s.PeerTimeout, 100 * time.Millisecond, time.Minute},
		{"validity", s.Validity, 500 * time.Millisecond, time.Minute},
		{"balancer-lag", s.BalancerLag, 0, time.Minute},
		{"drain-time", s.DrainTime, time.Second, time.Hour},
	}
}

// Router is a router process. Create it with [New] and start it with [Router.Run].
type Router struct {
	set        Settings
	id         string
	log        *slog.Logger
	events     *event.Recorder
	metrics    *metrics.Set
	counters   counters
	configs    fleet.Configs
	claims     fleet.Claims
	list       List
	engines    Engines
	protocol   dispatch.Protocol
	peers      *peer.Client
	configWake chan struct{}
	draining   atomic.Bool
	keyedCalls keyedCalls
	// loops counts the background goroutines; Run waits for them before it returns.
	loops  sync.WaitGroup
	gossip *peer.Gossip
	// seedRouters is the number of seeds in the settings other than this router.
	seedRouters int

	// Driver's lock protects the board and the fields below.
	*dispatch.Driver
	adoption *fleet.Adoption
	document fleet.Document
	rng      *rand.Rand
	pollers  map[netip.AddrPort]context.CancelFunc
}

// Option configures a [Router].
type Option func(*Router)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l *slog.Logger) Option {
	return func(r *Router) { r.log = l }
}

// peerCallTime is the maximum duration of one exchange with a peer.
const peerCallTime = time.Second

// New validates the settings and returns a router, which is idle until [Router.Run].
func New(s Settings, p Ports, opts ...Option) (*Router, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	r := &Router{
		set:        s,
		log:        slog.New(slog.DiscardHandler),
		metrics:    metrics.NewSet(),
		list:       p.List,
		engines:    p.Engines,
		protocol:   p.Protocol,
		configs:    fleet.Configs{Table: p.Table, Objects: p.Objects},
		claims:     fleet.Claims{Table: p.Table},
		peers:      peer.NewClient(peerCallTime, s.PeerClient),
		configWake: make(chan struct{}, 1),
		pollers:    make(map[netip.AddrPort]context.CancelFunc),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.id = s.Name
	r.events = event.New(s.Name, event.WithLogger(r.log))
	seed := s.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	r.rng = rand.New(rand.NewPCG(seed, 2))
	r.seedRouters = len(slices.DeleteFunc(slices.Clone(s.Seeds), func(a netip.AddrPort) bool { return a == s.Peers }))
	board := route.NewBoard(
		route.WithSeed(seed),
		route.WithRouters(1+r.seedRouters),
		route.WithPlacer(route.Placers()[s.Placement]),
		route.WithEventHandler(r.events.Record),
		route.WithCrashes(s.Crashes, func() {}),
	)
	r.Driver = dispatch.New(board,
		dispatch.WithExport(func(e route.Export) { r.loops.Go(func() { r.exportPrefix(e) }) }),
		dispatch.WithArrivalHook(func() { r.applyServing() }),
		dispatch.WithAttemptEndHook(func(k route.OutcomeKind) { r.counters.countAttempt(k) }),
	)
	r.adoption = fleet.NewAdoption(s.Validity, r.seedRouters == 0)
	r.gossip = peer.NewGossip(peer.GossipConfig{
		ID: r.id, Addr: s.Peers, Seeds: s.Seeds, Timeout: s.PeerTimeout, Seed: seed,
		Payload: r.payload, OnConfigStatus: r.receiveConfigReport, Crashes: peer.NewCrashGossip(r.CrashesSince, r.TakeCrashes),
	}, r.peers, r.events)
	r.counters = newCounters(r.metrics)
	r.registerGauges()
	return r, nil
}

// Events returns the router's event recorder.
func (r *Router) Events() *event.Recorder { return r.events }

// Run serves until ctx is done and then shuts down gracefully: after
// BalancerLag new requests are refused, and requests in flight are completed.
func (r *Router) Run(ctx context.Context) error {
	doors, err := r.listen()
	if err != nil {
		return err
	}
	r.events.Record(event.Event{Code: event.ProcessStarted, Detail: "doors " + r.set.Callers.String()})
	// The loops keep running after ctx is done, since requests in flight need
	// them during the shutdown.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var servers sync.WaitGroup
	for _, loop := range []func(context.Context){r.configLoop, r.listLoop, r.gossipLoop, r.tickLoop, r.sweepLoop} {
		r.loops.Go(func() { loop(work) })
	}
	failed := make(chan error, 3)
	for _, d := range doors {
		servers.Go(func() { failed <- d.Serve() })
	}
	select {
	case <-ctx.Done():
		r.drain()
	case err = <-failed:
	}
	door.CloseAll(doors)
	stop()
	r.loops.Wait()
	servers.Wait()
	r.peers.Close()
	r.protocol.Close()
	r.events.Record(event.Event{Code: event.ProcessStopped})
	return err
}

// headerTimeout is the maximum time a client may take to send a request's header.
const headerTimeout = 5 * time.Second

// maxHeaderBytes is the maximum size of a request's header, in bytes.
const maxHeaderBytes = 32 << 10

func (r *Router) listen() ([]door.Listener, error) {
	return door.OpenAll(
		func() (door.Listener, error) { return r.httpDoor(r.set.Callers, r.callersHandler(), r.set.CallerTLS) },
		func() (door.Listener, error) {
			return r.httpDoor(r.set.Operators, r.operatorsHandler(), r.set.PeerServer)
		},
		func() (door.Listener, error) { return peer.Open(r.set.Peers, r.set.PeerServer, r.log, r) },
	)
}

func (r *Router) httpDoor(addr netip.AddrPort, h http.Handler, cfg *tls.Config) (door.Listener, error) {
	return door.HTTP(addr, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}, cfg, r.log)
}

// tickInterval is the time between ticks of the board, which expire waiting
// requests and start delayed retries.
const tickInterval = 10 * time.Millisecond

func (r *Router) tickLoop(ctx context.Context) { r.Tick(ctx, tickInterval) }

// sweepInterval is the time between closing idle connections to targets.
const sweepInterval = 2 * time.Second

func (r *Router) sweepLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sweepInterval):
			r.protocol.Sweep()
		}
	}
}

// drain performs the graceful shutdown of [Router.Run].
func (r *Router) drain() {
	r.draining.Store(true)
	r.events.Record(event.Event{Code: event.ProcessDraining})
	time.Sleep(r.set.BalancerLag)
	r.Lock()
	r.Board().Close(&route.Refusal{
		Cause: route.CauseStopping, RetryAfter: time.Second, Detail: "this router is stopping",
	})
	r.Unlock()
	end := time.Now().Add(r.set.DrainTime)
	for time.Now().Before(end) && r.Calls() > 0 {
		time.Sleep(tickInterval)
	}
}

// jitter returns a random duration within 20% of d.
func (r *Router) jitter(d time.Duration) time.Duration {
	r.Lock()
	defer r.Unlock()
	return d*4/5 + time.Duration(r.rng.Int64N(int64(d)*2/5+1))
}
