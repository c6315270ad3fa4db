package node

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// simSite describes a simulated fleet. The remaining figures are those of an installation with
// hundreds of VMs: six failure domains; one VM in eleven with 0.8 cores and 200 Mbit/s, the others
// with 0.192 cores and 20 Mbit/s; engines that each cache some 60 of the 3,200 parts that prompts
// share.
type simSite struct {
	nodes, engines int
	// perSecond is the rate of prompts to all nodes together.
	perSecond int
	// mbps is the link rate of the small VMs, 20 Mbit/s if zero.
	mbps float64
	// without are the mechanisms that the nodes do not use.
	without route.Mechanisms
	// noConfigs disables passing configurations between nodes.
	noConfigs bool
	// bounds changes the bounds of the installation, if it is set.
	bounds func(*Bounds)
}

// Figures of a simulated fleet.
const (
	simZones            = 6
	simLargeEvery       = 11
	simParts            = 3200
	simCachedParts      = 60
	simHeartbeat        = 1200 * time.Millisecond
	simRequestTime      = 100 * time.Millisecond
	simChangesPerSecond = 3
	simModel            = "m"
	simPool             = "engines"
	simStoreCall        = 4 * time.Millisecond
	simCallTimeout      = 600 * time.Millisecond
	simSettleTime       = 6 * time.Second
)

// simFleet is a fleet of real nodes in one process, in simulated time.
type simFleet struct {
	simSite
	t     *testing.T
	net   *simNetwork
	store *simStore
	nodes []*Node
	// storeClients are the nodes' store clients, in the order of the nodes.
	storeClients []*simStoreClient
	// suspended is how long each node's VM was suspended, in the order of the nodes.
	suspended []*atomic.Int64
	seeds     []netip.AddrPort
	stop      context.CancelFunc
	work      context.Context
	loops     sync.WaitGroup
	sizes     simSizes
	// refusals counts the answers of engines that did not run a request; nil if all engines run all.
	refusals *simRefusals
	// links are the nodes' links to the engines; nil if none fails.
	links *simLinks
}

func newSimFleet(t *testing.T, s simSite) *simFleet {
	f := &simFleet{simSite: s, t: t, net: newSimNetwork(), store: newSimStore(s.engines)}
	f.prepare()
	return f
}

// prepare initialises a fleet that has its site, network and store.
func (f *simFleet) prepare() {
	f.work, f.stop = context.WithCancel(f.t.Context())
	for i := range f.simSite.nodes {
		addr := simNodeAddr(i)
		if i < 3 {
			f.seeds = append(f.seeds, addr)
		}
	}
}

func simNodeAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
}

func simEngineAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 80)
}

func simZone(i int) string { return fmt.Sprint("zone-", i%simZones) }

// start starts all nodes within 0.3 s, as after a power failure of the whole fleet.
func (f *simFleet) start() {
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range f.simSite.nodes {
		power, mbps := 0.192, cmp.Or(f.mbps, 20)
		if i%simLargeEvery == 0 {
			power, mbps = 0.8, 200
		}
		f.net.add(simNodeAddr(i).Addr(), simZone(i), mbps)
		n := f.node(i, power)
		f.nodes = append(f.nodes, n)
		after := time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
		f.loops.Go(func() {
			if pause(f.work, after) {
				f.run(n)
			}
		})
	}
}

// settle starts all nodes and waits until they know each other and the relays read the store.
func (f *simFleet) settle() {
	f.start()
	time.Sleep(simSettleTime)
}

func (f *simFleet) node(i int, power float64) *Node {
	s := validSettings()
	addr := simNodeAddr(i)
	s.Name, s.Zone = fmt.Sprintf("node-%03d", i), simZone(i)
	s.Callers, s.Readiness, s.Peers, s.Operators = addr, addr, addr, addr
	s.Seeds, s.Power, s.Heartbeat = f.seeds, power, simHeartbeat
	s.Bounds.Drain, s.Bounds.Apply, s.Bounds.Weights, s.Bounds.Contact = 4*time.Second, 4*time.Second, 12*time.Second, 5*time.Second
	if f.bounds != nil {
		f.bounds(&s.Bounds)
	}
	door := &simStoreClient{simStore: f.store, net: f.net, addr: addr.Addr()}
	f.storeClients = append(f.storeClients, door)
	suspended := new(atomic.Int64)
	f.suspended = append(f.suspended, suspended)
	now := func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	opts := []Option{WithClock(now), WithoutMechanisms(f.without), WithPeers(peer.NewClient(peerCallTimeout, nil, peer.WithDial(f.net.dial(addr.Addr()))))}
	var n *Node
	if f.links != nil {
		opts = append(opts, WithTargetDial(f.links.dial(func() *Node { return n })))
	}
	n, err := New(s, door, nil, f.store, opts...)
	require.NoError(f.t, err)
	return n
}

