package controller

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/internal/door"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// Settings are a fleet process's settings.
type Settings struct {
	Name      string
	Operators netip.AddrPort
	Peers     netip.AddrPort
	Seeds     []netip.AddrPort
	// Lease is the TTL of a pool's lease, which is renewed after a third of it.
	Lease time.Duration
	// PlanEvery is the time between planning rounds.
	PlanEvery   time.Duration
	GossipEvery time.Duration
	PeerTimeout time.Duration
	PeerServer  *tls.Config
	PeerClient  *tls.Config
}

// orderTimeout is the maximum duration of sending an order. takeoverMargin is longer.
const orderTimeout = time.Second

// takeoverMargin is how long after a lease has expired another process waits
// before it takes it, so that an order sent just before the expiry has ended.
const takeoverMargin = 2 * orderTimeout

// Check returns one error that lists all invalid settings.
func (s Settings) Check() error {
	var problems []error
	addf := func(format string, args ...any) { problems = append(problems, errs.Errorf(format, args...)) }
	if s.Name == "" {
		addf("name is missing")
	}
	if !s.Operators.IsValid() || !s.Peers.IsValid() {
		addf("the address of the operators' or the peers' door is missing")
	}
	if s.Lease < 3*orderTimeout {
		addf("lease is %s, must be at least %s, since an order may take %s", s.Lease, 3*orderTimeout, orderTimeout)
	}
	if s.PlanEvery <= 0 || s.GossipEvery <= 0 || s.PeerTimeout <= s.GossipEvery {
		addf("every and gossip-every must be positive and peer-timeout longer than gossip-every")
	}
	return errors.Join(problems...)
}

// Controller is a fleet process. Create it with [New] and start it with [Controller.Run].
type Controller struct {
	set     Settings
	id      string
	log     *slog.Logger
	events  *event.Recorder
	metrics *metrics.Set
	table   fleet.Table
	configs fleet.Configs
	list    List
	engines Engines
	peers   *peer.Client
	gossip  *peer.Gossip
	// configRead is when the head was last read; only planLoop uses it.
	configRead time.Time

	mu       sync.Mutex
	snap     *policy.Snapshot
	document fleet.Document
	pools    map[string]*poolState
}

// poolState is the lease and the planner of one pool.
type poolState struct {
	lease   *fleet.Lease
	planner *fleet.Planner
	// wasHeld is whether the lease was held when recordLeaseChange last checked.
	wasHeld bool
	// nextRead is when the lease's row is read next.
	nextRead time.Time
	engines  []fleet.Engine
	steps    fleet.Steps
	// reportedStops are the stopped roll-outs for which an event was recorded.
	reportedStops map[fleet.Rollout]bool
}

// Option configures a [Controller].
type Option func(*Controller)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l *slog.Logger) Option {
	return func(c *Controller) { c.log = l }
}

// probeTimeout is the maximum duration of a probe, after which it fails.
const probeTimeout = 10 * time.Second

// New validates the settings and returns a controller, which is idle until [Controller.Run].
func New(s Settings, p Ports, opts ...Option) (*Controller, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	c := &Controller{
		set:     s,
		id:      s.Name + "/" + rand.Text()[:8],
		log:     slog.New(slog.DiscardHandler),
		metrics: metrics.NewSet(),
		table:   p.Table,
		configs: fleet.Configs{Table: p.Table},
		list:    p.List,
		engines: p.Engines,
		peers:   peer.NewClient(time.Second, s.PeerClient),
		pools:   make(map[string]*poolState),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.events = event.New(s.Name, event.WithLogger(c.log))
	c.gossip = peer.NewGossip(peer.GossipConfig{
		ID: s.Name, Addr: s.Peers, Seeds: s.Seeds, Timeout: s.PeerTimeout,
		Payload: c.payload, OnConfigStatus: func(time.Time, fleet.ConfigStatus) {},
	}, c.peers, c.events)
	c.metrics.NewGauge("pathhead_fleet_leases_held", func() float64 { return float64(c.leasesHeld()) })
	return c, nil
}

// Run reconciles the pools until ctx is done, then releases the leases it holds.
func (c *Controller) Run(ctx context.Context) error {
	server := &http.Server{Handler: c.operatorsHandler(), ReadHeaderTimeout: orderTimeout}
	doors, err := door.OpenAll(
		func() (door.Listener, error) { return peer.Open(c.set.Peers, c.set.PeerServer, c.log, c) },
		func() (door.Listener, error) { return door.HTTP(c.set.Operators, server, c.set.PeerServer, c.log) },
	)
	if err != nil {
		return err
	}
	c.events.Record(event.Event{Code: event.ProcessStarted})
	var wg sync.WaitGroup
	for _, d := range doors {
		wg.Go(func() {
			if err := d.Serve(); err != nil {
				c.log.Error("listener failed", "error", err)
			}
		})
	}
	wg.Go(func() { c.gossipLoop(ctx) })
	c.planLoop(ctx)
	c.releaseLeases()
	door.CloseAll(doors)
	wg.Wait()
	c.peers.Close()
	c.events.Record(event.Event{Code: event.ProcessStopped})
	return nil
}

func (c *Controller) gossipLoop(ctx context.Context) {
	t := time.NewTicker(c.set.GossipEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.gossip.Round(ctx)
		}
	}
}

