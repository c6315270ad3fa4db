package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

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
	// lapseTime is after how much silence a target's entry goes: three of its heartbeats.
	lapseTime = 600 * time.Millisecond
	// reuseTime is after how long another service takes the address of a target that is gone.
	reuseTime = 2 * time.Second
	// againTime is after how long a process that ended by itself is started again.
	againTime = 500 * time.Millisecond
	// latePart is the part of orders that are late, leastLate and mostLate by how
	// much; lateEvery is how often that is drawn anew, under the time between two orders.
	latePart  = 0.9
	leastLate = 2 * time.Second
	mostLate  = 12 * time.Second
	lateEvery = 300 * time.Millisecond
	// greyPart is the part of its requests that a grey target fails.
	greyPart = 0.5
)

// slot is the place of a target, with the one that is there now.
type slot struct {
	proxy   *Proxy
	replica *platformtest.Replica
	// taken says that a step ends its target, which others leave alone meanwhile.
	taken bool
}

// claim takes a place for a step that ends its target.
func (s *site) claim(sl *slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl.taken {
		return false
	}
	sl.taken = true
	return true
}

// release ends the claim of a step.
func (s *site) release(sl *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sl.taken = false
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

	mu      sync.Mutex
	nodes   []*node
	slots   []*slot
	engines int
	born    int
	version int64
	weights int64
	over    bool
}

// newSite starts the stand-ins and the nodes of an installation.
func newSite(program, dir string, free *addresses, bounds Bounds, size Size) (*site, error) {
	s := &site{bounds: bounds, dir: dir, program: program, free: free, store: platformtest.NewStore(), runs: new(platformtest.RunLog), engines: size.Engines}
	s.rec.Begun, s.rec.Bounds = time.Now(), bounds
	if err := s.name(); err != nil {
		return s, err
	}
	if err := s.declare(); err != nil {
		return s, err
	}
	for service, count := range map[string]int{plainName: size.Plain, spareName: spares} {
		for range count {
			if _, err := s.addTarget(service); err != nil {
				return s, err
			}
		}
	}
	for range size.Engines {
		sl, err := s.addTarget(engineName)
		if err != nil {
			return s, err
		}
		s.slots = append([]*slot{sl}, s.slots[:len(s.slots)-1]...)
	}
	for range size.Nodes {
		if err := s.prepareNode(); err != nil {
			return s, err
		}
	}
	for _, n := range s.nodes {
		if err := s.startNode(n); err != nil {
			return s, err
		}
	}
	return s, nil
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
}

// addresses gives out addresses of one loopback IP number, which no other soak and
// no outgoing connection uses: a port that was chosen can't be taken meanwhile.
type addresses struct {
	ip   netip.Addr
	used atomic.Uint32
}

// The loopback numbers that soaks use: 127.16.0.1 to 127.255.255.250, by their process
// and the plans it plays; 127.0.0.1 is for what gets its port from the kernel.
const (
	firstNet = 16
	nets     = 240
	hosts    = 250
)

// newAddresses returns the addresses of the n-th plan that this process plays.
func newAddresses(n uint32) *addresses {
	pid := os.Getpid()
	return &addresses{ip: netip.AddrFrom4([4]byte{127, byte(firstNet + pid/nets%nets), byte(pid % nets), byte(1 + n%hosts)})}
}

// firstPort is the first port that is used of a loopback number.
const firstPort = 8000

// next returns an address that was not given out.
func (a *addresses) next() netip.AddrPort {
	return netip.AddrPortFrom(a.ip, uint16(firstPort+a.used.Add(1)))
}

// prepareNode adds a node whose process does not run yet.
func (s *site) prepareNode() error {
	door, err := s.store.Open()
	if err != nil {
		return err
	}
	n := &node{name: fmt.Sprintf("node-%d", len(s.nodes)), program: s.program, dir: s.dir, door: door, link: NewProxy(s.free.next())}
	n.set = platformtest.Settings{
		Node: n.name, Callers: s.free.next(), Readiness: s.free.next(), Peers: s.free.next(), Metrics: s.free.next().Port(),
		Store: n.link.Addr, Bounds: s.bounds.Bounds,
	}
	s.mu.Lock()
	s.nodes = append(s.nodes, n)
	s.mu.Unlock()
	return n.link.Point(door.Addr)
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
	if err := s.startTarget(sl, service, weights); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = append(s.slots, sl)
	return sl, nil
}

