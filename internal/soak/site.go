package soak

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// The names of the installation.
const (
	hostName    = "api.example"
	modelName   = "m1"
	engineName  = "engines"
	plainName   = "plain"
	spareName   = "spare"
	foreignName = "strange"
	// spareTargets is the number of targets of the second plain service.
	spareTargets = 2
)

// The times of the stand-ins.
const (
	// routeTime is what routes give a request, callTime what its caller waits.
	routeTime = 3 * time.Second
	callTime  = 4 * time.Second
	// streamEvents and eventGap make a stream last some 0.3 s.
	streamEvents = 10
	eventGap     = 30 * time.Millisecond
	// restartDelay is after how long a process that ended by itself is started again.
	restartDelay = 500 * time.Millisecond
)

// slot is the place of a target, with the one that is there now.
type slot struct {
	proxy   *Proxy
	replica *platformtest.Replica
	// taken says that a step ends its target, which others leave alone meanwhile.
	claimed bool
}

// cluster is an installation with its nodes and stand-ins.
type cluster struct {
	recorder
	bounds  Bounds
	dir     string
	program string
	addrs   *addressPool
	store   *platformtest.Store
	runs    *platformtest.RunLog
	// steps are the faults under way.
	steps sync.WaitGroup

	mu sync.Mutex
	// held counts the faults that hold a door, a link or a process.
	impairments map[any]int
	nodes       []*node
	slots       []*slot
	engines     int
	targetCount int
	version     int64
	weights     int64
	closed      bool
}

// newCluster starts the stand-ins and the nodes of an installation.
func newCluster(program, dir string, bounds Bounds, size Size) (*cluster, error) {
	free, err := newAddressPool()
	if err != nil {
		return nil, err
	}
	s := &cluster{
		bounds: bounds, dir: dir, program: program, addrs: free, engines: size.Engines,
		store: platformtest.NewStore(), runs: new(platformtest.RunLog), impairments: make(map[any]int),
	}
	s.rec.Start, s.rec.Bounds = time.Now(), bounds
	if err := s.populate(size); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// populate starts the targets, in the order that steps count them in, and the nodes.
func (s *cluster) populate(size Size) error {
	if err := s.announceWeights(); err != nil {
		return err
	}
	if err := s.writeConfig(); err != nil {
		return err
	}
	for n := range size.Engines + size.Plain + spareTargets {
		service := engineName
		switch {
		case n >= size.Engines+size.Plain:
			service = spareName
		case n >= size.Engines:
			service = plainName
		}
		if _, err := s.addTarget(service); err != nil {
			return err
		}
	}
	for range size.Nodes {
		if _, err := s.prepareNode(); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := s.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (s *cluster) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, n := range s.nodes {
		if p := n.running(); p != nil {
			n.kill(p)
		}
		n.link.Close()
	}
	for _, sl := range s.slots {
		sl.proxy.Close()
		sl.replica.Crash()
	}
	s.store.Close()
	_ = s.addrs.guard.Close()
}

// addressPool gives out addresses of one loopback IP number, which no other soak and
// no outgoing connection uses: a port that was chosen can't be taken meanwhile.
type addressPool struct {
	ip   netip.Addr
	used atomic.Uint32
	// guard listens at the first port, which keeps other soaks from the number.
	guard net.Listener
}

// The loopback numbers that soaks use, from 127.16.0.1 to 127.255.249.1, by their
// process; 127.0.0.1 is for what gets its port from the kernel.
const (
	firstNet = 16
	nets     = 240
	hosts    = 250
	// firstPort is the first port that is used of a number.
	firstPort = 8000
)

// newAddressPool returns the addresses of a loopback number that no other soak uses.
func newAddressPool() (*addressPool, error) {
	begin := os.Getpid()
	for n := begin; n < begin+nets*hosts; n++ {
		ip := netip.AddrFrom4([4]byte{127, byte(firstNet + n/hosts%nets), byte(n % hosts), 1})
		guard, err := net.Listen("tcp4", netip.AddrPortFrom(ip, firstPort).String())
		if err == nil {
			return &addressPool{ip: ip, guard: guard}, nil
		}
	}
	return nil, errs.Errorf("no loopback number is free")
}

// next returns an address that was not given out.
func (a *addressPool) next() netip.AddrPort {
	return netip.AddrPortFrom(a.ip, uint16(firstPort+a.used.Add(1)))
}

// prepareNode adds a node whose process does not run yet.
func (s *cluster) prepareNode() (*node, error) {
	door, err := s.store.OpenEndpoint()
	if err != nil {
		return nil, err
	}
	n := &node{program: s.program, dir: s.dir, door: door, link: NewProxy(s.addrs.next())}
	n.settings = platformtest.Settings{
		Callers: s.addrs.next(), Readiness: s.addrs.next(), Peers: s.addrs.next(), Metrics: s.addrs.next().Port(),
		Store: n.link.Addr, Bounds: s.bounds.Bounds,
	}
	s.mu.Lock()
	n.name = fmt.Sprintf("node-%d", len(s.nodes))
	n.settings.Node = n.name
	s.nodes = append(s.nodes, n)
	s.mu.Unlock()
	return n, n.link.SetTarget(door.Addr)
}

// seeds are the peers' doors of the first nodes.
func (s *cluster) seeds() []netip.AddrPort {
	const most = 3
	var out []netip.AddrPort
	for _, n := range s.allNodes() {
		out = append(out, n.settings.Peers)
	}
	return out[:min(most, len(out))]
}

// allNodes returns the nodes as they are now.
func (s *cluster) allNodes() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*node(nil), s.nodes...)
}