func (c *Controller) planLoop(ctx context.Context) {
	t := time.NewTicker(c.set.PlanEvery)
	defer t.Stop()
	for {
		c.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// round runs one planning round for every pool of engines.
func (c *Controller) round(ctx context.Context) {
	c.refreshConfig(ctx)
	c.mu.Lock()
	snap := c.snap
	c.mu.Unlock()
	if snap == nil {
		return
	}
	list, err := c.list.Read(ctx)
	if err != nil {
		c.log.Debug("cannot read the VM list", "error", err)
		return
	}
	for _, p := range snap.Pools() {
		if p.Kind == policy.KindEngine {
			c.planPool(ctx, snap, p, list)
		}
	}
}

// configEvery is the minimum time between reads of the configuration's head.
const configEvery = time.Second

// refreshConfig adopts a newer revision in force. While the table is unavailable
// the current revision is kept.
func (c *Controller) refreshConfig(ctx context.Context) {
	if time.Since(c.configRead) < configEvery {
		return
	}
	c.configRead = time.Now()
	head, err := c.configs.Head(ctx)
	if err != nil || head.InForce <= c.revision() {
		return
	}
	d, err := c.configs.Get(ctx, head.InForce)
	if err != nil {
		return
	}
	snap, err := d.Compile()
	if err != nil {
		c.events.Record(event.Event{Code: event.ConfigRejected, Revision: d.Revision, Detail: err.Error()})
		return
	}
	c.mu.Lock()
	c.snap, c.document = snap, d
	c.mu.Unlock()
	c.events.Record(event.Event{Code: event.ConfigAdopted, Revision: d.Revision})
}

func (c *Controller) revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document.Revision
}

// poolState returns the state of a pool, which it creates on first use.
func (c *Controller) poolState(pool string) *poolState {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.pools[pool]
	if !ok {
		w = &poolState{
			lease:         fleet.NewLease("pool/"+pool, c.id, c.set.Lease, takeoverMargin),
			planner:       fleet.NewPlanner(pool, fleet.DefaultPlannerSettings()),
			reportedStops: make(map[fleet.Rollout]bool),
		}
		c.pools[pool] = w
	}
	return w
}

// planPool maintains the pool's lease. While this process holds it, planPool polls
// the engines, plans the next steps and carries them out.
func (c *Controller) planPool(ctx context.Context, snap *policy.Snapshot, p *policy.CompiledPool, list []route.ListedTarget) {
	w := c.poolState(p.Name)
	c.maintainLease(ctx, p.Name, w)
	if !w.lease.Holds(time.Now()) {
		return
	}
	engines := c.pollEngines(ctx, p, list)
	c.mu.Lock()
	w.engines = engines
	w.steps = w.planner.Plan(time.Now(), snap, engines)
	steps := w.steps
	c.mu.Unlock()
	for _, s := range steps.Orders {
		c.sendOrder(ctx, w, s)
	}
	for _, s := range steps.Probes {
		c.probeEngine(ctx, w, s)
	}
	c.reportStops(p.Name, w)
}

// reportStops records an event for each roll-out that has stopped since the last call.
func (c *Controller) reportStops(pool string, w *poolState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for r, why := range w.planner.StoppedRollouts() {
		if !w.reportedStops[r] {
			w.reportedStops[r] = true
			c.events.Record(event.Event{Code: event.RolloutStopped, Revision: c.document.Revision, Detail: pool + " to " + r.Model + " " + r.Weights + ": " + why})
		}
	}
}

// payload returns the state gossiped to the routers: the engines to which they
// must not send requests, because a change is in progress.
func (c *Controller) payload(now time.Time) peer.Payload {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := peer.Payload{Kind: peer.KindFleet, Door: c.set.Operators, Word: fleet.ConfigStatus{Revision: c.document.Revision, ConfirmedAge: -1}}
	for _, w := range c.pools {
		if w.lease.Holds(now) {
			p.State.Holds = append(p.State.Holds, targetKeys(w.steps.Holds)...)
		}
	}
	return p
}

// Exchange implements [peer.Handler].
func (c *Controller) Exchange(in peer.Exchange) peer.Exchange { return c.gossip.Exchange(in) }

// Config implements [peer.Handler].
func (c *Controller) Config() (fleet.Document, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document, c.document.Revision > 0
}

var _ peer.Handler = (*Controller)(nil)

func (c *Controller) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		c.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { door.WriteJSON(w, http.StatusOK, c.status()) })
	mux.HandleFunc("GET /v1/events", func(w http.ResponseWriter, r *http.Request) {
		f, err := event.ParseFilter(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		door.WriteJSON(w, http.StatusOK, c.events.Events(f))
	})
	return mux
}