// startTarget starts a new incarnation of a target at a place.
func (s *site) startTarget(sl *slot, service string, weights int64) error {
	s.mu.Lock()
	s.born++
	id := fmt.Sprintf("%s-%d", service, s.born)
	s.mu.Unlock()
	opts := []platformtest.Option{platformtest.WithListed(sl.proxy.Addr)}
	if service == engineName {
		opts = append(opts, platformtest.WithModel(modelName, weights), platformtest.WithEvents(streamEvents, eventGap))
	}
	r, err := platformtest.Start(s.store, s.runs, id, service, netip.AddrPort{}, opts...)
	if err != nil {
		return err
	}
	s.mu.Lock()
	sl.replica = r
	s.mu.Unlock()
	s.write(func(rec *Record) {
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
	if err := s.store.Name(modelName, weights); err != nil {
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
	out.Runs, out.Orders, out.Now = s.runs.All(), s.runs.Orders(), time.Now()
	return out
}

// apply carries a step out, and returns once it is over.
func (s *site) apply(ctx context.Context, step Step) {
	nodes := s.allNodes()
	n := nodes[max(0, step.Subject)%len(nodes)]
	sl := s.engineOrPlain(step)
	switch step.Kind {
	case Pause, Kill, Stop:
		if p := n.running(); p != nil {
			s.applyProcess(ctx, step, n, p)
		}
	case HangUp:
		s.must(n.writeSettings(s.seeds()))
		if p := n.running(); p != nil {
			s.note(Trouble{Scope: OfPlan, Kind: HangUp, Subject: n.name})
			n.signal(p, syscall.SIGHUP, false)
		}
	case Join:
		s.must(s.prepareNode())
		nodes = s.allNodes()
		n = nodes[len(nodes)-1]
		s.note(Trouble{Scope: OfNode, Kind: Join, Subject: n.name})
		s.must(s.startNode(n))
	case StoreFails:
		s.failStore(ctx, step, n)
	case StoreForgets:
		s.note(Trouble{Scope: OfStore, Kind: StoreForgets})
		s.store.Forget()
	case StoreLink:
		s.impair(ctx, step, n.link, n.name)
	case TargetLink:
		s.impair(ctx, step, sl.proxy, "")
	case TargetCrash, TargetDrain, TargetHide:
		if !s.claim(sl) {
			return
		}
		defer s.release(sl)
		if step.Kind == TargetCrash {
			s.crash(ctx, step, sl)
		} else {
			s.replace(ctx, step, sl)
		}
	case TargetGrey:
		s.grey(ctx, step, sl)
	case OrdersLate:
		s.delayOrders(ctx, step, sl)
	case NameWeights:
		s.must(s.name())
		s.note(Trouble{Scope: OfPlan, Kind: NameWeights, Detail: fmt.Sprint(s.weights)})
	case Reconfigure:
		s.must(s.declare())
		s.note(Trouble{Scope: OfPlan, Kind: Reconfigure, Detail: fmt.Sprint(s.newest())})
	}
}

// engineOrPlain returns the place that a step hits; orders go to engines alone.
func (s *site) engineOrPlain(step Step) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := len(s.slots)
	if step.Kind == OrdersLate {
		most = s.engines
	}
	return s.slots[max(0, step.Subject)%most]
}

// applyProcess pauses, kills or stops a process, which runs again afterwards.
func (s *site) applyProcess(ctx context.Context, step Step, n *node, p *process) {
	defer s.begin(Trouble{Scope: OfNode, Kind: step.Kind, Subject: n.name})()
	switch step.Kind {
	case Pause:
		n.signal(p, syscall.SIGSTOP, false)
		wait(ctx, step.Length)
		n.signal(p, syscall.SIGCONT, false)
		return
	case Stop:
		n.signal(p, syscall.SIGTERM, true)
		select {
		case <-p.ended:
		case <-time.After(s.bounds.Grace):
			s.note(Trouble{Scope: OfPlan, Kind: Stop, Subject: n.name, Detail: "still there at the end of the grace"})
			n.kill(p)
		}
	default:
		n.kill(p)
	}
	wait(ctx, step.Length)
	s.must(s.startNode(n))
}

// failStore has the store fail at one door or all.
func (s *site) failStore(ctx context.Context, step Step, n *node) {
	subject, hit := n.name, []*node{n}
	if step.Subject == Everyone {
		subject, hit = "", s.allNodes()
	}
	defer s.begin(Trouble{Scope: OfStore, Kind: StoreFails, Subject: subject, Detail: fmt.Sprint(step.Outage)})()
	for _, n := range hit {
		n.door.Fail(step.Outage)
	}
	wait(ctx, step.Length)
	for _, n := range hit {
		n.door.Fail(platformtest.Serving)
	}
}

// impair impairs a link. A reset and silence happen at one moment.
func (s *site) impair(ctx context.Context, step Step, p *Proxy, subject string) {
	defer s.begin(Trouble{Scope: OfLink, Kind: step.Kind, Subject: subject, Detail: string(step.Link)})()
	p.Set(step.Link)
	if step.Link != Reset && step.Link != Silence {
		wait(ctx, step.Length)
		p.Set(Passing)
	}
}

// crash ends a target, whose entry lapses, and starts it again with the weights that it had.
func (s *site) crash(ctx context.Context, step Step, sl *slot) {
	r := s.replicaAt(sl)
	defer s.begin(Trouble{Scope: OfTarget, Kind: step.Kind, Subject: r.ID})()
	sl.proxy.Close()
	r.Crash()
	s.target(r.ID, func(t *Target) { t.Ended = time.Now() })
	time.AfterFunc(lapseTime, r.Hide)
	wait(ctx, step.Length)
	s.must(s.startTarget(sl, r.Service, r.Weights()))
}

func (s *site) replicaAt(sl *slot) *platformtest.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sl.replica
}

// replace has a new target take a place over. The old one leaves with or without a
// word, and a while later another service takes its address.
func (s *site) replace(ctx context.Context, step Step, old *slot) {
	r := s.replicaAt(old)
	if r.Service == strangeName {
		return
	}
	end := s.begin(Trouble{Scope: OfTarget, Kind: step.Kind, Subject: r.ID})
	defer end()
	fresh, err := s.addTarget(r.Service)
	if err != nil {
		s.must(err)
		return
	}
	s.swap(old, fresh)
	if step.Kind == TargetHide {
		r.Hide()
	} else {
		s.must(r.Drain())
	}
	s.target(r.ID, func(t *Target) { t.Leaving = time.Now() })
	wait(ctx, s.bounds.Drain+step.Length)
	old.proxy.Close()
	r.Leave()
	s.target(r.ID, func(t *Target) { t.Ended = time.Now() })
	wait(ctx, reuseTime)
	s.must(s.startTarget(old, strangeName, 0))
}

// swap exchanges the places of two targets in the list.
func (s *site) swap(a, b *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, sl := range s.slots {
		switch sl {
		case a:
			s.slots[i] = b
		case b:
			s.slots[i] = a
		}
	}
}

// The faults of grey targets. Those that an engine can't have are bytes of a plain answer.
var (
	engineFaults = []platformtest.Fault{platformtest.Shed, platformtest.Failing, platformtest.Dropping, platformtest.Mute, platformtest.Cutting}
	plainFaults  = append([]platformtest.Fault{platformtest.Surplus, platformtest.Foreign, platformtest.Unframed, platformtest.Garbage}, engineFaults...)
)

// grey has a target fail a part of its requests.
func (s *site) grey(ctx context.Context, step Step, sl *slot) {
	r := s.replicaAt(sl)
	defer s.begin(Trouble{Scope: OfTarget, Kind: step.Kind, Subject: r.ID})()
	faults := plainFaults
	if r.Service == engineName {
		faults = engineFaults
	}
	r.Play(func(*http.Request) platformtest.Fault {
		if rand.Float64() > greyPart {
			return platformtest.Sound
		}
		return faults[rand.IntN(len(faults))]
	})
	wait(ctx, step.Length)
	r.Play(nil)
}

// delayOrders has a target leave most orders unanswered and carry them out late.
func (s *site) delayOrders(ctx context.Context, step Step, sl *slot) {
	r := s.replicaAt(sl)
	defer s.begin(Trouble{Scope: OfOrders, Kind: step.Kind, Subject: r.ID})()
	defer r.Delay(0)
	rng := rand.New(rand.NewPCG(uint64(step.Length), 0))
	for end := time.Now().Add(step.Length); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, lateEvery) {
		late := time.Duration(0)
		if rng.Float64() < latePart {
			late = leastLate + drawTime(rng, mostLate-leastLate)
		}
		r.Delay(late)
	}
}

// wait waits for a time or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
