package node

import (
	"flag"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// sizeTargets is set to inspect a pool size by hand: go test ./node -run NodeSize -size.targets
// 9756 -v
var sizeTargets = flag.Int("size.targets", 4000, "number of targets in the pool whose memory use is measured")

// sizedNode is a node with a pool of many targets, without its loops.
type sizedNode struct {
	*Node
	now        time.Time
	targets    int
	heartbeats int64
	placed     int
}

func newSizedNode(t *testing.T, targets int) *sizedNode {
	s := &sizedNode{now: time.Now(), targets: targets}
	n, err := New(validSettings(), newSimStore(0), nil, nil, WithClock(func() time.Time { return s.now }))
	require.NoError(t, err)
	s.Node = n
	n.adopt(Declared{Revision: 1, Config: &policy.Config{
		Version: policy.Version,
		Pools: []policy.Pool{{
			Name: simPool, Kind: policy.KindEngine, Selector: LabelPool + "=" + simPool, Window: 24, Fetches: true,
			LinkRate: 3.7e6, CacheTokens: 93066, CacheReaders: 8, MaxConns: 1300, TrustRefusals: true,
		}},
		Models: []policy.Model{{Name: simModel, Pool: simPool, Weights: "1", MaxPromptTokens: 1 << 20, Floor: 1}},
	}}, "the test")
	return s
}

// read applies a reading of the list in which every target has a new heartbeat.
func (s *sizedNode) read() {
	s.heartbeats++
	list := make([]*route.Entry, 0, s.targets)
	for i := range s.targets {
		list = append(list, &route.Entry{
			Seen:     route.ListedTarget{Addr: simEngineAddr(i), Labels: map[string]string{LabelPool: simPool, route.LabelZone: simZone(i)}},
			Report:   route.Report{Incarnation: route.Incarnation(fmt.Sprintf("i-%08x@1786000000000", i)), Weights: map[string]string{simModel: "1"}, Slots: 24},
			Revision: s.heartbeats,
		})
	}
	s.list.intern(list)
	s.applyListing(listReading{at: s.now}, Listing{Targets: list})
}

// ask places prompts for one second and reports the given number of requests of others for each of
// them.
func (s *sizedNode) ask(own, others int) {
	for k := range own {
		s.placed++
		id := fmt.Sprint("r", s.placed)
		m, _, _ := s.snapshot().Model(simModel)
		req := route.Request{
			ID: id, Revision: 1, Pool: simPool, Model: m, Deadline: s.now.Add(4 * time.Second), Aim: 600 * time.Millisecond,
			Repeatable: true, MaxTries: 1, MaxTokens: 9, Bytes: 1000, SharesCache: true, QueueTime: time.Second,
			Parts: []route.Part{{ID: fmt.Sprint("part-", (s.placed+k)%simParts), Tokens: 6300}, {ID: "own-" + id, Tokens: 2890}},
		}
		s.Lock()
		b := s.Board()
		for _, a := range b.Arrive(s.now, req) {
			if send, ok := a.(route.Send); ok {
				b.Ended(s.now, route.Outcome{Request: id, Attempt: send.Attempt.ID, Kind: route.OutcomeDone})
			}
		}
		for k := range others {
			addr := simEngineAddr((s.placed*others + k) % s.targets)
			mark := route.TargetKey{Target: addr, Incarnation: route.Incarnation(fmt.Sprintf("i-%08x@1786000000000", (s.placed*others+k)%s.targets))}
			b.AddPeerSends(s.now, []route.SentRequest{{Target: mark.Hash(), Prefill: 3000}})
		}
		b.Tick(s.now)
		s.Unlock()
	}
	s.now = s.now.Add(time.Second)
}

// heap returns the bytes in use on the heap.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A node with thousands of targets, of which its requests use a few dozen, keeps little state for
// each of the others, and no more after ten minutes than after one. With the board's full state for
// each target, and every request of other nodes recorded at its target, a fleet of 986 nodes with
// 9,756 targets kept growing beyond the memory of its machines.
func TestNodeSize(t *testing.T) {
	const perTarget, grown = 900, 2 << 20
	before := heap()
	n := newSizedNode(t, *sizeTargets)
	for range 60 {
		n.read()
		n.ask(2, 50)
	}
	first := heap() - before
	for range 540 {
		n.ask(2, 50)
	}
	n.read()
	last := heap() - before
	t.Logf("%d bytes after a minute, %d after ten, %d for each target", first, last, int(last)/n.targets)
	used := 0
	for i := range n.targets {
		if n.Board().HasTarget(simEngineAddr(i)) {
			used++
		}
	}
	t.Logf("%d targets on the board", used)
	require.LessOrEqual(t, last, uint64(perTarget*n.targets)+8<<20)
	require.LessOrEqual(t, last, first+grown)
	require.Less(t, used, n.targets/4)
	runtime.KeepAlive(n)
}

// A target of a large pool that leaves the list or drains is removed from the board with the next
// reading, and one that others name as a holder is added.
func TestLargePool(t *testing.T) {
	n := newSizedNode(t, 2000)
	n.read()
	n.ask(20, 0)
	var used []netip.AddrPort
	for i := range n.targets {
		if addr := simEngineAddr(i); n.Board().HasTarget(addr) {
			used = append(used, addr)
		}
	}
	require.NotEmpty(t, used)
	require.Less(t, len(used), n.targets/4)
	gone := used[0]
	list := n.list.get()
	var left []*route.Entry
	for _, e := range list {
		if e.Seen.Addr != gone {
			left = append(left, e)
		}
	}
	n.applyListing(listReading{at: n.now.Add(time.Millisecond)}, Listing{Targets: left})
	require.False(t, n.Board().HasTarget(gone))

	holder := left[len(left)-1]
	for _, e := range left {
		if !n.Board().HasTarget(e.Seen.Addr) {
			holder = e
		}
	}
	n.Board().MergeFills(n.now, []route.Fill{{Target: route.TargetKey{Target: holder.Seen.Addr, Incarnation: holder.Report.Incarnation}, Block: 7}})
	require.True(t, n.Board().HasTarget(holder.Seen.Addr))
}

// The list of a pool of thousands of targets is read from the store by one relay and passed on by
// relays to all other nodes, also when all nodes start together: each reading takes twenty calls
// and some MB.
func TestLargeList(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, simSite{nodes: 24, engines: 1500, perSecond: 24, mbps: 20})
		f.start()
		defer f.end()
		time.Sleep(8 * time.Second)
		_, listed, _ := f.views()
		require.Equal(t, len(f.nodes), listed, "nodes that know the list")
		f.store.mu.Lock()
		atStart := f.store.calls["list"]
		f.store.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.store.mu.Lock()
		steady := f.store.calls["list"] - atStart
		f.store.mu.Unlock()
		t.Logf("%d readings in the first 8 s, %d in the next 10", atStart, steady)
		const every = time.Second
		require.LessOrEqual(t, atStart, int(8*time.Second/every)+3)
		require.LessOrEqual(t, steady, int(10*time.Second/every)+2)
		for _, n := range f.nodes {
			require.Less(t, n.viewAges(n.now()).list, 3*time.Second, n.settings().Name)
		}
	})
}

// Without a relay a node reads a large list itself: at once in a small fleet, which has none, and
// after a while if it reaches no other node.
func TestLargeListAlone(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		nodes  int
		cut    bool
		within time.Duration
	}{
		"a small fleet":            {nodes: 3, within: 2 * time.Second},
		"a node that reaches none": {nodes: 24, cut: true, within: 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, simSite{nodes: c.nodes, engines: 700, perSecond: 10, mbps: 20})
				if c.cut {
					f.net.cutOff(simNodeAddr(c.nodes - 1).Addr())
				}
				f.start()
				defer f.end()
				time.Sleep(c.within)
				require.Equal(t, 700, f.nodes[c.nodes-1].list.count())
			})
		})
	}
}
