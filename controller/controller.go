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
	// Lease is the length of a pool's lease; it is renewed at a third of it.
	Lease time.Duration
	// Every is the time between rounds of planning.
	PlanEvery   time.Duration
	GossipEvery time.Duration
	PeerTimeout time.Duration
	PeerServer  *tls.Config
	PeerClient  *tls.Config
}

// orderTimeout bounds the sending of an order; a new holder waits for longer.
const orderTimeout = time.Second

// takeoverMargin is how much longer than a lease its next holder waits: an order that
// the last one sent at its very end is over by then.
const takeoverMargin = 2 * orderTimeout

// Check returns every fault of the settings in one error.
func (s Settings) Check() error {
	var problems []error
	addf := func(format string, args ...any) { problems = append(problems, errs.Errorf(format, args...)) }
	if s.Name == "" {
		addf("name is missing")
	}
	if !s.Operators.IsValid() || !s.Peers.IsValid() {
		addf("the doors have no address")
	}
	if s.Lease < 3*orderTimeout {
		addf("lease must be at least %s, since an order may take %s", 3*orderTimeout, orderTimeout)
	}
	if s.PlanEvery <= 0 || s.GossipEvery <= 0 || s.PeerTimeout <= s.GossipEvery {
		addf("every and gossip-every must be more than 0 and peer-timeout longer than gossip-every")
	}
	return errors.Join(problems...)
}

// Controller is a fleet process.
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
	// configRead is when the head was last read; only the work loop uses it.
	configRead time.Time

	mu       sync.Mutex
	snap     *policy.Snapshot
	document fleet.Document
	pools    map[string]*poolState
}

// poolState is one pool's lease and planner.
type poolState struct {
	lease         *fleet.Lease
	planner       *fleet.Planner
	wasHeld       bool
	nextRead      time.Time
	engines       []fleet.Engine
	steps         fleet.Steps
	reportedStops map[fleet.Rollout]bool
}

// Option changes a [Controller] at its construction.
type Option func(*Controller)

// WithLogger sets the log.
func WithLogger(l *slog.Logger) Option {
	return func(c *Controller) { c.log = l }
}

// probeTimeout bounds a probe; an engine that takes longer counts as slow.
const probeTimeout = 10 * time.Second

// New returns a controller with valid settings, which does nothing before [Controller.Run].
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

// Run works until ctx ends, then gives its leases up.
func (c *Controller) Run(ctx context.Context) error {
	server := &http.Server{Handler: c.operatorsHandler(), ReadHeaderTimeout: orderTimeout}
	doors, err := door.OpenAll(
		func() (door.Listener, error) { return peer.Open(c.set.Peers, c.set.PeerServer, c) },
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
				c.log.Error("a door closed by itself", "error", err)
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

// round does one round of every pool's work.
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
		c.log.Debug("the list of VMs was not read", "error", err)
		return
	}
	for _, p := range snap.Pools() {
		if p.Kind == policy.KindEngine {
			c.planPool(ctx, snap, p, list)
		}
	}
}

// configEvery is the least time between reads of the configuration's head.
const configEvery = time.Second

// refreshConfig adopts a newer revision in force; while the table is out the old one stays.
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

// planPool keeps the lease and, while it is held, the pool.
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

// payload tells the routers which engines to keep empty.
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