// startNode starts a node's process unless one runs or the soak is over.
func (s *cluster) startNode(n *node) error {
	if err := n.writeSettings(s.seeds()); err != nil {
		return err
	}
	// The lock is held so that no process is started that close does not see.
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	return n.start(s.onNodeExit)
}

// onNodeExit takes a process that ended by itself, or in another way than it was told to.
func (s *cluster) onNodeExit(n *node, state string) {
	s.update(func(r *Record) {
		r.Exits = append(r.Exits, InjectedFault{Scope: ScopeNode, Subject: n.name, Detail: state, From: time.Now()})
	})
	time.AfterFunc(restartDelay, func() { s.recordError(s.startNode(n)) })
}

// recordError notes what keeps the soak itself from its work.
func (s *cluster) recordError(err error) {
	if err != nil {
		s.update(func(r *Record) {
			r.Exits = append(r.Exits, InjectedFault{Detail: "the soak: " + err.Error(), From: time.Now()})
		})
	}
}

// addTarget starts a target of a service at a new place.
func (s *cluster) addTarget(service string) (*slot, error) {
	sl := &slot{proxy: NewProxy(s.addrs.next())}
	s.mu.Lock()
	weights := s.weights
	s.mu.Unlock()
	if err := s.startTarget(sl, s.newID(service), service, weights, time.Now()); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = append(s.slots, sl)
	return sl, nil
}

// newID returns an id that no target had.
func (s *cluster) newID(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetCount++
	return fmt.Sprintf("%s-%d", service, s.targetCount)
}

// startTarget starts a target at a place, by its own clock at a time.
func (s *cluster) startTarget(sl *slot, id, service string, weights int64, at time.Time) error {
	opts := []platformtest.Option{platformtest.WithAdvertisedAddr(sl.proxy.Addr), platformtest.WithStart(at.UnixMilli())}
	if service == engineName {
		opts = append(opts, platformtest.WithModel(modelName, weights), platformtest.WithEvents(streamEvents, eventGap),
			platformtest.WithCrashPrompt(crashParts, func(r *platformtest.Replica) { s.steps.Go(func() { s.crashUnderRequest(sl, r) }) }))
	}
	r, err := platformtest.Start(s.store, s.runs, id, service, netip.AddrPort{}, opts...)
	if err != nil {
		return err
	}
	s.mu.Lock()
	sl.replica = r
	s.mu.Unlock()
	s.update(func(rec *Record) {
		// The judge knows a target by its id, of which the last start counts.
		rec.Targets = slices.DeleteFunc(rec.Targets, func(t Target) bool { return t.ID == id })
		rec.Targets = append(rec.Targets, Target{ID: id, Service: service, Started: time.Now()})
	})
	return sl.proxy.SetTarget(r.Addr)
}

// updateTarget changes what the record says of a target.
func (s *cluster) updateTarget(id string, change func(t *Target)) {
	s.update(func(r *Record) {
		for i := range r.Targets {
			if r.Targets[i].ID == id {
				change(&r.Targets[i])
			}
		}
	})
}

// writeConfig puts the next configuration in the store.
func (s *cluster) writeConfig() error {
	s.mu.Lock()
	s.version++
	cfg := configAt(s.version)
	s.mu.Unlock()
	index := 0
	s.update(func(r *Record) {
		index = len(r.Configs)
		r.Configs = append(r.Configs, ConfigWrite{Config: cfg, Sent: time.Now()})
	})
	if err := s.store.Declare(cfg); err != nil {
		return err
	}
	s.update(func(r *Record) { r.Configs[index].Acked = time.Now() })
	return nil
}

// announceWeights names the next weights.
func (s *cluster) announceWeights() error {
	s.mu.Lock()
	s.weights++
	weights := s.weights
	s.mu.Unlock()
	if err := s.store.NameWeights(modelName, weights); err != nil {
		return err
	}
	s.update(func(r *Record) {
		r.Announced = append(r.Announced, WeightsAnnouncement{Weights: weights, Acked: time.Now()})
	})
	return nil
}

// newestVersion returns the version of the newest configuration.
func (s *cluster) newestVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// snapshot returns the record as it is now.
func (s *cluster) snapshot() Record {
	// Runs come first: an attempt is noted before any run of it can be.
	runs, orders, arrivals := s.runs.AllRuns(), s.runs.Orders(), s.runs.AllArrivals()
	s.mu.Lock()
	weights := make(map[string]int64)
	for _, sl := range s.slots {
		weights[sl.replica.ID] = sl.replica.Weights()
	}
	s.mu.Unlock()
	var out Record
	s.update(func(r *Record) {
		for i := range r.Targets {
			r.Targets[i].Weights = weights[r.Targets[i].ID]
		}
		out = *r
		out.Attempts = append([]Attempt(nil), r.Attempts...)
		out.Targets = append([]Target(nil), r.Targets...)
		out.Faults = append([]InjectedFault(nil), r.Faults...)
		out.Configs = append([]ConfigWrite(nil), r.Configs...)
	})
	out.Runs, out.Orders, out.Arrivals, out.Now = runs, orders, arrivals, time.Now()
	return out
}
