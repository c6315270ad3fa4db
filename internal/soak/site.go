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
	strangeName = "strange"
	// spares is the number of targets of the second plain service.
	spares = 2
)

// The times of the stand-ins.
const (
	// routeTime is what routes give a request, callTime what its caller waits.
	routeTime = 3 * time.Second
	callTime  = 4 * time.Second
	// streamEvents and eventGap make a stream last some 0.3 s.
	streamEvents = 10
	eventGap     = 30 * time.Millisecond
	// againTime is after how long a process that ended by itself is started again.
	againTime = 500 * time.Millisecond
)

// slot is the place of a target, with the one that is there now.
type slot struct {
	proxy   *Proxy
	replica *platformtest.Replica
	// taken says that a step ends its target, which others leave alone meanwhile.
	taken bool
}

// site is an installation with its nodes and stand-ins.
type site struct {
	book
	bounds  Bounds
	dir     string
	program string
	free    *addresses
	store   *platformtest.Store
	runs    *platformtest.RunLog
	// steps are the faults under way.
	steps sync.WaitGroup

	mu sync.Mutex
	// held counts the faults that hold a door, a link or a process.
	held    map[any]int
	nodes   []*node
	slots   []*slot
	engines int
	born    int
	version int64
	weights int64
	over    bool
}

