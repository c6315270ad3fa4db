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

// The names of the cluster's host, model and services. The foreign service starts at addresses
// of targets that have ended.
const (
	hostName    = "api.example"
	modelName   = "m1"
	engineName  = "engines"
	plainName   = "plain"
	spareName   = "spare"
	foreignName = "strange"
	// spareTargets is the number of targets of the second plain service.
	spareTargets = 2
	// All targets are of the first release until steps replace some by targets of the other.
	firstRelease  = "v1"
	secondRelease = "v1.1"
)

// The timing of requests, streams and restarts.
const (
	// routeTime is the timeout of all routes, callTime the time for which a caller waits.
	routeTime = 3 * time.Second
	callTime  = 4 * time.Second
	// With streamEvents and eventGap, a stream lasts about 0.3 s.
	streamEvents = 10
	eventGap     = 30 * time.Millisecond
	// restartDelay is the time until a process that exited unexpectedly is restarted.
	restartDelay = 500 * time.Millisecond
)

// slot is the address of a target behind a proxy, with the target that currently runs there.
type slot struct {
	proxy   *Proxy
	replica *platformtest.Replica
	// release is the release of all targets that run there.
	release string
	// claimed reports that a step is about to end the target. Other steps that would end it
	// are skipped meanwhile.
	claimed bool
}

// cluster is a running installation: node processes, and stand-ins for the store and targets.
type cluster struct {
	recorder
	bounds  Bounds
	dir     string
	program string
	addrs   *addressPool
	store   *platformtest.Store
	runs    *platformtest.RunLog
	cuts    *nodeCuts
	// steps counts the steps that are being executed.
	steps sync.WaitGroup

	mu sync.Mutex
	// impairments counts the faults that affect each store door, link and process.
	impairments map[any]int
	nodes       []*node
	slots       []*slot
	engines     int
	targetCount int
	version     int64
	weights     int64
	closed      bool
}

// newCluster starts the stand-ins and the nodes of a cluster.
func newCluster(program, dir string, bounds Bounds, size Size) (*cluster, error) {
	free, err := newAddressPool()
	if err != nil {
		return nil, err
	}
	s := &cluster{
		bounds: bounds, dir: dir, program: program, addrs: free, engines: size.Engines,
		store: platformtest.NewStore(), runs: new(platformtest.RunLog), impairments: make(map[any]int),
	}
	s.cuts = newNodeCuts(s.runningProcesses)
	s.rec.Start, s.rec.Bounds = time.Now(), bounds
	if err := s.populate(size); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// populate starts the targets and the nodes. The order of the targets determines the index by
// which steps refer to them.
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
		if _, err := s.addTarget(service, firstRelease); err != nil {
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

// close kills all processes and stops the stand-ins.
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

// addressPool allocates addresses with a loopback IP address that neither another soak test
// nor outgoing connections use, so that no other process can bind an allocated port.
type addressPool struct {
	ip   netip.Addr
	used atomic.Uint32
	// guard listens at the first port, which reserves the IP address against other soak tests.
	guard net.Listener
}

// The loopback addresses that soak tests use range from 127.16.0.1 to 127.255.249.1. The
// search begins at one that depends on the process id. 127.0.0.1 is left to listeners whose
// port the kernel assigns.
const (
	firstNet = 16
	nets     = 240
	hosts    = 250
	// firstPort is the lowest port that is used with an IP address.
	firstPort = 8000
)

// newAddressPool returns a pool with a loopback IP address that no other soak test uses.
func newAddressPool() (*addressPool, error) {
	begin := os.Getpid()
	for n := begin; n < begin+nets*hosts; n++ {
		ip := netip.AddrFrom4([4]byte{127, byte(firstNet + n/hosts%nets), byte(n % hosts), 1})
		guard, err := net.Listen("tcp4", netip.AddrPortFrom(ip, firstPort).String())
		if err == nil {
			return &addressPool{ip: ip, guard: guard}, nil
		}
	}
	return nil, errs.Errorf("no free loopback address in 127.%d.0.1 to 127.%d.%d.1", firstNet, firstNet+nets-1, hosts-1)
}

// next returns an address that was not returned before.
func (a *addressPool) next() netip.AddrPort {
	return netip.AddrPortFrom(a.ip, uint16(firstPort+a.used.Add(1)))
}

// prepareNode adds a node without starting its process.
func (s *cluster) prepareNode() (*node, error) {
	door, err := s.store.OpenEndpoint()
	if err != nil {
		return nil, err
	}
	n := &node{program: s.program, dir: s.dir, door: door, link: NewProxy(s.addrs.next(), nil)}
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

// seeds returns the peer addresses of the first nodes.
func (s *cluster) seeds() []netip.AddrPort {
	const most = 3
	var out []netip.AddrPort
	for _, n := range s.allNodes() {
		out = append(out, n.settings.Peers)
	}
	return out[:min(most, len(out))]
}

// allNodes returns a copy of the current list of nodes.
func (s *cluster) allNodes() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*node(nil), s.nodes...)
}

// startNode starts a node's process unless one is running or the cluster is closed.
func (s *cluster) startNode(n *node) error {
	if err := n.writeSettings(s.seeds()); err != nil {
		return err
	}
	// The lock prevents a start that close would miss.
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	return n.start(s.onNodeExit)
}

// onNodeExit records an unexpected exit of a process, or one with an error, and schedules a
// restart.
func (s *cluster) onNodeExit(n *node, state string) {
	s.update(func(r *Record) {
		r.Exits = append(r.Exits, InjectedFault{Scope: ScopeNode, Subject: n.name, Detail: state, From: time.Now()})
	})
	time.AfterFunc(restartDelay, func() { s.recordError(s.startNode(n)) })
}

// recordError records an error of the soak test itself.
func (s *cluster) recordError(err error) {
	if err != nil {
		s.update(func(r *Record) {
			r.Exits = append(r.Exits, InjectedFault{Detail: "error of the soak test: " + err.Error(), From: time.Now()})
		})
	}
}

// addTarget starts a target of a service and release in a new slot.
func (s *cluster) addTarget(service, release string) (*slot, error) {
	sl := &slot{proxy: NewProxy(s.addrs.next(), s.cuts), release: release}
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

// newID returns an id that no target has had.
func (s *cluster) newID(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetCount++
	return fmt.Sprintf("%s-%d", service, s.targetCount)
}

// startTarget starts a target in a slot. The target reports the given time as its start.
func (s *cluster) startTarget(sl *slot, id, service string, weights int64, at time.Time) error {
	opts := []platformtest.Option{platformtest.WithAdvertisedAddr(sl.proxy.Addr), platformtest.WithStart(at.UnixMilli()), platformtest.WithRelease(sl.release)}
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
		// The verifier identifies a target by its id. Only its latest start counts.
		rec.Targets = slices.DeleteFunc(rec.Targets, func(t Target) bool { return t.ID == id })
		rec.Targets = append(rec.Targets, Target{ID: id, Service: service, Started: time.Now()})
	})
	return sl.proxy.SetTarget(r.Addr)
}

// updateTarget calls change with the record of a target.
func (s *cluster) updateTarget(id string, change func(t *Target)) {
	s.update(func(r *Record) {
		for i := range r.Targets {
			if r.Targets[i].ID == id {
				change(&r.Targets[i])
			}
		}
	})
}

// writeConfig writes the next version of the configuration to the store.
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

// announceWeights announces the next weights in the store.
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

// snapshot returns a copy of the current record.
func (s *cluster) snapshot() Record {
	// Runs are read before attempts. An attempt is recorded before it can run, so no run in
	// the snapshot lacks its attempt.
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