// run runs a node's loops until the fleet stops. Like [Node.Run] it counts them in n.loops, which must not
// be empty while a loop may still start a call.
func (f *simFleet) run(n *Node) {
	l := f.net.listen(n.settings().Peers)
	f.loops.Go(func() { _ = peer.Serve(l, &simHandler{Node: n, sizes: &f.sizes, noConfigs: f.noConfigs}) })
	for _, loop := range []func(context.Context){n.watchLoop, n.listLoop, n.gossipLoop, n.weights.loop, n.rollouts.loop, n.releases.loop, n.releases.record.loop, n.placedLoop, n.recentLoop, n.noticeLoop, n.crashLoop, n.recordLoop} {
		n.loops.Go(func() { loop(f.work) })
	}
	n.loops.Go(func() { n.Tick(f.work, tickInterval) })
	f.loops.Go(func() { f.callers(n) })
	<-f.work.Done()
	l.Close()
	n.loops.Wait()
	n.peers.Close()
}

// callers sends prompts to a node. Each shares two parts with other prompts.
func (f *simFleet) callers(n *Node) {
	rng := rand.New(rand.NewPCG(uint64(n.settings().Peers.Addr().As4()[3]), 7))
	pauseOf := func() time.Duration {
		mean := float64(f.simSite.nodes) / float64(f.perSecond) * float64(time.Second)
		return time.Duration(rng.ExpFloat64() * mean)
	}
	for id := 0; pause(f.work, pauseOf()); id++ {
		snap := n.snapshot()
		if snap == nil {
			continue
		}
		m, _, _ := snap.Model(simModel)
		own := rng.IntN(simParts-4) + 4
		req := route.Request{
			Revision: 1, Pool: simPool, Model: m, Deadline: time.Now().Add(4 * time.Second), Aim: 600 * time.Millisecond,
			Repeatable: true, MaxTries: 1, MaxTokens: 9, Bytes: 1000, SharesCache: true,
			Parts: []route.Part{
				{ID: fmt.Sprint("part-", own%4), Tokens: 2520}, {ID: fmt.Sprint("part-", own), Tokens: 3780},
				{ID: fmt.Sprint("own-", n.settings().Name, id), Tokens: 2890},
			},
		}
		if f.links != nil {
			req.MaxTries = 2
		}
		f.loops.Go(func() {
			arrived := time.Now()
			n.queryHolders(f.work, req)
			refusal := n.Serve(f.work, req, dispatch.NewCall(), func(ctx context.Context, a route.Attempt) route.Outcome {
				out := route.Outcome{Request: a.Request, Attempt: a.ID, Kind: route.OutcomeDone}
				switch {
				case f.refusals != nil:
					f.runOrRefuse(ctx, n, a, &out)
					return out
				case f.links != nil:
					return f.links.send(ctx, n, req, a)
				}
				pause(ctx, simRequestTime)
				return out
			})
			if f.refusals != nil {
				f.refusals.ended(refusal)
			}
			if f.links != nil {
				f.links.ended(n, arrived, refusal)
			}
		})
	}
}

// end stops all nodes.
func (f *simFleet) end() {
	f.stop()
	f.net.close()
	f.loops.Wait()
	// Data in transit on a closed connection still arrives.
	time.Sleep(time.Minute)
}

// traffic is the traffic on the links of a simulated fleet so far.
type traffic struct {
	sent, crossZone int64
	maxSent         int64
	maxQueued       int64
	dials           int64
}

func (f *simFleet) traffic() traffic {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	var out traffic
	for _, vm := range f.net.vms {
		out.sent += vm.sent
		out.crossZone += vm.crossZone
		out.dials += vm.dials
		out.maxSent = max(out.maxSent, vm.sent)
		out.maxQueued = max(out.maxQueued, vm.maxQueued)
	}
	return out
}

// views returns the number of nodes that know all others, that know the list of targets, and that
// are relays.
func (f *simFleet) views() (complete, listed, relays int) {
	for _, n := range f.nodes {
		if nodes, _ := n.relays.size(); nodes == f.simSite.nodes {
			complete++
		}
		if len(n.list.get()) >= f.engines {
			listed++
		}
		if n.relays.isRelay() {
			relays++
		}
	}
	return complete, listed, relays
}