// newSite starts the stand-ins and the nodes of an installation.
func newSite(program, dir string, bounds Bounds, size Size) (*site, error) {
	free, err := newAddresses()
	if err != nil {
		return nil, err
	}
	s := &site{
		bounds: bounds, dir: dir, program: program, free: free, engines: size.Engines,
		store: platformtest.NewStore(), runs: new(platformtest.RunLog), held: make(map[any]int),
	}
	s.rec.Begun, s.rec.Bounds = time.Now(), bounds
	if err := s.populate(size); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// populate starts the targets, in the order that steps count them in, and the nodes.
func (s *site) populate(size Size) error {
	if err := s.name(); err != nil {
		return err
	}
	if err := s.declare(); err != nil {
		return err
	}
	for n := range size.Engines + size.Plain + spares {
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
func (s *site) close() {
	s.mu.Lock()
	s.over = true
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
	_ = s.free.guard.Close()
}

// addresses gives out addresses of one loopback IP number, which no other soak and
// no outgoing connection uses: a port that was chosen can't be taken meanwhile.
type addresses struct {
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

// newAddresses returns the addresses of a loopback number that no other soak uses.
func newAddresses() (*addresses, error) {
	begin := os.Getpid()
	for n := begin; n < begin+nets*hosts; n++ {
		ip := netip.AddrFrom4([4]byte{127, byte(firstNet + n/hosts%nets), byte(n % hosts), 1})
		guard, err := net.Listen("tcp4", netip.AddrPortFrom(ip, firstPort).String())
		if err == nil {
			return &addresses{ip: ip, guard: guard}, nil
		}
	}
	return nil, errs.Errorf("no loopback number is free")
}

// next returns an address that was not given out.
func (a *addresses) next() netip.AddrPort {
	return netip.AddrPortFrom(a.ip, uint16(firstPort+a.used.Add(1)))
}

// prepareNode adds a node whose process does not run yet.
func (s *site) prepareNode() (*node, error) {
	door, err := s.store.OpenEndpoint()
	if err != nil {
		return nil, err
	}
	n := &node{program: s.program, dir: s.dir, door: door, link: NewProxy(s.free.next())}
	n.set = platformtest.Settings{
		Callers: s.free.next(), Readiness: s.free.next(), Peers: s.free.next(), Metrics: s.free.next().Port(),
		Store: n.link.Addr, Bounds: s.bounds.Bounds,
	}
	s.mu.Lock()
	n.name = fmt.Sprintf("node-%d", len(s.nodes))
	n.set.Node = n.name
	s.nodes = append(s.nodes, n)
	s.mu.Unlock()
	return n, n.link.Point(door.Addr)
}

// seeds are the peers' doors of the first nodes.
func (s *site) seeds() []netip.AddrPort {
	const most = 3
	var out []netip.AddrPort
	for _, n := range s.allNodes() {
		out = append(out, n.set.Peers)
	}
	return out[:min(most, len(out))]
}

// allNodes returns the nodes as they are now.
func (s *site) allNodes() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*node(nil), s.nodes...)
}

// startNode starts a node's process unless one runs or the soak is over.
func (s *site) startNode(n *node) error {
	if err := n.writeSettings(s.seeds()); err != nil {
		return err
	}
	// The lock is held so that no process is started that close does not see.
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return nil
	}
	return n.start(s.ended)
}

// ended takes a process that ended by itself, or in another way than it was told to.
func (s *site) ended(n *node, state string) {
	s.write(func(r *Record) {
		r.Ends = append(r.Ends, Trouble{Scope: OfNode, Subject: n.name, Detail: state, From: time.Now()})
	})
	time.AfterFunc(againTime, func() { s.must(s.startNode(n)) })
}

// must notes what keeps the soak itself from its work.
func (s *site) must(err error) {
	if err != nil {
		s.write(func(r *Record) {
			r.Ends = append(r.Ends, Trouble{Detail: "the soak: " + err.Error(), From: time.Now()})
		})
	}
}

// addTarget starts a target of a service at a new place.
func (s *site) addTarget(service string) (*slot, error) {
	sl := &slot{proxy: NewProxy(s.free.next())}
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
func (s *site) newID(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born++
	return fmt.Sprintf("%s-%d", service, s.born)
}

// startTarget starts a target at a place, by its own clock at a time.
func (s *site) startTarget(sl *slot, id, service string, weights int64, at time.Time) error {
	opts := []platformtest.Option{platformtest.WithAdvertisedAddr(sl.proxy.Addr), platformtest.WithStart(at.UnixMilli())}
	if service == engineName {
		opts = append(opts, platformtest.WithModel(modelName, weights), platformtest.WithEvents(streamEvents, eventGap),
			platformtest.WithCrashPrompt(deadlyParts, func(r *platformtest.Replica) { s.steps.Go(func() { s.endUnder(sl, r) }) }))
	}
	r, err := platformtest.Start(s.store, s.runs, id, service, netip.AddrPort{}, opts...)
	if err != nil {
		return err
	}
	s.mu.Lock()
	sl.replica = r
	s.mu.Unlock()
	s.write(func(rec *Record) {
		// The judge knows a target by its id, of which the last start counts.
		rec.Targets = slices.DeleteFunc(rec.Targets, func(t Target) bool { return t.ID == id })
		rec.Targets = append(rec.Targets, Target{ID: id, Service: service, Begun: time.Now()})
	})
	return sl.proxy.Point(r.Addr)
}

// target changes what the record says of a target.
func (s *site) target(id string, change func(t *Target)) {
	s.write(func(r *Record) {
		for i := range r.Targets {
			if r.Targets[i].ID == id {
				change(&r.Targets[i])
			}
		}
	})
}

// declare puts the next configuration in the store.
func (s *site) declare() error {
	s.mu.Lock()
	s.version++
	cfg := configAt(s.version)
	s.mu.Unlock()
	place := 0
	s.write(func(r *Record) {
		place = len(r.Configs)
		r.Configs = append(r.Configs, Declared{Config: cfg, Sent: time.Now()})
	})
	if err := s.store.Declare(cfg); err != nil {
		return err
	}
	s.write(func(r *Record) { r.Configs[place].Acked = time.Now() })
	return nil
}

// name names the next weights.
func (s *site) name() error {
	s.mu.Lock()
	s.weights++
	weights := s.weights
	s.mu.Unlock()
	if err := s.store.NameWeights(modelName, weights); err != nil {
		return err
	}
	s.write(func(r *Record) { r.Named = append(r.Named, Named{Weights: weights, Acked: time.Now()}) })
	return nil
}

// newest returns the version of the newest configuration.
func (s *site) newest() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// snapshot returns the record as it is now.
func (s *site) snapshot() Record {
	// Runs come first: an attempt is noted before any run of it can be.
	runs, orders, arrivals := s.runs.AllRuns(), s.runs.Orders(), s.runs.AllArrivals()
	s.mu.Lock()
	weights := make(map[string]int64)
	for _, sl := range s.slots {
		weights[sl.replica.ID] = sl.replica.Weights()
	}
	s.mu.Unlock()
	var out Record
	s.write(func(r *Record) {
		for i := range r.Targets {
			r.Targets[i].Weights = weights[r.Targets[i].ID]
		}
		out = *r
		out.Attempts = append([]Attempt(nil), r.Attempts...)
		out.Targets = append([]Target(nil), r.Targets...)
		out.Troubles = append([]Trouble(nil), r.Troubles...)
		out.Configs = append([]Declared(nil), r.Configs...)
	})
	out.Runs, out.Orders, out.Arrivals, out.Now = runs, orders, arrivals, time.Now()
	return out
}
